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

struct pack_plan
{
  const struct pack_ops *ops;
  void *ctx;
  GHashTable *rooms; /* worker -> struct room */
  GPtrArray *jobs;   /* struct job, unordered between decisions */
  GHashTable *by_id; /* job -> struct job */
  uint64_t next_seq;
};

/* Room that grants and runs of R take.  */
struct pack_amount pack_room_used (const struct room *r);

/* Order of waiting jobs.  */
int pack_order (const struct job *a, const struct job *b, int64_t now_us);
/* The latest start with which the job can meet its objective.  */
int64_t pack_latest_start (const struct job *job);
/* Whether the job can't end in time even if it started now.  */
bool pack_hopeless (const struct job *job, int64_t now_us);

/* The best room for a task of JOB, null if none has enough left.  */
struct room *pack_choose (struct pack_plan *plan, const struct job *job,
                          int64_t now_us);
