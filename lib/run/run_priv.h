/* Internals of lib/run: connections, their pool and the watchdog.  */
#pragma once

#include "run.h"

#include <ne_request.h>
#include <ne_session.h>

/* Longest wait for the answer to a cancellation (DELETE).  */
#define RUN_CANCEL_US INT64_C (1000000)
/* Most cancellations that wait.  More are dropped; their tasks run to their
   end.  */
#define RUN_CANCEL_QUEUE 4096

/* One neon session with at most one TCP connection to one upstream.  */
struct run_conn
{
  struct run_upstream *upstream;
  ne_session *session;
  ne_inet_addr *addr;
  const ne_inet_addr *addrs[1];
  ne_inet_addr *source; /* null: any */
  int fd; /* duplicate of the connected socket; -1: none or unknown */
  GArray *sockets_before; /* struct socket_info before the connect */
  bool alive;             /* the session has an open connection */
  bool connected;         /* there was a connection for this request */
  bool reused;            /* this request uses a connection that was open */
  bool blocked;           /* this request was stopped before its first byte */
  bool withhold_body;     /* must not be sent, but its headers may have been */
  int64_t idle_since_us;
  /* The current request; RUN is null while there is none.  */
  struct run *run;
  struct run_task *task; /* null for a DELETE */
  const char *stop_reason;
  int64_t start_us;         /* just before the first byte; 0: not reached */
  bool body_given;          /* neon has asked for the body once */
  size_t body_offset;       /* of the next byte to send */
  uint64_t received_before; /* on the connection, before this request */
  size_t header_bytes;      /* of the answer; 0: unknown */
  /* Guarded by the pool's lock, as FD is when it changes.  */
  int64_t limit_us; /* time at which the watchdog cuts CONN; 0: never */
  const char *limit_reason;
  /* Set by the watchdog before it shuts the socket down, so that the reader
     never sees the end of the stream without its reason.  Read without the
     lock.  */
  gint cut;
};

struct run_upstream
{
  struct pl_addr addr;
  GQueue idle;      /* struct run_conn, the last used first */
  GPtrArray *conns; /* all of them */
  bool connecting;  /* only one connect at a time, see socket.c */
};

struct run_pool
{
  const struct run_opts *opts;
  GMutex lock;
  GCond conn_freed;    /* a connection or the turn to connect is free */
  GCond wake_watchdog; /* the watchdog must stop or check earlier */
  bool stopping;
  int64_t next_check_us; /* time of the next check by the watchdog */
  GHashTable *upstreams; /* struct pl_addr to struct run_upstream */
  GThread *watchdog;
};

struct run
{
  struct run_opts opts;
  struct run_pool *pool;
  GAsyncQueue *queue;   /* struct run_task, or end_mark of run.c */
  GPtrArray *threads;   /* GThread */
  GAsyncQueue *cancels; /* struct run_cancel_item, or end_mark of cancel.c */
  GThread *cancel_threads[RUN_CANCEL_THREADS];
};

struct run_pool *run_pool_new (const struct run_opts *opts);
void run_pool_free (struct run_pool *pool);
/* Takes a connection to ADDR, open or not.  Null if all are in use for
   WAIT_US.  */
struct run_conn *run_pool_take (struct run_pool *pool, struct pl_addr addr,
                                int64_t wait_us);
void run_pool_release (struct run_pool *pool, struct run_conn *conn);
/* Waits for the turn to connect to UPSTREAM; false after WAIT_US.  */
bool run_pool_begin_connect (struct run_pool *pool,
                             struct run_upstream *upstream, int64_t wait_us);
void run_pool_end_connect (struct run_pool *pool,
                           struct run_upstream *upstream);
/* Sets the time at which the watchdog cuts CONN, and why; 0: never.  */
void run_pool_set_limit (struct run_pool *pool, struct run_conn *conn,
                         int64_t limit_us, const char *reason);

struct run_conn *run_conn_new (struct run_upstream *upstream,
                               const struct run_opts *opts);
void run_conn_free (struct run_conn *conn);
void run_conn_close (struct run_pool *pool, struct run_conn *conn);
/* Connects if necessary, sends REQ once and waits for the headers of the
   answer.  TASK is null for a cancellation.  Returns an NE_ code.  */
int run_conn_send (struct run *run, struct run_conn *conn,
                   struct run_task *task, ne_request *req);
/* Ends the request.  Closes the connection unless KEEP says that it can be
   used again.  */
void run_conn_finish (struct run_conn *conn, bool keep);
/* Records the sockets to the upstream; the caller has the turn to connect.  */
void run_conn_before_connect (struct run_conn *conn);
/* Finds the socket that neon has just connected, and ends the turn.  */
void run_conn_find_socket (struct run_pool *pool, struct run_conn *conn);
/* Closes the duplicate that run_conn_find_socket has made.  */
void run_conn_drop_socket (struct run_pool *pool, struct run_conn *conn);
/* Prepares CONN for the answer to a request that is about to be sent.  */
void run_surplus_begin (struct run_conn *conn);
/* Waits at most WAIT_MS for the answer and measures its headers.  */
void run_surplus_peek (struct run_conn *conn, int wait_ms);
/* Whether the size of the headers is known, so that a surplus is detected.  */
bool run_surplus_detectable (const struct run_conn *conn);
/* Whether more than the headers and LENGTH bytes have been received.  */
bool run_surplus_found (const struct run_conn *conn, int64_t length);
/* Why TASK must not be sent now, or null.  TASK may be null.  */
const char *run_stop_reason (struct run *run, struct run_task *task);

/* How long a task may wait for a connection; TASK may be null.  */
int64_t run_connect_wait_us (struct run *run, const struct run_task *task);

/* Sends TASK on CONN and sets RESULT by the answer.  */
void run_exchange (struct run *run, struct run_conn *conn,
                   struct run_task *task, struct run_result *result);
/* The threads that send cancellations.  */
void run_cancel_start_threads (struct run *run);
void run_cancel_stop_threads (struct run *run);
