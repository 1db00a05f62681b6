/* Polls of a worker: they renew the lease, acknowledge ends, and return what
   runs and what has ended.  */
#include "lease_priv.h"

#define POLL_WAIT_MS 400 /* renews the lease well before it expires */
/* An end whose answer is lost is learnt of from the next poll, up to a wait
   later.  While answers are being lost, polls therefore wait for less, but not
   so little that they load a slow link: for this multiple of a call's time. */
#define POLL_WAIT_SHORT_MS 40
#define POLL_WAIT_CALLS 8
#define POLL_WAIT_SHORT_FOR_US 3000000 /* since the latest lost answer */
/* Pause between polls of a worker whose lease is not renewed.  */
#define WITHHELD_POLL_US 20000
/* Pause between polls of a silent worker; each opens a new connection.  */
#define SILENT_POLL_US 100000
#define CLOCK_VALID_US 900000 /* an older reading of its clock is not used */

/* Whether the lease that RUN has may be renewed: its owner has heard this
   holder lately, and so does not start the task again before the lease would
   expire; or the run ends soon, as the worker has acknowledged its stop.  */
static bool
is_renewable (const struct lease_table *table, const struct lease_run *run)
{
  if (run->stop_acked_us != 0)
    return true;
  return run->owner != 0 && table->ops->is_heard_by (table->ctx, run->owner);
}

/* The lease is one for all runs on the worker.  */
static bool
may_renew (const struct lease_table *table, const struct lease_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    if (!is_renewable (table, g_ptr_array_index (w->runs, i)))
      return false;
  return true;
}

int64_t
lease_deadline_ms (const struct lease_table *table,
                   const struct lease_worker *w, int64_t now_us)
{
  /* Before the first answer the worker's clock is not known.  */
  if (!w->answered || now_us - w->answered_us > CLOCK_VALID_US
      || !may_renew (table, w))
    return 0;
  return now_us / 1000 + w->clock_offset_ms + LEASE_MAX_MS;
}

static void
send_poll (struct lease_table *table, struct lease_worker *w, bool renew,
           int wait_ms, int64_t now_us)
{
  int64_t deadline_ms = renew ? lease_deadline_ms (table, w, now_us) : 0;
  w->poll_renews = deadline_ms != 0;
  /* After a poll without an answer, the worker may have been restarted; its
     new process numbers ends from 1 again, and would forget those that were
     not read yet.  */
  w->acked_end = w->poll_reply == LEASE_REPLY_OK ? w->last_end : 0;
  w->polled_us = now_us;
  w->next_poll_us = 0;
  if (deadline_ms != 0)
    w->renewed_us = now_us;
  w->poll_wait_ms = deadline_ms != 0 ? wait_ms : 0;
  table->ops->poll (table->ctx, w, deadline_ms, w->poll_wait_ms);
}

static int
usual_wait_ms (const struct lease_table *table, const struct lease_worker *w,
               int64_t now_us)
{
  bool answers_lost = w->poll_lost_us != 0
                      && now_us - w->poll_lost_us < POLL_WAIT_SHORT_FOR_US;
  if (!answers_lost)
    return POLL_WAIT_MS;
  int calls_ms = (int)(POLL_WAIT_CALLS * table->call_time.smoothed_us / 1000);
  return CLAMP (calls_ms, POLL_WAIT_SHORT_MS, POLL_WAIT_MS);
}

/* Learns the time of a call from a poll that was answered when its wait ended.
 */
static void
learn_call_time (struct lease_table *table, const struct lease_worker *w,
                 const struct lease_poll_result *result, int64_t now_us)
{
  int64_t took_us = now_us - w->polled_us - (int64_t)w->poll_wait_ms * 1000;
  if (result->n_ended == 0 && took_us > 0)
    lease_call_answered (&table->call_time, took_us);
}

void
lease_send_poll (struct lease_table *table, struct lease_worker *w,
                 int64_t now_us)
{
  send_poll (table, w, false, 0, now_us);
}

static void
set_renewal_withheld (struct lease_table *table, struct lease_worker *w,
                      bool withheld)
{
  if (w->renewal_withheld == withheld)
    return;
  w->renewal_withheld = withheld;
  table->ops->changed (table->ctx, w);
}

/* Sends the next poll of a worker that answers.  */
static void
poll_answering_worker (struct lease_table *table, struct lease_worker *w,
                       int wait_ms, int64_t now_us)
{
  set_renewal_withheld (table, w, !may_renew (table, w));
  if (w->renewal_withheld)
    w->next_poll_us = now_us + WITHHELD_POLL_US;
  else
    send_poll (table, w, true, wait_ms, now_us);
}

void
lease_poll_again (struct lease_table *table, struct lease_worker *w,
                  int64_t now_us)
{
  if (w->renewal_withheld && may_renew (table, w))
    poll_answering_worker (table, w, usual_wait_ms (table, w, now_us), now_us);
  else
    lease_send_poll (table, w, now_us);
}

