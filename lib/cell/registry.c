/* The registry of workers, as this instance reads it, and what peers tell of
   it. The store may serve some instances and not others.  An instance that it
   does not serve says so in its heartbeats, with the revisions of what it
   knows of the workers that it holds; peers that know of later changes tell
   it.  */
#include "cell_priv.h"

#include <string.h>

/* An entry tells how long a worker stays cold from the time when it was
   written; the end of that time moves by less than this between two readings.
 */
#define COLD_JITTER_US 2000000

static bool
has_become_cold (const struct lease_worker_info *before,
                 const struct lease_worker_info *after)
{
  return after->cold_until_us > before->cold_until_us + COLD_JITTER_US;
}

/* Whether starts on the worker are decided differently from now on.  */
static bool
has_changed (const struct lease_worker_info *before,
             const struct lease_worker_info *after)
{
  return lease_decides_differently (before, after)
         || has_become_cold (before, after);
}

static void
copy_info (struct known_worker *known, const struct lease_worker_info *info)
{
  if (known->id == NULL || strcmp (known->id, info->id) != 0)
    {
      g_free (known->id);
      known->id = g_strdup (info->id);
    }
  known->info = *info;
  known->info.id = known->id;
}

/* What ENTRY, which was read or told of now, says; its time for which the
   worker stays cold as an absolute one.  */
static struct lease_worker_info
with_absolute_times (struct cell *cell, const struct lease_worker_info *entry)
{
  struct lease_worker_info info = *entry;
  if (info.warmup_left_ms > 0)
    info.cold_until_us = pl_now_us (cell->clock) + info.warmup_left_ms * 1000;
  info.warmup_left_ms = 0;
  return info;
}

void
cell_set_worker (struct cell *cell, const struct lease_worker_info *entry)
{
  struct lease_worker_info absolute = with_absolute_times (cell, entry);
  const struct lease_worker_info *info = &absolute;
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &info->worker);
  bool changed = known == NULL;
  if (known == NULL)
    {
      known = g_new0 (struct known_worker, 1);
      copy_info (known, info);
      known->changed_revision = info->revision;
      g_hash_table_insert (cell->workers, &known->info.worker, known);
    }
  cell_know_domain (cell, info->domain);
  /* A peer may have told of a later change.  */
  if (info->revision != 0 && info->revision < known->info.revision
      && !known->removed)
    return;
  if (has_changed (&known->info, info))
    {
      changed = true;
      known->changed_revision = info->revision;
    }
  if (changed)
    pl_log (PL_EV_WORKER_SET,
            "worker=%s draining=%d cpu=%d mem=%d revision=%" PRId64
            " cold=%d born_ms=%" PRId64 " labels=%" PRIx64 ",%" PRIx64,
            info->id, info->draining, info->capacity.cpu, info->capacity.mem,
            info->revision, info->cold_until_us != 0, info->incarnation_ms,
            info->labels[0], info->labels[1]);
  changed = changed || known->removed
            || !pl_addr_eq (known->info.addr, info->addr)
            || known->info.domain != info->domain;
  known->removed = false;
  if (known->info.incarnation_ms != info->incarnation_ms
      || !pl_addr_eq (known->info.addr, info->addr))
    known->take_after_us = 0; /* another process */
  copy_info (known, info);
  struct lease_worker *w = lease_find_worker (cell->leases, info->worker);
  /* A later incarnation at another address: the held one has ended.  */
  if (w != NULL && w->info.incarnation_ms < info->incarnation_ms
      && !pl_addr_eq (w->info.addr, info->addr))
    {
      lease_worker_ended (cell->leases, w);
      w = NULL;
    }
  if (w != NULL)
    lease_update (cell->leases, w, info);
  if (!changed)
    return; /* the worker has only renewed its entry */
  if (info->revision > known->changed_revision)
    known->changed_revision = info->revision;
  cell->workers_changed_revision
      = MAX (cell->workers_changed_revision, known->changed_revision);
  cell_weigh_worker (cell, known);
  cell->membership_changed = true;
  cell->ops->wake (cell->ctx);
}

bool
cell_is_worker_registered (const struct cell *cell, uint64_t worker)
{
  const struct known_worker *known
      = g_hash_table_lookup (cell->workers, &worker);
  return known != NULL && !known->removed;
}

/* A worker that is no longer registered may still answer and run tasks: it
   gets no more starts, and is given up when nothing runs there.  */
