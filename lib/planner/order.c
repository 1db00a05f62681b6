/* Order of the queue under the default policy, and which jobs can't end in
   time.  */
#include "planner_priv.h"

/* Time of the answer from the last task's end to the caller.  */
#define ANSWER_DELAY_US 4000
/* Run times are estimates: a job should start earlier by this part of its run
   time, but by no more than half of its slack.  */
#define MARGIN_PERCENT 25

int64_t
planner_latest_start (const struct job *job)
{
  const struct planner_request *request = &job->request;
  int64_t latest_us
      = request->objective_us - request->run_us - ANSWER_DELAY_US;
  int64_t slack_us = MAX (latest_us - request->arrival_us, 0);
  return latest_us
         - MIN (request->run_us * MARGIN_PERCENT / 100, slack_us / 2);
}

bool
planner_is_hopeless (const struct job *job, int64_t now_us)
{
  int64_t limit_us = MIN (job->request.deadline_us, job->request.late_us);
  return now_us + job->request.run_us / 2 + ANSWER_DELAY_US > limit_us;
}

/* Among jobs whose latest starts are in the same window, the priority decides.
   A longer window would serve the jobs of the lowest priority far less than
   the others.  */
#define PRIORITY_WINDOW_US 20000

/* 0: has run in part, which a refusal would waste; 1: may still meet its
   objective; 2: can only be late; 3: of another failure domain.  */
static int
urgency_class (const struct job *job, int64_t now_us)
{
  if (job->request.started)
    return 0;
  if (job->request.lent)
    return 3;
  return planner_latest_start (job) >= now_us ? 1 : 2;
}

static int
compare_int64 (int64_t a, int64_t b)
{
  return (a > b) - (a < b);
}

int
planner_compare_jobs (const struct job *a, const struct job *b, int64_t now_us)
{
  int by_class
      = compare_int64 (urgency_class (a, now_us), urgency_class (b, now_us));
  if (by_class != 0)
    return by_class;
  int64_t start_a = planner_latest_start (a);
  int64_t start_b = planner_latest_start (b);
  int by_window = compare_int64 (start_a / PRIORITY_WINDOW_US,
                                 start_b / PRIORITY_WINDOW_US);
  if (by_window != 0)
    return by_window;
  int by_priority = compare_int64 (a->request.priority, b->request.priority);
  if (by_priority != 0)
    return by_priority;
  int by_start = compare_int64 (start_a, start_b);
  return by_start != 0 ? by_start
                       : compare_int64 ((int64_t)a->seq, (int64_t)b->seq);
}
