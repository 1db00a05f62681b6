/* The planner's tables and its decisions.  */
#include "planner_priv.h"

#include <string.h>

/* Least part of the cores, one in so many, that works off the queue.  */
#define LEAST_USED_PART 2
/* A service without a usable worker for so long is likely to stay without one:
   the workers of a dead holder have been taken by then, unless its
   registration has to lapse.  */
#define NO_ROOM_US 500000
/* For so long after a refusal the work ahead counts for more.  */
#define CROWDED_US 500000
#define CROWDED_PERCENT 200
/* A refused caller comes back after the wait of the queue, spread so that
   refused callers don't return together.  */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_SPREAD_MS 2000

uint64_t
planner_task_tag (uint64_t job, uint32_t index)
{
  return job ^ ((uint64_t)(index + 1) * 0x9e3779b97f4a7c15u);
}

static void
room_free (void *data)
{
  struct room *r = data;
  g_array_unref (r->grants);
  g_free (r);
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
    = { .order = planner_compare_jobs,
        .choose = planner_choose_worker,
        .refuses = true };

struct planner_state *
planner_new (const struct planner_ops *ops, void *ctx)
{
  return planner_new_with_policy (&planner_policy_default, ops, ctx);
}

struct planner_state *
planner_new_with_policy (const struct planner_policy *policy,
                         const struct planner_ops *ops, void *ctx)
{
  struct planner_state *plan = g_new0 (struct planner_state, 1);
  plan->policy = policy;
  plan->ops = ops;
  plan->ctx = ctx;
  plan->workers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, room_free);
  plan->paused
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  plan->services
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  plan->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  plan->jobs = g_ptr_array_new_with_free_func (job_free);
  return plan;
}

void
planner_free (struct planner_state *plan)
{
  g_hash_table_unref (plan->by_id);
  g_hash_table_unref (plan->workers);
  g_hash_table_unref (plan->paused);
  g_hash_table_unref (plan->services);
  g_ptr_array_unref (plan->jobs);
  g_free (plan);
}

static bool
reports_run (const struct planner_worker_report *room, uint64_t tag)
{
  for (unsigned i = 0; i < room->n_runs; i++)
    if (room->runs[i] == tag)
      return true;
  return false;
}

static struct service *
service_of (struct planner_state *plan, uint64_t key)
{
  struct service *service = g_hash_table_lookup (plan->services, &key);
  if (service != NULL)
    return service;
  service = g_new (struct service, 1);
  *service = (struct service){ .crowded_us = INT64_MIN / 2 };
  g_hash_table_insert (plan->services, g_memdup2 (&key, sizeof key), service);
  return service;
}

void
planner_update_worker (struct planner_state *plan,
                       const struct planner_worker_report *room,
                       int64_t now_us)
{
  struct room *r = g_hash_table_lookup (plan->workers, &room->worker);
  if (r == NULL)
    {
      r = g_new0 (struct room, 1);
      r->grants = g_array_new (FALSE, FALSE, sizeof (struct grant));
      r->r = *room;
      g_hash_table_insert (plan->workers, &r->r.worker, r);
    }
  r->r = *room;
  r->reported_us = now_us;
  if (room->usable)
    service_of (plan, room->service)->lacking_us = 0;
  for (guint i = r->grants->len; i-- > 0;)
    if (reports_run (room, g_array_index (r->grants, struct grant, i).tag))
      g_array_remove_index_fast (r->grants, i);
}

void
planner_remove_worker (struct planner_state *plan, uint64_t worker,
                       uint64_t holder)
{
  struct room *r = g_hash_table_lookup (plan->workers, &worker);
  if (r != NULL && r->r.holder == holder)
    g_hash_table_remove (plan->workers, &worker);
}

void
planner_remove_holder (struct planner_state *plan, uint64_t holder)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, plan->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct room *)value)->r.holder == holder)
      g_hash_table_iter_remove (&it);
}

void
planner_pause_holder (struct planner_state *plan, uint64_t holder, bool paused)
{
  if (paused)
    g_hash_table_add (plan->paused, g_memdup2 (&holder, sizeof holder));
  else
    g_hash_table_remove (plan->paused, &holder);
}

void
planner_release_grant (struct planner_state *plan, uint64_t worker,
                       uint64_t tag)
{
  struct room *r = g_hash_table_lookup (plan->workers, &worker);
  if (r == NULL)
    return;
  for (guint i = r->grants->len; i-- > 0;)
    if (g_array_index (r->grants, struct grant, i).tag == tag)
      g_array_remove_index_fast (r->grants, i);
}

