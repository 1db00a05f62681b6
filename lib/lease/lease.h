/* The holder's side of workers that run tasks under leases.  A worker has one
   holder at a time, which orders its starts and stops, renews the lease of
   what runs there, and reads how runs ended.  The worker stops runs whose
   lease expires.  It arbitrates between holders itself: it obeys the highest
   fencing token that it has seen and refuses orders with a lower one.

   The holder polls each worker without a pause while it answers.  A poll
   renews the lease, acknowledges ends, and returns what runs and what has
   ended since.  The lease is not renewed while the owner of some run there may
   take this holder for lost.  A run is reported as ended when it certainly
   does not run any more; where that can't be known, as LEASE_END_UNKNOWN.

   The worker's process may be replaced at any time by one that knows no token
   and counts its clock anew.  It may carry out orders that its predecessor has
   not answered, whatever time has passed, until it has seen a higher token.
   The holder raises its token when it finds another process.

   A state machine without input, output or clock: calls to workers go through
   a vtable, and their results and the time are passed in.  All calls must come
   from one thread.  */
#pragma once

#include "planner.h"
#include "pl.h"

#define LEASE_MAX_MS 1000 /* longest lease that is asked for */
/* Time after which a lease that is not renewed has certainly expired: the
   worker's clock may be 2% slow, and its answers take time to arrive.  */
#define LEASE_EXPIRY_US (LEASE_MAX_MS * 1000 * 102 / 100 + 30000)
/* An owner starts a task again when LEASE_EXPIRY_US have passed since this
   long after it last heard the holder.  A holder therefore renews the lease of
   a run only if its owner has heard it within this time.  */
#define LEASE_OWNER_LOST_US 700000

/* Identifies one start of one task; RUN is higher for each further start.  */
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

/* How a run has ended, as reported to its owner.  */
enum lease_end
{
  LEASE_END_DONE = 1,
  LEASE_END_FAILED,   /* ran and failed */
  LEASE_END_STOPPED,  /* may have run in part; certainly does not run now */
  LEASE_END_REJECTED, /* certainly never started */
  LEASE_END_OLD_RUN,  /* rejected: a higher run number is needed */
  LEASE_END_UNKNOWN,  /* may still run until its lease expires */
};

const char *lease_end_name (enum lease_end end);

/* How it is known that a run has ended.  */
enum lease_cause
{
  LEASE_CAUSE_ANSWER, /* the worker has listed the end or refused the start */
  LEASE_CAUSE_UNLISTED,  /* the worker does not list the run any more */
  LEASE_CAUSE_EXPIRED,   /* the worker was silent until the lease expired */
  LEASE_CAUSE_RESTARTED, /* another incarnation of the worker answers */
  LEASE_CAUSE_REMOVED,   /* the registry shows that the worker has ended */
  LEASE_CAUSE_FENCED,    /* not known: another holder has the worker */
};

const char *lease_cause_name (enum lease_cause cause);

/* Whether a run may have caused the end of its worker's process.  */
enum lease_blame
{
  LEASE_BLAME_NONE,     /* the worker goes on, or was leaving */
  LEASE_BLAME_POSSIBLE, /* the worker was lost while the run was there */
  LEASE_BLAME_LIKELY,   /* the worker ended after this start, the latest one */
};

const char *lease_blame_name (enum lease_blame blame);

/* The end of a run.  */
struct lease_run_end
{
  struct lease_run_id id;
  uint64_t owner; /* 0: not known */
  enum lease_end end;
  enum lease_cause cause;
  enum lease_blame blame;
  int64_t took_us;   /* run time; 0: not known */
  int64_t age_us;    /* since its start was sent or it was found; 0: unknown */
  int64_t token;     /* of the lease that END is about; 0: not known */
  bool acknowledged; /* the worker has shown that the run had started */
};

enum lease_run_state
{
  LEASE_RUN_STARTING,
  LEASE_RUN_RUNNING,
  LEASE_RUN_STOPPING, /* ordered to stop, or its start got no answer */
};

