/* Baselines that the planner is measured against.  */
#include "planner_priv.h"

static int
order_fifo (const struct job *a, const struct job *b, int64_t now_us)
{
  (void)now_us;
  return (a->seq > b->seq) - (a->seq < b->seq);
}

/* Random rooms that may take a task of JOB; returns how many, at most N.  */
static unsigned
draw (struct planner_state *plan, const struct job *job, int64_t now_us,
      struct room **workers, unsigned n)
{
  g_autoptr (GPtrArray) fitting = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, plan->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (planner_worker_can_take (plan, value, job, now_us))
      g_ptr_array_add (fitting, value);
  n = MIN (n, fitting->len);
  for (unsigned i = 0; i < n; i++)
    workers[i] = fitting->pdata[g_random_int_range (0, (gint32)fitting->len)];
  return n;
}

static struct room *
choose_random (struct planner_state *plan, const struct job *job,
               int64_t now_us)
{
  struct room *room;
  return draw (plan, job, now_us, &room, 1) == 1 ? room : NULL;
}

/* The one of two random rooms that has more left.  */
static struct room *
choose_two (struct planner_state *plan, const struct job *job, int64_t now_us)
{
  struct room *workers[2];
  unsigned n = draw (plan, job, now_us, workers, 2);
  if (n < 2)
    return n == 0 ? NULL : workers[0];
  int32_t left[2];
  for (unsigned i = 0; i < 2; i++)
    left[i]
        = workers[i]->r.capacity.cpu - planner_worker_used (workers[i]).cpu;
  return workers[left[1] > left[0]];
}

const struct planner_policy planner_policy_random
    = { .order = order_fifo, .choose = choose_random };
const struct planner_policy planner_policy_p2c
    = { .order = order_fifo, .choose = choose_two };
