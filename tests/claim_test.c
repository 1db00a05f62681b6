/* Tests of lib/claim: no key starts twice, and no key that may have started or
   whose record was dropped is reported as "not run".  */
#include "claim_fixture.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

static void
test_key_forms (void)
{
  static const char forms[]
      = "|brum|brum.9f86d081884c7d65.0.1|brum.9f86d081884c7d65.0.1."
        "|.9f86d081884c7d65.0.1.a|brum.9F86d081884c7d65.0.1.a"
        "|brum.0000000000000000.0.1.a|brum.9f86d081884c7d65.00.1.a"
        "|brum.9f86d081884c7d65.0.0.a|brum.9f86d081884c7d65.0.01.a"
        "|brum.9f86d081884c7d65.0.+1.a|brum.9f86d081884c7d65.0.1.a.b"
        "|brum.9f86d081884c7d65.0.1.a b"
        "|brum.9f86d081884c7d65.0.9223372036854775808.a";
  char **bad = g_strsplit (forms, "|", -1);
  struct claim_key key;
  for (size_t i = 0; bad[i] != NULL; i++)
    {
      struct pl_err err = { 0 };
      CU_ASSERT_FALSE (claim_key_parse (pl_str (bad[i]), &key, &err));
      CU_ASSERT_EQUAL (err.code, PL_KEY_MALFORMED);
    }
  g_strfreev (bad);
  CU_ASSERT_FATAL (claim_key_parse (
      pl_str ("brum.9f86d081884c7d65.60b725f10c9c85c7.12.order-4711"), &key,
      NULL));
  CU_ASSERT_EQUAL (key.owner, UINT64_C (0x9f86d081884c7d65));
  CU_ASSERT_EQUAL (key.witness, UINT64_C (0x60b725f10c9c85c7));
  CU_ASSERT_EQUAL (key.epoch, 12);
  CU_ASSERT (pl_str_eq (key.suffix, pl_str ("order-4711")));
}

static void
test_begin_states (void)
{
  struct claim_table *table = new_table (SELF, 1000);
  struct claim_record *record;
  struct claim_record *again;
  CU_ASSERT_EQUAL (begin (table, SELF, 2, 0, body_a, &record),
                   CLAIM_NOT_ISSUED);
  CU_ASSERT_EQUAL (begin (table, HEIR, 1, 0, body_a, &record),
                   CLAIM_FORGOTTEN);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_a, &record), CLAIM_NEW);
  claim_record_set_user (record, &test_clock);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_a, &again), CLAIM_RUNNING);
  CU_ASSERT_PTR_EQUAL (claim_record_user (again), &test_clock);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_b, &again), CLAIM_REUSED);
  CU_ASSERT_EQUAL (claim_count_unfinished (table), 1);
  finish (table, record, PL_OK);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_a, &again), CLAIM_DONE);
  CU_ASSERT_EQUAL (get_code (again), PL_OK);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_b, &again), CLAIM_REUSED);
  begin_and_finish (table, 1, 2, PL_OVERLOADED);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 2, body_a, &again), CLAIM_DONE);
  CU_ASSERT_EQUAL (get_code (again), PL_OVERLOADED);
  advance (table, 301);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_a, &again), CLAIM_DONE);
  CU_ASSERT_EQUAL (get_code (again), PL_ANSWER_GONE);
  claim_table_free (table);
}

/* Guards against a key that counts as new again after its record was dropped,
   and against the loss of an unfinished record.  */
