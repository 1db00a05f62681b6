#include "slot_in.h"

#include <string.h>

#define STREAK 5.0       /* failures in a row above which a worker goes */
#define RATE_FACTOR 3.0  /* failure rate against that of the domain */
#define RATE_TRIES 20.0  /* results before a rate counts */
#define DECAY 0.98       /* weight of a former result: about 50 count */
#define FIRST_US 1000000 /* first ejection */
#define LONGEST_US 30000000
#define DOMAIN_PART 3      /* at most one in so many is ejected */
#define LEAST_RATE 0.05    /* a rate below this ejects nobody */
#define UNREACHABLE_PART 2 /* of DOMAIN_PART, if no connection can be made */

void
slot_kind_free (void *data)
{
  struct slot_kind *kind = data;
  g_byte_array_unref (kind->last);
  g_free (kind);
}

static struct slot_kind *
find_kind (struct slot_table *table, const char *name, unsigned index)
{
  struct slot_kind *kind = g_hash_table_lookup (table->kinds, name);
  if (kind == NULL)
    {
      kind = g_new0 (struct slot_kind, 1);
      kind->last = g_byte_array_new ();
      g_hash_table_insert (table->kinds, g_strdup (name), kind);
    }
  guint had = kind->last->len;
  if (had <= index)
    {
      g_byte_array_set_size (kind->last, index + 1);
      memset (kind->last->data + had, 0, index + 1 - had);
    }
  return kind;
}

static void
set_last (struct slot_kind *kind, unsigned index, bool good)
{
  uint8_t *last = &kind->last->data[index];
  kind->good -= *last == 1;
  kind->bad -= *last == 2;
  *last = good ? 1 : 2;
  kind->good += good;
  kind->bad += !good;
}

/* Weight of a failure: small if the kind's latest results on the other
   workers are failures, too.  One result a worker counts, so that a worker
   that fails quickly and often does not make its kind look bad.  */
static double
weight_of (const struct slot_kind *kind, unsigned index)
{
  unsigned bad = kind->bad - (kind->last->data[index] == 2);
  unsigned seen = kind->good + bad - (kind->last->data[index] == 1);
  if (seen == 0)
    return 1;
  double good = 1 - (double)bad / seen;
  return good * good;
}

static void
count (struct slot_worker *worker, double failed)
{
  worker->tries = worker->tries * DECAY + 1;
  worker->fails = worker->fails * DECAY + failed;
}

/* True if the failure rate of WORKER is far above that of the others.  */
static bool
rate_high (const struct slot_table *table, const struct slot_worker *worker)
{
  if (worker->tries < RATE_TRIES)
    return false;
  double tries = 0;
  double fails = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      const struct slot_worker *other = slot_at (table, i);
      if (other == worker)
        continue;
      tries += other->tries;
      fails += other->fails;
    }
  double rate = worker->fails / worker->tries;
  double common = tries > 0 ? fails / tries : 1;
  return rate > LEAST_RATE && rate > RATE_FACTOR * common;
}

/* Unreachable workers have a limit of their own: a lost rack can be half of a
   domain, and its workers would take tasks for as long as it is away.  */
static bool
over_limit (const struct slot_table *table, bool unreachable)
{
  unsigned gone = table->unreachable;
  if (unreachable)
    return (gone + 1) * DOMAIN_PART > table->listed * UNREACHABLE_PART;
  return (table->ejected - gone + 1) * DOMAIN_PART > table->listed;
}

static void
eject (struct slot_table *table, struct slot_worker *worker, bool unreachable)
{
  if (over_limit (table, unreachable))
    return;
  bool again = worker->health == SLOT_TRIAL;
  worker->eject_us = again ? MIN (worker->eject_us * 2, LONGEST_US) : FIRST_US;
  worker->until_us = pl_now_us (table->opts.clock) + worker->eject_us;
  worker->health = SLOT_EJECTED;
  table->ejected++;
  worker->unreachable = unreachable;
  table->unreachable += unreachable;
  char text[PL_ADDR_TEXT];
  pl_log (PL_EV_EJECT, "worker=%s failures=%.1f until_ms=%lld",
          pl_addr_text (worker->addr, text), worker->streak,
          (long long)(worker->until_us / 1000));
}

void
slot_health_tick (struct slot_table *table, struct slot_worker *worker)
{
  if (worker->health != SLOT_EJECTED)
    return;
  if (worker->listed && pl_now_us (table->opts.clock) < worker->until_us)
    return;
  worker->health = SLOT_TRIAL;
  table->ejected--;
  table->unreachable -= worker->unreachable;
  worker->unreachable = false;
  char text[PL_ADDR_TEXT];
  pl_log (PL_EV_TRIAL, "worker=%s", pl_addr_text (worker->addr, text));
}

void
slot_good (struct slot_table *table, struct slot_worker *worker,
           const char *kind)
{
  if (kind != NULL)
    set_last (find_kind (table, kind, worker->index), worker->index, true);
  count (worker, 0);
  worker->streak = 0;
  if (worker->health != SLOT_TRIAL)
    return;
  worker->health = SLOT_GOOD;
  worker->tries = 0;
  worker->fails = 0;
  char text[PL_ADDR_TEXT];
  pl_log (PL_EV_RESTORE, "worker=%s", pl_addr_text (worker->addr, text));
}

void
slot_bad (struct slot_table *table, struct slot_worker *worker,
          const char *kind)
{
  double weight = 1;
  if (kind != NULL)
    {
      struct slot_kind *known = find_kind (table, kind, worker->index);
      set_last (known, worker->index, false);
      weight = weight_of (known, worker->index);
    }
  count (worker, weight);
  worker->streak += weight;
  /* Tasks that were running at the ejection don't prolong it.  */
  if (worker->health == SLOT_EJECTED)
    return;
  if (worker->health == SLOT_TRIAL
          ? weight > 0.5
          : worker->streak > STREAK || rate_high (table, worker))
    eject (table, worker, kind == NULL);
}

unsigned
slot_ejected (const struct slot_table *table)
{
  return table->ejected;
}
