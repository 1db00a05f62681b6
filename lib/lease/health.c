/* Health of a worker, from the outcomes of its runs.  A worker that fails
   several times in a row is ejected: it gets no starts for a while.  */
#include "lease_priv.h"

#define EJECT_FAILURES 3      /* in a row */
#define EJECT_BASE_US 1500000 /* doubled with each ejection in a row */
#define EJECT_MAX_DOUBLINGS 3
/* A new run time counts 1 part in this many of the smoothed slowness.  */
#define SLOWNESS_WEIGHT 4
#define SLOWNESS_MAX 1000 /* percent */

void
lease_record_success (struct lease_health *health, int64_t took_us,
                      int64_t expect_us, int64_t now_us)
{
  health->last_success_us = now_us;
  health->failures = 0;
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
    n += ((struct lease_worker *)value)->health.ejected_until_us > now_us;
  return n;
}

static void
eject (struct lease_worker *w, int64_t now_us)
{
  struct lease_health *health = &w->health;
  unsigned failures = health->failures;
  unsigned doublings = MIN (health->ejections, EJECT_MAX_DOUBLINGS);
  health->failures = 0;
  health->ejected_until_us = now_us + ((int64_t)EJECT_BASE_US << doublings);
  health->ejections++;
  pl_count (PL_CTR_WORKERS_EJECTED_TOTAL, 1);
  pl_log (PL_EV_EJECT, "worker=%s failures=%u until_ms=%" PRId64, w->id,
          failures, health->ejected_until_us / 1000);
}

void
lease_record_failure (struct lease_table *table, struct lease_worker *w,
                      int64_t now_us)
{
  /* After an ejection, and until a run is done, one failure ejects again.  */
  unsigned limit = w->health.ejections > 0 ? 1 : EJECT_FAILURES;
  /* If most workers fail, the cause is probably the jobs.  */
  unsigned held = g_hash_table_size (table->workers);
  bool too_many = (count_ejected (table, now_us) + 1) * 2 > held + 1;
  if (++w->health.failures >= limit && !too_many)
    eject (w, now_us);
  table->ops->changed (table->ctx, w);
}

void
lease_record_straggler (struct lease_table *table, struct lease_worker *w,
                        const struct lease_run *run, int64_t now_us)
{
  /* If no other run was done since this one started, the whole worker seems to
     hang: this failure is enough to eject it.  */
  if (w->health.last_success_us < run->started_us)
    w->health.failures = EJECT_FAILURES;
  lease_record_failure (table, w, now_us);
}

/* Whether the capacity of W is that of the process that answers.  An entry
   without an incarnation is taken to describe it.  */
static bool
is_described (const struct lease_worker *w)
{
  return w->described_ms == 0 || w->described_ms == w->info.incarnation_ms;
}

/* A poll that got no answer may have ended with the worker's process: a start
   might reach the next one, which may be of another kind.  */
bool
lease_is_usable (const struct lease_worker *w, int64_t now_us)
{
  return w->state == LEASE_WORKER_HELD && w->token != LEASE_PROBE_TOKEN
         && w->poll_reply == LEASE_REPLY_OK && !w->fencing && !w->info.draining
         && !w->renewal_withheld && is_described (w)
         && w->health.ejected_until_us <= now_us;
}
