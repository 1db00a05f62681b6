/* What an instance sends and computes as the fleet grows, and how it takes a
   link that delays, on the emulated deployment.  Guards against SHORT: too
   little is served at size (docs/incidents/short-at-size.md).  */
#include "cell_soak.h"
#include "cell_priv.h"

#define PER_DOMAIN 4 /* instances of a failure domain */
#define WORKERS_PER_INSTANCE 7

/* What an instance does in a second in which nothing is submitted.  */
struct idle_cost
{
  double frames;
  double bytes;
  double weighings;
};

static int64_t bytes_sent;

static void
count_bytes (struct world *world, GBytes *frame)
{
  (void)world;
  bytes_sent += (int64_t)g_bytes_get_size (frame);
}

static struct world *
new_fleet (int n_domains)
{
  int n = PER_DOMAIN * n_domains;
  struct world *world = world_new (1, n, n * WORKERS_PER_INSTANCE, n_domains);
  world_run_for (world, 4 * SECOND);
  return world;
}

static struct idle_cost
measure_idle (int n_domains)
{
  struct world *world = new_fleet (n_domains);
  CU_ASSERT_EQUAL (count_held (world), (unsigned)world->n_workers);
  unsigned frames = world->frames;
  int64_t weighings = pl_counter (PL_CTR_HOLDER_WEIGHINGS_TOTAL);
  bytes_sent = 0;
  world->on_frame = count_bytes;
  world_run_for (world, SECOND);
  double n = world->n_instances;
  struct idle_cost cost = {
    .frames = (world->frames - frames) / n,
    .bytes = (double)bytes_sent / n,
    .weighings
    = (double)(pl_counter (PL_CTR_HOLDER_WEIGHINGS_TOTAL) - weighings) / n,
  };
  printf ("%d instances, idle: %.0f frames, %.0f bytes, %.0f weighings a"
          " second and instance\n",
          world->n_instances, cost.frames, cost.bytes, cost.weighings);
  world_free (world);
  return cost;
}

/* Guards against a membership that fills the links of a large fleet: what an
   instance sends follows its failure domain.  */
static void
test_messages_follow_the_domain (void)
{
  struct idle_cost small = measure_idle (4);
  struct idle_cost large = measure_idle (12);
  CU_ASSERT_TRUE (large.frames <= 1.5 * small.frames);
  CU_ASSERT_TRUE (large.bytes <= 1.5 * small.bytes);
}

/* Guards against heartbeats that tell all peers and workers ten times a second
   though nothing has changed: in a domain of 25 they would use 1 Mbit/s of a
   small instance's link.  */
static void
test_heartbeats_repeat_no_state (void)
{
  struct idle_cost cost = measure_idle (12);
  CU_ASSERT_TRUE (cost.bytes <= 100 * cost.frames);
}

/* Guards against weighing all workers against all instances at each tick,
   which used up the processors of a large fleet before any job came.  */
static void
test_nothing_is_weighed_while_nothing_changes (void)
{
  CU_ASSERT_EQUAL (measure_idle (4).weighings, 0);
}

/* Guards against taking a link that delays for lost workers: orders that take
   120 ms were given up after 40 ms and their tasks started again.  */
static void
test_a_slow_link_loses_no_work (void)
{
  struct world *world = world_new (1, 6, 24, 3);
  world->call_timeout_us = 0;
  world_run_for (world, 2 * SECOND);
  world->link_delay_us = 60000;
  world_run_for (world, 2 * SECOND);
  unsigned starts = world->starts;
  int64_t ejected = pl_counter (PL_CTR_WORKERS_EJECTED_TOTAL);
  unsigned n_tasks = 0;
  for (int i = 0; i < 30; i++)
    {
      (void)world_submit (world, i % 6, 2, 200000);
      n_tasks += 2;
      world_run_for (world, 100000);
    }
  settle (world);
  CU_ASSERT_EQUAL (world->complete, 30);
  CU_ASSERT_EQUAL (world->starts - starts, n_tasks);
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_WORKERS_EJECTED_TOTAL), ejected);
  check_violations (world, "slow link", 1);
  world_free (world);
}

/* Whether the worker is held by an instance of DOMAIN.  */
static bool
is_held_in (struct world *world, int worker, int domain)
{
  for (int i = 0; i < world->n_instances; i++)
    {
      const struct world_instance *in = &world->instances[i];
      if (in->cell == NULL || in->domain != domain)
        continue;
      const struct lease_worker *w = lease_find_worker (
          cell_leases (in->cell), world->workers[worker].key);
      if (w != NULL && w->token != LEASE_PROBE_TOKEN)
        return true;
    }
  return false;
}

