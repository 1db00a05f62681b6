/* Tasks of jobs: grants, ends of runs, lost and new holders.  */
#include "owner_priv.h"

/* How long a run may go on after its holder was last heard: until the holder
   renews its lease no more, by a clock that is up to 3% slow, and then until
   that lease has expired.  A successor, which may be out of reach as well,
   does not renew it before the owner has claimed the run.  Also used for runs
   that a holder reports as unknown.
 */
#define RUN_EXPIRY_US (LEASE_OWNER_LOST_US * 103 / 100 + LEASE_EXPIRY_US)
/* After a holder rejects a start, the planner's report of that worker is out
   of date for a moment; a request sent at once would get the same grant.  */
#define REJECTED_RETRY_US 5000
/* Added to a run number that the worker rejects as old, to skip the numbers
   that an earlier attempt at the job has used.  */
#define RUN_NUMBER_STEP 16

void
owner_request_again (struct owner_table *table, struct owner_job *job)
{
  job->dirty = true;
  table->dirty = true;
}

void
owner_requeue_task (struct owner_table *table, struct owner_job *job,
                    struct owner_task *task)
{
  task->state = OWNER_TASK_WAITING;
  owner_request_again (table, job);
}

/* Whether WORKER has as many tasks of JOB as it may have.  The planner may not
   know all of them, for instance after it has changed.  */
static bool
is_bound_reached (const struct owner_job *job, uint64_t worker)
{
  unsigned n = 0;
  for (unsigned i = 0; job->per_worker != 0 && i < job->n_tasks; i++)
    n += owner_task_is_assigned (&job->tasks[i])
         && job->tasks[i].worker == worker;
  return job->per_worker != 0 && n >= job->per_worker;
}

void
owner_on_grant (struct owner_table *table, uint64_t id, uint32_t index,
                const struct owner_placement *placement)
{
  struct owner_job *job = owner_find_job (table, id);
  bool waiting = job != NULL && !job->forwarded && index < job->n_tasks
                 && job->tasks[index].state == OWNER_TASK_WAITING;
  if (!waiting || is_bound_reached (job, placement->worker))
    {
      table->ops->release (table->ctx, placement->worker, placement->token,
                           planner_task_tag (id, index));
      if (waiting)
        owner_requeue_task (table, job, &job->tasks[index]);
      return;
    }
  struct owner_task *task = &job->tasks[index];
  task->state = OWNER_TASK_PLACED;
  task->retry_at_us = 0;
  task->run++;
  task->worker = placement->worker;
  task->holder = placement->holder;
  task->token = placement->token;
  if (!job->started)
    pl_observe (PL_HIST_FIRST_START,
                pl_now_us (table->clock) - job->arrival_us);
  job->n_possible_runs++;
  job->started = true;
  struct lease_order order = owner_start_order (job, index);
  table->ops->start (table->ctx, placement->holder, placement->worker, &order);
}

static void
complete_task (struct owner_table *table, struct owner_job *job,
               struct owner_task *task, int64_t took_us)
{
  task->state = OWNER_TASK_ENDED;
  if (took_us > 0)
    {
      pl_observe (PL_HIST_RUN, took_us);
      sched_sizes_learn (table->sizes, job->service, job->route, "",
                         job->declared_us, took_us);
    }
  if (++job->n_ended == job->n_tasks)
    owner_finish_job (table, job, PL_OK, 0);
  else if (job->per_worker != 0)
    owner_request_again (table, job); /* its worker may take another task */
}

static void
record_failed_run (struct owner_table *table, struct owner_job *job,
                   struct owner_task *task)
{
  if (++task->failures >= job->max_attempts)
    owner_finish_job (table, job, PL_FAILED_RAN, 0);
  else
    owner_requeue_task (table, job, task);
}

bool
owner_on_run_lost (struct owner_table *table, struct owner_job *job,
                   uint32_t index)
{
  job->tasks[index].losses++;
  if (owner_give_up_at_crash_limit (table, job, index))
    return false;
  owner_requeue_task (table, job, &job->tasks[index]);
  return true;
}

/* Whether END is about the lease that TASK is on.  A holder that has lost the
   worker and has it again repeats the ends of its former lease after those of
   the present one, and a former holder doesn't know which runs its successor
   found.  */
static bool
is_of_present_lease (const struct owner_task *task,
                     const struct owner_run_end *end)
{
  return end->holder == task->holder
         && (end->token == 0 || end->token == task->token);
}

