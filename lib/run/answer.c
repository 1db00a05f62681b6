/* Sends one task request and classifies its answer or failure.  */
#include "run_priv.h"

#include <string.h>

#define BLOCK_BYTES 8192
/* Longest body of a refusal that is read to keep the connection.  */
#define DISCARD_BYTES ((size_t)64 * 1024)

static ne_request *
build_request (struct run_conn *conn, const struct run_task *task)
{
  ne_request *req = ne_request_create (conn->session, "POST", "/task");
  ne_add_request_header (req, "Task-Id", task->id);
  ne_add_request_header (req, "Task-Kind", task->kind);
  ne_add_request_header (req, "Content-Type", "application/json");
  return req;
}

static bool
header_is (ne_request *req, const char *name, const char *value)
{
  const char *got = ne_get_response_header (req, name);
  return got != NULL && strcmp (got, value) == 0;
}

/* The declared length, or -1 if there is none or the answer is chunked.  */
static int64_t
declared_length (ne_request *req)
{
  const char *text = ne_get_response_header (req, "Content-Length");
  int64_t n = -1;
  if (text == NULL || ne_get_response_header (req, "Transfer-Encoding") != NULL
      || !pl_str_to_int (pl_str (text), 0, INT32_MAX, &n))
    return -1;
  return n;
}

/* Reads a body of LENGTH bytes.  Null if it has another length, more than MAX
   bytes or is cut; WHY says which.  */
static GBytes *
read_body (struct run *run, struct run_conn *conn, ne_request *req,
           int64_t length, size_t max, const char **why)
{
  *why = length < 0 ? "no length" : "oversize";
  if (length < 0 || (uint64_t)length > max)
    return NULL;
  GByteArray *body = g_byte_array_sized_new ((guint)length);
  char block[BLOCK_BYTES];
  ssize_t n = ne_read_response_block (req, block, sizeof block);
  while (n > 0 && !g_atomic_int_get (&conn->cut))
    {
      g_byte_array_append (body, (const guint8 *)block, (guint)n);
      if (conn->task != NULL
          && pl_now_us (run->opts.clock) >= conn->task->deadline_us)
        g_atomic_int_set (&conn->cut, 1);
      n = ne_read_response_block (req, block, sizeof block);
    }
  bool cut = g_atomic_int_get (&conn->cut);
  *why = cut ? "cut at limit" : "short";
  if (n == 0 && !cut && body->len == (uint64_t)length)
    return g_byte_array_free_to_bytes (body);
  g_byte_array_unref (body);
  return NULL;
}

static void
set_status (struct run_result *result, enum run_status status,
            const char *reason)
{
  result->status = status;
  result->reason = reason;
}

static void
reject (struct run_task *task, struct run_result *result, const char *reason)
{
  char text[PL_ADDR_TEXT];
  pl_count (PL_CTR_ANSWERS_REJECTED_TOTAL, 1);
  pl_log (PL_EV_ANSWER_BAD, "task=%s worker=%s reason=\"%s\"", task->id,
          pl_addr_text (task->addr, text), reason);
  set_status (result, RUN_MAYBE, reason);
}

/* Sets RESULT after a request without a status line; CODE is neon's.  */
static void
classify_failure (struct run_conn *conn, int code, struct run_result *result)
{
  if (conn->blocked)
    set_status (result, RUN_NOT_SENT, conn->stop_reason);
  else if (!conn->connected)
    {
      if (conn->stop_reason == NULL)
        conn->stop_reason
            = code == NE_TIMEOUT ? "connect timeout" : "connect refused";
      set_status (result, RUN_NOT_SENT, conn->stop_reason);
      pl_count (PL_CTR_TASK_UNREACHABLE_TOTAL, 1);
    }
  else if (g_atomic_int_get (&conn->cut))
    set_status (result, RUN_MAYBE, conn->limit_reason);
  else if (code == NE_TIMEOUT)
    set_status (result, RUN_MAYBE, "silent");
  else
    set_status (result, RUN_MAYBE, "connection lost");
}

/* Sets RESULT by the answer, whose headers were read.  Returns whether the
   connection can be kept.  */
static bool
classify_answer (struct run *run, struct run_conn *conn, ne_request *req,
                 struct run_result *result)
{
  struct run_task *task = conn->task;
  int status = ne_get_status (req)->code;
  int64_t length = declared_length (req);
  const char *why = NULL;
  result->leaving = header_is (req, "Worker-Leaving", "1");
  if (status == 503 && header_is (req, "Task-Not-Started", task->id))
    {
      set_status (result, RUN_REFUSED, "refused by upstream");
      GBytes *body = read_body (run, conn, req, length, DISCARD_BYTES, &why);
      if (body == NULL)
        return false;
      g_bytes_unref (body);
      return !run_surplus_found (conn, length);
    }
  if (!header_is (req, "Task-Id", task->id))
    {
      reject (task, result, "wrong identity");
      return false;
    }
  result->answer
      = read_body (run, conn, req, length, run->opts.answer_bytes, &why);
  bool complete = result->answer != NULL;
  if (complete && run_surplus_found (conn, length))
    {
      g_bytes_unref (result->answer);
      result->answer = NULL;
      complete = false;
      why = "surplus";
    }
  if (status != 200)
    {
      set_status (result, RUN_FAILED, "failed by upstream");
      if (!complete)
        result->answer = g_bytes_new_static ("", 0);
      return complete;
    }
  if (!complete)
    reject (task, result, why);
  else
    set_status (result, RUN_OK, "ok");
  return complete;
}

static void
count_result (const struct run_result *result)
{
  if (result->status == RUN_NOT_SENT)
    return;
  pl_count (PL_CTR_TASK_STARTS_TOTAL, 1);
  if (result->status == RUN_REFUSED)
    pl_count (PL_CTR_TASK_REFUSED_TOTAL, 1);
  else if (result->status == RUN_FAILED)
    pl_count (PL_CTR_TASK_FAILED_TOTAL, 1);
  else if (result->status == RUN_MAYBE)
    pl_count (PL_CTR_TASK_MAYBE_TOTAL, 1);
}

/* Sets the limit for the body.  It is counted from the headers, so that a task
   that runs for almost the silence time can still send its answer, and an
   upstream that sends a few bytes at a time is cut, too.  */
static void
limit_body (struct run *run, struct run_conn *conn)
{
  int64_t limit
      = pl_now_us (run->opts.clock) + (int64_t)run->opts.silence_ms * 1000;
  bool by_deadline = conn->task->deadline_us < limit;
  run_pool_set_limit (run->pool, conn,
                      by_deadline ? conn->task->deadline_us : limit,
                      by_deadline ? "deadline" : "silent");
}

void
run_exchange (struct run *run, struct run_conn *conn, struct run_task *task,
              struct run_result *result)
{
  ne_request *req = build_request (conn, task);
  int code = run_conn_send (run, conn, task, req);
  bool keep = false;
  if (code != NE_OK)
    classify_failure (conn, code, result);
  else
    {
      limit_body (run, conn);
      /* An undetected surplus would be taken for the start of the next
         answer.  */
      keep = classify_answer (run, conn, req, result)
             && run_surplus_detectable (conn);
      /* Prepares the session for the next request.  */
      if (keep && ne_end_request (req) != NE_OK)
        keep = false;
    }
  if (conn->start_us != 0)
    result->run_us = pl_now_us (run->opts.clock) - conn->start_us;
  count_result (result);
  run_conn_finish (conn, keep);
  ne_request_destroy (req);
}
