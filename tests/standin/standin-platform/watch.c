/* Watches: a request that is answered with an endless stream of JSON lines.
   The connection's thread waits for writes and sends their events.  */
#include "internal.h"

#include <string.h>

#define REWIND_EVENTS 8
/* An idle watch gets an empty line at this interval: only sending detects a
   closed connection.  */
#define PROBE_US 1000000

/* An open watch; owned by its connection.  */
struct watch
{
  struct standin *standin;
  char *key;
  char *end;
  int64_t next_revision; /* events from this one on are still to be sent */
  unsigned fault_generation;
  bool cancelled; /* the stream ends when OUT is sent */
  GString *out;
  size_t sent; /* bytes of OUT */
};

static bool
is_watched (const struct watch *watch, const char *key)
{
  if (watch->end == NULL)
    return strcmp (key, watch->key) == 0;
  return strcmp (key, watch->key) >= 0
         && (*watch->end == '\0' || strcmp (key, watch->end) < 0);
}

static void
queue_message (struct watch *watch, json_t *result)
{
  json_object_set_new (result, "header", api_header (&watch->standin->store));
  json_t *message = json_pack ("{s:o}", "result", result);
  char *text = json_dumps (message, JSON_COMPACT);
  g_string_append (watch->out, text);
  g_string_append_c (watch->out, '\n');
  g_free (text);
  json_decref (message);
}

static void
queue_events (struct watch *watch)
{
  const GPtrArray *log = watch->standin->store.log;
  json_t *events = json_array ();
  for (guint i = 0; i < log->len; i++)
    {
      const struct version *version = log->pdata[i];
      if (version->mod_rev >= watch->next_revision
          && is_watched (watch, version->key))
        json_array_append_new (events, api_event (version));
    }
  watch->next_revision = watch->standin->store.revision + 1;
  if (json_array_size (events) > 0)
    queue_message (watch, json_pack ("{s:O}", "events", events));
  json_decref (events);
}

/* Applies a fault that was set while the watch is open; false closes the
   watch.  */
static bool
apply_fault_change (struct watch *watch)
{
  struct standin *standin = watch->standin;
  if (watch->fault_generation == standin->fault_generation)
    return true;
  watch->fault_generation = standin->fault_generation;
  if (standin->fault == FAULT_DOWN)
    return false;
  if (standin->fault == FAULT_GARBAGE)
    g_string_append (watch->out, "{\"result\":{\"events\":[{\"kv\":7}]}}\n");
  if (standin->fault == FAULT_REWIND)
    watch->next_revision = MAX (1, watch->next_revision - REWIND_EVENTS);
  return true;
}

/* Waits until the watch has output; false ends the stream.  */
static bool
wait_for_output (struct watch *watch)
{
  struct standin *standin = watch->standin;
  int64_t probe_at_us = pl_now_us (pl_clock_real ()) + PROBE_US;
  for (;;)
    {
      if (standin->stop || !apply_fault_change (watch))
        return false;
      if (watch->next_revision <= standin->store.revision)
        queue_events (watch);
      if (watch->out->len > 0)
        return true;
      if (!g_cond_wait_until (&standin->cond, &standin->lock, probe_at_us))
        g_string_append_c (watch->out, '\n');
    }
}

/* Content reader of libmicrohttpd: the next part of the stream.  */
static ssize_t
watch_read (void *user, uint64_t pos, char *buf, size_t max)
{
  (void)pos;
  struct watch *watch = user;
  if (watch->sent == watch->out->len && watch->cancelled)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (watch->sent == watch->out->len)
    {
      g_string_truncate (watch->out, 0);
      watch->sent = 0;
      g_mutex_lock (&watch->standin->lock);
      bool more = wait_for_output (watch);
      g_mutex_unlock (&watch->standin->lock);
      if (!more)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
  size_t n = MIN (max, watch->out->len - watch->sent);
  memcpy (buf, watch->out->str + watch->sent, n);
  watch->sent += n;
  return (ssize_t)n;
}

static void
watch_free (void *user)
{
  struct watch *watch = user;
  g_mutex_lock (&watch->standin->lock);
  watch->standin->watches--;
  g_mutex_unlock (&watch->standin->lock);
  g_string_free (watch->out, TRUE);
  g_free (watch->key);
  g_free (watch->end);
  g_free (watch);
}

enum MHD_Result
watch_start (struct standin *standin, struct MHD_Connection *connection,
             const json_t *body, enum fault fault)
{
  const json_t *create = json_object_get (body, "create_request");
  char *key = api_key (create, "key");
  if (key == NULL)
    return MHD_NO;
  struct watch *watch = g_new0 (struct watch, 1);
  watch->standin = standin;
  watch->key = key;
  watch->end = api_key (create, "range_end");
  watch->out = g_string_new (NULL);
  g_mutex_lock (&standin->lock);
  int64_t start = api_int (create, "start_revision");
  watch->next_revision = start > 0 ? start : standin->store.revision + 1;
  if (fault == FAULT_REWIND)
    watch->next_revision = MAX (1, watch->next_revision - REWIND_EVENTS);
  watch->fault_generation = standin->fault_generation;
  standin->watches++;
  queue_message (watch, json_pack ("{s:b}", "created", 1));
  watch->cancelled = start > 0 && start < standin->store.compacted;
  if (watch->cancelled)
    queue_message (watch,
                   json_pack ("{s:b, s:o}", "canceled", 1, "compact_revision",
                              api_int64 (standin->store.compacted)));
  g_mutex_unlock (&standin->lock);
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 16384, watch_read, watch, watch_free);
  MHD_add_response_header (response, "Content-Type", "application/json");
  enum MHD_Result result
      = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  return result;
}