static void
job_remove (struct planner_state *plan, struct job *job)
{
  g_hash_table_remove (plan->by_id, &job->want.job);
  g_ptr_array_remove_fast (plan->jobs, job);
}

void
planner_put_request (struct planner_state *plan,
                     const struct planner_request *want, int64_t now_us)
{
  struct job *job = g_hash_table_lookup (plan->by_id, &want->job);
  if (job == NULL)
    {
      job = g_new0 (struct job, 1);
      job->waiting = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      job->placed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
      job->arrival_us = now_us;
      job->seq = plan->next_seq++;
      job->want.job = want->job;
      g_ptr_array_add (plan->jobs, job);
      g_hash_table_insert (plan->by_id, &job->want.job, job);
    }
  job->want = *want;
  job->want.waiting = NULL;
  g_array_set_size (job->waiting, 0);
  g_array_append_vals (job->waiting, want->waiting, want->n_waiting);
}

void
planner_remove_job (struct planner_state *plan, uint64_t id, uint64_t owner)
{
  struct job *job = g_hash_table_lookup (plan->by_id, &id);
  if (job != NULL && job->want.owner == owner)
    job_remove (plan, job);
}

void
planner_remove_owner (struct planner_state *plan, uint64_t owner)
{
  for (guint i = plan->jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (plan->jobs, i);
      if (job->want.owner == owner)
        job_remove (plan, job);
    }
}

static void
place_task (struct planner_state *plan, struct job *job, struct room *r,
            uint32_t index, int64_t now_us)
{
  struct grant grant = {
    .tag = planner_task_tag (job->want.job, index),
    .size = job->want.size,
    .at_us = now_us,
  };
  struct planner_placement placing = {
    .report = &r->r,
    .used = planner_worker_used (r),
    .waited_us = now_us - job->arrival_us,
    .report_age_us = now_us - r->reported_us,
  };
  g_array_append_val (r->grants, grant);
  g_array_append_val (job->placed, r->r.worker);
  job->want.started = true;
  plan->ops->grant (plan->ctx, &job->want, index, &placing);
}

/* Places tasks of JOB while there is room.  */
static void
place_job (struct planner_state *plan, struct job *job, int64_t now_us)
{
  while (job->waiting->len > 0)
    {
      struct room *r = plan->policy->choose (plan, job, now_us);
      if (r == NULL)
        return;
      uint32_t index = g_array_index (job->waiting, uint32_t, 0);
      g_array_remove_index (job->waiting, 0);
      place_task (plan, job, r, index, now_us);
    }
}

/* The usable workers of one service and the work that waits for them.  */
struct backlog
{
  int64_t cpu;      /* thousandths of a core */
  int64_t used_cpu; /* of them, grants included */
  int64_t ahead;    /* waiting, thousandths of a core x microseconds */
};

/* Service -> struct backlog.  */
static GHashTable *
count_rooms (struct planner_state *plan)
{
  GHashTable *backlogs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, plan->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct room *r = value;
      if (!planner_worker_usable (plan, r))
        continue;
      struct backlog *b = g_hash_table_lookup (backlogs, &r->r.service);
      if (b == NULL)
        {
          b = g_new0 (struct backlog, 1);
          g_hash_table_insert (backlogs, &r->r.service, b);
        }
      b->cpu += r->r.capacity.cpu;
      b->used_cpu += planner_worker_used (r).cpu;
    }
  return backlogs;
}

/* Time until the work ahead is started: the cores that tasks fill now, since
   tasks of mixed sizes never fill all of them, work it off.  While there is
   too much of it, later jobs that come first in the order add to it.  */
static int64_t
ahead_us (const struct service *service, const struct backlog *b,
          int64_t now_us)
{
  int64_t cpu = MAX (b->used_cpu, b->cpu / LEAST_USED_PART);
  bool crowded = now_us - service->crowded_us < CROWDED_US;
  return b->ahead * (crowded ? CROWDED_PERCENT : 100) / 100 / cpu;
}

/* Whether jobs of SERVICE, for which B was counted, have found no usable
   worker for too long.  */