static void
test_eviction (void)
{
  struct claim_table *table = new_table (SELF, 1000);
  struct claim_record *open;
  struct claim_record *record;
  begin_and_finish (table, 1, 1, PL_OK);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 2, body_a, &open), CLAIM_NEW);
  advance (table, 909);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_a, &record), CLAIM_DONE);
  advance (table, 2);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_a, &record),
                   CLAIM_FORGOTTEN);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 2, body_a, &record), CLAIM_RUNNING);
  finish (table, open, PL_OK);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 2, body_a, &record), CLAIM_DONE);
  advance (table, 930);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 2, body_a, &record),
                   CLAIM_FORGOTTEN);
  CU_ASSERT_EQUAL (claim_count_records (table), 0);
  claim_table_free (table);

  table = new_table (SELF, 64);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 0, body_a, &open), CLAIM_NEW);
  for (unsigned i = 1; i <= 1000; i++)
    {
      begin_and_finish (table, claim_current_epoch (table), i, PL_OVERLOADED);
      CU_ASSERT (claim_count_records (table) <= 65);
    }
  CU_ASSERT (claim_count_records (table) > 50);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 1, body_a, &record),
                   CLAIM_FORGOTTEN);
  CU_ASSERT_EQUAL (begin (table, SELF, 1, 0, body_a, &record), CLAIM_RUNNING);
  claim_table_free (table);
}

static void
test_witness_rules (void)
{
  struct claim_witness_table *witness_table
      = claim_witness_table_new (&test_clock.base, 900 * SECOND, 1000);
  struct claim_key_hash a = { 1, 1 };
  struct claim_key_hash b = { 2, 2 };
  CU_ASSERT_EQUAL (claim_revoke (witness_table, SELF, a, 3), CLAIM_REVOKED);
  CU_ASSERT_FALSE (claim_permit (witness_table, SELF, a, 3));
  CU_ASSERT_EQUAL (claim_revoke (witness_table, SELF, a, 3), CLAIM_REVOKED);
  CU_ASSERT (claim_permit (witness_table, SELF, b, 3));
  CU_ASSERT (claim_permit (witness_table, SELF, b, 3));
  CU_ASSERT_EQUAL (claim_revoke (witness_table, SELF, b, 3), CLAIM_PERMITTED);
  pl_manual_clock_advance (&test_clock, 900 * SECOND);
  claim_witness_tick (witness_table);
  CU_ASSERT_EQUAL (claim_witness_count_keys (witness_table), 0);
  struct claim_key_hash hashes[] = { a, b, { 3, 3 } };
  for (unsigned i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (claim_revoke (witness_table, SELF, hashes[i], 3),
                       CLAIM_UNKNOWN);
      CU_ASSERT_FALSE (claim_permit (witness_table, SELF, hashes[i], 3));
    }
  CU_ASSERT (claim_permit (witness_table, SELF, a, 4));
  /* Invented owners can't use up the room for real ones.  */
  for (uint64_t i = 0; i < 2000; i++)
    claim_revoke (witness_table, 1000000 + i, (struct claim_key_hash){ i, 9 },
                  1);
  CU_ASSERT (
      claim_permit (witness_table, HEIR, (struct claim_key_hash){ 7, 7 }, 1));
  CU_ASSERT (claim_witness_count_keys (witness_table) <= 1000);
  claim_witness_table_free (witness_table);
}

#define MODEL_KEYS 4096

/* What test_model knows of one key: the results that were returned for it.  */
struct model
{
  bool recorded;
  bool started;
  bool revoked;
  bool permitted;            /* by the witness, also if its reply was lost */
  int64_t epoch;             /* of the key; 0: not issued yet */
  struct claim_record *open; /* unfinished record; null: none */
};

static void
model_submit (struct claim_table *table, struct model *m, unsigned n)
{
  struct claim_record *record;
  enum claim_key_state found
      = begin (table, SELF, m->epoch, n, body_a, &record);
  if (m->open != NULL)
    {
      CU_ASSERT (found == CLAIM_RUNNING && record == m->open);
      return;
    }
  CU_ASSERT (!m->recorded || found == CLAIM_DONE || found == CLAIM_FORGOTTEN);
  if (found != CLAIM_NEW)
    return;
  m->recorded = true;
  m->open = record;
}

