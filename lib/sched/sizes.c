/* Estimates of run times.  For each kind and team there is a moving mean of
   the run times, and a regression of their logarithms on those of the declared
   sizes.  The median of the kind over all teams bounds the estimates.  */
#include "plsched.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RING_SIZE 32     /* run times from which a kind's median is taken */
#define STALE_US 5000000 /* age after which no job is refused for its size */
#define CLAMP_FACTOR 10  /* bound of an estimate against the kind's median */
#define MEAN_SAMPLES 16  /* run times that the moving mean remembers */
#define TRUST_WINDOW 128 /* pairs that the regression remembers */
#define TRUST_MIN_SAMPLES 16    /* pairs before declared sizes are trusted */
#define TRUST_MIN_VARIANCE 1e-4 /* below it, declared sizes are equal */

/* Moments of the logarithms of pairs of a declared size and a run time.  */
struct moments
{
  uint64_t count;
  double mean_declared;
  double mean_run;
  double variance; /* of the declared sizes */
  double covariance;
};

struct estimate
{
  struct moments moments;
  uint64_t count;
  int64_t mean_us;
  int64_t last_sample_us; /* time of the latest sample */
  int64_t ring[RING_SIZE];
  int64_t median_us;
};

struct sched_sizes
{
  struct pl_clock *clock;
  GHashTable *estimates; /* "service kind" and "service kind team" */
};

struct sched_sizes *
sched_sizes_new (struct pl_clock *clock)
{
  struct sched_sizes *sizes = g_new (struct sched_sizes, 1);
  sizes->clock = clock;
  sizes->estimates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return sizes;
}

void
sched_sizes_free (struct sched_sizes *sizes)
{
  if (sizes == NULL)
    return;
  g_hash_table_unref (sizes->estimates);
  g_free (sizes);
}

static char *
make_key (const char *service, const char *kind, const char *team)
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
update_moments (struct moments *moments, int64_t declared_us, int64_t run_us)
{
  double x = log ((double)declared_us);
  double y = log ((double)run_us);
  moments->count++;
  double weight = 1.0 / (double)MIN (moments->count, TRUST_WINDOW);
  double deviation = x - moments->mean_declared;
  moments->mean_declared += weight * deviation;
  moments->mean_run += weight * (y - moments->mean_run);
  /* Welford's update: one factor is taken before its mean changes, the other
     after.  */
  moments->variance
      += weight
         * (deviation * (x - moments->mean_declared) - moments->variance);
  moments->covariance
      += weight * (deviation * (y - moments->mean_run) - moments->covariance);
}

/* The factor on the usual run time for a task that declares DECLARED_US.  The
   slope of the regression says how much of the difference to the usual
   declaration shows in the run time.  */
static double
declared_factor (const struct moments *moments, int64_t declared_us)
{
  if (declared_us <= 0 || moments->count < TRUST_MIN_SAMPLES
      || moments->variance < TRUST_MIN_VARIANCE)
    return 1;
  double slope = CLAMP (moments->covariance / moments->variance, 0, 1);
  return exp (slope * (log ((double)declared_us) - moments->mean_declared));
}

static struct estimate *
add_sample (struct sched_sizes *sizes, char *key, int64_t run_us)
{
  struct estimate *estimate = g_hash_table_lookup (sizes->estimates, key);
  if (estimate == NULL)
    {
      estimate = g_new0 (struct estimate, 1);
      g_hash_table_insert (sizes->estimates, g_strdup (key), estimate);
    }
  estimate->ring[estimate->count % RING_SIZE] = run_us;
  estimate->count++;
  int64_t n = MIN ((int64_t)estimate->count, MEAN_SAMPLES);
  estimate->mean_us += (run_us - estimate->mean_us) / n;
  estimate->last_sample_us = pl_now_us (sizes->clock);
  if (estimate->count > SCHED_MIN_SAMPLES
      && estimate->count % SCHED_MIN_SAMPLES != 0)
    return estimate;
  int64_t sorted[RING_SIZE];
  size_t n_samples = MIN (estimate->count, RING_SIZE);
  memcpy (sorted, estimate->ring, n_samples * sizeof *sorted);
  qsort (sorted, n_samples, sizeof *sorted, by_value);
  estimate->median_us = sorted[n_samples / 2];
  return estimate;
}

void
sched_sizes_learn (struct sched_sizes *sizes, const char *service,
                   const char *kind, const char *team, int64_t declared_us,
                   int64_t run_us)
{
  g_autofree char *team_key = make_key (service, kind, team);
  g_autofree char *kind_key = make_key (service, kind, NULL);
  run_us = MAX (run_us, 1);
  struct estimate *by_team = add_sample (sizes, team_key, run_us);
  if (declared_us > 0)
    update_moments (&by_team->moments, declared_us, run_us);
  add_sample (sizes, kind_key, run_us);
}

int64_t
sched_sizes_get (struct sched_sizes *sizes, const char *service,
                 const char *kind, const char *team, int64_t declared_us,
                 bool *reliable)
{
  g_autofree char *team_key = make_key (service, kind, team);
  g_autofree char *kind_key = make_key (service, kind, NULL);
  const struct estimate *by_team
      = g_hash_table_lookup (sizes->estimates, team_key);
  const struct estimate *by_kind
      = g_hash_table_lookup (sizes->estimates, kind_key);
  bool has_mean = by_team != NULL && by_team->count >= SCHED_MIN_SAMPLES;
  /* Without recent samples no job is refused for its size: the job that runs
     corrects a wrong declaration or an old estimate.  */
  if (reliable != NULL)
    *reliable
        = has_mean
          && pl_now_us (sizes->clock) - by_team->last_sample_us < STALE_US;
  int64_t size = declared_us;
  if (has_mean)
    size = (int64_t)((double)by_team->mean_us
                     * declared_factor (&by_team->moments, declared_us));
  bool has_median = by_kind != NULL && by_kind->count >= SCHED_MIN_SAMPLES;
  if (size == 0)
    size = has_median ? by_kind->median_us : SCHED_DEFAULT_SIZE_US;
  if (!has_median)
    return MAX (size, 1);
  return CLAMP (size, MAX (by_kind->median_us / CLAMP_FACTOR, 1),
                by_kind->median_us * CLAMP_FACTOR);
}
