/* Latency histograms with fixed buckets.  */
#include "pl.h"

/* Upper bounds in microseconds: from the transit time of a message to the
   deadline of a job.  */
static const int64_t bounds_us[]
    = { 1000,   2000,   5000,    10000,   20000,   50000,   100000,
        200000, 500000, 1000000, 2000000, 5000000, 10000000 };

#define BUCKETS (G_N_ELEMENTS (bounds_us) + 1)

static struct
{
  const char *name;
  const char *help;
  int64_t counts[BUCKETS];
  int64_t sum_us;
} hists[PL_HIST_COUNT] = {
  [PL_HIST_RESPONSE]
  = { .name = "papayaloft_response_seconds",
      .help = "From the receipt of a whole submission to its answer." },
  [PL_HIST_FIRST_START] = { .name = "papayaloft_first_start_seconds",
                            .help = "From a submission to its first grant." },
  [PL_HIST_RUN] = { .name = "papayaloft_run_seconds",
                    .help = "Run time of tasks that are done." },
  [PL_HIST_ORDER]
  = { .name = "papayaloft_order_seconds",
      .help = "From the order of a start to the worker's answer." },
};

void
pl_observe (enum pl_hist hist, int64_t us)
{
  size_t i = 0;
  while (i < G_N_ELEMENTS (bounds_us) && us > bounds_us[i])
    i++;
  __atomic_fetch_add (&hists[hist].counts[i], 1, __ATOMIC_RELAXED);
  __atomic_fetch_add (&hists[hist].sum_us, us, __ATOMIC_RELAXED);
}

static void
append_hist (GString *out, enum pl_hist hist)
{
  const char *name = hists[hist].name;
  int64_t total = 0;
  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s histogram\n", name,
                          hists[hist].help, name);
  for (size_t i = 0; i < G_N_ELEMENTS (bounds_us); i++)
    {
      total += __atomic_load_n (&hists[hist].counts[i], __ATOMIC_RELAXED);
      g_string_append_printf (out, "%s_bucket{le=\"%g\"} %" PRId64 "\n", name,
                              (double)bounds_us[i] / G_USEC_PER_SEC, total);
    }
  total
      += __atomic_load_n (&hists[hist].counts[BUCKETS - 1], __ATOMIC_RELAXED);
  g_string_append_printf (
      out,
      "%s_bucket{le=\"+Inf\"} %" PRId64 "\n%s_sum %g\n%s_count %" PRId64 "\n",
      name, total, name,
      (double)__atomic_load_n (&hists[hist].sum_us, __ATOMIC_RELAXED)
          / G_USEC_PER_SEC,
      name, total);
}

void
pl_append_histograms (GString *out)
{
  for (int i = 0; i < PL_HIST_COUNT; i++)
    append_hist (out, (enum pl_hist)i);
}
