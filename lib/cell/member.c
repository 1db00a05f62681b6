/* Membership: who is alive, and who plans.  */
#include "cell_priv.h"

/* After two missing beats a peer may be lost: nothing new is given to it,
   while what it has is left to it.  */
#define PEER_QUIET_US 250000
/* A connection across regions is set up in less than this.  */
#define REDIAL_US 50000

static uint64_t
addr_key (struct pl_addr addr)
{
  return ((uint64_t)addr.ip << 16) | addr.port;
}

static struct peer *
peer_at (struct cell *cell, struct pl_addr addr)
{
  uint64_t key = addr_key (addr);
  return g_hash_table_lookup (cell->peers, &key);
}

void
cell_add_peer (struct cell *cell, struct pl_addr addr)
{
  if (pl_addr_eq (addr, cell->addr) || peer_at (cell, addr) != NULL)
    return;
  struct peer *peer = g_new0 (struct peer, 1);
  peer->addr = addr;
  peer->heard_us = pl_now_us (cell->clock);
  peer->held
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  uint64_t *key = g_new (uint64_t, 1);
  *key = addr_key (addr);
  g_hash_table_insert (cell->peers, key, peer);
  peer->link = cell->ops->connect (cell->ctx, addr);
}

struct peer *
cell_peer (struct cell *cell, uint64_t id)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct peer *)value)->id == id)
      return value;
  return NULL;
}

bool
cell_peer_alive (struct cell *cell, const struct peer *peer)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (peer->id == 0 || !peer->hears_us
      || now_us - peer->heard_us > PEER_SILENT_US)
    return false;
  return peer->closed_us == 0 || now_us - peer->closed_us < PEER_CLOSED_US;
}

/* Steady clocks of two machines drift apart by less than this.  */
#define DRIFT_PERCENT 3

void
cell_set_instance_registered (struct cell *cell, struct pl_addr addr,
                              bool registered)
{
  if (registered)
    cell_add_peer (cell, addr);
  struct peer *peer = peer_at (cell, addr);
  if (peer != NULL)
    peer->registered = registered;
}

/* The peer's runs are stopped, and what it held counts as lost.  */
static void
peer_lost (struct cell *cell, struct peer *peer, const char *reason)
{
  int64_t now_us = pl_now_us (cell->clock);
  pl_log (PL_EV_PEER_GONE, "peer=%s reason=%s silence_ms=%" PRId64, peer->name,
          reason, (now_us - peer->heard_us) / 1000);
  lease_stop_runs_of (cell->leases, peer->id, now_us);
  owner_on_holder_lost (cell->jobs, peer->id, peer->heard_us);
  planner_remove_holder (cell->plan, peer->id);
  planner_remove_owner (cell->plan, peer->id);
  /* Even if it is back within the same turn, it has forgotten us.  */
  if (peer->id == cell->planner)
    cell->planner = 0;
  cell->view_dirty = true;
}

static void
set_alive (struct cell *cell, struct peer *peer, bool alive,
           const char *reason)
{
  if (peer->alive == alive)
    return;
  peer->alive = alive;
  cell->view_dirty = true;
  if (!alive)
    {
      peer_lost (cell, peer, reason);
      return;
    }
  pl_log (PL_EV_PEER_UP, "peer=%s domain=%016" PRIx64, peer->name,
          peer->domain);
  owner_on_holder_recovered (cell->jobs, peer->id);
}

bool
cell_is_stale (struct cell *cell, uint64_t sender, int64_t sent_us)
{
  struct peer *peer = cell_peer (cell, sender);
  if (peer == NULL)
    return false; /* its first beat */
  int64_t now_us = pl_now_us (cell->clock);
  int64_t expected_us
      = peer->offset_us + (now_us - peer->offset_at_us) * DRIFT_PERCENT / 100;
  int64_t age_us = now_us - sent_us - expected_us;
  if (age_us <= 0 || peer->offset_at_us == 0)
    {
      peer->offset_us = now_us - sent_us;
      peer->offset_at_us = now_us;
      return false;
    }
  if (age_us < PEER_SILENT_US)
    return false;
  /* Messages are lost with the frame: both sides begin anew.  */
  set_alive (cell, peer, false, "stale");
  return true;
}

