/* Workers that run tasks under leases: one holder at a time gives a worker
   all orders, renews the lease of what runs there and reads its ends.  The
   worker itself arbitrates between holders: it obeys the highest fencing token
   that it has seen.

   Pure state machine with explicit time; the calls to the worker go through a
   vtable and their results are fed back.  One owning thread.  */
#pragma once

#include "planner.h"
#include "pl.h"

#define LEASE_MAX_MS 1000 /* longest lease that is asked for */

/* Identifies one start of one task.  */
struct lease_run_id
{
  uint64_t job;
  uint32_t index;
  uint32_t run;
};

static inline bool
lease_same_task (const struct lease_run_id *a, const struct lease_run_id *b)
{
  return a->job == b->job && a->index == b->index;
}

static inline bool
lease_same_run (const struct lease_run_id *a, const struct lease_run_id *b)
{
  return lease_same_task (a, b) && a->run == b->run;
}

/* How a run ended for its owner.  */
enum lease_end
{
  LEASE_END_DONE = 1,
  LEASE_END_FAILED,   /* ran and failed */
  LEASE_END_STOPPED,  /* ran in part; certainly not running any more */
  LEASE_END_REJECTED, /* certainly never started */
  LEASE_END_OLD_RUN,  /* rejected: a higher run number is needed */
  LEASE_END_UNKNOWN,  /* may still run until its lease lapses */
};

const char *lease_end_name (enum lease_end end);

enum lease_run_state
{
  LEASE_RUN_STARTING,
  LEASE_RUN_RUNNING,
  LEASE_RUN_STOPPING, /* ordered to stop, or its start got no answer */
};

struct lease_run
{
  struct lease_run_id id;
  uint64_t owner; /* 0: found on the worker, not claimed yet */
  struct planner_resources size;
  enum lease_run_state state;
  char *spec;
  int64_t sent_us;    /* of the start */
  int64_t started_us; /* first known to run; 0: not known */
  int64_t expect_us;  /* expected run time */
  int64_t stop_us;    /* of the latest stop order; 0: none outstanding */
  int64_t settled_us; /* the stop was acknowledged; 0: not yet */
};

struct lease_worker_info
{
  uint64_t worker; /* key: hash of ID */
  const char *id;
  struct pl_addr addr;
  uint64_t service;
  uint64_t domain;
  uint64_t labels[PLANNER_MAX_LABELS];
  struct planner_resources capacity;
  int64_t incarnation_ms; /* incarnation */
  bool draining;
};

enum lease_worker_state
{
  LEASE_WORKER_TAKING, /* the first look is outstanding */
  LEASE_WORKER_HELD,   /* a recent look was answered */
  LEASE_WORKER_SILENT, /* looks get no answer */
};

/* Health from outcomes.  */
struct lease_health
{
  unsigned strikes;   /* failures in a row */
  int64_t ejected_us; /* until then no starts; 0: none */
  unsigned ejections; /* in a row */
  uint32_t slowness;  /* run time against the estimate, percent */
  int64_t done_us;    /* when a run was done last */
};

struct lease_worker
{
  struct lease_worker_info info;
  char *id;
  enum lease_worker_state state;
  int64_t token;
  int64_t clock_offset_ms; /* the worker's clock less ours */
  int64_t last_end;        /* number of the last end that was read */
  bool look_renews;        /* the latest look carries a lease */
  int64_t look_us;         /* when it was sent */
  int64_t renewed_us;      /* when the latest order with a lease was sent */
  int64_t answered_us;
  int64_t retry_us;   /* next look after a failure; 0: none */
  int64_t trouble_us; /* when the latest look got no answer; 0: never */
  struct lease_health health;
  GPtrArray *runs; /* struct lease_run */
  void *user;      /* of the caller */
};

/* Entries of the lists that a look returns.  */
struct lease_running
{
  struct lease_run_id id;
};

enum lease_outcome
{
  LEASE_OUTCOME_DONE,
  LEASE_OUTCOME_FAILED,
  LEASE_OUTCOME_STOPPED,
  LEASE_OUTCOME_EXPIRED,
};

struct lease_end_record
{
  int64_t number;
  struct lease_run_id id;
  enum lease_outcome outcome;
};

enum lease_reply
{
  LEASE_REPLY_OK,
  LEASE_REPLY_FENCED,    /* another holder has used a higher token */
  LEASE_REPLY_OLD_RUN,   /* run number not above one that ended there */
  LEASE_REPLY_EXPIRED,   /* the order's lease had passed on arrival */
  LEASE_REPLY_REFUSED,   /* the worker did nothing */
  LEASE_REPLY_RESTARTED, /* another incarnation answers there */
  LEASE_REPLY_NOT_SENT,  /* no connection: nothing was sent */
  LEASE_REPLY_NO_ANSWER, /* no answer: it may be carried out later */
};

