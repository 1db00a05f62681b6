/* Stand-in for upstreams: many workers with faults on request, one process. */
#pragma once

#include "pl.h"

#include <jansson.h>
#include <microhttpd.h>

enum fault_mode
{
  FAULT_NONE,
  FAULT_FAIL,
  FAULT_REFUSE,
  FAULT_STALL,
  FAULT_CUT_BEFORE,
  FAULT_CUT_AFTER,
  FAULT_CROSS,
  FAULT_SHORT,
  FAULT_DOUBLE,
  FAULT_OVERSIZE,
  FAULT_DRIBBLE,
  FAULT_LEAVING,
  FAULT_SLOW,
  FAULT_REFUSE_LIE,
  FAULT_COUNT,
};

struct fault
{
  enum fault_mode mode;
  double factor;
  double probability;
  int64_t until_us; /* 0: until changed */
};

struct stats
{
  int64_t starts, ends, refused, duplicate_starts, connections_refused;
  unsigned max_running, connections, max_connections;
};

struct standin;

struct worker
{
  struct standin *standin;
  struct MHD_Daemon *daemon;
  char text[PL_ADDR_TEXT];
  struct fault fault;
  struct stats stats;
  GArray *fds;         /* of the open connections */
  GHashTable *running; /* id: struct req */
  GHashTable *started; /* ids */
};

/* A request; freed when its connection has completed it.  */
struct req
{
  struct worker *worker;
  struct MHD_Connection *connection;
  GString *body;
  char *id;
  char *kind;
  char *echo; /* JSON text */
  enum fault_mode fault;
  int64_t due_us;
  GSequenceIter *timer; /* while it waits */
  bool cancelled;
  bool cut;        /* close without an answer */
  GString *answer; /* of a dribbling worker */
  size_t dribbled;
};

struct standin
{
  const char *base;
  int count, port, slots, connections, log_fd;
  GMutex lock; /* guards all workers and requests */
  GCond wake;
  GRand *rand;
  GSequence *timers; /* struct req by due_us */
  struct worker *workers;
};

/* Parses a fault order; false on an unknown mode.  */
bool fault_parse (const char *text, size_t len, int64_t now_us,
                  struct fault *out);
const char *fault_name (enum fault_mode mode);
/* Draws the fault of a new task.  */
enum fault_mode fault_draw (struct worker *worker);

/* The functions below need the lock.  */
/* Logs "<unix us> <worker> <what> <task id> <kind> <echo>".  */
void task_log (const struct req *req, const char *what);
void timer_add (struct req *req, int64_t due_us);
void timer_remove (struct req *req);
/* Ends the work of REQ and lets its connection answer.  */
void task_end (struct req *req);
gpointer timer_loop (gpointer standin);

/* Starts a task whose request is complete; may answer at once.  */
enum MHD_Result task_begin (struct req *req);
enum MHD_Result task_answer (struct req *req);
enum MHD_Result task_delete (struct req *req, const char *id);
/* One more byte of a slow answer, or the end of a stalled task.  */
void task_tick (struct req *req);
enum MHD_Result reply_text (struct MHD_Connection *connection, unsigned status,
                            const char *name, const char *value, bool leaving,
                            char *text);
/* Serves WORKER; null on failure.  */
struct MHD_Daemon *serve (struct worker *worker, struct pl_addr addr);
