/* When unanswered jobs need attention.  */
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
next_due (const struct disp_job *job)
{
  if (job->cause != PL_OK)
    return job->grace_us;
  int64_t due = job->deadline_us;
  if (job->running == 0 && job->latest_us < due && !disp_started (job))
    due = job->latest_us;
  if (!job->permitted)
    due = MIN (due, MIN (job->resend_us, job->give_up_us));
  return due;
}

void
disp_disarm (struct disp_job *job)
{
  if (job->timer != NULL)
    g_sequence_remove (job->timer);
  job->timer = NULL;
}

void
disp_arm (struct disp *disp, struct disp_job *job)
{
  disp_disarm (job);
  job->due_us = next_due (job);
  job->timer = g_sequence_insert_sorted (disp->timers, job, by_due, NULL);
}
