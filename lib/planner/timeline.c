/* When running tasks are expected to leave their room.  */
#include "planner_priv.h"

/* A run that has taken longer than expected goes on for this part of what it
   has taken, within these bounds.  */
#define OVERDUE_PERCENT 25
#define OVERDUE_MIN_US 2000
#define OVERDUE_MAX_US 500000
/* Runs on one worker that are looked at.  */
#define MAX_ENDS (2 * PLANNER_MAX_RUNS)

int64_t
planner_run_end_us (const struct planner_run *run, int64_t now_us)
{
  if (run->expect_us == 0)
    return INT64_MAX;
  int64_t end_us = run->started_us + run->expect_us;
  if (end_us > now_us)
    return end_us;
  int64_t taken_us = now_us - run->started_us;
  return now_us
         + CLAMP (taken_us * OVERDUE_PERCENT / 100, OVERDUE_MIN_US,
                  OVERDUE_MAX_US);
}

/* The end of one run.  */
struct run_end
{
  int64_t at_us;
  struct planner_resources size;
};

static unsigned
add_end (struct run_end *ends, unsigned n, const struct planner_run *run,
         int64_t now_us)
{
  struct run_end end = { planner_run_end_us (run, now_us), run->size };
  if (n == MAX_ENDS || end.at_us == INT64_MAX)
    return n;
  unsigned i = n;
  for (; i > 0 && ends[i - 1].at_us > end.at_us; i--)
    ends[i] = ends[i - 1];
  ends[i] = end;
  return n + 1;
}

int64_t
planner_earliest_start_us (const struct worker_entry *w,
                           struct planner_resources need, int64_t now_us,
                           struct planner_resources *used)
{
  struct run_end ends[MAX_ENDS];
  unsigned n = 0;
  for (guint i = 0; i < w->runs->len; i++)
    n = add_end (ends, n, &g_array_index (w->runs, struct planner_run, i),
                 now_us);
  for (guint i = 0; i < w->grants->len; i++)
    {
      const struct grant *grant = &g_array_index (w->grants, struct grant, i);
      struct planner_run run
          = { grant->granted_us, grant->run_us, grant->size };
      n = add_end (ends, n, &run, now_us);
    }
  *used = planner_worker_used (w);
  int64_t at_us = now_us;
  for (unsigned i = 0;; i++)
    {
      if (planner_resources_fit (w->report.capacity, *used, need))
        return at_us;
      if (i == n)
        return INT64_MAX;
      at_us = ends[i].at_us;
      used->cpu -= ends[i].size.cpu;
      used->mem -= ends[i].size.mem;
      used->gpu -= ends[i].size.gpu;
    }
}