struct lease_poll_result
{
  enum lease_reply reply;
  int64_t clock_ms;
  int64_t incarnation_ms; /* 0: not said */
  const struct lease_running *running;
  unsigned n_running;
  const struct lease_end_record *ended;
  unsigned n_ended;
};

struct lease_table;

struct lease_ops
{
  /* Calls to the worker; a result is fed back later for each.  DEADLINE_MS
     is on the worker's clock, 0: none.  */
  void (*poll) (void *ctx, struct lease_worker *w, int64_t deadline_ms,
                int wait_ms);
  void (*start) (void *ctx, struct lease_worker *w,
                 const struct lease_run *run, int64_t deadline_ms);
  void (*stop) (void *ctx, struct lease_worker *w,
                const struct lease_run_id *id);
  /* Run ID of OWNER (0: unknown) has ended.  */
  void (*ended) (void *ctx, struct lease_worker *w, uint64_t owner,
                 const struct lease_run_id *id, enum lease_end end,
                 int64_t took_us);
  /* The worker is held now; its runs are listed, without owners.  */
  void (*taken) (void *ctx, struct lease_worker *w);
  /* The worker is no longer ours; W is freed after the call.  */
  void (*lost) (void *ctx, struct lease_worker *w, enum lease_reply why);
  /* Room or usability has changed.  */
  void (*changed) (void *ctx, struct lease_worker *w);
};

struct lease_table *lease_table_new (const struct lease_ops *ops, void *ctx);
void lease_table_free (struct lease_table *table);

/* The lowest token: workers with a holder refuse it, which shows that they can
   be reached; nothing is started with it.  */
#define LEASE_PROBE_TOKEN 0

/* Starts to hold a worker; TOKEN must be above every token used there. */
struct lease_worker *lease_take (struct lease_table *table,
                                 const struct lease_worker_info *info,
                                 int64_t token, int64_t now_us);
/* Takes over what the registry says of a held worker.  */
void lease_update (struct lease_table *table, struct lease_worker *w,
                   const struct lease_worker_info *info);
/* Gives the worker up for a successor; its runs go on.  */
void lease_yield (struct lease_table *table, struct lease_worker *w);
/* Another holder has used a higher token.  */
void lease_worker_fenced (struct lease_table *table, struct lease_worker *w,
                          int64_t now_us);
/* The worker has left for good: nothing runs there any more.  */
void lease_worker_ended (struct lease_table *table, struct lease_worker *w);
struct lease_worker *lease_find (struct lease_table *table, uint64_t worker);
GHashTable *lease_workers (struct lease_table *table);

struct lease_order
{
  struct lease_run_id id;
  uint64_t owner;
  struct planner_resources size;
  struct pl_str spec;
  int64_t expect_us;
  int64_t token; /* of the lease that is meant; another one is refused */
};

/* Orders a start; false if the worker has no room or takes no starts.  */
bool lease_start (struct lease_table *table, struct lease_worker *w,
                  const struct lease_order *order, int64_t now_us);
/* Names the owner of a run that was found on the worker.  */
bool lease_claim (struct lease_table *table, struct lease_worker *w,
                  const struct lease_order *order);
bool lease_has_run (const struct lease_worker *w,
                    const struct lease_run_id *id);
void lease_stop (struct lease_table *table, struct lease_worker *w,
                 const struct lease_run_id *id, int64_t now_us);
/* Stops whatever OWNER has running; OWNER may not come back.  */
void lease_stop_runs_of (struct lease_table *table, uint64_t owner,
                         int64_t now_us);

/* Results of calls.  WORKER may be unknown by now.  TOKEN is the one that the
   call carried.  */
void lease_poll_done (struct lease_table *table, uint64_t worker,
                      int64_t token, const struct lease_poll_result *result,
                      int64_t now_us);
void lease_start_done (struct lease_table *table, uint64_t worker,
                       int64_t token, const struct lease_run_id *id,
                       enum lease_reply reply, int64_t now_us);
void lease_stop_done (struct lease_table *table, uint64_t worker,
                      int64_t token, const struct lease_run_id *id,
                      enum lease_reply reply, int64_t now_us);

/* Timeouts: resent stops, unclaimed runs, stragglers, looks after failures,
   ends of ejections.  Call every LEASE_TICK_US.  */
#define LEASE_TICK_US 20000
void lease_tick (struct lease_table *table, int64_t now_us);

/* Room as reported to the planner.  */
void lease_fill_room (const struct lease_worker *w, uint64_t holder,
                      int64_t now_us, struct planner_worker_report *out);
