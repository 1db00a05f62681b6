/* What the answer to a poll shows of the runs on the worker: which go on,
   which have ended, and that its process was restarted.  */
#include "lease_priv.h"

static enum lease_end
end_of_outcome (enum lease_outcome outcome)
{
  switch (outcome)
    {
    case LEASE_OUTCOME_DONE:
      return LEASE_END_DONE;
    case LEASE_OUTCOME_FAILED:
      return LEASE_END_FAILED;
    default:
      return LEASE_END_STOPPED;
    }
}

static void
apply_end (struct lease_table *table, struct lease_worker *w,
           const struct lease_end_record *end, int64_t now_us)
{
  struct lease_run *run = lease_find_run (w, &end->id);
  if (end->number <= w->last_end)
    return;
  w->last_end = end->number;
  if (run != NULL)
    run->blame = LEASE_BLAME_NONE; /* the worker goes on */
  if (run == NULL)
    {
      /* The run was started by an earlier holder.  */
      struct lease_run_end run_end = {
        .id = end->id,
        .end = end_of_outcome (end->outcome),
        .cause = LEASE_CAUSE_ANSWER,
        .token = w->token,
        .acknowledged = true,
      };
      table->ops->ended (table->ctx, w, &run_end);
      return;
    }
  /* Only a poll that was waiting when the run ended shows when that was;
     otherwise the run time is not known.  */
  if (!w->poll_renews)
    run->started_us = 0;
  if (end->outcome == LEASE_OUTCOME_DONE)
    {
      lease_record_success (&w->health, lease_run_time_us (run, now_us),
                            run->expect_us, now_us);
      lease_measure_ramp (table, w, run, now_us);
    }
  else if (end->outcome == LEASE_OUTCOME_FAILED)
    lease_record_failure (table, w, now_us);
  lease_end_run (table, w, run, end_of_outcome (end->outcome),
                 LEASE_CAUSE_ANSWER, now_us);
}

/* Applies an entry of the list of runs.  A run that is not known is added
   without an owner.  */
static void
apply_running (struct lease_table *table, struct lease_worker *w,
               const struct lease_running *running, int64_t now_us)
{
  struct lease_run *run = lease_find_run (w, &running->id);
  if (run == NULL)
    {
      run = lease_add_run (w, &running->id);
      run->state = LEASE_RUN_RUNNING;
      run->added_us = now_us;
      run->unclaimed_us = now_us;
      if (w->taken_us != 0)
        /* The worker has carried out a start that was given up already.  */
        lease_order_stop (table, w, run, now_us);
    }
  if (run->started_us == 0)
    run->started_us = now_us;
  run->listed = true;
  run->blame = LEASE_BLAME_NONE;
}

static bool
is_listed (const struct lease_poll_result *result,
           const struct lease_run_id *id)
{
  for (unsigned i = 0; i < result->n_running; i++)
    if (lease_same_run (&result->running[i].id, id))
      return true;
  return false;
}

/* Ends runs that the worker does not list although it must know them: their
   stop was acknowledged, or they were known to run, before the poll was sent.
 */
static void
end_unlisted_runs (struct lease_table *table, struct lease_worker *w,
                   const struct lease_poll_result *result, int64_t now_us)
{
  for (guint i = w->runs->len; i-- > 0;)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, i);
      if (is_listed (result, &run->id))
        continue;
      bool stopped = run->state == LEASE_RUN_STOPPING && run->stop_acked_us > 0
                     && run->stop_acked_us <= w->polled_us;
      bool vanished = run->state == LEASE_RUN_RUNNING && run->started_us > 0
                      && run->started_us <= w->polled_us;
      if (stopped || vanished)
        lease_end_run (table, w, run, LEASE_END_STOPPED, LEASE_CAUSE_UNLISTED,
                       now_us);
    }
}

void
lease_apply_lists (struct lease_table *table, struct lease_worker *w,
                   const struct lease_poll_result *result, int64_t now_us)
{
  for (unsigned i = 0; i < result->n_ended; i++)
    apply_end (table, w, &result->ended[i], now_us);
  for (unsigned i = 0; i < result->n_running; i++)
    apply_running (table, w, &result->running[i], now_us);
  end_unlisted_runs (table, w, result, now_us);
}

/* The worker's process was restarted: runs that the former process has listed
   have ended with it, and ends are numbered from 1 again.  A start that was
   not listed may have reached either process, or may reach the new one later.
   The token is raised, so that the new process refuses it from the next poll
   on, and the answer to that poll settles it.  A stop that the former process
   has acknowledged says nothing of the new one and is ordered again.  */
void
lease_apply_restart (struct lease_table *table, struct lease_worker *w,
                     int64_t now_us)
{
  w->last_end = 0;
  w->fencing = true;
  w->token = table->ops->raise_token (table->ctx, w);
  lease_blame_runs (table, w, LEASE_CAUSE_RESTARTED);
  for (guint i = w->runs->len; i-- > 0;)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, i);
      if (run->listed)
        {
          lease_end_run (table, w, run, LEASE_END_STOPPED,
                         LEASE_CAUSE_RESTARTED, now_us);
          continue;
        }
      run->stop_acked_us = 0;
      if (run->state == LEASE_RUN_STOPPING)
        lease_order_stop (table, w, run, now_us);
    }
  table->ops->changed (table->ctx, w);
}

/* Runs that are listed go on, and their owners have to claim them under the
   new lease.  The others never start any more; the former process may have
   started them.  */
void
lease_apply_fence (struct lease_table *table, struct lease_worker *w,
                   const struct lease_poll_result *result, int64_t now_us)
{
  w->fencing = false;
  for (guint i = w->runs->len; i-- > 0;)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, i);
      if (run->token == w->token)
        continue;
      if (!is_listed (result, &run->id))
        {
          lease_end_run (table, w, run, LEASE_END_STOPPED,
                         LEASE_CAUSE_RESTARTED, now_us);
          continue;
        }
      if (run->state == LEASE_RUN_STARTING)
        run->state = LEASE_RUN_RUNNING;
      run->unclaimed_us = now_us;
    }
}
