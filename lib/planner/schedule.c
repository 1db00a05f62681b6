/* One pass over the queue: which waiting tasks start now.  */
#include "planner_priv.h"

/* Has index, reservations and timeouts reflect the grant on W.  */
static void
note_start (struct planner_state *planner, struct job *job,
            struct worker_entry *w, int64_t now_us)
{
  struct grant_timeout *timeout = g_new (struct grant_timeout, 1);
  *timeout = (struct grant_timeout){ w->report.worker,
                                     now_us + PLANNER_GRANT_TIMEOUT_US };
  g_queue_push_tail (&planner->timeouts, timeout);
  planner_end_promise (job, now_us);
  planner_record_start (planner, w, job, now_us);
  planner_index_worker (planner, w);
}

static struct grant
make_grant (const struct worker_entry *w, const struct job *job,
            uint32_t index, int64_t now_us)
{
  return (struct grant){
    .tag = planner_task_tag (job->request.job, index),
    .token = w->report.token,
    .size = job->request.size,
    .granted_us = now_us,
    .run_us = planner_run_us_on (w, job),
  };
}

static void
place_task (struct planner_state *planner, struct job *job,
            struct worker_entry *w, uint32_t index, int64_t now_us)
{
  struct grant grant = make_grant (w, job, index, now_us);
  struct planner_placement placement = {
    .report = &w->report,
    .used = planner_worker_used (w),
    .waited_us = now_us - job->request.arrival_us,
    .report_age_us = now_us - w->reported_us,
  };
  g_array_append_val (w->grants, grant);
  if (planner->policy->looks_ahead)
    note_start (planner, job, w, now_us);
  if (job->request.suspect)
    w->suspect_until_us = now_us + PLANNER_SUSPECT_GAP_US;
  planner_record_placed (job, index, w->report.worker);
  job->request.started = true;
  planner->ops->grant (planner->ctx, &job->request, index, &placement);
}

/* Places tasks of JOB until one has to wait for room.  */
static void
place_job (struct planner_state *planner, struct job *job, int64_t now_us)
{
  guint n_running = 0; /* tasks passed over */
  while (job->waiting->len > n_running)
    {
      uint32_t index = g_array_index (job->waiting, uint32_t, n_running);
      if (planner_is_running (planner, job, index, now_us))
        {
          n_running++;
          job->request.started = true;
          continue;
        }
      struct worker_entry *w
          = planner->policy->choose (planner, job, index, now_us);
      if (w == NULL)
        {
          if (planner->policy->looks_ahead)
            planner_reserve_for (planner, job, now_us);
          return;
        }
      g_array_remove_index (job->waiting, n_running);
      place_task (planner, job, w, index, now_us);
    }
}

/* Chooses workers for all waiting tasks of JOB, each with the former ones in
   mind, and appends them to WORKERS until there is none.  Places nothing.  */
static void
choose_all (struct planner_state *planner, struct job *job, GPtrArray *workers,
            int64_t now_us)
{
  for (guint i = 0; i < job->waiting->len; i++)
    {
      uint32_t index = g_array_index (job->waiting, uint32_t, i);
      if (planner_is_running (planner, job, index, now_us))
        break;
      struct worker_entry *w
          = planner->policy->choose (planner, job, index, now_us);
      if (w == NULL)
        break;
      struct grant grant = make_grant (w, job, index, now_us);
      g_array_append_val (w->grants, grant);
      planner_index_worker (planner, w);
      planner_record_placed (job, index, w->report.worker);
      g_ptr_array_add (workers, w);
    }
  for (guint i = 0; i < workers->len; i++)
    {
      const struct worker_entry *w = workers->pdata[i];
      uint32_t index = g_array_index (job->waiting, uint32_t, i);
      planner_release_grant (planner, w->report.worker, w->report.token,
                             planner_task_tag (job->request.job, index));
    }
  g_array_set_size (job->placed, 0);
}

/* Places all tasks of JOB, which has none placed, or none: a job that waits in
   part for room would hold what others can use.  */
static void
place_whole_job (struct planner_state *planner, struct job *job,
                 int64_t now_us)
{
  g_autoptr (GPtrArray) workers = g_ptr_array_new ();
  choose_all (planner, job, workers, now_us);
  if (workers->len < job->waiting->len)
    return;
  for (guint i = 0; i < workers->len; i++)
    place_task (planner, job, workers->pdata[i],
                g_array_index (job->waiting, uint32_t, i), now_us);
  g_array_set_size (job->waiting, 0);
}

/* Bound of the work of a pass: room that a refusal gives up in the last walk
   over the queue is offered in the next pass.  */
#define MAX_WALKS 4

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

static void
place_queue (struct planner_state *planner, int64_t now_us)
{
  struct sort_context sort_context = { planner->policy, now_us };
  g_array_set_size (planner->full, 0);
  g_ptr_array_sort_with_data (planner->jobs, compare_by_policy, &sort_context);
  for (guint i = 0; i < planner->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      job->is_reserved = false;
      if (planner_is_hopeless (job, now_us))
        continue;
      if (job->request.lent && !job->request.started)
        place_whole_job (planner, job, now_us);
      else
        place_job (planner, job, now_us);
    }
}

void
planner_schedule (struct planner_state *planner, int64_t now_us)
{
  bool looks_ahead = planner->policy->looks_ahead;
  if (looks_ahead)
    planner_begin_pass (planner, now_us);
  planner->room_given_up = planner->jobs->len > 0;
  /* Room that was held for a job that is refused is given to the others at
     once.  */
  for (int walks = 0; planner->room_given_up && walks < MAX_WALKS; walks++)
    {
      planner->room_given_up = false;
      place_queue (planner, now_us);
      planner_refuse_jobs (planner, now_us);
      planner_remove_placed_jobs (planner);
      planner_clear_reservations (planner);
    }
  if (looks_ahead)
    planner_review_refused (planner, now_us);
}
