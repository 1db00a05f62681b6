/* ZeroMQ sockets.  Each thread receives on one ROUTER and sends over one
   DEALER for each address.  A reply also goes over the DEALER to the sender's
   address, not over the ROUTER, so that no message depends on which side has
   connected first.  */
#pragma once

#include "msg.h"
#include "pl.h"

struct link
{
  struct pl_addr addr;
  void *sock;
  bool heartbeat_due; /* one is to be sent even to a peer that gets digests */
  int64_t next_heartbeat_us;
  int64_t expires_us; /* may be closed then; 0: never */
};

/* Binds a ROUTER to ADDR; null with ERR set on failure.  */
void *link_bind (void *ctx, struct pl_addr addr, enum msg_channel channel,
                 struct pl_err *err);
/* Connects to ADDR from the local address SOURCE (0: any).  IMMEDIATE: refuse
   to queue messages while the connection is down.  Null if no socket is
   left.  */
struct link *link_new (void *ctx, uint32_t source, struct pl_addr addr,
                       bool immediate);
void link_free (struct link *link);
/* Lets unsent messages be sent for MS after link_free.  */
void link_linger (struct link *link, int ms);
/* Encodes and queues ENVELOPE without blocking; false if it is too large or
   was not queued.  */
bool link_send (struct link *link, Msg__Envelope *envelope,
                enum msg_channel channel);

enum link_recv_result
{
  LINK_EMPTY, /* no message is queued */
  LINK_MESSAGE,
  LINK_BAD, /* counted, logged and dropped */
};

/* Receives one message from a ROUTER without blocking.  */
enum link_recv_result link_recv (void *sock, enum msg_channel channel,
                                 Msg__Envelope **out);
/* Counts a dropped message and logs it, up to a limit of log lines a second.
   Any thread.  */
void link_report_drop (uint64_t from, const char *reason, size_t bytes);
