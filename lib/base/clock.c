/* Clocks.  */
#include "pl.h"

#include <time.h>

static int64_t
real_now_us (struct pl_clock *clock)
{
  (void)clock;
  return g_get_monotonic_time ();
}

struct pl_clock *
pl_clock_real (void)
{
  static struct pl_clock real = { .now_us = real_now_us };
  return &real;
}

static int64_t
boot_now_us (struct pl_clock *clock)
{
  (void)clock;
  struct timespec ts;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * G_USEC_PER_SEC + ts.tv_nsec / 1000;
}

struct pl_clock *
pl_clock_boot (void)
{
  static struct pl_clock boot = { .now_us = boot_now_us };
  return &boot;
}

static int64_t
manual_now_us (struct pl_clock *clock)
{
  return ((struct pl_manual_clock *)clock)->now_us;
}

void
pl_manual_clock_init (struct pl_manual_clock *clock, int64_t now_us)
{
  *clock = (struct pl_manual_clock){ .base.now_us = manual_now_us,
                                     .now_us = now_us };
}

void
pl_manual_clock_advance (struct pl_manual_clock *clock, int64_t us)
{
  clock->now_us += us;
}
