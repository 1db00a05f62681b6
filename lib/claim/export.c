/* Export of the records as chunks for a hand-over.  */
#include "claim.pb-c.h"
#include "claim_table.h"

#include <string.h>
#include <xxhash.h>

/* Upper bound of the protobuf tags and lengths around one record and its
   group.  */
#define RECORD_OVERHEAD_BYTES 64
/* Bytes of the checksum in front of the packed chunk.  */
#define CHECKSUM_BYTES 8

/* An export and the chunk that is being filled.  The last group may be open:
   its records are collected in RECORDS.  */
struct export
{
  struct claim_table *table;
  size_t max_bytes;
  void (*each) (GBytes * chunk, void *user);
  void *user;
  Claim__Chunk chunk;
  GPtrArray *owners; /* Claim__Owner */
  GPtrArray *epochs; /* struct claim_epochs, same order */
  GPtrArray *groups; /* Claim__Group; its records are a GPtrArray until sent */
  GPtrArray *records; /* Claim__Record of the open group */
  size_t empty_bytes; /* bytes of a chunk without groups */
  size_t bytes;
};

static void
add_owner (struct export *ex, struct claim_epochs *epochs)
{
  Claim__Owner *owner = g_new (Claim__Owner, 1);
  claim__owner__init (owner);
  owner->owner = epochs->owner;
  owner->floor = epochs->floor;
  owner->epoch = epochs->epoch;
  g_ptr_array_add (ex->owners, owner);
  g_ptr_array_add (ex->epochs, epochs);
}

static void
free_group (void *data)
{
  Claim__Group *group = data;
  for (size_t i = 0; i < group->n_records; i++)
    g_free (group->records[i]);
  g_free (group->records);
  g_free (group);
}

/* Moves the records collected in RECORDS to the last group.  */
static void
close_group (struct export *ex)
{
  if (ex->groups->len == 0)
    return;
  Claim__Group *group = ex->groups->pdata[ex->groups->len - 1];
  group->n_records = ex->records->len;
  group->records = (Claim__Record **)g_ptr_array_free (ex->records, false);
  ex->records = g_ptr_array_new ();
}

/* The size of a chunk without groups, checksum included.  */
static size_t
count_header_bytes (struct export *ex)
{
  ex->chunk.n_owners = ex->owners->len;
  ex->chunk.owners = (Claim__Owner **)ex->owners->pdata;
  ex->chunk.n_groups = 0;
  return CHECKSUM_BYTES + RECORD_OVERHEAD_BYTES
         + claim__chunk__get_packed_size (&ex->chunk);
}

static void
send_chunk (struct export *ex, bool last)
{
  close_group (ex);
  ex->chunk.last = last;
  ex->chunk.n_groups = ex->groups->len;
  ex->chunk.groups = (Claim__Group **)ex->groups->pdata;
  size_t len = claim__chunk__get_packed_size (&ex->chunk);
  uint8_t *data = g_malloc (CHECKSUM_BYTES + len);
  claim__chunk__pack (&ex->chunk, data + CHECKSUM_BYTES);
  XXH64_canonical_t checksum;
  XXH64_canonicalFromHash (&checksum,
                           XXH3_64bits (data + CHECKSUM_BYTES, len));
  memcpy (data, checksum.digest, CHECKSUM_BYTES);
  GBytes *bytes = g_bytes_new_take (data, CHECKSUM_BYTES + len);
  ex->each (bytes, ex->user);
  g_bytes_unref (bytes);
  g_ptr_array_set_size (ex->groups, 0);
  ex->chunk.index++;
  ex->bytes = ex->empty_bytes;
}

static void
open_group (struct export *ex, unsigned owner_index, int64_t epoch,
            int64_t age_ms)
{
  close_group (ex);
  Claim__Group *group = g_new (Claim__Group, 1);
  claim__group__init (group);
  group->owner_index = owner_index;
  group->epoch = epoch;
  group->age_ms = age_ms;
  g_ptr_array_add (ex->groups, group);
  ex->bytes += RECORD_OVERHEAD_BYTES;
}

