/* Heartbeats of peers as they arrive: what they tell, and what hearing a peer
   sets off.  */
#include "cell_priv.h"

/* Least time between two forced attempts to connect; a connection across
   regions is set up in less.  */
#define RECONNECT_MIN_US 50000

static void
read_held (struct cell *cell, struct peer *peer, const Cellpb__Heartbeat *msg)
{
  g_hash_table_remove_all (peer->held);
  for (size_t i = 0; i < msg->n_held; i++)
    {
      uint64_t *key = g_new (uint64_t, 1);
      int64_t *token = g_new (int64_t, 1);
      *key = msg->held[i]->worker;
      *token = msg->held[i]->token;
      g_hash_table_insert (peer->held, key, token);
      struct known_worker *known = g_hash_table_lookup (cell->workers, key);
      if (known != NULL)
        cell_record_token (cell, known, *token);
      if (msg->registry_stale)
        cell_relay_changes (cell, peer, msg->held[i]);
    }
}

static bool
lists_this_instance (struct cell *cell, const Cellpb__Heartbeat *msg)
{
  for (size_t i = 0; i < msg->n_heard; i++)
    if (msg->heard[i] == cell->id)
      return true;
  return false;
}

static void
add_listed_peers (struct cell *cell, const Cellpb__Heartbeat *msg)
{
  size_t n = MIN (msg->n_known_ip, msg->n_known_port);
  for (size_t i = 0; i < n; i++)
    cell_add_peer (cell, (struct pl_addr){ msg->known_ip[i],
                                           (uint16_t)msg->known_port[i] });
}

static void
send_newer_config (struct cell *cell, struct peer *peer)
{
  if (peer->config_version >= cell->config_version)
    return;
  gsize len;
  const void *data = g_bytes_get_data (cell->config, &len);
  Cellpb__Config msg = CELLPB__CONFIG__INIT;
  msg.version = cell->config_version;
  msg.text = (ProtobufCBinaryData){ len, (uint8_t *)data };
  Cellpb__Envelope env = CELL_ENVELOPE (config, CONFIG, &msg);
  cell_send_to_peer (cell, peer, &env);
}

/* Forces a new attempt to connect to a peer that is up and does not hear us.
   The pending attempt may have begun while the peer was down, and would wait
   for its timeout.  */
static void
reconnect_if_unheard (struct cell *cell, struct peer *peer)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (peer->two_way || now_us - peer->reconnect_us < RECONNECT_MIN_US)
    return;
  peer->reconnect_us = now_us;
  cell->ops->reconnect (cell->ctx, peer->link);
}

/* Whether a heartbeat of another failure domain is to be ignored.  The next
   tick removes its sender.  */
static bool
is_of_other_domain (struct cell *cell, struct peer *peer,
                    const Cellpb__Heartbeat *msg)
{
  if (!cell->domain_only || !msg->domain_only
      || cell_name_hash (pl_str (msg->domain)) == cell->domain)
    return false;
  if (peer != NULL)
    peer->domain_only = true;
  return true;
}

bool
cell_is_heard_by (struct cell *cell, uint64_t id)
{
  if (id == cell->id)
    return true;
  const struct peer *peer = cell_find_peer (cell, id);
  return peer != NULL && pl_now_us (cell->clock) <= peer->renew_until_us;
}

/* Takes over from a heartbeat until when the sender's runs may have their
   leases renewed here.  A time that is still to come is of a former process on
   this machine.  */
static void
record_echo (struct peer *peer, const Cellpb__Heartbeat *msg, int64_t now_us)
{
  /* A former build tells only that it has heard one of the latest.  */
  int64_t heard_us = peer->echoes ? msg->echo_us : now_us;
  bool valid = heard_us > 0 && heard_us <= now_us;
  peer->renew_until_us = valid ? heard_us + LEASE_OWNER_LOST_US : 0;
}

/* What each heartbeat of a peer sets off, also one that repeats its state.  */
static void
on_heard (struct cell *cell, struct peer *peer, const Cellpb__Envelope *env)
{
  int64_t now_us = pl_now_us (cell->clock);
  peer->last_heartbeat_us = now_us;
  peer->heard_sent_us = env->sent_us;
  record_echo (peer, env->heartbeat, now_us);
  peer->link_closed_us = 0;
  peer->refuses_connections = false;
  reconnect_if_unheard (cell, peer);
  send_newer_config (cell, peer);
  if (peer->domain == cell->domain)
    cell_tell_workers (cell, peer);
  cell_set_alive (cell, peer, peer->two_way, "one-way");
}

/* A heartbeat without its state, which is that of an earlier one.  Without
   that one it says nothing.  */
static void
on_repeat (struct cell *cell, const Cellpb__Envelope *env)
{
  const Cellpb__Heartbeat *msg = env->heartbeat;
  struct pl_addr addr = { msg->ip, (uint16_t)msg->port };
  struct peer *peer = cell_find_peer_at (cell, addr);
  if (peer == NULL)
    return;
  if (peer->id != env->sender || peer->state != msg->state)
    {
      cell_send_heartbeat (cell, peer, true);
      return;
    }
  cell_set_suspected (cell, peer, false);
  on_heard (cell, peer, env);
}

void
cell_on_heartbeat (struct cell *cell, const Cellpb__Envelope *env)
{
  const Cellpb__Heartbeat *msg = env->heartbeat;
  uint64_t sender = env->sender;
  if (msg->repeats)
    {
      on_repeat (cell, env);
      return;
    }
  struct pl_addr addr = { msg->ip, (uint16_t)msg->port };
  if (is_of_other_domain (cell, cell_find_peer_at (cell, addr), msg))
    return;
  cell_add_peer (cell, addr);
  struct peer *peer = cell_find_peer_at (cell, addr);
  if (peer == NULL)
    return; /* our own heartbeat */
  bool restarted = peer->id != 0 && peer->id != sender;
  cell_set_suspected (cell, peer, false);
  if (restarted)
    cell_set_alive (cell, peer, false, "restarted");
  bool new_peer = peer->id != sender;
  if (new_peer)
    {
      peer->clock_offset_at_us = 0;
      peer->link_in = NULL; /* of its former process */
    }
  peer->id = sender;
  g_free (peer->name);
  peer->name = g_strdup (msg->name);
  peer->domain = cell_name_hash (pl_str (msg->domain));
  peer->state = msg->state;
  peer->takes_repeats = msg->takes_repeats;
  peer->echoes = msg->echoes;
  peer->reads_registry = msg->reads_registry;
  peer->registry_revision = msg->registry_revision;
  if (peer->draining != msg->draining || peer->ready != msg->ready)
    cell->candidates_changed = true;
  if (cell->candidates_changed || peer->cpu_share != msg->cpu_share)
    cell->membership_changed = true;
  peer->cpu_share = msg->cpu_share;
  peer->two_way = lists_this_instance (cell, msg);
  peer->draining = msg->draining;
  peer->ready = msg->ready;
  peer->config_version = msg->config_version;
  peer->domain_only = msg->domain_only;
  peer->registry_stale = msg->registry_stale;
  cell_follow_mode (cell, peer);
  read_held (cell, peer, msg);
  cell_read_evacuations (cell, msg);
  add_listed_peers (cell, msg);
  on_heard (cell, peer, env);
  if (new_peer || msg->asks_state) /* tells it at once that we hear it */
    cell_send_heartbeat (cell, peer, false);
}
