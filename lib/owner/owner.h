/* The owner of jobs: takes each job that a caller submits to this instance
   from submission to its single answer.  It requests workers from the planner,
   sends each start to the holder of the granted worker (the instance that has
   the worker's lease, see lease.h) and counts the ends of runs.

   Two rules hold throughout.  A task is not started again while an earlier run
   of it may still hold a lease.  A job of which a start was sent is never
   answered as not run.

   Performs no I/O: effects go through struct owner_ops, the time comes from a
   clock.  Used by one thread.  */
#pragma once

#include "lease.h"
#include "planner.h"
#include "plsched.h"

#define OWNER_MAX_TASKS 4096 /* of one job */

/* A job as submitted by a caller: one step of equal tasks.  SERVICE_KEY and
   the labels are hashes of names.  */
struct owner_submission
{
  uint64_t job;
  const char *route;   /* run times are learned by service and route */
  const char *service; /* name */
  uint64_t service_key;
  uint64_t required_label;  /* of the worker; 0: none */
  uint64_t preferred_label; /* of the worker; 0: none */
  uint32_t per_worker;      /* tasks of the job on one worker; 0: no limit */
  struct pl_str spec;       /* passed to the worker unread */
  unsigned n_tasks;
  struct planner_resources size; /* of one task */
  int64_t declared_us;           /* run time of a task; 0: not declared */
  /* The objective is an answer within STRETCH times the run time of a task
     plus TARGET_US.  */
  double stretch;
  int64_t target_us;
  int64_t deadline_us;   /* absolute */
  unsigned priority;     /* 0 comes first */
  unsigned max_attempts; /* runs of a task that may fail */
};

enum owner_task_state
{
  OWNER_TASK_WAITING, /* for a grant from the planner */
  OWNER_TASK_PLACED,  /* start or claim sent to the worker's holder */
  OWNER_TASK_UNKNOWN, /* may still run until MAY_RUN_UNTIL_US */
  OWNER_TASK_ENDED,   /* done */
};

struct owner_task
{
  enum owner_task_state state;
  uint32_t run;      /* number of the latest start */
  uint32_t failures; /* runs that failed */
  uint32_t losses;   /* runs that were lost with their worker or holder */
  uint64_t worker;
  uint64_t holder;
  int64_t token;            /* fencing token of the holder's lease */
  int64_t may_run_until_us; /* set while the state is OWNER_TASK_UNKNOWN */
  int64_t retry_at_us;      /* not requested before then; 0: at once */
};

struct owner_job
{
  uint64_t id;
  char *route;
  char *service;
  uint64_t service_key;
  uint64_t required_label;
  uint64_t preferred_label;
  uint32_t per_worker;
  char *spec;
  size_t spec_len;
  struct planner_resources size;
  double stretch;
  int64_t target_us;
  int64_t arrival_us;
  int64_t deadline_us;
  int64_t run_us;    /* estimated run time of a task */
  int64_t expect_us; /* a task that runs longer may be stuck */
  int64_t declared_us;
  unsigned priority;
  unsigned max_attempts;
  unsigned n_tasks;
  unsigned n_ended;
  unsigned n_possible_runs; /* starts sent that were not refused for certain */
  bool started;             /* there are such: some task may have run */
  bool forwarded; /* another instance owns it for this one; it may have run */
  bool crash_limit_reached; /* by a task, before the job was submitted */
  bool dirty; /* the request that the planner has is out of date */
  struct owner_task *tasks;
  void *user; /* set by the submitter, for the answer */
};

struct owner_answer
{
  enum pl_code code;
  int retry_after_ms; /* 0: none */
};

struct owner_table;

/* Messages to the planner, to holders and to the submitter.  */
struct owner_ops
{
  /* Requests workers for the waiting tasks of a job; replaces the job's former
     request.  */
  void (*ask) (void *ctx, const struct planner_request *request);
  /* Withdraws the request of JOB.  */
  void (*drop) (void *ctx, uint64_t job);
  /* Returns an unused grant under the lease TOKEN; TAG is the task's
     planner_task_tag.  */
  void (*release) (void *ctx, uint64_t worker, int64_t token, uint64_t tag);
  void (*start) (void *ctx, uint64_t holder, uint64_t worker,
                 const struct lease_order *order);
  /* Tells the holder that this instance owns a run on the worker.  */
  void (*claim) (void *ctx, uint64_t holder, uint64_t worker,
                 const struct lease_order *order);
  /* TOKEN is that of the lease that the run is on.  */
  void (*stop) (void *ctx, uint64_t holder, uint64_t worker, int64_t token,
                const struct lease_run_id *id);
  /* The final answer; JOB is freed after the call.  */
  void (*answer) (void *ctx, struct owner_job *job,
                  const struct owner_answer *answer);
  /* JOB is ended without an answer, and is freed after the call.  May be
     null.  */
  void (*abandon) (void *ctx, struct owner_job *job);
};

