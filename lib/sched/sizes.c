#include "plsched.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RING 32          /* run times from which a kind's median is taken */
#define STALE_US 5000000 /* age after which no job is refused for its size */
#define CLAMP_FACTOR 10  /* bound of an estimate against the kind's median */
#define SMOOTH 16        /* run times that an estimate remembers */
#define TRUST_SMOOTH                                                          \
  128                     /* pairs that the trust in declared sizes remembers \
                           */
#define TRUST_SAMPLES 16  /* pairs before declared sizes are trusted */
#define TRUST_SPREAD 1e-4 /* variance below which all declare the same */

/* How run times follow declared sizes: moments of their logarithms.  */
struct pairs
{
  uint64_t count;
  double declared;
  double run;
  double variance; /* of the declared sizes */
  double covariance;
};

struct entry
{
  struct pairs pairs;
  uint64_t count;
  int64_t mean_us;
  int64_t learnt_us; /* time of the latest sample */
  int64_t ring[RING];
  int64_t median_us;
};

struct sched_sizes
{
  struct pl_clock *clock;
  GHashTable *entries; /* "service kind" and "service kind team" */
};

struct sched_sizes *
sched_sizes_new (struct pl_clock *clock)
{
  struct sched_sizes *sizes = g_new (struct sched_sizes, 1);
  sizes->clock = clock;
  sizes->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sizes;
}

void
sched_sizes_free (struct sched_sizes *sizes)
{
  if (sizes == NULL)
    return;
  g_hash_table_unref (sizes->entries);
  g_free (sizes);
}

static char *
key_of (const char *service, const char *kind, const char *team)
{
  return g_strjoin (" ", service, kind, team, NULL);
}

static int
by_value (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;
  return (x > y) - (x < y);
}

static void
learn_pair (struct pairs *pairs, int64_t declared_us, int64_t run_us)
{
  double x = log ((double)declared_us);
  double y = log ((double)run_us);
  pairs->count++;
  double part = 1.0 / (double)MIN (pairs->count, TRUST_SMOOTH);
  double off = x - pairs->declared;
  pairs->declared += part * off;
  pairs->run += part * (y - pairs->run);
  /* One factor from before the update of its mean, one from after it.  */
  pairs->variance += part * (off * (x - pairs->declared) - pairs->variance);
  pairs->covariance += part * (off * (y - pairs->run) - pairs->covariance);
}

/* Factor on the usual run time for a job that declares DECLARED_US: the slope
   of the regression of run times on declared sizes says how much of a
   difference to the usual declaration is believed.  */
static double
declared_factor (const struct pairs *pairs, int64_t declared_us)
{
  if (declared_us <= 0 || pairs->count < TRUST_SAMPLES
      || pairs->variance < TRUST_SPREAD)
    return 1;
  double trust = CLAMP (pairs->covariance / pairs->variance, 0, 1);
  return exp (trust * (log ((double)declared_us) - pairs->declared));
}

static struct entry *
learn (struct sched_sizes *sizes, char *key, int64_t run_us)
{
  struct entry *entry = g_hash_table_lookup (sizes->entries, key);
  if (entry == NULL)
    {
      entry = g_new0 (struct entry, 1);
      g_hash_table_insert (sizes->entries, g_strdup (key), entry);
    }
  entry->ring[entry->count % RING] = run_us;
  entry->count++;
  int64_t n = MIN ((int64_t)entry->count, SMOOTH);
  entry->mean_us += (run_us - entry->mean_us) / n;
  entry->learnt_us = pl_now_us (sizes->clock);
  if (entry->count > SCHED_SAMPLES && entry->count % SCHED_SAMPLES != 0)
    return entry;
  int64_t sorted[RING];
  size_t held = MIN (entry->count, RING);
  memcpy (sorted, entry->ring, held * sizeof *sorted);
  qsort (sorted, held, sizeof *sorted, by_value);
  entry->median_us = sorted[held / 2];
  return entry;
}

void
sched_sizes_learn (struct sched_sizes *sizes, const char *service,
                   const char *kind, const char *team, int64_t declared_us,
                   int64_t run_us)
{
  g_autofree char *narrow = key_of (service, kind, team);
  g_autofree char *wide = key_of (service, kind, NULL);
  run_us = MAX (run_us, 1);
  struct entry *own = learn (sizes, narrow, run_us);
  if (declared_us > 0)
    learn_pair (&own->pairs, declared_us, run_us);
  learn (sizes, wide, run_us);
}

int64_t
sched_sizes_get (struct sched_sizes *sizes, const char *service,
                 const char *kind, const char *team, int64_t declared_us,
                 bool *sized)
{
  g_autofree char *narrow = key_of (service, kind, team);
  g_autofree char *wide = key_of (service, kind, NULL);
  const struct entry *own = g_hash_table_lookup (sizes->entries, narrow);
  const struct entry *all = g_hash_table_lookup (sizes->entries, wide);
  bool learnt = own != NULL && own->count >= SCHED_SAMPLES;
  /* Without fresh samples a job is not refused for its size, so that a wrong
     declaration or an old estimate can be corrected.  */
  if (sized != NULL)
    *sized = learnt && pl_now_us (sizes->clock) - own->learnt_us < STALE_US;
  int64_t size = declared_us;
  if (learnt)
    size = (int64_t)((double)own->mean_us
                     * declared_factor (&own->pairs, declared_us));
  bool bounded = all != NULL && all->count >= SCHED_SAMPLES;
  if (size == 0)
    size = bounded ? all->median_us : SCHED_DEFAULT_US;
  if (!bounded)
    return MAX (size, 1);
  return CLAMP (size, MAX (all->median_us / CLAMP_FACTOR, 1),
                all->median_us * CLAMP_FACTOR);
}
