/* Evacuations: failure domains on whose workers no task may start until an
   operator's request is withdrawn.  The state of each domain is known by the
   store's revision of its latest change.  It is learnt from the store and from
   peers, in any order; the higher revision counts, so that a late message
   can't bring back what has ended.

   Performs no I/O and needs no clock.  Used by one thread.  */
#pragma once

#include "pl.h"

/* Domains of which something is known, above any fleet's number of them.  */
#define EVAC_MAX_DOMAINS 256

/* What is known of one domain.  */
struct evac_entry
{
  uint64_t domain;  /* hash of its name */
  int64_t revision; /* of the latest change, above 0 */
  bool active;      /* it is evacuated */
};

/* What news has changed.  */
enum evac_effect
{
  EVAC_UNCHANGED, /* the domain is, or isn't, evacuated as before */
  EVAC_BEGUN,
  EVAC_ENDED,
  EVAC_REJECTED, /* no valid entry, or too many domains are evacuated */
};

struct evac_table;

struct evac_table *evac_table_new (void);
void evac_table_free (struct evac_table *table);

/* Takes over ENTRY unless a later change of its domain is known.  */
enum evac_effect evac_merge (struct evac_table *table,
                             const struct evac_entry *entry);
/* Whether no task may start on the workers of DOMAIN.  */
bool evac_is_active (const struct evac_table *table, uint64_t domain);
unsigned evac_count_active (const struct evac_table *table);
/* All entries, struct evac_entry, in order of their domains.  The caller
   frees the array.  */
GArray *evac_list (const struct evac_table *table);

/* A complete listing of the store as of REVISION names just the N domains at
   LISTED as evacuated.  Returns those that this ends, struct evac_entry; they
   are still to be merged.  The caller frees the array.  */
GArray *evac_find_unlisted (const struct evac_table *table,
                            const uint64_t *listed, unsigned n,
                            int64_t revision);
