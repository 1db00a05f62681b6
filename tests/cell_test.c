/* Tests of lib/cell: several instances and workers in the emulated deployment
   of cell_world.h.  */
#include "cell_soak.h"
#include "cell_priv.h"
#include "planner_priv.h"

#define SOAK_SEEDS 40

/* Guards against workers without a holder, or with two, after a start without
   faults.  */
static void
test_every_worker_is_held_once (void)
{
  struct world *world = world_new (1, 6, 24, 4);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), 24);
  world_free (world);
}

/* Guards against tasks that are not spread over the workers of all instances.
 */
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
  check_violations (world, "wide", 2);
  world_free (world);
}

/* Cuts all links between instances, both ways.  */
static void
cut_all_links (struct world *world)
{
  for (int a = 0; a < world->n_instances; a++)
    for (int b = 0; b < world->n_instances; b++)
      world_set_link_cut (world, a, b, a != b);
}

/* Heals the links between pairs of instances one pair after another, in random
   order.  */
static void
heal_links_one_by_one (struct world *world, int64_t gap_us)
{
  int n = world->n_instances;
  for (int left = n * (n - 1) / 2; left > 0; left--)
    {
      int a;
      int b;
      do
        {
          a = (int)world_random_between (world, 0, n - 1);
          b = (int)world_random_between (world, 0, n - 1);
        }
      while (a == b || !world->cut[a][b]);
      world_set_link_cut (world, a, b, false);
      world_set_link_cut (world, b, a, false);
      world_run_for (world, gap_us);
    }
}

/* Guards against workers that nobody holds for seconds after all instances
   have started together, as after a loss of power: they begin to hear each
   other one after another, and several take the same workers.  */
static void
test_instances_that_start_apart_share_soon (void)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      struct world *world = world_new (seed, 6, 24, 3);
      cut_all_links (world);
      world_run_for (world, world_random_between (world, 100000, 400000));
      heal_links_one_by_one (world, world_random_between (world, 1000, 30000));
      world_run_for (world, SECOND);
      CU_ASSERT_EQUAL (count_held (world), 24);
      check_violations (world, "apart", seed);
      world_free (world);
    }
}

/* Any of the workers that instance 0 holds.  */
static struct lease_worker *
any_lease (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (
      &it, lease_workers (cell_leases (world->instances[0].cell)));
  return g_hash_table_iter_next (&it, NULL, &value) ? value : NULL;
}

/* Guards against a hand-over (Yield) that is ignored because the successor has
   not noticed yet that its own former lease of the worker was fenced.  */
static void
test_a_yield_ends_a_stale_lease (void)
{
  struct world *world = world_new (8, 2, 6, 1);
  world_run_for (world, SECOND);
  struct lease_worker *w = any_lease (world);
  uint64_t worker = w->info.worker;
  Cellpb__Yield yield = CELLPB__YIELD__INIT;
  yield.worker = worker;
  yield.token = w->token + 5000;
  struct cell *cell = world->instances[0].cell;
  cell_on_yield (cell, &yield);
  world_run_for (world, 100000);
  w = lease_find_worker (cell_leases (cell), worker);
  CU_ASSERT (w != NULL && w->token > yield.token
             && w->state == LEASE_WORKER_HELD);
  if (w == NULL)
    return;
  /* The same message arriving again changes nothing.  */
  int64_t token = w->token;
  cell_on_yield (cell, &yield);
  CU_ASSERT_EQUAL (lease_find_worker (cell_leases (cell), worker)->token,
                   token);
  /* Nor does it when this instance has lost the worker to a later lease.  */
  lease_worker_fenced (cell_leases (cell),
                       lease_find_worker (cell_leases (cell), worker),
                       world_now (world));
  cell_on_yield (cell, &yield);
  CU_ASSERT_PTR_NULL (lease_find_worker (cell_leases (cell), worker));
  world_free (world);
}

/* Guards against a worker that nobody holds for 4 s (FENCED_RETRY_US): the
   peer that fenced the worker's holder has given the worker up and no longer
   lists it in its heartbeats, but the former holder still waits before it
   takes the worker again.  */
