/* door-3: forwards TCP connections from one address to another.
   Usage: door-3 IP:PORT TARGET_IP:PORT
   On SIGUSR1 it closes its door: all connections are reset and new ones are
   accepted and reset, until SIGUSR2.  Stopped (SIGSTOP), it is silent.  */
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
  struct bufferevent *ends[2];
  GList node;
};

static struct event_base *base;
static struct sockaddr_in target;
static GQueue pairs = G_QUEUE_INIT;
static bool closed;

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
  bufferevent_write_buffer (other, bufferevent_get_input (bev));
}

static void
on_event (struct bufferevent *bev, short events, void *arg)
{
  (void)bev;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    pair_free (arg);
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
  pair->node.data = pair;
  g_queue_push_tail_link (&pairs, &pair->node);
  pair->ends[0] = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  pair->ends[1] = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  for (int i = 0; i < 2; i++)
    bufferevent_setcb (pair->ends[i], on_read, NULL, on_event, pair);
  (void)bufferevent_socket_connect (pair->ends[1], (struct sockaddr *)&target,
                                    sizeof target);
  for (int i = 0; i < 2; i++)
    bufferevent_enable (pair->ends[i], EV_READ | EV_WRITE);
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
  if (argc != 3 || !pl_addr_parse (pl_str (argv[1]), &from)
      || !pl_addr_parse (pl_str (argv[2]), &to))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
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
