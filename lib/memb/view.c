/* Queries on a view: peers, authorities, key prefixes and slot shares.  */
#include "memb.h"

#include <string.h>
#include <xxhash.h>

const struct memb_peer *
memb_find (const struct memb_view *view, claim_instance_id id)
{
  if (id == view->self.id)
    return &view->self;
  for (unsigned i = 0; i < view->n_peers; i++)
    if (view->peers[i].id == id)
      return &view->peers[i];
  return NULL;
}

static claim_instance_id
find_heir (const struct memb_view *view, claim_instance_id owner)
{
  for (unsigned i = 0; i < view->n_heirs; i++)
    if (view->heirs[i].owner == owner)
      return view->heirs[i].heir;
  return 0;
}

claim_instance_id
memb_authority (const struct memb_view *view, claim_instance_id owner)
{
  /* An heir may have stopped, too, and have an heir itself.  The bound on the
     steps ends the search if faulty messages have made a cycle.  */
  for (unsigned i = 0; i <= view->n_heirs && owner != 0; i++)
    {
      const struct memb_peer *peer = memb_find (view, owner);
      if (peer != NULL && peer->state != MEMB_LEFT)
        return owner;
      owner = find_heir (view, owner);
    }
  return 0;
}

/* The preference for issuing PEER's prefix while this instance drains; 0: the
   prefix can't be issued.  Peers of the own domain are preferred to others,
   and of peers that are equal in this, those whose witness is not this
   instance.  */
static unsigned
prefix_preference (const struct memb_view *view, const struct memb_peer *peer)
{
  if (peer->state != MEMB_ALIVE || peer->draining || peer->epoch == 0)
    return 0;
  unsigned preference = 1;
  if (strcmp (peer->domain, view->self.domain) == 0)
    preference += 2;
  if (peer->witness != view->self.id)
    preference += 1;
  return preference;
}

char *
memb_prefix_text (const struct memb_view *view, char buf[CLAIM_PREFIX_TEXT])
{
  const struct memb_peer *issuer = &view->self;
  unsigned best = 0;
  for (unsigned i = 0; view->self.draining && i < view->n_peers; i++)
    {
      unsigned preference = prefix_preference (view, &view->peers[i]);
      if (preference <= best)
        continue;
      best = preference;
      issuer = &view->peers[i];
    }
  return claim_prefix_text (issuer->domain, issuer->id, issuer->witness,
                            issuer->epoch, buf);
}

static uint64_t
share_hash (struct pl_addr addr, claim_instance_id id)
{
  const uint64_t words[] = { ((uint64_t)addr.ip << 16) | addr.port, id };
  return XXH3_64bits (words, sizeof words);
}

/* Ranks the N sharers by a hash of the worker and their ids, from 0 on; the
   sharer of rank r gets ceil ((slots - r) / n).  When an instance joins, no
   other sharer's rank becomes lower, so that no other sharer gains slots and
   only the share of the new instance moves.  */
unsigned
memb_share (const struct memb_view *view, claim_instance_id id,
            struct pl_addr addr, unsigned slots)
{
  uint64_t own_hash = share_hash (addr, id);
  unsigned rank = 0;
  bool found = false;
  for (unsigned i = 0; i < view->n_sharers; i++)
    {
      claim_instance_id other = view->sharers[i];
      if (other == id)
        {
          found = true;
          continue;
        }
      uint64_t hash = share_hash (addr, other);
      if (hash > own_hash || (hash == own_hash && other > id))
        rank++;
    }
  if (!found || rank >= slots)
    return 0;
  return (slots - rank + view->n_sharers - 1) / view->n_sharers;
}
