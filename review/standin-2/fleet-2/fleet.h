/* Copy of tests/standin/standin-fleet with four additions for the review: each
   instance has a store port of its own, at which the store can turn it away;
   workers print their starts, stops and ends; a worker can be dark, and can
   start again under its id with another kind; a task may run longer or fail.

   Stand-in for the users' platform, for tests that run without it: the store
   of the platform and workers that run tasks under leases, in one process on
   loopback.  Single-threaded on one event loop.  Tests read its counters to
   check that no task ran twice and no worker ran more than it has room for. */
#pragma once

#include "net.h"
#include "worker_model.h"

#include <jansson.h>

#define FLEET_MAX_WORKERS 64
/* Store ports are PORT + FLEET_STORE_OFFSET + N, N from 1.  */
#define FLEET_MAX_STORE_PORTS 8
#define FLEET_STORE_OFFSET 100

struct fleet;

/* Store: keys with values and revisions, watches and leases.  */

struct store;
struct store *store_new (struct fleet *fleet);
/* Writes KEY with the text VALUE, which is stored in base64.  LEASE 0: none;
   otherwise KEY is removed when the lease ends.  */
void store_put (struct store *store, const char *key, const char *value,
                int64_t lease);
void store_remove (struct store *store, const char *key);
void store_handle_request (struct store *store, struct net_exchange *exchange,
                           const struct net_request *request);
void store_handle_disconnect (struct store *store,
                              struct net_exchange *exchange);
/* Ends watches and leases that are due.  */
void store_tick (struct store *store, int64_t now_us);

/* Workers.  */

struct worker
{
  struct fleet *fleet;
  char id[24];
  const char *zone; /* failure domain */
  struct pl_addr addr;
  struct net_server *server;
  struct model_worker model;
  int64_t incarnation_ms;    /* time of its start */
  struct net_exchange *poll; /* a /hold request that waits for a run to end */
  int64_t poll_deadline_us;
  const char *kind;    /* its first label */
  bool dark;           /* it answers nothing */
  int64_t printed_end; /* number of the last end that was printed */
  bool tasks_hang;     /* tasks started from now on never end by themselves */
};

/* Starts the worker's process again: it knows nothing of before.  */
void worker_restart (struct worker *w);
bool worker_open (struct worker *w, struct pl_err *err);
/* Writes the worker's entry, with STATE, to the store.  */
void worker_register (struct worker *w, const char *state);
/* Ends runs that are due and answers the poll that waits for them.  */
void worker_tick (struct worker *w, int64_t now_us);

struct fleet
{
  struct event_base *base;
  struct pl_clock *clock;
  struct store *store;
  bool refuses[FLEET_MAX_STORE_PORTS]; /* by store port */
  struct worker workers[FLEET_MAX_WORKERS];
  unsigned n_workers;
  bool store_down; /* the store answers every request with 503 */
  unsigned n_starts;
  unsigned n_done;                 /* runs that ended well */
  unsigned n_duplicate_starts;     /* the task was running elsewhere */
  unsigned n_overcommitted_starts; /* the worker had no room left */
};

/* Parameter NAME of a request's query, decoded, or null if it is missing.  The
   caller frees it.  */
char *fleet_query (const struct net_request *request, const char *name);
/* Replies with BODY and releases it.  */
void fleet_reply_json (struct net_exchange *exchange, int status,
                       json_t *body);
