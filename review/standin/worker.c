/* Stand-in for one worker of the users' platform: a supervisor and the worker's
   process, which the supervisor starts again as soon as it has ended.  Each
   new process has the id and the address of the one before it, and knows
   nothing of before: no runs, no fencing token, another "born", and a clock
   that begins anew, as PROTOCOL.md says.  What the worker does with orders is
   in tests/worker_model.h.

   Usage: worker STORE IP:PORT ID ZONE RECORD [LABEL]
   STORE is the address of standin-fleet, which serves the platform's store.
   Lines are appended to the file RECORD; the first field is the time in
   microseconds on the steady clock:
     T up ID PID              the process has started
     T down ID PID            it has ended (the supervisor's line)
     T start ID TASK RUN      a run has begun
     T end ID TASK RUN HOW    a run has ended
   The spec of a task sets its behaviour: "ms=N" its running time, "cpu=N" its
   size.  A stop takes STOP_US, less than the platform's stop_timeout_ms.  */
#include "net.h"
#include "worker_model.h"

#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_BODY_BYTES ((size_t)65536)
#define STOP_US 40000
#define TICK_US 1000
#define HEARTBEAT_US 1500000
#define STORE_TIMEOUT_US 1000000

struct worker
{
  struct event_base *base;
  struct pl_clock *clock;
  struct net_pool *store;
  const char *id;
  const char *zone;
  const char *label;
  struct pl_addr addr;
  int record;
  int64_t born_ms; /* Unix time */
  int64_t start_us;
  int64_t registered_us;
  int seq;
  struct model_worker model;
  guint n_recorded; /* entries of model.ended that are in the record */
  int64_t n_ended;  /* ends that are in the record */
  struct net_exchange *poll;
  int64_t poll_until_us;
};

static int64_t
steady_us (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void record (int fd, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Appends a line with one write, since several processes share the file.  */
static void
record (int fd, const char *format, ...)
{
  char line[256];
  int n = snprintf (line, sizeof line, "%" PRId64 " ", steady_us ());
  va_list args;
  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n - 1, format, args);
  va_end (args);
  line[n++] = '\n';
  if (write (fd, line, (size_t)n) != n)
    _exit (2);
}

/* The worker's own clock begins with its process.  */
static int64_t
clock_us (const struct worker *w)
{
  return steady_us () - w->start_us;
}

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

static const char *
outcome_name (enum lease_outcome outcome)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed" };
  return names[outcome];
}

/* Ends the runs that are due, and records these ends.  */
static void
advance (struct worker *w)
{
  (void)model_advance (&w->model, clock_us (w));
  for (guint i = 0; i < w->model.ended->len; i++)
    {
      const struct lease_end_record *end
          = &g_array_index (w->model.ended, struct lease_end_record, i);
      if (end->number <= w->n_ended)
        continue;
      w->n_ended = end->number;
      record (w->record, "end %s %016" PRIx64 ".0.0.%u %u %s", w->id,
              end->id.job, end->id.index, end->id.run,
              outcome_name (end->outcome));
    }
}

static json_t *
state_json (struct worker *w)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (guint i = 0; i < w->model.runs->len; i++)
    {
      const struct lease_run_id *id
          = &g_array_index (w->model.runs, struct model_run, i).id;
      json_array_append_new (
          running, json_pack ("[o, i, s, i, i]",
                              json_sprintf ("%016" PRIx64 ".0.0.%u", id->job,
                                            id->index),
                              (int)id->run, "", 50, 1000));
    }
  for (guint i = 0; i < w->model.ended->len; i++)
    {
      const struct lease_end_record *end
          = &g_array_index (w->model.ended, struct lease_end_record, i);
      json_array_append_new (
          ended, json_pack ("[I, o, i, s, s]", (json_int_t)end->number,
                            json_sprintf ("%016" PRIx64 ".0.0.%u", end->id.job,
                                          end->id.index),
                            (int)end->id.run, outcome_name (end->outcome),
                            ""));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms",
                    (json_int_t)(clock_us (w) / 1000), "born",
                    (json_int_t)w->born_ms, "running", running, "ended",
                    ended);
}