static void
test_a_worker_that_a_live_peer_gave_up_is_taken_soon (void)
{
  struct world *world = world_new (9, 2, 6, 1);
  world_run_for (world, SECOND);
  struct cell *cell = world->instances[0].cell;
  struct lease_worker *w = any_lease (world);
  uint64_t worker = w->info.worker;
  Cellpb__Taken taken = CELLPB__TAKEN__INIT;
  taken.worker = worker;
  taken.token = w->token + 5000;
  cell_on_taken (cell, world->instances[1].incarnation, &taken);
  lease_worker_fenced (cell_leases (cell), w, world_now (world));
  CU_ASSERT_PTR_NULL (lease_find_worker (cell_leases (cell), worker));
  world_run_for (world, 600000);
  CU_ASSERT_PTR_NOT_NULL (lease_find_worker (cell_leases (cell), worker));
  world_free (world);
}

/* Sets whether the instances of a domain are registered, as those of the other
   domains see it.  */
static void
set_domain_registered (struct world *world, int domain, bool registered)
{
  for (int i = 0; i < world->n_instances; i++)
    for (int k = 0; k < world->n_instances; k++)
      if (world->instances[i].domain != domain
          && world->instances[k].domain == domain)
        world_tell_registered (world, i, k, registered);
}

/* Sum of the tokens of all leases: changes whenever a worker is taken.  */
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

/* Guards against holders that are fenced when a partition heals: each side had
   taken the instances of the other for dead and kept trying to take their
   workers, which succeeded once the partition had healed and before the sides
   heard each other again.  */
static void
test_a_healed_cut_leaves_workers_where_they_are (void)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct world *world = world_new (seed, 6, 24, 3);
      world_run_for (world, SECOND);
      int64_t tokens = sum_tokens (world);
      world_set_domain_cut (world, 0, true);
      world_run_for (world, SECOND);
      set_domain_registered (world, 0, false);
      world_run_for (world, world_random_between (world, SECOND, 4 * SECOND));
      world_set_domain_cut (world, 0, false);
      world_run_for (world, 100000);
      set_domain_registered (world, 0, true);
      world_run_for (world, SECOND);
      CU_ASSERT_EQUAL (sum_tokens (world), tokens);
      CU_ASSERT_EQUAL (count_held (world), 24);
      world_free (world);
    }
}

/* Guards against a probed worker that is reported to the planner: after a
   partition this report, which says that the worker can't be used, replaced
   the report of the worker's holder.  */
static void
test_a_probe_is_not_reported_to_the_planner (void)
{
  struct world *world = world_new (14, 2, 8, 2);
  world_run_for (world, SECOND);
  world_set_domain_cut (world, 0, true);
  world_run_for (world, SECOND);
  set_domain_registered (world, 0, false);
  world_run_for (world, SECOND);
  struct cell *cell = world->instances[1].cell;
  unsigned probes = 0;
  unsigned reported = 0;
  for (int i = 0; i < world->n_workers; i++)
    {
      uint64_t key = world->workers[i].key;
      const struct lease_worker *w
          = lease_find_worker (cell_leases (cell), key);
      bool probe = w != NULL && w->token == LEASE_PROBE_TOKEN;
      probes += probe;
      reported
          += probe && g_hash_table_contains (cell->planner->workers, &key);
    }
  CU_ASSERT (probes > 0);
  CU_ASSERT_EQUAL (reported, 0);
  world_free (world);
}

/* Guards against workers that nobody takes after all instances of their
   failure domain have ended without closing their links, while the workers
   still answer.  */
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

static void
check_planner (struct world *world, int planner)
{
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].cell != NULL)
      CU_ASSERT_EQUAL (world->instances[i].cell->planner_id,
                       world->instances[planner].incarnation);
}

/* Guards against a planner on the smallest machine, on which every job waits
   for it: the planner was the instance with the smallest name.  */
