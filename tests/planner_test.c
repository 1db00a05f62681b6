/* Tests of lib/planner: each replays a pattern of reports and requests, with
   explicit times.  */
#include "planner_priv.h"
#include "test.h"

#define MS ((int64_t)1000)
#define MAX_GRANTS 256

/* What the planner has granted and refused, in order.  */
struct decisions
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
on_grant (void *ctx, const struct planner_request *request, uint32_t index,
          const struct planner_placement *placement)
{
  struct decisions *decisions = ctx;
  decisions->jobs[decisions->grants] = request->job;
  decisions->indexes[decisions->grants] = index;
  decisions->workers[decisions->grants++] = placement->report->worker;
}

static void
on_refuse (void *ctx, const struct planner_request *request,
           const struct planner_refusal *refusal)
{
  struct decisions *decisions = ctx;
  decisions->retry_after_ms[decisions->refusals] = refusal->retry_after_ms;
  decisions->refused[decisions->refusals++] = request->job;
}

static const struct planner_ops ops
    = { .grant = on_grant, .refuse = on_refuse };

/* Whether the planners of the tests look ahead.  */
static bool lookahead;

static struct planner_state *
start_planner (struct decisions *decisions)
{
  struct planner_state *planner = planner_new (&ops, decisions);
  planner_set_lookahead (planner, lookahead, 0);
  return planner;
}

/* The report of a usable worker of usual speed.  */
static struct planner_worker_report
make_report (uint64_t worker, int32_t cpu, int32_t used)
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
report_worker (struct planner_state *planner, uint64_t worker, int32_t cpu,
               int32_t used)
{
  struct planner_worker_report report = make_report (worker, cpu, used);
  planner_update_worker (planner, &report, 0);
}

/* A request for all N tasks of a job.  */
static struct planner_request
make_request (uint64_t job, unsigned n, int32_t cpu, int64_t run_us,
              int64_t now_us)
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
    .arrival_us = now_us,
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
put_request (struct planner_state *planner, uint64_t job, unsigned n,
             int32_t cpu, int64_t run_us, int64_t now_us)
{
  struct planner_request request = make_request (job, n, cpu, run_us, now_us);
  planner_put_request (planner, &request);
}

/* Guards against granting more than a worker's cores between two reports of
   its holder.  */
static void
test_grants_count_until_they_are_reported (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 32000, 0);
  put_request (planner, 10, 3, 14000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  planner_schedule (planner, 10 * MS);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  planner_free (planner);
}

/* Guards against a planner that looks at all workers for each waiting job
   while all workers are full: under overload that used up its processor time.
   A job whose tasks are smaller is still placed.  */
static void
test_waiting_jobs_share_a_look_at_full_workers (void)
{
  const uint64_t n_workers = 100;
  const uint64_t n_jobs = 100;
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  for (uint64_t worker = 1; worker <= n_workers; worker++)
    report_worker (planner, worker, 32000, worker == 50 ? 24000 : 28000);
  for (uint64_t job = 1; job <= n_jobs; job++)
    put_request (planner, job, 2, 12000 + (int32_t)(job * 37 % 100) * 40,
                 60 * MS, 0);
  put_request (planner, n_jobs + 1, 1, 8000, 60 * MS, 0);
  int64_t looks = pl_counter (PL_CTR_PLANNER_LOOKS_TOTAL);
  planner_schedule (planner, 0);
  looks = pl_counter (PL_CTR_PLANNER_LOOKS_TOTAL) - looks;
  CU_ASSERT_TRUE (looks <= 10 * (int64_t)n_workers);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  CU_ASSERT_EQUAL (decisions.workers[0], 50);
  planner_free (planner);
}

/* Guards against a division by zero while the only workers of a service report
   one thousandth of a core, or none.  */
static void
test_workers_without_cores_run_nothing (void)
{
  for (int32_t cpu = 0; cpu < 2; cpu++)
    {
      struct decisions decisions = { 0 };
      struct planner_state *planner = start_planner (&decisions);
      report_worker (planner, 1, cpu, 0);
      put_request (planner, 10, 1, 14000, 60 * MS, 0);
      planner_schedule (planner, 0);
      put_request (planner, 11, 1, 14000, 900 * MS, 600 * MS);
      planner_schedule (planner, 600 * MS);
      CU_ASSERT_EQUAL (decisions.grants, 0);
      CU_ASSERT_EQUAL (planner_count_jobs (planner) + decisions.refusals, 2);
      planner_free (planner);
    }
}

