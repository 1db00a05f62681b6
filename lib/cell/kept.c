/* Cancellations that are kept.  A job is cancelled while an instance that may
   have it is silent: frozen, or cut off from all.  Every instance that is
   heard keeps the cancellation and sends it to each peer that is heard again,
   so that the job does not go on there.  */
#include "cell_priv.h"

/* Twice the time after which a silent peer is removed.  */
#define KEEP_US (INT64_C (2) * PEER_FORGET_US)
/* Bound of a message and of what is kept; 0.3 MB.  */
#define MAX_KEPT 16384

struct kept
{
  uint64_t job;
  int64_t at_us; /* when it was cancelled */
};

static void
forget_oldest (struct cell *cell)
{
  struct kept *oldest = g_queue_pop_head (&cell->kept_order);
  const struct kept *kept = g_hash_table_lookup (cell->kept, &oldest->job);
  /* The job may have been cancelled again.  */
  if (kept == oldest)
    g_hash_table_remove (cell->kept, &oldest->job);
  g_free (oldest);
}

static void
keep (struct cell *cell, uint64_t job, int64_t at_us)
{
  const struct kept *former = g_hash_table_lookup (cell->kept, &job);
  if (former != NULL && former->at_us >= at_us)
    return;
  if (g_queue_get_length (&cell->kept_order) >= MAX_KEPT)
    forget_oldest (cell);
  struct kept *kept = g_new (struct kept, 1);
  *kept = (struct kept){ job, at_us };
  g_queue_push_tail (&cell->kept_order, kept);
  g_hash_table_replace (cell->kept, &kept->job, kept);
}

bool
cell_can_keep_cancellation (const struct cell *cell)
{
  return cell->kept_order.length < MAX_KEPT;
}

void
cell_keep_cancellation (struct cell *cell, uint64_t job, int64_t at_us)
{
  int64_t age_us = pl_now_us (cell->clock) - at_us;
  keep (cell, job, at_us);
  Cellpb__Cancels msg = CELLPB__CANCELS__INIT;
  msg.n_jobs = 1;
  msg.jobs = &job;
  msg.n_age_us = 1;
  msg.age_us = &age_us;
  Cellpb__Envelope env = CELL_ENVELOPE (cancels, CANCELS, &msg);
  cell_send_to_all_peers (cell, &env);
  pl_count (PL_CTR_CANCELLATIONS_KEPT_TOTAL, 1);
  pl_log (PL_EV_CANCEL_KEPT, "key=%016" PRIx64 " kept=%u", job,
          g_hash_table_size (cell->kept));
}

void
cell_send_cancellations (struct cell *cell, struct peer *peer)
{
  if (g_queue_is_empty (&cell->kept_order))
    return;
  int64_t now_us = pl_now_us (cell->clock);
  g_autoptr (GArray) jobs = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_autoptr (GArray) ages = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (const GList *l = cell->kept_order.head; l != NULL; l = l->next)
    {
      const struct kept *kept = l->data;
      int64_t age_us = now_us - kept->at_us;
      g_array_append_val (jobs, kept->job);
      g_array_append_val (ages, age_us);
    }
  Cellpb__Cancels msg = CELLPB__CANCELS__INIT;
  msg.n_jobs = jobs->len;
  msg.jobs = (uint64_t *)(void *)jobs->data;
  msg.n_age_us = ages->len;
  msg.age_us = (int64_t *)(void *)ages->data;
  Cellpb__Envelope env = CELL_ENVELOPE (cancels, CANCELS, &msg);
  cell_send_to_peer (cell, peer, &env);
}

void
cell_on_cancels (struct cell *cell, const Cellpb__Cancels *msg)
{
  int64_t now_us = pl_now_us (cell->clock);
  for (size_t i = 0; i < msg->n_jobs; i++)
    {
      int64_t at_us = now_us - msg->age_us[i];
      struct owner_job *job = owner_find_job (cell->jobs, msg->jobs[i]);
      /* A later one was submitted again after the cancellation.  */
      if (job != NULL && job->arrival_us <= at_us)
        cell_cancel_job (cell, job);
      keep (cell, msg->jobs[i], at_us);
    }
}

void
cell_tick_kept (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  const struct kept *oldest;
  while ((oldest = g_queue_peek_head (&cell->kept_order)) != NULL
         && now_us - oldest->at_us > KEEP_US)
    forget_oldest (cell);
}
