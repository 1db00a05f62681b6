/* Runs on a held worker: starts, claims, stops, and the results of these
 * calls.
 */
#include "lease_priv.h"

#include <string.h>

const char *
lease_end_name (enum lease_end end)
{
  static const char *const names[] = {
    [LEASE_END_DONE] = "done",       [LEASE_END_FAILED] = "failed",
    [LEASE_END_STOPPED] = "stopped", [LEASE_END_REJECTED] = "rejected",
    [LEASE_END_OLD_RUN] = "old",     [LEASE_END_UNKNOWN] = "unknown",
  };
  return end < G_N_ELEMENTS (names) && names[end] != NULL ? names[end] : "?";
}

const char *
lease_cause_name (enum lease_cause cause)
{
  static const char *const names[] = {
    [LEASE_CAUSE_ANSWER] = "answer",   [LEASE_CAUSE_UNLISTED] = "unlisted",
    [LEASE_CAUSE_EXPIRED] = "expired", [LEASE_CAUSE_RESTARTED] = "restarted",
    [LEASE_CAUSE_REMOVED] = "removed", [LEASE_CAUSE_FENCED] = "fenced",
  };
  return names[cause];
}

const char *
lease_blame_name (enum lease_blame blame)
{
  static const char *const names[] = {
    [LEASE_BLAME_NONE] = "none",
    [LEASE_BLAME_POSSIBLE] = "possible",
    [LEASE_BLAME_LIKELY] = "likely",
  };
  return names[blame];
}

const char *
lease_reply_name (enum lease_reply reply)
{
  static const char *const names[] = {
    [LEASE_REPLY_OK] = "ok",
    [LEASE_REPLY_FENCED] = "fenced",
    [LEASE_REPLY_OLD_RUN] = "old-run",
    [LEASE_REPLY_EXPIRED] = "expired",
    [LEASE_REPLY_REFUSED] = "refused",
    [LEASE_REPLY_RESTARTED] = "restarted",
    [LEASE_REPLY_NOT_SENT] = "not-sent",
    [LEASE_REPLY_CONN_REFUSED] = "conn-refused",
    [LEASE_REPLY_NO_ANSWER] = "no-answer",
  };
  return names[reply];
}

static void
run_free (void *data)
{
  struct lease_run *run = data;
  g_free (run->spec);
  g_free (run);
}

GPtrArray *
lease_runs_new (void)
{
  return g_ptr_array_new_with_free_func (run_free);
}

struct lease_run *
lease_find_run (const struct lease_worker *w, const struct lease_run_id *id)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, i);
      if (lease_same_run (&run->id, id))
        return run;
    }
  return NULL;
}

bool
lease_has_run (const struct lease_worker *w, const struct lease_run_id *id)
{
  return lease_find_run (w, id) != NULL;
}

struct lease_run *
lease_add_run (struct lease_worker *w, const struct lease_run_id *id)
{
  struct lease_run *run = g_new0 (struct lease_run, 1);
  run->id = *id;
  run->token = w->token;
  g_ptr_array_add (w->runs, run);
  return run;
}

bool
lease_is_acknowledged (const struct lease_run *run)
{
  return run->started_us > 0 || run->state == LEASE_RUN_RUNNING;
}

bool
lease_has_only_unanswered_starts (const struct lease_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    if (lease_is_acknowledged (g_ptr_array_index (w->runs, i)))
      return false;
  return w->state == LEASE_WORKER_SILENT;
}

int64_t
lease_run_time_us (const struct lease_run *run, int64_t now_us)
{
  return run->started_us > 0 ? now_us - run->started_us : 0;
}

void
lease_end_run (struct lease_table *table, struct lease_worker *w,
               struct lease_run *run, enum lease_end end,
               enum lease_cause cause, int64_t now_us)
{
  static const enum pl_counter counters[] = {
    [LEASE_END_DONE] = PL_CTR_RUNS_DONE_TOTAL,
    [LEASE_END_FAILED] = PL_CTR_RUNS_FAILED_TOTAL,
    [LEASE_END_STOPPED] = PL_CTR_RUNS_STOPPED_TOTAL,
    [LEASE_END_REJECTED] = PL_CTR_RUN_STARTS_REFUSED_TOTAL,
    [LEASE_END_OLD_RUN] = PL_CTR_RUN_STARTS_REFUSED_TOTAL,
    [LEASE_END_UNKNOWN] = PL_CTR_RUNS_UNKNOWN_TOTAL,
  };
  bool never_started = end == LEASE_END_REJECTED || end == LEASE_END_OLD_RUN;
  struct lease_run_end run_end = {
    .id = run->id,
    .owner = run->owner,
    .end = end,
    .cause = cause,
    .blame = never_started ? LEASE_BLAME_NONE : run->blame,
    .took_us = lease_run_time_us (run, now_us),
    .age_us = now_us - run->added_us,
    .token = run->token,
    .acknowledged = lease_is_acknowledged (run),
  };
  g_ptr_array_remove_fast (w->runs, run);
  pl_count (counters[end], 1);
  table->ops->ended (table->ctx, w, &run_end);
}

