/* Which workers this instance holds, and the holder's messages.  */
#include "cell_priv.h"

#include <xxhash.h>

/* A worker that another holder has fenced off is left alone for a while, so
   that two holders that don't hear each other don't take turns.  */
#define FENCED_RETRY_US 4000000
/* A silent peer whose registration is gone, or unknown while the registry is
   away, is dead after this time.  */
#define PEER_DEAD_US 700000
/* A registered but silent peer is cut off and goes on with its workers.  */
#define PEER_CUT_US 6000000
/* After its start an instance first hears what its peers hold.  */
#define LISTEN_US 250000
#define TOKEN_PER_MS 1024
/* Raises the token above that of a holder whose clock is ahead.  */
#define FENCE_STEP_MS 10000
#define ROOMS_REFRESH_US 1000000

static uint64_t
weight (const char *name, uint64_t worker)
{
  return XXH64 (name, strlen (name), worker);
}

static bool
takes_workers (const struct peer *peer)
{
  return peer->alive && peer->ready && !peer->draining;
}

/* The instance that should hold the worker: the one of highest weight in its
   failure domain, or of all if the domain has none.  0: nobody.  */
static uint64_t
choose_holder (struct cell *cell, const struct known_worker *known)
{
  uint64_t best = 0;
  uint64_t best_weight = 0;
  bool best_near = false;
  if (cell->ready && !cell->draining)
    {
      best = cell->id;
      best_weight = weight (cell->name, known->info.worker);
      best_near = cell->domain == known->info.domain;
    }
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!takes_workers (peer))
        continue;
      bool near = peer->domain == known->info.domain;
      uint64_t w = weight (peer->name, known->info.worker);
      if (best != 0
          && (near < best_near || (near == best_near && w <= best_weight)))
        continue;
      best = peer->id;
      best_weight = w;
      best_near = near;
    }
  return best;
}

/* Whether a silent peer may still be at work on the worker.  */
static bool
may_be_at_work (struct cell *cell, const struct peer *peer, int64_t now_us)
{
  int64_t silence_us = now_us - peer->heard_us;
  bool ended = peer->closed_us != 0 && peer->refused;
  if (ended)
    return false;
  if (cell->registry_fresh && peer->registered)
    return silence_us < PEER_CUT_US;
  return silence_us < PEER_DEAD_US;
}

/* Whether another instance claims the worker and may be at work on it.  */
static bool
claimed_elsewhere (struct cell *cell, const struct known_worker *known,
                   int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!g_hash_table_contains (peer->held, &known->info.worker))
        continue;
      if (peer->alive || may_be_at_work (cell, peer, now_us))
        return true;
    }
  return false;
}

static int64_t
next_token (struct cell *cell, const struct known_worker *known)
{
  int64_t wall_ms = cell->ops->wall_ms (cell->ctx)
                    + (int64_t)known->fences * FENCE_STEP_MS;
  int64_t token = wall_ms * TOKEN_PER_MS + (int64_t)(cell->id % TOKEN_PER_MS);
  if (token <= known->token_seen)
    token = (known->token_seen / TOKEN_PER_MS + 1) * TOKEN_PER_MS
            + (int64_t)(cell->id % TOKEN_PER_MS);
  return token;
}

static void
take (struct cell *cell, struct known_worker *known, int64_t now_us)
{
  int64_t token = next_token (cell, known);
  known->token_seen = token;
  known->retry_us = 0;
  pl_count (PL_CTR_WORKERS_TAKEN_TOTAL, 1);
  pl_log (PL_EV_TAKE, "worker=%s token=%" PRId64 " born_ms=%" PRId64,
          known->id, token, known->info.born_ms);
  lease_take (cell->leases, &known->info, token, now_us);
}

static void
yield_to (struct cell *cell, struct lease_worker *w, uint64_t holder)
{
  Cellpb__Yield yield = CELLPB__YIELD__INIT;
  yield.worker = w->info.worker;
  yield.token = w->token;
  Cellpb__Envelope env = CELL_ENVELOPE (yield, YIELD, &yield);
  Cellpb__Room room = CELLPB__ROOM__INIT;
  room.worker = w->info.worker;
  room.gone = true;
  Cellpb__Envelope gone = CELL_ENVELOPE (room, ROOM, &room);
  pl_log (PL_EV_YIELD, "worker=%s to=%016" PRIx64 " runs=%u", w->id, holder,
          w->runs->len);
  cell_send (cell, cell->planner, &gone);
  cell->ops->release (cell->ctx, w);
  lease_yield (cell->leases, w);
  cell_send (cell, holder, &env);
}

