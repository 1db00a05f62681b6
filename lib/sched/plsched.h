/* The scheduler's queue of jobs and tasks: the order in which tasks start, the
   admission of jobs, estimates of run times ("sizes") and the budget of
   retries.  It starts nothing itself: the caller takes the next task when it
   has a slot for it.  A queue has one owning thread.  Not named sched.h, which
   would hide the system header that pthread.h includes.  */
#pragma once

#include "pl.h"

#define SCHED_MIN_SAMPLES 8 /* run times from which on estimates are used */
#define SCHED_DEFAULT_SIZE_US 200000 /* if nothing is known about a task */

struct sched_job;

/* One task; embedded in the caller's structure of a task.  */
struct sched_task
{
  struct sched_job *job;
  int64_t size_us;     /* estimated run time */
  int64_t declared_us; /* 0: none; decides between equal estimates */
  int64_t memory_mb;
};

/* A team, which has a share of the slots.  Owned by the queue.  */
struct sched_team
{
  char *name;
  unsigned weight;
  unsigned quota;          /* slots of this instance; 0: no limit */
  unsigned in_use;         /* slots */
  unsigned queued;         /* tasks */
  int64_t queued_us;       /* sum of their sizes */
  int64_t vtime;           /* virtual time: work started over weight */
  GSequence *jobs;         /* queued ones; used by sched_order_slowdown */
  GSequenceIter *position; /* of the team in that order */
};

/* One job; embedded in the caller's structure of a job.  The caller sets the
   first group of members, the queue the second.  */
struct sched_job
{
  int64_t arrival_us;
  int64_t ideal_us; /* size of its longest task */
  int64_t work_us;  /* sum of the sizes of its tasks */
  struct sched_team *team;

  GPtrArray *queued;       /* struct sched_task, the longest last */
  GSequenceIter *position; /* in the order; null: not in it */
  int64_t queued_us;       /* sum of the sizes of its queued tasks */
  int64_t rank;            /* in its team; the least comes first */
  uint64_t seq;            /* number of its sched_add; decides equal ranks */
  bool ready;              /* sched_mark_ready was called */
  bool skipped;            /* until sched_unskip */
};

/* An order policy: decides which job's task starts next.  Only ready jobs with
   queued tasks that are not skipped are inserted.  */
struct sched_order
{
  /* The rank of JOB in its team; the least comes first.  */
  int64_t (*rank) (const struct sched_job *job);
  void (*insert) (struct sched_order *order, struct sched_job *job);
  void (*remove) (struct sched_order *order, struct sched_job *job);
  struct sched_job *(*first) (struct sched_order *order);
  /* Sum of the queued work of TEAM's inserted jobs whose rank is at most
     RANK.  */
  int64_t (*ahead_us) (struct sched_order *order,
                       const struct sched_team *team, int64_t rank);
  /* Called when a task of TEAM gets a slot, with the task's size, and with
     SIZE_US 0 when a task of TEAM ends.  */
  void (*charge) (struct sched_order *order, struct sched_team *team,
                  int64_t size_us);
  void (*free) (struct sched_order *order);
};

struct sched_order *sched_order_fifo (void);
struct sched_order *sched_order_slowdown (void);

struct sched_opts
{
  struct pl_clock *clock;
  const char *policy;       /* fifo or p2c: by arrival; any other: slowdown */
  unsigned queue_tasks;     /* most tasks queued at a time */
  int64_t max_wait_us;      /* expected wait above which jobs are refused */
  unsigned retry_percent;   /* retries allowed per 100 starts */
  unsigned retry_min_per_s; /* retries allowed whatever the starts */
};

struct sched;
struct sched *sched_new (const struct sched_opts *opts);
void sched_free (struct sched *sched);

/* The team NAME, added if it is new; WEIGHT and QUOTA hold from now on.  */
struct sched_team *sched_set_team (struct sched *sched, const char *name,
                                   unsigned weight, unsigned quota);

/* Queues N tasks of JOB.  They count as queued work now, but sched_peek gives
   them only after sched_mark_ready.  */
void sched_add (struct sched *sched, struct sched_job *job,
                struct sched_task **tasks, unsigned n);
void sched_mark_ready (struct sched *sched, struct sched_job *job);
/* Removes JOB and all its queued tasks; returns their number.  */
unsigned sched_drop (struct sched *sched, struct sched_job *job);
/* The next task in the order, or null.  It stays queued: the caller takes it,
   or skips its job.  */
struct sched_task *sched_peek (struct sched *sched);
/* Removes TASK, which sched_peek has just given, as it gets a slot.  */
void sched_take (struct sched *sched, struct sched_task *task);
/* Leaves the job of TASK out of the order until sched_unskip, as there is no
   slot for TASK.  */
void sched_skip (struct sched *sched, struct sched_task *task);
void sched_unskip (struct sched *sched);
/* A task of TEAM has ended and its slot is free.  */
void sched_task_ended (struct sched *sched, struct sched_team *team);
/* Queues a taken task again, as the next one of its job.  */
void sched_requeue (struct sched *sched, struct sched_task *task);
unsigned sched_queued (const struct sched *sched);
/* Queued tasks of jobs that are ready.  */
unsigned sched_runnable (const struct sched *sched);

/* Whether JOB of TASKS tasks may be queued.  SLOTS are those that this
   instance can count on, DOMAIN_SLOTS those of the domain.  Unless the
   estimates are RELIABLE, the job is not refused for its size.  Returns PL_OK,
   or the code of the refusal and in RETRY_AFTER_MS when to submit it again.
   WAIT_US is the expected wait in any case.  */
enum pl_code sched_admit (struct sched *sched, const struct sched_job *job,
                          unsigned tasks, int64_t deadline_us, unsigned slots,
                          unsigned domain_slots, bool reliable,
                          int64_t *retry_after_ms, int64_t *wait_us);
/* Expected time until JOB, which is not queued, gets its first slot if this
   instance has SLOTS slots.  */
int64_t sched_expected_wait_us (const struct sched *sched,
                                const struct sched_job *job, unsigned slots);

/* The retry budget: a part of the starts, and at least a fixed rate.  It keeps
   retries from multiplying the load when many starts fail.  */
void sched_count_start (struct sched *sched);
/* Takes one retry from the budget; false if it is empty.  */
bool sched_use_retry (struct sched *sched);

/* Estimates of run times by service, kind and team.  */
struct sched_sizes;
struct sched_sizes *sched_sizes_new (struct pl_clock *clock);
void sched_sizes_free (struct sched_sizes *sizes);
/* Adds the run time of a task that has succeeded.  DECLARED_US, here and
   below, is the run time that the caller declared; 0: none.  */
void sched_sizes_learn (struct sched_sizes *sizes, const char *service,
                        const char *kind, const char *team,
                        int64_t declared_us, int64_t run_us);
/* The estimate for a task: the usual run time, corrected by the declared one
   as far as earlier declarations have predicted run times.  RELIABLE (may be
   null) says whether it is recent enough to refuse a job for it.  */
int64_t sched_sizes_get (struct sched_sizes *sizes, const char *service,
                         const char *kind, const char *team,
                         int64_t declared_us, bool *reliable);
