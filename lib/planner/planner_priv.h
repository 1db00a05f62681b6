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
  int64_t run_us; /* expected run time on the worker */
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
  GArray *runs;             /* struct planner_run, as far as reported */
  GSequenceIter *in_index;  /* null: not in the index of its service */
  int32_t free_cpu;         /* its key in the index */
  bool reserved;            /* in this pass */
  int64_t reserved_us;      /* when the reserved task is to start */
  struct planner_resources reserved_used; /* from then on, it included */
};

/* A job in the queue.  */
struct job
{
  struct planner_request request; /* its array of tasks is WAITING below */
  GArray *waiting;                /* indexes of tasks (uint32_t) */
  GArray *placed;      /* tasks on workers (struct planner_placed) */
  uint64_t seq;        /* order of the first requests */
  int64_t promised_us; /* first reserved start of a task; 0: none */
  bool is_reserved;    /* room is held for it in this pass */
  bool offered;        /* to others, by the op pass_on */
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
  /* Whether tasks that have to wait reserve room.  */
  bool looks_ahead;
};

extern const struct planner_policy planner_policy_default;
extern const struct planner_policy planner_policy_lookahead;
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
  GSequence *by_free;         /* struct worker_entry by free CPU */
  /* Smoothed size of the tasks that start while the planner looks ahead,
     thousandths of a core; 0: none has yet.  */
  int64_t mean_cpu;
};

/* When a grant times out.  */
struct grant_timeout
{
  uint64_t worker;
  int64_t at_us;
};

/* A task of which holders report runs.  */
struct running
{
  uint64_t tag;
  unsigned n_reports;  /* that list it */
  int64_t reported_us; /* when the latest of these arrived */
};

/* A size of a task that fits on no worker of the service now.  */
struct full_size
{
  uint64_t service;
  struct planner_resources size;
};

/* A job that was refused, to see whether it could have run.  */
struct refused
{
  uint64_t service;
  struct planner_resources size;
  unsigned n_tasks;
  int64_t latest_us; /* its latest start */
  enum planner_refusal_reason reason;
};

#define PLANNER_MAX_REFUSED 64

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
  GHashTable *running;   /* planner_task_tag -> struct running */
  GHashTable *services;  /* service -> struct service */
  GArray
      *full; /* struct full_size, found in the present pass over the queue */
  uint64_t next_seq;
  GQueue timeouts;     /* struct grant_timeout, oldest first */
  GPtrArray *reserved; /* struct worker_entry reserved in this pass */
  bool room_given_up;  /* a job was refused for which room was held */
  int reserve_looks;   /* at workers in this pass, for reservations */
  struct refused refused[PLANNER_MAX_REFUSED]; /* the latest ones */
  unsigned n_refused;
  unsigned next_refused; /* to be looked at */
  unsigned next_written; /* in place of which one, once all are in use */
};

/* Whether a report lists a run of task INDEX of JOB.  The owner doesn't know
   it if the job was sent again meanwhile; the task must not start beside it.
 */
bool planner_is_running (const struct planner_state *planner,
                         const struct job *job, uint32_t index,
                         int64_t now_us);
/* The same for any waiting task of JOB.  */
bool planner_has_running_task (const struct planner_state *planner,
                               const struct job *job, int64_t now_us);

struct planner_state *
planner_new_with_policy (const struct planner_policy *policy,
                         const struct planner_ops *ops, void *ctx);

/* Holders report each second; an older report comes from a holder that now
   reports to another planner.  */
#define PLANNER_REPORT_STALE_US 2500000
/* A grant that no report has listed after this time is dropped.  */
#define PLANNER_GRANT_TIMEOUT_US 250000
void planner_expire_grants (struct worker_entry *w, int64_t now_us);

/* The workers of a service by free CPU (index.c); only kept while the planner
   looks ahead.  Call planner_index_worker after each change of W.  */
void planner_index_worker (struct planner_state *planner,
                           struct worker_entry *w);
void planner_unindex_worker (struct worker_entry *w);
/* Call after a change of which workers are usable, or of the policy.  */
void planner_index_all (struct planner_state *planner);
/* Has the index reflect the grants that have timed out.  */
void planner_index_expire (struct planner_state *planner, int64_t now_us);
/* The first worker with at least CPU free; the end if there is none.  */
GSequenceIter *planner_index_find (const struct service *service, int32_t cpu);

/* When capacity comes free (timeline.c).  */
int64_t planner_run_end_us (const struct planner_run *run, int64_t now_us);
/* The earliest time at which NEED is expected to fit on W, and in USED what is
   taken there from then on without it.  INT64_MAX: not known.  */
int64_t planner_earliest_start_us (const struct worker_entry *w,
                                   struct planner_resources need,
                                   int64_t now_us,
                                   struct planner_resources *used);

/* Review of refusals (review.c).  Notes that JOB is refused.  */
void planner_note_refused (struct planner_state *planner,
                           const struct job *job,
                           enum planner_refusal_reason reason);
/* Counts the jobs for which there is room now that they were refused.  */
void planner_review_refused (struct planner_state *planner, int64_t now_us);

/* Reservations of one pass over the queue (reserve.c).  */
/* Call first in each pass.  */
void planner_begin_pass (struct planner_state *planner, int64_t now_us);
void planner_clear_reservations (struct planner_state *planner);
/* Reserves room for the waiting tasks of JOB if they are large against
   the mean of those that start: for all of them, unless the job has started in
   part.  */
void planner_reserve_for (struct planner_state *planner, struct job *job,
                          int64_t now_us);
/* Whether a task of JOB that starts on W now delays no reserved start.  */
bool planner_leaves_reservation (const struct worker_entry *w,
                                 const struct job *job, int64_t now_us);
/* A task of JOB starts on W: counts it for the mean size, and beside what is
   reserved there.  */
void planner_record_start (struct planner_state *planner,
                           struct worker_entry *w, const struct job *job,
                           int64_t now_us);
/* A task of JOB starts, or the job is refused: counts whether the promised
   start has been kept.  */
void planner_end_promise (struct job *job, int64_t now_us);
/* The expected run time of a task of JOB on W.  */
int64_t planner_run_us_on (const struct worker_entry *w,
                           const struct job *job);
/* Whether W may take task INDEX of JOB, apart from free capacity.  */
bool planner_is_eligible (const struct planner_state *planner,
                          const struct worker_entry *w, const struct job *job,
                          uint32_t index, int64_t now_us);
/* Choice with the index and beside the reservations.  */
struct worker_entry *planner_choose_ahead (struct planner_state *planner,
                                           const struct job *job,
                                           uint32_t index, int64_t now_us);

/* The state of the service KEY, added if it is not known.  */
struct service *planner_find_service (struct planner_state *planner,
                                      uint64_t key);

/* The queue (queue.c).  */
void planner_job_free (void *data);
void planner_drop_job (struct planner_state *planner, struct job *job);
/* Notes that task INDEX is on WORKER.  */
void planner_record_placed (struct job *job, uint32_t index, uint64_t worker);
/* Returns the jobs with waiting tasks, in order.  A copy, because refusals
   remove jobs from the planner's list.  */
GPtrArray *planner_list_waiting_jobs (const struct planner_state *planner);
void planner_remove_placed_jobs (struct planner_state *planner);

/* Refuses jobs that can't end in time, jobs of services that lack workers,
   also the rest of started ones if all workers are in evacuated domains, and,
   if the policy sheds load, jobs that would start too late because of the work
   queued before them.  The planner's jobs must be in order (admission.c).  */
void planner_refuse_jobs (struct planner_state *planner, int64_t now_us);

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
