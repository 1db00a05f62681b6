/* The queue of jobs and tasks: order policies, size estimates, admission and
   the retry budget.  Pure logic; one owning thread.  Not named sched.h, which
   would hide the system header that pthread.h includes.  */
#pragma once

#include "pl.h"

#define SCHED_MIN_SAMPLES 8 /* run times after which sizes are learnt */
#define SCHED_DEFAULT_SIZE_US                                                 \
  200000 /* size of a task nothing is known about */

struct sched_job;

/* One task; embedded in the caller's own.  */
struct sched_task
{
  struct sched_job *job;
  int64_t size_us;     /* estimate */
  int64_t declared_us; /* orders tasks of equal estimate; 0: none */
  int64_t memory_mb;
};

/* A team with its tasks; owned by the queue.  */
struct sched_team
{
  char *name;
  unsigned weight;
  unsigned quota; /* slots of this instance; 0: no limit */
  unsigned in_use;
  unsigned queued;
  int64_t queued_us;
  int64_t vtime; /* received service over weight */
  GSequence *jobs;
  GSequenceIter *position;
};

/* One job; embedded in the caller's own.  The caller sets the first group.  */
struct sched_job
{
  int64_t arrival_us;
  int64_t ideal_us; /* its longest task */
  int64_t work_us;  /* sum of its tasks */
  struct sched_team *team;

  GPtrArray *queued; /* longest task last; set by sched_add */
  GSequenceIter *position;
  int64_t queued_us; /* sum of its queued tasks */
  int64_t rank;      /* in its team */
  uint64_t seq;
  bool ready;
  bool skipped;
};

/* An order of jobs.  FIRST must not return a skipped job.  */
struct sched_order
{
  /* Rank of JOB in its team; the least comes first.  */
  int64_t (*rank) (const struct sched_job *job);
  void (*insert) (struct sched_order *order, struct sched_job *job);
  void (*remove) (struct sched_order *order, struct sched_job *job);
  struct sched_job *(*first) (struct sched_order *order);
  /* Inserted work of TEAM whose rank is at most RANK.  */
  int64_t (*ahead_us) (struct sched_order *order,
                       const struct sched_team *team, int64_t rank);
  /* A task of TEAM was bound, or (SIZE_US 0) has ended.  */
  void (*charge) (struct sched_order *order, struct sched_team *team,
                  int64_t size_us);
  void (*free) (struct sched_order *order);
};

struct sched_order *sched_order_fifo (void);
struct sched_order *sched_order_slowdown (void);

struct sched_opts
{
  struct pl_clock *clock;
  const char *policy; /* fifo, p2c or slowdown (also any other name) */
  unsigned queue_tasks;
  int64_t max_wait_us; /* expected wait above which jobs are refused */
  unsigned retry_percent;
  unsigned retry_min_per_s;
};

struct sched;
struct sched *sched_new (const struct sched_opts *opts);
void sched_free (struct sched *sched);

/* The team NAME with the given limits from now on.  */
struct sched_team *sched_team (struct sched *sched, const char *name,
                               unsigned weight, unsigned quota);

/* Queues N tasks of JOB; they are offered after sched_ready.  */
void sched_add (struct sched *sched, struct sched_job *job,
                struct sched_task **tasks, unsigned n);
void sched_ready (struct sched *sched, struct sched_job *job);
/* Removes all queued tasks of JOB and forgets it; returns their number.  */
unsigned sched_drop (struct sched *sched, struct sched_job *job);
/* The next task in order, or null.  It stays queued.  */
struct sched_task *sched_peek (struct sched *sched);
/* Takes TASK, which sched_peek gave, to a slot.  */
void sched_take (struct sched *sched, struct sched_task *task);
/* Passes over the job of TASK until sched_unskip.  */
void sched_skip (struct sched *sched, struct sched_task *task);
void sched_unskip (struct sched *sched);
/* The slot of a task of TEAM is free again.  */
void sched_task_ended (struct sched *sched, struct sched_team *team);
/* Queues a taken task again, in front of its job.  */
void sched_requeue (struct sched *sched, struct sched_task *task);
unsigned sched_queued (const struct sched *sched);
/* Queued tasks of jobs that are ready.  */
unsigned sched_runnable (const struct sched *sched);

/* Admission.  SLOTS are those this instance has, WIDE those of the domain;
   SIZED says whether the sizes may be relied on.  Gives PL_OK or the code of
   the refusal with the time to come back.  */
enum pl_code sched_admit (struct sched *sched, const struct sched_job *job,
                          unsigned tasks, int64_t deadline_us, unsigned slots,
                          unsigned domain_slots, bool reliable,
                          int64_t *retry_after_ms, int64_t *wait_us);
/* Expected wait of JOB, which is not queued yet, for its first slot.  */
int64_t sched_expected_wait_us (const struct sched *sched,
                                const struct sched_job *job, unsigned slots);

/* The retry budget: a share of the starts, and a least rate.  */
void sched_count_start (struct sched *sched);
bool sched_use_retry (struct sched *sched);

/* Size estimates by (service, kind, team).  */
struct sched_sizes;
struct sched_sizes *sched_sizes_new (struct pl_clock *clock);
void sched_sizes_free (struct sched_sizes *sizes);
/* DECLARED_US, here and below, is 0 if nothing was declared.  */
void sched_sizes_learn (struct sched_sizes *sizes, const char *service,
                        const char *kind, const char *team,
                        int64_t declared_us, int64_t run_us);
/* The usual run time, changed as far as declared sizes have proved to tell
   anything.  SIZED (may be null) is set if the estimate is fresh enough to
   refuse a job for it.  */
int64_t sched_sizes_get (struct sched_sizes *sizes, const char *service,
                         const char *kind, const char *team,
                         int64_t declared_us, bool *reliable);
