/* Internals of the planner.  */
#pragma once

#include "pack.h"

/* A grant that no report of its holder shows yet.  */
struct grant
{
  uint64_t tag;
  struct pack_amount size;
  int64_t at_us;
};

struct room
{
  struct pack_room r;
  int64_t reported_us;
  GArray *grants;
};

struct job
{
  struct pack_want want; /* its tasks are in WAITING */
  GArray *waiting;       /* uint32_t indexes */
  GArray *placed;        /* workers that got a task of it */
  int64_t arrival_us;
  uint64_t seq;
};

/* How jobs are ordered and placed.  */
struct pack_policy
{
  /* Order of waiting jobs.  */
  int (*order) (const struct job *a, const struct job *b, int64_t now_us);
  /* A room for a task of JOB, null if none has enough left.  */
  struct room *(*choose) (struct pack_plan *plan, const struct job *job,
                          int64_t now_us);
  /* Whether jobs are refused that the queue keeps from starting in time.  */
  bool refuses;
};

extern const struct pack_policy pack_policy_default;
/* Baselines: the order of arrival, and a random worker or the better of two
   random ones; nothing is refused before it is hopeless.  */
extern const struct pack_policy pack_policy_random;
extern const struct pack_policy pack_policy_two;

/* What is remembered of a service between decisions.  */
struct service
{
  int64_t lacking_us; /* since when no usable worker was found; 0: one was */
  int64_t crowded_us; /* latest refusal of a job that was crowded out */
};

struct pack_plan
{
  const struct pack_policy *policy;
  const struct pack_ops *ops;
  void *ctx;
  GHashTable *rooms;    /* worker -> struct room */
  GHashTable *paused;   /* holders */
  GPtrArray *jobs;      /* struct job, unordered between decisions */
  GHashTable *by_id;    /* job -> struct job */
  GHashTable *services; /* service -> struct service */
  uint64_t next_seq;
};

struct pack_plan *pack_new_with (const struct pack_policy *policy,
                                 const struct pack_ops *ops, void *ctx);

/* Room that grants and runs of R take.  */
struct pack_amount pack_room_used (const struct room *r);

/* Order of waiting jobs.  */
int pack_order (const struct job *a, const struct job *b, int64_t now_us);
/* The latest start with which the job can meet its objective.  */
int64_t pack_latest_start (const struct job *job);
/* Whether the job can't end in time even if it started now.  */
bool pack_hopeless (const struct job *job, int64_t now_us);

/* Whether R may take a task of JOB now and has enough left.  Drops grants that
   have timed out.  */
bool pack_takes (struct pack_plan *plan, struct room *r, const struct job *job,
                 int64_t now_us);
/* Whether tasks may be placed on R at all.  */
bool pack_room_usable (const struct pack_plan *plan, const struct room *r);
/* The best room for a task of JOB, null if none has enough left.  */
struct room *pack_choose (struct pack_plan *plan, const struct job *job,
                          int64_t now_us);
