/* Tasks of a worker: start, end, cancellation, and their answers with all
   faults.  */
#include "standin.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEFAULT_RUN_MS 50
#define STALL_CHECK_US INT64_C (100000)
#define DRIBBLE_US INT64_C (1000000)
/* Larger than any limit of a task's answer.  */
#define OVERSIZE_BYTES ((size_t)5 * 1024 * 1024)

void
task_log (const struct req *req, const char *what)
{
  const struct standin *standin = req->worker->standin;
  if (standin->log_fd < 0)
    return;
  /* A JSON string is logged without its quotes.  */
  const char *echo = req->echo == NULL ? "-" : req->echo;
  size_t len = strlen (echo);
  size_t quote = len >= 2 && echo[0] == '"' ? 1 : 0;
  char line[512];
  int n = snprintf (line, sizeof line, "%lld %s %s %s %s %.*s\n",
                    (long long)g_get_real_time (), req->worker->address, what,
                    req->id, req->kind, (int)MIN (len - 2 * quote, 100),
                    echo + quote);
  if (write (standin->log_fd, line, (size_t)n) < 0)
    perror ("standin-upstream: log");
}

enum MHD_Result
reply_text (struct MHD_Connection *connection, unsigned status,
            const char *name, const char *value, bool leaving, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  if (name != NULL)
    MHD_add_response_header (response, name, value);
  if (leaving)
    MHD_add_response_header (response, "Worker-Leaving", "1");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static int
socket_of (struct req *req)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info->connect_fd;
}

static void
parse_task_body (struct req *req, int64_t *run_us)
{
  json_t *body = json_loadb (req->body->str, req->body->len, 0, NULL);
  json_t *run_ms = json_object_get (body, "run_ms");
  double ms
      = json_is_number (run_ms) ? json_number_value (run_ms) : DEFAULT_RUN_MS;
  *run_us = (int64_t)(ms * 1000);
  json_t *echo = json_object_get (body, "echo");
  if (echo != NULL)
    {
      char *text = json_dumps (echo, JSON_COMPACT | JSON_ENCODE_ANY);
      req->echo = g_strdup (text);
      free (text);
    }
  json_decref (body);
}

static void
count_start (struct req *req)
{
  struct worker *w = req->worker;
  w->stats.starts++;
  if (!g_hash_table_add (w->started_ids, g_strdup (req->id)))
    w->stats.duplicate_starts++;
  g_hash_table_replace (w->running, req->id, req);
  w->stats.max_running
      = MAX (w->stats.max_running, g_hash_table_size (w->running));
  task_log (req, "start");
}

static void
count_end (struct req *req)
{
  struct worker *w = req->worker;
  w->stats.ends++;
  if (g_hash_table_lookup (w->running, req->id) == req)
    g_hash_table_remove (w->running, req->id);
  task_log (req, req->cancelled ? "cancel" : "end");
}

static enum MHD_Result
refuse (struct req *req)
{
  req->worker->stats.refused++;
  task_log (req, "refuse");
  return reply_text (req->connection, 503, "Task-Not-Started", req->id, false,
                     (char[]){ "{}" });
}

static enum MHD_Result
cut_connection (struct req *req)
{
  task_log (req, "cut");
  return MHD_NO;
}

enum MHD_Result
task_begin (struct req *req)
{
  struct worker *w = req->worker;
  int64_t run_us = 0;
  parse_task_body (req, &run_us);
  req->fault = fault_draw (w);
  if (req->fault == FAULT_REFUSE
      || g_hash_table_size (w->running) >= (unsigned)w->standin->slots)
    return refuse (req);
  if (req->fault == FAULT_CUT_BEFORE)
    return cut_connection (req);
  if (req->fault == FAULT_SLOW)
    run_us = (int64_t)((double)run_us * w->fault.factor);
  if (req->fault == FAULT_STALL)
    run_us = STALL_CHECK_US;
  count_start (req);
  if (req->fault == FAULT_FAIL || req->fault == FAULT_REFUSE_LIE)
    {
      count_end (req);
      return task_answer (req);
    }
  MHD_suspend_connection (req->connection);
  timer_add (req, g_get_monotonic_time () + run_us);
  return MHD_YES;
}

/* A complete HTTP answer with the given Content-Length.  */
static GString *
format_answer (struct req *req, const char *body, size_t content_length)
{
  GString *out = g_string_new ("HTTP/1.1 200 OK\r\n");
  g_string_append_printf (out, "Task-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
                          req->id, content_length, body);
  return out;
}

static void
send_raw (struct req *req, const char *data, size_t len)
{
  ssize_t n = send (socket_of (req), data, len, MSG_NOSIGNAL | MSG_DONTWAIT);
  (void)n;
}

