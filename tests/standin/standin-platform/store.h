/* The stand-in's store in memory: keys with all their versions, and leases.
   The caller holds the server's lock.  */
#pragma once

#include "pl.h"

struct version
{
  char *key;     /* bytes with a trailing null; keys hold no null byte */
  GBytes *value; /* null: deleted */
  int64_t create_rev;
  int64_t mod_rev;
  int64_t version;
  int64_t lease;
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
/* The version of KEY at revision AT, or null.  */
const struct version *store_get (const struct store *store, const char *key,
                                 int64_t at);
/* Calls EACH for the pairs with KEY <= key < END (null: KEY only; "": no
   end) at revision AT.  */
void store_range (const struct store *store, const char *key, const char *end,
                  int64_t at,
                  void (*each) (const struct version *v, void *user),
                  void *user);
/* A transaction takes one revision: begin, any number of put and delete,
   end.  */
void store_begin (struct store *store);
void store_put (struct store *store, const char *key, GBytes *value,
                int64_t lease);
int64_t store_delete (struct store *store, const char *key, const char *end);
void store_end (struct store *store);
struct lease *store_lease (struct store *store, int64_t id);
struct lease *store_grant (struct store *store, int64_t id, int64_t ttl_s,
                           int64_t now_us);
bool store_revoke (struct store *store, int64_t id);
void store_expire (struct store *store, int64_t now_us);
