/* Tests of lib/sched: order, fairness between teams, cost, estimates,
   admission and retries.  */
#include "plsched.h"
#include "test.h"

#include <math.h>

#define MANY_TASKS 20000

struct fixture
{
  struct pl_manual_clock clock;
  struct sched *sched;
};

struct test_job
{
  struct sched_job job;
  struct sched_task task;
};

static void
fixture_init (struct fixture *f, const char *policy)
{
  pl_manual_clock_init (&f->clock, 1000000000);
  struct sched_opts opts = { .clock = &f->clock.base,
                             .policy = policy,
                             .queue_tasks = MANY_TASKS,
                             .max_wait_us = 2000000,
                             .retry_percent = 10,
                             .retry_min_per_s = 3 };
  f->sched = sched_new (&opts);
}

/* Queues a job of one task.  */
static void
add_job (struct fixture *f, struct test_job *test_job, const char *team,
         int64_t size_us)
{
  *test_job = (struct test_job){ .task.size_us = size_us };
  test_job->job.arrival_us = f->clock.now_us;
  test_job->job.ideal_us = size_us;
  test_job->job.work_us = size_us;
  test_job->job.team = sched_set_team (f->sched, team, 1, 0);
  struct sched_task *tasks[] = { &test_job->task };
  sched_add (f->sched, &test_job->job, tasks, 1);
  sched_mark_ready (f->sched, &test_job->job);
}

static struct sched_task *
take_task (struct fixture *f)
{
  struct sched_task *task = sched_peek (f->sched);
  if (task != NULL)
    sched_take (f->sched, task);
  return task;
}

static void
free_all (struct fixture *f, struct test_job *test_jobs, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    sched_drop (f->sched, &test_jobs[i].job);
  CU_ASSERT_EQUAL (sched_queued (f->sched), 0);
  CU_ASSERT_EQUAL (sched_runnable (f->sched), 0);
  sched_free (f->sched);
}

/* Guards against the wrong policy: fifo starts the first job, slowdown the
   short one.  */
static void
test_orders (void)
{
  struct fixture f;
  struct test_job jobs[2];
  fixture_init (&f, "fifo");
  add_job (&f, &jobs[0], "a", 900000);
  add_job (&f, &jobs[1], "a", 1000);
  CU_ASSERT_PTR_EQUAL (take_task (&f), &jobs[0].task);
  free_all (&f, jobs, 2);
  fixture_init (&f, "slowdown");
  add_job (&f, &jobs[0], "a", 900000);
  add_job (&f, &jobs[1], "a", 1000);
  CU_ASSERT_PTR_EQUAL (take_task (&f), &jobs[1].task);
  free_all (&f, jobs, 2);
}

/* Guards against a long job that starves behind short ones.  */
static void
test_ageing (void)
{
  struct fixture f;
  static struct test_job jobs[1001];
  fixture_init (&f, "slowdown");
  add_job (&f, &jobs[1000], "a", 1000000);
  unsigned served = 0;
  for (; served < 1000; served++)
    {
      add_job (&f, &jobs[served], "a", 50000);
      if (take_task (&f) == &jobs[1000].task)
        break;
      pl_manual_clock_advance (&f.clock, 50000);
    }
  CU_ASSERT (served > 10);
  CU_ASSERT (served < 100);
  free_all (&f, jobs, served + 1);
}

/* Guards against a team that starves when another one submits many jobs.  */
static void
test_flooding_team (void)
{
  struct fixture f;
  static struct test_job flood[2000];
  static struct test_job few[20];
  fixture_init (&f, "slowdown");
  for (unsigned i = 0; i < 2000; i++)
    add_job (&f, &flood[i], "flood", 100000);
  for (unsigned i = 0; i < 1000; i++)
    take_task (&f);
  for (unsigned i = 0; i < 20; i++)
    add_job (&f, &few[i], "few", 100000);
  unsigned few_served = 0;
  for (unsigned i = 0; i < 42; i++)
    few_served += take_task (&f)->job->team->name[1] == 'e';
  CU_ASSERT_EQUAL (few_served, 20);
  for (unsigned i = 0; i < 20; i++)
    sched_drop (f.sched, &few[i].job);
  free_all (&f, flood, 2000);
}

/* Guards against shares that ignore the weights of teams or the sizes of their
   tasks.  */
