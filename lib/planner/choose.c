/* Choice of a worker for one task.  */
#include "planner_priv.h"

/* Costs of a choice, in thousandths of a core of room left over: a task on
   another failure domain sends its request over a paid link.  */
#define COST_FAR 3000
#define COST_NOT_PREFERRED 20000
#define COST_SAME_JOB 10
#define COST_SLOW_PERCENT 100 /* for each percent above the estimate */
/* A grant that no report confirms is dropped after this time.  */
#define GRANT_TIMEOUT_US 250000
/* Holders report each second; an older report is of one that reports to
   another planner.  */
#define ROOM_STALE_US 2500000

bool
planner_resources_fit (struct planner_resources capacity,
                       struct planner_resources used,
                       struct planner_resources need)
{
  return used.cpu + need.cpu <= capacity.cpu
         && used.mem + need.mem <= capacity.mem
         && used.gpu + need.gpu <= capacity.gpu;
}

struct planner_resources
planner_resources_add (struct planner_resources a, struct planner_resources b)
{
  return (struct planner_resources){ a.cpu + b.cpu, a.mem + b.mem,
                                     a.gpu + b.gpu };
}

struct planner_resources
planner_worker_used (const struct room *r)
{
  struct planner_resources used = r->r.used;
  for (guint i = 0; i < r->grants->len; i++)
    used = planner_resources_add (
        used, g_array_index (r->grants, struct grant, i).size);
  return used;
}

static void
expire_grants (struct room *r, int64_t now_us)
{
  for (guint i = r->grants->len; i-- > 0;)
    if (g_array_index (r->grants, struct grant, i).at_us + GRANT_TIMEOUT_US
        < now_us)
      g_array_remove_index_fast (r->grants, i);
}

static bool
has_label (const struct room *r, uint64_t label)
{
  for (int i = 0; i < PLANNER_MAX_LABELS; i++)
    if (r->r.labels[i] == label)
      return true;
  return false;
}

static unsigned
count_placed (const struct job *job, uint64_t worker)
{
  unsigned n = 0;
  for (guint i = 0; i < job->placed->len; i++)
    n += g_array_index (job->placed, uint64_t, i) == worker;
  return n;
}

bool
planner_worker_usable (const struct planner_state *plan, const struct room *r)
{
  return r->r.usable && !g_hash_table_contains (plan->paused, &r->r.holder);
}

static bool
allowed (const struct planner_state *plan, const struct room *r,
         const struct job *job, int64_t now_us)
{
  const struct planner_request *want = &job->want;
  if (now_us - r->reported_us > ROOM_STALE_US)
    return false;
  if (!planner_worker_usable (plan, r) || r->r.service != want->service)
    return false;
  if (want->required_label != 0 && !has_label (r, want->required_label))
    return false;
  return want->per_worker == 0
         || count_placed (job, r->r.worker) < want->per_worker;
}

/* Whether R has enough left for a task of JOB; USED is what is taken there. */
static bool
has_room (struct room *r, const struct job *job, int64_t now_us,
          struct planner_resources *used)
{
  expire_grants (r, now_us);
  *used = planner_worker_used (r);
  return planner_resources_fit (r->r.capacity, *used, job->want.size);
}

bool
planner_worker_can_take (struct planner_state *plan, struct room *r,
                         const struct job *job, int64_t now_us)
{
  struct planner_resources used;
  return allowed (plan, r, job, now_us) && has_room (r, job, now_us, &used);
}

/* Whether a task of JOB that starts on R now is likely to end in time.  */
static bool
in_time (const struct room *r, const struct job *job, int64_t now_us)
{
  if (r->r.slowness <= 100)
    return true;
  int64_t run_us = job->want.run_us * r->r.slowness / 100;
  return now_us + run_us <= job->want.objective_us;
}

/* Best fit: the less is left over, the better.  */
static int64_t
cost (const struct room *r, const struct job *job,
      struct planner_resources used)
{
  const struct planner_request *want = &job->want;
  int64_t c = r->r.capacity.cpu - used.cpu - want->size.cpu;
  if (r->r.domain != want->domain)
    c += COST_FAR;
  if (want->preferred_label != 0 && !has_label (r, want->preferred_label))
    c += COST_NOT_PREFERRED;
  if (r->r.slowness > 100)
    c += (int64_t)(r->r.slowness - 100) * COST_SLOW_PERCENT;
  return c + (int64_t)count_placed (job, r->r.worker) * COST_SAME_JOB;
}

/* The cheapest room of a kind so far.  */
struct best
{
  struct room *room;
  int64_t cost;
};

static void
consider (struct best *best, struct room *r, int64_t cost_of_r)
{
  if (best->room == NULL || cost_of_r < best->cost)
    *best = (struct best){ r, cost_of_r };
}

/* A worker on which the task would end too late is passed over while one that
   is fast enough, though full now, may still take the task in time.  */
struct room *
planner_choose_worker (struct planner_state *plan, const struct job *job,
                       int64_t now_us)
{
  struct best fast = { 0 };
  struct best any = { 0 };
  bool can_wait = false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, plan->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct room *r = value;
      if (!allowed (plan, r, job, now_us))
        continue;
      bool fast_enough = in_time (r, job, now_us);
      can_wait |= fast_enough;
      struct planner_resources used;
      if (!has_room (r, job, now_us, &used))
        continue;
      int64_t c = cost (r, job, used);
      consider (&any, r, c);
      if (fast_enough)
        consider (&fast, r, c);
    }
  if (fast.room != NULL)
    return fast.room;
  can_wait &= now_us <= planner_latest_start (job);
  return can_wait ? NULL : any.room;
}
