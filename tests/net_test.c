/* Tests of lib/net: HTTP server and client and links over loopback.  */
#include "net.h"
#include "test.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT 18761
#define LOOPBACK 0x7f2a0000u /* 127.42.0.0/16 */
#define TURN_US 20000
#define TIMEOUT_US 100000L

struct bench
{
  struct event_base *base;
  struct net_server *server;
  struct net_exchange *waiting; /* a request that is answered later */
  unsigned requests;
  unsigned gone;
  char body[64];
  unsigned responses;
  struct net_response last;
  char last_body[64];
  unsigned frames;
  char frame[64];
  unsigned closed;
  unsigned up;
  unsigned refused;
};

static void
on_request (void *ctx, struct net_exchange *x,
            const struct net_request *request)
{
  struct bench *bench = ctx;
  bench->requests++;
  g_snprintf (bench->body, sizeof bench->body, "%.*s", PL_FMT (request->body));
  if (strcmp (request->method, "GET") == 0)
    net_reply (x, 200, "text/plain", request->target, 0);
  else
    bench->waiting = x;
}

static void
on_gone (void *ctx, struct net_exchange *x)
{
  struct bench *bench = ctx;
  bench->gone++;
  if (bench->waiting == x)
    bench->waiting = NULL;
}

static const struct net_server_ops server_ops
    = { .request = on_request, .gone = on_gone };

/* A port for each test: connections of the last one may linger.  */
static struct pl_addr addr = { LOOPBACK, PORT };

/* Tests of another build may run at the same time.  */
static uint32_t
own_ip (void)
{
  return LOOPBACK + ((uint32_t)getpid () & 0xffff);
}

static void
bench_open (struct bench *bench)
{
  static uint16_t next;
  addr.ip = own_ip ();
  addr.port = (uint16_t)(PORT + 10 + next++);
  struct net_server_config config
      = { .addr = addr, .ops = &server_ops, .ctx = bench, .max_body = 1000 };
  struct pl_err err = { 0 };
  *bench = (struct bench){ .base = event_base_new () };
  bench->server = net_server_new (bench->base, &config, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (bench->server);
}

/* Plays the loop for US microseconds.  */
static void
play (struct bench *bench, long us)
{
  struct timeval tv = { us / 1000000, us % 1000000 };
  event_base_loopexit (bench->base, &tv);
  event_base_dispatch (bench->base);
}

static int
dial (void)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (addr.port),
                             .sin_addr.s_addr = htonl (addr.ip) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  return fd;
}

static void
put (int fd, const char *text)
{
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

/* What has arrived on FD.  */
static char *
got (int fd)
{
  static char text[4096];
  ssize_t n = recv (fd, text, sizeof text - 1, MSG_DONTWAIT);
  text[n < 0 ? 0 : n] = '\0';
  return text;
}

/* Guards against a request in pieces that is lost or handled early.  */
static void
test_requests_may_arrive_in_pieces (void)
{
  struct bench bench;
  bench_open (&bench);
  int fd = dial ();
  put (fd, "POST /a HTTP/1.1\r\nContent-Le");
  play (&bench, TURN_US);
  put (fd, "ngth: 5\r\n\r\nhel");
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.requests, 0);
  put (fd, "lo");
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.requests, 1);
  CU_ASSERT_STRING_EQUAL (bench.body, "hello");
  net_reply (bench.waiting, 503, NULL, pl_str ("no"), 2);
  play (&bench, TURN_US);
  char *text = got (fd);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Retry-After: 2\r\n"));
  close (fd);
}

/* Guards against the second of two requests sent at once that waits for ever
   or overtakes the first.  */
static void
test_requests_on_one_connection_take_turns (void)
{
  struct bench bench;
  bench_open (&bench);
  int fd = dial ();
  put (fd, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
           "GET /second HTTP/1.1\r\n\r\n");
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.requests, 1);
  net_reply (bench.waiting, 200, NULL, pl_str ("first"), 0);
  play (&bench, TURN_US);
  char *text = got (fd);
  char *first = strstr (text, "first");
  CU_ASSERT_PTR_NOT_NULL (first);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "/second"));
  CU_ASSERT_TRUE (first < strstr (text, "/second"));
  close (fd);
}

/* Guards against work for a caller that has left.  */
static void
test_a_caller_that_leaves_is_noticed (void)
{
  struct bench bench;
  bench_open (&bench);
  int fd = dial ();
  put (fd, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  play (&bench, TURN_US);
  CU_ASSERT_PTR_NOT_NULL (bench.waiting);
  close (fd);
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.gone, 1);
  CU_ASSERT_EQUAL (net_server_connections (bench.server), 0);
}

