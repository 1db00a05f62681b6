/* What is known of a job and its tasks.  */
#include "disp_in.h"

enum job_task_state
disp_known (const struct disp_task *task)
{
  if (task->phase == DISP_TASK_OVER)
    return task->known;
  return task->phase == DISP_TASK_RUNNING ? JOB_TASK_MAYBE : JOB_TASK_NOT_RUN;
}

bool
disp_started (const struct disp_job *job)
{
  for (unsigned i = 0; i < job->n_tasks; i++)
    if (disp_known (&job->tasks[i]) != JOB_TASK_NOT_RUN)
      return true;
  return false;
}
