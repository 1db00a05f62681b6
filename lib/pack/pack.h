/* Planning: which waiting task goes to which worker, and which job is refused.
   Pure logic with explicit time; one owning thread.  The planner knows the
   room of all workers from the reports of their holders and the waiting tasks
   from the requests of the jobs' owners.  A holder checks each start against
   its own books, so that a wrong plan costs time and never breaks a bound. */
#pragma once

#include "pl.h"

#define PACK_MAX_LABELS 4
#define PACK_MAX_RUNS 64 /* runs reported of one worker */

/* Resources of a task or a worker.  */
struct pack_amount
{
  int32_t cpu; /* thousandths of a core */
  int32_t mem; /* MB */
  int32_t gpu;
};

/* Whether NEED fits into CAPACITY less USED.  */
bool pack_fits (struct pack_amount capacity, struct pack_amount used,
                struct pack_amount need);
struct pack_amount pack_add (struct pack_amount a, struct pack_amount b);

/* Identifies a task in reports of holders.  */
uint64_t pack_tag (uint64_t job, uint32_t index);

/* A holder's report about one worker.  */
struct pack_room
{
  uint64_t worker;
  uint64_t holder;
  int64_t token; /* of the holder */
  uint64_t service;
  uint64_t domain;
  uint64_t labels[PACK_MAX_LABELS]; /* hashes; 0: none */
  struct pack_amount capacity;
  struct pack_amount used;
  bool usable;
  uint32_t slowness;            /* run time against the estimate, in percent */
  uint64_t runs[PACK_MAX_RUNS]; /* tags */
  unsigned n_runs;
};

/* An owner's request for one job; it replaces the former one.  */
struct pack_want
{
  uint64_t job;
  uint64_t owner;
  uint64_t service;
  uint64_t domain; /* of the owner */
  uint64_t required_label;
  uint64_t preferred_label;
  uint32_t per_worker; /* tasks of the job on one worker; 0: no limit */
  struct pack_amount size;
  int64_t run_us;       /* expected run time of a task */
  int64_t objective_us; /* full value until then */
  int64_t deadline_us;  /* no value after it */
  int64_t late_us;      /* partial value until then */
  unsigned priority;    /* 0 comes first */
  bool started;         /* some task of the job has started */
  unsigned n_tasks;     /* of the whole job */
  unsigned n;
  const uint32_t *tasks; /* waiting ones */
};

/* Where a task goes, and what decided it.  */
struct pack_placing
{
  const struct pack_room *room;
  struct pack_amount used; /* before the task, grants included */
  int64_t waited_us;
  int64_t report_age_us; /* of the holder's report */
};

enum pack_reason
{
  PACK_HOPELESS, /* can't end in time even if it started now */
  PACK_CROWDED,  /* the work queued before it takes too long */
  PACK_NO_ROOM,  /* its service has had no usable worker for a while */
};

const char *pack_reason_name (enum pack_reason reason);

/* Why a job is refused, and what decided it.  */
struct pack_refusal
{
  enum pack_reason reason;
  int retry_after_ms;
  unsigned waiting;   /* jobs in the queue */
  int64_t usable_cpu; /* of all workers, thousandths of a core */
  int64_t ahead_us;   /* until the work before it is started */
  int64_t slack_us;   /* until its latest start; may be negative */
};

struct pack_plan;

struct pack_ops
{
  /* Task INDEX of JOB may start on the worker of ROOM.  */
  void (*grant) (void *ctx, const struct pack_want *want, uint32_t index,
                 const struct pack_placing *placing);
  /* The job is not served.  */
  void (*refuse) (void *ctx, const struct pack_want *want,
                  const struct pack_refusal *refusal);
};

struct pack_plan *pack_new (const struct pack_ops *ops, void *ctx);
void pack_free (struct pack_plan *plan);
void pack_report (struct pack_plan *plan, const struct pack_room *room,
                  int64_t now_us);
void pack_forget_worker (struct pack_plan *plan, uint64_t worker,
                         uint64_t holder);
void pack_forget_holder (struct pack_plan *plan, uint64_t holder);
/* While PAUSED nothing is placed on the holder's workers: it may be lost.  */
void pack_pause_holder (struct pack_plan *plan, uint64_t holder, bool paused);
void pack_request (struct pack_plan *plan, const struct pack_want *want,
                   int64_t now_us);
/* The job needs nothing more.  */
void pack_drop (struct pack_plan *plan, uint64_t job, uint64_t owner);
void pack_forget_owner (struct pack_plan *plan, uint64_t owner);
/* Releases a grant that its holder turned down.  */
void pack_release (struct pack_plan *plan, uint64_t worker, uint64_t tag);
/* Grants and refuses what can be decided now.  */
void pack_decide (struct pack_plan *plan, int64_t now_us);
unsigned pack_waiting (const struct pack_plan *plan);
