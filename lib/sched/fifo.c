/* The order by arrival, for the policies fifo and p2c.  Ignores weights and
   quotas.  */
#include "sched_in.h"

struct fifo
{
  struct sched_order base;
  GSequence *jobs;
};

/* Equal for all, so that all queued jobs come before a new one.  */
static int64_t
fifo_rank (const struct sched_job *job)
{
  (void)job;
  return 0;
}

static int
by_seq (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct sched_job *x = a;
  const struct sched_job *y = b;
  return (x->seq > y->seq) - (x->seq < y->seq);
}

static void
fifo_insert (struct sched_order *order, struct sched_job *job)
{
  struct fifo *fifo = (struct fifo *)order;
  job->position = g_sequence_insert_sorted (fifo->jobs, job, by_seq, NULL);
}

static void
fifo_remove (struct sched_order *order, struct sched_job *job)
{
  (void)order;
  g_sequence_remove (job->position);
  job->position = NULL;
}

static struct sched_job *
fifo_first (struct sched_order *order)
{
  struct fifo *fifo = (struct fifo *)order;
  GSequenceIter *it = g_sequence_get_begin_iter (fifo->jobs);
  return g_sequence_iter_is_end (it) ? NULL : g_sequence_get (it);
}

static int64_t
fifo_ahead_us (struct sched_order *order, const struct sched_team *team,
               int64_t rank)
{
  return sched_work_before (((struct fifo *)order)->jobs, team, rank);
}

static void
fifo_charge (struct sched_order *order, struct sched_team *team,
             int64_t size_us)
{
  (void)order;
  team->vtime += size_us / team->weight;
}

static void
fifo_free (struct sched_order *order)
{
  g_sequence_free (((struct fifo *)order)->jobs);
  g_free (order);
}

struct sched_order *
sched_order_fifo (void)
{
  struct fifo *fifo = g_new (struct fifo, 1);
  *fifo = (struct fifo){
    .base = { .rank = fifo_rank,
              .insert = fifo_insert,
              .remove = fifo_remove,
              .first = fifo_first,
              .ahead_us = fifo_ahead_us,
              .charge = fifo_charge,
              .free = fifo_free },
    .jobs = g_sequence_new (NULL),
  };
  return &fifo->base;
}
