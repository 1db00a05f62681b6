/* Idempotency keys, and the records that keep each key from being started
   twice.  A key names its owner, the instance that issued its prefix and that
   records the key when it is submitted (claims it), and a witness, an instance
   that permits the owner to start the key or revokes it if the owner is
   unreachable.  This module parses keys and holds both sides' tables.  No
   table is thread-safe; each belongs to one thread.  */
#pragma once

#include "job.h"
#include "pl.h"

#define CLAIM_PREFIX_TEXT 96 /* bytes that claim_prefix_text may write */

/* Identifies one incarnation of an instance: 64 random bits chosen when the
   process starts.  */
typedef uint64_t claim_instance_id;

struct claim_key
{
  struct pl_str domain;
  claim_instance_id owner;
  claim_instance_id witness; /* 0: none */
  int64_t epoch;
  struct pl_str suffix;
};

/* XXH3 hash of a whole key; the tables identify keys by it.  */
struct claim_key_hash
{
  uint64_t hi;
  uint64_t lo;
};

/* Parses "<domain>.<owner>.<witness>.<epoch>.<suffix>"; OUT points into TEXT.
   On failure ERR is PL_KEY_MALFORMED.  */
bool claim_key_parse (struct pl_str text, struct claim_key *out,
                      struct pl_err *err);
struct claim_key_hash claim_hash_key (struct pl_str text);
char *claim_prefix_text (const char *domain, claim_instance_id owner,
                         claim_instance_id witness, int64_t epoch,
                         char buf[CLAIM_PREFIX_TEXT]);

/* The owner's records (dispatch thread).  Time is divided into epochs, counted
   from 1; a key carries the epoch in which its prefix was issued.  An epoch
   ends after epoch_us, or early when it holds an eighth of keep_records.  Old
   records are dropped by whole epochs; the last epoch dropped is the floor.  A
   call costs O(1) apart from that.  A finished record takes 64 bytes of heap
   and 13 to 26 in the hash table (80 in all at 100,000 refusals), a stored
   answer more.  */
struct claim_table;
struct claim_record;

struct claim_opts
{
  struct pl_clock *clock;
  claim_instance_id self;
  int64_t epoch_us;      /* length of an epoch */
  int64_t keep_us;       /* age after which an epoch is dropped */
  unsigned keep_records; /* finished ones; the job queue bounds the others */
  int64_t answer_us;     /* age after which a stored answer is dropped */
  size_t answer_bytes;   /* bound on all stored answers */
};

enum claim_key_state
{
  CLAIM_NEW,        /* recorded now; the caller must finish it */
  CLAIM_RUNNING,    /* recorded and unfinished: see claim_record_user */
  CLAIM_DONE,       /* finished: see claim_record_reply */
  CLAIM_REUSED,     /* recorded with another body */
  CLAIM_NOT_ISSUED, /* not recorded, and its epoch has not begun */
  CLAIM_FORGOTTEN,  /* not recorded, and its epoch has been dropped or its
                       owner is another instance */
};

struct claim_table *claim_table_new (const struct claim_opts *opts);
void claim_table_free (struct claim_table *table);
/* Looks KEY up and records it if it is new.  Only keys of this instance can be
   new.  An inherited owner's unrecorded key gives CLAIM_DONE with the reply
   PL_HANDED_OVER_UNSEEN if its epoch is above the floor, and CLAIM_FORGOTTEN
   otherwise.  An unrecorded key of any other owner is CLAIM_FORGOTTEN.
   RECORD is null if the key is not recorded and the result is not CLAIM_DONE.
   BODY_HASH has JOB_HASH_BYTES bytes, of which 16 are kept.  */
enum claim_key_state claim_begin (struct claim_table *table,
                                  const struct claim_key *key,
                                  struct pl_str text, const uint8_t *body_hash,
                                  struct claim_record **record);
/* Looks KEY up without recording it.  False: not recorded; FOUND is then
   CLAIM_NEW, CLAIM_NOT_ISSUED or CLAIM_FORGOTTEN.  An inherited owner's
   unrecorded key gives true and CLAIM_DONE, as in claim_begin.  */
