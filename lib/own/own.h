/* Jobs of this instance's callers on workers under leases: from submission to
   the one answer.  The owner asks the planner for room, orders the starts at
   the workers' holders and counts the ends.  Pure logic with explicit time;
   one owning thread.  */
#pragma once

#include "lease.h"
#include "pack.h"
#include "plsched.h"

/* What a caller submits: one step of equal tasks.  */
struct own_order
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
  struct pack_amount size;
  int64_t declared_us; /* run time of a task; 0: not declared */
  double stretch;      /* objective: run time times this ... */
  int64_t target_us;   /* ... and this more */
  int64_t deadline_us; /* absolute */
  unsigned priority;
  unsigned max_attempts;
};

enum own_task_state
{
  OWN_WAITING, /* at the planner */
  OWN_PLACED,  /* ordered at a holder */
  OWN_UNSURE,  /* its holder is lost; may still run until UNTIL_US */
  OWN_ENDED,
};

struct own_task
{
  enum own_task_state state;
  uint32_t run;    /* number of the latest start */
  uint32_t failed; /* runs that failed */
  uint64_t worker;
  uint64_t holder;
  int64_t token;    /* with which the holder holds the worker */
  int64_t until_us; /* while it is unsure */
  int64_t retry_us; /* not asked for before; 0: at once */
};

struct own_job
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
  struct pack_amount size;
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
  struct own_task *tasks;
  void *user; /* of the caller, for the answer */
};

struct own_answer
{
  enum pl_code code;
  int retry_after_ms; /* 0: none */
};

struct own_table;

struct own_ops
{
  /* Tells the planner what JOB waits for.  */
  void (*ask) (void *ctx, const struct pack_want *want);
  void (*drop) (void *ctx, uint64_t job);
  void (*release) (void *ctx, uint64_t worker, uint64_t tag);
  void (*start) (void *ctx, uint64_t holder, uint64_t worker,
                 const struct lease_order *order);
  void (*claim) (void *ctx, uint64_t holder, uint64_t worker,
                 const struct lease_order *order);
  void (*stop) (void *ctx, uint64_t holder, uint64_t worker,
                const struct lease_run_id *id);
  /* The final answer; JOB is freed after the call.  */
  void (*answer) (void *ctx, struct own_job *job,
                  const struct own_answer *answer);
};

struct own_table *own_table_new (struct pl_clock *clock,
                                 const struct own_ops *ops, void *ctx);
void own_table_free (struct own_table *table);
struct own_job *own_find (struct own_table *table, uint64_t job);
unsigned own_count (const struct own_table *table);
/* Jobs of ROUTE of which no task has started.  */
unsigned own_waiting (const struct own_table *table, const char *route);
struct own_job *own_submit (struct own_table *table,
                            const struct own_order *order, void *user);
/* Gives a job up: stops what runs and, if ANSWER, answers with CODE.  */
void own_give_up (struct own_table *table, struct own_job *job,
                  enum pl_code code, bool answer);
/* Where a task is or may be started.  */
struct own_place
{
  uint64_t worker;
  uint64_t holder;
  int64_t token; /* of the holder's lease */
};

void own_granted (struct own_table *table, uint64_t job, uint32_t index,
                  const struct own_place *place);
void own_refused (struct own_table *table, uint64_t job, int retry_after_ms);
void own_ended (struct own_table *table, uint64_t worker, uint64_t holder,
                const struct lease_run_id *id, enum lease_end end,
                int64_t took_us);
/* HOLDER can't be reached and was heard last at HEARD_US; what it started may
   run for a while.  */
void own_holder_lost (struct own_table *table, uint64_t holder,
                      int64_t heard_us);
/* HOLDER is heard again and may never have noticed: it is asked for the runs
   that it was left with.  */
void own_holder_back (struct own_table *table, uint64_t holder);
/* The worker has a new holder, which lists RUNS there; nothing else of ours
   runs there, unless it was started under a later lease.  */
void own_worker_taken (struct own_table *table, const struct own_place *place,
                       const struct lease_run_id *runs, unsigned n_runs);
/* The planner has changed: all waiting tasks are asked for again.  */
void own_ask_again (struct own_table *table);
/* Takes all jobs back from the planner.  */
void own_withdraw (struct own_table *table);
/* Sends the requests of jobs that have changed; call at the end of a turn. */
void own_flush (struct own_table *table);
/* Deadlines and lapsed runs.  Call every LEASE_TICK_US.  */
void own_tick (struct own_table *table);