static bool
lacks_workers (struct service *service, const struct backlog *b,
               int64_t now_us)
{
  if (b != NULL)
    service->lacking_us = 0;
  else if (service->lacking_us == 0)
    service->lacking_us = MAX (now_us, 1);
  return b == NULL && now_us - service->lacking_us > NO_ROOM_US;
}

const char *
planner_refusal_reason_name (enum planner_refusal_reason reason)
{
  static const char *const names[] = {
    [PLANNER_HOPELESS] = "hopeless",
    [PLANNER_CROWDED] = "crowded",
    [PLANNER_NO_ROOM] = "no-room",
  };
  return names[reason];
}

/* Tells the owner that the job is not served.  B may be null.  */
static void
refuse_job (struct planner_state *plan, struct job *job,
            enum planner_refusal_reason reason, const struct backlog *b,
            int64_t now_us)
{
  struct planner_request want = job->want;
  const struct service *service = service_of (plan, want.service);
  struct planner_refusal refusal = {
    .reason = reason,
    .retry_after_ms
    = RETRY_AFTER_MIN_MS + (int)(want.job % RETRY_AFTER_SPREAD_MS),
    .waiting = plan->jobs->len,
    .usable_cpu = b == NULL ? 0 : b->cpu,
    .ahead_us = b == NULL ? 0 : ahead_us (service, b, now_us),
    .slack_us = planner_latest_start (job) - now_us,
  };
  job_remove (plan, job);
  plan->ops->refuse (plan->ctx, &want, &refusal);
}

/* The order of a policy at a time.  */
struct sorting
{
  const struct planner_policy *policy;
  int64_t now_us;
};

static gint
compare_jobs (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct sorting *sorting = user;
  return sorting->policy->order (*(struct job *const *)a,
                                 *(struct job *const *)b, sorting->now_us);
}

/* The jobs with waiting tasks, in order.  A list of its own: refusals change
   the plan's.  */
static GPtrArray *
waiting_jobs (const struct planner_state *plan)
{
  GPtrArray *jobs = g_ptr_array_new ();
  for (guint i = 0; i < plan->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (plan->jobs, i);
      if (job->waiting->len > 0)
        g_ptr_array_add (jobs, job);
    }
  return jobs;
}

/* Refuses jobs that can't end in time, and, if the policy does so, jobs that
   the work queued before them keeps from starting in time.  Jobs are in
   order.  */
static void
refuse_jobs (struct planner_state *plan, int64_t now_us)
{
  g_autoptr (GPtrArray) jobs = waiting_jobs (plan);
  if (jobs->len == 0)
    return;
  g_autoptr (GHashTable) backlogs = count_rooms (plan);
  for (guint i = 0; i < jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (jobs, i);
      /* None: the holders have not reported, or there are none.  */
      struct backlog *b = g_hash_table_lookup (backlogs, &job->want.service);
      struct service *service = service_of (plan, job->want.service);
      bool lacking = lacks_workers (service, b, now_us);
      if (planner_is_hopeless (job, now_us))
        refuse_job (plan, job, PLANNER_HOPELESS, b, now_us);
      else if (lacking && !job->want.started)
        refuse_job (plan, job, PLANNER_NO_ROOM, b, now_us);
      else if (b == NULL || !plan->policy->refuses)
        continue;
      else if (!job->want.started
               && now_us + ahead_us (service, b, now_us)
                      > planner_latest_start (job))
        {
          refuse_job (plan, job, PLANNER_CROWDED, b, now_us);
          service->crowded_us = now_us;
        }
      else
        b->ahead += (int64_t)job->waiting->len * job->want.size.cpu
                    * job->want.run_us;
    }
}

static void
drop_placed (struct planner_state *plan)
{
  for (guint i = plan->jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (plan->jobs, i);
      if (job->waiting->len == 0)
        job_remove (plan, job);
    }
}

void
planner_schedule (struct planner_state *plan, int64_t now_us)
{
  if (plan->jobs->len == 0)
    return;
  struct sorting sorting = { plan->policy, now_us };
  g_ptr_array_sort_with_data (plan->jobs, compare_jobs, &sorting);
  for (guint i = 0; i < plan->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (plan->jobs, i);
      if (!planner_is_hopeless (job, now_us))
        place_job (plan, job, now_us);
    }
  refuse_jobs (plan, now_us);
  drop_placed (plan);
}

unsigned
planner_count_jobs (const struct planner_state *plan)
{
  return plan->jobs->len;
}
