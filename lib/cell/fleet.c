/* The registered instances, and with which of them this one exchanges
   heartbeats.  In a small fleet all do so with all.  In a larger one each does
   so with those of its own failure domain only: what an instance sends,
   computes and keeps then follows its domain.  Of other domains it knows what
   the registry says: whether they have instances.  The workers of a domain
   that has none are adopted by one other domain, until it has some again, and
   not while an instance that the registry has lost still answers.  */
#include "cell_priv.h"

#include <string.h>
#include <xxhash.h>

/* In a fleet above this size, heartbeats to all would be the largest part of
   what a small instance sends.  */
#define MESH_MAX_INSTANCES 16
/* Below this size heartbeats go to all again; less than the former, so that
   single failures don't change the mode back and forth.  */
#define MESH_AGAIN_INSTANCES 10
/* A domain without registered instances for this long has lost them: an
   instance that the store has forgotten is registered again sooner.  */
#define ADOPT_AFTER_US 3000000

/* A registered instance.  */
struct fleet_member
{
  struct pl_addr addr;
  uint64_t domain; /* 0: not known */
};

/* Of the instances that a domain had last, so many are called before its
   workers are adopted.  */
#define MAX_FORMER_INSTANCES 8
/* An instance that left longer before the domain was empty has ended.  */
#define FORMER_FOR_US 10000000

/* An instance that is registered no longer.  */
struct former_instance
{
  struct pl_addr addr;
  int64_t left_us;
  void *link; /* null: not called */
  bool up;    /* it has answered: it lives, and only the store has lost it */
};

/* A failure domain of workers or instances.  */
struct fleet_domain
{
  uint64_t domain;
  unsigned n_instances; /* registered */
  GArray *members;      /* struct pl_addr: of the registered instances */
  int64_t empty_us;     /* since when it has none */
  bool adopted;         /* its workers are held by this instance's domain */
  unsigned n_former;
  struct former_instance former[MAX_FORMER_INSTANCES]; /* the latest first */
};

uint64_t
cell_addr_key (struct pl_addr addr)
{
  return ((uint64_t)addr.ip << 16) | addr.port;
}

static struct fleet_member *
find_member (const struct cell *cell, struct pl_addr addr)
{
  uint64_t key = cell_addr_key (addr);
  return g_hash_table_lookup (cell->fleet, &key);
}

static struct fleet_domain *
find_or_add_domain (struct cell *cell, uint64_t domain)
{
  struct fleet_domain *found = g_hash_table_lookup (cell->domains, &domain);
  if (found != NULL)
    return found;
  found = g_new0 (struct fleet_domain, 1);
  found->domain = domain;
  found->members = g_array_new (FALSE, FALSE, sizeof (struct pl_addr));
  found->empty_us = pl_now_us (cell->clock);
  g_hash_table_insert (cell->domains, &found->domain, found);
  return found;
}

void
cell_free_domain (void *data)
{
  struct fleet_domain *domain = data;
  g_array_unref (domain->members);
  g_free (domain);
}

void
cell_know_domain (struct cell *cell, uint64_t domain)
{
  (void)find_or_add_domain (cell, domain);
}

static uint64_t
domain_of_peer (const struct cell *cell, const struct peer *peer)
{
  if (peer->domain != 0)
    return peer->domain;
  const struct fleet_member *member = find_member (cell, peer->addr);
  return member == NULL ? 0 : member->domain;
}

bool
cell_may_be_peer (const struct cell *cell, struct pl_addr addr)
{
  const struct fleet_member *member = find_member (cell, addr);
  return !cell->domain_only || member == NULL || member->domain == 0
         || member->domain == cell->domain;
}

bool
cell_is_peer_wanted (const struct cell *cell, const struct peer *peer)
{
  uint64_t domain = domain_of_peer (cell, peer);
  if (!cell->domain_only || domain == 0 || domain == cell->domain)
    return true;
  /* One that still sends heartbeats to all, as former builds do, takes the
     workers of instances that it doesn't hear.  */
  return peer->alive && !peer->domain_only;
}

bool
cell_is_candidate (const struct cell *cell, const struct peer *peer)
{
  return !cell->domain_only || peer->domain == cell->domain;
}

static void
add_all_members (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->fleet);
  while (g_hash_table_iter_next (&it, NULL, &value))
    cell_add_peer (cell, ((struct fleet_member *)value)->addr);
}

static void
end_calls (struct cell *cell, struct fleet_domain *domain)
{
  for (unsigned i = 0; i < domain->n_former; i++)
    if (domain->former[i].link != NULL)
      cell->ops->disconnect (cell->ctx, domain->former[i].link);
  domain->n_former = 0;
}

void
cell_end_calls (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->domains);
  while (g_hash_table_iter_next (&it, NULL, &value))
    end_calls (cell, value);
}

