/* The owner's records: lookup, begin and finish of keys, and the epochs.  */
#include "claim_table.h"

#include <string.h>

/* The current epoch ends early when it holds keep_records divided by this, so
   that dropping older epochs is enough to keep within keep_records.  */
#define EPOCH_DIVISOR 8

/* Body hash of a record that matches any body.  No real body has it in
   practice, as it would need a SHA-256 that begins with 16 zero bytes.  */
static const uint8_t any_body[CLAIM_BODY_HASH_BYTES];

static guint
hash_record (const void *key)
{
  const struct claim_key_hash *hash = key;
  return (guint)hash->lo;
}

static gboolean
equal_record (const void *a, const void *b)
{
  const struct claim_key_hash *x = a;
  const struct claim_key_hash *y = b;
  return x->hi == y->hi && x->lo == y->lo;
}

static void
free_epochs (void *epochs)
{
  claim_epochs_free (epochs);
}

struct claim_table *
claim_table_new (const struct claim_opts *opts)
{
  struct claim_table *table = g_new0 (struct claim_table, 1);
  table->opts = *opts;
  table->records
      = g_hash_table_new_full (hash_record, equal_record, g_free, NULL);
  table->inherited
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_epochs);
  table->epoch_start_us = pl_now_us (opts->clock);
  table->own = claim_epochs_new (opts->self, 0, 1, table->epoch_start_us);
  g_queue_init (&table->stored);
  table->unseen.done = true;
  table->unseen.code = PL_HANDED_OVER_UNSEEN;
  return table;
}

void
claim_table_free (struct claim_table *table)
{
  if (table == NULL)
    return;
  while (table->stored.head != NULL)
    claim_drop_answer (table, table->stored.head->data);
  g_hash_table_unref (table->records);
  g_hash_table_unref (table->inherited);
  claim_epochs_free (table->own);
  g_free (table);
}

/* The state of a key that is not recorded.  CLAIM_DONE: an inherited owner has
   never recorded it, so it has not run and never will.  */
static enum claim_key_state
classify_unrecorded (struct claim_table *table, const struct claim_key *key)
{
  if (key->owner == table->opts.self)
    {
      if (key->epoch > table->own->epoch)
        return CLAIM_NOT_ISSUED;
      return key->epoch <= table->own->floor ? CLAIM_FORGOTTEN : CLAIM_NEW;
    }
  struct claim_epochs *epochs = claim_find_inherited (table, key->owner);
  if (epochs == NULL || !epochs->complete || key->epoch <= epochs->floor)
    return CLAIM_FORGOTTEN;
  return CLAIM_DONE;
}

static struct claim_record *
add_record (struct claim_table *table, struct claim_key_hash hash,
            int64_t epoch, const uint8_t *body_hash)
{
  struct claim_record *record = g_new0 (struct claim_record, 1);
  record->hash = hash;
  record->epoch = epoch;
  memcpy (record->body, body_hash, CLAIM_BODY_HASH_BYTES);
  g_hash_table_add (table->records, record);
  table->unfinished++;
  return record;
}

/* A record made by claim_add_finished matches any body.  */
static bool
same_body (const struct claim_record *record, const uint8_t *body_hash)
{
  return memcmp (record->body, any_body, CLAIM_BODY_HASH_BYTES) == 0
         || memcmp (record->body, body_hash, CLAIM_BODY_HASH_BYTES) == 0;
}

enum claim_key_state
claim_begin (struct claim_table *table, const struct claim_key *key,
             struct pl_str text, const uint8_t *body_hash,
             struct claim_record **record)
{
  struct claim_key_hash hash = claim_hash_key (text);
  *record = g_hash_table_lookup (table->records, &hash);
  if (*record != NULL)
    {
      if (!same_body (*record, body_hash))
        return CLAIM_REUSED;
      return (*record)->done ? CLAIM_DONE : CLAIM_RUNNING;
    }
  enum claim_key_state found = classify_unrecorded (table, key);
  if (found == CLAIM_NEW)
    *record = add_record (table, hash, key->epoch, body_hash);
  if (found == CLAIM_DONE)
    *record = &table->unseen;
  return found;
}

