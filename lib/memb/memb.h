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
  claim_instance_id id;
  char domain[33];
  struct pl_addr control; /* the relay is on the next port */
  enum memb_state state;
  bool draining;
  int64_t epoch;             /* of its key prefixes */
  claim_instance_id witness; /* named by its new prefixes */
  int64_t revision;          /* configuration in force there */
};

/* A stopped owner and the instance that vouches for it now.  */
struct memb_heir
{
  claim_instance_id owner;
  claim_instance_id heir;
};

/* Immutable, published through a pl_rcu_ptr by the control thread.  */
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
  claim_instance_id *sharers;
  unsigned n_sharers;
};

/* Null if it is not known.  */
const struct memb_peer *memb_find (const struct memb_view *view,
                                   claim_instance_id id);
/* The instance that vouches for OWNER now: OWNER itself if it is known and has
   not left, else its heir, else 0.  */
claim_instance_id memb_authority (const struct memb_view *view,
                                  claim_instance_id owner);
/* Writes the key prefix that this instance issues: its own, or a peer's while
   it drains.  */
char *memb_prefix_text (const struct memb_view *view,
                        char buf[CLAIM_PREFIX_TEXT]);
/* The slots out of SLOTS of worker ADDR that belong to instance ID.  The
   shares of all sharers add up to SLOTS.  */
unsigned memb_share (const struct memb_view *view, claim_instance_id id,
                     struct pl_addr addr, unsigned slots);

/* The mutable table behind the views; the control thread owns it.  */
struct memb_table;

enum memb_change
{
  MEMB_CHANGE_UP, /* new, or heard again after suspicion */
  MEMB_CHANGE_SUSPECT,
  MEMB_CHANGE_DEAD,
  MEMB_CHANGE_LEFT,   /* said that it stops, or was replaced */
  MEMB_CHANGE_FORGOT, /* about to be removed from the table */
};

typedef void memb_change_fn (const struct memb_peer *peer,
                             enum memb_change change, int64_t silence_us,
                             void *user);

struct memb_opts
{
  struct pl_clock *clock;
  claim_instance_id self;
  const char *domain;
  struct pl_addr control;
  int64_t suspect_us;
  int64_t dead_us;
  /* Factor of both times for other domains, whose heartbeats are rarer.  */
  unsigned far_factor;
  int64_t forget_us;
  int64_t keep_us; /* for which heirs are remembered */
  memb_change_fn *changed;
  void *user;
};

/* Instances of a domain that exchange digests with other domains.  */
#define MEMB_RELAYS 2

/* One instance in a digest of its domain.  */
struct memb_member
{
  claim_instance_id id;
  struct pl_addr control;
  int64_t age_us; /* since the last sign of life */
  int64_t epoch;
};

#define MEMB_MAX_PEERS 1024
#define MEMB_MAX_HEIRS 64

struct memb_table *memb_table_new (const struct memb_opts *opts);
void memb_table_free (struct memb_table *table);
/* A heartbeat: SAID->state is ignored.  False if it is stale: from this
   instance, from one that has left, or beyond MEMB_MAX_PEERS.  Another
   incarnation at the same address counts as left.  */
bool memb_heard (struct memb_table *table, const struct memb_peer *said);
void memb_left (struct memb_table *table, claim_instance_id id);
/* A digest of the live instances of another DOMAIN.  An instance that is not
   in it counts as suspect after the suspicion time of heartbeats.  */
void memb_digest (struct memb_table *table, const char *domain,
                  const struct memb_member *members, unsigned n);
/* Writes the live instances of DOMAIN, self included, to OUT, at most MAX, and
   returns their number.  */
unsigned memb_members (const struct memb_table *table, const char *domain,
                       struct memb_member *out, unsigned max);
/* The live instances of DOMAIN with the lowest ids, self included.  */
unsigned memb_relays (const struct memb_table *table, const char *domain,
                      claim_instance_id out[MEMB_RELAYS]);
/* Silence after which an instance that is known by digests is suspected, if it
   is longer than that for heartbeats.  */
void memb_set_digest_silence (struct memb_table *table, int64_t silence_us);
/* OWNER has stopped and HEIR vouches for it.  */
void memb_add_heir (struct memb_table *table, claim_instance_id owner,
                    claim_instance_id heir);
/* Writes the owners that HEIR vouches for to OUT, MEMB_MAX_HEIRS at most, and
   returns their number.  */
unsigned memb_inherited (const struct memb_table *table,
                         claim_instance_id heir, claim_instance_id *out);
/* Applies the timings and chooses the witness.  */
void memb_tick (struct memb_table *table);
void memb_set_self (struct memb_table *table, int64_t epoch, int64_t revision,
                    bool draining);
/* Null if it is not known.  Valid until the next change of the table.  */
const struct memb_peer *memb_table_find (const struct memb_table *table,
                                         claim_instance_id id);
/* The peer at ADDR that has not left, or null.  */
const struct memb_peer *memb_table_at (const struct memb_table *table,
                                       struct pl_addr addr);
unsigned memb_table_count (const struct memb_table *table);
const struct memb_peer *memb_table_peer (const struct memb_table *table,
                                         unsigned index);
const struct memb_peer *memb_table_self (const struct memb_table *table);
/* A mute peer is heard but does not answer as a witness, as when messages pass
   in one direction only; it is not chosen until it is marked as answering.  */
void memb_set_mute (struct memb_table *table, claim_instance_id id, bool mute);
bool memb_is_mute (const struct memb_table *table, claim_instance_id id);
/* The best peer to take over this instance's records: the witness, else
   another live one of the domain, else of another domain; null if none.  */
const struct memb_peer *memb_choose_heir (const struct memb_table *table);
/* A new view if anything has changed since the last one, else null.  */
struct memb_view *memb_view_next (struct memb_table *table);
