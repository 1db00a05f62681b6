/* Jobs of this instance's callers on workers under leases: from submission to
   the one answer.  The owner asks the planner for room, orders the starts at
   the workers' holders and counts the ends.  Pure logic with explicit time;
   one owning thread.  */
#pragma once

#include "lease.h"
#include "planner.h"
#include "plsched.h"

/* What a caller submits: one step of equal tasks.  */
struct owner_submission
{
  uint64_t job;
  const char *route;   /* name, groups run times */
  const char *service; /* name */
  uint64_t service_key;
  uint64_t required_label;
  uint64_t preferred_label;
  uint32_t per_worker;
  struct pl_str spec;
  unsigned n_tasks;
  struct planner_resources size;
  int64_t declared_us; /* run time of a task; 0: not declared */
  double stretch;      /* objective: run time times this ... */
  int64_t target_us;   /* ... and this more */
  int64_t deadline_us; /* absolute */
  unsigned priority;
  unsigned max_attempts;
};

enum owner_task_state
{
  OWNER_TASK_WAITING, /* at the planner */
  OWNER_TASK_PLACED,  /* ordered at a holder */
  OWNER_TASK_UNKNOWN, /* its holder is lost; may still run until UNTIL_US */
  OWNER_TASK_ENDED,
};

struct owner_task
{
  enum owner_task_state state;
  uint32_t run;    /* number of the latest start */
  uint32_t failed; /* runs that failed */
  uint64_t worker;
  uint64_t holder;
  int64_t token;    /* with which the holder holds the worker */
  int64_t until_us; /* while it is unsure */
  int64_t retry_us; /* not asked for before; 0: at once */
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
  int64_t run_us;    /* estimate */
  int64_t expect_us; /* run time above which a task may stand still */
  int64_t declared_us;
  unsigned priority;
  unsigned max_attempts;
  unsigned n_tasks;
  unsigned n_ended;
  bool started; /* some start may have reached a worker */
  bool dirty;   /* the planner doesn't know its waiting tasks */
  struct owner_task *tasks;
  void *user; /* of the caller, for the answer */
};

struct owner_answer
{
  enum pl_code code;
  int retry_after_ms; /* 0: none */
};

struct owner_table;

struct owner_ops
{
  /* Tells the planner what JOB waits for.  */
  void (*ask) (void *ctx, const struct planner_request *want);
  void (*drop) (void *ctx, uint64_t job);
  void (*release) (void *ctx, uint64_t worker, uint64_t tag);
  void (*start) (void *ctx, uint64_t holder, uint64_t worker,
                 const struct lease_order *order);
  void (*claim) (void *ctx, uint64_t holder, uint64_t worker,
                 const struct lease_order *order);
  void (*stop) (void *ctx, uint64_t holder, uint64_t worker,
                const struct lease_run_id *id);
  /* The final answer; JOB is freed after the call.  */
  void (*answer) (void *ctx, struct owner_job *job,
                  const struct owner_answer *answer);
};

struct owner_table *owner_table_new (struct pl_clock *clock,
                                     const struct owner_ops *ops, void *ctx);
void owner_table_free (struct owner_table *table);
struct owner_job *owner_find_job (struct owner_table *table, uint64_t job);
unsigned owner_count_jobs (const struct owner_table *table);
/* Jobs of ROUTE of which no task has started.  */
unsigned owner_count_unstarted (const struct owner_table *table,
                                const char *route);
struct owner_job *owner_submit_job (struct owner_table *table,
                                    const struct owner_submission *order,
                                    void *user);
/* Gives a job up: stops what runs and, if ANSWER, answers with CODE.  */
void owner_abort_job (struct owner_table *table, struct owner_job *job,
                      enum pl_code code, bool answer);
/* Where a task is or may be started.  */
struct owner_placement
{
  uint64_t worker;
  uint64_t holder;
  int64_t token; /* of the holder's lease */
};

void owner_on_grant (struct owner_table *table, uint64_t job, uint32_t index,
                     const struct owner_placement *place);
void owner_on_refusal (struct owner_table *table, uint64_t job,
                       int retry_after_ms);
void owner_on_run_end (struct owner_table *table, uint64_t worker,
                       uint64_t holder, const struct lease_run_id *id,
                       enum lease_end end, int64_t took_us);
/* HOLDER can't be reached and was heard last at HEARD_US; what it started may
   run for a while.  */
void owner_on_holder_lost (struct owner_table *table, uint64_t holder,
                           int64_t heard_us);
/* HOLDER is heard again and may never have noticed: it is asked for the runs
   that it was left with.  */
void owner_on_holder_recovered (struct owner_table *table, uint64_t holder);
/* The worker has a new holder, which lists RUNS there; nothing else of ours
   runs there, unless it was started under a later lease.  */
void owner_on_worker_taken (struct owner_table *table,
                            const struct owner_placement *place,
                            const struct lease_run_id *runs, unsigned n_runs);
/* The planner has changed: all waiting tasks are asked for again.  */
void owner_resend_requests (struct owner_table *table);
/* Takes all jobs back from the planner.  */
void owner_withdraw_requests (struct owner_table *table);
/* Sends the requests of jobs that have changed; call at the end of a turn. */
void owner_flush_requests (struct owner_table *table);
/* Deadlines and lapsed runs.  Call every LEASE_TICK_US.  */
void owner_tick (struct owner_table *table);
