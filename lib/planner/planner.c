/* The planner's state, the placement of the queue and refusals.  */
#include "planner_priv.h"

#include <string.h>

/* At least one core in this many is assumed to work off the queue.  */
#define MIN_BUSY_DIVISOR 2
/* Bound of the expected delay, far above that of any job.  */
#define MAX_DELAY_US ((int64_t)24 * 3600 * 1000000)
/* A service without a usable worker for this long is likely to stay without
   one: other instances have taken the workers of a dead holder by then, unless
   they must wait until its registration expires.  */
#define NO_WORKER_TIMEOUT_US 500000
/* For PLANNER_CROWDED_PERIOD_US after a refusal as PLANNER_CROWDED, the queued
   work of the service counts with this percentage; queueing_delay_us says why.
 */
#define CROWDED_QUEUE_PERCENT 200
/* Refused callers return after the present queue has been served, spread so
   that they don't return together.  */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_SPREAD_MS 2000

uint64_t
planner_task_tag (uint64_t job, uint32_t index)
{
  return job ^ ((uint64_t)(index + 1) * 0x9e3779b97f4a7c15u);
}

static void
worker_free (void *data)
{
  struct worker_entry *w = data;
  g_array_unref (w->grants);
  g_free (w);
}

static void
job_free (void *data)
{
  struct job *job = data;
  g_array_unref (job->waiting);
  g_array_unref (job->placed);
  g_free (job);
}

const struct planner_policy planner_policy_default
    = { .compare = planner_compare_jobs,
        .choose = planner_choose_worker,
        .sheds_load = true };

struct planner_state *
planner_new (const struct planner_ops *ops, void *ctx)
{
  return planner_new_with_policy (&planner_policy_default, ops, ctx);
}

struct planner_state *
planner_new_with_policy (const struct planner_policy *policy,
                         const struct planner_ops *ops, void *ctx)
{
  struct planner_state *planner = g_new0 (struct planner_state, 1);
  planner->policy = policy;
  planner->ops = ops;
  planner->ctx = ctx;
  planner->workers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, worker_free);
  planner->paused
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  planner->evacuated
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  planner->services
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  planner->full = g_array_new (FALSE, FALSE, sizeof (struct full_size));
  planner->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  planner->jobs = g_ptr_array_new_with_free_func (job_free);
  return planner;
}

void
planner_free (struct planner_state *planner)
{
  g_hash_table_unref (planner->by_id);
  g_hash_table_unref (planner->workers);
  g_hash_table_unref (planner->paused);
  g_hash_table_unref (planner->evacuated);
  g_hash_table_unref (planner->services);
  g_array_unref (planner->full);
  g_ptr_array_unref (planner->jobs);
  g_free (planner);
}

static bool
reports_run (const struct planner_worker_report *report, uint64_t tag)
{
  for (unsigned i = 0; i < report->n_runs; i++)
    if (report->runs[i] == tag)
      return true;
  return false;
}

static struct service *
find_or_add_service (struct planner_state *planner, uint64_t key)
{
  struct service *service = g_hash_table_lookup (planner->services, &key);
  if (service != NULL)
    return service;
  service = g_new (struct service, 1);
  *service = (struct service){ .last_crowded_us = INT64_MIN / 2 };
  g_hash_table_insert (planner->services, g_memdup2 (&key, sizeof key),
                       service);
  return service;
}

void
planner_update_worker (struct planner_state *planner,
                       const struct planner_worker_report *report,
                       int64_t now_us)
{
  struct worker_entry *w
      = g_hash_table_lookup (planner->workers, &report->worker);
  if (w == NULL)
    {
      w = g_new0 (struct worker_entry, 1);
      w->grants = g_array_new (FALSE, FALSE, sizeof (struct grant));
      w->report = *report;
      g_hash_table_insert (planner->workers, &w->report.worker, w);
    }
  w->report = *report;
  w->reported_us = now_us;
  if (report->usable)
    find_or_add_service (planner, report->service)->no_worker_since_us = 0;
  for (guint i = w->grants->len; i-- > 0;)
    if (reports_run (report, g_array_index (w->grants, struct grant, i).tag))
      g_array_remove_index_fast (w->grants, i);
}

void
planner_remove_worker (struct planner_state *planner, uint64_t worker,
                       uint64_t holder)
{
  struct worker_entry *w = g_hash_table_lookup (planner->workers, &worker);
  if (w != NULL && w->report.holder == holder)
    g_hash_table_remove (planner->workers, &worker);
}

