/* Tests of lib/http with a fake operation behind it.  */
#include "http.h"
#include "test.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PREFIX "dom.0000000000000001.0.1"
#define KEY PREFIX ".x"
#define JSON "Content-Length: 2\r\n\r\n{}"
#define WITH_KEY "Idempotency-Key: " KEY "\r\n"

/* Stand in until lib/job has them.  */
__attribute__ ((weak)) struct job_reply *
job_reply_wrap (enum pl_code code, int64_t retry_after_ms, GBytes *body)
{
  struct job_reply *reply = g_new0 (struct job_reply, 1);
  g_atomic_ref_count_init (&reply->refs);
  reply->code = code;
  reply->retry_after_ms = retry_after_ms;
  reply->body = body;
  return reply;
}

__attribute__ ((weak)) struct job_reply *
job_reply_error (struct pl_str key, enum pl_code code, int64_t retry_after_ms,
                 const char *detail, const enum job_task_state *states,
                 unsigned n)
{
  (void)key;
  (void)detail;
  (void)states;
  (void)n;
  char *text
      = g_strdup_printf ("{\"name\":\"%s\"}", pl_code_info (code)->name);
  return job_reply_wrap (code, retry_after_ms,
                         g_bytes_new_take (text, strlen (text)));
}

__attribute__ ((weak)) struct job_reply *
job_reply_ref (struct job_reply *reply)
{
  g_atomic_ref_count_inc (&reply->refs);
  return reply;
}

__attribute__ ((weak)) void
job_reply_unref (struct job_reply *reply)
{
  if (!g_atomic_ref_count_dec (&reply->refs))
    return;
  g_bytes_unref (reply->body);
  g_free (reply);
}

/* One operation that waits for its answer.  */
struct op
{
  job_done_fn *done;
  void *user;
  char *key;
};

static struct
{
  struct http_ops ops;
  bool ready;
  bool hold; /* operations wait in HELD until the test takes them */
  int64_t retry_ms;
  int drains;
  gint calls;
  char last[512]; /* "METHOD path key body" */
  GAsyncQueue *held;
  GAsyncQueue *async;
} fake;

static void
finish (struct op *op)
{
  char *text = g_strdup_printf ("{\"key\":\"%s\"}", op->key);
  struct job_reply *reply
      = job_reply_wrap (fake.retry_ms > 0 ? PL_OVERLOADED : PL_OK,
                        fake.retry_ms, g_bytes_new_take (text, strlen (text)));
  op->done (reply, op->user);
  job_reply_unref (reply);
  g_free (op->key);
  g_free (op);
}

static gpointer
answer_loop (gpointer user)
{
  (void)user;
  for (;;)
    finish (g_async_queue_pop (fake.async));
  return NULL;
}

static void
fake_request (struct http_ops *ops, const char *method, struct pl_str path,
              struct pl_str key, const struct pl_str *body, job_done_fn *done,
              void *user)
{
  (void)ops;
  struct op *op = g_new0 (struct op, 1);
  *op = (struct op){ .done = done,
                     .user = user,
                     .key = g_strndup (key.data, key.len) };
  g_atomic_int_inc (&fake.calls);
  bool sync = g_str_has_suffix (op->key, ".sync");
  if (!g_str_has_suffix (op->key, ".many"))
    g_snprintf (fake.last, sizeof fake.last, "%s %.*s %s %.*s", method,
                PL_FMT (path), op->key, body == NULL ? 4 : (int)body->len,
                body == NULL ? "null" : body->data);
  if (sync)
    finish (op);
  else
    g_async_queue_push (fake.hold ? fake.held : fake.async, op);
}

static bool
fake_prefix (struct http_ops *ops, char buf[CLAIM_PREFIX_TEXT])
{
  (void)ops;
  g_strlcpy (buf, PREFIX, CLAIM_PREFIX_TEXT);
  return fake.ready;
}

static bool
fake_ready (struct http_ops *ops)
{
  (void)ops;
  return fake.ready;
}

