/* Tests of lib/cell: instances, holders and planner in an emulated deployment
   on a manual clock.  */
#include "cell_priv.h"
#include "cell_world.h"
#include "planner_priv.h"
#include "test.h"

#define SECOND ((int64_t)1000000)
#define SOAK_SEEDS 40

static void
check_faults (struct world *world, const char *name, uint64_t seed)
{
  if (world->twice + world->over + world->false_refusals > 0)
    fprintf (stderr, "%s seed %" PRIu64 ": %s; twice %u over %u false %u\n",
             name, seed, world->first_fault, world->twice, world->over,
             world->false_refusals);
  CU_ASSERT_EQUAL (world->twice, 0);
  CU_ASSERT_EQUAL (world->over, 0);
  CU_ASSERT_EQUAL (world->false_refusals, 0);
}

static unsigned
count_held (struct world *world)
{
  unsigned n = 0;
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].cell != NULL)
      n += cell_held_workers (world->instances[i].cell);
  return n;
}

/* Guards against workers without a holder, or with two, in a calm start. */
static void
test_every_worker_is_held_once (void)
{
  struct world *world = world_new (1, 6, 24, 4);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), 24);
  world_free (world);
}

/* Guards against tasks that are not spread over all instances' workers. */
static void
test_a_wide_job_uses_all_workers (void)
{
  struct world *world = world_new (2, 6, 24, 4);
  world_run_for (world, SECOND);
  struct world_job *job = world_submit (world, 0, 40, 200000);
  world_run_for (world, 300000);
  CU_ASSERT_TRUE (job->answered);
  CU_ASSERT_EQUAL (job->code, PL_OK);
  CU_ASSERT_EQUAL (world->starts, 40);
  check_faults (world, "wide", 2);
  world_free (world);
}

/* Cuts all instances off from each other, both ways.  */
static void
cut_all (struct world *world)
{
  for (int a = 0; a < world->n_instances; a++)
    for (int b = 0; b < world->n_instances; b++)
      world_cut_pair (world, a, b, a != b);
}

/* Heals the pairs one after another in random order.  */
static void
heal_pairs (struct world *world, int64_t gap_us)
{
  int n = world->n_instances;
  for (int left = n * (n - 1) / 2; left > 0; left--)
    {
      int a;
      int b;
      do
        {
          a = (int)world_between (world, 0, n - 1);
          b = (int)world_between (world, 0, n - 1);
        }
      while (a == b || !world->cut[a][b]);
      world_cut_pair (world, a, b, false);
      world_cut_pair (world, b, a, false);
      world_run_for (world, gap_us);
    }
}

/* All instances start after a loss of power and hear each other by and by, so
   that several take the same workers.  Guards against workers that nobody
   holds for seconds after that.  */
static void
test_groups_that_start_apart_share_soon (void)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      struct world *world = world_new (seed, 6, 24, 3);
      cut_all (world);
      world_run_for (world, world_between (world, 100000, 400000));
      heal_pairs (world, world_between (world, 1000, 30000));
      world_run_for (world, SECOND);
      CU_ASSERT_EQUAL (count_held (world), 24);
      check_faults (world, "apart", seed);
      world_free (world);
    }
}

/* A worker that instance 0 holds, with its lease.  */
static struct lease_worker *
first_lease (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (
      &it, lease_workers (cell_leases (world->instances[0].cell)));
  return g_hash_table_iter_next (&it, NULL, &value) ? value : NULL;
}

/* Guards against a hand-over that is lost because the successor does not know
   yet that its own former lease was fenced.  */
static void
test_a_yield_ends_a_stale_lease (void)
{
  struct world *world = world_new (8, 2, 6, 1);
  world_run_for (world, SECOND);
  struct lease_worker *w = first_lease (world);
  uint64_t worker = w->info.worker;
  Cellpb__Yield yield = CELLPB__YIELD__INIT;
  yield.worker = worker;
  yield.token = w->token + 5000;
  struct cell *cell = world->instances[0].cell;
  cell_on_yield (cell, &yield);
  world_run_for (world, 100000);
  w = lease_find (cell_leases (cell), worker);
  CU_ASSERT (w != NULL && w->token > yield.token
             && w->state == LEASE_WORKER_HELD);
  if (w == NULL)
    return;
  /* A late one of before changes nothing.  */
  int64_t token = w->token;
  cell_on_yield (cell, &yield);
  CU_ASSERT_EQUAL (lease_find (cell_leases (cell), worker)->token, token);
  world_free (world);
}

