/* Private declarations of lib/planner, also used by its tests.  */
#pragma once

#include "planner.h"

/* A granted task that no report of the worker's holder lists yet.  */
struct grant
{
  uint64_t tag;  /* planner_task_tag */
  int64_t token; /* of the lease under which the task may start */
  struct planner_resources size;
  int64_t granted_us;
};

/* Time between two starts of suspect jobs on a worker.  If it crashes, the two
   must be told apart: tasks that ran on the same worker when it crashed come
   back together.  */
#define PLANNER_SUSPECT_GAP_US 200000

/* A service counts as crowded for this time after a refusal.  */
#define PLANNER_CROWDED_PERIOD_US 500000

struct worker_entry
{
  struct planner_worker_report report; /* the latest */
  int64_t reported_us;                 /* when it arrived */
  int64_t suspect_until_us; /* takes no task of a suspect job until then */
  GArray *grants;           /* struct grant */
};

/* A job in the queue.  */
struct job
{
  struct planner_request request; /* its array of tasks is WAITING below */
  GArray *waiting;                /* indexes of tasks (uint32_t) */
  GArray *placed; /* tasks on workers (struct planner_placed) */
  uint64_t seq;   /* order of the first requests */
};

/* How jobs are ordered, placed and refused.  */
struct planner_policy
{
  /* Order of the queue, as for qsort.  */
  int (*compare) (const struct job *a, const struct job *b, int64_t now_us);
  /* Returns a worker for task INDEX of JOB, null if the task has to wait.  */
  struct worker_entry *(*choose) (struct planner_state *planner,
                                  const struct job *job, uint32_t index,
                                  int64_t now_us);
  /* Whether jobs are refused that would start too late because of the work
     queued before them.  */
  bool sheds_load;
};

extern const struct planner_policy planner_policy_default;
/* Baselines: jobs in order of arrival, each task on a random worker or on the
   one with more free CPU of two random workers.  No job is refused because of
   the work queued before it.  */
extern const struct planner_policy planner_policy_random;
extern const struct planner_policy planner_policy_p2c;

/* State of a service that is kept between calls of planner_schedule.  */
struct service
{
  int64_t no_worker_since_us; /* 0: it had a usable worker when last seen */
  int64_t last_crowded_us;    /* latest refusal as PLANNER_CROWDED */
  unsigned n_workers;         /* only counted while some domain is evacuated */
  unsigned n_evacuated;       /* of them, in evacuated domains */
};

/* A size of a task that fits on no worker of the service now.  */
struct full_size
{
  uint64_t service;
  struct planner_resources size;
};

/* The planner's workers and its queue.  */
struct planner_state
{
  const struct planner_policy *policy;
  const struct planner_ops *ops;
  void *ctx;
  GHashTable *workers;   /* worker -> struct worker_entry */
  GHashTable *paused;    /* set of holders */
  GHashTable *evacuated; /* set of domains */
  GPtrArray *jobs;       /* struct job; planner_schedule sorts them */
  GHashTable *by_id;     /* job -> struct job */
  GHashTable *services;  /* service -> struct service */
  GArray
      *full; /* struct full_size, found in the present pass over the queue */
  uint64_t next_seq;
};

struct planner_state *
planner_new_with_policy (const struct planner_policy *policy,
                         const struct planner_ops *ops, void *ctx);

/* Resources that the reported runs and the grants of W take.  */
struct planner_resources planner_worker_used (const struct worker_entry *w);

/* Order of the queue under the default policy.  */
int planner_compare_jobs (const struct job *a, const struct job *b,
                          int64_t now_us);
/* The latest start with which JOB can be expected to meet its objective.  */
int64_t planner_latest_start (const struct job *job);
/* Whether JOB can't be expected to end in time even if it started now and took
   half of its estimated run time.  */
bool planner_is_hopeless (const struct job *job, int64_t now_us);

/* Whether task INDEX of JOB may be placed on W and fits there.  Drops grants
   that have timed out.  */
bool planner_worker_can_take (struct planner_state *planner,
                              struct worker_entry *w, const struct job *job,
                              uint32_t index, int64_t now_us);
/* Whether the domain of W is evacuated.  */
bool planner_worker_evacuated (const struct planner_state *planner,
                               const struct worker_entry *w);
/* Whether tasks of any job may be placed on W.  */
bool planner_worker_usable (const struct planner_state *planner,
                            const struct worker_entry *w);
/* The worker for task INDEX of JOB under the default policy, null if the task
   has to wait.  */
struct worker_entry *planner_choose_worker (struct planner_state *planner,
                                            const struct job *job,
                                            uint32_t index, int64_t now_us);