static Claim__Record *
encode_record (struct claim_record *record)
{
  Claim__Record *out = g_new (Claim__Record, 1);
  claim__record__init (out);
  out->hash_hi = record->hash.hi;
  out->hash_lo = record->hash.lo;
  out->body_hash.data = record->body;
  out->body_hash.len = CLAIM_BODY_HASH_BYTES;
  out->code = record->done ? record->code : PL_UNKNOWN_LOST;
  if (!record->done)
    return out;
  out->retry_after_ms = (uint32_t)record->retry_after_ms;
  if (record->stored == NULL)
    return out;
  gsize len;
  const void *data = g_bytes_get_data (record->stored->reply->body, &len);
  out->answer.data = (uint8_t *)data;
  out->answer.len = len;
  return out;
}

/* Adds RECORD to the open group; starts a new chunk if it does not fit.  An
   answer too large for any chunk is left out.  */
static void
add_record (struct export *ex, struct claim_record *record)
{
  Claim__Record *out = encode_record (record);
  size_t size = claim__record__get_packed_size (out) + RECORD_OVERHEAD_BYTES;
  if (ex->empty_bytes + RECORD_OVERHEAD_BYTES + size > ex->max_bytes)
    {
      out->answer.len = 0;
      size = claim__record__get_packed_size (out) + RECORD_OVERHEAD_BYTES;
    }
  bool is_empty = ex->records->len == 0 && ex->groups->len == 1;
  if (ex->bytes + size > ex->max_bytes && !is_empty)
    {
      Claim__Group *group = ex->groups->pdata[ex->groups->len - 1];
      unsigned index = group->owner_index;
      int64_t epoch = group->epoch;
      int64_t age_ms = group->age_ms;
      send_chunk (ex, false);
      open_group (ex, index, epoch, age_ms);
    }
  ex->bytes += size;
  g_ptr_array_add (ex->records, out);
}

/* Adds all groups of one owner.  Empty groups are added, too, since a group
   carries the age of its epoch.  */
static void
add_epochs (struct export *ex, unsigned index)
{
  struct claim_epochs *epochs = ex->epochs->pdata[index];
  int64_t now_us = pl_now_us (ex->table->opts.clock);
  for (guint i = 0; i < epochs->groups->len; i++)
    {
      struct claim_group *group
          = &g_array_index (epochs->groups, struct claim_group, i);
      int64_t epoch = epochs->floor + 1 + i;
      bool current = epochs == ex->table->own && epoch == epochs->epoch;
      int64_t age_ms = current ? 0 : (now_us - group->end_us) / 1000;
      if (ex->bytes + 2 * (size_t)RECORD_OVERHEAD_BYTES > ex->max_bytes)
        send_chunk (ex, false);
      open_group (ex, index, epoch, age_ms);
      struct claim_record *record = group->first;
      for (; record != NULL; record = record->next)
        add_record (ex, record);
    }
}

/* Adds the unfinished records, which belong to no group, in a group of the
   current epoch.  */
static void
add_unfinished (struct export *ex)
{
  struct claim_table *table = ex->table;
  if (table->unfinished == 0)
    return;
  open_group (ex, 0, table->own->epoch, 0);
  GHashTableIter iter;
  void *key;
  g_hash_table_iter_init (&iter, table->records);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct claim_record *record = key;
      if (!record->done)
        add_record (ex, record);
    }
}

static void
collect_owners (struct export *ex)
{
  add_owner (ex, ex->table->own);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, ex->table->inherited);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct claim_epochs *epochs = value;
      if (epochs->complete)
        add_owner (ex, epochs);
    }
}

void
claim_export (struct claim_table *table, size_t max_bytes,
              void (*each) (GBytes *chunk, void *user), void *user)
{
  struct export ex = { .table = table,
                       .max_bytes = max_bytes,
                       .each = each,
                       .user = user,
                       .owners = g_ptr_array_new_with_free_func (g_free),
                       .epochs = g_ptr_array_new (),
                       .groups = g_ptr_array_new_with_free_func (free_group),
                       .records = g_ptr_array_new () };
  claim__chunk__init (&ex.chunk);
  ex.chunk.exporter = table->opts.self;
  collect_owners (&ex);
  ex.empty_bytes = count_header_bytes (&ex);
  ex.bytes = ex.empty_bytes;
  for (unsigned i = 0; i < ex.owners->len; i++)
    add_epochs (&ex, i);
  add_unfinished (&ex);
  send_chunk (&ex, true);
  g_ptr_array_unref (ex.records);
  g_ptr_array_unref (ex.groups);
  g_ptr_array_unref (ex.epochs);
  g_ptr_array_unref (ex.owners);
}