static void
test_team_weights (void)
{
  struct fixture f;
  static struct test_job heavy[100];
  static struct test_job light[100];
  fixture_init (&f, "slowdown");
  for (unsigned i = 0; i < 100; i++)
    {
      add_job (&f, &heavy[i], "heavy", 200000);
      add_job (&f, &light[i], "light", 100000);
    }
  sched_set_team (f.sched, "heavy", 6, 0);
  sched_set_team (f.sched, "light", 1, 0);
  unsigned n = 0;
  for (unsigned i = 0; i < 80; i++)
    n += take_task (&f)->job->team->name[0] == 'h';
  /* Weights 6 to 1, sizes 2 to 1: three heavy tasks for each light one.  */
  CU_ASSERT (n >= 59 && n <= 61);
  for (unsigned i = 0; i < 100; i++)
    sched_drop (f.sched, &light[i].job);
  free_all (&f, heavy, 100);
}

/* Time to start and end a task with N tasks queued, in us.  */
static double
cost_us (unsigned n)
{
  struct fixture f;
  g_autofree struct test_job *jobs = g_new (struct test_job, n);
  char team[8];
  fixture_init (&f, "slowdown");
  for (unsigned i = 0; i < n; i++)
    {
      g_snprintf (team, sizeof team, "t%u", i % 650);
      add_job (&f, &jobs[i], team, 1000 + i % 977);
    }
  int64_t start = g_get_monotonic_time ();
  for (unsigned i = 0; i < n; i++)
    sched_task_ended (f.sched, take_task (&f)->job->team);
  int64_t spent = g_get_monotonic_time () - start;
  free_all (&f, jobs, n);
  return (double)spent / n;
}

/* Guards against a cost that grows with the queue: 50 times the tasks must not
   cost 50 times as much each.  */
static void
test_cost (void)
{
  /* A time below 1 us depends on the clock and on other programs.  */
  double small = MAX (cost_us (400), 1);
  double large = cost_us (MANY_TASKS);
  printf ("cost a task: %.2f us at 400, %.2f us at %d queued\n", small, large,
          MANY_TASKS);
  CU_ASSERT (large < 20 * small);
}

/* Guards against a skipped job that stays first, or that is lost, and against
   a requeued task that has lost its place.  */
static void
test_skip_and_requeue (void)
{
  struct fixture f;
  struct test_job jobs[2];
  fixture_init (&f, "fifo");
  add_job (&f, &jobs[0], "a", 1000);
  add_job (&f, &jobs[1], "a", 1000);
  sched_skip (f.sched, &jobs[0].task);
  CU_ASSERT_PTR_EQUAL (take_task (&f), &jobs[1].task);
  sched_unskip (f.sched);
  CU_ASSERT_PTR_EQUAL (take_task (&f), &jobs[0].task);
  sched_task_ended (f.sched, jobs[0].job.team);
  sched_requeue (f.sched, &jobs[0].task);
  CU_ASSERT_PTR_EQUAL (sched_peek (f.sched), &jobs[0].task);
  sched_skip (f.sched, &jobs[0].task);
  free_all (&f, jobs, 2);
}

/* Guards against estimates that trust declarations more than run times, and
   that count as reliable without recent samples.  */
static void
test_sizes (void)
{
  struct pl_manual_clock clock;
  pl_manual_clock_init (&clock, 1);
  struct sched_sizes *sizes = sched_sizes_new (&clock.base);
  bool reliable;
  CU_ASSERT_EQUAL (sched_sizes_get (sizes, "s", "k", "t", 7000, &reliable),
                   7000);
  CU_ASSERT_FALSE (reliable);
  for (int i = 0; i < SCHED_MIN_SAMPLES; i++)
    sched_sizes_learn (sizes, "s", "k", "t", 0, 100000);
  CU_ASSERT_EQUAL (sched_sizes_get (sizes, "s", "k", "t", 7000, &reliable),
                   100000);
  CU_ASSERT (reliable);
  /* Another team's declaration is bounded by the kind's median.  */
  CU_ASSERT_EQUAL (sched_sizes_get (sizes, "s", "k", "u", 9000000, &reliable),
                   1000000);
  CU_ASSERT_FALSE (reliable);
  pl_manual_clock_advance (&clock, 6000000);
  sched_sizes_get (sizes, "s", "k", "t", 0, &reliable);
  CU_ASSERT_FALSE (reliable);
  sched_sizes_free (sizes);
}

/* Adds N run times around 100 ms, with declared ones that are 10 times as
   long.  If a declaration is X times the usual one, the run time is X to the
   power of SLOPE times the usual one.  */
