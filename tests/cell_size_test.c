/* What an instance sends and computes as the fleet grows, and how it takes a
   link that delays, on the emulated deployment.  Guards against SHORT: too
   little is served at size (docs/incidents/short-at-size.md).  */
#include "cell_checks.h"
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

int
main (void)
{
  CU_TestInfo tests[] = {
    { "messages follow the domain", test_messages_follow_the_domain },
    { "nothing is weighed while nothing changes",
      test_nothing_is_weighed_while_nothing_changes },
    { "a slow link loses no work", test_a_slow_link_loses_no_work },
    CU_TEST_INFO_NULL,
  };
  return test_run ("cell_size_test", tests);
}