/* A permit request reaches the witness; LOST: the reply does not arrive.  */
static void
model_permit (struct claim_table *table,
              struct claim_witness_table *witness_table, struct model *m,
              unsigned n, bool lost)
{
  if (m->open == NULL || m->started)
    return;
  make_key (SELF, m->epoch, n);
  bool granted = claim_permit (witness_table, SELF,
                               claim_hash_key (pl_str (key_text)), m->epoch);
  CU_ASSERT (!granted || !m->revoked);
  m->permitted |= granted;
  if (lost)
    return;
  m->started = granted;
  if (granted)
    return;
  finish (table, m->open, PL_NO_PERMIT);
  m->open = NULL;
}

static void
model_revoke (struct claim_witness_table *witness_table, struct model *m,
              unsigned n)
{
  make_key (SELF, m->epoch, n);
  enum claim_revoke_result said = claim_revoke (
      witness_table, SELF, claim_hash_key (pl_str (key_text)), m->epoch);
  CU_ASSERT (said != CLAIM_REVOKED || !m->permitted);
  CU_ASSERT (said != CLAIM_PERMITTED || m->permitted);
  CU_ASSERT (said == CLAIM_REVOKED || said == CLAIM_UNKNOWN || !m->revoked);
  m->revoked |= said == CLAIM_REVOKED;
}

static void
model_finish (struct claim_table *table, struct model *m)
{
  if (m->open == NULL)
    return;
  finish (table, m->open, m->started ? PL_OK : PL_NO_PERMIT);
  m->open = NULL;
}

/* Invariant: no key starts twice, and none is both revoked and started, over
   100,000 random steps with evictions by age and by count.  */
static void
test_model (void)
{
  struct model *models = g_new0 (struct model, MODEL_KEYS);
  struct claim_table *table = new_table (SELF, 300);
  struct claim_witness_table *witness_table
      = claim_witness_table_new (&test_clock.base, 300 * SECOND, 250);
  GRand *rnd = g_rand_new_with_seed (4711);
  unsigned started = 0;
  unsigned revoked = 0;
  for (unsigned step = 0; step < 100000; step++)
    {
      unsigned n = (step / 25 + (unsigned)g_rand_int_range (rnd, 0, 400))
                   % MODEL_KEYS;
      struct model *m = &models[n];
      int op = g_rand_int_range (rnd, 0, 100);
      if (m->epoch == 0)
        m->epoch = claim_current_epoch (table);
      if (op < 50)
        model_submit (table, m, n);
      else if (op < 75)
        model_permit (table, witness_table, m, n, op < 60);
      else if (op < 80)
        model_revoke (witness_table, m, n);
      else if (op < 97)
        model_finish (table, m);
      else
        {
          advance (table, 3);
          claim_witness_tick (witness_table);
        }
      CU_ASSERT (!m->revoked || !m->started);
      CU_ASSERT (claim_witness_count_keys (witness_table) <= 300);
    }
  for (unsigned i = 0; i < MODEL_KEYS; i++)
    {
      started += models[i].started;
      revoked += models[i].revoked;
    }
  printf ("model: %u started, %u revoked\n", started, revoked);
  CU_ASSERT (started > 1000 && revoked > 300);
  g_rand_free (rnd);
  g_free (models);
  claim_table_free (table);
  claim_witness_table_free (witness_table);
}

static void
collect (GBytes *chunk, void *user)
{
  CU_ASSERT (g_bytes_get_size (chunk) <= 1024);
  g_ptr_array_add (user, g_bytes_ref (chunk));
}

static GPtrArray *
export_all (struct claim_table *table)
{
  GPtrArray *chunks
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  claim_export (table, 1024, collect, chunks);
  return chunks;
}

static bool
import (struct claim_table *table, GBytes *chunk)
{
  gsize len;
  const char *data = g_bytes_get_data (chunk, &len);
  return claim_import (table, (struct pl_str){ .data = data, .len = len });
}

