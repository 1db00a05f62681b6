/* Searches for the job of a caller at other instances.  A caller may cancel
   its job, or ask for its state, over a new connection, which reaches any
   instance of the failure domain where the caller is now.  First the instances
   are asked that probably have the job, then all others: that no instance has
   it is said only when each that may have it has said so.  A silent instance
   may have it until its process is known to have ended.  */
#include "cell_priv.h"

/* Peers answer in a few milliseconds; callers wait for some seconds.  */
#define SEARCH_TIMEOUT_US 300000
/* The others are asked though some of the first have not answered.  */
#define FIRST_STAGE_US 100000

/* An instance that was asked.  */
struct asked
{
  uint64_t id;
  bool answered; /* or has ended: its jobs have ended with it */
};

struct search
{
  uint64_t number;
  uint64_t job;
  void *user;
  bool cancel;
  bool asks_all;     /* not only those that probably have the job */
  GArray *asked;     /* struct asked */
  bool out_of_reach; /* an answer says that an instance was not asked */
  int64_t begin_us;
};

void
cell_free_search (void *data)
{
  struct search *search = data;
  g_array_unref (search->asked);
  g_free (search);
}

/* Whether PEER is asked before the others: the load balancer sends most
   connections to an instance of the job's domain, and the planner knows the
   owners of all jobs that wait for workers.  */
static bool
is_asked_first (const struct cell *cell, const struct peer *peer)
{
  return peer->domain == cell->domain || peer->id == cell->planner_id;
}

/* Whether PEER may have jobs though nothing is heard of it.  An address at
   which nobody was ever heard counts only if an instance is registered there.
 */
static bool
is_silent (const struct peer *peer)
{
  return !peer->alive && !cell_has_peer_ended (peer)
         && (peer->registered || peer->id != 0);
}

static void
send_find (struct cell *cell, uint64_t to, const Cellpb__Find *find)
{
  Cellpb__Find msg = *find;
  Cellpb__Envelope env = CELL_ENVELOPE (find, FIND, &msg);
  cell_send (cell, to, &env);
}

static struct asked *
find_asked (const struct search *search, uint64_t id)
{
  for (guint i = 0; i < search->asked->len; i++)
    {
      struct asked *asked = &g_array_index (search->asked, struct asked, i);
      if (asked->id == id)
        return asked;
    }
  return NULL;
}

static void
ask (struct cell *cell, struct search *search, uint64_t id)
{
  struct asked asked = { .id = id };
  g_array_append_val (search->asked, asked);
  Cellpb__Find find = CELLPB__FIND__INIT;
  find.job = search->job;
  find.asker = cell->id;
  find.number = search->number;
  find.cancel = search->cancel;
  find.asked = id;
  send_find (cell, id, &find);
}

/* Asks the live peers that are to be asked now and were not yet.  Those that
   are silent are asked when they are heard again.  */
static void
ask_peers (struct cell *cell, struct search *search)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      if (peer->alive && (search->asks_all || is_asked_first (cell, peer))
          && find_asked (search, peer->id) == NULL)
        ask (cell, search, peer->id);
    }
}

/* Whether the process of an instance that was asked has ended.  */
static bool
has_ended (struct cell *cell, uint64_t id)
{
  const struct peer *peer = cell_find_peer (cell, id);
  return peer == NULL || cell_has_peer_ended (peer);
}

static bool
have_all_answered (struct cell *cell, struct search *search)
{
  for (guint i = 0; i < search->asked->len; i++)
    {
      struct asked *asked = &g_array_index (search->asked, struct asked, i);
      asked->answered = asked->answered || has_ended (cell, asked->id);
      if (!asked->answered)
        return false;
    }
  return true;
}

/* The peers that were not asked and may have the job.  */
struct silent_peers
{
  unsigned n;
  unsigned n_registered; /* of them, cut off from this instance only */
};

static struct silent_peers
count_silent (struct cell *cell)
{
  struct silent_peers silent = { 0 };
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *peer = value;
      silent.n += is_silent (peer);
      silent.n_registered += is_silent (peer) && peer->registered;
    }
  return silent;
}

/* The result if none of those that were asked has the job.  A peer that is
   registered and silent goes on with its jobs; one that is not registered is
   frozen or cut off from all, and cancels the job when it is heard again.  */
