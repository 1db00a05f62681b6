/* Jobs from submission to their answers, and the requests to the planner.  */
#include "owner_priv.h"

#include <string.h>

/* Tasks of a route without learned run times may take this many times their
   estimate before they count as stuck.  */
#define UNLEARNED_RUN_FACTOR 4
/* An answer has some value up to this many times its objective.  */
#define LATE_FACTOR 3
/* Retry-After of a job whose deadline passed before the planner refused it. */
#define EXPIRED_RETRY_MS 1000

static void
job_free (void *data)
{
  struct owner_job *job = data;
  g_free (job->route);
  g_free (job->service);
  g_free (job->spec);
  g_free (job->tasks);
  g_free (job);
}

struct owner_table *
owner_table_new (struct pl_clock *clock, const struct owner_ops *ops,
                 void *ctx)
{
  struct owner_table *table = g_new0 (struct owner_table, 1);
  table->clock = clock;
  table->ops = ops;
  table->ctx = ctx;
  table->sizes = sched_sizes_new (clock);
  table->crashes = owner_crashes_new ();
  table->latest_deadline_us = INT64_MAX;
  table->jobs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, job_free);
  return table;
}

void
owner_table_free (struct owner_table *table)
{
  g_hash_table_unref (table->jobs);
  g_hash_table_unref (table->crashes);
  sched_sizes_free (table->sizes);
  g_free (table);
}

struct owner_job *
owner_find_job (struct owner_table *table, uint64_t job)
{
  return g_hash_table_lookup (table->jobs, &job);
}

unsigned
owner_count_jobs (const struct owner_table *table)
{
  return g_hash_table_size (table->jobs);
}

unsigned
owner_count_unstarted (const struct owner_table *table, const char *route)
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct owner_job *job = value;
      n += !job->started && strcmp (job->route, route) == 0;
    }
  return n;
}

struct owner_job *
owner_submit_job (struct owner_table *table,
                  const struct owner_submission *submission, void *user)
{
  bool reliable;
  struct owner_job *job = g_new0 (struct owner_job, 1);
  *job = (struct owner_job){
    .id = submission->job,
    .route = g_strdup (submission->route),
    .service = g_strdup (submission->service),
    .service_key = submission->service_key,
    .required_label = submission->required_label,
    .preferred_label = submission->preferred_label,
    .per_worker = submission->per_worker,
    .spec = g_strndup (submission->spec.data, submission->spec.len),
    .spec_len = submission->spec.len,
    .size = submission->size,
    .stretch = submission->stretch,
    .target_us = submission->target_us,
    .arrival_us = pl_now_us (table->clock),
    .deadline_us = MIN (submission->deadline_us, table->latest_deadline_us),
    .declared_us = submission->declared_us,
    .priority = submission->priority,
    .max_attempts = MAX (submission->max_attempts, 1),
    .n_tasks = submission->n_tasks,
    .dirty = true,
    .tasks = g_new0 (struct owner_task, submission->n_tasks),
    .user = user,
  };
  job->run_us = sched_sizes_get (table->sizes, job->service, job->route, "",
                                 submission->declared_us, &reliable);
  /* Declared run times are off by a factor, but a job may rightly declare that
     its tasks take longer than usual.  */
  job->expect_us = reliable ? MAX (job->run_us, job->declared_us)
                            : job->run_us * UNLEARNED_RUN_FACTOR;
  job->crash_limit_reached = owner_has_reached_crash_limit (table, job);
  g_hash_table_insert (table->jobs, &job->id, job);
  pl_count (PL_CTR_JOBS_SUBMITTED_TOTAL, 1);
  table->dirty = true;
  return job;
}

struct lease_order
owner_start_order (const struct owner_job *job, uint32_t index)
{
  return (struct lease_order){
    .id = { job->id, index, job->tasks[index].run },
    .size = job->size,
    .spec = { job->spec, job->spec_len },
    .expect_us = job->expect_us,
    .token = job->tasks[index].token,
  };
}