/* Guards against a bound of tasks per worker that starts over when a task is
   requested again after all tasks had been granted, and against one that
   forgets a grant which the owner had not received when it sent its request.
 */
static void
test_the_bound_per_worker_holds_on_a_retry (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 48000, 0);
  report_worker (planner, 2, 48000, 20000);
  struct planner_request request = make_request (10, 2, 14000, 900 * MS, 0);
  request.per_worker = 1;
  planner_put_request (planner, &request);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL_FATAL (decisions.grants, 2);
  CU_ASSERT_NOT_EQUAL (decisions.workers[0], decisions.workers[1]);
  /* Task 1 was rejected; task 0 runs on the worker of its grant.  */
  static const uint32_t second[] = { 1 };
  struct planner_placed placed = { 0, decisions.workers[0] };
  request.n_waiting = 1;
  request.waiting = second;
  request.n_placed = 1;
  request.placed = &placed;
  planner_release_grant (planner, decisions.workers[1], 0,
                         planner_task_tag (10, 1));
  planner_put_request (planner, &request);
  struct planner_worker_report report
      = make_report (decisions.workers[0], 48000, 30000);
  report.runs[report.n_runs++] = planner_task_tag (10, 0);
  planner_update_worker (planner, &report, 10 * MS);
  planner_schedule (planner, 10 * MS);
  CU_ASSERT_EQUAL_FATAL (decisions.grants, 3);
  CU_ASSERT_EQUAL (decisions.workers[2], decisions.workers[1]);
  planner_free (planner);
}

/* Guards against a task that is started beside a run of it that a holder still
   has, on a worker that may be silent.  */
static void
test_a_running_task_is_not_granted (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  struct planner_worker_report silent = make_report (2, 32000, 14000);
  report_worker (planner, 1, 48000, 0);
  silent.usable = false;
  silent.runs[silent.n_runs++] = planner_task_tag (10, 0);
  planner_update_worker (planner, &silent, 0);
  put_request (planner, 10, 2, 14000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL_FATAL (decisions.grants, 1);
  CU_ASSERT_EQUAL (decisions.indexes[0], 1);
  silent.n_runs = 0;
  planner_update_worker (planner, &silent, 10 * MS);
  planner_schedule (planner, 10 * MS);
  CU_ASSERT_EQUAL_FATAL (decisions.grants, 2);
  CU_ASSERT_EQUAL (decisions.indexes[1], 0);
  CU_ASSERT_EQUAL (decisions.workers[1], 1);
  planner_free (planner);
}

/* Guards against a job that waits for a run of which nobody reports any more,
   since the holder reports to another planner.  */
static void
test_an_old_report_keeps_no_task_waiting (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  struct planner_worker_report old = make_report (2, 32000, 14000);
  int64_t now_us = PLANNER_REPORT_STALE_US + MS;
  old.runs[old.n_runs++] = planner_task_tag (10, 0);
  planner_update_worker (planner, &old, 0);
  struct planner_worker_report report = make_report (1, 48000, 0);
  planner_update_worker (planner, &report, now_us);
  put_request (planner, 10, 1, 14000, 60 * MS, now_us);
  planner_schedule (planner, now_us);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  planner_free (planner);
}

/* Guards against small tasks that break up the large free capacity of a
   worker: a task of 14 cores fits best in the rest of a worker of 32 cores. */
static void
test_the_best_fit_is_taken (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 48000, 0);
  report_worker (planner, 2, 32000, 18000);
  put_request (planner, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.workers[0], 2);
  planner_free (planner);
}

/* Guards against tasks that come back together after a crash, end together on
   the next worker and are both blamed, and against much work that ends with
   them.  */
static void
test_suspect_tasks_are_placed_apart (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 48000, 0);
  report_worker (planner, 2, 32000, 18000);
  for (uint64_t job = 10; job <= 12; job++)
    {
      struct planner_request request
          = make_request (job, 1, 14000, 60 * MS, 0);
      request.suspect = true;
      planner_put_request (planner, &request);
    }
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL_FATAL (decisions.grants, 2);
  CU_ASSERT_EQUAL (decisions.workers[0], 1);
  CU_ASSERT_EQUAL (decisions.workers[1], 2);
  planner_schedule (planner, PLANNER_SUSPECT_GAP_US);
  CU_ASSERT_EQUAL_FATAL (decisions.grants, 3);
  CU_ASSERT_EQUAL (decisions.workers[2], 1);
  planner_free (planner);
}