struct lease_run
{
  struct lease_run_id id;
  uint64_t owner;       /* 0: found on the worker, not claimed yet */
  int64_t token;        /* of the lease that its owner knows it to be under */
  int64_t unclaimed_us; /* since when its owner has to claim it; 0: has not */
  struct planner_resources size;
  enum lease_run_state state;
  /* The process of the worker that answers has listed the run, which
     therefore ends with that process.  */
  bool listed;
  enum lease_blame blame; /* set when the worker is lost or restarts */
  char *spec;
  int64_t added_us;      /* when its start was sent, or it was found */
  int64_t started_us;    /* when first known to run; 0: not known */
  int64_t expect_us;     /* expected run time */
  int64_t stop_sent_us;  /* when a stop was ordered last; 0: never */
  int64_t stop_acked_us; /* when a stop was acknowledged; 0: not yet */
};

/* What the registry says of a worker.  */
struct lease_worker_info
{
  uint64_t worker; /* hash of ID, its key in tables and messages */
  const char *id;
  struct pl_addr addr;
  uint64_t service;
  uint64_t domain;
  uint64_t labels[PLANNER_MAX_LABELS];
  struct planner_resources capacity;
  int64_t incarnation_ms; /* when its process started; 0: not known */
  bool draining;
  int64_t revision; /* of the registry when this was written; 0: not known */
  /* How much longer it stays slow after its start, as its entry says; 0: it is
     not cold, or not known.  */
  int64_t warmup_left_ms;
  /* The same as a time on the clock of this process, which lib/cell sets when
     it reads the entry; 0: not cold.  */
  int64_t cold_until_us;
};

enum lease_worker_state
{
  LEASE_WORKER_TAKING, /* no poll has been answered yet */
  LEASE_WORKER_HELD,   /* a recent poll was answered */
  LEASE_WORKER_SILENT, /* polls get no answer */
};

/* Result of a call to a worker.  */
enum lease_reply
{
  LEASE_REPLY_OK,
  LEASE_REPLY_FENCED,       /* another holder has used a higher token */
  LEASE_REPLY_OLD_RUN,      /* run number not above one that has ended there */
  LEASE_REPLY_EXPIRED,      /* the lease in the order had expired on arrival */
  LEASE_REPLY_REFUSED,      /* the worker did nothing, for another reason */
  LEASE_REPLY_RESTARTED,    /* another incarnation answers there */
  LEASE_REPLY_NOT_SENT,     /* no connection: nothing was sent */
  LEASE_REPLY_CONN_REFUSED, /* the connection was refused: nothing was sent */
  LEASE_REPLY_NO_ANSWER,    /* no answer: it may be carried out later */
};

const char *lease_reply_name (enum lease_reply reply);

/* Health of a worker, from the outcomes of its runs.  */
struct lease_health
{
  unsigned failures;        /* failures in a row */
  int64_t ejected_until_us; /* no starts until then; 0: not ejected */
  unsigned ejections;       /* in a row */
  uint32_t slowness;        /* run time in percent of the estimate, smoothed */
  int64_t last_success_us;  /* when a run was done last */
};

/* Slow start of a cold worker (ramp.c).  */
struct lease_ramp
{
  bool active;           /* the worker takes a part of its capacity */
  bool last_slow;        /* the run measured last was */
  int64_t cold_until_us; /* as known last; 0: the worker was never cold */
  int64_t began_us;
  int32_t cpu;     /* the part that it takes now, thousandths of a core */
  unsigned n_fast; /* runs measured */
  unsigned n_slow;
};

/* A worker that is held, being taken, or probed.  */
struct lease_worker
{
  struct lease_worker_info info;
  char *id;
  enum lease_worker_state state;
  int64_t token;
  /* Its process was restarted, and no poll with the token that was raised
     because of that has been answered yet.  */
  bool fencing;
  int64_t taken_us;     /* when it answered its first poll; 0: not yet */
  int64_t described_ms; /* incarnation that the registry's entry describes */
  bool answered; /* some poll was: its clock and what runs there are known */
  int64_t clock_offset_ms; /* the worker's clock minus ours */
  int64_t last_end;        /* number of the last end that was read */
  int64_t acked_end;       /* up to which the latest poll acknowledges ends */
  bool poll_renews;        /* the latest poll carries a lease */
  bool renewal_withheld;   /* the owner of some run may not hear this holder */
  int poll_wait_ms;        /* how long the latest poll waits */
  int64_t polled_us;       /* when the latest poll was sent */
  int64_t renewed_us;      /* latest time at which the lease may have been
                              renewed, by this holder or a former one */
  int64_t answered_us;     /* when a poll was answered last, or it was taken */
  int64_t next_poll_us;    /* when to poll after a failure; 0: not waiting */
  int64_t poll_lost_us;    /* when a poll got no answer last; 0: never */
  enum lease_reply poll_reply; /* result of the latest poll */
  struct lease_health health;
  struct lease_ramp ramp;
  GPtrArray *runs; /* struct lease_run */
  void *user;      /* of the caller */
};

