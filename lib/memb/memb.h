/* Membership of the entry instances as one instance sees it: which instances
   are alive, which one is the authority for an owner's keys, and how the slots
   of the workers are shared.  The control thread changes a table and publishes
   immutable views of it to the other threads.  */
#pragma once

#include "claim.h"
#include "pl.h"

enum memb_state
{
  MEMB_ALIVE,
  MEMB_SUSPECT, /* silent for the suspicion time */
  MEMB_DEAD,    /* silent for the dead time: the others share its slots */
  MEMB_LEFT,    /* announced that it stops, or was replaced */
};

struct memb_peer
{
  claim_instance_id id;
  char domain[33];
  struct pl_addr control; /* of the control socket; relay: the next port */
  enum memb_state state;
  bool draining;
  int64_t epoch;             /* current epoch of the keys it issues */
  claim_instance_id witness; /* named by these keys; 0: none or unknown */
  int64_t revision;          /* of the configuration in force there */
};

/* A stopped owner and the instance that has taken over its records and answers
   for its keys.  */
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
  /* The instances of the own failure domain that are alive or suspect, self
     included, sorted by id; the slots of a worker are divided among them.  */
  claim_instance_id *sharers;
  unsigned n_sharers;
};

/* Null if ID is not known.  */
const struct memb_peer *memb_find (const struct memb_view *view,
                                   claim_instance_id id);
/* The instance that answers for OWNER's keys now: OWNER itself if it is known
   and has not left, else its heir, else 0.  */
claim_instance_id memb_authority (const struct memb_view *view,
                                  claim_instance_id owner);
/* Writes the key prefix that this instance issues: its own, or a peer's while
   this instance drains.  */
char *memb_prefix_text (const struct memb_view *view,
                        char buf[CLAIM_PREFIX_TEXT]);
/* How many of the SLOTS of worker ADDR instance ID may use.  The shares of all
   sharers add up to SLOTS.  */
unsigned memb_share (const struct memb_view *view, claim_instance_id id,
                     struct pl_addr addr, unsigned slots);

/* The mutable table that the views are made from; only the control thread uses
   it.  */
struct memb_table;

enum memb_change
{
  MEMB_CHANGE_UP, /* new, or heard again after suspicion */
  MEMB_CHANGE_SUSPECT,
  MEMB_CHANGE_DEAD,
  MEMB_CHANGE_LEFT,      /* announced that it stops, or was replaced */
  MEMB_CHANGE_FORGOTTEN, /* about to be removed from the table */
};

/* Called when the state of PEER has changed; SILENCE_US is the time since PEER
   was last heard of.  */
typedef void memb_change_fn (const struct memb_peer *peer,
                             enum memb_change change, int64_t silence_us,
                             void *user);

struct memb_opts
{
  struct pl_clock *clock;
  claim_instance_id self;
  const char *domain;
  struct pl_addr control;
  int64_t suspect_us; /* silence after which a peer is suspect */
  int64_t dead_us;    /* silence after which a peer is dead */
  /* Factor of both times for peers of other domains, whose heartbeats are
     rarer.  */
  unsigned far_factor;
  int64_t forget_us; /* silence after which a peer is removed */
  int64_t keep_us;   /* time for which heirs are kept */
  memb_change_fn *changed;
  void *user;
};

/* The number of instances of a domain that exchange digests with other
   domains.  */
#define MEMB_DIGEST_RELAYS 2

/* One instance in the digest of a domain, which lists its live instances.  */
struct memb_member
{
  claim_instance_id id;
  struct pl_addr control;
  int64_t age_us; /* time since it was last heard of */
  int64_t epoch;
};

#define MEMB_MAX_PEERS 1024
#define MEMB_MAX_HEIRS 64

struct memb_table *memb_table_new (const struct memb_opts *opts);
void memb_table_free (struct memb_table *table);
/* Records a heartbeat with the contents of REPORTED, whose state is ignored.
   False if it is ignored: it comes from this instance or from one that has
   left, or there are MEMB_MAX_PEERS already.  Another incarnation at the same
   address is marked as left.  */
bool memb_on_heartbeat (struct memb_table *table,
                        const struct memb_peer *reported);
/* Marks a peer as left: it has announced that it stops.  */
void memb_set_left (struct memb_table *table, claim_instance_id id);
/* Records a digest of another DOMAIN.  A live instance that is not in it
   becomes suspect after the suspicion time of heartbeats, without waiting for
   the digest silence.  */
void memb_on_digest (struct memb_table *table, const char *domain,
                     const struct memb_member *members, unsigned n);
/* Writes the live instances of DOMAIN to OUT, at most MAX; returns their
   number.  This instance comes first if DOMAIN is its own.  */
unsigned memb_list_members (const struct memb_table *table, const char *domain,
                            struct memb_member *out, unsigned max);
/* Writes the digest relays of DOMAIN to OUT: its live instances with the
   lowest ids, this one included.  Returns their number.  */
unsigned memb_list_digest_relays (const struct memb_table *table,
                                  const char *domain,
                                  claim_instance_id out[MEMB_DIGEST_RELAYS]);
/* Sets the silence after which an instance of another domain is suspected, if
   that is longer than the suspicion time of heartbeats.  */
void memb_set_digest_silence (struct memb_table *table, int64_t silence_us);
/* Records that OWNER has stopped and that HEIR answers for its keys.  */
void memb_add_heir (struct memb_table *table, claim_instance_id owner,
                    claim_instance_id heir);
/* Writes the owners whose heir is HEIR to OUT, which has room for
   MEMB_MAX_HEIRS; returns their number.  */
unsigned memb_list_inherited (const struct memb_table *table,
                              claim_instance_id heir, claim_instance_id *out);
/* Changes the states of silent peers, drops old entries and chooses the
   witness.  */
void memb_tick (struct memb_table *table);
/* Sets what this instance reports of itself.  */
void memb_set_self (struct memb_table *table, int64_t epoch, int64_t revision,
                    bool draining);
/* Null if ID is not known.  Valid until the next change of the table.  */
const struct memb_peer *memb_table_find (const struct memb_table *table,
                                         claim_instance_id id);
/* The peer at ADDR that has not left, or null.  */
const struct memb_peer *memb_table_find_addr (const struct memb_table *table,
                                              struct pl_addr addr);
unsigned memb_table_count (const struct memb_table *table);
const struct memb_peer *memb_table_get (const struct memb_table *table,
                                        unsigned index);
const struct memb_peer *memb_table_self (const struct memb_table *table);
/* An unresponsive peer sends heartbeats but does not answer as a witness, for
   example because messages pass in one direction only.  It is not chosen as
   witness while it is marked so.  */
void memb_set_unresponsive (struct memb_table *table, claim_instance_id id,
                            bool unresponsive);
bool memb_is_unresponsive (const struct memb_table *table,
                           claim_instance_id id);
/* The peer that should take over this instance's records: its witness, else
   another live peer of the domain, else one of another domain; null if there
   is none.  */
const struct memb_peer *memb_choose_heir (const struct memb_table *table);
/* Makes a new view if anything has changed since the last one, else returns
   null.  */
struct memb_view *memb_view_if_changed (struct memb_table *table);
