/* The table of workers: what the configuration, the membership and the reports
   of leaving workers say about them.  */
#include "slot_in.h"

uint64_t
slot_addr_key (struct pl_addr addr)
{
  return (uint64_t)addr.ip << 16 | addr.port;
}

static void
worker_free (void *data)
{
  struct slot_worker *worker = data;
  g_array_unref (worker->lent);
  g_array_unref (worker->borrowed);
  g_free (worker);
}

struct slot_table *
slot_table_new (const struct slot_opts *opts)
{
  struct slot_table *table = g_new0 (struct slot_table, 1);
  table->opts = *opts;
  table->slowness = 1;
  table->domain = g_strdup (opts->domain);
  uint64_t seed = opts->seed != 0 ? opts->seed : pl_random64 ();
  table->rand = g_rand_new_with_seed ((guint32)(seed ^ seed >> 32));
  table->workers = g_ptr_array_new_with_free_func (worker_free);
  table->by_addr
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  table->leaving_revisions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  table->kinds = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        slot_kind_free);
  table->peers = g_array_new (FALSE, TRUE, sizeof (struct slot_peer));
  table->domain_peers = g_array_new (FALSE, FALSE, sizeof (claim_instance_id));
  return table;
}

void
slot_table_free (struct slot_table *table)
{
  if (table == NULL)
    return;
  g_free (table->domain);
  g_rand_free (table->rand);
  g_hash_table_unref (table->by_addr);
  g_hash_table_unref (table->leaving_revisions);
  g_hash_table_unref (table->kinds);
  g_ptr_array_unref (table->workers);
  g_array_unref (table->peers);
  g_array_unref (table->domain_peers);
  g_free (table);
}

struct slot_worker *
slot_find_worker (const struct slot_table *table, struct pl_addr addr)
{
  uint64_t key = slot_addr_key (addr);
  return g_hash_table_lookup (table->by_addr, &key);
}

unsigned
slot_n_workers (const struct slot_table *table)
{
  return table->workers->len;
}

struct slot_worker *
slot_worker_at (const struct slot_table *table, unsigned index)
{
  return table->workers->pdata[index];
}

static struct slot_worker *
add_worker (struct slot_table *table, struct pl_addr addr)
{
  struct slot_worker *worker = g_new0 (struct slot_worker, 1);
  worker->addr = addr;
  worker->index = table->workers->len;
  worker->lent = g_array_new (FALSE, FALSE, sizeof (struct slot_hold));
  worker->borrowed = g_array_new (FALSE, FALSE, sizeof (struct slot_hold));
  worker->slowness = 1;
  g_ptr_array_add (table->workers, worker);
  uint64_t key = slot_addr_key (addr);
  g_hash_table_insert (table->by_addr, g_memdup2 (&key, sizeof key), worker);
  return worker;
}

/* Updates whether WORKER is leaving: if it was marked, the mark holds until a
   configuration newer than that of the mark adds the worker again.  */
static void
set_leaving (struct slot_table *table, struct slot_worker *worker,
             const struct note_worker *note)
{
  uint64_t key = slot_addr_key (worker->addr);
  const int64_t *marked_revision
      = g_hash_table_lookup (table->leaving_revisions, &key);
  worker->added_revision = note->added_revision;
  if (marked_revision == NULL)
    return;
  worker->leaving = note->added_revision <= *marked_revision;
  if (!worker->leaving)
    g_hash_table_remove (table->leaving_revisions, &key);
}

/* Marks the worker ADDR as leaving under REVISION of the configuration.  True
   if it was not known to leave.  */
static bool
mark_leaving (struct slot_table *table, struct pl_addr addr, int64_t revision,
              const char *source)
{
  uint64_t key = slot_addr_key (addr);
  struct slot_worker *worker = slot_find_worker (table, addr);
  bool is_new = worker == NULL || !worker->leaving;
  if (is_new)
    {
      char text[PL_ADDR_TEXT];
      pl_log (PL_EV_LEAVING, "worker=%s sign=%s", pl_addr_text (addr, text),
              source);
    }
  g_hash_table_replace (table->leaving_revisions, g_memdup2 (&key, sizeof key),
                        g_memdup2 (&revision, sizeof revision));
  if (worker != NULL)
    worker->leaving = true;
  return is_new;
}