/* Guards against a worker that nobody holds for 4 s, because its former holder
   leaves it alone although it hears that the peer that fenced it has let it
   go.  */
static void
test_a_worker_that_a_heard_peer_let_go_is_taken_soon (void)
{
  struct world *world = world_new (9, 2, 6, 1);
  world_run_for (world, SECOND);
  struct cell *cell = world->instances[0].cell;
  struct lease_worker *w = first_lease (world);
  uint64_t worker = w->info.worker;
  Cellpb__Taken taken = CELLPB__TAKEN__INIT;
  taken.worker = worker;
  taken.token = w->token + 5000;
  cell_on_taken (cell, world->instances[1].life, &taken);
  lease_worker_fenced (cell_leases (cell), w, world_now (world));
  CU_ASSERT_PTR_NULL (lease_find (cell_leases (cell), worker));
  world_run_for (world, 600000);
  CU_ASSERT_PTR_NOT_NULL (lease_find (cell_leases (cell), worker));
  world_free (world);
}

/* The registrations of a domain that is cut off lapse, as the others see it.
 */
static void
unregister_domain (struct world *world, int domain, bool registered)
{
  for (int i = 0; i < world->n_instances; i++)
    for (int k = 0; k < world->n_instances; k++)
      if (world->instances[i].domain != domain
          && world->instances[k].domain == domain)
        cell_set_instance_registered (world->instances[i].cell, world_addr (k),
                                      registered);
}

/* Sum over all workers of their holders' tokens: changes with each taking.  */
static int64_t
sum_tokens (struct world *world)
{
  int64_t sum = 0;
  for (int i = 0; i < world->n_instances; i++)
    {
      GHashTableIter it;
      gpointer value;
      g_hash_table_iter_init (
          &it, lease_workers (cell_leases (world->instances[i].cell)));
      while (g_hash_table_iter_next (&it, NULL, &value))
        sum += ((struct lease_worker *)value)->token;
    }
  return sum;
}

/* Guards against holders that are fenced when a partition heals: each side
   takes the other side's instances for dead and used to try to take their
   workers, which succeeded before the sides heard each other again.  */
static void
test_a_healed_cut_leaves_workers_where_they_are (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct world *world = world_new (seed, 6, 24, 3);
      world_run_for (world, SECOND);
      int64_t tokens = sum_tokens (world);
      world_cut_domain (world, 0, true);
      world_run_for (world, SECOND);
      unregister_domain (world, 0, false);
      world_run_for (world, world_between (world, SECOND, 4 * SECOND));
      world_cut_domain (world, 0, false);
      world_run_for (world, 100000);
      unregister_domain (world, 0, true);
      world_run_for (world, SECOND);
      CU_ASSERT_EQUAL (sum_tokens (world), tokens);
      CU_ASSERT_EQUAL (count_held (world), 24);
      world_free (world);
    }
}

/* The planner is told of rooms by their holders only.  Guards against a probe
   that is reported as a room without use and hides the holder's own report
   after a cut.  */
static void
test_a_probe_is_not_reported_as_a_room (void)
{
  struct world *world = world_new (14, 2, 8, 2);
  world_run_for (world, SECOND);
  world_cut_domain (world, 0, true);
  world_run_for (world, SECOND);
  unregister_domain (world, 0, false);
  world_run_for (world, SECOND);
  struct cell *cell = world->instances[1].cell;
  unsigned probes = 0;
  unsigned rooms = 0;
  for (int i = 0; i < world->n_workers; i++)
    {
      uint64_t key = world->workers[i].key;
      const struct lease_worker *w = lease_find (cell_leases (cell), key);
      bool probe = w != NULL && w->token == LEASE_PROBE_TOKEN;
      probes += probe;
      rooms += probe && g_hash_table_contains (cell->plan->workers, &key);
    }
  CU_ASSERT (probes > 0);
  CU_ASSERT_EQUAL (rooms, 0);
  world_free (world);
}

