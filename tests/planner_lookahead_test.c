/* Tests of the planner's lookahead: reservations, tasks that start beside
   them, the work of a start, and loads with and without lookahead.
   planner_test.c plays its patterns with it, too, and with holders that don't
   tell when runs end.  */
#include "planner_load.h"
#include "test.h"

#include <stdio.h>

#define MS LOAD_MS

struct starts
{
  unsigned large;
  unsigned small;
};

#define LARGE_JOB 1000000 /* jobs from this number on are large */

static void
on_grant (void *ctx, const struct planner_request *request, uint32_t index,
          const struct planner_placement *placement)
{
  (void)index;
  (void)placement;
  struct starts *starts = ctx;
  if (request->job >= LARGE_JOB)
    starts->large++;
  else
    starts->small++;
}

static void
on_refuse (void *ctx, const struct planner_request *request,
           const struct planner_refusal *refusal)
{
  (void)ctx;
  (void)request;
  (void)refusal;
}

static struct planner_state *
start_planner (struct starts *starts)
{
  static const struct planner_ops ops
      = { .grant = on_grant, .refuse = on_refuse };
  struct planner_state *planner = planner_new (&ops, starts);
  planner_set_lookahead (planner, true, 0);
  return planner;
}

static void
put_job (struct planner_state *planner, uint64_t job, int32_t cpu,
         int64_t run_us, int64_t slack_us, int64_t now_us)
{
  static const uint32_t task = 0;
  struct planner_request request = {
    .job = job,
    .owner = 1,
    .service = 1,
    .domain = 1,
    .size = { cpu, 64, 0 },
    .arrival_us = now_us,
    .run_us = run_us,
    .objective_us = now_us + run_us + 2 * slack_us,
    .late_us = now_us + 3 * (run_us + 2 * slack_us),
    .deadline_us = now_us + 4 * (run_us + 2 * slack_us),
    .n_tasks = 1,
    .n_waiting = 1,
    .waiting = &task,
  };
  planner_put_request (planner, &request);
}

/* Reports a worker of 16 cores with N runs of 8 cores, which have begun at 0
   and are expected to take EXPECT_US; null: the holder doesn't tell.  */
static void
report (struct planner_state *planner, uint64_t worker, unsigned n,
        const int64_t *expect_us, int64_t now_us)
{
  struct planner_run runs[2] = { 0 };
  struct planner_worker_report report = {
    .worker = worker,
    .holder = 1,
    .service = 1,
    .domain = 1,
    .capacity = { 16000, 131072, 0 },
    .used = { 8000 * (int32_t)n, 64 * (int32_t)n, 0 },
    .usable = true,
    .slowness = 100,
    .runs = { 1, 2 },
    .n_runs = n,
    .details = expect_us == NULL ? NULL : runs,
  };
  for (unsigned i = 0; expect_us != NULL && i < n; i++)
    runs[i] = (struct planner_run){ 0, expect_us[i], { 8000, 64, 0 } };
  planner_update_worker (planner, &report, now_us);
}

/* Guards against a large task that waits without end while small ones take
   each gap: 8 cores are free and 8 more in 100 ms, and a task of 14 cores is
   to start then.  A small task may start now only if it ends before, or fits
   beside the large one.  */