static void
read_held (struct cell *cell, struct peer *peer, const Cellpb__Beat *beat)
{
  g_hash_table_remove_all (peer->held);
  for (size_t i = 0; i < beat->n_held; i++)
    {
      uint64_t *key = g_new (uint64_t, 1);
      int64_t *token = g_new (int64_t, 1);
      *key = beat->held[i]->worker;
      *token = beat->held[i]->token;
      g_hash_table_insert (peer->held, key, token);
      struct known_worker *known = g_hash_table_lookup (cell->workers, key);
      if (known != NULL)
        cell_saw_token (cell, known, *token);
    }
}

static bool
names_us (struct cell *cell, const Cellpb__Beat *beat)
{
  for (size_t i = 0; i < beat->n_heard; i++)
    if (beat->heard[i] == cell->id)
      return true;
  return false;
}

static void
learn_addresses (struct cell *cell, const Cellpb__Beat *beat)
{
  size_t n = MIN (beat->n_known_ip, beat->n_known_port);
  for (size_t i = 0; i < n; i++)
    cell_add_peer (cell, (struct pl_addr){ beat->known_ip[i],
                                           (uint16_t)beat->known_port[i] });
}

static void
offer_config (struct cell *cell, struct peer *peer)
{
  if (peer->config_version >= cell->config_version)
    return;
  gsize len;
  const void *data = g_bytes_get_data (cell->config, &len);
  Cellpb__Config msg = CELLPB__CONFIG__INIT;
  msg.version = cell->config_version;
  msg.text = (ProtobufCBinaryData){ len, (uint8_t *)data };
  Cellpb__Envelope env = CELL_ENVELOPE (config, CONFIG, &msg);
  cell_send_peer (cell, peer, &env);
}

static void
set_quiet (struct cell *cell, struct peer *peer, bool quiet)
{
  if (peer->quiet == quiet)
    return;
  peer->quiet = quiet;
  planner_pause_holder (cell->plan, peer->id, quiet);
  cell->plan_dirty = true;
  cell->view_dirty = true;
}

/* The peer is up and does not hear us: our attempt to connect may be from the
   time when it was down and wait for its timeout.  */
static void
reconnect (struct cell *cell, struct peer *peer)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (peer->hears_us || now_us - peer->redial_us < REDIAL_US)
    return;
  peer->redial_us = now_us;
  cell->ops->reconnect (cell->ctx, peer->link);
}

void
cell_beat_arrived (struct cell *cell, uint64_t sender,
                   const Cellpb__Beat *beat)
{
  struct pl_addr addr = { beat->ip, (uint16_t)beat->port };
  cell_add_peer (cell, addr);
  struct peer *peer = peer_at (cell, addr);
  if (peer == NULL)
    return; /* our own beat */
  bool restarted = peer->id != 0 && peer->id != sender;
  set_quiet (cell, peer, false);
  if (restarted)
    set_alive (cell, peer, false, "restarted");
  bool new_peer = peer->id != sender;
  if (new_peer)
    peer->offset_at_us = 0;
  peer->id = sender;
  g_free (peer->name);
  peer->name = g_strdup (beat->name);
  peer->domain = cell_name_hash (pl_str (beat->domain));
  peer->heard_us = pl_now_us (cell->clock);
  peer->closed_us = 0;
  peer->refused = false;
  if (peer->draining != beat->draining || peer->ready != beat->ready)
    cell->view_dirty = true;
  peer->hears_us = names_us (cell, beat);
  reconnect (cell, peer);
  peer->draining = beat->draining;
  peer->ready = beat->ready;
  peer->config_version = beat->config_version;
  read_held (cell, peer, beat);
  learn_addresses (cell, beat);
  offer_config (cell, peer);
  set_alive (cell, peer, peer->hears_us, "one-way");
  if (new_peer)
    cell_send_beat (cell, peer); /* it learns at once that we hear it */
}

