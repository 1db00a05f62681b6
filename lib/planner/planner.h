/* The planner: decides which waiting task may start on which worker, and which
   jobs are refused.  One planner serves all instances that hear each other
   (see cell.h).  It knows the free capacity of workers from the reports of
   their holders, and the waiting tasks from the requests of the jobs' owners.

   Both may be out of date: a holder checks each start against its own state,
   so that a wrong grant costs time but exceeds no limit.

   Performs no I/O and gets the time as an argument.  Used by one thread.  */
#pragma once

#include "pl.h"

#define PLANNER_MAX_LABELS 4
#define PLANNER_MAX_RUNS 64 /* in the report of one worker */
/* Bound of each of a worker's or a task's resources, so that the sum of all
   runs of a worker doesn't overflow.  */
#define PLANNER_MAX_AMOUNT (1 << 24)

/* What a task needs or a worker has.  */
struct planner_resources
{
  int32_t cpu; /* thousandths of a core */
  int32_t mem; /* MB */
  int32_t gpu;
};

/* Whether NEED fits into CAPACITY minus USED.  */
bool planner_resources_fit (struct planner_resources capacity,
                            struct planner_resources used,
                            struct planner_resources need);
bool planner_resources_equal (struct planner_resources a,
                              struct planner_resources b);
struct planner_resources planner_resources_add (struct planner_resources a,
                                                struct planner_resources b);

/* Hash that identifies a task in the reports of holders.  */
uint64_t planner_task_tag (uint64_t job, uint32_t index);

/* A run on a worker, as its holder expects it to go on.  */
struct planner_run
{
  int64_t started_us; /* by the planner's clock */
  int64_t expect_us;  /* expected run time on this worker; 0: not known */
  struct planner_resources size;
};

/* A holder's report about one worker.  Workers, services, domains and labels
   are given as hashes of their names.  */
struct planner_worker_report
{
  uint64_t worker;
  uint64_t holder;
  int64_t token; /* fencing token of the holder's lease */
  uint64_t service;
  uint64_t domain;
  uint64_t labels[PLANNER_MAX_LABELS]; /* 0: none */
  struct planner_resources capacity;
  struct planner_resources used;   /* by runs there */
  bool usable;                     /* takes starts now */
  uint32_t slowness;               /* run times in percent of the estimates */
  uint64_t runs[PLANNER_MAX_RUNS]; /* planner_task_tag of each */
  unsigned n_runs;
  /* Of each of RUNS; null if the holder doesn't tell.  Only valid during the
     call that takes the report.  */
  const struct planner_run *details;
};

/* A task and the worker where it runs or may run.  */
struct planner_placed
{
  uint32_t index;
  uint64_t worker;
};

/* An owner's request of workers for the waiting tasks of one job; it replaces
   the former one.  Times are absolute.  */
struct planner_request
{
  uint64_t job;
  uint64_t owner;
  uint64_t service;
  uint64_t domain; /* of the owner */
  uint64_t required_label;
  uint64_t preferred_label;
  uint32_t per_worker; /* tasks of the job on one worker; 0: no limit */
  struct planner_resources size; /* of one task */
  int64_t arrival_us;            /* when the owner received the job */
  int64_t run_us;                /* expected run time of a task */
  int64_t objective_us;          /* an answer has its full value until then */
  int64_t deadline_us;           /* an answer has no value after this */
  int64_t late_us;               /* an answer has some value until then */
  unsigned priority;             /* 0 comes first */
  bool started;                  /* some task of the job has started */
  bool suspect;                  /* a waiting task has crashed a worker */
  bool lent; /* of another failure domain: served after all own jobs, and
                refused if it doesn't fit at once */
  unsigned n_tasks; /* of the whole job */
  unsigned n_waiting;
  const uint32_t *waiting; /* indexes of tasks */
  /* Where the other tasks are; only needed if PER_WORKER is not 0.  */
  unsigned n_placed;
  const struct planner_placed *placed;
};

/* The worker for a task, and the figures behind the choice, for the log.  */
struct planner_placement
{
  const struct planner_worker_report *report;
  struct planner_resources used; /* before the task, grants included */
  int64_t waited_us;             /* since the owner received the job */
  int64_t report_age_us;         /* of the holder's report */
};

