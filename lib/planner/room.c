/* What the workers of a service have free, for planners of other failure
   domains that have too little.  */
#include "planner_priv.h"

static void
add_workers (struct planner_state *planner, uint64_t service, int64_t now_us,
             struct planner_room *room)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct worker_entry *w = value;
      if (w->report.service != service || !planner_worker_usable (planner, w)
          || now_us - w->reported_us > PLANNER_REPORT_STALE_US)
        continue;
      room->capacity += w->report.capacity.cpu;
      room->free
          += MAX (w->report.capacity.cpu - planner_worker_used (w).cpu, 0);
    }
}

static void
add_jobs (const struct planner_state *planner, uint64_t service,
          struct planner_room *room)
{
  for (guint i = 0; i < planner->jobs->len; i++)
    {
      const struct job *job = g_ptr_array_index (planner->jobs, i);
      if (job->request.service == service)
        room->waiting += (int64_t)job->waiting->len * job->request.size.cpu;
    }
}

struct planner_room
planner_measure_room (struct planner_state *planner, uint64_t service,
                      int64_t now_us)
{
  struct planner_room room = { 0 };
  const struct service *state
      = g_hash_table_lookup (planner->services, &service);
  room.crowded
      = state != NULL
        && now_us - state->last_crowded_us < PLANNER_CROWDED_PERIOD_US;
  add_workers (planner, service, now_us, &room);
  add_jobs (planner, service, &room);
  return room;
}
