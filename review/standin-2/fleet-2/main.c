/* fleet-2: stand-in for the users' platform; see fleet.h.
   Usage: fleet-2 IP PORT WORKERS ZONE...
   The store listens on PORT, worker N on PORT + N.  Tests control it through
   requests for /standin/COMMAND?... on the store's port.  Each is answered
   with the counters; COMMAND "report" does nothing else.  */
#include "fleet.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_BODY_BYTES ((size_t)1048576)
#define TICK_US 2000

char *
fleet_query (const struct net_request *request, const char *name)
{
  g_autofree char *target
      = g_strndup (request->target.data, request->target.len);
  const char *query = strchr (target, '?');
  if (query == NULL)
    return NULL;
  g_auto (GStrv) pairs = g_strsplit (query + 1, "&", -1);
  size_t len = strlen (name);
  for (char **pair = pairs; *pair != NULL; pair++)
    if (strncmp (*pair, name, len) == 0 && (*pair)[len] == '=')
      return g_uri_unescape_string (*pair + len + 1, NULL);
  return NULL;
}

void
fleet_reply_json (struct net_exchange *exchange, int status, json_t *body)
{
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  net_reply (exchange, status, "application/json", pl_str (text), 0);
}

/* Parameter NAME as a number; -1 if it is missing.  */
static int
query_int (const struct net_request *request, const char *name)
{
  g_autofree char *text = fleet_query (request, name);
  return text == NULL ? -1 : atoi (text);
}

/* Sets the state of a worker in the store; state "hanging" makes its tasks
   hang instead.  */
static void
control_worker (struct fleet *fleet, const struct net_request *request)
{
  int index = query_int (request, "index");
  if (index < 0 || index >= (int)fleet->n_workers)
    return;
  g_autofree char *state = fleet_query (request, "state");
  struct worker *w = &fleet->workers[index];
  if (state != NULL && strcmp (state, "hanging") == 0)
    w->tasks_hang = true;
  else if (state != NULL && strcmp (state, "dark") == 0)
    {
      w->dark = true;
      model_reset (&w->model);
    }
  else if (state != NULL)
    {
      g_autofree char *kind = fleet_query (request, "kind");
      if (kind != NULL)
        {
          w->kind = g_strdup (kind);
          worker_restart (w);
        }
      worker_register (w, state);
    }
}

static void
serve_control (struct fleet *fleet, struct net_exchange *exchange,
               const struct net_request *request, const char *command)
{
  g_autofree char *body = g_strndup (request->body.data, request->body.len);
  if (g_str_has_prefix (command, "put"))
    {
      g_autofree char *key = fleet_query (request, "key");
      store_put (fleet->store, key, body, 0);
    }
  else if (g_str_has_prefix (command, "refuse"))
    fleet->refuses[CLAMP (query_int (request, "port"), 0,
                          FLEET_MAX_STORE_PORTS - 1)]
        = query_int (request, "on") == 1;
  else if (g_str_has_prefix (command, "store"))
    fleet->store_down = query_int (request, "down") == 1;
  else if (g_str_has_prefix (command, "worker"))
    control_worker (fleet, request);
  fleet_reply_json (exchange, 200,
                    json_pack ("{s:i, s:i, s:i, s:i}", "starts",
                               (int)fleet->n_starts, "done",
                               (int)fleet->n_done, "twice",
                               (int)fleet->n_duplicate_starts, "over",
                               (int)fleet->n_overcommitted_starts));
}

static void
on_request (void *ctx, struct net_exchange *exchange,
            const struct net_request *request)
{
  struct fleet *fleet = ctx;
  g_autofree char *target
      = g_strndup (request->target.data, request->target.len);
  if (g_str_has_prefix (target, "/standin/"))
    serve_control (fleet, exchange, request, target + strlen ("/standin/"));
  else
    store_handle_request (fleet->store, exchange, request);
}

/* A store port of one instance.  */
struct store_port
{
  struct fleet *fleet;
  int number;
};