static struct sched_sizes *
learn_declared (struct pl_clock *clock, double slope, unsigned n)
{
  struct sched_sizes *sizes = sched_sizes_new (clock);
  for (unsigned i = 0; i < n; i++)
    {
      double factor = i % 2 == 0 ? 2 : 0.5;
      sched_sizes_learn (sizes, "s", "k", "t", (int64_t)(1000000 * factor),
                         (int64_t)(100000 * pow (factor, slope)));
    }
  return sizes;
}

static int64_t
estimate (struct sched_sizes *sizes, int64_t declared_us)
{
  return sched_sizes_get (sizes, "s", "k", "t", declared_us, NULL);
}

/* Guards against estimates that ignore declared sizes, so that long jobs start
   too late, and against ones that trust declarations that predict nothing.  */
static void
test_declared_sizes (void)
{
  struct pl_manual_clock clock;
  pl_manual_clock_init (&clock, 1);
  struct sched_sizes *right = learn_declared (&clock.base, 1, 128);
  int64_t usual_us = estimate (right, 0);
  int64_t twice_us = estimate (right, 2000000);
  CU_ASSERT (twice_us > usual_us * 19 / 10 && twice_us < usual_us * 21 / 10);
  int64_t half_us = estimate (right, 500000);
  CU_ASSERT (half_us > usual_us * 4 / 10 && half_us < usual_us * 6 / 10);
  sched_sizes_free (right);
  struct sched_sizes *partly = learn_declared (&clock.base, 0.5, 128);
  usual_us = estimate (partly, 0);
  twice_us = estimate (partly, 2000000);
  CU_ASSERT (twice_us > usual_us * 13 / 10 && twice_us < usual_us * 15 / 10);
  sched_sizes_free (partly);
  struct sched_sizes *useless = learn_declared (&clock.base, 0, 128);
  CU_ASSERT_EQUAL (estimate (useless, 9000000), estimate (useless, 0));
  sched_sizes_free (useless);
  struct sched_sizes *few = learn_declared (&clock.base, 1, SCHED_MIN_SAMPLES);
  CU_ASSERT_EQUAL (estimate (few, 9000000), estimate (few, 0));
  sched_sizes_free (few);
}

static enum pl_code
admit (struct fixture *f, const char *team, unsigned quota,
       int64_t deadline_us, unsigned tasks)
{
  struct sched_job job = { .arrival_us = f->clock.now_us,
                           .ideal_us = 100000,
                           .work_us = 100000 };
  job.team = sched_set_team (f->sched, team, 1, quota);
  int64_t retry_ms;
  int64_t wait_us;
  enum pl_code code
      = sched_admit (f->sched, &job, tasks, f->clock.now_us + deadline_us, 2,
                     2, true, &retry_ms, &wait_us);
  CU_ASSERT ((code == PL_OK) == (retry_ms == 0));
  return code;
}

/* Guards against jobs that are admitted although they can't end in time, and
   against the refusal of a team that has no queue.  */
static void
test_admission (void)
{
  struct fixture f;
  struct test_job jobs[50];
  fixture_init (&f, "slowdown");
  CU_ASSERT_EQUAL (admit (&f, "a", 1, 100000, 1), PL_OK);
  CU_ASSERT_EQUAL (admit (&f, "a", 1, 99999, 1), PL_DEADLINE_LOST);
  CU_ASSERT_EQUAL (admit (&f, "a", 1, 100000, MANY_TASKS + 1), PL_OVERLOADED);
  for (int i = 0; i < 50; i++)
    add_job (&f, &jobs[i], "a", 100000);
  CU_ASSERT_EQUAL (admit (&f, "a", 0, 2500000, 1), PL_DEADLINE_LOST);
  CU_ASSERT_EQUAL (admit (&f, "a", 0, 60000000, 1), PL_OVERLOADED);
  CU_ASSERT_EQUAL (admit (&f, "b", 0, 200000, 1), PL_OK);
  sched_drop (f.sched, &jobs[49].job);
  add_job (&f, &jobs[49], "b", 100000);
  CU_ASSERT_EQUAL (admit (&f, "a", 10, 60000000, 1), PL_QUOTA);
  free_all (&f, jobs, 50);
}

#define LARGE_JOB_TASKS 377 /* tasks of the largest job */

/* The result of the admission of a job of N tasks of SIZE_US.  */
static enum pl_code
admit_job (struct fixture *f, const char *team, int64_t size_us, unsigned n,
           unsigned slots, int64_t *wait_us)
{
  struct sched_job job = { .arrival_us = f->clock.now_us,
                           .ideal_us = size_us,
                           .work_us = size_us * n,
                           .team = sched_set_team (f->sched, team, 2, 0) };
  int64_t retry_ms;
  return sched_admit (f->sched, &job, n, f->clock.now_us + 30000000, slots,
                      2 * slots, true, &retry_ms, wait_us);
}

