/* Job mixes that resemble the jobs of the two deployments, and the plan of a
   run, which is drawn from a seed.  */
#include "load.h"

#include <math.h>
#include <string.h>

#define MIN_RUN_MS 20.0
#define MAX_RUN_MS 4000.0
#define SAMPLE_JOBS 20000 /* drawn to estimate the mean work */

static const struct load_kind midlands[] = {
  { "board-orders", "layout-preview", "counter", 0.60, 1, 16, 120, 0.6 },
  { "board-orders", "lettering-plan", "studio", 0.15, 8, 390, 250, 0.7 },
  { "board-orders", "price-check", "prices", 0.25, 1, 4, 80, 0.4 },
};

static const struct load_kind guatemala[] = {
  { "agenda", "confirm-hold", "bookings", 0.50, 1, 4, 90, 0.5 },
  { "agenda", "release-slot", "bookings", 0.20, 1, 4, 90, 0.5 },
  { "agenda", "check-calendar", "calendar", 0.30, 4, 200, 150, 0.7 },
};

/* All six kinds with equal weights.  */
static const struct load_kind all[] = {
  { "board-orders", "layout-preview", "counter", 1, 1, 16, 120, 0.6 },
  { "board-orders", "lettering-plan", "studio", 1, 8, 64, 250, 0.7 },
  { "board-orders", "price-check", "prices", 1, 1, 4, 80, 0.4 },
  { "agenda", "confirm-hold", "bookings", 1, 1, 4, 90, 0.5 },
  { "agenda", "release-slot", "bookings", 1, 1, 4, 90, 0.5 },
  { "agenda", "check-calendar", "calendar", 1, 4, 32, 150, 0.7 },
};

static const struct load_mix mixes[] = {
  { "midlands", midlands, G_N_ELEMENTS (midlands) },
  { "guatemala", guatemala, G_N_ELEMENTS (guatemala) },
  { "all", all, G_N_ELEMENTS (all) },
};

const struct load_mix *
load_mix_find (const char *name)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (mixes); i++)
    if (strcmp (mixes[i].name, name) == 0)
      return &mixes[i];
  return NULL;
}

static const struct load_kind *
draw_kind (const struct load_mix *mix, GRand *rand)
{
  double sum = 0;
  for (unsigned i = 0; i < mix->n_kinds; i++)
    sum += mix->kinds[i].weight;
  double x = g_rand_double (rand) * sum;
  for (unsigned i = 0; i < mix->n_kinds; i++)
    {
      x -= mix->kinds[i].weight;
      if (x < 0)
        return &mix->kinds[i];
    }
  return &mix->kinds[mix->n_kinds - 1];
}

/* Draws from a log-uniform distribution, so that small jobs are frequent and
   the largest are rare.  */
static unsigned
draw_tasks (const struct load_kind *kind, GRand *rand)
{
  double low = log (kind->min_tasks);
  double high = log (kind->max_tasks + 1.0);
  double n = exp (low + (high - low) * g_rand_double (rand));
  return CLAMP ((unsigned)n, kind->min_tasks, kind->max_tasks);
}

static double
draw_normal (GRand *rand)
{
  double u = 1.0 - g_rand_double (rand);
  double v = g_rand_double (rand);
  return sqrt (-2.0 * log (u)) * cos (2.0 * G_PI * v);
}

static unsigned
draw_run_ms (const struct load_kind *kind, double scale, GRand *rand)
{
  double ms = kind->median_ms * exp (kind->sigma * draw_normal (rand));
  ms = CLAMP (ms, MIN_RUN_MS, MAX_RUN_MS) * scale;
  return ms < 1.0 ? 1 : (unsigned)ms;
}

static void
draw_job (struct load_job *job, const struct load_mix *mix, double scale,
          GRand *rand)
{
  job->kind = draw_kind (mix, rand);
  job->n_tasks = draw_tasks (job->kind, rand);
  job->run_ms = g_new (unsigned, job->n_tasks);
  for (unsigned i = 0; i < job->n_tasks; i++)
    job->run_ms[i] = draw_run_ms (job->kind, scale, rand);
}

double
load_mix_mean_work_ms (const struct load_mix *mix, double scale, guint32 seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  double sum = 0;
  for (unsigned i = 0; i < SAMPLE_JOBS; i++)
    {
      struct load_job job = { 0 };
      draw_job (&job, mix, scale, rand);
      for (unsigned t = 0; t < job.n_tasks; t++)
        sum += job.run_ms[t];
      g_free (job.run_ms);
    }
  g_rand_free (rand);
  return sum / SAMPLE_JOBS;
}

/* Returns the jobs per second at TIME_S of the run.  */
static double
rate_at (const struct load_opts *opts, double time_s)
{
  double half = opts->seconds / 2;
  bool burst = opts->burst > 0 && time_s >= half && time_s < half + 1;
  return burst ? opts->rate * opts->burst : opts->rate;
}

struct load_job *
load_plan (const struct load_opts *opts, unsigned *n)
{
  GRand *rand = g_rand_new_with_seed (opts->seed);
  GArray *jobs = g_array_new (FALSE, TRUE, sizeof (struct load_job));
  double time_s = 0;
  for (;;)
    {
      time_s += -log (1.0 - g_rand_double (rand)) / rate_at (opts, time_s);
      if (time_s >= opts->seconds)
        break;
      struct load_job job = { .number = opts->first + jobs->len,
                              .arrival_us = (int64_t)(time_s * 1e6) };
      draw_job (&job, opts->mix, opts->scale, rand);
      if (opts->impossible > 0)
        job.impossible = g_rand_double (rand) < opts->impossible;
      g_array_append_val (jobs, job);
    }
  g_rand_free (rand);
  *n = jobs->len;
  return (struct load_job *)g_array_free (jobs, FALSE);
}

void
load_plan_free (struct load_job *jobs, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    g_free (jobs[i].run_ms);
  g_free (jobs);
}

int64_t
load_ideal_us (const struct load_job *job)
{
  unsigned longest = 0;
  for (unsigned i = 0; i < job->n_tasks; i++)
    longest = MAX (longest, job->run_ms[i]);
  return (int64_t)longest * 1000;
}
