/* One entry instance: the server that accepts jobs over HTTP and has workers
   run their tasks.  This module creates and connects the other modules, routes
   each request to the authority for its key (the instance that owns the key or
   the owner's heir), and performs the planned stop.  */
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