void
planner_remove_holder (struct planner_state *planner, uint64_t holder)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct worker_entry *)value)->report.holder == holder)
      g_hash_table_iter_remove (&it);
}

void
planner_pause_holder (struct planner_state *planner, uint64_t holder,
                      bool paused)
{
  if (paused)
    g_hash_table_add (planner->paused, g_memdup2 (&holder, sizeof holder));
  else
    g_hash_table_remove (planner->paused, &holder);
}

void
planner_set_evacuated (struct planner_state *planner, uint64_t domain,
                       bool evacuated)
{
  if (evacuated)
    g_hash_table_add (planner->evacuated, g_memdup2 (&domain, sizeof domain));
  else
    g_hash_table_remove (planner->evacuated, &domain);
}

void
planner_release_grant (struct planner_state *planner, uint64_t worker,
                       int64_t token, uint64_t tag)
{
  struct worker_entry *w = g_hash_table_lookup (planner->workers, &worker);
  if (w == NULL)
    return;
  for (guint i = w->grants->len; i-- > 0;)
    {
      const struct grant *grant = &g_array_index (w->grants, struct grant, i);
      if (grant->tag == tag && (token == 0 || grant->token == token))
        g_array_remove_index_fast (w->grants, i);
    }
}

static void
remove_job (struct planner_state *planner, struct job *job)
{
  g_hash_table_remove (planner->by_id, &job->request.job);
  g_ptr_array_remove_fast (planner->jobs, job);
}

static bool
is_waiting (const struct planner_request *request, uint32_t index)
{
  for (unsigned i = 0; i < request->n_waiting; i++)
    if (request->waiting[i] == index)
      return true;
  return false;
}

/* Takes over where the tasks of a job are.  The request may have been sent
   before the owner received a grant: tasks that it lists as waiting stay where
   they were granted until they are granted again.  */
static void
update_placed (struct job *job, const struct planner_request *request)
{
  if (request->per_worker == 0)
    return;
  for (guint i = job->placed->len; i-- > 0;)
    if (!is_waiting (
            request,
            g_array_index (job->placed, struct planner_placed, i).index))
      g_array_remove_index_fast (job->placed, i);
  g_array_append_vals (job->placed, request->placed, request->n_placed);
}

static void
record_placed (struct job *job, uint32_t index, uint64_t worker)
{
  struct planner_placed placed = { index, worker };
  for (guint i = 0; i < job->placed->len; i++)
    if (g_array_index (job->placed, struct planner_placed, i).index == index)
      {
        g_array_index (job->placed, struct planner_placed, i) = placed;
        return;
      }
  g_array_append_val (job->placed, placed);
}

void
planner_put_request (struct planner_state *planner,
                     const struct planner_request *request)
{
  struct job *job = g_hash_table_lookup (planner->by_id, &request->job);
  if (job == NULL)
    {
      job = g_new0 (struct job, 1);
      job->waiting = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      job->placed = g_array_new (FALSE, FALSE, sizeof (struct planner_placed));
      job->seq = planner->next_seq++;
      job->request.job = request->job;
      g_ptr_array_add (planner->jobs, job);
      g_hash_table_insert (planner->by_id, &job->request.job, job);
    }
  update_placed (job, request);
  job->request = *request;
  job->request.waiting = NULL;
  job->request.placed = NULL;
  g_array_set_size (job->waiting, 0);
  g_array_append_vals (job->waiting, request->waiting, request->n_waiting);
}

void
planner_remove_job (struct planner_state *planner, uint64_t id, uint64_t owner)
{
  struct job *job = g_hash_table_lookup (planner->by_id, &id);
  if (job != NULL && job->request.owner == owner)
    remove_job (planner, job);
}

uint64_t
planner_find_owner (const struct planner_state *planner, uint64_t id)
{
  const struct job *job = g_hash_table_lookup (planner->by_id, &id);
  return job == NULL ? 0 : job->request.owner;
}

void
planner_remove_owner (struct planner_state *planner, uint64_t owner)
{
  for (guint i = planner->jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      if (job->request.owner == owner)
        remove_job (planner, job);
    }
}

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
  record_placed (job, index, w->report.worker);
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