void
lease_end_all_runs (struct lease_table *table, struct lease_worker *w,
                    enum lease_end end, enum lease_cause cause, int64_t now_us)
{
  lease_blame_runs (table, w, cause);
  while (w->runs->len > 0)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, w->runs->len - 1);
      lease_end_run (table, w, run, end, cause, now_us);
    }
}

void
lease_order_stop (struct lease_table *table, struct lease_worker *w,
                  struct lease_run *run, int64_t now_us)
{
  run->state = LEASE_RUN_STOPPING;
  run->stop_sent_us = now_us;
  pl_count (PL_CTR_WORKER_ORDERS_TOTAL, 1);
  table->ops->stop (table->ctx, w, &run->id);
}

struct planner_resources
lease_used_resources (const struct lease_worker *w)
{
  struct planner_resources used = { 0 };
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct lease_run *run = g_ptr_array_index (w->runs, i);
      /* The size of an unclaimed run is not known: count all resources.  */
      if (run->size.cpu == 0 && run->size.mem == 0)
        return w->info.capacity;
      used = planner_resources_add (used, run->size);
    }
  return used;
}

bool
lease_start (struct lease_table *table, struct lease_worker *w,
             const struct lease_order *order, int64_t now_us)
{
  int64_t deadline_ms = lease_deadline_ms (table, w, now_us);
  if (order->token != w->token || !lease_is_usable (w, now_us)
      || deadline_ms == 0
      || !table->ops->is_heard_by (table->ctx, order->owner)
      || !planner_resources_fit (w->info.capacity, lease_used_resources (w),
                                 order->size))
    return false;
  for (guint i = 0; i < w->runs->len; i++)
    {
      /* An earlier run of the task whose end is not certain yet.  */
      const struct lease_run *other = g_ptr_array_index (w->runs, i);
      if (lease_same_task (&other->id, &order->id))
        return false;
    }
  struct lease_run *run = lease_add_run (w, &order->id);
  run->owner = order->owner;
  run->size = order->size;
  run->spec = g_strndup (order->spec.data, order->spec.len);
  run->expect_us = order->expect_us;
  run->added_us = now_us;
  w->renewed_us = now_us;
  lease_record_size (&table->largest, order->size.cpu, now_us);
  pl_count (PL_CTR_RUN_STARTS_TOTAL, 1);
  pl_count (PL_CTR_WORKER_ORDERS_TOTAL, 1);
  table->ops->start (table->ctx, w, run, deadline_ms);
  return true;
}

bool
lease_claim (struct lease_table *table, struct lease_worker *w,
             const struct lease_order *order, int64_t now_us)
{
  struct lease_run *run = lease_find_run (w, &order->id);
  if (order->token != w->token || run == NULL
      || (run->owner != 0 && run->owner != order->owner))
    return false;
  run->owner = order->owner;
  run->token = w->token;
  run->unclaimed_us = 0;
  run->size = order->size;
  run->expect_us = order->expect_us;
  if (w->renewal_withheld && w->next_poll_us != 0)
    lease_poll_again (table, w, now_us);
  table->ops->changed (table->ctx, w);
  return true;
}

void
lease_stop (struct lease_table *table, struct lease_worker *w,
            const struct lease_run_id *id, uint64_t owner, int64_t token,
            int64_t now_us)
{
  struct lease_run *run = lease_find_run (w, id);
  if (run == NULL || run->state == LEASE_RUN_STOPPING
      || (token != 0 && token != run->token))
    return;
  if (run->owner == 0 || run->owner == owner)
    lease_order_stop (table, w, run, now_us);
}

/* Calls FN for each run of OWNER that is not being stopped.  */
static void
for_runs_of_owner (struct lease_table *table, uint64_t owner, int64_t now_us,
                   void (*fn) (struct lease_table *table,
                               struct lease_worker *w, struct lease_run *run,
                               int64_t now_us))
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct lease_worker *w = value;
      for (guint i = 0; i < w->runs->len; i++)
        {
          struct lease_run *run = g_ptr_array_index (w->runs, i);
          if (run->owner == owner && run->state != LEASE_RUN_STOPPING)
            fn (table, w, run, now_us);
        }
    }
}

void
lease_stop_runs_of_owner (struct lease_table *table, uint64_t owner,
                          int64_t now_us)
{
  for_runs_of_owner (table, owner, now_us, lease_order_stop);
}

