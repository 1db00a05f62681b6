/* The planned stop: /readyz fails first, then open requests and jobs end, then
   the records go to an heir, and last the threads end.  */
#include "impl.h"

/* Interval between checks whether the last jobs have ended.  */
#define STOP_POLL_US 20000

void
entry_drain (struct entry *entry)
{
  g_mutex_lock (&entry->lock);
  bool first = !entry->draining;
  entry->draining = true;
  g_cond_signal (&entry->drain_requested);
  g_mutex_unlock (&entry->lock);
  if (first)
    pl_log (PL_EV_DRAIN, "reason=asked");
}

void
entry_wait_drain (struct entry *entry)
{
  g_mutex_lock (&entry->lock);
  while (!entry->draining)
    g_cond_wait (&entry->drain_requested, &entry->lock);
  g_mutex_unlock (&entry->lock);
}

/* Waits until no job is unfinished and no new key is accepted, or until
   DEADLINE_US.  Returns the number of unfinished jobs.  Peers may still
   forward submissions, so the dispatch thread must see that no job is left and
   stop accepting keys in one step.  */
static unsigned
finish_jobs (struct entry *entry, int64_t deadline_us)
{
  struct disp_status status;
  for (;;)
    {
      disp_stop_accepting (entry->disp,
                           pl_now_us (entry->clock) >= deadline_us);
      g_usleep (STOP_POLL_US);
      disp_get_status (entry->disp, &status);
      if (status.closed)
        return status.unfinished_jobs;
    }
}

static int
remaining_ms (struct entry *entry, int64_t deadline_us)
{
  int64_t remaining = (deadline_us - pl_now_us (entry->clock)) / 1000;
  return remaining > 0 ? (int)remaining : 0;
}

unsigned
entry_stop (struct entry *entry)
{
  const struct conf *conf = entry->conf;
  int64_t deadline_us = pl_now_us (entry->clock) + conf->drain_limit_ms * 1000;
  peer_set_draining (entry->peer);
  /* The balancer sends submissions until it has seen /readyz fail.  */
  g_usleep ((gulong)conf->drain_linger_ms * 1000);
  unsigned cut = http_free (entry->http, remaining_ms (entry, deadline_us));
  unsigned unfinished = finish_jobs (entry, deadline_us);
  bool handed_over
      = peer_hand_over (entry->peer, remaining_ms (entry, deadline_us));
  g_mutex_lock (&entry->lock);
  struct plat_feed *feed = entry->feed;
  entry->feed = NULL;
  g_mutex_unlock (&entry->lock);
  plat_feed_free (feed);
  peer_stop (entry->peer);
  disp_free (entry->disp);
  peer_free (entry->peer);
  pl_log (PL_EV_STOP, "unfinished=%u cut=%u handed_over=%s", unfinished, cut,
          handed_over ? "yes" : "no");
  entry_free (entry);
  return cut + unfinished;
}
