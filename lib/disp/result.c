/* Results of tasks: what they say about the worker, and what follows for the
   task and its job.  */
#include "disp_in.h"

#define BACKOFF_US 5000 /* before the first retry; doubles with each */
#define MAX_DOUBLINGS 5
#define HUNG_RATIO 4 /* run time over estimate that counts as a fault */

static const char *
status_name (enum run_status status)
{
  static const char *const names[] = {
    [RUN_OK] = "ok",           [RUN_NOT_SENT] = "not_sent",
    [RUN_REFUSED] = "refused", [RUN_FAILED] = "failed",
    [RUN_MAYBE] = "maybe",
  };
  return names[status];
}

/* Updates the worker's health and speed, and the size estimates.  A task that
   was cancelled says nothing about its worker, unless it ran far too long.  */
static void
learn_from_result (struct disp *disp, struct disp_task *task,
                   const struct run_result *result, bool unreachable)
{
  const struct disp_job *job = (const struct disp_job *)task->base.job;
  struct slot_worker *worker = task->worker;
  int64_t elapsed_us = disp_now (disp) - task->start_us;
  bool was_cancelled = g_atomic_int_get (&task->request->cancelled) != 0;
  bool hung = elapsed_us > HUNG_RATIO * task->base.size_us;
  switch (result->status)
    {
    case RUN_OK:
      slot_record_success (disp->slots, worker, job->kind);
      slot_learn_speed (disp->slots, worker, result->run_us,
                        task->base.size_us);
      sched_sizes_learn (disp->sizes, job->req->service, job->req->kind,
                         job->req->team, task->base.declared_us,
                         result->run_us);
      return;
    case RUN_NOT_SENT:
      if (unreachable)
        slot_record_failure (disp->slots, worker, NULL);
      return;
    default:
      if (was_cancelled && !hung)
        return;
      slot_record_failure (disp->slots, worker, job->kind);
      if (hung)
        slot_learn_speed (disp->slots, worker, elapsed_us, task->base.size_us);
    }
}

/* Counts requests that started nothing.  All other counters of requests are in
   lib/run.  */
static void
count_wasted (enum run_status status, bool unreachable)
{
  bool wasted
      = status == RUN_REFUSED || (status == RUN_NOT_SENT && unreachable);
  pl_count (PL_CTR_WASTED_MESSAGES_TOTAL, wasted);
}

/* Frees the slot of TASK.  */
static void
release_slot (struct disp *disp, struct disp_task *task)
{
  struct disp_job *job = (struct disp_job *)task->base.job;
  slot_release (disp->slots, task->worker, task->base.memory_mb);
  sched_task_ended (disp->sched, job->base.team);
  job->running--;
  disp->running--;
  task->worker = NULL;
  task->request = NULL;
}

static void
keep_answer (struct disp *disp, struct disp_task *task,
             const struct run_result *result)
{
  struct disp_job *job = (struct disp_job *)task->base.job;
  job->complete++;
  job->answer_bytes += g_bytes_get_size (result->answer);
  if (job->answer_bytes <= (size_t)disp->opts.conf->job_answer_bytes)
    task->answer = g_bytes_ref (result->answer);
}

static void
delay_task (struct disp *disp, struct disp_task *task, const char *reason)
{
  unsigned doublings = MIN (task->tries - 1, MAX_DOUBLINGS);
  task->phase = DISP_TASK_DELAYED;
  task->retry_us = disp_now (disp) + (BACKOFF_US << doublings);
  g_ptr_array_add (disp->delayed, task);
  struct disp_job *job = (struct disp_job *)task->base.job;
  pl_log (PL_EV_REPLACE, "task=%llx-%u reason=\"%s\"",
          (unsigned long long)job->number, task->index, reason);
  disp_arm_timer (disp, job);
}

/* Whether a task that ended with STATUS certainly did not start and may be
   placed again.  After a refusal by the upstream only the tasks of repeatable
   kinds are.  */
static bool
may_retry (const struct disp_job *job, enum run_status status)
{
  if (job->cause != PL_OK)
    return false;
  return status == RUN_NOT_SENT || (status == RUN_REFUSED && job->repeatable);
}

static enum job_task_state
state_after (enum run_status status)
{
  if (status == RUN_OK || status == RUN_FAILED)
    return JOB_TASK_RAN;
  return status == RUN_MAYBE ? JOB_TASK_MAYBE : JOB_TASK_NOT_RUN;
}

/* Updates TASK and its job by the result.  May free the job.  */
static void
apply_result (struct disp *disp, struct disp_task *task,
              const struct run_result *result)
{
  struct disp_job *job = (struct disp_job *)task->base.job;
  if (may_retry (job, result->status))
    {
      delay_task (disp, task, result->reason != NULL ? result->reason : "");
      return;
    }
  task->phase = DISP_TASK_ENDED;
  task->final_state = state_after (result->status);
  if (job->replied)
    {
      if (job->running == 0)
        disp_job_free (disp, job);
      return;
    }
  if (result->status == RUN_OK)
    keep_answer (disp, task, result);
  if (job->complete == job->n_tasks)
    disp_finish_job (disp, job);
  else if (result->status != RUN_OK || job->cause != PL_OK)
    disp_abort_job (disp, job, PL_NO_WORKER, "a task failed", false);
}

void
disp_handle_result (struct disp *disp, struct disp_msg *msg)
{
  struct run_task *request = msg->task;
  const struct run_result *result = msg->result;
  struct disp_task *task = request->user;
  const struct disp_job *job = (const struct disp_job *)task->base.job;
  task->failed_on = task->worker;
  bool late = disp_now (disp) >= job->deadline_us;
  bool unreachable = result->status == RUN_NOT_SENT && !late
                     && g_atomic_int_get (&request->cancelled) == 0;
  char text[PL_ADDR_TEXT];
  pl_log (PL_EV_TASK_END, "task=%s worker=%s result=%s run_us=%lld",
          request->id, pl_addr_text (request->addr, text),
          status_name (result->status), (long long)result->run_us);
  count_wasted (result->status, unreachable);
  learn_from_result (disp, task, result, unreachable);
  if (result->leaving)
    disp_mark_leaving (disp, request->addr, "upstream");
  release_slot (disp, task);
  apply_result (disp, task, result);
  run_task_free (request);
  run_result_free (msg->result);
}
