/* Heartbeats (message Heartbeat) as they are sent: the state of this instance,
   the peers that it hears and the workers that it holds, to all peers
   periodically.  */
#include "cell_priv.h"

/* All is told again after this time, though nothing has changed.  */
#define FULL_PERIOD_US 1000000

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

/* Collects what is known of evacuations in EVACUATIONS, and in POINTERS
   pointers to its entries.  */
static void
collect_evacuations (struct cell *cell, GArray *evacuations,
                     GPtrArray *pointers)
{
  g_autoptr (GArray) known = evac_list (cell->evacuations);
  for (guint i = 0; i < known->len; i++)
    {
      const struct evac_entry *entry
          = &g_array_index (known, struct evac_entry, i);
      Cellpb__Evacuation msg = CELLPB__EVACUATION__INIT;
      msg.domain = entry->domain;
      msg.revision = entry->revision;
      msg.active = entry->active;
      g_array_append_val (evacuations, msg);
    }
  for (guint i = 0; i < evacuations->len; i++)
    g_ptr_array_add (pointers,
                     &g_array_index (evacuations, Cellpb__Evacuation, i));
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
  GArray *evacuations;     /* Cellpb__Evacuation */
  GPtrArray *evacuation_entries;
};

static void
full_heartbeat_init (struct full_heartbeat *full, struct cell *cell)
{
  full->heard.ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  full->heard.ips = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  full->heard.ports = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  full->held = g_array_new (FALSE, FALSE, sizeof (Cellpb__Held));
  full->held_entries = g_ptr_array_new ();
  full->evacuations = g_array_new (FALSE, FALSE, sizeof (Cellpb__Evacuation));
  full->evacuation_entries = g_ptr_array_new ();
  Cellpb__Heartbeat *msg = &full->msg;
  cellpb__heartbeat__init (msg);
  collect_heard (cell, &full->heard);
  fill_heard (msg, &full->heard);
  collect_held (cell, full->held, full->held_entries);
  msg->held = (Cellpb__Held **)full->held_entries->pdata;
  msg->n_held = full->held_entries->len;
  collect_evacuations (cell, full->evacuations, full->evacuation_entries);
  msg->evacuations = (Cellpb__Evacuation **)full->evacuation_entries->pdata;
  msg->n_evacuations = full->evacuation_entries->len;
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
  g_array_unref (full->evacuations);
  g_ptr_array_unref (full->evacuation_entries);
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
