/* The tasks of a job: grants, ends and lost holders.  */
#include "owner_priv.h"

/* A holder that can't be reached stops our runs when it finds us silent (500
   ms, a beat and the stop), and if it is dead they lapse: it renewed them at
   most a beat after it was heard, for 1,020 ms by the slowest clock.  */
#define UNSURE_US 1300000
/* The planner's picture of a holder that turns a start down is out of date for
   a moment; asking at once would repeat the same grant.  */
#define REJECT_PAUSE_US 5000
#define RUN_STEP 16 /* skips run numbers that an earlier attempt has used */

void
owner_requeue_task (struct owner_table *table, struct owner_job *job,
                    struct owner_task *task)
{
  task->state = OWNER_TASK_WAITING;
  job->dirty = true;
  table->dirty = true;
}

void
owner_on_grant (struct owner_table *table, uint64_t id, uint32_t index,
                const struct owner_placement *place)
{
  struct owner_job *job = owner_find_job (table, id);
  if (job == NULL || index >= job->n_tasks
      || job->tasks[index].state != OWNER_TASK_WAITING)
    {
      table->ops->release (table->ctx, place->worker,
                           planner_task_tag (id, index));
      return;
    }
  struct owner_task *task = &job->tasks[index];
  task->state = OWNER_TASK_PLACED;
  task->retry_us = 0;
  task->run++;
  task->worker = place->worker;
  task->holder = place->holder;
  task->token = place->token;
  if (!job->started)
    pl_observe (PL_HIST_FIRST_START,
                pl_now_us (table->clock) - job->arrival_us);
  job->started = true;
  struct lease_order order = owner_start_order (job, index);
  table->ops->start (table->ctx, place->holder, place->worker, &order);
}

static void
task_done (struct owner_table *table, struct owner_job *job,
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
}

static void
task_failed (struct owner_table *table, struct owner_job *job,
             struct owner_task *task)
{
  if (++task->failed >= job->max_attempts)
    owner_finish_job (table, job, PL_FAILED_RAN, 0);
  else
    owner_requeue_task (table, job, task);
}

void
owner_on_run_end (struct owner_table *table, uint64_t worker, uint64_t holder,
                  const struct lease_run_id *id, enum lease_end end,
                  int64_t took_us)
{
  struct owner_job *job = owner_find_job (table, id->job);
  if (job == NULL || id->index >= job->n_tasks)
    return;
  struct owner_task *task = &job->tasks[id->index];
  if (!owner_task_is_assigned (task) || task->run != id->run
      || task->worker != worker)
    return;
  /* A former holder does not know what its successor found.  */
  if (end != LEASE_END_DONE && end != LEASE_END_FAILED
      && task->holder != holder)
    return;
  switch (end)
    {
    case LEASE_END_DONE:
      task_done (table, job, task, took_us);
      break;
    case LEASE_END_FAILED:
      task_failed (table, job, task);
      break;
    case LEASE_END_OLD_RUN:
      task->run += RUN_STEP;
      owner_requeue_task (table, job, task);
      break;
    case LEASE_END_REJECTED:
      owner_requeue_task (table, job, task);
      task->retry_us = pl_now_us (table->clock) + REJECT_PAUSE_US;
      break;
    case LEASE_END_STOPPED:
      owner_requeue_task (table, job, task);
      break;
    case LEASE_END_UNKNOWN:
      task->state = OWNER_TASK_UNKNOWN;
      task->until_us = pl_now_us (table->clock) + UNSURE_US;
      break;
    }
}

/* Walks through the tasks of all jobs.  */
struct task_iter
{
  GHashTableIter jobs;
  struct owner_job *job;
  uint32_t index; /* of the task that was returned last */
};

static void
iter_init (struct task_iter *it, struct owner_table *table)
{
  it->job = NULL;
  g_hash_table_iter_init (&it->jobs, table->jobs);
}

/* The next task, null after the last one.  */
static struct owner_task *
iter_next (struct task_iter *it)
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
  int64_t until_us = heard_us + UNSURE_US;
  struct task_iter it;
  struct owner_task *task;
  iter_init (&it, table);
  while ((task = iter_next (&it)) != NULL)
    {
      if (task->state != OWNER_TASK_PLACED || task->holder != holder)
        continue;
      task->state = OWNER_TASK_UNKNOWN;
      task->until_us = until_us;
    }
}

/* Tells the task's holder that its run is ours.  */
static void
claim (struct owner_table *table, struct owner_job *job, uint32_t index)
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
  iter_init (&it, table);
  while ((task = iter_next (&it)) != NULL)
    if (task->state == OWNER_TASK_UNKNOWN && task->holder == holder)
      claim (table, it.job, it.index);
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
task_moved (struct owner_table *table, struct owner_job *job, uint32_t index,
            const struct owner_placement *place, bool listed)
{
  struct owner_task *task = &job->tasks[index];
  if (!listed)
    {
      owner_requeue_task (table, job, task);
      return;
    }
  task->holder = place->holder;
  task->token = place->token;
  claim (table, job, index);
}

/* Whether the task was last known on the worker under an earlier lease.  */
static bool
is_affected (const struct owner_task *task,
             const struct owner_placement *place)
{
  return owner_task_is_assigned (task) && task->worker == place->worker
         && task->token < place->token;
}

void
owner_on_worker_taken (struct owner_table *table,
                       const struct owner_placement *place,
                       const struct lease_run_id *runs, unsigned n_runs)
{
  struct task_iter it;
  const struct owner_task *task;
  iter_init (&it, table);
  while ((task = iter_next (&it)) != NULL)
    {
      struct lease_run_id id = { it.job->id, it.index, task->run };
      if (is_affected (task, place))
        task_moved (table, it.job, it.index, place,
                    is_listed (runs, n_runs, &id));
    }
}
