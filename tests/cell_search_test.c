/* Tests of searches for the jobs of callers at other instances (lib/cell,
   find.c), on the emulated deployment.  */
#include "cell_checks.h"
#include "cell_priv.h"

#define N_INSTANCES 6 /* two in each of three domains */
#define N_WORKERS 12

static struct world *
new_world (uint64_t seed)
{
  struct world *world = world_new (seed, N_INSTANCES, N_WORKERS, 3);
  world->job_deadline_us = 10 * SECOND;
  world_run_for (world, SECOND);
  return world;
}

/* Searches at INSTANCE for JOB and lets the answers come.  */
static enum cell_search_result
search (struct world *world, int instance, uint64_t job, bool cancel)
{
  memset (world->searches, 0, sizeof world->searches);
  enum cell_search_result result
      = cell_search_job (world->instances[instance].cell, job, cancel, world);
  world_process_queued (world, instance);
  world_run_for (world, 900000);
  for (unsigned i = CELL_SEARCH_FOUND; i <= CELL_SEARCH_KEPT; i++)
    if (world->searches[i] > 0)
      return (enum cell_search_result)i;
  return result;
}

/* Guards against a cancellation at another instance that is acknowledged and
   has no effect: tasks of the job went on starting.  Instance 3 is in the
   domain of the job's, instance 1 in another one.  */
static void
test_a_cancellation_elsewhere_takes_effect (void)
{
  static const int instances[] = { 3, 1 };
  for (size_t i = 0; i < G_N_ELEMENTS (instances); i++)
    {
      struct world *world = new_world (i + 1);
      struct world_job *job = world_submit (world, 0, 100, 300000);
      world_run_for (world, 500000);
      CU_ASSERT_EQUAL (search (world, instances[i], job->id, true),
                       CELL_SEARCH_FOUND);
      unsigned starts = world->starts;
      CU_ASSERT_TRUE (job->answered && job->code == PL_CANCELLED_RAN);
      world_run_for (world, 3 * SECOND);
      CU_ASSERT_EQUAL (world->starts, starts);
      check_violations (world, "cancelled", i + 1);
      world_free (world);
    }
}

/* Guards against a cancellation of a running job that is denied because its
   caller has moved to another failure domain (review/9): neither the planner
   nor the peers of that domain know the job, and its task started again.  */
static void
test_a_running_job_of_another_domain_is_found (void)
{
  for (int i = 0; i < 2; i++)
    {
      struct world *world = new_world (20);
      struct world_job *job = world_submit (world, 4, 4, 2 * SECOND);
      world_run_for (world, 500000);
      CU_ASSERT_EQUAL (world->starts, 4);
      bool cancel = i == 0;
      CU_ASSERT_EQUAL (search (world, 2, job->id, cancel), CELL_SEARCH_FOUND);
      CU_ASSERT_EQUAL (job->answered, cancel);
      CU_ASSERT_EQUAL (search (world, 2, job->id + 2, cancel),
                       CELL_SEARCH_NONE);
      world_run_for (world, 3 * SECOND);
      CU_ASSERT_EQUAL (world->starts, 4);
      world_free (world);
    }
}

/* Guards against a search that waits for its time limit because a peer that
   was asked has ended: the caller would get 503 for a job that nobody has.  */
static void
test_an_asked_peer_that_ends_has_answered (void)
{
  struct world *world = new_world (21);
  struct cell *cell = world->instances[2].cell;
  CU_ASSERT_EQUAL (cell_search_job (cell, 77, true, world),
                   CELL_SEARCH_PENDING);
  world_kill (world, 5, false);
  struct peer *peer = cell_find_peer_at (cell, world_addr (5));
  world_run_for (world, 2000);
  peer->refuses_connections = true;
  world_run_for (world, 250000);
  CU_ASSERT_EQUAL (world->searches[CELL_SEARCH_NONE], 1);
  world_free (world);
}

/* Guards against a request for the state of a job that ends it, or that denies
   a job which another instance has.  */
