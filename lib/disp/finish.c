/* The end of jobs: aborts, final replies, release.  */
#include "disp_in.h"

/* The result code of a job that was aborted, from the cause and what is known
   of its tasks.  */
static enum pl_code
code_for_cause (const struct disp_job *job, const enum job_task_state *states)
{
  bool ran = false;
  bool maybe = false;
  for (unsigned i = 0; i < job->n_tasks; i++)
    {
      ran = ran || states[i] == JOB_TASK_RAN;
      maybe = maybe || states[i] == JOB_TASK_MAYBE;
    }
  if (!ran && !maybe)
    return job->cause;
  if (job->cause == PL_CANCELLED)
    return ran ? PL_CANCELLED_RAN : PL_UNKNOWN_CANCELLED;
  if (job->cause == PL_ANSWER_TOO_LARGE)
    return PL_ANSWER_TOO_LARGE;
  if (!ran)
    return PL_UNKNOWN_LOST;
  return job->cause == PL_DEADLINE_LOST ? PL_DEADLINE_RAN : PL_FAILED_RAN;
}

static struct job_reply *
error_reply (struct disp *disp, const struct disp_job *job)
{
  enum job_task_state *states = g_new (enum job_task_state, job->n_tasks);
  for (unsigned i = 0; i < job->n_tasks; i++)
    states[i] = disp_task_state (&job->tasks[i]);
  enum pl_code code = code_for_cause (job, states);
  int64_t retry_ms = 0;
  if (pl_code_info (code)->outcome == PL_OUTCOME_NOT_RUN)
    retry_ms = sched_expected_wait_us (disp->sched, &job->base,
                                       slot_held_total (disp->slots))
                   / 1000
               + 1;
  struct job_reply *reply
      = job_reply_error (pl_str (job->req->key), code, retry_ms, job->detail,
                         states, job->n_tasks);
  g_free (states);
  return reply;
}

static struct job_reply *
complete_reply (struct disp *disp, struct disp_job *job)
{
  if (job->answer_bytes > (size_t)disp->opts.conf->job_answer_bytes)
    {
      job->cause = PL_ANSWER_TOO_LARGE;
      job->detail = "the answers are larger than job-answer-bytes";
      return error_reply (disp, job);
    }
  g_autofree GBytes **answers = g_new (GBytes *, job->n_tasks);
  for (unsigned i = 0; i < job->n_tasks; i++)
    answers[i] = job->tasks[i].answer;
  return job_reply_complete (pl_str (job->req->key),
                             disp_now (disp) - job->base.arrival_us, answers,
                             job->n_tasks);
}

static void
report_end (const struct disp *disp, const struct disp_job *job,
            enum pl_code code)
{
  static const enum pl_counter counters[] = {
    [PL_OUTCOME_COMPLETE] = PL_CTR_JOBS_COMPLETE_TOTAL,
    [PL_OUTCOME_NOT_RUN] = PL_CTR_JOBS_NOT_RUN_TOTAL,
    [PL_OUTCOME_FAILED] = PL_CTR_JOBS_FAILED_TOTAL,
    [PL_OUTCOME_UNKNOWN] = PL_CTR_JOBS_UNKNOWN_TOTAL,
  };
  enum pl_outcome outcome = pl_code_info (code)->outcome;
  if (outcome != PL_OUTCOME_NONE)
    pl_count (counters[outcome], 1);
  if (outcome == PL_OUTCOME_NOT_RUN)
    pl_log (PL_EV_REFUSE, "key=%s code=%d detail=\"%s\"", job->req->key, code,
            job->detail);
  pl_log (PL_EV_DONE, "key=%s code=%d tasks=%u response_us=%lld",
          job->req->key, code, job->n_tasks,
          (long long)(disp_now (disp) - job->base.arrival_us));
}

void
disp_reply_all (struct disp *disp, struct disp_job *job,
                struct job_reply *reply)
{
  claim_finish (disp->claims, job->record, reply);
  for (unsigned i = 0; i < job->waiters->len; i++)
    {
      struct disp_waiter *waiter
          = &g_array_index (job->waiters, struct disp_waiter, i);
      waiter->done (reply, waiter->user);
    }
  job_reply_unref (reply);
}

void
disp_finish_job (struct disp *disp, struct disp_job *job)
{
  struct job_reply *reply = job->complete == job->n_tasks
                                ? complete_reply (disp, job)
                                : error_reply (disp, job);
  report_end (disp, job, reply->code);
  job->replied = true;
  disp_disarm_timer (job);
  g_hash_table_remove (disp->permits, &job->hash);
  disp->unfinished--;
  claim_record_set_user (job->record, NULL);
  disp_reply_all (disp, job, reply);
  if (job->running == 0)
    disp_job_free (disp, job);
}

static void
drop_delayed (struct disp *disp, const struct disp_job *job)
{
  for (unsigned i = disp->delayed->len; i > 0; i--)
    {
      const struct disp_task *task = disp->delayed->pdata[i - 1];
      if (task->base.job == &job->base)
        g_ptr_array_remove_index_fast (disp->delayed, i - 1);
    }
}

static void
cancel_running (struct disp *disp, struct disp_job *job)
{
  for (unsigned i = 0; i < job->n_tasks; i++)
    {
      struct disp_task *task = &job->tasks[i];
      if (task->phase != DISP_TASK_RUNNING)
        continue;
      g_atomic_int_set (&task->request->cancelled, 1);
      if (disp->run != NULL)
        run_cancel (disp->run, task->request->addr, task->request->id);
      else
        disp->opts.run_ops->cancel (disp->opts.run_ops, task->request->addr,
                                    task->request->id);
    }
}

void
disp_abort_job (struct disp *disp, struct disp_job *job, enum pl_code cause,
                const char *detail, bool now)
{
  if (job->cause == PL_OK)
    {
      job->cause = cause;
      job->detail = detail;
      job->grace_us = MIN (disp_now (disp) + DISP_GRACE_US, job->deadline_us);
      sched_drop (disp->sched, &job->base);
      drop_delayed (disp, job);
      g_hash_table_remove (disp->permits, &job->hash);
      cancel_running (disp, job);
    }
  if (now || job->running == 0)
    disp_finish_job (disp, job);
  else
    disp_arm_timer (disp, job);
}

void
disp_job_free (struct disp *disp, struct disp_job *job)
{
  sched_drop (disp->sched, &job->base);
  for (unsigned i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].answer != NULL)
      g_bytes_unref (job->tasks[i].answer);
  job_req_unref (job->req);
  g_array_unref (job->waiters);
  g_free (job->tasks);
  g_free (job->kind);
  g_free (job);
}