/* Guards against a job that could still meet its objective but waits behind
   one that is late in any case, when a burst has filled all workers.  */
static void
test_jobs_that_can_meet_their_objective_go_first (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 16000, 14000);
  put_request (planner, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (planner, 0);
  put_request (planner, 11, 1, 14000, 200 * MS, 250 * MS);
  report_worker (planner, 1, 16000, 0);
  planner_schedule (planner, 260 * MS);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  CU_ASSERT_EQUAL (decisions.jobs[0], 11);
  planner_free (planner);
}

/* Guards against callers that wait for half their objective under twice the
   load and are then refused, although the queue before them was known when
   they arrived.  */
static void
test_jobs_behind_a_long_queue_are_refused_at_once (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 32000, 28000);
  /* Each job takes half of the worker for 200 ms, so that it adds 100 ms to
     the queueing delay.  */
  for (uint64_t job = 1; job <= 6; job++)
    put_request (planner, job, 1, 16000, 200 * MS, 0);
  planner_schedule (planner, MS);
  /* The slack is 176 ms: the third job would start after 200 ms.  */
  CU_ASSERT_EQUAL (decisions.grants, 0);
  CU_ASSERT_EQUAL (planner_count_jobs (planner), 2);
  CU_ASSERT_EQUAL (decisions.refusals, 4);
  planner_free (planner);
}

/* Guards against jobs that run in part and are refused then, under overload,
   because newer jobs take the workers: the work already done is wasted.  */
static void
test_started_jobs_are_finished_first (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 16000, 0);
  put_request (planner, 10, 2, 14000, 900 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  put_request (planner, 11, 1, 14000, 60 * MS, MS);
  report_worker (planner, 1, 16000, 14000);
  planner_release_grant (planner, 1, 0, planner_task_tag (10, 0));
  report_worker (planner, 1, 16000, 0);
  planner_schedule (planner, 2 * MS);
  CU_ASSERT_EQUAL (decisions.jobs[1], 10);
  planner_free (planner);
}

/* Guards against a grant that is taken for unused because the release of an
   earlier one, under a former lease of the worker, comes late.  */
static void
test_a_release_names_its_lease (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  struct planner_worker_report report = make_report (1, 16000, 0);
  report.token = 2;
  planner_update_worker (planner, &report, 0);
  put_request (planner, 10, 1, 14000, 900 * MS, 0);
  put_request (planner, 11, 1, 14000, 900 * MS, 0);
  planner_schedule (planner, 0);
  uint64_t tag = planner_task_tag (decisions.jobs[0], 0);
  planner_release_grant (planner, 1, 1, tag);
  planner_schedule (planner, MS);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  planner_release_grant (planner, 1, 2, tag);
  planner_schedule (planner, MS);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  planner_free (planner);
}

/* Guards against jobs that wait for their deadline when all workers are lost,
   although they can't end in time any more.  */
