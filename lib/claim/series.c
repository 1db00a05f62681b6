#include "claim_table.h"

struct claim_series *
claim_series_new (claim_instance_id owner, int64_t floor, int64_t epoch,
                  int64_t now_us)
{
  struct claim_series *series = g_new0 (struct claim_series, 1);
  series->owner = owner;
  series->floor = floor;
  series->epoch = epoch;
  series->groups = g_array_new (false, true, sizeof (struct claim_group));
  g_array_set_size (series->groups, (guint)(epoch - floor));
  for (guint i = 0; i < series->groups->len; i++)
    g_array_index (series->groups, struct claim_group, i).end_us = now_us;
  return series;
}

void
claim_series_free (struct claim_series *series)
{
  if (series->chunks != NULL)
    g_hash_table_unref (series->chunks);
  g_array_unref (series->groups);
  g_free (series);
}

struct claim_group *
claim_series_group (struct claim_series *series, int64_t epoch)
{
  if (epoch <= series->floor || epoch > series->epoch)
    return NULL;
  return &g_array_index (series->groups, struct claim_group,
                         (guint)(epoch - series->floor - 1));
}

struct claim_series *
claim_series_find (struct claim_table *table, claim_instance_id owner)
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
claim_series_drop (struct claim_table *table, struct claim_series *series)
{
  struct claim_group *group = claim_series_group (series, series->floor + 1);
  struct claim_record *record = group->first;
  while (record != NULL)
    {
      struct claim_record *next = record->next;
      if (record->held != NULL)
        claim_unhold (table, record->held);
      g_hash_table_remove (table->records, record);
      record = next;
    }
  g_array_remove_index (series->groups, 0);
  series->floor++;
}

/* The end of the oldest epoch that may be dropped; false if there is none.
   The own current epoch stays, because its prefix is being issued.  */
static bool
oldest_end (struct claim_table *table, struct claim_series *series,
            int64_t *end_us)
{
  guint least = series == table->own ? 2 : 1;
  if (series->groups->len < least)
    return false;
  *end_us = g_array_index (series->groups, struct claim_group, 0).end_us;
  return true;
}

static void
drop_aged (struct claim_table *table, struct claim_series *series,
           int64_t limit_us)
{
  int64_t end_us;
  while (oldest_end (table, series, &end_us) && end_us <= limit_us)
    claim_series_drop (table, series);
}

/* The series with the oldest epoch that may be dropped, or null.  */
static struct claim_series *
oldest_series (struct claim_table *table)
{
  struct claim_series *best = NULL;
  int64_t best_us = 0;
  int64_t end_us;
  if (oldest_end (table, table->own, &best_us))
    best = table->own;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, table->inherited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (oldest_end (table, value, &end_us)
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
is_over_count (struct claim_table *table)
{
  return claim_count_records (table) - table->unfinished
         > table->opts.keep_records;
}

static void
drop_counted (struct claim_table *table)
{
  while (is_over_count (table))
    {
      struct claim_series *series = oldest_series (table);
      if (series == NULL)
        return;
      claim_series_drop (table, series);
    }
}

static gboolean
is_empty (void *key, void *value, void *user)
{
  (void)key;
  (void)user;
  struct claim_series *series = value;
  return series->groups->len == 0;
}

void
claim_evict (struct claim_table *table)
{
  int64_t limit_us = pl_now_us (table->opts.clock) - table->opts.keep_us;
  drop_aged (table, table->own, limit_us);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, table->inherited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    drop_aged (table, value, limit_us);
  drop_counted (table);
  /* Without its series an owner's unrecorded keys are CLAIM_FORGOTTEN.  */
  g_hash_table_foreach_remove (table->inherited, is_empty, NULL);
}
