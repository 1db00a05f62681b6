/* Placement: starts queued tasks on workers with a free slot.  */
#include "disp_in.h"

#include <stdio.h>

#define MAX_SKIPS 32          /* jobs passed over in one call */
#define LAST_TASKS_DIVISOR 10 /* 1/N of a job's tasks are its last ones */
#define WAIT_DIVISOR 4        /* last tasks wait for up to 1/N of their size */

/* Whether TASK should rather wait for a worker that is not slow.  Only the
   last tasks of a job wait, as they decide when it ends, and only for a part
   of their estimated run time: a longer wait would cost more than a run on a
   worker that is only just too slow.  */
static bool
should_avoid_slow (const struct disp *disp, const struct disp_task *task)
{
  const struct disp_job *job = (const struct disp_job *)task->base.job;
  if ((job->base.queued->len - 1) * LAST_TASKS_DIVISOR > job->n_tasks)
    return false;
  return disp_now (disp) - task->queued_us < task->base.size_us / WAIT_DIVISOR;
}

static struct run_task *
new_run_task (const struct disp *disp, const struct disp_job *job,
              const struct disp_task *task)
{
  struct run_task *request = g_new0 (struct run_task, 1);
  snprintf (request->id, sizeof request->id, "%016llx-%llx-%u-%u",
            (unsigned long long)disp->opts.self,
            (unsigned long long)job->number, task->index, task->tries);
  request->addr = task->worker->addr;
  request->kind = g_strdup (job->kind);
  request->input = g_bytes_ref (job->req->tasks[task->index].input);
  request->deadline_us = job->deadline_us;
  request->user = (void *)task;
  return request;
}

static void
log_placement (const struct disp *disp, const struct disp_task *task)
{
  char text[PL_ADDR_TEXT];
  unsigned slot = task->worker->in_use;
  pl_log (PL_EV_PLACE,
          "task=%s worker=%s slot=%u wait_us=%lld policy=%s"
          " borrowed=%d",
          task->request->id, pl_addr_text (task->worker->addr, text), slot,
          (long long)(task->start_us - task->queued_us),
          disp->opts.conf->policy, slot_uses_borrowed (task->worker));
}

static void
start_task (struct disp *disp, struct disp_task *task,
            struct slot_worker *worker)
{
  struct disp_job *job = (struct disp_job *)task->base.job;
  sched_take (disp->sched, &task->base);
  slot_take (disp->slots, worker, task->base.memory_mb);
  sched_count_start (disp->sched);
  task->phase = DISP_TASK_RUNNING;
  task->worker = worker;
  task->tries++;
  task->start_us = disp_now (disp);
  task->request = new_run_task (disp, job, task);
  job->running++;
  disp->running++;
  log_placement (disp, task);
  if (disp->run != NULL)
    run_start (disp->run, task->request);
  else
    disp->opts.run_ops->start (disp->opts.run_ops, task->request);
}

/* The number of runner threads without a task.  While there is none, tasks
   stay queued here, where they have certainly not started and may still get
   another slot.  */
static unsigned
free_runners (const struct disp *disp)
{
  if (disp->run == NULL)
    return UINT_MAX;
  unsigned threads = (unsigned)disp->opts.conf->runner_threads;
  return threads > disp->running ? threads - disp->running : 0;
}

void
disp_place_tasks (struct disp *disp)
{
  if (sched_runnable (disp->sched) == 0)
    return;
  unsigned remaining
      = MIN (slot_free_total (disp->slots), free_runners (disp));
  unsigned skips = 0;
  while (remaining > 0 && skips < MAX_SKIPS)
    {
      struct disp_task *task = (struct disp_task *)sched_peek (disp->sched);
      if (task == NULL)
        break;
      struct slot_worker *worker
          = slot_choose (disp->slots, task->base.memory_mb,
                         should_avoid_slow (disp, task), task->failed_on);
      if (worker == NULL)
        {
          sched_skip (disp->sched, &task->base);
          skips++;
          continue;
        }
      start_task (disp, task, worker);
      remaining--;
    }
  sched_unskip (disp->sched);
}
