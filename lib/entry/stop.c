/* The planned stop.  */
#include "impl.h"

/* Interval for looking whether the last jobs have ended.  */
#define STOP_POLL_US 20000

void
entry_drain (struct entry *entry)
{
  g_mutex_lock (&entry->lock);
  bool first = !entry->draining;
  entry->draining = true;
  g_cond_signal (&entry->drain_asked);
  g_mutex_unlock (&entry->lock);
  if (first)
    pl_log (PL_EV_DRAIN, "reason=asked");
}

void
entry_wait_drain (struct entry *entry)
{
  g_mutex_lock (&entry->lock);
  while (!entry->draining)
    g_cond_wait (&entry->drain_asked, &entry->lock);
  g_mutex_unlock (&entry->lock);
}

/* Peers may still forward submissions, so that the end of the last job and
   the end of acceptance have to be one step of the dispatch thread.  */
static unsigned
close_records (struct entry *entry, int64_t until_us)
{
  struct disp_status status;
  for (;;)
    {
      disp_close (entry->disp, pl_now_us (entry->clock) >= until_us);
      g_usleep (STOP_POLL_US);
      disp_get_status (entry->disp, &status);
      if (status.closed)
        return status.unfinished_jobs;
    }
}

static int
left_ms (struct entry *entry, int64_t until_us)
{
  int64_t left = (until_us - pl_now_us (entry->clock)) / 1000;
  return left > 0 ? (int)left : 0;
}

unsigned
entry_stop (struct entry *entry)
{
  const struct conf *conf = entry->conf;
  int64_t until_us = pl_now_us (entry->clock) + conf->drain_limit_ms * 1000;
  peer_set_draining (entry->peer);
  /* The balancer still sends submissions until it has seen /readyz fail.  */
  g_usleep ((gulong)conf->drain_linger_ms * 1000);
  unsigned cut = http_free (entry->http, left_ms (entry, until_us));
  unsigned unfinished = close_records (entry, until_us);
  bool handed = peer_hand_over (entry->peer, left_ms (entry, until_us));
  g_mutex_lock (&entry->lock);
  struct plat_feed *feed = entry->feed;
  entry->feed = NULL;
  g_mutex_unlock (&entry->lock);
  plat_feed_free (feed);
  peer_stop (entry->peer);
  disp_free (entry->disp);
  peer_free (entry->peer);
  g_hash_table_unref (entry->leaving);
  g_array_unref (entry->seeds);
  pl_rcu_ptr_publish (&entry->note_conf_ptr, NULL);
  pl_rcu_ptr_publish (&entry->memb_view_ptr, NULL);
  pl_log (PL_EV_STOP, "unfinished=%u cut=%u handed_over=%s", unfinished, cut,
          handed ? "yes" : "no");
  g_mutex_clear (&entry->lock);
  g_cond_clear (&entry->drain_asked);
  g_free (entry);
  return cut + unfinished;
}