/* Queues JOB with N equal tasks, which are kept in TASKS.  It is not ready. */
static void
add_large_job (struct fixture *f, struct sched_job *job,
               struct sched_task *tasks, const char *team, int64_t size_us,
               unsigned n)
{
  g_autofree struct sched_task **list = g_new (struct sched_task *, n);
  *job = (struct sched_job){ .arrival_us = f->clock.now_us,
                             .ideal_us = size_us,
                             .work_us = size_us * n,
                             .team = sched_set_team (f->sched, team, 2, 0) };
  for (unsigned i = 0; i < n; i++)
    {
      tasks[i] = (struct sched_task){ .size_us = size_us };
      list[i] = &tasks[i];
    }
  sched_add (f->sched, job, list, n);
}

/* Guards against the refusal of small jobs of a team that has just queued one
   of the largest jobs.  The order puts small jobs first, so that they don't
   wait for it.  Load: 377 tasks of 450 ms on 52 slots, then jobs of 8 tasks,
   as bench-regress has them at half load beside a build.  */
static void
test_admission_behind_large_job (void)
{
  struct fixture f;
  struct sched_job large[2];
  g_autofree struct sched_task *tasks
      = g_new (struct sched_task, (gsize)2 * LARGE_JOB_TASKS);
  int64_t wait_us;
  fixture_init (&f, "slowdown");
  add_large_job (&f, &large[0], tasks, "studio", 450000, LARGE_JOB_TASKS);
  /* The large job counts the same before and after its permit.  */
  CU_ASSERT_EQUAL (admit_job (&f, "studio", 250000, 8, 52, &wait_us), PL_OK);
  CU_ASSERT_EQUAL (wait_us, 0);
  sched_mark_ready (f.sched, &large[0]);
  CU_ASSERT_EQUAL (admit_job (&f, "studio", 250000, 8, 52, &wait_us), PL_OK);
  CU_ASSERT_EQUAL (wait_us, 0);
  /* A job that comes after the large ones in the order waits for them.  */
  add_large_job (&f, &large[1], tasks + LARGE_JOB_TASKS, "studio", 450000,
                 LARGE_JOB_TASKS);
  sched_mark_ready (f.sched, &large[1]);
  CU_ASSERT_EQUAL (
      admit_job (&f, "studio", 450000, LARGE_JOB_TASKS, 52, &wait_us),
      PL_OVERLOADED);
  CU_ASSERT_EQUAL (wait_us, 2LL * LARGE_JOB_TASKS * 450000 / 52);
  /* So does a small job that arrives when the large ones have waited long.  */
  pl_manual_clock_advance (&f.clock, 20000000);
  CU_ASSERT_EQUAL (admit_job (&f, "studio", 250000, 8, 52, &wait_us),
                   PL_OVERLOADED);
  sched_drop (f.sched, &large[0]);
  sched_drop (f.sched, &large[1]);
  CU_ASSERT_EQUAL (admit_job (&f, "studio", 250000, 8, 52, &wait_us), PL_OK);
  sched_free (f.sched);
}

/* Guards against retries beyond the fixed rate and the part of the starts.  */
static void
test_retry_budget (void)
{
  struct fixture f;
  fixture_init (&f, "fifo");
  for (int i = 0; i < 3; i++)
    CU_ASSERT (sched_use_retry (f.sched));
  CU_ASSERT_FALSE (sched_use_retry (f.sched));
  for (int i = 0; i < 11; i++)
    sched_count_start (f.sched);
  CU_ASSERT (sched_use_retry (f.sched));
  CU_ASSERT_FALSE (sched_use_retry (f.sched));
  pl_manual_clock_advance (&f.clock, 400000);
  CU_ASSERT (sched_use_retry (f.sched));
  sched_free (f.sched);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "orders", test_orders },
    { "ageing", test_ageing },
    { "flooding team", test_flooding_team },
    { "team weights", test_team_weights },
    { "cost", test_cost },
    { "skip and requeue", test_skip_and_requeue },
    { "sizes", test_sizes },
    { "declared sizes", test_declared_sizes },
    { "admission", test_admission },
    { "admission behind a large job", test_admission_behind_large_job },
    { "retry budget", test_retry_budget },
    CU_TEST_INFO_NULL,
  };
  return test_run ("sched", tests);
}
