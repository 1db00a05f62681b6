/* An emulated deployment for tests of lib/cell: instances, workers under
   leases as the platform's pages describe them, and a network, all on a manual
   clock with seeded randomness.  It checks at every start that no task runs
   twice at the same time and that no worker holds more than its capacity.  */
#pragma once

#include "cell.h"
#include "worker_model.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORLD_MAX_INSTANCES 8
#define WORLD_MAX_WORKERS 32
#define WORLD_DOMAINS 4
#define WORLD_STOP_US 50000
#define WORLD_ORDER_TIMEOUT_US 200000
#define WORLD_RECONNECT_US 100000
#define WORLD_RESEND_US 1300000 /* a caller sends a lost job again */
#define WORLD_JOB_DEADLINE_US 4000000
#define PL_CODE_LIMIT 700 /* above every result code */

struct world;

struct world_event
{
  int64_t at_us;
  uint64_t seq;
  void (*fire) (struct world *world, struct world_event *event);
  int from;      /* instance */
  int to;        /* instance or worker */
  uint64_t life; /* of the instance FROM or TO, as the event says */
  GBytes *frame;
  int64_t token;
  int64_t deadline_ms;
  int64_t last_end;
  int wait_ms;
  bool no_answer;
  struct lease_run_id id;
  struct pack_amount size;
  int64_t run_us;
  enum lease_reply reply;
};

struct world_worker
{
  int index;
  uint64_t key;
  char id[16];
  int domain;
  int64_t born_ms;
  bool up;
  bool draining;
  struct model_worker model;
  struct world_event *look; /* waits for an end */
  double fail_share;
  bool hangs;
};

struct world_link
{
  struct world *world;
  int from;
  struct pl_addr addr;
  bool up;
};

struct world_instance
{
  struct world *world;
  int index;
  int domain;
  struct cell *cell; /* null while it is down */
  uint64_t life;
  bool frozen;
  uint64_t peer_of[WORLD_MAX_INSTANCES]; /* identities on incoming links */
  GPtrArray *links;
};

struct world_job
{
  uint64_t id;
  unsigned n_tasks;
  struct pack_amount size;
  int64_t run_us;
  int at; /* instance */
  uint64_t life;
  int64_t lost_us; /* its instance has ended; 0: not */
  bool answered;
  bool refused;
  enum pl_code code;
};

struct world
{
  struct pl_manual_clock clock;
  uint64_t rng;
  uint64_t seq;
  GSequence *events;
  struct world_instance instances[WORLD_MAX_INSTANCES];
  int n_instances;
  struct world_worker workers[WORLD_MAX_WORKERS];
  int n_workers;
  bool cut[WORLD_MAX_INSTANCES][WORLD_MAX_INSTANCES]; /* one way */
  bool cut_worker[WORLD_MAX_INSTANCES][WORLD_MAX_WORKERS];
  bool hold_frames; /* frames in a cut arrive when it heals */
  GPtrArray *held;  /* struct world_event */
  bool store_down;
  double late_share; /* of orders that are carried out 2 to 12 s later */
  GHashTable *jobs;  /* id -> struct world_job */
  unsigned starts;
  unsigned answers[PL_CODE_LIMIT];
  unsigned complete;
  unsigned twice;
  unsigned over;
  unsigned false_refusals;
  char first_fault[256];
};

static inline int64_t
world_now (struct world *world)
{
  return world->clock.now_us;
}

static inline uint64_t
world_random (struct world *world)
{
  world->rng ^= world->rng << 13;
  world->rng ^= world->rng >> 7;
  world->rng ^= world->rng << 17;
  return world->rng;
}

static inline int64_t
world_between (struct world *world, int64_t low, int64_t high)
{
  return low + (int64_t)(world_random (world) % (uint64_t)(high - low + 1));
}

static inline bool
world_chance (struct world *world, double share)
{
  return (double)(world_random (world) % 1000000) < share * 1000000;
}