/* Guards against workers of a failure domain without power that nobody takes:
   they answer, and their holders are silent for good.  */
static void
test_workers_of_dead_holders_are_taken_across_domains (void)
{
  struct world *world = world_new (11, 6, 24, 3);
  world_run_for (world, SECOND);
  world_kill (world, 0, true);
  world_kill (world, 3, true);
  world_run_for (world, 3 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), 24);
  world_free (world);
}

/* Guards against jobs that wait for a planner, and are placed on workers of a
   holder, until its silence counts as its death.  */
static void
test_a_quiet_planner_is_replaced_before_it_is_dead (void)
{
  struct world *world = world_new (12, 4, 16, 1);
  world_run_for (world, SECOND);
  for (int i = 1; i < 4; i++)
    {
      world_cut_pair (world, 0, i, true);
      world_cut_pair (world, i, 0, true);
    }
  world_run_for (world, 50000);
  struct world_job *job = world_submit (world, 1, 8, 50000);
  world_run_for (world, 400000);
  CU_ASSERT_TRUE (job->answered);
  CU_ASSERT_EQUAL (job->code, PL_OK);
  check_faults (world, "quiet", 12);
  world_free (world);
}

/* Guards against an attempt to connect from the time when a peer was down that
   keeps both from hearing each other until its timeout.  */
static void
test_a_peer_that_is_back_is_heard_at_once (void)
{
  struct world *world = world_new (7, 2, 6, 1);
  world_run_for (world, SECOND);
  world_kill (world, 1, true);
  world_cut_pair (world, 0, 1, true); /* its machine is without power */
  world_run_for (world, SECOND);
  world_cut_pair (world, 0, 1, false);
  world_boot (world, 1);
  world_run_for (world, 100000);
  CU_ASSERT_EQUAL (cell_peers_alive (world->instances[0].cell), 1);
  CU_ASSERT_EQUAL (cell_peers_alive (world->instances[1].cell), 1);
  world_free (world);
}

/* Guards against a job lost with the holder of its workers.  */
static void
test_jobs_survive_the_death_of_a_holder (void)
{
  struct world *world = world_new (3, 6, 24, 4);
  world_run_for (world, SECOND);
  struct world_job *job = world_submit (world, 0, 40, 400000);
  world_run_for (world, 100000);
  world_kill (world, 5, false);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_TRUE (job->answered);
  CU_ASSERT_EQUAL (job->code, PL_OK);
  CU_ASSERT_EQUAL (count_held (world), 24);
  check_faults (world, "holder", 3);
  world_free (world);
}

/* Guards against a planned stop that loses jobs or leaves workers unheld. */
static void
test_a_draining_instance_hands_its_workers_over (void)
{
  struct world *world = world_new (4, 6, 24, 4);
  world_run_for (world, SECOND);
  struct world_job *job = world_submit (world, 1, 30, 400000);
  world_run_for (world, 50000);
  cell_drain (world->instances[1].cell);
  world_run_for (world, 300000);
  CU_ASSERT_EQUAL (cell_held_workers (world->instances[1].cell), 0);
  CU_ASSERT_EQUAL (count_held (world), 24);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (job->answered);
  CU_ASSERT_EQUAL (job->code, PL_OK);
  check_faults (world, "drain", 4);
  world_free (world);
}

/* The only instance of a domain drains and is cut off, its workers handed over
   to the other side.  Guards against callers that are refused until it ends,
   next to workers that nobody else reaches.  */
