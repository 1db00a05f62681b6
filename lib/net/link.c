/* Framed links between instances: a 4-byte big-endian length before each
   frame.  */
#include "net_priv.h"

#include <string.h>

#define MAX_FRAME_BYTES ((size_t)4 * 1024 * 1024) /* a whole configuration */
#define FRAME_HEADER_BYTES 4
#define RECONNECT_US 100000
#define CONNECT_TIMEOUT_US 150000 /* several round trips across regions */
/* Output that a silent peer leaves unread is dropped with its link.  */
#define MAX_OUTPUT_BYTES ((size_t)8 * 1024 * 1024)

struct net_hub
{
  struct event_base *base;
  struct evconnlistener *listener;
  const struct net_hub_ops *ops;
  void *ctx;
};

struct net_link
{
  struct net_hub *hub;
  struct bufferevent *bev;
  struct event *retry; /* outgoing links only */
  struct pl_addr addr;
  bool outgoing;
  bool up;
  void *user;
};

static void open_outgoing (struct net_link *link);

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
          link->hub->ops->closed (link->hub->ctx, link);
          net_link_close (link);
          return;
        }
      if (evbuffer_get_length (in) < FRAME_HEADER_BYTES + len)
        return;
      evbuffer_drain (in, FRAME_HEADER_BYTES);
      const char *data = (const char *)evbuffer_pullup (in, (ssize_t)len);
      link->hub->ops->frame (link->hub->ctx, link,
                             (struct pl_str){ data, len });
      evbuffer_drain (in, len);
    }
}

static void
schedule_retry (struct net_link *link)
{
  struct timeval tv = { 0, RECONNECT_US };
  evtimer_add (link->retry, &tv);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct net_link *link = arg;
  struct net_hub *hub = link->hub;
  if (what & BEV_EVENT_CONNECTED)
    {
      net_tune_socket (bufferevent_getfd (bev));
      bufferevent_set_timeouts (bev, NULL, NULL);
      link->up = true;
      hub->ops->up (hub->ctx, link);
      return;
    }
  if (!link->outgoing)
    {
      hub->ops->closed (hub->ctx, link);
      net_link_close (link);
      return;
    }
  bool refused = (what & BEV_EVENT_ERROR) && errno == ECONNREFUSED;
  link->up = false;
  bufferevent_free (bev);
  link->bev = NULL;
  schedule_retry (link);
  hub->ops->down (hub->ctx, link, refused);
}

static void
on_retry (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  open_outgoing (arg);
}

static void
open_outgoing (struct net_link *link)
{
  struct sockaddr_in sin = net_sockaddr (link->addr);
  struct timeval tv = { 0, CONNECT_TIMEOUT_US };
  link->bev = bufferevent_socket_new (
      link->hub->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
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
  struct net_hub *hub = arg;
  struct net_link *link = g_new0 (struct net_link, 1);
  net_tune_socket (fd);
  link->hub = hub;
  link->up = true;
  link->bev = bufferevent_socket_new (hub->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (link->bev, on_read, NULL, on_event, link);
  bufferevent_enable (link->bev, EV_READ | EV_WRITE);
}

struct net_hub *
net_hub_new (struct event_base *base, struct pl_addr listen,
             const struct net_hub_ops *ops, void *ctx, struct pl_err *err)
{
  struct net_hub *hub = g_new0 (struct net_hub, 1);
  hub->base = base;
  hub->ops = ops;
  hub->ctx = ctx;
  hub->listener = net_listen (base, listen, on_accept, hub, err);
  if (hub->listener != NULL)
    return hub;
  g_free (hub);
  return NULL;
}

struct net_link *
net_hub_connect (struct net_hub *hub, struct pl_addr addr)
{
  struct net_link *link = g_new0 (struct net_link, 1);
  link->hub = hub;
  link->addr = addr;
  link->outgoing = true;
  link->retry = evtimer_new (hub->base, on_retry, link);
  open_outgoing (link);
  return link;
}

void
net_link_redial (struct net_link *link)
{
  if (!link->outgoing || link->up)
    return;
  if (link->bev != NULL)
    bufferevent_free (link->bev);
  evtimer_del (link->retry);
  open_outgoing (link);
}

void
net_link_close (struct net_link *link)
{
  if (link->bev != NULL)
    bufferevent_free (link->bev);
  if (link->retry != NULL)
    event_free (link->retry);
  g_free (link);
}

void
net_link_send (struct net_link *link, struct pl_str frame)
{
  if (!link->up)
    return;
  struct evbuffer *out = bufferevent_get_output (link->bev);
  if (evbuffer_get_length (out) > MAX_OUTPUT_BYTES)
    return; /* the peer's silence ends the link through TCP_USER_TIMEOUT */
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
