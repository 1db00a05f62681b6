/* Private to lib/plat: the snapshot in the store, split into chunks of one key
   each, since the store limits the size of a value.  */
#pragma once

#include "plat.h"

#define PLAT_HEAD "papayaloft/head"
#define SNAPSHOT_EVERY 32      /* revisions */
#define MAX_SNAPSHOT_CHUNKS 32 /* for snapshots up to 16 MiB */
/* Limit for the sum of a transaction's values: base64 adds a third, and etcd
   accepts requests of at most 1.5 MiB.  */
#define MAX_TXN_BYTES 900000U

/* Splits SNAPSHOT, that of REVISION, into chunks.  Returns an array of struct
   plat_put; free with snapshot_puts_free.  */
GArray *snapshot_split (struct pl_str snapshot, int64_t revision);
void snapshot_puts_free (GArray *puts);
/* The sum of the sizes of all values.  */
size_t snapshot_puts_bytes (const GArray *puts);
/* Reads and joins the chunks.  OUT is null if there is no valid snapshot: a
   chunk is missing or belongs to another revision, or the hash differs.  False
   with ERR set if the store could not be read.  */
bool snapshot_read (struct plat *plat, GBytes **out, struct pl_err *err);
