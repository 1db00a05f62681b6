/* Internals of lib/sched.  */
#pragma once

#include "plsched.h"

/* Queued work of TEAM in JOBS whose rank is at most RANK; JOBS are in order of
   their ranks.  */
int64_t sched_work_before (GSequence *jobs, const struct sched_team *team,
                           int64_t rank);

struct sched
{
  struct sched_opts opts;
  struct sched_order *order;
  GHashTable *teams; /* name to struct sched_team */
  GPtrArray *skipped;
  GPtrArray *unready; /* struct sched_job: not ready yet */
  unsigned queued;
  unsigned runnable;
  int64_t queued_us;
  uint64_t next_seq;
  double retry_tokens;
  int64_t retry_at_us;
};