void
owner_on_run_end (struct owner_table *table, const struct owner_run_end *end)
{
  const struct lease_run_id *id = &end->id;
  if (end->blame == LEASE_BLAME_LIKELY)
    owner_record_crash (table, end);
  struct owner_job *job = owner_find_job (table, id->job);
  if (job == NULL || id->index >= job->n_tasks)
    return;
  struct owner_task *task = &job->tasks[id->index];
  if (!owner_task_is_assigned (task) || task->run != id->run
      || task->worker != end->worker)
    return;
  /* Of another lease only what stays true counts: that the run was done or has
     failed.  */
  if (end->end != LEASE_END_DONE && end->end != LEASE_END_FAILED
      && !is_of_present_lease (task, end))
    return;
  switch (end->end)
    {
    case LEASE_END_DONE:
      complete_task (table, job, task, end->took_us);
      break;
    case LEASE_END_FAILED:
      record_failed_run (table, job, task);
      break;
    case LEASE_END_OLD_RUN:
      task->run += RUN_NUMBER_STEP;
      owner_requeue_task (table, job, task);
      break;
    case LEASE_END_REJECTED:
      job->started = --job->n_possible_runs > 0;
      owner_requeue_task (table, job, task);
      task->retry_at_us = pl_now_us (table->clock) + REJECTED_RETRY_US;
      break;
    case LEASE_END_STOPPED:
      if (end->blame != LEASE_BLAME_NONE)
        owner_on_run_lost (table, job, id->index);
      else
        owner_requeue_task (table, job, task);
      break;
    case LEASE_END_UNKNOWN:
      task->state = OWNER_TASK_UNKNOWN;
      task->may_run_until_us = pl_now_us (table->clock) + RUN_EXPIRY_US;
      break;
    }
}

/* Iterates over the tasks of all jobs.  */
struct task_iter
{
  GHashTableIter jobs;
  struct owner_job *job;
  uint32_t index; /* of the task returned last */
};

static void
task_iter_init (struct task_iter *it, struct owner_table *table)
{
  it->job = NULL;
  g_hash_table_iter_init (&it->jobs, table->jobs);
}

/* Returns the next task, null after the last one.  */
static struct owner_task *
task_iter_next (struct task_iter *it)
{
  if (it->job != NULL && ++it->index < it->job->n_tasks)
    return &it->job->tasks[it->index];
  gpointer job;
  while (g_hash_table_iter_next (&it->jobs, NULL, &job))
    {
      it->job = job;
      it->index = 0;
      if (it->job->n_tasks > 0)
        return &it->job->tasks[0];
    }
  return NULL;
}

void
owner_on_holder_lost (struct owner_table *table, uint64_t holder,
                      int64_t heard_us)
{
  int64_t may_run_until_us = heard_us + RUN_EXPIRY_US;
  struct task_iter it;
  struct owner_task *task;
  task_iter_init (&it, table);
  while ((task = task_iter_next (&it)) != NULL)
    {
      if (task->state != OWNER_TASK_PLACED || task->holder != holder)
        continue;
      task->state = OWNER_TASK_UNKNOWN;
      task->may_run_until_us = may_run_until_us;
    }
}

/* Tells the holder of the task's worker that the run is owned here.  */
static void
claim_run (struct owner_table *table, struct owner_job *job, uint32_t index)
{
  struct owner_task *task = &job->tasks[index];
  task->state = OWNER_TASK_PLACED;
  struct lease_order order = owner_start_order (job, index);
  table->ops->claim (table->ctx, task->holder, task->worker, &order);
}

void
owner_on_holder_recovered (struct owner_table *table, uint64_t holder)
{
  struct task_iter it;
  const struct owner_task *task;
  task_iter_init (&it, table);
  while ((task = task_iter_next (&it)) != NULL)
    if (task->state == OWNER_TASK_UNKNOWN && task->holder == holder)
      claim_run (table, it.job, it.index);
}

void
owner_claim_runs (struct owner_table *table, uint64_t holder)
{
  struct task_iter it;
  const struct owner_task *task;
  task_iter_init (&it, table);
  while ((task = task_iter_next (&it)) != NULL)
    if (owner_task_is_assigned (task) && task->holder == holder)
      claim_run (table, it.job, it.index);
}

static bool
is_listed (const struct lease_run_id *runs, unsigned n_runs,
           const struct lease_run_id *id)
{
  for (unsigned i = 0; i < n_runs; i++)
    if (lease_same_run (&runs[i], id))
      return true;
  return false;
}

static void
follow_new_holder (struct owner_table *table, struct owner_job *job,
                   uint32_t index, const struct owner_placement *placement,
                   bool listed)
{
  struct owner_task *task = &job->tasks[index];
  if (!listed)
    {
      owner_requeue_task (table, job, task);
      return;
    }
  task->holder = placement->holder;
  task->token = placement->token;
  claim_run (table, job, index);
}

/* Whether the task was placed on PLACEMENT's worker under an earlier lease. */
static bool
ran_under_earlier_lease (const struct owner_task *task,
                         const struct owner_placement *placement)
{
  return owner_task_is_assigned (task) && task->worker == placement->worker
         && task->token < placement->token;
}

void
owner_on_worker_taken (struct owner_table *table,
                       const struct owner_placement *placement,
                       const struct lease_run_id *runs, unsigned n_runs)
{
  struct task_iter it;
  const struct owner_task *task;
  task_iter_init (&it, table);
  while ((task = task_iter_next (&it)) != NULL)
    {
      struct lease_run_id id = { it.job->id, it.index, task->run };
      if (ran_under_earlier_lease (task, placement))
        follow_new_holder (table, it.job, it.index, placement,
                           is_listed (runs, n_runs, &id));
    }
}
