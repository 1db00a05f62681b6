/* Work that is due at a time: job timers, retries and the periodic tick.  */
#include "disp_in.h"

#define IDLE_WAIT_US 50000    /* longest wait without a message */
#define BUDGET_RETRY_US 50000 /* delay of a task if the budget is empty */

/* Finishes, aborts or rearms JOB, whose timer has fired.  */
static void
check_job (struct disp *disp, struct disp_job *job, int64_t now)
{
  if (job->cause != PL_OK)
    {
      disp_finish_job (disp, job);
      return;
    }
  if (now >= job->deadline_us)
    {
      disp_abort_job (disp, job, PL_DEADLINE_LOST, "the deadline has passed",
                      true);
      return;
    }
  if (now >= job->latest_start_us && !disp_may_have_started (job))
    {
      disp_abort_job (disp, job, PL_DEADLINE_LOST, "the deadline can't be met",
                      true);
      return;
    }
  if (!job->permitted && now >= job->permit_give_up_us)
    {
      disp_abort_job (disp, job, PL_NO_PERMIT, "the witness does not answer",
                      true);
      return;
    }
  if (!job->permitted && now >= job->permit_resend_us)
    disp_request_permit (disp, job);
  disp_arm_timer (disp, job);
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
      check_job (disp, job, now);
    }
}

/* Queues delayed tasks again, as far as the retry budget allows.  */
static void
requeue_delayed (struct disp *disp, int64_t now)
{
  for (unsigned i = disp->delayed->len; i > 0; i--)
    {
      struct disp_task *task = disp->delayed->pdata[i - 1];
      if (now < task->retry_us)
        continue;
      if (!sched_use_retry (disp->sched))
        {
          const struct disp_job *job = (const struct disp_job *)task->base.job;
          pl_log (PL_EV_RETRY_BUDGET, "task=%llx-%u",
                  (unsigned long long)job->number, task->index);
          task->retry_us = now + BUDGET_RETRY_US;
          continue;
        }
      g_ptr_array_remove_index_fast (disp->delayed, i - 1);
      task->phase = DISP_TASK_QUEUED;
      task->queued_us = now;
      sched_requeue (disp->sched, &task->base);
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
    .free_slots = slot_free_total (disp->slots),
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
  requeue_delayed (disp, now);
  if (now < disp->next_tick_us)
    return;
  disp->next_tick_us = now + DISP_TICK_US;
  disp_load_snapshots (disp);
  slot_tick (disp->slots);
  claim_tick (disp->claims);
  disp_return_idle_slots (disp);
  publish_status (disp);
}

int64_t
disp_sleep_us (const struct disp *disp)
{
  int64_t now = disp_now (disp);
  bool has_jobs = disp->unfinished > 0;
  if (!has_jobs && slot_has_peer_request (disp->slots))
    return DISP_TICK_US;
  int64_t until
      = has_jobs ? MAX (disp->next_tick_us, now) : now + IDLE_WAIT_US;
  GSequenceIter *it = g_sequence_get_begin_iter (disp->timers);
  if (!g_sequence_iter_is_end (it))
    until = MIN (until, ((struct disp_job *)g_sequence_get (it))->due_us);
  return MAX (until - now, 0);
}
