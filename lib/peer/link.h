/* ZeroMQ sockets: a ROUTER receives, one DEALER an address sends.  Replies
   travel over the DEALER to the sender's address, so that no message depends
   on which side has connected first.  */
#pragma once

#include "msg.h"
#include "pl.h"

struct link
{
  struct pl_addr addr;
  void *sock;
  bool heartbeat_due; /* a heartbeat is due whoever the peer is */
  int64_t next_heartbeat_us;
  int64_t expires_us; /* 0: never; for addresses that are no peer's */
};

/* Binds a ROUTER to ADDR; null with ERR set on failure.  */
void *link_bind (void *ctx, struct pl_addr addr, enum msg_channel channel,
                 struct pl_err *err);
/* Connects from SOURCE (0: any).  Null if no socket is left.  IMMEDIATE: send
   only while connected.  */
struct link *link_new (void *ctx, uint32_t source, struct pl_addr addr,
                       bool immediate);
void link_free (struct link *link);
/* Keeps unsent messages for MS after link_free.  */
void link_linger (struct link *link, int ms);
/* Packs and sends without waiting; false if it was not queued.  */
bool link_send (struct link *link, Msg__Envelope *envelope,
                enum msg_channel channel);

enum link_recv_result
{
  LINK_EMPTY,
  LINK_MESSAGE,
  LINK_BAD, /* counted, logged and dropped */
};

/* Takes one message from a ROUTER without waiting.  */
enum link_recv_result link_recv (void *sock, enum msg_channel channel,
                                 Msg__Envelope **out);
/* Counts a dropped message and logs it unless too many were logged.  */
void link_report_drop (uint64_t from, const char *reason, size_t bytes);
