/* Assignment of workers to holders.

   All instances compute the preferred holder of a worker by rendezvous hashing
   over the live instances, so that they agree without messages once they agree
   on who is alive.  The preferred holder takes a worker once the former holder
   has yielded it, has ended, or has been silent for too long (may_still_hold).
   If two instances take the same worker, the higher fencing token wins.

   Workers are weighed when the candidates or the worker's entry change.  A
   tick looks only at workers that are not settled: they wait for something,
   such as a silent peer or the answer to a probe.  */
#include "cell_priv.h"

#include <xxhash.h>

/* How long a silent peer is assumed to be using the workers that it holds.
   A peer whose registration has expired, or is not known because the registry
   can't be reached, is taken for dead after this time.  */
#define SILENT_HOLD_US 700000
/* The same for a peer that is still registered: it is assumed to be cut off by
   a partition and to go on with its workers.  */
#define SILENT_HOLD_REGISTERED_US 6000000
/* Once ready, an instance takes no workers for this time: heartbeats tell it
   first which workers its peers hold.  */
#define STARTUP_LISTEN_US 250000
/* A token is the Unix time in ms times this, plus the low bits of the
   instance's id, so that two instances are unlikely to use the same one.  */
#define TOKEN_PER_MS 1024
/* A worker whose silent holder may be alive behind a partition is taken only
   when this time has passed since the worker answered a probe: if the
   partition has healed, heartbeats of the holder have arrived by then.  */
#define PROBE_SETTLE_US 400000
/* An older answer to a probe does not show that the worker can be reached. */
#define PROBE_VALID_US 800000
/* The same two for the workers of a domain without registered instances: if
   its instances were only cut off, they are registered again by then.  */
#define ADOPT_SETTLE_US 2500000
#define ADOPT_VALID_US 3500000
/* Stands for an instance of another failure domain that is no peer.  */
#define HOLDER_IN_OTHER_DOMAIN UINT64_MAX
/* Added to the time in a worker's next token for each lease that was lost by
   fencing in a row, to exceed the token of a holder whose clock is ahead.  */
#define FENCED_STEP_MS 10000

static uint64_t
holder_weight (const char *name, uint64_t worker)
{
  pl_count (PL_CTR_HOLDER_WEIGHINGS_TOTAL, 1);
  return XXH64 (name, strlen (name), worker);
}

static bool
can_take_workers (const struct cell *cell, const struct peer *peer)
{
  return peer->alive && peer->ready && !peer->draining
         && cell_is_candidate (cell, peer);
}

/* The instance that should hold the worker, 0 if there is none: the one of
   highest weight in the worker's failure domain, or of all domains if no
   instance of the worker's domain takes workers.  If no peer takes workers, a
   draining instance chooses itself, to serve the callers that it still has. */
static uint64_t
choose_holder (struct cell *cell, const struct known_worker *known)
{
  uint64_t best = 0;
  uint64_t best_weight = 0;
  bool best_in_domain = false;
  if (!cell_serves_domain (cell, known->info.domain))
    return HOLDER_IN_OTHER_DOMAIN;
  if (cell->ready && !cell->draining)
    {
      best = cell->id;
      best_weight = holder_weight (cell->name, known->info.worker);
      best_in_domain = cell->domain == known->info.domain;
    }
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!can_take_workers (cell, peer))
        continue;
      bool in_domain = peer->domain == known->info.domain;
      uint64_t weight = holder_weight (peer->name, known->info.worker);
      if (best != 0
          && (in_domain < best_in_domain
              || (in_domain == best_in_domain && weight <= best_weight)))
        continue;
      best = peer->id;
      best_weight = weight;
      best_in_domain = in_domain;
    }
  if (best == 0 && cell->ready)
    best = cell->id;
  return best;
}

/* Whether a silent peer may still use the workers that it held when it was
   heard last.  */
static bool
may_still_hold (struct cell *cell, const struct peer *peer, int64_t now_us)
{
  int64_t silence_us = now_us - peer->last_heartbeat_us;
  if (cell_has_peer_ended (peer))
    return false;
  if (cell->registry_fresh && peer->registered)
    return silence_us < SILENT_HOLD_REGISTERED_US;
  return silence_us < SILENT_HOLD_US;
}