bool
claim_lookup (struct claim_table *table, const struct claim_key *key,
              struct pl_str text, enum claim_key_state *found,
              struct claim_record **record)
{
  struct claim_key_hash hash = claim_hash_key (text);
  *record = g_hash_table_lookup (table->records, &hash);
  if (*record != NULL)
    {
      *found = (*record)->done ? CLAIM_DONE : CLAIM_RUNNING;
      return true;
    }
  *found = classify_unrecorded (table, key);
  if (*found == CLAIM_DONE)
    *record = &table->unseen;
  return *found == CLAIM_DONE;
}

static void
begin_epoch (struct claim_table *table)
{
  struct claim_epochs *own = table->own;
  int64_t now_us = pl_now_us (table->opts.clock);
  claim_epochs_find_group (own, own->epoch)->end_us = now_us;
  struct claim_group group = { .end_us = now_us };
  g_array_append_val (own->groups, group);
  own->epoch++;
  table->epoch_start_us = now_us;
}

/* Adds a finished record to the group of its epoch.  If that epoch has been
   dropped while the record was unfinished, adds it to the current epoch, so
   that it is kept as long as that epoch's records.  */
static void
add_to_epoch (struct claim_table *table, struct claim_record *record)
{
  struct claim_epochs *own = table->own;
  struct claim_group *group = claim_epochs_find_group (own, record->epoch);
  if (group == NULL)
    group = claim_epochs_find_group (own, own->epoch);
  claim_group_add (group, record);
  group = claim_epochs_find_group (own, own->epoch);
  if (group->n >= MAX (table->opts.keep_records / EPOCH_DIVISOR, 1))
    begin_epoch (table);
}

void
claim_finish (struct claim_table *table, struct claim_record *record,
              struct job_reply *reply)
{
  if (record->done)
    return;
  record->done = true;
  record->stored = NULL;
  record->code = (uint16_t)reply->code;
  record->retry_after_ms
      = (int32_t)CLAMP (reply->retry_after_ms, 0, INT32_MAX);
  table->unfinished--;
  add_to_epoch (table, record);
  /* Refusals can come in large numbers and can be rendered again from the
     code; storing them would push out answers.  */
  if (pl_code_info (reply->code)->outcome != PL_OUTCOME_NOT_RUN)
    claim_store_answer (table, record, reply);
  if (claim_count_records (table) - table->unfinished
      > table->opts.keep_records)
    claim_evict (table);
}

void
claim_add_finished (struct claim_table *table, const struct claim_key *key,
                    struct pl_str text, struct job_reply *reply)
{
  struct claim_record *record
      = add_record (table, claim_hash_key (text), key->epoch, any_body);
  claim_finish (table, record, reply);
}

void
claim_record_set_user (struct claim_record *record, void *user)
{
  if (!record->done)
    record->user = user;
}

void *
claim_record_user (struct claim_record *record)
{
  return record->done ? NULL : record->user;
}

struct job_reply *
claim_record_reply (struct claim_record *record, struct pl_str key)
{
  if (!record->done)
    return NULL;
  if (record->stored != NULL)
    return job_reply_ref (record->stored->reply);
  enum pl_code code = (enum pl_code)record->code;
  if (pl_code_info (code)->outcome == PL_OUTCOME_COMPLETE)
    code = PL_ANSWER_GONE;
  return job_reply_error (key, code, record->retry_after_ms, NULL, NULL, 0);
}

void
claim_tick (struct claim_table *table)
{
  int64_t now_us = pl_now_us (table->opts.clock);
  if (now_us - table->epoch_start_us >= table->opts.epoch_us)
    begin_epoch (table);
  claim_evict_answers (table);
  claim_evict (table);
}

int64_t
claim_current_epoch (const struct claim_table *table)
{
  return table->own->epoch;
}

unsigned
claim_count_records (const struct claim_table *table)
{
  return g_hash_table_size (table->records);
}

unsigned
claim_count_unfinished (const struct claim_table *table)
{
  return table->unfinished;
}
