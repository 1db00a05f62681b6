/* Pool of HTTP/1.1 client connections to one address.  A connection carries
   one request at a time; one that failed or timed out is never used again.  */
#include "net_priv.h"

#include <string.h>

#define MAX_RESPONSE_BYTES                                                    \
  ((size_t)2 * 1024 * 1024) /* a page of the store is 1 MB                    \
                             */

struct net_call
{
  struct net_pool *pool;
  struct bufferevent *bev;
  struct event *timer;
  struct net_message message;
  GList link; /* in the pool's list of connections */
  bool busy;
  size_t request_bytes; /* given to the connection */
  net_response_fn done;
  void *arg;
};

struct net_pool
{
  struct event_base *base;
  struct pl_addr addr;
  GQueue calls; /* all connections; idle ones at the head */
};

static void
call_free (struct net_call *call)
{
  g_queue_unlink (&call->pool->calls, &call->link);
  event_free (call->timer);
  bufferevent_free (call->bev);
  net_message_clear (&call->message);
  g_free (call);
}

/* Whether any byte of the request may have left.  The event that tells of a
   new connection is no measure: it is deferred, and comes after the first
   bytes.  */
static bool
may_be_sent (const struct net_call *call)
{
  size_t left = evbuffer_get_length (bufferevent_get_output (call->bev));
  return left < call->request_bytes;
}

/* Ends the connection and its request, if any, without a response.  */
static void
call_fail (struct net_call *call)
{
  bool busy = call->busy;
  struct net_response resp = { .status = 0, .sent = may_be_sent (call) };
  net_response_fn done = call->done;
  void *arg = call->arg;
  call_free (call);
  if (busy)
    done (arg, &resp);
}

static void
call_complete (struct net_call *call)
{
  struct net_response resp = {
    .status = (int)call->message.parser.status_code,
    .sent = true,
    .body = { call->message.body->str, call->message.body->len },
  };
  net_response_fn done = call->done;
  void *arg = call->arg;
  bool keep = http_should_keep_alive (&call->message.parser);
  /* The body must outlive the callback, which may send the next request. */
  GString *body = call->message.body;
  call->message.body = g_string_sized_new (128);
  event_del (call->timer);
  call->busy = false;
  if (keep)
    {
      net_message_reset (&call->message);
      g_queue_unlink (&call->pool->calls, &call->link);
      g_queue_push_head_link (&call->pool->calls, &call->link);
    }
  else
    call_free (call);
  done (arg, &resp);
  g_string_free (body, TRUE);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct net_call *call = arg;
  if (!call->busy)
    {
      call_free (call); /* bytes that nobody asked for */
      return;
    }
  if (!net_message_feed (&call->message, bufferevent_get_input (bev)))
    call_fail (call);
  else if (call->message.complete)
    call_complete (call);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct net_call *call = arg;
  if (what & BEV_EVENT_CONNECTED)
    {
      net_tune_socket (bufferevent_getfd (bev));
      return;
    }
  call_fail (call);
}

static void
on_timeout (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  struct net_call *call = arg;
  /* After a pause of the process the response may have come in time.  */
  struct evbuffer *in = bufferevent_get_input (call->bev);
  if (evbuffer_get_length (in) > 0 && net_message_feed (&call->message, in)
      && call->message.complete)
    call_complete (call);
  else
    call_fail (call);
}

struct net_pool *
net_pool_new (struct event_base *base, struct pl_addr addr)
{
  struct net_pool *pool = g_new0 (struct net_pool, 1);
  pool->base = base;
  pool->addr = addr;
  g_queue_init (&pool->calls);
  return pool;
}

void
net_pool_free (struct net_pool *pool)
{
  struct net_call *call;
  while ((call = g_queue_peek_head (&pool->calls)) != NULL)
    call_fail (call);
  g_free (pool);
}

static struct net_call *
call_open (struct net_pool *pool)
{
  struct sockaddr_in sin = net_sockaddr (pool->addr);
  struct net_call *call = g_new0 (struct net_call, 1);
  call->pool = pool;
  call->link.data = call;
  call->bev = bufferevent_socket_new (
      pool->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  call->timer = evtimer_new (pool->base, on_timeout, call);
  net_message_init (&call->message, HTTP_RESPONSE, MAX_RESPONSE_BYTES);
  g_queue_push_tail_link (&pool->calls, &call->link);
  bufferevent_setcb (call->bev, on_read, NULL, on_event, call);
  bufferevent_enable (call->bev, EV_READ | EV_WRITE);
  /* A failure at once is reported through on_event as well.  */
  (void)bufferevent_socket_connect (call->bev, (struct sockaddr *)&sin,
                                    sizeof sin);
  return call;
}

void
net_pool_send (struct net_pool *pool, const struct net_send *send)
{
  struct net_call *call
      = pool->calls.head == NULL ? NULL : pool->calls.head->data;
  if (call == NULL || call->busy)
    call = call_open (pool);
  call->busy = true;
  call->done = send->done;
  call->arg = send->arg;
  g_queue_unlink (&pool->calls, &call->link);
  g_queue_push_tail_link (&pool->calls, &call->link);
  struct evbuffer *out = bufferevent_get_output (call->bev);
  char host[PL_ADDR_TEXT];
  evbuffer_add_printf (out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", send->method,
                       send->target, pl_addr_text (pool->addr, host),
                       send->headers == NULL ? "" : send->headers);
  if (send->body.len > 0)
    evbuffer_add_printf (out,
                         "Content-Type: application/json\r\n"
                         "Content-Length: %zu\r\n",
                         send->body.len);
  evbuffer_add (out, "\r\n", 2);
  evbuffer_add (out, send->body.data, send->body.len);
  call->request_bytes = evbuffer_get_length (out);
  struct timeval tv
      = { send->timeout_us / 1000000, send->timeout_us % 1000000 };
  evtimer_add (call->timer, &tv);
}
