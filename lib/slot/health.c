/* The health of workers: one that fails much more than the others is ejected
   for a while, then tried with one task at a time until one succeeds.  */
#include "slot_in.h"

#include <string.h>

#define MAX_STREAK 5.0  /* more failures in a row eject a worker */
#define RATE_FACTOR 3.0 /* N times the others' failure rate ejects, too */
#define MIN_RATE_RESULTS 20.0 /* results from which on a rate counts */
#define DECAY 0.98            /* of earlier results: about 50 count */
#define FIRST_EJECTION_US 1000000
#define MAX_EJECTION_US 30000000
#define MAX_EJECTED_DIVISOR 3 /* at most 1/N of the domain is ejected */
#define MIN_RATE 0.05         /* a failure rate below this ejects no worker */
#define UNREACHABLE_FACTOR 2  /* N times that limit for unreachable workers */

void
slot_kind_free (void *data)
{
  struct slot_kind *kind = data;
  g_byte_array_unref (kind->last);
  g_free (kind);
}

static struct slot_kind *
get_kind (struct slot_table *table, const char *name, unsigned index)
{
  struct slot_kind *kind = g_hash_table_lookup (table->kinds, name);
  if (kind == NULL)
    {
      kind = g_new0 (struct slot_kind, 1);
      kind->last = g_byte_array_new ();
      g_hash_table_insert (table->kinds, g_strdup (name), kind);
    }
  guint old_len = kind->last->len;
  if (old_len <= index)
    {
      g_byte_array_set_size (kind->last, index + 1);
      memset (kind->last->data + old_len, 0, index + 1 - old_len);
    }
  return kind;
}

static void
set_latest_result (struct slot_kind *kind, unsigned index, bool good)
{
  uint8_t *last = &kind->last->data[index];
  kind->good -= *last == 1;
  kind->bad -= *last == 2;
  *last = good ? 1 : 2;
  kind->good += good;
  kind->bad += !good;
}

/* The weight of a failure of KIND on the worker INDEX.  It is small if the
   kind's latest results on the other workers are failures, too.  One result a
   worker counts, so that a worker that fails quickly and often does not make
   its kind look bad.  */
static double
failure_weight (const struct slot_kind *kind, unsigned index)
{
  unsigned bad = kind->bad - (kind->last->data[index] == 2);
  unsigned seen = kind->good + bad - (kind->last->data[index] == 1);
  if (seen == 0)
    return 1;
  double good = 1 - (double)bad / seen;
  return good * good;
}

/* Counts a result of WORKER: FAILURE is a failure's weight, or 0 for a
   success.  */
static void
count_result (struct slot_worker *worker, double failure)
{
  worker->recent_results = worker->recent_results * DECAY + 1;
  worker->recent_failures = worker->recent_failures * DECAY + failure;
}

/* Whether the failure rate of WORKER is far above that of the others.  */
static bool
rate_high (const struct slot_table *table, const struct slot_worker *worker)
{
  if (worker->recent_results < MIN_RATE_RESULTS)
    return false;
  double others_results = 0;
  double others_failures = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      const struct slot_worker *other = slot_worker_at (table, i);
      if (other == worker)
        continue;
      others_results += other->recent_results;
      others_failures += other->recent_failures;
    }
  double rate = worker->recent_failures / worker->recent_results;
  double others_rate
      = others_results > 0 ? others_failures / others_results : 1;
  return rate > MIN_RATE && rate > RATE_FACTOR * others_rate;
}

/* Whether one more ejection would exceed the limit.  Unreachable workers have
   a limit of their own: a lost rack can be half of a domain, and without an
   ejection its workers are given tasks until the rack is reachable again.  */
static bool
over_limit (const struct slot_table *table, bool unreachable)
{
  unsigned unreachable_now = table->n_unreachable;
  if (unreachable)
    return (unreachable_now + 1) * MAX_EJECTED_DIVISOR
           > table->n_listed * UNREACHABLE_FACTOR;
  return (table->ejected - unreachable_now + 1) * MAX_EJECTED_DIVISOR
         > table->n_listed;
}

static void
eject (struct slot_table *table, struct slot_worker *worker, bool unreachable)
{
  if (over_limit (table, unreachable))
    return;
  bool failed_trial = worker->health == SLOT_TRIAL;
  worker->ejection_us = failed_trial
                            ? MIN (worker->ejection_us * 2, MAX_EJECTION_US)
                            : FIRST_EJECTION_US;
  worker->ejected_until_us
      = pl_now_us (table->opts.clock) + worker->ejection_us;
  worker->health = SLOT_EJECTED;
  table->ejected++;
  worker->unreachable = unreachable;
  table->n_unreachable += unreachable;
  char text[PL_ADDR_TEXT];
  pl_log (PL_EV_EJECT, "worker=%s failures=%.1f until_ms=%lld",
          pl_addr_text (worker->addr, text), worker->failure_streak,
          (long long)(worker->ejected_until_us / 1000));
}

void
slot_health_tick (struct slot_table *table, struct slot_worker *worker)
{
  if (worker->health != SLOT_EJECTED)
    return;
  if (worker->listed
      && pl_now_us (table->opts.clock) < worker->ejected_until_us)
    return;
  worker->health = SLOT_TRIAL;
  table->ejected--;
  table->n_unreachable -= worker->unreachable;
  worker->unreachable = false;
  char text[PL_ADDR_TEXT];
  pl_log (PL_EV_TRIAL, "worker=%s", pl_addr_text (worker->addr, text));
}

void
slot_record_success (struct slot_table *table, struct slot_worker *worker,
                     const char *kind)
{
  if (kind != NULL)
    set_latest_result (get_kind (table, kind, worker->index), worker->index,
                       true);
  count_result (worker, 0);
  worker->failure_streak = 0;
  if (worker->health != SLOT_TRIAL)
    return;
  worker->health = SLOT_GOOD;
  worker->recent_results = 0;
  worker->recent_failures = 0;
  char text[PL_ADDR_TEXT];
  pl_log (PL_EV_RESTORE, "worker=%s", pl_addr_text (worker->addr, text));
}

void
slot_record_failure (struct slot_table *table, struct slot_worker *worker,
                     const char *kind)
{
  double weight = 1;
  if (kind != NULL)
    {
      struct slot_kind *known = get_kind (table, kind, worker->index);
      set_latest_result (known, worker->index, false);
      weight = failure_weight (known, worker->index);
    }
  count_result (worker, weight);
  worker->failure_streak += weight;
  /* Results of tasks that were running at the ejection don't prolong it.  */
  if (worker->health == SLOT_EJECTED)
    return;
  if (worker->health == SLOT_TRIAL
          ? weight > 0.5
          : worker->failure_streak > MAX_STREAK || rate_high (table, worker))
    eject (table, worker, kind == NULL);
}

unsigned
slot_ejected_count (const struct slot_table *table)
{
  return table->ejected;
}
