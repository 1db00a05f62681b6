/* The holder: events of the leases of held workers, and the orders of owners
   to start, claim and stop runs there.  */
#include "cell_priv.h"

/* A worker on which another holder has fenced us is not taken again for this
   time.  Otherwise two holders that don't hear each other would fence each
   other again and again.  */
#define FENCED_RETRY_US 4000000
/* The same if the new holder is heard: by then its heartbeats have shown
   whether it still holds the worker.  */
#define HEARD_RETRY_US 300000
/* The same for a worker at whose address another one answers, unless its entry
   in the registry changes: the entry is out of date.  */
#define REPLACED_RETRY_US 1000000

void
cell_record_token (struct cell *cell, struct known_worker *known,
                   int64_t token)
{
  if (token <= known->highest_token)
    return;
  known->highest_token = token;
  /* The peer that uses the token is heard, so that there is no need to wait
     for longer than HEARD_RETRY_US.  */
  int64_t take_after_us = pl_now_us (cell->clock) + HEARD_RETRY_US;
  known->take_after_us = MIN (known->take_after_us, take_after_us);
}

/* Delay until the worker of lease W, which another holder has fenced, may be
   taken again.  */
static int64_t
fenced_retry_us (const struct known_worker *known,
                 const struct lease_worker *w)
{
  /* Our token was too low from the start because the clock of the former
     holder is ahead: try again at once with a higher one.  */
  if (!w->answered && known->times_fenced < 4)
    return 0;
  return known->highest_token > w->token ? HEARD_RETRY_US : FENCED_RETRY_US;
}

void
cell_send_ended_to (struct cell *cell, uint64_t to, uint64_t worker,
                    const struct lease_run_end *end)
{
  Cellpb__RunId run = cell_encode_run_id (&end->id);
  Cellpb__Ended msg = CELLPB__ENDED__INIT;
  msg.worker = worker;
  msg.id = &run;
  msg.end = (uint32_t)end->end;
  msg.took_us = end->took_us;
  msg.blame = (uint32_t)end->blame;
  msg.token = end->token;
  Cellpb__Envelope env = CELL_ENVELOPE (ended, ENDED, &msg);
  cell_send (cell, to, &env);
}

void
cell_send_ended (struct cell *cell, uint64_t worker,
                 const struct lease_run_end *end)
{
  /* The job may be submitted again to any instance.  */
  uint64_t to = end->blame == LEASE_BLAME_LIKELY ? 0 : end->owner;
  cell_send_ended_to (cell, to, worker, end);
}

/* Operations of struct lease_ops: calls to workers are passed to the owner of
   the cell; events of leases are logged and sent to other instances.  */

static void
pass_poll (void *ctx, struct lease_worker *w, int64_t deadline_ms, int wait_ms)
{
  struct cell *cell = ctx;
  cell->ops->poll (cell->ctx, w, deadline_ms, wait_ms);
}

static void
pass_start (void *ctx, struct lease_worker *w, const struct lease_run *run,
            int64_t deadline_ms)
{
  struct cell *cell = ctx;
  cell->ops->start (cell->ctx, w, run, deadline_ms);
}

static void
pass_stop (void *ctx, struct lease_worker *w, const struct lease_run_id *id)
{
  struct cell *cell = ctx;
  cell->ops->stop (cell->ctx, w, id);
}

static void
on_ended (void *ctx, struct lease_worker *w, const struct lease_run_end *end)
{
  struct cell *cell = ctx;
  pl_log (PL_EV_RUN_END,
          "job=%016" PRIx64 " task=%u run=%u worker=%s end=%s cause=%s"
          " blame=%s acknowledged=%d took_us=%" PRId64 " age_us=%" PRId64
          " slowness=%u",
          end->id.job, end->id.index, end->id.run, w->id,
          lease_end_name (end->end), lease_cause_name (end->cause),
          lease_blame_name (end->blame), end->acknowledged, end->took_us,
          end->age_us, w->health.slowness);
  cell_mark_report_due (cell, w->info.worker);
  cell_send_ended (cell, w->info.worker, end);
  cell_remember_end (cell, w->info.worker, end);
}