/* Chooses workers for all waiting tasks of JOB, each with the former ones in
   mind, and appends them to WORKERS until there is none.  Places nothing.  */
static void
choose_all (struct planner_state *planner, struct job *job, GPtrArray *workers,
            int64_t now_us)
{
  for (guint i = 0; i < job->waiting->len; i++)
    {
      uint32_t index = g_array_index (job->waiting, uint32_t, i);
      struct worker_entry *w
          = planner->policy->choose (planner, job, index, now_us);
      if (w == NULL)
        break;
      struct grant grant = { .tag = planner_task_tag (job->request.job, index),
                             .token = w->report.token,
                             .size = job->request.size,
                             .granted_us = now_us };
      g_array_append_val (w->grants, grant);
      record_placed (job, index, w->report.worker);
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

/* The usable workers of one service and the work that waits for them.  */
struct backlog
{
  int64_t cpu;        /* capacity, thousandths of a core */
  int64_t used_cpu;   /* of it, by runs and grants */
  double queued_work; /* thousandths of a core x microseconds */
};

/* Returns a table service -> struct backlog with the capacity of all usable
   workers.  A service without usable workers has no entry.  */
static GHashTable *
new_backlogs (struct planner_state *planner)
{
  GHashTable *backlogs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct worker_entry *w = value;
      if (!planner_worker_usable (planner, w))
        continue;
      struct backlog *b = g_hash_table_lookup (backlogs, &w->report.service);
      if (b == NULL)
        {
          b = g_new0 (struct backlog, 1);
          g_hash_table_insert (backlogs, &w->report.service, b);
        }
      b->cpu += w->report.capacity.cpu;
      b->used_cpu += planner_worker_used (w).cpu;
    }
  return backlogs;
}

/* The time until the queued work has started.  Only the cores in use count as
   working it off, since tasks of mixed sizes never fill all cores.  After a
   refusal as PLANNER_CROWDED the work counts for more: while there is too much
   of it, jobs that arrive later but precede it in the order add to it.  */
static int64_t
queueing_delay_us (const struct service *service, const struct backlog *b,
                   int64_t now_us)
{
  int64_t cpu = MAX (MAX (b->used_cpu, b->cpu / MIN_BUSY_DIVISOR), 1);
  bool crowded = now_us - service->last_crowded_us < PLANNER_CROWDED_PERIOD_US;
  double work = b->queued_work * (crowded ? CROWDED_QUEUE_PERCENT : 100) / 100;
  return (int64_t)MIN (work / (double)cpu, (double)MAX_DELAY_US);
}

/* Whether SERVICE has had no usable worker for too long.  B is its backlog,
   null if it has no usable worker now.  */
static bool
lacks_workers_too_long (struct service *service, const struct backlog *b,
                        int64_t now_us)
{
  if (b != NULL)
    service->no_worker_since_us = 0;
  else if (service->no_worker_since_us == 0)
    service->no_worker_since_us = MAX (now_us, 1);
  return b == NULL
         && now_us - service->no_worker_since_us > NO_WORKER_TIMEOUT_US;
}

/* Counts the workers of each service, and those in evacuated domains.  */
static void
count_evacuated_workers (struct planner_state *planner)
{
  GHashTableIter it;
  gpointer value;
  if (g_hash_table_size (planner->evacuated) == 0)
    return;
  g_hash_table_iter_init (&it, planner->services);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct service *service = value;
      service->n_workers = 0;
      service->n_evacuated = 0;
    }
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct worker_entry *w = value;
      struct service *service
          = find_or_add_service (planner, w->report.service);
      service->n_workers++;
      service->n_evacuated += planner_worker_evacuated (planner, w);
    }
}

/* Whether all workers of SERVICE are in evacuated domains.  One without any
   worker is not taken for evacuated: those of a lost holder may be reported
   again soon.  */
static bool
is_evacuated (const struct planner_state *planner,
              const struct service *service)
{
  return g_hash_table_size (planner->evacuated) > 0 && service->n_workers > 0
         && service->n_evacuated == service->n_workers;
}

const char *
planner_refusal_reason_name (enum planner_refusal_reason reason)
{
  static const char *const names[] = {
    [PLANNER_HOPELESS] = "hopeless",
    [PLANNER_CROWDED] = "crowded",
    [PLANNER_NO_WORKER] = "no-room",
    [PLANNER_EVACUATED] = "evacuated",
  };
  return names[reason];
}

