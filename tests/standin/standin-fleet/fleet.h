/* Stand-in of the users' platform for tests without their bench: its store and
   workers that run tasks under leases, in one process on loopback.  */
#pragma once

#include "net.h"
#include "worker_model.h"

#include <jansson.h>

#define FLEET_MAX_WORKERS 64

struct fleet;

/* Store.  */

struct store;
struct store *store_new (struct fleet *fleet);
/* Writes KEY; VALUE is raw.  */
void store_put (struct store *store, const char *key, const char *value,
                int64_t lease);
void store_remove (struct store *store, const char *key);
void store_request (struct store *store, struct net_exchange *x,
                    const struct net_request *request);
void store_gone (struct store *store, struct net_exchange *x);
void store_tick (struct store *store, int64_t now_us);

/* Workers.  */

struct worker
{
  struct fleet *fleet;
  char id[24];
  const char *zone;
  struct pl_addr addr;
  struct net_server *server;
  struct model_worker model;
  int64_t incarnation_ms;
  struct net_exchange *look; /* waits for an end */
  int64_t look_until_us;
  bool hangs;
};

bool worker_open (struct worker *w, struct pl_err *err);
/* Writes the worker's entry to the store.  */
void worker_register (struct worker *w, const char *state);
void worker_tick (struct worker *w, int64_t now_us);

struct fleet
{
  struct event_base *base;
  struct pl_clock *clock;
  struct store *store;
  struct worker workers[FLEET_MAX_WORKERS];
  unsigned n_workers;
  bool store_down;
  unsigned starts;
  unsigned done;
  unsigned twice;
  unsigned over;
};

/* Parameter NAME of a request's query, decoded; null if it is missing.  */
char *fleet_query (const struct net_request *request, const char *name);
void fleet_reply_json (struct net_exchange *x, int status, json_t *body);
