/* Counters and gauges.  */
#include "pl.h"

static int64_t counters[PL_CTR_COUNT];

void
pl_count (enum pl_counter counter, int64_t n)
{
  __atomic_fetch_add (&counters[counter], n, __ATOMIC_RELAXED);
}

void
pl_gauge_set (enum pl_counter counter, int64_t value)
{
  __atomic_store_n (&counters[counter], value, __ATOMIC_RELAXED);
}

int64_t
pl_counter (enum pl_counter counter)
{
  return __atomic_load_n (&counters[counter], __ATOMIC_RELAXED);
}

void
pl_append_counters (GString *out)
{
  for (int i = 0; i < PL_CTR_COUNT; i++)
    {
      const struct pl_counter_info *info = &pl_counter_table[i];
      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n%s %lld\n",
                              info->name, info->help, info->name, info->type,
                              info->name,
                              (long long)pl_counter ((enum pl_counter)i));
    }
}
