/* Tests of lib/planner: each replays a pattern of load on explicit times.  */
#include "planner_load.h"
#include "test.h"

#define MS ((int64_t)1000)
#define MAX_GRANTS 256

struct sink
{
  uint64_t jobs[MAX_GRANTS];
  uint64_t workers[MAX_GRANTS];
  uint32_t indexes[MAX_GRANTS];
  unsigned grants;
  uint64_t refused[MAX_GRANTS];
  int retry_after_ms[MAX_GRANTS];
  unsigned refusals;
};

static void
on_grant (void *ctx, const struct planner_request *want, uint32_t index,
          const struct planner_placement *placing)
{
  struct sink *sink = ctx;
  sink->jobs[sink->grants] = want->job;
  sink->indexes[sink->grants] = index;
  sink->workers[sink->grants++] = placing->report->worker;
}

static void
on_refuse (void *ctx, const struct planner_request *want,
           const struct planner_refusal *refusal)
{
  struct sink *sink = ctx;
  sink->retry_after_ms[sink->refusals] = refusal->retry_after_ms;
  sink->refused[sink->refusals++] = want->job;
}

static const struct planner_ops ops
    = { .grant = on_grant, .refuse = on_refuse };

/* A usable worker of usual speed.  */
static struct planner_worker_report
room_of (uint64_t worker, int32_t cpu, int32_t used)
{
  return (struct planner_worker_report){
    .worker = worker,
    .holder = 1,
    .service = 1,
    .domain = 1,
    .capacity = { cpu, 131072, 0 },
    .used = { used, 0, 0 },
    .usable = true,
    .slowness = 100,
  };
}

static void
report (struct planner_state *plan, uint64_t worker, int32_t cpu, int32_t used)
{
  struct planner_worker_report room = room_of (worker, cpu, used);
  planner_update_worker (plan, &room, 0);
}

/* A request for all N tasks of a job.  */
static struct planner_request
want_of (uint64_t job, unsigned n, int32_t cpu, int64_t run_us, int64_t now_us)
{
  static const uint32_t tasks[] = { 0, 1, 2, 3, 4, 5, 6, 7 };
  g_assert (n <= G_N_ELEMENTS (tasks));
  int64_t objective_us = run_us * 16 / 10 + 60 * MS;
  return (struct planner_request){
    .job = job,
    .owner = 7,
    .service = 1,
    .domain = 1,
    .size = { cpu, 64, 0 },
    .run_us = run_us,
    .objective_us = now_us + objective_us,
    .late_us = now_us + 3 * objective_us,
    .deadline_us = now_us + 4 * objective_us,
    .n_tasks = n,
    .n_waiting = n,
    .waiting = tasks,
  };
}

static void
request (struct planner_state *plan, uint64_t job, unsigned n, int32_t cpu,
         int64_t run_us, int64_t now_us)
{
  struct planner_request want = want_of (job, n, cpu, run_us, now_us);
  planner_put_request (plan, &want, now_us);
}

/* Guards against tasks beyond a worker's cores between two reports.  */
static void
test_grants_count_until_they_are_reported (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 32000, 0);
  request (plan, 10, 3, 14000, 60 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 2);
  planner_schedule (plan, 10 * MS);
  CU_ASSERT_EQUAL (sink.grants, 2);
  planner_free (plan);
}

/* Guards against wide rooms that are broken up by small tasks: the rest of a
   worker of 32 cores takes what fits best.  */
static void
test_the_best_fit_is_taken (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 48000, 0);
  report (plan, 2, 32000, 18000);
  request (plan, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.workers[0], 2);
  planner_free (plan);
}

/* A burst fills all rooms: guards against a job that could still meet its
   objective but waits behind one that is late in any case.  */
static void
test_jobs_that_can_be_in_time_go_first (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 16000, 14000);
  request (plan, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (plan, 0);
  request (plan, 11, 1, 14000, 200 * MS, 250 * MS);
  report (plan, 1, 16000, 0);
  planner_schedule (plan, 260 * MS);
  CU_ASSERT_EQUAL (sink.grants, 1);
  CU_ASSERT_EQUAL (sink.jobs[0], 11);
  planner_free (plan);
}

/* Twice the load: guards against callers that wait for half their objective
   and are then refused, although the queue before them was known on arrival.
 */
