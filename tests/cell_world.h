/* An emulated deployment (a "world") for tests of lib/cell: instances, workers
   modelled by worker_model.h, and a network, in one process on a manual clock
   with seeded randomness.  Tests inject faults: processes end or freeze, links
   are cut, workers crash, orders are late.  At every start it checks that no
   task runs twice at the same time and that no worker exceeds its capacity. */
#pragma once

#include "world_links.h"

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
world_on_answer (void *ctx, struct owner_job *job,
                 const struct owner_answer *answer)
{
  struct world_instance *in = ctx;
  struct world_job *known = g_hash_table_lookup (in->world->jobs, &job->id);
  if (known->instance != in->index || known->incarnation != in->incarnation)
    return;
  known->answered = true;
  known->answered_us = world_now (in->world);
  known->code = answer->code;
  in->world->answers[MIN (answer->code, WORLD_CODE_LIMIT - 1)]++;
  if (answer->code == PL_OK)
    in->world->complete++;
  if (answer->code == PL_DEADLINE_LOST
      && (job->started || (known->ran && known->attempts == 1)))
    in->world->false_refusals++;
}

static void
world_on_found (void *ctx, void *user, bool cancel,
                enum cell_search_result result)
{
  struct world_instance *in = ctx;
  (void)user;
  (void)cancel;
  in->world->searches[result]++;
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
  .reconnect = world_on_reconnect,
  .send = world_on_send,
  .wake = world_on_wake,
  .wall_ms = world_on_wall_ms,
  .poll = world_on_poll,
  .start = world_on_start,
  .stop = world_on_stop,
  .close_worker = world_on_close_worker,
  .answer = world_on_answer,
  .found = world_on_found,
  .config = world_on_config,
};

/* Building and changing the deployment.  */

static inline const char *
world_domain (int domain)
{
  static const char *const names[]
      = { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m",
          "n", "o", "p", "q", "r", "s", "t", "u", "v", "w", "x", "y", "z" };
  return names[domain];
}

static inline void
world_register_worker (struct world *world, struct world_instance *in,
                       const struct world_worker *w)
{
  struct lease_worker_info info = {
    .worker = w->key,
    .id = w->id,
    .addr = { 0x0b000000u + (uint32_t)w->index, 8000 },
    .service = 1,
    .domain = cell_name_hash (pl_str (world_domain (w->domain))),
    .labels = { w->label },
    .capacity = w->model.capacity,
    .incarnation_ms = w->incarnation_ms,
    .draining = w->draining,
    .revision = w->revision,
    .warmup_left_ms = w->warmup_left_ms,
  };
  if (in->cell == NULL)
    return;
  cell_set_worker (in->cell, &info);
  cell_set_registry_revision (in->cell, world->registry_revision);
}

/* The instance reads the entries of all workers, as it does when it starts or
   begins to read the registry for its domain.  */
static inline void
world_read_registry (struct world *world, struct world_instance *in)
{
  for (int i = 0; i < world->n_workers; i++)
    if (world->workers[i].up)
      world_register_worker (world, in, &world->workers[i]);
  in->reads_registry = true;
}

/* The instances that read the registry read the worker's entry.  */
static inline void
world_announce_worker (struct world *world, const struct world_worker *w,
                       int except)
{
  for (int i = 0; i < world->n_instances; i++)
    if (i != except && world->instances[i].reads_registry)
      world_register_worker (world, &world->instances[i], w);
}

static inline void
world_tick_instance (struct world *world, struct world_event *event)
{
  struct cell *cell = world_cell (world, event->from, event->incarnation);
  struct world_instance *in = &world->instances[event->from];
  if (in->cell == NULL || in->incarnation != event->incarnation)
    return;
  if (cell != NULL)
    {
      bool reads = cell_reads_registry (cell);
      if (reads && !in->reads_registry)
        world_read_registry (world, in);
      in->reads_registry = reads;
      cell_tick (cell);
    }
  struct world_event *again
      = world_new_event (world, CELL_TICK_US, world_tick_instance);
  again->from = event->from;
  again->incarnation = event->incarnation;
  world_schedule (world, again);
}

