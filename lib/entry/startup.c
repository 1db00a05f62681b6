/* Decides when a starting instance may serve.  Before it knows its peers, it
   would take every other owner for unreachable, and its own keys would be
   unknown to the others.  */
#include "impl.h"

void
entry_read_seeds (struct entry *entry)
{
  entry->seeds = g_array_new (FALSE, FALSE, sizeof (struct pl_addr));
  g_auto (GStrv) parts = g_strsplit (entry->conf->peers, ",", 0);
  for (char **part = parts; *part != NULL; part++)
    {
      struct pl_addr addr;
      if (pl_addr_parse (pl_str (*part), &addr))
        g_array_append_val (entry->seeds, addr);
    }
}

static bool
is_alive (const struct memb_view *view, struct pl_addr control)
{
  for (unsigned i = 0; i < view->n_peers; i++)
    if (pl_addr_eq (view->peers[i].control, control)
        && view->peers[i].state == MEMB_ALIVE)
      return true;
  return false;
}

static bool
all_seeds_alive (struct entry *entry)
{
  if (entry->seeds->len == 0)
    return entry->conf->platform[0] == '\0';
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->memb_view_ptr);
  bool all_alive = shared != NULL;
  for (guint i = 0; all_alive && i < entry->seeds->len; i++)
    all_alive = is_alive ((struct memb_view *)shared,
                          g_array_index (entry->seeds, struct pl_addr, i));
  pl_shared_unref (shared);
  return all_alive;
}

bool
entry_knows_peers (struct entry *entry)
{
  if (g_atomic_int_get (&entry->peers_known))
    return true;
  int64_t age_us = pl_now_us (entry->clock) - entry->started_us;
  if (age_us < entry->conf->suspect_ms * 1000 && !all_seeds_alive (entry))
    return false;
  g_atomic_int_set (&entry->peers_known, 1);
  return true;
}