static void
test_jobs_behind_a_long_queue_are_refused_at_once (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 32000, 28000);
  /* Each takes 200 ms of half of the worker: a queue of 100 ms a job.  */
  for (uint64_t job = 1; job <= 6; job++)
    request (plan, job, 1, 16000, 200 * MS, 0);
  planner_schedule (plan, MS);
  /* The slack is 176 ms: the third one would start after 200 ms.  */
  CU_ASSERT_EQUAL (sink.grants, 0);
  CU_ASSERT_EQUAL (planner_count_jobs (plan), 2);
  CU_ASSERT_EQUAL (sink.refusals, 4);
  planner_free (plan);
}

/* Under overload: guards against jobs that are begun, paid for and given up
   because newer ones take the room.  */
static void
test_started_jobs_are_finished_first (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 16000, 0);
  request (plan, 10, 2, 14000, 900 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 1);
  request (plan, 11, 1, 14000, 60 * MS, MS);
  report (plan, 1, 16000, 14000);
  planner_release_grant (plan, 1, planner_task_tag (10, 0));
  report (plan, 1, 16000, 0);
  planner_schedule (plan, 2 * MS);
  CU_ASSERT_EQUAL (sink.jobs[1], 10);
  planner_free (plan);
}

/* All workers are lost: guards against jobs that wait for their deadline
   although it is known that they can't be served.  */
static void
test_a_hopeless_job_is_refused_at_once (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  request (plan, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (plan, 500 * MS);
  CU_ASSERT_EQUAL (sink.refusals, 0);
  /* Late is 3 x (320 + 60) ms after the arrival.  */
  planner_schedule (plan, 1060 * MS);
  CU_ASSERT_EQUAL (sink.refusals, 1);
  CU_ASSERT_EQUAL (planner_count_jobs (plan), 0);
  planner_free (plan);
}

/* Guards against refused callers that all return at the same moment.  */
static void
test_refused_callers_return_spread (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  for (uint64_t job = 0; job < 100; job++)
    request (plan, job * 7919 + 1, 1, 14000, 200 * MS, 0);
  planner_schedule (plan, 1200 * MS);
  CU_ASSERT_EQUAL (sink.refusals, 100);
  int early = 0;
  for (unsigned i = 0; i < sink.refusals; i++)
    early += sink.retry_after_ms[i] < 2000;
  CU_ASSERT_TRUE (early > 25 && early < 75);
  planner_free (plan);
}

/* Guards against tasks on a worker that is leaving or that its holder has
   ejected.  */
static void
test_unusable_workers_get_nothing (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  struct planner_worker_report room = room_of (1, 32000, 0);
  room.usable = false;
  planner_update_worker (plan, &room, 0);
  request (plan, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 0);
  planner_free (plan);
}

/* Guards against a failure domain whose tasks leave it although its own
   workers are free.  */
static void
test_the_own_domain_comes_first (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  struct planner_worker_report far = room_of (1, 32000, 0);
  far.domain = 2;
  planner_update_worker (plan, &far, 0);
  report (plan, 2, 32000, 0);
  request (plan, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.workers[0], 2);
  planner_free (plan);
}

/* Guards against more tasks of a job on one worker than it allows.  */
static void
test_tasks_are_spread_as_asked (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  struct planner_request want = want_of (1, 2, 1000, MS, 0);
  want.per_worker = 1;
  report (plan, 1, 32000, 0);
  planner_put_request (plan, &want, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 1);
  report (plan, 2, 32000, 0);
  planner_schedule (plan, MS);
  CU_ASSERT_EQUAL (sink.grants, 2);
  CU_ASSERT_NOT_EQUAL (sink.workers[0], sink.workers[1]);
  planner_free (plan);
}

/* Guards against room that is planned after its holder was lost.  */
static void
test_a_lost_holder_takes_its_rooms_along (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 32000, 0);
  planner_remove_holder (plan, 1);
  request (plan, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 0);
  planner_free (plan);
}

static void
report_speed (struct planner_state *plan, uint64_t worker, int32_t used,
              uint32_t slowness, int64_t now_us)
{
  struct planner_worker_report room = room_of (worker, 16000, used);
  room.slowness = slowness;
  planner_update_worker (plan, &room, now_us);
}

/* Guards against tasks that are placed on a holder that is just being lost. */
static void
test_a_paused_holder_gets_nothing (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 32000, 0);
  planner_pause_holder (plan, 1, true);
  request (plan, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants + sink.refusals, 0);
  planner_pause_holder (plan, 1, false);
  planner_schedule (plan, MS);
  CU_ASSERT_EQUAL (sink.grants, 1);
  planner_free (plan);
}

/* Guards against a priority that decides nothing: of two jobs that have to
   start at about the same time the one of the lower number comes first.  */
