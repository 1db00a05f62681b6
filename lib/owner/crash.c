/* Tasks that have crashed workers.  Every instance keeps the crashes of all
   tasks for a while: a job whose owner has died, or whose answer was lost, is
   submitted again to any instance, and must not crash as many workers again.
 */
#include "owner_priv.h"

/* A task that has probably crashed this many workers is given up.  */
#define MAX_CRASHES 2
/* The same for a task of which this many runs were lost with a worker or a
   holder, whatever the cause.  */
#define MAX_LOSSES 4
#define KEEP_US ((int64_t)120 * 1000000) /* callers have given up by then */
#define MAX_RECORDS 4096
/* Crashes that other instances are told of.  A caller submits its job again
   within a few seconds.  */
#define RECENT_US ((int64_t)20 * 1000000)
/* Two reports of a worker's crash under the same run within this time are of
   the same crash: a worker takes longer to come back.  */
#define SAME_CRASH_US 2000000

struct crash_record
{
  uint32_t count;
  uint64_t worker; /* of the latest crash */
  uint32_t run;
  int64_t at_us; /* when the latest crash was reported */
};

GHashTable *
owner_crashes_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

/* Makes room for one more record: drops those that are too old, else the
   oldest.  */
static void
drop_old_records (GHashTable *crashes, int64_t now_us)
{
  const uint64_t *oldest = NULL;
  int64_t oldest_us = INT64_MAX;
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, crashes);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const struct crash_record *record = value;
      if (now_us - record->at_us > KEEP_US)
        g_hash_table_iter_remove (&it);
      else if (record->at_us < oldest_us)
        {
          oldest = key;
          oldest_us = record->at_us;
        }
    }
  if (g_hash_table_size (crashes) >= MAX_RECORDS && oldest != NULL)
    g_hash_table_remove (crashes, oldest);
}

static struct crash_record *
find_or_add_record (struct owner_table *table, uint64_t tag, int64_t now_us)
{
  struct crash_record *record = g_hash_table_lookup (table->crashes, &tag);
  if (record != NULL)
    return record;
  if (g_hash_table_size (table->crashes) >= MAX_RECORDS)
    drop_old_records (table->crashes, now_us);
  record = g_new0 (struct crash_record, 1);
  record->at_us = now_us;
  g_hash_table_insert (table->crashes, g_memdup2 (&tag, sizeof tag), record);
  return record;
}

void
owner_record_crash (struct owner_table *table, const struct owner_run_end *end)
{
  int64_t now_us = pl_now_us (table->clock);
  uint64_t tag = planner_task_tag (end->id.job, end->id.index);
  struct crash_record *record = find_or_add_record (table, tag, now_us);
  int64_t age_us = now_us - record->at_us;
  bool same = record->worker == end->worker && record->run == end->id.run;
  if (record->count > 0 && same && age_us < SAME_CRASH_US)
    return;
  if (age_us > KEEP_US)
    record->count = 0;
  record->count++;
  record->worker = end->worker;
  record->run = end->id.run;
  record->at_us = now_us;
}

GArray *
owner_list_crashes (const struct owner_table *table)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct owner_crash));
  int64_t now_us = pl_now_us (table->clock);
  GHashTableIter it;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&it, table->crashes);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const struct crash_record *record = value;
      struct owner_crash crash = {
        .task = *(const uint64_t *)key,
        .count = record->count,
        .worker = record->worker,
        .run = record->run,
        .age_us = now_us - record->at_us,
      };
      if (crash.age_us <= RECENT_US)
        g_array_append_val (list, crash);
    }
  return list;
}

void
owner_add_crash (struct owner_table *table, const struct owner_crash *crash)
{
  int64_t now_us = pl_now_us (table->clock);
  struct crash_record *record
      = find_or_add_record (table, crash->task, now_us);
  if (crash->count <= record->count)
    return;
  record->count = crash->count;
  record->worker = crash->worker;
  record->run = crash->run;
  record->at_us = now_us - crash->age_us;
}

static unsigned
count_crashes (const struct owner_table *table, uint64_t job, uint32_t index)
{
  uint64_t tag = planner_task_tag (job, index);
  const struct crash_record *record
      = g_hash_table_lookup (table->crashes, &tag);
  bool valid
      = record != NULL && pl_now_us (table->clock) - record->at_us <= KEEP_US;
  return valid ? record->count : 0;
}

static bool
is_limit_reached (const struct owner_table *table, const struct owner_job *job,
                  uint32_t index)
{
  return job->tasks[index].losses >= MAX_LOSSES
         || count_crashes (table, job->id, index) >= MAX_CRASHES;
}

bool
owner_has_reached_crash_limit (const struct owner_table *table,
                               const struct owner_job *job)
{
  if (g_hash_table_size (table->crashes) == 0)
    return false;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    if (is_limit_reached (table, job, i))
      return true;
  return false;
}

bool
owner_has_suspect_task (const struct owner_table *table,
                        const struct owner_job *job)
{
  if (g_hash_table_size (table->crashes) == 0)
    return false;
  for (uint32_t i = 0; i < job->n_tasks; i++)
    if (job->tasks[i].state == OWNER_TASK_WAITING
        && count_crashes (table, job->id, i) > 0)
      return true;
  return false;
}

bool
owner_give_up_at_crash_limit (struct owner_table *table, struct owner_job *job,
                              uint32_t index)
{
  if (!is_limit_reached (table, job, index))
    return false;
  pl_count (PL_CTR_TASKS_GIVEN_UP_TOTAL, 1);
  pl_log (PL_EV_TASK_GIVEN_UP,
          "key=%016" PRIx64 " task=%u crashes=%u losses=%u", job->id, index,
          count_crashes (table, job->id, index), job->tasks[index].losses);
  owner_finish_job (table, job, PL_FAILED_RAN, 0);
  return true;
}