/* Whether a peer holds a worker, by the latest heartbeats.  */
enum peer_hold
{
  PEER_HOLD_NONE,   /* no peer, or one that has certainly ended */
  PEER_HOLD_SILENT, /* a peer that was silent for long; may not have ended */
  PEER_HOLD_LIVE,   /* a peer that is alive or may still use it */
};

static enum peer_hold
find_peer_hold (struct cell *cell, const struct known_worker *known,
                int64_t now_us)
{
  enum peer_hold hold = PEER_HOLD_NONE;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!g_hash_table_contains (peer->held, &known->info.worker))
        continue;
      if (peer->alive || may_still_hold (cell, peer, now_us))
        return PEER_HOLD_LIVE;
      if (!cell_has_peer_ended (peer))
        hold = PEER_HOLD_SILENT;
    }
  return hold;
}

/* A token above every one that is known to be used on the worker.  */
static int64_t
next_token (struct cell *cell, const struct known_worker *known)
{
  int64_t wall_ms = cell->ops->wall_ms (cell->ctx)
                    + (int64_t)known->times_fenced * FENCED_STEP_MS;
  int64_t token = wall_ms * TOKEN_PER_MS + (int64_t)(cell->id % TOKEN_PER_MS);
  if (token <= known->highest_token)
    token = (known->highest_token / TOKEN_PER_MS + 1) * TOKEN_PER_MS
            + (int64_t)(cell->id % TOKEN_PER_MS);
  return token;
}

int64_t
cell_use_next_token (struct cell *cell, struct known_worker *known)
{
  int64_t token = next_token (cell, known);
  known->highest_token = token;
  pl_log (PL_EV_TAKE, "worker=%s token=%" PRId64 " born_ms=%" PRId64,
          known->id, token, known->info.incarnation_ms);
  return token;
}

static void
take_worker (struct cell *cell, struct known_worker *known, int64_t now_us)
{
  int64_t token = cell_use_next_token (cell, known);
  known->take_after_us = 0;
  known->reachable_us = 0;
  pl_count (PL_CTR_WORKERS_TAKEN_TOTAL, 1);
  lease_take (cell->leases, &known->info, token, now_us);
}

static void
yield_worker (struct cell *cell, struct lease_worker *w, uint64_t holder)
{
  Cellpb__Yield yield = CELLPB__YIELD__INIT;
  yield.worker = w->info.worker;
  yield.token = w->token;
  Cellpb__Envelope env = CELL_ENVELOPE (yield, YIELD, &yield);
  pl_log (PL_EV_YIELD, "worker=%s to=%016" PRIx64 " runs=%u", w->id, holder,
          w->runs->len);
  cell_withdraw_report (cell, w->info.worker);
  cell->ops->close_worker (cell->ctx, w);
  lease_yield (cell->leases, w);
  cell_send (cell, holder, &env);
}

/* Polls the worker with the lowest token, which fences no holder.  */
static void
start_probe (struct cell *cell, struct known_worker *known, int64_t now_us)
{
  lease_take (cell->leases, &known->info, LEASE_PROBE_TOKEN, now_us);
}

/* Ends a probe that was answered, or whose worker should be held by another
   instance now.  A worker that accepts the lowest token has no holder; one
   that refuses it is handled by the op lost.  */
static void
finish_probe (struct cell *cell, struct known_worker *known,
              struct lease_worker *w, uint64_t holder, int64_t now_us)
{
  bool answered = w->state == LEASE_WORKER_HELD;
  if (!answered && holder == cell->id)
    return;
  known->reachable_us = answered ? now_us : 0;
  cell->ops->close_worker (cell->ctx, w);
  lease_yield (cell->leases, w);
}

/* Takes a worker whose former holder is silent, once a probe has shown that it
   can be reached.  */
static void
take_after_probe (struct cell *cell, struct known_worker *known,
                  int64_t now_us)
{
  int64_t since_us = now_us - known->reachable_us;
  int64_t valid_us = cell->domain_only ? ADOPT_VALID_US : PROBE_VALID_US;
  int64_t settle_us = cell->domain_only ? ADOPT_SETTLE_US : PROBE_SETTLE_US;
  if (known->reachable_us == 0 || since_us > valid_us)
    start_probe (cell, known, now_us);
  else if (since_us > settle_us)
    take_worker (cell, known, now_us);
}

