/* Looks at a worker: they renew the lease, acknowledge ends and tell what
   runs.  */
#include "lease_priv.h"

#define LOOK_WAIT_MS 400 /* renews well inside a lease */
/* While answers are lost, ends would be learnt of with this delay.  */
#define LOOK_WAIT_SHORT_MS 40
#define TROUBLE_US 3000000 /* after the latest lost answer */
/* Each look at a worker that is gone opens a connection.  */
#define SILENT_RETRY_US 100000
/* A worker's clock may be 2% slow, and its answers travel.  */
#define LAPSE_US (LEASE_MAX_MS * 1000 * 102 / 100 + 30000)
#define STALE_ANSWER_US 900000 /* an older clock reading is not used */

int64_t
lease_deadline_ms (const struct lease_worker *w, int64_t now_us)
{
  /* Before the first answer the worker's clock is not known.  */
  if (w->state == LEASE_WORKER_TAKING
      || now_us - w->answered_us > STALE_ANSWER_US)
    return 0;
  return now_us / 1000 + w->clock_offset_ms + LEASE_MAX_MS;
}

void
lease_look (struct lease_table *table, struct lease_worker *w, bool renew,
            int64_t now_us)
{
  int64_t deadline_ms = renew ? lease_deadline_ms (w, now_us) : 0;
  w->look_renews = deadline_ms != 0;
  w->look_us = now_us;
  w->retry_us = 0;
  if (deadline_ms != 0)
    w->renewed_us = now_us;
  bool trouble = w->trouble_us != 0 && now_us - w->trouble_us < TROUBLE_US;
  int wait_ms = trouble ? LOOK_WAIT_SHORT_MS : LOOK_WAIT_MS;
  table->ops->poll (table->ctx, w, deadline_ms,
                    deadline_ms != 0 ? wait_ms : 0);
}

/* No answer: nothing is renewed until one arrives, so that what runs lapses
   at a known time.  */
static void
look_failed (struct lease_table *table, struct lease_worker *w, int64_t now_us)
{
  if (w->state != LEASE_WORKER_SILENT
      && now_us - w->answered_us > LAPSE_US / 2)
    {
      w->state = LEASE_WORKER_SILENT;
      table->ops->changed (table->ctx, w);
    }
  if (now_us - w->renewed_us > LAPSE_US)
    lease_end_all (table, w, LEASE_END_STOPPED, now_us);
  w->trouble_us = now_us;
  pl_count (PL_CTR_LOOKS_LOST_TOTAL, 1);
  w->retry_us
      = now_us + (w->state == LEASE_WORKER_SILENT ? SILENT_RETRY_US : 0);
}

static enum lease_end
end_of (enum lease_outcome outcome)
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
           const struct lease_end_record *ended, int64_t now_us)
{
  struct lease_run *run = lease_run_find (w, &ended->id);
  if (ended->number <= w->last_end)
    return;
  w->last_end = ended->number;
  if (run == NULL)
    {
      /* Left by an earlier holder.  */
      table->ops->ended (table->ctx, w, 0, &ended->id, end_of (ended->outcome),
                         0);
      return;
    }
  /* When it ended is known only to a look that was waiting for it.  */
  if (!w->look_renews)
    run->started_us = 0;
  if (ended->outcome == LEASE_OUTCOME_DONE)
    lease_health_good (&w->health, lease_took_us (run, now_us), run->expect_us,
                       now_us);
  else if (ended->outcome == LEASE_OUTCOME_FAILED)
    lease_strike (table, w, now_us);
  lease_run_end (table, w, run, end_of (ended->outcome), now_us);
}

/* Marks listed runs; unknown ones are kept without an owner.  */
static void
apply_running (struct lease_table *table, struct lease_worker *w,
               const struct lease_running *running, int64_t now_us)
{
  struct lease_run *run = lease_run_find (w, &running->id);
  if (run == NULL)
    {
      run = lease_run_add (w, &running->id);
      run->state = LEASE_RUN_RUNNING;
      run->sent_us = now_us;
      if (w->state == LEASE_WORKER_HELD)
        lease_run_stop (table, w, run, now_us); /* a start carried out late */
    }
  if (run->started_us == 0)
    run->started_us = now_us;
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

/* Runs that are stopped for certain, and runs that have vanished.  */
static void
settle_missing (struct lease_table *table, struct lease_worker *w,
                const struct lease_poll_result *result, int64_t now_us)
{
  for (guint i = w->runs->len; i-- > 0;)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, i);
      if (is_listed (result, &run->id))
        continue;
      bool stopped = run->state == LEASE_RUN_STOPPING && run->settled_us > 0
                     && run->settled_us <= w->look_us;
      bool vanished = run->state == LEASE_RUN_RUNNING && run->started_us > 0
                      && run->started_us <= w->look_us;
      if (stopped || vanished)
        lease_run_end (table, w, run, LEASE_END_STOPPED, now_us);
    }
}

/* The same address answers as another incarnation: nothing of before runs. */
static void
check_incarnation (struct lease_table *table, struct lease_worker *w,
                   const struct lease_poll_result *result, int64_t now_us)
{
  if (result->incarnation_ms == 0
      || result->incarnation_ms == w->info.incarnation_ms)
    return;
  if (w->info.incarnation_ms != 0)
    {
      lease_end_all (table, w, LEASE_END_STOPPED, now_us);
      w->last_end = 0;
    }
  w->info.incarnation_ms = result->incarnation_ms;
}

static void
look_answered (struct lease_table *table, struct lease_worker *w,
               const struct lease_poll_result *result, int64_t now_us)
{
  bool first = w->state == LEASE_WORKER_TAKING;
  bool regained = w->state == LEASE_WORKER_SILENT;
  check_incarnation (table, w, result, now_us);
  w->answered_us = now_us;
  w->clock_offset_ms = result->clock_ms - now_us / 1000;
  for (unsigned i = 0; i < result->n_ended; i++)
    apply_end (table, w, &result->ended[i], now_us);
  for (unsigned i = 0; i < result->n_running; i++)
    apply_running (table, w, &result->running[i], now_us);
  settle_missing (table, w, result, now_us);
  w->state = LEASE_WORKER_HELD;
  lease_look (table, w, true, now_us);
  if (first)
    table->ops->taken (table->ctx, w);
  if (first || regained || result->n_ended > 0)
    table->ops->changed (table->ctx, w);
}

void
lease_poll_done (struct lease_table *table, uint64_t worker, int64_t token,
                 const struct lease_poll_result *result, int64_t now_us)
{
  struct lease_worker *w = lease_find (table, worker);
  if (w == NULL || w->token != token)
    return;
  switch (result->reply)
    {
    case LEASE_REPLY_OK:
      look_answered (table, w, result, now_us);
      break;
    case LEASE_REPLY_FENCED:
    case LEASE_REPLY_RESTARTED:
      lease_lose_by (table, w, result->reply, now_us);
      break;
    default:
      look_failed (table, w, now_us);
    }
}
