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
  int64_t made_us;
  struct entry *permitted;
  struct entry *revoked;
};

struct claim_witness
{
  struct pl_clock *clock;
  int64_t keep_us;
  unsigned keep_records;
  /* claim_instance_id to floor.  Entries are never removed: a forgotten floor
     would let a dropped key be granted or revoked again.  */
  GHashTable *floors;
  unsigned revoked_owners; /* entries of FLOORS made by revocations */
  GHashTable *groups;      /* set of struct group */
  GQueue order;            /* the same, oldest first */
  GHashTable *permitted;   /* sets of struct entry */
  GHashTable *revoked;
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

struct claim_witness *
claim_witness_new (struct pl_clock *clock, int64_t keep_us,
                   unsigned keep_records)
{
  struct claim_witness *witness = g_new0 (struct claim_witness, 1);
  witness->clock = clock;
  witness->keep_us = keep_us;
  witness->keep_records = keep_records;
  witness->floors = g_hash_table_new (g_direct_hash, g_direct_equal);
  witness->groups
      = g_hash_table_new_full (hash_group, equal_group, g_free, NULL);
  g_queue_init (&witness->order);
  witness->permitted
      = g_hash_table_new_full (hash_entry, equal_entry, g_free, NULL);
  witness->revoked
      = g_hash_table_new_full (hash_entry, equal_entry, g_free, NULL);
  return witness;
}

void
claim_witness_free (struct claim_witness *witness)
{
  if (witness == NULL)
    return;
  g_hash_table_unref (witness->permitted);
  g_hash_table_unref (witness->revoked);
  g_hash_table_unref (witness->groups);
  g_hash_table_unref (witness->floors);
  g_queue_clear (&witness->order);
  g_free (witness);
}

static void *
owner_key (claim_instance_id owner)
{
  return (void *)(uintptr_t)owner;
}

static void
set_floor (struct claim_witness *witness, claim_instance_id owner,
           int64_t floor)
{
  g_hash_table_insert (witness->floors, owner_key (owner),
                       (void *)(intptr_t)floor);
}

/* The floor of OWNER, which becomes known.  False: the bound on owners is
   reached.  Callers can make up owners in keys to revoke, so revocations may
   add only half of them.  */
static bool
get_floor (struct claim_witness *witness, claim_instance_id owner,
           bool is_revoke, int64_t *floor)
{
  void *value;
  if (g_hash_table_lookup_extended (witness->floors, owner_key (owner), NULL,
                                    &value))
    {
      *floor = (intptr_t)value;
      return true;
    }
  if (g_hash_table_size (witness->floors) >= witness->keep_records)
    return false;
  if (is_revoke && witness->revoked_owners >= witness->keep_records / 2)
    return false;
  witness->revoked_owners += is_revoke;
  *floor = 0;
  set_floor (witness, owner, 0);
  return true;
}

static struct group *
get_group (struct claim_witness *witness, claim_instance_id owner,
           int64_t epoch)
{
  struct group wanted = { .owner = owner, .epoch = epoch };
  struct group *group = g_hash_table_lookup (witness->groups, &wanted);
  if (group != NULL)
    return group;
  group = g_new0 (struct group, 1);
  *group = wanted;
  group->made_us = pl_now_us (witness->clock);
  g_hash_table_add (witness->groups, group);
  g_queue_push_tail (&witness->order, group);
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

/* Groups of lower epochs that were made later stay until their own turn; their
   keys are still recorded, and new ones are below the floor.  */
static void
drop_oldest (struct claim_witness *witness)
{
  struct group *group = g_queue_pop_head (&witness->order);
  int64_t floor = 0;
  get_floor (witness, group->owner, false, &floor);
  set_floor (witness, group->owner, MAX (floor, group->epoch));
  drop_entries (witness->permitted, group->permitted);
  drop_entries (witness->revoked, group->revoked);
  g_hash_table_remove (witness->groups, group);
}

static void
add_entry (struct claim_witness *witness, GHashTable *set, struct entry **list,
           struct claim_key_hash hash)
{
  struct entry *entry = g_new (struct entry, 1);
  entry->hash = hash;
  entry->next = *list;
  *list = entry;
  g_hash_table_add (set, entry);
  while (claim_witness_count (witness) > witness->keep_records
         && witness->order.length > 1)
    drop_oldest (witness);
}

bool
claim_permit (struct claim_witness *witness, claim_instance_id owner,
              struct claim_key_hash hash, int64_t epoch)
{
  struct entry wanted = { .hash = hash };
  if (g_hash_table_contains (witness->permitted, &wanted))
    return true;
  if (g_hash_table_contains (witness->revoked, &wanted))
    return false;
  int64_t floor;
  if (!get_floor (witness, owner, false, &floor) || epoch <= floor)
    return false;
  struct group *group = get_group (witness, owner, epoch);
  add_entry (witness, witness->permitted, &group->permitted, hash);
  return true;
}

enum claim_revoke_result
claim_revoke (struct claim_witness *witness, claim_instance_id owner,
              struct claim_key_hash hash, int64_t epoch)
{
  struct entry wanted = { .hash = hash };
  if (g_hash_table_contains (witness->permitted, &wanted))
    return CLAIM_PERMITTED;
  if (g_hash_table_contains (witness->revoked, &wanted))
    return CLAIM_REVOKED;
  int64_t floor;
  if (!get_floor (witness, owner, true, &floor) || epoch <= floor)
    return CLAIM_UNKNOWN;
  struct group *group = get_group (witness, owner, epoch);
  add_entry (witness, witness->revoked, &group->revoked, hash);
  return CLAIM_REVOKED;
}

void
claim_witness_tick (struct claim_witness *witness)
{
  int64_t limit_us = pl_now_us (witness->clock) - witness->keep_us;
  struct group *group = g_queue_peek_head (&witness->order);
  while (group != NULL && group->made_us <= limit_us)
    {
      drop_oldest (witness);
      group = g_queue_peek_head (&witness->order);
    }
}

unsigned
claim_witness_count (const struct claim_witness *witness)
{
  return g_hash_table_size (witness->permitted)
         + g_hash_table_size (witness->revoked);
}
