/* Choice of a worker for a task under the default policy.  */
#include "planner_priv.h"

/* Costs of a worker for a task, added to the CPU that would stay free there,
   in thousandths of a core.  A task in another failure domain sends its
   request over a paid link.  */
#define COST_OTHER_DOMAIN 3000
#define COST_NOT_PREFERRED 20000
#define COST_SAME_JOB 10      /* for each task of the job on the worker */
#define COST_SLOW_PERCENT 100 /* for each percent above 100 of slowness */

bool
planner_resources_fit (struct planner_resources capacity,
                       struct planner_resources used,
                       struct planner_resources need)
{
  return used.cpu + need.cpu <= capacity.cpu
         && used.mem + need.mem <= capacity.mem
         && used.gpu + need.gpu <= capacity.gpu;
}

bool
planner_resources_equal (struct planner_resources a,
                         struct planner_resources b)
{
  return a.cpu == b.cpu && a.mem == b.mem && a.gpu == b.gpu;
}

struct planner_resources
planner_resources_add (struct planner_resources a, struct planner_resources b)
{
  return (struct planner_resources){ a.cpu + b.cpu, a.mem + b.mem,
                                     a.gpu + b.gpu };
}

struct planner_resources
planner_worker_used (const struct worker_entry *w)
{
  struct planner_resources used = w->report.used;
  for (guint i = 0; i < w->grants->len; i++)
    used = planner_resources_add (
        used, g_array_index (w->grants, struct grant, i).size);
  return used;
}

void
planner_expire_grants (struct worker_entry *w, int64_t now_us)
{
  for (guint i = w->grants->len; i-- > 0;)
    if (g_array_index (w->grants, struct grant, i).granted_us
            + PLANNER_GRANT_TIMEOUT_US
        < now_us)
      g_array_remove_index_fast (w->grants, i);
}

static bool
has_label (const struct worker_entry *w, uint64_t label)
{
  for (int i = 0; i < PLANNER_MAX_LABELS; i++)
    if (w->report.labels[i] == label)
      return true;
  return false;
}

/* The number of tasks of JOB on WORKER, without task INDEX.  */
static unsigned
count_others_on (const struct job *job, uint32_t index, uint64_t worker)
{
  unsigned n = 0;
  for (guint i = 0; i < job->placed->len; i++)
    {
      const struct planner_placed *placed
          = &g_array_index (job->placed, struct planner_placed, i);
      n += placed->worker == worker && placed->index != index;
    }
  return n;
}

bool
planner_worker_evacuated (const struct planner_state *planner,
                          const struct worker_entry *w)
{
  return g_hash_table_contains (planner->evacuated, &w->report.domain);
}

bool
planner_worker_usable (const struct planner_state *planner,
                       const struct worker_entry *w)
{
  return w->report.usable && w->report.capacity.cpu > 0
         && !g_hash_table_contains (planner->paused, &w->report.holder)
         && !planner_worker_evacuated (planner, w);
}

bool
planner_is_eligible (const struct planner_state *planner,
                     const struct worker_entry *w, const struct job *job,
                     uint32_t index, int64_t now_us)
{
  const struct planner_request *request = &job->request;
  if (now_us - w->reported_us > PLANNER_REPORT_STALE_US)
    return false;
  if (!planner_worker_usable (planner, w)
      || w->report.service != request->service)
    return false;
  if (request->required_label != 0 && !has_label (w, request->required_label))
    return false;
  if (request->suspect && now_us < w->suspect_until_us)
    return false;
  return request->per_worker == 0
         || count_others_on (job, index, w->report.worker)
                < request->per_worker;
}

/* Whether a task of JOB fits on W.  Sets USED to what is taken there.  */
static bool
has_free_capacity (struct worker_entry *w, const struct job *job,
                   int64_t now_us, struct planner_resources *used)
{
  planner_expire_grants (w, now_us);
  *used = planner_worker_used (w);
  return planner_resources_fit (w->report.capacity, *used, job->request.size);
}

bool
planner_worker_can_take (struct planner_state *planner, struct worker_entry *w,
                         const struct job *job, uint32_t index, int64_t now_us)
{
  struct planner_resources used;
  return planner_is_eligible (planner, w, job, index, now_us)
         && has_free_capacity (w, job, now_us, &used);
}

/* Whether a task of JOB that starts on W now is expected to end in time.  */
static bool
meets_objective (const struct worker_entry *w, const struct job *job,
                 int64_t now_us)
{
  if (w->report.slowness <= 100)
    return true;
  int64_t run_us = job->request.run_us * w->report.slowness / 100;
  return now_us + run_us <= job->request.objective_us;
}

/* Best fit: the less CPU stays free on W, the lower the cost.  A task that may
   crash W goes where it ends the least work.  */
static int64_t
placement_cost (const struct worker_entry *w, const struct job *job,
                uint32_t index, struct planner_resources used)
{
  const struct planner_request *request = &job->request;
  int64_t cost = request->suspect
                     ? used.cpu
                     : w->report.capacity.cpu - used.cpu - request->size.cpu;
  if (w->report.domain != request->domain)
    cost += COST_OTHER_DOMAIN;
  if (request->preferred_label != 0
      && !has_label (w, request->preferred_label))
    cost += COST_NOT_PREFERRED;
  if (w->report.slowness > 100)
    cost += (int64_t)(w->report.slowness - 100) * COST_SLOW_PERCENT;
  return cost
         + (int64_t)count_others_on (job, index, w->report.worker)
               * COST_SAME_JOB;
}