static void
set_domain_only (struct cell *cell, bool domain_only)
{
  if (cell->domain_only == domain_only)
    return;
  cell->domain_only = domain_only;
  cell->membership_changed = true;
  cell->candidates_changed = true;
  cell->heartbeat_us = 0; /* the next tick announces it */
  pl_log (PL_EV_SHARD, "domain_only=%d instances=%u", domain_only,
          g_hash_table_size (cell->fleet));
  if (domain_only)
    return;
  cell_end_calls (cell);
  add_all_members (cell);
}

/* Chooses the mode by the size of the fleet.  */
static void
choose_mode (struct cell *cell)
{
  unsigned n = g_hash_table_size (cell->fleet);
  if (n > MESH_MAX_INSTANCES)
    set_domain_only (cell, true);
  else if (n < MESH_AGAIN_INSTANCES)
    set_domain_only (cell, false);
}

void
cell_follow_mode (struct cell *cell, const struct peer *peer)
{
  /* Between the two sizes the mode depends on the past, which an instance that
     has just started learns from its peers.  */
  if (peer->domain_only && peer->domain == cell->domain
      && g_hash_table_size (cell->fleet) >= MESH_AGAIN_INSTANCES)
    set_domain_only (cell, true);
}

/* Notes an instance that has left, in place of the one that left first.  */
static void
add_former (struct fleet_domain *domain, struct pl_addr addr, int64_t now_us)
{
  domain->n_former = MIN (domain->n_former + 1, MAX_FORMER_INSTANCES);
  memmove (&domain->former[1], &domain->former[0],
           (domain->n_former - 1) * sizeof domain->former[0]);
  domain->former[0]
      = (struct former_instance){ .addr = addr, .left_us = now_us };
}

static void
leave_domain (struct cell *cell, const struct fleet_member *member)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (member->domain == 0)
    return;
  struct fleet_domain *left = find_or_add_domain (cell, member->domain);
  add_former (left, member->addr, now_us);
  for (guint i = 0; i < left->members->len; i++)
    if (pl_addr_eq (g_array_index (left->members, struct pl_addr, i),
                    member->addr))
      {
        g_array_remove_index_fast (left->members, i);
        break;
      }
  if (--left->n_instances == 0)
    left->empty_us = now_us;
}

static void
enter_domain (struct cell *cell, struct pl_addr addr, uint64_t domain)
{
  if (domain == 0)
    return;
  struct fleet_domain *entered = find_or_add_domain (cell, domain);
  g_array_append_val (entered->members, addr);
  if (entered->n_instances++ == 0)
    end_calls (cell, entered);
}

static void
remove_member (struct cell *cell, struct pl_addr addr)
{
  const struct fleet_member *member = find_member (cell, addr);
  if (member == NULL)
    return;
  leave_domain (cell, member);
  uint64_t key = cell_addr_key (addr);
  g_hash_table_remove (cell->fleet, &key);
}

static void
add_member (struct cell *cell, struct pl_addr addr, uint64_t domain)
{
  remove_member (cell, addr);
  struct fleet_member *member = g_new (struct fleet_member, 1);
  *member = (struct fleet_member){ addr, domain };
  uint64_t *key = g_new (uint64_t, 1);
  *key = cell_addr_key (addr);
  g_hash_table_insert (cell->fleet, key, member);
  enter_domain (cell, addr, domain);
}

void
cell_set_instance_registered (struct cell *cell, struct pl_addr addr,
                              struct pl_str domain, bool registered)
{
  if (registered)
    add_member (cell, addr, domain.len == 0 ? 0 : cell_name_hash (domain));
  else
    remove_member (cell, addr);
  choose_mode (cell);
  if (registered)
    cell_add_peer (cell, addr);
  struct peer *peer = cell_find_peer_at (cell, addr);
  if (peer != NULL)
    peer->registered = registered;
}

bool
cell_is_instance_registered (const struct cell *cell, struct pl_addr addr)
{
  return find_member (cell, addr) != NULL;
}

GArray *
cell_list_other_domains (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  GArray *domains = g_array_new (FALSE, FALSE, sizeof (struct cell_domain));
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->domains);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct fleet_domain *domain = value;
      bool lost = domain->n_instances == 0 && domain->n_former > 0
                  && now_us - domain->empty_us < PEER_FORGET_US;
      if (domain->domain == cell->domain
          || (domain->n_instances == 0 && !lost))
        continue;
      struct cell_domain entry = { domain->domain, domain->n_instances };
      g_array_append_val (domains, entry);
    }
  return domains;
}

bool
cell_find_member (const struct cell *cell, uint64_t domain, unsigned number,
                  struct pl_addr *addr)
{
  const struct fleet_domain *found
      = g_hash_table_lookup (cell->domains, &domain);
  if (found == NULL || number >= found->members->len)
    return false;
  uint64_t key = cell_addr_key (cell->addr);
  uint64_t first = XXH64 (&key, sizeof key, domain);
  guint index = (guint)((first + number) % found->members->len);
  *addr = g_array_index (found->members, struct pl_addr, index);
  return true;
}