enum planner_refusal_reason
{
  PLANNER_HOPELESS,  /* the job can't end in time even if it started now */
  PLANNER_CROWDED,   /* the work queued before the job takes too long */
  PLANNER_NO_WORKER, /* the service has had no usable worker for a while */
  PLANNER_EVACUATED, /* all domains with workers of the service are evacuated
                      */
};

/* Retry-After of a refused JOB in ms.  Callers return after the present queue
   has been served, spread so that they don't return together.  */
int planner_retry_after_ms (uint64_t job);
const char *planner_refusal_reason_name (enum planner_refusal_reason reason);

/* Why a job is refused, and the figures behind it, for the log.  */
struct planner_refusal
{
  enum planner_refusal_reason reason;
  int retry_after_ms;
  unsigned waiting;   /* jobs in the queue */
  int64_t usable_cpu; /* of the service's workers, thousandths of a core */
  int64_t ahead_us;   /* until the work queued before the job has started */
  int64_t slack_us;   /* until the job's latest start; may be negative */
};

struct planner_state;

struct planner_ops
{
  /* Task INDEX of the job may start as PLACEMENT says.  */
  void (*grant) (void *ctx, const struct planner_request *request,
                 uint32_t index, const struct planner_placement *placement);
  /* The job will not be served.  */
  void (*refuse) (void *ctx, const struct planner_request *request,
                  const struct planner_refusal *refusal);
  /* The service of a job of which nothing has started has no usable worker
     now.  Returns whether others serve the job, which is removed then.  AGAIN:
     it was asked for this job before.  May be null.  */
  bool (*pass_on) (void *ctx, const struct planner_request *request,
                   bool again);
};

struct planner_state *planner_new (const struct planner_ops *ops, void *ctx);
void planner_free (struct planner_state *planner);
/* Whether the planner looks ahead: it reserves the room that running tasks
   leave for jobs that can't start now (see docs/design/lookahead.md).  Off in
   a new planner.  */
void planner_set_lookahead (struct planner_state *planner, bool on,
                            int64_t now_us);
/* Takes a holder's report, which arrived at NOW_US.  It confirms the grants
   whose tasks it lists as runs.  */
void planner_update_worker (struct planner_state *planner,
                            const struct planner_worker_report *report,
                            int64_t now_us);
/* HOLDER no longer holds WORKER.  Ignored if another holder has reported the
   worker since.  */
void planner_remove_worker (struct planner_state *planner, uint64_t worker,
                            uint64_t holder);
/* Removes all workers of HOLDER.  */
void planner_remove_holder (struct planner_state *planner, uint64_t holder);
/* While PAUSED, nothing is placed on the workers of HOLDER, which may be
   lost.  */
void planner_pause_holder (struct planner_state *planner, uint64_t holder,
                           bool paused);
/* While DOMAIN is EVACUATED, nothing is placed on its workers, and jobs of
   services that have no other workers are refused at once.  */
void planner_set_evacuated (struct planner_state *planner, uint64_t domain,
                            bool evacuated);
/* Adds a job, or replaces its request.  */
void planner_put_request (struct planner_state *planner,
                          const struct planner_request *request);
/* JOB needs no more workers.  Ignored if OWNER is not its owner.  */
void planner_remove_job (struct planner_state *planner, uint64_t job,
                         uint64_t owner);
/* The owner of JOB; 0 if the job doesn't wait for workers.  */
uint64_t planner_find_owner (const struct planner_state *planner,
                             uint64_t job);
/* Removes all jobs of OWNER.  */
void planner_remove_owner (struct planner_state *planner, uint64_t owner);
/* Frees the capacity of an unused grant under the lease TOKEN, 0 if the lease
   is not known; TAG is the task's planner_task_tag.  */
void planner_release_grant (struct planner_state *planner, uint64_t worker,
                            int64_t token, uint64_t tag);
/* Grants and refuses what can be decided at NOW_US.  */
void planner_schedule (struct planner_state *planner, int64_t now_us);
/* The room of the usable workers of a service, in thousandths of a core.  */
struct planner_room
{
  int64_t capacity;
  int64_t free;
  int64_t waiting; /* tasks in the queue */
  bool crowded;    /* jobs were refused as PLANNER_CROWDED lately */
};

struct planner_room planner_measure_room (struct planner_state *planner,
                                          uint64_t service, int64_t now_us);
/* The number of jobs with waiting tasks.  */
unsigned planner_count_jobs (const struct planner_state *planner);