/* Takes, yields or probes a worker, or leaves it as it is.  Returns whether
   there is nothing to do until a change.  */
static bool
assign_worker (struct cell *cell, struct known_worker *known, int64_t now_us)
{
  uint64_t holder = known->holder;
  struct lease_worker *w
      = lease_find_worker (cell->leases, known->info.worker);
  if (w != NULL && w->token == LEASE_PROBE_TOKEN)
    {
      finish_probe (cell, known, w, holder, now_us);
      return false;
    }
  if (w != NULL)
    {
      if (holder == cell->id || holder == 0)
        return true;
      /* Nobody of the other domain would take over the runs.  */
      if (w->state == LEASE_WORKER_TAKING
          || (holder == HOLDER_IN_OTHER_DOMAIN && w->runs->len > 0))
        return false;
      yield_worker (cell, w, holder);
      return true;
    }
  if (holder != cell->id)
    return true;
  if (known->take_after_us > now_us
      || now_us - cell->ready_us < STARTUP_LISTEN_US)
    return false;
  enum peer_hold hold = find_peer_hold (cell, known, now_us);
  if (hold == PEER_HOLD_LIVE)
    return false;
  /* In another failure domain the silent holder may be alive behind a
     partition; of one whose instances are no peers nothing is heard.  */
  if ((hold == PEER_HOLD_SILENT || cell->domain_only)
      && known->info.domain != cell->domain)
    take_after_probe (cell, known, now_us);
  else
    take_worker (cell, known, now_us);
  return lease_find_worker (cell->leases, known->info.worker) != NULL;
}

void
cell_unsettle_worker (struct cell *cell, struct known_worker *known)
{
  g_hash_table_add (cell->unsettled, &known->info.worker);
}

void
cell_weigh_worker (struct cell *cell, struct known_worker *known)
{
  known->holder = choose_holder (cell, known);
  cell_unsettle_worker (cell, known);
}

void
cell_weigh_workers (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    cell_weigh_worker (cell, value);
}

/* Gives up a worker that was removed from the registry; false while runs on it
   may go on.  */
static bool
drop_removed_worker (struct cell *cell, struct known_worker *known)
{
  struct lease_worker *w
      = lease_find_worker (cell->leases, known->info.worker);
  if (w != NULL && w->runs->len > 0 && !lease_has_only_unanswered_starts (w))
    return false;
  if (w != NULL)
    lease_worker_ended (cell->leases, w);
  return true;
}

void
cell_assign_workers (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  /* Ops that are called meanwhile may unsettle further workers.  */
  g_autoptr (GList) keys = g_hash_table_get_keys (cell->unsettled);
  for (GList *l = keys; l != NULL; l = l->next)
    {
      struct known_worker *known
          = g_hash_table_lookup (cell->workers, l->data);
      if (!known->removed)
        {
          g_hash_table_remove (cell->unsettled, &known->info.worker);
          if (!assign_worker (cell, known, now_us))
            cell_unsettle_worker (cell, known);
        }
      else if (drop_removed_worker (cell, known))
        {
          g_hash_table_remove (cell->unsettled, &known->info.worker);
          g_hash_table_remove (cell->workers, &known->info.worker);
        }
    }
}

void
cell_on_yield (struct cell *cell, const Cellpb__Yield *msg)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &msg->worker);
  if (known == NULL || known->removed || cell->draining)
    return;
  int64_t now_us = pl_now_us (cell->clock);
  struct lease_worker *w = lease_find_worker (cell->leases, msg->worker);
  /* A later lease than the one that was given up is in use, or was: whoever
     has it has learned that from the worker.  */
  if (known->highest_token > msg->token)
    return;
  /* This instance has not noticed yet that the sender's lease has fenced its
     own, older one.  */
  if (w != NULL)
    lease_worker_fenced (cell->leases, w, now_us);
  known->highest_token = msg->token;
  take_worker (cell, known, now_us);
  cell_unsettle_worker (cell, known);
}
