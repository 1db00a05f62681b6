/* The workers of each service by free CPU.  */
#include "planner_priv.h"

static gint
compare_free (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct worker_entry *x = a;
  const struct worker_entry *y = b;
  if (x->free_cpu != y->free_cpu)
    return x->free_cpu < y->free_cpu ? -1 : 1;
  return (x->report.worker > y->report.worker)
         - (x->report.worker < y->report.worker);
}

void
planner_unindex_worker (struct worker_entry *w)
{
  if (w->in_index != NULL)
    g_sequence_remove (w->in_index);
  w->in_index = NULL;
}

void
planner_index_worker (struct planner_state *planner, struct worker_entry *w)
{
  if (!planner->policy->looks_ahead)
    {
      planner_unindex_worker (w);
      return;
    }
  int32_t free_cpu = w->report.capacity.cpu - planner_worker_used (w).cpu;
  bool usable = planner_worker_usable (planner, w);
  if (w->in_index != NULL && usable && w->free_cpu == free_cpu)
    return;
  planner_unindex_worker (w);
  if (!usable)
    return;
  struct service *service = planner_find_service (planner, w->report.service);
  w->free_cpu = free_cpu;
  w->in_index
      = g_sequence_insert_sorted (service->by_free, w, compare_free, NULL);
}

void
planner_index_expire (struct planner_state *planner, int64_t now_us)
{
  const struct grant_timeout *head;
  while ((head = g_queue_peek_head (&planner->timeouts)) != NULL
         && head->at_us < now_us)
    {
      struct worker_entry *w
          = g_hash_table_lookup (planner->workers, &head->worker);
      if (w != NULL && w->grants->len > 0)
        {
          planner_expire_grants (w, now_us);
          planner_index_worker (planner, w);
        }
      g_free (g_queue_pop_head (&planner->timeouts));
    }
}

GSequenceIter *
planner_index_find (const struct service *service, int32_t cpu)
{
  struct worker_entry key = { .free_cpu = cpu };
  return g_sequence_search (service->by_free, &key, compare_free, NULL);
}

void
planner_index_all (struct planner_state *planner)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    planner_index_worker (planner, value);
}

/* Notes when the grants that were made so far time out, at the latest.  */
static void
note_timeouts (struct planner_state *planner, int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct worker_entry *w = value;
      if (w->grants->len == 0)
        continue;
      struct grant_timeout *timeout = g_new (struct grant_timeout, 1);
      *timeout = (struct grant_timeout){ w->report.worker,
                                         now_us + PLANNER_GRANT_TIMEOUT_US };
      g_queue_push_tail (&planner->timeouts, timeout);
    }
}

void
planner_set_lookahead (struct planner_state *planner, bool on, int64_t now_us)
{
  if (planner->policy->looks_ahead == on)
    return;
  planner->policy = on ? &planner_policy_lookahead : &planner_policy_default;
  g_queue_clear_full (&planner->timeouts, g_free);
  if (on)
    note_timeouts (planner, now_us);
  planner_index_all (planner);
}
