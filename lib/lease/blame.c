/* Which runs may have ended their worker's process.  A task that crashes each
   worker that starts it must be told apart from tasks that only ran beside it.
   Most crash the worker soon after their start, so that the latest start is
   the likely cause.  */
#include "lease_priv.h"

/* Starts that are at most this far apart count as one: which of them the
   worker carried out last is not known.  */
#define SAME_START_US 10000

/* Whether more than half of the workers held here refuse connections.  Then
   the cause is probably this instance's network.  */
static bool
most_workers_refuse (const struct lease_table *table)
{
  unsigned refusing = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct lease_worker *w = value;
      refusing += w->poll_reply == LEASE_REPLY_CONN_REFUSED;
    }
  return refusing > 1 && refusing * 2 > g_hash_table_size (table->workers);
}

static bool
has_process_ended (const struct lease_table *table,
                   const struct lease_worker *w, enum lease_cause cause)
{
  if (cause == LEASE_CAUSE_RESTARTED)
    return true;
  return cause == LEASE_CAUSE_EXPIRED
         && w->poll_reply == LEASE_REPLY_CONN_REFUSED
         && !most_workers_refuse (table);
}

/* When the latest start that the worker has acknowledged was sent.  A later
   one may never have reached it: a process may stop answering long before it
   ends.  */
static int64_t
latest_start_us (const struct lease_worker *w)
{
  int64_t latest_us = 0;
  for (guint i = 0; i < w->runs->len; i++)
    {
      const struct lease_run *run = g_ptr_array_index (w->runs, i);
      if (lease_is_acknowledged (run))
        latest_us = MAX (latest_us, run->added_us);
    }
  return latest_us;
}

void
lease_blame_runs (const struct lease_table *table, struct lease_worker *w,
                  enum lease_cause cause)
{
  /* A worker that is leaving ends with what runs there.  */
  if (w->runs->len == 0 || cause == LEASE_CAUSE_FENCED || w->info.draining)
    return;
  bool ended = has_process_ended (table, w, cause);
  int64_t latest_us = latest_start_us (w);
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct lease_run *run = g_ptr_array_index (w->runs, i);
      bool latest = lease_is_acknowledged (run)
                    && run->added_us >= latest_us - SAME_START_US;
      run->blame = ended && latest ? LEASE_BLAME_LIKELY : LEASE_BLAME_POSSIBLE;
    }
}