/* The instance TO reads from the registry whether INSTANCE is registered.  */
static inline void
world_tell_registered (struct world *world, int to, int instance,
                       bool registered)
{
  cell_set_instance_registered (
      world->instances[to].cell, world_addr (instance),
      pl_str (world_domain (world->instances[instance].domain)), registered);
}

static inline void
world_boot (struct world *world, int index)
{
  struct world_instance *in = &world->instances[index];
  char name[16];
  g_snprintf (name, sizeof name, "i%d", index);
  in->incarnation = world_random (world) | 1;
  in->frozen = false;
  in->links = g_ptr_array_new_with_free_func (g_free);
  in->missed = g_ptr_array_new_with_free_func (g_free);
  memset (in->link_peers, 0, sizeof in->link_peers);
  struct cell_config config = {
    .clock = &world->clock.base,
    .id = in->incarnation,
    .name = name,
    .domain = world_domain (in->domain),
    .addr = world_addr (index),
    .cpu_share = in->cpu_share,
  };
  in->cell = cell_new (&config, &world_cell_ops, in);
  for (int i = 0; i < world->n_instances; i++)
    world_tell_registered (world, index, i, world->instances[i].cell != NULL);
  world_read_registry (world, in);
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].cell != NULL && i != index)
      world_tell_registered (world, i, index, true);
  cell_set_registry_fresh (in->cell, !world->registry_down);
  cell_set_ready (in->cell, true);
  struct world_event *tick
      = world_new_event (world, 1000, world_tick_instance);
  tick->from = index;
  tick->incarnation = in->incarnation;
  world_schedule (world, tick);
}

static inline void
world_close_links_to (struct world *world, int index)
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

static inline void
world_event_free (struct world_event *event)
{
  if (event->frame != NULL)
    g_bytes_unref (event->frame);
  g_free (event);
}

/* Resets the connection of the link from one instance to another: what is
   under way is lost, and the link connects again after WORLD_RECONNECT_US.  */
static inline void
world_reset_link (struct world *world, int from, int to)
{
  struct world_instance *in = &world->instances[from];
  struct world_instance *peer = &world->instances[to];
  GSequenceIter *it = g_sequence_get_begin_iter (world->events);
  while (!g_sequence_iter_is_end (it))
    {
      struct world_event *event = g_sequence_get (it);
      GSequenceIter *next = g_sequence_iter_next (it);
      if (event->handler == world_frame_arrives && event->from == from
          && event->to == to)
        {
          g_sequence_remove (it);
          world_event_free (event);
        }
      it = next;
    }
  for (guint k = 0; in->cell != NULL && k < in->links->len; k++)
    {
      struct world_link *link = g_ptr_array_index (in->links, k);
      if (!link->up || world_instance_at (world, link->addr) != to)
        continue;
      link->up = false;
      cell_outgoing_link_down (in->cell, link, false);
      if (peer->cell != NULL)
        cell_incoming_link_closed (peer->cell, in->incarnation);
      struct world_event *again
          = world_new_event (world, WORLD_RECONNECT_US, world_try_link);
      again->from = from;
      again->to = to;
      again->incarnation = in->incarnation;
      again->wait_ms = (int)k;
      again->attempt = ++link->attempt;
      world_schedule (world, again);
    }
}

static inline void
world_link_closes (struct world *world, struct world_event *event)
{
  struct world_instance *peer = &world->instances[event->to];
  if (peer->cell != NULL && !peer->frozen)
    cell_incoming_link_closed (peer->cell, event->incarnation);
}

/* The peer TO of an instance that has ended learns that its link was closed,
   after the frames that the instance has sent on it.  */
static inline void
world_close_link (struct world *world, int to, uint64_t incarnation)
{
  struct world_event *event = world_new_event (
      world, WORLD_FRAME_DELAY_US + world->link_delay_us, world_link_closes);
  event->to = to;
  event->incarnation = incarnation;
  world_schedule (world, event);
}

/* Ends an instance.  If SILENT, the peers are not told that its links were
   closed, and notice only that they hear nothing of it.  */
static inline void
world_kill (struct world *world, int index, bool silent)
{
  struct world_instance *in = &world->instances[index];
  if (in->cell == NULL)
    return;
  uint64_t incarnation = in->incarnation;
  cell_free (in->cell);
  in->cell = NULL;
  g_ptr_array_unref (in->links);
  g_ptr_array_unref (in->missed);
  world_close_links_to (world, index);
  for (int i = 0; i < world->n_instances; i++)
    {
      struct world_instance *peer = &world->instances[i];
      if (peer->cell == NULL)
        continue;
      if (!silent)
        world_close_link (world, i, incarnation);
      world_tell_registered (world, i, index, false);
    }
}

