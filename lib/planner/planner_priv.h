/* Internals of the planner.  */
#pragma once

#include "planner.h"

/* A grant that no report of its holder shows yet.  */
struct grant
{
  uint64_t tag;
  struct planner_resources size;
  int64_t at_us;
};

struct room
{
  struct planner_worker_report r;
  int64_t reported_us;
  GArray *grants;
};

struct job
{
  struct planner_request want; /* its tasks are in WAITING */
  GArray *waiting;             /* uint32_t indexes */
  GArray *placed;              /* workers that got a task of it */
  int64_t arrival_us;
  uint64_t seq;
};

/* How jobs are ordered and placed.  */
struct planner_policy
{
  /* Order of waiting jobs.  */
  int (*order) (const struct job *a, const struct job *b, int64_t now_us);
  /* A room for a task of JOB, null if none has enough left.  */
  struct room *(*choose) (struct planner_state *plan, const struct job *job,
                          int64_t now_us);
  /* Whether jobs are refused that the queue keeps from starting in time.  */
  bool refuses;
};

extern const struct planner_policy planner_policy_default;
/* Baselines: the order of arrival, and a random worker or the better of two
   random ones; nothing is refused before it is hopeless.  */
extern const struct planner_policy planner_policy_random;
extern const struct planner_policy planner_policy_p2c;

/* What is remembered of a service between decisions.  */
struct service
{
  int64_t lacking_us; /* since when no usable worker was found; 0: one was */
  int64_t crowded_us; /* latest refusal of a job that was crowded out */
};

struct planner_state
{
  const struct planner_policy *policy;
  const struct planner_ops *ops;
  void *ctx;
  GHashTable *workers;  /* worker -> struct room */
  GHashTable *paused;   /* holders */
  GPtrArray *jobs;      /* struct job, unordered between decisions */
  GHashTable *by_id;    /* job -> struct job */
  GHashTable *services; /* service -> struct service */
  uint64_t next_seq;
};

struct planner_state *
planner_new_with_policy (const struct planner_policy *policy,
                         const struct planner_ops *ops, void *ctx);

/* Room that grants and runs of R take.  */
struct planner_resources planner_worker_used (const struct room *r);

/* Order of waiting jobs.  */
int planner_compare_jobs (const struct job *a, const struct job *b,
                          int64_t now_us);
/* The latest start with which the job can meet its objective.  */
int64_t planner_latest_start (const struct job *job);
/* Whether the job can't end in time even if it started now.  */
bool planner_is_hopeless (const struct job *job, int64_t now_us);

/* Whether R may take a task of JOB now and has enough left.  Drops grants that
   have timed out.  */
bool planner_worker_can_take (struct planner_state *plan, struct room *r,
                              const struct job *job, int64_t now_us);
/* Whether tasks may be placed on R at all.  */
bool planner_worker_usable (const struct planner_state *plan,
                            const struct room *r);
/* The best room for a task of JOB, null if none has enough left.  */
struct room *planner_choose_worker (struct planner_state *plan,
                                    const struct job *job, int64_t now_us);