static void
test_priority_decides_at_equal_urgency (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 16000, 0);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct planner_request want = want_of (10 + i, 1, 14000, 100 * MS, 0);
      want.objective_us = (600 + 5 * (int64_t)i) * MS;
      want.late_us = 1800 * MS;
      want.deadline_us = 1800 * MS;
      want.priority = 1 - i;
      planner_put_request (plan, &want, 0);
    }
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 1);
  CU_ASSERT_EQUAL (sink.jobs[0], 11);
  planner_free (plan);
}

/* A draining instance is cut off after it has handed its workers over.  Guards
   against callers that wait for three times their objective there.  */
static void
test_jobs_without_any_worker_are_refused (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  request (plan, 10, 1, 14000, 900 * MS, 0);
  planner_schedule (plan, 0);
  planner_schedule (plan, 400 * MS);
  CU_ASSERT_EQUAL (sink.refusals, 0); /* workers may still be reported */
  planner_schedule (plan, 520 * MS);
  CU_ASSERT_EQUAL (sink.refusals, 1);
  request (plan, 11, 1, 14000, 900 * MS, 530 * MS);
  planner_schedule (plan, 530 * MS);
  CU_ASSERT_EQUAL (sink.refusals, 2);
  report (plan, 1, 16000, 0);
  request (plan, 12, 1, 14000, 900 * MS, 540 * MS);
  planner_schedule (plan, 540 * MS);
  CU_ASSERT_EQUAL (sink.grants, 1);
  /* Its workers are lost: others may take them.  */
  planner_remove_holder (plan, 1);
  request (plan, 13, 1, 14000, 900 * MS, 600 * MS);
  planner_schedule (plan, 600 * MS);
  CU_ASSERT_EQUAL (sink.refusals, 2);
  planner_free (plan);
}

/* A third of the workers turns slow: guards against tasks that are placed
   there and miss the objective, while a full worker frees its cores in time.
 */
static void
test_slow_workers_are_passed_over (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report_speed (plan, 1, 14000, 100, 0);
  report_speed (plan, 2, 0, 400, 0);
  request (plan, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 0);
  report_speed (plan, 1, 0, 100, 50 * MS);
  planner_schedule (plan, 50 * MS);
  CU_ASSERT_EQUAL (sink.grants, 1);
  CU_ASSERT_EQUAL (sink.workers[0], 1);
  planner_free (plan);
}

/* Guards against a wait for fast workers where there are none, and against a
   job that is refused although a slow worker is free when it gets late.  */
static void
test_slow_workers_are_better_than_none (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report_speed (plan, 2, 0, 400, 0);
  request (plan, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 1);
  report_speed (plan, 1, 14000, 100, 0);
  report_speed (plan, 2, 0, 400, 0);
  request (plan, 11, 1, 14000, 200 * MS, 0);
  planner_release_grant (plan, 2, planner_task_tag (10, 0));
  planner_schedule (plan, 0);
  CU_ASSERT_EQUAL (sink.grants, 1);
  planner_schedule (plan, 180 * MS);
  CU_ASSERT_EQUAL (sink.grants, 2);
  CU_ASSERT_EQUAL (sink.refusals, 0);
  planner_free (plan);
}

/* Guards against refusals for a queue of another service's workers.  */
static void
test_a_queue_delays_its_own_service_only (void)
{
  struct sink sink = { 0 };
  struct planner_state *plan = planner_new (&ops, &sink);
  report (plan, 1, 16000, 14000);
  struct planner_worker_report other = room_of (2, 16000, 14000);
  other.service = 2;
  planner_update_worker (plan, &other, 0);
  for (uint64_t job = 1; job <= 3; job++)
    request (plan, job, 1, 14000, 100 * MS, 0);
  struct planner_request want = want_of (11, 1, 14000, 100 * MS, 0);
  want.service = 2;
  want.objective_us = 225 * MS;
  want.late_us = 675 * MS;
  want.deadline_us = 900 * MS;
  planner_put_request (plan, &want, 0);
  planner_schedule (plan, 0);
  for (unsigned i = 0; i < sink.refusals; i++)
    CU_ASSERT_NOT_EQUAL (sink.refused[i], 11);
  CU_ASSERT_EQUAL (planner_count_jobs (plan), 2);
  planner_free (plan);
}

/* No kind and no domain is more than this under the whole.  */
#define EVEN 0.1