static void
reply_json (struct net_exchange *x, int status, json_t *body)
{
  g_autofree char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  net_reply (x, status, "application/json", pl_str (text), 0);
}

static void
answer_poll (struct worker *w)
{
  struct net_exchange *x = w->poll;
  w->poll = NULL;
  advance (w);
  reply_json (x, 200, state_json (w));
}

static void
reply_result (struct worker *w, struct net_exchange *x, enum lease_reply reply)
{
  const char *reason = reply == LEASE_REPLY_FENCED    ? "fence"
                       : reply == LEASE_REPLY_OLD_RUN ? "old"
                                                      : "late";
  json_t *body
      = json_pack ("{s:I, s:I}", "clock_ms", (json_int_t)(clock_us (w) / 1000),
                   "born", (json_int_t)w->born_ms);
  if (reply != LEASE_REPLY_OK)
    json_object_set_new (body, "reason", json_string (reason));
  reply_json (x, reply == LEASE_REPLY_OK ? 200 : 409, body);
}

static void
on_run_start (struct worker *w, struct net_exchange *x, const json_t *root)
{
  const char *spec = json_string_value (json_object_get (root, "spec"));
  struct model_start start = {
    .token = json_integer_value (json_object_get (root, "fencing_token")),
    .deadline_us
    = json_integer_value (json_object_get (root, "deadline_ms")) * 1000,
    .size = { (int32_t)spec_value (spec, "cpu=", 1000), 64, 0 },
    .run_us = spec_value (spec, "ms=", 50) * 1000,
    .outcome = LEASE_OUTCOME_DONE,
  };
  bool begun;
  if (!parse_run (root, &start.id))
    {
      net_reply (x, 400, NULL, pl_str (""), 0);
      return;
    }
  enum lease_reply reply
      = model_start (&w->model, &start, clock_us (w), &begun);
  advance (w);
  if (begun)
    record (w->record, "start %s %016" PRIx64 ".0.0.%u %u", w->id,
            start.id.job, start.id.index, start.id.run);
  reply_result (w, x, reply);
}

static void
on_run_stop (struct worker *w, struct net_exchange *x, const json_t *root)
{
  struct lease_run_id id;
  if (!parse_run (root, &id))
    {
      net_reply (x, 400, NULL, pl_str (""), 0);
      return;
    }
  int64_t token = json_integer_value (json_object_get (root, "fencing_token"));
  reply_result (w, x,
                model_stop (&w->model, token, &id, clock_us (w), STOP_US));
}

static void
on_hold (struct worker *w, struct net_exchange *x, const json_t *root)
{
  int64_t deadline_ms
      = json_integer_value (json_object_get (root, "deadline_ms"));
  int64_t wait_ms = json_integer_value (json_object_get (root, "wait_ms"));
  advance (w);
  if (!model_accept_token (&w->model, json_integer_value (json_object_get (
                                          root, "fencing_token"))))
    {
      reply_result (w, x, LEASE_REPLY_FENCED);
      return;
    }
  if (deadline_ms != 0)
    model_renew (&w->model, deadline_ms * 1000, clock_us (w));
  model_acknowledge (&w->model,
                     json_integer_value (json_object_get (root, "last_seen")));
  if (w->poll != NULL)
    answer_poll (w);
  w->poll = x;
  w->poll_until_us = steady_us () + wait_ms * 1000;
  if (w->model.ended->len > 0 || wait_ms == 0)
    answer_poll (w);
}

static void
on_request (void *ctx, struct net_exchange *x,
            const struct net_request *request)
{
  struct worker *w = ctx;
  g_autofree char *target
      = g_strndup (request->target.data, request->target.len);
  const char *instance = net_exchange_header (x, "Target-Instance");
  json_t *root = json_loadb (request->body.data, request->body.len, 0, NULL);
  if (instance != NULL && strcmp (instance, w->id) != 0)
    net_reply (x, 421, NULL, pl_str (""), 0);
  else if (strcmp (target, "/run-start") == 0)
    on_run_start (w, x, root);
  else if (strcmp (target, "/run-stop") == 0)
    on_run_stop (w, x, root);
  else if (strcmp (target, "/hold") == 0)
    on_hold (w, x, root);
  else
    net_reply (x, 404, NULL, pl_str (""), 0);
  json_decref (root);
}

