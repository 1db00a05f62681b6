/* Health of a worker, from the outcomes of its runs.  */
#include "lease_priv.h"

#define STRIKES 3        /* failures in a row that eject */
#define EJECT_US 1500000 /* doubled with each ejection in a row */
#define EJECT_DOUBLINGS 3
#define SLOWNESS_WEIGHT 4 /* of former run times against a new one */
#define SLOWNESS_MAX 1000 /* percent */

void
lease_health_good (struct lease_health *health, int64_t took_us,
                   int64_t expect_us, int64_t now_us)
{
  health->done_us = now_us;
  health->strikes = 0;
  health->ejections = 0;
  if (took_us <= 0 || expect_us <= 0)
    return;
  int64_t percent = MIN (took_us * 100 / expect_us, SLOWNESS_MAX);
  health->slowness
      = (uint32_t)(((int64_t)health->slowness * (SLOWNESS_WEIGHT - 1)
                    + percent)
                   / SLOWNESS_WEIGHT);
}

static unsigned
count_ejected (struct lease_table *table, int64_t now_us)
{
  unsigned n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    n += ((struct lease_worker *)value)->health.ejected_us > now_us;
  return n;
}

static void
eject (struct lease_worker *w, int64_t now_us)
{
  struct lease_health *health = &w->health;
  unsigned doublings = MIN (health->ejections, EJECT_DOUBLINGS);
  health->strikes = 0;
  health->ejected_us = now_us + ((int64_t)EJECT_US << doublings);
  health->ejections++;
  pl_count (PL_CTR_WORKERS_EJECTED_TOTAL, 1);
  pl_log (PL_EV_EJECT, "worker=%s failures=%u until_ms=%" PRId64, w->id,
          health->ejections, health->ejected_us / 1000);
}

void
lease_strike (struct lease_table *table, struct lease_worker *w,
              int64_t now_us)
{
  /* After an ejection a single failure ejects again.  */
  unsigned limit = w->health.ejections > 0 ? 1 : STRIKES;
  /* Where most workers seem to fail, the jobs are to blame.  */
  unsigned held = g_hash_table_size (table->workers);
  bool most = (count_ejected (table, now_us) + 1) * 2 > held + 1;
  if (++w->health.strikes >= limit && !most)
    eject (w, now_us);
  table->ops->changed (table->ctx, w);
}

void
lease_straggler (struct lease_table *table, struct lease_worker *w,
                 const struct lease_run *run, int64_t now_us)
{
  /* A worker that has finished nothing since then stands still as a whole. */
  if (w->health.done_us < run->started_us)
    w->health.strikes = STRIKES;
  lease_strike (table, w, now_us);
}

bool
lease_usable (const struct lease_worker *w, int64_t now_us)
{
  return w->state == LEASE_WORKER_HELD && w->token != LEASE_PROBE_TOKEN
         && !w->info.draining && w->health.ejected_us <= now_us;
}
