/* Evacuations of failure domains: what the store and the peers tell of them,
   and what follows for held workers and the planner.  */
#include "cell_priv.h"

bool
cell_is_evacuated (const struct cell *cell, uint64_t domain)
{
  return evac_is_active (cell->evacuations, domain);
}

unsigned
cell_count_evacuated_domains (const struct cell *cell)
{
  return evac_count_active (cell->evacuations);
}

bool
cell_prefers_other_domains (const struct cell *cell)
{
  return cell->domain_only && cell_is_evacuated (cell, cell->domain)
         && cell_has_other_domain (cell);
}

/* Has the held workers of DOMAIN reported anew, and returns their number. They
   may be cold after an evacuation.  */
static unsigned
update_workers (struct cell *cell, uint64_t domain, bool evacuated)
{
  unsigned n = 0;
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct lease_worker *w = value;
      if (w->info.domain != domain)
        continue;
      if (!evacuated)
        lease_mark_cold (cell->leases, w->info.worker, now_us);
      cell_mark_report_due (cell, w->info.worker);
      n++;
    }
  return n;
}

/* Acts on the begin or the end of an evacuation.  */
static void
apply_change (struct cell *cell, const struct evac_entry *entry)
{
  unsigned held = update_workers (cell, entry->domain, entry->active);
  pl_log (entry->active ? PL_EV_EVACUATE : PL_EV_EVACUATION_END,
          "domain=%016" PRIx64 " revision=%" PRId64 " held=%u", entry->domain,
          entry->revision, held);
  planner_set_evacuated (cell->planner, entry->domain, entry->active);
  cell->plan_due = true;
  cell->ops->wake (cell->ctx);
}

bool
cell_set_evacuation (struct cell *cell, const struct evac_entry *entry)
{
  switch (evac_merge (cell->evacuations, entry))
    {
    case EVAC_REJECTED:
      return false;
    case EVAC_BEGUN:
    case EVAC_ENDED:
      apply_change (cell, entry);
      cell->heartbeat_us = 0; /* the next tick tells the peers */
      return true;
    default:
      return true;
    }
}

void
cell_end_unlisted_evacuations (struct cell *cell, const uint64_t *listed,
                               unsigned n, int64_t revision)
{
  g_autoptr (GArray) ended
      = evac_find_unlisted (cell->evacuations, listed, n, revision);
  for (guint i = 0; i < ended->len; i++)
    (void)cell_set_evacuation (cell,
                               &g_array_index (ended, struct evac_entry, i));
}

void
cell_read_evacuations (struct cell *cell, const Cellpb__Heartbeat *msg)
{
  for (size_t i = 0; i < msg->n_evacuations; i++)
    {
      const Cellpb__Evacuation *told = msg->evacuations[i];
      struct evac_entry entry = { told->domain, told->revision, told->active };
      (void)cell_set_evacuation (cell, &entry);
    }
}