static void
assign_worker (struct cell *cell, struct known_worker *known, int64_t now_us)
{
  uint64_t holder = choose_holder (cell, known);
  struct lease_worker *w = lease_find (cell->leases, known->info.worker);
  if (w != NULL)
    {
      if (holder != cell->id && holder != 0 && w->state != LEASE_TAKING)
        yield_to (cell, w, holder);
      return;
    }
  if (holder != cell->id || known->retry_us > now_us
      || now_us - cell->ready_us < LISTEN_US
      || claimed_elsewhere (cell, known, now_us))
    return;
  take (cell, known, now_us);
}

/* Whether a removed worker is let go.  */
static bool
let_go (struct cell *cell, struct known_worker *known)
{
  struct lease_worker *w = lease_find (cell->leases, known->info.worker);
  if (w != NULL && w->runs->len > 0)
    return false;
  if (w != NULL)
    lease_gone (cell->leases, w);
  return true;
}

void
cell_assign (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct known_worker *known = value;
      if (!known->removed)
        assign_worker (cell, known, now_us);
      else if (let_go (cell, known))
        g_hash_table_iter_remove (&it);
    }
}

static void
copy_info (struct known_worker *known, const struct lease_info *info)
{
  if (known->id == NULL || strcmp (known->id, info->id) != 0)
    {
      g_free (known->id);
      known->id = g_strdup (info->id);
    }
  known->info = *info;
  known->info.id = known->id;
}

void
cell_set_worker (struct cell *cell, const struct lease_info *info)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &info->worker);
  if (known == NULL)
    {
      known = g_new0 (struct known_worker, 1);
      copy_info (known, info);
      g_hash_table_insert (cell->workers, &known->info.worker, known);
    }
  known->removed = false;
  bool moved = !pl_addr_eq (known->info.addr, info->addr)
               || known->info.born_ms < info->born_ms;
  copy_info (known, info);
  struct lease_worker *w = lease_find (cell->leases, info->worker);
  if (w != NULL && moved && w->info.born_ms < info->born_ms
      && !pl_addr_eq (w->info.addr, info->addr))
    {
      lease_gone (cell->leases, w);
      w = NULL;
    }
  if (w != NULL)
    lease_update (cell->leases, w, info);
  cell->view_dirty = true;
  cell->ops->wake (cell->ctx);
}

/* The registry may lose a worker that still answers us and runs tasks: it gets
   no more starts, and is let go when nothing runs there.  */
void
cell_remove_worker (struct cell *cell, uint64_t worker)
{
  struct known_worker *known = g_hash_table_lookup (cell->workers, &worker);
  struct lease_worker *w = lease_find (cell->leases, worker);
  if (known == NULL)
    return;
  known->removed = true;
  if (w == NULL)
    return;
  struct lease_info info = w->info;
  info.draining = true;
  lease_update (cell->leases, w, &info);
}

bool
cell_has_worker (struct cell *cell, uint64_t worker)
{
  return g_hash_table_contains (cell->workers, &worker);
}

unsigned
cell_known_workers (const struct cell *cell)
{
  return g_hash_table_size (cell->workers);
}

unsigned
cell_held_workers (struct cell *cell)
{
  return g_hash_table_size (lease_workers (cell->leases));
}

unsigned
cell_usable_workers (struct cell *cell)
{
  unsigned n = 0;
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct pack_room room;
      lease_room (value, cell->id, now_us, &room);
      n += room.usable;
    }
  return n;
}

/* Reports of rooms.  */

void
cell_all_rooms_dirty (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((struct known_worker *)value)->dirty = true;
  cell->rooms_dirty = true;
}

static void
report_room (struct cell *cell, const struct lease_worker *w, int64_t now_us)
{
  struct pack_room room;
  lease_room (w, cell->id, now_us, &room);
  Cellpb__Amount capacity = CELLPB__AMOUNT__INIT;
  capacity.cpu = room.capacity.cpu;
  capacity.mem = room.capacity.mem;
  capacity.gpu = room.capacity.gpu;
  Cellpb__Amount used = CELLPB__AMOUNT__INIT;
  used.cpu = room.used.cpu;
  used.mem = room.used.mem;
  used.gpu = room.used.gpu;
  Cellpb__Room msg = CELLPB__ROOM__INIT;
  msg.worker = room.worker;
  msg.token = room.token;
  msg.service = room.service;
  msg.domain = room.domain;
  msg.labels = room.labels;
  msg.n_labels = PACK_MAX_LABELS;
  msg.capacity = &capacity;
  msg.used = &used;
  msg.usable = room.usable;
  msg.slowness = room.slowness;
  msg.runs = room.runs;
  msg.n_runs = room.n_runs;
  Cellpb__Envelope env = CELL_ENVELOPE (room, ROOM, &msg);
  cell_send (cell, cell->planner, &env);
}

