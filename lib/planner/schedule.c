/* One pass over the queue: which waiting tasks start now.  */
#include "planner_priv.h"

static void
place_task (struct planner_state *planner, struct job *job,
            struct worker_entry *w, uint32_t index, int64_t now_us)
{
  struct grant grant = {
    .tag = planner_task_tag (job->request.job, index),
    .token = w->report.token,
    .size = job->request.size,
    .granted_us = now_us,
  };
  struct planner_placement placement = {
    .report = &w->report,
    .used = planner_worker_used (w),
    .waited_us = now_us - job->request.arrival_us,
    .report_age_us = now_us - w->reported_us,
  };
  g_array_append_val (w->grants, grant);
  if (job->request.suspect)
    w->suspect_until_us = now_us + PLANNER_SUSPECT_GAP_US;
  planner_record_placed (job, index, w->report.worker);
  job->request.started = true;
  planner->ops->grant (planner->ctx, &job->request, index, &placement);
}

/* Places tasks of JOB until one has to wait.  */
static void
place_job (struct planner_state *planner, struct job *job, int64_t now_us)
{
  while (job->waiting->len > 0)
    {
      uint32_t index = g_array_index (job->waiting, uint32_t, 0);
      struct worker_entry *w
          = planner->policy->choose (planner, job, index, now_us);
      if (w == NULL)
        return;
      g_array_remove_index (job->waiting, 0);
      place_task (planner, job, w, index, now_us);
    }
}

/* Argument of compare_by_policy.  */
struct sort_context
{
  const struct planner_policy *policy;
  int64_t now_us;
};

static gint
compare_by_policy (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct sort_context *sort_context = user;
  return sort_context->policy->compare (
      *(struct job *const *)a, *(struct job *const *)b, sort_context->now_us);
}

void
planner_schedule (struct planner_state *planner, int64_t now_us)
{
  if (planner->jobs->len == 0)
    return;
  struct sort_context sort_context = { planner->policy, now_us };
  g_array_set_size (planner->full, 0);
  g_ptr_array_sort_with_data (planner->jobs, compare_by_policy, &sort_context);
  for (guint i = 0; i < planner->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      if (!planner_is_hopeless (job, now_us))
        place_job (planner, job, now_us);
    }
  planner_refuse_jobs (planner, now_us);
  planner_remove_placed_jobs (planner);
}