static void
on_port_request (void *ctx, struct net_exchange *exchange,
                 const struct net_request *request)
{
  struct store_port *port = ctx;
  if (port->fleet->refuses[port->number])
    net_reply (exchange, 503, NULL, pl_str (""), 0);
  else
    store_handle_request (port->fleet->store, exchange, request);
}

static void
on_port_disconnect (void *ctx, struct net_exchange *exchange)
{
  store_handle_disconnect (((struct store_port *)ctx)->fleet->store, exchange);
}

static bool
open_store_ports (struct fleet *fleet, struct pl_addr addr, struct pl_err *err)
{
  static const struct net_server_ops ops
      = { .request = on_port_request, .aborted = on_port_disconnect };
  for (int i = 1; i < FLEET_MAX_STORE_PORTS; i++)
    {
      struct store_port *port = g_new (struct store_port, 1);
      *port = (struct store_port){ fleet, i };
      struct net_server_config config = {
        .addr = { addr.ip, (uint16_t)(addr.port + FLEET_STORE_OFFSET + i) },
        .ops = &ops,
        .ctx = port,
        .max_body = MAX_BODY_BYTES,
      };
      if (net_server_new (fleet->base, &config, err) == NULL)
        return false;
    }
  return true;
}

static void
on_disconnect (void *ctx, struct net_exchange *exchange)
{
  store_handle_disconnect (((struct fleet *)ctx)->store, exchange);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct fleet *fleet = arg;
  int64_t now_us = pl_now_us (fleet->clock);
  (void)fd;
  (void)what;
  for (unsigned i = 0; i < fleet->n_workers; i++)
    worker_tick (&fleet->workers[i], now_us);
  store_tick (fleet->store, now_us);
}

static bool
open_workers (struct fleet *fleet, struct pl_addr addr, unsigned n,
              char **zones, int n_zones, struct pl_err *err)
{
  for (unsigned i = 0; i < n; i++)
    {
      struct worker *w = &fleet->workers[fleet->n_workers++];
      w->fleet = fleet;
      w->addr = (struct pl_addr){ addr.ip, (uint16_t)(addr.port + 1 + i) };
      w->kind = "a";
      w->zone = zones[i % (unsigned)n_zones];
      g_snprintf (w->id, sizeof w->id, "i-%08x", i + 1);
      if (!worker_open (w, err))
        return false;
      worker_register (w, "ready");
    }
  return true;
}

int
main (int argc, char **argv)
{
  static const struct net_server_ops ops
      = { .request = on_request, .aborted = on_disconnect };
  struct fleet fleet = { .clock = pl_clock_real () };
  struct pl_err err = { 0 };
  struct pl_addr addr;
  signal (SIGPIPE, SIG_IGN);
  pl_log_init ("text", "error");
  g_autofree char *text
      = argc < 5 ? g_strdup ("") : g_strjoin (":", argv[1], argv[2], NULL);
  unsigned n = argc < 5 ? 0 : (unsigned)atoi (argv[3]);
  if (!pl_addr_parse (pl_str (text), &addr) || n > FLEET_MAX_WORKERS)
    {
      fprintf (stderr, "usage: fleet-2 IP PORT WORKERS ZONE...\n");
      return 2;
    }
  fleet.base = event_base_new ();
  fleet.store = store_new (&fleet);
  struct net_server_config config = {
    .addr = addr, .ops = &ops, .ctx = &fleet, .max_body = MAX_BODY_BYTES
  };
  if (net_server_new (fleet.base, &config, &err) == NULL
      || !open_store_ports (&fleet, addr, &err)
      || !open_workers (&fleet, addr, n, argv + 4, argc - 4, &err))
    {
      fprintf (stderr, "%s\n", err.text);
      return 1;
    }
  struct event *tick = event_new (fleet.base, -1, EV_PERSIST, on_tick, &fleet);
  struct timeval tv = { 0, TICK_US };
  event_add (tick, &tv);
  return event_base_dispatch (fleet.base) == 0 ? 0 : 1;
}
