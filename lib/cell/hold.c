/* The holder: events of the leases, and orders of owners.  */
#include "cell_priv.h"

/* A worker that another holder has fenced off is left alone for a while, so
   that two holders that don't hear each other don't take turns.  */
#define FENCED_RETRY_US 4000000
/* If the new holder is heard, its beats tell by then what it holds.  */
#define HEARD_RETRY_US 300000

/* A peer uses TOKEN on the worker.  The peer is heard, so that there is no
   need to leave the worker alone for longer.  */
void
cell_saw_token (struct cell *cell, struct known_worker *known, int64_t token)
{
  if (token <= known->token_seen)
    return;
  known->token_seen = token;
  int64_t retry_us = pl_now_us (cell->clock) + HEARD_RETRY_US;
  known->retry_us = MIN (known->retry_us, retry_us);
}

/* Time after which a worker may be taken that W has lost to another holder. */
static int64_t
fenced_retry_us (const struct known_worker *known,
                 const struct lease_worker *w)
{
  /* Our token was too low from the start because the former holder's clock is
     ahead.  */
  if (w->state == LEASE_WORKER_TAKING && known->fences < 4)
    return 0;
  return known->token_seen > w->token ? HEARD_RETRY_US : FENCED_RETRY_US;
}

void
cell_send_ended (struct cell *cell, uint64_t to, uint64_t worker,
                 const struct lease_run_id *id, enum lease_end end,
                 int64_t took_us)
{
  Cellpb__RunId run = cell_pack_run_id (id);
  Cellpb__Ended msg = CELLPB__ENDED__INIT;
  msg.worker = worker;
  msg.id = &run;
  msg.end = (uint32_t)end;
  msg.took_us = took_us;
  Cellpb__Envelope env = CELL_ENVELOPE (ended, ENDED, &msg);
  cell_send (cell, to, &env);
}

/* Events of the leases.  */

static void
on_look (void *ctx, struct lease_worker *w, int64_t deadline_ms, int wait_ms)
{
  struct cell *cell = ctx;
  cell->ops->poll (cell->ctx, w, deadline_ms, wait_ms);
}

static void
on_start (void *ctx, struct lease_worker *w, const struct lease_run *run,
          int64_t deadline_ms)
{
  struct cell *cell = ctx;
  cell->ops->start (cell->ctx, w, run, deadline_ms);
}

static void
on_stop (void *ctx, struct lease_worker *w, const struct lease_run_id *id)
{
  struct cell *cell = ctx;
  cell->ops->stop (cell->ctx, w, id);
}

static void
on_ended (void *ctx, struct lease_worker *w, uint64_t owner,
          const struct lease_run_id *id, enum lease_end end, int64_t took_us)
{
  struct cell *cell = ctx;
  pl_log (PL_EV_RUN_END,
          "job=%016" PRIx64 " task=%u run=%u worker=%s end=%s took_us=%" PRId64
          " slowness=%u",
          id->job, id->index, id->run, w->id, lease_end_name (end), took_us,
          w->health.slowness);
  cell_mark_room (cell, w->info.worker);
  cell_send_ended (cell, owner, w->info.worker, id, end, took_us);
}

static void
on_taken (void *ctx, struct lease_worker *w)
{
  struct cell *cell = ctx;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &w->info.worker);
  if (known != NULL)
    known->fences = 0;
  if (w->token == LEASE_PROBE_TOKEN)
    return;
  unsigned n = w->runs->len;
  g_autoptr (GArray) runs = g_array_new (FALSE, FALSE, sizeof (Cellpb__RunId));
  g_autoptr (GPtrArray) pointers = g_ptr_array_new ();
  for (unsigned i = 0; i < n; i++)
    {
      const struct lease_run *run = g_ptr_array_index (w->runs, i);
      Cellpb__RunId id = cell_pack_run_id (&run->id);
      g_array_append_val (runs, id);
    }
  for (unsigned i = 0; i < n; i++)
    g_ptr_array_add (pointers, &g_array_index (runs, Cellpb__RunId, i));
  Cellpb__Taken msg = CELLPB__TAKEN__INIT;
  msg.worker = w->info.worker;
  msg.token = w->token;
  msg.runs = (Cellpb__RunId **)pointers->pdata;
  msg.n_runs = n;
  Cellpb__Envelope env = CELL_ENVELOPE (taken, TAKEN, &msg);
  pl_log (PL_EV_TAKEN,
          "worker=%s key=%016" PRIx64 " token=%" PRId64 " runs=%u", w->id,
          w->info.worker, w->token, n);
  cell_send (cell, 0, &env);
}

