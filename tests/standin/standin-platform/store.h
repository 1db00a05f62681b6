/* The stand-in's in-memory store: keys with all their versions, and leases.
   Revisions and versions count as in etcd.  The caller holds the server's
   lock.  */
#pragma once

#include "pl.h"

/* A write or deletion of a key.  */
struct version
{
  char *key;     /* keys hold no null byte */
  GBytes *value; /* null: deleted */
  int64_t create_rev;
  int64_t mod_rev;
  int64_t version; /* number of writes since the key was created */
  int64_t lease;   /* 0: none */
};

struct lease
{
  int64_t id;
  int64_t ttl_s;
  int64_t expires_us;
};

struct store
{
  GTree *keys;    /* key to GPtrArray of struct version */
  GPtrArray *log; /* all versions in order of their revision */
  GHashTable *leases;
  int64_t revision;
  int64_t next_lease;
  int64_t compacted; /* watches can't start before this revision */
  int64_t writes;
};

void store_init (struct store *store);
void store_clear (struct store *store);
/* The version of KEY at AT_REVISION, or null if the key did not exist.  */
const struct version *store_get (const struct store *store, const char *key,
                                 int64_t at_revision);
/* Calls VISIT for each key with KEY <= key < END (null: KEY only; "": no end)
   that existed at AT_REVISION.  */
void store_range (const struct store *store, const char *key, const char *end,
                  int64_t at_revision,
                  void (*visit) (const struct version *v, void *user),
                  void *user);
/* All writes between store_begin and store_end share one revision.  */
void store_begin (struct store *store);
void store_put (struct store *store, const char *key, GBytes *value,
                int64_t lease);
/* Deletes the keys of a range, as in store_range; returns their number.  */
int64_t store_delete (struct store *store, const char *key, const char *end);
void store_end (struct store *store);
/* The lease ID, or null.  */
struct lease *store_lease (struct store *store, int64_t id);
/* Creates a lease; ID 0: with a new number.  */
struct lease *store_grant (struct store *store, int64_t id, int64_t ttl_s,
                           int64_t now_us);
/* Ends a lease and deletes its keys; false if there is no such lease.  */
bool store_revoke (struct store *store, int64_t id);
/* Revokes all leases that have expired.  */
void store_expire (struct store *store, int64_t now_us);