static void
test_a_hopeless_job_is_refused_at_once (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  put_request (planner, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (planner, 500 * MS);
  CU_ASSERT_EQUAL (decisions.refusals, 0);
  /* An answer has no value later than 3 x (320 + 60) ms after the arrival.  */
  planner_schedule (planner, 1060 * MS);
  CU_ASSERT_EQUAL (decisions.refusals, 1);
  CU_ASSERT_EQUAL (planner_count_jobs (planner), 0);
  planner_free (planner);
}

/* Guards against refused callers that all return at the same time.  */
static void
test_retries_of_refused_callers_are_spread (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  for (uint64_t job = 0; job < 100; job++)
    put_request (planner, job * 7919 + 1, 1, 14000, 200 * MS, 0);
  planner_schedule (planner, 1200 * MS);
  CU_ASSERT_EQUAL (decisions.refusals, 100);
  int early = 0;
  for (unsigned i = 0; i < decisions.refusals; i++)
    early += decisions.retry_after_ms[i] < 2000;
  CU_ASSERT_TRUE (early > 25 && early < 75);
  planner_free (planner);
}

/* Guards against tasks on a worker that is leaving or that its holder has
   ejected.  */
static void
test_unusable_workers_get_nothing (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  struct planner_worker_report report = make_report (1, 32000, 0);
  report.usable = false;
  planner_update_worker (planner, &report, 0);
  put_request (planner, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 0);
  planner_free (planner);
}

/* Guards against tasks that are sent to another failure domain although
   workers in their own are free.  */
static void
test_workers_of_the_owners_domain_are_preferred (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  struct planner_worker_report remote = make_report (1, 32000, 0);
  remote.domain = 2;
  planner_update_worker (planner, &remote, 0);
  report_worker (planner, 2, 32000, 0);
  put_request (planner, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.workers[0], 2);
  planner_free (planner);
}

/* Guards against more tasks of a job on one worker than the job allows.  */
static void
test_tasks_per_worker_are_limited (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  struct planner_request request = make_request (1, 2, 1000, MS, 0);
  request.per_worker = 1;
  report_worker (planner, 1, 32000, 0);
  planner_put_request (planner, &request);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  report_worker (planner, 2, 32000, 0);
  planner_schedule (planner, MS);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  CU_ASSERT_NOT_EQUAL (decisions.workers[0], decisions.workers[1]);
  planner_free (planner);
}

/* Guards against grants on the workers of a holder that was lost.  */
static void
test_workers_of_a_lost_holder_are_removed (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 32000, 0);
  planner_remove_holder (planner, 1);
  put_request (planner, 10, 1, 14000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 0);
  planner_free (planner);
}

static void
report_slowness (struct planner_state *planner, uint64_t worker, int32_t used,
                 uint32_t slowness, int64_t now_us)
{
  struct planner_worker_report report = make_report (worker, 16000, used);
  report.slowness = slowness;
  planner_update_worker (planner, &report, now_us);
}

/* Guards against grants on the workers of a holder that may be lost.  */
static void
test_workers_of_a_paused_holder_get_nothing (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 32000, 0);
  planner_pause_holder (planner, 1, true);
  put_request (planner, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants + decisions.refusals, 0);
  planner_pause_holder (planner, 1, false);
  planner_schedule (planner, MS);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  planner_free (planner);
}

/* Guards against a priority without effect: of two jobs that have to start at
   about the same time, the one with the lower number comes first.  */
static void
test_priority_decides_at_equal_urgency (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 16000, 0);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct planner_request request
          = make_request (10 + i, 1, 14000, 100 * MS, 0);
      request.objective_us = (600 + 5 * (int64_t)i) * MS;
      request.late_us = 1800 * MS;
      request.deadline_us = 1800 * MS;
      request.priority = 1 - i;
      planner_put_request (planner, &request);
    }
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  CU_ASSERT_EQUAL (decisions.jobs[0], 11);
  planner_free (planner);
}

/* Guards against callers that wait for three times their objective at an
   instance that knows no workers: it drains, has handed its workers over and
   was cut off from its peers then.  */
static void
test_jobs_without_any_worker_are_refused (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  put_request (planner, 10, 1, 14000, 900 * MS, 0);
  planner_schedule (planner, 0);
  planner_schedule (planner, 400 * MS);
  CU_ASSERT_EQUAL (decisions.refusals, 0); /* workers may still be reported */
  planner_schedule (planner, 520 * MS);
  CU_ASSERT_EQUAL (decisions.refusals, 1);
  put_request (planner, 11, 1, 14000, 900 * MS, 530 * MS);
  planner_schedule (planner, 530 * MS);
  CU_ASSERT_EQUAL (decisions.refusals, 2);
  report_worker (planner, 1, 16000, 0);
  put_request (planner, 12, 1, 14000, 900 * MS, 540 * MS);
  planner_schedule (planner, 540 * MS);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  /* The holder is lost: another one may take its workers.  */
  planner_remove_holder (planner, 1);
  put_request (planner, 13, 1, 14000, 900 * MS, 600 * MS);
  planner_schedule (planner, 600 * MS);
  CU_ASSERT_EQUAL (decisions.refusals, 2);
  planner_free (planner);
}

/* Guards against tasks that are placed on a slow worker and miss their
   objective, while a full worker of usual speed frees its cores in time.  */
