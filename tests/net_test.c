/* Tests of lib/net: HTTP server, HTTP client and framed links, over
   loopback.  */
#include "net_priv.h"
#include "test.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT 18761
#define LOOPBACK 0x7f2a0000u /* 127.42.0.0/16 */
#define LOOP_US 20000
#define TIMEOUT_US 100000L
/* More than the server reads ahead, and less than socket buffers take.  */
#define UNREAD_BYTES 150000

struct fixture
{
  struct event_base *base;
  struct net_server *server;
  struct net_exchange *pending; /* the latest request without a reply */
  unsigned requests;
  unsigned disconnects;
  char last_request_body[64];
  unsigned responses;
  struct net_response last_response;
  char last_response_body[64];
  unsigned frames;
  char last_frame[64];
  unsigned closed;
  unsigned up;
  unsigned refused;
};

/* Echoes the target of a GET; other requests stay pending.  */
static void
on_request (void *ctx, struct net_exchange *exchange,
            const struct net_request *request)
{
  struct fixture *fixture = ctx;
  fixture->requests++;
  g_snprintf (fixture->last_request_body, sizeof fixture->last_request_body,
              "%.*s", PL_FMT (request->body));
  if (strcmp (request->method, "GET") == 0)
    net_reply (exchange, 200, "text/plain", request->target, 0);
  else
    fixture->pending = exchange;
}

static void
on_disconnect (void *ctx, struct net_exchange *exchange)
{
  struct fixture *fixture = ctx;
  fixture->disconnects++;
  if (fixture->pending == exchange)
    fixture->pending = NULL;
}

static const struct net_server_ops server_ops
    = { .request = on_request, .aborted = on_disconnect };

/* Address of the test's server.  Each test has a port of its own, since
   connections of the test before may still be open.  */
static struct pl_addr addr = { LOOPBACK, PORT };

/* Returns an event loop.  It stays referenced to the end of the process, as
   in the daemon, with the servers and links of its test.  */
static struct event_base *
new_loop (void)
{
  static GPtrArray *loops;
  if (loops == NULL)
    loops = g_ptr_array_new ();
  g_ptr_array_add (loops, event_base_new ());
  return loops->pdata[loops->len - 1];
}

/* An address for this process: tests of another build may run at the same
   time.  */
static uint32_t
process_ip (void)
{
  return LOOPBACK + ((uint32_t)getpid () & 0xffff);
}

static void
fixture_init (struct fixture *fixture)
{
  static uint16_t next_port_offset;
  addr.ip = process_ip ();
  addr.port = (uint16_t)(PORT + 10 + next_port_offset++);
  struct net_server_config config
      = { .addr = addr, .ops = &server_ops, .ctx = fixture, .max_body = 1000 };
  struct pl_err err = { 0 };
  *fixture = (struct fixture){ .base = new_loop () };
  fixture->server = net_server_new (fixture->base, &config, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
}

/* Runs the event loop for US microseconds.  */
static void
run_loop (struct fixture *fixture, long us)
{
  struct timeval tv = { us / 1000000, us % 1000000 };
  event_base_loopexit (fixture->base, &tv);
  event_base_dispatch (fixture->base);
}

static int
connect_socket (void)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (addr.port),
                             .sin_addr.s_addr = htonl (addr.ip) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

/* The text that has arrived on FD.  */
static char *
received_text (int fd)
{
  static char text[4096];
  ssize_t n = recv (fd, text, sizeof text - 1, MSG_DONTWAIT);
  text[n < 0 ? 0 : n] = '\0';
  return text;
}

/* Guards against a request that arrives in several segments and is lost or
   served before it is complete.  */
static void
test_requests_may_arrive_in_pieces (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  int fd = connect_socket ();
  send_text (fd, "POST /a HTTP/1.1\r\nContent-Le");
  run_loop (&fixture, LOOP_US);
  send_text (fd, "ngth: 5\r\n\r\nhel");
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.requests, 0);
  send_text (fd, "lo");
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  CU_ASSERT_STRING_EQUAL (fixture.last_request_body, "hello");
  net_reply (fixture.pending, 503, NULL, pl_str ("no"), 2);
  run_loop (&fixture, LOOP_US);
  char *text = received_text (fd);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "Retry-After: 2\r\n"));
  close (fd);
}