static void
test_small_tasks_leave_a_reserved_start (void)
{
  static const int64_t expect_us[] = { 100 * LOAD_MS };
  struct starts starts = { 0 };
  struct planner_state *planner = start_planner (&starts);
  report (planner, 1, 1, expect_us, 0);
  put_job (planner, LARGE_JOB, 14000, 200 * MS, 300 * MS, 0);
  put_job (planner, 1, 6000, 150 * MS, 900 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (starts.small + starts.large, 0);
  put_job (planner, 2, 6000, 90 * MS, 900 * MS, 0);
  put_job (planner, 3, 2000, 900 * MS, 900 * MS, 0);
  planner_schedule (planner, MS);
  CU_ASSERT_EQUAL (starts.small, 2);
  report (planner, 1, 0, NULL, 100 * MS);
  planner_release_grant (planner, 1, 0, planner_task_tag (2, 0));
  planner_schedule (planner, 100 * MS);
  CU_ASSERT_EQUAL (starts.large, 1);
  planner_free (planner);
}

/* Guards against room that is held for a job which can't use it: its start
   there would be too late, or it is refused in the same pass because of the
   work queued before it.  */
static void
test_room_is_held_only_for_jobs_that_can_use_it (void)
{
  static const int64_t expect_us[] = { 100 * LOAD_MS, 400 * LOAD_MS };
  struct starts starts = { 0 };
  struct planner_state *planner = start_planner (&starts);
  report (planner, 1, 1, &expect_us[1], 0);
  put_job (planner, LARGE_JOB, 14000, 10 * MS, 50 * MS, 0);
  put_job (planner, 1, 6000, 900 * MS, 900 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (starts.small, 1);
  planner_free (planner);
  planner = start_planner (&starts);
  report (planner, 1, 1, expect_us, 0);
  put_job (planner, 2, 9000, 500 * MS, 100 * MS, 0);
  put_job (planner, LARGE_JOB, 15000, 300 * MS, 200 * MS, 0);
  put_job (planner, 3, 6000, 900 * MS, 900 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (planner_find_owner (planner, LARGE_JOB), 0);
  CU_ASSERT_EQUAL (starts.small, 2);
  planner_free (planner);
}

/* Guards against an expected end in the past, and against a run with a wrong
   estimate that is expected to end at once for as long as it lasts.  */
static void
test_overdue_runs_are_expected_to_go_on (void)
{
  struct planner_run run = { 0, 100 * LOAD_MS, { 8000, 64, 0 } };
  CU_ASSERT_EQUAL (planner_run_end_us (&run, 50 * MS), 100 * MS);
  CU_ASSERT (planner_run_end_us (&run, 100 * MS) > 100 * MS);
  CU_ASSERT (planner_run_end_us (&run, 700 * MS) >= 800 * MS);
  CU_ASSERT (planner_run_end_us (&run, 100000 * MS) <= 101000 * MS);
  run.expect_us = 0;
  CU_ASSERT_EQUAL (planner_run_end_us (&run, 50 * MS), INT64_MAX);
}

/* Looks at workers for each of 100 starts on N workers, half of them full.  */
static int64_t
looks_a_start (uint64_t n)
{
  struct starts starts = { 0 };
  struct planner_state *planner = start_planner (&starts);
  for (uint64_t worker = 1; worker <= n; worker++)
    report (planner, worker, worker % 2 == 0 ? 2 : worker % 3 == 0, NULL, 0);
  int64_t looks = pl_counter (PL_CTR_PLANNER_LOOKS_TOTAL);
  for (uint64_t job = 1; job <= 100; job++)
    {
      put_job (planner, job, 3000, 10 * MS, 900 * MS, 0);
      planner_schedule (planner, 0);
      planner_remove_job (planner, job, 1);
    }
  CU_ASSERT (starts.small >= 50);
  planner_free (planner);
  return (pl_counter (PL_CTR_PLANNER_LOOKS_TOTAL) - looks) / 100;
}

/* Guards against a start that looks at each worker of the fleet: 40 times the
   workers may double the looks.  */
static void
test_a_start_looks_at_few_workers (void)
{
  int64_t looks = looks_a_start (50);
  printf ("looks a start: %d at 50, %d at 350, %d at 2000 workers\n",
          (int)looks, (int)looks_a_start (350), (int)looks_a_start (2000));
  CU_ASSERT (looks_a_start (350) <= 2 * looks);
  CU_ASSERT (looks_a_start (2000) <= 2 * looks);
}

/* Adds up ten seeds of SCENARIO under POLICY: all, large, then the kinds.  */
static void
run_seeds (struct load_scenario scenario, const struct planner_policy *policy,
           struct load_tally sums[2 + LOAD_KINDS])
{
  for (scenario.seed = 1; scenario.seed <= 10; scenario.seed++)
    {
      struct load_result r = load_run_scenario (&scenario, policy);
      const struct load_tally *parts[]
          = { &r.all, &r.large, &r.kinds[0], &r.kinds[1], &r.kinds[2] };
      for (unsigned i = 0; i < 2 + LOAD_KINDS; i++)
        {
          sums[i].credit_offered += parts[i]->credit_offered;
          sums[i].credit_earned += parts[i]->credit_earned;
        }
    }
}

/* Guards against a lookahead that helps large jobs at the cost of the others:
   over mixed sizes, bursts, estimates off by 0.4 to 3 times and tails of 7
   times, the whole earns no less, the large jobs more, and the others lose
   less than 5%.  */
static void
test_large_jobs_gain_and_none_lose (void)
{
  static const struct load_burst bursts[] = {
    { 1, 2.4, 2, 8 },
    { 2, 1.9, 2, 8 },
    { -1, 1.8, 14, 18 },
  };
  static const struct load_scenario scenarios[] = {
    { .seconds = 12, .rate = 1.3 },
    { .seconds = 12, .rate = 2 },
    { .seconds = 12, .rate = 1.2, .declared_spread = 1, .tail_share = 0.03 },
    { .seconds = 20,
      .rate = 0.85,
      .declared_spread = 1,
      .tail_share = 0.03,
      .bursts = bursts,
      .n_bursts = G_N_ELEMENTS (bursts) },
  };
  static const char *const names[] = { "1.3", "2", "tails", "bursts" };
  double earned[2] = { 0 };
  for (unsigned i = 0; i < G_N_ELEMENTS (scenarios); i++)
    {
      struct load_tally former[2 + LOAD_KINDS] = { 0 };
      struct load_tally ahead[2 + LOAD_KINDS] = { 0 };
      run_seeds (scenarios[i], &planner_policy_default, former);
      run_seeds (scenarios[i], &planner_policy_lookahead, ahead);
      printf ("%s: credit of all, large, kinds; former and ahead:\n",
              names[i]);
      for (unsigned part = 0; part < 2 + LOAD_KINDS; part++)
        {
          double was = load_credit_share (&former[part]);
          double is = load_credit_share (&ahead[part]);
          printf ("  %.4f %.4f\n", was, is);
          CU_ASSERT (is >= (part == 1 ? was : 0.95 * was));
        }
      earned[0] += former[0].credit_earned;
      earned[1] += ahead[0].credit_earned;
    }
  CU_ASSERT (earned[1] >= earned[0]);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "small tasks leave a reserved start",
      test_small_tasks_leave_a_reserved_start },
    { "room is held only for jobs that can use it",
      test_room_is_held_only_for_jobs_that_can_use_it },
    { "overdue runs are expected to go on",
      test_overdue_runs_are_expected_to_go_on },
    { "a start looks at few workers", test_a_start_looks_at_few_workers },
    { "large jobs gain and none lose", test_large_jobs_gain_and_none_lose },
    CU_TEST_INFO_NULL,
  };
  return test_run ("planner_lookahead_test", tests);
}