/* The cheapest worker so far.  */
struct candidate
{
  struct worker_entry *entry;
  int64_t cost;
};

static void
keep_cheaper (struct candidate *candidate, struct worker_entry *w,
              int64_t new_cost)
{
  if (candidate->entry == NULL || new_cost < candidate->cost)
    *candidate = (struct candidate){ w, new_cost };
}

/* Whether a task that needs no more than those of JOB was found to fit on no
   worker of the service in this pass over the queue, which only fills workers.
   Under overload most jobs wait, and each would look at all workers.  */
static bool
is_known_full (const struct planner_state *planner, const struct job *job)
{
  for (guint i = 0; i < planner->full->len; i++)
    {
      const struct full_size *full
          = &g_array_index (planner->full, struct full_size, i);
      if (full->service == job->request.service
          && planner_resources_fit (
              job->request.size, (struct planner_resources){ 0 }, full->size))
        return true;
    }
  return false;
}

/* Notes that no worker which the service's tasks may use has room for a task
   of JOB.  Says something of other jobs only if JOB may use all of them.  */
static void
note_full (struct planner_state *planner, const struct job *job)
{
  const struct planner_request *request = &job->request;
  struct full_size full = { request->service, request->size };
  if (request->required_label == 0 && request->per_worker == 0
      && !request->suspect)
    g_array_append_val (planner->full, full);
}

/* A worker on which the task would end too late is passed over as long as a
   fast enough worker that is full now may still take the task in time.  */
struct worker_entry *
planner_choose_worker (struct planner_state *planner, const struct job *job,
                       uint32_t index, int64_t now_us)
{
  struct candidate fast = { 0 };
  struct candidate any = { 0 };
  bool can_wait = false;
  if (is_known_full (planner, job))
    return NULL;
  pl_count (PL_CTR_PLANNER_LOOKS_TOTAL, g_hash_table_size (planner->workers));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct worker_entry *w = value;
      if (!planner_is_eligible (planner, w, job, index, now_us))
        continue;
      bool fast_enough = meets_objective (w, job, now_us);
      can_wait |= fast_enough;
      struct planner_resources used;
      if (!has_free_capacity (w, job, now_us, &used))
        continue;
      int64_t cost = placement_cost (w, job, index, used);
      keep_cheaper (&any, w, cost);
      if (fast_enough)
        keep_cheaper (&fast, w, cost);
    }
  if (any.entry == NULL)
    note_full (planner, job);
  if (fast.entry != NULL)
    return fast.entry;
  can_wait &= now_us <= planner_latest_start (job);
  return can_wait ? NULL : any.entry;
}

/* The walk over the workers that a task fits on ends after this many on which
   it would end in time: those further on leave larger gaps.  */
#define MAX_FITTING 16

/* Whether a worker, full or not, would end a task of JOB in time.  */
static bool
has_fast_worker (const struct planner_state *planner,
                 const struct service *service, const struct job *job,
                 uint32_t index, int64_t now_us)
{
  bool found = false;
  int looks = 0;
  GSequenceIter *it = g_sequence_get_begin_iter (service->by_free);
  for (; !found && !g_sequence_iter_is_end (it);
       it = g_sequence_iter_next (it), looks++)
    {
      const struct worker_entry *w = g_sequence_get (it);
      found = planner_is_eligible (planner, w, job, index, now_us)
              && meets_objective (w, job, now_us);
    }
  pl_count (PL_CTR_PLANNER_LOOKS_TOTAL, looks);
  return found;
}

struct worker_entry *
planner_choose_ahead (struct planner_state *planner, const struct job *job,
                      uint32_t index, int64_t now_us)
{
  struct candidate fast = { 0 };
  struct candidate any = { 0 };
  unsigned fitting = 0;
  int looks = 0;
  const struct planner_request *request = &job->request;
  /* Workers with a label may be few and far from the best fit.  */
  bool all = request->required_label != 0 || request->preferred_label != 0;
  const struct service *service
      = planner_find_service (planner, request->service);
  GSequenceIter *it = planner_index_find (service, request->size.cpu);
  for (; !g_sequence_iter_is_end (it) && (all || fitting < MAX_FITTING);
       it = g_sequence_iter_next (it), looks++)
    {
      struct worker_entry *w = g_sequence_get (it);
      struct planner_resources used = planner_worker_used (w);
      if (!planner_is_eligible (planner, w, job, index, now_us)
          || !planner_resources_fit (w->report.capacity, used, request->size)
          || !planner_leaves_reservation (w, job, now_us))
        continue;
      int64_t cost = placement_cost (w, job, index, used);
      keep_cheaper (&any, w, cost);
      if (!meets_objective (w, job, now_us))
        continue;
      keep_cheaper (&fast, w, cost);
      fitting++;
    }
  pl_count (PL_CTR_PLANNER_LOOKS_TOTAL, looks);
  if (fast.entry != NULL || any.entry == NULL)
    return fast.entry;
  bool can_wait = now_us <= planner_latest_start (job)
                  && has_fast_worker (planner, service, job, index, now_us);
  return can_wait ? NULL : any.entry;
}