static struct claim_table *
new_filled_table (void)
{
  struct claim_table *table = new_table (SELF, 1000);
  for (unsigned i = 0; i < 100; i++)
    {
      begin_and_finish (table, claim_current_epoch (table), i,
                        i % 2 ? PL_OK : PL_QUOTA);
      advance (table, 1);
    }
  struct claim_record *record;
  begin (table, SELF, 1, 1000, body_a, &record);
  return table;
}

static enum pl_code
resubmit (struct claim_table *table, int64_t epoch, unsigned n)
{
  struct claim_record *record;
  enum claim_key_state found = begin (table, SELF, epoch, n, body_a, &record);
  if (found == CLAIM_FORGOTTEN)
    return PL_UNKNOWN_FORGOTTEN;
  CU_ASSERT_EQUAL (found, CLAIM_DONE);
  return get_code (record);
}

static void
test_hand_over (void)
{
  struct claim_table *table = new_filled_table ();
  struct claim_table *heir = new_table (HEIR, 1000);
  GPtrArray *chunks = export_all (table);
  CU_ASSERT (chunks->len > 3);
  for (unsigned i = 0; i < 2 * chunks->len; i++)
    CU_ASSERT (import (heir, chunks->pdata[i % chunks->len]));
  CU_ASSERT_EQUAL (claim_count_records (heir), 101);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2000), PL_UNKNOWN_FORGOTTEN);
  claim_inherit (heir, SELF);
  CU_ASSERT (claim_inherits (heir, SELF));
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2000), PL_HANDED_OVER_UNSEEN);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 1000), PL_UNKNOWN_LOST);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2), PL_QUOTA);
  CU_ASSERT_EQUAL (resubmit (heir, 10, 99), PL_OK);
  struct claim_record *record;
  CU_ASSERT_EQUAL (begin (heir, SELF, 10, 99, body_b, &record), CLAIM_REUSED);

  /* The heir's heir answers for the keys of both.  */
  struct claim_table *next = new_table (0x3333, 1000);
  GPtrArray *second = export_all (heir);
  for (unsigned i = 0; i < second->len; i++)
    CU_ASSERT (import (next, second->pdata[i]));
  claim_inherit (next, HEIR);
  CU_ASSERT (claim_inherits (next, SELF));
  CU_ASSERT_EQUAL (resubmit (next, 10, 99), PL_OK);
  CU_ASSERT_EQUAL (resubmit (next, 10, 2000), PL_HANDED_OVER_UNSEEN);

  /* Each epoch is dropped at its age; after that its keys are never "not
     run".  */
  advance (heir, 830);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2000), PL_UNKNOWN_FORGOTTEN);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2), PL_UNKNOWN_FORGOTTEN);
  CU_ASSERT_EQUAL (resubmit (heir, 10, 2000), PL_HANDED_OVER_UNSEEN);
  advance (heir, 100);
  CU_ASSERT_EQUAL (resubmit (heir, 10, 2000), PL_UNKNOWN_FORGOTTEN);
  CU_ASSERT_FALSE (claim_inherits (heir, SELF));
  g_ptr_array_unref (chunks);
  g_ptr_array_unref (second);
  claim_table_free (table);
  claim_table_free (heir);
  claim_table_free (next);
}

/* Guards against "not run" for a key whose epoch an heir has dropped, if the
   next heir already has records of the owner with a lower floor.  */
static void
test_heir_floor (void)
{
  struct claim_table *table = new_filled_table ();
  struct claim_table *heir = new_table (HEIR, 50);
  struct claim_table *next = new_table (0x3333, 1000);
  GPtrArray *chunks = export_all (table);
  for (unsigned i = 0; i < chunks->len; i++)
    CU_ASSERT (import (heir, chunks->pdata[i]));
  CU_ASSERT (claim_count_records (heir) <= 50);
  claim_inherit (heir, SELF);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2), PL_UNKNOWN_FORGOTTEN);
  CU_ASSERT (import (next, chunks->pdata[1]));
  GPtrArray *second = export_all (heir);
  for (unsigned i = 0; i < second->len; i++)
    CU_ASSERT (import (next, second->pdata[i]));
  claim_inherit (next, HEIR);
  CU_ASSERT_EQUAL (resubmit (next, 1, 2000), PL_UNKNOWN_FORGOTTEN);
  CU_ASSERT_EQUAL (resubmit (next, 10, 2000), PL_HANDED_OVER_UNSEEN);
  g_ptr_array_unref (chunks);
  g_ptr_array_unref (second);
  claim_table_free (table);
  claim_table_free (heir);
  claim_table_free (next);
}

