/* Pool of HTTP/1.1 client connections to one address.  A connection carries
   one request at a time.  It is closed after a failure or a timeout, and when
   bytes arrive that belong to no request: a late or doubled response must not
   be taken for that of the next request.  */
#include "net_priv.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/* A page of the store's listing has up to 1 MB.  */
#define MAX_RESPONSE_BYTES ((size_t)2 * 1024 * 1024)

struct net_client_conn
{
  struct net_pool *pool;
  struct bufferevent *bev;
  struct event *timer;
  struct net_message message;
  GList node; /* in the pool's list of connections */
  bool busy;  /* a request waits for its response */
  size_t request_bytes;
  net_response_fn done;
  void *arg;
};

struct net_pool
{
  struct event_base *base;
  struct pl_addr addr;
  GQueue connections; /* idle ones at the head, busy ones at the tail */
};

static void
conn_free (struct net_client_conn *conn)
{
  g_queue_unlink (&conn->pool->connections, &conn->node);
  event_free (conn->timer);
  bufferevent_free (conn->bev);
  net_message_clear (&conn->message);
  g_free (conn);
}

/* Whether any byte of the request may have been sent.  BEV_EVENT_CONNECTED
   can't tell: it is deferred, so that the first bytes leave before it.  */
static bool
may_have_been_sent (const struct net_client_conn *conn)
{
  size_t unsent = evbuffer_get_length (bufferevent_get_output (conn->bev));
  return unsent < conn->request_bytes;
}

/* Closes the connection; its request, if any, completes with status 0.  */
static void
conn_fail (struct net_client_conn *conn, bool refused)
{
  bool busy = conn->busy;
  struct net_response resp = { .status = 0,
                               .sent = may_have_been_sent (conn),
                               .refused = refused,
                               .too_large = conn->message.too_large };
  net_response_fn done = conn->done;
  void *arg = conn->arg;
  conn_free (conn);
  if (busy)
    done (arg, &resp);
}

static void
log_unsolicited (const struct net_client_conn *conn)
{
  char addr[PL_ADDR_TEXT];
  size_t n = evbuffer_get_length (bufferevent_get_input (conn->bev));
  pl_log (PL_EV_UNSOLICITED, "address=%s bytes=%zu",
          pl_addr_text (conn->pool->addr, addr), n);
}

static bool
has_unread_input (const struct net_client_conn *conn)
{
  return evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0;
}

static void
conn_complete (struct net_client_conn *conn)
{
  struct net_response resp = {
    .status = (int)conn->message.parser.status_code,
    .sent = true,
    .body = { conn->message.body->str, conn->message.body->len },
  };
  net_response_fn done = conn->done;
  void *arg = conn->arg;
  bool excess = has_unread_input (conn);
  bool keep_alive = http_should_keep_alive (&conn->message.parser) && !excess;
  if (excess)
    log_unsolicited (conn);
  /* The callback may send the next request on this connection, which reuses
     the message; the body must stay valid until the callback returns.  */
  GString *body = conn->message.body;
  conn->message.body = g_string_sized_new (128);
  event_del (conn->timer);
  conn->busy = false;
  if (keep_alive)
    {
      net_message_reset (&conn->message);
      g_queue_unlink (&conn->pool->connections, &conn->node);
      g_queue_push_head_link (&conn->pool->connections, &conn->node);
    }
  else
    conn_free (conn);
  done (arg, &resp);
  g_string_free (body, TRUE);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct net_client_conn *conn = arg;
  /* The timeout, which came first, has read what this is called for.  */
  if (!has_unread_input (conn))
    return;
  /* Bytes that arrive while no byte of a request was sent answer nothing.  */
  if (!conn->busy || !may_have_been_sent (conn))
    {
      log_unsolicited (conn);
      conn_fail (conn, false);
      return;
    }
  if (!net_message_feed (&conn->message, bufferevent_get_input (bev)))
    conn_fail (conn, false);
  else if (conn->message.complete)
    conn_complete (conn);
}

