/* Reports of the held workers' room to the planner.  */
#include "cell_priv.h"

#define ROOMS_REFRESH_US 1000000

void
cell_mark_room (struct cell *cell, uint64_t worker)
{
  struct known_worker *known = g_hash_table_lookup (cell->workers, &worker);
  if (known == NULL)
    return;
  known->dirty = true;
  cell->rooms_dirty = true;
  cell->ops->wake (cell->ctx);
}

void
cell_all_rooms_dirty (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    ((struct known_worker *)value)->dirty = true;
  cell->rooms_dirty = true;
}

void
cell_send_room_gone (struct cell *cell, uint64_t worker)
{
  Cellpb__Room room = CELLPB__ROOM__INIT;
  room.worker = worker;
  room.gone = true;
  Cellpb__Envelope env = CELL_ENVELOPE (room, ROOM, &room);
  cell_send (cell, cell->planner, &env);
}

void
cell_withdraw_rooms (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    cell_send_room_gone (cell, ((struct lease_worker *)value)->info.worker);
}

static void
report_room (struct cell *cell, const struct lease_worker *w, int64_t now_us)
{
  struct planner_worker_report room;
  lease_fill_room (w, cell->id, now_us, &room);
  Cellpb__Amount capacity = cell_pack_amount (room.capacity);
  Cellpb__Amount used = cell_pack_amount (room.used);
  Cellpb__Room msg = CELLPB__ROOM__INIT;
  msg.worker = room.worker;
  msg.token = room.token;
  msg.service = room.service;
  msg.domain = room.domain;
  msg.labels = room.labels;
  msg.n_labels = PLANNER_MAX_LABELS;
  msg.capacity = &capacity;
  msg.used = &used;
  msg.usable = room.usable;
  msg.slowness = room.slowness;
  msg.runs = room.runs;
  msg.n_runs = room.n_runs;
  Cellpb__Envelope env = CELL_ENVELOPE (room, ROOM, &msg);
  cell_send (cell, cell->planner, &env);
}

void
cell_report_rooms (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (now_us - cell->rooms_us > ROOMS_REFRESH_US)
    {
      cell->rooms_us = now_us;
      cell_all_rooms_dirty (cell);
    }
  if (!cell->rooms_dirty)
    return;
  cell->rooms_dirty = false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct known_worker *known = value;
      if (!known->dirty)
        continue;
      known->dirty = false;
      struct lease_worker *w = lease_find (cell->leases, known->info.worker);
      if (w != NULL && w->token != LEASE_PROBE_TOKEN)
        report_room (cell, w, now_us);
    }
}

unsigned
cell_held_workers (struct cell *cell)
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    n += ((struct lease_worker *)value)->token != LEASE_PROBE_TOKEN;
  return n;
}

unsigned
cell_usable_workers (struct cell *cell)
{
  unsigned n = 0;
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct planner_worker_report room;
      lease_fill_room (value, cell->id, now_us, &room);
      n += room.usable;
    }
  return n;
}