/* Guards against bodies and bytes that are not HTTP.  */
static void
test_bad_requests_are_answered_and_cut (void)
{
  struct bench bench;
  bench_open (&bench);
  int fd = dial ();
  put (fd, "\x16\x03\x01 nonsense\r\n\r\n");
  play (&bench, TURN_US);
  CU_ASSERT_PTR_NOT_NULL (strstr (got (fd), "HTTP/1.1 400 "));
  int large = dial ();
  g_autofree char *body = g_strnfill (2000, 'x');
  put (large, "POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n");
  put (large, body);
  play (&bench, TURN_US);
  CU_ASSERT_PTR_NOT_NULL (strstr (got (large), "HTTP/1.1 413 "));
  CU_ASSERT_EQUAL (bench.requests, 0);
  close (fd);
  close (large);
}

/* Guards against idle connections that hold up a planned stop, and against a
   request that is cut by it.  */
static void
test_draining_closes_idle_connections_only (void)
{
  struct bench bench;
  bench_open (&bench);
  int idle = dial ();
  int busy = dial ();
  put (busy, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  play (&bench, TURN_US);
  net_server_drain (bench.server, true);
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (net_server_connections (bench.server), 1);
  net_reply (bench.waiting, 200, NULL, pl_str ("done"), 0);
  play (&bench, TURN_US);
  CU_ASSERT_PTR_NOT_NULL (strstr (got (busy), "Connection: close"));
  CU_ASSERT_EQUAL (net_server_connections (bench.server), 0);
  close (idle);
  close (busy);
}

static void
on_response (void *arg, const struct net_response *resp)
{
  struct bench *bench = arg;
  bench->responses++;
  bench->last = *resp;
  g_snprintf (bench->last_body, sizeof bench->last_body, "%.*s",
              PL_FMT (resp->body));
}

static void
ask (struct bench *bench, struct net_pool *pool, const char *method)
{
  struct net_send send = { .method = method,
                           .target = "/x",
                           .timeout_us = TIMEOUT_US,
                           .done = on_response,
                           .arg = bench };
  net_pool_send (pool, &send);
}

/* Guards against a connection for each call, and a call that is answered with
   another one's response.  */
static void
test_calls_reuse_their_connection (void)
{
  struct bench bench;
  bench_open (&bench);
  struct net_pool *pool = net_pool_new (bench.base, addr);
  for (unsigned i = 1; i <= 3; i++)
    {
      ask (&bench, pool, "GET");
      play (&bench, TURN_US);
      CU_ASSERT_EQUAL (bench.responses, i);
      CU_ASSERT_EQUAL (bench.last.status, 200);
      CU_ASSERT_STRING_EQUAL (bench.last_body, "/x");
    }
  CU_ASSERT_EQUAL (net_server_connections (bench.server), 1);
  net_pool_free (pool);
}

/* Guards against a call without an answer that counts as not sent, or one that
   was never sent that counts as unknown.  */
static void
test_failures_tell_whether_something_was_sent (void)
{
  struct bench bench;
  bench_open (&bench);
  struct net_pool *pool = net_pool_new (bench.base, addr);
  ask (&bench, pool, "POST");
  play (&bench, TIMEOUT_US + TURN_US);
  CU_ASSERT_EQUAL (bench.responses, 1);
  CU_ASSERT_EQUAL (bench.last.status, 0);
  CU_ASSERT_TRUE (bench.last.sent);
  net_pool_free (pool);
  struct pl_addr nobody = { own_ip (), PORT };
  pool = net_pool_new (bench.base, nobody);
  ask (&bench, pool, "POST");
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.responses, 2);
  CU_ASSERT_FALSE (bench.last.sent);
  net_pool_free (pool);
}

/* Guards against an answer that came in time but is read only after a pause of
   the process, when its time-out is due as well.  */
static void
test_a_pause_does_not_lose_an_answer (void)
{
  struct bench bench;
  bench_open (&bench);
  struct net_pool *pool = net_pool_new (bench.base, addr);
  ask (&bench, pool, "POST");
  play (&bench, TURN_US);
  net_reply (bench.waiting, 200, NULL, pl_str ("late"), 0);
  event_base_loop (bench.base, EVLOOP_NONBLOCK); /* it leaves the server */
  g_usleep (2 * TIMEOUT_US);
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.responses, 1);
  CU_ASSERT_EQUAL (bench.last.status, 200);
  net_pool_free (pool);
}

/* Plays until *COUNT is not 0, for 5 s at most.  */
static void
play_until (struct bench *bench, const unsigned *count)
{
  for (int turns = 0; *count == 0 && turns < 250; turns++)
    play (bench, TURN_US);
}

/* A listening socket without a program behind it.  */
static int
listen_silently (struct pl_addr at)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (at.port),
                             .sin_addr.s_addr = htonl (at.ip) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 8), 0);
  return fd;
}

/* A process that was not scheduled finds its new connection ready and its
   time-out due in the same turn.  Guards against a request that is sent then
   and reported as not sent: a task that is started on the word of that runs
   twice.  */