void
cell_report_rooms (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (now_us - cell->rooms_us > ROOMS_REFRESH_US)
    {
      cell->rooms_us = now_us;
      cell_all_rooms_dirty (cell);
    }
  if (!cell->rooms_dirty)
    return;
  cell->rooms_dirty = false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct known_worker *known = value;
      if (!known->dirty)
        continue;
      known->dirty = false;
      struct lease_worker *w = lease_find (cell->leases, known->info.worker);
      if (w != NULL)
        report_room (cell, w, now_us);
    }
}

/* Events of the leases.  */

static void
on_look (void *ctx, struct lease_worker *w, int64_t deadline_ms, int wait_ms)
{
  struct cell *cell = ctx;
  cell->ops->look (cell->ctx, w, deadline_ms, wait_ms);
}

static void
on_start (void *ctx, struct lease_worker *w, const struct lease_run *run,
          int64_t deadline_ms)
{
  struct cell *cell = ctx;
  cell->ops->start (cell->ctx, w, run, deadline_ms);
}

static void
on_stop (void *ctx, struct lease_worker *w, const struct lease_run_id *id)
{
  struct cell *cell = ctx;
  cell->ops->stop (cell->ctx, w, id);
}

static void
mark_room (struct cell *cell, uint64_t worker)
{
  struct known_worker *known = g_hash_table_lookup (cell->workers, &worker);
  if (known == NULL)
    return;
  known->dirty = true;
  cell->rooms_dirty = true;
  cell->ops->wake (cell->ctx);
}

static void
send_ended (struct cell *cell, uint64_t to, uint64_t worker,
            const struct lease_run_id *id, enum lease_end end, int64_t took_us)
{
  Cellpb__RunId run = CELLPB__RUN_ID__INIT;
  run.job = id->job;
  run.index = id->index;
  run.run = id->run;
  Cellpb__Ended msg = CELLPB__ENDED__INIT;
  msg.worker = worker;
  msg.id = &run;
  msg.end = (uint32_t)end;
  msg.took_us = took_us;
  Cellpb__Envelope env = CELL_ENVELOPE (ended, ENDED, &msg);
  cell_send (cell, to, &env);
}

static void
on_ended (void *ctx, struct lease_worker *w, uint64_t owner,
          const struct lease_run_id *id, enum lease_end end, int64_t took_us)
{
  struct cell *cell = ctx;
  pl_log (PL_EV_RUN_END,
          "job=%016" PRIx64 " task=%u run=%u worker=%s end=%s took_us=%" PRId64
          " slowness=%u",
          id->job, id->index, id->run, w->id, lease_end_name (end), took_us,
          w->health.slowness);
  mark_room (cell, w->info.worker);
  send_ended (cell, owner, w->info.worker, id, end, took_us);
}

static void
on_taken (void *ctx, struct lease_worker *w)
{
  struct cell *cell = ctx;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &w->info.worker);
  if (known != NULL)
    known->fences = 0;
  unsigned n = w->runs->len;
  g_autoptr (GArray) runs = g_array_new (FALSE, FALSE, sizeof (Cellpb__RunId));
  g_autoptr (GPtrArray) pointers = g_ptr_array_new ();
  for (unsigned i = 0; i < n; i++)
    {
      const struct lease_run *run = g_ptr_array_index (w->runs, i);
      Cellpb__RunId id = CELLPB__RUN_ID__INIT;
      id.job = run->id.job;
      id.index = run->id.index;
      id.run = run->id.run;
      g_array_append_val (runs, id);
    }
  for (unsigned i = 0; i < n; i++)
    g_ptr_array_add (pointers, &g_array_index (runs, Cellpb__RunId, i));
  Cellpb__Taken msg = CELLPB__TAKEN__INIT;
  msg.worker = w->info.worker;
  msg.token = w->token;
  msg.runs = (Cellpb__RunId **)pointers->pdata;
  msg.n_runs = n;
  Cellpb__Envelope env = CELL_ENVELOPE (taken, TAKEN, &msg);
  pl_log (PL_EV_TAKEN,
          "worker=%s key=%016" PRIx64 " token=%" PRId64 " runs=%u", w->id,
          w->info.worker, w->token, n);
  cell_send (cell, 0, &env);
}

