/* The default order.  Teams get weighted fair shares by start-time fair
   queueing.  Within a team, jobs are ordered by the time at which their
   slowdown, response time over ideal time, reaches a target.  That time grows
   with the arrival, so every job comes first after a bounded wait.  */
#include "sched_in.h"

#include <math.h>

#define SPREAD_SLOTS 64   /* slots that a job is assumed to run on */
#define TARGET_SLOWDOWN 4 /* the target is 1 + this */

struct slowdown
{
  struct sched_order base;
  GSequence *teams;  /* teams with jobs, below their quota, by vtime */
  GSequence *capped; /* teams with jobs, at their quota, by vtime */
  int64_t vtime;     /* virtual time: the largest at a start */
};

static int
by_rank (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct sched_job *x = a;
  const struct sched_job *y = b;
  if (x->rank != y->rank)
    return x->rank > y->rank ? 1 : -1;
  return (x->seq > y->seq) - (x->seq < y->seq);
}

static int
by_vtime (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct sched_team *x = a;
  const struct sched_team *y = b;
  return (x->vtime > y->vtime) - (x->vtime < y->vtime);
}

/* Moves TEAM to its position, or removes it if it has no jobs.  */
static void
place_team (struct slowdown *order, struct sched_team *team)
{
  if (team->position != NULL)
    g_sequence_remove (team->position);
  team->position = NULL;
  if (team->jobs == NULL || g_sequence_is_empty (team->jobs))
    return;
  bool capped = team->quota > 0 && team->in_use >= team->quota;
  GSequence *list = capped ? order->capped : order->teams;
  team->position = g_sequence_insert_sorted (list, team, by_vtime, NULL);
}

/* The time at which JOB's slowdown reaches the target.  The geometric mean of
   the longest task and the total work takes the place of the ideal time: it
   orders by their product, which lowers the mean slowdown.  */
static int64_t
slowdown_rank (const struct sched_job *job)
{
  double scale_us
      = sqrt ((double)job->ideal_us
              * (double)MAX (job->ideal_us, job->work_us / SPREAD_SLOTS));
  return job->arrival_us + TARGET_SLOWDOWN * (int64_t)scale_us;
}

static void
slowdown_insert (struct sched_order *base, struct sched_job *job)
{
  struct slowdown *order = (struct slowdown *)base;
  struct sched_team *team = job->team;
  if (team->jobs == NULL)
    team->jobs = g_sequence_new (NULL);
  bool idle = g_sequence_is_empty (team->jobs);
  /* A team that was idle gets no credit for that time.  */
  if (idle && team->vtime < order->vtime)
    team->vtime = order->vtime;
  job->position = g_sequence_insert_sorted (team->jobs, job, by_rank, NULL);
  if (idle)
    place_team (order, team);
}

static void
slowdown_remove (struct sched_order *base, struct sched_job *job)
{
  struct slowdown *order = (struct slowdown *)base;
  g_sequence_remove (job->position);
  job->position = NULL;
  if (g_sequence_is_empty (job->team->jobs))
    place_team (order, job->team);
}

static struct sched_job *
slowdown_first (struct sched_order *base)
{
  struct slowdown *order = (struct slowdown *)base;
  GSequenceIter *it = g_sequence_get_begin_iter (order->teams);
  if (g_sequence_iter_is_end (it))
    it = g_sequence_get_begin_iter (order->capped);
  if (g_sequence_iter_is_end (it))
    return NULL;
  struct sched_team *team = g_sequence_get (it);
  return g_sequence_get (g_sequence_get_begin_iter (team->jobs));
}

static int64_t
slowdown_ahead_us (struct sched_order *base, const struct sched_team *team,
                   int64_t rank)
{
  (void)base;
  return team->jobs == NULL ? 0 : sched_work_before (team->jobs, team, rank);
}

static void
slowdown_charge (struct sched_order *base, struct sched_team *team,
                 int64_t size_us)
{
  struct slowdown *order = (struct slowdown *)base;
  if (size_us > 0)
    order->vtime = MAX (order->vtime, team->vtime);
  team->vtime += size_us / team->weight;
  place_team (order, team);
}

static void
slowdown_free (struct sched_order *base)
{
  struct slowdown *order = (struct slowdown *)base;
  g_sequence_free (order->teams);
  g_sequence_free (order->capped);
  g_free (order);
}

struct sched_order *
sched_order_slowdown (void)
{
  struct slowdown *order = g_new (struct slowdown, 1);
  *order = (struct slowdown){
    .base = { .rank = slowdown_rank,
              .insert = slowdown_insert,
              .remove = slowdown_remove,
              .first = slowdown_first,
              .ahead_us = slowdown_ahead_us,
              .charge = slowdown_charge,
              .free = slowdown_free },
    .teams = g_sequence_new (NULL),
    .capped = g_sequence_new (NULL),
  };
  return &order->base;
}