static void
on_lost (void *ctx, struct lease_worker *w, enum lease_reply why)
{
  struct cell *cell = ctx;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &w->info.worker);
  if (w->token == LEASE_PROBE_TOKEN)
    {
      if (known != NULL && why != LEASE_REPLY_NO_ANSWER)
        known->reachable_us = pl_now_us (cell->clock);
      cell->ops->close_worker (cell->ctx, w);
      return;
    }
  if (known != NULL && why == LEASE_REPLY_FENCED)
    {
      known->retry_us = pl_now_us (cell->clock) + fenced_retry_us (known, w);
      known->fences++;
    }
  pl_log (PL_EV_WORKER_LOST, "worker=%s token=%" PRId64 " reason=%s", w->id,
          w->token,
          why == LEASE_REPLY_FENCED      ? "fenced"
          : why == LEASE_REPLY_RESTARTED ? "reborn"
                                         : "gone");
  pl_count (PL_CTR_WORKERS_LOST_TOTAL, 1);
  cell_send_room_gone (cell, w->info.worker);
  cell->ops->close_worker (cell->ctx, w);
}

static void
on_changed (void *ctx, struct lease_worker *w)
{
  cell_mark_room (ctx, w->info.worker);
}

const struct lease_ops cell_lease_ops = {
  .poll = on_look,
  .start = on_start,
  .stop = on_stop,
  .ended = on_ended,
  .taken = on_taken,
  .lost = on_lost,
  .changed = on_changed,
};

/* Messages to the holder.  */

/* A claim has failed.  A run that is still here is being stopped, and its end
   will be told.  One that is missing under the lease that the claim names has
   ended.  Else the worker may have a new holder by now, which lists the run
   again or stops it for want of a claim.  */
static void
answer_claim (struct cell *cell, uint64_t owner, uint64_t worker,
              const struct lease_worker *w, const struct lease_order *order)
{
  bool same_lease = w != NULL && w->state != LEASE_WORKER_TAKING
                    && w->token == order->token;
  if (same_lease && lease_has_run (w, &order->id))
    return;
  cell_send_ended (cell, owner, worker, &order->id,
                   same_lease ? LEASE_END_STOPPED : LEASE_END_UNKNOWN, 0);
}

void
cell_on_start (struct cell *cell, uint64_t sender, const Cellpb__Start *msg)
{
  struct lease_worker *w = lease_find (cell->leases, msg->worker);
  struct lease_order order = {
    .id = cell_run_id (msg->id),
    .owner = sender,
    .size = cell_amount (msg->size),
    .spec = { (const char *)msg->spec.data, msg->spec.len },
    .expect_us = msg->expect_us,
    .token = msg->token,
  };
  int64_t now_us = pl_now_us (cell->clock);
  const struct peer *peer = cell_peer (cell, sender);
  /* Nobody would stop the runs of an owner that is given up already.  */
  bool owned = sender == cell->id || (peer != NULL && peer->alive);
  bool ok = w != NULL && owned
            && (msg->claim ? lease_claim (cell->leases, w, &order)
                           : lease_start (cell->leases, w, &order, now_us));
  pl_log (PL_EV_RUN_START,
          "job=%016" PRIx64 " task=%u run=%u worker=%s owner=%016" PRIx64
          " claim=%d ok=%d held=%u answer_age_ms=%" PRId64,
          order.id.job, order.id.index, order.id.run, w == NULL ? "-" : w->id,
          sender, msg->claim, ok, w == NULL ? 0 : w->runs->len,
          w == NULL ? 0 : (now_us - w->answered_us) / 1000);
  if (!ok && msg->claim)
    answer_claim (cell, sender, msg->worker, w, &order);
  else if (!ok)
    cell_send_ended (cell, sender, msg->worker, &order.id, LEASE_END_REJECTED,
                     0);
  cell_mark_room (cell, msg->worker);
}

void
cell_on_stop (struct cell *cell, const Cellpb__Stop *msg)
{
  struct lease_worker *w = lease_find (cell->leases, msg->worker);
  struct lease_run_id id = cell_run_id (msg->id);
  if (w != NULL)
    lease_stop (cell->leases, w, &id, pl_now_us (cell->clock));
}

void
cell_on_taken (struct cell *cell, uint64_t sender, const Cellpb__Taken *msg)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &msg->worker);
  if (known != NULL)
    cell_saw_token (cell, known, msg->token);
  g_autoptr (GArray) runs
      = g_array_new (FALSE, FALSE, sizeof (struct lease_run_id));
  for (size_t i = 0; i < msg->n_runs; i++)
    {
      struct lease_run_id id = cell_run_id (msg->runs[i]);
      g_array_append_val (runs, id);
    }
  struct owner_placement place = { msg->worker, sender, msg->token };
  owner_on_worker_taken (cell->jobs, &place,
                         (const struct lease_run_id *)(void *)runs->data,
                         runs->len);
}