static enum cell_search_result
result_of_none (struct cell *cell, const struct search *search)
{
  struct silent_peers silent = count_silent (cell);
  if (search->out_of_reach)
    return CELL_SEARCH_OUT_OF_REACH;
  if (silent.n == 0)
    return CELL_SEARCH_NONE;
  if (silent.n_registered > 0)
    return CELL_SEARCH_PENDING; /* until it is heard, or the time is up */
  if (!search->cancel || !cell->registry_fresh
      || !cell_can_keep_cancellation (cell))
    return CELL_SEARCH_OUT_OF_REACH;
  cell_keep_cancellation (cell, search->job, search->begin_us);
  return CELL_SEARCH_KEPT;
}

/* Goes on with a search for a job that was not found yet, and returns its
   result if it has one.  */
static enum cell_search_result
go_on (struct cell *cell, struct search *search)
{
  int64_t age_us = pl_now_us (cell->clock) - search->begin_us;
  if (age_us >= SEARCH_TIMEOUT_US)
    return CELL_SEARCH_OUT_OF_REACH;
  bool stage_is_over = !search->asks_all && age_us >= FIRST_STAGE_US;
  if (!stage_is_over && !have_all_answered (cell, search))
    return CELL_SEARCH_PENDING;
  search->asks_all = true;
  ask_peers (cell, search);
  if (!have_all_answered (cell, search))
    return CELL_SEARCH_PENDING;
  return result_of_none (cell, search);
}

enum cell_search_result
cell_search_job (struct cell *cell, uint64_t job, bool cancel, void *user)
{
  struct search *search = g_new (struct search, 1);
  *search = (struct search){
    .number = ++cell->n_searches,
    .job = job,
    .user = user,
    .cancel = cancel,
    .asked = g_array_new (FALSE, FALSE, sizeof (struct asked)),
    .begin_us = pl_now_us (cell->clock),
  };
  /* If this instance plans, it knows by itself who has the job.  */
  uint64_t owner = planner_find_owner (cell->planner, job);
  const struct peer *peer = owner == 0 ? NULL : cell_find_peer (cell, owner);
  if (peer != NULL && peer->alive)
    ask (cell, search, owner);
  ask_peers (cell, search);
  enum cell_search_result result = go_on (cell, search);
  if (result == CELL_SEARCH_PENDING)
    g_hash_table_insert (cell->searches, &search->number, search);
  else
    cell_free_search (search);
  return result;
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
  g_autoptr (GList) searches = g_hash_table_get_values (cell->searches);
  for (GList *l = searches; l != NULL; l = l->next)
    {
      struct search *search = l->data;
      enum cell_search_result result = go_on (cell, search);
      if (result != CELL_SEARCH_PENDING)
        end_search (cell, search, result);
    }
}

void
cell_cancel_job (struct cell *cell, struct owner_job *job)
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
  found.asked = msg->asked;
  if (job != NULL && msg->cancel)
    cell_cancel_job (cell, job);
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

/* The instance that MSG answers for.  A former build does not tell: if the
   sender was not asked, the planner has passed the question on to it.  */
static struct asked *
find_answerer (struct cell *cell, const struct search *search, uint64_t sender,
               const Cellpb__Found *msg)
{
  if (msg->asked != 0)
    return find_asked (search, msg->asked);
  struct asked *asked = find_asked (search, sender);
  if (asked == NULL || asked->answered)
    asked = find_asked (search, cell->planner_id);
  return asked;
}

void
cell_on_found (struct cell *cell, uint64_t sender, const Cellpb__Found *msg)
{
  struct search *search = g_hash_table_lookup (cell->searches, &msg->number);
  if (search == NULL)
    return;
  if (msg->here)
    {
      end_search (cell, search, CELL_SEARCH_FOUND);
      return;
    }
  search->out_of_reach = search->out_of_reach || msg->out_of_reach;
  struct asked *asked = find_answerer (cell, search, sender, msg);
  if (asked != NULL)
    asked->answered = true;
  enum cell_search_result result = go_on (cell, search);
  if (result != CELL_SEARCH_PENDING)
    end_search (cell, search, result);
}
