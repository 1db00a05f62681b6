/* Tests of lib/http over raw sockets; fake operations stand for the rest of
   the instance.  */
#include "http_fake.h"

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
  struct http *http = start_server ();
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "%s HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON, cases[i].request);
      fake.last_op[0] = '\0';
      g_autofree char *got = exchange (text);
      g_autofree char *status
          = g_strdup_printf ("HTTP/1.1 %s ", cases[i].status);
      CU_ASSERT (contains (got, status));
      CU_ASSERT (contains (got, cases[i].text));
      CU_ASSERT (contains (got, "Idempotency-Prefix: " PREFIX "\r\n"));
      CU_ASSERT (contains (got, "Content-Type: "));
      CU_ASSERT_STRING_EQUAL (fake.last_op, cases[i].op);
    }
  CU_ASSERT_EQUAL (fake.drains, 1);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
test_not_ready (void)
{
  struct http *http = start_server ();
  fake.ready = false;
  g_autofree char *ready
      = exchange ("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (contains (ready, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NULL (strstr (ready, "Idempotency-Prefix"));
  g_autofree char *prefix
      = exchange ("GET /v1/prefix HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT (contains (prefix, "HTTP/1.1 503 "));
  CU_ASSERT (contains (prefix, "NOT_READY"));
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
  struct http *http = start_server ();
  g_autofree char *missing
      = exchange ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" JSON);
  CU_ASSERT (contains (missing, "HTTP/1.1 400 "));
  CU_ASSERT (contains (missing, "KEY_MISSING"));
  g_autofree char *fill = g_strnfill (300, 'k');
  g_autofree char *text = g_strdup_printf (
      "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nIdempotency-Key: %s\r\n" JSON,
      fill);
  g_autofree char *malformed = exchange (text);
  CU_ASSERT (contains (malformed, "KEY_MALFORMED"));
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fake.retry_ms = cases[i].ms;
      g_autofree char *got
          = exchange ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
      CU_ASSERT (contains (got, "HTTP/1.1 503 "));
      CU_ASSERT (contains (got, cases[i].header));
    }
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a body beyond the limit that is kept in memory, or whose key
   does not reach its owner.  */
static void
test_body_limit (void)
{
  struct http *http = start_server ();
  g_autofree char *fits = g_strnfill (1024, 'f');
  g_autofree char *exact
      = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                         "Content-Length: 1024\r\n\r\n%s",
                         fits);
  g_autofree char *got = exchange (exact);
  CU_ASSERT (contains (got, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NULL (strstr (fake.last_op, "null"));
  static const char *const declared[] = { "1025", "99999999999999999999999" };
  for (unsigned i = 0; i < G_N_ELEMENTS (declared); i++)
    {
      g_autofree char *large
          = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                             "Content-Length: %s\r\n\r\n",
                             declared[i]);
      g_autofree char *answer = exchange (large);
      /* libmicrohttpd itself refuses a length that does not fit its type.  */
      CU_ASSERT (contains (answer, i == 0 ? "HTTP/1.1 200 " : "HTTP/1.1 4"));
      CU_ASSERT_STRING_EQUAL (fake.last_op, "POST /v1/jobs " KEY " null");
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
      fake.last_op[0] = '\0';
      g_autofree char *answer = exchange (text->str);
      g_string_free (text, TRUE);
      CU_ASSERT_STRING_EQUAL (fake.last_op, "POST /v1/jobs " KEY " null");
      /* The largest body is not read to its end, and gets no answer.  */
      CU_ASSERT (chunks[i] > 4 || contains (answer, "HTTP/1.1 200 "));
    }
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
test_header_limit (void)
{
  struct http *http = start_server ();
  g_autofree char *fill = g_strnfill (17000, 'h');
  g_autofree char *text = g_strdup_printf (
      "GET /healthz HTTP/1.1\r\nHost: x\r\nA: %s\r\n\r\n", fill);
  g_autofree char *got = exchange (text);
  CU_ASSERT (contains (got, "HTTP/1.1 431 "));
  CU_ASSERT (contains (got, "HEADERS_TOO_LARGE"));
  g_autofree char *less = g_strdup_printf (
      "GET /healthz HTTP/1.1\r\nHost: x\r\nA: %.15000s\r\n\r\n", fill);
  g_autofree char *ok = exchange (less);
  CU_ASSERT (contains (ok, "HTTP/1.1 200 "));
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a connection that stays open because its caller never ends
   the body.  */
static void
test_slow_body (void)
{
  struct http *http = start_server ();
  g_atomic_int_set (&fake.calls, 0);
  int fd = connect_server ();
  send_text (fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                 "Content-Length: 100\r\n\r\n{");
  int64_t begin = g_get_monotonic_time ();
  for (int i = 0; i < 6; i++)
    {
      g_usleep (150000);
      send_text (fd, "x");
    }
  g_autofree char *got = read_answer (fd);
  int64_t took_ms = (g_get_monotonic_time () - begin) / 1000;
  close (fd);
  CU_ASSERT (contains (got, "HTTP/1.1 408 "));
  CU_ASSERT (contains (got, "CALLER_STALLED"));
  CU_ASSERT (contains (got, "Idempotency-Prefix: " PREFIX "\r\n"));
  CU_ASSERT (took_ms >= 950 && took_ms < 1500);
  CU_ASSERT_EQUAL (g_atomic_int_get (&fake.calls), 0);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a connection that stays open because its caller never ends
   the headers.  */
static void
test_slow_headers (void)
{
  struct http *http = start_server ();
  int fd = connect_server ();
  int64_t begin = g_get_monotonic_time ();
  send_text (fd, "GET /healthz HTTP/1.1\r\nA: ");
  for (int i = 0; i < 6; i++)
    {
      g_usleep (150000);
      send_text (fd, "x");
    }
  g_autofree char *got = read_answer (fd);
  int64_t took_ms = (g_get_monotonic_time () - begin) / 1000;
  close (fd);
  CU_ASSERT_STRING_EQUAL (got, "");
  CU_ASSERT (took_ms >= 950 && took_ms < 1500);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

/* Guards against a reply to a connection that its caller has closed.  */
static void
test_vanished_caller (void)
{
  struct http *http = start_server ();
  fake.hold = true;
  for (int i = 0; i < 50; i++)
    {
      int fd = connect_server ();
      send_text (fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
      struct op *op = g_async_queue_pop (fake.held);
      close (fd);
      CU_ASSERT_EQUAL (http_open_requests (http), 1);
      answer_op (op);
      CU_ASSERT (wait_open_requests (http, 0));
    }
  fake.hold = false;
  g_autofree char *got
      = exchange ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  CU_ASSERT (contains (got, "HTTP/1.1 200 "));
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
test_too_many_callers (void)
{
  long before = conf.caller_connections;
  conf.caller_connections = 16;
  struct http *http = start_server ();
  fake.hold = true;
  int fds[16];
  struct op *ops[16];
  for (int i = 0; i < 16; i++)
    {
      fds[i] = connect_server ();
      send_text (fds[i],
                 "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
      ops[i] = g_async_queue_pop (fake.held);
    }
  g_autofree char *got
      = exchange ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  CU_ASSERT (contains (got, "HTTP/1.1 503 "));
  CU_ASSERT (contains (got, "TOO_MANY_CALLERS"));
  for (int i = 0; i < 16; i++)
    answer_op (ops[i]);
  for (int i = 0; i < 16; i++)
    {
      g_autofree char *late = read_answer (fds[i]);
      CU_ASSERT (contains (late, "HTTP/1.1 200 "));
      close (fds[i]);
    }
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
  conf.caller_connections = before;
}

/* Guards against answers that are lost or go to another caller: another thread
   answers many suspended requests, over reused connections.  */
static void
test_many_suspended (void)
{
  enum
  {
    CALLERS = 300,
    ROUNDS = 20
  };
  static int fds[CALLERS];
  struct http *http = start_server ();
  for (int i = 0; i < CALLERS; i++)
    fds[i] = connect_server ();
  unsigned wrong = 0;
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < CALLERS; i++)
        {
          g_autofree char *text
              = g_strdup_printf ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n"
                                 "Idempotency-Key: k-%d-%d.many\r\n" JSON,
                                 round, i);
          send_text (fds[i], text);
        }
      for (int i = 0; i < CALLERS; i++)
        {
          g_autofree char *got = read_answer (fds[i]);
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
answer_later (gpointer op)
{
  g_usleep (100000);
  answer_op (op);
  return NULL;
}

/* Guards against a planned stop that closes a connection before its answer. */
static void
test_free_waits (void)
{
  struct http *http = start_server ();
  fake.hold = true;
  int fd = connect_server ();
  send_text (fd, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  GThread *later
      = g_thread_new ("later", answer_later, g_async_queue_pop (fake.held));
  CU_ASSERT_EQUAL (http_free (http, 2000), 0);
  g_thread_join (later);
  g_autofree char *got = read_answer (fd);
  CU_ASSERT (contains (got, "HTTP/1.1 200 "));
  close (fd);
  CU_ASSERT_EQUAL (connect_server (), -1);
}

static void
test_free_cuts (void)
{
  struct http *http = start_server ();
  fake.hold = true;
  int waiting = connect_server ();
  send_text (waiting, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  struct op *op = g_async_queue_pop (fake.held);
  int reading = connect_server ();
  send_text (reading, "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY
                      "Content-Length: 10\r\n\r\n{");
  CU_ASSERT (wait_open_requests (http, 2));
  CU_ASSERT_EQUAL (http_free (http, 50), 2);
  /* The operation ends after its request was cut.  */
  answer_op (op);
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
  /* A second instance must fail to listen on the same address.  */
  struct http *http = start_server ();
  err.code = PL_OK;
  CU_ASSERT_PTR_NULL (http_new (&conf, &fake.ops, &err));
  CU_ASSERT_EQUAL (err.code, PL_SYSTEM);
  CU_ASSERT_EQUAL (http_free (http, 1000), 0);
}

static void
mutate (GRand *rand, GString *text)
{
  static const char *const parts[] = { "\r\n",
                                       "\r\n\r\n",
                                       ":",
                                       " ",
                                       "\xff",
                                       "%00",
                                       "-1",
                                       "../",
                                       "Content-Length: 9\r\n",
                                       "Transfer-Encoding: chunked\r\n",
                                       "99999999999999999999",
                                       "Expect: 100-continue\r\n" };
  for (int n = g_rand_int_range (rand, 1, 5); n > 0 && text->len > 1; n--)
    {
      gssize at = g_rand_int_range (rand, 0, (gint32)text->len);
      const char *part
          = parts[g_rand_int_range (rand, 0, G_N_ELEMENTS (parts))];
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          text->str[at] = (char)g_rand_int_range (rand, 0, 256);
          break;
        case 1:
          g_string_erase (text, at, 1);
          break;
        case 2:
          g_string_insert (text, at, part);
          break;
        default:
          g_string_truncate (text, (gsize)at);
        }
    }
}

/* Guards against damaged requests that crash the server, leave a connection
   open or make it lose a later request; meant to run under the sanitizers as
   well.  */
static void
test_mutated_requests (void)
{
  struct http *http = start_server ();
  GRand *rand = g_rand_new_with_seed (4711);
  /* All at once, since an incomplete request ends only with its timeout.  */
  int fds[300];
  for (unsigned i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      GString *text = g_string_new (
          "POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
      mutate (rand, text);
      fds[i] = connect_server ();
      CU_ASSERT_FATAL (fds[i] >= 0);
      ssize_t n = send (fds[i], text->str, text->len, MSG_NOSIGNAL);
      (void)n;
      shutdown (fds[i], SHUT_WR);
      g_string_free (text, TRUE);
    }
  for (unsigned i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      g_autofree char *got = read_answer (fds[i]);
      CU_ASSERT (got[0] == '\0' || g_str_has_prefix (got, "HTTP/1."));
      close (fds[i]);
    }
  g_rand_free (rand);
  g_autofree char *after
      = exchange ("POST /v1/jobs HTTP/1.1\r\nHost: x\r\n" WITH_KEY JSON);
  CU_ASSERT (contains (after, "HTTP/1.1 200 "));
  CU_ASSERT_EQUAL (http_free (http, 2000), 0);
}

int
main (void)
{
  fake.ops = (struct http_ops){ .handle_request = fake_request,
                                .get_prefix = fake_prefix,
                                .is_ready = fake_ready,
                                .append_status = fake_status,
                                .drain = fake_drain };
  choose_port ();
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
    { "mutated requests", test_mutated_requests },
    CU_TEST_INFO_NULL,
  };
  return test_run ("http", tests);
}