static gint
world_compare (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct world_event *x = a;
  const struct world_event *y = b;
  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static inline struct world_event *
world_event (struct world *world, int64_t delay_us,
             void (*fire) (struct world *, struct world_event *))
{
  struct world_event *event = g_new0 (struct world_event, 1);
  event->at_us = world_now (world) + delay_us;
  event->seq = world->seq++;
  event->fire = fire;
  return event;
}

static inline void
world_schedule (struct world *world, struct world_event *event)
{
  g_sequence_insert_sorted (world->events, event, world_compare, NULL);
}

static inline int64_t
world_delay (struct world *world)
{
  return world_between (world, 300, 1500);
}

static inline void
world_fault (struct world *world, const char *text, uint64_t job,
             uint32_t index)
{
  if (world->first_fault[0] == '\0')
    g_snprintf (world->first_fault, sizeof world->first_fault,
                "%s at %.3f s: %016" PRIx64 ".%u", text,
                (double)world_now (world) / 1e6, job, index);
}

/* With PAPAYALOFT_TRACE set, tells what happens, for the search of a cause. */
static inline void G_GNUC_PRINTF (2, 3)
    world_trace (struct world *world, const char *fmt, ...)
{
  if (getenv ("PAPAYALOFT_TRACE") == NULL)
    return;
  va_list args;
  va_start (args, fmt);
  fprintf (stderr, "%9.4f ", (double)world_now (world) / 1e6);
  vfprintf (stderr, fmt, args);
  fputc ('\n', stderr);
  va_end (args);
}

/* Workers.  */

static inline void world_answer_look (struct world *world,
                                      struct world_worker *w);

/* Ends what is due by now; the waiting look is answered.  */
static inline void
world_advance_worker (struct world *world, struct world_worker *w)
{
  guint before = w->model.ended->len;
  if (model_advance (&w->model, world_now (world)) == 0)
    return;
  for (guint i = before; i < w->model.ended->len; i++)
    {
      const struct lease_ended *end
          = &g_array_index (w->model.ended, struct lease_ended, i);
      world_trace (world, "end %016" PRIx64 ".%u run %u on %s how %d",
                   end->id.job, end->id.index, end->id.run, w->id,
                   (int)end->how);
    }
  if (w->look != NULL)
    world_answer_look (world, w);
}

static inline void
world_worker_due (struct world *world, struct world_event *event)
{
  struct world_worker *w = &world->workers[event->to];
  if (!w->up)
    return;
  world_advance_worker (world, w);
}

static inline void
world_wake_worker (struct world *world, struct world_worker *w)
{
  int64_t due_us = model_due_us (&w->model);
  if (due_us == INT64_MAX)
    return;
  struct world_event *event = world_event (
      world, MAX (due_us - world_now (world), 0), world_worker_due);
  event->to = w->index;
  world_schedule (world, event);
}

/* Whether the task runs on another worker.  */
static inline bool
world_runs_elsewhere (struct world *world, const struct world_worker *here,
                      const struct lease_run_id *id)
{
  for (int i = 0; i < world->n_workers; i++)
    {
      struct world_worker *w = &world->workers[i];
      if (!w->up || w == here)
        continue;
      world_advance_worker (world, w);
      for (guint k = 0; k < w->model.runs->len; k++)
        if (lease_same_task (
                &g_array_index (w->model.runs, struct model_run, k).id, id))
          return true;
    }
  return false;
}

static inline void
world_check_start (struct world *world, struct world_worker *w,
                   const struct world_event *event)
{
  struct pack_amount none = { 0 };
  world->starts++;
  world_trace (world, "start %016" PRIx64 ".%u run %u on %s by i%d",
               event->id.job, event->id.index, event->id.run, w->id,
               event->from);
  if (world_runs_elsewhere (world, w, &event->id))
    {
      world->twice++;
      world_fault (world, "TWICE", event->id.job, event->id.index);
    }
  if (!pack_fits (w->model.capacity, model_used (&w->model), none))
    {
      world->over++;
      world_fault (world, "LIMIT", event->id.job, event->id.index);
    }
}

static inline enum lease_reply
world_apply_start (struct world *world, struct world_worker *w,
                   const struct world_event *event)
{
  bool begun;
  struct model_start start = {
    .token = event->token,
    .deadline_us = event->deadline_ms * 1000,
    .id = event->id,
    .size = event->size,
    .run_us = w->hangs ? 60000000 : event->run_us,
    .how
    = world_chance (world, w->fail_share) ? LEASE_HOW_FAILED : LEASE_HOW_DONE,
  };
  world_advance_worker (world, w);
  enum lease_reply reply
      = model_start (&w->model, &start, world_now (world), &begun);
  if (begun)
    world_check_start (world, w, event);
  world_wake_worker (world, w);
  return reply;
}

static inline enum lease_reply
world_apply_stop (struct world *world, struct world_worker *w,
                  const struct world_event *event)
{
  world_advance_worker (world, w);
  enum lease_reply reply
      = model_stop (&w->model, event->token, &event->id, world_now (world),
                    world_between (world, 1000, WORLD_STOP_US));
  world_wake_worker (world, w);
  return reply;
}

/* Answers on their way back.  */

static inline struct cell *
world_cell (struct world *world, int instance, uint64_t life)
{
  struct world_instance *in = &world->instances[instance];
  return in->cell != NULL && in->life == life && !in->frozen ? in->cell : NULL;
}

static inline void
world_turn (struct world *world, int instance)
{
  struct world_instance *in = &world->instances[instance];
  if (in->cell != NULL && !in->frozen)
    cell_turn (in->cell);
}

struct world_look_answer
{
  struct world_event base; /* first member */
  struct lease_look_result result;
  struct lease_running running[64];
  struct lease_ended ended[256];
};

static inline void
world_look_arrives (struct world *world, struct world_event *event)
{
  struct world_look_answer *answer = (struct world_look_answer *)event;
  struct cell *cell = world_cell (world, event->from, event->life);
  if (cell == NULL)
    return;
  if (world->cut_worker[event->from][event->to])
    answer->result = (struct lease_look_result){ .reply = LEASE_REPLY_NONE };
  lease_look_done (cell_leases (cell), world->workers[event->to].key,
                   event->token, &answer->result, world_now (world));
  world_turn (world, event->from);
}

static inline void
world_send_look (struct world *world, const struct world_event *look,
                 enum lease_reply reply, int64_t delay_us)
{
  struct world_worker *w = &world->workers[look->to];
  struct world_look_answer *answer = g_new0 (struct world_look_answer, 1);
  answer->base = *look;
  answer->base.at_us = world_now (world) + delay_us;
  answer->base.seq = world->seq++;
  answer->base.fire = world_look_arrives;
  answer->result.reply = reply;
  answer->result.clock_ms = world_now (world) / 1000;
  answer->result.born_ms = w->born_ms;
  answer->result.running = answer->running;
  answer->result.ended = answer->ended;
  for (guint i = 0; reply == LEASE_REPLY_OK && i < w->model.runs->len; i++)
    answer->running[answer->result.n_running++].id
        = g_array_index (w->model.runs, struct model_run, i).id;
  for (guint i = 0;
       reply == LEASE_REPLY_OK && i < w->model.ended->len && i < 256; i++)
    answer->ended[answer->result.n_ended++]
        = g_array_index (w->model.ended, struct lease_ended, i);
  world_schedule (world, &answer->base);
}

static inline void
world_answer_look (struct world *world, struct world_worker *w)
{
  struct world_event *look = w->look;
  w->look = NULL;
  world_send_look (world, look, LEASE_REPLY_OK, world_delay (world));
  g_free (look);
}

static inline void
world_look_times_out (struct world *world, struct world_event *event)
{
  struct world_worker *w = &world->workers[event->to];
  if (w->look != NULL && w->look->seq == event->seq && w->up)
    world_answer_look (world, w);
}

static inline void
world_look_reaches (struct world *world, struct world_event *event)
{
  struct world_worker *w = &world->workers[event->to];
  if (!w->up || world->cut_worker[event->from][event->to])
    {
      world_send_look (world, event, LEASE_REPLY_NONE,
                       WORLD_ORDER_TIMEOUT_US + event->wait_ms * 1000);
      return;
    }
  world_advance_worker (world, w);
  if (!model_obeys (&w->model, event->token))
    {
      world_send_look (world, event, LEASE_REPLY_FENCED, world_delay (world));
      return;
    }
  if (event->deadline_ms != 0)
    model_renew (&w->model, event->deadline_ms * 1000, world_now (world));
  world_wake_worker (world, w);
  model_acknowledge (&w->model, event->last_end);
  if (w->model.ended->len > 0 || event->wait_ms == 0)
    {
      world_send_look (world, event, LEASE_REPLY_OK, world_delay (world));
      return;
    }
  if (w->look != NULL)
    world_answer_look (world, w);
  w->look = g_memdup2 (event, sizeof *event);
  struct world_event *timeout
      = world_event (world, event->wait_ms * 1000, world_look_times_out);
  timeout->to = event->to;
  timeout->seq = w->look->seq;
  world_schedule (world, timeout);
}

static inline void
world_start_arrives (struct world *world, struct world_event *event)
{
  struct cell *cell = world_cell (world, event->from, event->life);
  if (cell == NULL)
    return;
  lease_start_done (cell_leases (cell), world->workers[event->to].key,
                    event->token, &event->id, event->reply, world_now (world));
  world_turn (world, event->from);
}

static inline void
world_stop_arrives (struct world *world, struct world_event *event)
{
  struct cell *cell = world_cell (world, event->from, event->life);
  if (cell == NULL)
    return;
  lease_stop_done (cell_leases (cell), world->workers[event->to].key,
                   event->token, &event->id, event->reply, world_now (world));
  world_turn (world, event->from);
}

static inline void
world_reply (struct world *world, const struct world_event *event,
             enum lease_reply reply, int64_t delay_us,
             void (*fire) (struct world *, struct world_event *))
{
  struct world_event *answer = g_memdup2 (event, sizeof *event);
  answer->at_us = world_now (world) + delay_us;
  answer->seq = world->seq++;
  answer->fire = fire;
  answer->reply = reply;
  world_schedule (world, answer);
}

static inline void
world_order_reaches (struct world *world, struct world_event *event,
                     enum lease_reply (*apply) (struct world *,
                                                struct world_worker *,
                                                const struct world_event *),
                     void (*arrives) (struct world *, struct world_event *))
{
  struct world_worker *w = &world->workers[event->to];
  bool reached = w->up && !world->cut_worker[event->from][event->to];
  enum lease_reply reply
      = reached ? apply (world, w, event) : LEASE_REPLY_NONE;
  if (event->no_answer)
    return;
  world_reply (world, event, reply,
               reply == LEASE_REPLY_NONE ? WORLD_ORDER_TIMEOUT_US
                                         : world_delay (world),
               arrives);
}

static inline void
world_start_reaches (struct world *world, struct world_event *event)
{
  world_order_reaches (world, event, world_apply_start, world_start_arrives);
}

static inline void
world_stop_reaches (struct world *world, struct world_event *event)
{
  world_order_reaches (world, event, world_apply_stop, world_stop_arrives);
}

/* Calls of the instances.  */

static inline int
world_worker_of (struct world *world, uint64_t key)
{
  for (int i = 0; i < world->n_workers; i++)
    if (world->workers[i].key == key)
      return i;
  return -1;
}

static inline struct world_event *
world_call (struct world_instance *in, struct lease_worker *w,
            void (*fire) (struct world *, struct world_event *))
{
  struct world_event *event
      = world_event (in->world, world_delay (in->world), fire);
  event->from = in->index;
  event->to = world_worker_of (in->world, w->info.worker);
  event->life = in->life;
  event->token = w->token;
  return event;
}

static void
world_on_look (void *ctx, struct lease_worker *w, int64_t deadline_ms,
               int wait_ms)
{
  struct world_instance *in = ctx;
  struct world_event *event = world_call (in, w, world_look_reaches);
  event->deadline_ms = deadline_ms;
  event->wait_ms = wait_ms;
  event->last_end = w->last_end;
  world_schedule (in->world, event);
}

/* Some orders get no answer and are carried out seconds later.  */
static inline void
world_send_order (struct world *world, struct world_event *event,
                  void (*arrives) (struct world *, struct world_event *))
{
  if (world_chance (world, world->late_share))
    {
      world_reply (world, event, LEASE_REPLY_NONE, WORLD_ORDER_TIMEOUT_US,
                   arrives);
      event->no_answer = true;
      event->at_us += world_between (world, 2000000, 12000000);
    }
  world_schedule (world, event);
}

static void
world_on_start (void *ctx, struct lease_worker *w, const struct lease_run *run,
                int64_t deadline_ms)
{
  struct world_instance *in = ctx;
  struct world_event *event = world_call (in, w, world_start_reaches);
  struct world_job *job = g_hash_table_lookup (in->world->jobs, &run->id.job);
  event->deadline_ms = deadline_ms;
  event->id = run->id;
  event->size = run->size;
  event->run_us = job->run_us * world_between (in->world, 80, 120) / 100;
  world_send_order (in->world, event, world_start_arrives);
}

static void
world_on_stop (void *ctx, struct lease_worker *w,
               const struct lease_run_id *id)
{
  struct world_instance *in = ctx;
  struct world_event *event = world_call (in, w, world_stop_reaches);
  event->id = *id;
  world_send_order (in->world, event, world_stop_arrives);
}

static void
world_on_release (void *ctx, struct lease_worker *w)
{
  (void)ctx;
  (void)w;
}

static inline int
world_instance_at (struct world *world, struct pl_addr addr)
{
  int index = (int)(addr.ip & 0xff) - 1;
  return index >= 0 && index < world->n_instances ? index : -1;
}

static inline struct pl_addr
world_addr (int index)
{
  return (struct pl_addr){ 0x0a000000u + (uint32_t)index + 1, 7000 };
}

static inline void
world_link_opens (struct world *world, struct world_event *event)
{
  struct cell *cell = world_cell (world, event->from, event->life);
  if (cell == NULL)
    return;
  struct world_instance *in = &world->instances[event->from];
  struct world_link *link
      = g_ptr_array_index (in->links, (guint)event->wait_ms);
  struct world_instance *to = &world->instances[event->to];
  if (to->cell != NULL && !world->cut[event->from][event->to]
      && !world->cut[event->to][event->from])
    {
      link->up = true;
      cell_link_up (cell, link);
      world_turn (world, event->from);
      return;
    }
  struct world_event *again = g_memdup2 (event, sizeof *event);
  again->at_us = world_now (world) + WORLD_RECONNECT_US;
  again->seq = world->seq++;
  world_schedule (world, again);
}

static void
world_open_link (struct world *world, struct world_instance *in, guint index)
{
  struct world_link *link = g_ptr_array_index (in->links, index);
  struct world_event *event
      = world_event (world, world_delay (world), world_link_opens);
  event->from = in->index;
  event->to = world_instance_at (world, link->addr);
  event->life = in->life;
  event->wait_ms = (int)index;
  world_schedule (world, event);
}

static void *
world_on_connect (void *ctx, struct pl_addr addr)
{
  struct world_instance *in = ctx;
  struct world_link *link = g_new0 (struct world_link, 1);
  link->world = in->world;
  link->from = in->index;
  link->addr = addr;
  g_ptr_array_add (in->links, link);
  world_open_link (in->world, in, in->links->len - 1);
  return link;
}

static void
world_on_disconnect (void *ctx, void *link)
{
  (void)ctx;
  ((struct world_link *)link)->up = false;
}

static inline void
world_frame_arrives (struct world *world, struct world_event *event)
{
  struct world_instance *to = &world->instances[event->to];
  if (world->cut[event->from][event->to] || to->frozen)
    {
      if (!world->hold_frames && !to->frozen)
        return;
      struct world_event *held = g_memdup2 (event, sizeof *event);
      held->frame = g_bytes_ref (event->frame);
      g_ptr_array_add (world->held, held);
      return;
    }
  if (to->cell == NULL || to->life != event->life)
    return;
  gsize len;
  const char *data = g_bytes_get_data (event->frame, &len);
  cell_frame (to->cell, &to->peer_of[event->from],
              (struct pl_str){ data, len });
  world_turn (world, event->to);
}

static void
world_on_send (void *ctx, void *opaque, struct pl_str frame)
{
  struct world_instance *in = ctx;
  struct world_link *link = opaque;
  if (!link->up)
    return;
  struct world *world = in->world;
  int to = world_instance_at (world, link->addr);
  struct world_event *event = world_event (world, 500, world_frame_arrives);
  event->from = in->index;
  event->to = to;
  event->life = world->instances[to].life;
  event->frame = g_bytes_new (frame.data, frame.len);
  world_schedule (world, event);
}

static void
world_on_wake (void *ctx)
{
  (void)ctx;
}

static int64_t
world_on_wall_ms (void *ctx)
{
  struct world_instance *in = ctx;
  return 1000000 + world_now (in->world) / 1000;
}

static void
world_on_answer (void *ctx, struct own_job *job,
                 const struct own_answer *answer)
{
  struct world_instance *in = ctx;
  struct world_job *known = g_hash_table_lookup (in->world->jobs, &job->id);
  if (known->at != in->index || known->life != in->life)
    return;
  known->answered = true;
  known->code = answer->code;
  in->world->answers[MIN (answer->code, PL_CODE_LIMIT - 1)]++;
  if (answer->code == PL_OK)
    in->world->complete++;
  if (answer->code == PL_DEADLINE_LOST && job->started)
    in->world->false_refusals++;
}

static void
world_on_config (void *ctx, int64_t version, struct pl_str text)
{
  struct world_instance *in = ctx;
  cell_set_config (in->cell, version, text);
}

static const struct cell_ops world_cell_ops = {
  .connect = world_on_connect,
  .disconnect = world_on_disconnect,
  .send = world_on_send,
  .wake = world_on_wake,
  .wall_ms = world_on_wall_ms,
  .look = world_on_look,
  .start = world_on_start,
  .stop = world_on_stop,
  .release = world_on_release,
  .answer = world_on_answer,
  .config = world_on_config,
};

/* Building and changing the deployment.  */

static inline const char *
world_domain (int domain)
{
  static const char *const names[WORLD_DOMAINS] = { "a", "b", "c", "d" };
  return names[domain];
}

static inline void
world_tell_worker (struct world *world, struct world_instance *in,
                   const struct world_worker *w)
{
  struct lease_info info = {
    .worker = w->key,
    .id = w->id,
    .addr = { 0x0b000000u + (uint32_t)w->index, 8000 },
    .service = 1,
    .domain = cell_key (pl_str (world_domain (w->domain))),
    .capacity = w->model.capacity,
    .born_ms = w->born_ms,
    .draining = w->draining,
  };
  (void)world;
  if (in->cell != NULL)
    cell_set_worker (in->cell, &info);
}

static inline void
world_tick_instance (struct world *world, struct world_event *event)
{
  struct cell *cell = world_cell (world, event->from, event->life);
  struct world_instance *in = &world->instances[event->from];
  if (in->cell == NULL || in->life != event->life)
    return;
  if (cell != NULL)
    cell_tick (cell);
  struct world_event *again
      = world_event (world, CELL_TICK_US, world_tick_instance);
  again->from = event->from;
  again->life = event->life;
  world_schedule (world, again);
}

static inline void
world_boot (struct world *world, int index)
{
  struct world_instance *in = &world->instances[index];
  char name[16];
  g_snprintf (name, sizeof name, "i%d", index);
  in->life = world_random (world) | 1;
  in->frozen = false;
  in->links = g_ptr_array_new_with_free_func (g_free);
  memset (in->peer_of, 0, sizeof in->peer_of);
  struct cell_config config = {
    .clock = &world->clock.base,
    .id = in->life,
    .name = name,
    .domain = world_domain (in->domain),
    .addr = world_addr (index),
  };
  in->cell = cell_new (&config, &world_cell_ops, in);
  for (int i = 0; i < world->n_instances; i++)
    cell_set_registered (in->cell, world_addr (i),
                         world->instances[i].cell != NULL);
  for (int i = 0; i < world->n_workers; i++)
    if (world->workers[i].up)
      world_tell_worker (world, in, &world->workers[i]);
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].cell != NULL && i != index)
      cell_set_registered (world->instances[i].cell, world_addr (index), true);
  cell_set_registry_fresh (in->cell, !world->store_down);
  cell_set_ready (in->cell, true);
  struct world_event *tick = world_event (world, 1000, world_tick_instance);
  tick->from = index;
  tick->life = in->life;
  world_schedule (world, tick);
}

