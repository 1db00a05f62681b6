/* TCP forwarder by which tests stall or cut connections between instances and
   to workers, as a network does that loses packets or resets connections.
   Single-threaded, with poll.  */
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
  FILTER_STALL, /* keeps connections open but forwards no byte */
  FILTER_CUT,   /* resets connections and closes new ones at once */
};

/* Sets the mode of the connections that match it.  Of several filters that
   match, the latest applies.  A SOURCE or LISTEN of 0 matches all.  */
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

/* The mode of connections from SOURCE to LISTEN.  */
enum filter_mode filters_match (const struct filters *filters, uint32_t source,
                                struct pl_addr listen);
/* Runs "pass|stall|cut <ip|*> <ip:port|*>"; false if LINE is malformed or
   there are too many filters.  */
bool filters_run_command (struct filters *filters, const char *line);

/* One direction of a connection: bytes read from one side and not yet written
   to the other.  */
struct direction
{
  char data[BUFFER_BYTES];
  size_t len;
  bool eof; /* the side that it reads from has closed */
};

/* A forwarded connection.  Its two sides are the connecting one (0) and the
   target (1).  */
struct connection
{
  int fds[2];                     /* by side */
  struct direction directions[2]; /* by the side that it reads from */
  uint32_t source;
  struct pl_addr listen;
};

/* Connects to the target of RULE for the accepted connection FD.  Returns null
   if the target can't be connected to.  Takes ownership of FD.  */
struct connection *connection_open (int fd, uint32_t source,
                                    const struct rule *rule);
/* Closes both sides; RESET: with a TCP reset.  */
void connection_close (struct connection *connection, bool reset);
/* Events to poll for on SIDE.  */
short connection_poll_events (const struct connection *connection, int side);
/* Reads from and writes to SIDE what it can without blocking.  Returns false
   when the connection has ended.  */
bool connection_transfer (struct connection *connection, int side,
                          short revents);
