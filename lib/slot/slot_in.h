/* Internals of lib/slot.  */
#pragma once

#include "slot.h"

/* The state of lending with one peer, in both directions.  */
struct slot_peer
{
  claim_instance_id id;
  /* The request of this instance to the peer.  */
  int64_t requested_us;    /* its time; 0: none is open */
  unsigned requested;      /* slots it still asks for */
  bool granted_any;        /* slots were granted for it */
  int64_t next_request_us; /* no new one before this time */
  int64_t pause_us;        /* length of the latest pause between two */
  /* What is lent to the peer, and the peer's request.  */
  int64_t lent_changed_us; /* time of the latest grant or return */
  unsigned wanted_slots;   /* slots it still asks for; 0: none is open */
  int64_t wanted_until_us; /* when it expires */
  bool is_new;       /* it came after the latest slot_defer_peer_requests */
  int64_t served_us; /* time of the latest grant for it */
  unsigned low_report_streak; /* reports of fewer slots than recorded */
};

struct slot_table
{
  struct slot_opts opts;
  char *domain;
  GRand *rand;
  GPtrArray *workers;            /* struct slot_worker; never shrinks */
  GHashTable *by_addr;           /* address to struct slot_worker */
  GHashTable *leaving_revisions; /* address to revision of slot_mark_leaving */
  GHashTable *kinds;             /* name to struct slot_kind */
  GArray *peers;                 /* struct slot_peer */
  GArray *domain_peers;          /* claim_instance_id of the live ones */
  int64_t revision;
  unsigned ejected;
  unsigned n_unreachable; /* of the ejected */
  unsigned n_listed;
  unsigned lost_requests; /* since the latest slot_lost_requests */
  double slowness;        /* mean of the usable workers */
};

/* The latest result of a kind on each worker.  */
struct slot_kind
{
  GByteArray *last; /* by worker's index; 0: none, 1: success, 2: failure */
  unsigned good;    /* workers whose latest result is a success */
  unsigned bad;     /* workers whose latest result is a failure */
};

/* Whether new tasks may go to WORKER at all.  */
static inline bool
slot_usable (const struct slot_worker *worker)
{
  return worker->listed && !worker->leaving && worker->health != SLOT_EJECTED;
}

uint64_t slot_addr_key (struct pl_addr addr);
/* The record of peer ID; added if there is none.  */
struct slot_peer *slot_get_peer (struct slot_table *table,
                                 claim_instance_id id);
/* Changes the count of ID in HOLDS, and SUM with it, by N, but not below 0. */
void slot_hold_adjust (GArray *holds, unsigned *sum, claim_instance_id id,
                       int n);
unsigned slot_hold_get (const GArray *holds, claim_instance_id id);
/* Starts or stops the idle time of WORKER's borrowed slots.  */
void slot_mark_idle (struct slot_table *table, struct slot_worker *worker);
/* Counts the borrowed slots whose time is over or that were recalled.  */
void slot_mark_expired (struct slot_table *table, struct slot_worker *worker);
/* Ends the ejection of WORKER when it is due.  */
void slot_health_tick (struct slot_table *table, struct slot_worker *worker);
void slot_kind_free (void *data);