/* Entry of the list of runs that a poll returns.  */
struct lease_running
{
  struct lease_run_id id;
};

/* How a run has ended, as the worker lists it.  */
enum lease_outcome
{
  LEASE_OUTCOME_DONE,
  LEASE_OUTCOME_FAILED,
  LEASE_OUTCOME_STOPPED,
  LEASE_OUTCOME_EXPIRED, /* its lease was not renewed in time */
};

/* Entry of the list of ended runs that a poll returns.  The worker numbers its
   ends and lists them until they are acknowledged.  */
struct lease_end_record
{
  int64_t number;
  struct lease_run_id id;
  enum lease_outcome outcome;
};

struct lease_poll_result
{
  enum lease_reply reply;
  int64_t clock_ms;       /* the worker's clock when it answered */
  int64_t incarnation_ms; /* 0: the answer does not tell */
  const struct lease_running *running;
  unsigned n_running;
  const struct lease_end_record *ended;
  unsigned n_ended;
};

struct lease_table;

struct lease_ops
{
  /* Calls to the worker; each result is passed to lease_poll_done,
     lease_start_done or lease_stop_done later.  DEADLINE_MS is the end of the
     lease on the worker's clock; 0: none.  A poll is answered after WAIT_MS,
     or as soon as a run ends.  */
  void (*poll) (void *ctx, struct lease_worker *w, int64_t deadline_ms,
                int wait_ms);
  void (*start) (void *ctx, struct lease_worker *w,
                 const struct lease_run *run, int64_t deadline_ms);
  void (*stop) (void *ctx, struct lease_worker *w,
                const struct lease_run_id *id);
  void (*ended) (void *ctx, struct lease_worker *w,
                 const struct lease_run_end *end);
  /* The worker has not answered polls for a while, or refuses connections;
     REPLY is the result of the latest poll.  */
  void (*silent) (void *ctx, struct lease_worker *w, enum lease_reply reply,
                  int64_t silence_us);
  /* The worker is held now under its token; W->runs lists what runs there.
     Called again after each restart of the worker.  */
  void (*taken) (void *ctx, struct lease_worker *w);
  /* Returns a token above every one that is known to be used on the worker,
     whose process was restarted.  */
  int64_t (*raise_token) (void *ctx, const struct lease_worker *w);
  /* The worker is no longer held; W is freed after the call.  REASON is
     LEASE_REPLY_FENCED, LEASE_REPLY_RESTARTED, or LEASE_REPLY_NO_ANSWER if the
     worker's process has ended.  */
  void (*lost) (void *ctx, struct lease_worker *w, enum lease_reply reason);
  /* What lease_fill_report reports of the worker may have changed.  */
  void (*changed) (void *ctx, struct lease_worker *w);
  /* Whether another instance may have taken the worker since SINCE_US without
     this one knowing: it would have renewed the leases of what runs there.  */
  bool (*may_be_taken) (void *ctx, const struct lease_worker *w,
                        int64_t since_us);
  /* Whether OWNER is known to have heard this holder within
     LEASE_OWNER_LOST_US.  A pause of either process counts as silence.  */
  bool (*is_heard_by) (void *ctx, uint64_t owner);
};

struct lease_table *lease_table_new (const struct lease_ops *ops, void *ctx);
void lease_table_free (struct lease_table *table);

/* The lowest token, for probes: a worker with a holder refuses it, which shows
   that it can be reached and fences nobody.  Nothing is started with it.  */
#define LEASE_PROBE_TOKEN 0

/* Begins to take a worker.  The op taken is called when it answers, or the op
   lost if it refuses TOKEN, which must be above every token used there.  */
struct lease_worker *lease_take (struct lease_table *table,
                                 const struct lease_worker_info *info,
                                 int64_t token, int64_t now_us);
/* Whether starts on a worker are decided differently by AFTER than by BEFORE,
   two states of its entry.  */
bool lease_decides_differently (const struct lease_worker_info *before,
                                const struct lease_worker_info *after);
