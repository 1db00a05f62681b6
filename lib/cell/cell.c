/* Creation of a cell, its periodic work and the processing of what is queued
   between events.  */
#include "cell_priv.h"

#include <string.h>
#include <xxhash.h>

uint64_t
cell_name_hash (struct pl_str text)
{
  uint64_t key = XXH64 (text.data, text.len, 0);
  return key == 0 ? 1 : key; /* 0 stands for none */
}

static void
peer_free (void *data)
{
  struct peer *peer = data;
  g_hash_table_unref (peer->held);
  g_free (peer->name);
  g_free (peer);
}

static void
worker_free (void *data)
{
  struct known_worker *known = data;
  g_free (known->id);
  g_free (known);
}

static GHashTable *
table_new (GDestroyNotify free_key, GDestroyNotify free_value)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, free_key,
                                free_value);
}

struct cell *
cell_new (const struct cell_config *config, const struct cell_ops *ops,
          void *ctx)
{
  struct cell *cell = g_new0 (struct cell, 1);
  cell->clock = config->clock;
  cell->ops = ops;
  cell->ctx = ctx;
  cell->id = config->id;
  cell->name = g_strdup (config->name);
  cell->domain_name = g_strdup (config->domain);
  cell->domain = cell_name_hash (pl_str (config->domain));
  cell->addr = config->addr;
  cell->cpu_share = config->cpu_share;
  cell->fleet = table_new (g_free, g_free);
  cell->domains = table_new (NULL, cell_free_domain);
  cell->peers = table_new (g_free, peer_free);
  cell->workers = table_new (NULL, worker_free);
  cell->searches = table_new (NULL, cell_free_search);
  cell->kept = table_new (NULL, NULL);
  cell->remotes = table_new (g_free, cell_free_remote);
  g_queue_init (&cell->kept_order);
  cell->leases = lease_table_new (&cell_lease_ops, cell);
  cell->jobs = owner_table_new (cell->clock, &cell_owner_ops, cell);
  cell->evacuations = evac_table_new ();
  cell->planner = planner_new (&cell_planner_ops, cell);
  cell->config = g_bytes_new (NULL, 0);
  g_queue_init (&cell->inbox);
  g_queue_init (&cell->sent_ends);
  g_queue_init (&cell->deferred);
  cell->lender = overflow_lender_new (cell->id);
  cell->borrower = overflow_borrower_new (cell->id);
  cell->sent = overflow_sent_table_new (cell->id, &cell_sent_ops, cell);
  cell->received = overflow_received_table_new ();
  cell->planner_id = cell->id;
  cell->unsettled = g_hash_table_new (g_int64_hash, g_int64_equal);
  cell->membership_changed = true;
  cell->candidates_changed = true;
  cell->reads_registry = true; /* all do when they start */
  return cell;
}

static void
disconnect_all (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    cell->ops->disconnect (cell->ctx, ((struct peer *)value)->link);
}

void
cell_free (struct cell *cell)
{
  disconnect_all (cell);
  cell_end_calls (cell);
  cell_close_remotes (cell);
  g_queue_clear_full (&cell->inbox, (GDestroyNotify)g_bytes_unref);
  g_queue_clear_full (&cell->sent_ends, g_free);
  g_hash_table_unref (cell->searches);
  g_hash_table_unref (cell->kept);
  g_hash_table_unref (cell->remotes);
  g_queue_clear_full (&cell->kept_order, g_free);
  g_queue_clear_full (&cell->deferred, g_free);
  overflow_lender_free (cell->lender);
  overflow_borrower_free (cell->borrower);
  overflow_sent_table_free (cell->sent);
  overflow_received_table_free (cell->received);
  lease_table_free (cell->leases);
  owner_table_free (cell->jobs);
  planner_free (cell->planner);
  evac_table_free (cell->evacuations);
  g_hash_table_unref (cell->fleet);
  g_hash_table_unref (cell->domains);
  g_hash_table_unref (cell->peers);
  g_hash_table_unref (cell->unsettled);
  g_hash_table_unref (cell->workers);
  g_bytes_unref (cell->config);
  g_free (cell->name);
  g_free (cell->domain_name);
  g_free (cell);
}

struct lease_table *
cell_leases (struct cell *cell)
{
  return cell->leases;
}

struct owner_table *
cell_jobs (struct cell *cell)
{
  return cell->jobs;
}

void
cell_set_config (struct cell *cell, int64_t version, struct pl_str text)
{
  if (version <= cell->config_version)
    return;
  cell->config_version = version;
  g_bytes_unref (cell->config);
  cell->config = g_bytes_new (text.data, text.len);
  cell->heartbeat_us = 0; /* the next tick announces VERSION to the peers */
  cell->ops->wake (cell->ctx);
}

void
cell_set_ready (struct cell *cell, bool ready)
{
  if (cell->ready == ready)
    return;
  cell->ready = ready;
  cell->ready_us = pl_now_us (cell->clock);
  cell->membership_changed = true;
  cell->candidates_changed = true;
  cell->heartbeat_us = 0;
  cell->ops->wake (cell->ctx);
}

void
cell_drain (struct cell *cell, int64_t end_us)
{
  cell->draining = true;
  owner_limit_deadlines (cell->jobs, end_us);
  cell->membership_changed = true;
  cell->candidates_changed = true;
  cell->heartbeat_us = 0;
  cell_tick (cell);
}

void
cell_set_registry_fresh (struct cell *cell, bool fresh)
{
  cell->registry_fresh = fresh;
}

static void
process_inbox (struct cell *cell)
{
  GBytes *bytes;
  while ((bytes = g_queue_pop_head (&cell->inbox)) != NULL)
    {
      gsize len;
      const uint8_t *data = g_bytes_get_data (bytes, &len);
      Cellpb__Envelope *env = cellpb__envelope__unpack (NULL, len, data);
      cell_dispatch (cell, cell->id, env);
      cellpb__envelope__free_unpacked (env, NULL);
      g_bytes_unref (bytes);
    }
}

void
cell_process_queued (struct cell *cell)
{
  if (cell->membership_changed)
    {
      cell->membership_changed = false;
      cell_apply_membership (cell);
    }
  /* After a pause, before anything is started for a received job.  */
  cell_expire_received (cell);
  /* Each step may queue messages to this instance itself; repeat until none
     is left.  */
  do
    {
      process_inbox (cell);
      owner_flush_requests (cell->jobs);
      cell_send_due_reports (cell);
      process_inbox (cell);
      if (cell->plan_due)
        {
          cell->plan_due = false;
          planner_schedule (cell->planner, pl_now_us (cell->clock));
        }
    }
  while (!g_queue_is_empty (&cell->inbox));
}

void
cell_tick (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  cell_notice_pause (cell, now_us);
  cell_tick_members (cell);
  lease_tick (cell->leases, now_us);
  owner_tick (cell->jobs);
  cell_tick_searches (cell);
  cell_tick_kept (cell);
  cell_tick_remotes (cell);
  cell_tick_overflow (cell);
  cell_assign_workers (cell);
  if (planner_count_jobs (cell->planner) > 0)
    cell->plan_due = true;
  cell_process_queued (cell);
  cell_log_load (cell);
}
