/* The HTTP server for callers and operators, over libmicrohttpd.  It checks
   requests and keeps their connections; what a request does is up to struct
   http_ops.  */
#pragma once

#include "claim.h"
#include "conf.h"
#include "job.h"
#include "pl.h"

struct http_ops
{
  /* Starts the operation of a request for a key: METHOD is "POST" (submit),
     "GET" (look up) or "DELETE" (cancel).  BODY is null if it was larger than
     the limit.  DONE is called once, on any thread.  */
  void (*handle_request) (struct http_ops *ops, const char *method,
                          struct pl_str path, struct pl_str key,
                          const struct pl_str *body, job_done_fn *done,
                          void *user);
  /* Writes the prefix for callers' new keys; false: not ready.  */
  bool (*get_prefix) (struct http_ops *ops, char buf[CLAIM_PREFIX_TEXT]);
  bool (*is_ready) (struct http_ops *ops);
  /* Appends the status as a JSON object.  */
  void (*append_status) (struct http_ops *ops, GString *out);
  /* Requests a planned stop.  */
  void (*drain) (struct http_ops *ops);
};

struct http;
struct http *http_new (const struct conf *conf, struct http_ops *ops,
                       struct pl_err *err);
/* The number of requests that have not been answered yet.  */
unsigned http_open_requests (struct http *http);
/* Stops listening, waits at most LIMIT_MS for open requests to be answered,
   then closes all connections.  Returns the number of requests that were cut:
   their connections were closed without an answer.  */
unsigned http_free (struct http *http, int limit_ms);
