#include "claim.pb-c.h"
#include "claim_table.h"

#include <string.h>
#include <xxhash.h>

#define SUM_BYTES 8
/* Bounds on what a chunk may claim, far above what the settings allow: a day
   of one-second epochs.  */
#define EPOCHS_MAX 131072
#define AGE_MAX_MS (INT64_C (7) * 86400 * 1000)
#define OWNERS_MAX 4096
#define CHUNKS_MAX 1048576

static Claim__Chunk *
decode (struct pl_str chunk)
{
  if (chunk.len < SUM_BYTES)
    return NULL;
  const uint8_t *data = (const uint8_t *)chunk.data + SUM_BYTES;
  size_t len = chunk.len - SUM_BYTES;
  XXH64_canonical_t sum;
  XXH64_canonicalFromHash (&sum, XXH3_64bits (data, len));
  if (memcmp (sum.digest, chunk.data, SUM_BYTES) != 0)
    return NULL;
  return claim__chunk__unpack (NULL, len, data);
}

static bool
check_owners (const struct claim_table *table, const Claim__Chunk *chunk)
{
  if (chunk->n_owners == 0 || chunk->n_owners > OWNERS_MAX
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
          || owner->epoch - owner->floor > EPOCHS_MAX)
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
  return record->body_hash.len == CLAIM_BODY_BYTES
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
  if (group->age_ms < 0 || group->age_ms > AGE_MAX_MS)
    return false;
  for (size_t i = 0; i < group->n_records; i++)
    if (!check_record (group->records[i]))
      return false;
  return true;
}

static bool
check (const struct claim_table *table, const Claim__Chunk *chunk)
{
  if (chunk->index >= CHUNKS_MAX || !check_owners (table, chunk))
    return false;
  for (size_t i = 0; i < chunk->n_groups; i++)
    if (!check_group (chunk, chunk->groups[i]))
      return false;
  return true;
}

/* Makes the series of OWNER, or raises its floor: what the exporter has
   dropped must not count as never received.  */
static void
take_owner (struct claim_table *table, const Claim__Chunk *chunk,
            const Claim__Owner *owner)
{
  if (owner->owner == table->opts.self)
    return;
  struct claim_series *series = claim_series_find (table, owner->owner);
  if (series == NULL)
    {
      series = claim_series_new (owner->owner, owner->floor, owner->epoch,
                                 pl_now_us (table->opts.clock));
      g_hash_table_insert (table->inherited, &series->owner, series);
    }
  while (series->floor < MIN (owner->floor, series->epoch))
    claim_series_drop (table, series);
  if (!series->vouched)
    series->via = chunk->exporter;
}

/* Epochs end in order, so earlier ones ended at END_US at the latest.  */
static void
set_end (struct claim_series *series, int64_t epoch, int64_t end_us)
{
  struct claim_group *group = claim_series_group (series, epoch);
  while (group != NULL && group->end_us > end_us)
    {
      group->end_us = end_us;
      group = claim_series_group (series, --epoch);
    }
}

static void
take_record (struct claim_table *table, struct claim_group *group,
             const Claim__Record *in)
{
  struct claim_key_hash hash = { .hi = in->hash_hi, .lo = in->hash_lo };
  if (g_hash_table_contains (table->records, &hash))
    return;
  struct claim_record *record = g_new0 (struct claim_record, 1);
  record->hash = hash;
  memcpy (record->body, in->body_hash.data, CLAIM_BODY_BYTES);
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
  claim_hold (table, record, reply);
  job_reply_unref (reply);
}

static void
take_group (struct claim_table *table, const Claim__Chunk *chunk,
            const Claim__Group *in)
{
  struct claim_series *series
      = claim_series_find (table, chunk->owners[in->owner_index]->owner);
  struct claim_group *group
      = series == NULL ? NULL : claim_series_group (series, in->epoch);
  if (group == NULL)
    return;
  set_end (series, in->epoch,
           pl_now_us (table->opts.clock) - in->age_ms * 1000);
  for (size_t i = 0; i < in->n_records; i++)
    take_record (table, group, in->records[i]);
}

static void
note_chunk (struct claim_series *series, const Claim__Chunk *chunk)
{
  if (series->chunks == NULL)
    series->chunks = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_hash_table_add (series->chunks, GUINT_TO_POINTER (chunk->index + 1));
  if (chunk->last)
    series->n_chunks = chunk->index + 1;
}

bool
claim_import (struct claim_table *table, struct pl_str chunk)
{
  Claim__Chunk *in = decode (chunk);
  if (in == NULL)
    return false;
  bool valid = check (table, in);
  if (valid)
    {
      for (size_t i = 0; i < in->n_owners; i++)
        take_owner (table, in, in->owners[i]);
      note_chunk (claim_series_find (table, in->exporter), in);
      for (size_t i = 0; i < in->n_groups; i++)
        take_group (table, in, in->groups[i]);
      claim_evict (table);
    }
  claim__chunk__free_unpacked (in, NULL);
  return valid;
}

static bool
has_all_chunks (const struct claim_series *series)
{
  return series->chunks != NULL && series->n_chunks > 0
         && g_hash_table_size (series->chunks) == series->n_chunks;
}

/* Includes the owners that OWNER itself had inherited.  If a chunk is missing,
   recorded keys are answered but unrecorded ones stay CLAIM_FORGOTTEN: they
   may be in the missing chunk.  */
void
claim_inherit (struct claim_table *table, claim_instance_id owner)
{
  struct claim_series *heir = claim_series_find (table, owner);
  if (heir == NULL)
    return;
  bool complete = has_all_chunks (heir);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, table->inherited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct claim_series *series = value;
      if (series->owner != owner && series->via != owner)
        continue;
      series->inherited = true;
      series->vouched |= complete;
    }
}

bool
claim_inherits (const struct claim_table *table, claim_instance_id owner)
{
  const struct claim_series *series
      = g_hash_table_lookup (table->inherited, &owner);
  return series != NULL && series->inherited;
}