/* Guards against a second pipelined request that is never served, or is
   answered before the first.  */
static void
test_pipelined_requests_are_served_in_order (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  int fd = connect_socket ();
  send_text (fd, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
                 "GET /second HTTP/1.1\r\n\r\n");
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.requests, 1);
  net_reply (fixture.pending, 200, NULL, pl_str ("first"), 0);
  run_loop (&fixture, LOOP_US);
  char *text = received_text (fd);
  char *first = strstr (text, "first");
  CU_ASSERT_PTR_NOT_NULL (first);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "/second"));
  CU_ASSERT_TRUE (first < strstr (text, "/second"));
  close (fd);
}

/* Guards against work for a caller that has closed its connection.  */
static void
test_a_disconnect_before_the_reply_is_reported (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  int fd = connect_socket ();
  send_text (fd, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_PTR_NOT_NULL (fixture.pending);
  close (fd);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.disconnects, 1);
  CU_ASSERT_EQUAL (net_server_count_connections (fixture.server), 0);
}

/* Guards against work for a caller that has closed its connection after it had
   sent more pipelined input than the server reads while it is busy.  */
static void
test_a_disconnect_behind_unread_input_is_reported (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  int fd = connect_socket ();
  g_autofree char *unread = g_strnfill (UNREAD_BYTES, 'x');
  send_text (fd, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_PTR_NOT_NULL (fixture.pending);
  send_text (fd, unread);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.disconnects, 0);
  close (fd);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.disconnects, 1);
  CU_ASSERT_EQUAL (net_server_count_connections (fixture.server), 0);
}

/* Guards against a server that accepts oversized bodies or bytes that are not
   HTTP.  */
static void
test_invalid_requests_are_rejected_and_closed (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  int fd = connect_socket ();
  send_text (fd, "\x16\x03\x01 nonsense\r\n\r\n");
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_PTR_NOT_NULL (strstr (received_text (fd), "HTTP/1.1 400 "));
  int large = connect_socket ();
  g_autofree char *body = g_strnfill (2000, 'x');
  send_text (large, "POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n");
  send_text (large, body);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_PTR_NOT_NULL (strstr (received_text (large), "HTTP/1.1 413 "));
  CU_ASSERT_EQUAL (fixture.requests, 0);
  close (fd);
  close (large);
}

/* Guards against idle connections that delay a planned stop, and against a
   stop that closes the connection of a request before its reply.  */
