/* Stand-in for upstreams: a process with many workers that run tasks, by
   waiting, and inject faults on request.  libmicrohttpd serves each worker
   with a thread of its own; one more thread ends the tasks that are due.  */
#pragma once

#include "pl.h"

#include <jansson.h>
#include <microhttpd.h>

enum fault_mode
{
  FAULT_NONE,
  FAULT_FAIL,       /* ends at once with status 500 */
  FAULT_REFUSE,     /* is refused: 503 with header Task-Not-Started */
  FAULT_STALL,      /* runs until the caller disconnects */
  FAULT_CUT_BEFORE, /* the connection is closed before the start */
  FAULT_CUT_AFTER,  /* the connection is closed after the end, unanswered */
  FAULT_CROSS,      /* the answer is that of another task */
  FAULT_SHORT,      /* the body is shorter than its Content-Length */
  FAULT_DOUBLE,     /* the body is sent twice */
  FAULT_OVERSIZE,   /* the body is larger than any limit of an answer */
  FAULT_DRIBBLE,    /* the body is sent byte by byte, slowly */
  FAULT_LEAVING,    /* the answer says that the worker is leaving */
  FAULT_SLOW,       /* runs longer by a factor */
  FAULT_REFUSE_LIE, /* starts and ends, but is answered as if refused */
  N_FAULTS,
};

/* The fault of a worker, and the share of its tasks that have it.  */
struct fault
{
  enum fault_mode mode;
  double factor; /* of FAULT_SLOW */
  double probability;
  int64_t until_us; /* 0: until changed */
};

struct stats
{
  /* duplicate_starts: starts of a task that has started here before.  */
  int64_t starts, ends, refused, duplicate_starts, connections_refused;
  unsigned max_running, connections, max_connections;
};

struct standin;

struct worker
{
  struct standin *standin;
  struct MHD_Daemon *daemon;
  char address[PL_ADDR_TEXT];
  struct fault fault;
  struct stats stats;
  GArray *fds;             /* of the open connections */
  GHashTable *running;     /* task id to struct req */
  GHashTable *started_ids; /* task ids, to find tasks that start twice */
};

/* An HTTP request and, for POST /task, the task that it starts.  Freed when
   the library has completed the request.  */
struct req
{
  struct worker *worker;
  struct MHD_Connection *connection;
  GString *body;
  char *id;
  char *kind;
  char *echo; /* JSON text */
  enum fault_mode fault;
  int64_t due_us;       /* when the timer is due */
  GSequenceIter *timer; /* null if none is set */
  bool cancelled;
  bool close_unanswered;
  GString *dribble_buffer; /* answer of FAULT_DRIBBLE */
  size_t n_sent;           /* bytes of DRIBBLE_BUFFER */
};

struct standin
{
  const char *base; /* address of the first worker */
  /* COUNT workers, each with the same port, slots and connections.  LOG_FD -1:
     no log.  */
  int count, port, slots, connections, log_fd;
  GMutex lock; /* guards all workers and requests */
  GCond wake;  /* signals a new first timer */
  GRand *rand;
  GSequence *timers; /* struct req by due_us */
  struct worker *workers;
};

/* Parses the body of POST /standin/fault; false on an unknown mode.  */
bool fault_parse (const char *text, size_t len, int64_t now_us,
                  struct fault *out);
const char *fault_name (enum fault_mode mode);
/* Returns the fault of a new task, drawn with the fault's probability.  */
enum fault_mode fault_draw (struct worker *worker);

/* The functions from here to task_continue are called with the lock held.  */
/* Logs "<unix us> <worker> <what> <task id> <kind> <echo>".  */
void task_log (const struct req *req, const char *what);
/* Sets the timer of REQ, which has none; timer_loop runs it.  */
void timer_add (struct req *req, int64_t due_us);
void timer_remove (struct req *req);
/* Ends the task of REQ and makes its connection send the answer.  */
void task_end (struct req *req);
/* Body of the thread that runs the timers.  Takes the lock itself.  */
gpointer timer_loop (gpointer standin);

/* Starts the task of a complete request, or answers at once.  */
enum MHD_Result task_begin (struct req *req);
/* Sends the answer of an ended task.  */
enum MHD_Result task_answer (struct req *req);
/* Cancels the running task ID; REQ is the request for that.  */
enum MHD_Result task_delete (struct req *req, const char *id);
/* Sends the next byte of a dribbled answer, or checks whether the caller of a
   stalled task has disconnected, which ends the task.  */
void task_continue (struct req *req);
/* Answers with the JSON text TEXT, header NAME: VALUE (null: none) and, if
   LEAVING, header Worker-Leaving.  */
enum MHD_Result reply_text (struct MHD_Connection *connection, unsigned status,
                            const char *name, const char *value, bool leaving,
                            char *text);
/* Starts the HTTP server of WORKER; null on failure.  */
struct MHD_Daemon *start_server (struct worker *worker, struct pl_addr addr);
