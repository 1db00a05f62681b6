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
  set_renewal_withheld (table, w, !lease_may_renew (table, w));
  if (w->renewal_withheld)
    w->next_poll_us = now_us + WITHHELD_POLL_US;
  else
    send_poll (table, w, true, wait_ms, now_us);
}

void
lease_poll_again (struct lease_table *table, struct lease_worker *w,
                  int64_t now_us)
{
  if (w->renewal_withheld && lease_may_renew (table, w))
    poll_answering_worker (table, w, usual_wait_ms (table, w, now_us), now_us);
  else
    lease_send_poll (table, w, now_us);
}

/* Ends the runs that the silent worker has acknowledged.  A start without an
   answer stays: it may wait for the worker's next process, which counts its
   clock anew and would not refuse it as late.  */
static void
end_acknowledged_runs (struct lease_table *table, struct lease_worker *w,
                       enum lease_end end, int64_t now_us)
{
  lease_blame_runs (table, w, LEASE_CAUSE_EXPIRED);
  for (guint i = w->runs->len; i-- > 0;)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, i);
      if (lease_is_acknowledged (run))
        lease_end_run (table, w, run, end, LEASE_CAUSE_EXPIRED, now_us);
    }
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
  end_acknowledged_runs (table, w, end, now_us);
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

/* Whether the worker answers as another incarnation than before, so that
   orders to the former one may be carried out by it.  */
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
  bool was_silent = w->state == LEASE_WORKER_SILENT;
  bool restarted = update_incarnation (w, result) && w->answered
                   && w->token != LEASE_PROBE_TOKEN;
  bool first = !w->answered || (w->fencing && !restarted);
  if (restarted)
    lease_apply_restart (table, w, now_us);
  /* Calls with an older token may have renewed the lease until now.  */
  if (first || restarted)
    w->renewed_us = now_us;
  w->answered = true;
  w->answered_us = now_us;
  w->clock_offset_ms = result->clock_ms - now_us / 1000;
  lease_apply_lists (table, w, result, now_us);
  if (first)
    lease_apply_fence (table, w, result, now_us);
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
  bool had_answer = w->poll_reply == LEASE_REPLY_OK;
  w->poll_reply = result->reply;
  if (had_answer != (result->reply == LEASE_REPLY_OK))
    table->ops->changed (table->ctx, w);
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
