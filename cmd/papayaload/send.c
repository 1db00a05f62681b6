/* Requests to entries.  */
#include "load.h"

#define MAX_ANSWER_BYTES 8388608

enum call_result
load_send (ne_session *session, const char *method, const char *path,
           const char *key, const char *body, struct call_answer *out)
{
  const char *headers[] = { "Idempotency-Key", key, NULL };
  struct call_req req = {
    .method = method,
    .path = path,
    .headers = key == NULL ? NULL : headers,
    .max_answer_bytes = MAX_ANSWER_BYTES,
  };
  if (body != NULL)
    req.body = pl_str (body);
  *out = (struct call_answer){ 0 };
  struct pl_err err;
  return call_send (session, &req, out, &err);
}
