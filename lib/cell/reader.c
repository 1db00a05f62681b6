/* Who reads the entries of workers in the registry.  Each worker renews its
   entry all the time, and each reader reads all of them: in a large fleet two
   instances of a failure domain do so and tell the others of changes.  The
   others say in their heartbeats up to which revision they know the workers; a
   reader that knows of a later change answers with it, and with the names of
   all workers, so that lost messages are made good by the next heartbeat.  */
#include "cell_priv.h"

#define READERS_PER_DOMAIN 2
/* A reader that seems silent is heard again, or lost, within this time.  To
   begin to read costs more than all else: a moment without heartbeats must not
   make all begin.  */
#define READER_CHANGE_US 1000000

/* Whether the registry is better read by PEER: it is served, and has more
   processor time.  Equals are told apart by name.  */
static bool
reads_better (const struct cell *cell, const struct peer *peer)
{
  if (!peer->alive || peer->suspected || peer->draining || !peer->ready
      || peer->registry_stale || !cell_is_candidate (cell, peer))
    return false;
  if (!cell->registry_fresh || cell->draining)
    return true;
  if (peer->cpu_share != cell->cpu_share)
    return peer->cpu_share > cell->cpu_share;
  return g_strcmp0 (peer->name, cell->name) < 0;
}

/* Whether this instance is one of the best readers of its domain now.  */
static bool
is_best_reader (const struct cell *cell)
{
  unsigned n_better = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    n_better += reads_better (cell, value);
  return n_better < READERS_PER_DOMAIN;
}

bool
cell_reads_registry (const struct cell *cell)
{
  return !cell->domain_only || cell->reads_registry;
}

void
cell_tick_reader (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  bool reads = !cell->domain_only || is_best_reader (cell);
  if (reads == cell->reads_registry)
    cell->reader_change_us = 0;
  else if (cell->reader_change_us == 0)
    cell->reader_change_us = now_us;
  else if (now_us - cell->reader_change_us >= READER_CHANGE_US)
    {
      cell->reads_registry = reads;
      cell->reader_change_us = 0;
    }
}

void
cell_set_registry_revision (struct cell *cell, int64_t revision)
{
  cell->registry_revision = MAX (cell->registry_revision, revision);
}

void
cell_tell_all_anew (struct cell *cell)
{
  cell->workers_changed_revision
      = MAX (cell->workers_changed_revision, cell->registry_revision + 1);
}

void
cell_ask_for_workers (struct cell *cell)
{
  if (!cell_reads_registry (cell))
    cell->registry_revision = 0;
}

/* The workers that PEER may hold, and of them those that have changed since
   REVISION.  */
struct worker_list
{
  GArray *names;      /* uint64_t */
  GPtrArray *changed; /* struct known_worker */
};

static void
list_workers (struct cell *cell, int64_t revision, struct worker_list *list)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct known_worker *known = value;
      if (known->removed || !cell_serves_domain (cell, known->info.domain))
        continue;
      g_array_append_val (list->names, known->info.worker);
      if (known->changed_revision > revision)
        g_ptr_array_add (list->changed, known);
    }
}

static void
send_workers (struct cell *cell, struct peer *peer,
              const struct worker_list *list)
{
  guint n = list->changed->len;
  int64_t now_us = pl_now_us (cell->clock);
  g_autofree Cellpb__Worker *workers = g_new (Cellpb__Worker, n);
  g_autofree Cellpb__Amount *capacities = g_new (Cellpb__Amount, n);
  g_autoptr (GPtrArray) pointers = g_ptr_array_new ();
  for (guint i = 0; i < n; i++)
    {
      workers[i] = cell_encode_worker (list->changed->pdata[i], now_us,
                                       &capacities[i]);
      g_ptr_array_add (pointers, &workers[i]);
    }
  Cellpb__Registry msg = CELLPB__REGISTRY__INIT;
  msg.revision = cell->registry_revision;
  msg.changed = (Cellpb__Worker **)pointers->pdata;
  msg.n_changed = n;
  msg.names = (uint64_t *)(void *)list->names->data;
  msg.n_names = list->names->len;
  Cellpb__Envelope env = CELL_ENVELOPE (registry, REGISTRY, &msg);
  cell_send_to_peer (cell, peer, &env);
}

void
cell_tell_workers (struct cell *cell, struct peer *peer)
{
  if (peer->reads_registry || !cell->domain_only || !cell->registry_fresh
      || cell->workers_changed_revision <= peer->registry_revision
      || !cell_reads_registry (cell))
    return;
  g_autoptr (GArray) names = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_autoptr (GPtrArray) changed = g_ptr_array_new ();
  struct worker_list list = { names, changed };
  list_workers (cell, peer->registry_revision, &list);
  send_workers (cell, peer, &list);
}

/* Removes the workers of the served domains that NAMES lacks.  */
static void
remove_unnamed (struct cell *cell, const uint64_t *names, size_t n)
{
  g_autoptr (GHashTable) named
      = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (size_t i = 0; i < n; i++)
    g_hash_table_add (named, (gpointer)&names[i]);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct known_worker *known = value;
      if (known->removed || !cell_serves_domain (cell, known->info.domain)
          || g_hash_table_contains (named, &known->info.worker))
        continue;
      pl_log (PL_EV_WORKER_REMOVED, "worker=%s", known->id);
      cell_remove_worker (cell, known->info.worker);
    }
}

/* Whether a worker that a reader names is not known here: its entry changed
   before its domain was adopted.  */
static bool
lacks_named (const struct cell *cell, const Cellpb__Registry *msg)
{
  for (size_t i = 0; i < msg->n_names; i++)
    if (!cell_is_worker_registered (cell, msg->names[i]))
      return true;
  return false;
}

void
cell_on_registry (struct cell *cell, const Cellpb__Registry *msg)
{
  if (cell_reads_registry (cell) || msg->revision < cell->registry_revision)
    return;
  for (size_t i = 0; i < msg->n_changed; i++)
    {
      struct lease_worker_info info = cell_decode_worker (msg->changed[i]);
      cell_set_worker (cell, &info);
    }
  remove_unnamed (cell, msg->names, msg->n_names);
  cell_set_registry_revision (cell, msg->revision);
  if (lacks_named (cell, msg))
    cell_ask_for_workers (cell);
}
