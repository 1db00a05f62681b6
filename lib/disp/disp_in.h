/* Internals of lib/disp.  All of it belongs to the dispatch thread.  */
#pragma once

#include "disp.h"
#include "plsched.h"
#include "slot.h"

#define DISP_TICK_US 10000       /* least time between two ticks */
#define DISP_GRACE_US 200000     /* wait for running tasks of an ended job */
#define DISP_MAX_WAIT_US 2000000 /* expected wait above which load is shed */

enum disp_phase
{
  DISP_TASK_QUEUED,
  DISP_TASK_DELAYED, /* certainly not started; waits to be queued again */
  DISP_TASK_RUNNING, /* at the runners */
  DISP_TASK_OVER,
};

struct disp_task
{
  struct sched_task base;
  unsigned index;
  enum disp_phase phase;
  enum job_task_state known; /* for DISP_TASK_OVER */
  unsigned tries;
  int64_t queued_us;
  int64_t start_us;
  int64_t again_us;
  struct slot_worker *worker;
  struct slot_worker *failed; /* where the latest try did not start */
  struct run_task *run;
  GBytes *answer;
};

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
  claim_instance_id witness; /* 0: none */
  int64_t epoch;
  bool permitted;
  int64_t give_up_us; /* time at which the permit is given up */
  int64_t resend_us;  /* time of the next request */
  int64_t deadline_us;
  int64_t latest_us;  /* latest useful start */
  int64_t grace_us;   /* end of the wait for running tasks */
  enum pl_code cause; /* PL_OK until the job is ended early */
  const char *detail; /* static text */
  bool replied;
  bool repeatable;
  char *kind; /* "<service>/<kind>" */
  uint64_t number;
  struct disp_task *tasks;
  unsigned n_tasks;
  unsigned running;
  unsigned complete; /* tasks with an answer */
  size_t answer_bytes;
  GArray *waiters; /* struct disp_waiter */
  GSequenceIter *timer;
  int64_t due_us;
};

struct disp
{
  struct disp_opts opts;
  bool closed; /* no new key is accepted */
  struct pl_mbox *mbox;
  GThread *thread;
  struct run *run;
  struct claim_table *claims;
  struct sched *sched;
  struct sched_sizes *sizes;
  struct slot_table *slots;
  struct note_conf *conf; /* references to the snapshots in force */
  struct memb_view *view;
  GHashTable *permits; /* struct claim_key_hash to jobs without a permit */
  GSequence *timers;   /* unanswered jobs by due_us */
  GPtrArray *delayed;  /* struct disp_task */
  uint64_t next_number;
  unsigned running;
  unsigned unfinished;
  int64_t tick_us;
  gint stop; /* set atomically */
  bool stopping;
  GMutex lock; /* guards STATUS */
  struct disp_status status;
};

/* A message to the dispatch thread; each use sets what it needs.  */
struct disp_msg
{
  struct pl_mbox_item base;
  void (*run) (struct disp *disp, struct disp_msg *msg);
  int64_t at_us;
  struct job_req *req;
  char *key;
  job_done_fn *done;
  void *user;
  struct claim_key_hash hash;
  claim_instance_id peer;
  struct pl_addr addr;
  bool flag;
  int64_t revision;
  unsigned n;
  struct slot_lot *lots;
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

/* The files in layers; each calls only those above it.  */

/* msg.c */
struct disp_msg *disp_msg_new (struct disp *disp,
                               void (*run) (struct disp *disp,
                                            struct disp_msg *msg));
void disp_post (struct disp *disp, struct disp_msg *msg);

/* state.c */
enum job_task_state disp_known (const struct disp_task *task);
/* Whether any task may have started.  */
bool disp_started (const struct disp_job *job);

/* refresh.c */
/* Takes the snapshots in force.  */
void disp_refresh (struct disp *disp);

/* timer.c */
/* Sorts JOB in by the time at which it needs attention next.  */
void disp_arm (struct disp *disp, struct disp_job *job);
void disp_disarm (struct disp_job *job);

/* finish.c */
/* Ends JOB early for CAUSE; replies when its running tasks have ended, or at
   once if NOW is set.  */
void disp_end (struct disp *disp, struct disp_job *job, enum pl_code cause,
               const char *detail, bool now);
/* Records REPLY as final, gives it to all callers and releases it.  */
void disp_reply_all (struct disp *disp, struct disp_job *job,
                     struct job_reply *reply);
/* Gives the reply that follows from what is known.  */
void disp_finish (struct disp *disp, struct disp_job *job);
void disp_job_free (struct disp *disp, struct disp_job *job);

/* permit.c */
void disp_permit_ask (struct disp *disp, struct disp_job *job);

/* control.c */
/* A sign that this instance has seen itself.  */
void disp_sign (struct disp *disp, struct pl_addr addr, const char *sign);

/* lend.c */
void disp_lend_turn (struct disp *disp);
void disp_lend_tick (struct disp *disp);

/* place.c */
void disp_place (struct disp *disp);

/* result.c */
void disp_result (struct disp *disp, struct disp_msg *msg);

/* tick.c */
/* Does what is due.  */
void disp_tick (struct disp *disp);
/* Time until something is due.  */
int64_t disp_wait_us (const struct disp *disp);
