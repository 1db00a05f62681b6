/* Internals of the dispatcher.  Only the dispatch thread uses them, except for
   disp_msg_new, disp_post and what is guarded by the lock.

   A call from another thread becomes a message: disp_X posts a struct disp_msg
   whose handler, mostly the static function X beside it, runs on the dispatch
   thread.  */
#pragma once

#include "disp.h"
#include "plsched.h"
#include "slot.h"

#define DISP_TICK_US 10000       /* least time between two ticks */
#define DISP_GRACE_US 200000     /* wait for running tasks of an aborted job */
#define DISP_MAX_WAIT_US 2000000 /* expected wait above which load is shed */

enum disp_phase
{
  DISP_TASK_QUEUED,
  DISP_TASK_DELAYED, /* certainly not started; waits to be queued again */
  DISP_TASK_RUNNING, /* passed to the runners; may not have been sent yet */
  DISP_TASK_ENDED,
};

struct disp_task
{
  struct sched_task base;
  unsigned index; /* in its job */
  enum disp_phase phase;
  enum job_task_state final_state; /* for DISP_TASK_ENDED */
  unsigned tries;
  int64_t queued_us;
  int64_t start_us;
  int64_t retry_us;
  struct slot_worker *worker;    /* while running */
  struct slot_worker *failed_on; /* where the latest try did not start */
  struct run_task *request;      /* at the runners */
  GBytes *answer;
};

/* A caller that waits for the reply to a job.  */
struct disp_waiter
{
  job_done_fn *done;
  void *user;
};

struct disp_job
{
  struct sched_job base;
  struct job_req *req;
  struct claim_record *record;
  struct claim_key_hash hash;
  claim_instance_id witness; /* must permit the start; 0: none is needed */
  int64_t epoch;             /* of its key */
  bool permitted;
  int64_t permit_give_up_us; /* end of the wait for the permit */
  int64_t permit_resend_us;  /* time of the next request for it */
  int64_t deadline_us;
  int64_t latest_start_us; /* a job started later can't meet the deadline */
  int64_t grace_us;        /* after an abort: end of the wait for its tasks */
  enum pl_code cause;      /* of the abort; PL_OK: not aborted */
  const char *detail;      /* static text */
  bool replied;
  bool repeatable;
  char *kind;      /* "<service>/<kind>" */
  uint64_t number; /* part of the identities of its tasks */
  struct disp_task *tasks;
  unsigned n_tasks;
  unsigned running;  /* tasks */
  unsigned complete; /* tasks with an answer */
  size_t answer_bytes;
  GArray *waiters;      /* struct disp_waiter */
  GSequenceIter *timer; /* in the timers of struct disp */
  int64_t due_us;       /* when the timer fires */
};

struct disp
{
  struct disp_opts opts;
  bool closed;          /* no new key is accepted */
  struct pl_mbox *mbox; /* of struct disp_msg */
  GThread *thread;      /* null: the test runs the dispatcher */
  struct run *run;      /* null: run_ops replaces it */
  struct claim_table *claims;
  struct sched *sched;
  struct sched_sizes *sizes;
  struct slot_table *slots;
  struct note_conf *conf; /* current snapshot; null: none yet */
  struct memb_view *view; /* current snapshot; null: none yet */
  GHashTable *permits;    /* struct claim_key_hash to the job that waits */
  GSequence *timers;      /* unanswered jobs by due_us */
  GPtrArray *delayed;     /* struct disp_task to be queued again */
  uint64_t next_number;   /* of the next job */
  unsigned running;       /* tasks */
  unsigned unfinished;    /* jobs */
  int64_t next_tick_us;
  gint stop;     /* the thread is to end; set atomically */
  bool stopping; /* no job is admitted any more */
  GMutex lock;   /* guards STATUS */
  struct disp_status status;
};

/* A message to the dispatch thread.  Each kind sets the fields that its
   HANDLER uses; the rest is zero.  */
struct disp_msg
{
  struct pl_mbox_item base;
  void (*handler) (struct disp *disp, struct disp_msg *msg);
  int64_t posted_us;
  struct job_req *req;
  char *key;
  job_done_fn *done;
  void *user;
  struct claim_key_hash hash;
  claim_instance_id peer;
  struct pl_addr addr;
  bool flag; /* by HANDLER: is leaving, forced, granted, a cancellation */
  int64_t revision;
  unsigned n;
  struct slot_worker_slots *list;
  GBytes *chunk;
  size_t max_bytes;
  void (*exported) (GBytes *chunk, void *user);
  struct run_task *task;
  struct run_result *result;
};

static inline int64_t
disp_now (const struct disp *disp)
{
  return pl_now_us (disp->opts.clock);
}

/* The files in layers: each calls only functions of those listed above it.  */

/* msg.c */
struct disp_msg *disp_msg_new (struct disp *disp,
                               void (*handler) (struct disp *disp,
                                                struct disp_msg *msg));
void disp_post (struct disp *disp, struct disp_msg *msg);

/* state.c */
/* Whether TASK has run, as far as is known.  */
enum job_task_state disp_task_state (const struct disp_task *task);
/* Whether any task of JOB may have started.  */
bool disp_may_have_started (const struct disp_job *job);

/* refresh.c */
/* Updates CONF and VIEW of DISP, and the slot table if either has changed.  */
void disp_load_snapshots (struct disp *disp);

/* timer.c */
/* Sets JOB's timer to the time at which its state must be checked next.  */
void disp_arm_timer (struct disp *disp, struct disp_job *job);
void disp_disarm_timer (struct disp_job *job);

/* finish.c */
/* Aborts JOB for CAUSE: drops its queued tasks and cancels the running ones.
   Replies when those have ended, but after DISP_GRACE_US or at the deadline at
   the latest, and at once if NOW is set.  */
void disp_abort_job (struct disp *disp, struct disp_job *job,
                     enum pl_code cause, const char *detail, bool now);
/* Records REPLY as final, gives it to all waiting callers and releases it.  */
void disp_reply_all (struct disp *disp, struct disp_job *job,
                     struct job_reply *reply);
/* Replies to JOB with its answers, or with an error for its cause and what is
   known of its tasks.  Frees JOB unless tasks of it are still running.  */
void disp_finish_job (struct disp *disp, struct disp_job *job);
void disp_job_free (struct disp *disp, struct disp_job *job);

/* permit.c */
void disp_request_permit (struct disp *disp, struct disp_job *job);

/* control.c */
/* Marks the worker ADDR as leaving, which this instance has learnt from SOURCE
   itself, and tells the peers.  */
void disp_mark_leaving (struct disp *disp, struct pl_addr addr,
                        const char *source);

/* lend.c */
/* Lends free slots to peers, and asks peers for slots for queued tasks.  */
void disp_exchange_slots (struct disp *disp);
/* Returns borrowed slots that have been idle for long enough.  */
void disp_return_idle_slots (struct disp *disp);

/* place.c */
/* Starts queued tasks on free slots.  */
void disp_place_tasks (struct disp *disp);

/* result.c */
/* Handles the result of a task (MSG of disp_run_done).  */
void disp_handle_result (struct disp *disp, struct disp_msg *msg);

/* tick.c */
/* Runs the timers, queues delayed tasks again and does the work that every
   tick repeats.  */
void disp_tick (struct disp *disp);
/* How long the thread may wait for a message.  */
int64_t disp_sleep_us (const struct disp *disp);