static unsigned
count_held_in (struct world *world, int domain)
{
  unsigned n = 0;
  for (int i = 0; i < world->n_workers; i++)
    n += is_held_in (world, i, domain);
  return n;
}

/* Guards against workers that nobody holds because all instances of their
   failure domain have ended, and against adopters that keep them.  */
static void
test_a_domain_without_instances_is_adopted (void)
{
  struct world *world = new_fleet (6);
  unsigned per_domain = (unsigned)world->n_workers / 6;
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].domain == 2)
      world_kill (world, i, false);
  world_run_for (world, 8 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), (unsigned)world->n_workers);
  CU_ASSERT_EQUAL (count_held_in (world, 2), 0);
  struct world_job *job = world_submit (world, 0, 4, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].cell == NULL)
      world_boot (world, i);
  world_run_for (world, 4 * SECOND);
  CU_ASSERT_EQUAL (count_held_in (world, 2), per_domain);
  CU_ASSERT_EQUAL (count_held (world), (unsigned)world->n_workers);
  check_violations (world, "adopted", 1);
  world_free (world);
}

/* Guards against workers of an adopted domain that nobody takes because their
   new holders don't read the registry, and know them only as they were.  */
static void
test_adopters_know_what_has_changed_before (void)
{
  struct world *world = new_fleet (6);
  for (int i = 0; i < 6; i++)
    {
      world_add_worker (world, 2, 32000);
      world_boot_worker (world, world->n_workers - 1);
    }
  world_run_for (world, 2 * SECOND);
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].domain == 2)
      world_kill (world, i, false);
  world_run_for (world, 9 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), (unsigned)world->n_workers);
  check_violations (world, "adopters", 1);
  world_free (world);
}

/* Guards against adopting the workers of a domain that is only cut off from
   the others and the store: its instances go on, and must keep them.  */
static void
test_a_domain_that_is_cut_off_keeps_its_workers (void)
{
  struct world *world = new_fleet (6);
  unsigned per_domain = (unsigned)world->n_workers / 6;
  world_set_domain_cut (world, 2, true);
  soak_set_registered (world, 2, false);
  world_run_for (world, 6 * SECOND);
  struct world_job *job = world_submit (world, 2, 4, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  world_set_domain_cut (world, 2, false);
  /* Until its instances are registered again.  */
  world_run_for (world, 1500000);
  int64_t taken = pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL);
  soak_set_registered (world, 2, true);
  world_run_for (world, 4 * SECOND);
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL), taken);
  CU_ASSERT_EQUAL (count_held_in (world, 2), per_domain);
  CU_ASSERT_EQUAL (count_held (world), (unsigned)world->n_workers);
  check_violations (world, "cut off", 1);
  world_free (world);
}

/* Guards against adopting the workers of a domain whose instances live and
   serve, and which only the store has lost.  */
static void
test_a_domain_that_the_store_has_lost_keeps_its_workers (void)
{
  struct world *world = new_fleet (6);
  unsigned per_domain = (unsigned)world->n_workers / 6;
  soak_set_registered (world, 2, false);
  int64_t taken = pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL);
  world_run_for (world, 12 * SECOND);
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL), taken);
  CU_ASSERT_EQUAL (count_held_in (world, 2), per_domain);
  soak_set_registered (world, 2, true);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), (unsigned)world->n_workers);
  check_violations (world, "lost by the store", 1);
  world_free (world);
}

/* Guards against a fleet that stays divided, or falls apart, when its size
   passes the bound between the two modes and comes back.  */