/* This holder's last renewal has expired.  That ends the runs only if nobody
   else has renewed their lease.  Where another instance may have, the worker
   is asked once more, since it can tell; without an answer it is not known
   whether they run.  */
static void
on_lease_expired (struct lease_table *table, struct lease_worker *w,
                  int64_t now_us)
{
  enum lease_end end = LEASE_END_STOPPED;
  if (table->ops->may_be_taken (table->ctx, w, w->renewed_us))
    {
      if (w->polled_us - w->renewed_us <= LEASE_EXPIRY_US)
        return;
      end = LEASE_END_UNKNOWN;
    }
  lease_end_all_runs (table, w, end, LEASE_CAUSE_EXPIRED, now_us);
}

/* A poll got no answer.  The lease is not renewed until an answer arrives, so
   that it expires at a known time.  */
static void
on_poll_failed (struct lease_table *table, struct lease_worker *w,
                enum lease_reply reply, int64_t now_us)
{
  /* That a silent worker is silent says nothing of the time of calls.  */
  if (w->state == LEASE_WORKER_HELD && reply != LEASE_REPLY_CONN_REFUSED)
    lease_call_lost (&table->call_time);
  /* A worker that refuses connections has ended or is cut off.  */
  bool silent = reply == LEASE_REPLY_CONN_REFUSED
                || now_us - w->answered_us > LEASE_EXPIRY_US / 2;
  if (w->state != LEASE_WORKER_SILENT && silent)
    {
      w->state = LEASE_WORKER_SILENT;
      table->ops->silent (table->ctx, w, reply, now_us - w->answered_us);
      table->ops->changed (table->ctx, w);
    }
  if (now_us - w->renewed_us > LEASE_EXPIRY_US)
    on_lease_expired (table, w, now_us);
  w->poll_lost_us = now_us;
  set_renewal_withheld (table, w, false);
  pl_count (PL_CTR_LOOKS_LOST_TOTAL, 1);
  w->next_poll_us
      = now_us + (w->state == LEASE_WORKER_SILENT ? SILENT_POLL_US : 0);
}

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
    lease_record_success (&w->health, lease_run_time_us (run, now_us),
                          run->expect_us, now_us);
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
      if (w->state == LEASE_WORKER_HELD)
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

/* The worker's process was restarted: runs that the former process has listed
   have ended with it, and ends are numbered from 1 again.  A start that was
   not listed may have reached either process.  It is settled by what the new
   one lists and acknowledges; a stop that the former one has acknowledged
   says nothing of the new one and is ordered again.  */
static void
on_restarted (struct lease_table *table, struct lease_worker *w,
              int64_t now_us)
{
  w->last_end = 0;
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

/* Whether the worker answers as another incarnation than before.  */
static bool
update_incarnation (struct lease_worker *w,
                    const struct lease_poll_result *result)
{
  int64_t before_ms = w->info.incarnation_ms;
  if (result->incarnation_ms == 0 || result->incarnation_ms == before_ms)
    return false;
  w->info.incarnation_ms = result->incarnation_ms;
  return before_ms != 0;
}

static void
on_poll_answered (struct lease_table *table, struct lease_worker *w,
                  const struct lease_poll_result *result, int64_t now_us)
{
  learn_call_time (table, w, result, now_us);
  bool first = !w->answered;
  bool was_silent = w->state == LEASE_WORKER_SILENT;
  bool restarted = update_incarnation (w, result);
  if (restarted)
    on_restarted (table, w, now_us);
  w->answered = true;
  w->answered_us = now_us;
  w->clock_offset_ms = result->clock_ms - now_us / 1000;
  for (unsigned i = 0; i < result->n_ended; i++)
    apply_end (table, w, &result->ended[i], now_us);
  for (unsigned i = 0; i < result->n_running; i++)
    apply_running (table, w, &result->running[i], now_us);
  end_unlisted_runs (table, w, result, now_us);
  w->state = LEASE_WORKER_HELD;
  /* After a restart the next list, which settles what this one does not, is
     asked for at once.  */
  poll_answering_worker (
      table, w, restarted ? 0 : usual_wait_ms (table, w, now_us), now_us);
  if (first)
    {
      w->taken_us = now_us;
      table->ops->taken (table->ctx, w);
    }
  if (first || was_silent || result->n_ended > 0)
    table->ops->changed (table->ctx, w);
}

void
lease_poll_done (struct lease_table *table, uint64_t worker, int64_t token,
                 const struct lease_poll_result *result, int64_t now_us)
{
  struct lease_worker *w = lease_find_worker (table, worker);
  if (w == NULL || w->token != token)
    return;
  w->poll_reply = result->reply;
  switch (result->reply)
    {
    case LEASE_REPLY_OK:
      on_poll_answered (table, w, result, now_us);
      break;
    case LEASE_REPLY_FENCED:
    case LEASE_REPLY_RESTARTED:
      lease_drop_for_reply (table, w, result->reply, now_us);
      break;
    default:
      on_poll_failed (table, w, result->reply, now_us);
    }
}
