/* HTTP server of the stand-in, with a thread per connection: receives
   requests, applies faults and serves calls.  */
#include "internal.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#define MAX_BODY_BYTES 4194304U
#define EXPIRY_CHECK_US 100000 /* between checks for expired leases */

/* A request whose body is being received.  */
struct request
{
  GString *body;
};

static enum call_kind
classify_path (const char *path)
{
  if (strcmp (path, "/v3/kv/range") == 0)
    return KIND_RANGE;
  if (strcmp (path, "/v3/kv/txn") == 0)
    return KIND_TXN;
  if (strcmp (path, "/v3/watch") == 0)
    return KIND_WATCH;
  if (g_str_has_prefix (path, "/v3/lease/"))
    return KIND_LEASE;
  return KIND_OTHER;
}

static enum MHD_Result
reply_text (struct MHD_Connection *connection, int status, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result result
      = MHD_queue_response (connection, (unsigned)status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
reply (struct MHD_Connection *connection, int status, json_t *answer)
{
  char *text = json_dumps (answer, JSON_COMPACT);
  json_decref (answer);
  enum MHD_Result result = reply_text (connection, status, text);
  g_free (text);
  return result;
}

static enum MHD_Result
set_fault (struct standin *standin, struct MHD_Connection *connection,
           const json_t *body)
{
  const char *mode = json_string_value (json_object_get (body, "mode"));
  if (mode == NULL
      || !standin_set_fault (standin, mode, (int)api_int (body, "ms"),
                             (int)api_int (body, "count")))
    return reply_text (connection, 400, "{\"error\":\"unknown fault\"}");
  return reply_text (connection, 200, "{}");
}

/* Successive answers are truncated JSON, a key that was not asked for, and a
   revision that is not a number.  */
static enum MHD_Result
reply_garbage (struct MHD_Connection *connection, int64_t call_number)
{
  static const char *const answers[]
      = { "{\"header\":{\"revision\":\"7\"},\"kvs\":[{\"key\":\"!!\"",
          "{\"header\":{\"revision\":\"7\"},\"kvs\":[{\"key\":\"eA==\","
          "\"mod_revision\":\"3\",\"value\":\"OTk=\"}],\"count\":\"1\"}",
          "{\"header\":{\"revision\":\"-\"},\"succeeded\":1}" };
  return reply_text (connection, 200, answers[call_number % 3]);
}

/* Logs a call; done=1 says that a transaction's conditions held.  */
static void
log_call (struct standin *standin, const char *path, enum fault fault,
          const json_t *answer)
{
  if (standin->log == NULL)
    return;
  const json_t *done = json_object_get (answer, "succeeded");
  fprintf (standin->log, "us=%lld path=%s revision=%lld fault=%d done=%d\n",
           (long long)pl_now_us (pl_clock_real ()), path,
           (long long)standin->store.revision, (int)fault, done != NULL);
  fflush (standin->log);
}

static enum MHD_Result
serve_call (struct standin *standin, struct MHD_Connection *connection,
            const char *path, const json_t *body, enum fault fault)
{
  int status;
  g_mutex_lock (&standin->lock);
  int64_t call_number = standin->calls[classify_path (path)];
  int64_t now = pl_now_us (pl_clock_real ());
  store_expire (&standin->store, now);
  json_t *answer = api_call (
      &standin->store, path, body,
      fault == FAULT_STALE ? standin->stale_revision : 0, now, &status);
  log_call (standin, path, fault, answer);
  g_cond_broadcast (&standin->cond);
  g_mutex_unlock (&standin->lock);
  if (fault == FAULT_LOSE_ANSWER)
    {
      json_decref (answer);
      return MHD_NO;
    }
  if (answer == NULL)
    return reply_text (connection, status,
                       "{\"error\":\"invalid request\",\"code\":3}");
  if (fault != FAULT_GARBAGE)
    return reply (connection, 200, answer);
  json_decref (answer);
  return reply_garbage (connection, call_number);
}

static enum MHD_Result
serve_store (struct standin *standin, struct MHD_Connection *connection,
             const char *path, const json_t *body)
{
  enum call_kind call_kind = classify_path (path);
  g_mutex_lock (&standin->lock);
  standin->calls[call_kind]++;
  enum fault fault = take_fault (standin, call_kind);
  int ms = standin->fault_ms;
  g_mutex_unlock (&standin->lock);
  if (fault == FAULT_DOWN)
    return MHD_NO;
  if (fault == FAULT_SLOW)
    g_usleep ((gulong)ms * 1000);
  if (body == NULL)
    return reply_text (connection, 400, "{\"error\":\"not JSON\",\"code\":3}");
  if (call_kind == KIND_WATCH)
    return watch_start (standin, connection, body, fault);
  return serve_call (standin, connection, path, body, fault);
}

static enum MHD_Result
serve (struct standin *standin, struct MHD_Connection *connection,
       const char *method, const char *path, const GString *text)
{
  json_t *body = json_loadb (text->str, text->len, 0, NULL);
  enum MHD_Result result;
  if (strcmp (path, "/standin/stats") == 0)
    {
      g_mutex_lock (&standin->lock);
      json_t *stats = stats_json (standin);
      g_mutex_unlock (&standin->lock);
      result = reply (connection, 200, stats);
    }
  else if (strcmp (method, "POST") != 0)
    result = reply_text (connection, 405, "{\"error\":\"POST only\"}");
  else if (strcmp (path, "/standin/fault") == 0)
    result = set_fault (standin, connection, body);
  else
    result = serve_store (standin, connection, path, body);
  json_decref (body);
  return result;
}

static enum MHD_Result
handle (void *user, struct MHD_Connection *connection, const char *path,
        const char *method, const char *version, const char *data,
        size_t *size, void **state)
{
  (void)version;
  struct request *request = *state;
  if (request == NULL)
    {
      request = g_new0 (struct request, 1);
      request->body = g_string_new (NULL);
      *state = request;
      return MHD_YES;
    }
  if (*size == 0)
    return serve (user, connection, method, path, request->body);
  if (request->body->len + *size > MAX_BODY_BYTES)
    return MHD_NO;
  g_string_append_len (request->body, data, (gssize)*size);
  *size = 0;
  return MHD_YES;
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)user;
  (void)connection;
  (void)code;
  struct request *request = *state;
  if (request == NULL)
    return;
  g_string_free (request->body, TRUE);
  g_free (request);
  *state = NULL;
}

static void *
run_expiry (void *user)
{
  struct standin *standin = user;
  g_mutex_lock (&standin->lock);
  while (!standin->stop)
    {
      int64_t now = pl_now_us (pl_clock_real ());
      int64_t old_revision = standin->store.revision;
      store_expire (&standin->store, now);
      if (standin->store.revision != old_revision)
        g_cond_broadcast (&standin->cond);
      g_cond_wait_until (&standin->cond, &standin->lock,
                         now + EXPIRY_CHECK_US);
    }
  g_mutex_unlock (&standin->lock);
  return NULL;
}

static void
standin_clear (struct standin *standin)
{
  if (standin->log != NULL)
    fclose (standin->log);
  store_clear (&standin->store);
  g_mutex_clear (&standin->lock);
  g_cond_clear (&standin->cond);
  g_free (standin);
}

struct standin *
standin_new (struct pl_addr addr, const char *log_path, struct pl_err *err)
{
  struct standin *standin = g_new0 (struct standin, 1);
  g_mutex_init (&standin->lock);
  g_cond_init (&standin->cond);
  store_init (&standin->store);
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons (addr.port),
                            .sin_addr.s_addr = htonl (addr.ip) };
  if (log_path != NULL)
    standin->log = fopen (log_path, "ae");
  if (log_path == NULL || standin->log != NULL)
    standin->daemon = MHD_start_daemon (
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION
            | MHD_USE_POLL,
        0, NULL, NULL, handle, standin, MHD_OPTION_SOCK_ADDR, &in,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
  if (standin->daemon == NULL)
    {
      pl_fail (err, PL_SYSTEM, "can't listen or open the log file");
      standin_clear (standin);
      return NULL;
    }
  standin->expiry = g_thread_new ("expiry", run_expiry, standin);
  return standin;
}

uint16_t
standin_port (const struct standin *standin)
{
  return MHD_get_daemon_info (standin->daemon, MHD_DAEMON_INFO_BIND_PORT)
      ->port;
}

void
standin_free (struct standin *standin)
{
  g_mutex_lock (&standin->lock);
  standin->stop = true;
  g_cond_broadcast (&standin->cond);
  g_mutex_unlock (&standin->lock);
  g_thread_join (standin->expiry);
  MHD_stop_daemon (standin->daemon);
  standin_clear (standin);
}
