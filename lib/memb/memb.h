/* Membership of entry instances as one instance sees it.  */
#pragma once

#include "claim.h"
#include "pl.h"

enum memb_state
{
  MEMB_ALIVE,
  MEMB_SUSPECT, /* silent for the suspicion time */
  MEMB_DEAD,    /* silent for the dead time: its slots are shared */
  MEMB_LEFT,    /* said that it stops */
};

struct memb_peer
{
  claim_id id;
  char domain[33];
  struct pl_addr control; /* the relay is on the next port */
  enum memb_state state;
  bool draining;
  int64_t epoch;    /* of its key prefixes */
  claim_id witness; /* named by its new prefixes */
  int64_t revision; /* configuration in force there */
};

/* A stopped owner and the instance that vouches for it now.  */
struct memb_heir
{
  claim_id owner;
  claim_id heir;
};

/* Immutable, published through a pl_slot by the control thread.  */
struct memb_view
{
  struct pl_shared base;
  struct memb_peer self;
  struct memb_peer *peers;
  unsigned n_peers;
  struct memb_heir *heirs;
  unsigned n_heirs;
  /* Live instances of the own failure domain, self included, sorted by id;
     the slots of a worker are divided among them.  */
  claim_id *sharers;
  unsigned n_sharers;
};

/* Null if it is not known.  */
const struct memb_peer *
memb_find (const struct memb_view *view, claim_id id);
/* The instance that vouches for OWNER now: OWNER itself if it is known and has
   not left, else its heir, else 0.  */
claim_id
memb_authority (const struct memb_view *view, claim_id owner);
/* Writes the key prefix that this instance issues: its own, or a peer's while
   it drains.  */
char *
memb_prefix (const struct memb_view *view, char buf[CLAIM_PREFIX_TEXT]);
/* The slots out of SLOTS of worker ADDR that belong to instance ID.  The
   shares of all sharers add up to SLOTS.  */
unsigned
memb_share (const struct memb_view *view, claim_id id, struct pl_addr addr,
            unsigned slots);
