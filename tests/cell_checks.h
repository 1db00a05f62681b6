/* Checks that the tests on the emulated deployment share.  */
#pragma once

#include "cell_world.h"
#include "test.h"

#define SECOND ((int64_t)1000000)

/* Fails the test if a task ran twice at the same time, a worker exceeded its
   capacity or a job's bound or lacked its label, or a job was answered as not
   run although it had started.  */
static inline void
check_violations (struct world *world, const char *name, uint64_t seed)
{
  if (world->first_violation[0] != '\0' || world->false_refusals > 0)
    fprintf (stderr,
             "%s seed %" PRIu64
             ": %s; twice %u over %u false %u bound %u label %u\n",
             name, seed, world->first_violation, world->double_starts,
             world->overfull_starts, world->false_refusals,
             world->crowded_starts, world->wrong_starts);
  CU_ASSERT_EQUAL (world->double_starts, 0);
  CU_ASSERT_EQUAL (world->overfull_starts, 0);
  CU_ASSERT_EQUAL (world->false_refusals, 0);
  CU_ASSERT_EQUAL (world->crowded_starts, 0);
  CU_ASSERT_EQUAL (world->wrong_starts, 0);
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

/* Lets jobs of N_TASKS tasks arrive at random instances for US, ten a second.
 */
static inline void
run_load (struct world *world, int64_t us, unsigned n_tasks, int64_t run_us)
{
  for (int64_t end_us = world_now (world) + us; world_now (world) < end_us;)
    {
      int instance
          = (int)world_random_between (world, 0, world->n_instances - 1);
      (void)world_submit (world, instance, n_tasks, run_us);
      world_resend_lost_jobs (world);
      world_run_for (world, 100000);
    }
}

/* Lets the jobs that are under way end, for 6 s.  */
static inline void
settle (struct world *world)
{
  for (int i = 0; i < 60; i++)
    {
      world_resend_lost_jobs (world);
      world_run_for (world, 100000);
    }
}

/* Whether every job has its answer.  */
static inline bool
all_answered (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, world->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!((struct world_job *)value)->answered)
      return false;
  return true;
}

/* Cuts all links from and to an instance, or heals them and delivers what they
   delayed.  */
static inline void
set_silent (struct world *world, int instance, bool silent)
{
  for (int i = 0; i < world->n_instances; i++)
    if (i != instance)
      {
        world_set_link_cut (world, instance, i, silent);
        world_set_link_cut (world, i, instance, silent);
      }
  if (!silent)
    world_deliver_delayed_frames (world);
}
