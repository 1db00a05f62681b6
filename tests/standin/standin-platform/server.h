/* Stand-in for the platform's key-value store, for tests: an in-memory server
   of the part of etcd's v3 JSON gateway that the daemon uses, with faults on
   request.  standin-platform runs it as a program; plat_test calls these
   functions to run it within its own process.  */
#pragma once

#include "pl.h"

struct standin;

/* Listens at ADDR (port 0: a free port).  A line per call is appended to the
   file LOG_PATH (may be null).  Returns null and sets ERR on failure.  */
struct standin *standin_new (struct pl_addr addr, const char *log_path,
                             struct pl_err *err);
uint16_t standin_port (const struct standin *standin);
/* Sets the fault MODE, as POST /standin/fault does: none, down, slow (by MS),
   lose_answer, stale, rewind or garbage; internal.h explains them.  COUNT
   calls are affected (0: until changed).  stale affects only ranges and rewind
   only watches; lose_answer affects neither: it is meant for calls that have
   taken effect, and these only read.  */
bool standin_set_fault (struct standin *standin, const char *mode, int ms,
                        int count);
/* Makes watches fail that start before the current revision, as after a
   compaction of the store (POST /v3/kv/compaction).  */
void standin_compact_store (struct standin *standin);
/* Statistic NAME: the number of calls of a kind ("range", "txn", "watch",
   "lease", "other"), of open "watches" or of "writes".  */
int64_t standin_get_stat (struct standin *standin, const char *name);
void standin_free (struct standin *standin);