static inline void
world_links_down (struct world *world, int index)
{
  for (int i = 0; i < world->n_instances; i++)
    {
      struct world_instance *in = &world->instances[i];
      for (guint k = 0; in->cell != NULL && k < in->links->len; k++)
        {
          struct world_link *link = g_ptr_array_index (in->links, k);
          if (!link->up || world_instance_at (world, link->addr) != index)
            continue;
          link->up = false;
          world_open_link (world, in, k);
        }
    }
}

/* Ends an instance; SILENT: its peers notice by silence only.  */
static inline void
world_kill (struct world *world, int index, bool silent)
{
  struct world_instance *in = &world->instances[index];
  if (in->cell == NULL)
    return;
  uint64_t life = in->life;
  cell_free (in->cell);
  in->cell = NULL;
  g_ptr_array_unref (in->links);
  world_links_down (world, index);
  for (int i = 0; i < world->n_instances; i++)
    {
      struct world_instance *peer = &world->instances[i];
      if (peer->cell == NULL)
        continue;
      if (!silent && !peer->frozen)
        cell_link_closed (peer->cell, life);
      cell_set_registered (peer->cell, world_addr (index), false);
    }
}

static inline void
world_freeze (struct world *world, int index, bool frozen)
{
  world->instances[index].frozen = frozen;
}

