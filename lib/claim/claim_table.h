/* Private to lib/claim: the table of the owner's records.  */
#pragma once

#include "claim.h"

#define CLAIM_BODY_HASH_BYTES 16 /* bytes kept of a body's SHA-256 */

/* A stored final reply.  */
struct claim_answer
{
  GList link; /* in claim_table.stored */
  struct claim_record *record;
  struct job_reply *reply;
  int64_t at_us; /* when it was stored */
  size_t bytes;  /* counted against answer_bytes */
};

struct claim_record
{
  struct claim_key_hash hash;
  uint8_t body[CLAIM_BODY_HASH_BYTES]; /* hash of the body */
  union
  {
    void *user;                  /* unfinished: the caller's data */
    struct claim_answer *stored; /* finished; null if not stored */
  };
  union
  {
    int64_t epoch;             /* unfinished: the key's epoch */
    struct claim_record *next; /* finished: in the same group */
  };
  int32_t retry_after_ms;
  uint16_t code;
  bool done;
};

/* The finished records of one epoch of one owner; they are dropped
   together.  */
struct claim_group
{
  int64_t end_us;             /* when the epoch ended */
  struct claim_record *first; /* list of N records */
  unsigned n;
};

/* The records of one owner, this instance or an inherited one: those of the
   epochs FLOOR + 1 to EPOCH.  */
struct claim_epochs
{
  claim_instance_id owner;
  claim_instance_id handed_over_by; /* exporter of the records; 0: own ones */
  int64_t floor;                    /* last epoch dropped */
  int64_t epoch;                    /* current one, or last one of the owner */
  GArray *groups; /* struct claim_group; index 0 is FLOOR + 1 */
  bool inherited; /* claim_inherit was called */
  bool complete;  /* when it was called, all chunks had been imported */
  /* Chunks that this owner has exported.  */
  GHashTable *chunks; /* set of index + 1 */
  unsigned n_chunks;  /* how many exist; 0: unknown until the last arrives */
};

struct claim_table
{
  struct claim_opts opts;
  GHashTable *records; /* set of struct claim_record */
  unsigned unfinished;
  struct claim_epochs *own;
  GHashTable *inherited; /* claim_instance_id to struct claim_epochs */
  int64_t epoch_start_us;
  GQueue stored; /* struct claim_answer, oldest first */
  size_t stored_bytes;
  struct claim_record unseen; /* for keys that their owner never recorded */
};

struct claim_epochs *claim_epochs_new (claim_instance_id owner, int64_t floor,
                                       int64_t epoch, int64_t now_us);
void claim_epochs_free (struct claim_epochs *epochs);
/* The group of EPOCH; null if EPOCH is not above the floor or has not
   begun.  */
struct claim_group *claim_epochs_find_group (struct claim_epochs *epochs,
                                             int64_t epoch);
/* Drops all records of the first group and raises the floor.  */
void claim_epochs_drop_oldest (struct claim_table *table,
                               struct claim_epochs *epochs);
/* The records imported from another instance; null if there are none.  */
struct claim_epochs *claim_find_inherited (struct claim_table *table,
                                           claim_instance_id owner);
void claim_group_add (struct claim_group *group, struct claim_record *record);
/* Drops epochs beyond the bounds on age and count.  */
void claim_evict (struct claim_table *table);
/* Stores REPLY if it fits; drops the oldest answers to make room.  */
void claim_store_answer (struct claim_table *table,
                         struct claim_record *record, struct job_reply *reply);
void claim_drop_answer (struct claim_table *table,
                        struct claim_answer *stored);
/* Drops answers beyond the bound on age.  */
void claim_evict_answers (struct claim_table *table);
