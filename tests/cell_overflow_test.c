/* Overflow of jobs between failure domains (lib/cell, overflow.c), on the
   emulated deployment.  */
#include "cell_checks.h"
#include "cell_priv.h"

#define PER_DOMAIN 6 /* instances of a failure domain, and workers */
#define N_DOMAINS 3
#define N_SEEDS 10
#define JOB_DEADLINE_US 1500000
#define FLOOD_PERIOD_US ((int64_t)10000)
#define RUN_US 200000
/* In the tests of disturbances, so that leases expire during a run.  */
#define LONG_RUN_US 2500000
#define LONG_DEADLINE_US 8000000

static struct world *
new_fleet (uint64_t seed, int n_domains)
{
  int n = PER_DOMAIN * n_domains;
  struct world *world = world_new (seed, n, n, n_domains);
  world->job_deadline_us = JOB_DEADLINE_US;
  world_run_for (world, 4 * SECOND);
  return world;
}

/* Callers whose jobs may have run in part send them again, to another instance
   of any domain, as world_resend_lost_jobs does for ended instances.  */
static void
resend_unknown_jobs (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, world->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct world_job *job = value;
      bool unknown
          = job->answered
            && (job->code == PL_UNKNOWN_LOST || job->code == PL_DEADLINE_RAN)
            && job->attempts < 3;
      if (!unknown || world_now (world) - job->answered_us < WORLD_RESEND_US)
        continue;
      (void)world_submit_job (
          world, (int)world_random_between (world, 0, world->n_instances - 1),
          job->id, job->n_tasks, job->run_us);
    }
}

/* Many times the traffic that domain 0 can serve arrives there for US, and a
   job now and then in the others.  Returns the number of the latter.  */
static unsigned
flood (struct world *world, int64_t us, int64_t run_us, GPtrArray *others)
{
  unsigned n = 0;
  for (int64_t end_us = world_now (world) + us; world_now (world) < end_us;
       n++)
    {
      int instance = (int)world_random_between (world, 0, PER_DOMAIN - 1)
                     * world->n_domains;
      (void)world_submit (world, instance, 2, run_us);
      if (n % 10 == 0 && others != NULL)
        {
          struct world_job *job
              = world_submit (world, instance + 1, 2, run_us);
          if (job != NULL)
            g_ptr_array_add (others, job);
        }
      world_resend_lost_jobs (world);
      resend_unknown_jobs (world);
      world_run_for (world, FLOOD_PERIOD_US);
    }
  return n;
}

static void
settle_all (struct world *world)
{
  for (int i = 0; i < 120; i++)
    {
      world_resend_lost_jobs (world);
      resend_unknown_jobs (world);
      world_run_for (world, 100000);
    }
}

/* Guards against refusing jobs of a flooded domain while others have room, and
   against others' own jobs being refused for them.  */
static void
test_others_serve_a_flooded_domain (void)
{
  struct world *world = new_fleet (1, N_DOMAINS);
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  int64_t received = pl_counter (PL_CTR_OVERFLOW_RECEIVED_TOTAL);
  int64_t lost = pl_counter (PL_CTR_OVERFLOW_LOST_TOTAL);
  unsigned n = flood (world, 3 * SECOND, RUN_US, others);
  settle_all (world);
  received = pl_counter (PL_CTR_OVERFLOW_RECEIVED_TOTAL) - received;
  printf ("flooded domain: %u jobs, %u complete in all, %" PRId64
          " by other domains\n",
          n, world->complete, received);
  CU_ASSERT_TRUE (received > n / 10);
  for (guint i = 0; i < others->len; i++)
    CU_ASSERT_EQUAL (((struct world_job *)others->pdata[i])->code, PL_OK);
  CU_ASSERT_TRUE (all_answered (world));
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_OVERFLOW_LOST_TOTAL), lost);
  check_violations (world, "flooded", 1);
  world_free (world);
}

/* A disturbance of the fleet while domain 0 overflows.  */
struct disturbance
{
  const char *name;
  void (*begin) (struct world *world);
  void (*end) (struct world *world); /* 600 ms later; may be null */
};

static void
play (const struct disturbance *disturbance)
{
  for (uint64_t seed = 1; seed <= N_SEEDS; seed++)
    {
      struct world *world = new_fleet (seed, N_DOMAINS);
      world->job_deadline_us = LONG_DEADLINE_US;
      int64_t received = pl_counter (PL_CTR_OVERFLOW_RECEIVED_TOTAL);
      (void)flood (world, SECOND, LONG_RUN_US, NULL);
      CU_ASSERT_TRUE (pl_counter (PL_CTR_OVERFLOW_RECEIVED_TOTAL) > received);
      disturbance->begin (world);
      (void)flood (world, 600000, LONG_RUN_US, NULL);
      if (disturbance->end != NULL)
        disturbance->end (world);
      (void)flood (world, SECOND, LONG_RUN_US, NULL);
      settle_all (world);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, disturbance->name, seed);
      world_free (world);
    }
}

