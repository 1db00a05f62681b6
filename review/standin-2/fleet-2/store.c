/* The store: items with revisions, transactions, leases and watches, as the
   platform serves them over HTTP.  A watch is a long poll: it is answered with
   the next changes, or with none when its time is over.  */
#include "fleet.h"

#include <string.h>

/* A key and its value.  */
struct item
{
  char *key;
  char *value;      /* base64 */
  int64_t revision; /* of the latest write */
  int64_t created;  /* revision of the first write */
  int64_t lease;    /* 0: none */
};

/* A write or removal of KEY.  */
struct change
{
  char *key;
  int64_t revision;
};

struct watch
{
  struct net_exchange *exchange;
  char *prefix;
  int64_t after; /* changes above this revision are watched */
  int64_t wait_until_us;
};

struct lease
{
  int64_t id;
  int64_t ttl_us;
  int64_t expires_us;
};

struct store
{
  struct fleet *fleet;
  GTree *items;       /* key -> struct item */
  GArray *changes;    /* struct change, by revision */
  GPtrArray *watches; /* struct watch */
  GArray *leases;     /* struct lease */
  int64_t revision;
  int64_t next_lease;
};

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  return strcmp (a, b);
}

struct store *
store_new (struct fleet *fleet)
{
  struct store *store = g_new0 (struct store, 1);
  store->fleet = fleet;
  store->items = g_tree_new_full (compare_keys, NULL, NULL, NULL);
  store->changes = g_array_new (FALSE, FALSE, sizeof (struct change));
  store->watches = g_ptr_array_new ();
  store->leases = g_array_new (FALSE, FALSE, sizeof (struct lease));
  store->revision = 100;
  return store;
}

static json_t *
item_json (const struct item *item)
{
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "key", item->key, "value",
                    item->value, "revision", (json_int_t)item->revision,
                    "created", (json_int_t)item->created, "lease",
                    (json_int_t)item->lease);
}

/* The latest state of each key with PREFIX that changed after AFTER.  */
static json_t *
events_after (struct store *store, const char *prefix, int64_t after)
{
  json_t *events = json_array ();
  for (guint i = 0; i < store->changes->len; i++)
    {
      const struct change *change
          = &g_array_index (store->changes, struct change, i);
      if (change->revision <= after || !g_str_has_prefix (change->key, prefix))
        continue;
      const struct item *item = g_tree_lookup (store->items, change->key);
      if (item == NULL)
        json_array_append_new (events, json_pack ("{s:s, s:I, s:b}", "key",
                                                  change->key, "revision",
                                                  (json_int_t)change->revision,
                                                  "deleted", 1));
      else if (item->revision == change->revision)
        json_array_append_new (events, item_json (item));
    }
  return events;
}

static void
answer_watch (struct store *store, struct watch *watch, json_t *events)
{
  fleet_reply_json (watch->exchange, 200,
                    json_pack ("{s:o, s:I}", "events", events, "current_rev",
                               (json_int_t)store->revision));
  g_ptr_array_remove_fast (store->watches, watch);
  g_free (watch->prefix);
  g_free (watch);
}

/* Answers all watches that have changes to report.  */
static void
answer_watches (struct store *store)
{
  for (guint i = store->watches->len; i-- > 0;)
    {
      struct watch *watch = g_ptr_array_index (store->watches, i);
      json_t *events = events_after (store, watch->prefix, watch->after);
      if (json_array_size (events) > 0)
        answer_watch (store, watch, events);
      else
        json_decref (events);
    }
}

static void
append_change (struct store *store, const char *key)
{
  struct change change = { g_strdup (key), store->revision };
  g_array_append_val (store->changes, change);
}

static void
put_base64 (struct store *store, const char *key, const char *value,
            int64_t lease)
{
  struct item *item = g_tree_lookup (store->items, key);
  store->revision++;
  if (item == NULL)
    {
      item = g_new0 (struct item, 1);
      item->key = g_strdup (key);
      item->created = store->revision;
      g_tree_insert (store->items, item->key, item);
    }
  g_free (item->value);
  item->value = g_strdup (value);
  item->revision = store->revision;
  item->lease = lease;
  append_change (store, key);
}

