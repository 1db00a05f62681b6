/* Internals of lib/sched.  */
#pragma once

#include "plsched.h"

/* Sum of the queued work of TEAM's jobs in JOBS whose rank is at most RANK.
   JOBS is sorted by rank.  */
int64_t sched_work_before (GSequence *jobs, const struct sched_team *team,
                           int64_t rank);

struct sched
{
  struct sched_opts opts;
  struct sched_order *order;
  GHashTable *teams;  /* name to struct sched_team */
  GPtrArray *skipped; /* struct sched_job until sched_unskip */
  GPtrArray *unready; /* struct sched_job before sched_mark_ready */
  unsigned queued;    /* tasks */
  unsigned runnable;  /* of these, those of ready jobs */
  int64_t queued_us;  /* sum of the sizes of the queued tasks */
  uint64_t next_seq;
  double retry_tokens; /* retries that the budget allows now */
  int64_t retry_at_us; /* time of the latest refill of the budget */
};