/* Delivers frames that a cut or a freeze has held up.  */
static inline void
world_release_held (struct world *world)
{
  GPtrArray *held = world->held;
  world->held = g_ptr_array_new ();
  for (guint i = 0; i < held->len; i++)
    {
      struct world_event *event = g_ptr_array_index (held, i);
      event->at_us = world_now (world) + 100 + (int64_t)i;
      event->seq = world->seq++;
      world_schedule (world, event);
    }
  g_ptr_array_unref (held);
}

static inline void
world_cut_pair (struct world *world, int a, int b, bool cut)
{
  world->cut[a][b] = cut;
}

/* Cuts a failure domain off from the others, its workers included.  */
static inline void
world_cut_domain (struct world *world, int domain, bool cut)
{
  for (int i = 0; i < world->n_instances; i++)
    {
      bool inside = world->instances[i].domain == domain;
      for (int k = 0; k < world->n_instances; k++)
        if (inside != (world->instances[k].domain == domain))
          world->cut[i][k] = cut;
      for (int k = 0; k < world->n_workers; k++)
        if (inside != (world->workers[k].domain == domain))
          world->cut_worker[i][k] = cut;
      if (inside && world->instances[i].cell != NULL)
        cell_set_registry_fresh (world->instances[i].cell, !cut);
    }
  if (!cut)
    world_release_held (world);
}