static void
on_silent (void *ctx, struct lease_worker *w, enum lease_reply reply,
           int64_t silence_us)
{
  (void)ctx;
  pl_log (PL_EV_WORKER_SILENT,
          "worker=%s reply=%s silence_ms=%" PRId64 " runs=%u", w->id,
          lease_reply_name (reply), silence_us / 1000, w->runs->len);
}

void
cell_send_taken (struct cell *cell, uint64_t to, const struct lease_worker *w)
{
  /* Which of the runs go on is not known yet; all are told when it is.  */
  if (w->fencing)
    return;
  unsigned n = w->runs->len;
  g_autoptr (GArray) runs = g_array_new (FALSE, FALSE, sizeof (Cellpb__RunId));
  g_autoptr (GPtrArray) pointers = g_ptr_array_new ();
  for (unsigned i = 0; i < n; i++)
    {
      const struct lease_run *run = g_ptr_array_index (w->runs, i);
      Cellpb__RunId id = cell_encode_run_id (&run->id);
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
  cell_send (cell, to, &env);
}

static void
on_taken (void *ctx, struct lease_worker *w)
{
  struct cell *cell = ctx;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &w->info.worker);
  if (known != NULL)
    known->times_fenced = 0;
  if (w->token == LEASE_PROBE_TOKEN)
    return;
  pl_log (PL_EV_TAKEN,
          "worker=%s key=%016" PRIx64 " token=%" PRId64 " runs=%u", w->id,
          w->info.worker, w->token, w->runs->len);
  cell_send_taken (cell, 0, w);
}

static int64_t
raise_token (void *ctx, const struct lease_worker *w)
{
  struct cell *cell = ctx;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &w->info.worker);
  return cell_use_next_token (cell, known);
}

static void
on_lost (void *ctx, struct lease_worker *w, enum lease_reply reason)
{
  struct cell *cell = ctx;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &w->info.worker);
  if (known != NULL)
    cell_unsettle_worker (cell, known);
  if (w->token == LEASE_PROBE_TOKEN)
    {
      /* A refusal shows as well that the worker can be reached.  */
      if (known != NULL && reason != LEASE_REPLY_NO_ANSWER)
        known->reachable_us = pl_now_us (cell->clock);
      cell->ops->close_worker (cell->ctx, w);
      return;
    }
  if (known != NULL && reason == LEASE_REPLY_FENCED)
    {
      known->take_after_us
          = pl_now_us (cell->clock) + fenced_retry_us (known, w);
      known->times_fenced++;
    }
  if (known != NULL && reason == LEASE_REPLY_RESTARTED)
    known->take_after_us = pl_now_us (cell->clock) + REPLACED_RETRY_US;
  pl_log (PL_EV_WORKER_LOST, "worker=%s token=%" PRId64 " reason=%s", w->id,
          w->token,
          reason == LEASE_REPLY_FENCED      ? "fenced"
          : reason == LEASE_REPLY_RESTARTED ? "reborn"
                                            : "gone");
  pl_count (PL_CTR_WORKERS_LOST_TOTAL, 1);
  cell_withdraw_report (cell, w->info.worker);
  cell->ops->close_worker (cell->ctx, w);
}

static void
on_changed (void *ctx, struct lease_worker *w)
{
  cell_mark_report_due (ctx, w->info.worker);
}

static bool
may_be_taken (void *ctx, const struct lease_worker *w, int64_t since_us)
{
  /* Any instance may take any worker, whatever its failure domain.  */
  (void)w;
  return cell_may_be_succeeded (ctx, since_us);
}

static bool
is_heard_by (void *ctx, uint64_t owner)
{
  return cell_is_heard_by (ctx, owner);
}

const struct lease_ops cell_lease_ops = {
  .poll = pass_poll,
  .start = pass_start,
  .stop = pass_stop,
  .ended = on_ended,
  .silent = on_silent,
  .taken = on_taken,
  .raise_token = raise_token,
  .lost = on_lost,
  .changed = on_changed,
  .may_be_taken = may_be_taken,
  .is_heard_by = is_heard_by,
};

/* Messages to the holder.  */

