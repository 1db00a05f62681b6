/* Idempotency keys: parsing, the owner's records, the witness's table.  None
   of it is thread-safe; each table has one owning thread.  */
#pragma once

#include "job.h"
#include "pl.h"

#define CLAIM_PREFIX_TEXT 96 /* bytes that claim_prefix_text may write */

/* Names an instance's run: 64 random bits made at process start.  */
typedef uint64_t claim_instance_id;

struct claim_key
{
  struct pl_str domain;
  claim_instance_id owner;
  claim_instance_id witness; /* 0: none */
  int64_t epoch;
  struct pl_str suffix;
};

struct claim_key_hash
{
  uint64_t hi;
  uint64_t lo;
};

/* Parses "<domain>.<owner>.<witness>.<epoch>.<suffix>"; OUT points into TEXT.
   ERR says PL_KEY_MALFORMED.  */
bool claim_key_parse (struct pl_str text, struct claim_key *out,
                      struct pl_err *err);
struct claim_key_hash claim_hash_key (struct pl_str text);
char *claim_prefix_text (const char *domain, claim_instance_id owner,
                         claim_instance_id witness, int64_t epoch,
                         char buf[CLAIM_PREFIX_TEXT]);

/* The owner's records (dispatch thread).  Epochs start at 1; an epoch also
   ends early when it holds an eighth of keep_records.  A call costs O(1) apart
   from the eviction of whole epochs.  A finished record takes 64 bytes of heap
   and 13 to 26 in the hash table (80 in all at 100,000 refusals), a stored
   answer more.  */
struct claim_table;
struct claim_record;

struct claim_opts
{
  struct pl_clock *clock;
  claim_instance_id self;
  int64_t epoch_us;      /* length of an epoch */
  int64_t keep_us;       /* age after which an epoch is forgotten */
  unsigned keep_records; /* finished ones; the job queue bounds the others */
  int64_t answer_us;
  size_t answer_bytes;
};

enum claim_key_state
{
  CLAIM_NEW,        /* recorded now; the caller must finish it */
  CLAIM_RUNNING,    /* recorded and unfinished: see claim_record_user */
  CLAIM_DONE,       /* finished: see claim_record_reply */
  CLAIM_REUSED,     /* recorded with another body */
  CLAIM_NOT_ISSUED, /* epoch above the current one */
  CLAIM_FORGOTTEN,  /* epoch at or below the floor and not recorded */
};

struct claim_table *claim_table_new (const struct claim_opts *opts);
void claim_table_free (struct claim_table *table);
/* Looks KEY up and records it if it is new.  KEY->owner must be SELF or an
   inherited owner; an inherited owner's unrecorded key gives CLAIM_DONE with
   the reply PL_HANDED_OVER_UNSEEN, whatever its epoch above the floor, and
   CLAIM_FORGOTTEN at or below it.  The key of any other owner is
   CLAIM_FORGOTTEN.  RECORD is null unless the key is recorded or unseen.
   BODY_HASH has JOB_HASH_BYTES bytes, of which 16 are kept.  */
enum claim_key_state claim_begin (struct claim_table *table,
                                  const struct claim_key *key,
                                  struct pl_str text, const uint8_t *body_hash,
                                  struct claim_record **record);
/* Looks KEY up without recording it.  False: not recorded; FOUND then says
   CLAIM_NEW, CLAIM_NOT_ISSUED or CLAIM_FORGOTTEN.  An inherited owner's
   unrecorded key gives true and CLAIM_DONE, as in claim_begin.  */
bool claim_lookup (struct claim_table *table, const struct claim_key *key,
                   struct pl_str text, enum claim_key_state *found,
                   struct claim_record **record);
/* Ends a record with its final reply; the table keeps a reference within the
   answer bounds and the code beyond them.  Of a reply that says "not run" only
   code and retry_after_ms are kept.  */
void claim_finish (struct claim_table *table, struct claim_record *record,
                   struct job_reply *reply);
/* Records an unrecorded key, which must be CLAIM_NEW, as finished with REPLY,
   whatever body comes later: the key can never be new again.  */
void claim_add_finished (struct claim_table *table,
                         const struct claim_key *key, struct pl_str text,
                         struct job_reply *reply);
void claim_record_set_user (struct claim_record *record, void *user);
void *claim_record_user (struct claim_record *record);
/* A new reference to the final reply; a dropped answer gives PL_ANSWER_GONE,
   a dropped refusal or failure the code without its lists.  Null if RECORD is
   unfinished.  */
struct job_reply *claim_record_reply (struct claim_record *record,
                                      struct pl_str key);
/* Raises the epoch when due and drops old records; call at least once a
   second.  */
void claim_tick (struct claim_table *table);
int64_t claim_current_epoch (const struct claim_table *table);
unsigned claim_count_records (const struct claim_table *table);
unsigned claim_count_unfinished (const struct claim_table *table);

/* Hand-over: calls EACH with encoded chunks of at most MAX_BYTES that hold all
   finished records, inherited ones included; unfinished ones are encoded as
   PL_UNKNOWN_LOST.  */
void claim_export (struct claim_table *table, size_t max_bytes,
                   void (*each) (GBytes *chunk, void *user), void *user);
/* Takes over one chunk, all of it or nothing; a repeated chunk changes
   nothing. False if it is malformed.  */
bool claim_import (struct claim_table *table, struct pl_str chunk);
/* From now on the table vouches for OWNER, and for those that OWNER vouched
   for: call after all chunks.  If a chunk is missing, OWNER's unrecorded keys
   are CLAIM_FORGOTTEN instead of unseen.  */
void claim_inherit (struct claim_table *table, claim_instance_id owner);
bool claim_inherits (const struct claim_table *table, claim_instance_id owner);

/* The witness's table (control thread).  A permit or revocation takes
   32 bytes of heap and 13 to 26 in the hash table (48 in all at 100,000).  A
   floor is kept for ever for each of at most keep_records owners; an owner
   beyond them gets no permit.  */
struct claim_witness;

enum claim_revoke_result
{
  CLAIM_REVOKED,   /* the owner has not started the key and never will */
  CLAIM_PERMITTED, /* it may have started */
  CLAIM_UNKNOWN,   /* too old to say */
};

struct claim_witness *claim_witness_new (struct pl_clock *clock,
                                         int64_t keep_us,
                                         unsigned keep_records);
void claim_witness_free (struct claim_witness *witness);
/* Idempotent.  False: refused, for ever.  */
bool claim_permit (struct claim_witness *witness, claim_instance_id owner,
                   struct claim_key_hash hash, int64_t epoch);
enum claim_revoke_result claim_revoke (struct claim_witness *witness,
                                       claim_instance_id owner,
                                       struct claim_key_hash hash,
                                       int64_t epoch);
/* Drops what is older than the bound and raises floors.  */
void claim_witness_tick (struct claim_witness *witness);
unsigned claim_witness_count (const struct claim_witness *witness);