static void
test_a_draining_instance_alone_serves (void)
{
  struct world *world = world_new (13, 4, 16, 4);
  world_run_for (world, SECOND);
  cell_drain (world->instances[0].cell);
  world_run_for (world, 200000);
  CU_ASSERT_EQUAL (cell_held_workers (world->instances[0].cell), 0);
  world_cut_domain (world, 0, true);
  world_run_for (world, 3 * SECOND / 2);
  struct world_job *job = world_submit (world, 0, 4, 100000);
  world_run_for (world, 300000);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  world_cut_domain (world, 0, false);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (cell_held_workers (world->instances[0].cell), 0);
  CU_ASSERT_EQUAL (count_held (world), 16);
  check_faults (world, "draining", 13);
  world_free (world);
}

/* Guards against a cut-off failure domain that stops serving.  */
static void
test_a_cut_off_domain_serves_with_its_own_workers (void)
{
  struct world *world = world_new (5, 6, 24, 4);
  world_run_for (world, SECOND);
  world_cut_domain (world, 0, true);
  world_run_for (world, 2 * SECOND);
  struct world_job *inside = world_submit (world, 0, 4, 100000);
  struct world_job *outside = world_submit (world, 1, 4, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (inside->answered && inside->code == PL_OK);
  CU_ASSERT_TRUE (outside->answered && outside->code == PL_OK);
  world_cut_domain (world, 0, false);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), 24);
  check_faults (world, "cut", 5);
  world_free (world);
}

/* Guards against runs that go on for an owner that can't hear its holder: in
   a cut one way, starts still arrive after the owner has been given up.  */
static void
test_starts_of_a_silent_owner_are_not_kept (void)
{
  struct world *world = world_new (6, 2, 6, 2);
  world_run_for (world, SECOND);
  world_cut_pair (world, 1, 0, true); /* instance 0 hears nothing of 1 */
  for (int i = 0; i < 20; i++)
    {
      (void)world_submit (world, 0, 6, 1500000);
      world_run_for (world, 100000);
    }
  world_run_for (world, 4 * SECOND);
  check_faults (world, "one-way", 6);
  world_free (world);
}

/* Guards against a notice of an earlier lease that makes an owner start a
   task again: frames held up by a cut arrive after it has healed.  */
static void
test_late_frames_start_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      struct world *world = world_new (seed, 4, 12, 2);
      world->hold_frames = true;
      world_run_for (world, SECOND);
      for (int i = 0; i < 60; i++)
        {
          (void)world_submit (world, i % 4, 3, 600000);
          if (i % 20 == 5)
            world_cut_domain (world, 0, true);
          if (i % 20 == 5 + (int)(seed % 12))
            world_cut_domain (world, 0, false);
          world_run_for (world, 100000);
        }
      world_cut_domain (world, 0, false);
      world_run_for (world, 5 * SECOND);
      check_faults (world, "late frames", seed);
      world_free (world);
    }
}

/* Guards against two holders of one worker after all have restarted.  */
static void
test_a_restart_of_all_recovers (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      struct world *world = world_new (seed, 6, 24, 4);
      world_run_for (world, SECOND);
      for (int i = 0; i < 6; i++)
        (void)world_submit (world, i, 6, 500000);
      world_run_for (world, 200000);
      for (int i = 0; i < 6; i++)
        world_kill (world, i, true);
      world_run_for (world, 1100000);
      for (int i = 0; i < 6; i++)
        {
          world_boot (world, i);
          world_run_for (world, world_between (world, 0, 30000));
        }
      for (int i = 0; i < 20; i++)
        {
          world_resend (world);
          (void)world_submit (world, i % 6, 3, 200000);
          world_run_for (world, 100000);
        }
      world_run_for (world, 3 * SECOND);
      CU_ASSERT_EQUAL (count_held (world), 24);
      CU_ASSERT_TRUE (world->complete >= 18);
      check_faults (world, "restart", seed);
      world_free (world);
    }
}

