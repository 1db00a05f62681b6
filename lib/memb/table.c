/* The membership table: heartbeats, the states of silent peers, and the choice
   of the witness and the heir.  */
#include "table.h"

#include <string.h>
#include <xxhash.h>

/* A gap between two ticks of at least the suspicion time divided by this is
   taken for a pause of this process.  */
#define PAUSE_DIVISOR 2

struct memb_table *
memb_table_new (const struct memb_opts *opts)
{
  struct memb_table *table = g_new0 (struct memb_table, 1);
  table->opts = *opts;
  table->peers = g_ptr_array_new_with_free_func (g_free);
  table->self.id = opts->self;
  table->self.control = opts->control;
  g_strlcpy (table->self.domain, opts->domain, sizeof table->self.domain);
  table->last_tick_us = pl_now_us (opts->clock);
  table->dirty = true;
  return table;
}

void
memb_table_free (struct memb_table *table)
{
  g_ptr_array_unref (table->peers);
  g_free (table);
}

struct memb_entry *
memb_entry_get (const struct memb_table *table, unsigned index)
{
  return g_ptr_array_index (table->peers, index);
}

struct memb_entry *
memb_entry_find (const struct memb_table *table, claim_instance_id id)
{
  for (unsigned i = 0; i < table->peers->len; i++)
    if (memb_entry_get (table, i)->peer.id == id)
      return memb_entry_get (table, i);
  return NULL;
}

void
memb_set_state (struct memb_table *table, struct memb_entry *entry,
                enum memb_state state, enum memb_change what)
{
  entry->peer.state = state;
  table->dirty = true;
  if (table->opts.changed != NULL)
    table->opts.changed (&entry->peer, what,
                         pl_now_us (table->opts.clock) - entry->heard_us,
                         table->opts.user);
}

static void
set_left (struct memb_table *table, struct memb_entry *entry)
{
  if (entry->peer.state != MEMB_LEFT)
    memb_set_state (table, entry, MEMB_LEFT, MEMB_CHANGE_LEFT);
}

/* Marks incarnations other than ID at ADDR as left.  */
static void
set_former_left (struct memb_table *table, struct pl_addr addr,
                 claim_instance_id id)
{
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct memb_entry *entry = memb_entry_get (table, i);
      if (entry->peer.id != id && pl_addr_eq (entry->peer.control, addr))
        set_left (table, entry);
    }
}

static bool
is_same_report (const struct memb_peer *a, const struct memb_peer *b)
{
  return a->draining == b->draining && a->epoch == b->epoch
         && a->witness == b->witness && a->revision == b->revision
         && pl_addr_eq (a->control, b->control)
         && strcmp (a->domain, b->domain) == 0;
}

bool
memb_on_heartbeat (struct memb_table *table, const struct memb_peer *reported)
{
  struct memb_entry *entry = memb_entry_find (table, reported->id);
  if (reported->id == table->self.id
      || pl_addr_eq (reported->control, table->self.control))
    return false;
  if (entry != NULL && entry->peer.state == MEMB_LEFT)
    return false;
  if (entry == NULL && table->peers->len >= MEMB_MAX_PEERS)
    return false;
  set_former_left (table, reported->control, reported->id);
  bool up = entry == NULL || entry->peer.state != MEMB_ALIVE;
  if (entry == NULL)
    {
      entry = g_new0 (struct memb_entry, 1);
      g_ptr_array_add (table->peers, entry);
    }
  if (up || !is_same_report (&entry->peer, reported))
    table->dirty = true;
  entry->peer = *reported;
  entry->peer.state = MEMB_ALIVE;
  entry->heard_us = pl_now_us (table->opts.clock);
  if (up)
    memb_set_state (table, entry, MEMB_ALIVE, MEMB_CHANGE_UP);
  return true;
}

void
memb_set_left (struct memb_table *table, claim_instance_id id)
{
  struct memb_entry *entry = memb_entry_find (table, id);
  if (entry != NULL)
    set_left (table, entry);
}

bool
memb_in_own_domain (const struct memb_table *table,
                    const struct memb_peer *peer)
{
  return strcmp (peer->domain, table->self.domain) == 0;
}

/* Changes the state of a silent peer; returns true if the entry is to be
   removed.  */
static bool
tick_entry (struct memb_table *table, struct memb_entry *entry, int64_t now)
{
  const struct memb_opts *opts = &table->opts;
  int64_t silence = now - entry->heard_us;
  int64_t factor
      = memb_in_own_domain (table, &entry->peer) ? 1 : opts->far_factor;
  int64_t suspect_us = opts->suspect_us * factor;
  int64_t dead_us = opts->dead_us * factor;
  int64_t forget_us = opts->forget_us;
  if (factor > 1 && entry->peer.state == MEMB_ALIVE)
    {
      /* A live peer of another domain is heard of by digests, which may be
         rarer than heartbeats.  */
      suspect_us = MAX (suspect_us, table->digest_silence_us);
      forget_us = MAX (forget_us, 2 * table->digest_silence_us);
    }
  if (silence >= forget_us)
    {
      memb_set_state (table, entry, entry->peer.state, MEMB_CHANGE_FORGOTTEN);
      return true;
    }
  if (entry->peer.state == MEMB_ALIVE && silence >= suspect_us)
    memb_set_state (table, entry, MEMB_SUSPECT, MEMB_CHANGE_SUSPECT);
  if (entry->peer.state == MEMB_SUSPECT && silence >= dead_us)
    memb_set_state (table, entry, MEMB_DEAD, MEMB_CHANGE_DEAD);
  return false;
}

