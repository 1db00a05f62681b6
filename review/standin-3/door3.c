/* door-3: forwards TCP connections from one address to another.
   Usage: door-3 IP:PORT TARGET_IP:PORT [patient]
   With "patient", connections wait while nothing listens at the target, as
   behind a supervisor that keeps a server's listening socket open: the target
   gets them in their order once it listens, with the bytes that have come,
   also those of a client that has left since. On SIGUSR1 it closes its door:
   all connections are reset and new ones are accepted and reset, until
   SIGUSR2.  Stopped (SIGSTOP), it is silent.  */
#include "pl.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

struct pair
{
  struct bufferevent *ends[2]; /* the client; the target, null while waiting */
  bool up;                     /* the target has accepted */
  bool left;                   /* the client has, before that */
  GList node;
};

static struct event_base *base;
static struct sockaddr_in target;
static GQueue pairs = G_QUEUE_INIT;
static bool closed;
static bool patient;
static struct event *retry_timer;

#define RETRY_US 20000

static void
reset_fd (evutil_socket_t fd)
{
  struct linger linger = { 1, 0 };
  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void
pair_free (struct pair *pair)
{
  g_queue_unlink (&pairs, &pair->node);
  for (int i = 0; i < 2; i++)
    {
      if (pair->ends[i] == NULL)
        continue;
      if (!pair->left)
        reset_fd (bufferevent_getfd (pair->ends[i]));
      bufferevent_free (pair->ends[i]);
    }
  g_free (pair);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct pair *pair = arg;
  struct bufferevent *other = pair->ends[bev == pair->ends[0]];
  if (other != NULL)
    bufferevent_write_buffer (other, bufferevent_get_input (bev));
}

static void connect_target (struct pair *pair);

/* Tries the first connection that waits; the others follow it.  */
static void
on_retry (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  for (GList *l = pairs.head; l != NULL; l = l->next)
    {
      struct pair *pair = l->data;
      if (pair->ends[1] != NULL)
        continue;
      connect_target (pair);
      return;
    }
}

/* Has the next waiting connection tried after DELAY_US.  */
static void
retry_after (long delay_us)
{
  struct timeval tv = { 0, delay_us };
  event_add (retry_timer, &tv);
}

static void
on_target_event (struct bufferevent *bev, short events, void *arg)
{
  struct pair *pair = arg;
  if (events & BEV_EVENT_CONNECTED)
    {
      pair->up = true;
      bufferevent_write_buffer (bev, bufferevent_get_input (pair->ends[0]));
      if (patient)
        retry_after (0);
      return;
    }
  if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (pair->up || !patient)
    {
      pair_free (pair);
      return;
    }
  bufferevent_free (bev);
  pair->ends[1] = NULL;
  retry_after (RETRY_US);
}

static void
on_client_event (struct bufferevent *bev, short events, void *arg)
{
  struct pair *pair = arg;
  (void)bev;
  if (!(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  if (patient && !pair->up)
    pair->left = true; /* its bytes are delivered nevertheless */
  else
    pair_free (pair);
}

static void
connect_target (struct pair *pair)
{
  pair->ends[1] = bufferevent_socket_new (
      base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (pair->ends[1], on_read, NULL, on_target_event, pair);
  bufferevent_enable (pair->ends[1], EV_READ | EV_WRITE);
  (void)bufferevent_socket_connect (pair->ends[1], (struct sockaddr *)&target,
                                    sizeof target);
}

static bool
is_some_waiting (void)
{
  for (GList *l = pairs.head; l != NULL; l = l->next)
    if (!((struct pair *)l->data)->up)
      return true;
  return false;
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *addr, int len, void *arg)
{
  (void)listener;
  (void)addr;
  (void)len;
  (void)arg;
  if (closed)
    {
      reset_fd (fd);
      evutil_closesocket (fd);
      return;
    }
  struct pair *pair = g_new0 (struct pair, 1);
  bool queue = patient && is_some_waiting ();
  pair->node.data = pair;
  g_queue_push_tail_link (&pairs, &pair->node);
  pair->ends[0] = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (pair->ends[0], on_read, NULL, on_client_event, pair);
  bufferevent_enable (pair->ends[0], EV_READ | EV_WRITE);
  if (!queue)
    connect_target (pair);
}

static void
on_close (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  closed = true;
  while (!g_queue_is_empty (&pairs))
    pair_free (g_queue_peek_head (&pairs));
}

static void
on_open (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  (void)arg;
  closed = false;
}

static struct sockaddr_in
socket_address (struct pl_addr addr)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (addr.port),
                               .sin_addr.s_addr = htonl (addr.ip) };
}

int
main (int argc, char **argv)
{
  struct pl_addr from;
  struct pl_addr to;
  if (argc < 3 || !pl_addr_parse (pl_str (argv[1]), &from)
      || !pl_addr_parse (pl_str (argv[2]), &to))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  patient = argc > 3 && strcmp (argv[3], "patient") == 0;
  retry_timer = evtimer_new (base, on_retry, NULL);
  target = socket_address (to);
  struct sockaddr_in sin = socket_address (from);
  if (evconnlistener_new_bind (base, on_accept, NULL,
                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                               (struct sockaddr *)&sin, sizeof sin)
      == NULL)
    {
      perror ("door-3");
      return 1;
    }
  event_add (evsignal_new (base, SIGUSR1, on_close, NULL), NULL);
  event_add (evsignal_new (base, SIGUSR2, on_open, NULL), NULL);
  return event_base_dispatch (base) == 0 ? 0 : 1;
}
