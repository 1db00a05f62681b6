/* Private to lib/memb: the layout of the membership table.  */
#pragma once

#include "memb.h"

struct memb_entry
{
  struct memb_peer peer;
  int64_t heard_us;
  bool unresponsive; /* see memb_set_unresponsive */
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
  int64_t last_tick_us; /* time of the last memb_tick */
  int64_t digest_silence_us;
  bool dirty; /* changed since the last view */
};

struct memb_entry *memb_entry_get (const struct memb_table *table,
                                   unsigned index);
/* Removes heirs that have been kept for the time keep_us.  */
void memb_expire_heirs (struct memb_table *table, int64_t now);
/* Null if ID is not known.  */
struct memb_entry *memb_entry_find (const struct memb_table *table,
                                    claim_instance_id id);
bool memb_in_own_domain (const struct memb_table *table,
                         const struct memb_peer *peer);
/* Sets the state of ENTRY and reports the change WHAT to opts.changed.  */
void memb_set_state (struct memb_table *table, struct memb_entry *entry,
                     enum memb_state state, enum memb_change what);
