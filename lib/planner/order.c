/* Order of waiting jobs, and when a job is given up.  */
#include "planner_priv.h"

/* Answer's way from the last task's end to the caller.  */
#define ANSWER_US 4000
/* Run times are estimates: this part of one more is planned for, as far as it
   leaves half of the slack.  */
#define MARGIN_PERCENT 25

int64_t
planner_latest_start (const struct job *job)
{
  const struct planner_request *want = &job->want;
  int64_t latest_us = want->objective_us - want->run_us - ANSWER_US;
  int64_t slack_us = MAX (latest_us - job->arrival_us, 0);
  return latest_us - MIN (want->run_us * MARGIN_PERCENT / 100, slack_us / 2);
}

bool
planner_is_hopeless (const struct job *job, int64_t now_us)
{
  int64_t limit = MIN (job->want.deadline_us, job->want.late_us);
  return now_us + job->want.run_us / 2 + ANSWER_US > limit;
}

/* Among jobs that have to start at about the same time the priority decides. A
   wider step would serve the last kind far less than the others.  */
#define PRIORITY_STEP_US 20000

/* 0: some of its work is paid for already; 1: may still meet its objective; 2:
   can only be late.  */
static int
rank (const struct job *job, int64_t now_us)
{
  if (job->want.started)
    return 0;
  return planner_latest_start (job) >= now_us ? 1 : 2;
}

static int
compare (int64_t a, int64_t b)
{
  return (a > b) - (a < b);
}

int
planner_compare_jobs (const struct job *a, const struct job *b, int64_t now_us)
{
  int by_rank = compare (rank (a, now_us), rank (b, now_us));
  if (by_rank != 0)
    return by_rank;
  int64_t start_a = planner_latest_start (a);
  int64_t start_b = planner_latest_start (b);
  int by_step
      = compare (start_a / PRIORITY_STEP_US, start_b / PRIORITY_STEP_US);
  if (by_step != 0)
    return by_step;
  int by_priority = compare (a->want.priority, b->want.priority);
  if (by_priority != 0)
    return by_priority;
  int by_start = compare (start_a, start_b);
  return by_start != 0 ? by_start : compare ((int64_t)a->seq, (int64_t)b->seq);
}
