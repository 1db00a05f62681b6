/* Bounded HTTP calls over neon, to the platform and to entry instances.  */
#pragma once

#include "pl.h"

#include <ne_request.h>
#include <ne_session.h>

struct call_req
{
  const char *method;
  const char *path;
  const char *const *headers; /* names and values in turn, ends with null */
  struct pl_str body;         /* JSON; null data for none */
  size_t max_answer_bytes;    /* largest answer in bytes */
};

#define CALL_PREFIX_BYTES                                                     \
  96 /* bytes of the largest key prefix, with the null */

struct call_answer
{
  int status;
  GString *body;
  char prefix[CALL_PREFIX_BYTES]; /* header Idempotency-Prefix, or empty */
};

enum call_result
{
  CALL_ANSWERED,
  CALL_UNSENT,     /* no connection was made */
  CALL_UNANSWERED, /* the request may have been received */
};

/* Parses "http://a.b.c.d:port".  */
bool call_parse_url (const char *url, struct pl_addr *out);
/* A session is used by one thread.  neon counts its time-outs in whole
   seconds, so TIMEOUT_MS is rounded up.  */
ne_session *call_session_new (struct pl_addr addr, int timeout_ms);
/* On CALL_ANSWERED the caller frees OUT's body.  neon sends a request again if
   a persistent connection turns out to be closed, so that a request must be
   safe to repeat.  */
enum call_result call_send (ne_session *session, const struct call_req *req,
                            struct call_answer *out, struct pl_err *err);
