/* What is known of the starts of a job and its tasks.  */
#include "disp_in.h"

enum job_task_state
disp_task_state (const struct disp_task *task)
{
  if (task->phase == DISP_TASK_ENDED)
    return task->final_state;
  return task->phase == DISP_TASK_RUNNING ? JOB_TASK_MAYBE : JOB_TASK_NOT_RUN;
}

bool
disp_may_have_started (const struct disp_job *job)
{
  for (unsigned i = 0; i < job->n_tasks; i++)
    if (disp_task_state (&job->tasks[i]) != JOB_TASK_NOT_RUN)
      return true;
  return false;
}
