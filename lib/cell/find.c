/* Searches for the job of a caller at other instances.  A caller may cancel
   its job, or ask for its state, over a new connection, which reaches any
   instance of the failure domain where the caller is now.  First the instances
   are asked that probably have the job, then all others: that no instance has
   it is said only when each that may have it has said so.  A silent instance
   may have it until its process is known to have ended.

   In a large fleet the instances of other failure domains are no peers: one of
   each domain asks those of its own, and answers for them.  */
#include "cell_priv.h"

#include <string.h>

/* Peers answer in a few milliseconds; callers wait for some seconds.  */
#define SEARCH_TIMEOUT_US 300000
/* The others are asked though some of the first have not answered.  */
#define FIRST_STAGE_US 100000
/* A search for another instance, which waits for all its domain to answer.  */
#define DOMAIN_TIMEOUT_US 200000
/* Another instance of a domain is asked: longer than the former by the way. */
#define DOMAIN_RETRY_US 220000
#define MAX_DOMAIN_TRIES 3
/* The first stage and these tries.  */
#define FLEET_TIMEOUT_US 800000

/* An instance that was asked.  */
struct asked
{
  uint64_t id;   /* incarnation; of one that is no peer: key of the address */
  bool answered; /* or has ended: its jobs have ended with it */
  bool remote;   /* it is no peer */
  /* It answers for this domain.  0: for itself.  */
  uint64_t domain;
  unsigned number;  /* see cell_find_member */
  int64_t asked_us; /* 0: another one was asked since */
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
  bool kept;         /* another domain keeps the cancellation */
  int64_t begin_us;
  /* The search of another instance, for which this one asks its domain.  */
  bool for_domain;
  Cellpb__Find origin; /* without strings */
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

/* Asks an instance that is no peer, for DOMAIN if that is not 0.  */
static void
ask_remote (struct cell *cell, struct search *search, struct pl_addr addr,
            uint64_t domain, unsigned number)
{
  struct asked asked = {
    .id = cell_addr_key (addr),
    .remote = true,
    .domain = domain,
    .number = number,
    .asked_us = pl_now_us (cell->clock),
  };
  g_array_append_val (search->asked, asked);
  Cellpb__Find find = CELLPB__FIND__INIT;
  find.job = search->job;
  find.asker = cell->id;
  find.number = search->number;
  find.cancel = search->cancel;
  find.asked = asked.id;
  find.asker_ip = cell->addr.ip;
  find.asker_port = cell->addr.port;
  find.for_domain = domain != 0;
  Cellpb__Envelope env = CELL_ENVELOPE (find, FIND, &find);
  cell_send_remote (cell, addr, &env);
}

/* Asks the instances that a domain had last.  */
static void
ask_former (struct cell *cell, struct search *search, uint64_t domain)
{
  g_autoptr (GArray) former = cell_list_former (cell, domain);
  for (guint i = 0; i < former->len; i++)
    ask_remote (cell, search, g_array_index (former, struct pl_addr, i), 0, 0);
}

/* Asks all other domains.  */
static void
ask_domains (struct cell *cell, struct search *search)
{
  g_autoptr (GArray) domains = cell_list_other_domains (cell);
  for (guint i = 0; i < domains->len; i++)
    {
      const struct cell_domain *entry
          = &g_array_index (domains, struct cell_domain, i);
      struct pl_addr addr;
      if (cell_find_member (cell, entry->domain, 0, &addr))
        ask_remote (cell, search, addr, entry->domain, 0);
      else
        ask_former (cell, search, entry->domain);
    }
}

/* Asks the next instance of the domain that entry INDEX was to answer for.  */
static void
ask_next (struct cell *cell, struct search *search, guint index)
{
  struct asked *asked = &g_array_index (search->asked, struct asked, index);
  unsigned number = asked->number + 1;
  uint64_t domain = asked->domain;
  struct pl_addr addr;
  asked->asked_us = 0;
  if (number < MAX_DOMAIN_TRIES
      && cell_find_member (cell, domain, number, &addr))
    ask_remote (cell, search, addr, domain, number);
}

/* Asks others in place of those that have not answered for their domain.  */
static void
retry_domains (struct cell *cell, struct search *search)
{
  int64_t now_us = pl_now_us (cell->clock);
  guint n = search->asked->len;
  for (guint i = 0; i < n; i++)
    {
      const struct asked *asked
          = &g_array_index (search->asked, struct asked, i);
      if (asked->domain != 0 && !asked->answered && asked->asked_us != 0
          && now_us - asked->asked_us >= DOMAIN_RETRY_US)
        ask_next (cell, search, i);
    }
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
      asked->answered
          = asked->answered || (!asked->remote && has_ended (cell, asked->id));
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

static bool
asks_domains (const struct cell *cell, const struct search *search)
{
  return cell->domain_only && !search->for_domain;
}

/* The result if none of those that were asked has the job.  A peer that is
   registered and silent goes on with its jobs; one that is not registered is
   frozen or cut off from all, and cancels the job when it is heard again.  */
static enum cell_search_result
result_of_none (struct cell *cell, const struct search *search)
{
  struct silent_peers silent = count_silent (cell);
  /* While the registry is not read there may be domains that it doesn't show.
   */
  if (search->out_of_reach
      || (asks_domains (cell, search) && !cell->registry_fresh))
    return CELL_SEARCH_OUT_OF_REACH;
  if (silent.n == 0)
    return search->kept ? CELL_SEARCH_KEPT : CELL_SEARCH_NONE;
  if (silent.n_registered > 0)
    return CELL_SEARCH_PENDING; /* until it is heard, or the time is up */
  if (!search->cancel || !cell->registry_fresh
      || !cell_can_keep_cancellation (cell))
    return CELL_SEARCH_OUT_OF_REACH;
  cell_keep_cancellation (cell, search->job, search->begin_us);
  return CELL_SEARCH_KEPT;
}

static int64_t
timeout_us (const struct cell *cell, const struct search *search)
{
  if (search->for_domain)
    return DOMAIN_TIMEOUT_US;
  return cell->domain_only ? FLEET_TIMEOUT_US : SEARCH_TIMEOUT_US;
}

/* Goes on with a search for a job that was not found yet, and returns its
   result if it has one.  */
static enum cell_search_result
go_on (struct cell *cell, struct search *search)
{
  int64_t age_us = pl_now_us (cell->clock) - search->begin_us;
  if (age_us >= timeout_us (cell, search))
    return CELL_SEARCH_OUT_OF_REACH;
  retry_domains (cell, search);
  bool stage_is_over = !search->asks_all && age_us >= FIRST_STAGE_US;
  if (!stage_is_over && !have_all_answered (cell, search))
    return CELL_SEARCH_PENDING;
  if (!search->asks_all && asks_domains (cell, search))
    ask_domains (cell, search);
  search->asks_all = true;
  ask_peers (cell, search);
  if (!have_all_answered (cell, search))
    return CELL_SEARCH_PENDING;
  return result_of_none (cell, search);
}

static struct search *
new_search (struct cell *cell, uint64_t job, bool cancel)
{
  struct search *search = g_new0 (struct search, 1);
  search->number = ++cell->n_searches;
  search->job = job;
  search->cancel = cancel;
  search->asked = g_array_new (FALSE, FALSE, sizeof (struct asked));
  search->begin_us = pl_now_us (cell->clock);
  return search;
}

/* Returns the result if there is one already; SEARCH has ended then.  */
static enum cell_search_result
begin (struct cell *cell, struct search *search)
{
  /* If this instance plans, it knows by itself who has the job.  */
  uint64_t owner = planner_find_owner (cell->planner, search->job);
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

enum cell_search_result
cell_search_job (struct cell *cell, uint64_t job, bool cancel, void *user)
{
  struct search *search = new_search (cell, job, cancel);
  search->user = user;
  return begin (cell, search);
}

/* Answers the search of another instance.  */
static void
send_found (struct cell *cell, const Cellpb__Find *find, Cellpb__Found *found)
{
  found->number = find->number;
  found->asked = find->asked;
  found->for_domain = find->for_domain;
  Cellpb__Envelope env = CELL_ENVELOPE (found, FOUND, found);
  struct pl_addr addr = { find->asker_ip, (uint16_t)find->asker_port };
  if (find->asker_port == 0)
    cell_send (cell, find->asker, &env);
  else if (cell_is_instance_registered (cell, addr))
    cell_send_remote (cell, addr, &env);
}

static void
answer_for_domain (struct cell *cell, const Cellpb__Find *origin,
                   enum cell_search_result result)
{
  Cellpb__Found found = CELLPB__FOUND__INIT;
  found.here = result == CELL_SEARCH_FOUND;
  found.out_of_reach = result == CELL_SEARCH_OUT_OF_REACH;
  found.kept = result == CELL_SEARCH_KEPT;
  send_found (cell, origin, &found);
}

/* Asks the own domain for the instance that has sent FIND.  */
static void
search_for_domain (struct cell *cell, const Cellpb__Find *find)
{
  struct search *search = new_search (cell, find->job, find->cancel);
  search->for_domain = true;
  search->origin = *find;
  memset (&search->origin.base, 0, sizeof search->origin.base);
  enum cell_search_result result = begin (cell, search);
  if (result != CELL_SEARCH_PENDING)
    answer_for_domain (cell, find, result);
}

static void
end_search (struct cell *cell, const struct search *search,
            enum cell_search_result result)
{
  void *user = search->user;
  bool cancel = search->cancel;
  bool for_domain = search->for_domain;
  Cellpb__Find origin = search->origin;
  g_hash_table_remove (cell->searches, &search->number);
  if (for_domain)
    answer_for_domain (cell, &origin, result);
  else
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
  found.here = job != NULL;
  if (job != NULL && msg->cancel)
    cell_cancel_job (cell, job);
  else if (job == NULL && msg->for_domain)
    {
      search_for_domain (cell, msg);
      return;
    }
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
  send_found (cell, msg, &found);
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

/* Marks the entry ID, or all for DOMAIN if that is not 0.  */
static void
mark_answered (struct search *search, uint64_t id, uint64_t domain)
{
  for (guint i = 0; i < search->asked->len; i++)
    {
      struct asked *asked = &g_array_index (search->asked, struct asked, i);
      if (asked->id == id || (domain != 0 && asked->domain == domain))
        asked->answered = true;
    }
}

/* The process of an instance that was asked has ended: its jobs have, and
   another one is asked for its domain.  */
void
cell_on_remote_refused (struct cell *cell, struct pl_addr addr)
{
  uint64_t id = cell_addr_key (addr);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->searches);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct search *search = value;
      struct asked *asked = find_asked (search, id);
      if (asked != NULL && asked->domain == 0)
        asked->answered = true;
      else if (asked != NULL)
        asked->asked_us = MIN (asked->asked_us, 1); /* the next tick asks */
    }
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
  const struct asked *asked = find_answerer (cell, search, sender, msg);
  if (asked == NULL || (asked->domain != 0 && !msg->for_domain))
    return;
  search->out_of_reach = search->out_of_reach || msg->out_of_reach;
  search->kept = search->kept || msg->kept;
  mark_answered (search, asked->id, asked->domain);
  enum cell_search_result result = go_on (cell, search);
  if (result != CELL_SEARCH_PENDING)
    end_search (cell, search, result);
}
