/* An HTTP client over neon, for the platform's store and for entry instances.
   A call has a timeout and a limit for the size of the answer.  */
#pragma once

#include "pl.h"

#include <ne_request.h>
#include <ne_session.h>

struct call_req
{
  const char *method;
  const char *path;
  const char *const *headers; /* name, value, name, value, ..., null */
  struct pl_str body;         /* JSON; null data for none */
  size_t max_answer_bytes;    /* limit for the body of the answer */
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
  CALL_UNSENT,     /* there was no connection: nothing was sent */
  CALL_UNANSWERED, /* the request may have been received */
};

/* Parses "http://a.b.c.d:port".  */
bool call_parse_url (const char *url, struct pl_addr *out);
/* The session is for use by one thread.  neon's timeouts are in whole seconds,
   so that TIMEOUT_MS is rounded up.  */
ne_session *call_session_new (struct pl_addr addr, int timeout_ms);
/* Sends REQ and reads its answer; on CALL_ANSWERED the caller frees OUT's
   body.  neon sends a request again if a persistent connection turns out to be
   closed, so that REQ must be safe to repeat.  */
enum call_result call_send (ne_session *session, const struct call_req *req,
                            struct call_answer *out, struct pl_err *err);