static void
test_the_planner_has_the_most_processor_time (void)
{
  struct world *world = world_new (24, 4, 12, 2);
  static const uint32_t shares[] = { 120, 250, 500, 500 };
  world_run_for (world, SECOND);
  for (int i = 0; i < 4; i++)
    {
      world_kill (world, i, false);
      world->instances[i].cpu_share = shares[i];
      world_run_for (world, SECOND);
      world_boot (world, i);
    }
  world_run_for (world, SECOND);
  check_planner (world, 2);
  world_kill (world, 2, false);
  world_run_for (world, SECOND);
  check_planner (world, 3);
  world_kill (world, 3, false);
  world_run_for (world, SECOND);
  check_planner (world, 1);
  world_free (world);
}

/* Guards against jobs that wait for a silent planner, or are placed on workers
   of a silent holder, until the peer is treated as lost.  */
static void
test_a_suspected_planner_is_replaced_before_it_is_lost (void)
{
  struct world *world = world_new (12, 4, 16, 1);
  world_run_for (world, SECOND);
  for (int i = 1; i < 4; i++)
    {
      world_set_link_cut (world, 0, i, true);
      world_set_link_cut (world, i, 0, true);
    }
  world_run_for (world, 50000);
  struct world_job *job = world_submit (world, 1, 8, 50000);
  world_run_for (world, 400000);
  CU_ASSERT_TRUE (job->answered);
  CU_ASSERT_EQUAL (job->code, PL_OK);
  check_violations (world, "suspected", 12);
  world_free (world);
}

/* Guards against two instances that don't hear each other although both are
   up: an attempt to connect that began while one was down waits for its
   timeout. */
static void
test_a_restarted_peer_is_heard_at_once (void)
{
  struct world *world = world_new (7, 2, 6, 1);
  world_run_for (world, SECOND);
  world_kill (world, 1, true);
  world_set_link_cut (world, 0, 1, true); /* its machine is without power */
  world_run_for (world, SECOND);
  world_set_link_cut (world, 0, 1, false);
  world_boot (world, 1);
  world_run_for (world, 100000);
  CU_ASSERT_EQUAL (cell_count_live_peers (world->instances[0].cell), 1);
  CU_ASSERT_EQUAL (cell_count_live_peers (world->instances[1].cell), 1);
  world_free (world);
}

/* Guards against a job that is lost when the holder of its workers ends.  */
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
  check_violations (world, "holder", 3);
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
  cell_drain (world->instances[1].cell, INT64_MAX);
  world_run_for (world, 300000);
  CU_ASSERT_EQUAL (cell_count_held_workers (world->instances[1].cell), 0);
  CU_ASSERT_EQUAL (count_held (world), 24);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (job->answered);
  CU_ASSERT_EQUAL (job->code, PL_OK);
  check_violations (world, "drain", 4);
  world_free (world);
}

/* Guards against callers that are refused although there are workers.  The
   only instance of a domain drains, hands its workers over to instances of
   other domains, and is then cut off from these together with the workers.  It
   must take the workers again.  */
static void
test_a_cut_off_draining_instance_serves (void)
{
  struct world *world = world_new (13, 4, 16, 4);
  world_run_for (world, SECOND);
  cell_drain (world->instances[0].cell, INT64_MAX);
  world_run_for (world, 200000);
  CU_ASSERT_EQUAL (cell_count_held_workers (world->instances[0].cell), 0);
  world_set_domain_cut (world, 0, true);
  world_run_for (world, 3 * SECOND / 2);
  struct world_job *job = world_submit (world, 0, 4, 100000);
  world_run_for (world, 300000);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  world_set_domain_cut (world, 0, false);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (cell_count_held_workers (world->instances[0].cell), 0);
  CU_ASSERT_EQUAL (count_held (world), 16);
  check_violations (world, "draining", 13);
  world_free (world);
}