/* Guards against a worker that takes all tasks and finishes none.  */
static void
test_a_hanging_worker_is_left_alone (void)
{
  struct world *world = world_new (8, 2, 6, 2);
  world_run_for (world, SECOND);
  world->workers[0].hangs = true;
  for (int i = 0; i < 50; i++)
    {
      (void)world_submit (world, i % 2, 2, 100000);
      world_run_for (world, 100000);
    }
  world_run_for (world, 3 * SECOND);
  /* The two tasks that it had room for may miss their time.  */
  CU_ASSERT_TRUE (world->complete >= 48);
  check_faults (world, "hang", 8);
  world_free (world);
}

/* Guards against orders without an answer that are carried out late.  */
static void
test_late_orders_run_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct world *world = world_new (seed, 4, 12, 2);
      world_run_for (world, SECOND);
      world->late_share = 0.1;
      for (int i = 0; i < 80; i++)
        {
          (void)world_submit (world, i % 4, 3, 200000);
          world_run_for (world, 60000);
        }
      world->late_share = 0;
      world_run_for (world, 14 * SECOND);
      check_faults (world, "late orders", seed);
      world_free (world);
    }
}

/* Guards against an owner that gives a holder up for a moment which the holder
   doesn't notice: its run goes on while the owner starts the task again.  */
static void
test_a_holder_lost_for_a_moment_keeps_its_runs (void)
{
  for (int64_t us = 480000; us <= 640000; us += 5000)
    {
      struct world *world = world_new (9, 2, 6, 2);
      world->hold_frames = true;
      world_run_for (world, SECOND);
      (void)world_submit (world, 0, 12, 3500000);
      world_run_for (world, 100000);
      world_cut_pair (world, 1, 0, true);
      world_run_for (world, us);
      world_cut_pair (world, 1, 0, false);
      world_release_held (world);
      world_run_for (world, 3 * SECOND);
      check_faults (world, "moment", (uint64_t)us);
      world_free (world);
    }
}

/* Guards against addresses of replaced instances that are kept for ever.  */
static void
test_replaced_peers_are_forgotten (void)
{
  struct world *world = world_new (11, 4, 8, 2);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (cell_known_peers (world->instances[0].cell), 3);
  world_kill (world, 3, true);
  world_run_for (world, 10 * SECOND);
  CU_ASSERT_EQUAL (cell_known_peers (world->instances[0].cell), 3);
  world_run_for (world, 25 * SECOND);
  CU_ASSERT_EQUAL (cell_known_peers (world->instances[0].cell), 2);
  world_boot (world, 3);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (cell_peers_alive (world->instances[0].cell), 3);
  world_free (world);
}

/* Guards against jobs that wait for ever at a planner that does not plan: two
   instances that don't hear each other see different planners.  */
static void
test_views_that_differ_still_plan (void)
{
  struct world *world = world_new (12, 3, 9, 3);
  world_cut_pair (world, 0, 2, true);
  world_cut_pair (world, 2, 0, true);
  world_run_for (world, 2 * SECOND);
  for (int i = 0; i < 3; i++)
    {
      struct world_job *job = world_submit (world, i, 4, 100000);
      world_run_for (world, 400000);
      CU_ASSERT_TRUE (job->answered);
      CU_ASSERT_EQUAL (job->code, PL_OK);
    }
  check_faults (world, "views", 12);
  world_free (world);
}

/* One random fault, or the end of one.  */
static void
disturb (struct world *world)
{
  int instance = (int)world_between (world, 0, world->n_instances - 1);
  int other = (int)world_between (world, 0, world->n_instances - 1);
  int worker = (int)world_between (world, 0, world->n_workers - 1);
  struct world_instance *in = &world->instances[instance];
  int kind = (int)world_between (world, 0, 11);
  world_trace (world, "disturb %d instance %d other %d worker %d", kind,
               instance, other, worker);
  switch (kind)
    {
    case 0:
      world_kill (world, instance, world_chance (world, 0.5));
      break;
    case 1:
    case 2:
      if (in->cell == NULL)
        world_boot (world, instance);
      break;
    case 3:
      world_cut_domain (world, in->domain, true);
      break;
    case 4:
    case 5:
      for (int i = 0; i < WORLD_DOMAINS; i++)
        world_cut_domain (world, i, false);
      memset (world->cut, 0, sizeof world->cut);
      memset (world->cut_worker, 0, sizeof world->cut_worker);
      break;
    case 6:
      if (world->workers[worker].up)
        world_crash_worker (world, worker);
      break;
    case 7:
      if (!world->workers[worker].up)
        world_boot_worker (world, worker);
      break;
    case 8:
      world_cut_pair (world, instance, other, true);
      break;
    case 9:
      world->cut_worker[instance][worker] = true;
      break;
    case 10:
      if (in->cell != NULL)
        world_freeze (world, instance, !in->frozen);
      break;
    default:
      world->late_share = world_chance (world, 0.5) ? 0.05 : 0;
    }
}