static void
test_a_fleet_that_grows_and_shrinks_holds_all_workers (void)
{
  struct world *world = world_new (1, 20, 60, 4);
  world_run_for (world, 4 * SECOND);
  CU_ASSERT_TRUE (world->instances[0].cell->domain_only);
  for (int i = 19; i >= 8; i--)
    world_kill (world, i, false);
  world_run_for (world, 8 * SECOND);
  CU_ASSERT_FALSE (world->instances[0].cell->domain_only);
  CU_ASSERT_EQUAL (cell_count_live_peers (world->instances[0].cell), 7);
  CU_ASSERT_EQUAL (count_held (world), 60);
  /* Between the two sizes a new instance follows its peers.  */
  for (int i = 8; i < 14; i++)
    world_boot (world, i);
  world_run_for (world, 4 * SECOND);
  CU_ASSERT_FALSE (world->instances[13].cell->domain_only);
  for (int i = 14; i < 20; i++)
    world_boot (world, i);
  world_run_for (world, 4 * SECOND);
  for (int i = 19; i >= 14; i--)
    world_kill (world, i, false);
  world_boot (world, 14);
  world_run_for (world, 6 * SECOND);
  CU_ASSERT_TRUE (world->instances[14].cell->domain_only);
  CU_ASSERT_EQUAL (count_held (world), 60);
  struct world_job *job = world_submit (world, 0, 4, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  check_violations (world, "grows", 1);
  world_free (world);
}

static unsigned
count_readers (struct world *world, int domain)
{
  unsigned n = 0;
  for (int i = 0; i < world->n_instances; i++)
    n += world->instances[i].cell != NULL
         && world->instances[i].domain == domain
         && world->instances[i].reads_registry;
  return n;
}

/* What every live instance of the worker's domain knows of it.  */
static bool
is_known_as (struct world *world, int worker, bool draining)
{
  const struct world_worker *w = &world->workers[worker];
  for (int i = 0; i < world->n_instances; i++)
    {
      const struct world_instance *in = &world->instances[i];
      if (in->cell == NULL || in->domain != w->domain)
        continue;
      const struct known_worker *known
          = g_hash_table_lookup (in->cell->workers, &w->key);
      if (known == NULL || known->removed || known->info.draining != draining)
        return false;
    }
  return true;
}

/* Guards against each instance of a large fleet reading what all workers
   write, and against holders that don't learn of a change because of that.  */
static void
test_two_of_a_domain_read_the_registry (void)
{
  struct world *world = new_fleet (6);
  for (int domain = 0; domain < 6; domain++)
    CU_ASSERT_EQUAL (count_readers (world, domain), 2);
  /* Workers 2 and 8 are of domain 2.  */
  world_change_worker (world, 2, 32000, true, -1);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (is_known_as (world, 2, true));
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].domain == 2 && world->instances[i].reads_registry)
      world_kill (world, i, true);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_EQUAL (count_readers (world, 2), 2);
  world_change_worker (world, 8, 16000, true, -1);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (is_known_as (world, 8, true));
  world_add_worker (world, 2, 32000);
  int added = world->n_workers - 1;
  world_boot_worker (world, added);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_TRUE (is_held_in (world, added, 2));
  check_violations (world, "readers", 1);
  world_free (world);
}

/* Guards against many instances that begin to read all workers at once because
   the readers were silent for a moment: that takes the processor time without
   which they seem silent themselves.  */
static void
test_a_short_silence_of_readers_makes_no_others_read (void)
{
  struct world *world = new_fleet (6);
  for (int i = 0; i < world->n_instances; i++)
    world_set_frozen (world, i, world->instances[i].reads_registry);
  world_run_for (world, 400000);
  for (int domain = 0; domain < 6; domain++)
    CU_ASSERT_EQUAL (count_readers (world, domain), 2);
  world_free (world);
}

/* Guards against a worker that has left and is known for ever where peers tell
   of workers.  */
static void
test_a_worker_that_left_is_forgotten_everywhere (void)
{
  struct world *world = new_fleet (6);
  world_crash_worker (world, 2);
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].reads_registry)
      cell_remove_worker (world->instances[i].cell, world->workers[2].key);
  world_run_for (world, 3 * SECOND);
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].domain == 2)
      CU_ASSERT_FALSE (cell_is_worker_registered (world->instances[i].cell,
                                                  world->workers[2].key));
  world_free (world);
}

/* Guards against cold workers that get their full load because their holder
   does not read the registry itself.  */
static void
test_a_worker_is_known_to_be_cold_everywhere (void)
{
  struct world *world = new_fleet (6);
  unsigned cold = 0;
  for (int i = 0; i < world->n_workers; i++)
    {
      world->workers[i].warmup_left_ms = 5000;
      world_change_worker (world, i, 32000, false, -1);
    }
  world_run_for (world, SECOND);
  for (int i = 0; i < world->n_instances; i++)
    for (int k = 0; k < world->n_workers; k++)
      {
        const struct lease_worker *w = lease_find_worker (
            cell_leases (world->instances[i].cell), world->workers[k].key);
        cold += w != NULL && w->ramp.active;
      }
  CU_ASSERT_EQUAL (cold, (unsigned)world->n_workers);
  world_free (world);
}

#define SIZE_WORKERS 1100
#define SIZE_DOMAINS 6
#define SIZE_JOBS 300

/* Deaths, a freeze and a domain that is cut off, among the jobs of
   play_at_size.  */
static void
disturb (struct world *world, int step)
{
  switch (step)
    {
    case 50:
      for (int i = 0; i < 10; i++)
        world_kill (world, 6 * i + 7, i % 2 == 0);
      break;
    case 80:
      world_set_frozen (world, 3, true);
      break;
    case 100:
      world_set_domain_cut (world, 2, true);
      soak_set_registered (world, 2, false);
      break;
    case 130:
      world_thaw (world, 3, true);
      break;
    case 200:
      world_set_domain_cut (world, 2, false);
      soak_set_registered (world, 2, true);
      break;
    default:
      break;
    }
}