/* Removes JOB and tells its owner.  B is the backlog of the job's service,
   null if that has no usable worker.  */
static void
refuse_job (struct planner_state *planner, struct job *job,
            enum planner_refusal_reason reason, const struct backlog *b,
            int64_t now_us)
{
  struct planner_request request = job->request;
  const struct service *service
      = find_or_add_service (planner, request.service);
  struct planner_refusal refusal = {
    .reason = reason,
    .retry_after_ms
    = RETRY_AFTER_MIN_MS + (int)(request.job % RETRY_AFTER_SPREAD_MS),
    .waiting = planner->jobs->len,
    .usable_cpu = b == NULL ? 0 : b->cpu,
    .ahead_us = b == NULL ? 0 : queueing_delay_us (service, b, now_us),
    .slack_us = planner_latest_start (job) - now_us,
  };
  if (reason == PLANNER_EVACUATED)
    pl_count (PL_CTR_EVACUATED_JOBS_REFUSED_TOTAL, 1);
  remove_job (planner, job);
  planner->ops->refuse (planner->ctx, &request, &refusal);
}

/* Removes JOB if others serve it.  */
static bool
pass_on (struct planner_state *planner, struct job *job)
{
  if (planner->ops->pass_on == NULL || job->request.started
      || !planner->ops->pass_on (planner->ctx, &job->request))
    return false;
  remove_job (planner, job);
  return true;
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

/* Returns the jobs with waiting tasks, in order.  A copy, because refusals
   remove jobs from the planner's list.  */
static GPtrArray *
list_waiting_jobs (const struct planner_state *planner)
{
  GPtrArray *jobs = g_ptr_array_new ();
  for (guint i = 0; i < planner->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      if (job->waiting->len > 0)
        g_ptr_array_add (jobs, job);
    }
  return jobs;
}

/* Refuses jobs that can't end in time, jobs of services that lack workers,
   also the rest of started ones if all workers are in evacuated domains, and,
   if the policy sheds load, jobs that would start too late because of the work
   queued before them.  The planner's jobs must be in order.  */
static void
refuse_jobs (struct planner_state *planner, int64_t now_us)
{
  g_autoptr (GPtrArray) jobs = list_waiting_jobs (planner);
  if (jobs->len == 0)
    return;
  g_autoptr (GHashTable) backlogs = new_backlogs (planner);
  count_evacuated_workers (planner);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (jobs, i);
      /* Null if no holder has reported a usable worker of the service.  */
      struct backlog *b
          = g_hash_table_lookup (backlogs, &job->request.service);
      struct service *service
          = find_or_add_service (planner, job->request.service);
      bool no_worker = lacks_workers_too_long (service, b, now_us);
      bool hopeless = planner_is_hopeless (job, now_us);
      bool evacuated = is_evacuated (planner, service);
      if (b == NULL && !no_worker && !evacuated && !hopeless
          && pass_on (planner, job))
        continue;
      if (hopeless)
        refuse_job (planner, job, PLANNER_HOPELESS, b, now_us);
      else if (evacuated)
        refuse_job (planner, job, PLANNER_EVACUATED, b, now_us);
      else if (no_worker && !job->request.started)
        refuse_job (planner, job, PLANNER_NO_WORKER, b, now_us);
      else if (job->request.lent && !job->request.started)
        refuse_job (planner, job, PLANNER_CROWDED, b, now_us);
      else if (b == NULL || !planner->policy->sheds_load)
        continue;
      else if (!job->request.started
               && now_us + queueing_delay_us (service, b, now_us)
                      > planner_latest_start (job))
        {
          refuse_job (planner, job, PLANNER_CROWDED, b, now_us);
          service->last_crowded_us = now_us;
        }
      else
        b->queued_work += (double)job->waiting->len * job->request.size.cpu
                          * (double)job->request.run_us;
    }
}

static void
remove_placed_jobs (struct planner_state *planner)
{
  for (guint i = planner->jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      if (job->waiting->len == 0)
        remove_job (planner, job);
    }
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
        {
          if (job->request.lent && !job->request.started)
            place_whole_job (planner, job, now_us);
          else
            place_job (planner, job, now_us);
        }
    }
  refuse_jobs (planner, now_us);
  remove_placed_jobs (planner);
}

unsigned
planner_count_jobs (const struct planner_state *planner)
{
  return planner->jobs->len;
}