static void
fake_status (struct http_ops *ops, GString *out)
{
  (void)ops;
  g_string_append (out, "{\"state\":1}");
}

static void
fake_drain (struct http_ops *ops)
{
  (void)ops;
  fake.drains++;
}

static struct conf conf = { .listen = "127.30.1.1:18080",
                            .http_threads = 4,
                            .caller_connections = 512,
                            .caller_idle_s = 1,
                            .body_bytes = 1024 };

static struct http *
start (void)
{
  struct pl_err err = { 0 };
  fake.ready = true;
  fake.hold = false;
  fake.retry_ms = 0;
  struct http *http = http_new (&conf, &fake.ops, &err);
  if (http == NULL)
    fprintf (stderr, "%s\n", err.text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http);
  return http;
}

static int
dial (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (18080),
                             .sin_addr.s_addr = inet_addr ("127.30.1.1") };
  struct timeval limit = { .tv_sec = 4 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&sin, sizeof sin) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
put (int fd, const char *text)
{
  ssize_t n = send (fd, text, strlen (text), MSG_NOSIGNAL);
  (void)n;
}

/* Reads one whole answer, or what comes before the end.  */
static char *
take (int fd)
{
  GString *in = g_string_new (NULL);
  char block[4096];
  for (;;)
    {
      const char *body = strstr (in->str, "\r\n\r\n");
      const char *length = strstr (in->str, "Content-Length: ");
      if (body != NULL && length != NULL
          && in->len - (size_t)(body + 4 - in->str)
                 >= strtoul (length + 16, NULL, 10))
        break;
      ssize_t n = recv (fd, block, sizeof block, 0);
      if (n <= 0)
        break;
      g_string_append_len (in, block, n);
    }
  return g_string_free (in, FALSE);
}

static char *
call (const char *text)
{
  int fd = dial ();
  put (fd, text);
  char *got = take (fd);
  close (fd);
  return got;
}

static bool
has (const char *text, const char *part)
{
  bool found = strstr (text, part) != NULL;
  if (!found)
    fprintf (stderr, "no '%s' in '%s'\n", part, text);
  return found;
}

static void
test_paths (void)
{
  static const struct
  {
    const char *request, *status, *text, *op;
  } cases[] = {
    { "GET /v1/prefix", "200", "{\"prefix\":\"" PREFIX "\"}", "" },
    { "GET /healthz", "200", "ok", "" },
    { "GET /readyz", "200", "ready", "" },
    { "GET /metrics", "200", "task_starts_total", "" },
    { "GET /v1/status", "200", "{\"state\":1}", "" },
    { "POST /v1/drain", "200", "draining", "" },
    { "GET /v1/drain", "405", "BAD_METHOD", "" },
    { "POST /healthz", "405", "BAD_METHOD", "" },
    { "GET /nothing", "404", "NOT_FOUND", "" },
    { "GET /v1/jobs/", "404", "NOT_FOUND", "" },
    { "POST /v1/services/a", "404", "NOT_FOUND", "" },
    { "POST /v1/services/a/", "404", "NOT_FOUND", "" },
    { "POST /v1/services/a/b/c", "404", "NOT_FOUND", "" },
    { "PUT /v1/jobs", "405", "BAD_METHOD", "" },
    { "PUT /v1/jobs/" KEY, "405", "BAD_METHOD", "" },
    { "GET /v1/services/a/b", "405", "BAD_METHOD", "" },
    { "POST /v1/jobs", "200", "{\"key\":\"" KEY "\"}",
      "POST /v1/jobs " KEY " {}" },
    { "POST /v1/services/a/b", "200", "{\"key\":\"" KEY "\"}",
      "POST /v1/services/a/b " KEY " {}" },
    { "GET /v1/jobs/other.key", "200", "{\"key\":\"other.key\"}",
      "GET /v1/jobs/other.key other.key {}" },
    { "DELETE /v1/jobs/k.sync", "200", "{\"key\":\"k.sync\"}",
      "DELETE /v1/jobs/k.sync k.sync {}" },
  };
  struct http *http = start ();
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "%s HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON, cases[i].request);
      fake.last[0] = '\0';
      g_autofree char *got = call (text);
      g_autofree char *status
          = g_strdup_printf ("HTTP/1.1 %s ", cases[i].status);
      CU_ASSERT (has (got, status));
      CU_ASSERT (has (got, cases[i].text));
      CU_ASSERT (has (got, "Idempotency-Prefix: " PREFIX "\r\n"));
      CU_ASSERT (has (got, "Content-Type: "));
      CU_ASSERT_STRING_EQUAL (fake.last, cases[i].op);
    }
  CU_ASSERT_EQUAL (fake.drains, 1);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
