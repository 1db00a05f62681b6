/* Baseline policies, which the tests compare the default policy with.  */
#include "planner_priv.h"

static int
compare_fifo (const struct job *a, const struct job *b, int64_t now_us)
{
  (void)now_us;
  return (a->seq > b->seq) - (a->seq < b->seq);
}

/* Draws up to N random workers that can take task INDEX of JOB, possibly the
   same one twice; returns their number.  */
static unsigned
draw_workers (struct planner_state *planner, const struct job *job,
              uint32_t index, int64_t now_us, struct worker_entry **workers,
              unsigned n)
{
  g_autoptr (GPtrArray) fitting = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (planner_worker_can_take (planner, value, job, index, now_us))
      g_ptr_array_add (fitting, value);
  n = MIN (n, fitting->len);
  for (unsigned i = 0; i < n; i++)
    workers[i] = fitting->pdata[g_random_int_range (0, (gint32)fitting->len)];
  return n;
}

static struct worker_entry *
choose_random (struct planner_state *planner, const struct job *job,
               uint32_t index, int64_t now_us)
{
  struct worker_entry *worker;
  return draw_workers (planner, job, index, now_us, &worker, 1) == 1 ? worker
                                                                     : NULL;
}

/* Of two random workers, the one with more free CPU.  */
static struct worker_entry *
choose_p2c (struct planner_state *planner, const struct job *job,
            uint32_t index, int64_t now_us)
{
  struct worker_entry *workers[2];
  unsigned n = draw_workers (planner, job, index, now_us, workers, 2);
  if (n < 2)
    return n == 0 ? NULL : workers[0];
  int32_t left[2];
  for (unsigned i = 0; i < 2; i++)
    left[i] = workers[i]->report.capacity.cpu
              - planner_worker_used (workers[i]).cpu;
  return workers[left[1] > left[0]];
}

const struct planner_policy planner_policy_random
    = { .compare = compare_fifo, .choose = choose_random };
const struct planner_policy planner_policy_p2c
    = { .compare = compare_fifo, .choose = choose_p2c };