static void
test_a_state_request_elsewhere_finds_the_job (void)
{
  struct world *world = new_world (3);
  struct world_job *job = world_submit (world, 0, 8, 1000000);
  CU_ASSERT_EQUAL (search (world, 3, job->id, false), CELL_SEARCH_FOUND);
  CU_ASSERT_EQUAL (search (world, 3, job->id + 2, false), CELL_SEARCH_NONE);
  world_run_for (world, 3 * SECOND);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  world_free (world);
}

/* Guards against a job that is called unknown because its instance can't be
   reached: the caller would not ask again.  */
static void
test_an_owner_out_of_reach_is_not_denied (void)
{
  struct world *world = new_world (4);
  struct world_job *job = world_submit (world, 0, 100, 300000);
  world_run_for (world, 200000);
  set_silent (world, 0, true);
  CU_ASSERT_EQUAL (search (world, 3, job->id, true), CELL_SEARCH_OUT_OF_REACH);
  world_run_for (world, SECOND); /* the peer counts as lost */
  CU_ASSERT_EQUAL (search (world, 3, job->id, true), CELL_SEARCH_OUT_OF_REACH);
  CU_ASSERT_EQUAL (g_hash_table_size (world->instances[3].cell->searches), 0);
  world_free (world);
}

/* Submits a job to instance 4, which freezes and loses its registration while
   the tasks run.  */
static struct world_job *
submit_and_freeze (struct world *world)
{
  struct world_job *job = world_submit (world, 4, 4, 2 * SECOND);
  world_run_for (world, 300000);
  CU_ASSERT_EQUAL (world->starts, 4);
  world_set_frozen (world, 4, true);
  world_run_for (world, 1200000);
  world_set_registered (world, 4, false);
  return job;
}

/* Guards against a job that is denied while its instance is frozen and no
   longer registered (review/10), and against one that goes on when the
   instance wakes, although its cancelling was acknowledged and the instance
   that did so may have ended meanwhile.  */
static void
test_a_frozen_owner_is_not_denied (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      struct world *world = new_world (30 + i);
      const struct world_job *job = submit_and_freeze (world);
      CU_ASSERT_EQUAL (search (world, 2, job->id, false),
                       CELL_SEARCH_OUT_OF_REACH);
      CU_ASSERT_EQUAL (search (world, 2, job->id, true), CELL_SEARCH_KEPT);
      if (i == 1)
        world_kill (world, 2, false);
      world_run_for (world, SECOND); /* what was sent to it is out of date */
      world_thaw (world, 4, true);
      world_set_registered (world, 4, true);
      world_run_for (world, 500000);
      CU_ASSERT_TRUE (job->answered && job->code == PL_CANCELLED_RAN);
      unsigned starts = world->starts;
      world_run_for (world, 3 * SECOND);
      CU_ASSERT_EQUAL (world->starts, starts);
      check_violations (world, "frozen owner", 30 + i);
      world_free (world);
    }
}

/* Guards against a cancellation that is kept for a frozen instance and ends a
   job that was submitted later with the same id.  */
static void
test_a_later_job_of_the_same_id_is_not_cancelled (void)
{
  struct world *world = new_world (32);
  const struct world_job *job = submit_and_freeze (world);
  world_run_for (world, 2 * SECOND); /* its runs have ended */
  CU_ASSERT_EQUAL (search (world, 2, job->id, true), CELL_SEARCH_KEPT);
  (void)world_submit_job (world, 1, job->id, job->n_tasks, job->run_us);
  world_reset_link (world, 2, 1); /* it is told again what is kept */
  world_reset_link (world, 3, 1);
  world_run_for (world, 3 * SECOND);
  CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
  world_free (world);
}

/* Guards against a result for a caller that has gone.  */
static void
test_a_forgotten_search_has_no_result (void)
{
  struct world *world = new_world (5);
  struct cell *cell = world->instances[0].cell;
  CU_ASSERT_EQUAL (cell_search_job (cell, 77, true, world),
                   CELL_SEARCH_PENDING);
  cell_forget_search (cell, world);
  world_run_for (world, SECOND);
  for (unsigned i = 0; i <= CELL_SEARCH_OUT_OF_REACH; i++)
    CU_ASSERT_EQUAL (world->searches[i], 0);
  world_free (world);
}

