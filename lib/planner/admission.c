/* Refusals: jobs that can't end in time, jobs of services without workers, and
   jobs that would start too late because of the work queued before them.  */
#include "planner_priv.h"

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
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_SPREAD_MS 2000
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
          = planner_find_service (planner, w->report.service);
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

int
planner_retry_after_ms (uint64_t job)
{
  return RETRY_AFTER_MIN_MS + (int)(job % RETRY_AFTER_SPREAD_MS);
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
  request.started
      = request.started || planner_has_running_task (planner, job, now_us);
  const struct service *service
      = planner_find_service (planner, request.service);
  struct planner_refusal refusal = {
    .reason = reason,
    .retry_after_ms = planner_retry_after_ms (request.job),
    .waiting = planner->jobs->len,
    .usable_cpu = b == NULL ? 0 : b->cpu,
    .ahead_us = b == NULL ? 0 : queueing_delay_us (service, b, now_us),
    .slack_us = planner_latest_start (job) - now_us,
  };
  if (reason == PLANNER_EVACUATED)
    pl_count (PL_CTR_EVACUATED_JOBS_REFUSED_TOTAL, 1);
  planner->room_given_up |= job->is_reserved;
  if (planner->policy->looks_ahead)
    {
      planner_end_promise (job, now_us);
      if (!request.lent) /* its own planner counts it */
        planner_note_refused (planner, job, reason);
    }
  planner_drop_job (planner, job);
  planner->ops->refuse (planner->ctx, &request, &refusal);
}

/* Removes JOB if others serve it.  */
static bool
pass_on (struct planner_state *planner, struct job *job)
{
  if (planner->ops->pass_on == NULL || job->request.started)
    return false;
  bool again = job->offered;
  job->offered = true;
  if (!planner->ops->pass_on (planner->ctx, &job->request, again))
    return false;
  planner_drop_job (planner, job);
  return true;
}

/* Exports the CPU that is free though tasks wait for the service: none of them
   fits there.  */
static void
export_stranded (GHashTable *backlogs)
{
  int64_t stranded = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, backlogs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct backlog *b = value;
      if (b->queued_work > 0)
        stranded += MAX (b->cpu - b->used_cpu, 0);
    }
  pl_gauge_set (PL_CTR_PLANNER_STRANDED_CORES, stranded / 1000);
}

void
planner_refuse_jobs (struct planner_state *planner, int64_t now_us)
{
  g_autoptr (GPtrArray) jobs = planner_list_waiting_jobs (planner);
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
          = planner_find_service (planner, job->request.service);
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
  if (planner->policy->looks_ahead)
    export_stranded (backlogs);
}