static void
cut_lender (struct world *world)
{
  world_set_domain_cut (world, 1, true);
}

static void
cut_lender_and_delay (struct world *world)
{
  world->delay_cut_frames = true;
  world_set_domain_cut (world, 1, true);
}

static void
heal_lender (struct world *world)
{
  world_set_domain_cut (world, 1, false);
}

/* Guards against a job that is called not run, or started again, after the
   link was cut behind its hand-over.  */
static void
test_a_cut_after_the_hand_over (void)
{
  static const struct disturbance cuts[]
      = { { "cut", cut_lender, heal_lender },
          { "cut, frames late", cut_lender_and_delay, heal_lender } };
  play (&cuts[0]);
  play (&cuts[1]);
}

/* Ends half of the instances of domain 0, without its planner.  */
static void
kill_origins (struct world *world, bool silent)
{
  for (int i = 1; i <= PER_DOMAIN / 2; i++)
    world_kill (world, i * N_DOMAINS, silent);
}

static void
kill_origin (struct world *world)
{
  kill_origins (world, false);
}

static void
kill_origin_silently (struct world *world)
{
  kill_origins (world, true);
}

/* Guards against runs at the lender that go on when the caller of an origin
   that has died sends its job again.  */
static void
test_a_origin_dies (void)
{
  static const struct disturbance deaths[]
      = { { "origin killed", kill_origin, NULL },
          { "origin lost", kill_origin_silently, NULL } };
  play (&deaths[0]);
  play (&deaths[1]);
}

static void
kill_lender (struct world *world)
{
  world_kill (world, 1, false);
}

static void
restart_lender (struct world *world)
{
  world_boot (world, 1);
}

/* Guards against jobs that nobody answers, or that run twice, when the lender
   dies or comes back as another process.  */
static void
test_a_lender_dies (void)
{
  static const struct disturbance deaths[]
      = { { "lender killed", kill_lender, NULL },
          { "lender restarted", kill_lender, restart_lender } };
  play (&deaths[0]);
  play (&deaths[1]);
}

static void
freeze_lender (struct world *world)
{
  world_set_frozen (world, 1, true);
}

static void
thaw_lender (struct world *world)
{
  world_thaw (world, 1, true);
}

static void
thaw_lender_reading (struct world *world)
{
  world_thaw (world, 1, false);
}

static void
freeze_origin (struct world *world)
{
  world_set_frozen (world, N_DOMAINS, true);
}

static void
thaw_origin (struct world *world)
{
  world_thaw (world, N_DOMAINS, false);
}

/* Guards against a paused lender that goes on with jobs that its origins have
   given up, and against a paused origin that renews such jobs.  */
static void
test_a_pause_of_either_side (void)
{
  static const struct disturbance pauses[]
      = { { "lender paused, timers first", freeze_lender, thaw_lender },
          { "lender paused", freeze_lender, thaw_lender_reading },
          { "origin paused", freeze_origin, thaw_origin } };
  for (size_t i = 0; i < G_N_ELEMENTS (pauses); i++)
    play (&pauses[i]);
}

/* Guards against refusing the jobs of an evacuated domain while others have
   room, and against lending the room of an evacuated one.  */
static void
test_an_evacuated_domain_overflows (void)
{
  struct world *world = new_fleet (5, N_DOMAINS);
  struct evac_entry entry = { .domain = cell_name_hash (pl_str ("a")),
                              .revision = 1,
                              .active = true };
  for (int i = 0; i < world->n_instances; i++)
    (void)cell_set_evacuation (world->instances[i].cell, &entry);
  world_run_for (world, SECOND);
  int64_t received = pl_counter (PL_CTR_OVERFLOW_RECEIVED_TOTAL);
  for (int i = 0; i < 100; i++)
    {
      (void)world_submit (world, i % PER_DOMAIN * N_DOMAINS, 2, 100000);
      world_run_for (world, 2 * FLOOD_PERIOD_US);
    }
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_TRUE (pl_counter (PL_CTR_OVERFLOW_RECEIVED_TOTAL)
                  >= received + 90);
  CU_ASSERT_TRUE (world->complete >= 90);
  check_violations (world, "evacuated", 5);
  /* The others are flooded: nothing is lent by the evacuated one.  */
  int64_t credits = 0;
  for (int i = 0; i < 300; i++)
    {
      (void)world_submit (world, 1, 2, RUN_US);
      (void)world_submit (world, 2, 2, RUN_US);
      world_run_for (world, FLOOD_PERIOD_US);
      if (i == 100)
        credits = pl_counter (PL_CTR_OVERFLOW_CREDITS_TOTAL);
    }
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_OVERFLOW_CREDITS_TOTAL), credits);
  check_violations (world, "evacuated", 5);
  world_free (world);
}

