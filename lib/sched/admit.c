/* Admission of jobs and the retry budget, a token bucket.  */
#include "sched_in.h"

#define MIN_RETRY_MS 20 /* a shorter wait would make callers poll */
/* max_wait_us is raised by this many times the job's least run time.  With one
   bound for all jobs, two of the largest jobs at half load had a third one
   refused.  */
#define WAIT_MAKESPANS 2
#define RETRY_BURST_S 2 /* the bucket holds N seconds of the fixed rate */

/* Queued work of JOB's team that comes before JOB in the order.  */
static int64_t
work_ahead_us (const struct sched *sched, const struct sched_job *job)
{
  int64_t rank = sched->order->rank (job);
  int64_t sum = sched->order->ahead_us (sched->order, job->team, rank);
  for (unsigned i = 0; i < sched->unready->len; i++)
    {
      const struct sched_job *other = sched->unready->pdata[i];
      if (other->team == job->team && other->rank <= rank)
        sum += other->queued_us;
    }
  return sum;
}

/* The expected wait of a new job is the work that comes before it in the
   order, divided by the slots.  Work that comes after it, such as a much
   larger job of its team, does not delay it.  While other teams have queued
   tasks, the wait is at most the time in which the team's part of the slots,
   by weight, does the team's own work, so a team with a small queue does not
   wait for the queues of others.  */
int64_t
sched_expected_wait_us (const struct sched *sched, const struct sched_job *job,
                        unsigned slots)
{
  slots = MAX (slots, 1);
  const struct sched_team *team = job->team;
  int64_t ahead_us = work_ahead_us (sched, job);
  int64_t others_us = sched->queued_us - team->queued_us;
  if (others_us == 0)
    return ahead_us / slots;
  int64_t weights = team->weight;
  GHashTableIter it;
  void *value;
  g_hash_table_iter_init (&it, sched->teams);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct sched_team *other = value;
      if (other != team && other->queued > 0)
        weights += other->weight;
    }
  int64_t own_team_us = ahead_us / slots * weights / team->weight;
  return MIN ((ahead_us + others_us) / slots, own_team_us);
}

/* Whether TEAM has as many tasks as its quota allows slots.  The quota applies
   only while other teams have queued tasks.  */
static bool
reaches_quota (const struct sched *sched, const struct sched_team *team)
{
  if (team->quota == 0)
    return false;
  bool others_queued = sched->queued > team->queued;
  return others_queued && team->in_use + team->queued >= team->quota;
}

enum pl_code
sched_admit (struct sched *sched, const struct sched_job *job, unsigned tasks,
             int64_t deadline_us, unsigned slots, unsigned domain_slots,
             bool reliable, int64_t *retry_after_ms, int64_t *wait_us)
{
  int64_t wait = sched_expected_wait_us (sched, job, slots);
  int64_t min_makespan_us
      = MAX (job->ideal_us, job->work_us / MAX (domain_slots, 1));
  int64_t now = pl_now_us (sched->opts.clock);
  *wait_us = wait;
  *retry_after_ms = MAX (wait / 1000, MIN_RETRY_MS);
  if (slots == 0)
    return PL_NO_WORKER;
  if (sched->queued + tasks > sched->opts.queue_tasks)
    return PL_OVERLOADED;
  if (reaches_quota (sched, job->team))
    return PL_QUOTA;
  if (now + wait + (reliable ? min_makespan_us : 0) > deadline_us)
    return PL_DEADLINE_LOST;
  if (wait > sched->opts.max_wait_us + WAIT_MAKESPANS * min_makespan_us)
    return PL_OVERLOADED;
  *retry_after_ms = 0;
  return PL_OK;
}

static void
refill_tokens (struct sched *sched)
{
  int64_t now = pl_now_us (sched->opts.clock);
  double rate = sched->opts.retry_min_per_s;
  double tokens
      = sched->retry_tokens + rate * (double)(now - sched->retry_at_us) / 1e6;
  sched->retry_at_us = now;
  /* The bucket holds at least the retries that 100 starts allow.  */
  double max_tokens = MAX (rate * RETRY_BURST_S, sched->opts.retry_percent);
  sched->retry_tokens = MIN (tokens, max_tokens);
}

void
sched_count_start (struct sched *sched)
{
  sched->retry_tokens += sched->opts.retry_percent / 100.0;
  refill_tokens (sched);
}

bool
sched_use_retry (struct sched *sched)
{
  refill_tokens (sched);
  if (sched->retry_tokens < 1)
    return false;
  sched->retry_tokens -= 1;
  return true;
}
