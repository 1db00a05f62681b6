/* The heirs of stopped owners.  */
#include "table.h"

static struct memb_heir_entry *
find_heir (struct memb_table *table, claim_instance_id owner)
{
  for (unsigned i = 0; i < table->n_heirs; i++)
    if (table->heirs[i].heir.owner == owner)
      return &table->heirs[i];
  return NULL;
}

/* Returns an entry for a new owner; if the table is full, reuses the one that
   expires first.  */
static struct memb_heir_entry *
allocate_heir (struct memb_table *table)
{
  if (table->n_heirs < MEMB_MAX_HEIRS)
    return &table->heirs[table->n_heirs++];
  struct memb_heir_entry *oldest = &table->heirs[0];
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
  memb_set_left (table, owner);
  struct memb_heir_entry *entry = find_heir (table, owner);
  if (entry != NULL && entry->heir.heir == heir)
    return;
  if (entry == NULL)
    entry = allocate_heir (table);
  *entry = (struct memb_heir_entry){
    .heir = { .owner = owner, .heir = heir },
    .expires_us = pl_now_us (table->opts.clock) + table->opts.keep_us,
  };
  table->dirty = true;
  pl_log (PL_EV_HEIR,
          "owner=%016" G_GINT64_MODIFIER "x heir=%016" G_GINT64_MODIFIER "x",
          owner, heir);
}

unsigned
memb_list_inherited (const struct memb_table *table, claim_instance_id heir,
                     claim_instance_id *out)
{
  unsigned n = 0;
  for (unsigned i = 0; i < table->n_heirs; i++)
    if (table->heirs[i].heir.heir == heir)
      out[n++] = table->heirs[i].heir.owner;
  return n;
}

void
memb_expire_heirs (struct memb_table *table, int64_t now)
{
  for (unsigned i = table->n_heirs; i-- > 0;)
    if (now >= table->heirs[i].expires_us)
      {
        table->heirs[i] = table->heirs[--table->n_heirs];
        table->dirty = true;
      }
}
