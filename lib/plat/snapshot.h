/* The folded document in chunks; private to lib/plat.  */
#pragma once

#include "plat.h"

#define PLAT_HEAD "papayaloft/head"
#define SNAPSHOT_EVERY 32  /* revisions */
#define SNAPSHOT_CHUNKS 32 /* at most; documents up to 16 MiB */
/* Values of a transaction; base64 adds a third, and etcd's limit for a request
   is 1.5 MiB.  */
#define TXN_BYTES 900000U

/* Splits DOCUMENT of REVISION into puts; free with snapshot_puts_free.  */
GArray *snapshot_puts (struct pl_str document, int64_t revision);
void snapshot_puts_free (GArray *puts);
size_t snapshot_puts_bytes (const GArray *puts);
/* OUT is null if the snapshot is absent or can't be verified (a chunk is
   missing, of another revision, or the hash differs).  */
bool snapshot_read (struct plat *plat, GBytes **out, struct pl_err *err);
