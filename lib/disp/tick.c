#include "disp_in.h"

#define IDLE_WAIT_US 50000   /* longest wait without a message */
#define BUDGET_WAIT_US 50000 /* before the retry budget is asked again */

/* Does what JOB needs now.  */
static void
attend (struct disp *disp, struct disp_job *job, int64_t now)
{
  if (job->cause != PL_OK)
    {
      disp_finish (disp, job);
      return;
    }
  if (now >= job->deadline_us)
    {
      disp_end (disp, job, PL_DEADLINE_LOST, "the deadline has passed", true);
      return;
    }
  if (now >= job->latest_us && !disp_started (job))
    {
      disp_end (disp, job, PL_DEADLINE_LOST, "the deadline can't be met",
                true);
      return;
    }
  if (!job->permitted && now >= job->give_up_us)
    {
      disp_end (disp, job, PL_NO_PERMIT, "the witness does not answer", true);
      return;
    }
  if (!job->permitted && now >= job->resend_us)
    disp_permit_ask (disp, job);
  disp_arm (disp, job);
}

static void
run_timers (struct disp *disp, int64_t now)
{
  for (;;)
    {
      GSequenceIter *it = g_sequence_get_begin_iter (disp->timers);
      if (g_sequence_iter_is_end (it))
        return;
      struct disp_job *job = g_sequence_get (it);
      if (job->due_us > now)
        return;
      attend (disp, job, now);
    }
}

/* Queues delayed tasks again, as far as the retry budget allows.  */
static void
run_delayed (struct disp *disp, int64_t now)
{
  for (unsigned i = disp->delayed->len; i > 0; i--)
    {
      struct disp_task *task = disp->delayed->pdata[i - 1];
      if (now < task->again_us)
        continue;
      if (!sched_retry (disp->sched))
        {
          const struct disp_job *job = (const struct disp_job *)task->base.job;
          pl_log (PL_EV_RETRY_BUDGET, "task=%llx-%u",
                  (unsigned long long)job->number, task->index);
          task->again_us = now + BUDGET_WAIT_US;
          continue;
        }
      g_ptr_array_remove_index_fast (disp->delayed, i - 1);
      task->phase = DISP_TASK_QUEUED;
      task->queued_us = now;
      sched_again (disp->sched, &task->base);
      pl_count (PL_CTR_TASK_REPLACED_TOTAL, 1);
    }
}

static void
publish_status (struct disp *disp)
{
  struct disp_status status = {
    .closed = disp->closed,
    .queued_tasks = sched_queued (disp->sched),
    .running_tasks = disp->running,
    .unfinished_jobs = disp->unfinished,
    .records = claim_count_records (disp->claims),
    .free_slots = slot_free_all (disp->slots),
    .epoch = claim_current_epoch (disp->claims),
  };
  g_mutex_lock (&disp->lock);
  disp->status = status;
  g_mutex_unlock (&disp->lock);
  pl_gauge_set (PL_CTR_QUEUE_TASKS, status.queued_tasks);
  pl_gauge_set (PL_CTR_RUNNING_TASKS, status.running_tasks);
  pl_gauge_set (PL_CTR_OWNER_RECORDS, status.records);
}

void
disp_tick (struct disp *disp)
{
  int64_t now = disp_now (disp);
  run_timers (disp, now);
  run_delayed (disp, now);
  if (now < disp->tick_us)
    return;
  disp->tick_us = now + DISP_TICK_US;
  disp_refresh (disp);
  slot_tick (disp->slots);
  claim_tick (disp->claims);
  disp_lend_tick (disp);
  publish_status (disp);
}

int64_t
disp_wait_us (const struct disp *disp)
{
  int64_t now = disp_now (disp);
  bool busy = disp->unfinished > 0;
  if (!busy && slot_wanted (disp->slots))
    return DISP_TICK_US;
  int64_t until = busy ? MAX (disp->tick_us, now) : now + IDLE_WAIT_US;
  GSequenceIter *it = g_sequence_get_begin_iter (disp->timers);
  if (!g_sequence_iter_is_end (it))
    until = MIN (until, ((struct disp_job *)g_sequence_get (it))->due_us);
  return MAX (until - now, 0);
}