void
store_put (struct store *store, const char *key, const char *value,
           int64_t lease)
{
  g_autofree char *encoded
      = g_base64_encode ((const guchar *)value, strlen (value));
  put_base64 (store, key, encoded, lease);
  answer_watches (store);
}

void
store_remove (struct store *store, const char *key)
{
  struct item *item = g_tree_lookup (store->items, key);
  if (item == NULL)
    return;
  store->revision++;
  append_change (store, key);
  g_tree_remove (store->items, key);
  g_free (item->value);
  g_free (item->key);
  g_free (item);
  answer_watches (store);
}

struct range
{
  const char *prefix;
  const char *after;
  json_t *items;
};

static gboolean
append_in_range (gpointer key, gpointer value, gpointer data)
{
  struct range *range = data;
  if (g_str_has_prefix (key, range->prefix) && strcmp (key, range->after) > 0)
    json_array_append_new (range->items, item_json (value));
  return FALSE;
}

static void
get_range (struct store *store, struct net_exchange *exchange,
           const struct net_request *request)
{
  g_autofree char *prefix = fleet_query (request, "prefix");
  g_autofree char *after = fleet_query (request, "after");
  struct range range = { prefix == NULL ? "" : prefix,
                         after == NULL ? "" : after, json_array () };
  g_tree_foreach (store->items, append_in_range, &range);
  fleet_reply_json (exchange, 200,
                    json_pack ("{s:o, s:b, s:I}", "items", range.items,
                               "truncated", 0, "current_rev",
                               (json_int_t)store->revision));
}

static void
get_watch (struct store *store, struct net_exchange *exchange,
           const struct net_request *request)
{
  g_autofree char *after = fleet_query (request, "after");
  g_autofree char *wait = fleet_query (request, "wait_ms");
  struct watch *watch = g_new0 (struct watch, 1);
  watch->exchange = exchange;
  watch->prefix = fleet_query (request, "prefix");
  if (watch->prefix == NULL)
    watch->prefix = g_strdup ("");
  watch->after = after == NULL ? 0 : g_ascii_strtoll (after, NULL, 10);
  int64_t wait_ms = wait == NULL ? 0 : g_ascii_strtoll (wait, NULL, 10);
  watch->wait_until_us = pl_now_us (store->fleet->clock) + wait_ms * 1000;
  g_ptr_array_add (store->watches, watch);
  answer_watches (store);
}

static struct lease *
find_lease (struct store *store, int64_t id)
{
  for (guint i = 0; i < store->leases->len; i++)
    {
      struct lease *lease = &g_array_index (store->leases, struct lease, i);
      if (lease->id == id)
        return lease;
    }
  return NULL;
}

/* Whether each key in EXPECT has the given revision (0: does not exist).  */
static bool
conditions_hold (struct store *store, const json_t *expect)
{
  size_t i;
  json_t *element;
  json_array_foreach (expect, i, element)
  {
    const char *key = json_string_value (json_object_get (element, "key"));
    int64_t revision
        = json_integer_value (json_object_get (element, "revision"));
    const struct item *item
        = key == NULL ? NULL : g_tree_lookup (store->items, key);
    if ((item == NULL ? 0 : item->revision) != revision)
      return false;
  }
  return true;
}

static void
post_txn (struct store *store, struct net_exchange *exchange,
          const json_t *root)
{
  size_t i;
  json_t *element;
  if (!conditions_hold (store, json_object_get (root, "expect")))
    {
      fleet_reply_json (exchange, 412, json_pack ("{s:[]}", "items"));
      return;
    }
  json_array_foreach (json_object_get (root, "set_keys"), i, element)
  {
    const char *key = json_string_value (json_object_get (element, "key"));
    const char *value = json_string_value (json_object_get (element, "value"));
    int64_t lease = json_integer_value (json_object_get (element, "lease"));
    if (key == NULL || value == NULL
        || (lease != 0 && find_lease (store, lease) == NULL))
      {
        net_reply (exchange, lease != 0 ? 404 : 400, NULL, pl_str (""), 0);
        return;
      }
    put_base64 (store, key, value, lease);
  }
  json_array_foreach (json_object_get (root, "remove"), i,
                      element) if (json_is_string (element))
      store_remove (store, json_string_value (element));
  fleet_reply_json (
      exchange, 200,
      json_pack ("{s:I}", "revision", (json_int_t)store->revision));
  answer_watches (store);
}

