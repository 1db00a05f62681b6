/* Internals that the server and the client of lib/net share.  */
#pragma once

#include "net.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <netinet/in.h>

#define NET_MAX_HEADERS 64         /* header fields kept of a message */
#define NET_MAX_HEADER_BYTES 16384 /* target and header fields together */

/* A message under construction.  */
struct net_message
{
  http_parser parser;
  GString *target;
  GString *fields; /* name NUL value NUL, repeated */
  GString *body;
  bool in_value;
  bool complete;
  bool too_large;
  size_t max_body;
};

void net_message_init (struct net_message *message, enum http_parser_type type,
                       size_t max_body);
void net_message_reset (struct net_message *message);
void net_message_clear (struct net_message *message);
const char *net_message_header (const struct net_message *message,
                                const char *name);
/* Feeds INPUT to the parser until a message is complete or input ends; false
   on a malformed message.  */
bool net_message_feed (struct net_message *message, struct evbuffer *input);

struct sockaddr_in net_sockaddr (struct pl_addr addr);
/* Listens on ADDR; null and ERR if that fails.  */
struct evconnlistener *net_listen (struct event_base *base,
                                   struct pl_addr addr,
                                   evconnlistener_cb on_accept, void *ctx,
                                   struct pl_err *err);
/* Sets TCP_NODELAY and TCP_USER_TIMEOUT.  */
void net_tune_socket (int fd);
