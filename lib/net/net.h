/* Event-driven network plumbing for the single-threaded daemon: an HTTP/1.1
   server, a pool of HTTP/1.1 client connections and framed links between
   instances.  All callbacks run on the thread of the event loop.  */
#pragma once

#include "pl.h"

#include <event2/event.h>

/* A header field of a request; NAME is matched without regard to case.  */
struct net_header
{
  char *name;
  char *value;
};

/* HTTP server.  */

struct net_server;
struct net_exchange; /* one request and its reply */

struct net_request
{
  const char *method;
  struct pl_str target; /* path with query, as sent */
  struct pl_str body;
};

struct net_server_ops
{
  /* A whole request has arrived.  Reply at once or later.  */
  void (*request) (void *ctx, struct net_exchange *exchange,
                   const struct net_request *request);
  /* The caller has gone before its reply; EXCHANGE is freed on return.  */
  void (*gone) (void *ctx, struct net_exchange *exchange);
};

struct net_server_config
{
  struct pl_addr addr;
  const struct net_server_ops *ops;
  void *ctx;
  size_t max_body; /* bytes; larger bodies are answered with 413 */
};

/* Listens on the address; null and ERR if that fails.  */
struct net_server *net_server_new (struct event_base *base,
                                   const struct net_server_config *config,
                                   struct pl_err *err);
/* Closes each connection after its next reply, or at once if it is idle and
   CLOSE_IDLE is set.  */
void net_server_drain (struct net_server *server, bool close_idle);
unsigned net_server_connections (const struct net_server *server);
void net_server_limit_body (struct net_server *server, size_t max_body);
/* Value of a request header, null if absent.  */
const char *net_exchange_header (const struct net_exchange *exchange,
                                 const char *name);
void net_exchange_set_user (struct net_exchange *exchange, void *user);
void *net_exchange_user (const struct net_exchange *exchange);
/* Sends the reply.  RETRY_AFTER_S: 0 for no Retry-After header.  */
void net_reply (struct net_exchange *exchange, int status, const char *type,
                struct pl_str body, int retry_after_s);

/* HTTP client.  */

struct net_pool; /* connections to one address */

/* STATUS 0: no complete response; SENT then tells whether any byte of the
   request may have left.  */
struct net_response
{
  int status;
  bool sent;
  struct pl_str body;
};

typedef void (*net_response_fn) (void *arg, const struct net_response *resp);

struct net_pool *net_pool_new (struct event_base *base, struct pl_addr addr);
/* Drops all connections; outstanding requests get status 0.  */
void net_pool_free (struct net_pool *pool);

struct net_send
{
  const char *method;
  const char *target;
  const char *headers; /* whole lines that end in CRLF, or null */
  struct pl_str body;
  int64_t timeout_us;
  net_response_fn done;
  void *arg;
};

/* Sends a request on an idle connection or a new one.  DONE is called once,
   never before net_pool_send returns.  */
void net_pool_send (struct net_pool *pool, const struct net_send *send);

/* Framed links: an instance sends on the links that it opens and receives on
   those that it accepts.  */

struct net_hub;
struct net_link;

struct net_hub_ops
{
  /* A frame has arrived on incoming link LINK.  */
  void (*frame) (void *ctx, struct net_link *link, struct pl_str frame);
  /* An incoming link has ended.  */
  void (*closed) (void *ctx, struct net_link *link);
  /* An outgoing link is connected, or has failed and is opened again. */
  void (*up) (void *ctx, struct net_link *link);
  void (*down) (void *ctx, struct net_link *link, bool refused);
};

struct net_hub *net_hub_new (struct event_base *base, struct pl_addr listen,
                             const struct net_hub_ops *ops, void *ctx,
                             struct pl_err *err);
/* Opens an outgoing link and keeps it open.  */
struct net_link *net_hub_connect (struct net_hub *hub, struct pl_addr addr);
void net_link_close (struct net_link *link);
/* Begins anew if LINK is outgoing and not connected: the peer is known to be
   reachable, while an attempt from before may wait for its timeout.  */
void net_link_redial (struct net_link *link);
void net_link_send (struct net_link *link, struct pl_str frame);
void net_link_set_user (struct net_link *link, void *user);
void *net_link_user (const struct net_link *link);