static void
stop_runs (struct owner_table *table, struct owner_job *job)
{
  for (unsigned i = 0; i < job->n_tasks; i++)
    {
      struct owner_task *task = &job->tasks[i];
      if (!owner_task_is_assigned (task))
        continue;
      struct lease_run_id id = { job->id, i, task->run };
      table->ops->stop (table->ctx, task->holder, task->worker, task->token,
                        &id);
    }
}

/* Stops the runs of a job that is not complete and withdraws its request.  */
static void
stop_job (struct owner_table *table, struct owner_job *job)
{
  stop_runs (table, job);
  table->ops->drop (table->ctx, job->id);
}

static void
count_outcome (enum pl_code code)
{
  switch (pl_code_info (code)->outcome)
    {
    case PL_OUTCOME_COMPLETE:
      pl_count (PL_CTR_JOBS_COMPLETE_TOTAL, 1);
      break;
    case PL_OUTCOME_NOT_RUN:
      pl_count (PL_CTR_JOBS_NOT_RUN_TOTAL, 1);
      break;
    default:
      pl_count (PL_CTR_JOBS_FAILED_TOTAL, 1);
    }
}

void
owner_finish_job (struct owner_table *table, struct owner_job *job,
                  enum pl_code code, int retry_after_ms)
{
  struct owner_answer answer = { code, retry_after_ms };
  count_outcome (code);
  pl_observe (PL_HIST_RESPONSE, pl_now_us (table->clock) - job->arrival_us);
  if (code != PL_OK)
    stop_job (table, job);
  table->ops->answer (table->ctx, job, &answer);
  g_hash_table_remove (table->jobs, &job->id);
}

void
owner_limit_deadlines (struct owner_table *table, int64_t end_us)
{
  table->latest_deadline_us = end_us;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct owner_job *job = value;
      job->deadline_us = MIN (job->deadline_us, end_us);
    }
  owner_resend_requests (table);
}

void
owner_abort_job (struct owner_table *table, struct owner_job *job,
                 enum pl_code code, bool answer)
{
  if (answer)
    {
      owner_finish_job (table, job, code, 0);
      return;
    }
  stop_job (table, job);
  if (table->ops->abandon != NULL)
    table->ops->abandon (table->ctx, job);
  g_hash_table_remove (table->jobs, &job->id);
}

/* The time from arrival to the objective if a task takes RUN_US.  */
static int64_t
time_to_objective_us (const struct owner_job *job, int64_t run_us)
{
  return (int64_t)((double)run_us * job->stretch) + job->target_us;
}

/* Collects the tasks to request a worker for, and where the others are.  */
static void
collect_tasks (const struct owner_job *job, GArray *waiting, GArray *placed)
{
  for (uint32_t i = 0; i < job->n_tasks; i++)
    {
      const struct owner_task *task = &job->tasks[i];
      struct planner_placed entry = { i, task->worker };
      if (task->state == OWNER_TASK_WAITING && task->retry_at_us == 0)
        g_array_append_val (waiting, i);
      else if (job->per_worker != 0 && owner_task_is_assigned (task))
        g_array_append_val (placed, entry);
    }
}

static void
send_request (struct owner_table *table, struct owner_job *job)
{
  g_autoptr (GArray) tasks = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_autoptr (GArray) placed
      = g_array_new (FALSE, FALSE, sizeof (struct planner_placed));
  collect_tasks (job, tasks, placed);
  job->dirty = false;
  if (tasks->len == 0)
    return;
  /* A job that declares more than its route usually takes may be right: the
     planner must not refuse it as too late because of an estimate.  */
  int64_t late_us
      = LATE_FACTOR
        * time_to_objective_us (job, MAX (job->run_us, job->declared_us));
  struct planner_request request = {
    .job = job->id,
    .service = job->service_key,
    .required_label = job->required_label,
    .preferred_label = job->preferred_label,
    .per_worker = job->per_worker,
    .size = job->size,
    .arrival_us = job->arrival_us,
    .run_us = job->run_us,
    .objective_us = job->arrival_us + time_to_objective_us (job, job->run_us),
    .late_us = job->arrival_us + late_us,
    .deadline_us = job->deadline_us,
    .priority = job->priority,
    .started = job->started,
    .suspect = owner_has_suspect_task (table, job),
    .n_tasks = job->n_tasks,
    .n_waiting = tasks->len,
    .waiting = (const uint32_t *)(void *)tasks->data,
    .n_placed = placed->len,
    .placed = (const struct planner_placed *)(void *)placed->data,
  };
  table->ops->ask (table->ctx, &request);
}

