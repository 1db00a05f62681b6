/* server-3: one worker of the users' platform, for the cases 11 to 15.
   Usage: server-3 ID IP:PORT STORE_IP:PORT ZONE KIND RACK CPU RECORD
   [ADDRESS], which is the address that it registers, if that is another one.
   It writes its entry servers/ID into the store every 1.5 s under a lease of
   three times that, serves /run-start, /run-stop and /hold as the pages say,
   and does not guard its capacity.  It appends what it starts and ends to the
   file RECORD, one line each, with the time of the steady clock in ms:
     MS start ID task=T run=R kind=K used=CPU capacity=CPU token=N spec=TEXT
     MS end ID task=T run=R how=H
   GET /standin/set?drain=1, ?cpu=N or ?late=N&ms=M changes what it does: it
   reports that it leaves, its capacity changes, or the next N starts are not
   answered and carried out M ms later.  */
#include "net.h"
#include "worker_model.h"

#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define BEAT_US 1500000
#define ENTRY_TTL_MS 4500
#define TICK_US 2000
#define STOP_US 20000
#define MAX_BODY_BYTES ((size_t)65536)
#define STORE_TIMEOUT_US 1000000
#define CLOCK_OFFSET_US 5000000 /* of the worker's clock at its start */

struct server
{
  struct event_base *base;
  struct pl_clock *clock;
  const char *id;
  const char *addr;
  const char *zone;
  const char *kind;
  const char *rack;
  int record;
  struct model_worker model;
  int64_t begun_us;
  int64_t born_ms;
  int64_t seq;
  int64_t lease;
  int64_t beat_us;
  bool draining;
  int late;    /* starts that are still to be carried out late */
  int late_ms; /* how much later */
  struct net_pool *store;
  struct net_exchange *poll; /* a /hold request that waits */
  int64_t poll_until_us;
};

static int64_t
now_us (const struct server *s)
{
  return pl_now_us (s->clock);
}

/* The worker's own clock, which begins anew with each start.  */
static int64_t
clock_us (const struct server *s)
{
  return now_us (s) - s->begun_us + CLOCK_OFFSET_US;
}

static int64_t
steady_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void record (const struct server *s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
record (const struct server *s, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_autofree char *line
      = g_strdup_printf ("%" PRId64 " %s\n", steady_ms (), text);
  if (write (s->record, line, strlen (line)) < 0)
    perror ("record");
}

/* Entry in the store.  */

static void
ignore_response (void *arg, const struct net_response *resp)
{
  struct server *s = arg;
  if (resp->status == 404)
    s->lease = 0;
}

static void
call_store (struct server *s, const char *target, const char *body,
            net_response_fn done)
{
  struct net_client_request request = {
    .method = "POST",
    .target = target,
    .body = pl_str (body),
    .timeout_us = STORE_TIMEOUT_US,
    .done = done,
    .arg = s,
  };
  net_pool_send (s->store, &request);
}

static void
write_entry (struct server *s)
{
  json_t *entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, "
      "s:I, s:I}",
      "service", "board-orders", "address", s->addr, "zone", s->zone,
      "version", "v1", "slots", 8, "state", s->draining ? "draining" : "ready",
      "cold_left_ms", 0, "capacity", "cpu", (int)s->model.capacity.cpu,
      "mem_mb", (int)s->model.capacity.mem, "gpu", 0, "labels", s->kind,
      s->rack, "clock_ms", (json_int_t)(clock_us (s) / 1000), "born",
      (json_int_t)s->born_ms, "seq", (json_int_t)++s->seq);
  g_autofree char *text = json_dumps (entry, JSON_COMPACT);
  json_decref (entry);
  g_autofree char *value
      = g_base64_encode ((const guchar *)text, strlen (text));
  g_autofree char *body = g_strdup_printf (
      "{\"expect\":[],\"set_keys\":[{\"key\":\"servers/%s\",\"value\":\"%s\","
      "\"lease\":%" PRId64 "}],\"remove\":[]}",
      s->id, value, s->lease);
  call_store (s, "/kv-txn", body, ignore_response);
}

