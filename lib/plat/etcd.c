/* The store's operations over the etcd v3 JSON gateway.  */
#include "etcd.h"

#include <string.h>

static bool
fail_protocol (struct pl_err *err, const char *what)
{
  pl_count (PL_CTR_STORE_ERRORS_TOTAL, 1);
  return pl_fail (err, PL_STORE_PROTOCOL, "store: %s", what);
}

/* Parses an answer and checks its status and header.  */
static json_t *
parse_answer (const struct call_answer *answer, struct pl_err *err)
{
  if (answer->status != 200)
    {
      pl_count (PL_CTR_STORE_ERRORS_TOTAL, 1);
      pl_fail (err, PL_STORE_UNAVAILABLE, "store: HTTP status %d",
               answer->status);
      return NULL;
    }
  json_t *root = json_loadb (answer->body->str, answer->body->len,
                             JSON_REJECT_DUPLICATES, NULL);
  int64_t revision;
  if (json_is_object (root)
      && etcd_get_int (json_object_get (root, "header"), "revision", &revision)
      && revision > 0)
    return root;
  json_decref (root);
  fail_protocol (err, "answer is not a JSON object with a header");
  return NULL;
}

/* Posts BODY, which it takes over, and returns the answer; null on failure. */
static json_t *
post_request (struct etcd *etcd, const char *path, json_t *body,
              struct pl_err *err)
{
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  struct call_req req = { .method = "POST",
                          .path = path,
                          .body = pl_str (text),
                          .max_answer_bytes = ETCD_MAX_ANSWER_BYTES };
  struct call_answer answer = { 0 };
  pl_count (PL_CTR_STORE_CALLS_TOTAL, 1);
  enum call_result outcome = call_send (etcd->session, &req, &answer, err);
  g_free (text);
  if (outcome != CALL_ANSWERED)
    {
      pl_count (PL_CTR_STORE_ERRORS_TOTAL, 1);
      return NULL;
    }
  json_t *root = parse_answer (&answer, err);
  g_string_free (answer.body, TRUE);
  return root;
}

/* Gets the pairs of a range answer.  KVS is null if there are none, since the
   gateway omits an empty list.  */
static bool
get_kvs (const json_t *root, json_t **kvs, struct pl_err *err)
{
  *kvs = json_object_get (root, "kvs");
  if (*kvs != NULL && !json_is_array (*kvs))
    return fail_protocol (err, "kvs is not a list");
  return true;
}

static bool
parse_pair (const json_t *kv, GBytes **key, GBytes **value, int64_t *mod_rev,
            struct pl_err *err)
{
  *key = etcd_get_bytes (kv, "key");
  *value = etcd_get_bytes (kv, "value");
  if (*key != NULL && *value != NULL
      && etcd_get_int (kv, "mod_revision", mod_rev) && *mod_rev > 0)
    return true;
  g_bytes_unref (*key);
  g_bytes_unref (*value);
  *key = NULL;
  *value = NULL;
  return fail_protocol (err, "malformed pair");
}

static bool
equals_text (GBytes *bytes, const char *text)
{
  gsize len;
  const void *data = g_bytes_get_data (bytes, &len);
  return len == strlen (text) && memcmp (data, text, len) == 0;
}

static bool
etcd_get (struct plat *plat, const char *key, struct plat_value *out,
          struct pl_err *err)
{
  *out = (struct plat_value){ 0 };
  json_t *root = post_request (
      (struct etcd *)plat, "/v3/kv/range",
      json_pack ("{s:o}", "key", etcd_bytes (key, strlen (key))), err);
  if (root == NULL)
    return false;
  json_t *kvs;
  bool ok = get_kvs (root, &kvs, err);
  if (ok && json_array_size (kvs) > 1)
    ok = fail_protocol (err, "more than one pair for a key");
  GBytes *got = NULL;
  if (ok && json_array_size (kvs) == 1)
    ok = parse_pair (json_array_get (kvs, 0), &got, &out->value, &out->mod_rev,
                     err);
  if (got != NULL && !equals_text (got, key))
    {
      g_bytes_unref (out->value);
      *out = (struct plat_value){ 0 };
      ok = fail_protocol (err, "answer for another key");
    }
  g_bytes_unref (got);
  json_decref (root);
  return ok;
}