static void
check_even (const struct load_result *r)
{
  for (unsigned i = 0; i < LOAD_KINDS; i++)
    CU_ASSERT (load_share (&r->kinds[i]) > load_share (&r->all) - EVEN);
  for (unsigned i = 0; i < LOAD_DOMAINS; i++)
    CU_ASSERT (load_share (&r->domains[i]) > load_share (&r->all) - EVEN);
}

static void
print_result (const char *load, const char *policy,
              const struct load_result *r)
{
  printf ("%-14s %-8s credit %.3f, kinds %.3f %.3f %.3f, late %.3f, refused "
          "%.3f, of it late %.3f\n",
          load, policy, load_share (&r->all), load_share (&r->kinds[0]),
          load_share (&r->kinds[1]), load_share (&r->kinds[2]),
          (double)r->all.late / r->all.asked,
          (double)r->all.refused / r->all.asked, r->late_refusals);
}

/* Plays C under the planner's policy and both baselines: it must be better
   than each and serve kinds and domains alike.  */
static struct load_result
compare_policies (const char *name, const struct load_case *c)
{
  struct load_result result = load_play (c, &planner_policy_default);
  struct load_result random = load_play (c, &planner_policy_random);
  struct load_result two = load_play (c, &planner_policy_p2c);
  print_result (name, "planner", &result);
  print_result (name, "random", &random);
  print_result (name, "two", &two);
  CU_ASSERT (load_share (&result.all) > load_share (&random.all));
  CU_ASSERT (load_share (&result.all) > load_share (&two.all));
  check_even (&result);
  return result;
}

/* The target for the credit of a day.  */
#define CREDIT_TARGET 0.9

static void
test_usual_load (void)
{
  static const struct load_case c = { .seconds = 20, .rate = 0.85, .seed = 1 };
  struct load_result r = compare_policies ("usual load", &c);
  CU_ASSERT (load_share (&r.all) >= CREDIT_TARGET);
}

/* Guards against an order that serves all jobs late, and against one that
   serves one kind at the cost of another.  */
static void
test_overload (void)
{
  static const struct load_case c = { .seconds = 20, .rate = 1.3, .seed = 2 };
  compare_policies ("overload", &c);
}

static void
test_bursts (void)
{
  static const struct load_burst bursts[] = {
    { -1, 1.6, 2, 6 },
    { 1, 3.0, 8, 11 },
    { 0, 3.0, 13, 16 },
    { 2, 2.5, 18, 21 },
  };
  static const struct load_case c = { .seconds = 24,
                                      .rate = 0.9,
                                      .bursts = bursts,
                                      .n_bursts = G_N_ELEMENTS (bursts),
                                      .seed = 4 };
  compare_policies ("bursts", &c);
}

static void
test_slow_third (void)
{
  static const struct load_case c = { .seconds = 20,
                                      .rate = 0.9,
                                      .slow_share = 0.3,
                                      .slow_factor = 4,
                                      .slow_known = true,
                                      .seed = 5 };
  compare_policies ("a third slow", &c);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "grants count until they are reported",
      test_grants_count_until_they_are_reported },
    { "the best fit is taken", test_the_best_fit_is_taken },
    { "jobs that can be in time go first",
      test_jobs_that_can_be_in_time_go_first },
    { "jobs behind a long queue are refused at once",
      test_jobs_behind_a_long_queue_are_refused_at_once },
    { "started jobs are finished first",
      test_started_jobs_are_finished_first },
    { "a hopeless job is refused at once",
      test_a_hopeless_job_is_refused_at_once },
    { "refused callers return spread", test_refused_callers_return_spread },
    { "unusable workers get nothing", test_unusable_workers_get_nothing },
    { "the own domain comes first", test_the_own_domain_comes_first },
    { "tasks are spread as asked", test_tasks_are_spread_as_asked },
    { "a lost holder takes its rooms along",
      test_a_lost_holder_takes_its_rooms_along },
    { "a paused holder gets nothing", test_a_paused_holder_gets_nothing },
    { "priority decides at equal urgency",
      test_priority_decides_at_equal_urgency },
    { "jobs without any worker are refused",
      test_jobs_without_any_worker_are_refused },
    { "slow workers are passed over", test_slow_workers_are_passed_over },
    { "slow workers are better than none",
      test_slow_workers_are_better_than_none },
    { "a queue delays its own service only",
      test_a_queue_delays_its_own_service_only },
    { "usual load", test_usual_load },
    { "overload", test_overload },
    { "bursts", test_bursts },
    { "a third slow", test_slow_third },
    CU_TEST_INFO_NULL,
  };
  return test_run ("planner_test", tests);
}