static void
test_draining_closes_idle_connections_only (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  int idle = connect_socket ();
  int busy = connect_socket ();
  send_text (busy, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  run_loop (&fixture, LOOP_US);
  net_server_drain (fixture.server, true);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (net_server_count_connections (fixture.server), 1);
  net_reply (fixture.pending, 200, NULL, pl_str ("done"), 0);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_PTR_NOT_NULL (strstr (received_text (busy), "Connection: close"));
  CU_ASSERT_EQUAL (net_server_count_connections (fixture.server), 0);
  close (idle);
  close (busy);
}

/* Guards against callers that stay at an instance that can't serve them now,
   and against connections that are not kept when it can again.  */
static void
test_connections_close_while_they_are_not_kept (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  for (int keep = 0; keep < 2; keep++)
    {
      int fd = connect_socket ();
      net_server_set_keep_alive (fixture.server, keep);
      send_text (fd, "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
      run_loop (&fixture, LOOP_US);
      CU_ASSERT_EQUAL (net_server_count_connections (fixture.server), 1);
      net_reply (fixture.pending, 200, NULL, pl_str ("done"), 0);
      run_loop (&fixture, LOOP_US);
      CU_ASSERT_EQUAL (net_server_count_connections (fixture.server),
                       (unsigned)keep);
      close (fd);
    }
}

static void
on_response (void *arg, const struct net_response *resp)
{
  struct fixture *fixture = arg;
  fixture->responses++;
  fixture->last_response = *resp;
  g_snprintf (fixture->last_response_body, sizeof fixture->last_response_body,
              "%.*s", PL_FMT (resp->body));
}

static void
send_request (struct fixture *fixture, struct net_pool *pool,
              const char *method)
{
  struct net_client_request request = { .method = method,
                                        .target = "/x",
                                        .timeout_us = TIMEOUT_US,
                                        .done = on_response,
                                        .arg = fixture };
  net_pool_send (pool, &request);
}

/* Guards against a new connection for each request, and against a request that
   gets the response of another.  */
static void
test_requests_reuse_an_idle_connection (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  struct net_pool *pool = net_pool_new (fixture.base, addr);
  for (unsigned i = 1; i <= 3; i++)
    {
      send_request (&fixture, pool, "GET");
      run_loop (&fixture, LOOP_US);
      CU_ASSERT_EQUAL (fixture.responses, i);
      CU_ASSERT_EQUAL (fixture.last_response.status, 200);
      CU_ASSERT_STRING_EQUAL (fixture.last_response_body, "/x");
    }
  CU_ASSERT_EQUAL (net_server_count_connections (fixture.server), 1);
  net_pool_free (pool);
}

/* Guards against an unanswered request that is reported as not sent, and one
   that was never sent but is reported as sent.  */
static void
test_failures_report_whether_bytes_were_sent (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  struct net_pool *pool = net_pool_new (fixture.base, addr);
  send_request (&fixture, pool, "POST");
  run_loop (&fixture, TIMEOUT_US + LOOP_US);
  CU_ASSERT_EQUAL (fixture.responses, 1);
  CU_ASSERT_EQUAL (fixture.last_response.status, 0);
  CU_ASSERT_TRUE (fixture.last_response.sent);
  net_pool_free (pool);
  struct pl_addr unused_addr = { process_ip (), PORT };
  pool = net_pool_new (fixture.base, unused_addr);
  send_request (&fixture, pool, "POST");
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.responses, 2);
  CU_ASSERT_FALSE (fixture.last_response.sent);
  net_pool_free (pool);
}

/* Guards against the loss of a response that arrives in time, while the
   process is not scheduled: when it runs again, the request's timeout is due
   as well.  */
static void
test_a_response_read_after_its_timeout_is_kept (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  struct net_pool *pool = net_pool_new (fixture.base, addr);
  send_request (&fixture, pool, "POST");
  run_loop (&fixture, LOOP_US);
  net_reply (fixture.pending, 200, NULL, pl_str ("late"), 0);
  event_base_loop (fixture.base, EVLOOP_NONBLOCK); /* sends the reply */
  g_usleep (2 * TIMEOUT_US);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.responses, 1);
  CU_ASSERT_EQUAL (fixture.last_response.status, 200);
  net_pool_free (pool);
}

struct next_request
{
  struct fixture *fixture;
  struct net_pool *pool;
};

static void
send_next_request (void *arg, const struct net_response *resp)
{
  struct next_request *next = arg;
  CU_ASSERT_EQUAL (resp->status, 200);
  send_request (next->fixture, next->pool, "GET");
}

/* What the loop has to do with the connection of a client.  */
struct client_events
{
  evutil_socket_t fd;
  struct event *timer;
};

static int
find_client_events (const struct event_base *base, const struct event *event,
                    void *arg)
{
  (void)base;
  struct client_events *found = arg;
  struct sockaddr_in sin = { 0 };
  socklen_t len = sizeof sin;
  evutil_socket_t fd = event_get_fd (event);
  if (fd < 0)
    found->timer = (struct event *)event;
  else if (getpeername (fd, (struct sockaddr *)&sin, &len) == 0
           && ntohs (sin.sin_port) == addr.port)
    found->fd = fd;
  return 0;
}

static void
activate_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  event_active (((struct client_events *)arg)->timer, EV_TIMEOUT, 0);
}

