/* Keys with all their versions, and leases.  Old versions are never
   discarded.  */
#include "store.h"

#include <string.h>

static void
version_free (void *item)
{
  struct version *version = item;
  g_free (version->key);
  g_bytes_unref (version->value);
  g_free (version);
}

static int
compare_keys (const void *a, const void *b, void *user)
{
  (void)user;
  return strcmp (a, b);
}

void
store_init (struct store *store)
{
  *store = (struct store){ .revision = 1, .next_lease = 1000 };
  store->keys = g_tree_new_full (compare_keys, NULL, g_free,
                                 (GDestroyNotify)g_ptr_array_unref);
  store->log = g_ptr_array_new_with_free_func (version_free);
  store->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
store_clear (struct store *store)
{
  g_tree_destroy (store->keys);
  g_ptr_array_unref (store->log);
  g_hash_table_destroy (store->leases);
}

/* The version that was in force at AT_REVISION; null if there was none or the
   key was deleted.  */
static const struct version *
version_at (const GPtrArray *versions, int64_t at_revision)
{
  for (guint i = versions == NULL ? 0 : versions->len; i > 0; i--)
    {
      const struct version *version = versions->pdata[i - 1];
      if (version->mod_rev <= at_revision)
        return version->value == NULL ? NULL : version;
    }
  return NULL;
}

const struct version *
store_get (const struct store *store, const char *key, int64_t at_revision)
{
  return version_at (g_tree_lookup (store->keys, key), at_revision);
}

void
store_range (const struct store *store, const char *key, const char *end,
             int64_t at_revision,
             void (*visit) (const struct version *v, void *user), void *user)
{
  if (end == NULL)
    {
      const struct version *version = store_get (store, key, at_revision);
      if (version != NULL)
        visit (version, user);
      return;
    }
  GTreeNode *node = g_tree_lower_bound (store->keys, key);
  for (; node != NULL; node = g_tree_node_next (node))
    {
      if (*end != '\0' && strcmp (g_tree_node_key (node), end) >= 0)
        return;
      const struct version *version
          = version_at (g_tree_node_value (node), at_revision);
      if (version != NULL)
        visit (version, user);
    }
}

void
store_begin (struct store *store)
{
  store->revision++;
}

/* A transaction that wrote nothing does not use up a revision.  */
void
store_end (struct store *store)
{
  const struct version *last
      = store->log->len == 0 ? NULL : store->log->pdata[store->log->len - 1];
  if (last == NULL || last->mod_rev != store->revision)
    store->revision--;
  else
    store->writes++;
}

static void
append_version (struct store *store, const char *key, GBytes *value,
                int64_t lease)
{
  GPtrArray *versions = g_tree_lookup (store->keys, key);
  if (versions == NULL)
    {
      versions = g_ptr_array_new ();
      g_tree_insert (store->keys, g_strdup (key), versions);
    }
  const struct version *previous = version_at (versions, store->revision);
  struct version *version = g_new0 (struct version, 1);
  version->key = g_strdup (key);
  version->value = value == NULL ? NULL : g_bytes_ref (value);
  version->mod_rev = store->revision;
  version->create_rev
      = previous == NULL ? store->revision : previous->create_rev;
  version->version = previous == NULL ? 1 : previous->version + 1;
  version->lease = lease;
  g_ptr_array_add (versions, version);
  g_ptr_array_add (store->log, version);
}

void
store_put (struct store *store, const char *key, GBytes *value, int64_t lease)
{
  append_version (store, key, value, lease);
}

static void
collect_key (const struct version *version, void *user)
{
  g_ptr_array_add (user, version->key);
}

int64_t
store_delete (struct store *store, const char *key, const char *end)
{
  GPtrArray *keys = g_ptr_array_new ();
  store_range (store, key, end, store->revision, collect_key, keys);
  int64_t n = keys->len;
  for (guint i = 0; i < keys->len; i++)
    append_version (store, keys->pdata[i], NULL, 0);
  g_ptr_array_unref (keys);
  return n;
}

struct lease *
store_lease (struct store *store, int64_t id)
{
  return g_hash_table_lookup (store->leases, &id);
}

struct lease *
store_grant (struct store *store, int64_t id, int64_t ttl_s, int64_t now_us)
{
  struct lease *lease = g_new0 (struct lease, 1);
  lease->id = id == 0 ? store->next_lease++ : id;
  lease->ttl_s = ttl_s;
  lease->expires_us = now_us + ttl_s * G_USEC_PER_SEC;
  g_hash_table_replace (store->leases, &lease->id, lease);
  return lease;
}

/* Argument of collect_leased.  */
struct leased
{
  int64_t lease;
  GPtrArray *keys;
};

static void
collect_leased (const struct version *version, void *user)
{
  struct leased *leased = user;
  if (version->lease == leased->lease)
    g_ptr_array_add (leased->keys, version->key);
}

bool
store_revoke (struct store *store, int64_t id)
{
  if (store_lease (store, id) == NULL)
    return false;
  struct leased leased = { .lease = id, .keys = g_ptr_array_new () };
  store_range (store, "", "", store->revision, collect_leased, &leased);
  store_begin (store);
  for (guint i = 0; i < leased.keys->len; i++)
    append_version (store, leased.keys->pdata[i], NULL, 0);
  store_end (store);
  g_ptr_array_unref (leased.keys);
  g_hash_table_remove (store->leases, &id);
  return true;
}

void
store_expire (struct store *store, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  int64_t expired = 0;
  do
    {
      expired = 0;
      g_hash_table_iter_init (&iter, store->leases);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (((struct lease *)value)->expires_us <= now_us)
          expired = ((struct lease *)value)->id;
      if (expired != 0)
        store_revoke (store, expired);
    }
  while (expired != 0);
}