/* Tells the owner what its failed claim means for the run.
   - The run is still here: it is being stopped, and its end will be sent.
   - The run is not here, and the lease is the one that the claim names: the
     run has ended.
   - This instance has a later lease of the worker: the owner has not learned
     of that yet.  It is told again what was found, and claims its run under
     this lease.
   - This instance has no lease of the worker: unknown.  A new holder, if there
     is one, lists the run again for its owner, or stops the run as unclaimed.
 */
static void
answer_failed_claim (struct cell *cell, uint64_t worker,
                     const struct lease_worker *w,
                     const struct lease_order *order)
{
  bool same_lease = w != NULL && w->answered && w->token == order->token;
  if (same_lease && lease_has_run (w, &order->id))
    return;
  if (w != NULL && w->answered && w->token > order->token)
    {
      cell_send_taken (cell, order->owner, w);
      return;
    }
  struct lease_run_end end = {
    .id = order->id,
    .owner = order->owner,
    .end = same_lease ? LEASE_END_STOPPED : LEASE_END_UNKNOWN,
    .token = order->token,
  };
  cell_send_ended (cell, worker, &end);
}

void
cell_on_start (struct cell *cell, uint64_t sender, const Cellpb__Start *msg)
{
  struct lease_worker *w = lease_find_worker (cell->leases, msg->worker);
  struct lease_order order = {
    .id = cell_decode_run_id (msg->id),
    .owner = sender,
    .size = cell_decode_amount (msg->size),
    .spec = { (const char *)msg->spec.data, msg->spec.len },
    .expect_us = msg->expect_us,
    .token = msg->token,
  };
  int64_t now_us = pl_now_us (cell->clock);
  const struct peer *peer = cell_find_peer (cell, sender);
  /* The runs of a lost owner were stopped when it was lost; nothing would stop
     one that is started after that.  */
  bool owner_alive = sender == cell->id || (peer != NULL && peer->alive);
  bool evacuated
      = w != NULL && !msg->claim && cell_is_evacuated (cell, w->info.domain);
  if (evacuated)
    pl_count (PL_CTR_EVACUATED_STARTS_REFUSED_TOTAL, 1);
  bool ok = w != NULL && owner_alive && !evacuated
            && (msg->claim ? lease_claim (cell->leases, w, &order, now_us)
                           : lease_start (cell->leases, w, &order, now_us));
  pl_log (PL_EV_RUN_START,
          "job=%016" PRIx64 " task=%u run=%u worker=%s owner=%016" PRIx64
          " claim=%d ok=%d runs=%u answer_age_ms=%" PRId64,
          order.id.job, order.id.index, order.id.run, w == NULL ? "-" : w->id,
          sender, msg->claim, ok, w == NULL ? 0 : w->runs->len,
          w == NULL ? 0 : (now_us - w->answered_us) / 1000);
  if (!ok && msg->claim)
    answer_failed_claim (cell, msg->worker, w, &order);
  else if (!ok)
    {
      struct lease_run_end end = {
        .id = order.id,
        .owner = sender,
        .end = LEASE_END_REJECTED,
        .token = order.token,
      };
      cell_send_ended (cell, msg->worker, &end);
    }
  cell_mark_report_due (cell, msg->worker);
}

void
cell_on_stop (struct cell *cell, uint64_t sender, const Cellpb__Stop *msg)
{
  struct lease_worker *w = lease_find_worker (cell->leases, msg->worker);
  struct lease_run_id id = cell_decode_run_id (msg->id);
  if (w != NULL)
    lease_stop (cell->leases, w, &id, sender, msg->token,
                pl_now_us (cell->clock));
}

void
cell_on_taken (struct cell *cell, uint64_t sender, const Cellpb__Taken *msg)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &msg->worker);
  if (known != NULL)
    cell_record_token (cell, known, msg->token);
  g_autoptr (GArray) runs
      = g_array_new (FALSE, FALSE, sizeof (struct lease_run_id));
  for (size_t i = 0; i < msg->n_runs; i++)
    {
      struct lease_run_id id = cell_decode_run_id (msg->runs[i]);
      g_array_append_val (runs, id);
    }
  struct owner_placement placement = { msg->worker, sender, msg->token };
  owner_on_worker_taken (cell->jobs, &placement,
                         (const struct lease_run_id *)(void *)runs->data,
                         runs->len);
}