static struct peer *
peer_of_link (struct cell *cell, const void *link)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct peer *)value)->link == link)
      return value;
  return NULL;
}

void
cell_outgoing_link_up (struct cell *cell, void *link)
{
  struct peer *peer = peer_of_link (cell, link);
  if (peer == NULL)
    return;
  peer->refused = false;
  cell_send_beat (cell, peer);
  /* Messages may have been lost with the former connection.  */
  if (peer->id == cell->planner)
    {
      owner_resend_requests (cell->jobs);
      cell_all_rooms_dirty (cell);
    }
  cell->ops->wake (cell->ctx);
}

void
cell_outgoing_link_down (struct cell *cell, void *link, bool refused)
{
  struct peer *peer = peer_of_link (cell, link);
  if (peer != NULL)
    peer->refused = refused;
}

void
cell_incoming_link_closed (struct cell *cell, uint64_t link_peer)
{
  struct peer *peer = link_peer == 0 ? NULL : cell_peer (cell, link_peer);
  if (peer != NULL && peer->closed_us == 0)
    peer->closed_us = pl_now_us (cell->clock);
}

static bool
may_plan (bool ready, bool draining)
{
  return ready && !draining;
}

/* The smallest name among those that hear each other; ourselves if none is
   better.  */
static uint64_t
choose_planner (struct cell *cell)
{
  uint64_t best = cell->id;
  const char *name
      = may_plan (cell->ready, cell->draining) ? cell->name : NULL;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!peer->alive || peer->quiet
          || !may_plan (peer->ready, peer->draining))
        continue;
      if (name != NULL && g_strcmp0 (peer->name, name) > 0)
        continue;
      best = peer->id;
      name = peer->name;
    }
  return best;
}

/* Takes our jobs and rooms back from the planner, which may go on for others
   that don't hear the new one.  */
static void
leave_planner (struct cell *cell)
{
  if (cell->planner == 0)
    return; /* it is lost */
  owner_withdraw_requests (cell->jobs);
  cell_withdraw_rooms (cell);
}

void
cell_members_changed (struct cell *cell)
{
  uint64_t planner = choose_planner (cell);
  if (planner != cell->planner)
    {
      pl_log (PL_EV_PLANNER,
              "planner=%016" PRIx64 " former=%016" PRIx64 " jobs=%u", planner,
              cell->planner, owner_count_jobs (cell->jobs));
      leave_planner (cell);
      cell->planner = planner;
      owner_resend_requests (cell->jobs);
      cell_all_rooms_dirty (cell);
    }
  cell_assign (cell);
}

/* Addresses of replaced instances would be dialled for ever.  */
static void
forget_replaced (struct cell *cell, int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct peer *peer = value;
      if (peer->alive || peer->registered
          || now_us - peer->heard_us < PEER_FORGET_US)
        continue;
      cell->ops->disconnect (cell->ctx, peer->link);
      g_hash_table_iter_remove (&it);
    }
}

unsigned
cell_known_peers (const struct cell *cell)
{
  return g_hash_table_size (cell->peers);
}

void
cell_tick_members (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct peer *peer = value;
      if (peer->alive && !cell_peer_alive (cell, peer))
        set_alive (cell, peer, false,
                   peer->closed_us != 0 ? "closed" : "silent");
      set_quiet (cell, peer,
                 peer->alive && now_us - peer->heard_us > PEER_QUIET_US);
    }
  if (now_us - cell->beat_us < BEAT_US)
    return;
  cell->beat_us = now_us;
  forget_replaced (cell, now_us);
  cell_send_beat (cell, NULL);
}

unsigned
cell_peers_alive (struct cell *cell)
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    n += ((struct peer *)value)->alive;
  return n;
}
