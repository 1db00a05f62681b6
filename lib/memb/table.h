/* Inner parts of the membership table.  */
#pragma once

#include "memb.h"

struct memb_entry
{
  struct memb_peer peer;
  int64_t heard_us;
  bool mute;     /* gave no permit in time; not chosen as witness */
  bool digested; /* the last sign of life came by a digest */
};

struct memb_table_heir
{
  struct memb_heir heir;
  int64_t expires_us;
};

struct memb_table
{
  struct memb_opts opts;
  struct memb_peer self;
  GPtrArray *peers; /* struct memb_entry */
  struct memb_table_heir heirs[MEMB_MAX_HEIRS];
  unsigned n_heirs;
  int64_t tick_us; /* last memb_tick */
  int64_t digest_silence_us;
  bool dirty;
};

struct memb_entry *memb_entry_at (const struct memb_table *table,
                                  unsigned index);
void memb_heirs_tick (struct memb_table *table, int64_t now);
struct memb_entry *memb_entry_find (const struct memb_table *table,
                                    claim_instance_id id);
bool memb_near (const struct memb_table *table, const struct memb_peer *peer);
void memb_change (struct memb_table *table, struct memb_entry *entry,
                  enum memb_state state, enum memb_change what);
