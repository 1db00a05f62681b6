/* Inner parts of the membership table.  */
#pragma once

#include "memb.h"

struct memb_entry
{
  struct memb_peer peer;
  int64_t heard_us;
  bool unresponsive;    /* gave no permit in time; not chosen as witness */
  bool known_by_digest; /* the last sign of life came by a digest */
};

struct memb_heir_entry
{
  struct memb_heir heir;
  int64_t expires_us;
};

struct memb_table
{
  struct memb_opts opts;
  struct memb_peer self;
  GPtrArray *peers; /* struct memb_entry */
  struct memb_heir_entry heirs[MEMB_MAX_HEIRS];
  unsigned n_heirs;
  int64_t last_tick_us; /* last memb_tick */
  int64_t digest_silence_us;
  bool dirty;
};

struct memb_entry *memb_entry_get (const struct memb_table *table,
                                   unsigned index);
void memb_expire_heirs (struct memb_table *table, int64_t now);
struct memb_entry *memb_entry_find (const struct memb_table *table,
                                    claim_instance_id id);
bool memb_in_own_domain (const struct memb_table *table,
                         const struct memb_peer *peer);
void memb_set_state (struct memb_table *table, struct memb_entry *entry,
                     enum memb_state state, enum memb_change what);