/* Counts the hand-overs of each job.  */
static void
count_forwards (struct world *world, GBytes *frame)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (frame, &len);
  Cellpb__Envelope *env = cellpb__envelope__unpack (NULL, len, data);
  if (env->body_case == CELLPB__ENVELOPE__BODY_FORWARD)
    {
      GHashTable *counts = world->user;
      uint64_t job = env->forward->job;
      unsigned n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, &job)) + 1;
      g_hash_table_insert (counts, g_memdup2 (&job, sizeof job),
                           GUINT_TO_POINTER (n));
    }
  cellpb__envelope__free_unpacked (env, NULL);
}

/* Guards against jobs that are passed on and on while several domains are
   short of workers.  */
static void
test_no_job_is_forwarded_twice (void)
{
  struct world *world = new_fleet (3, N_DOMAINS);
  g_autoptr (GHashTable) counts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  world->user = counts;
  world->on_frame = count_forwards;
  for (int i = 0; i < 200; i++)
    {
      for (int domain = 0; domain < N_DOMAINS; domain++)
        if (i % (domain + 1) == 0)
          (void)world_submit (world, domain + N_DOMAINS, 2, 200000);
      world_run_for (world, FLOOD_PERIOD_US);
    }
  world_run_for (world, 3 * SECOND);
  CU_ASSERT_TRUE (g_hash_table_size (counts) > 0);
  GHashTableIter it;
  gpointer n;
  g_hash_table_iter_init (&it, counts);
  while (g_hash_table_iter_next (&it, NULL, &n))
    CU_ASSERT_EQUAL (GPOINTER_TO_UINT (n), 1);
  check_violations (world, "circles", 3);
  world_free (world);
}

/* Guards against a job whose caller has left, or has cancelled it, and that
   goes on in another domain.  */
static void
test_a_withdrawn_job_ends (void)
{
  struct world *world = new_fleet (4, N_DOMAINS);
  (void)flood (world, SECOND, RUN_US, NULL);
  for (int i = 0; i < world->n_instances; i += N_DOMAINS)
    {
      struct owner_table *jobs = cell_jobs (world->instances[i].cell);
      GHashTableIter it;
      gpointer id;
      g_hash_table_iter_init (&it, world->jobs);
      while (g_hash_table_iter_next (&it, &id, NULL))
        {
          struct owner_job *job = owner_find_job (jobs, *(uint64_t *)id);
          if (job != NULL)
            owner_abort_job (jobs, job, PL_CANCELLED_RAN, i % 2 == 0);
        }
    }
  world_run_for (world, 100000);
  for (int i = 0; i < world->n_instances; i++)
    CU_ASSERT_EQUAL (owner_count_jobs (cell_jobs (world->instances[i].cell)),
                     0);
  world_free (world);
}

struct cost
{
  int64_t requests;
  int64_t bytes;
};

static struct cost
measure_cost (int n_domains)
{
  struct world *world = new_fleet (1, n_domains);
  (void)flood (world, SECOND, RUN_US, NULL);
  int64_t requests = pl_counter (PL_CTR_OVERFLOW_CREDIT_REQUESTS_TOTAL);
  int64_t bytes = pl_counter (PL_CTR_OVERFLOW_BYTES_TOTAL);
  (void)flood (world, SECOND, RUN_US, NULL);
  struct cost cost
      = { pl_counter (PL_CTR_OVERFLOW_CREDIT_REQUESTS_TOTAL) - requests,
          pl_counter (PL_CTR_OVERFLOW_BYTES_TOTAL) - bytes };
  printf ("%d domains, one flooded: %" PRId64 " requests and %" PRId64
          " bytes a second\n",
          n_domains, cost.requests, cost.bytes);
  world_free (world);
  return cost;
}

/* Guards against a cost that grows with the number of domains, and against any
   where there is one planner, or where no planner refuses.  */
static void
test_the_cost_is_bounded (void)
{
  static const int sizes[] = { 3, 6, 25 };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct cost cost = measure_cost (sizes[i]);
      CU_ASSERT_TRUE (cost.requests > 0 && cost.requests <= 82);
      CU_ASSERT_TRUE (cost.bytes < 60000);
    }
  int64_t bytes = pl_counter (PL_CTR_OVERFLOW_BYTES_TOTAL);
  struct world *small = world_new (1, 6, 6, 3);
  world_run_for (small, SECOND);
  (void)flood (small, SECOND, RUN_US, NULL);
  world_free (small);
  struct world *idle = new_fleet (1, N_DOMAINS);
  run_load (idle, SECOND, 2, 100000);
  world_free (idle);
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_OVERFLOW_BYTES_TOTAL), bytes);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "others serve a flooded domain", test_others_serve_a_flooded_domain },
    { "a cut after the hand-over", test_a_cut_after_the_hand_over },
    { "an origin dies", test_a_origin_dies },
    { "a lender dies", test_a_lender_dies },
    { "a pause of either side", test_a_pause_of_either_side },
    { "an evacuated domain overflows", test_an_evacuated_domain_overflows },
    { "no job is forwarded twice", test_no_job_is_forwarded_twice },
    { "a withdrawn job ends", test_a_withdrawn_job_ends },
    { "the cost is bounded", test_the_cost_is_bounded },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_overflow_test", tests);
}
