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
  table->signs
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
  g_hash_table_unref (table->signs);
  g_hash_table_unref (table->kinds);
  g_ptr_array_unref (table->workers);
  g_array_unref (table->peers);
  g_array_unref (table->domain_peers);
  g_free (table);
}

struct slot_worker *
slot_find (const struct slot_table *table, struct pl_addr addr)
{
  uint64_t key = slot_addr_key (addr);
  return g_hash_table_lookup (table->by_addr, &key);
}

unsigned
slot_count (const struct slot_table *table)
{
  return table->workers->len;
}

struct slot_worker *
slot_at (const struct slot_table *table, unsigned index)
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

static void
set_leaving (struct slot_table *table, struct slot_worker *worker,
             const struct note_worker *note)
{
  uint64_t key = slot_addr_key (worker->addr);
  const int64_t *sign = g_hash_table_lookup (table->signs, &key);
  worker->added_revision = note->added_revision;
  if (sign == NULL)
    return;
  worker->leaving = note->added_revision <= *sign;
  if (!worker->leaving)
    g_hash_table_remove (table->signs, &key);
}

static bool
add_sign (struct slot_table *table, struct pl_addr addr, int64_t revision,
          const char *sign)
{
  uint64_t key = slot_addr_key (addr);
  struct slot_worker *worker = slot_find (table, addr);
  bool news = worker == NULL || !worker->leaving;
  if (news)
    {
      char text[PL_ADDR_TEXT];
      pl_log (PL_EV_LEAVING, "worker=%s sign=%s", pl_addr_text (addr, text),
              sign);
    }
  g_hash_table_replace (table->signs, g_memdup2 (&key, sizeof key),
                        g_memdup2 (&revision, sizeof revision));
  if (worker != NULL)
    worker->leaving = true;
  return news;
}

bool
slot_leaving (struct slot_table *table, struct pl_addr addr, const char *sign)
{
  return add_sign (table, addr, table->revision, sign);
}

void
slot_peer_leaving (struct slot_table *table, struct pl_addr addr,
                   int64_t revision)
{
  uint64_t key = slot_addr_key (addr);
  const int64_t *known = g_hash_table_lookup (table->signs, &key);
  const struct slot_worker *worker = slot_find (table, addr);
  if (known != NULL && *known >= revision)
    return;
  if (worker != NULL && worker->added_revision > revision)
    return;
  add_sign (table, addr, revision, "peer");
}

int64_t
slot_revision (const struct slot_table *table)
{
  return table->revision;
}

/* A larger share takes effect later, so that the former holder of the slots
   has noticed first; a smaller one takes effect now.  */
static void
set_share (struct slot_table *table, struct slot_worker *worker,
           unsigned share)
{
  if (share <= worker->own)
    {
      worker->own = share;
      worker->share = share;
      worker->raise_us = 0;
      return;
    }
  if (worker->raise_us == 0 || share > worker->share)
    worker->raise_us
        = pl_now_us (table->opts.clock) + table->opts.share_raise_us;
  worker->share = share;
}

static void
take_workers (struct slot_table *table, const struct note_conf *conf)
{
  for (unsigned i = 0; i < table->workers->len; i++)
    slot_at (table, i)->listed = false;
  table->listed = 0;
  table->revision = conf->revision;
  for (unsigned i = 0; i < conf->n_workers; i++)
    {
      const struct note_worker *note = &conf->workers[i];
      if (!g_str_equal (note->domain, table->domain))
        continue;
      struct slot_worker *worker = slot_find (table, note->addr);
      if (worker == NULL)
        worker = add_worker (table, note->addr);
      worker->listed = true;
      worker->slots = note->slots;
      worker->memory_mb = note->memory_mb;
      table->listed++;
      set_leaving (table, worker, note);
    }
}

static void
take_peers (struct slot_table *table, const struct memb_view *view)
{
  g_array_set_size (table->domain_peers, 0);
  for (unsigned i = 0; i < view->n_sharers; i++)
    if (view->sharers[i] != table->opts.self)
      g_array_append_val (table->domain_peers, view->sharers[i]);
}

/* An instance holds as many connections as it had tasks at once, and those of
   cancellations; the limit is divided evenly, since every instance may borrow
   all slots in turn.  */
static void
set_most (const struct slot_table *table, struct slot_worker *worker)
{
  unsigned sharers = table->domain_peers->len + 1;
  unsigned part = table->opts.connections / sharers;
  part = part > table->opts.spare ? part - table->opts.spare : 1;
  bool limited = table->opts.connections > 0 && part < worker->slots;
  worker->most = limited ? part : worker->slots;
}

void
slot_update (struct slot_table *table, const struct note_conf *conf,
             const struct memb_view *view)
{
  if (conf != NULL)
    take_workers (table, conf);
  if (view != NULL)
    take_peers (table, view);
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      struct slot_worker *worker = slot_at (table, i);
      set_most (table, worker);
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
      struct slot_worker *worker = slot_at (table, i);
      if (worker->raise_us != 0 && now >= worker->raise_us)
        {
          worker->own = worker->share;
          worker->raise_us = 0;
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