static inline void
world_crash_worker (struct world *world, int index)
{
  struct world_worker *w = &world->workers[index];
  model_reset (&w->model);
  g_clear_pointer (&w->look, g_free);
  w->up = false;
}

static inline void
world_boot_worker (struct world *world, int index)
{
  struct world_worker *w = &world->workers[index];
  w->up = true;
  w->born_ms = world_now (world) / 1000 + 1;
  for (int i = 0; i < world->n_instances; i++)
    world_tell_worker (world, &world->instances[i], w);
}

static inline void
world_add_worker (struct world *world, int domain, int32_t cpu)
{
  struct world_worker *w = &world->workers[world->n_workers];
  w->index = world->n_workers++;
  w->domain = domain;
  g_snprintf (w->id, sizeof w->id, "w%d", w->index);
  w->key = cell_key (pl_str (w->id));
  w->born_ms = 1;
  w->up = true;
  struct pack_amount capacity = { cpu, 131072, 0 };
  model_init (&w->model, capacity);
}

static inline struct world *
world_new (uint64_t seed, int n_instances, int n_workers, int n_domains)
{
  struct world *world = g_new0 (struct world, 1);
  pl_manual_clock_init (&world->clock, 1000000);
  world->rng = seed * 0x9e3779b97f4a7c15u + 1;
  world->events = g_sequence_new (NULL);
  world->held = g_ptr_array_new ();
  world->jobs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  world->n_instances = n_instances;
  for (int i = 0; i < n_workers; i++)
    world_add_worker (world, i % n_domains, i % 3 == 2 ? 48000 : 32000);
  for (int i = 0; i < n_instances; i++)
    {
      world->instances[i].world = world;
      world->instances[i].index = i;
      world->instances[i].domain = i % n_domains;
    }
  for (int i = 0; i < n_instances; i++)
    world_boot (world, i);
  return world;
}

