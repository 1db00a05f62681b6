/* Reservations of workers for tasks that can't start now, made anew in each
   pass over the queue, and the tasks that may start beside them.  */
#include "planner_priv.h"

/* Bounds of the work of a pass; one follows each event.  */
#define MAX_RESERVATIONS 16
#define MAX_JOB_LOOKS 64   /* at workers, for one job */
#define MAX_PASS_LOOKS 256 /* for all jobs */
/* Tasks of this size, against the mean of those that start, reserve room; the
   others find gaps.  */
#define LARGE_PERCENT 125
#define MEAN_WEIGHT 64 /* a start counts 1 part in this many of the mean */
/* A task that starts this long after the promised time is in time: the end of
   the run before it has to be reported first.  */
#define PROMISE_SLACK_US 10000

const struct planner_policy planner_policy_lookahead
    = { .compare = planner_compare_jobs,
        .choose = planner_choose_ahead,
        .sheds_load = true,
        .looks_ahead = true };

int64_t
planner_run_us_on (const struct worker_entry *w, const struct job *job)
{
  uint32_t slowness = w->report.slowness == 0 ? 100 : w->report.slowness;
  return job->request.run_us * slowness / 100;
}

void
planner_begin_pass (struct planner_state *planner, int64_t now_us)
{
  planner_index_expire (planner, now_us);
  planner->reserve_looks = 0;
  pl_gauge_set (PL_CTR_PLANNER_STRANDED_CORES, 0);
}

static bool
is_large (struct planner_state *planner, const struct job *job)
{
  const struct service *service
      = planner_find_service (planner, job->request.service);
  return (int64_t)job->request.size.cpu * 100
         >= service->mean_cpu * LARGE_PERCENT;
}

void
planner_clear_reservations (struct planner_state *planner)
{
  for (guint i = 0; i < planner->reserved->len; i++)
    ((struct worker_entry *)planner->reserved->pdata[i])->reserved = false;
  g_ptr_array_set_size (planner->reserved, 0);
}

bool
planner_leaves_reservation (const struct worker_entry *w,
                            const struct job *job, int64_t now_us)
{
  /* The tasks of a job of another domain are tried out together, and could
     only together delay the reserved start.  */
  if (job->request.lent && w->reserved)
    return false;
  return !w->reserved || now_us + planner_run_us_on (w, job) <= w->reserved_us
         || planner_resources_fit (w->report.capacity, w->reserved_used,
                                   job->request.size);
}

/* The latest start for which room is held for JOB, so that its answer has a
   value.  */
static int64_t
latest_reserved_start_us (const struct job *job)
{
  const struct planner_request *request = &job->request;
  return request->started
             ? MIN (request->deadline_us, request->late_us) - request->run_us
             : planner_latest_start (job);
}

/* A worker on which a task can start at a later time.  */
struct opening
{
  struct worker_entry *entry;
  int64_t start_us;
  struct planner_resources used; /* from then on, without the task */
};

/* Adds OPENING to the N earliest ones if it is one of the MAX earliest;
   returns their new number.  */
static guint
keep_earliest (struct opening *openings, guint n, guint max,
               const struct opening *opening)
{
  if (n == max && openings[n - 1].start_us <= opening->start_us)
    return n;
  guint i = n == max ? n - 1 : n;
  for (; i > 0 && openings[i - 1].start_us > opening->start_us; i--)
    openings[i] = openings[i - 1];
  openings[i] = *opening;
  return MIN (n + 1, max);
}

/* Finds the workers on which tasks of JOB can start earliest, at most MAX,
   among those whose free CPU is next below what a task needs.  */
static guint
find_openings (struct planner_state *planner, const struct job *job,
               int64_t now_us, struct opening *openings, guint max)
{
  guint n = 0;
  int looks = 0;
  int max_looks = MIN (MAX_JOB_LOOKS, MAX_PASS_LOOKS - planner->reserve_looks);
  uint32_t index = g_array_index (job->waiting, uint32_t, 0);
  int64_t latest_us = latest_reserved_start_us (job);
  const struct service *service
      = planner_find_service (planner, job->request.service);
  GSequenceIter *it = planner_index_find (service, job->request.size.cpu);
  for (; looks < max_looks && !g_sequence_iter_is_begin (it); looks++)
    {
      it = g_sequence_iter_prev (it);
      struct opening opening = { .entry = g_sequence_get (it) };
      if (opening.entry->reserved
          || !planner_is_eligible (planner, opening.entry, job, index, now_us))
        continue;
      opening.start_us = planner_earliest_start_us (
          opening.entry, job->request.size, now_us, &opening.used);
      if (opening.start_us <= latest_us)
        n = keep_earliest (openings, n, max, &opening);
    }
  planner->reserve_looks += looks;
  pl_count (PL_CTR_PLANNER_LOOKS_TOTAL, looks);
  return n;
}

/* Notes the first promise of a start to JOB.  */
static void
promise (struct job *job, int64_t start_us)
{
  if (job->promised_us != 0)
    return;
  job->promised_us = MAX (start_us, 1);
  pl_count (PL_CTR_PLANNER_RESERVATIONS_TOTAL, 1);
}

void
planner_reserve_for (struct planner_state *planner, struct job *job,
                     int64_t now_us)
{
  struct opening openings[MAX_RESERVATIONS];
  guint max
      = MIN (job->waiting->len, MAX_RESERVATIONS - planner->reserved->len);
  if (max == 0 || !is_large (planner, job)
      || (max < job->waiting->len && !job->request.started))
    return;
  guint n = find_openings (planner, job, now_us, openings, max);
  if (n == 0 || (n < job->waiting->len && !job->request.started))
    return;
  job->is_reserved = true;
  promise (job, openings[0].start_us);
  for (guint i = 0; i < n; i++)
    {
      struct worker_entry *w = openings[i].entry;
      w->reserved = true;
      w->reserved_us = openings[i].start_us;
      w->reserved_used
          = planner_resources_add (openings[i].used, job->request.size);
      g_ptr_array_add (planner->reserved, w);
    }
}

void
planner_end_promise (struct job *job, int64_t now_us)
{
  if (job->promised_us == 0)
    return;
  pl_count (now_us <= job->promised_us + PROMISE_SLACK_US
                ? PL_CTR_PLANNER_RESERVATIONS_KEPT_TOTAL
                : PL_CTR_PLANNER_RESERVATIONS_MISSED_TOTAL,
            1);
  job->promised_us = 0;
}

void
planner_record_start (struct planner_state *planner, struct worker_entry *w,
                      const struct job *job, int64_t now_us)
{
  struct service *service
      = planner_find_service (planner, job->request.service);
  service->mean_cpu
      = service->mean_cpu == 0
            ? job->request.size.cpu
            : service->mean_cpu
                  + (job->request.size.cpu - service->mean_cpu) / MEAN_WEIGHT;
  if (w->reserved && now_us + planner_run_us_on (w, job) > w->reserved_us)
    w->reserved_used
        = planner_resources_add (w->reserved_used, job->request.size);
}