/* Guards against the loss of a request that follows a response which was read
   at its timeout: the callback for what had arrived came after it, found
   nothing to read, and closed the connection.  Polls failed so, and each
   opened a new connection.  Here the timer is due between the arrival of the
   response and the callback.  */
static void
test_the_request_after_a_late_response_is_sent (void)
{
  struct fixture fixture;
  fixture_init (&fixture);
  struct net_pool *pool = net_pool_new (fixture.base, addr);
  struct next_request next = { &fixture, pool };
  struct net_client_request request = { .method = "POST",
                                        .target = "/x",
                                        .timeout_us = 10 * TIMEOUT_US,
                                        .done = send_next_request,
                                        .arg = &next };
  net_pool_send (pool, &request);
  run_loop (&fixture, LOOP_US);
  struct client_events events = { .fd = -1 };
  (void)event_base_foreach_event (fixture.base, find_client_events, &events);
  CU_ASSERT_PTR_NOT_NULL_FATAL (events.timer);
  struct event *arrival
      = event_new (fixture.base, events.fd, EV_READ, activate_timer, &events);
  event_add (arrival, NULL);
  net_reply (fixture.pending, 200, NULL, pl_str ("late"), 0);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.responses, 1);
  CU_ASSERT_EQUAL (fixture.last_response.status, 200);
  CU_ASSERT_EQUAL (net_server_count_connections (fixture.server), 1);
  event_free (arrival);
  net_pool_free (pool);
}

/* Runs the event loop until *COUNT is not 0, for 5 s at most.  */
static void
run_loop_until (struct fixture *fixture, const unsigned *count)
{
  for (int runs = 0; *count == 0 && runs < 250; runs++)
    run_loop (fixture, LOOP_US);
}

/* A listening socket on which nothing calls accept.  */
static int
listen_without_accept (struct pl_addr at)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (at.port),
                             .sin_addr.s_addr = htonl (at.ip) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&sin, sizeof sin), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 8), 0);
  return fd;
}

/* An answer with bytes behind it, which would pass for the next answer.  */
static const char two_answers[]
    = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
#define FIRST_ANSWER_BYTES (sizeof two_answers - 1 - 43)

/* Accepts a connection and reads the request that has arrived on it.  */
static int
accept_and_read (int listener)
{
  int fd = accept (listener, NULL, NULL);
  char bytes[512];
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  CU_ASSERT_TRUE (read (fd, bytes, sizeof bytes) > 0);
  return fd;
}

/* Guards against bytes behind a complete response that are taken as the answer
   to the next request of the same connection.  They may come with the
   response, or after it, before the next request is sent.  */
static void
test_bytes_behind_a_response_answer_no_request (void)
{
  for (int late = 0; late < 2; late++)
    {
      struct fixture fixture = { .base = new_loop () };
      struct pl_addr at = { process_ip (), (uint16_t)(PORT + 7 + late) };
      int listener = listen_without_accept (at);
      struct net_pool *pool = net_pool_new (fixture.base, at);
      send_request (&fixture, pool, "POST");
      run_loop (&fixture, LOOP_US);
      int fd = accept_and_read (listener);
      size_t first = late ? FIRST_ANSWER_BYTES : sizeof two_answers - 1;
      CU_ASSERT_EQUAL (write (fd, two_answers, first), (ssize_t)first);
      run_loop (&fixture, LOOP_US);
      CU_ASSERT_EQUAL (fixture.responses, 1);
      CU_ASSERT_STRING_EQUAL (fixture.last_response_body, "one");
      /* The event loop doesn't run between the arrival of the late bytes and
         the next request.  */
      if (late)
        send_text (fd, two_answers + first);
      send_request (&fixture, pool, "POST");
      run_loop (&fixture, LOOP_US);
      CU_ASSERT_STRING_NOT_EQUAL (fixture.last_response_body, "stale");
      /* Sent on another connection, or reported as not sent.  */
      CU_ASSERT (fixture.responses == 1
                 || (fixture.last_response.status == 0
                     && !fixture.last_response.sent));
      net_pool_free (pool);
      close (fd);
      close (listener);
    }
}