static char *
answer_text (const char *id, const char *echo)
{
  return g_strdup_printf ("{\"task\":\"%s\",\"echo\":%s}", id,
                          echo == NULL ? "null" : echo);
}

void
task_end (struct req *req)
{
  count_end (req);
  if (req->fault == FAULT_DRIBBLE && !req->cancelled)
    {
      g_autofree char *text = answer_text (req->id, req->echo);
      req->dribble_buffer = format_answer (req, text, strlen (text));
      const char *body = strstr (req->dribble_buffer->str, "\r\n\r\n") + 4;
      req->n_sent = (size_t)(body - req->dribble_buffer->str);
      send_raw (req, req->dribble_buffer->str, req->n_sent);
      timer_add (req, g_get_monotonic_time () + DRIBBLE_US);
      return;
    }
  MHD_resume_connection (req->connection);
}

static bool
has_caller_disconnected (struct req *req)
{
  char byte;
  return recv (socket_of (req), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void
task_continue (struct req *req)
{
  if (req->dribble_buffer == NULL && !has_caller_disconnected (req))
    {
      timer_add (req, g_get_monotonic_time () + STALL_CHECK_US);
      return;
    }
  if (req->dribble_buffer == NULL)
    count_end (req);
  else if (req->n_sent < req->dribble_buffer->len
           && !has_caller_disconnected (req))
    {
      send_raw (req, req->dribble_buffer->str + req->n_sent, 1);
      req->n_sent++;
      timer_add (req, g_get_monotonic_time () + DRIBBLE_US);
      return;
    }
  req->close_unanswered = true;
  MHD_resume_connection (req->connection);
}

static enum MHD_Result
answer_oversize (struct req *req)
{
  char *data = g_malloc (OVERSIZE_BYTES);
  memset (data, ' ', OVERSIZE_BYTES);
  struct MHD_Response *response
      = MHD_create_response_from_buffer_with_free_callback (OVERSIZE_BYTES,
                                                            data, g_free);
  MHD_add_response_header (response, "Task-Id", req->id);
  enum MHD_Result result = MHD_queue_response (req->connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

/* Answers with the id and echo of another running task of the worker, if there
   is one.  */
static enum MHD_Result
answer_crossed (struct req *req)
{
  GHashTableIter iter;
  gpointer other = NULL;
  g_hash_table_iter_init (&iter, req->worker->running);
  bool found = g_hash_table_iter_next (&iter, NULL, &other);
  const struct req *other_req = found ? other : NULL;
  const char *id = found ? other_req->id : "no-such-task";
  g_autofree char *text = answer_text (id, found ? other_req->echo : NULL);
  return reply_text (req->connection, 200, "Task-Id", id, false, text);
}

/* The answer of FAULT_SHORT and FAULT_DOUBLE.  The library can't send a body
   that differs from its Content-Length, so the socket is written directly.  */
static enum MHD_Result
answer_wrong_length (struct req *req, const char *text)
{
  bool twice = req->fault == FAULT_DOUBLE;
  GString *out
      = format_answer (req, text, twice ? strlen (text) : strlen (text) + 10);
  if (twice)
    g_string_append (out, text);
  send_raw (req, out->str, out->len);
  g_string_free (out, TRUE);
  return MHD_NO;
}

enum MHD_Result
task_answer (struct req *req)
{
  struct MHD_Connection *c = req->connection;
  if (req->close_unanswered)
    return MHD_NO;
  if (req->cancelled)
    return reply_text (c, 410, "Task-Id", req->id, false,
                       (char[]){ "{\"error\":\"cancelled\"}" });
  g_autofree char *text = answer_text (req->id, req->echo);
  switch (req->fault)
    {
    case FAULT_FAIL:
      return reply_text (c, 500, "Task-Id", req->id, false,
                         (char[]){ "{\"error\":\"failed\"}" });
    case FAULT_REFUSE_LIE:
      return reply_text (c, 503, "Task-Not-Started", req->id, false,
                         (char[]){ "{}" });
    case FAULT_CUT_AFTER:
      return cut_connection (req);
    case FAULT_CROSS:
      return answer_crossed (req);
    case FAULT_SHORT:
    case FAULT_DOUBLE:
      return answer_wrong_length (req, text);
    case FAULT_OVERSIZE:
      return answer_oversize (req);
    default:
      return reply_text (c, 200, "Task-Id", req->id,
                         req->fault == FAULT_LEAVING, text);
    }
}

enum MHD_Result
task_delete (struct req *req, const char *id)
{
  struct req *task = g_hash_table_lookup (req->worker->running, id);
  if (task == NULL)
    return reply_text (req->connection, 404, NULL, NULL, false,
                       (char[]){ "{}" });
  timer_remove (task);
  task->cancelled = true;
  task_end (task);
  return reply_text (req->connection, 200, NULL, NULL, false,
                     (char[]){ "{}" });
}
