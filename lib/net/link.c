/* Framed links between instances.  A frame is preceded by its length, 4 bytes
   in big-endian order.  Outgoing links reconnect until they are closed.  */
#include "net_priv.h"

#include <string.h>

/* A frame can hold a complete configuration.  */
#define MAX_FRAME_BYTES ((size_t)4 * 1024 * 1024)
#define FRAME_HEADER_BYTES 4
#define RECONNECT_US 100000
#define CONNECT_TIMEOUT_US 150000 /* several round trips across regions */
/* Limit of the unsent output of a link, reached if its peer does not read.
   Frames above it are dropped at once; the unsent output is dropped when the
   link ends.  */
#define MAX_OUTPUT_BYTES ((size_t)8 * 1024 * 1024)

struct net_endpoint
{
  struct event_base *base;
  struct evconnlistener *listener;
  const struct net_endpoint_ops *ops;
  void *ctx;
};

struct net_link
{
  struct net_endpoint *endpoint;
  struct bufferevent *bev;
  struct event *reconnect_timer; /* outgoing links only */
  struct pl_addr addr;
  bool outgoing;
  bool up; /* connected */
  void *user;
};

static void start_connecting (struct net_link *link);

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct net_link *link = arg;
  struct evbuffer *in = bufferevent_get_input (bev);
  for (;;)
    {
      uint32_t header;
      if (evbuffer_copyout (in, &header, sizeof header) < FRAME_HEADER_BYTES)
        return;
      size_t len = ntohl (header);
      if (len > MAX_FRAME_BYTES)
        {
          link->endpoint->ops->closed (link->endpoint->ctx, link);
          net_link_close (link);
          return;
        }
      if (evbuffer_get_length (in) < FRAME_HEADER_BYTES + len)
        return;
      evbuffer_drain (in, FRAME_HEADER_BYTES);
      const char *data = (const char *)evbuffer_pullup (in, (ssize_t)len);
      link->endpoint->ops->frame (link->endpoint->ctx, link,
                                  (struct pl_str){ data, len });
      evbuffer_drain (in, len);
    }
}

static void
schedule_reconnect (struct net_link *link)
{
  struct timeval tv = { 0, RECONNECT_US };
  evtimer_add (link->reconnect_timer, &tv);
}

/* An outgoing link reconnects after a failure; an incoming one ends.  */
static void
on_event (struct bufferevent *bev, short events, void *arg)
{
  struct net_link *link = arg;
  struct net_endpoint *endpoint = link->endpoint;
  if (events & BEV_EVENT_CONNECTED)
    {
      net_set_socket_options (bufferevent_getfd (bev));
      bufferevent_set_timeouts (bev, NULL, NULL);
      link->up = true;
      endpoint->ops->up (endpoint->ctx, link);
      return;
    }
  if (!link->outgoing)
    {
      endpoint->ops->closed (endpoint->ctx, link);
      net_link_close (link);
      return;
    }
  bool refused = (events & BEV_EVENT_ERROR) && errno == ECONNREFUSED;
  link->up = false;
  bufferevent_free (bev);
  link->bev = NULL;
  schedule_reconnect (link);
  endpoint->ops->down (endpoint->ctx, link, refused);
}

static void
on_reconnect_timer (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  start_connecting (arg);
}

static void
start_connecting (struct net_link *link)
{
  struct sockaddr_in sin = net_sockaddr (link->addr);
  struct timeval tv = { 0, CONNECT_TIMEOUT_US };
  link->bev = bufferevent_socket_new (link->endpoint->base, -1,
                                      BEV_OPT_CLOSE_ON_FREE
                                          | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (link->bev, NULL, NULL, on_event, link);
  bufferevent_set_timeouts (link->bev, NULL, &tv);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
  (void)bufferevent_socket_connect (link->bev, (struct sockaddr *)&sin,
                                    sizeof sin);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *addr, int len, void *arg)
{
  (void)listener;
  (void)addr;
  (void)len;
  struct net_endpoint *endpoint = arg;
  struct net_link *link = g_new0 (struct net_link, 1);
  net_set_socket_options (fd);
  link->endpoint = endpoint;
  link->up = true;
  link->bev
      = bufferevent_socket_new (endpoint->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (link->bev, on_read, NULL, on_event, link);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
}

struct net_endpoint *
net_endpoint_new (struct event_base *base, struct pl_addr listen,
                  const struct net_endpoint_ops *ops, void *ctx,
                  struct pl_err *err)
{
  struct net_endpoint *endpoint = g_new0 (struct net_endpoint, 1);
  endpoint->base = base;
  endpoint->ops = ops;
  endpoint->ctx = ctx;
  endpoint->listener = net_listen (base, listen, on_accept, endpoint, err);
  if (endpoint->listener != NULL)
    return endpoint;
  g_free (endpoint);
  return NULL;
}

struct net_link *
net_endpoint_connect (struct net_endpoint *endpoint, struct pl_addr addr)
{
  struct net_link *link = g_new0 (struct net_link, 1);
  link->endpoint = endpoint;
  link->addr = addr;
  link->outgoing = true;
  link->reconnect_timer
      = evtimer_new (endpoint->base, on_reconnect_timer, link);
  start_connecting (link);
  return link;
}

void
net_link_reconnect (struct net_link *link)
{
  if (!link->outgoing || link->up)
    return;
  if (link->bev != NULL)
    bufferevent_free (link->bev);
  evtimer_del (link->reconnect_timer);
  start_connecting (link);
}

void
net_link_close (struct net_link *link)
{
  if (link->bev != NULL)
    bufferevent_free (link->bev);
  if (link->reconnect_timer != NULL)
    event_free (link->reconnect_timer);
  g_free (link);
}

void
net_link_send (struct net_link *link, struct pl_str frame)
{
  if (!link->up)
    return;
  struct evbuffer *out = bufferevent_get_output (link->bev);
  if (evbuffer_get_length (out) > MAX_OUTPUT_BYTES)
    return; /* TCP_USER_TIMEOUT ends a link whose peer is silent */
  uint32_t header = htonl ((uint32_t)frame.len);
  evbuffer_add (out, &header, sizeof header);
  evbuffer_add (out, frame.data, frame.len);
}

void
net_link_set_user (struct net_link *link, void *user)
{
  link->user = user;
}

void *
net_link_user (const struct net_link *link)
{
  return link->user;
}
