/* The queue: jobs and tasks, their sums, and the teams.  */
#include "sched_in.h"

#include <string.h>

static void
team_free (void *data)
{
  struct sched_team *team = data;
  if (team->jobs != NULL)
    g_sequence_free (team->jobs);
  g_free (team->name);
  g_free (team);
}

struct sched *
sched_new (const struct sched_opts *opts)
{
  struct sched *sched = g_new0 (struct sched, 1);
  sched->opts = *opts;
  bool fifo = strcmp (opts->policy, "fifo") == 0
              || strcmp (opts->policy, "p2c") == 0;
  sched->order = fifo ? sched_order_fifo () : sched_order_slowdown ();
  sched->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free);
  sched->skipped = g_ptr_array_new ();
  sched->unready = g_ptr_array_new ();
  sched->retry_at_us = pl_now_us (opts->clock);
  sched->retry_tokens = opts->retry_min_per_s;
  return sched;
}

void
sched_free (struct sched *sched)
{
  if (sched == NULL)
    return;
  sched->order->free (sched->order);
  g_hash_table_unref (sched->teams);
  g_ptr_array_unref (sched->skipped);
  g_ptr_array_unref (sched->unready);
  g_free (sched);
}

struct sched_team *
sched_set_team (struct sched *sched, const char *name, unsigned weight,
                unsigned quota)
{
  struct sched_team *team = g_hash_table_lookup (sched->teams, name);
  if (team == NULL)
    {
      team = g_new0 (struct sched_team, 1);
      team->name = g_strdup (name);
      g_hash_table_insert (sched->teams, team->name, team);
    }
  team->weight = MAX (weight, 1);
  team->quota = quota;
  return team;
}

int64_t
sched_work_before (GSequence *jobs, const struct sched_team *team,
                   int64_t rank)
{
  int64_t sum = 0;
  GSequenceIter *it = g_sequence_get_begin_iter (jobs);
  for (; !g_sequence_iter_is_end (it); it = g_sequence_iter_next (it))
    {
      const struct sched_job *job = g_sequence_get (it);
      if (job->rank > rank)
        break;
      if (job->team == team)
        sum += job->queued_us;
    }
  return sum;
}

/* Sorts the longest task last; tasks are taken from the end.  */
static int
by_size (gconstpointer a, gconstpointer b)
{
  const struct sched_task *x = *(struct sched_task *const *)a;
  const struct sched_task *y = *(struct sched_task *const *)b;
  if (x->size_us != y->size_us)
    return x->size_us > y->size_us ? 1 : -1;
  return (x->declared_us > y->declared_us) - (x->declared_us < y->declared_us);
}

/* Adds N tasks with a total of SIZE_US to the sums of JOB, its team and the
   queue.  Negative values subtract.  */
static void
adjust_sums (struct sched *sched, struct sched_job *job, int n,
             int64_t size_us)
{
  sched->queued += (unsigned)n;
  sched->queued_us += size_us;
  job->team->queued += (unsigned)n;
  job->team->queued_us += size_us;
  job->queued_us += size_us;
  if (job->ready)
    sched->runnable += (unsigned)n;
}

void
sched_add (struct sched *sched, struct sched_job *job,
           struct sched_task **tasks, unsigned n)
{
  job->queued = g_ptr_array_sized_new (n);
  job->queued_us = 0;
  job->rank = sched->order->rank (job);
  job->seq = sched->next_seq++;
  job->ready = false;
  job->skipped = false;
  job->position = NULL;
  for (unsigned i = 0; i < n; i++)
    {
      tasks[i]->job = job;
      g_ptr_array_add (job->queued, tasks[i]);
      adjust_sums (sched, job, 1, tasks[i]->size_us);
    }
  g_ptr_array_sort (job->queued, by_size);
  g_ptr_array_add (sched->unready, job);
}

void
sched_mark_ready (struct sched *sched, struct sched_job *job)
{
  if (job->ready)
    return;
  job->ready = true;
  g_ptr_array_remove_fast (sched->unready, job);
  sched->runnable += job->queued->len;
  if (job->queued->len > 0)
    sched->order->insert (sched->order, job);
}

unsigned
sched_drop (struct sched *sched, struct sched_job *job)
{
  if (job->queued == NULL)
    return 0;
  unsigned n = job->queued->len;
  if (job->position != NULL)
    sched->order->remove (sched->order, job);
  if (job->skipped)
    g_ptr_array_remove_fast (sched->skipped, job);
  job->skipped = false;
  if (!job->ready)
    g_ptr_array_remove_fast (sched->unready, job);
  for (unsigned i = 0; i < n; i++)
    {
      const struct sched_task *task = job->queued->pdata[i];
      adjust_sums (sched, job, -1, -task->size_us);
    }
  g_ptr_array_unref (job->queued);
  job->queued = NULL;
  return n;
}

struct sched_task *
sched_peek (struct sched *sched)
{
  const struct sched_job *job = sched->order->first (sched->order);
  return job == NULL ? NULL : job->queued->pdata[job->queued->len - 1];
}

void
sched_take (struct sched *sched, struct sched_task *task)
{
  struct sched_job *job = task->job;
  g_ptr_array_set_size (job->queued, (int)job->queued->len - 1);
  adjust_sums (sched, job, -1, -task->size_us);
  if (job->queued->len == 0)
    sched->order->remove (sched->order, job);
  job->team->in_use++;
  sched->order->charge (sched->order, job->team, MAX (task->size_us, 1));
}

void
sched_skip (struct sched *sched, struct sched_task *task)
{
  struct sched_job *job = task->job;
  sched->order->remove (sched->order, job);
  job->skipped = true;
  g_ptr_array_add (sched->skipped, job);
}

void
sched_unskip (struct sched *sched)
{
  for (unsigned i = 0; i < sched->skipped->len; i++)
    {
      struct sched_job *job = sched->skipped->pdata[i];
      job->skipped = false;
      sched->order->insert (sched->order, job);
    }
  g_ptr_array_set_size (sched->skipped, 0);
}

void
sched_task_ended (struct sched *sched, struct sched_team *team)
{
  team->in_use--;
  sched->order->charge (sched->order, team, 0);
}

void
sched_requeue (struct sched *sched, struct sched_task *task)
{
  struct sched_job *job = task->job;
  g_ptr_array_add (job->queued, task);
  adjust_sums (sched, job, 1, task->size_us);
  if (job->ready && job->position == NULL && !job->skipped)
    sched->order->insert (sched->order, job);
}

unsigned
sched_queued (const struct sched *sched)
{
  return sched->queued;
}

unsigned
sched_runnable (const struct sched *sched)
{
  return sched->runnable;
}
