/* Slow start of a cold worker: one that stays slow for some time after its
   start, or after its failure domain was evacuated.  It takes a part of its
   capacity first.  Each run that is done in its estimated time adds its own
   size to that part, as each acknowledged segment does to a congestion window;
   one that took longer adds less in proportion.  The part is reported to the
   planner as the worker's capacity.  */
#include "lease_priv.h"

/* The first part is this fraction of the capacity, but not less than the
   largest run of late, which would never fit otherwise.  */
#define FIRST_FRACTION 4
/* The same if no run was started of late, so that their sizes are not known:
   half a worker takes most runs.  */
#define FIRST_FRACTION_UNKNOWN 2
/* A run is slow above this share of its estimate, which may be off by half. */
#define SLOW_PERCENT 150
/* A worker of which it is not known for how long it stays cold.  Processes
   take a few seconds to fill their caches.  */
#define ASSUMED_COLD_US 5000000
/* After its cold time, a worker whose latest run was slow goes on with a part
   of its capacity for at most this long.  From then on its slowness alone
   decides, as for all workers; a run that is larger than the part fits.  */
#define GRACE_US 5000000
/* The registry's entry tells how long the worker stays cold from the time when
   it was written, and may be read this much later.  An end of the cold time
   that moves by less is not a new one.  */
#define DECLARED_JITTER_US 2000000
/* The largest run of late is that of the last one to two of these periods.  */
#define LARGEST_PERIOD_US ((int64_t)10000000)

void
lease_record_size (struct lease_largest *largest, int32_t cpu, int64_t now_us)
{
  if (now_us - largest->since_us > LARGEST_PERIOD_US)
    {
      bool recent = now_us - largest->since_us <= 2 * LARGEST_PERIOD_US;
      largest->former_cpu = recent ? largest->cpu : 0;
      largest->cpu = 0;
      largest->since_us = now_us;
    }
  largest->cpu = MAX (largest->cpu, cpu);
}

static int32_t
largest_cpu (const struct lease_largest *largest, int64_t now_us)
{
  int64_t age_us = now_us - largest->since_us;
  if (age_us > 2 * LARGEST_PERIOD_US)
    return 0;
  return age_us > LARGEST_PERIOD_US ? largest->cpu
                                    : MAX (largest->cpu, largest->former_cpu);
}

static int32_t
first_cpu (const struct lease_table *table, const struct lease_worker *w,
           int64_t now_us)
{
  int32_t cpu = w->info.capacity.cpu;
  int32_t largest = largest_cpu (&table->largest, now_us);
  return largest == 0 ? cpu / FIRST_FRACTION_UNKNOWN
                      : MAX (cpu / FIRST_FRACTION, largest);
}

static void
begin (struct lease_table *table, struct lease_worker *w,
       int64_t cold_until_us, int64_t now_us)
{
  int32_t cpu = first_cpu (table, w, now_us);
  w->ramp = (struct lease_ramp){
    .active = true,
    .cold_until_us = cold_until_us,
    .began_us = now_us,
    .cpu = cpu,
  };
  pl_count (PL_CTR_SLOW_STARTS_TOTAL, 1);
  pl_log (PL_EV_WORKER_COLD, "worker=%s cpu=%d capacity=%d left_ms=%" PRId64,
          w->id, cpu, w->info.capacity.cpu, (cold_until_us - now_us) / 1000);
  table->ops->changed (table->ctx, w);
}

static void
end (struct lease_table *table, struct lease_worker *w, const char *cause,
     int64_t now_us)
{
  struct lease_ramp *ramp = &w->ramp;
  ramp->active = false;
  pl_log (PL_EV_WORKER_WARM,
          "worker=%s cause=%s after_ms=%" PRId64 " fast=%u slow=%u cpu=%d",
          w->id, cause, (now_us - ramp->began_us) / 1000, ramp->n_fast,
          ramp->n_slow, ramp->cpu);
  table->ops->changed (table->ctx, w);
}

void
lease_mark_cold (struct lease_table *table, uint64_t worker, int64_t now_us)
{
  struct lease_worker *w = lease_find_worker (table, worker);
  if (w != NULL && w->token != LEASE_PROBE_TOKEN)
    begin (table, w, now_us + ASSUMED_COLD_US, now_us);
}

/* Takes over what the registry says.  */
static void
follow_entry (struct lease_table *table, struct lease_worker *w,
              int64_t now_us)
{
  int64_t until_us = w->info.cold_until_us;
  if (until_us <= now_us
      || until_us <= w->ramp.cold_until_us + DECLARED_JITTER_US)
    return;
  if (w->ramp.active)
    w->ramp.cold_until_us = until_us;
  else
    begin (table, w, until_us, now_us);
}

void
lease_check_ramp (struct lease_table *table, struct lease_worker *w,
                  int64_t now_us)
{
  if (w->token == LEASE_PROBE_TOKEN)
    return;
  follow_entry (table, w, now_us);
  if (!w->ramp.active)
    return;
  int64_t grace_us = w->ramp.last_slow ? GRACE_US : 0;
  if (now_us >= w->ramp.cold_until_us + grace_us)
    end (table, w, "time", now_us);
}

void
lease_measure_ramp (struct lease_table *table, struct lease_worker *w,
                    const struct lease_run *run, int64_t now_us)
{
  struct lease_ramp *ramp = &w->ramp;
  int64_t took_us = lease_run_time_us (run, now_us);
  /* A run that was found, or sent before the worker became cold, does not
     tell.  */
  if (!ramp->active || run->spec == NULL || run->added_us < ramp->began_us
      || took_us <= 0 || run->expect_us <= 0)
    return;
  ramp->last_slow = took_us > run->expect_us * SLOW_PERCENT / 100;
  ramp->n_slow += ramp->last_slow;
  ramp->n_fast += !ramp->last_slow;
  int64_t gain = took_us <= run->expect_us
                     ? run->size.cpu
                     : run->size.cpu * run->expect_us / took_us;
  ramp->cpu = (int32_t)MIN (ramp->cpu + gain, w->info.capacity.cpu);
  if (ramp->cpu == w->info.capacity.cpu)
    end (table, w, "fast", now_us);
}

struct planner_resources
lease_offered_capacity (const struct lease_worker *w)
{
  struct planner_resources capacity = w->info.capacity;
  if (w->ramp.active)
    capacity.cpu = MIN (capacity.cpu, w->ramp.cpu);
  return capacity;
}
