/* Timers of unanswered jobs.  A job has one timer, set to its next event: the
   deadline, the latest start, or the time to resend or give up the request for
   the permit.  An aborted job waits for the end of its grace only.  */
#include "disp_in.h"

static int
by_due (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct disp_job *x = a;
  const struct disp_job *y = b;
  return (x->due_us > y->due_us) - (x->due_us < y->due_us);
}

static int64_t
next_due_us (const struct disp_job *job)
{
  if (job->cause != PL_OK)
    return job->grace_us;
  int64_t next_us = job->deadline_us;
  if (job->running == 0 && job->latest_start_us < next_us
      && !disp_may_have_started (job))
    next_us = job->latest_start_us;
  if (!job->permitted)
    next_us
        = MIN (next_us, MIN (job->permit_resend_us, job->permit_give_up_us));
  return next_us;
}

void
disp_disarm_timer (struct disp_job *job)
{
  if (job->timer != NULL)
    g_sequence_remove (job->timer);
  job->timer = NULL;
}

void
disp_arm_timer (struct disp *disp, struct disp_job *job)
{
  disp_disarm_timer (job);
  job->due_us = next_due_us (job);
  job->timer = g_sequence_insert_sorted (disp->timers, job, by_due, NULL);
}