bool
slot_mark_leaving (struct slot_table *table, struct pl_addr addr,
                   const char *source)
{
  return mark_leaving (table, addr, table->revision, source);
}

void
slot_mark_leaving_by_peer (struct slot_table *table, struct pl_addr addr,
                           int64_t revision)
{
  uint64_t key = slot_addr_key (addr);
  const int64_t *known = g_hash_table_lookup (table->leaving_revisions, &key);
  const struct slot_worker *worker = slot_find_worker (table, addr);
  if (known != NULL && *known >= revision)
    return;
  if (worker != NULL && worker->added_revision > revision)
    return;
  mark_leaving (table, addr, revision, "peer");
}

int64_t
slot_revision (const struct slot_table *table)
{
  return table->revision;
}

/* A smaller share takes effect now.  A larger one takes effect after
   share_raise_us, when the former holder of the slots has noticed that its
   share is smaller.  */
static void
set_share (struct slot_table *table, struct slot_worker *worker,
           unsigned share)
{
  if (share <= worker->current_share)
    {
      worker->current_share = share;
      worker->target_share = share;
      worker->raise_at_us = 0;
      return;
    }
  if (worker->raise_at_us == 0 || share > worker->target_share)
    worker->raise_at_us
        = pl_now_us (table->opts.clock) + table->opts.share_raise_us;
  worker->target_share = share;
}

static void
load_workers (struct slot_table *table, const struct note_conf *conf)
{
  for (unsigned i = 0; i < table->workers->len; i++)
    slot_worker_at (table, i)->listed = false;
  table->n_listed = 0;
  table->revision = conf->revision;
  if (note_is_evacuated (conf, table->domain))
    return; /* as if the workers were withdrawn */
  for (unsigned i = 0; i < conf->n_workers; i++)
    {
      const struct note_worker *note = &conf->workers[i];
      if (!g_str_equal (note->domain, table->domain))
        continue;
      struct slot_worker *worker = slot_find_worker (table, note->addr);
      if (worker == NULL)
        worker = add_worker (table, note->addr);
      worker->listed = true;
      worker->slots = note->slots;
      worker->memory_mb = note->memory_mb;
      table->n_listed++;
      set_leaving (table, worker, note);
    }
}

static void
load_peers (struct slot_table *table, const struct memb_view *view)
{
  g_array_set_size (table->domain_peers, 0);
  for (unsigned i = 0; i < view->n_sharers; i++)
    if (view->sharers[i] != table->opts.self)
      g_array_append_val (table->domain_peers, view->sharers[i]);
}

/* An instance keeps as many connections to a worker as it has had tasks
   running there at a time, and those of its cancellations.  Any instance may
   borrow all slots at some time, so the limit is divided evenly among the
   instances.  */
static void
set_max_tasks (const struct slot_table *table, struct slot_worker *worker)
{
  unsigned sharers = table->domain_peers->len + 1;
  unsigned part = table->opts.connections / sharers;
  part = part > table->opts.spare_connections
             ? part - table->opts.spare_connections
             : 1;
  bool limited = table->opts.connections > 0 && part < worker->slots;
  worker->max_tasks = limited ? part : worker->slots;
}

void
slot_update (struct slot_table *table, const struct note_conf *conf,
             const struct memb_view *view)
{
  if (conf != NULL)
    load_workers (table, conf);
  if (view != NULL)
    load_peers (table, view);
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, i);
      set_max_tasks (table, worker);
      unsigned share = 0;
      if (worker->listed && view != NULL)
        share
            = memb_share (view, table->opts.self, worker->addr, worker->slots);
      set_share (table, worker, share);
    }
  slot_tick (table);
}

void
slot_tick (struct slot_table *table)
{
  int64_t now = pl_now_us (table->opts.clock);
  double slowness = 0;
  unsigned usable = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, i);
      if (worker->raise_at_us != 0 && now >= worker->raise_at_us)
        {
          worker->current_share = worker->target_share;
          worker->raise_at_us = 0;
        }
      slot_health_tick (table, worker);
      slot_mark_expired (table, worker);
      slot_mark_idle (table, worker);
      if (!slot_usable (worker))
        continue;
      slowness += worker->slowness;
      usable++;
    }
  table->slowness = usable > 0 ? slowness / usable : 1;
}
