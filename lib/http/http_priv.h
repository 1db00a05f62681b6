/* Private parts of lib/http: requests and their life.  */
#pragma once

#include "http.h"

#include <microhttpd.h>

#define HTTP_HEADER_BYTES ((size_t)16 * 1024)
/* Memory of a connection: headers, their index and the body's read buffer.  */
#define HTTP_CONNECTION_BYTES ((size_t)40 * 1024)
/* A chunked body beyond the limit is read and dropped up to this multiple of
   the limit; then the connection is closed.  */
#define HTTP_DRAIN_FACTOR 4
#define HTTP_KEY_BYTES 256 /* longer keys can't be well-formed */

enum http_state
{
  HTTP_READING,  /* the body arrives */
  HTTP_WAITING,  /* suspended until the operation is done */
  HTTP_ANSWERED, /* the reply is known */
  HTTP_SENDING,  /* the answer is queued */
  HTTP_CUT,      /* to be closed without an answer */
};

/* One request.  Referenced by its connection and by the operation it waits
   for, since either may end first.  */
struct http_req
{
  gatomicrefcount refs;
  struct http *http;
  struct MHD_Connection *connection;
  int fd;
  int64_t start_us; /* real clock */
  GMutex lock;      /* guards the state and the reply */
  enum http_state state;
  bool finished; /* the connection has let go of it */
  struct job_reply *reply;
  char *method;
  char *path;
  char *key;
  GString *body;
  uint64_t body_seen; /* bytes, whether kept or dropped */
  bool too_large;
};

struct http
{
  gatomicrefcount refs; /* the owner and each request */
  const struct conf *conf;
  struct http_ops *ops;
  struct MHD_Daemon *daemon;
  int listen_fd;
  GThread *acceptor;
  GMutex lock;
  GCond changed;
  GHashTable *open;  /* struct http_req, set */
  GHashTable *conns; /* struct http_conn, set */
  unsigned waiting;  /* requests suspended for an operation */
  bool stopping;
  GThread *sweeper;
};

/* The new request is in the set of open ones; the caller holds the
   connection's reference.  */
struct http_req *http_req_new (struct http *http,
                               struct MHD_Connection *connection,
                               const char *path, const char *method);
/* The connection is done with REQ.  */
void http_req_finish (struct http_req *req);
void http_req_unref (struct http_req *req);
/* Suspends the connection and starts the operation.  */
enum MHD_Result http_req_start (struct http_req *req);
/* Starts the operation of a request whose connection is to be closed.  */
void http_req_start_detached (struct http_req *req);
/* Closes a stalled or waiting request's connection; true if it was open.  */
bool http_req_cut (struct http_req *req);
/* Answers a request whose body is overdue, and closes its connection.  */
void http_req_stalled (struct http_req *req);

/* Chooses what to do when the headers have arrived, and when the body has. */
enum MHD_Result http_route (struct http_req *req, bool whole);

enum MHD_Result http_send_reply (struct http_req *req,
                                 struct job_reply *reply);
enum MHD_Result http_send_error (struct http_req *req, enum pl_code code,
                                 const char *detail);
/* Takes over TEXT.  */
enum MHD_Result http_send_text (struct http_req *req, unsigned status,
                                const char *type, GString *text);
void http_conn_changed (void *http, struct MHD_Connection *connection,
                        void **context,
                        enum MHD_ConnectionNotificationCode code);
/* Says whether a request's headers have arrived and its answer is not sent. */
void http_conn_set_busy (struct http *http, struct MHD_Connection *connection,
                         bool busy);
/* Shuts connections that have not been busy since LIMIT_US; needs the lock. */
void http_conn_sweep (struct http *http, int64_t limit_us);
gpointer http_sweep (gpointer http);
void http_unref (struct http *http);

/* Opens the listening socket; false with errno set.  */
bool http_listen (struct http *http, struct pl_addr addr);
void http_accept_start (struct http *http);
/* Refuses callers from now on.  */
void http_accept_stop (struct http *http);