static void
test_slow_workers_are_passed_over (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_slowness (planner, 1, 14000, 100, 0);
  report_slowness (planner, 2, 0, 400, 0);
  put_request (planner, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 0);
  report_slowness (planner, 1, 0, 100, 50 * MS);
  planner_schedule (planner, 50 * MS);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  CU_ASSERT_EQUAL (decisions.workers[0], 1);
  planner_free (planner);
}

/* Guards against a wait for fast workers when there are none, and against
   refusing a job that has waited for one although a slow worker is free.  */
static void
test_slow_workers_are_better_than_none (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_slowness (planner, 2, 0, 400, 0);
  put_request (planner, 10, 1, 14000, 200 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  report_slowness (planner, 1, 14000, 100, 0);
  report_slowness (planner, 2, 0, 400, 0);
  put_request (planner, 11, 1, 14000, 200 * MS, 0);
  planner_release_grant (planner, 2, 0, planner_task_tag (10, 0));
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 1);
  planner_schedule (planner, 180 * MS);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  CU_ASSERT_EQUAL (decisions.refusals, 0);
  planner_free (planner);
}

/* Guards against refusing a job because of the queue of another service.  */
static void
test_a_queue_delays_its_own_service_only (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  report_worker (planner, 1, 16000, 14000);
  struct planner_worker_report other = make_report (2, 16000, 14000);
  other.service = 2;
  planner_update_worker (planner, &other, 0);
  for (uint64_t job = 1; job <= 3; job++)
    put_request (planner, job, 1, 14000, 100 * MS, 0);
  struct planner_request request = make_request (11, 1, 14000, 100 * MS, 0);
  request.service = 2;
  request.objective_us = 225 * MS;
  request.late_us = 675 * MS;
  request.deadline_us = 900 * MS;
  planner_put_request (planner, &request);
  planner_schedule (planner, 0);
  for (unsigned i = 0; i < decisions.refusals; i++)
    CU_ASSERT_NOT_EQUAL (decisions.refused[i], 11);
  CU_ASSERT_EQUAL (planner_count_jobs (planner), 2);
  planner_free (planner);
}

/* Guards against grants on workers of an evacuated domain whose holder, of a
   former build, reports them as usable; against jobs that wait for them; and
   against refusing what other domains have room for.  */
static void
test_an_evacuated_domain_gets_nothing (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = start_planner (&decisions);
  struct planner_worker_report other = make_report (2, 32000, 0);
  other.domain = 2;
  report_worker (planner, 1, 32000, 0);
  planner_update_worker (planner, &other, 0);
  planner_set_evacuated (planner, 1, true);
  put_request (planner, 10, 2, 16000, 60 * MS, 0);
  put_request (planner, 11, 1, 16000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  CU_ASSERT_EQUAL (decisions.workers[0], 2);
  CU_ASSERT_EQUAL (decisions.workers[1], 2);
  CU_ASSERT_EQUAL (decisions.refusals, 0);
  planner_set_evacuated (planner, 2, true);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.refusals, 1);
  CU_ASSERT_TRUE (decisions.retry_after_ms[0] > 0);
  planner_set_evacuated (planner, 1, false);
  put_request (planner, 12, 1, 16000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 3);
  CU_ASSERT_EQUAL (decisions.workers[2], 1);
  planner_free (planner);
}

/* Guards against jobs of another failure domain that go before own ones, wait
   for room, or have own jobs refused as if the service were crowded.  */
static void
test_lent_jobs_take_what_is_left (void)
{
  struct decisions decisions = { 0 };
  struct planner_state *planner = planner_new (&ops, &decisions);
  report_worker (planner, 1, 32000, 0);
  for (uint64_t job = 10; job < 13; job++)
    {
      struct planner_request request
          = make_request (job, 1, 14000, 60 * MS, 0);
      request.lent = job < 12;
      planner_put_request (planner, &request);
    }
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  CU_ASSERT_EQUAL (decisions.jobs[0], 12);
  CU_ASSERT_EQUAL (decisions.jobs[1], 10);
  CU_ASSERT_EQUAL (decisions.refusals, 1);
  CU_ASSERT_EQUAL (decisions.refused[0], 11);
  /* One of two tasks fits: none starts.  */
  report_worker (planner, 2, 32000, 10000);
  struct planner_request wide = make_request (13, 2, 14000, 60 * MS, 0);
  wide.lent = true;
  planner_put_request (planner, &wide);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  CU_ASSERT_EQUAL (decisions.refusals, 2);
  planner_remove_worker (planner, 2, 1);
  struct planner_room room = planner_measure_room (planner, 1, 0);
  CU_ASSERT_FALSE (room.crowded);
  CU_ASSERT_EQUAL (room.capacity, 32000);
  CU_ASSERT_EQUAL (room.free, 4000);
  CU_ASSERT_EQUAL (room.waiting, 0);
  planner_free (planner);
}