bool claim_lookup (struct claim_table *table, const struct claim_key *key,
                   struct pl_str text, enum claim_key_state *found,
                   struct claim_record **record);
/* Ends a record with its final reply.  The table stores the reply while it is
   within the bounds on answers, and its code and retry_after_ms beyond that.
   Of a reply with the outcome "not run" it keeps only these two.  */
void claim_finish (struct claim_table *table, struct claim_record *record,
                   struct job_reply *reply);
/* Records a key, which must be CLAIM_NEW, as finished with REPLY.  The record
   matches any body, so that the key will never be new again.  */
void claim_add_finished (struct claim_table *table,
                         const struct claim_key *key, struct pl_str text,
                         struct job_reply *reply);
/* Data that the caller attaches to an unfinished record; null once the record
   is finished.  */
void claim_record_set_user (struct claim_record *record, void *user);
void *claim_record_user (struct claim_record *record);
/* A new reference to the final reply.  If it is not stored any more, a
   complete job gives PL_ANSWER_GONE, any other a reply with the same code but
   without lists.  Null if RECORD is unfinished.  */
struct job_reply *claim_record_reply (struct claim_record *record,
                                      struct pl_str key);
/* Begins a new epoch when it is due and drops old records and answers; to be
   called at least once a second.  */
void claim_tick (struct claim_table *table);
int64_t claim_current_epoch (const struct claim_table *table);
unsigned claim_count_records (const struct claim_table *table);
unsigned claim_count_unfinished (const struct claim_table *table);

/* Hand-over: calls EACH with encoded chunks of at most MAX_BYTES that together
   hold all records, also those of inherited owners whose import was complete.
   Unfinished records are encoded as finished with PL_UNKNOWN_LOST.  */
void claim_export (struct claim_table *table, size_t max_bytes,
                   void (*each) (GBytes *chunk, void *user), void *user);
/* Adds the records of one chunk.  A repeated chunk changes nothing.  False if
   the chunk is malformed; it then changes nothing either.  */
bool claim_import (struct claim_table *table, struct pl_str chunk);
/* Makes this instance answer for the keys of OWNER, and of those owners that
   OWNER answered for; to be called after all chunks.  If a chunk is missing,
   unrecorded keys of these owners are CLAIM_FORGOTTEN, because they may have
   been in that chunk.  */
void claim_inherit (struct claim_table *table, claim_instance_id owner);
bool claim_inherits (const struct claim_table *table, claim_instance_id owner);

/* The witness's table (control thread): which keys it has permitted and which
   it has revoked.  A permit or revocation takes 32 bytes of heap and 13 to 26
   in the hash table (48 in all at 100,000).  Those older than keep_us, and the
   oldest beyond keep_records, are dropped by whole epochs of an owner; the
   owner's floor is the highest epoch dropped.  Floors are kept for ever, for
   at most keep_records owners; an owner beyond them gets no permit.  */
struct claim_witness_table;

enum claim_revoke_result
{
  CLAIM_REVOKED,   /* the owner has not started the key and never will */
  CLAIM_PERMITTED, /* the owner has a permit and may have started the key */
  CLAIM_UNKNOWN,   /* the witness can't tell: the epoch has been dropped, or
                      it knows too many owners */
};

struct claim_witness_table *claim_witness_table_new (struct pl_clock *clock,
                                                     int64_t keep_us,
                                                     unsigned keep_records);
void claim_witness_table_free (struct claim_witness_table *table);
/* Permits OWNER to start a key; idempotent.  False: refused, because the key
   is revoked, its epoch has been dropped or there are too many owners; it will
   never be permitted.  */
bool claim_permit (struct claim_witness_table *table, claim_instance_id owner,
                   struct claim_key_hash hash, int64_t epoch);
enum claim_revoke_result claim_revoke (struct claim_witness_table *table,
                                       claim_instance_id owner,
                                       struct claim_key_hash hash,
                                       int64_t epoch);
/* Drops what is older than keep_us and raises the floors.  */
void claim_witness_tick (struct claim_witness_table *table);
unsigned claim_witness_count_keys (const struct claim_witness_table *table);