static void
on_event (struct bufferevent *bev, short events, void *arg)
{
  struct net_client_conn *conn = arg;
  if (events & BEV_EVENT_CONNECTED)
    {
      net_set_socket_options (bufferevent_getfd (bev));
      return;
    }
  conn_fail (conn, (events & BEV_EVENT_ERROR) && errno == ECONNREFUSED);
}

static void
on_timeout (evutil_socket_t fd, short events, void *arg)
{
  (void)fd;
  (void)events;
  struct net_client_conn *conn = arg;
  /* If the process was not scheduled for a while, the response may have
     arrived in time and be unread.  */
  struct evbuffer *in = bufferevent_get_input (conn->bev);
  if (may_have_been_sent (conn) && evbuffer_get_length (in) > 0
      && net_message_feed (&conn->message, in) && conn->message.complete)
    conn_complete (conn);
  else
    conn_fail (conn, false);
}

struct net_pool *
net_pool_new (struct event_base *base, struct pl_addr addr)
{
  struct net_pool *pool = g_new0 (struct net_pool, 1);
  pool->base = base;
  pool->addr = addr;
  g_queue_init (&pool->connections);
  return pool;
}

void
net_pool_free (struct net_pool *pool)
{
  struct net_client_conn *conn;
  while ((conn = g_queue_peek_head (&pool->connections)) != NULL)
    conn_fail (conn, false);
  g_free (pool);
}

static struct net_client_conn *
conn_open (struct net_pool *pool)
{
  struct sockaddr_in sin = net_sockaddr (pool->addr);
  struct net_client_conn *conn = g_new0 (struct net_client_conn, 1);
  conn->pool = pool;
  conn->node.data = conn;
  conn->bev = bufferevent_socket_new (
      pool->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  conn->timer = evtimer_new (pool->base, on_timeout, conn);
  net_message_init (&conn->message, HTTP_RESPONSE, MAX_RESPONSE_BYTES);
  g_queue_push_tail_link (&pool->connections, &conn->node);
  bufferevent_setcb (conn->bev, on_read, NULL, on_event, conn);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  /* An immediate failure is reported through on_event as well.  */
  (void)bufferevent_socket_connect (conn->bev, (struct sockaddr *)&sin,
                                    sizeof sin);
  return conn;
}

/* Whether an idle connection has received bytes since its last response, or
   has ended.  The event that tells so may not have been handled yet.  */
static bool
is_stale (const struct net_client_conn *conn)
{
  char byte;
  if (has_unread_input (conn))
    return true;
  ssize_t n = recv (bufferevent_getfd (conn->bev), &byte, sizeof byte,
                    MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* An idle connection, or null.  Closes the stale ones.  */
static struct net_client_conn *
find_idle (struct net_pool *pool)
{
  GList *next;
  for (GList *l = pool->connections.head; l != NULL; l = next)
    {
      struct net_client_conn *conn = l->data;
      next = l->next;
      if (conn->busy)
        return NULL;
      if (!is_stale (conn))
        return conn;
      if (has_unread_input (conn))
        log_unsolicited (conn);
      conn_free (conn);
    }
  return NULL;
}

void
net_pool_send (struct net_pool *pool, const struct net_client_request *request)
{
  struct net_client_conn *conn = find_idle (pool);
  if (conn == NULL)
    conn = conn_open (pool);
  conn->busy = true;
  conn->done = request->done;
  conn->arg = request->arg;
  g_queue_unlink (&pool->connections, &conn->node);
  g_queue_push_tail_link (&pool->connections, &conn->node);
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  char host[PL_ADDR_TEXT];
  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s",
                       request->method, request->target,
                       pl_addr_text (pool->addr, host),
                       request->headers == NULL ? "" : request->headers);
  if (request->body.len > 0)
    evbuffer_add_printf (out,
                         "Content-Type: application/json\r\n"
                         "Content-Length: %zu\r\n",
                         request->body.len);
  evbuffer_add (out, "\r\n", 2);
  evbuffer_add (out, request->body.data, request->body.len);
  conn->request_bytes = evbuffer_get_length (out);
  struct timeval timeout
      = { request->timeout_us / 1000000, request->timeout_us % 1000000 };
  evtimer_add (conn->timer, &timeout);
}
