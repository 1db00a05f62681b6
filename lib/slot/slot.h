/* The workers of the instance's own failure domain and their slots.  The
   instances of the domain divide each worker's slots among them: every
   instance has a share, and lends free slots of it to others (peers) on
   request.  This module chooses the worker of a task, records the workers'
   health and speed, and keeps account of the slots lent and borrowed.  It
   sends nothing: the caller passes requests and grants on.  A table has one
   owning thread.  */
#pragma once

#include "memb.h"
#include "note.h"
#include "pl.h"

/* How the worker of a task is chosen.  */
enum slot_choice
{
  SLOT_CHOOSE_RANDOM,
  SLOT_CHOOSE_TWO_RANDOM, /* the better of two random ones */
  SLOT_CHOOSE_FASTEST,    /* the fastest; if equal, the least loaded */
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
  unsigned connections;       /* of all instances to one worker; 0: no limit */
  unsigned spare_connections; /* of each instance, for other than tasks */
};

/* A number of slots that peer ID lends, borrows or is asked for.  */
struct slot_hold
{
  claim_instance_id id;
  unsigned count;
  int64_t expires_us; /* borrowed: no new task after this time */
};

enum slot_health
{
  SLOT_GOOD,
  SLOT_EJECTED,
  SLOT_TRIAL, /* the ejection is over; one task at a time until one succeeds */
};

struct slot_worker
{
  struct pl_addr addr;
  unsigned index; /* in the table; never changes */
  unsigned slots;
  unsigned max_tasks; /* tasks of this instance that its connections allow */
  int64_t memory_mb;
  bool listed; /* in the configuration */
  bool leaving;
  int64_t added_revision; /* of the configuration that has added it */
  unsigned current_share; /* slots of this instance, some of them lent */
  unsigned target_share;  /* CURRENT_SHARE from RAISE_AT_US on */
  int64_t raise_at_us;    /* 0: no raise is due */
  unsigned in_use;        /* slots with a task of this instance */
  int64_t memory_used_mb;
  GArray *lent;     /* struct slot_hold: peers that hold slots of this share */
  GArray *borrowed; /* struct slot_hold: peers whose slots are held here */
  unsigned n_lent;
  unsigned n_borrowed;
  unsigned n_expired;    /* of N_BORROWED: take no new task */
  int64_t idle_since_us; /* since when borrowed slots are free; 0: none is */
  double slowness; /* run time over estimate, smoothed; 1: as estimated */

  enum slot_health health;
  double failure_streak;    /* weighted failures in a row */
  double recent_failures;   /* weighted failures, decaying */
  double recent_results;    /* results, decaying */
  int64_t ejected_until_us; /* end of the ejection */
  int64_t ejection_us;      /* length of the latest ejection */
  bool unreachable;         /* ejected because no connection can be made */
};

struct slot_table;
struct slot_table *slot_table_new (const struct slot_opts *opts);
void slot_table_free (struct slot_table *table);

/* Takes the workers of CONF and the shares of VIEW; either may be null.  */
void slot_update (struct slot_table *table, const struct note_conf *conf,
                  const struct memb_view *view);
/* Raises shares and ends ejections that are due.  */
void slot_tick (struct slot_table *table);
/* The worker at ADDR; null if it was never configured.  */
struct slot_worker *slot_find_worker (const struct slot_table *table,
                                      struct pl_addr addr);
/* Workers of the table, whether listed or not.  */
unsigned slot_n_workers (const struct slot_table *table);
struct slot_worker *slot_worker_at (const struct slot_table *table,
                                    unsigned index);

/* Free slots that tasks of this instance may take now.  */
unsigned slot_free_count (const struct slot_worker *worker);
unsigned slot_free_total (const struct slot_table *table);
/* Slots that this instance holds on usable workers, in use or not: its share
   without what is lent, and what is borrowed.  */
unsigned slot_held_total (const struct slot_table *table);
/* Slots of all usable workers of the domain.  */
unsigned slot_domain_total (const struct slot_table *table);
/* Largest memory of a worker of the domain; 0: not known.  */
int64_t slot_max_memory_mb (const struct slot_table *table);

/* Chooses a worker with a free slot and MEMORY_MB for a task, or null.  With
   SLOT_CHOOSE_FASTEST, AVOID_SLOW leaves out workers that are much slower than
   the mean, and AVOID (may be null) is chosen only if there is no other.  The
   random choices ignore AVOID_SLOW and may choose AVOID although others are
   free.  */
