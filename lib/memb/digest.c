/* Digests: the effects of received digests of other domains, and the lists of
   instances that this instance's own digests are made from.  */
#include "table.h"

#include <string.h>

void
memb_set_digest_silence (struct memb_table *table, int64_t silence_us)
{
  table->digest_silence_us = silence_us;
}

static void
update_entry (struct memb_table *table, struct memb_entry *entry,
              const struct memb_member *member, int64_t now)
{
  int64_t heard = now - member->age_us;
  if (heard <= entry->heard_us)
    return;
  entry->heard_us = heard;
  /* A digest names no witness, and the witness that the last heartbeat named
     may have stopped since.  */
  entry->peer.witness = 0;
  if (entry->peer.epoch != member->epoch)
    {
      entry->peer.epoch = member->epoch;
      table->dirty = true;
    }
  if (entry->peer.state != MEMB_ALIVE && entry->peer.state != MEMB_LEFT)
    memb_set_state (table, entry, MEMB_ALIVE, MEMB_CHANGE_UP);
}

static void
add_entry (struct memb_table *table, const char *domain,
           const struct memb_member *member, int64_t now)
{
  struct memb_peer reported = { .id = member->id,
                                .control = member->control,
                                .epoch = member->epoch };
  g_strlcpy (reported.domain, domain, sizeof reported.domain);
  if (!memb_on_heartbeat (table, &reported))
    return;
  struct memb_entry *entry = memb_entry_find (table, member->id);
  entry->heard_us = now - member->age_us;
}

static bool
is_listed (const struct memb_member *members, unsigned n, claim_instance_id id)
{
  for (unsigned i = 0; i < n; i++)
    if (members[i].id == id)
      return true;
  return false;
}

void
memb_on_digest (struct memb_table *table, const char *domain,
                const struct memb_member *members, unsigned n)
{
  int64_t now = pl_now_us (table->opts.clock);
  if (strcmp (domain, table->self.domain) == 0)
    return;
  for (unsigned i = 0; i < n; i++)
    {
      struct memb_entry *entry = memb_entry_find (table, members[i].id);
      if (entry != NULL)
        update_entry (table, entry, &members[i], now);
      else if (members[i].age_us < table->opts.forget_us)
        add_entry (table, domain, &members[i], now);
    }
  int64_t limit = table->opts.suspect_us * table->opts.far_factor;
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct memb_entry *entry = memb_entry_get (table, i);
      if (entry->peer.state == MEMB_ALIVE && now - entry->heard_us >= limit
          && strcmp (entry->peer.domain, domain) == 0
          && !is_listed (members, n, entry->peer.id))
        memb_set_state (table, entry, MEMB_SUSPECT, MEMB_CHANGE_SUSPECT);
    }
}

unsigned
memb_list_members (const struct memb_table *table, const char *domain,
                   struct memb_member *out, unsigned max)
{
  unsigned n = 0;
  int64_t now = pl_now_us (table->opts.clock);
  if (strcmp (domain, table->self.domain) == 0 && n < max)
    out[n++] = (struct memb_member){ .id = table->self.id,
                                     .control = table->self.control,
                                     .epoch = table->self.epoch };
  for (unsigned i = 0; i < table->peers->len && n < max; i++)
    {
      const struct memb_entry *entry = memb_entry_get (table, i);
      if (entry->peer.state == MEMB_ALIVE
          && strcmp (entry->peer.domain, domain) == 0)
        out[n++] = (struct memb_member){ .id = entry->peer.id,
                                         .control = entry->peer.control,
                                         .age_us = now - entry->heard_us,
                                         .epoch = entry->peer.epoch };
    }
  return n;
}

/* Inserts ID into the sorted list of the N lowest ids so far; returns the new
   N.  */
static unsigned
insert_lowest (claim_instance_id out[MEMB_DIGEST_RELAYS], unsigned n,
               claim_instance_id id)
{
  unsigned at = n;
  while (at > 0 && out[at - 1] > id)
    at--;
  if (at >= MEMB_DIGEST_RELAYS)
    return n;
  for (unsigned i = MIN (n, MEMB_DIGEST_RELAYS - 1); i > at; i--)
    out[i] = out[i - 1];
  out[at] = id;
  return MIN (n + 1, MEMB_DIGEST_RELAYS);
}

unsigned
memb_list_digest_relays (const struct memb_table *table, const char *domain,
                         claim_instance_id out[MEMB_DIGEST_RELAYS])
{
  unsigned n = 0;
  if (strcmp (domain, table->self.domain) == 0)
    n = insert_lowest (out, n, table->self.id);
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      const struct memb_peer *peer = &memb_entry_get (table, i)->peer;
      if (peer->state == MEMB_ALIVE && strcmp (peer->domain, domain) == 0)
        n = insert_lowest (out, n, peer->id);
    }
  return n;
}
