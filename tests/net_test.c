/* Tests of lib/net: HTTP server, parsing of messages and framed links, over
   loopback.  */
#include "net_fixture.h"

/* More than the server reads ahead, and less than socket buffers take.  */
#define UNREAD_BYTES 150000

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
    { "damaged messages do no harm", test_damaged_messages_do_no_harm },
    { "links carry frames and report their end",
      test_links_carry_frames_and_report_their_end },
    { "a link reconnects on demand", test_a_link_reconnects_on_demand },
    CU_TEST_INFO_NULL,
  };
  return test_run ("net_test", tests);
}
