/* HTTP interface of a worker: starts and stops of runs, and /hold, the long
   poll by which the holder of the worker renews its lease and learns which
   runs have ended.  What the worker does is in worker_model.h.  */
#include "fleet.h"

#include <stdio.h>
#include <string.h>

#define MAX_BODY_BYTES ((size_t)65536)
#define RUN_STOP_US 20000
/* The spec of a task sets its behaviour: "ms=N" its running time, "cpu=N" its
   size, "fail=1" its failure.  */
#define DEFAULT_RUN_MS 50
#define DEFAULT_CPU 1000

static int64_t
now_us (const struct worker *w)
{
  return pl_now_us (w->fleet->clock);
}

/* The worker's own clock.  It differs from the clock of the instances, which
   must not compare the two.  */
static int64_t
clock_us (const struct worker *w)
{
  return now_us (w) + 77000000;
}

static int64_t
spec_value (const char *spec, const char *name, int64_t default_value)
{
  const char *at = spec == NULL ? NULL : strstr (spec, name);
  return at == NULL ? default_value
                    : g_ascii_strtoll (at + strlen (name), NULL, 10);
}

static bool
parse_run (const json_t *root, struct lease_run_id *id)
{
  const char *task = json_string_value (json_object_get (root, "task"));
  if (task == NULL || strlen (task) < 18
      || !pl_str_to_hex64 ((struct pl_str){ task, 16 }, &id->job))
    return false;
  id->index = (uint32_t)g_ascii_strtoull (strrchr (task, '.') + 1, NULL, 10);
  id->run = (uint32_t)json_integer_value (json_object_get (root, "run"));
  return true;
}

static json_t *
task_name (const struct lease_run_id *id)
{
  return json_sprintf ("%016" PRIx64 ".0.0.%u", id->job, id->index);
}

static const char *
outcome_name (enum lease_outcome outcome)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed" };
  return names[outcome];
}

/* The worker's clock and its lists of running tasks and of ended runs.  */
static json_t *
state_json (struct worker *w)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (guint i = 0; i < w->model.runs->len; i++)
    {
      const struct model_run *run
          = &g_array_index (w->model.runs, struct model_run, i);
      json_array_append_new (running,
                             json_pack ("[o, i, s, i]", task_name (&run->id),
                                        (int)run->id.run, "", 100));
    }
  for (guint i = 0; i < w->model.ended->len; i++)
    {
      const struct lease_end_record *end
          = &g_array_index (w->model.ended, struct lease_end_record, i);
      json_array_append_new (
          ended, json_pack ("[I, o, i, s, s]", (json_int_t)end->number,
                            task_name (&end->id), (int)end->id.run,
                            outcome_name (end->outcome), ""));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms",
                    (json_int_t)(clock_us (w) / 1000), "born",
                    (json_int_t)w->incarnation_ms, "running", running, "ended",
                    ended);
}

static void
answer_poll (struct worker *w)
{
  struct net_exchange *exchange = w->poll;
  w->poll = NULL;
  fleet_reply_json (exchange, 200, state_json (w));
}

/* Replies to a start or a stop, or to a /hold that was refused.  */
static void
reply_with_result (struct worker *w, struct net_exchange *exchange,
                   enum lease_reply reply)
{
  const char *reason = reply == LEASE_REPLY_FENCED    ? "fence"
                       : reply == LEASE_REPLY_OLD_RUN ? "old"
                                                      : "late";
  json_t *body
      = json_pack ("{s:I, s:I}", "clock_ms", (json_int_t)(clock_us (w) / 1000),
                   "born", (json_int_t)w->incarnation_ms);
  if (reply != LEASE_REPLY_OK)
    json_object_set_new (body, "reason", json_string (reason));
  fleet_reply_json (exchange, reply == LEASE_REPLY_OK ? 200 : 409, body);
}