static void
count_searches (struct world *world, GBytes *frame)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (frame, &len);
  Cellpb__Envelope *env = cellpb__envelope__unpack (NULL, len, data);
  *(unsigned *)world->user
      += env->body_case == CELLPB__ENVELOPE__BODY_FIND
         || env->body_case == CELLPB__ENVELOPE__BODY_FOUND;
  cellpb__envelope__free_unpacked (env, NULL);
}

/* Guards against a wave of cancellations that costs messages to the whole
   fleet.  Each asks one peer of its domain and the planner; the planner may
   pass it on.  */
static void
test_a_wave_of_cancellations_is_cheap (void)
{
  enum
  {
    JOBS = 24,
    MESSAGES_EACH = 5
  };
  struct world *world = new_world (6);
  struct world_job *jobs[JOBS];
  unsigned messages = 0;
  world->user = &messages;
  world->on_frame = count_searches;
  for (unsigned i = 0; i < JOBS; i++)
    jobs[i] = world_submit (world, (int)(i % N_INSTANCES), 2, 500000);
  world_run_for (world, 100000);
  unsigned cancelled = 0;
  for (unsigned i = 0; i < JOBS; i += 4)
    {
      if (jobs[i]->answered)
        continue;
      cancelled++;
      int elsewhere = (int)((i + 3) % N_INSTANCES);
      CU_ASSERT_EQUAL (cell_search_job (world->instances[elsewhere].cell,
                                        jobs[i]->id, true, world),
                       CELL_SEARCH_PENDING);
    }
  world_run_for (world, 500000);
  CU_ASSERT_TRUE (cancelled >= JOBS / 8);
  CU_ASSERT_EQUAL (world->searches[CELL_SEARCH_FOUND], cancelled);
  CU_ASSERT_TRUE (messages <= cancelled * MESSAGES_EACH);
  world_free (world);
}

/* A fleet whose heartbeats go by domain: six instances in each of four.  */
static struct world *
new_large_world (uint64_t seed)
{
  struct world *world = world_new (seed, 24, 48, 4);
  world->job_deadline_us = 10 * SECOND;
  world_run_for (world, 4 * SECOND);
  CU_ASSERT_TRUE (world->instances[0].cell->domain_only);
  return world;
}

/* Guards against a job of another domain that is denied in a large fleet,
   where its instances are no peers, also if the instance that was asked for
   that domain has frozen; against a slow 410; and against links that stay. */
static void
test_a_large_fleet_finds_a_job_of_another_domain (void)
{
  struct world *world = new_large_world (40);
  struct cell *cell = world->instances[2].cell;
  const struct world_job *job = world_submit (world, 5, 4, 3 * SECOND);
  world_run_for (world, 300000);
  CU_ASSERT_EQUAL (search (world, 2, job->id, false), CELL_SEARCH_FOUND);
  CU_ASSERT_EQUAL (g_hash_table_size (cell->remotes), 3);
  CU_ASSERT_EQUAL (cell_search_job (cell, job->id + 2, true, world),
                   CELL_SEARCH_PENDING);
  memset (world->searches, 0, sizeof world->searches);
  world_run_for (world, 60000);
  CU_ASSERT_EQUAL (world->searches[CELL_SEARCH_NONE], 1);
  struct pl_addr addr;
  CU_ASSERT_TRUE (
      cell_find_member (cell, world->instances[5].cell->domain, 0, &addr));
  int asked = world_instance_at (world, addr);
  CU_ASSERT_TRUE (asked != 5 && asked % 4 == 1);
  world_set_frozen (world, asked, true);
  CU_ASSERT_EQUAL (search (world, 2, job->id, true), CELL_SEARCH_FOUND);
  CU_ASSERT_TRUE (job->answered && job->code == PL_CANCELLED_RAN);
  world_run_for (world, 12 * SECOND);
  CU_ASSERT_EQUAL (g_hash_table_size (cell->remotes), 0);
  CU_ASSERT_EQUAL (g_hash_table_size (cell->searches), 0);
  world_free (world);
}

/* Guards against a job of another domain that is denied in a large fleet while
   its instance is frozen or its domain is cut off, and against one that goes
   on when the instance wakes.  */
