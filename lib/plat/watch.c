#include "etcd.h"

#include <string.h>

/* One watch: a stream of JSON objects, one a line.  */
struct watch
{
  const char *key;
  int64_t from;
  int64_t start; /* first revision asked for */
  GString *line;
  bool created;
  int64_t compacted; /* the store has dropped the events before this one */
  bool changed;      /* an event newer than FROM was seen */
};

static bool
watch_protocol (struct pl_err *err, const char *what)
{
  return pl_fail (err, PL_STORE_PROTOCOL, "watch: %s", what);
}

static bool
take_event (struct watch *watch, const json_t *event, struct pl_err *err)
{
  const json_t *kv = json_object_get (event, "kv");
  int64_t mod_rev;
  GBytes *key = etcd_get_bytes (kv, "key");
  if (key == NULL || !etcd_get_int (kv, "mod_revision", &mod_rev))
    {
      g_bytes_unref (key);
      return watch_protocol (err, "malformed event");
    }
  gsize len;
  const void *data = g_bytes_get_data (key, &len);
  bool same
      = len == strlen (watch->key) && memcmp (data, watch->key, len) == 0;
  /* The store may repeat older events after it was restarted.  */
  if (same && mod_rev > watch->from)
    watch->changed = true;
  g_bytes_unref (key);
  return same || watch_protocol (err, "event of another key");
}

static bool
take_result (struct watch *watch, const json_t *result, struct pl_err *err)
{
  if (!json_is_object (result))
    return watch_protocol (err, "message without result");
  if (json_is_true (json_object_get (result, "canceled"))
      && etcd_get_int (result, "compact_revision", &watch->compacted)
      && watch->compacted > watch->start)
    return true;
  if (json_is_true (json_object_get (result, "canceled")))
    return watch_protocol (err, "cancelled by the store");
  if (json_is_true (json_object_get (result, "created")))
    watch->created = true;
  const json_t *events = json_object_get (result, "events");
  if (events != NULL && !json_is_array (events))
    return watch_protocol (err, "events is not a list");
  size_t n = json_array_size (events);
  for (size_t i = 0; i < n; i++)
    if (!take_event (watch, json_array_get (events, i), err))
      return false;
  return true;
}

static bool
take_line (struct watch *watch, const char *line, size_t len,
           struct pl_err *err)
{
  if (len == 0)
    return true;
  json_t *root = json_loadb (line, len, JSON_REJECT_DUPLICATES, NULL);
  bool ok = take_result (watch, json_object_get (root, "result"), err);
  json_decref (root);
  return ok;
}

static bool
take_lines (struct watch *watch, struct pl_err *err)
{
  char *start = watch->line->str;
  char *end;
  while ((end = memchr (start, '\n',
                        watch->line->len - (size_t)(start - watch->line->str)))
         != NULL)
    {
      if (!take_line (watch, start, (size_t)(end - start), err))
        return false;
      start = end + 1;
    }
  g_string_erase (watch->line, 0, start - watch->line->str);
  return true;
}

/* Reads until a change, the deadline or an error.  */
static bool
follow (struct watch *watch, ne_request *req, int64_t deadline_us,
        struct pl_err *err)
{
  struct pl_clock *clock = pl_clock_real ();
  char block[8192];
  while (!watch->changed && watch->compacted == 0
         && pl_now_us (clock) < deadline_us)
    {
      ssize_t n = ne_read_response_block (req, block, sizeof block);
      if (n <= 0 && watch->created && pl_now_us (clock) >= deadline_us)
        return true;
      if (n <= 0)
        return pl_fail (err, PL_STORE_UNAVAILABLE, "watch: %s",
                        n == 0 ? "stream ended"
                               : ne_get_error (ne_get_session (req)));
      if (watch->line->len + (size_t)n > ETCD_ANSWER_MAX)
        return watch_protocol (err, "message too long");
      g_string_append_len (watch->line, block, n);
      if (!take_lines (watch, err))
        return false;
    }
  return true;
}

static char *
create_body (const char *key, int64_t start)
{
  json_t *body = json_pack ("{s:{s:o, s:o}}", "create_request", "key",
                            etcd_bytes (key, strlen (key)), "start_revision",
                            etcd_int (start));
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
  g_autofree char *body = create_body (watch->key, watch->start);
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
    ok = follow (watch, req, deadline, err);
  ne_close_connection (etcd->stream);
  ne_request_destroy (req);
  return ok;
}

/* Events before the compacted revision are gone: reads the key, and watches
   from the compacted revision if it has not changed up to that reading.  */
static bool
resume (struct etcd *etcd, struct watch *watch, int timeout_ms,
        struct pl_err *err)
{
  struct plat_value value;
  if (!etcd->base.ops->get (&etcd->base, watch->key, &value, err))
    return false;
  g_bytes_unref (value.value);
  if (value.mod_rev > watch->from)
    return true;
  watch->start = watch->compacted;
  watch->compacted = 0;
  watch->created = false;
  g_string_truncate (watch->line, 0);
  pl_count (PL_CTR_STORE_CALLS_TOTAL, 1);
  return run_watch (etcd, watch, timeout_ms, err)
         && (watch->compacted == 0 || watch_protocol (err, "compacted again"));
}

bool
etcd_wait (struct plat *plat, const char *key, int64_t from, int timeout_ms,
           struct pl_err *err)
{
  struct etcd *etcd = (struct etcd *)plat;
  struct watch watch = {
    .key = key, .from = from, .start = from + 1, .line = g_string_new (NULL)
  };
  ne_set_read_timeout (etcd->stream, MAX (1, (timeout_ms + 999) / 1000));
  pl_count (PL_CTR_STORE_CALLS_TOTAL, 1);
  bool ok = run_watch (etcd, &watch, timeout_ms, err);
  if (ok && watch.compacted > 0)
    ok = resume (etcd, &watch, timeout_ms, err);
  if (!ok)
    pl_count (PL_CTR_STORE_ERRORS_TOTAL, 1);
  g_string_free (watch.line, TRUE);
  return ok;
}