/* Whether the task runs on another worker of the stand-in.  */
static bool
is_running_elsewhere (struct worker *w, const struct lease_run_id *id)
{
  for (unsigned i = 0; i < w->fleet->n_workers; i++)
    {
      struct worker *other = &w->fleet->workers[i];
      if (other == w)
        continue;
      (void)model_advance (&other->model, clock_us (other));
      for (guint k = 0; k < other->model.runs->len; k++)
        if (lease_same_task (
                &g_array_index (other->model.runs, struct model_run, k).id,
                id))
          return true;
    }
  return false;
}

/* Prints an event with the Unix time in ms.  */
static void
print_event (const struct worker *w, const char *event,
             const struct lease_run_id *id, const char *detail)
{
  printf ("%" PRId64 " %s %016" PRIx64 ".0.0.%u run=%u worker=%s kind=%s %s\n",
          g_get_real_time () / 1000, event, id->job, id->index, id->run, w->id,
          w->kind, detail);
  fflush (stdout);
}

static void
print_ends (struct worker *w)
{
  for (guint i = 0; i < w->model.ended->len; i++)
    {
      const struct lease_end_record *end
          = &g_array_index (w->model.ended, struct lease_end_record, i);
      if (end->number <= w->printed_end)
        continue;
      w->printed_end = end->number;
      print_event (w, "end", &end->id, outcome_name (end->outcome));
    }
}

/* Counts a start, and whether it broke a rule.  */
static void
count_start (struct worker *w, const struct lease_run_id *id)
{
  struct planner_resources none = { 0 };
  w->fleet->n_starts++;
  w->fleet->n_duplicate_starts += is_running_elsewhere (w, id);
  w->fleet->n_overcommitted_starts += !planner_resources_fit (
      w->model.capacity, model_used (&w->model), none);
}

static void
on_run_start (struct worker *w, struct net_exchange *exchange,
              const json_t *root)
{
  const char *spec = json_string_value (json_object_get (root, "spec"));
  struct model_start start = {
    .token = json_integer_value (json_object_get (root, "fencing_token")),
    .deadline_us
    = json_integer_value (json_object_get (root, "deadline_ms")) * 1000,
    .size = { (int32_t)spec_value (spec, "cpu=", DEFAULT_CPU), 64, 0 },
    .run_us = spec_value (spec, "ms=", DEFAULT_RUN_MS) * 1000,
    .outcome = spec_value (spec, "fail=", 0) ? LEASE_OUTCOME_FAILED
                                             : LEASE_OUTCOME_DONE,
  };
  bool started;
  if (!parse_run (root, &start.id))
    {
      net_reply (exchange, 400, NULL, pl_str (""), 0);
      return;
    }
  if (w->tasks_hang)
    start.run_us = INT64_MAX / 2;
  enum lease_reply reply
      = model_start (&w->model, &start, clock_us (w), &started);
  if (started)
    {
      count_start (w, &start.id);
      print_event (w, "start", &start.id, spec);
    }
  reply_with_result (w, exchange, reply);
}

static void
on_run_stop (struct worker *w, struct net_exchange *exchange,
             const json_t *root)
{
  struct lease_run_id id;
  if (!parse_run (root, &id))
    {
      net_reply (exchange, 400, NULL, pl_str (""), 0);
      return;
    }
  print_event (w, "stop", &id, "");
  reply_with_result (
      w, exchange,
      model_stop (&w->model,
                  json_integer_value (json_object_get (root, "fencing_token")),
                  &id, clock_us (w), RUN_STOP_US));
}

