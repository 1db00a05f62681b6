/* HTTP/1.1 server: one request at a time on each connection.  */
#include "net_priv.h"

#include <string.h>

/* Unread input kept while a request is served.  */
#define READ_HIGH_BYTES 65536

struct net_exchange
{
  struct net_server *server;
  struct bufferevent *bev;
  struct net_message message;
  GList link; /* in the server's list */
  void *user;
  bool busy;        /* a request waits for its reply */
  bool close_after; /* close when the output is sent */
  bool in_callback; /* the request callback is running */
};

struct net_server
{
  struct event_base *base;
  struct evconnlistener *listener;
  const struct net_server_ops *ops;
  void *ctx;
  size_t max_body;
  GQueue connections;
  bool draining;
};

static void
exchange_free (struct net_exchange *x)
{
  g_queue_unlink (&x->server->connections, &x->link);
  bufferevent_free (x->bev);
  net_message_clear (&x->message);
  g_free (x);
}

static void read_requests (struct net_exchange *x);

static void
on_read (struct bufferevent *bev, void *arg)
{
  (void)bev;
  read_requests (arg);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  struct net_exchange *x = arg;
  if (x->close_after
      && evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    exchange_free (x);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  struct net_exchange *x = arg;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0)
    return;
  if (x->busy)
    x->server->ops->gone (x->server->ctx, x);
  exchange_free (x);
}

static const char *
reason (int status)
{
  return http_status_str ((enum http_status)status);
}

void
net_reply (struct net_exchange *x, int status, const char *type,
           struct pl_str body, int retry_after_s)
{
  struct evbuffer *out = bufferevent_get_output (x->bev);
  if (x->server->draining || !http_should_keep_alive (&x->message.parser))
    x->close_after = true;
  evbuffer_add_printf (out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n",
                       status, reason (status), body.len);
  if (type != NULL)
    evbuffer_add_printf (out, "Content-Type: %s\r\n", type);
  if (retry_after_s > 0)
    evbuffer_add_printf (out, "Retry-After: %d\r\n", retry_after_s);
  if (x->close_after)
    evbuffer_add_printf (out, "Connection: close\r\n");
  evbuffer_add (out, "\r\n", 2);
  evbuffer_add (out, body.data, body.len);
  x->busy = false;
  x->user = NULL;
  net_message_reset (&x->message);
  if (x->in_callback || x->close_after)
    return;
  if (evbuffer_get_length (bufferevent_get_input (x->bev)) > 0)
    bufferevent_trigger (x->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void
reject_malformed (struct net_exchange *x)
{
  x->close_after = true;
  net_reply (x, x->message.too_large ? 413 : 400, NULL, pl_str (""), 0);
  bufferevent_disable (x->bev, EV_READ);
}

static void
read_requests (struct net_exchange *x)
{
  while (!x->busy && !x->close_after)
    {
      struct evbuffer *in = bufferevent_get_input (x->bev);
      if (!net_message_feed (&x->message, in))
        {
          reject_malformed (x);
          return;
        }
      if (!x->message.complete)
        return;
      struct net_request request = {
        .method = http_method_str (x->message.parser.method),
        .target = { x->message.target->str, x->message.target->len },
        .body = { x->message.body->str, x->message.body->len },
      };
      x->busy = true;
      x->in_callback = true;
      x->server->ops->request (x->server->ctx, x, &request);
      x->in_callback = false;
    }
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *addr, int len, void *arg)
{
  (void)listener;
  (void)addr;
  (void)len;
  struct net_server *server = arg;
  struct net_exchange *x = g_new0 (struct net_exchange, 1);
  net_tune_socket (fd);
  x->server = server;
  x->bev = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  x->link.data = x;
  net_message_init (&x->message, HTTP_REQUEST, server->max_body);
  g_queue_push_tail_link (&server->connections, &x->link);
  bufferevent_setcb (x->bev, on_read, on_written, on_event, x);
  bufferevent_setwatermark (x->bev, EV_READ, 0, READ_HIGH_BYTES);
  bufferevent_enable (x->bev, EV_READ | EV_WRITE);
}

struct net_server *
net_server_new (struct event_base *base,
                const struct net_server_config *config, struct pl_err *err)
{
  struct net_server *server = g_new0 (struct net_server, 1);
  server->base = base;
  server->ops = config->ops;
  server->ctx = config->ctx;
  server->max_body = config->max_body;
  g_queue_init (&server->connections);
  server->listener = net_listen (base, config->addr, on_accept, server, err);
  if (server->listener != NULL)
    return server;
  g_free (server);
  return NULL;
}

void
net_server_drain (struct net_server *server, bool close_idle)
{
  server->draining = true;
  GList *next;
  for (GList *l = server->connections.head; l != NULL; l = next)
    {
      next = l->next;
      struct net_exchange *x = l->data;
      bool idle = !x->busy && !x->close_after && x->message.target->len == 0
                  && evbuffer_get_length (bufferevent_get_input (x->bev)) == 0;
      if (close_idle && idle)
        exchange_free (x);
    }
}

unsigned
net_server_connections (const struct net_server *server)
{
  return server->connections.length;
}

void
net_server_limit_body (struct net_server *server, size_t max_body)
{
  server->max_body = max_body;
}

const char *
net_exchange_header (const struct net_exchange *x, const char *name)
{
  return net_message_header (&x->message, name);
}

void
net_exchange_set_user (struct net_exchange *x, void *user)
{
  x->user = user;
}

void *
net_exchange_user (const struct net_exchange *x)
{
  return x->user;
}
