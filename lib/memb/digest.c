/* Instances of other domains that are known by digests.  */
#include "table.h"

#include <string.h>

void
memb_set_digest_silence (struct memb_table *table, int64_t silence_us)
{
  table->digest_silence_us = silence_us;
}

static void
refresh (struct memb_table *table, struct memb_entry *entry,
         const struct memb_member *member, int64_t now)
{
  int64_t heard = now - member->age_us;
  if (heard <= entry->heard_us)
    return;
  entry->heard_us = heard;
  /* The witness that a heartbeat named may be gone by now.  */
  entry->digested = true;
  entry->peer.witness = 0;
  if (entry->peer.epoch != member->epoch)
    {
      entry->peer.epoch = member->epoch;
      table->dirty = true;
    }
  if (entry->peer.state != MEMB_ALIVE && entry->peer.state != MEMB_LEFT)
    memb_change (table, entry, MEMB_ALIVE, MEMB_CHANGE_UP);
}

static void
learn (struct memb_table *table, const char *domain,
       const struct memb_member *member, int64_t now)
{
  struct memb_peer said = { .id = member->id,
                            .control = member->control,
                            .epoch = member->epoch };
  g_strlcpy (said.domain, domain, sizeof said.domain);
  if (!memb_heard (table, &said))
    return;
  struct memb_entry *entry = memb_entry_find (table, member->id);
  entry->heard_us = now - member->age_us;
  entry->digested = true;
}

static bool
listed (const struct memb_member *members, unsigned n, claim_instance_id id)
{
  for (unsigned i = 0; i < n; i++)
    if (members[i].id == id)
      return true;
  return false;
}

void
memb_digest (struct memb_table *table, const char *domain,
             const struct memb_member *members, unsigned n)
{
  int64_t now = pl_now_us (table->opts.clock);
  if (strcmp (domain, table->self.domain) == 0)
    return;
  for (unsigned i = 0; i < n; i++)
    {
      struct memb_entry *entry = memb_entry_find (table, members[i].id);
      if (entry != NULL)
        refresh (table, entry, &members[i], now);
      else if (members[i].age_us < table->opts.forget_us)
        learn (table, domain, &members[i], now);
    }
  int64_t limit = table->opts.suspect_us * table->opts.far_factor;
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct memb_entry *entry = memb_entry_at (table, i);
      if (entry->peer.state == MEMB_ALIVE && now - entry->heard_us >= limit
          && strcmp (entry->peer.domain, domain) == 0
          && !listed (members, n, entry->peer.id))
        memb_change (table, entry, MEMB_SUSPECT, MEMB_CHANGE_SUSPECT);
    }
}

unsigned
memb_members (const struct memb_table *table, const char *domain,
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
      const struct memb_entry *entry = memb_entry_at (table, i);
      if (entry->peer.state == MEMB_ALIVE
          && strcmp (entry->peer.domain, domain) == 0)
        out[n++] = (struct memb_member){ .id = entry->peer.id,
                                         .control = entry->peer.control,
                                         .age_us = now - entry->heard_us,
                                         .epoch = entry->peer.epoch };
    }
  return n;
}

static unsigned
insert_low (claim_instance_id out[MEMB_RELAYS], unsigned n,
            claim_instance_id id)
{
  unsigned at = n;
  while (at > 0 && out[at - 1] > id)
    at--;
  if (at >= MEMB_RELAYS)
    return n;
  for (unsigned i = MIN (n, MEMB_RELAYS - 1); i > at; i--)
    out[i] = out[i - 1];
  out[at] = id;
  return MIN (n + 1, MEMB_RELAYS);
}

unsigned
memb_relays (const struct memb_table *table, const char *domain,
             claim_instance_id out[MEMB_RELAYS])
{
  unsigned n = 0;
  if (strcmp (domain, table->self.domain) == 0)
    n = insert_low (out, n, table->self.id);
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      const struct memb_peer *peer = &memb_entry_at (table, i)->peer;
      if (peer->state == MEMB_ALIVE && strcmp (peer->domain, domain) == 0)
        n = insert_low (out, n, peer->id);
    }
  return n;
}
