/* Shared by the files of the stand-in's server.  */
#pragma once

#include "api.h"
#include "server.h"

#include <microhttpd.h>
#include <stdio.h>

enum fault
{
  FAULT_NONE,
  FAULT_DOWN,
  FAULT_SLOW,
  FAULT_LOSE_ANSWER,
  FAULT_STALE,
  FAULT_REWIND,
  FAULT_GARBAGE,
  FAULTS,
};

enum kind
{
  KIND_RANGE,
  KIND_TXN,
  KIND_WATCH,
  KIND_LEASE,
  KIND_OTHER,
  KINDS,
};

struct standin
{
  struct MHD_Daemon *daemon;
  FILE *log;
  GThread *expiry;
  GMutex lock; /* of all below */
  GCond cond;  /* a write, a fault or the stop */
  struct store store;
  enum fault fault;
  int fault_ms;
  int fault_left;      /* calls; -1: until changed */
  unsigned fault_turn; /* counts changes, so that open watches notice one */
  int64_t stale_at;
  int64_t calls[KINDS];
  int64_t watches;
  bool stop;
};

/* Takes one call's share of the fault in force; the lock is held.  */
enum fault fault_take (struct standin *standin, enum kind kind);
json_t *stats_json (struct standin *standin);
/* Answers a watch request with a stream.  */
enum MHD_Result watch_start (struct standin *standin,
                             struct MHD_Connection *connection,
                             const json_t *body, enum fault fault);
