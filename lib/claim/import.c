/* Import of the records that another instance hands over.  */
#include "claim.pb-c.h"
#include "claim_table.h"

#include <string.h>
#include <xxhash.h>

#define CHECKSUM_BYTES 8
/* Bounds on the values in a chunk, far above what the settings allow: more
   than a day of one-second epochs.  */
#define MAX_EPOCHS 131072
#define MAX_AGE_MS (INT64_C (7) * 86400 * 1000)
#define MAX_OWNERS 4096
#define MAX_CHUNKS 1048576

static Claim__Chunk *
decode_chunk (struct pl_str chunk)
{
  if (chunk.len < CHECKSUM_BYTES)
    return NULL;
  const uint8_t *data = (const uint8_t *)chunk.data + CHECKSUM_BYTES;
  size_t len = chunk.len - CHECKSUM_BYTES;
  XXH64_canonical_t checksum;
  XXH64_canonicalFromHash (&checksum, XXH3_64bits (data, len));
  if (memcmp (checksum.digest, chunk.data, CHECKSUM_BYTES) != 0)
    return NULL;
  return claim__chunk__unpack (NULL, len, data);
}

static bool
check_owners (const struct claim_table *table, const Claim__Chunk *chunk)
{
  if (chunk->n_owners == 0 || chunk->n_owners > MAX_OWNERS
      || chunk->owners[0]->owner != chunk->exporter)
    return false;
  for (size_t i = 0; i < chunk->n_owners; i++)
    {
      const Claim__Owner *owner = chunk->owners[i];
      if (owner->owner == 0)
        return false;
      if (i == 0 && owner->owner == table->opts.self)
        return false;
      if (owner->floor < 0 || owner->epoch < owner->floor
          || owner->epoch - owner->floor > MAX_EPOCHS)
        return false;
      for (size_t j = 0; j < i; j++)
        if (chunk->owners[j]->owner == owner->owner)
          return false;
    }
  return true;
}

static bool
check_record (const Claim__Record *record)
{
  enum pl_code code = (enum pl_code)record->code;
  return record->body_hash.len == CLAIM_BODY_HASH_BYTES
         && pl_code_info (code)->code == code
         && record->retry_after_ms <= INT32_MAX;
}

static bool
check_group (const Claim__Chunk *chunk, const Claim__Group *group)
{
  if (group->owner_index >= chunk->n_owners)
    return false;
  const Claim__Owner *owner = chunk->owners[group->owner_index];
  if (group->epoch <= owner->floor || group->epoch > owner->epoch)
    return false;
  if (group->age_ms < 0 || group->age_ms > MAX_AGE_MS)
    return false;
  for (size_t i = 0; i < group->n_records; i++)
    if (!check_record (group->records[i]))
      return false;
  return true;
}

static bool
check_chunk (const struct claim_table *table, const Claim__Chunk *chunk)
{
  if (chunk->index >= MAX_CHUNKS || !check_owners (table, chunk))
    return false;
  for (size_t i = 0; i < chunk->n_groups; i++)
    if (!check_group (chunk, chunk->groups[i]))
      return false;
  return true;
}

/* Adds OWNER, or raises its floor: a key in an epoch that the exporter has
   dropped must not count as never recorded.  */
static void
import_owner (struct claim_table *table, const Claim__Chunk *chunk,
              const Claim__Owner *owner)
{
  if (owner->owner == table->opts.self)
    return;
  struct claim_epochs *epochs = claim_find_inherited (table, owner->owner);
  if (epochs == NULL)
    {
      epochs = claim_epochs_new (owner->owner, owner->floor, owner->epoch,
                                 pl_now_us (table->opts.clock));
      g_hash_table_insert (table->inherited, &epochs->owner, epochs);
    }
  while (epochs->floor < MIN (owner->floor, epochs->epoch))
    claim_epochs_drop_oldest (table, epochs);
  if (!epochs->complete)
    epochs->handed_over_by = chunk->exporter;
}

/* Sets the time at which EPOCH ended.  Epochs end in order, so earlier ones
   ended at END_US at the latest.  */
