/* Shared helpers of the tests of lib/claim: a manual clock, keys and
   records.  */
#pragma once

#include "claim.h"
#include "test.h"

#define SELF UINT64_C (0x1111)
#define HEIR UINT64_C (0x2222)
#define SECOND INT64_C (1000000)

static struct pl_manual_clock test_clock;
static const uint8_t body_a[JOB_HASH_BYTES] = { 1 };
static const uint8_t body_b[JOB_HASH_BYTES] = { 2 };

static struct claim_table *
new_table (claim_instance_id self, unsigned keep_records)
{
  struct claim_opts opts = { .clock = &test_clock.base,
                             .self = self,
                             .epoch_us = 10 * SECOND,
                             .keep_us = 900 * SECOND,
                             .keep_records = keep_records,
                             .answer_us = 300 * SECOND,
                             .answer_bytes = 4096 };
  return claim_table_new (&opts);
}

/* The text of the key that make_key made last.  */
static char key_text[CLAIM_PREFIX_TEXT + 32];

static struct claim_key
make_key (claim_instance_id owner, int64_t epoch, unsigned n)
{
  char prefix[CLAIM_PREFIX_TEXT];
  claim_prefix_text ("brum", owner, 0, epoch, prefix);
  g_snprintf (key_text, sizeof key_text, "%s.k%u", prefix, n);
  struct claim_key key;
  CU_ASSERT_FATAL (claim_key_parse (pl_str (key_text), &key, NULL));
  return key;
}

static enum claim_key_state
begin (struct claim_table *table, claim_instance_id owner, int64_t epoch,
       unsigned n, const uint8_t *body, struct claim_record **record)
{
  struct claim_key key = make_key (owner, epoch, n);
  return claim_begin (table, &key, pl_str (key_text), body, record);
}

static void
finish (struct claim_table *table, struct claim_record *record,
        enum pl_code code)
{
  struct job_reply *reply = job_reply_wrap (code, 0, g_bytes_new ("{}", 2));
  claim_finish (table, record, reply);
  job_reply_unref (reply);
}

/* Records a new key and finishes it with CODE.  */
static void
begin_and_finish (struct claim_table *table, int64_t epoch, unsigned n,
                  enum pl_code code)
{
  struct claim_record *record;
  CU_ASSERT_EQUAL (begin (table, SELF, epoch, n, body_a, &record), CLAIM_NEW);
  finish (table, record, code);
}

static enum pl_code
get_code (struct claim_record *record)
{
  struct job_reply *reply = claim_record_reply (record, pl_str (key_text));
  enum pl_code code = reply->code;
  job_reply_unref (reply);
  return code;
}

static void
advance (struct claim_table *table, unsigned seconds)
{
  for (unsigned i = 0; i < seconds; i++)
    {
      pl_manual_clock_advance (&test_clock, SECOND);
      claim_tick (table);
    }
}
