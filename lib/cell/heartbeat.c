/* Heartbeats (message Heartbeat): the state of this instance, the peers that
   it hears and the workers that it holds, sent to all peers periodically.  */
#include "cell_priv.h"

/* All is told again after this time, though nothing has changed.  */
#define FULL_PERIOD_US 1000000
/* Least time between two forced attempts to connect; a connection across
   regions is set up in less.  */
#define RECONNECT_MIN_US 50000

/* The peers that this instance hears, as parallel arrays like in Heartbeat. */
struct heard
{
  GArray *ids;   /* uint64_t */
  GArray *ips;   /* uint32_t */
  GArray *ports; /* uint32_t */
};

static void
collect_heard (struct cell *cell, struct heard *heard)
{
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (peer->id == 0 || now_us - peer->last_heartbeat_us > PEER_LOST_US)
        continue;
      uint32_t port = peer->addr.port;
      g_array_append_val (heard->ids, peer->id);
      g_array_append_val (heard->ips, peer->addr.ip);
      g_array_append_val (heard->ports, port);
    }
}

static void
fill_heard (Cellpb__Heartbeat *msg, const struct heard *heard)
{
  msg->heard = (uint64_t *)(void *)heard->ids->data;
  msg->n_heard = heard->ids->len;
  msg->known_ip = (uint32_t *)(void *)heard->ips->data;
  msg->n_known_ip = heard->ips->len;
  msg->known_port = (uint32_t *)(void *)heard->ports->data;
  msg->n_known_port = heard->ports->len;
}

/* Collects the held workers in HELD, and in POINTERS pointers to its entries.
 */
static void
collect_held (struct cell *cell, GArray *held, GPtrArray *pointers)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct lease_worker *w = value;
      if (w->token == LEASE_PROBE_TOKEN)
        continue;
      Cellpb__Held entry = CELLPB__HELD__INIT;
      entry.worker = w->info.worker;
      entry.token = w->token;
      const struct known_worker *known
          = g_hash_table_lookup (cell->workers, &w->info.worker);
      if (!cell->registry_fresh && known != NULL)
        entry.revision = known->changed_revision;
      g_array_append_val (held, entry);
    }
  for (guint i = 0; i < held->len; i++)
    g_ptr_array_add (pointers, &g_array_index (held, Cellpb__Held, i));
}

/* Hash of what MSG tells, never 0.  */
static uint64_t
hash_state (const Cellpb__Heartbeat *msg)
{
  size_t len = cellpb__heartbeat__get_packed_size (msg);
  g_autofree uint8_t *data = g_malloc (len);
  cellpb__heartbeat__pack (msg, data);
  return cell_name_hash ((struct pl_str){ (const char *)data, len });
}

/* A heartbeat in full, but for the echo, which differs between its receivers.
 */
struct full_heartbeat
{
  Cellpb__Heartbeat msg;
  struct heard heard;
  GArray *held;            /* Cellpb__Held */
  GPtrArray *held_entries; /* pointers to them */
};

static void
full_heartbeat_init (struct full_heartbeat *full, struct cell *cell)
{
  full->heard.ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  full->heard.ips = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  full->heard.ports = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  full->held = g_array_new (FALSE, FALSE, sizeof (Cellpb__Held));
  full->held_entries = g_ptr_array_new ();
  Cellpb__Heartbeat *msg = &full->msg;
  cellpb__heartbeat__init (msg);
  collect_heard (cell, &full->heard);
  fill_heard (msg, &full->heard);
  collect_held (cell, full->held, full->held_entries);
  msg->held = (Cellpb__Held **)full->held_entries->pdata;
  msg->n_held = full->held_entries->len;
  msg->name = cell->name;
  msg->domain = cell->domain_name;
  msg->ip = cell->addr.ip;
  msg->port = cell->addr.port;
  msg->draining = cell->draining;
  msg->ready = cell->ready;
  msg->config_version = cell->config_version;
  msg->cpu_share = cell->cpu_share;
  msg->registry_stale = !cell->registry_fresh;
  msg->domain_only = cell->domain_only;
  msg->reads_registry = cell_reads_registry (cell);
  msg->registry_revision = msg->reads_registry ? 0 : cell->registry_revision;
  msg->takes_repeats = true;
  msg->echoes = true;
  msg->state = hash_state (msg);
}

static void
full_heartbeat_clear (struct full_heartbeat *full)
{
  g_array_unref (full->heard.ids);
  g_array_unref (full->heard.ips);
  g_array_unref (full->heard.ports);
  g_array_unref (full->held);
  g_ptr_array_unref (full->held_entries);
}

/* Sends MSG with the echo for PEER.  A peer that is taken for lost gets none:
   the time after which its runs count as expired has begun already.  */
static void
send_with_echo (struct cell *cell, struct peer *peer, Cellpb__Heartbeat *msg)
{
  msg->echo_us = peer->alive ? peer->heard_sent_us : 0;
  Cellpb__Envelope env = CELL_ENVELOPE (heartbeat, HEARTBEAT, msg);
  cell_send_to_peer (cell, peer, &env);
}

void
cell_send_heartbeat (struct cell *cell, struct peer *to, bool asks_state)
{
  struct full_heartbeat full;
  full_heartbeat_init (&full, cell);
  full.msg.asks_state = asks_state;
  send_with_echo (cell, to, &full.msg);
  full_heartbeat_clear (&full);
}

void
cell_send_heartbeats (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  struct full_heartbeat full;
  full_heartbeat_init (&full, cell);
  Cellpb__Heartbeat repeat = CELLPB__HEARTBEAT__INIT;
  repeat.ip = cell->addr.ip;
  repeat.port = cell->addr.port;
  repeat.state = full.msg.state;
  repeat.repeats = true;
  /* Peers that the registry does not serve are told of changes as of the
     workers in their heartbeats.  */
  bool in_full = full.msg.state != cell->heartbeat_state
                 || !cell->registry_fresh
                 || now_us - cell->heartbeat_full_us >= FULL_PERIOD_US;
  if (in_full)
    cell->heartbeat_full_us = now_us;
  cell->heartbeat_state = full.msg.state;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct peer *peer = value;
      bool repeats = !in_full && peer->alive && peer->takes_repeats;
      send_with_echo (cell, peer, repeats ? &repeat : &full.msg);
    }
  full_heartbeat_clear (&full);
}

/* Receiving.  */

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
  add_listed_peers (cell, msg);
  on_heard (cell, peer, env);
  if (new_peer || msg->asks_state) /* tells it at once that we hear it */
    cell_send_heartbeat (cell, peer, false);
}
