/* The HTTP server: start, the callbacks of libmicrohttpd, and stop.  */
#include "http_priv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Connections beyond caller-connections: for callers that are refused, and for
   operators.  */
#define SPARE_CONNECTIONS 64
/* Added to libmicrohttpd's timeout, so that the sweeper answers a stalled
   request before libmicrohttpd closes its connection.  */
#define SPARE_IDLE_S 2

static bool
headers_too_large (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  return info != NULL && info->header_size > HTTP_HEADER_BYTES;
}

static enum MHD_Result
append_body (struct http_req *req, const char *data, size_t *size)
{
  uint64_t limit = (uint64_t)req->http->conf->body_bytes;
  g_mutex_lock (&req->lock);
  bool reading = req->state == HTTP_READING;
  g_mutex_unlock (&req->lock);
  if (!reading)
    return MHD_NO;
  req->body_received += *size;
  if (req->body_received > limit)
    {
      req->body_too_large = true;
      g_string_truncate (req->body, 0);
    }
  else
    g_string_append_len (req->body, data, (gssize)*size);
  *size = 0;
  if (req->body_received <= limit * HTTP_DISCARD_FACTOR)
    return MHD_YES;
  if (req->key != NULL)
    http_req_start_detached (req);
  return MHD_NO;
}

/* libmicrohttpd calls this with the headers, with each part of the body, at
   the end of the body, and after each resumption.  */
static enum MHD_Result
on_request (void *user, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  (void)version;
  struct http_req *req = *state;
  if (req == NULL)
    {
      http_conn_set_busy (user, connection, true);
      req = http_req_new (user, connection, path, method);
      *state = req;
      if (headers_too_large (connection))
        return http_send_error (req, PL_HEADERS_TOO_LARGE, NULL);
      return http_route (req, false);
    }
  g_mutex_lock (&req->lock);
  enum http_state now = req->state;
  g_mutex_unlock (&req->lock);
  if (now == HTTP_CUT)
    return MHD_NO;
  if (now == HTTP_ANSWERED)
    return http_send_reply (req, req->reply);
  if (*size > 0)
    return append_body (req, data, size);
  return http_route (req, true);
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)code;
  http_conn_set_busy (user, connection, false);
  if (*state != NULL)
    http_req_finish (*state);
  *state = NULL;
}

static struct MHD_Daemon *
start_daemon (struct http *http)
{
  const struct conf *conf = http->conf;
  unsigned limit = (unsigned)conf->caller_connections + SPARE_CONNECTIONS;
  unsigned threads = (unsigned)conf->http_threads;
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_SUSPEND_RESUME
          | MHD_USE_NO_LISTEN_SOCKET | MHD_USE_ITC,
      0, NULL, NULL, on_request, http, MHD_OPTION_THREAD_POOL_SIZE,
      threads > 1 ? threads : 0U, MHD_OPTION_CONNECTION_LIMIT,
      MAX (limit, threads), MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)conf->caller_idle_s + SPARE_IDLE_S,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, HTTP_CONNECTION_BYTES,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, http,
      MHD_OPTION_NOTIFY_CONNECTION, http_conn_notify, http, MHD_OPTION_END);
}

struct http *
http_new (const struct conf *conf, struct http_ops *ops, struct pl_err *err)
{
  struct pl_addr addr;
  if (!pl_addr_parse (pl_str (conf->listen), &addr))
    {
      pl_fail (err, PL_SETTING_INVALID, "listen: '%s' is not ip:port",
               conf->listen);
      return NULL;
    }
  struct http *http = g_new0 (struct http, 1);
  g_atomic_ref_count_init (&http->refs);
  http->conf = conf;
  http->ops = ops;
  g_mutex_init (&http->lock);
  g_cond_init (&http->open_changed);
  http->open_requests = g_hash_table_new (NULL, NULL);
  http->conns = g_hash_table_new (NULL, NULL);
  /* A write to a connection that its caller has closed must not end the
     process.  */
  signal (SIGPIPE, SIG_IGN);
  if (!http_open_listener (http, addr))
    {
      pl_fail (err, PL_SYSTEM, "cannot listen on %s: %s", conf->listen,
               g_strerror (errno));
      http_unref (http);
      return NULL;
    }
  http->daemon = start_daemon (http);
  if (http->daemon == NULL)
    {
      pl_fail (err, PL_SYSTEM, "cannot start the HTTP threads: %s",
               g_strerror (errno));
      close (http->listen_fd);
      http_unref (http);
      return NULL;
    }
  http_accept_start (http);
  http->sweeper = g_thread_new ("http-sweep", http_sweep_thread, http);
  return http;
}

void
http_unref (struct http *http)
{
  if (!g_atomic_ref_count_dec (&http->refs))
    return;
  g_hash_table_destroy (http->open_requests);
  g_hash_table_destroy (http->conns);
  g_mutex_clear (&http->lock);
  g_cond_clear (&http->open_changed);
  g_free (http);
}

unsigned
http_open_requests (struct http *http)
{
  g_mutex_lock (&http->lock);
  unsigned n = g_hash_table_size (http->open_requests);
  g_mutex_unlock (&http->lock);
  return n;
}

static void
wait_open_requests (struct http *http, int limit_ms)
{
  int64_t deadline = g_get_monotonic_time () + (int64_t)limit_ms * 1000;
  g_mutex_lock (&http->lock);
  while (g_hash_table_size (http->open_requests) > 0)
    if (!g_cond_wait_until (&http->open_changed, &http->lock, deadline))
      break;
  g_mutex_unlock (&http->lock);
}

static unsigned
cut_open_requests (struct http *http)
{
  GPtrArray *remaining = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer p;
  g_mutex_lock (&http->lock);
  g_hash_table_iter_init (&iter, http->open_requests);
  while (g_hash_table_iter_next (&iter, &p, NULL))
    {
      g_atomic_ref_count_inc (&((struct http_req *)p)->refs);
      g_ptr_array_add (remaining, p);
    }
  g_mutex_unlock (&http->lock);
  unsigned n = 0;
  for (unsigned i = 0; i < remaining->len; i++)
    {
      struct http_req *req = g_ptr_array_index (remaining, i);
      n += http_req_cut (req) ? 1 : 0;
      http_req_unref (req);
    }
  g_ptr_array_free (remaining, TRUE);
  return n;
}

unsigned
http_free (struct http *http, int limit_ms)
{
  http_accept_stop (http);
  wait_open_requests (http, limit_ms);
  g_mutex_lock (&http->lock);
  http->stopping = true;
  g_cond_broadcast (&http->open_changed);
  g_mutex_unlock (&http->lock);
  g_thread_join (http->sweeper);
  unsigned cut = cut_open_requests (http);
  MHD_stop_daemon (http->daemon);
  http_unref (http);
  return cut;
}