GArray *
cell_list_former (const struct cell *cell, uint64_t domain)
{
  GArray *former = g_array_new (FALSE, FALSE, sizeof (struct pl_addr));
  const struct fleet_domain *found
      = g_hash_table_lookup (cell->domains, &domain);
  for (unsigned i = 0; found != NULL && i < found->n_former; i++)
    g_array_append_val (former, found->former[i].addr);
  return former;
}

/* The domain that holds the workers of DOMAIN, which has no instances: of the
   domains that have some, the one of highest weight.  0: none.  */
static uint64_t
choose_adopter (struct cell *cell, uint64_t domain)
{
  uint64_t best = 0;
  uint64_t best_weight = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->domains);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct fleet_domain *other = value;
      uint64_t weight = XXH64 (&other->domain, sizeof other->domain, domain);
      if (other->n_instances == 0 || (best != 0 && weight <= best_weight))
        continue;
      best = other->domain;
      best_weight = weight;
    }
  return best;
}

unsigned
cell_list_overflow_domains (const struct cell *cell,
                            uint64_t domains[CELL_MAX_OVERFLOW_DOMAINS])
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->domains);
  while (g_hash_table_iter_next (&it, NULL, &value)
         && n < CELL_MAX_OVERFLOW_DOMAINS)
    {
      const struct fleet_domain *domain = value;
      if (domain->domain != cell->domain && domain->n_instances > 0
          && !cell_is_evacuated (cell, domain->domain))
        domains[n++] = domain->domain;
    }
  return n;
}

bool
cell_pick_instance (struct cell *cell, uint64_t domain, struct pl_addr *addr)
{
  const struct fleet_domain *from
      = g_hash_table_lookup (cell->domains, &domain);
  if (from == NULL || from->members->len == 0)
    return false;
  *addr = g_array_index (from->members, struct pl_addr,
                         cell->n_picked++ % from->members->len);
  return true;
}

/* Calls the instances that an empty domain had last.  */
static void
call_former (struct cell *cell, struct fleet_domain *domain)
{
  for (unsigned i = 0; i < domain->n_former; i++)
    {
      struct former_instance *former = &domain->former[i];
      if (former->link == NULL
          && domain->empty_us - former->left_us < FORMER_FOR_US)
        former->link = cell->ops->connect (cell->ctx, former->addr);
    }
}

static bool
has_answered (const struct fleet_domain *domain)
{
  for (unsigned i = 0; i < domain->n_former; i++)
    if (domain->former[i].up)
      return true;
  return false;
}

void
cell_note_call (struct cell *cell, const void *link, bool up)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->domains);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct fleet_domain *domain = value;
      for (unsigned i = 0; i < domain->n_former; i++)
        if (domain->former[i].link == link)
          domain->former[i].up = up;
    }
}

/* Whether the workers of DOMAIN are to be held by this instance's domain.  */
static bool
is_to_be_adopted (struct cell *cell, struct fleet_domain *domain,
                  int64_t now_us)
{
  if (domain->n_instances > 0 || domain->domain == cell->domain
      || choose_adopter (cell, domain->domain) != cell->domain)
    return false;
  if (now_us - domain->empty_us < PEER_FORGET_US)
    call_former (cell, domain);
  else
    end_calls (cell, domain);
  return now_us - domain->empty_us > ADOPT_AFTER_US && !has_answered (domain);
}

void
cell_tick_domains (struct cell *cell)
{
  /* While the registry is not read, it does not show that a domain has no
     instances.  */
  if (!cell->domain_only || !cell->registry_fresh)
    return;
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->domains);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct fleet_domain *domain = value;
      bool adopted = is_to_be_adopted (cell, domain, now_us);
      if (adopted == domain->adopted)
        continue;
      domain->adopted = adopted;
      cell->candidates_changed = true;
      cell->membership_changed = true;
      /* Until now its workers were of no interest here.  */
      cell_tell_all_anew (cell);
      cell_ask_for_workers (cell);
      pl_log (PL_EV_ADOPT, "domain=%016" PRIx64 " adopted=%d", domain->domain,
              adopted);
    }
}

bool
cell_has_other_domain (const struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->domains);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct fleet_domain *domain = value;
      if (domain->domain != cell->domain && domain->n_instances > 0
          && !cell_is_evacuated (cell, domain->domain))
        return true;
    }
  return false;
}

bool
cell_serves_domain (const struct cell *cell, uint64_t domain)
{
  if (!cell->domain_only || domain == cell->domain)
    return true;
  const struct fleet_domain *found
      = g_hash_table_lookup (cell->domains, &domain);
  return found != NULL && found->adopted;
}
