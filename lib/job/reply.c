/* Renders replies as JSON.  */
#include "job.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

static struct job_reply *
reply_new (enum pl_code code, int64_t retry_after_ms, GBytes *body)
{
  struct job_reply *reply = g_new0 (struct job_reply, 1);
  g_atomic_ref_count_init (&reply->refs);
  reply->code = code;
  reply->retry_after_ms = retry_after_ms;
  reply->body = body;
  return reply;
}

/* Makes a JSON string of LEN bytes; those that are not UTF-8 are replaced.  */
static json_t *
make_json_string (const char *data, size_t len)
{
  char *valid = g_utf8_make_valid (data, (gssize)len);
  json_t *string = json_string (valid);
  g_free (valid);
  return string;
}

static void
append_json (GString *out, json_t *value, size_t flags)
{
  char *text = json_dumps (value, flags | JSON_ENCODE_ANY | JSON_COMPACT);
  g_string_append (out, text);
  free (text);
  json_decref (value);
}

/* jansson can only validate a text by building its values.  They are dropped,
   and the caller copies the text itself, so that no digit changes.  */
static bool
is_json (const char *data, size_t len)
{
  json_error_t error;
  json_t *value
      = json_loadb (data, len, JSON_DECODE_ANY | JSON_ALLOW_NUL, &error);
  json_decref (value);
  return value != NULL;
}

static void
append_answer (GString *out, GBytes *answer)
{
  gsize len;
  const char *data = g_bytes_get_data (answer, &len);
  if (len > 0 && is_json (data, len))
    g_string_append_len (out, data, (gssize)len);
  else
    append_json (out, make_json_string (len == 0 ? "" : data, len), 0);
}

struct job_reply *
job_reply_complete (struct pl_str key, int64_t response_us,
                    GBytes *const *answers, unsigned n)
{
  const struct pl_code_info *info = pl_code_info (PL_OK);
  GString *out = g_string_new ("{\"key\":");
  append_json (out, make_json_string (key.data, key.len), 0);
  int64_t us = MAX (response_us, 0);
  g_string_append_printf (out,
                          ",\"code\":%d,\"name\":\"%s\",\"outcome\":\"%s\","
                          "\"response_ms\":%" PRId64 ".%03d,\"answers\":[",
                          (int)info->code, info->name,
                          pl_outcome_name (info->outcome), us / 1000,
                          (int)(us % 1000));
  for (unsigned i = 0; i < n; i++)
    {
      if (i > 0)
        g_string_append_c (out, ',');
      append_answer (out, answers[i]);
    }
  g_string_append (out, "]}");
  return reply_new (PL_OK, 0, g_string_free_to_bytes (out));
}

/* Lists the indexes of the tasks in STATE.  */
static json_t *
list_tasks_in_state (const enum job_task_state *states, unsigned n,
                     enum job_task_state state)
{
  json_t *list = json_array ();
  for (unsigned i = 0; states != NULL && i < n; i++)
    if (states[i] == state)
      json_array_append_new (list, json_integer (i));
  return list;
}

struct job_reply *
job_reply_error (struct pl_str key, enum pl_code code, int64_t retry_after_ms,
                 const char *detail, const enum job_task_state *states,
                 unsigned n)
{
  const struct pl_code_info *info = pl_code_info (code);
  json_t *detail_json = detail == NULL
                            ? json_null ()
                            : make_json_string (detail, strlen (detail));
  json_t *body = json_pack (
      "{s:o, s:i, s:s, s:s, s:s, s:I, s:o, s:o, s:o}", "key",
      make_json_string (key.len == 0 ? "" : key.data, key.len), "code",
      (int)info->code, "name", info->name, "outcome",
      pl_outcome_name (info->outcome), "resubmit", info->resubmit,
      "retry_after_ms", (json_int_t)retry_after_ms, "ran",
      list_tasks_in_state (states, n, JOB_TASK_RAN), "maybe",
      list_tasks_in_state (states, n, JOB_TASK_MAYBE), "detail", detail_json);
  GString *out = g_string_new (NULL);
  append_json (out, body, JSON_PRESERVE_ORDER);
  return reply_new (info->code, retry_after_ms, g_string_free_to_bytes (out));
}

struct job_reply *
job_reply_wrap (enum pl_code code, int64_t retry_after_ms, GBytes *body)
{
  return reply_new (code, retry_after_ms, body);
}

struct job_reply *
job_reply_ref (struct job_reply *reply)
{
  g_atomic_ref_count_inc (&reply->refs);
  return reply;
}

void
job_reply_unref (struct job_reply *reply)
{
  if (reply == NULL || !g_atomic_ref_count_dec (&reply->refs))
    return;
  g_bytes_unref (reply->body);
  g_free (reply);
}
