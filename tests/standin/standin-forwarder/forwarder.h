/* A TCP forwarder that tests use to stall or cut links.  */
#pragma once

#include "pl.h"

#define BUFFER_BYTES 65536
#define MAX_RULES 64
#define MAX_FILTERS 256

/* Connections to LISTEN are forwarded to TARGET.  */
struct rule
{
  struct pl_addr listen;
  struct pl_addr target;
  int fd;
};

enum filter_mode
{
  FILTER_PASS,
  FILTER_STALL, /* keeps connections and moves no byte */
  FILTER_CUT,   /* closes connections and refuses new ones */
};

/* The latest filter that matches decides.  SOURCE and LISTEN 0 match all. */
struct filter
{
  enum filter_mode mode;
  uint32_t source; /* IPv4 address of the connecting side */
  struct pl_addr listen;
};

struct filters
{
  struct filter list[MAX_FILTERS];
  unsigned n;
};

enum filter_mode filters_mode (const struct filters *filters, uint32_t source,
                               struct pl_addr listen);
/* Runs "pass|stall|cut <ip|*> <ip:port|*>"; false if LINE is malformed.  */
bool filters_command (struct filters *filters, const char *line);

/* One direction of a connection.  */
struct pipe
{
  char data[BUFFER_BYTES];
  size_t len;
  bool ended; /* the reading side has closed */
};

struct link
{
  int fds[2]; /* connecting side, target side */
  struct pipe pipes[2];
  uint32_t source;
  struct pl_addr listen;
};

/* Null if the target can't be connected to.  Takes over FD.  */
struct link *link_open (int fd, uint32_t source, const struct rule *rule);
void link_close (struct link *link, bool reset);
/* Events to poll for on side SIDE.  */
short link_events (const struct link *link, int side);
/* Moves what can be moved; false when the connection is done.  */
bool link_move (struct link *link, int side, short revents);
