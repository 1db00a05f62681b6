/* The choice of a worker for a task, and the use of its slots.  */
#include "slot_in.h"

#define SLOW_RATIO 1.5     /* above N times the mean slowness: avoided */
#define SPEED_WEIGHT 0.1   /* weight of the latest run in a worker's speed */
#define SPEED_STEPS 8.0    /* a difference below 1/N counts as equal speed */
#define FAILING_STREAK 2.0 /* failures in a row: others are preferred */
#define MAX_RATIO 10.0     /* bound of one run's slowness */

/* Slots of WORKER that this instance may use.  */
static unsigned
held_count (const struct slot_worker *worker)
{
  unsigned own = worker->current_share > worker->n_lent
                     ? worker->current_share - worker->n_lent
                     : 0;
  /* Shares may overlap while the instances see different memberships.  */
  unsigned all = own + worker->n_borrowed - worker->n_expired;
  return MIN (all, worker->max_tasks);
}

unsigned
slot_free_count (const struct slot_worker *worker)
{
  if (!slot_usable (worker))
    return 0;
  unsigned all = held_count (worker);
  if (worker->health == SLOT_TRIAL)
    all = MIN (all, 1);
  return all > worker->in_use ? all - worker->in_use : 0;
}

unsigned
slot_free_total (const struct slot_table *table)
{
  unsigned n = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    n += slot_free_count (slot_worker_at (table, i));
  return n;
}

unsigned
slot_held_total (const struct slot_table *table)
{
  unsigned n = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    if (slot_usable (slot_worker_at (table, i)))
      n += held_count (slot_worker_at (table, i));
  return n;
}

unsigned
slot_domain_total (const struct slot_table *table)
{
  unsigned n = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    if (slot_usable (slot_worker_at (table, i)))
      n += slot_worker_at (table, i)->slots;
  return n;
}

int64_t
slot_max_memory_mb (const struct slot_table *table)
{
  int64_t most = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    if (slot_worker_at (table, i)->listed)
      most = MAX (most, slot_worker_at (table, i)->memory_mb);
  return most;
}

bool
slot_uses_borrowed (const struct slot_worker *worker)
{
  return worker->in_use + worker->n_lent > worker->current_share;
}

/* Whether WORKER may get a task of MEMORY_MB now.  */
static bool
can_take (const struct slot_table *table, const struct slot_worker *worker,
          int64_t memory_mb, bool avoid_slow)
{
  if (slot_free_count (worker) == 0)
    return false;
  if (avoid_slow && worker->slowness > SLOW_RATIO * table->slowness)
    return false;
  return memory_mb == 0 || worker->memory_mb == 0
         || worker->memory_used_mb + memory_mb <= worker->memory_mb;
}

/* True if A is the better choice.  Speeds within one step count as equal, so
   that tasks spread over all workers of about that speed.  */
static bool
is_better (const struct slot_worker *a, const struct slot_worker *b)
{
  bool failing_a = a->failure_streak >= FAILING_STREAK;
  bool failing_b = b->failure_streak >= FAILING_STREAK;
  if (failing_a != failing_b)
    return failing_b;
  int slow_a = (int)(a->slowness * SPEED_STEPS);
  int slow_b = (int)(b->slowness * SPEED_STEPS);
  if (slow_a != slow_b)
    return slow_a < slow_b;
  return a->in_use < b->in_use;
}

/* A worker that may get the task now, other than AVOID; null if there is none.
   Begins at the worker START.  */
static struct slot_worker *
find_other (struct slot_table *table, unsigned start, int64_t memory_mb,
            const struct slot_worker *avoid)
{
  unsigned n = table->workers->len;
  for (unsigned i = 0; i < n; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, (start + i) % n);
      if (worker != avoid && can_take (table, worker, memory_mb, false))
        return worker;
    }
  return NULL;
}

struct slot_worker *
slot_choose (struct slot_table *table, int64_t memory_mb, bool avoid_slow,
             const struct slot_worker *avoid)
{
  unsigned n = table->workers->len;
  if (n == 0)
    return NULL;
  bool fastest = table->opts.choice == SLOT_CHOOSE_FASTEST;
  unsigned wanted = table->opts.choice == SLOT_CHOOSE_RANDOM ? 1 : 2;
  if (fastest)
    wanted = n;
  /* A random start makes the instances choose differently among equal workers.
     After each candidate the random policies continue from a new random
     place.  */
  unsigned at = (unsigned)g_rand_int_range (table->rand, 0, (gint32)n);
  struct slot_worker *best = NULL;
  for (unsigned i = 0, found = 0; i < n && found < wanted; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, (at + i) % n);
      if (!can_take (table, worker, memory_mb, fastest && avoid_slow))
        continue;
      found++;
      if (best == NULL || best == avoid
          || (worker != avoid && is_better (worker, best)))
        best = worker;
      if (!fastest)
        at = (unsigned)g_rand_int_range (table->rand, 0, (gint32)n);
    }
  if (fastest || (best != NULL && best != avoid))
    return best;
  /* The random policies may have found AVOID only, or no worker.  */
  struct slot_worker *other = find_other (table, at, memory_mb, avoid);
  return other != NULL ? other : best;
}

void
slot_mark_idle (struct slot_table *table, struct slot_worker *worker)
{
  unsigned all = held_count (worker);
  bool idle = worker->n_borrowed > 0 && all > worker->in_use;
  if (!idle)
    worker->idle_since_us = 0;
  else if (worker->idle_since_us == 0)
    worker->idle_since_us = pl_now_us (table->opts.clock);
}

void
slot_take (struct slot_table *table, struct slot_worker *worker,
           int64_t memory_mb)
{
  worker->in_use++;
  worker->memory_used_mb += memory_mb;
  /* The idle time of the other borrowed slots starts anew.  */
  worker->idle_since_us = 0;
  slot_mark_idle (table, worker);
}

void
slot_release (struct slot_table *table, struct slot_worker *worker,
              int64_t memory_mb)
{
  worker->in_use--;
  worker->memory_used_mb -= memory_mb;
  slot_mark_idle (table, worker);
}

void
slot_learn_speed (struct slot_table *table, struct slot_worker *worker,
                  int64_t run_us, int64_t estimate_us)
{
  (void)table;
  double ratio = (double)run_us / (double)MAX (estimate_us, 1);
  ratio = CLAMP (ratio, 1 / MAX_RATIO, MAX_RATIO);
  worker->slowness += SPEED_WEIGHT * (ratio - worker->slowness);
}
