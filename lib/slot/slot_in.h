/* Internals of lib/slot.  */
#pragma once

#include "slot.h"

/* What is known of the lending with one peer.  */
struct slot_peer
{
  claim_instance_id id;
  int64_t asked_us; /* time of the open request; 0: none is open */
  unsigned asked;   /* slots it still asks for */
  bool moved;       /* it has brought slots */
  int64_t again_us; /* no request before this time */
  int64_t pause_us; /* length of the latest pause */
  int64_t lent_us;  /* time of the latest grant or return */
  unsigned wants;   /* slots that the peer's open request asks for */
  int64_t wants_until_us;
  bool fresh;        /* nothing was granted for it yet */
  int64_t served_us; /* time of the latest grant for it */
  unsigned excess;   /* reports in a row that it holds less than recorded */
};

struct slot_table
{
  struct slot_opts opts;
  char *domain;
  GRand *rand;
  GPtrArray *workers;   /* struct slot_worker; never shrinks */
  GHashTable *by_addr;  /* address to struct slot_worker */
  GHashTable *signs;    /* address to the revision of the leaving sign */
  GHashTable *kinds;    /* name to struct slot_kind */
  GArray *peers;        /* struct slot_peer */
  GArray *domain_peers; /* claim_instance_id of the live ones */
  int64_t revision;
  unsigned ejected;
  unsigned unreachable; /* of these */
  unsigned listed;
  unsigned lost;
  double slowness; /* mean of the usable workers */
};

/* The latest result of a kind on each worker, by index.  */
struct slot_kind
{
  GByteArray *last; /* 0: none, 1: good, 2: bad */
  unsigned good;
  unsigned bad;
};

/* Whether new tasks may go to WORKER at all.  */
static inline bool
slot_usable (const struct slot_worker *worker)
{
  return worker->listed && !worker->leaving && worker->health != SLOT_EJECTED;
}

uint64_t slot_addr_key (struct pl_addr addr);
struct slot_peer *slot_peer (struct slot_table *table, claim_instance_id id);
/* Changes the count of ID in HOLDS (and SUM) by N, down to 0 at least.  */
void slot_hold_add (GArray *holds, unsigned *sum, claim_instance_id id, int n);
unsigned slot_hold_get (const GArray *holds, claim_instance_id id);
/* Starts or stops the idle time of borrowed slots.  */
void slot_mark_idle (struct slot_table *table, struct slot_worker *worker);
/* Counts the borrowed slots that were held for too long.  */
void slot_mark_expired (struct slot_table *table, struct slot_worker *worker);
void slot_health_tick (struct slot_table *table, struct slot_worker *worker);
void slot_kind_free (void *data);
