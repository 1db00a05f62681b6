/* Tests of lib/cell for holders that can't reach the owners of the runs on
   their workers, and pause, die or get no answers meanwhile.  No run may last
   longer than its owner waits before it starts the task again.  */
#include "cell_checks.h"

#define SEEDS 10
#define ROUNDS 8
#define N_WORKERS 32
#define RUN_US (3 * SECOND) /* longer than owners wait */

static struct world *
start_deployment (uint64_t seed, int n_instances, int n_domains)
{
  struct world *world = world_new (seed, n_instances, N_WORKERS, n_domains);
  world->job_deadline_us = 2 * RUN_US + 3 * SECOND;
  world_run_for (world, SECOND);
  return world;
}

static void
run_load_between (struct world *world, int64_t low_us, int64_t high_us)
{
  int64_t us = world_random_between (world, low_us, high_us);
  run_load (world, us - us % 100000, 1, RUN_US);
  world_run_for (world, us % 100000);
}

static void
end_deployment (struct world *world, const char *name, uint64_t seed)
{
  settle (world);
  settle (world); /* deadlines are up to 9 s away */
  CU_ASSERT_TRUE (all_answered (world));
  check_violations (world, name, seed);
  world_free (world);
}

/* Guards against a task that is started elsewhere while its first run goes on:
   the holder of that run was cut off from the owner, renewed the lease until
   it noticed that, and died.  */
static void
test_a_holder_that_is_cut_off_and_dies (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = start_deployment (seed, 4, 4);
      for (int i = 0; i < ROUNDS; i++)
        {
          run_load (world, SECOND, 1, RUN_US);
          world_set_domain_cut (world, i % 4, true);
          run_load_between (world, 300000, 550000);
          world_kill (world, i % 4, true);
          run_load (world, 2 * SECOND, 1, RUN_US);
          world_set_domain_cut (world, i % 4, false);
          world_boot (world, i % 4);
        }
      end_deployment (world, "cut off and killed", seed);
    }
}

/* Plays holders that are cut off, pause, and then die if DIES.  */
static void
cut_off_and_pause (bool dies)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = start_deployment (seed, 4, 4);
      for (int i = 0; i < ROUNDS; i++)
        {
          run_load (world, SECOND, 1, RUN_US);
          world_set_domain_cut (world, i % 4, true);
          run_load_between (world, 0, 450000);
          world_set_frozen (world, i % 4, true);
          run_load_between (world, 700000, 1000000);
          world_thaw (world, i % 4, i % 3 != 0);
          run_load_between (world, 50000, 550000);
          if (dies)
            world_kill (world, i % 4, true);
          run_load (world, SECOND, 1, RUN_US);
          world_set_domain_cut (world, i % 4, false);
          if (dies)
            world_boot (world, i % 4);
        }
      end_deployment (world, "cut off and paused", seed);
    }
}

/* Guards against a holder that takes a pause of its own off the silence of an
   owner that it can't hear, and stops too late the runs that the owner takes
   for ended.  */
static void
test_a_holder_that_is_cut_off_and_pauses (void)
{
  cut_off_and_pause (false);
}

/* Guards against a holder that renews the lease of such runs when it goes on,
   and dies before it has stopped them.  */
static void
test_a_holder_that_is_cut_off_pauses_and_dies (void)
{
  cut_off_and_pause (true);
}

/* The links from an instance to the others are cut, or healed, and so are
   those from the others to its failure domain's workers.  */
static void
set_mute (struct world *world, int instance, bool mute)
{
  for (int i = 0; i < world->n_instances; i++)
    {
      if (i == instance)
        continue;
      world_set_link_cut (world, instance, i, mute);
      for (int k = 0; k < world->n_workers; k++)
        if (world->workers[k].domain == world->instances[instance].domain)
          world->cut_worker[i][k] = mute;
    }
}

/* Guards against a holder that is not heard, hears the owner for longer and
   goes on renewing on the strength of that.  */
static void
test_a_holder_that_only_hears_and_dies (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = start_deployment (seed, 4, 4);
      for (int i = 0; i < ROUNDS; i++)
        {
          run_load (world, SECOND, 1, RUN_US);
          set_mute (world, i % 4, true);
          run_load_between (world, 500000, 650000);
          set_silent (world, i % 4, true);
          run_load_between (world, 300000, 550000);
          world_kill (world, i % 4, true);
          run_load (world, 2 * SECOND, 1, RUN_US);
          set_silent (world, i % 4, false);
          set_mute (world, i % 4, false);
          world_boot (world, i % 4);
        }
      end_deployment (world, "hears only", seed);
    }
}

/* Guards against a second holder, on the same side of a cut, that takes the
   workers of the first, finds its runs, renews their lease before their owner
   has claimed them, and dies.  */
