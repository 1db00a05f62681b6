/* Searches for the job of a caller at other instances.  A caller may cancel
   its job, or ask for its state, over a new connection, which reaches any
   instance of its failure domain.  */
#include "cell_priv.h"

/* Peers answer in a few milliseconds; callers wait for some seconds.  */
#define SEARCH_TIMEOUT_US 300000

struct search
{
  uint64_t number;
  void *user;
  bool cancel;
  unsigned n_asked;  /* answers that are still to come */
  bool out_of_reach; /* not all that may have the job were asked */
  int64_t until_us;
};

static bool
may_have_job (const struct cell *cell, const struct peer *peer)
{
  return peer->domain == cell->domain || peer->id == cell->planner_id;
}

static void
send_find (struct cell *cell, uint64_t to, const Cellpb__Find *find)
{
  Cellpb__Find msg = *find;
  Cellpb__Envelope env = CELL_ENVELOPE (find, FIND, &msg);
  cell_send (cell, to, &env);
}

/* Asks the peers that may have the job; returns their number.  */
static unsigned
ask_peers (struct cell *cell, const Cellpb__Find *find, bool *out_of_reach)
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (!may_have_job (cell, peer))
        continue;
      if (peer->alive)
        {
          send_find (cell, peer->id, find);
          n++;
        }
      else if (peer->registered && !cell_has_peer_ended (peer))
        *out_of_reach = true;
    }
  return n;
}

static enum cell_search_result
result_of_none (bool out_of_reach)
{
  return out_of_reach ? CELL_SEARCH_OUT_OF_REACH : CELL_SEARCH_NONE;
}

enum cell_search_result
cell_search_job (struct cell *cell, uint64_t job, bool cancel, void *user)
{
  Cellpb__Find find = CELLPB__FIND__INIT;
  find.job = job;
  find.asker = cell->id;
  find.number = ++cell->n_searches;
  find.cancel = cancel;
  bool out_of_reach = cell->planner_id == 0;
  unsigned n_asked = ask_peers (cell, &find, &out_of_reach);
  /* If this instance plans, it knows by itself who has the job.  */
  uint64_t owner = planner_find_owner (cell->planner, job);
  const struct peer *peer = owner == 0 ? NULL : cell_find_peer (cell, owner);
  if (peer != NULL && peer->domain != cell->domain)
    {
      send_find (cell, owner, &find);
      n_asked++;
    }
  if (n_asked == 0)
    return result_of_none (out_of_reach);
  struct search *search = g_new (struct search, 1);
  *search = (struct search){
    .number = find.number,
    .user = user,
    .cancel = cancel,
    .n_asked = n_asked,
    .out_of_reach = out_of_reach,
    .until_us = pl_now_us (cell->clock) + SEARCH_TIMEOUT_US,
  };
  g_hash_table_insert (cell->searches, &search->number, search);
  return CELL_SEARCH_PENDING;
}

static void
end_search (struct cell *cell, const struct search *search,
            enum cell_search_result result)
{
  void *user = search->user;
  bool cancel = search->cancel;
  g_hash_table_remove (cell->searches, &search->number);
  cell->ops->found (cell->ctx, user, cancel, result);
}

void
cell_forget_search (struct cell *cell, const void *user)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->searches);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct search *)value)->user == user)
      g_hash_table_iter_remove (&it);
}

void
cell_tick_searches (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  g_autoptr (GList) searches = g_hash_table_get_values (cell->searches);
  for (GList *l = searches; l != NULL; l = l->next)
    {
      const struct search *search = l->data;
      if (search->until_us <= now_us)
        end_search (cell, search, CELL_SEARCH_OUT_OF_REACH);
    }
}

/* Ends the job for its caller, who has cancelled it at another instance.  */
static void
cancel_job (struct cell *cell, struct owner_job *job)
{
  pl_log (PL_EV_CANCEL, "key=%016" PRIx64 " reason=caller started=%d", job->id,
          job->started);
  owner_abort_job (cell->jobs, job,
                   job->started ? PL_CANCELLED_RAN : PL_CANCELLED, true);
}

void
cell_on_find (struct cell *cell, uint64_t sender, const Cellpb__Find *msg)
{
  struct owner_job *job = owner_find_job (cell->jobs, msg->job);
  Cellpb__Found found = CELLPB__FOUND__INIT;
  found.number = msg->number;
  found.here = job != NULL;
  if (job != NULL && msg->cancel)
    cancel_job (cell, job);
  uint64_t owner = planner_find_owner (cell->planner, msg->job);
  /* A request that the planner has passed on goes no further.  */
  if (job == NULL && sender == msg->asker && owner != 0 && owner != cell->id
      && owner != msg->asker)
    {
      const struct peer *peer = cell_find_peer (cell, owner);
      if (peer != NULL && peer->alive)
        {
          send_find (cell, owner, msg);
          return;
        }
      found.out_of_reach = true;
    }
  Cellpb__Envelope env = CELL_ENVELOPE (found, FOUND, &found);
  cell_send (cell, msg->asker, &env);
}

void
cell_on_found (struct cell *cell, const Cellpb__Found *msg)
{
  struct search *search = g_hash_table_lookup (cell->searches, &msg->number);
  if (search == NULL)
    return;
  search->out_of_reach = search->out_of_reach || msg->out_of_reach;
  search->n_asked--;
  if (msg->here)
    end_search (cell, search, CELL_SEARCH_FOUND);
  else if (search->n_asked == 0)
    end_search (cell, search, result_of_none (search->out_of_reach));
}
