/* HTTP client for entry instances, as callers and tools use it.  Blocking; one
   thread a client.  */
#pragma once

#include "pl.h"

#define CALL_MAX_BYTES (8 * 1024 * 1024) /* largest answer that is read */

struct call;

struct call_reply
{
  int status;   /* HTTP status; 0: no answer */
  bool refused; /* no connection could be made, so nothing was sent */
  GString *body;
  char prefix[96]; /* Idempotency-Prefix of the answer, or "" */
};

/* A client with one persistent connection to ADDR.  TIMEOUT_S bounds
   connecting and each wait for data.  */
struct call *
call_new (struct pl_addr addr, int timeout_s);
void
call_free (struct call *call);
/* Makes one request.  KEY (may be null) goes into Idempotency-Key; BODY may be
   null.  False if no whole answer came.  Clear REPLY with call_reply_clear. */
bool
call_do (struct call *call, const char *method, const char *path,
         const char *key, const char *body, struct call_reply *reply);
void
call_reply_clear (struct call_reply *reply);

/* Once a process, before other threads start.  */
void
call_init (void);