/* When a process was not scheduled for a while, its new connection is ready
   and the request's timeout is due in the same iteration of the event loop.
   Guards against a request that is sent in that iteration and reported as not
   sent: the task would be started again and run twice.  */
static void
test_a_request_sent_at_its_timeout_counts_as_sent (void)
{
  struct fixture fixture = { .base = new_loop () };
  struct pl_addr at = { process_ip (), PORT + 6 };
  int listener = listen_without_accept (at);
  struct net_pool *pool = net_pool_new (fixture.base, at);
  struct net_client_request request = { .method = "POST",
                                        .target = "/a",
                                        .timeout_us = 1000,
                                        .done = on_response,
                                        .arg = &fixture };
  net_pool_send (pool, &request);
  g_usleep (10000);
  run_loop_until (&fixture, &fixture.responses);
  CU_ASSERT_EQUAL (fixture.last_response.status, 0);
  int fd = accept (listener, NULL, NULL);
  char bytes[64];
  bool arrived = fd >= 0 && read (fd, bytes, sizeof bytes) > 0;
  CU_ASSERT_EQUAL (fixture.last_response.sent, arrived);
  net_pool_free (pool);
  close (fd);
  close (listener);
}

#define MUTATIONS 10000 /* of each kind */

/* Parses TEXT, cut at a random place, as a message of TYPE.  */
static bool
parse (enum http_parser_type type, const GString *text, GRand *rand)
{
  struct net_message message;
  struct evbuffer *input = evbuffer_new ();
  size_t cut = (size_t)g_rand_int_range (rand, 0, (gint32)text->len + 1);
  net_message_init (&message, type, 1000);
  evbuffer_add (input, text->str, cut);
  bool ok = net_message_feed (&message, input);
  evbuffer_add (input, text->str + cut, text->len - cut);
  ok = ok && net_message_feed (&message, input);
  (void)net_message_header (&message, "Host");
  CU_ASSERT_TRUE (message.body->len <= 1000);
  net_message_clear (&message);
  evbuffer_free (input);
  return ok;
}

/* Guards against crashes and memory errors on damaged HTTP, with the
   sanitizers.  */
static void
test_damaged_messages_do_no_harm (void)
{
  static const char *const texts[]
      = { "POST /a/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: x.example\r\n"
          "Content-Type: application/json\r\nContent-Length: 5\r\n\r\nhello",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n"
          "5\r\nhello\r\n0\r\n\r\n" };
  GRand *rand = g_rand_new_with_seed (43);
  unsigned refused = 0;
  for (unsigned i = 0; i < 2 * MUTATIONS; i++)
    {
      g_autoptr (GString) text = g_string_new (texts[i % 2]);
      for (int n = g_rand_int_range (rand, 1, 6); n > 0; n--)
        text->str[g_rand_int_range (rand, 0, (gint32)text->len)]
            = (char)g_rand_int_range (rand, 0, 256);
      refused
          += !parse (i % 2 == 0 ? HTTP_REQUEST : HTTP_RESPONSE, text, rand);
    }
  CU_ASSERT_TRUE (refused > 0);
  g_rand_free (rand);
}

static void
on_frame (void *ctx, struct net_link *link, struct pl_str frame)
{
  struct fixture *fixture = ctx;
  (void)link;
  fixture->frames++;
  g_snprintf (fixture->last_frame, sizeof fixture->last_frame, "%.*s",
              PL_FMT (frame));
}

static void
on_closed (void *ctx, struct net_link *link)
{
  (void)link;
  ((struct fixture *)ctx)->closed++;
}

static void
on_up (void *ctx, struct net_link *link)
{
  (void)link;
  ((struct fixture *)ctx)->up++;
}

static void
on_down (void *ctx, struct net_link *link, bool refused)
{
  (void)link;
  ((struct fixture *)ctx)->refused += refused;
}

static const struct net_endpoint_ops endpoint_ops
    = { .frame = on_frame, .closed = on_closed, .up = on_up, .down = on_down };

