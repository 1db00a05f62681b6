/* Overflow of jobs between failure domains (lib/cell, overflow.c), on the
   emulated deployment.  */
#include "cell_checks.h"
#include "cell_priv.h"

#define PER_DOMAIN 6 /* instances of a failure domain, and workers */
#define N_DOMAINS 3
#define N_SEEDS 10
#define JOB_DEADLINE_US 1500000
#define FLOOD_PERIOD_US 10000
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
kill_fronts (struct world *world, bool silent)
{
  for (int i = 1; i <= PER_DOMAIN / 2; i++)
    world_kill (world, i * N_DOMAINS, silent);
}

static void
kill_front (struct world *world)
{
  kill_fronts (world, false);
}

static void
kill_front_silently (struct world *world)
{
  kill_fronts (world, true);
}

/* Guards against runs at the lender that go on when the caller of a front that
   has died sends its job again.  */
static void
test_a_front_dies (void)
{
  static const struct disturbance deaths[]
      = { { "front killed", kill_front, NULL },
          { "front lost", kill_front_silently, NULL } };
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
freeze_front (struct world *world)
{
  world_set_frozen (world, N_DOMAINS, true);
}

static void
thaw_front (struct world *world)
{
  world_thaw (world, N_DOMAINS, false);
}

/* Guards against a paused lender that goes on with jobs that its fronts have
   given up, and against a paused front that renews such jobs.  */
static void
test_a_pause_of_either_side (void)
{
  static const struct disturbance pauses[]
      = { { "lender paused, timers first", freeze_lender, thaw_lender },
          { "lender paused", freeze_lender, thaw_lender_reading },
          { "front paused", freeze_front, thaw_front } };
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
