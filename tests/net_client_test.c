/* Tests of the HTTP client of lib/net, over loopback.  */
#include "net_fixture.h"

#define TIMEOUT_US 100000L

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

int
main (void)
{
  CU_TestInfo tests[] = {
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
    CU_TEST_INFO_NULL,
  };
  return test_run ("net_client_test", tests);
}