static void
post_lease (struct store *store, struct net_exchange *exchange,
            const json_t *root)
{
  int64_t ttl_ms = json_integer_value (json_object_get (root, "ttl_ms"));
  struct lease lease = {
    .id = ++store->next_lease,
    .ttl_us = ttl_ms * 1000,
    .expires_us = pl_now_us (store->fleet->clock) + ttl_ms * 1000,
  };
  g_array_append_val (store->leases, lease);
  fleet_reply_json (exchange, 200,
                    json_pack ("{s:I, s:I}", "lease", (json_int_t)lease.id,
                               "ttl_ms", (json_int_t)ttl_ms));
}

static gboolean
collect_leased (gpointer key, gpointer value, gpointer data)
{
  GPtrArray *keys = ((gpointer *)data)[0];
  const struct item *item = value;
  if (item->lease == *(int64_t *)((gpointer *)data)[1])
    g_ptr_array_add (keys, g_strdup (key));
  return FALSE;
}

static void
end_lease (struct store *store, int64_t id)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  gpointer data[] = { keys, &id };
  g_tree_foreach (store->items, collect_leased, data);
  for (guint i = 0; i < store->leases->len; i++)
    if (g_array_index (store->leases, struct lease, i).id == id)
      g_array_remove_index_fast (store->leases, i--);
  for (guint i = 0; i < keys->len; i++)
    store_remove (store, g_ptr_array_index (keys, i));
}

static void
post_renew (struct store *store, struct net_exchange *exchange, int64_t id)
{
  struct lease *lease = find_lease (store, id);
  if (lease == NULL)
    {
      net_reply (exchange, 404, NULL, pl_str (""), 0);
      return;
    }
  lease->expires_us = pl_now_us (store->fleet->clock) + lease->ttl_us;
  fleet_reply_json (
      exchange, 200,
      json_pack ("{s:I}", "ttl_ms", (json_int_t)(lease->ttl_us / 1000)));
}

void
store_handle_request (struct store *store, struct net_exchange *exchange,
                      const struct net_request *request)
{
  g_autofree char *target
      = g_strndup (request->target.data, request->target.len);
  json_t *root = json_loadb (request->body.data, request->body.len, 0, NULL);
  if (store->fleet->store_down)
    net_reply (exchange, 503, NULL, pl_str (""), 0);
  else if (g_str_has_prefix (target, "/kv-range"))
    get_range (store, exchange, request);
  else if (g_str_has_prefix (target, "/kv-watch"))
    get_watch (store, exchange, request);
  else if (strcmp (target, "/kv-txn") == 0)
    post_txn (store, exchange, root);
  else if (strcmp (target, "/kv-lease") == 0)
    post_lease (store, exchange, root);
  else if (g_str_has_prefix (target, "/kv-keep/"))
    post_renew (store, exchange, g_ascii_strtoll (target + 9, NULL, 10));
  else if (g_str_has_prefix (target, "/kv-lease-end/"))
    {
      end_lease (store, g_ascii_strtoll (target + 14, NULL, 10));
      net_reply (exchange, 200, NULL, pl_str (""), 0);
    }
  else
    net_reply (exchange, 404, NULL, pl_str (""), 0);
  json_decref (root);
}

void
store_handle_disconnect (struct store *store, struct net_exchange *exchange)
{
  for (guint i = store->watches->len; i-- > 0;)
    {
      struct watch *watch = g_ptr_array_index (store->watches, i);
      if (watch->exchange != exchange)
        continue;
      g_ptr_array_remove_index_fast (store->watches, i);
      g_free (watch->prefix);
      g_free (watch);
    }
}

void
store_tick (struct store *store, int64_t now_us)
{
  for (guint i = store->watches->len; i-- > 0;)
    {
      struct watch *watch = g_ptr_array_index (store->watches, i);
      if (watch->wait_until_us <= now_us)
        answer_watch (store, watch, json_array ());
    }
  for (guint i = store->leases->len; i-- > 0;)
    {
      const struct lease *lease
          = &g_array_index (store->leases, struct lease, i);
      if (lease->expires_us <= now_us)
        end_lease (store, lease->id);
    }
}
