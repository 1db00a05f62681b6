/* The calls of etcd's v3 JSON gateway that the daemon uses.  */
#include "api.h"

#include <string.h>

json_t *
api_int64 (int64_t value)
{
  return json_sprintf ("%lld", (long long)value);
}

static json_t *
json_base64 (const void *data, size_t len)
{
  g_autofree char *text = g_base64_encode (data, len);
  return json_string (text);
}

int64_t
api_int (const json_t *body, const char *name)
{
  const json_t *value = json_object_get (body, name);
  if (json_is_integer (value))
    return json_integer_value (value);
  return json_is_string (value)
             ? g_ascii_strtoll (json_string_value (value), NULL, 10)
             : 0;
}

char *
api_key (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));
  if (text == NULL)
    return NULL;
  gsize len;
  g_autofree guchar *data = g_base64_decode (text, &len);
  char *key = g_strndup ((const char *)data, len);
  if (strlen (key) == len)
    return key;
  /* As in etcd, a range_end of one null byte means "no end".  */
  bool all = len == 1;
  g_free (key);
  return all ? g_strdup ("") : NULL;
}

json_t *
api_header (const struct store *store)
{
  return json_pack ("{s:s, s:s, s:o, s:s}", "cluster_id", "1", "member_id",
                    "1", "revision", api_int64 (store->revision), "raft_term",
                    "1");
}

/* VERSION as a "kv" of the API.  A deletion has just its key and revision.  */
static json_t *
kv_json (const struct version *version)
{
  json_t *kv = json_object ();
  gsize len = 0;
  const void *data = version->value == NULL
                         ? NULL
                         : g_bytes_get_data (version->value, &len);
  json_object_set_new (kv, "key",
                       json_base64 (version->key, strlen (version->key)));
  json_object_set_new (kv, "mod_revision", api_int64 (version->mod_rev));
  if (version->value == NULL)
    return kv;
  json_object_set_new (kv, "create_revision", api_int64 (version->create_rev));
  json_object_set_new (kv, "version", api_int64 (version->version));
  if (len > 0)
    json_object_set_new (kv, "value", json_base64 (data, len));
  if (version->lease != 0)
    json_object_set_new (kv, "lease", api_int64 (version->lease));
  return kv;
}

json_t *
api_event (const struct version *version)
{
  json_t *event = json_pack ("{s:o}", "kv", kv_json (version));
  if (version->value == NULL)
    json_object_set_new (event, "type", json_string ("DELETE"));
  return event;
}

static void
append_kv (const struct version *version, void *user)
{
  json_array_append_new (user, kv_json (version));
}

/* Answers as of the revision of the request, or of AT_REVISION, or (0) as of
   the latest one.  Null if the request is malformed.  */
static json_t *
call_range (struct store *store, const json_t *body, int64_t at_revision)
{
  g_autofree char *key = api_key (body, "key");
  g_autofree char *end = api_key (body, "range_end");
  if (key == NULL)
    return NULL;
  int64_t revision = api_int (body, "revision");
  json_t *kvs = json_array ();
  store_range (store, key, end,
               revision > 0
                   ? revision
                   : (at_revision > 0 ? at_revision : store->revision),
               append_kv, kvs);
  size_t n = json_array_size (kvs);
  json_t *answer = json_pack ("{s:o}", "header", api_header (store));
  if (n > 0)
    json_object_set_new (answer, "kvs", kvs);
  else
    json_decref (kvs);
  if (n > 0)
    json_object_set_new (answer, "count", api_int64 ((int64_t)n));
  return answer;
}

static bool
is_put_valid (const json_t *body)
{
  const char *value = json_string_value (json_object_get (body, "value"));
  g_autofree char *key = api_key (body, "key");
  return key != NULL && *key != '\0'
         && (value == NULL || strlen (value) / 4 * 3 <= MAX_VALUE_BYTES + 2);
}

static json_t *
call_put (struct store *store, const json_t *body)
{
  const char *text = json_string_value (json_object_get (body, "value"));
  gsize len = 0;
  guchar *data = text == NULL ? NULL : g_base64_decode (text, &len);
  GBytes *value = g_bytes_new_take (data, len);
  g_autofree char *key = api_key (body, "key");
  store_put (store, key, value, api_int (body, "lease"));
  g_bytes_unref (value);
  return json_pack ("{s:o}", "header", api_header (store));
}

static json_t *
call_delete_range (struct store *store, const json_t *body)
{
  g_autofree char *key = api_key (body, "key");
  g_autofree char *end = api_key (body, "range_end");
  int64_t n = key == NULL ? 0 : store_delete (store, key, end);
  return json_pack ("{s:o, s:o}", "header", api_header (store), "deleted",
                    api_int64 (n));
}

/* Compares the version's value with that of a condition, as strcmp.  */
static int
compare_bytes (const struct version *version, const json_t *compare)
{
  const char *text = json_string_value (json_object_get (compare, "value"));
  gsize len = 0;
  g_autofree guchar *data = text == NULL ? NULL : g_base64_decode (text, &len);
  GBytes *wanted = g_bytes_new (data, len);
  int order = g_bytes_compare (version->value, wanted);
  g_bytes_unref (wanted);
  return order;
}

