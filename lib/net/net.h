/* Event-driven networking for the single-threaded daemon
   papayaloft-platformd: an HTTP/1.1 server, a pool of HTTP/1.1 client
   connections and framed links between instances.  Nothing here takes a lock:
   every function is called, and every callback runs, on the thread of the
   event loop.  */
#pragma once

#include "pl.h"

#include <event2/event.h>

/* HTTP server.  */

struct net_server;
struct net_exchange; /* a request that waits for its reply */

struct net_request
{
  const char *method;
  struct pl_str target; /* path and query, not decoded */
  struct pl_str body;
};

/* Callbacks of a server.  */
struct net_server_ops
{
  /* A complete request has arrived.  The callback, or a later event, calls
     net_reply.  REQUEST is valid until the callback returns or replies.  */
  void (*request) (void *ctx, struct net_exchange *exchange,
                   const struct net_request *request);
  /* The caller closed its connection before the reply.  EXCHANGE is freed
     when the callback returns.  */
  void (*aborted) (void *ctx, struct net_exchange *exchange);
};

struct net_server_config
{
  struct pl_addr addr;
  const struct net_server_ops *ops;
  void *ctx;
  size_t max_body; /* in bytes; requests with larger ones get status 413 */
};

/* Listens on the configured address.  Returns null and sets ERR on
   failure.  */
struct net_server *net_server_new (struct event_base *base,
                                   const struct net_server_config *config,
                                   struct pl_err *err);
/* Whether connections stay open after a reply, which is so at first.  */
void net_server_set_keep_alive (struct net_server *server, bool keep_alive);
/* Makes each connection close after its next reply.  If CLOSE_IDLE is set,
   idle connections are closed at once.  */
void net_server_drain (struct net_server *server, bool close_idle);
/* Returns the number of open connections.  */
unsigned net_server_count_connections (const struct net_server *server);
/* Sets the limit max_body of connections accepted from now on.  */
void net_server_limit_body (struct net_server *server, size_t max_body);
/* Value of request header NAME, or null if it is absent.  */
const char *net_exchange_header (const struct net_exchange *exchange,
                                 const char *name);
/* Attaches the caller's own data to EXCHANGE; net_reply detaches it.  */
void net_exchange_set_user (struct net_exchange *exchange, void *user);
void *net_exchange_user (const struct net_exchange *exchange);
/* Sends the reply.  TYPE is its Content-Type or null; RETRY_AFTER_S 0 omits
   the Retry-After header.  */
void net_reply (struct net_exchange *exchange, int status, const char *type,
                struct pl_str body, int retry_after_s);

/* HTTP client.  */

struct net_pool; /* connections to one address */

/* STATUS 0 means that no complete response arrived.  SENT then tells whether
   any byte of the request may have been sent: if not, the request can safely
   be repeated.  REFUSED: nothing listens at the address.  TOO_LARGE: a
   response arrived that exceeds the limit.  BODY is valid during the callback.
 */
struct net_response
{
  int status;
  bool sent;
  bool refused;
  struct pl_str body;
  bool too_large;
};

/* Receives the response, or the failure, of a request.  */
typedef void (*net_response_fn) (void *arg, const struct net_response *resp);

struct net_pool *net_pool_new (struct event_base *base, struct pl_addr addr);
/* Closes all connections; outstanding requests complete with status 0.  */
void net_pool_free (struct net_pool *pool);

/* A request to send.  */
struct net_client_request
{
  const char *method;
  const char *target;
  const char *headers; /* further lines, each with its CRLF, or null */
  struct pl_str body;
  int64_t timeout_us;
  net_response_fn done;
  void *arg;
};

/* Sends a request on an idle connection or a new one.  The callback DONE is
   called exactly once, after net_pool_send has returned.  */
void net_pool_send (struct net_pool *pool,
                    const struct net_client_request *request);

/* Framed links between instances.  A link carries frames in one direction: an
   instance sends on the links that it opens (outgoing) and receives on those
   that it accepts (incoming).  */

struct net_endpoint; /* listening socket and callbacks of an instance's links
                      */
struct net_link;     /* an outgoing or incoming link */

/* Callbacks of the links.  */
struct net_endpoint_ops
{
  /* A frame has arrived on the incoming link LINK.  FRAME is valid during the
     callback.  */
  void (*frame) (void *ctx, struct net_link *link, struct pl_str frame);
  /* The incoming link LINK has ended; it is freed when the callback
     returns.  */
  void (*closed) (void *ctx, struct net_link *link);
  /* The outgoing link LINK is connected.  */
  void (*up) (void *ctx, struct net_link *link);
  /* The connection of the outgoing link LINK ended or could not be made; a new
     attempt is scheduled.  REFUSED: nothing listens at the address.  */
  void (*down) (void *ctx, struct net_link *link, bool refused);
};

/* Listens for incoming links.  Returns null and sets ERR on failure.  */
struct net_endpoint *net_endpoint_new (struct event_base *base,
                                       struct pl_addr listen,
                                       const struct net_endpoint_ops *ops,
                                       void *ctx, struct pl_err *err);
/* Opens an outgoing link, which reconnects until it is closed.  */
struct net_link *net_endpoint_connect (struct net_endpoint *endpoint,
                                       struct pl_addr addr);
/* Closes and frees LINK.  No callback is called for it any more.  */
void net_link_close (struct net_link *link);
/* Reconnects an outgoing link at once if it is not connected.  For a caller
   that has learned that the peer is reachable: the attempt in progress may
   otherwise wait for its timeout.  */
void net_link_reconnect (struct net_link *link);
/* Queues FRAME; drops it if the link is not connected or too much output is
   unsent.  */
void net_link_send (struct net_link *link, struct pl_str frame);
/* Attaches the caller's own data to LINK.  */
void net_link_set_user (struct net_link *link, void *user);
void *net_link_user (const struct net_link *link);
