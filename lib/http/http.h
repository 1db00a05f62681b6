/* HTTP for callers and operators over libmicrohttpd.  */
#pragma once

#include "claim.h"
#include "conf.h"
#include "job.h"
#include "pl.h"

struct http_ops
{
  /* A request for a key: METHOD is "POST" (submit), "GET" (lookup) or "DELETE"
     (cancel).  BODY is null if it was larger than the limit.  DONE is called
     once, on any thread.  */
  void (*request) (struct http_ops *ops, const char *method,
                   struct pl_str path, struct pl_str key,
                   const struct pl_str *body, job_done_fn *done, void *user);
  /* Writes the key prefix to issue; false: not ready.  */
  bool (*prefix) (struct http_ops *ops, char buf[CLAIM_PREFIX_TEXT]);
  bool (*ready) (struct http_ops *ops);
  /* Appends a JSON object.  */
  void (*status) (struct http_ops *ops, GString *out);
  void (*drain) (struct http_ops *ops);
};

struct http;
struct http *http_new (const struct conf *conf, struct http_ops *ops,
                       struct pl_err *err);
/* Requests that have not been answered yet.  */
unsigned http_open_requests (struct http *http);
/* Stops listening, waits at most LIMIT_MS for open requests, then closes.
   Returns the number of requests that were cut.  */
unsigned http_free (struct http *http, int limit_ms);
