/* After a connection between two instances was lost, messages that were under
   way are lost with it, and neither side knows which.  Each side repeats what
   the other may lack:
   - a holder, the latest ends of runs and the workers that it took lately;
   - an owner, the claims of all its runs, so that the holder stops those whose
     stop was lost and answers for those whose start or end was lost;
   - both, requests and reports to the planner.  */
#include "cell_priv.h"

/* A loss is noticed, and the connection replaced, within this time; else both
   sides treat each other as lost.  */
#define REPEAT_FOR_US 1000000
/* 180,000 starts a second over 147 instances are 1,224 ends a second each.  A
   run whose end is no longer kept counts as stopped when its owner claims it,
   and is started again.  */
#define MAX_REPEATED_ENDS 2048

struct sent_end
{
  uint64_t worker;
  struct lease_run_end end;
  int64_t sent_us;
};

void
cell_remember_end (struct cell *cell, uint64_t worker,
                   const struct lease_run_end *end)
{
  int64_t now_us = pl_now_us (cell->clock);
  struct sent_end *oldest;
  while ((oldest = g_queue_peek_head (&cell->sent_ends)) != NULL
         && (now_us - oldest->sent_us > REPEAT_FOR_US
             || cell->sent_ends.length >= MAX_REPEATED_ENDS))
    g_free (g_queue_pop_head (&cell->sent_ends));
  struct sent_end *sent = g_new (struct sent_end, 1);
  *sent = (struct sent_end){ worker, *end, now_us };
  g_queue_push_tail (&cell->sent_ends, sent);
}

/* An end without an owner was sent to all instances.  */
static void
repeat_ends (struct cell *cell, struct peer *peer)
{
  int64_t now_us = pl_now_us (cell->clock);
  for (GList *l = cell->sent_ends.head; l != NULL; l = l->next)
    {
      const struct sent_end *sent = l->data;
      if (now_us - sent->sent_us <= REPEAT_FOR_US
          && (sent->end.owner == peer->id || sent->end.owner == 0))
        cell_send_ended_to (cell, peer->id, sent->worker, &sent->end);
    }
}

static void
repeat_takes (struct cell *cell, struct peer *peer)
{
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct lease_worker *w = value;
      if (w->token != LEASE_PROBE_TOKEN && w->taken_us != 0
          && now_us - w->taken_us <= REPEAT_FOR_US)
        cell_send_taken (cell, peer->id, w);
    }
}

static void
repeat_to_planner (struct cell *cell, const struct peer *peer)
{
  if (peer->id != cell->planner_id)
    return;
  owner_resend_requests (cell->jobs);
  cell_mark_all_reports_due (cell);
}

void
cell_on_link_replaced (struct cell *cell, struct peer *peer)
{
  if (peer->alive)
    {
      repeat_ends (cell, peer);
      repeat_takes (cell, peer);
      owner_claim_runs (cell->jobs, peer->id);
      cell_send_cancellations (cell, peer);
    }
  repeat_to_planner (cell, peer);
}

void
cell_on_peer_link_replaced (struct cell *cell, struct peer *peer)
{
  if (peer->alive)
    {
      lease_require_claims (cell->leases, peer->id, pl_now_us (cell->clock));
      owner_claim_runs (cell->jobs, peer->id);
    }
  repeat_to_planner (cell, peer);
}