static void
on_hold (struct worker *w, struct net_exchange *exchange, const json_t *root)
{
  int64_t deadline_ms
      = json_integer_value (json_object_get (root, "deadline_ms"));
  int64_t wait_ms = json_integer_value (json_object_get (root, "wait_ms"));
  (void)model_advance (&w->model, clock_us (w));
  if (!model_accept_token (&w->model, json_integer_value (json_object_get (
                                          root, "fencing_token"))))
    {
      reply_with_result (w, exchange, LEASE_REPLY_FENCED);
      return;
    }
  if (deadline_ms != 0)
    model_renew (&w->model, deadline_ms * 1000, clock_us (w));
  print_ends (w);
  model_acknowledge (&w->model,
                     json_integer_value (json_object_get (root, "last_seen")));
  if (w->poll != NULL)
    answer_poll (w);
  w->poll = exchange;
  w->poll_deadline_us = now_us (w) + wait_ms * 1000;
  if (w->model.ended->len > 0 || wait_ms == 0)
    answer_poll (w);
}

static void
on_request (void *ctx, struct net_exchange *exchange,
            const struct net_request *request)
{
  struct worker *w = ctx;
  g_autofree char *target
      = g_strndup (request->target.data, request->target.len);
  const char *instance = net_exchange_header (exchange, "Target-Instance");
  if (w->dark)
    return; /* never answered */
  json_t *root = json_loadb (request->body.data, request->body.len, 0, NULL);
  if (instance != NULL && strcmp (instance, w->id) != 0)
    net_reply (exchange, 421, NULL, pl_str (""), 0);
  else if (strcmp (target, "/run-start") == 0)
    on_run_start (w, exchange, root);
  else if (strcmp (target, "/run-stop") == 0)
    on_run_stop (w, exchange, root);
  else if (strcmp (target, "/hold") == 0)
    on_hold (w, exchange, root);
  else
    net_reply (exchange, 404, NULL, pl_str (""), 0);
  json_decref (root);
}

static void
on_disconnect (void *ctx, struct net_exchange *exchange)
{
  struct worker *w = ctx;
  if (w->poll == exchange)
    w->poll = NULL;
}

void
worker_restart (struct worker *w)
{
  model_reset (&w->model);
  w->printed_end = 0;
  w->poll = NULL;
  w->dark = false;
  w->incarnation_ms = now_us (w) / 1000;
}

bool
worker_open (struct worker *w, struct pl_err *err)
{
  static const struct net_server_ops ops
      = { .request = on_request, .aborted = on_disconnect };
  struct net_server_config config
      = { .addr = w->addr, .ops = &ops, .ctx = w, .max_body = MAX_BODY_BYTES };
  struct planner_resources capacity = { 32000, 131072, 0 };
  model_init (&w->model, capacity);
  w->incarnation_ms = now_us (w) / 1000;
  w->server = net_server_new (w->fleet->base, &config, err);
  return w->server != NULL;
}

void
worker_register (struct worker *w, const char *state)
{
  char addr[PL_ADDR_TEXT];
  json_t *entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, "
      "s:I, s:i}",
      "service", "board-orders", "address", pl_addr_text (w->addr, addr),
      "zone", w->zone, "version", "v1", "slots", 8, "state", state,
      "cold_left_ms", 0, "capacity", "cpu", w->model.capacity.cpu, "mem_mb",
      w->model.capacity.mem, "gpu", 0, "labels", w->kind, "r1", "clock_ms",
      (json_int_t)(clock_us (w) / 1000), "born", (json_int_t)w->incarnation_ms,
      "seq", 1);
  g_autofree char *text = json_dumps (entry, JSON_COMPACT);
  g_autofree char *key = g_strdup_printf ("servers/%s", w->id);
  json_decref (entry);
  store_put (w->fleet->store, key, text, 0);
}

void
worker_tick (struct worker *w, int64_t now)
{
  unsigned n_done = 0;
  guint before = w->model.ended->len;
  (void)model_advance (&w->model, clock_us (w));
  print_ends (w);
  for (guint i = before; i < w->model.ended->len; i++)
    n_done
        += g_array_index (w->model.ended, struct lease_end_record, i).outcome
           == LEASE_OUTCOME_DONE;
  w->fleet->n_done += n_done;
  if (w->poll != NULL
      && (w->model.ended->len > 0 || w->poll_deadline_us <= now))
    answer_poll (w);
}
