/* Which workers this instance holds, and what the registry says of them.  */
#include "cell_priv.h"

#include <xxhash.h>

/* A silent peer whose registration is gone, or unknown while the registry is
   away, is dead after this time.  */
#define PEER_DEAD_US 700000
/* A registered but silent peer is cut off and goes on with its workers.  */
#define PEER_CUT_US 6000000
/* After its start an instance first hears what its peers hold.  */
#define LISTEN_US 250000
#define TOKEN_PER_MS 1024
/* A worker whose holder may live on the other side of a partition is left
   alone for so long after it was reached: if the partition has healed, the
   holder is heard by then.  */
#define SETTLE_US 400000
/* An older answer does not tell that the worker can be reached.  */
#define REACHED_US 800000
/* Raises the token above that of a holder whose clock is ahead.  */
#define FENCE_STEP_MS 10000

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
   failure domain, or of all if the domain has none.  While nobody else is
   there, a draining instance serves its callers itself.  0: nobody.  */
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
  if (best == 0 && cell->ready)
    best = cell->id;
  return best;
}

/* Whether a peer has certainly ended: its link is closed, and its address
   refuses connections.  */
static bool
has_ended (const struct peer *peer)
{
  return peer->closed_us != 0 && peer->refused;
}

/* Whether a silent peer may still be at work on the worker.  */
static bool
may_be_at_work (struct cell *cell, const struct peer *peer, int64_t now_us)
{
  int64_t silence_us = now_us - peer->heard_us;
  if (has_ended (peer))
    return false;
  if (cell->registry_fresh && peer->registered)
    return silence_us < PEER_CUT_US;
  return silence_us < PEER_DEAD_US;
}

/* What peers have said of a worker.  */
enum claim
{
  CLAIM_NONE,
  CLAIM_SILENT, /* of one that is silent and has not certainly ended */
  CLAIM_LIVE,   /* of one that may be at work on it */
};

static enum claim
find_claim (struct cell *cell, const struct known_worker *known,
            int64_t now_us)
{
  enum claim claim = CLAIM_NONE;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!g_hash_table_contains (peer->held, &known->info.worker))
        continue;
      if (peer->alive || may_be_at_work (cell, peer, now_us))
        return CLAIM_LIVE;
      if (!has_ended (peer))
        claim = CLAIM_SILENT;
    }
  return claim;
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
  known->reachable_us = 0;
  pl_count (PL_CTR_WORKERS_TAKEN_TOTAL, 1);
  pl_log (PL_EV_TAKE, "worker=%s token=%" PRId64 " born_ms=%" PRId64,
          known->id, token, known->info.incarnation_ms);
  lease_take (cell->leases, &known->info, token, now_us);
}

static void
yield_to (struct cell *cell, struct lease_worker *w, uint64_t holder)
{
  Cellpb__Yield yield = CELLPB__YIELD__INIT;
  yield.worker = w->info.worker;
  yield.token = w->token;
  Cellpb__Envelope env = CELL_ENVELOPE (yield, YIELD, &yield);
  pl_log (PL_EV_YIELD, "worker=%s to=%016" PRIx64 " runs=%u", w->id, holder,
          w->runs->len);
  cell_send_room_gone (cell, w->info.worker);
  cell->ops->close_worker (cell->ctx, w);
  lease_yield (cell->leases, w);
  cell_send (cell, holder, &env);
}

/* Asks the worker with the lowest token, which no holder is fenced by.  */
static void
probe (struct cell *cell, struct known_worker *known, int64_t now_us)
{
  lease_take (cell->leases, &known->info, LEASE_PROBE_TOKEN, now_us);
}

/* A worker without a holder accepts the lowest token.  */
static void
check_probe (struct cell *cell, struct known_worker *known,
             struct lease_worker *w, uint64_t holder, int64_t now_us)
{
  bool answered = w->state == LEASE_WORKER_HELD;
  if (!answered && holder == cell->id)
    return;
  known->reachable_us = answered ? now_us : 0;
  cell->ops->close_worker (cell->ctx, w);
  lease_yield (cell->leases, w);
}

/* Takes a worker whose former holder is silent.  */
static void
take_from_silent (struct cell *cell, struct known_worker *known,
                  int64_t now_us)
{
  int64_t since_us = now_us - known->reachable_us;
  if (known->reachable_us == 0 || since_us > REACHED_US)
    probe (cell, known, now_us);
  else if (since_us > SETTLE_US)
    take (cell, known, now_us);
}

static void
assign_worker (struct cell *cell, struct known_worker *known, int64_t now_us)
{
  uint64_t holder = choose_holder (cell, known);
  struct lease_worker *w = lease_find (cell->leases, known->info.worker);
  if (w != NULL && w->token == LEASE_PROBE_TOKEN)
    {
      check_probe (cell, known, w, holder, now_us);
      return;
    }
  if (w != NULL)
    {
      if (holder != cell->id && holder != 0 && w->state != LEASE_WORKER_TAKING)
        yield_to (cell, w, holder);
      return;
    }
  if (holder != cell->id || known->retry_us > now_us
      || now_us - cell->ready_us < LISTEN_US)
    return;
  enum claim claim = find_claim (cell, known, now_us);
  if (claim == CLAIM_LIVE)
    return;
  /* In another failure domain the holder may live behind a partition.  */
  if (claim == CLAIM_SILENT && known->info.domain != cell->domain)
    take_from_silent (cell, known, now_us);
  else
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
    lease_worker_ended (cell->leases, w);
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
copy_info (struct known_worker *known, const struct lease_worker_info *info)
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
cell_set_worker (struct cell *cell, const struct lease_worker_info *info)
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
  copy_info (known, info);
  struct lease_worker *w = lease_find (cell->leases, info->worker);
  /* Its next incarnation has another address.  */
  if (w != NULL && w->info.incarnation_ms < info->incarnation_ms
      && !pl_addr_eq (w->info.addr, info->addr))
    {
      lease_worker_ended (cell->leases, w);
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
  struct lease_worker_info info = w->info;
  info.draining = true;
  lease_update (cell->leases, w, &info);
}

void
cell_on_yield (struct cell *cell, const Cellpb__Yield *msg)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &msg->worker);
  if (known == NULL || known->removed || cell->draining)
    return;
  int64_t now_us = pl_now_us (cell->clock);
  struct lease_worker *w = lease_find (cell->leases, msg->worker);
  if (w != NULL && w->token > msg->token)
    return;
  /* A lease of ours from before was ended by the sender's.  */
  if (w != NULL)
    lease_worker_fenced (cell->leases, w, now_us);
  known->token_seen = MAX (known->token_seen, msg->token);
  take (cell, known, now_us);
}