static bool
visit_pair (const json_t *kv, const char *prefix,
            void (*each) (const char *key, struct pl_str value, void *user),
            void *user, struct pl_err *err)
{
  GBytes *key;
  GBytes *value;
  int64_t mod_rev;
  if (!parse_pair (kv, &key, &value, &mod_rev, err))
    return false;
  gsize len;
  const char *data = g_bytes_get_data (key, &len);
  g_autofree char *name = g_strndup (data == NULL ? "" : data, len);
  bool ok = strlen (name) == len && g_str_has_prefix (name, prefix);
  if (ok)
    {
      struct pl_str text;
      text.data = g_bytes_get_data (value, &text.len);
      each (name, text, user);
    }
  g_bytes_unref (key);
  g_bytes_unref (value);
  return ok || fail_protocol (err, "answer for another prefix");
}

static bool
etcd_list (struct plat *plat, const char *prefix,
           void (*each) (const char *key, struct pl_str value, void *user),
           void *user, struct pl_err *err)
{
  size_t len = strlen (prefix);
  g_autofree char *range_end = g_strdup (prefix);
  range_end[len - 1]++;
  json_t *root
      = post_request ((struct etcd *)plat, "/v3/kv/range",
                      json_pack ("{s:o, s:o}", "key", etcd_bytes (prefix, len),
                                 "range_end", etcd_bytes (range_end, len)),
                      err);
  if (root == NULL)
    return false;
  json_t *kvs;
  bool ok = get_kvs (root, &kvs, err);
  size_t n = ok ? json_array_size (kvs) : 0;
  for (size_t i = 0; ok && i < n; i++)
    ok = visit_pair (json_array_get (kvs, i), prefix, each, user, err);
  json_decref (root);
  return ok;
}

static json_t *
put_request (const struct plat_put *put)
{
  gsize len;
  const void *data = g_bytes_get_data (put->value, &len);
  return json_pack ("{s:{s:o, s:o}}", "request_put", "key",
                    etcd_bytes (put->key, strlen (put->key)), "value",
                    etcd_bytes (data, len));
}

static enum plat_txn
etcd_txn (struct plat *plat, const char *key, int64_t expect,
          const struct plat_put *puts, unsigned n_puts, struct pl_err *err)
{
  json_t *success = json_array ();
  for (unsigned i = 0; i < n_puts; i++)
    json_array_append_new (success, put_request (&puts[i]));
  json_t *body = json_pack ("{s:[{s:s, s:s, s:o, s:o}], s:o}", "compare",
                            "target", "MOD", "result", "EQUAL", "key",
                            etcd_bytes (key, strlen (key)), "mod_revision",
                            etcd_int (expect), "success", success);
  json_t *root = post_request ((struct etcd *)plat, "/v3/kv/txn", body, err);
  if (root == NULL)
    return PLAT_TXN_UNKNOWN;
  const json_t *succeeded = json_object_get (root, "succeeded");
  enum plat_txn result = PLAT_TXN_CONFLICT;
  if (json_is_true (succeeded))
    result = json_array_size (json_object_get (root, "responses")) == n_puts
                 ? PLAT_TXN_DONE
                 : PLAT_TXN_UNKNOWN;
  else if (succeeded != NULL && !json_is_false (succeeded))
    result = PLAT_TXN_UNKNOWN;
  if (result == PLAT_TXN_UNKNOWN)
    fail_protocol (err, "malformed transaction answer");
  if (result == PLAT_TXN_CONFLICT)
    pl_fail (err, PL_NOTE_CONFLICT, "store: %s was changed", key);
  json_decref (root);
  return result;
}

static void
etcd_free (struct plat *plat)
{
  struct etcd *etcd = (struct etcd *)plat;
  ne_session_destroy (etcd->session);
  ne_session_destroy (etcd->stream);
  g_free (etcd);
}

static const struct plat_ops etcd_ops = {
  .get = etcd_get,
  .txn = etcd_txn,
  .list = etcd_list,
  .wait = etcd_wait,
  .free = etcd_free,
};

struct plat *
plat_etcd_new (const char *url, int timeout_ms, struct pl_err *err)
{
  struct pl_addr addr;
  if (!call_parse_url (url, &addr))
    {
      pl_fail (err, PL_SETTING_INVALID,
               "platform: '%.80s' is not http://a.b.c.d:port", url);
      return NULL;
    }
  struct etcd *etcd = g_new0 (struct etcd, 1);
  etcd->base.ops = &etcd_ops;
  etcd->addr = addr;
  etcd->session = call_session_new (addr, timeout_ms);
  etcd->stream = call_session_new (addr, timeout_ms);
  return &etcd->base;
}
