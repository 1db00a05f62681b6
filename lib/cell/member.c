/* Membership: which peers are alive, and which instance plans.

   A peer is alive while its heartbeats arrive and list this instance.  The
   planner is the live instance with the most processor time, and of these the
   one with the smallest name; each instance chooses it by itself, so that two
   may plan for a while.  */
#include "cell_priv.h"

/* After two missing heartbeats a peer is suspected: it is not chosen as
   planner and gets no new tasks, but keeps its workers and runs.  */
#define PEER_SUSPECT_US 250000
/* A tick that comes this late shows that the process was paused: stopped by a
   signal, or its machine not scheduled.  */
#define PAUSE_US 200000

struct peer *
cell_find_peer_at (const struct cell *cell, struct pl_addr addr)
{
  uint64_t key = cell_addr_key (addr);
  return g_hash_table_lookup (cell->peers, &key);
}

void
cell_add_peer (struct cell *cell, struct pl_addr addr)
{
  if (pl_addr_eq (addr, cell->addr) || !cell_may_be_peer (cell, addr)
      || cell_find_peer_at (cell, addr) != NULL)
    return;
  struct peer *peer = g_new0 (struct peer, 1);
  peer->addr = addr;
  peer->last_heartbeat_us = pl_now_us (cell->clock);
  peer->held
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  uint64_t *key = g_new (uint64_t, 1);
  *key = cell_addr_key (addr);
  g_hash_table_insert (cell->peers, key, peer);
  peer->link = cell->ops->connect (cell->ctx, addr);
}

struct peer *
cell_find_peer (struct cell *cell, uint64_t id)
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
cell_is_peer_alive (struct cell *cell, const struct peer *peer)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (peer->id == 0 || !peer->two_way
      || now_us - peer->last_heartbeat_us > PEER_LOST_US)
    return false;
  return peer->link_closed_us == 0
         || now_us - peer->link_closed_us < PEER_RECONNECT_US;
}

/* Whether PEER may have missed this instance's heartbeats at some time since
   SINCE_US, and may have taken its workers.  An address at which nobody was
   ever heard counts only if an instance is registered there.  */
static bool
may_have_missed_heartbeats (struct cell *cell, const struct peer *peer,
                            int64_t since_us)
{
  if (cell_has_peer_ended (peer) || (peer->id == 0 && !peer->registered))
    return false;
  return peer->suspected || !cell_is_peer_alive (cell, peer)
         || peer->alive_since_us > since_us;
}

bool
cell_may_be_succeeded (struct cell *cell, int64_t since_us)
{
  /* The second is a pause that no tick has noticed yet.  */
  if (cell->resumed_us > since_us
      || pl_now_us (cell->clock) - cell->ticked_us > PAUSE_US)
    return true;
  /* Another domain adopts the workers of one whose instances the registry has
     lost.  */
  if (cell->domain_only && !cell->registry_fresh)
    return true;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (may_have_missed_heartbeats (cell, value, since_us))
      return true;
  return false;
}

/* What peers sent during a pause has not been read yet: their silence is
   counted without the pause.  They are asked at once whether they still hear
   this instance, which decides on the renewal of leases.  */
static void
discount_pause (struct cell *cell, int64_t gap_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct peer *peer = value;
      peer->last_heartbeat_us += gap_us;
      if (peer->link_closed_us != 0)
        peer->link_closed_us += gap_us;
      cell_send_heartbeat (cell, peer, true);
    }
}

void
cell_notice_pause (struct cell *cell, int64_t now_us)
{
  int64_t gap_us = now_us - cell->ticked_us;
  if (cell->ticked_us != 0 && gap_us > PAUSE_US)
    {
      cell->resumed_us = now_us;
      discount_pause (cell, gap_us);
      pl_log (PL_EV_RESUMED, "gap_ms=%" PRId64 " held=%u jobs=%u",
              gap_us / 1000, cell_count_held_workers (cell),
              owner_count_jobs (cell->jobs));
    }
  cell->ticked_us = now_us;
}

