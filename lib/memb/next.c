#include "table.h"

#include <string.h>

static void
free_view (struct pl_shared *shared)
{
  struct memb_view *view = (struct memb_view *)shared;
  g_free (view->peers);
  g_free (view->heirs);
  g_free (view->sharers);
  g_free (view);
}

static int
compare_ids (const void *a, const void *b)
{
  claim_instance_id x = *(const claim_instance_id *)a;
  claim_instance_id y = *(const claim_instance_id *)b;
  return x < y ? -1 : x > y;
}

/* A suspect keeps its share until it is dead, a draining one until it leaves:
   both may still run tasks on their slots.  */
static bool
shares (const struct memb_view *view, const struct memb_peer *peer)
{
  return (peer->state == MEMB_ALIVE || peer->state == MEMB_SUSPECT)
         && strcmp (peer->domain, view->self.domain) == 0;
}

static void
fill_sharers (struct memb_view *view)
{
  view->sharers = g_new (claim_instance_id, view->n_peers + 1);
  view->sharers[view->n_sharers++] = view->self.id;
  for (unsigned i = 0; i < view->n_peers; i++)
    if (shares (view, &view->peers[i]))
      view->sharers[view->n_sharers++] = view->peers[i].id;
  qsort (view->sharers, view->n_sharers, sizeof *view->sharers, compare_ids);
}

struct memb_view *
memb_view_next (struct memb_table *table)
{
  if (!table->dirty)
    return NULL;
  table->dirty = false;
  struct memb_view *view = g_new0 (struct memb_view, 1);
  pl_shared_init (&view->base, free_view);
  view->self = table->self;
  view->n_peers = table->peers->len;
  view->peers = g_new (struct memb_peer, view->n_peers + 1);
  for (unsigned i = 0; i < view->n_peers; i++)
    view->peers[i] = memb_entry_at (table, i)->peer;
  view->n_heirs = table->n_heirs;
  view->heirs = g_new (struct memb_heir, view->n_heirs + 1);
  for (unsigned i = 0; i < view->n_heirs; i++)
    view->heirs[i] = table->heirs[i].heir;
  fill_sharers (view);
  return view;
}