static void
on_lost (void *ctx, struct lease_worker *w, enum lease_reply why)
{
  struct cell *cell = ctx;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &w->info.worker);
  if (known != NULL && why == LEASE_REPLY_FENCED)
    {
      /* Either a peer has taken over, or our token was too low from the
         start because the former holder's clock was ahead.  */
      bool too_low = w->state == LEASE_TAKING && known->fences < 4;
      known->fences++;
      known->retry_us
          = pl_now_us (cell->clock) + (too_low ? 0 : FENCED_RETRY_US);
    }
  pl_log (PL_EV_WORKER_LOST, "worker=%s token=%" PRId64 " reason=%s", w->id,
          w->token,
          why == LEASE_REPLY_FENCED   ? "fenced"
          : why == LEASE_REPLY_REBORN ? "reborn"
                                      : "gone");
  pl_count (PL_CTR_WORKERS_LOST_TOTAL, 1);
  Cellpb__Room room = CELLPB__ROOM__INIT;
  room.worker = w->info.worker;
  room.gone = true;
  Cellpb__Envelope env = CELL_ENVELOPE (room, ROOM, &room);
  cell_send (cell, cell->planner, &env);
  cell->ops->release (cell->ctx, w);
}

static void
on_changed (void *ctx, struct lease_worker *w)
{
  mark_room (ctx, w->info.worker);
}

const struct lease_ops cell_lease_ops = {
  .look = on_look,
  .start = on_start,
  .stop = on_stop,
  .ended = on_ended,
  .taken = on_taken,
  .lost = on_lost,
  .changed = on_changed,
};

/* Messages to the holder.  */

/* A claim has failed.  A run that is still here is being stopped, and its end
   will be told.  One that is missing under the lease that the claim names has
   ended.  Else the worker may have a new holder by now, which lists the run
   again or stops it for want of a claim.  */
static void
answer_claim (struct cell *cell, uint64_t owner, uint64_t worker,
              const struct lease_worker *w, const struct lease_order *order)
{
  bool same_lease
      = w != NULL && w->state != LEASE_TAKING && w->token == order->token;
  if (same_lease && lease_has_run (w, &order->id))
    return;
  send_ended (cell, owner, worker, &order->id,
              same_lease ? LEASE_STOPPED : LEASE_UNKNOWN, 0);
}

void
cell_on_start (struct cell *cell, uint64_t sender, const Cellpb__Start *msg)
{
  struct lease_worker *w = lease_find (cell->leases, msg->worker);
  struct lease_order order = {
    .id = cell_run_id (msg->id),
    .owner = sender,
    .size = cell_amount (msg->size),
    .spec = { (const char *)msg->spec.data, msg->spec.len },
    .expect_us = msg->expect_us,
    .token = msg->token,
  };
  int64_t now_us = pl_now_us (cell->clock);
  const struct peer *peer = cell_peer (cell, sender);
  /* Nobody would stop the runs of an owner that is given up already.  */
  bool owned = sender == cell->id || (peer != NULL && peer->alive);
  bool ok = w != NULL && owned
            && (msg->claim ? lease_claim (cell->leases, w, &order)
                           : lease_start (cell->leases, w, &order, now_us));
  pl_log (PL_EV_RUN_START,
          "job=%016" PRIx64 " task=%u run=%u worker=%s owner=%016" PRIx64
          " claim=%d ok=%d held=%u answer_age_ms=%" PRId64,
          order.id.job, order.id.index, order.id.run, w == NULL ? "-" : w->id,
          sender, msg->claim, ok, w == NULL ? 0 : w->runs->len,
          w == NULL ? 0 : (now_us - w->answered_us) / 1000);
  if (!ok && msg->claim)
    answer_claim (cell, sender, msg->worker, w, &order);
  else if (!ok)
    send_ended (cell, sender, msg->worker, &order.id, LEASE_REJECTED, 0);
  mark_room (cell, msg->worker);
}

void
cell_on_stop (struct cell *cell, const Cellpb__Stop *msg)
{
  struct lease_worker *w = lease_find (cell->leases, msg->worker);
  struct lease_run_id id = cell_run_id (msg->id);
  if (w != NULL)
    lease_stop (cell->leases, w, &id, pl_now_us (cell->clock));
}

void
cell_on_yield (struct cell *cell, const Cellpb__Yield *msg)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &msg->worker);
  if (known == NULL || known->removed || cell->draining
      || lease_find (cell->leases, msg->worker) != NULL)
    return;
  known->token_seen = MAX (known->token_seen, msg->token);
  take (cell, known, pl_now_us (cell->clock));
}

void
cell_on_taken (struct cell *cell, uint64_t sender, const Cellpb__Taken *msg)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &msg->worker);
  if (known != NULL)
    known->token_seen = MAX (known->token_seen, msg->token);
  g_autoptr (GArray) runs
      = g_array_new (FALSE, FALSE, sizeof (struct lease_run_id));
  for (size_t i = 0; i < msg->n_runs; i++)
    {
      struct lease_run_id id = cell_run_id (msg->runs[i]);
      g_array_append_val (runs, id);
    }
  struct own_place place = { msg->worker, sender, msg->token };
  own_worker_taken (cell->jobs, &place,
                    (const struct lease_run_id *)(void *)runs->data,
                    runs->len);
}
