/* The records of one owner by epoch, and the eviction of whole epochs.  */
#include "claim_table.h"

struct claim_epochs *
claim_epochs_new (claim_instance_id owner, int64_t floor, int64_t epoch,
                  int64_t now_us)
{
  struct claim_epochs *epochs = g_new0 (struct claim_epochs, 1);
  epochs->owner = owner;
  epochs->floor = floor;
  epochs->epoch = epoch;
  epochs->groups = g_array_new (false, true, sizeof (struct claim_group));
  g_array_set_size (epochs->groups, (guint)(epoch - floor));
  for (guint i = 0; i < epochs->groups->len; i++)
    g_array_index (epochs->groups, struct claim_group, i).end_us = now_us;
  return epochs;
}

void
claim_epochs_free (struct claim_epochs *epochs)
{
  if (epochs->chunks != NULL)
    g_hash_table_unref (epochs->chunks);
  g_array_unref (epochs->groups);
  g_free (epochs);
}

struct claim_group *
claim_epochs_find_group (struct claim_epochs *epochs, int64_t epoch)
{
  if (epoch <= epochs->floor || epoch > epochs->epoch)
    return NULL;
  return &g_array_index (epochs->groups, struct claim_group,
                         (guint)(epoch - epochs->floor - 1));
}

struct claim_epochs *
claim_find_inherited (struct claim_table *table, claim_instance_id owner)
{
  return g_hash_table_lookup (table->inherited, &owner);
}

void
claim_group_add (struct claim_group *group, struct claim_record *record)
{
  record->next = group->first;
  group->first = record;
  group->n++;
}

void
claim_epochs_drop_oldest (struct claim_table *table,
                          struct claim_epochs *epochs)
{
  struct claim_group *group
      = claim_epochs_find_group (epochs, epochs->floor + 1);
  struct claim_record *record = group->first;
  while (record != NULL)
    {
      struct claim_record *next = record->next;
      if (record->stored != NULL)
        claim_drop_answer (table, record->stored);
      g_hash_table_remove (table->records, record);
      record = next;
    }
  g_array_remove_index (epochs->groups, 0);
  epochs->floor++;
}

/* Gets the time at which the oldest epoch that may be dropped ended; false if
   there is none.  The own current epoch stays, because its prefix is being
   issued.  */
static bool
get_oldest_end (struct claim_table *table, struct claim_epochs *epochs,
                int64_t *end_us)
{
  guint min_epochs = epochs == table->own ? 2 : 1;
  if (epochs->groups->len < min_epochs)
    return false;
  *end_us = g_array_index (epochs->groups, struct claim_group, 0).end_us;
  return true;
}

static void
drop_expired (struct claim_table *table, struct claim_epochs *epochs,
              int64_t limit_us)
{
  int64_t end_us;
  while (get_oldest_end (table, epochs, &end_us) && end_us <= limit_us)
    claim_epochs_drop_oldest (table, epochs);
}

/* The owner's records with the oldest epoch that may be dropped, or null.  */
static struct claim_epochs *
find_oldest (struct claim_table *table)
{
  struct claim_epochs *best = NULL;
  int64_t best_us = 0;
  int64_t end_us;
  if (get_oldest_end (table, table->own, &best_us))
    best = table->own;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, table->inherited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (get_oldest_end (table, value, &end_us)
        && (best == NULL || end_us < best_us))
      {
        best = value;
        best_us = end_us;
      }
  return best;
}

/* Unfinished records are not counted: they can't be dropped, and the job queue
   bounds them.  */
static bool
has_excess (struct claim_table *table)
{
  return claim_count_records (table) - table->unfinished
         > table->opts.keep_records;
}

static void
drop_excess (struct claim_table *table)
{
  while (has_excess (table))
    {
      struct claim_epochs *epochs = find_oldest (table);
      if (epochs == NULL)
        return;
      claim_epochs_drop_oldest (table, epochs);
    }
}

static gboolean
is_empty (void *key, void *value, void *user)
{
  (void)key;
  (void)user;
  struct claim_epochs *epochs = value;
  return epochs->groups->len == 0;
}

void
claim_evict (struct claim_table *table)
{
  int64_t limit_us = pl_now_us (table->opts.clock) - table->opts.keep_us;
  drop_expired (table, table->own, limit_us);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, table->inherited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    drop_expired (table, value, limit_us);
  drop_excess (table);
  /* After this, unrecorded keys of a removed owner are CLAIM_FORGOTTEN.  */
  g_hash_table_foreach_remove (table->inherited, is_empty, NULL);
}