/* Guards against "not run" for a key in a chunk that was lost or damaged.  */
static void
test_bad_chunks (void)
{
  struct claim_table *table = new_filled_table ();
  struct claim_table *heir = new_table (HEIR, 1000);
  GPtrArray *chunks = export_all (table);
  gsize len;
  const char *data = g_bytes_get_data (chunks->pdata[1], &len);
  for (gsize i = 0; i < len; i++)
    {
      char *copy = g_memdup2 (data, len);
      copy[i] = (char)((unsigned char)copy[i] ^ 1U << i % 8);
      CU_ASSERT_FALSE (claim_import (heir, (struct pl_str){ copy, len }));
      g_free (copy);
      CU_ASSERT_FALSE (claim_import (heir, (struct pl_str){ data, i }));
    }
  CU_ASSERT_EQUAL (claim_count_records (heir), 0);
  CU_ASSERT_FALSE (import (table, chunks->pdata[0]));
  for (unsigned i = 0; i < chunks->len; i++)
    CU_ASSERT (i == 1 || import (heir, chunks->pdata[i]));
  claim_inherit (heir, SELF);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2000), PL_UNKNOWN_FORGOTTEN);
  CU_ASSERT_EQUAL (resubmit (heir, 10, 99), PL_OK);
  CU_ASSERT (import (heir, chunks->pdata[1]));
  claim_inherit (heir, SELF);
  CU_ASSERT_EQUAL (resubmit (heir, 1, 2000), PL_HANDED_OVER_UNSEEN);
  g_ptr_array_unref (chunks);
  claim_table_free (table);
  claim_table_free (heir);
}

static size_t
heap_bytes (void)
{
  return mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
}

/* Checks the bytes stated in claim.h with the counts of glibc's allocator,
   which a sanitizer replaces.  */
static void
test_memory (void)
{
  unsigned n = 100000;
  struct claim_table *table = new_table (SELF, 1000000);
  struct claim_witness_table *witness_table
      = claim_witness_table_new (&test_clock.base, SECOND, 1000000);
  size_t before = heap_bytes ();
  for (unsigned i = 0; i < n; i++)
    begin_and_finish (table, 1, i, PL_OVERLOADED);
  size_t middle = heap_bytes ();
  for (unsigned i = 0; i < n; i++)
    claim_permit (witness_table, SELF, (struct claim_key_hash){ i, i }, 1);
  size_t after = heap_bytes ();
  double record = (double)(middle - before) / n;
  double permit = (double)(after - middle) / n;
  printf ("bytes a record %.1f, a permit %.1f\n", record, permit);
  CU_ASSERT (record < 96);
  CU_ASSERT (permit < 64);
  claim_table_free (table);
  claim_witness_table_free (witness_table);
}

int
main (void)
{
  pl_manual_clock_init (&test_clock, 1000 * SECOND);
  static CU_TestInfo tests[] = {
    { "key forms", test_key_forms },
    { "begin states", test_begin_states },
    { "eviction", test_eviction },
    { "witness rules", test_witness_rules },
    { "model", test_model },
    { "hand-over", test_hand_over },
    { "heir's floor", test_heir_floor },
    { "bad chunks", test_bad_chunks },
    { "memory", test_memory },
    CU_TEST_INFO_NULL,
  };
  return test_run ("claim", tests);
}