static void
on_aborted (void *ctx, struct net_exchange *x)
{
  struct worker *w = ctx;
  if (w->poll == x)
    w->poll = NULL;
}

static void
on_registered (void *arg, const struct net_response *resp)
{
  (void)arg;
  (void)resp;
}

/* Writes the worker's entry to the store.  */
static void
write_entry (struct worker *w)
{
  char addr[PL_ADDR_TEXT];
  json_t *entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:{s:i, s:i, s:i}, s:[s, s], s:I, "
      "s:i}",
      "service", "board-orders", "address", pl_addr_text (w->addr, addr),
      "zone", w->zone, "version", "v1", "slots", 8, "state", "ready",
      "cold_left_ms", 0, "capacity", "cpu", w->model.capacity.cpu, "mem_mb",
      w->model.capacity.mem, "gpu", 0, "labels", w->label, "r1", "born",
      (json_int_t)w->born_ms, "seq", ++w->seq);
  g_autofree char *text = json_dumps (entry, JSON_COMPACT);
  g_autofree char *target
      = g_strdup_printf ("/standin/put?key=servers/%s", w->id);
  json_decref (entry);
  struct net_client_request request = {
    .method = "POST",
    .target = target,
    .body = pl_str (text),
    .timeout_us = STORE_TIMEOUT_US,
    .done = on_registered,
    .arg = w,
  };
  w->registered_us = steady_us ();
  net_pool_send (w->store, &request);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct worker *w = arg;
  (void)fd;
  (void)what;
  advance (w);
  if (w->poll != NULL
      && (w->model.ended->len > 0 || w->poll_until_us <= steady_us ()))
    answer_poll (w);
  if (steady_us () - w->registered_us > HEARTBEAT_US)
    write_entry (w);
}

/* The worker's process.  */
static int
serve (struct worker *w, struct pl_addr store)
{
  static const struct net_server_ops ops
      = { .request = on_request, .aborted = on_aborted };
  struct pl_err err = { 0 };
  struct timespec ts;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  clock_gettime (CLOCK_REALTIME, &ts);
  w->born_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  w->start_us = steady_us ();
  w->base = event_base_new ();
  struct net_server_config config
      = { .addr = w->addr, .ops = &ops, .ctx = w, .max_body = MAX_BODY_BYTES };
  model_init (&w->model, (struct planner_resources){ 32000, 131072, 0 });
  if (net_server_new (w->base, &config, &err) == NULL)
    {
      fprintf (stderr, "%s\n", err.text);
      return 2;
    }
  record (w->record, "up %s %d", w->id, (int)getpid ());
  w->store = net_pool_new (w->base, store);
  write_entry (w);
  struct event *tick = event_new (w->base, -1, EV_PERSIST, on_tick, w);
  struct timeval tv = { 0, TICK_US };
  event_add (tick, &tv);
  return event_base_dispatch (w->base) == 0 ? 0 : 2;
}

int
main (int argc, char **argv)
{
  struct worker w = { .label = argc > 6 ? argv[6] : "a" };
  struct pl_addr store;
  signal (SIGPIPE, SIG_IGN);
  pl_log_init ("text", "error");
  if (argc < 6 || !pl_addr_parse (pl_str (argv[1]), &store)
      || !pl_addr_parse (pl_str (argv[2]), &w.addr))
    {
      fprintf (stderr, "usage: worker STORE IP:PORT ID ZONE RECORD [LABEL]\n");
      return 2;
    }
  w.id = argv[3];
  w.zone = argv[4];
  w.record = open (argv[5], O_WRONLY | O_APPEND | O_CREAT, 0644);
  for (;;)
    {
      pid_t pid = fork ();
      if (pid == 0)
        return serve (&w, store);
      int status;
      if (pid < 0 || waitpid (pid, &status, 0) != pid
          || (WIFEXITED (status) && WEXITSTATUS (status) == 2))
        return 2;
      record (w.record, "down %s %d", w.id, (int)pid);
    }
}
