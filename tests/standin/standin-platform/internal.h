/* Internals of the stand-in's server.  */
#pragma once

#include "api.h"
#include "server.h"

#include <microhttpd.h>
#include <stdio.h>

enum fault
{
  FAULT_NONE,
  FAULT_DOWN,        /* connections are closed without an answer */
  FAULT_SLOW,        /* answers are delayed */
  FAULT_LOSE_ANSWER, /* calls take effect, but their answer is lost */
  FAULT_STALE,       /* ranges answer as of an old revision */
  FAULT_REWIND,      /* watches repeat events from before their start */
  FAULT_GARBAGE,     /* answers and events are malformed */
  N_FAULTS,          /* number of the above */
};

enum call_kind
{
  KIND_RANGE,
  KIND_TXN,
  KIND_WATCH,
  KIND_LEASE,
  KIND_OTHER,
  N_KINDS, /* number of the above */
};

struct standin
{
  struct MHD_Daemon *daemon;
  FILE *log;
  GThread *expiry; /* ends expired leases */
  GMutex lock;     /* guards all members below */
  GCond cond;      /* signals a write, a change of the fault or the stop */
  struct store store;
  enum fault fault;
  int fault_ms;              /* delay of FAULT_SLOW */
  int fault_calls_left;      /* calls still affected; -1: until changed */
  unsigned fault_generation; /* counts changes, for open watches */
  int64_t stale_revision;    /* that FAULT_STALE answers from */
  int64_t calls[N_KINDS];
  int64_t watches; /* open ones */
  bool stop;
};

/* Returns the fault in force for a call of CALL_KIND and counts the call
   against the fault's limit.  The lock is held.  */
enum fault take_fault (struct standin *standin, enum call_kind call_kind);
/* The lock is held.  */
json_t *stats_json (struct standin *standin);
/* Answers a watch request with a stream of events.  */
enum MHD_Result watch_start (struct standin *standin,
                             struct MHD_Connection *connection,
                             const json_t *body, enum fault fault);