static void
test_a_large_fleet_keeps_cancellations (void)
{
  struct world *world = new_large_world (41);
  const struct world_job *job = world_submit (world, 5, 4, 2 * SECOND);
  world_run_for (world, 300000);
  world_set_frozen (world, 5, true);
  world_run_for (world, 1200000);
  CU_ASSERT_EQUAL (search (world, 2, job->id, true), CELL_SEARCH_OUT_OF_REACH);
  world_set_registered (world, 5, false);
  CU_ASSERT_EQUAL (search (world, 2, job->id, false),
                   CELL_SEARCH_OUT_OF_REACH);
  CU_ASSERT_EQUAL (search (world, 2, job->id, true), CELL_SEARCH_KEPT);
  world_run_for (world, SECOND);
  world_thaw (world, 5, true);
  world_set_registered (world, 5, true);
  world_run_for (world, 500000);
  CU_ASSERT_TRUE (job->answered && job->code == PL_CANCELLED_RAN);
  CU_ASSERT_EQUAL (search (world, 2, 77, true), CELL_SEARCH_NONE);
  world_set_domain_cut (world, 1, true);
  CU_ASSERT_EQUAL (search (world, 2, 77, true), CELL_SEARCH_OUT_OF_REACH);
  for (int i = 1; i < 24; i += 4)
    world_set_registered (world, i, false);
  CU_ASSERT_EQUAL (search (world, 2, 77, true), CELL_SEARCH_OUT_OF_REACH);
  world_free (world);
}

/* Guards against a wave of cancellations that costs messages to the whole of
   a large fleet: only those from another domain may.  */
static void
test_a_wave_in_a_large_fleet_is_cheap (void)
{
  enum
  {
    JOBS = 48,
    OF_DOMAIN = 2 * 6 + 2,
    OF_FLEET = 2 * 24 + 2 * 3,
  };
  struct world *world = new_large_world (42);
  struct world_job *jobs[JOBS];
  for (int i = 0; i < JOBS; i++)
    jobs[i] = world_submit (world, i % 24, 1, SECOND);
  world_run_for (world, 200000);
  unsigned messages = 0;
  world->user = &messages;
  world->on_frame = count_searches;
  for (int far = 0; far < 2; far++)
    {
      messages = 0;
      memset (world->searches, 0, sizeof world->searches);
      for (int i = far; i < JOBS; i += 4)
        (void)cell_search_job (world->instances[(i + 4 + far) % 24].cell,
                               jobs[i]->id, true, world);
      world_run_for (world, 500000);
      CU_ASSERT_EQUAL (world->searches[CELL_SEARCH_FOUND], JOBS / 4);
      CU_ASSERT_TRUE (messages
                      <= JOBS / 4 * (far == 0 ? OF_DOMAIN : OF_FLEET));
      printf ("%u messages a search, 24 instances, job %s\n",
              messages / (JOBS / 4), far == 0 ? "near" : "elsewhere");
    }
  world_free (world);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a cancellation elsewhere takes effect",
      test_a_cancellation_elsewhere_takes_effect },
    { "a running job of another domain is found",
      test_a_running_job_of_another_domain_is_found },
    { "an asked peer that ends has answered",
      test_an_asked_peer_that_ends_has_answered },
    { "a state request elsewhere finds the job",
      test_a_state_request_elsewhere_finds_the_job },
    { "an owner out of reach is not denied",
      test_an_owner_out_of_reach_is_not_denied },
    { "a frozen owner is not denied", test_a_frozen_owner_is_not_denied },
    { "a later job of the same id is not cancelled",
      test_a_later_job_of_the_same_id_is_not_cancelled },
    { "a forgotten search has no result",
      test_a_forgotten_search_has_no_result },
    { "a wave of cancellations is cheap",
      test_a_wave_of_cancellations_is_cheap },
    { "a large fleet finds a job of another domain",
      test_a_large_fleet_finds_a_job_of_another_domain },
    { "a large fleet keeps cancellations",
      test_a_large_fleet_keeps_cancellations },
    { "a wave in a large fleet is cheap",
      test_a_wave_in_a_large_fleet_is_cheap },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_search_test", tests);
}