static inline void
world_event_free (struct world_event *event)
{
  if (event->frame != NULL)
    g_bytes_unref (event->frame);
  g_free (event);
}

static inline void
world_free (struct world *world)
{
  for (int i = 0; i < world->n_instances; i++)
    world_kill (world, i, true);
  GSequenceIter *it = g_sequence_get_begin_iter (world->events);
  for (; !g_sequence_iter_is_end (it); it = g_sequence_iter_next (it))
    world_event_free (g_sequence_get (it));
  for (guint i = 0; i < world->held->len; i++)
    world_event_free (g_ptr_array_index (world->held, i));
  for (int i = 0; i < world->n_workers; i++)
    {
      model_clear (&world->workers[i].model);
      g_free (world->workers[i].look);
    }
  g_sequence_free (world->events);
  g_ptr_array_unref (world->held);
  g_hash_table_unref (world->jobs);
  g_free (world);
}

/* Plays events until the time.  */
static inline void
world_run_until (struct world *world, int64_t until_us)
{
  for (;;)
    {
      GSequenceIter *it = g_sequence_get_begin_iter (world->events);
      if (g_sequence_iter_is_end (it))
        break;
      struct world_event *event = g_sequence_get (it);
      if (event->at_us > until_us)
        break;
      g_sequence_remove (it);
      world->clock.now_us = MAX (world->clock.now_us, event->at_us);
      event->fire (world, event);
      world_event_free (event);
    }
  world->clock.now_us = until_us;
}

