/* Checks that the tests on the emulated deployment share.  */
#pragma once

#include "cell_world.h"
#include "test.h"

#define SECOND ((int64_t)1000000)

/* Fails the test if a task ran twice at the same time, a worker exceeded its
   capacity or a job's bound, or a job was answered as not run although it had
   started.  */
static inline void
check_violations (struct world *world, const char *name, uint64_t seed)
{
  if (world->first_violation[0] != '\0' || world->false_refusals > 0)
    fprintf (stderr,
             "%s seed %" PRIu64 ": %s; twice %u over %u false %u bound %u\n",
             name, seed, world->first_violation, world->double_starts,
             world->overfull_starts, world->false_refusals,
             world->crowded_starts);
  CU_ASSERT_EQUAL (world->double_starts, 0);
  CU_ASSERT_EQUAL (world->overfull_starts, 0);
  CU_ASSERT_EQUAL (world->false_refusals, 0);
  CU_ASSERT_EQUAL (world->crowded_starts, 0);
}

static inline unsigned
count_held (struct world *world)
{
  unsigned n = 0;
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].cell != NULL)
      n += cell_count_held_workers (world->instances[i].cell);
  return n;
}