/* Guards against a cut-off failure domain that stops serving.  */
static void
test_a_cut_off_domain_serves_with_its_own_workers (void)
{
  struct world *world = world_new (5, 6, 24, 4);
  world_run_for (world, SECOND);
  world_set_domain_cut (world, 0, true);
  world_run_for (world, 2 * SECOND);
  struct world_job *inside = world_submit (world, 0, 4, 100000);
  struct world_job *outside = world_submit (world, 1, 4, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (inside->answered && inside->code == PL_OK);
  CU_ASSERT_TRUE (outside->answered && outside->code == PL_OK);
  world_set_domain_cut (world, 0, false);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), 24);
  check_violations (world, "cut", 5);
  world_free (world);
}

/* Guards against runs that nobody stops: their owner's link is cut in one
   direction, so that its starts still arrive after the holder has treated it
   as lost.  */
static void
test_starts_of_an_unheard_owner_are_refused (void)
{
  struct world *world = world_new (6, 2, 6, 2);
  world_run_for (world, SECOND);
  world_set_link_cut (world, 1, 0, true); /* instance 0 hears nothing of 1 */
  for (int i = 0; i < 20; i++)
    {
      (void)world_submit (world, 0, 6, 1500000);
      world_run_for (world, 100000);
    }
  world_run_for (world, 4 * SECOND);
  check_violations (world, "one-way", 6);
  world_free (world);
}

/* Guards against a start for an owner that is lost or was never heard: nothing
   would stop the run.  */
static void
test_starts_of_a_lost_owner_are_refused (void)
{
  struct world *world = world_new (25, 2, 6, 1);
  world_run_for (world, SECOND);
  struct lease_worker *w = any_lease (world);
  struct world_job *job = world_submit (world, 1, 0, 100000);
  Cellpb__RunId id = CELLPB__RUN_ID__INIT;
  id.job = job->id;
  id.run = 1;
  Cellpb__Start start = CELLPB__START__INIT;
  start.worker = w->info.worker;
  start.id = &id;
  start.token = w->token;
  struct cell *cell = world->instances[0].cell;
  uint64_t owner = world->instances[1].incarnation;
  world_set_frozen (world, 1, true);
  for (int i = 0; i < 30 && cell_count_live_peers (cell) > 0; i++)
    world_run_for (world, 20000);
  CU_ASSERT_EQUAL (cell_count_live_peers (cell), 0);
  /* Its latest heartbeats still allow the renewal of leases.  */
  CU_ASSERT_TRUE (cell_is_heard_by (cell, owner));
  cell_on_start (cell, owner, &start);
  world_run_for (world, SECOND);
  cell_on_start (cell, owner, &start);
  cell_on_start (cell, owner + 2, &start);
  world_run_for (world, 100000);
  CU_ASSERT_EQUAL (world->starts, 0);
  cell_on_start (cell, cell->id, &start);
  world_run_for (world, 100000);
  CU_ASSERT_EQUAL (world->starts, 1);
  world_free (world);
}

/* Guards against a task that its owner starts a second time because of a
   message about an earlier lease: frames that a cut link delayed arrive after
   it has healed.  */
static void
test_late_frames_start_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      struct world *world = world_new (seed, 4, 12, 2);
      world->delay_cut_frames = true;
      world_run_for (world, SECOND);
      for (int i = 0; i < 60; i++)
        {
          (void)world_submit (world, i % 4, 3, 600000);
          if (i % 20 == 5)
            world_set_domain_cut (world, 0, true);
          if (i % 20 == 5 + (int)(seed % 12))
            world_set_domain_cut (world, 0, false);
          world_run_for (world, 100000);
        }
      world_set_domain_cut (world, 0, false);
      world_run_for (world, 5 * SECOND);
      check_violations (world, "late frames", seed);
      world_free (world);
    }
}

/* Guards against workers with two holders or none, and against lost jobs,
   after all instances have restarted.  */
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
          world_run_for (world, world_random_between (world, 0, 30000));
        }
      for (int i = 0; i < 20; i++)
        {
          world_resend_lost_jobs (world);
          (void)world_submit (world, i % 6, 3, 200000);
          world_run_for (world, 100000);
        }
      world_run_for (world, 3 * SECOND);
      CU_ASSERT_EQUAL (count_held (world), 24);
      CU_ASSERT_TRUE (world->complete >= 18);
      check_violations (world, "restart", seed);
      world_free (world);
    }
}

