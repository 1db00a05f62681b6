/* Runners: threads that carry task requests to upstreams over neon.  */
#pragma once

#include "pl.h"

/* Cancellations sent at once, each on a connection of its own if no idle one
   is open.  */
#define RUN_CANCEL_THREADS 4

/* What is known after one try to run a task.  */
enum run_status
{
  RUN_OK,       /* a whole answer with the right identity */
  RUN_NOT_SENT, /* no byte was sent: connection refused, or too late */
  RUN_REFUSED,  /* the upstream refused before the start */
  RUN_FAILED,   /* the upstream ran the task and answered with a failure */
  RUN_MAYBE,    /* a byte may have been delivered and no answer is usable */
};

/* One task request.  The runner owns it until DONE is called.  */
struct run_task
{
  char id[64]; /* unique: identity on the request and the answer */
  struct pl_addr addr;
  char *kind;          /* "<service>/<kind>" */
  GBytes *input;       /* the request body; never empty */
  int64_t deadline_us; /* no byte is sent after it; clock of run_opts */
  gint cancelled;      /* set atomically to prevent the send */
  void *user;
};

struct run_result
{
  enum run_status status;
  const char *reason; /* static text for the log */
  GBytes *answer;     /* set for RUN_OK and RUN_FAILED */
  int64_t run_us;     /* from the first byte sent to the end */
  bool leaving;       /* the upstream said that it is leaving */
};

struct run_opts
{
  struct pl_clock *clock;
  uint32_t source_ip; /* connections are made from it; 0: any */
  unsigned threads;
  unsigned connections; /* held to one upstream at most */
  int idle_ms;
  int connect_ms;
  int silence_ms;
  size_t answer_bytes;
  /* Called on a runner thread exactly once a task; takes over both.  */
  void (*done) (struct run_task *task, struct run_result *result, void *user);
  void *user;
};

struct run;
struct run *run_new (const struct run_opts *opts);
/* Never blocks: queues when all threads are busy.  */
void run_start (struct run *run, struct run_task *task);
/* Asks the upstream to stop a running task; the result still arrives.  */
void run_cancel (struct run *run, struct pl_addr addr, const char *id);
/* Waits for all tasks to end.  */
void run_free (struct run *run);
void run_task_free (struct run_task *task);
void run_result_free (struct run_result *result);
