/* The witness's table: permits and revocations of other owners' keys.  */
#include "claim.h"

#include <string.h>

/* One key of a group.  */
struct entry
{
  struct claim_key_hash hash;
  struct entry *next;
};

/* The keys of one epoch of one owner; they are dropped together.  */
struct group
{
  claim_instance_id owner;
  int64_t epoch;
  int64_t created_us;
  struct entry *permitted;
  struct entry *revoked;
};

struct claim_witness_table
{
  struct pl_clock *clock;
  int64_t keep_us;
  unsigned keep_records;
  /* claim_instance_id to floor.  Entries are never removed: without the
     floor, a key that was dropped could be permitted or revoked again.  */
  GHashTable *floors;
  unsigned revoked_owners; /* entries of FLOORS added by revocations */
  GHashTable *groups;      /* set of struct group */
  GQueue order;            /* the same groups, oldest first */
  GHashTable *permitted;   /* set of struct entry */
  GHashTable *revoked;     /* likewise */
};

static guint
hash_entry (const void *key)
{
  const struct entry *entry = key;
  return (guint)entry->hash.lo;
}

static gboolean
equal_entry (const void *a, const void *b)
{
  const struct entry *x = a;
  const struct entry *y = b;
  return x->hash.hi == y->hash.hi && x->hash.lo == y->hash.lo;
}

static guint
hash_group (const void *key)
{
  const struct group *group = key;
  return (guint)(group->owner ^ (uint64_t)group->epoch * 2654435761U);
}

static gboolean
equal_group (const void *a, const void *b)
{
  const struct group *x = a;
  const struct group *y = b;
  return x->owner == y->owner && x->epoch == y->epoch;
}

struct claim_witness_table *
claim_witness_table_new (struct pl_clock *clock, int64_t keep_us,
                         unsigned keep_records)
{
  struct claim_witness_table *table = g_new0 (struct claim_witness_table, 1);
  table->clock = clock;
  table->keep_us = keep_us;
  table->keep_records = keep_records;
  table->floors = g_hash_table_new (g_direct_hash, g_direct_equal);
  table->groups
      = g_hash_table_new_full (hash_group, equal_group, g_free, NULL);
  g_queue_init (&table->order);
  table->permitted
      = g_hash_table_new_full (hash_entry, equal_entry, g_free, NULL);
  table->revoked
      = g_hash_table_new_full (hash_entry, equal_entry, g_free, NULL);
  return table;
}

void
claim_witness_table_free (struct claim_witness_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->permitted);
  g_hash_table_unref (table->revoked);
  g_hash_table_unref (table->groups);
  g_hash_table_unref (table->floors);
  g_queue_clear (&table->order);
  g_free (table);
}

static void *
owner_key (claim_instance_id owner)
{
  return (void *)(uintptr_t)owner;
}

static void
set_floor (struct claim_witness_table *table, claim_instance_id owner,
           int64_t floor)
{
  g_hash_table_insert (table->floors, owner_key (owner),
                       (void *)(intptr_t)floor);
}

/* Gets the floor of OWNER; an unknown owner is added with the floor 0.  False:
   the bound on owners is reached.  Callers can put invented owners into keys
   that are then revoked, so revocations may add only half of all owners.  */
static bool
get_floor (struct claim_witness_table *table, claim_instance_id owner,
           bool by_revocation, int64_t *floor)
{
  void *value;
  if (g_hash_table_lookup_extended (table->floors, owner_key (owner), NULL,
                                    &value))
    {
      *floor = (intptr_t)value;
      return true;
    }
  if (g_hash_table_size (table->floors) >= table->keep_records)
    return false;
  if (by_revocation && table->revoked_owners >= table->keep_records / 2)
    return false;
  table->revoked_owners += by_revocation;
  *floor = 0;
  set_floor (table, owner, 0);
  return true;
}

static struct group *
get_group (struct claim_witness_table *table, claim_instance_id owner,
           int64_t epoch)
{
  struct group wanted = { .owner = owner, .epoch = epoch };
  struct group *group = g_hash_table_lookup (table->groups, &wanted);
  if (group != NULL)
    return group;
  group = g_new0 (struct group, 1);
  *group = wanted;
  group->created_us = pl_now_us (table->clock);
  g_hash_table_add (table->groups, group);
  g_queue_push_tail (&table->order, group);
  return group;
}

static void
drop_entries (GHashTable *set, struct entry *entry)
{
  while (entry != NULL)
    {
      struct entry *next = entry->next;
      g_hash_table_remove (set, entry);
      entry = next;
    }
}

/* Drops the oldest group and raises its owner's floor.  Groups of lower epochs
   that were created later stay until they are the oldest: their keys are still
   recorded, and no new keys are added to them, as their epoch is below the
   floor.  */
static void
drop_oldest (struct claim_witness_table *table)
{
  struct group *group = g_queue_pop_head (&table->order);
  int64_t floor = 0;
  get_floor (table, group->owner, false, &floor);
  set_floor (table, group->owner, MAX (floor, group->epoch));
  drop_entries (table->permitted, group->permitted);
  drop_entries (table->revoked, group->revoked);
  g_hash_table_remove (table->groups, group);
}

static void
add_entry (struct claim_witness_table *table, GHashTable *set,
           struct entry **list, struct claim_key_hash hash)
{
  struct entry *entry = g_new (struct entry, 1);
  entry->hash = hash;
  entry->next = *list;
  *list = entry;
  g_hash_table_add (set, entry);
  while (claim_witness_count_keys (table) > table->keep_records
         && table->order.length > 1)
    drop_oldest (table);
}

bool
claim_permit (struct claim_witness_table *table, claim_instance_id owner,
              struct claim_key_hash hash, int64_t epoch)
{
  struct entry wanted = { .hash = hash };
  if (g_hash_table_contains (table->permitted, &wanted))
    return true;
  if (g_hash_table_contains (table->revoked, &wanted))
    return false;
  int64_t floor;
  if (!get_floor (table, owner, false, &floor) || epoch <= floor)
    return false;
  struct group *group = get_group (table, owner, epoch);
  add_entry (table, table->permitted, &group->permitted, hash);
  return true;
}

enum claim_revoke_result
claim_revoke (struct claim_witness_table *table, claim_instance_id owner,
              struct claim_key_hash hash, int64_t epoch)
{
  struct entry wanted = { .hash = hash };
  if (g_hash_table_contains (table->permitted, &wanted))
    return CLAIM_PERMITTED;
  if (g_hash_table_contains (table->revoked, &wanted))
    return CLAIM_REVOKED;
  int64_t floor;
  if (!get_floor (table, owner, true, &floor) || epoch <= floor)
    return CLAIM_UNKNOWN;
  struct group *group = get_group (table, owner, epoch);
  add_entry (table, table->revoked, &group->revoked, hash);
  return CLAIM_REVOKED;
}

void
claim_witness_tick (struct claim_witness_table *table)
{
  int64_t limit_us = pl_now_us (table->clock) - table->keep_us;
  struct group *group = g_queue_peek_head (&table->order);
  while (group != NULL && group->created_us <= limit_us)
    {
      drop_oldest (table);
      group = g_queue_peek_head (&table->order);
    }
}

unsigned
claim_witness_count_keys (const struct claim_witness_table *table)
{
  return g_hash_table_size (table->permitted)
         + g_hash_table_size (table->revoked);
}