/* Guards against frames that are split, merged or lost, and against a link
   whose end is detected late.  */
static void
test_links_carry_frames_and_report_their_end (void)
{
  struct fixture fixture = { .base = new_loop () };
  struct pl_err err = { 0 };
  struct pl_addr here = { process_ip (), PORT + 2 };
  struct pl_addr unused_addr = { process_ip (), PORT + 3 };
  struct net_endpoint *endpoint
      = net_endpoint_new (fixture.base, here, &endpoint_ops, &fixture, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (endpoint);
  struct net_link *link = net_endpoint_connect (endpoint, here);
  struct net_link *refused_link = net_endpoint_connect (endpoint, unused_addr);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.up, 1);
  CU_ASSERT_EQUAL (fixture.refused, 1);
  net_link_send (link, pl_str ("one"));
  net_link_send (link, pl_str ("two"));
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.frames, 2);
  CU_ASSERT_STRING_EQUAL (fixture.last_frame, "two");
  net_link_close (link);
  run_loop (&fixture, LOOP_US);
  CU_ASSERT_EQUAL (fixture.closed, 1);
  net_link_close (refused_link);
}

/* net_link_reconnect, called twice while a reconnect is scheduled, must make
   one connection; called on a connected link, it must leave the connection
   alone.  Guards against a second connection of the same link.  */
static void
test_a_link_reconnects_on_demand (void)
{
  struct fixture here = { .base = new_loop () };
  struct fixture there = { .base = here.base };
  struct pl_err err = { 0 };
  struct pl_addr here_addr = { process_ip (), PORT + 4 };
  struct pl_addr there_addr = { process_ip (), PORT + 5 };
  struct net_endpoint *endpoint
      = net_endpoint_new (here.base, here_addr, &endpoint_ops, &here, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (endpoint);
  struct net_link *link = net_endpoint_connect (endpoint, there_addr);
  run_loop_until (&here, &here.refused);
  CU_ASSERT_PTR_NOT_NULL_FATAL (
      net_endpoint_new (here.base, there_addr, &endpoint_ops, &there, &err));
  net_link_reconnect (link);
  net_link_reconnect (link);
  run_loop_until (&here, &here.up);
  net_link_reconnect (link);
  net_link_send (link, pl_str ("one"));
  run_loop_until (&here, &there.frames);
  CU_ASSERT_EQUAL (here.up, 1);
  CU_ASSERT_STRING_EQUAL (there.last_frame, "one");
  net_link_close (link);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "requests may arrive in pieces", test_requests_may_arrive_in_pieces },
    { "pipelined requests are served in order",
      test_pipelined_requests_are_served_in_order },
    { "a disconnect before the reply is reported",
      test_a_disconnect_before_the_reply_is_reported },
    { "a disconnect behind unread input is reported",
      test_a_disconnect_behind_unread_input_is_reported },
    { "invalid requests are rejected and closed",
      test_invalid_requests_are_rejected_and_closed },
    { "connections close while they are not kept",
      test_connections_close_while_they_are_not_kept },
    { "draining closes idle connections only",
      test_draining_closes_idle_connections_only },
    { "requests reuse an idle connection",
      test_requests_reuse_an_idle_connection },
    { "failures report whether bytes were sent",
      test_failures_report_whether_bytes_were_sent },
    { "a response read after its timeout is kept",
      test_a_response_read_after_its_timeout_is_kept },
    { "the request after a late response is sent",
      test_the_request_after_a_late_response_is_sent },
    { "a request sent at its timeout counts as sent",
      test_a_request_sent_at_its_timeout_counts_as_sent },
    { "bytes behind a response answer no request",
      test_bytes_behind_a_response_answer_no_request },
    { "damaged messages do no harm", test_damaged_messages_do_no_harm },
    { "links carry frames and report their end",
      test_links_carry_frames_and_report_their_end },
    { "a link reconnects on demand", test_a_link_reconnects_on_demand },
    CU_TEST_INFO_NULL,
  };
  return test_run ("net_test", tests);
}