struct owner_table *owner_table_new (struct pl_clock *clock,
                                     const struct owner_ops *ops, void *ctx);
void owner_table_free (struct owner_table *table);
struct owner_job *owner_find_job (struct owner_table *table, uint64_t job);
unsigned owner_count_jobs (const struct owner_table *table);
/* The number of jobs of ROUTE of which no task has started.  */
unsigned owner_count_unstarted (const struct owner_table *table,
                                const char *route);
/* Adds a job.  USER is for the submitter, as owner_job.user.  */
struct owner_job *owner_submit_job (struct owner_table *table,
                                    const struct owner_submission *submission,
                                    void *user);
/* The process ends at END_US: no job is due later, neither those of now nor
   those that are submitted later.  Each has its answer by then.  */
void owner_limit_deadlines (struct owner_table *table, int64_t end_us);
/* Ends JOB early: stops its runs and, if ANSWER, answers with CODE.  Frees
   JOB.  */
void owner_abort_job (struct owner_table *table, struct owner_job *job,
                      enum pl_code code, bool answer);
/* A worker and the lease under which it is held.  */
struct owner_placement
{
  uint64_t worker;
  uint64_t holder;
  int64_t token; /* fencing token of the holder's lease */
};

/* Messages from the planner: a grant, by which task INDEX of JOB may start as
   PLACEMENT says, and the refusal of JOB.  */
void owner_on_grant (struct owner_table *table, uint64_t job, uint32_t index,
                     const struct owner_placement *placement);
void owner_on_refusal (struct owner_table *table, uint64_t job,
                       int retry_after_ms);
/* A task of JOB may have run, by a start that this instance did not send: JOB
   is not answered as not run.  */
void owner_set_started (struct owner_job *job);
/* Whether JOB may be forwarded: it has not started, and its request was not
   changed since it was refused.  */
bool owner_may_forward (const struct owner_table *table,
                        const struct owner_job *job);
/* Another instance serves JOB from now on, under its own ownership: nothing is
   requested or started here, and the job counts as started.  */
void owner_set_forwarded (struct owner_job *job);
/* The end of a forwarded job, as its owner has told it.  */
void owner_on_forwarded_end (struct owner_table *table, struct owner_job *job,
                             const struct owner_answer *answer);
/* A message from a holder: the run has ended.  */
struct owner_run_end
{
  uint64_t worker;
  uint64_t holder;
  struct lease_run_id id;
  enum lease_end end;
  enum lease_blame blame;
  int64_t took_us; /* run time; 0: not known */
  int64_t token;   /* of the lease that END is about; 0: not known */
};

/* END may be of a run of a job of another instance.  */
void owner_on_run_end (struct owner_table *table,
                       const struct owner_run_end *end);
/* What an instance knows of a task that has crashed workers.  */
struct owner_crash
{
  uint64_t task; /* planner_task_tag */
  uint32_t count;
  uint64_t worker; /* of the latest crash */
  uint32_t run;
  int64_t age_us; /* since the latest crash */
};

/* Returns the recent crashes, struct owner_crash, for an instance that may not
   know them.  The caller frees the array.  */
GArray *owner_list_crashes (const struct owner_table *table);
/* Takes over what another instance knows.  */
void owner_add_crash (struct owner_table *table,
                      const struct owner_crash *crash);
/* HOLDER can't be reached; its last message arrived at HEARD_US.  The runs on
   its workers may go on until their leases expire.  */
void owner_on_holder_lost (struct owner_table *table, uint64_t holder,
                           int64_t heard_us);
/* HOLDER is heard again and may not have noticed that it was out of reach:
   claims the runs there whose state is unknown.  */
void owner_on_holder_recovered (struct owner_table *table, uint64_t holder);
/* Messages to or from HOLDER may have been lost: claims all runs there.  The
   holder answers for those that it doesn't have.  */
void owner_claim_runs (struct owner_table *table, uint64_t holder);
/* A new holder has taken a worker, as PLACEMENT says, and found RUNS there. Of
   the tasks that were placed on the worker under an earlier lease, those in
   RUNS are claimed; the others run no longer and are queued again.  */
void owner_on_worker_taken (struct owner_table *table,
                            const struct owner_placement *placement,
                            const struct lease_run_id *runs, unsigned n_runs);
/* The planner has changed: the next flush requests workers for all waiting
   tasks.  */
void owner_resend_requests (struct owner_table *table);
/* Withdraws the requests of all jobs.  */
void owner_withdraw_requests (struct owner_table *table);
/* Sends the requests of jobs that have changed.  Call after each batch of
   events.  */
void owner_flush_requests (struct owner_table *table);
/* Checks deadlines, expired runs and retries.  Call every LEASE_TICK_US.  */
void owner_tick (struct owner_table *table);