/* Applies a change of the registry to a held worker.  */
void lease_update (struct lease_table *table, struct lease_worker *w,
                   const struct lease_worker_info *info);
/* The worker may be slow for a while, for instance after the evacuation of its
   failure domain: it takes a part of its capacity first, and more with each
   run that is done, the faster the more.  Ignored if WORKER is not
   held.  */
void lease_mark_cold (struct lease_table *table, uint64_t worker,
                      int64_t now_us);
/* Gives the worker up to a successor and removes W: its runs go on, no op is
   called.  */
void lease_yield (struct lease_table *table, struct lease_worker *w);
/* Another holder has used a higher token on the worker: reports its runs as
   unknown and W as lost, and removes W.  */
void lease_worker_fenced (struct lease_table *table, struct lease_worker *w,
                          int64_t now_us);
/* The worker's process has ended, and its runs with it: reports them as
   stopped and W as lost, and removes W.  */
void lease_worker_ended (struct lease_table *table, struct lease_worker *w);
struct lease_worker *lease_find_worker (struct lease_table *table,
                                        uint64_t worker);
/* All workers of the table: hash of the id -> struct lease_worker.  */
GHashTable *lease_workers (struct lease_table *table);

/* An owner's order to start a run, or its claim of one.  */
struct lease_order
{
  struct lease_run_id id;
  uint64_t owner;
  struct planner_resources size;
  struct pl_str spec;
  int64_t expect_us;
  int64_t token; /* of the holder's lease; refused if that is another one */
};

/* How long to wait for the answer to an order, and to a poll that waits for
   WAIT_MS: a multiple of what calls take now.  */
int64_t lease_order_timeout_us (const struct lease_table *table);
int64_t lease_poll_timeout_us (const struct lease_table *table, int wait_ms);

/* Orders a start.  False if the worker takes no starts now, lacks resources
   for it, or still has another run of the task.  */
bool lease_start (struct lease_table *table, struct lease_worker *w,
                  const struct lease_order *order, int64_t now_us);
/* Sets the owner of a run that was found on the worker; false if the claim
   names another lease, or the run is not there or has another owner.  */
bool lease_claim (struct lease_table *table, struct lease_worker *w,
                  const struct lease_order *order, int64_t now_us);
bool lease_has_run (const struct lease_worker *w,
                    const struct lease_run_id *id);
/* Whether W is silent and all runs there are starts without an answer.  They
   are not known to have ended before W answers, but a worker that has left the
   registry may never do.  */
bool lease_has_only_unanswered_starts (const struct lease_worker *w);
/* Stops a run by order of OWNER, if the run is its own or has no owner yet.
   TOKEN is that of the lease which the order names, 0 if it names none; an
   order for another lease is ignored.  */
void lease_stop (struct lease_table *table, struct lease_worker *w,
                 const struct lease_run_id *id, uint64_t owner, int64_t token,
                 int64_t now_us);
/* The owner's messages may have been lost, stops among them: it has to claim
   its runs again, or they are stopped.  */
void lease_require_claims (struct lease_table *table, uint64_t owner,
                           int64_t now_us);
/* Stops all runs of an owner that can't be reached and may have ended.  */
void lease_stop_runs_of_owner (struct lease_table *table, uint64_t owner,
                               int64_t now_us);

/* Results of calls.  TOKEN is the one that the call carried; the result is
   ignored if WORKER is no longer held with it.  */
void lease_poll_done (struct lease_table *table, uint64_t worker,
                      int64_t token, const struct lease_poll_result *result,
                      int64_t now_us);
void lease_start_done (struct lease_table *table, uint64_t worker,
                       int64_t token, const struct lease_run_id *id,
                       enum lease_reply reply, int64_t now_us);
void lease_stop_done (struct lease_table *table, uint64_t worker,
                      int64_t token, const struct lease_run_id *id,
                      enum lease_reply reply, int64_t now_us);

/* Handles timeouts: stops to resend, unclaimed runs, stragglers, polls after
   failures, ends of ejections and of slow starts.  Call every LEASE_TICK_US.
 */
#define LEASE_TICK_US 20000
void lease_tick (struct lease_table *table, int64_t now_us);

/* Fills OUT with the report of W to the planner.  */
void lease_fill_report (const struct lease_worker *w, uint64_t holder,
                        int64_t now_us, struct planner_worker_report *out);
