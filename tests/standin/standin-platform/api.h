/* The etcd v3 calls on the store, JSON to JSON.  */
#pragma once

#include "store.h"

#include <jansson.h>

#define VALUE_MAX 1048576

/* Runs the call at PATH; null with STATUS set if it is unknown or malformed.
   Ranges outside transactions answer as of revision AT (0: now).  */
json_t *api_call (struct store *store, const char *path, const json_t *body,
                  int64_t at, int64_t now_us, int *status);
json_t *api_header (const struct store *store);
/* A watch event of VERSION.  */
json_t *api_event (const struct version *version);
/* The decoded member, or null if it is absent or holds a null byte.  */
char *api_key (const json_t *body, const char *name);
/* A 64-bit number is a JSON string.  */
json_t *api_int64 (int64_t value);
int64_t api_int (const json_t *body, const char *name);