static void
set_end_time (struct claim_epochs *epochs, int64_t epoch, int64_t end_us)
{
  struct claim_group *group = claim_epochs_find_group (epochs, epoch);
  while (group != NULL && group->end_us > end_us)
    {
      group->end_us = end_us;
      group = claim_epochs_find_group (epochs, --epoch);
    }
}

static void
import_record (struct claim_table *table, struct claim_group *group,
               const Claim__Record *in)
{
  struct claim_key_hash hash = { .hi = in->hash_hi, .lo = in->hash_lo };
  if (g_hash_table_contains (table->records, &hash))
    return;
  struct claim_record *record = g_new0 (struct claim_record, 1);
  record->hash = hash;
  memcpy (record->body, in->body_hash.data, CLAIM_BODY_HASH_BYTES);
  record->done = true;
  record->code = (uint16_t)in->code;
  record->retry_after_ms = (int32_t)in->retry_after_ms;
  g_hash_table_add (table->records, record);
  claim_group_add (group, record);
  if (in->answer.len == 0)
    return;
  struct job_reply *reply
      = job_reply_wrap ((enum pl_code)in->code, (int64_t)in->retry_after_ms,
                        g_bytes_new (in->answer.data, in->answer.len));
  claim_store_answer (table, record, reply);
  job_reply_unref (reply);
}

static void
import_group (struct claim_table *table, const Claim__Chunk *chunk,
              const Claim__Group *in)
{
  struct claim_epochs *epochs
      = claim_find_inherited (table, chunk->owners[in->owner_index]->owner);
  struct claim_group *group
      = epochs == NULL ? NULL : claim_epochs_find_group (epochs, in->epoch);
  if (group == NULL)
    return;
  set_end_time (epochs, in->epoch,
                pl_now_us (table->opts.clock) - in->age_ms * 1000);
  for (size_t i = 0; i < in->n_records; i++)
    import_record (table, group, in->records[i]);
}

static void
record_chunk (struct claim_epochs *epochs, const Claim__Chunk *chunk)
{
  if (epochs->chunks == NULL)
    epochs->chunks = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_hash_table_add (epochs->chunks, GUINT_TO_POINTER (chunk->index + 1));
  if (chunk->last)
    epochs->n_chunks = chunk->index + 1;
}

bool
claim_import (struct claim_table *table, struct pl_str chunk)
{
  Claim__Chunk *in = decode_chunk (chunk);
  if (in == NULL)
    return false;
  bool valid = check_chunk (table, in);
  if (valid)
    {
      for (size_t i = 0; i < in->n_owners; i++)
        import_owner (table, in, in->owners[i]);
      record_chunk (claim_find_inherited (table, in->exporter), in);
      for (size_t i = 0; i < in->n_groups; i++)
        import_group (table, in, in->groups[i]);
      claim_evict (table);
    }
  claim__chunk__free_unpacked (in, NULL);
  return valid;
}

static bool
has_all_chunks (const struct claim_epochs *epochs)
{
  return epochs->chunks != NULL && epochs->n_chunks > 0
         && g_hash_table_size (epochs->chunks) == epochs->n_chunks;
}

/* Includes the owners that OWNER itself had inherited.  If a chunk is missing,
   recorded keys are answered, but unrecorded ones stay CLAIM_FORGOTTEN,
   because they may have been in the missing chunk.  */
void
claim_inherit (struct claim_table *table, claim_instance_id owner)
{
  struct claim_epochs *owner_epochs = claim_find_inherited (table, owner);
  if (owner_epochs == NULL)
    return;
  bool all_received = has_all_chunks (owner_epochs);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, table->inherited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct claim_epochs *epochs = value;
      if (epochs->owner != owner && epochs->handed_over_by != owner)
        continue;
      epochs->inherited = true;
      epochs->complete |= all_received;
    }
}

bool
claim_inherits (const struct claim_table *table, claim_instance_id owner)
{
  const struct claim_epochs *epochs
      = g_hash_table_lookup (table->inherited, &owner);
  return epochs != NULL && epochs->inherited;
}
