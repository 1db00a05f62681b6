/* HTTP/1.1 server.  Each connection serves one request at a time; pipelined
   requests wait in its input buffer.  */
#include "net_priv.h"

#include <string.h>

/* Unread input of a connection while a request is served; then reading
   stops, and the end of the connection is awaited apart from it.  */
#define MAX_UNREAD_BYTES 65536

/* A connection and its current request.  */
struct net_exchange
{
  struct net_server *server;
  struct bufferevent *bev;
  struct event *closed; /* the caller has closed; null while reading goes on */
  struct net_message message;
  GList node; /* in the server's list of connections */
  void *user;
  bool busy;              /* a request waits for its reply */
  bool close_after_reply; /* close as soon as the output is sent */
  bool in_callback;       /* ops->request is running */
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
  bool no_keep_alive; /* see net_server_set_keep_alive */
};

static void
exchange_free (struct net_exchange *exchange)
{
  g_queue_unlink (&exchange->server->connections, &exchange->node);
  if (exchange->closed != NULL)
    event_free (exchange->closed);
  bufferevent_free (exchange->bev);
  net_message_clear (&exchange->message);
  g_free (exchange);
}

static void process_input (struct net_exchange *exchange);

static void
on_read (struct bufferevent *bev, void *arg)
{
  (void)bev;
  process_input (arg);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  struct net_exchange *exchange = arg;
  if (exchange->close_after_reply
      && evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    exchange_free (exchange);
}

static void
abort_exchange (struct net_exchange *exchange)
{
  if (exchange->busy)
    exchange->server->ops->aborted (exchange->server->ctx, exchange);
  exchange_free (exchange);
}

static void
on_event (struct bufferevent *bev, short events, void *arg)
{
  (void)bev;
  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    abort_exchange (arg);
}

static void
on_closed (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  struct net_exchange *exchange = arg;
  /* Between requests, reading goes on and finds the end by itself.  */
  if (exchange->busy)
    abort_exchange (exchange);
}

/* Watches for the end of a connection whose unread input is not read on.  */
static void
await_close (struct net_exchange *exchange)
{
  if (exchange->closed == NULL)
    exchange->closed
        = event_new (exchange->server->base, bufferevent_getfd (exchange->bev),
                     EV_CLOSED, on_closed, exchange);
  event_add (exchange->closed, NULL);
}

static const char *
reason_phrase (int status)
{
  return http_status_str ((enum http_status)status);
}

void
net_reply (struct net_exchange *exchange, int status, const char *type,
           struct pl_str body, int retry_after_s)
{
  struct evbuffer *out = bufferevent_get_output (exchange->bev);
  if (exchange->server->draining || exchange->server->no_keep_alive
      || !http_should_keep_alive (&exchange->message.parser))
    exchange->close_after_reply = true;
  evbuffer_add_printf (out, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n",
                       status, reason_phrase (status), body.len);
  if (type != NULL)
    evbuffer_add_printf (out, "Content-Type: %s\r\n", type);
  if (retry_after_s > 0)
    evbuffer_add_printf (out, "Retry-After: %d\r\n", retry_after_s);
  if (exchange->close_after_reply)
    evbuffer_add_printf (out, "Connection: close\r\n");
  evbuffer_add (out, "\r\n", 2);
  evbuffer_add (out, body.data, body.len);
  exchange->busy = false;
  exchange->user = NULL;
  net_message_reset (&exchange->message);
  if (exchange->in_callback || exchange->close_after_reply)
    return;
  if (evbuffer_get_length (bufferevent_get_input (exchange->bev)) > 0)
    bufferevent_trigger (exchange->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

/* Replies to input that is not a valid request, and closes the
   connection.  */
static void
reject_malformed (struct net_exchange *exchange)
{
  exchange->close_after_reply = true;
  net_reply (exchange, exchange->message.too_large ? 413 : 400, NULL,
             pl_str (""), 0);
  bufferevent_disable (exchange->bev, EV_READ);
}

/* Parses the input and serves its requests, until one waits for its reply.  */
static void
process_input (struct net_exchange *exchange)
{
  struct evbuffer *in = bufferevent_get_input (exchange->bev);
  while (!exchange->busy && !exchange->close_after_reply)
    {
      if (!net_message_feed (&exchange->message, in))
        {
          reject_malformed (exchange);
          return;
        }
      if (!exchange->message.complete)
        return;
      struct net_request request = {
        .method = http_method_str (exchange->message.parser.method),
        .target
        = { exchange->message.target->str, exchange->message.target->len },
        .body = { exchange->message.body->str, exchange->message.body->len },
      };
      exchange->busy = true;
      exchange->in_callback = true;
      exchange->server->ops->request (exchange->server->ctx, exchange,
                                      &request);
      exchange->in_callback = false;
    }
  if (exchange->busy && evbuffer_get_length (in) >= MAX_UNREAD_BYTES)
    await_close (exchange);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *addr, int len, void *arg)
{
  (void)listener;
  (void)addr;
  (void)len;
  struct net_server *server = arg;
  struct net_exchange *exchange = g_new0 (struct net_exchange, 1);
  net_set_socket_options (fd);
  exchange->server = server;
  exchange->bev
      = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  exchange->node.data = exchange;
  net_message_init (&exchange->message, HTTP_REQUEST, server->max_body);
  g_queue_push_tail_link (&server->connections, &exchange->node);
  bufferevent_setcb (exchange->bev, on_read, on_written, on_event, exchange);
  bufferevent_setwatermark (exchange->bev, EV_READ, 0, MAX_UNREAD_BYTES);
  bufferevent_enable (exchange->bev, EV_READ | EV_WRITE);
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
net_server_set_keep_alive (struct net_server *server, bool keep_alive)
{
  server->no_keep_alive = !keep_alive;
}

void
net_server_drain (struct net_server *server, bool close_idle)
{
  server->draining = true;
  GList *next;
  for (GList *l = server->connections.head; l != NULL; l = next)
    {
      next = l->next;
      struct net_exchange *exchange = l->data;
      bool idle
          = !exchange->busy && !exchange->close_after_reply
            && exchange->message.target->len == 0
            && evbuffer_get_length (bufferevent_get_input (exchange->bev))
                   == 0;
      if (close_idle && idle)
        exchange_free (exchange);
    }
}

unsigned
net_server_count_connections (const struct net_server *server)
{
  return server->connections.length;
}

void
net_server_limit_body (struct net_server *server, size_t max_body)
{
  server->max_body = max_body;
}

const char *
net_exchange_header (const struct net_exchange *exchange, const char *name)
{
  return net_message_header (&exchange->message, name);
}

void
net_exchange_set_user (struct net_exchange *exchange, void *user)
{
  exchange->user = user;
}

void *
net_exchange_user (const struct net_exchange *exchange)
{
  return exchange->user;
}