static void
require_claim (struct lease_table *table, struct lease_worker *w,
               struct lease_run *run, int64_t now_us)
{
  (void)table;
  (void)w;
  run->unclaimed_us = now_us;
}

void
lease_require_claims (struct lease_table *table, uint64_t owner,
                      int64_t now_us)
{
  for_runs_of_owner (table, owner, now_us, require_claim);
}

static void
on_start_failed (struct lease_table *table, struct lease_worker *w,
                 struct lease_run *run, enum lease_reply reply, int64_t now_us)
{
  switch (reply)
    {
    case LEASE_REPLY_OLD_RUN:
      lease_end_run (table, w, run, LEASE_END_OLD_RUN, LEASE_CAUSE_ANSWER,
                     now_us);
      break;
    case LEASE_REPLY_NOT_SENT:
    case LEASE_REPLY_CONN_REFUSED:
    case LEASE_REPLY_REFUSED:
      /* A connection that could not be made in time over a slow link is no
         failure of the worker.  */
      if (reply != LEASE_REPLY_NOT_SENT || !lease_calls_are_slow (table))
        lease_record_failure (table, w, now_us);
      lease_end_run (table, w, run, LEASE_END_REJECTED, LEASE_CAUSE_ANSWER,
                     now_us);
      break;
    case LEASE_REPLY_EXPIRED:
      lease_end_run (table, w, run, LEASE_END_REJECTED, LEASE_CAUSE_ANSWER,
                     now_us);
      break;
    default:
      /* No answer: the run may have started, or may start later.  */
      lease_order_stop (table, w, run, now_us);
    }
}

/* Learns from the outcome of an order that was sent at SENT_US; 0: not known.
 */
static void
learn_call_time (struct lease_table *table, const struct lease_worker *w,
                 enum lease_reply reply, int64_t sent_us, int64_t now_us)
{
  if (reply == LEASE_REPLY_NO_ANSWER || reply == LEASE_REPLY_NOT_SENT)
    {
      pl_count (PL_CTR_WORKER_ORDERS_UNANSWERED_TOTAL, 1);
      /* That a silent worker is silent says nothing of the time of calls.  */
      if (w->state == LEASE_WORKER_HELD)
        lease_call_lost (&table->call_time);
    }
  else if (reply == LEASE_REPLY_OK && sent_us != 0)
    {
      pl_observe (PL_HIST_ORDER, now_us - sent_us);
      lease_call_answered (&table->call_time, now_us - sent_us);
    }
}

void
lease_start_done (struct lease_table *table, uint64_t worker, int64_t token,
                  const struct lease_run_id *id, enum lease_reply reply,
                  int64_t now_us)
{
  struct lease_worker *w = lease_find_worker (table, worker);
  if (w == NULL || w->token != token)
    return;
  struct lease_run *run = lease_find_run (w, id);
  learn_call_time (table, w, reply, run == NULL ? 0 : run->added_us, now_us);
  if (reply == LEASE_REPLY_FENCED || reply == LEASE_REPLY_RESTARTED)
    {
      if (run != NULL)
        lease_end_run (table, w, run, LEASE_END_REJECTED, LEASE_CAUSE_ANSWER,
                       now_us);
      lease_drop_for_reply (table, w, reply, now_us);
      return;
    }
  if (run == NULL)
    return;
  if (reply == LEASE_REPLY_OK)
    {
      /* A process that counts its clock anew has granted the longest lease
         when it carried out the start.  */
      w->renewed_us = now_us;
      if (run->started_us == 0)
        run->started_us = now_us;
      if (run->state == LEASE_RUN_STARTING)
        run->state = LEASE_RUN_RUNNING;
      return;
    }
  if (run->state == LEASE_RUN_STARTING)
    on_start_failed (table, w, run, reply, now_us);
  else if (run->state == LEASE_RUN_STOPPING && reply != LEASE_REPLY_NO_ANSWER)
    lease_end_run (table, w, run, LEASE_END_REJECTED, LEASE_CAUSE_ANSWER,
                   now_us);
  table->ops->changed (table->ctx, w);
}

void
lease_stop_done (struct lease_table *table, uint64_t worker, int64_t token,
                 const struct lease_run_id *id, enum lease_reply reply,
                 int64_t now_us)
{
  struct lease_worker *w = lease_find_worker (table, worker);
  if (w == NULL || w->token != token)
    return;
  /* A stop may have been sent twice: its time is not known.  */
  learn_call_time (table, w, reply, 0, now_us);
  if (reply == LEASE_REPLY_FENCED || reply == LEASE_REPLY_RESTARTED)
    {
      lease_drop_for_reply (table, w, reply, now_us);
      return;
    }
  struct lease_run *run = lease_find_run (w, id);
  if (run == NULL)
    return;
  if (reply == LEASE_REPLY_OK)
    run->stop_acked_us = now_us;
}