static inline void
world_set_frozen (struct world *world, int index, bool frozen)
{
  world->instances[index].frozen = frozen;
}

/* Delivers the frames that were delayed by a cut link or a frozen instance. */
static inline void
world_deliver_delayed_frames (struct world *world)
{
  GPtrArray *delayed_frames = world->delayed_frames;
  world->delayed_frames = g_ptr_array_new ();
  for (guint i = 0; i < delayed_frames->len; i++)
    {
      struct world_event *event = g_ptr_array_index (delayed_frames, i);
      event->at_us = world_now (world) + 100 + (int64_t)i;
      event->seq = world->seq++;
      world_schedule (world, event);
    }
  g_ptr_array_unref (delayed_frames);
}

/* Lets a frozen instance go on.  If TIMERS_FIRST, its calls that have timed
   out have failed for it, and a tick comes, before it reads what has arrived
   meanwhile: so it is for a process that was stopped by a signal.  */
static inline void
world_thaw (struct world *world, int index, bool timers_first)
{
  struct world_instance *in = &world->instances[index];
  GPtrArray *missed = in->missed;
  in->missed = g_ptr_array_new_with_free_func (g_free);
  in->frozen = false;
  for (guint i = 0; i < missed->len; i++)
    {
      struct world_event *event = g_ptr_array_index (missed, i);
      if (timers_first && event->expires_us <= world_now (world))
        event->reply = LEASE_REPLY_NO_ANSWER;
      event->handler (world, event);
    }
  g_ptr_array_unref (missed);
  if (timers_first)
    cell_tick (in->cell);
  world_deliver_delayed_frames (world);
}

/* Whether the registry lists an instance, for its peers.  */
static inline void
world_set_registered (struct world *world, int index, bool registered)
{
  for (int i = 0; i < world->n_instances; i++)
    if (i != index && world->instances[i].cell != NULL)
      world_tell_registered (world, i, index, registered);
}

static inline void
world_set_link_cut (struct world *world, int a, int b, bool cut)
{
  world->cut[a][b] = cut;
}

/* Cuts a failure domain and its workers off from the others, or heals the cut
   and delivers the delayed frames.  */
static inline void
world_set_domain_cut (struct world *world, int domain, bool cut)
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
    world_deliver_delayed_frames (world);
}

/* Starts a worker's process; the instance EXCEPT does not read its entry.  */
static inline void
world_boot_worker_unseen (struct world *world, int index, int except)
{
  struct world_worker *w = &world->workers[index];
  w->up = true;
  w->booted_us = world_now (world);
  w->incarnation_ms = world_now (world) / 1000 + 1;
  w->revision = ++world->registry_revision;
  world_announce_worker (world, w, except);
  world_deliver_waiting_calls (world, w);
}

static inline void
world_boot_worker (struct world *world, int index)
{
  world_boot_worker_unseen (world, index, -1);
}

/* Changes what a worker says of itself; the instance EXCEPT does not read it
   from the registry.  */
static inline void
world_change_worker (struct world *world, int index, int32_t cpu,
                     bool draining, int except)
{
  struct world_worker *w = &world->workers[index];
  w->model.capacity.cpu = cpu;
  w->draining = draining;
  w->revision = ++world->registry_revision;
  world_announce_worker (world, w, except);
}

static inline void
world_add_worker (struct world *world, int domain, int32_t cpu)
{
  struct world_worker *w = &world->workers[world->n_workers];
  w->index = world->n_workers++;
  w->domain = domain;
  g_snprintf (w->id, sizeof w->id, "w%d", w->index);
  w->key = cell_name_hash (pl_str (w->id));
  w->incarnation_ms = 1;
  w->revision = ++world->registry_revision;
  w->up = true;
  w->waiting = g_ptr_array_new ();
  struct planner_resources capacity = { cpu, 131072, 0 };
  model_init (&w->model, capacity);
}

