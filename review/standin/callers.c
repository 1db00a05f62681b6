/* Stand-in for callers: submits best-effort jobs to the instances in turn at a
   fixed rate, each on a connection of its own, and records what is sent and
   answered.

   Usage: callers RECORD RATE SECONDS TASKS MS FRONT...
   RATE is in jobs a second; TASKS and MS set each job.  The variable
   DEADLINE_MS sets how long a caller waits (1500).  Lines in RECORD:
     T sent JOB FRONT
     T answer JOB STATUS BODY
   STATUS 0: no answer within the deadline, or a broken connection.  After
   that, and after 502 and 504, the job is sent again, as PROTOCOL.md says.  */
#include "net.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define DEFAULT_DEADLINE_MS 1500
#define RESEND_MS 1300 /* bound resend_ms */
#define MAX_ATTEMPTS 3
#define TICK_US 1000
#define CPU 7000 /* of a task, thousandths of a core */

struct callers
{
  struct event_base *base;
  struct sockaddr_in *fronts;
  char **names;
  unsigned n_fronts;
  int record;
  double rate;
  int64_t start_us;
  int64_t end_us;
  uint64_t n_sent;
  uint64_t n_answered;
  int n_tasks;
  int ms;
  int deadline_ms;
};

struct call
{
  struct callers *callers;
  struct bufferevent *bev;
  uint64_t job;
  unsigned first_front;
  unsigned attempt; /* 0: the first */
  struct event *resend;
};

static int64_t
steady_us (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void
write_line (const struct callers *callers, char *line)
{
  size_t n = strlen (line);
  if (write (callers->record, line, n) != (ssize_t)n)
    exit (2);
}

static void send_job (struct call *call);

static void
on_resend (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  send_job (arg);
}

/* Records the answer and closes the connection.  A job that got no answer, 502
   or 504 is sent again, to the next instance.  */
static void
finish (struct call *call, int status, const char *body)
{
  g_autofree char *line
      = g_strdup_printf ("%" PRId64 " answer %016" PRIx64 " %d %s\n",
                         steady_us (), call->job, status, body);
  write_line (call->callers, line);
  bufferevent_free (call->bev);
  if ((status == 0 || status == 502 || status == 504)
      && ++call->attempt < MAX_ATTEMPTS)
    {
      struct timeval tv = { RESEND_MS / 1000, RESEND_MS % 1000 * 1000 };
      event_add (call->resend, &tv);
      return;
    }
  call->callers->n_answered++;
  event_free (call->resend);
  g_free (call);
}

/* Waits for the whole answer: its head, and the body that the head names.  */
static void
on_read (struct bufferevent *bev, void *arg)
{
  struct call *call = arg;
  struct evbuffer *in = bufferevent_get_input (bev);
  size_t len = evbuffer_get_length (in);
  g_autofree char *text
      = g_strndup ((const char *)evbuffer_pullup (in, -1), len);
  const char *body = strstr (text, "\r\n\r\n");
  const char *size = strstr (text, "Content-Length: ");
  int status = 0;
  if (body == NULL || size == NULL
      || sscanf (text, "HTTP/1.1 %d", &status) != 1
      || strlen (body + 4) < strtoul (size + 16, NULL, 10))
    return;
  finish (call, status, body + 4);
}

/* The connection has ended, or the deadline has passed.  */
static void
on_event (struct bufferevent *bev, short events, void *arg)
{
  (void)bev;
  if ((events & BEV_EVENT_CONNECTED) == 0)
    finish (arg, 0, events & BEV_EVENT_TIMEOUT ? "deadline" : "broken");
}

/* Sends the job of CALL, on a new connection.  */
static void
send_job (struct call *call)
{
  struct callers *callers = call->callers;
  unsigned front = (call->first_front + call->attempt) % callers->n_fronts;
  struct timeval timeout = { callers->deadline_ms / 1000,
                             callers->deadline_ms % 1000 * 1000 };
  g_autofree char *body = g_strdup_printf (
      "{\"spec\":\"ms=%d cpu=%d\",\"best_effort\":true,\"steps\":[{\"count\":"
      "%d,\"cpu\":%d,\"mem_mb\":64,\"estimated_ms\":%d}]}",
      callers->ms, CPU, callers->n_tasks, CPU, callers->ms);
  g_autofree char *line = g_strdup_printf (
      "%" PRId64 " sent %016" PRIx64 " %s\n", steady_us (), call->job,
      callers->names[front]);
  write_line (callers, line);
  call->bev = bufferevent_socket_new (callers->base, -1,
                                      BEV_OPT_CLOSE_ON_FREE
                                          | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (call->bev, on_read, NULL, on_event, call);
  bufferevent_set_timeouts (call->bev, &timeout, NULL);
  bufferevent_enable (call->bev, EV_READ | EV_WRITE);
  evbuffer_add_printf (bufferevent_get_output (call->bev),
                       "POST /pule/%016" PRIx64 " HTTP/1.1\r\n"
                       "Host: pule.example\r\nRequest-Deadline: %d\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       call->job, callers->deadline_ms, strlen (body), body);
  (void)bufferevent_socket_connect (
      call->bev, (struct sockaddr *)&callers->fronts[front],
      sizeof callers->fronts[front]);
}

static void
submit (struct callers *callers)
{
  struct call *call = g_new0 (struct call, 1);
  call->callers = callers;
  call->job = pl_random64 ();
  call->first_front = (unsigned)(callers->n_sent++ % callers->n_fronts);
  call->resend = evtimer_new (callers->base, on_resend, call);
  send_job (call);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct callers *callers = arg;
  int64_t now_us = steady_us ();
  (void)fd;
  (void)what;
  if (now_us >= callers->end_us)
    {
      if (callers->n_answered == callers->n_sent)
        event_base_loopbreak (callers->base);
      return;
    }
  double due
      = (double)(now_us - callers->start_us) / 1000000 * callers->rate;
  while ((double)callers->n_sent < due)
    submit (callers);
}

int
main (int argc, char **argv)
{
  struct callers callers = { 0 };
  signal (SIGPIPE, SIG_IGN);
  pl_log_init ("text", "error");
  if (argc < 7)
    {
      fprintf (stderr,
               "usage: callers RECORD RATE SECONDS TASKS MS FRONT...\n");
      return 2;
    }
  callers.base = event_base_new ();
  callers.record = open (argv[1], O_WRONLY | O_APPEND | O_CREAT, 0644);
  callers.rate = atof (argv[2]);
  callers.n_tasks = atoi (argv[4]);
  callers.ms = atoi (argv[5]);
  const char *deadline = getenv ("DEADLINE_MS");
  callers.deadline_ms
      = deadline == NULL ? DEFAULT_DEADLINE_MS : atoi (deadline);
  callers.names = argv + 6;
  callers.n_fronts = (unsigned)(argc - 6);
  callers.fronts = g_new0 (struct sockaddr_in, callers.n_fronts);
  for (unsigned i = 0; i < callers.n_fronts; i++)
    {
      struct pl_addr addr;
      if (!pl_addr_parse (pl_str (callers.names[i]), &addr))
        return 2;
      callers.fronts[i] = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons (addr.port),
        .sin_addr.s_addr = htonl (addr.ip),
      };
    }
  callers.start_us = steady_us ();
  callers.end_us = callers.start_us + (int64_t)(atof (argv[3]) * 1000000);
  struct event *tick = event_new (callers.base, -1, EV_PERSIST, on_tick,
                                  &callers);
  struct timeval tv = { 0, TICK_US };
  event_add (tick, &tv);
  return event_base_dispatch (callers.base) < 0 ? 2 : 0;
}