/* Upper bound of the drift between the monotonic clocks of two machines.  */
#define CLOCK_DRIFT_PERCENT 3

/* Stops the runs that the peer owns on workers held here, and drops the peer
   as holder, owner and planner.  */
static void
on_peer_lost (struct cell *cell, struct peer *peer, const char *reason)
{
  int64_t now_us = pl_now_us (cell->clock);
  pl_log (PL_EV_PEER_GONE, "peer=%s reason=%s silence_ms=%" PRId64, peer->name,
          reason, (now_us - peer->last_heartbeat_us) / 1000);
  lease_stop_runs_of_owner (cell->leases, peer->id, now_us);
  owner_on_holder_lost (cell->jobs, peer->id, peer->last_heartbeat_us);
  planner_remove_holder (cell->planner, peer->id);
  planner_remove_owner (cell->planner, peer->id);
  /* Even if the peer is heard again before the planner is chosen anew, it has
     dropped our requests and reports: they must be sent again.  */
  if (peer->id == cell->planner_id)
    cell->planner_id = 0;
  cell->membership_changed = true;
}

void
cell_set_alive (struct cell *cell, struct peer *peer, bool alive,
                const char *reason)
{
  if (peer->alive == alive)
    return;
  peer->alive = alive;
  peer->alive_since_us = pl_now_us (cell->clock);
  cell->membership_changed = true;
  cell->candidates_changed = true;
  if (!alive)
    {
      on_peer_lost (cell, peer, reason);
      return;
    }
  pl_log (PL_EV_PEER_UP, "peer=%s domain=%016" PRIx64, peer->name,
          peer->domain);
  /* Starts and claims are accepted from an instance that has told that it
     hears the holder.  */
  cell_send_heartbeat (cell, peer, false);
  cell_send_cancellations (cell, peer);
  owner_on_holder_recovered (cell->jobs, peer->id);
}

bool
cell_detect_stale_frame (struct cell *cell, uint64_t sender, int64_t sent_us)
{
  struct peer *peer = cell_find_peer (cell, sender);
  if (peer == NULL)
    return false; /* its first heartbeat */
  int64_t now_us = pl_now_us (cell->clock);
  int64_t expected_us
      = peer->clock_offset_us
        + (now_us - peer->clock_offset_at_us) * CLOCK_DRIFT_PERCENT / 100;
  int64_t age_us = now_us - sent_us - expected_us;
  if (age_us <= 0 || peer->clock_offset_at_us == 0)
    {
      peer->clock_offset_us = now_us - sent_us;
      peer->clock_offset_at_us = now_us;
      return false;
    }
  if (age_us < PEER_LOST_US)
    return false;
  /* The frame's message is not handled.  Treating the sender as lost makes
     both sides send their state again.  */
  cell_set_alive (cell, peer, false, "stale");
  return true;
}

void
cell_set_suspected (struct cell *cell, struct peer *peer, bool suspected)
{
  if (peer->suspected == suspected)
    return;
  peer->suspected = suspected;
  planner_pause_holder (cell->planner, peer->id, suspected);
  cell->plan_due = true;
  cell->membership_changed = true;
}

static struct peer *
find_peer_of_link (struct cell *cell, const void *link)
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
  struct peer *peer = find_peer_of_link (cell, link);
  if (peer == NULL)
    {
      cell_note_call (cell, link, true);
      cell_remote_link_up (cell, link);
      return;
    }
  peer->refuses_connections = false;
  cell_send_heartbeat (cell, peer, false);
  cell_send_crashes (cell, peer);
  cell_on_link_replaced (cell, peer);
  cell->ops->wake (cell->ctx);
}

void
cell_outgoing_link_down (struct cell *cell, void *link, bool refused)
{
  struct peer *peer = find_peer_of_link (cell, link);
  if (peer != NULL)
    peer->refuses_connections = refused;
  else
    {
      cell_note_call (cell, link, false);
      cell_remote_link_down (cell, link, refused);
    }
}

