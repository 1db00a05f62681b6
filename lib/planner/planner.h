/* Planning: which waiting task goes to which worker, and which job is refused.
   Pure logic with explicit time; one owning thread.  The planner knows the
   room of all workers from the reports of their holders and the waiting tasks
   from the requests of the jobs' owners.  A holder checks each start against
   its own books, so that a wrong plan costs time and never breaks a bound. */
#pragma once

#include "pl.h"

#define PLANNER_MAX_LABELS 4
#define PLANNER_MAX_RUNS 64 /* runs reported of one worker */

/* Resources of a task or a worker.  */
struct planner_resources
{
  int32_t cpu; /* thousandths of a core */
  int32_t mem; /* MB */
  int32_t gpu;
};

/* Whether NEED fits into CAPACITY less USED.  */
bool planner_resources_fit (struct planner_resources capacity,
                            struct planner_resources used,
                            struct planner_resources need);
struct planner_resources planner_resources_add (struct planner_resources a,
                                                struct planner_resources b);

/* Identifies a task in reports of holders.  */
uint64_t planner_task_tag (uint64_t job, uint32_t index);

/* A holder's report about one worker.  */
struct planner_worker_report
{
  uint64_t worker;
  uint64_t holder;
  int64_t token; /* of the holder */
  uint64_t service;
  uint64_t domain;
  uint64_t labels[PLANNER_MAX_LABELS]; /* hashes; 0: none */
  struct planner_resources capacity;
  struct planner_resources used;
  bool usable;
  uint32_t slowness; /* run time against the estimate, in percent */
  uint64_t runs[PLANNER_MAX_RUNS]; /* tags */
  unsigned n_runs;
};

/* An owner's request for one job; it replaces the former one.  */
struct planner_request
{
  uint64_t job;
  uint64_t owner;
  uint64_t service;
  uint64_t domain; /* of the owner */
  uint64_t required_label;
  uint64_t preferred_label;
  uint32_t per_worker; /* tasks of the job on one worker; 0: no limit */
  struct planner_resources size;
  int64_t run_us;       /* expected run time of a task */
  int64_t objective_us; /* full value until then */
  int64_t deadline_us;  /* no value after it */
  int64_t late_us;      /* partial value until then */
  unsigned priority;    /* 0 comes first */
  bool started;         /* some task of the job has started */
  unsigned n_tasks;     /* of the whole job */
  unsigned n_waiting;
  const uint32_t *waiting; /* indexes of tasks */
};

/* Where a task goes, and what decided it.  */
struct planner_placement
{
  const struct planner_worker_report *report;
  struct planner_resources used; /* before the task, grants included */
  int64_t waited_us;
  int64_t report_age_us; /* of the holder's report */
};

enum planner_refusal_reason
{
  PLANNER_HOPELESS, /* can't end in time even if it started now */
  PLANNER_CROWDED,  /* the work queued before it takes too long */
  PLANNER_NO_ROOM,  /* its service has had no usable worker for a while */
};

const char *planner_refusal_reason_name (enum planner_refusal_reason reason);

/* Why a job is refused, and what decided it.  */
struct planner_refusal
{
  enum planner_refusal_reason reason;
  int retry_after_ms;
  unsigned waiting;   /* jobs in the queue */
  int64_t usable_cpu; /* of all workers, thousandths of a core */
  int64_t ahead_us;   /* until the work before it is started */
  int64_t slack_us;   /* until its latest start; may be negative */
};

struct planner_state;

struct planner_ops
{
  /* Task INDEX of JOB may start on the worker of ROOM.  */
  void (*grant) (void *ctx, const struct planner_request *want, uint32_t index,
                 const struct planner_placement *placing);
  /* The job is not served.  */
  void (*refuse) (void *ctx, const struct planner_request *want,
                  const struct planner_refusal *refusal);
};

struct planner_state *planner_new (const struct planner_ops *ops, void *ctx);
void planner_free (struct planner_state *plan);
void planner_update_worker (struct planner_state *plan,
                            const struct planner_worker_report *room,
                            int64_t now_us);
void planner_remove_worker (struct planner_state *plan, uint64_t worker,
                            uint64_t holder);
void planner_remove_holder (struct planner_state *plan, uint64_t holder);
/* While PAUSED nothing is placed on the holder's workers: it may be lost.  */
void planner_pause_holder (struct planner_state *plan, uint64_t holder,
                           bool paused);
void planner_put_request (struct planner_state *plan,
                          const struct planner_request *want, int64_t now_us);
/* The job needs nothing more.  */
void planner_remove_job (struct planner_state *plan, uint64_t job,
                         uint64_t owner);
void planner_remove_owner (struct planner_state *plan, uint64_t owner);
/* Releases a grant that its holder turned down.  */
void planner_release_grant (struct planner_state *plan, uint64_t worker,
                            uint64_t tag);
/* Grants and refuses what can be decided now.  */
void planner_schedule (struct planner_state *plan, int64_t now_us);
unsigned planner_count_jobs (const struct planner_state *plan);