static void
test_two_holders_that_are_cut_off_and_die (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = start_deployment (seed, 4, 2);
      for (int i = 0; i < ROUNDS; i++)
        {
          run_load (world, SECOND, 1, RUN_US);
          world_set_domain_cut (world, i % 2, true);
          run_load_between (world, 350000, 500000);
          world_kill (world, i % 2, false);
          run_load_between (world, 200000, 1000000);
          world_kill (world, i % 2 + 2, true);
          run_load (world, 2 * SECOND, 1, RUN_US);
          world_set_domain_cut (world, i % 2, false);
          world_boot (world, i % 2);
          world_boot (world, i % 2 + 2);
          run_load (world, SECOND, 1, RUN_US);
        }
      end_deployment (world, "two cut off and killed", seed);
    }
}

/* Guards against a job that is started anew, since its caller has sent it
   again after the end of its owner, while a run of the former start goes on:
   its holder, cut off with the owner, renewed the lease for a while and died.
 */
static void
test_an_owner_that_dies_before_its_holder (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = start_deployment (seed, 4, 2);
      for (int i = 0; i < ROUNDS; i++)
        {
          int owner = i % 2;
          int holder = owner + 2;
          world_set_domain_cut (world, owner, true);
          run_load (world, SECOND, 1, RUN_US);
          for (int k = 0; k < 6; k++)
            {
              (void)world_submit (world, owner, 1, RUN_US);
              world_run_for (world, 30000);
            }
          world_kill (world, owner, false);
          run_load_between (world, 150000, 600000);
          world_kill (world, holder, true);
          run_load (world, 2 * SECOND, 1, RUN_US);
          world_set_domain_cut (world, owner, false);
          world_boot (world, owner);
          world_boot (world, holder);
          run_load (world, SECOND, 1, RUN_US);
        }
      end_deployment (world, "owner, then holder", seed);
    }
}

/* Guards against a holder that can't stop the runs of a lost owner, since its
   orders get no answer and are carried out late, and renews their lease.  */
static void
test_a_holder_that_is_cut_off_and_cannot_stop (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = start_deployment (seed, 4, 4);
      for (int i = 0; i < ROUNDS; i++)
        {
          run_load (world, SECOND, 1, RUN_US);
          world_set_domain_cut (world, i % 4, true);
          run_load (world, 400000, 1, RUN_US);
          world->instances[i % 4].orders_late = true;
          run_load (world, 2 * SECOND, 1, RUN_US);
          world->instances[i % 4].orders_late = false;
          world_set_domain_cut (world, i % 4, false);
        }
      end_deployment (world, "stops unanswered", seed);
    }
}

/* Cuts a failure domain off for US, as a firewall does that resets connections
   and refuses new ones: the instances inside take the others for ended, and
   their workers, which they can reach when the cut heals.  */
static void
reset_and_refuse (struct world *world, int domain, int64_t us)
{
  world_set_domain_cut (world, domain, true);
  for (int from = 0; from < world->n_instances; from++)
    for (int to = 0; to < world->n_instances; to++)
      if (world->cut[from][to])
        world_reset_link (world, from, to);
  run_load (world, us, 2, RUN_US);
  world_set_domain_cut (world, domain, false);
}

/* Resets a tenth of the connections between instances.  */
static void
reset_some_links (struct world *world)
{
  for (int from = 0; from < world->n_instances; from++)
    for (int to = 0; to < world->n_instances; to++)
      if (from != to && world_random_chance (world, 0.1))
        world_reset_link (world, from, to);
}

/* Guards against a message of a former lease that is repeated after a
   connection was lost, and is applied to the run under the lease that followed
   it: the holder has lost its workers to others for a moment, and has found
   its runs again.  */
static void
test_resets_after_a_cut (void)
{
  static const int64_t pauses_us[] = { 50000, 100000, 150000, 300000 };
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = start_deployment (seed, 6, 4);
      world->cut_refuses = true;
      for (int i = 0; i < ROUNDS; i++)
        {
          run_load (world, 2 * SECOND, 2, RUN_US);
          reset_and_refuse (world, i % 4, 1300000);
          for (size_t k = 0; k < G_N_ELEMENTS (pauses_us); k++)
            {
              world_run_for (world, pauses_us[k]);
              reset_some_links (world);
            }
        }
      end_deployment (world, "resets after a cut", seed);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a holder that is cut off and dies",
      test_a_holder_that_is_cut_off_and_dies },
    { "a holder that is cut off and pauses",
      test_a_holder_that_is_cut_off_and_pauses },
    { "a holder that is cut off, pauses and dies",
      test_a_holder_that_is_cut_off_pauses_and_dies },
    { "a holder that only hears and dies",
      test_a_holder_that_only_hears_and_dies },
    { "two holders that are cut off and die",
      test_two_holders_that_are_cut_off_and_die },
    { "an owner that dies before its holder",
      test_an_owner_that_dies_before_its_holder },
    { "a holder that is cut off and cannot stop",
      test_a_holder_that_is_cut_off_and_cannot_stop },
    { "resets after a cut", test_resets_after_a_cut },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_cut_test", tests);
}