void
owner_flush_requests (struct owner_table *table)
{
  if (!table->dirty)
    return;
  table->dirty = false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct owner_job *job = value;
      if (job->dirty && !job->crash_limit_reached && !job->forwarded)
        send_request (table, job);
    }
}

void
owner_withdraw_requests (struct owner_table *table)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    table->ops->drop (table->ctx, ((struct owner_job *)value)->id);
}

void
owner_resend_requests (struct owner_table *table)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((struct owner_job *)value)->dirty = true;
  table->dirty = true;
}

/* Answers a job that can't meet its deadline.  DEADLINE_LOST and STOPPING say
   that nothing has run; they are used only if no start was sent.  */
static void
finish_missed_deadline (struct owner_table *table, struct owner_job *job,
                        int retry_after_ms)
{
  if (job->started)
    owner_finish_job (table, job, PL_DEADLINE_RAN, 0);
  else if (job->deadline_us == table->latest_deadline_us)
    owner_finish_job (table, job, PL_STOPPING, retry_after_ms);
  else
    owner_finish_job (table, job, PL_DEADLINE_LOST, retry_after_ms);
}

void
owner_on_refusal (struct owner_table *table, uint64_t id, int retry_after_ms)
{
  struct owner_job *job = owner_find_job (table, id);
  if (job == NULL || job->dirty || job->forwarded)
    return;
  finish_missed_deadline (table, job, retry_after_ms);
}

void
owner_set_started (struct owner_job *job)
{
  job->n_possible_runs++;
  job->started = true;
}

bool
owner_may_forward (const struct owner_table *table,
                   const struct owner_job *job)
{
  return !job->started && !job->dirty && !job->crash_limit_reached
         && job->required_label == 0 && !owner_has_suspect_task (table, job);
}

void
owner_set_forwarded (struct owner_job *job)
{
  job->forwarded = true;
  job->started = true;
}

void
owner_on_forwarded_end (struct owner_table *table, struct owner_job *job,
                        const struct owner_answer *answer)
{
  if (pl_code_info (answer->code)->outcome == PL_OUTCOME_NOT_RUN)
    {
      job->started = false;
      finish_missed_deadline (table, job, answer->retry_after_ms);
      return;
    }
  owner_finish_job (table, job, answer->code, answer->retry_after_ms);
}

static void
check_job_timeouts (struct owner_table *table, struct owner_job *job,
                    int64_t now_us)
{
  if (now_us >= job->deadline_us)
    {
      finish_missed_deadline (table, job, EXPIRED_RETRY_MS);
      return;
    }
  for (unsigned i = 0; i < job->n_tasks; i++)
    {
      struct owner_task *task = &job->tasks[i];
      if (job->crash_limit_reached
          && owner_give_up_at_crash_limit (table, job, i))
        return;
      if (task->state == OWNER_TASK_UNKNOWN && task->may_run_until_us <= now_us
          && !owner_on_run_lost (table, job, i))
        return;
      if (task->retry_at_us != 0 && task->retry_at_us <= now_us)
        {
          task->retry_at_us = 0;
          owner_requeue_task (table, job, task);
        }
    }
}

void
owner_tick (struct owner_table *table)
{
  int64_t now_us = pl_now_us (table->clock);
  g_autoptr (GList) jobs = g_hash_table_get_values (table->jobs);
  for (GList *l = jobs; l != NULL; l = l->next)
    check_job_timeouts (table, l->data, now_us);
}