static inline struct world *
world_new (uint64_t seed, int n_instances, int n_workers, int n_domains)
{
  struct world *world = g_new0 (struct world, 1);
  pl_manual_clock_init (&world->clock, 1000000);
  world->rng = seed * 0x9e3779b97f4a7c15u + 1;
  world->events = g_sequence_new (NULL);
  world->delayed_frames = g_ptr_array_new ();
  world->link_peers = g_ptr_array_new_with_free_func (g_free);
  world->jobs
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  world->n_instances = n_instances;
  world->n_domains = n_domains;
  world->call_timeout_us = WORLD_CALL_TIMEOUT_US;
  world->job_deadline_us = WORLD_JOB_DEADLINE_US;
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
world_free (struct world *world)
{
  for (int i = 0; i < world->n_instances; i++)
    world_kill (world, i, true);
  GSequenceIter *it = g_sequence_get_begin_iter (world->events);
  for (; !g_sequence_iter_is_end (it); it = g_sequence_iter_next (it))
    world_event_free (g_sequence_get (it));
  for (guint i = 0; i < world->delayed_frames->len; i++)
    world_event_free (g_ptr_array_index (world->delayed_frames, i));
  for (int i = 0; i < world->n_workers; i++)
    {
      struct world_worker *w = &world->workers[i];
      model_clear (&w->model);
      g_free (w->poll);
      for (guint k = 0; k < w->waiting->len; k++)
        world_event_free (g_ptr_array_index (w->waiting, k));
      g_ptr_array_unref (w->waiting);
    }
  g_sequence_free (world->events);
  g_ptr_array_unref (world->delayed_frames);
  g_ptr_array_unref (world->link_peers);
  g_hash_table_unref (world->jobs);
  g_free (world);
}

/* Handles the events up to the time UNTIL_US.  */
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
      event->handler (world, event);
      world_event_free (event);
    }
  world->clock.now_us = until_us;
}

static inline void
world_run_for (struct world *world, int64_t us)
{
  world_run_until (world, world_now (world) + us);
}

/* Submits a caller's job to INSTANCE, also if the job has been submitted
   before.  Returns null if the instance is down or frozen.  */
static inline struct world_job *
world_submit_job (struct world *world, int instance, uint64_t id,
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
      job->size = (struct planner_resources){
        (int32_t)world_random_between (world, 11000, 20000), 64, 0
      };
      job->run_us = run_us;
      job->per_worker = world->per_worker;
      job->label = world->required_label;
      g_hash_table_insert (world->jobs, &job->id, job);
    }
  if (owner_find_job (cell_jobs (in->cell), id) != NULL)
    return job;
  job->instance = instance;
  job->incarnation = in->incarnation;
  job->lost_us = 0;
  job->answered = false;
  job->attempts++;
  struct owner_submission submission = {
    .job = id,
    .route = "r",
    .service = "s",
    .service_key = 1,
    .spec = pl_str ("spec"),
    .n_tasks = job->n_tasks,
    .per_worker = job->per_worker,
    .required_label = job->label,
    .size = job->size,
    .declared_us = job->run_us,
    .stretch = 1.6,
    .target_us = 60000,
    .deadline_us = world_now (world) + world->job_deadline_us,
    .max_attempts = 3,
  };
  (void)owner_submit_job (cell_jobs (in->cell), &submission, job);
  world_process_queued (world, instance);
  return job;
}

static inline struct world_job *
world_submit (struct world *world, int instance, unsigned n_tasks,
              int64_t run_us)
{
  return world_submit_job (world, instance, world_random (world) | 1, n_tasks,
                           run_us);
}

/* Submits jobs again, to any instance, WORLD_RESEND_US after the end of their
   instance was noticed.  */
static inline void
world_resend_lost_jobs (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, world->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct world_job *job = value;
      const struct world_instance *in = &world->instances[job->instance];
      bool lost = in->cell == NULL || in->incarnation != job->incarnation;
      if (job->answered || !lost)
        continue;
      if (job->lost_us == 0)
        job->lost_us = world_now (world);
      if (world_now (world) - job->lost_us < WORLD_RESEND_US)
        continue;
      int instance
          = (int)(world_random (world) % (uint64_t)world->n_instances);
      (void)world_submit_job (world, instance, job->id, job->n_tasks,
                              job->run_us);
    }
}
