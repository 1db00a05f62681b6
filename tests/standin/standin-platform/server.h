/* The platform stand-in as a server in a process: an etcd v3 JSON gateway in
   memory with faults.  */
#pragma once

#include "pl.h"

struct standin;

/* Listens at ADDR (port 0: the kernel's choice).  LOG_PATH (may be null) gets
   a line a call.  Null with ERR set on failure.  */
struct standin *standin_new (struct pl_addr addr, const char *log_path,
                             struct pl_err *err);
uint16_t standin_port (const struct standin *standin);
/* MODE as in POST /standin/fault: none, down, slow, lose_answer, stale, rewind
   or garbage.  COUNT calls are affected (0: until changed).  Only lose_answer
   leaves ranges alone, since they have no effect to lose.  */
bool standin_fault (struct standin *standin, const char *mode, int ms,
                    int count);
/* Makes watches from before the present revision fail, as after the store's
   compaction (POST /v3/kv/compaction).  */
void standin_compact (struct standin *standin);
/* Calls by kind ("range", "txn", "watch", "lease", "other"), "watches" open
   and "writes".  */
int64_t standin_stat (struct standin *standin, const char *name);
void standin_free (struct standin *standin);
