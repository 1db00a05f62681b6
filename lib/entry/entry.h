/* One entry instance: creates and connects its modules, routes requests to the
   instance that owns their key, and stops as planned.  */
#pragma once

#include "conf.h"
#include "pl.h"

struct entry;
/* Starts all threads; null with ERR set on failure.  CONF must outlive the
   entry.  */
struct entry *entry_new (const struct conf *conf, struct pl_err *err);
/* Requests a planned stop; further calls have no effect.  Any thread.  */
void entry_drain (struct entry *entry);
/* Blocks until a planned stop is requested.  */
void entry_wait_drain (struct entry *entry);
/* Performs the planned stop and frees ENTRY.  Returns the number of requests
   whose connection was closed without an answer, plus the number of jobs that
   were left unfinished.  */
unsigned entry_stop (struct entry *entry);
