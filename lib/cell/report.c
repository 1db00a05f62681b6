/* Reports of held workers (message Room) to the planner.  A report is sent
   when the worker has changed; all are sent again periodically.  */
#include "cell_priv.h"

#define REPORT_ALL_PERIOD_US 1000000

void
cell_mark_report_due (struct cell *cell, uint64_t worker)
{
  struct known_worker *known = g_hash_table_lookup (cell->workers, &worker);
  if (known == NULL)
    return;
  known->needs_report = true;
  cell->reports_due = true;
  cell->ops->wake (cell->ctx);
}

void
cell_mark_all_reports_due (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct lease_worker *w = value;
      struct known_worker *known
          = g_hash_table_lookup (cell->workers, &w->info.worker);
      if (known != NULL)
        known->needs_report = true;
    }
  cell->reports_due = true;
}

void
cell_withdraw_report (struct cell *cell, uint64_t worker)
{
  Cellpb__Room room = CELLPB__ROOM__INIT;
  room.worker = worker;
  room.gone = true;
  Cellpb__Envelope env = CELL_ENVELOPE (room, ROOM, &room);
  cell_send_to_planner (cell, &env);
}

void
cell_withdraw_reports (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    cell_withdraw_report (cell, ((struct lease_worker *)value)->info.worker);
}

/* The arrays about the runs on one worker in the message Room.  */
struct run_arrays
{
  uint32_t age_us[PLANNER_MAX_RUNS];
  uint32_t expect_us[PLANNER_MAX_RUNS];
  uint32_t cpu[PLANNER_MAX_RUNS];
  uint32_t mem[PLANNER_MAX_RUNS];
  uint32_t gpu[PLANNER_MAX_RUNS];
};

/* Has MSG tell how long the runs of W are expected to go on, in the order of
   its field runs.  */
static void
describe_runs (const struct lease_worker *w, int64_t now_us,
               struct run_arrays *arrays, Cellpb__Room *msg)
{
  bool uses_gpu = false;
  for (size_t i = 0; i < msg->n_runs; i++)
    {
      const struct lease_run *run = g_ptr_array_index (w->runs, i);
      int64_t start_us
          = run->started_us == 0 ? run->added_us : run->started_us;
      int64_t expect_us = run->expect_us * w->health.slowness / 100;
      arrays->age_us[i] = (uint32_t)CLAMP (now_us - start_us, 0, UINT32_MAX);
      arrays->expect_us[i] = (uint32_t)CLAMP (expect_us, 0, UINT32_MAX);
      arrays->cpu[i] = (uint32_t)run->size.cpu;
      arrays->mem[i] = (uint32_t)run->size.mem;
      arrays->gpu[i] = (uint32_t)run->size.gpu;
      uses_gpu |= run->size.gpu != 0;
    }
  msg->run_age_us = arrays->age_us;
  msg->run_expect_us = arrays->expect_us;
  msg->run_cpu = arrays->cpu;
  msg->run_mem = arrays->mem;
  msg->run_gpu = arrays->gpu;
  msg->n_run_age_us = msg->n_run_expect_us = msg->n_runs;
  msg->n_run_cpu = msg->n_run_mem = msg->n_runs;
  msg->n_run_gpu = uses_gpu ? msg->n_runs : 0;
}

static void
send_report (struct cell *cell, const struct lease_worker *w, int64_t now_us)
{
  struct planner_worker_report report;
  lease_fill_report (w, cell->id, now_us, &report);
  Cellpb__Amount capacity = cell_encode_amount (report.capacity);
  Cellpb__Amount used = cell_encode_amount (report.used);
  Cellpb__Room msg = CELLPB__ROOM__INIT;
  msg.worker = report.worker;
  msg.token = report.token;
  msg.service = report.service;
  msg.domain = report.domain;
  msg.labels = report.labels;
  msg.n_labels = PLANNER_MAX_LABELS;
  msg.capacity = &capacity;
  msg.used = &used;
  msg.usable = report.usable && !cell_is_evacuated (cell, report.domain);
  msg.slowness = report.slowness;
  msg.runs = report.runs;
  msg.n_runs = report.n_runs;
  struct run_arrays arrays;
  if (cell->domain_only)
    describe_runs (w, now_us, &arrays, &msg);
  Cellpb__Envelope env = CELL_ENVELOPE (room, ROOM, &msg);
  cell_send_to_planner (cell, &env);
}

void
cell_send_due_reports (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (now_us - cell->all_reported_us > REPORT_ALL_PERIOD_US)
    {
      cell->all_reported_us = now_us;
      cell_mark_all_reports_due (cell);
    }
  if (!cell->reports_due)
    return;
  cell->reports_due = false;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct lease_worker *w = value;
      struct known_worker *known
          = g_hash_table_lookup (cell->workers, &w->info.worker);
      if (known == NULL || !known->needs_report)
        continue;
      known->needs_report = false;
      if (w->token != LEASE_PROBE_TOKEN)
        send_report (cell, w, now_us);
    }
}

unsigned
cell_count_held_workers (struct cell *cell)
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
cell_count_usable_workers (struct cell *cell)
{
  unsigned n = 0;
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, lease_workers (cell->leases));
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct planner_worker_report report;
      lease_fill_report (value, cell->id, now_us, &report);
      n += report.usable && !cell_is_evacuated (cell, report.domain);
    }
  return n;
}