void
cell_remove_worker (struct cell *cell, uint64_t worker)
{
  struct known_worker *known = g_hash_table_lookup (cell->workers, &worker);
  struct lease_worker *w = lease_find_worker (cell->leases, worker);
  if (known == NULL)
    return;
  known->removed = true;
  /* The removal has no revision; peers that know less than this are told.  */
  cell_tell_all_anew (cell);
  cell_unsettle_worker (cell, known);
  if (w == NULL)
    return;
  struct lease_worker_info info = w->info;
  info.draining = true;
  lease_update (cell->leases, w, &info);
}

Cellpb__Worker
cell_encode_worker (const struct known_worker *known, int64_t now_us,
                    Cellpb__Amount *capacity)
{
  const struct lease_worker_info *info = &known->info;
  Cellpb__Worker msg = CELLPB__WORKER__INIT;
  *capacity = cell_encode_amount (info->capacity);
  msg.id = known->id;
  msg.ip = info->addr.ip;
  msg.port = info->addr.port;
  msg.service = info->service;
  msg.domain = info->domain;
  msg.labels = (uint64_t *)info->labels;
  msg.n_labels = PLANNER_MAX_LABELS;
  msg.capacity = capacity;
  msg.incarnation_ms = info->incarnation_ms;
  msg.draining = info->draining;
  msg.revision = known->changed_revision;
  msg.warmup_left_ms = MAX (info->cold_until_us - now_us, 0) / 1000;
  return msg;
}

struct lease_worker_info
cell_decode_worker (const Cellpb__Worker *msg)
{
  struct lease_worker_info info = {
    .worker = cell_name_hash (pl_str (msg->id)),
    .id = msg->id,
    .addr = { msg->ip, (uint16_t)msg->port },
    .service = msg->service,
    .domain = msg->domain,
    .capacity = cell_decode_amount (msg->capacity),
    .incarnation_ms = msg->incarnation_ms,
    .draining = msg->draining,
    .revision = msg->revision,
    .warmup_left_ms = msg->warmup_left_ms,
  };
  for (size_t i = 0; i < msg->n_labels && i < PLANNER_MAX_LABELS; i++)
    info.labels[i] = msg->labels[i];
  return info;
}

void
cell_relay_changes (struct cell *cell, struct peer *peer,
                    const Cellpb__Held *held)
{
  const struct known_worker *known
      = g_hash_table_lookup (cell->workers, &held->worker);
  if (!cell->registry_fresh || known == NULL
      || known->changed_revision <= held->revision)
    return;
  Cellpb__Amount capacity;
  Cellpb__Worker entry
      = cell_encode_worker (known, pl_now_us (cell->clock), &capacity);
  Cellpb__WorkerState msg = CELLPB__WORKER_STATE__INIT;
  msg.worker = held->worker;
  msg.revision = known->changed_revision;
  msg.incarnation_ms = known->info.incarnation_ms;
  msg.draining = known->info.draining;
  msg.capacity = &capacity;
  msg.entry = &entry;
  Cellpb__Envelope env = CELL_ENVELOPE (worker_state, WORKER_STATE, &msg);
  cell_send_to_peer (cell, peer, &env);
}

/* What MSG tells of the worker KNOWN.  A former build doesn't tell the labels
   and the address of another incarnation: that is not described then, and
   takes no starts, until its entry is read.  */
static struct lease_worker_info
decode_state (const struct known_worker *known, const Cellpb__WorkerState *msg)
{
  if (msg->entry != NULL)
    return cell_decode_worker (msg->entry);
  struct lease_worker_info info = known->info;
  info.draining = msg->draining;
  if (msg->incarnation_ms == info.incarnation_ms)
    info.capacity = cell_decode_amount (msg->capacity);
  return info;
}

void
cell_on_worker_state (struct cell *cell, const Cellpb__WorkerState *msg)
{
  struct known_worker *known
      = g_hash_table_lookup (cell->workers, &msg->worker);
  if (known == NULL || known->removed
      || msg->revision <= known->changed_revision)
    return;
  /* Instances that first read the same entry at different times know it by
     different revisions: the next heartbeat names this one.  */
  known->changed_revision = msg->revision;
  struct lease_worker_info info = decode_state (known, msg);
  info.revision = msg->revision;
  if (!has_changed (&known->info, &info))
    return;
  pl_log (PL_EV_WORKER_RELAYED,
          "worker=%s revision=%" PRId64 " draining=%d cpu=%d mem=%d"
          " born_ms=%" PRId64 " labels=%" PRIx64 ",%" PRIx64,
          known->id, info.revision, info.draining, info.capacity.cpu,
          info.capacity.mem, info.incarnation_ms, info.labels[0],
          info.labels[1]);
  cell_set_worker (cell, &info);
}