static bool
can_witness (const struct memb_table *table, const struct memb_entry *entry)
{
  const struct memb_peer *peer = &entry->peer;
  return peer->state == MEMB_ALIVE && !peer->draining && !entry->unresponsive
         && memb_in_own_domain (table, peer);
}

/* The rank of ID by a hash of this instance's id and ID, so that instances
   rank the same peers in different orders and don't all choose the same one.
 */
static uint64_t
rank_of (const struct memb_table *table, claim_instance_id id)
{
  const uint64_t words[] = { table->self.id, id };
  return XXH3_64bits (words, sizeof words);
}

/* The live peer that is not draining and has the highest rank, or null;
   WITNESS_ONLY restricts the choice to possible witnesses.  */
static const struct memb_peer *
find_best_peer (const struct memb_table *table, bool witness_only)
{
  const struct memb_peer *best = NULL;
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      const struct memb_entry *entry = memb_entry_get (table, i);
      const struct memb_peer *peer = &entry->peer;
      if (peer->state != MEMB_ALIVE || peer->draining)
        continue;
      if (witness_only && !can_witness (table, entry))
        continue;
      if (best == NULL
          || rank_of (table, peer->id) > rank_of (table, best->id))
        best = peer;
    }
  return best;
}

/* Keeps a witness while it can be one, also when a peer with a higher rank
   joins, because a change of the key prefix gains nothing.  */
static void
choose_witness (struct memb_table *table)
{
  const struct memb_entry *current
      = memb_entry_find (table, table->self.witness);
  if (current != NULL && can_witness (table, current))
    return;
  const struct memb_peer *best = find_best_peer (table, true);
  claim_instance_id witness = best == NULL ? 0 : best->id;
  if (witness == table->self.witness)
    return;
  table->self.witness = witness;
  table->dirty = true;
  pl_log (PL_EV_WITNESS, "witness=%016" G_GINT64_MODIFIER "x", witness);
}

void
memb_set_unresponsive (struct memb_table *table, claim_instance_id id,
                       bool unresponsive)
{
  struct memb_entry *entry = memb_entry_find (table, id);
  if (entry == NULL || entry->unresponsive == unresponsive)
    return;
  entry->unresponsive = unresponsive;
  choose_witness (table);
}

bool
memb_is_unresponsive (const struct memb_table *table, claim_instance_id id)
{
  const struct memb_entry *entry = memb_entry_find (table, id);
  return entry != NULL && entry->unresponsive;
}

const struct memb_peer *
memb_choose_heir (const struct memb_table *table)
{
  const struct memb_entry *current
      = memb_entry_find (table, table->self.witness);
  if (current != NULL && can_witness (table, current))
    return &current->peer;
  const struct memb_peer *best = find_best_peer (table, true);
  return best != NULL ? best : find_best_peer (table, false);
}

/* Ticks are usually at most 50 ms apart.  A much longer gap means that this
   process was paused and that heartbeats are queued unread, so the gap doesn't
   count as silence of the peers.  */
static void
discount_pause (struct memb_table *table, int64_t now)
{
  int64_t gap = now - table->last_tick_us;
  table->last_tick_us = now;
  if (gap < table->opts.suspect_us / PAUSE_DIVISOR)
    return;
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct memb_entry *entry = memb_entry_get (table, i);
      entry->heard_us = MIN (entry->heard_us + gap, now);
    }
}

void
memb_tick (struct memb_table *table)
{
  int64_t now = pl_now_us (table->opts.clock);
  discount_pause (table, now);
  for (unsigned i = table->peers->len; i-- > 0;)
    if (tick_entry (table, memb_entry_get (table, i), now))
      g_ptr_array_remove_index_fast (table->peers, i);
  memb_expire_heirs (table, now);
  choose_witness (table);
}

void
memb_set_self (struct memb_table *table, int64_t epoch, int64_t revision,
               bool draining)
{
  struct memb_peer *self = &table->self;
  if (self->epoch == epoch && self->revision == revision
      && self->draining == draining)
    return;
  self->epoch = epoch;
  self->revision = revision;
  self->draining = draining;
  table->dirty = true;
}

const struct memb_peer *
memb_table_find (const struct memb_table *table, claim_instance_id id)
{
  const struct memb_entry *entry = memb_entry_find (table, id);
  return entry == NULL ? NULL : &entry->peer;
}

const struct memb_peer *
memb_table_find_addr (const struct memb_table *table, struct pl_addr addr)
{
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      const struct memb_peer *peer = &memb_entry_get (table, i)->peer;
      if (peer->state != MEMB_LEFT && pl_addr_eq (peer->control, addr))
        return peer;
    }
  return NULL;
}

unsigned
memb_table_count (const struct memb_table *table)
{
  return table->peers->len;
}

const struct memb_peer *
memb_table_get (const struct memb_table *table, unsigned index)
{
  return &memb_entry_get (table, index)->peer;
}

const struct memb_peer *
memb_table_self (const struct memb_table *table)
{
  return &table->self;
}
