/* The etcd v3 JSON gateway; private to lib/plat.  */
#pragma once

#include "call.h"
#include "plat.h"

#include <jansson.h>

#define ETCD_MAX_ANSWER_BYTES 2097152 /* bytes */

struct etcd
{
  struct plat base;
  ne_session *session; /* of calls */
  ne_session *stream;  /* of the watch */
  struct pl_addr addr;
};

/* The gateway writes 64-bit numbers as JSON strings and omits those that are
   0.  */
bool etcd_get_int (const json_t *object, const char *name, int64_t *out);
json_t *etcd_int (int64_t value);
json_t *etcd_bytes (const void *data, size_t len);
/* Decodes a member in base64; an omitted member is empty.  Null if it is
   malformed.  */
GBytes *etcd_get_bytes (const json_t *object, const char *name);
bool etcd_wait (struct plat *plat, const char *key, int64_t after_rev,
                int timeout_ms, struct pl_err *err);
