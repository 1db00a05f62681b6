/* Runners (prefix run_): threads that send task requests to upstreams over
   HTTP with the library neon.  A request is sent at most once; its result says
   whether the task ran, may have run or certainly did not.  */
#pragma once

#include "pl.h"

/* Cancellations sent at a time, each on a connection of its own if no idle one
   is open.  */
#define RUN_CANCEL_THREADS 4

/* What is known after a task request.  */
enum run_status
{
  RUN_OK,       /* a whole answer with the right Task-Id */
  RUN_NOT_SENT, /* no byte was sent: no connection, or too late */
  RUN_REFUSED,  /* the upstream refused it before the start */
  RUN_FAILED,   /* the upstream ran the task and answered with a failure */
  RUN_MAYBE,    /* a byte may have been delivered and no answer is usable */
};

/* One task request.  The runner owns it until DONE is called.  */
struct run_task
{
  char id[64]; /* unique; sent in the request and repeated in the answer */
  struct pl_addr addr;
  char *kind;          /* "<service>/<kind>" */
  GBytes *input;       /* the request body; never empty */
  int64_t deadline_us; /* no byte is sent after it; by the clock of run_opts */
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
  unsigned connections; /* most open to one upstream */
  int idle_ms;          /* time after which an idle connection is closed */
  int connect_ms;       /* longest wait for a connection */
  int silence_ms;       /* longest wait for the headers, and for the body */
  size_t answer_bytes;  /* longest body */
  /* Called on a runner thread exactly once for each task.  Takes ownership of
     TASK and RESULT.  */
  void (*done) (struct run_task *task, struct run_result *result, void *user);
  void *user;
};

struct run;
struct run *run_new (const struct run_opts *opts);
/* Queues TASK for the next free thread; never blocks.  */
void run_start (struct run *run, struct run_task *task);
/* Asks the upstream to stop the running task ID.  Its result is still
   reported.  Never blocks.  */
void run_cancel (struct run *run, struct pl_addr addr, const char *id);
/* Waits for all tasks to end.  */
void run_free (struct run *run);
void run_task_free (struct run_task *task);
void run_result_free (struct run_result *result);