test_not_ready (void)
{
  struct http *http = start ();
  fake.ready = false;
  g_autofree char *ready = call ("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (has (ready, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NULL (strstr (ready, "Idempotency-Prefix"));
  g_autofree char *prefix
      = call ("GET /v1/prefix HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (has (prefix, "HTTP/1.1 503 "));
  CU_ASSERT (has (prefix, "NOT_READY"));
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
test_key_and_retry_after (void)
{
  static const struct
  {
    int64_t ms;
    const char *header;
  } cases[] = { { 1, "Retry-After: 1\r\n" },
                { 1000, "Retry-After: 1\r\n" },
                { 1001, "Retry-After: 2\r\n" } };
  struct http *http = start ();
  g_autofree char *missing
      = call ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" JSON);
  CU_ASSERT (has (missing, "HTTP/1.1 400 "));
  CU_ASSERT (has (missing, "KEY_MISSING"));
  g_autofree char *fill = g_strnfill (300, 'k');
  g_autofree char *text = g_strdup_printf (
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\n" JSON,
      fill);
  g_autofree char *malformed = call (text);
  CU_ASSERT (has (malformed, "KEY_MALFORMED"));
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fake.retry_ms = cases[i].ms;
      g_autofree char *got
          = call ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
      CU_ASSERT (has (got, "HTTP/1.1 503 "));
      CU_ASSERT (has (got, cases[i].header));
    }
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a body beyond the limit that is kept, or that hides the key
   from its owner.  */
static void
test_body_limit (void)
{
  struct http *http = start ();
  g_autofree char *fits = g_strnfill (1024, 'f');
  g_autofree char *exact
      = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                         "Content-Length: 1024\r\n\r\n%s",
                         fits);
  g_autofree char *got = call (exact);
  CU_ASSERT (has (got, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NULL (strstr (fake.last, "null"));
  static const char *const declared[] = { "1025", "99999999999999999999999" };
  for (unsigned i = 0; i < G_N_ELEMENTS (declared); i++)
    {
      g_autofree char *large
          = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                             "Content-Length: %s\r\n\r\n",
                             declared[i]);
      g_autofree char *answer = call (large);
      /* A length that fits no number is refused by the library itself.  */
      CU_ASSERT (has (answer, i == 0 ? "HTTP/1.1 200 " : "HTTP/1.1 4"));
      CU_ASSERT_STRING_EQUAL (fake.last, "POST /v1/jobs " KEY " null");
    }
  static const int chunks[] = { 2, 3, 20 };
  for (unsigned i = 0; i < G_N_ELEMENTS (chunks); i++)
    {
      GString *text
          = g_string_new ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                          "Transfer-Encoding: chunked\r\n\r\n");
      for (int c = 0; c < chunks[i]; c++)
        g_string_append_printf (text, "400\r\n%s\r\n", fits);
      g_string_append (text, "0\r\n\r\n");
      fake.last[0] = '\0';
      g_autofree char *answer = call (text->str);
      g_string_free (text, TRUE);
      CU_ASSERT_STRING_EQUAL (fake.last, "POST /v1/jobs " KEY " null");
      /* The largest is not read to its end.  */
      CU_ASSERT (chunks[i] > 4 || has (answer, "HTTP/1.1 200 "));
    }
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
test_header_limit (void)
{
  struct http *http = start ();
  g_autofree char *fill = g_strnfill (17000, 'h');
  g_autofree char *text = g_strdup_printf (
      "GET /healthz HTTP/1.1\r\nHost: x\r\nA: %s\r\n\r\n", fill);
  g_autofree char *got = call (text);
  CU_ASSERT (has (got, "HTTP/1.1 431 "));
  CU_ASSERT (has (got, "HEADERS_TOO_LARGE"));
  g_autofree char *less = g_strdup_printf (
      "GET /healthz HTTP/1.1\r\nHost: x\r\nA: %.15000s\r\n\r\n", fill);
  g_autofree char *ok = call (less);
  CU_ASSERT (has (ok, "HTTP/1.1 200 "));
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a connection held by a caller whose body never ends.  */
static void
test_slow_body (void)
{
  struct http *http = start ();
  g_atomic_int_set (&fake.calls, 0);
  int fd = dial ();
  put (fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
           "Content-Length: 100\r\n\r\n{");
  int64_t begin = g_get_monotonic_time ();
  for (int i = 0; i < 6; i++)
    {
      g_usleep (150000);
      put (fd, "x");
    }
  g_autofree char *got = take (fd);
  int64_t took_ms = (g_get_monotonic_time () - begin) / 1000;
  close (fd);
  CU_ASSERT (has (got, "HTTP/1.1 408 "));
  CU_ASSERT (has (got, "CALLER_STALLED"));
  CU_ASSERT (has (got, "Idempotency-Prefix: " PREFIX "\r\n"));
  CU_ASSERT (took_ms >= 950 && took_ms < 1500);
  CU_ASSERT_EQUAL (g_atomic_int_get (&fake.calls), 0);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a connection held by a caller that never ends its headers. */
static void
test_slow_headers (void)
{
  struct http *http = start ();
  int fd = dial ();
  int64_t begin = g_get_monotonic_time ();
  put (fd, "GET /healthz HTTP/1.1\r\nA: ");
  for (int i = 0; i < 6; i++)
    {
      g_usleep (150000);
      put (fd, "x");
    }
  g_autofree char *got = take (fd);
  int64_t took_ms = (g_get_monotonic_time () - begin) / 1000;
  close (fd);
  CU_ASSERT_STRING_EQUAL (got, "");
  CU_ASSERT (took_ms >= 950 && took_ms < 1500);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a reply for a connection that is gone.  */
static void
test_vanished_caller (void)
{
  struct http *http = start ();
  fake.hold = true;
  for (int i = 0; i < 50; i++)
    {
      int fd = dial ();
      put (fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
      struct op *op = g_async_queue_pop (fake.held);
      close (fd);
      CU_ASSERT_EQUAL (http_open_requests (http), 1);
      finish (op);
      while (http_open_requests (http) > 0)
        g_usleep (500);
    }
  fake.hold = false;
  g_autofree char *got
      = call ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  CU_ASSERT (has (got, "HTTP/1.1 200 "));
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
test_too_many_callers (void)
{
  long before = conf.caller_connections;
  conf.caller_connections = 16;
  struct http *http = start ();
  fake.hold = true;
  int fds[16];
  struct op *ops[16];
  for (int i = 0; i < 16; i++)
    {
      fds[i] = dial ();
      put (fds[i], "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
      ops[i] = g_async_queue_pop (fake.held);
    }
  g_autofree char *got
      = call ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  CU_ASSERT (has (got, "HTTP/1.1 503 "));
  CU_ASSERT (has (got, "TOO_MANY_CALLERS"));
  for (int i = 0; i < 16; i++)
    finish (ops[i]);
  for (int i = 0; i < 16; i++)
    {
      g_autofree char *late = take (fds[i]);
      CU_ASSERT (has (late, "HTTP/1.1 200 "));
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
  conf.caller_connections = before;
}

/* Guards against crossed or lost answers of suspended connections: all are
   answered from another thread, over reused connections.  */
static void
test_many_suspended (void)
{
  enum
  {
    CALLERS = 300,
    ROUNDS = 20
  };
  static int fds[CALLERS];
  struct http *http = start ();
  for (int i = 0; i < CALLERS; i++)
    fds[i] = dial ();
  unsigned wrong = 0;
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < CALLERS; i++)
        {
          g_autofree char *text
              = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                                 "Idempotency-Key: k-%d-%d.many\r\n" JSON,
                                 round, i);
          put (fds[i], text);
        }
      for (int i = 0; i < CALLERS; i++)
        {
          g_autofree char *got = take (fds[i]);
          g_autofree char *want
              = g_strdup_printf ("{\"key\":\"k-%d-%d.many\"}", round, i);
          wrong += g_str_has_suffix (got, want) ? 0 : 1;
        }
    }
  for (int i = 0; i < CALLERS; i++)
    close (fds[i]);
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static gpointer
finish_later (gpointer op)
{
  g_usleep (100000);
  finish (op);
  return NULL;
}

/* Guards against a planned stop that interrupts a request.  */
static void
test_free_waits (void)
{
  struct http *http = start ();
  fake.hold = true;
  int fd = dial ();
  put (fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  GThread *later
      = g_thread_new ("later", finish_later, g_async_queue_pop (fake.held));
  CU_ASSERT_EQUAL (http_free (http, 2000), 0);
  g_thread_join (later);
  g_autofree char *got = take (fd);
  CU_ASSERT (has (got, "HTTP/1.1 200 "));
  close (fd);
  CU_ASSERT_EQUAL (dial (), -1);
}

static void
test_free_cuts (void)
{
  struct http *http = start ();
  fake.hold = true;
  int waiting = dial ();
  put (waiting, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  struct op *op = g_async_queue_pop (fake.held);
  int reading = dial ();
  put (reading, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                "Content-Length: 10\r\n\r\n{");
  while (http_open_requests (http) < 2)
    g_usleep (500);
  CU_ASSERT_EQUAL (http_free (http, 50), 2);
  /* The answer comes when nobody waits for it.  */
  finish (op);
  close (waiting);
  close (reading);
}

static void
test_bad_listen (void)
{
  struct conf bad = conf;
  struct pl_err err = { 0 };
  bad.listen = "nowhere";
  CU_ASSERT_PTR_NULL (http_new (&bad, &fake.ops, &err));
  CU_ASSERT_EQUAL (err.code, PL_SETTING_INVALID);
  bad.listen = "192.0.2.1:80";
  CU_ASSERT_PTR_NULL (http_new (&bad, &fake.ops, &err));
  CU_ASSERT_EQUAL (err.code, PL_SYSTEM);
}

int
main (void)
{
  fake.ops = (struct http_ops){ .request = fake_request,
                                .prefix = fake_prefix,
                                .ready = fake_ready,
                                .status = fake_status,
                                .drain = fake_drain };
  fake.held = g_async_queue_new ();
  fake.async = g_async_queue_new ();
  g_thread_unref (g_thread_new ("answer", answer_loop, NULL));
  static CU_TestInfo tests[] = {
    { "paths", test_paths },
    { "not ready", test_not_ready },
    { "key and retry-after", test_key_and_retry_after },
    { "body limit", test_body_limit },
    { "header limit", test_header_limit },
    { "slow body", test_slow_body },
    { "slow headers", test_slow_headers },
    { "vanished caller", test_vanished_caller },
    { "too many callers", test_too_many_callers },
    { "many suspended", test_many_suspended },
    { "free waits", test_free_waits },
    { "free cuts", test_free_cuts },
    { "bad listen", test_bad_listen },
    CU_TEST_INFO_NULL,
  };
  return test_run ("http", tests);
}