static void
on_lease (void *arg, const struct net_response *resp)
{
  struct server *s = arg;
  json_t *root = resp->status == 200
                     ? json_loadb (resp->body.data, resp->body.len, 0, NULL)
                     : NULL;
  s->lease = json_integer_value (json_object_get (root, "lease"));
  json_decref (root);
  if (s->lease != 0)
    write_entry (s);
}

static void
beat (struct server *s)
{
  s->beat_us = now_us (s);
  if (s->lease == 0)
    {
      g_autofree char *body
          = g_strdup_printf ("{\"ttl_ms\":%d}", ENTRY_TTL_MS);
      call_store (s, "/kv-lease", body, on_lease);
      return;
    }
  g_autofree char *target = g_strdup_printf ("/kv-keep/%" PRId64, s->lease);
  call_store (s, target, "", ignore_response);
  write_entry (s);
}

/* Orders.  */

static int64_t
spec_value (const char *spec, const char *name, int64_t fallback)
{
  const char *at = spec == NULL ? NULL : strstr (spec, name);
  return at == NULL ? fallback
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

static void
advance (struct server *s)
{
  static const char *const how[] = { "done", "failed", "stopped", "lapsed" };
  guint before = s->model.ended->len;
  (void)model_advance (&s->model, clock_us (s));
  for (guint i = before; i < s->model.ended->len; i++)
    {
      const struct lease_end_record *end
          = &g_array_index (s->model.ended, struct lease_end_record, i);
      record (s, "end %s task=%016" PRIx64 ".0.0.%u run=%u how=%s", s->id,
              end->id.job, end->id.index, end->id.run, how[end->outcome]);
    }
}

static void
reply_json (struct net_exchange *exchange, int status, json_t *body)
{
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  net_reply (exchange, status, "application/json", pl_str (text), 0);
}

static void
reply_with_result (struct server *s, struct net_exchange *exchange,
                   enum lease_reply reply)
{
  const char *reason = reply == LEASE_REPLY_FENCED    ? "fence"
                       : reply == LEASE_REPLY_OLD_RUN ? "old"
                                                      : "late";
  json_t *body
      = json_pack ("{s:I}", "clock_ms", (json_int_t)(clock_us (s) / 1000));
  if (reply != LEASE_REPLY_OK)
    json_object_set_new (body, "reason", json_string (reason));
  reply_json (exchange, reply == LEASE_REPLY_OK ? 200 : 409, body);
}

static enum lease_reply
carry_out_start (struct server *s, const json_t *root)
{
  const char *spec = json_string_value (json_object_get (root, "spec"));
  struct model_start start = {
    .token = json_integer_value (json_object_get (root, "fencing_token")),
    .deadline_us
    = json_integer_value (json_object_get (root, "deadline_ms")) * 1000,
    .size = { (int32_t)spec_value (spec, "cpu=", 1000), 64, 0 },
    .run_us = spec_value (spec, "ms=", 50) * 1000,
    .outcome = spec_value (spec, "fail=", 0) ? LEASE_OUTCOME_FAILED
                                             : LEASE_OUTCOME_DONE,
  };
  bool started;
  if (!parse_run (root, &start.id))
    return LEASE_REPLY_REFUSED;
  advance (s);
  enum lease_reply reply
      = model_start (&s->model, &start, clock_us (s), &started);
  if (started)
    record (s,
            "start %s task=%016" PRIx64
            ".0.0.%u run=%u kind=%s used=%d capacity=%d token=%" PRId64
            " spec=%s",
            s->id, start.id.job, start.id.index, start.id.run, s->kind,
            model_used (&s->model).cpu, s->model.capacity.cpu, start.token,
            spec == NULL ? "" : spec);
  return reply;
}

struct late_start
{
  struct server *server;
  json_t *root;
};

static void
on_late (evutil_socket_t fd, short what, void *arg)
{
  struct late_start *late = arg;
  (void)fd;
  (void)what;
  record (late->server, "late %s task=%s", late->server->id,
          json_string_value (json_object_get (late->root, "task")));
  (void)carry_out_start (late->server, late->root);
  json_decref (late->root);
  g_free (late);
}

static void
on_run_start (struct server *s, struct net_exchange *exchange, json_t *root)
{
  if (s->late > 0)
    {
      struct late_start *late = g_new0 (struct late_start, 1);
      struct timeval tv = { s->late_ms / 1000, s->late_ms % 1000 * 1000 };
      *late = (struct late_start){ s, json_incref (root) };
      s->late--;
      event_base_once (s->base, -1, EV_TIMEOUT, on_late, late, &tv);
      return; /* never answered */
    }
  enum lease_reply reply = carry_out_start (s, root);
  if (reply == LEASE_REPLY_REFUSED)
    net_reply (exchange, 400, NULL, pl_str (""), 0);
  else
    reply_with_result (s, exchange, reply);
}

static void
on_run_stop (struct server *s, struct net_exchange *exchange,
             const json_t *root)
{
  struct lease_run_id id;
  if (!parse_run (root, &id))
    {
      net_reply (exchange, 400, NULL, pl_str (""), 0);
      return;
    }
  advance (s);
  reply_with_result (
      s, exchange,
      model_stop (&s->model,
                  json_integer_value (json_object_get (root, "fencing_token")),
                  &id, clock_us (s), STOP_US));
}

static json_t *
state_json (struct server *s)
{
  static const char *const how[] = { "done", "failed", "stopped", "lapsed" };
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (guint i = 0; i < s->model.runs->len; i++)
    {
      const struct model_run *run
          = &g_array_index (s->model.runs, struct model_run, i);
      json_array_append_new (running,
                             json_pack ("[o, i, s, i]", task_name (&run->id),
                                        (int)run->id.run, "", 100));
    }
  for (guint i = 0; i < s->model.ended->len && i < 500; i++)
    {
      const struct lease_end_record *end
          = &g_array_index (s->model.ended, struct lease_end_record, i);
      json_array_append_new (
          ended, json_pack ("[I, o, i, s, s]", (json_int_t)end->number,
                            task_name (&end->id), (int)end->id.run,
                            how[end->outcome], ""));
    }
  return json_pack (
      "{s:I, s:I, s:o, s:o}", "clock_ms", (json_int_t)(clock_us (s) / 1000),
      "born", (json_int_t)s->born_ms, "running", running, "ended", ended);
}

static void
answer_poll (struct server *s)
{
  struct net_exchange *exchange = s->poll;
  s->poll = NULL;
  reply_json (exchange, 200, state_json (s));
}

static void
on_hold (struct server *s, struct net_exchange *exchange, const json_t *root)
{
  int64_t deadline_ms
      = json_integer_value (json_object_get (root, "deadline_ms"));
  int64_t wait_ms = json_integer_value (json_object_get (root, "wait_ms"));
  advance (s);
  if (!model_accept_token (&s->model, json_integer_value (json_object_get (
                                          root, "fencing_token"))))
    {
      reply_with_result (s, exchange, LEASE_REPLY_FENCED);
      return;
    }
  if (deadline_ms != 0)
    model_renew (&s->model, deadline_ms * 1000, clock_us (s));
  model_acknowledge (&s->model,
                     json_integer_value (json_object_get (root, "last_seen")));
  if (s->poll != NULL)
    answer_poll (s);
  s->poll = exchange;
  s->poll_until_us = now_us (s) + MIN (wait_ms, 2000) * 1000;
  if (s->model.ended->len > 0 || wait_ms == 0)
    answer_poll (s);
}

/* Control by the script.  */

static int
query_int (const char *target, const char *name, int fallback)
{
  g_autofree char *key = g_strdup_printf ("%s=", name);
  const char *at = strstr (target, key);
  return at == NULL ? fallback : atoi (at + strlen (key));
}

static void
control (struct server *s, struct net_exchange *exchange, const char *target)
{
  s->draining = query_int (target, "drain", s->draining) != 0;
  s->model.capacity.cpu = query_int (target, "cpu", s->model.capacity.cpu);
  s->late = query_int (target, "late", s->late);
  s->late_ms = query_int (target, "ms", s->late_ms);
  record (s, "set %s %s", s->id, target);
  beat (s);
  net_reply (exchange, 200, NULL, pl_str (""), 0);
}

static void
on_request (void *ctx, struct net_exchange *exchange,
            const struct net_request *request)
{
  struct server *s = ctx;
  g_autofree char *target
      = g_strndup (request->target.data, request->target.len);
  const char *instance = net_exchange_header (exchange, "Target-Instance");
  json_t *root = json_loadb (request->body.data, request->body.len, 0, NULL);
  if (instance != NULL && strcmp (instance, s->id) != 0)
    net_reply (exchange, 421, NULL, pl_str (""), 0);
  else if (strcmp (target, "/run-start") == 0)
    on_run_start (s, exchange, root);
  else if (strcmp (target, "/run-stop") == 0)
    on_run_stop (s, exchange, root);
  else if (strcmp (target, "/hold") == 0)
    on_hold (s, exchange, root);
  else if (g_str_has_prefix (target, "/standin/set"))
    control (s, exchange, target);
  else
    net_reply (exchange, strcmp (target, "/healthz") == 0 ? 200 : 404, NULL,
               pl_str (""), 0);
  json_decref (root);
}

static void
on_disconnect (void *ctx, struct net_exchange *exchange)
{
  struct server *s = ctx;
  if (s->poll == exchange)
    s->poll = NULL;
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct server *s = arg;
  (void)fd;
  (void)what;
  advance (s);
  if (now_us (s) - s->beat_us >= BEAT_US)
    beat (s);
  if (s->poll != NULL
      && (s->model.ended->len > 0 || s->poll_until_us <= now_us (s)))
    answer_poll (s);
}

int
main (int argc, char **argv)
{
  static const struct net_server_ops ops
      = { .request = on_request, .aborted = on_disconnect };
  struct server s = { .clock = pl_clock_real () };
  struct pl_err err = { 0 };
  struct pl_addr addr;
  struct pl_addr store;
  struct timespec wall;
  signal (SIGPIPE, SIG_IGN);
  pl_log_init ("text", "error");
  if (argc < 9 || !pl_addr_parse (pl_str (argv[2]), &addr)
      || !pl_addr_parse (pl_str (argv[3]), &store))
    {
      fprintf (stderr, "usage: server-3 ID IP:PORT STORE_IP:PORT ZONE KIND "
                       "RACK CPU RECORD [ADDRESS]\n");
      return 2;
    }
  s.id = argv[1];
  s.addr = argc > 9 ? argv[9] : argv[2];
  s.zone = argv[4];
  s.kind = argv[5];
  s.rack = argv[6];
  s.record = open (argv[8], O_WRONLY | O_APPEND | O_CREAT, 0644);
  clock_gettime (CLOCK_REALTIME, &wall);
  s.born_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
  s.begun_us = now_us (&s);
  model_init (&s.model,
              (struct planner_resources){ atoi (argv[7]), 131072, 0 });
  s.base = event_base_new ();
  s.store = net_pool_new (s.base, store);
  struct net_server_config config
      = { .addr = addr, .ops = &ops, .ctx = &s, .max_body = MAX_BODY_BYTES };
  if (s.record < 0 || net_server_new (s.base, &config, &err) == NULL)
    {
      fprintf (stderr, "server-3: %s\n", err.text);
      return 1;
    }
  record (&s, "born %s kind=%s capacity=%d", s.id, s.kind,
          s.model.capacity.cpu);
  beat (&s);
  struct event *tick = event_new (s.base, -1, EV_PERSIST, on_tick, &s);
  struct timeval tv = { 0, TICK_US };
  event_add (tick, &tv);
  return event_base_dispatch (s.base) == 0 ? 0 : 1;
}
