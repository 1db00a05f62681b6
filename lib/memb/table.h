/* Inner parts of the membership table.  */
#pragma once

#include "memb.h"

struct memb_entry
{
  struct memb_peer peer;
  int64_t heard_us;
  bool mute; /* gave no permit in time; not chosen as witness */
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
  bool dirty;
};

struct memb_entry *memb_entry_at (const struct memb_table *table,
                                  unsigned index);
void memb_heirs_tick (struct memb_table *table, int64_t now);