static void
test_a_request_sent_at_its_timeout_counts_as_sent (void)
{
  struct bench bench = { .base = event_base_new () };
  struct pl_addr at = { own_ip (), PORT + 6 };
  int listener = listen_silently (at);
  struct net_pool *pool = net_pool_new (bench.base, at);
  struct net_send send = { .method = "POST",
                           .target = "/a",
                           .timeout_us = 1000,
                           .done = on_response,
                           .arg = &bench };
  net_pool_send (pool, &send);
  g_usleep (10000);
  play_until (&bench, &bench.responses);
  CU_ASSERT_EQUAL (bench.last.status, 0);
  int fd = accept (listener, NULL, NULL);
  char bytes[64];
  bool arrived = fd >= 0 && read (fd, bytes, sizeof bytes) > 0;
  CU_ASSERT_EQUAL (bench.last.sent, arrived);
  net_pool_free (pool);
  close (fd);
  close (listener);
}

static void
on_frame (void *ctx, struct net_link *link, struct pl_str frame)
{
  struct bench *bench = ctx;
  (void)link;
  bench->frames++;
  g_snprintf (bench->frame, sizeof bench->frame, "%.*s", PL_FMT (frame));
}

static void
on_closed (void *ctx, struct net_link *link)
{
  (void)link;
  ((struct bench *)ctx)->closed++;
}

static void
on_up (void *ctx, struct net_link *link)
{
  (void)link;
  ((struct bench *)ctx)->up++;
}

static void
on_down (void *ctx, struct net_link *link, bool refused)
{
  (void)link;
  ((struct bench *)ctx)->refused += refused;
}

static const struct net_hub_ops hub_ops
    = { .frame = on_frame, .closed = on_closed, .up = on_up, .down = on_down };

/* Guards against frames that are split, joined or lost, and against an ended
   peer that is noticed late.  */
static void
test_links_carry_frames_and_tell_their_end (void)
{
  struct bench bench = { .base = event_base_new () };
  struct pl_err err = { 0 };
  struct pl_addr here = { own_ip (), PORT + 2 };
  struct pl_addr nobody = { own_ip (), PORT + 3 };
  struct net_hub *hub = net_hub_new (bench.base, here, &hub_ops, &bench, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (hub);
  struct net_link *link = net_hub_connect (hub, here);
  struct net_link *dead = net_hub_connect (hub, nobody);
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.up, 1);
  CU_ASSERT_EQUAL (bench.refused, 1);
  net_link_send (link, pl_str ("one"));
  net_link_send (link, pl_str ("two"));
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.frames, 2);
  CU_ASSERT_STRING_EQUAL (bench.frame, "two");
  net_link_close (link);
  play (&bench, TURN_US);
  CU_ASSERT_EQUAL (bench.closed, 1);
  net_link_close (dead);
}

/* Guards against a second connection of a link that is dialled anew: while the
   next attempt is due the link is connected once, and when it is connected it
   stays so.  */
static void
test_a_link_is_dialled_anew (void)
{
  struct bench here = { .base = event_base_new () };
  struct bench there = { .base = here.base };
  struct pl_err err = { 0 };
  struct pl_addr here_addr = { own_ip (), PORT + 4 };
  struct pl_addr there_addr = { own_ip (), PORT + 5 };
  struct net_hub *hub
      = net_hub_new (here.base, here_addr, &hub_ops, &here, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (hub);
  struct net_link *link = net_hub_connect (hub, there_addr);
  play_until (&here, &here.refused);
  CU_ASSERT_PTR_NOT_NULL_FATAL (
      net_hub_new (here.base, there_addr, &hub_ops, &there, &err));
  net_link_redial (link);
  net_link_redial (link);
  play_until (&here, &here.up);
  net_link_redial (link);
  net_link_send (link, pl_str ("one"));
  play_until (&here, &there.frames);
  CU_ASSERT_EQUAL (here.up, 1);
  CU_ASSERT_STRING_EQUAL (there.frame, "one");
  net_link_close (link);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "requests may arrive in pieces", test_requests_may_arrive_in_pieces },
    { "requests on one connection take turns",
      test_requests_on_one_connection_take_turns },
    { "a caller that leaves is noticed",
      test_a_caller_that_leaves_is_noticed },
    { "bad requests are answered and cut",
      test_bad_requests_are_answered_and_cut },
    { "draining closes idle connections only",
      test_draining_closes_idle_connections_only },
    { "calls reuse their connection", test_calls_reuse_their_connection },
    { "failures tell whether something was sent",
      test_failures_tell_whether_something_was_sent },
    { "a pause does not lose an answer",
      test_a_pause_does_not_lose_an_answer },
    { "a request sent at its timeout counts as sent",
      test_a_request_sent_at_its_timeout_counts_as_sent },
    { "links carry frames and tell their end",
      test_links_carry_frames_and_tell_their_end },
    { "a link is dialled anew", test_a_link_is_dialled_anew },
    CU_TEST_INFO_NULL,
  };
  return test_run ("net_test", tests);
}
