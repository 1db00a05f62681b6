/* Fake operations behind lib/http, and a client on raw sockets, for
   http_test.c.  */
#pragma once

#include "http.h"
#include "test.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PREFIX "dom.0000000000000001.0.1"
#define KEY PREFIX ".x"
#define JSON "Content-Length: 2\r\n\r\n{}"
#define WITH_KEY "Idempotency-Key: " KEY "\r\n"

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
  /* Set by the test while the server runs.  */
  _Atomic bool ready;
  _Atomic bool hold; /* put operations in HELD, for the test to end */
  _Atomic int64_t retry_ms;
  _Atomic int drains;
  gint calls;
  char last_op[512]; /* of the last operation: "METHOD path key body" */
  GAsyncQueue *held;
  GAsyncQueue *async; /* operations that answer_loop ends */
} fake;

static void
answer_op (struct op *op)
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
    answer_op (g_async_queue_pop (fake.async));
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
    g_snprintf (fake.last_op, sizeof fake.last_op, "%s %.*s %s %.*s", method,
                PL_FMT (path), op->key, body == NULL ? 4 : (int)body->len,
                body == NULL ? "null" : body->data);
  if (sync)
    answer_op (op);
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

static char listen_text[PL_ADDR_TEXT];
static uint16_t server_port;

static struct conf conf = { .listen = listen_text,
                            .http_threads = 4,
                            .caller_connections = 512,
                            .caller_idle_s = 1,
                            .body_bytes = 1024 };

/* Lets the kernel choose a free port, so that tests can run in parallel.  */
static void
choose_port (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr.s_addr = inet_addr ("127.30.1.1") };
  socklen_t len = sizeof sin;
  if (bind (fd, (struct sockaddr *)&sin, len) != 0
      || getsockname (fd, (struct sockaddr *)&sin, &len) != 0)
    abort ();
  close (fd);
  server_port = ntohs (sin.sin_port);
  g_snprintf (listen_text, sizeof listen_text, "127.30.1.1:%u", server_port);
}

static struct http *
start_server (void)
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
connect_server (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (server_port),
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
send_text (int fd, const char *text)
{
  ssize_t n = send (fd, text, strlen (text), MSG_NOSIGNAL);
  (void)n;
}

/* Reads one whole answer, or what arrives before the end or the timeout.  */
static char *
read_answer (int fd)
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

/* Waits until N requests are open; false after 5 s.  */
static bool
wait_open_requests (struct http *http, unsigned n)
{
  for (int i = 0; i < 10000 && http_open_requests (http) != n; i++)
    g_usleep (500);
  return http_open_requests (http) == n;
}

static char *
exchange (const char *text)
{
  int fd = connect_server ();
  send_text (fd, text);
  char *got = read_answer (fd);
  close (fd);
  return got;
}

static bool
contains (const char *text, const char *part)
{
  bool found = strstr (text, part) != NULL;
  if (!found)
    fprintf (stderr, "no '%s' in '%s'\n", part, text);
  return found;
}
