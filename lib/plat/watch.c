/* Waits for a change of one key through an etcd watch.  */
#include "etcd.h"

#include <string.h>

/* One watch.  The answer is a stream of JSON objects, one a line.  */
struct watch
{
  const char *key;
  int64_t after_rev;
  int64_t start_rev; /* the first revision that the watch asks for */
  GString *line;
  bool created;
  int64_t compact_rev; /* if not 0, the store has dropped the events before
                          it */
  bool changed;        /* an event after AFTER_REV was seen */
};

static bool
fail_protocol (struct pl_err *err, const char *what)
{
  return pl_fail (err, PL_STORE_PROTOCOL, "watch: %s", what);
}

static bool
parse_event (struct watch *watch, const json_t *event, struct pl_err *err)
{
  const json_t *kv = json_object_get (event, "kv");
  int64_t mod_rev;
  GBytes *key = etcd_get_bytes (kv, "key");
  if (key == NULL || !etcd_get_int (kv, "mod_revision", &mod_rev))
    {
      g_bytes_unref (key);
      return fail_protocol (err, "malformed event");
    }
  gsize len;
  const void *data = g_bytes_get_data (key, &len);
  bool same_key
      = len == strlen (watch->key) && memcmp (data, watch->key, len) == 0;
  /* The store may repeat older events after it was restarted.  */
  if (same_key && mod_rev > watch->after_rev)
    watch->changed = true;
  g_bytes_unref (key);
  return same_key || fail_protocol (err, "event of another key");
}

static bool
parse_result (struct watch *watch, const json_t *result, struct pl_err *err)
{
  if (!json_is_object (result))
    return fail_protocol (err, "message without result");
  if (json_is_true (json_object_get (result, "canceled"))
      && etcd_get_int (result, "compact_revision", &watch->compact_rev)
      && watch->compact_rev > watch->start_rev)
    return true;
  if (json_is_true (json_object_get (result, "canceled")))
    return fail_protocol (err, "cancelled by the store");
  if (json_is_true (json_object_get (result, "created")))
    watch->created = true;
  const json_t *events = json_object_get (result, "events");
  if (events != NULL && !json_is_array (events))
    return fail_protocol (err, "events is not a list");
  size_t n = json_array_size (events);
  for (size_t i = 0; i < n; i++)
    if (!parse_event (watch, json_array_get (events, i), err))
      return false;
  return true;
}

static bool
parse_line (struct watch *watch, const char *line, size_t len,
            struct pl_err *err)
{
  if (len == 0)
    return true;
  json_t *root = json_loadb (line, len, JSON_REJECT_DUPLICATES, NULL);
  bool ok = parse_result (watch, json_object_get (root, "result"), err);
  json_decref (root);
  return ok;
}

static bool
parse_lines (struct watch *watch, struct pl_err *err)
{
  char *line = watch->line->str;
  char *end;
  while ((end = memchr (line, '\n',
                        watch->line->len - (size_t)(line - watch->line->str)))
         != NULL)
    {
      if (!parse_line (watch, line, (size_t)(end - line), err))
        return false;
      line = end + 1;
    }
  g_string_erase (watch->line, 0, line - watch->line->str);
  return true;
}

/* Reads until a change, the deadline or an error.  */
static bool
read_events (struct watch *watch, ne_request *req, int64_t deadline_us,
             struct pl_err *err)
{
  struct pl_clock *clock = pl_clock_real ();
  char block[8192];
  while (!watch->changed && watch->compact_rev == 0
         && pl_now_us (clock) < deadline_us)
    {
      ssize_t n = ne_read_response_block (req, block, sizeof block);
      if (n <= 0 && watch->created && pl_now_us (clock) >= deadline_us)
        return true;
      if (n <= 0)
        return pl_fail (err, PL_STORE_UNAVAILABLE, "watch: %s",
                        n == 0 ? "stream ended"
                               : ne_get_error (ne_get_session (req)));
      if (watch->line->len + (size_t)n > ETCD_MAX_ANSWER_BYTES)
        return fail_protocol (err, "message too long");
      g_string_append_len (watch->line, block, n);
      if (!parse_lines (watch, err))
        return false;
    }
  return true;
}

static char *
make_create_request (const char *key, int64_t start_rev)
{
  json_t *body = json_pack ("{s:{s:o, s:o}}", "create_request", "key",
                            etcd_bytes (key, strlen (key)), "start_revision",
                            etcd_int (start_rev));
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

static bool
run_watch (struct etcd *etcd, struct watch *watch, int timeout_ms,
           struct pl_err *err)
{
  int64_t deadline = pl_now_us (pl_clock_real ()) + (int64_t)timeout_ms * 1000;
  ne_request *req = ne_request_create (etcd->stream, "POST", "/v3/watch");
  g_autofree char *body = make_create_request (watch->key, watch->start_rev);
  ne_add_request_header (req, "Content-Type", "application/json");
  ne_set_request_body_buffer (req, body, strlen (body));
  bool ok;
  if (ne_begin_request (req) != NE_OK)
    ok = pl_fail (err, PL_STORE_UNAVAILABLE, "watch: %s",
                  ne_get_error (etcd->stream));
  else if (ne_get_status (req)->code != 200)
    ok = pl_fail (err, PL_STORE_UNAVAILABLE, "watch: HTTP status %d",
                  ne_get_status (req)->code);
  else
    ok = read_events (watch, req, deadline, err);
  ne_close_connection (etcd->stream);
  ne_request_destroy (req);
  return ok;
}

/* Called when the store has dropped the events before COMPACT_REV.  Reads the
   key instead, and if it has not changed, watches from COMPACT_REV.  */
static bool
resume_after_compaction (struct etcd *etcd, struct watch *watch,
                         int timeout_ms, struct pl_err *err)
{
  struct plat_value value;
  if (!etcd->base.ops->get (&etcd->base, watch->key, &value, err))
    return false;
  g_bytes_unref (value.value);
  if (value.mod_rev > watch->after_rev)
    return true;
  watch->start_rev = watch->compact_rev;
  watch->compact_rev = 0;
  watch->created = false;
  g_string_truncate (watch->line, 0);
  pl_count (PL_CTR_STORE_CALLS_TOTAL, 1);
  return run_watch (etcd, watch, timeout_ms, err)
         && (watch->compact_rev == 0
             || fail_protocol (err, "compacted again"));
}

bool
etcd_wait (struct plat *plat, const char *key, int64_t after_rev,
           int timeout_ms, struct pl_err *err)
{
  struct etcd *etcd = (struct etcd *)plat;
  struct watch watch = { .key = key,
                         .after_rev = after_rev,
                         .start_rev = after_rev + 1,
                         .line = g_string_new (NULL) };
  ne_set_read_timeout (etcd->stream, MAX (1, (timeout_ms + 999) / 1000));
  pl_count (PL_CTR_STORE_CALLS_TOTAL, 1);
  bool ok = run_watch (etcd, &watch, timeout_ms, err);
  if (ok && watch.compact_rev > 0)
    ok = resume_after_compaction (etcd, &watch, timeout_ms, err);
  if (!ok)
    pl_count (PL_CTR_STORE_ERRORS_TOTAL, 1);
  g_string_free (watch.line, TRUE);
  return ok;
}
