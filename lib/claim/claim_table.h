/* Private to lib/claim: the layout of the owner's records.  */
#pragma once

#include "claim.h"

#define CLAIM_BODY_BYTES 16 /* bytes kept of a body's SHA-256 */

/* A final reply that is still stored.  */
struct claim_held
{
  GList link; /* in claim_table.held, oldest first */
  struct claim_record *record;
  struct job_reply *reply;
  int64_t at_us;
  size_t bytes;
};

struct claim_record
{
  struct claim_key_hash hash;
  uint8_t body[CLAIM_BODY_BYTES];
  union
  {
    void *user;              /* unfinished */
    struct claim_held *held; /* finished; null if not stored */
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

/* The finished records of one epoch; they are dropped together.  */
struct claim_group
{
  int64_t end_us; /* when the epoch stopped being the current one */
  struct claim_record *first;
  unsigned n;
};

/* The epochs FLOOR + 1 to EPOCH of this owner or an inherited one.  */
struct claim_series
{
  claim_instance_id owner;
  claim_instance_id via; /* who handed it over; 0: the own series */
  int64_t floor;
  int64_t epoch;
  GArray *groups; /* struct claim_group; index 0 is FLOOR + 1 */
  bool inherited; /* claim_inherit was called */
  bool vouched;   /* and all chunks were there */
  /* Chunks received from this owner.  */
  GHashTable *chunks; /* set of index + 1 */
  unsigned n_chunks;  /* 0: the last one is missing */
};

struct claim_table
{
  struct claim_opts opts;
  GHashTable *records; /* set of struct claim_record */
  unsigned unfinished;
  struct claim_series *own;
  GHashTable *inherited; /* claim_instance_id to struct claim_series */
  int64_t epoch_start_us;
  GQueue held;
  size_t held_bytes;
  struct claim_record unseen; /* stands for all keys never received */
};

struct claim_series *claim_series_new (claim_instance_id owner, int64_t floor,
                                       int64_t epoch, int64_t now_us);
void claim_series_free (struct claim_series *series);
/* The group of EPOCH; null if it is not above the floor or not begun.  */
struct claim_group *claim_series_group (struct claim_series *series,
                                        int64_t epoch);
/* Drops all records of the first group and raises the floor.  */
void claim_series_drop (struct claim_table *table,
                        struct claim_series *series);
struct claim_series *claim_series_find (struct claim_table *table,
                                        claim_instance_id owner);
void claim_group_add (struct claim_group *group, struct claim_record *record);
/* Drops epochs beyond the bounds on age and count.  */
void claim_evict (struct claim_table *table);
/* Stores REPLY within the bounds.  */
void claim_hold (struct claim_table *table, struct claim_record *record,
                 struct job_reply *reply);
void claim_unhold (struct claim_table *table, struct claim_held *held);
void claim_evict_answers (struct claim_table *table);