static bool
pass_on_first (void *ctx, const struct planner_request *request, bool again)
{
  struct decisions *decisions = ctx;
  decisions->jobs[decisions->grants++] = request->job;
  CU_ASSERT_EQUAL (again, decisions->grants > 2);
  return decisions->grants == 1;
}

/* Guards against jobs that wait for workers that are gone while another domain
   could serve them, and against asking for room for one job again and again.
 */
static void
test_jobs_without_workers_are_passed_on (void)
{
  static const struct planner_ops passing_ops
      = { .grant = on_grant, .refuse = on_refuse, .pass_on = pass_on_first };
  struct decisions decisions = { 0 };
  struct planner_state *planner = planner_new (&passing_ops, &decisions);
  put_request (planner, 10, 1, 14000, 60 * MS, 0);
  put_request (planner, 11, 1, 14000, 60 * MS, 0);
  planner_schedule (planner, 0);
  CU_ASSERT_EQUAL (decisions.grants, 2);
  CU_ASSERT_EQUAL (decisions.refusals, 0);
  CU_ASSERT_EQUAL (planner_count_jobs (planner), 1);
  planner_schedule (planner, MS);
  CU_ASSERT_EQUAL (decisions.grants, 3);
  planner_free (planner);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "grants count until they are reported",
      test_grants_count_until_they_are_reported },
    { "a running task is not granted", test_a_running_task_is_not_granted },
    { "an old report keeps no task waiting",
      test_an_old_report_keeps_no_task_waiting },
    { "waiting jobs share a look at full workers",
      test_waiting_jobs_share_a_look_at_full_workers },
    { "workers without cores run nothing",
      test_workers_without_cores_run_nothing },
    { "the bound per worker holds on a retry",
      test_the_bound_per_worker_holds_on_a_retry },
    { "the best fit is taken", test_the_best_fit_is_taken },
    { "suspect tasks are placed apart", test_suspect_tasks_are_placed_apart },
    { "jobs that can meet their objective go first",
      test_jobs_that_can_meet_their_objective_go_first },
    { "jobs behind a long queue are refused at once",
      test_jobs_behind_a_long_queue_are_refused_at_once },
    { "started jobs are finished first",
      test_started_jobs_are_finished_first },
    { "a release names its lease", test_a_release_names_its_lease },
    { "a hopeless job is refused at once",
      test_a_hopeless_job_is_refused_at_once },
    { "retries of refused callers are spread",
      test_retries_of_refused_callers_are_spread },
    { "unusable workers get nothing", test_unusable_workers_get_nothing },
    { "workers of the owner's domain are preferred",
      test_workers_of_the_owners_domain_are_preferred },
    { "tasks per worker are limited", test_tasks_per_worker_are_limited },
    { "workers of a lost holder are removed",
      test_workers_of_a_lost_holder_are_removed },
    { "workers of a paused holder get nothing",
      test_workers_of_a_paused_holder_get_nothing },
    { "priority decides at equal urgency",
      test_priority_decides_at_equal_urgency },
    { "jobs without any worker are refused",
      test_jobs_without_any_worker_are_refused },
    { "slow workers are passed over", test_slow_workers_are_passed_over },
    { "slow workers are better than none",
      test_slow_workers_are_better_than_none },
    { "a queue delays its own service only",
      test_a_queue_delays_its_own_service_only },
    { "an evacuated domain gets nothing",
      test_an_evacuated_domain_gets_nothing },
    { "lent jobs take what is left", test_lent_jobs_take_what_is_left },
    { "jobs without workers are passed on",
      test_jobs_without_workers_are_passed_on },
    CU_TEST_INFO_NULL,
  };
  int status = test_run ("planner_test", tests);
  lookahead = true;
  return test_run ("planner_test, looking ahead", tests) + status;
}
