/* The states of a request: created when its headers arrive, suspended during
   the operation, resumed by the thread that ends it, and freed with the last
   reference.  */
#include "http_priv.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

struct http_req *
http_req_new (struct http *http, struct MHD_Connection *connection,
              const char *path, const char *method)
{
  struct http_req *req = g_new0 (struct http_req, 1);
  g_atomic_ref_count_init (&req->refs);
  g_atomic_ref_count_inc (&http->refs);
  req->http = http;
  req->connection = connection;
  req->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  req->start_us = g_get_monotonic_time ();
  g_mutex_init (&req->lock);
  req->method = g_strdup (method);
  req->path = g_strdup (path);
  req->body = g_string_new (NULL);
  g_mutex_lock (&http->lock);
  g_hash_table_add (http->open_requests, req);
  g_mutex_unlock (&http->lock);
  return req;
}

void
http_req_unref (struct http_req *req)
{
  if (!g_atomic_ref_count_dec (&req->refs))
    return;
  if (req->reply != NULL)
    job_reply_unref (req->reply);
  g_mutex_clear (&req->lock);
  g_string_free (req->body, TRUE);
  g_free (req->method);
  g_free (req->path);
  g_free (req->key);
  http_unref (req->http);
  g_free (req);
}

void
http_req_finish (struct http_req *req)
{
  struct http *http = req->http;
  g_mutex_lock (&req->lock);
  req->connection_done = true;
  g_mutex_unlock (&req->lock);
  g_mutex_lock (&http->lock);
  g_hash_table_remove (http->open_requests, req);
  g_cond_broadcast (&http->open_changed);
  g_mutex_unlock (&http->lock);
  http_req_unref (req);
}

static void
add_open_operations (struct http *http, int n)
{
  g_mutex_lock (&http->lock);
  http->open_operations = (unsigned)((int)http->open_operations + n);
  g_mutex_unlock (&http->lock);
}

static void
on_done (struct job_reply *reply, void *user)
{
  struct http_req *req = user;
  add_open_operations (req->http, -1);
  g_mutex_lock (&req->lock);
  if (req->state == HTTP_WAITING)
    {
      req->reply = job_reply_ref (reply);
      req->state = HTTP_ANSWERED;
      MHD_resume_connection (req->connection);
    }
  g_mutex_unlock (&req->lock);
  http_req_unref (req);
}

static void
start_operation (struct http_req *req)
{
  struct http_ops *ops = req->http->ops;
  struct pl_str body = { .data = req->body->str, .len = req->body->len };
  g_atomic_ref_count_inc (&req->refs);
  add_open_operations (req->http, 1);
  ops->handle_request (ops, req->method, pl_str (req->path), pl_str (req->key),
                       req->body_too_large ? NULL : &body, on_done, req);
}

enum MHD_Result
http_req_start (struct http_req *req)
{
  g_mutex_lock (&req->lock);
  bool reading = req->state == HTTP_READING;
  if (reading)
    {
      req->state = HTTP_WAITING;
      MHD_suspend_connection (req->connection);
    }
  g_mutex_unlock (&req->lock);
  if (!reading)
    return MHD_NO;
  start_operation (req);
  return MHD_YES;
}

void
http_req_start_detached (struct http_req *req)
{
  g_mutex_lock (&req->lock);
  req->state = HTTP_CUT;
  g_mutex_unlock (&req->lock);
  start_operation (req);
}

bool
http_req_cut (struct http_req *req)
{
  g_mutex_lock (&req->lock);
  bool open = !req->connection_done && req->state != HTTP_CUT;
  if (open && req->state == HTTP_WAITING)
    MHD_resume_connection (req->connection);
  if (open && req->state != HTTP_ANSWERED)
    req->state = HTTP_CUT;
  g_mutex_unlock (&req->lock);
  return open;
}

/* libmicrohttpd accepts no answer while a body arrives, so the answer is
   written to the socket directly, which is then shut down.  No operation was
   started.  */
void
http_req_answer_stalled (struct http_req *req)
{
  g_mutex_lock (&req->lock);
  if (!req->connection_done && req->state == HTTP_READING)
    {
      req->state = HTTP_CUT;
      struct job_reply *reply = job_reply_error (
          pl_str (req->key == NULL ? "" : req->key), PL_CALLER_STALLED, 0,
          "the body did not arrive in time", NULL, 0);
      char prefix[CLAIM_PREFIX_TEXT] = "";
      bool issued = req->http->ops->get_prefix (req->http->ops, prefix);
      gsize size = 0;
      const char *data = g_bytes_get_data (reply->body, &size);
      g_autofree char *text = g_strdup_printf (
          "HTTP/1.1 %d Request Timeout\r\nContent-Type: application/json\r\n"
          "Connection: close\r\n%s%s%sContent-Length: %zu\r\n\r\n%.*s",
          pl_code_info (PL_CALLER_STALLED)->http,
          issued ? "Idempotency-Prefix: " : "", issued ? prefix : "",
          issued ? "\r\n" : "", (size_t)size, (int)size, data);
      ssize_t n
          = send (req->fd, text, strlen (text), MSG_NOSIGNAL | MSG_DONTWAIT);
      (void)n;
      shutdown (req->fd, SHUT_RDWR);
      job_reply_unref (reply);
    }
  g_mutex_unlock (&req->lock);
}
