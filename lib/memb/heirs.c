#include "table.h"

static struct memb_table_heir *
find_heir (struct memb_table *table, claim_instance_id owner)
{
  for (unsigned i = 0; i < table->n_heirs; i++)
    if (table->heirs[i].heir.owner == owner)
      return &table->heirs[i];
  return NULL;
}

/* The entry for a new owner; the one that expires first makes room.  */
static struct memb_table_heir *
new_heir (struct memb_table *table)
{
  if (table->n_heirs < MEMB_MAX_HEIRS)
    return &table->heirs[table->n_heirs++];
  struct memb_table_heir *oldest = &table->heirs[0];
  for (unsigned i = 1; i < table->n_heirs; i++)
    if (table->heirs[i].expires_us < oldest->expires_us)
      oldest = &table->heirs[i];
  return oldest;
}

void
memb_add_heir (struct memb_table *table, claim_instance_id owner,
               claim_instance_id heir)
{
  if (owner == table->self.id || owner == heir || owner == 0)
    return;
  memb_left (table, owner);
  struct memb_table_heir *entry = find_heir (table, owner);
  if (entry != NULL && entry->heir.heir == heir)
    return;
  if (entry == NULL)
    entry = new_heir (table);
  *entry = (struct memb_table_heir){
    .heir = { .owner = owner, .heir = heir },
    .expires_us = pl_now_us (table->opts.clock) + table->opts.keep_us,
  };
  table->dirty = true;
  pl_log (PL_EV_HEIR,
          "owner=%016" G_GINT64_MODIFIER "x heir=%016" G_GINT64_MODIFIER "x",
          owner, heir);
}

unsigned
memb_inherited (const struct memb_table *table, claim_instance_id heir,
                claim_instance_id *out)
{
  unsigned n = 0;
  for (unsigned i = 0; i < table->n_heirs; i++)
    if (table->heirs[i].heir.heir == heir)
      out[n++] = table->heirs[i].heir.owner;
  return n;
}

void
memb_heirs_tick (struct memb_table *table, int64_t now)
{
  for (unsigned i = table->n_heirs; i-- > 0;)
    if (now >= table->heirs[i].expires_us)
      {
        table->heirs[i] = table->heirs[--table->n_heirs];
        table->dirty = true;
      }
}