void
cell_incoming_link_closed (struct cell *cell, uint64_t link_peer)
{
  struct peer *peer = link_peer == 0 ? NULL : cell_find_peer (cell, link_peer);
  if (peer != NULL && peer->link_closed_us == 0)
    peer->link_closed_us = pl_now_us (cell->clock);
  overflow_on_origin_closed (cell->received, link_peer,
                             pl_now_us (cell->clock));
}

static bool
may_plan (bool ready, bool draining)
{
  return ready && !draining;
}

/* The best planner among the live instances that are ready and neither
   draining nor suspected; this one if there is none.  Planning takes more
   processor time than all else: on a small machine it delays every job, and
   that machine's own watch of the registry.  */
static uint64_t
choose_planner (struct cell *cell)
{
  uint64_t best = cell->id;
  uint32_t cpu_share = cell->cpu_share;
  const char *name
      = may_plan (cell->ready, cell->draining) ? cell->name : NULL;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!peer->alive || peer->suspected || !cell_is_candidate (cell, peer)
          || !may_plan (peer->ready, peer->draining))
        continue;
      if (name != NULL
          && (peer->cpu_share < cpu_share
              || (peer->cpu_share == cpu_share
                  && g_strcmp0 (peer->name, name) > 0)))
        continue;
      best = peer->id;
      cpu_share = peer->cpu_share;
      name = peer->name;
    }
  return best;
}

/* Withdraws our requests and reports from the former planner.  It may go on
   planning for instances that don't hear the new one.  */
static void
withdraw_from_planner (struct cell *cell)
{
  if (cell->planner_id == 0)
    return; /* the former planner was lost */
  owner_withdraw_requests (cell->jobs);
  cell_withdraw_reports (cell);
}

void
cell_apply_membership (struct cell *cell)
{
  uint64_t planner_id = choose_planner (cell);
  if (planner_id != cell->planner_id)
    {
      pl_log (PL_EV_PLANNER,
              "planner=%016" PRIx64 " former=%016" PRIx64 " jobs=%u",
              planner_id, cell->planner_id, owner_count_jobs (cell->jobs));
      withdraw_from_planner (cell);
      cell->planner_id = planner_id;
      owner_resend_requests (cell->jobs);
      cell_mark_all_reports_due (cell);
    }
  if (cell->candidates_changed)
    cell_weigh_workers (cell);
  cell->candidates_changed = false;
  cell_assign_workers (cell);
}

/* Removes peers of other failure domains that are not wanted any more, and
   those that were replaced, whose addresses would be tried for ever.  */
static void
forget_peers (struct cell *cell, int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct peer *peer = value;
      bool replaced = !peer->alive && !peer->registered
                      && now_us - peer->last_heartbeat_us >= PEER_FORGET_US;
      if (!replaced && cell_is_peer_wanted (cell, peer))
        continue;
      cell_set_alive (cell, peer, false, "unwanted");
      cell->ops->disconnect (cell->ctx, peer->link);
      g_hash_table_iter_remove (&it);
    }
}

unsigned
cell_count_known_peers (const struct cell *cell)
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
      if (peer->alive && !cell_is_peer_alive (cell, peer))
        cell_set_alive (cell, peer, false,
                        peer->link_closed_us != 0 ? "closed" : "silent");
      cell_set_suspected (
          cell, peer,
          peer->alive && now_us - peer->last_heartbeat_us > PEER_SUSPECT_US);
    }
  if (now_us - cell->heartbeat_us < HEARTBEAT_PERIOD_US)
    return;
  cell->heartbeat_us = now_us;
  forget_peers (cell, now_us);
  cell_tick_domains (cell);
  cell_tick_reader (cell);
  cell_send_heartbeats (cell);
}

unsigned
cell_count_live_peers (struct cell *cell)
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    n += ((struct peer *)value)->alive;
  return n;
}
