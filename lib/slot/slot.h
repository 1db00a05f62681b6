/* Slots of the workers of the own failure domain, the workers' health, and
   the lending of slots between instances.  Pure logic; one owning thread.  */
#pragma once

#include "memb.h"
#include "note.h"
#include "pl.h"

enum slot_choice
{
  SLOT_RANDOM,
  SLOT_TWO,     /* the better of two random ones */
  SLOT_FASTEST, /* least expected finishing time */
};

struct slot_opts
{
  struct pl_clock *clock;
  claim_instance_id self;
  const char *domain;
  enum slot_choice choice;
  uint64_t seed;
  int64_t share_raise_us;
  int64_t lend_idle_us;
  unsigned connections; /* of all instances to one worker; 0: no limit */
  unsigned spare;       /* connections beside those of tasks, an instance */
};

/* Slots of one worker that peer ID holds or has lent.  */
struct slot_hold
{
  claim_instance_id id;
  unsigned count;
  int64_t until_us; /* borrowed: no new task after this time */
};

enum slot_health
{
  SLOT_GOOD,
  SLOT_EJECTED,
  SLOT_TRIAL, /* ejection is over; one task at a time until one succeeds */
};

struct slot_worker
{
  struct pl_addr addr;
  unsigned index; /* in the table; stays for the worker's life */
  unsigned slots;
  unsigned most; /* tasks at once that the connections allow */
  int64_t memory_mb;
  bool listed; /* in the configuration */
  bool leaving;
  int64_t added_revision; /* of the configuration in force */
  unsigned own;
  unsigned share; /* what OWN becomes at RAISE_US */
  int64_t raise_us;
  unsigned in_use;
  int64_t memory_used_mb;
  GArray *lent;     /* struct slot_hold: peers that hold slots of ours */
  GArray *borrowed; /* struct slot_hold: peers whose slots we hold */
  unsigned n_lent;
  unsigned n_borrowed;
  unsigned n_expired; /* of N_BORROWED: held for too long */
  int64_t idle_us;    /* since when a borrowed slot is free; 0: none is */
  double slowness;    /* run time over estimate, smoothed; 1: as estimated */
  unsigned samples;

  enum slot_health health;
  double streak;    /* weighted failures in a row */
  double fails;     /* weighted failures, decaying */
  double tries;     /* results, decaying */
  int64_t until_us; /* end of the ejection */
  int64_t eject_us; /* length of the latest ejection */
  bool unreachable; /* ejected because no connection can be made */
};

struct slot_table;
struct slot_table *slot_table_new (const struct slot_opts *opts);
void slot_table_free (struct slot_table *table);

/* Takes the workers of CONF and the shares of VIEW; either may be null.  */
void slot_update (struct slot_table *table, const struct note_conf *conf,
                  const struct memb_view *view);
/* Raises shares and ends ejections that are due.  */
void slot_tick (struct slot_table *table);
/* Null if it is not known.  */
struct slot_worker *slot_find (const struct slot_table *table,
                               struct pl_addr addr);
unsigned slot_count (const struct slot_table *table);
struct slot_worker *slot_at (const struct slot_table *table, unsigned index);

/* Slots that a task may take now.  */
unsigned slot_free (const struct slot_worker *worker);
unsigned slot_free_all (const struct slot_table *table);
/* Slots of this instance on usable workers, in use or not.  */
unsigned slot_mine (const struct slot_table *table);
/* Slots of all usable workers of the domain.  */
unsigned slot_domain (const struct slot_table *table);
/* Largest memory of a worker of the domain; 0: not known.  */
int64_t slot_memory (const struct slot_table *table);

/* Chooses a worker with a free slot and MEMORY_MB for a task, or null.
   CAREFUL avoids slow workers.  AVOID (may be null) is taken only if there is
   no other.  */
struct slot_worker *slot_choose (struct slot_table *table, int64_t memory_mb,
                                 bool careful,
                                 const struct slot_worker *avoid);
void slot_take (struct slot_table *table, struct slot_worker *worker,
                int64_t memory_mb);
void slot_release (struct slot_table *table, struct slot_worker *worker,
                   int64_t memory_mb);
/* Whether the tasks on WORKER use a borrowed slot.  */
bool slot_uses_borrowed (const struct slot_worker *worker);

/* Learns the speed of a worker from a run of RUN_US for an estimate.  */
void slot_learn (struct slot_table *table, struct slot_worker *worker,
                 int64_t run_us, int64_t estimate_us);

/* Health.  KIND is "<service>/<kind>", or null for a failure that has nothing
   to do with the kind.  */
void slot_good (struct slot_table *table, struct slot_worker *worker,
                const char *kind);
void slot_bad (struct slot_table *table, struct slot_worker *worker,
               const char *kind);
unsigned slot_ejected (const struct slot_table *table);

/* A sign that the worker leaves.  It is undone only by a configuration newer
   than the one in force now that adds the worker again.  SIGN is for the
   log.  True if the worker was not known to leave.  */
bool slot_leaving (struct slot_table *table, struct pl_addr addr,
                   const char *sign);
/* A peer's sign, seen under REVISION.  It counts for nothing if a later
   revision has added the worker again.  */
void slot_peer_leaving (struct slot_table *table, struct pl_addr addr,
                        int64_t revision);
int64_t slot_revision (const struct slot_table *table);

/* Lending.  Lots are arrays of struct slot_lot.  */
struct slot_lot
{
  struct pl_addr addr;
  unsigned count;
};

/* Slots to ask of each peer, as struct slot_hold, for WANTED tasks that have
   no slot; marks them as asked.  */
GArray *slot_ask (struct slot_table *table, unsigned wanted);
/* A grant from PEER; N may be 0.  Returns the slots taken; the lots that are
   of no use are appended to REFUSED.  */
unsigned slot_granted (struct slot_table *table, claim_instance_id peer,
                       const struct slot_lot *lots, unsigned n,
                       GArray *refused);
/* Lends PEER up to WANTED free own slots.  */
GArray *slot_lend (struct slot_table *table, claim_instance_id peer,
                   unsigned wanted);
/* PEER asks for N slots.  The request stays open until it is served in full
   or lapses.  Slots of PEER's that are held here take no new task.  */
void slot_want (struct slot_table *table, claim_instance_id peer, unsigned n);
/* Whether a peer's request is open.  */
bool slot_wanted (const struct slot_table *table);
/* The open requests that were not served yet have to wait for slots.  */
void slot_wants_wait (struct slot_table *table);
/* The own request to PEER is of no use any more.  */
void slot_ask_over (struct slot_table *table, claim_instance_id peer);
/* A peer whose open request can be served now, with LOTS for it, or 0.  */
claim_instance_id slot_serve (struct slot_table *table, GArray **lots);
/* PEER returns slots.  */
void slot_returned (struct slot_table *table, claim_instance_id peer,
                    const struct slot_lot *lots, unsigned n);
/* PEER says that it holds TOTAL slots of ours.  */
void slot_holds (struct slot_table *table, claim_instance_id peer,
                 unsigned total);
/* A peer from which idle slots are due back, with LOTS, or 0.  They are no
   longer held.  */
claim_instance_id slot_give_back (struct slot_table *table, GArray **lots);
/* Ends all lending with a dead peer, in both directions.  */
void slot_peer_dead (struct slot_table *table, claim_instance_id peer);
/* Requests that were not answered in time since the last call.  */
unsigned slot_lost_requests (struct slot_table *table);