/* Guards against a hanging worker that gets one task after another and
   finishes none.  */
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
  /* The two tasks that fit on it may miss their deadlines.  */
  CU_ASSERT_TRUE (world->complete >= 48);
  check_violations (world, "hang", 8);
  world_free (world);
}

/* Guards against tasks that run twice because a worker carries out an order
   seconds after it got no answer.  */
static void
test_late_orders_run_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct world *world = world_new (seed, 4, 12, 2);
      world_run_for (world, SECOND);
      world->late_order_share = 0.1;
      for (int i = 0; i < 80; i++)
        {
          (void)world_submit (world, i % 4, 3, 200000);
          world_run_for (world, 60000);
        }
      world->late_order_share = 0;
      world_run_for (world, 14 * SECOND);
      check_violations (world, "late orders", seed);
      world_free (world);
    }
}

/* Guards against a task that runs twice: its owner treats the holder as lost
   for a moment and starts the task again, while the holder has not noticed and
   keeps the run.  */
static void
test_a_holder_lost_for_a_moment_keeps_its_runs (void)
{
  for (int64_t us = 480000; us <= 640000; us += 5000)
    {
      struct world *world = world_new (9, 2, 6, 2);
      world->delay_cut_frames = true;
      world_run_for (world, SECOND);
      (void)world_submit (world, 0, 12, 3500000);
      world_run_for (world, 100000);
      world_set_link_cut (world, 1, 0, true);
      world_run_for (world, us);
      world_set_link_cut (world, 1, 0, false);
      world_deliver_delayed_frames (world);
      world_run_for (world, 3 * SECOND);
      check_violations (world, "moment", (uint64_t)us);
      world_free (world);
    }
}

/* Guards against peers that are kept for ever after an instance at another
   address has replaced them.  */
static void
test_replaced_peers_are_forgotten (void)
{
  struct world *world = world_new (11, 4, 8, 2);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (cell_count_known_peers (world->instances[0].cell), 3);
  world_kill (world, 3, true);
  world_run_for (world, 10 * SECOND);
  CU_ASSERT_EQUAL (cell_count_known_peers (world->instances[0].cell), 3);
  world_run_for (world, 25 * SECOND);
  CU_ASSERT_EQUAL (cell_count_known_peers (world->instances[0].cell), 2);
  world_boot (world, 3);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (cell_count_live_peers (world->instances[0].cell), 3);
  world_free (world);
}

/* Guards against jobs that wait for ever at an instance that does not plan:
   two instances that don't hear each other choose different planners.  */
static void
test_instances_with_different_planners_still_plan (void)
{
  struct world *world = world_new (12, 3, 9, 3);
  world_set_link_cut (world, 0, 2, true);
  world_set_link_cut (world, 2, 0, true);
  world_run_for (world, 2 * SECOND);
  for (int i = 0; i < 3; i++)
    {
      struct world_job *job = world_submit (world, i, 4, 100000);
      world_run_for (world, 400000);
      CU_ASSERT_TRUE (job->answered);
      CU_ASSERT_EQUAL (job->code, PL_OK);
    }
  check_violations (world, "views", 12);
  world_free (world);
}

/* Guards against more tasks of a job on a worker than the job allows, and
   against tasks that wait for ever because of that bound, while planners and
   holders change.  */
static void
test_the_bound_per_worker_holds_while_planners_change (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      struct world *world = world_new (seed, 4, 8, 2);
      world_run_for (world, SECOND);
      world->per_worker = 1;
      for (int i = 0; i < 40; i++)
        {
          (void)world_submit (world, i % 4, 8, 150000);
          if (i % 10 == 5)
            world_kill (world, (i / 10) % 4, i % 20 == 5);
          if (i % 10 == 8)
            world_boot (world, (i / 10) % 4);
          world_resend_lost_jobs (world);
          world_run_for (world, 200000);
        }
      world_run_for (world, 5 * SECOND);
      CU_ASSERT_TRUE (world->complete >= 30);
      check_violations (world, "bound", seed);
      world_free (world);
    }
}

