/* Internals of lib/net: the HTTP message parser, which the server and the
   client share, and socket functions, which the links use as well.  */
#pragma once

#include "net.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <http_parser.h>
#include <netinet/in.h>

/* Limit of the target, and likewise of all header fields together.  */
#define NET_MAX_HEADER_BYTES 16384

/* An HTTP request or response as far as it has been parsed.  */
struct net_message
{
  http_parser parser;
  GString *target;
  GString *fields; /* name NUL value NUL, repeated */
  GString *body;
  bool in_value; /* the parser's last header callback was for a value */
  bool complete;
  bool too_large; /* a limit was exceeded; parsing has failed */
  size_t max_body;
};

void net_message_init (struct net_message *message, enum http_parser_type type,
                       size_t max_body);
/* Makes MESSAGE ready for the next message of its connection.  */
void net_message_reset (struct net_message *message);
/* Frees the buffers of MESSAGE.  */
void net_message_clear (struct net_message *message);
/* Value of header NAME, or null if it is absent.  */
const char *net_message_header (const struct net_message *message,
                                const char *name);
/* Parses INPUT and removes what was parsed, until the message is complete or
   INPUT is empty.  Returns false if the message is malformed or too large.  */
bool net_message_feed (struct net_message *message, struct evbuffer *input);

struct sockaddr_in net_sockaddr (struct pl_addr addr);
/* Listens on ADDR.  Returns null and sets ERR on failure.  */
struct evconnlistener *net_listen (struct event_base *base,
                                   struct pl_addr addr,
                                   evconnlistener_cb on_accept, void *ctx,
                                   struct pl_err *err);
/* Sets TCP_NODELAY and TCP_USER_TIMEOUT.  */
void net_set_socket_options (int fd);