static inline void
world_run_for (struct world *world, int64_t us)
{
  world_run_until (world, world_now (world) + us);
}

/* A caller's job at INSTANCE.  */
static inline struct world_job *
world_submit_at (struct world *world, int instance, uint64_t id,
                 unsigned n_tasks, int64_t run_us)
{
  struct world_instance *in = &world->instances[instance];
  if (in->cell == NULL || in->frozen)
    return NULL;
  struct world_job *job = g_hash_table_lookup (world->jobs, &id);
  if (job == NULL)
    {
      job = g_new0 (struct world_job, 1);
      job->id = id;
      job->n_tasks = n_tasks;
      job->size
          = (struct pack_amount){ (int32_t)world_between (world, 11000, 20000),
                                  64, 0 };
      job->run_us = run_us;
      g_hash_table_insert (world->jobs, &job->id, job);
    }
  if (own_find (cell_jobs (in->cell), id) != NULL)
    return job;
  job->at = instance;
  job->life = in->life;
  job->lost_us = 0;
  job->answered = false;
  struct own_order order = {
    .job = id,
    .route = "r",
    .service = "s",
    .service_key = 1,
    .spec = pl_str ("spec"),
    .n_tasks = job->n_tasks,
    .size = job->size,
    .declared_us = job->run_us,
    .stretch = 1.6,
    .target_us = 60000,
    .deadline_us = world_now (world) + WORLD_JOB_DEADLINE_US,
    .max_attempts = 3,
  };
  (void)own_submit (cell_jobs (in->cell), &order, job);
  world_turn (world, instance);
  return job;
}

static inline struct world_job *
world_submit (struct world *world, int instance, unsigned n_tasks,
              int64_t run_us)
{
  return world_submit_at (world, instance, world_random (world) | 1, n_tasks,
                          run_us);
}

/* Callers whose instance has ended send their jobs again.  */
static inline void
world_resend (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, world->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct world_job *job = value;
      const struct world_instance *in = &world->instances[job->at];
      bool lost = in->cell == NULL || in->life != job->life;
      if (job->answered || !lost)
        continue;
      if (job->lost_us == 0)
        job->lost_us = world_now (world);
      if (world_now (world) - job->lost_us < WORLD_RESEND_US)
        continue;
      int instance
          = (int)(world_random (world) % (uint64_t)world->n_instances);
      (void)world_submit_at (world, instance, job->id, job->n_tasks,
                             job->run_us);
    }
}