static void
soak (uint64_t seed)
{
  struct world *world = world_new (seed, 6, 24, 4);
  world->hold_frames = seed % 2 == 0;
  world_run_for (world, SECOND);
  for (int i = 0; i < 300; i++)
    {
      int instance = (int)world_between (world, 0, 5);
      (void)world_submit (world, instance,
                          (unsigned)world_between (world, 1, 8),
                          world_between (world, 30000, 900000));
      if (world_chance (world, 0.1))
        disturb (world);
      world_resend (world);
      world_run_for (world, world_between (world, 10000, 90000));
    }
  check_faults (world, "soak", seed);
  world_free (world);
}

/* Guards against double starts and overfull workers under faults that come in
   series and overlap.  PAPAYALOFT_SEED plays one
   seed, PAPAYALOFT_SEEDS that many.  */
static void
test_soak (void)
{
  const char *only = getenv ("PAPAYALOFT_SEED");
  if (only != NULL)
    {
      soak (strtoull (only, NULL, 10));
      return;
    }
  const char *count = getenv ("PAPAYALOFT_SEEDS");
  uint64_t last = count == NULL ? SOAK_SEEDS : strtoull (count, NULL, 10);
  for (uint64_t seed = 1; seed <= last; seed++)
    soak (seed);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "every worker is held once", test_every_worker_is_held_once },
    { "a wide job uses all workers", test_a_wide_job_uses_all_workers },
    { "groups that start apart share soon",
      test_groups_that_start_apart_share_soon },
    { "a healed cut leaves workers where they are",
      test_a_healed_cut_leaves_workers_where_they_are },
    { "a probe is not reported as a room",
      test_a_probe_is_not_reported_as_a_room },
    { "workers of dead holders are taken across domains",
      test_workers_of_dead_holders_are_taken_across_domains },
    { "a quiet planner is replaced before it is dead",
      test_a_quiet_planner_is_replaced_before_it_is_dead },
    { "a draining instance alone serves",
      test_a_draining_instance_alone_serves },
    { "a yield ends a stale lease", test_a_yield_ends_a_stale_lease },
    { "a worker that a heard peer let go is taken soon",
      test_a_worker_that_a_heard_peer_let_go_is_taken_soon },
    { "a peer that is back is heard at once",
      test_a_peer_that_is_back_is_heard_at_once },
    { "jobs survive the death of a holder",
      test_jobs_survive_the_death_of_a_holder },
    { "a draining instance hands its workers over",
      test_a_draining_instance_hands_its_workers_over },
    { "a cut-off domain serves with its own workers",
      test_a_cut_off_domain_serves_with_its_own_workers },
    { "starts of a silent owner are not kept",
      test_starts_of_a_silent_owner_are_not_kept },
    { "late frames start nothing twice",
      test_late_frames_start_nothing_twice },
    { "a restart of all recovers", test_a_restart_of_all_recovers },
    { "a hanging worker is left alone", test_a_hanging_worker_is_left_alone },
    { "late orders run nothing twice", test_late_orders_run_nothing_twice },
    { "a holder lost for a moment keeps its runs",
      test_a_holder_lost_for_a_moment_keeps_its_runs },
    { "replaced peers are forgotten", test_replaced_peers_are_forgotten },
    { "views that differ still plan", test_views_that_differ_still_plan },
    { "soak", test_soak },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_test", tests);
}
