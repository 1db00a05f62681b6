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
heir_of (const struct memb_view *view, claim_instance_id owner)
{
  for (unsigned i = 0; i < view->n_heirs; i++)
    if (view->heirs[i].owner == owner)
      return view->heirs[i].heir;
  return 0;
}

claim_instance_id
memb_authority (const struct memb_view *view, claim_instance_id owner)
{
  /* An heir may have stopped, too; the bound ends a circle.  */
  for (unsigned i = 0; i <= view->n_heirs && owner != 0; i++)
    {
      const struct memb_peer *peer = memb_find (view, owner);
      if (peer != NULL && peer->state != MEMB_LEFT)
        return owner;
      owner = heir_of (view, owner);
    }
  return 0;
}

/* Preference for PEER's prefix while this instance drains; 0: unusable.  */
static unsigned
prefix_rank (const struct memb_view *view, const struct memb_peer *peer)
{
  if (peer->state != MEMB_ALIVE || peer->draining || peer->epoch == 0)
    return 0;
  unsigned rank = 1;
  if (strcmp (peer->domain, view->self.domain) == 0)
    rank += 2;
  if (peer->witness != view->self.id)
    rank += 1;
  return rank;
}

char *
memb_prefix_text (const struct memb_view *view, char buf[CLAIM_PREFIX_TEXT])
{
  const struct memb_peer *issuer = &view->self;
  unsigned best = 0;
  for (unsigned i = 0; view->self.draining && i < view->n_peers; i++)
    {
      unsigned rank = prefix_rank (view, &view->peers[i]);
      if (rank <= best)
        continue;
      best = rank;
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

/* The sharer of rank r gets ceil ((slots - r) / n).  A join lowers no rank,
   so no former sharer gains and only the newcomer's share moves.  */
unsigned
memb_share (const struct memb_view *view, claim_instance_id id,
            struct pl_addr addr, unsigned slots)
{
  uint64_t own = share_hash (addr, id);
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
      if (hash > own || (hash == own && other > id))
        rank++;
    }
  if (!found || rank >= slots)
    return 0;
  return (slots - rank + view->n_sharers - 1) / view->n_sharers;
}
