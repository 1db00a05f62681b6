/* The assembly of an entry instance: start, routing, drain and stop.  */
#pragma once

#include "conf.h"
#include "pl.h"

struct entry;
/* Starts all threads; null with ERR set on failure.  CONF must outlive it.  */
struct entry *entry_new (const struct conf *conf, struct pl_err *err);
/* Begins a planned stop; further calls have no effect.  Any thread.  */
void entry_drain (struct entry *entry);
/* Blocks until a planned stop is asked for.  */
void entry_wait_drain (struct entry *entry);
/* Carries the planned stop out and frees ENTRY.  Returns the number of
   requests that were cut.  */
unsigned entry_stop (struct entry *entry);
