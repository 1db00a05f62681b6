/* Private to lib/http: requests, connections and the server.

   The threads of libmicrohttpd run a request until its operation starts; the
   connection is then suspended.  The thread that ends the operation resumes
   it.  A sweeper thread closes connections that exceed caller-idle-s.  */
#pragma once

#include "http.h"

#include <microhttpd.h>

#define HTTP_HEADER_BYTES ((size_t)16 * 1024)
/* Memory of a connection: the headers, their index and the read buffer of the
   body.  */
#define HTTP_CONNECTION_BYTES ((size_t)40 * 1024)
/* A chunked body beyond the limit is read and discarded up to this multiple of
   the limit; then the connection is closed.  */
#define HTTP_DISCARD_FACTOR 4
#define HTTP_KEY_BYTES 256 /* longer keys can't be well-formed */

enum http_state
{
  HTTP_READING,  /* headers and body are being read */
  HTTP_WAITING,  /* suspended until the operation is done */
  HTTP_ANSWERED, /* resumed; the reply is set but not sent */
  HTTP_SENDING,  /* the answer is queued in libmicrohttpd */
  HTTP_CUT,      /* to be closed without an answer from libmicrohttpd */
};

/* One request.  Its connection and its operation each hold a reference, since
   either may end first.  */
struct http_req
{
  gatomicrefcount refs;
  struct http *http;
  struct MHD_Connection *connection;
  int fd;
  int64_t start_us; /* monotonic time */
  GMutex lock;      /* guards state, connection_done, reply and key */
  enum http_state state;
  bool connection_done; /* the connection holds no reference any more */
  struct job_reply *reply;
  char *method;
  char *path;
  char *key;
  GString *body;
  uint64_t body_received; /* bytes, kept or discarded */
  bool body_too_large;    /* BODY is then empty */
};

struct http
{
  gatomicrefcount refs; /* held by the owner and each request */
  const struct conf *conf;
  struct http_ops *ops;
  struct MHD_Daemon *daemon;
  int listen_fd;
  GThread *acceptor;
  GMutex lock;
  GCond open_changed;
  GHashTable *open_requests; /* struct http_req, set */
  GHashTable *conns;         /* struct http_conn, set */
  unsigned open_operations;  /* operations that are not done */
  bool stopping;
  GThread *sweeper;
};

/* Creates a request and adds it to the open ones; the caller gets the
   connection's reference.  */
struct http_req *http_req_new (struct http *http,
                               struct MHD_Connection *connection,
                               const char *path, const char *method);
/* Removes REQ from the open requests and drops the connection's reference.  */
void http_req_finish (struct http_req *req);
void http_req_unref (struct http_req *req);
/* Suspends the connection and starts the operation.  MHD_NO if REQ has been
   cut in the meantime.  */
enum MHD_Result http_req_start (struct http_req *req);
/* Starts the operation of a request whose connection is to be closed.  */
void http_req_start_detached (struct http_req *req);
/* Has REQ's connection closed without an answer, unless its reply is set;
   false if it was closed already.  */
bool http_req_cut (struct http_req *req);
/* Answers a request whose body did not arrive in time, and closes its
   connection.  */
void http_req_answer_stalled (struct http_req *req);

/* Handles a request by its path and method: first when the headers have
   arrived, and again with BODY_COMPLETE when the body has.  */
enum MHD_Result http_route (struct http_req *req, bool body_complete);

enum MHD_Result http_send_reply (struct http_req *req,
                                 struct job_reply *reply);
enum MHD_Result http_send_error (struct http_req *req, enum pl_code code,
                                 const char *detail);
/* Sends TEXT, which it takes over.  */
enum MHD_Result http_send_text (struct http_req *req, unsigned status,
                                const char *type, GString *text);
/* Called by libmicrohttpd when a connection starts or ends.  */
void http_conn_notify (void *http, struct MHD_Connection *connection,
                       void **context,
                       enum MHD_ConnectionNotificationCode code);
/* BUSY: the headers of a request have arrived and its answer is not sent.  */
void http_conn_set_busy (struct http *http, struct MHD_Connection *connection,
                         bool busy);
/* Shuts down connections that have not been busy since LIMIT_US.  The caller
   holds HTTP's lock.  */
void http_conn_close_idle (struct http *http, int64_t limit_us);
gpointer http_sweep_thread (gpointer http);
void http_unref (struct http *http);

/* Opens the listening socket; false with errno set.  */
bool http_open_listener (struct http *http, struct pl_addr addr);
void http_accept_start (struct http *http);
/* Ends the accepting thread and closes the listening socket.  */
void http_accept_stop (struct http *http);