static bool
compare_holds (struct store *store, const json_t *compare)
{
  g_autofree char *key = api_key (compare, "key");
  const char *target = json_string_value (json_object_get (compare, "target"));
  const char *result = json_string_value (json_object_get (compare, "result"));
  const struct version *version
      = key == NULL ? NULL : store_get (store, key, store->revision);
  int64_t order;
  if (g_strcmp0 (target, "MOD") == 0)
    order = (version == NULL ? 0 : version->mod_rev)
            - api_int (compare, "mod_revision");
  else if (g_strcmp0 (target, "CREATE") == 0)
    order = (version == NULL ? 0 : version->create_rev)
            - api_int (compare, "create_revision");
  else if (g_strcmp0 (target, "VALUE") == 0)
    {
      if (version == NULL)
        return false;
      order = compare_bytes (version, compare);
    }
  else
    order = (version == NULL ? 0 : version->version)
            - api_int (compare, "version");
  if (g_strcmp0 (result, "GREATER") == 0)
    return order > 0;
  if (g_strcmp0 (result, "LESS") == 0)
    return order < 0;
  if (g_strcmp0 (result, "NOT_EQUAL") == 0)
    return order != 0;
  return order == 0;
}

/* Runs one operation of a transaction.  */
static json_t *
run_op (struct store *store, const json_t *op)
{
  const json_t *body = json_object_get (op, "request_put");
  if (body != NULL)
    return json_pack ("{s:o}", "response_put", call_put (store, body));
  body = json_object_get (op, "request_delete_range");
  if (body != NULL)
    return json_pack ("{s:o}", "response_delete_range",
                      call_delete_range (store, body));
  body = json_object_get (op, "request_range");
  json_t *answer = call_range (store, body, 0);
  return json_pack ("{s:o}", "response_range",
                    answer == NULL ? json_object () : answer);
}

/* 128 operations a transaction are etcd's default limit.  */
static bool
are_ops_valid (const json_t *ops)
{
  size_t n = json_array_size (ops);
  for (size_t i = 0; i < n; i++)
    {
      const json_t *body
          = json_object_get (json_array_get (ops, i), "request_put");
      if (body != NULL && !is_put_valid (body))
        return false;
    }
  return n <= 128;
}

static json_t *
call_txn (struct store *store, const json_t *body)
{
  const json_t *compares = json_object_get (body, "compare");
  if (!are_ops_valid (json_object_get (body, "success"))
      || !are_ops_valid (json_object_get (body, "failure")))
    return NULL;
  bool holds = true;
  for (size_t i = 0; i < json_array_size (compares); i++)
    holds = compare_holds (store, json_array_get (compares, i)) && holds;
  const json_t *ops = json_object_get (body, holds ? "success" : "failure");
  json_t *responses = json_array ();
  store_begin (store);
  for (size_t i = 0; i < json_array_size (ops); i++)
    json_array_append_new (responses, run_op (store, json_array_get (ops, i)));
  store_end (store);
  json_t *answer = json_pack ("{s:o}", "header", api_header (store));
  if (holds)
    json_object_set_new (answer, "succeeded", json_true ());
  if (json_array_size (responses) > 0)
    json_object_set (answer, "responses", responses);
  json_decref (responses);
  return answer;
}

static json_t *
lease_answer (struct store *store, const struct lease *lease)
{
  return json_pack ("{s:o, s:o, s:o}", "header", api_header (store), "ID",
                    api_int64 (lease->id), "TTL", api_int64 (lease->ttl_s));
}

static json_t *
call_lease_grant (struct store *store, const json_t *body, int64_t now_us)
{
  int64_t id = api_int (body, "ID");
  int64_t ttl = api_int (body, "TTL");
  if (ttl < 1 || (id != 0 && store_lease (store, id) != NULL))
    return NULL;
  return lease_answer (store, store_grant (store, id, ttl, now_us));
}

/* A keep-alive's answer is a stream in etcd, whose gateway therefore wraps it
   in "result".  The answer for an unknown lease has no TTL.  */
static json_t *
call_lease_keepalive (struct store *store, const json_t *body, int64_t now_us)
{
  struct lease *lease = store_lease (store, api_int (body, "ID"));
  if (lease == NULL)
    return json_pack ("{s:{s:o, s:o}}", "result", "header", api_header (store),
                      "ID", api_int64 (api_int (body, "ID")));
  lease->expires_us = now_us + lease->ttl_s * G_USEC_PER_SEC;
  return json_pack ("{s:o}", "result", lease_answer (store, lease));
}

/* Runs a call that writes as a transaction of its own.  */
static json_t *
run_in_txn (struct store *store, const json_t *body,
            json_t *(*run_call) (struct store *store, const json_t *body))
{
  store_begin (store);
  json_t *answer = run_call (store, body);
  store_end (store);
  return answer;
}

json_t *
api_call (struct store *store, const char *path, const json_t *body,
          int64_t at_revision, int64_t now_us, int *status)
{
  *status = 400;
  if (strcmp (path, "/v3/kv/range") == 0)
    return call_range (store, body, at_revision);
  if (strcmp (path, "/v3/kv/txn") == 0)
    return call_txn (store, body);
  if (strcmp (path, "/v3/kv/put") == 0)
    return is_put_valid (body) ? run_in_txn (store, body, call_put) : NULL;
  if (strcmp (path, "/v3/kv/deleterange") == 0)
    return run_in_txn (store, body, call_delete_range);
  if (strcmp (path, "/v3/lease/grant") == 0)
    return call_lease_grant (store, body, now_us);
  if (strcmp (path, "/v3/lease/keepalive") == 0)
    return call_lease_keepalive (store, body, now_us);
  if (strcmp (path, "/v3/kv/compaction") == 0)
    {
      store->compacted
          = CLAMP (api_int (body, "revision"), 0, store->revision);
      return json_pack ("{s:o}", "header", api_header (store));
    }
  *status = 404;
  if (strcmp (path, "/v3/lease/revoke") == 0
      && store_revoke (store, api_int (body, "ID")))
    return json_pack ("{s:o}", "header", api_header (store));
  return NULL;
}