struct slot_worker *slot_choose (struct slot_table *table, int64_t memory_mb,
                                 bool avoid_slow,
                                 const struct slot_worker *avoid);
void slot_take (struct slot_table *table, struct slot_worker *worker,
                int64_t memory_mb);
void slot_release (struct slot_table *table, struct slot_worker *worker,
                   int64_t memory_mb);
/* Whether a task on WORKER uses a borrowed slot.  */
bool slot_uses_borrowed (const struct slot_worker *worker);

/* Updates the speed of a worker by a run of RUN_US that was estimated at
   ESTIMATE_US.  */
void slot_learn_speed (struct slot_table *table, struct slot_worker *worker,
                       int64_t run_us, int64_t estimate_us);

/* Record the result of a task on WORKER.  KIND is "<service>/<kind>".  Null
   stands for a failure that has nothing to do with the kind: no connection
   could be made.  */
void slot_record_success (struct slot_table *table, struct slot_worker *worker,
                          const char *kind);
void slot_record_failure (struct slot_table *table, struct slot_worker *worker,
                          const char *kind);
unsigned slot_ejected_count (const struct slot_table *table);

/* Marks the worker ADDR as leaving: it gets no new task until a configuration
   newer than the current one adds it again.  SOURCE says in the log where this
   was learnt.  True if the worker was not known to leave.  */
bool slot_mark_leaving (struct slot_table *table, struct pl_addr addr,
                        const char *source);
/* The same for a report of a peer whose configuration is REVISION.  Ignored if
   a later revision has added the worker again.  */
void slot_mark_leaving_by_peer (struct slot_table *table, struct pl_addr addr,
                                int64_t revision);
/* Revision of the current configuration.  */
int64_t slot_revision (const struct slot_table *table);

/* Lending.  The arrays of slots hold struct slot_worker_slots.  */
struct slot_worker_slots
{
  struct pl_addr addr;
  unsigned count;
};

/* Requests to peers for WANTED tasks that have no slot, as an array of struct
   slot_hold with the peer and the number.  They count as open; the caller
   sends them.  */
GArray *slot_make_requests (struct slot_table *table, unsigned wanted);
/* Takes the slots that PEER has granted; N may be 0.  Returns their number.
   Appends those that can't be used to REFUSED, to be returned.  */
unsigned slot_accept_grant (struct slot_table *table, claim_instance_id peer,
                            const struct slot_worker_slots *list, unsigned n,
                            GArray *refused);
/* Lends PEER up to WANTED free slots of this instance's share.  */
GArray *slot_lend (struct slot_table *table, claim_instance_id peer,
                   unsigned wanted);
/* Opens a request of PEER for N slots, until it is served in full or expires.
   Up to N slots borrowed from PEER are recalled: they take no new task.  */
void slot_open_peer_request (struct slot_table *table, claim_instance_id peer,
                             unsigned n);
/* Whether a peer's request is open.  */
bool slot_has_peer_request (const struct slot_table *table);
/* Reduces what is left of peers' new requests after the first attempt to serve
   them: slots of their own become free while they wait.  */
void slot_defer_peer_requests (struct slot_table *table);
/* Closes the request of this instance to PEER; it is of no use any more.  */
void slot_withdraw_request (struct slot_table *table, claim_instance_id peer);
/* Lends slots for the open request of a peer.  Returns the peer and in LIST
   the slots, or 0 if no request can be served now.  */
claim_instance_id slot_serve_peer_request (struct slot_table *table,
                                           GArray **list);
/* Takes back slots that PEER returns.  */
void slot_take_back (struct slot_table *table, claim_instance_id peer,
                     const struct slot_worker_slots *list, unsigned n);
/* Compares the slots recorded as lent to PEER with its report that it holds
   TOTAL.  Takes back the difference if several reports in a row are lower: the
   message of a grant or a return was lost then.  */
void slot_reconcile_lent (struct slot_table *table, claim_instance_id peer,
                          unsigned total);
/* Gives up borrowed slots that have been idle for long enough.  Returns their
   lender and in LIST the slots, or 0 if there are none.  */
claim_instance_id slot_return_idle (struct slot_table *table, GArray **list);
/* Ends all lending with the dead PEER, in both directions.  */
void slot_end_lending (struct slot_table *table, claim_instance_id peer);
/* Number of requests that have expired unanswered since the last call.  */
unsigned slot_lost_requests (struct slot_table *table);