/* Guards against a storm while the planner is lost: a message to the planner
   went to all instances.  */
static void
test_nothing_is_sent_to_an_unknown_planner (void)
{
  struct world *world = world_new (23, 6, 24, 2);
  world_run_for (world, SECOND);
  struct cell *cell = world->instances[3].cell;
  cell->planner_id = 0;
  unsigned before = world->frames;
  owner_withdraw_requests (cell->jobs);
  cell_mark_all_reports_due (cell);
  cell_send_due_reports (cell);
  CU_ASSERT_EQUAL (world->frames, before);
  cell->membership_changed = true;
  struct world_job *job = world_submit (world, 3, 4, 100000);
  world_run_for (world, 500000);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  world_free (world);
}

static const struct soak_fleet small_fleet = { 6, 24, 4 };

/* Guards against tasks that run twice and workers above their capacity under
   random faults that overlap.  Runs SOAK_SEEDS seeds; PAPAYALOFT_SEEDS sets
   another number, PAPAYALOFT_SEED runs only that seed.  */
static void
test_soak (void)
{
  const char *only = getenv ("PAPAYALOFT_SEED");
  if (only != NULL)
    {
      soak (strtoull (only, NULL, 10), &small_fleet);
      return;
    }
  const char *count = getenv ("PAPAYALOFT_SEEDS");
  uint64_t last = count == NULL ? SOAK_SEEDS : strtoull (count, NULL, 10);
  for (uint64_t seed = 1; seed <= last; seed++)
    soak (seed, &small_fleet);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "every worker is held once", test_every_worker_is_held_once },
    { "a wide job uses all workers", test_a_wide_job_uses_all_workers },
    { "instances that start apart share soon",
      test_instances_that_start_apart_share_soon },
    { "a healed cut leaves workers where they are",
      test_a_healed_cut_leaves_workers_where_they_are },
    { "a probe is not reported to the planner",
      test_a_probe_is_not_reported_to_the_planner },
    { "workers of dead holders are taken across domains",
      test_workers_of_dead_holders_are_taken_across_domains },
    { "the planner has the most processor time",
      test_the_planner_has_the_most_processor_time },
    { "a suspected planner is replaced before it is lost",
      test_a_suspected_planner_is_replaced_before_it_is_lost },
    { "a cut-off draining instance serves",
      test_a_cut_off_draining_instance_serves },
    { "a yield ends a stale lease", test_a_yield_ends_a_stale_lease },
    { "a worker that a live peer gave up is taken soon",
      test_a_worker_that_a_live_peer_gave_up_is_taken_soon },
    { "a restarted peer is heard at once",
      test_a_restarted_peer_is_heard_at_once },
    { "jobs survive the death of a holder",
      test_jobs_survive_the_death_of_a_holder },
    { "a draining instance hands its workers over",
      test_a_draining_instance_hands_its_workers_over },
    { "a cut-off domain serves with its own workers",
      test_a_cut_off_domain_serves_with_its_own_workers },
    { "starts of an unheard owner are refused",
      test_starts_of_an_unheard_owner_are_refused },
    { "starts of a lost owner are refused",
      test_starts_of_a_lost_owner_are_refused },
    { "late frames start nothing twice",
      test_late_frames_start_nothing_twice },
    { "a restart of all recovers", test_a_restart_of_all_recovers },
    { "a hanging worker is left alone", test_a_hanging_worker_is_left_alone },
    { "late orders run nothing twice", test_late_orders_run_nothing_twice },
    { "a holder lost for a moment keeps its runs",
      test_a_holder_lost_for_a_moment_keeps_its_runs },
    { "replaced peers are forgotten", test_replaced_peers_are_forgotten },
    { "instances with different planners still plan",
      test_instances_with_different_planners_still_plan },
    { "the bound per worker holds while planners change",
      test_the_bound_per_worker_holds_while_planners_change },
    { "nothing is sent to an unknown planner",
      test_nothing_is_sent_to_an_unknown_planner },
    { "soak", test_soak },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_test", tests);
}
