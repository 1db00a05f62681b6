/* The calls of etcd's v3 JSON gateway, run on the stand-in's store.  The
   caller holds the server's lock.  */
#pragma once

#include "store.h"

#include <jansson.h>

#define MAX_VALUE_BYTES 1048576

/* Runs the call at PATH with request BODY and returns its answer; null with
   STATUS set if the call is unknown, malformed or fails.  Ranges outside
   transactions answer as of AT_REVISION (0: the latest).  */
json_t *api_call (struct store *store, const char *path, const json_t *body,
                  int64_t at_revision, int64_t now_us, int *status);
/* The "header" of an answer.  */
json_t *api_header (const struct store *store);
/* The event by which a watch reports VERSION.  */
json_t *api_event (const struct version *version);
/* The base64 member NAME, decoded; null if it is absent or holds a null byte.
   The range_end of one null byte is returned as "".  The caller frees it.  */
char *api_key (const json_t *body, const char *name);
/* VALUE as a JSON string, the form of 64-bit numbers in the API.  */
json_t *api_int64 (int64_t value);
/* Member NAME as a number, be it one or a string; 0 if it is absent.  */
int64_t api_int (const json_t *body, const char *name);
