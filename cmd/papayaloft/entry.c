/* HTTP requests to entries.  */
#include "cmd.h"

#include <string.h>

#define TIMEOUT_MS 3000       /* requests that wait for no job */
#define JOB_TIMEOUT_MS 615000 /* the longest deadline, plus a margin */
#define MAX_ANSWER_BYTES 8388608

enum call_result
entry_call (struct pl_addr entry, const char *method, const char *path,
            const char *key, struct pl_str body, struct entry_answer *out,
            struct pl_err *err)
{
  const char *headers[] = { "Idempotency-Key", key, NULL };
  struct call_req req = { .method = method,
                          .path = path,
                          .headers = key == NULL ? NULL : headers,
                          .body = body,
                          .max_answer_bytes = MAX_ANSWER_BYTES };
  struct call_answer answer = { 0 };
  *out = (struct entry_answer){ 0 };
  ne_session *session
      = call_session_new (entry, key == NULL ? TIMEOUT_MS : JOB_TIMEOUT_MS);
  enum call_result result = call_send (session, &req, &answer, err);
  ne_session_destroy (session);
  if (result != CALL_ANSWERED)
    return result;
  out->status = answer.status;
  out->json = json_loadb (answer.body->str, answer.body->len, 0, NULL);
  out->text = g_string_free (answer.body, FALSE);
  return result;
}

void
entry_answer_clear (struct entry_answer *answer)
{
  g_free (answer->text);
  json_decref (answer->json);
  *answer = (struct entry_answer){ 0 };
}

char *
entry_fetch_prefix (struct pl_addr entry, struct pl_err *err)
{
  struct entry_answer answer;
  struct pl_str none = { 0 };
  if (entry_call (entry, "GET", "/v1/prefix", NULL, none, &answer, err)
      != CALL_ANSWERED)
    return NULL;
  const char *prefix
      = json_string_value (json_object_get (answer.json, "prefix"));
  char *copy = answer.status == 200 ? g_strdup (prefix) : NULL;
  if (copy == NULL)
    pl_fail (err, PL_NOT_READY, "the entry issues no prefix (HTTP %d)",
             answer.status);
  entry_answer_clear (&answer);
  return copy;
}

int64_t
entry_fetch_revision (struct pl_addr entry, struct pl_err *err)
{
  struct entry_answer answer;
  struct pl_str none = { 0 };
  if (entry_call (entry, "GET", "/v1/status", NULL, none, &answer, err)
      != CALL_ANSWERED)
    return -1;
  const json_t *revision = json_object_get (answer.json, "revision");
  int64_t value
      = json_is_integer (revision) ? json_integer_value (revision) : -1;
  if (value < 0)
    pl_fail (err, PL_SYSTEM, "the entry reports no revision (HTTP %d)",
             answer.status);
  entry_answer_clear (&answer);
  return value;
}
