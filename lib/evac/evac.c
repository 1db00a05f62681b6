/* The table of evacuations.  */
#include "evac.h"

struct evac_table
{
  GArray *entries; /* struct evac_entry, in order of their domains */
};

struct evac_table *
evac_table_new (void)
{
  struct evac_table *table = g_new (struct evac_table, 1);
  table->entries = g_array_new (FALSE, FALSE, sizeof (struct evac_entry));
  return table;
}

void
evac_table_free (struct evac_table *table)
{
  g_array_unref (table->entries);
  g_free (table);
}

static struct evac_entry *
entry_at (const struct evac_table *table, guint i)
{
  return &g_array_index (table->entries, struct evac_entry, i);
}

/* The index of the first entry whose domain is not below DOMAIN.  */
static guint
find_index (const struct evac_table *table, uint64_t domain)
{
  guint low = 0;
  guint high = table->entries->len;
  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (entry_at (table, middle)->domain < domain)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static struct evac_entry *
find_entry (const struct evac_table *table, uint64_t domain)
{
  guint i = find_index (table, domain);
  if (i == table->entries->len || entry_at (table, i)->domain != domain)
    return NULL;
  return entry_at (table, i);
}

/* Removes the ended entry that changed first; false if all are active.  */
static bool
remove_oldest_ended (struct evac_table *table)
{
  guint oldest = table->entries->len;
  for (guint i = 0; i < table->entries->len; i++)
    {
      const struct evac_entry *entry = entry_at (table, i);
      if (!entry->active
          && (oldest == table->entries->len
              || entry->revision < entry_at (table, oldest)->revision))
        oldest = i;
    }
  if (oldest == table->entries->len)
    return false;
  g_array_remove_index (table->entries, oldest);
  return true;
}

enum evac_effect
evac_merge (struct evac_table *table, const struct evac_entry *entry)
{
  if (entry->domain == 0 || entry->revision <= 0)
    return EVAC_REJECTED;
  struct evac_entry *known = find_entry (table, entry->domain);
  if (known != NULL && known->revision >= entry->revision)
    return EVAC_UNCHANGED;
  bool was_active = known != NULL && known->active;
  if (known != NULL)
    *known = *entry;
  else if (table->entries->len < EVAC_MAX_DOMAINS
           || remove_oldest_ended (table))
    {
      guint i = find_index (table, entry->domain);
      g_array_insert_val (table->entries, i, *entry);
    }
  else
    return EVAC_REJECTED;
  if (was_active == entry->active)
    return EVAC_UNCHANGED;
  return entry->active ? EVAC_BEGUN : EVAC_ENDED;
}

bool
evac_is_active (const struct evac_table *table, uint64_t domain)
{
  const struct evac_entry *entry = find_entry (table, domain);
  return entry != NULL && entry->active;
}

unsigned
evac_count_active (const struct evac_table *table)
{
  unsigned n = 0;
  for (guint i = 0; i < table->entries->len; i++)
    n += entry_at (table, i)->active;
  return n;
}

GArray *
evac_list (const struct evac_table *table)
{
  return g_array_copy (table->entries);
}

static bool
is_listed (const uint64_t *listed, unsigned n, uint64_t domain)
{
  for (unsigned i = 0; i < n; i++)
    if (listed[i] == domain)
      return true;
  return false;
}

GArray *
evac_find_unlisted (const struct evac_table *table, const uint64_t *listed,
                    unsigned n, int64_t revision)
{
  GArray *unlisted = g_array_new (FALSE, FALSE, sizeof (struct evac_entry));
  for (guint i = 0; i < table->entries->len; i++)
    {
      struct evac_entry ended = *entry_at (table, i);
      /* What has changed since the listing began may not be listed yet.  */
      if (!ended.active || ended.revision >= revision
          || is_listed (listed, n, ended.domain))
        continue;
      ended.active = false;
      ended.revision = revision;
      g_array_append_val (unlisted, ended);
    }
  return unlisted;
}