/* Plays jobs among faults; returns the share that was answered in full.  */
static double
play_at_size (int n_instances)
{
  struct world *world = world_new (1, n_instances, SIZE_WORKERS, SIZE_DOMAINS);
  world_run_for (world, 4 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), SIZE_WORKERS);
  bytes_sent = 0;
  world->on_frame = count_bytes;
  unsigned frames = world->frames;
  int64_t looks = pl_counter (PL_CTR_PLANNER_LOOKS_TOTAL);
  for (int step = 0; step < SIZE_JOBS; step++)
    {
      disturb (world, step);
      int instance = (int)world_random_between (world, 0, n_instances - 1);
      (void)world_submit (world, instance, 4, 100000);
      world_resend_lost_jobs (world);
      world_run_for (world, 10000);
    }
  double per_instance_second = (double)n_instances * SIZE_JOBS / 100;
  double looks_a_start
      = (double)(pl_counter (PL_CTR_PLANNER_LOOKS_TOTAL) - looks)
        / MAX (world->starts, 1);
  printf ("%d instances, %d workers: %.0f frames, %.0f bytes a second and"
          " instance; %.0f looks a start\n",
          n_instances, SIZE_WORKERS,
          (world->frames - frames) / per_instance_second,
          (double)bytes_sent / per_instance_second, looks_a_start);
  CU_ASSERT_TRUE (looks_a_start <= 1.5 * SIZE_WORKERS / SIZE_DOMAINS);
  settle (world);
  CU_ASSERT_TRUE (all_answered (world));
  check_violations (world, "at size", (uint64_t)n_instances);
  double share = (double)world->complete / g_hash_table_size (world->jobs);
  world_free (world);
  return share;
}

/* Guards against a fleet of the users' size that serves little, or runs a task
   twice, while instances die, freeze and are cut off.  PAPAYALOFT_INSTANCES
   sets another size, up to 300.  */
static void
test_a_fleet_of_full_size_serves_among_faults (void)
{
  const char *size = getenv ("PAPAYALOFT_INSTANCES");
  CU_ASSERT_TRUE (play_at_size (size == NULL ? 150 : atoi (size)) >= 0.95);
}

#define SOAK_SEEDS 6 /* more by hand, with PAPAYALOFT_SEEDS */

/* Guards against tasks that run twice in a fleet in which instances hear only
   those of their own domain, under random faults that overlap.  */
static void
test_soak_of_a_large_fleet (void)
{
  static const struct soak_fleet fleet = { 24, 48, 6 };
  const char *count = getenv ("PAPAYALOFT_SEEDS");
  uint64_t last = count == NULL ? SOAK_SEEDS : strtoull (count, NULL, 10);
  for (uint64_t seed = 1; seed <= last; seed++)
    soak (seed, &fleet);
}

int
main (void)
{
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  CU_TestInfo tests[] = {
    { "messages follow the domain", test_messages_follow_the_domain },
    { "heartbeats repeat no state", test_heartbeats_repeat_no_state },
    { "nothing is weighed while nothing changes",
      test_nothing_is_weighed_while_nothing_changes },
    { "a slow link loses no work", test_a_slow_link_loses_no_work },
    { "a domain without instances is adopted",
      test_a_domain_without_instances_is_adopted },
    { "adopters know what has changed before",
      test_adopters_know_what_has_changed_before },
    { "a domain that is cut off keeps its workers",
      test_a_domain_that_is_cut_off_keeps_its_workers },
    { "a domain that the store has lost keeps its workers",
      test_a_domain_that_the_store_has_lost_keeps_its_workers },
    { "a fleet that grows and shrinks holds all workers",
      test_a_fleet_that_grows_and_shrinks_holds_all_workers },
    { "two of a domain read the registry",
      test_two_of_a_domain_read_the_registry },
    { "a worker is known to be cold everywhere",
      test_a_worker_is_known_to_be_cold_everywhere },
    { "a short silence of readers makes no others read",
      test_a_short_silence_of_readers_makes_no_others_read },
    { "a worker that left is forgotten everywhere",
      test_a_worker_that_left_is_forgotten_everywhere },
    { "a fleet of full size serves among faults",
      test_a_fleet_of_full_size_serves_among_faults },
    { "soak of a large fleet", test_soak_of_a_large_fleet },
    CU_TEST_INFO_NULL,
  };
  return test_run ("cell_size_test", tests);
}
