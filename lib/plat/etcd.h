/* The etcd v3 JSON gateway; private to lib/plat.  */
#pragma once

#include "call.h"
#include "plat.h"

#include <jansson.h>

#define ETCD_ANSWER_MAX 2097152 /* bytes */

struct etcd
{
  struct plat base;
  ne_session *session; /* calls */
  ne_session *stream;  /* watch */
  struct pl_addr addr;
};

/* 64-bit numbers are JSON strings; an omitted one is 0.  */
bool etcd_get_int (const json_t *object, const char *name, int64_t *out);
json_t *etcd_int (int64_t value);
json_t *etcd_bytes (const void *data, size_t len);
/* Strict base64; an omitted member is empty.  Null if malformed.  */
GBytes *etcd_get_bytes (const json_t *object, const char *name);
bool etcd_wait (struct plat *plat, const char *key, int64_t from,
                int timeout_ms, struct pl_err *err);
