/* Tests of lib/owner: a job from submission to its answer, with the planner
   and the holders replaced by struct calls, which counts what they are sent.
 */
#include "owner.h"
#include "test.h"

#include <string.h>

#define MS ((int64_t)1000)
#define HOLDER 50
#define OTHER_HOLDER 51
#define WORKER 60

#define CODE_LIMIT 700 /* above every result code */

/* What the owner has called through struct owner_ops.  */
struct calls
{
  unsigned requests;
  unsigned requested_tasks;
  unsigned placed_tasks; /* listed by the latest request */
  unsigned drops;
  unsigned releases;
  unsigned starts;
  struct lease_order start;
  unsigned claims;
  unsigned stops;
  unsigned answers;
  unsigned codes[CODE_LIMIT]; /* answers with each code */
  struct owner_answer answer;
};

static void
on_request (void *ctx, const struct planner_request *request)
{
  struct calls *calls = ctx;
  calls->requests++;
  calls->requested_tasks = request->n_waiting;
  calls->placed_tasks = request->n_placed;
}

static void
on_drop (void *ctx, uint64_t job)
{
  (void)job;
  ((struct calls *)ctx)->drops++;
}

static void
on_release (void *ctx, uint64_t worker, int64_t token, uint64_t tag)
{
  (void)worker;
  (void)token;
  (void)tag;
  ((struct calls *)ctx)->releases++;
}

static void
on_start (void *ctx, uint64_t holder, uint64_t worker,
          const struct lease_order *order)
{
  struct calls *calls = ctx;
  (void)holder;
  (void)worker;
  calls->starts++;
  calls->start = *order;
}

static void
on_claim (void *ctx, uint64_t holder, uint64_t worker,
          const struct lease_order *order)
{
  (void)holder;
  (void)worker;
  (void)order;
  ((struct calls *)ctx)->claims++;
}

static void
on_stop (void *ctx, uint64_t holder, uint64_t worker, int64_t token,
         const struct lease_run_id *id)
{
  (void)holder;
  (void)token;
  (void)worker;
  (void)id;
  ((struct calls *)ctx)->stops++;
}

static void
on_answer (void *ctx, struct owner_job *job, const struct owner_answer *answer)
{
  struct calls *calls = ctx;
  (void)job;
  calls->answers++;
  calls->codes[answer->code]++;
  calls->answer = *answer;
}

static const struct owner_ops ops = {
  .ask = on_request,
  .drop = on_drop,
  .release = on_release,
  .start = on_start,
  .claim = on_claim,
  .stop = on_stop,
  .answer = on_answer,
};

/* A table with one job whose request has been sent.  */
struct fixture
{
  struct pl_manual_clock clock;
  struct calls calls;
  struct owner_table *table;
  struct owner_job *job;
};

static void
fixture_init (struct fixture *fixture, unsigned n_tasks)
{
  *fixture = (struct fixture){ 0 };
  pl_manual_clock_init (&fixture->clock, 1000 * MS);
  fixture->table
      = owner_table_new (&fixture->clock.base, &ops, &fixture->calls);
  struct owner_submission submission = {
    .job = 1,
    .route = "r",
    .service = "s",
    .service_key = 1,
    .spec = pl_str ("spec"),
    .n_tasks = n_tasks,
    .size = { 14000, 64, 0 },
    .declared_us = 100 * MS,
    .stretch = 1.6,
    .target_us = 60 * MS,
    .deadline_us = 3000 * MS,
    .max_attempts = 2,
  };
  fixture->job = owner_submit_job (fixture->table, &submission, NULL);
  owner_flush_requests (fixture->table);
}

static void
grant (struct fixture *fixture, uint32_t index, int64_t token)
{
  struct owner_placement placement = { WORKER, HOLDER, token };
  owner_on_grant (fixture->table, 1, index, &placement);
}

/* Reports an end under the lease TOKEN; 0: by a holder of a former build,
   which does not name the lease.  */
static void
end_run_under (struct fixture *fixture, int64_t token, uint32_t index,
               uint32_t run, enum lease_end end)
{
  struct owner_run_end run_end = {
    .worker = WORKER,
    .holder = HOLDER,
    .id = { 1, index, run },
    .end = end,
    .took_us = 100 * MS,
    .token = token,
  };
  owner_on_run_end (fixture->table, &run_end);
}

static void
end_run (struct fixture *fixture, uint32_t index, uint32_t run,
         enum lease_end end)
{
  end_run_under (fixture, 0, index, run, end);
}

/* Guards against a job that is answered before all its tasks are done.  */
static void
test_answer_waits_for_all_tasks (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 2);
  CU_ASSERT_EQUAL (fixture.calls.requested_tasks, 2);
  grant (&fixture, 0, 1);
  grant (&fixture, 1, 1);
  end_run (&fixture, 0, 1, LEASE_END_DONE);
  CU_ASSERT_EQUAL (fixture.calls.answers, 0);
  end_run (&fixture, 1, 1, LEASE_END_DONE);
  CU_ASSERT_EQUAL (fixture.calls.answers, 1);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_OK);
  owner_table_free (fixture.table);
}

/* Guards against more tasks on a worker than the job allows, granted by a
   planner that does not know where the job's other tasks are, and against
   tasks that wait for ever although a task has ended on the worker.  */
static void
test_bound_per_worker_is_kept (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 3);
  fixture.job->per_worker = 1;
  grant (&fixture, 0, 1);
  grant (&fixture, 1, 1);
  CU_ASSERT_EQUAL (fixture.calls.starts, 1);
  CU_ASSERT_EQUAL (fixture.calls.releases, 1);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requested_tasks, 2);
  CU_ASSERT_EQUAL (fixture.calls.placed_tasks, 1);
  end_run (&fixture, 0, 1, LEASE_END_DONE);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.placed_tasks, 0);
  grant (&fixture, 1, 1);
  CU_ASSERT_EQUAL (fixture.calls.starts, 2);
  owner_table_free (fixture.table);
}

/* Guards against started jobs, or those of other routes, in the number of jobs
   that wait.  */
static void
test_unstarted_jobs_are_counted (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 2);
  CU_ASSERT_EQUAL (owner_count_unstarted (fixture.table, "r"), 1);
  CU_ASSERT_EQUAL (owner_count_unstarted (fixture.table, "other"), 0);
  grant (&fixture, 0, 1);
  CU_ASSERT_EQUAL (owner_count_unstarted (fixture.table, "r"), 0);
  owner_table_free (fixture.table);
}

/* Guards against an answer "not run" to a job of which a task has started:
   only DEADLINE_RAN is true then.  */
static void
test_started_job_is_not_answered_as_not_run (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 2);
  owner_on_refusal (fixture.table, 1, 1500);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_DEADLINE_LOST);
  CU_ASSERT_EQUAL (fixture.calls.answer.retry_after_ms, 1500);
  owner_table_free (fixture.table);
  fixture_init (&fixture, 2);
  grant (&fixture, 0, 1);
  owner_on_refusal (fixture.table, 1, 1500);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_DEADLINE_RAN);
  CU_ASSERT_EQUAL (fixture.calls.stops, 1);
  owner_table_free (fixture.table);
  /* By a start of an earlier submission.  */
  fixture_init (&fixture, 2);
  owner_set_started (owner_find_job (fixture.table, 1));
  owner_on_refusal (fixture.table, 1, 1500);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_DEADLINE_RAN);
  owner_table_free (fixture.table);
}

/* Guards against an answer that a task may have run, which keeps the caller
   from trying again, for a job whose starts were all refused: on a full link
   most answers 504 were such.  */
static void
test_a_job_whose_starts_were_refused_has_not_run (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 2);
  grant (&fixture, 0, 1);
  grant (&fixture, 1, 1);
  end_run (&fixture, 0, 1, LEASE_END_REJECTED);
  end_run (&fixture, 1, 1, LEASE_END_REJECTED);
  pl_manual_clock_advance (&fixture.clock, 5000 * MS);
  owner_tick (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_DEADLINE_LOST);
  owner_table_free (fixture.table);
  /* One that was stopped may have run in part.  */
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  end_run (&fixture, 0, 1, LEASE_END_STOPPED);
  grant (&fixture, 0, 1);
  end_run (&fixture, 0, 2, LEASE_END_REJECTED);
  pl_manual_clock_advance (&fixture.clock, 5000 * MS);
  owner_tick (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_DEADLINE_RAN);
  owner_table_free (fixture.table);
}

/* Guards against more failed runs of a task than the route allows.  */
static void
test_failed_runs_are_limited (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  end_run (&fixture, 0, 1, LEASE_END_FAILED);
  CU_ASSERT_EQUAL (fixture.calls.answers, 0);
  grant (&fixture, 0, 1);
  CU_ASSERT_EQUAL (fixture.calls.start.id.run, 2);
  end_run (&fixture, 0, 2, LEASE_END_FAILED);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_FAILED_RAN);
  owner_table_free (fixture.table);
}

/* Guards against starts with run numbers that an earlier attempt at the job
   has used: the worker rejects all of them.  */
static void
test_old_run_numbers_are_skipped (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  end_run (&fixture, 0, 1, LEASE_END_OLD_RUN);
  grant (&fixture, 0, 1);
  CU_ASSERT_TRUE (fixture.calls.start.id.run > 10);
  owner_table_free (fixture.table);
}

/* Guards against a second start after the same grant arrives twice.  */
static void
test_repeated_grant_is_released (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  grant (&fixture, 0, 1);
  CU_ASSERT_EQUAL (fixture.calls.starts, 1);
  CU_ASSERT_EQUAL (fixture.calls.releases, 1);
  owner_table_free (fixture.table);
}

/* Guards against a loop of grants and rejected starts: the planner repeats the
   grant until the holder's next report.  */
static void
test_rejected_start_is_requested_later (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  end_run (&fixture, 0, 1, LEASE_END_REJECTED);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 1);
  pl_manual_clock_advance (&fixture.clock, 20 * MS);
  owner_tick (fixture.table);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 2);
  /* A grant before the retry is due must not be undone by the retry.  */
  owner_table_free (fixture.table);
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  end_run (&fixture, 0, 1, LEASE_END_REJECTED);
  grant (&fixture, 0, 1);
  pl_manual_clock_advance (&fixture.clock, 20 * MS);
  owner_tick (fixture.table);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 1);
  owner_table_free (fixture.table);
}

/* Guards against a late message about an earlier lease of the worker, which
   must not requeue a task that was started under the present one.  */
static void
test_notices_of_earlier_leases_are_ignored (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 10);
  struct owner_placement earlier = { WORKER, OTHER_HOLDER, 9 };
  owner_on_worker_taken (fixture.table, &earlier, NULL, 0);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 1);
  struct owner_placement later = { WORKER, OTHER_HOLDER, 11 };
  owner_on_worker_taken (fixture.table, &later, NULL, 0);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 2);
  owner_table_free (fixture.table);
}

/* Guards against a second start of a run that has survived its holder: the new
   holder lists it, so that it is claimed.  */
static void
test_a_listed_run_is_claimed (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 10);
  owner_on_holder_lost (fixture.table, HOLDER, 1000 * MS);
  struct owner_placement later = { WORKER, OTHER_HOLDER, 11 };
  struct lease_run_id id = { 1, 0, 1 };
  owner_on_worker_taken (fixture.table, &later, &id, 1);
  CU_ASSERT_EQUAL (fixture.calls.claims, 1);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 1);
  /* The former holder doesn't know which runs its successor found.  */
  end_run (&fixture, 0, 1, LEASE_END_STOPPED);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 1);
  owner_table_free (fixture.table);
}

/* Has the holder lose the worker for a moment and find run 1 of task 0 again
   under the lease 11, and repeat END of the lease 10.  */
static void
repeat_end_of_former_lease (struct fixture *fixture, enum lease_end end)
{
  fixture_init (fixture, 1);
  grant (fixture, 0, 10);
  end_run_under (fixture, 10, 0, 1, LEASE_END_UNKNOWN);
  struct owner_placement later = { WORKER, HOLDER, 11 };
  struct lease_run_id id = { 1, 0, 1 };
  owner_on_worker_taken (fixture->table, &later, &id, 1);
  CU_ASSERT_EQUAL (fixture->calls.claims, 1);
  end_run_under (fixture, 10, 0, 1, end);
  pl_manual_clock_advance (&fixture->clock, 1800 * MS);
  owner_tick (fixture->table);
  owner_flush_requests (fixture->table);
}

/* Guards against a second start of a run that goes on, because the end of a
   former lease of the same holder is repeated after the run was claimed.  */
static void
test_ends_of_former_leases_are_ignored (void)
{
  static const enum lease_end ends[]
      = { LEASE_END_UNKNOWN, LEASE_END_STOPPED, LEASE_END_REJECTED,
          LEASE_END_OLD_RUN };
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      struct fixture fixture;
      repeat_end_of_former_lease (&fixture, ends[i]);
      CU_ASSERT_EQUAL (fixture.calls.requests, 1);
      end_run_under (&fixture, 11, 0, 1, LEASE_END_STOPPED);
      owner_flush_requests (fixture.table);
      CU_ASSERT_EQUAL (fixture.calls.requests, 2);
      owner_table_free (fixture.table);
    }
}

/* Guards against a task that is started again after it was done, because its
   end came under another lease than the one that its owner knows.  */
static void
test_a_done_run_counts_under_every_lease (void)
{
  struct fixture fixture;
  repeat_end_of_former_lease (&fixture, LEASE_END_DONE);
  CU_ASSERT_EQUAL (fixture.calls.codes[PL_OK], 1);
  owner_table_free (fixture.table);
}

/* Guards against a second start while the first run may still have a lease. */
static void
test_lost_run_expires_before_next_start (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 10);
  owner_on_holder_lost (fixture.table, HOLDER, 1000 * MS);
  /* A holder that is cut off renews its leases until it takes the owner for
     lost, up to 620 ms after it was last heard, and may die then.  A lease
     lasts 1,020 ms by the slowest clock.  */
  pl_manual_clock_advance (&fixture.clock, 1640 * MS);
  owner_tick (fixture.table);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 1);
  pl_manual_clock_advance (&fixture.clock, 160 * MS);
  owner_tick (fixture.table);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, 2);
  owner_table_free (fixture.table);
}

/* Guards against runs and requests that outlive a job whose caller has closed
   the connection.  */
static void
test_aborted_job_is_stopped (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 2);
  grant (&fixture, 0, 1);
  owner_abort_job (fixture.table, fixture.job, PL_CANCELLED_RAN, false);
  CU_ASSERT_EQUAL (fixture.calls.stops, 1);
  CU_ASSERT_EQUAL (fixture.calls.drops, 1);
  CU_ASSERT_EQUAL (fixture.calls.answers, 0);
  CU_ASSERT_EQUAL (owner_count_jobs (fixture.table), 0);
  owner_table_free (fixture.table);
}

/* Guards against a job that is not answered at its deadline.  */
static void
test_job_is_answered_at_deadline (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  pl_manual_clock_advance (&fixture.clock, 2001 * MS);
  owner_tick (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.answer.code, PL_DEADLINE_RAN);
  owner_table_free (fixture.table);
}

/* Guards against requests that a stopping process takes until its end and then
   cuts off.  */
static void
test_a_stopping_owner_answers_every_job (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  owner_limit_deadlines (fixture.table, 1500 * MS);
  struct owner_submission submission = {
    .job = 2,
    .route = "r",
    .service = "s",
    .service_key = 1,
    .spec = pl_str ("spec"),
    .n_tasks = 1,
    .size = { 14000, 64, 0 },
    .declared_us = 100 * MS,
    .stretch = 1.6,
    .deadline_us = 3000 * MS,
  };
  const struct owner_job *late
      = owner_submit_job (fixture.table, &submission, NULL);
  CU_ASSERT_EQUAL (late->deadline_us, 1500 * MS);
  fixture.clock.now_us = 1500 * MS;
  owner_tick (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.answers, 2);
  CU_ASSERT_EQUAL (fixture.calls.codes[PL_STOPPING], 1);
  CU_ASSERT_EQUAL (fixture.calls.codes[PL_DEADLINE_RAN], 1);
  CU_ASSERT_EQUAL (owner_count_jobs (fixture.table), 0);
  owner_table_free (fixture.table);
}

/* Reports that run RUN of task 0 was lost with its worker.  */
static void
lose_run (struct fixture *fixture, uint32_t run, enum lease_blame blame)
{
  struct owner_run_end end = {
    .worker = WORKER,
    .holder = HOLDER,
    .id = { 1, 0, run },
    .end = LEASE_END_STOPPED,
    .blame = blame,
  };
  owner_on_run_end (fixture->table, &end);
}

/* Guards against starts without a bound where the cause of the losses can't be
   told: a task that crashes its worker long after its start.  */
static void
test_a_task_that_is_lost_too_often_is_given_up (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  for (uint32_t run = 1; run <= 4; run++)
    {
      CU_ASSERT_EQUAL (fixture.calls.answers, 0);
      grant (&fixture, 0, 1);
      lose_run (&fixture, run, LEASE_BLAME_POSSIBLE);
    }
  CU_ASSERT_EQUAL (fixture.calls.codes[PL_FAILED_RAN], 1);
  owner_table_free (fixture.table);
}

/* Guards against a crash that counts twice because two holders report it, and
   against a job that is started although its task has crashed two workers when
   it was submitted before.  */
static void
test_each_crash_counts_once_and_for_later_submissions (void)
{
  struct fixture fixture;
  fixture_init (&fixture, 1);
  grant (&fixture, 0, 1);
  lose_run (&fixture, 1, LEASE_BLAME_LIKELY);
  lose_run (&fixture, 1, LEASE_BLAME_LIKELY);
  CU_ASSERT_EQUAL (fixture.calls.answers, 0);
  struct owner_crash crash = { .task = planner_task_tag (2, 0), .count = 2 };
  owner_add_crash (fixture.table, &crash);
  unsigned requests = fixture.calls.requests;
  struct owner_submission submission = {
    .job = 2,
    .route = "r",
    .service = "s",
    .spec = pl_str ("spec"),
    .n_tasks = 1,
    .declared_us = 100 * MS,
    .deadline_us = 3000 * MS,
  };
  (void)owner_submit_job (fixture.table, &submission, NULL);
  owner_tick (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.codes[PL_FAILED_RAN], 1);
  owner_flush_requests (fixture.table);
  CU_ASSERT_EQUAL (fixture.calls.requests, requests + 1);
  owner_table_free (fixture.table);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a job is answered after all its tasks",
      test_answer_waits_for_all_tasks },
    { "the bound per worker is kept", test_bound_per_worker_is_kept },
    { "unstarted jobs are counted", test_unstarted_jobs_are_counted },
    { "a started job is not answered as not run",
      test_started_job_is_not_answered_as_not_run },
    { "failed runs are limited", test_failed_runs_are_limited },
    { "a job whose starts were refused has not run",
      test_a_job_whose_starts_were_refused_has_not_run },
    { "old run numbers are skipped", test_old_run_numbers_are_skipped },
    { "a repeated grant is released", test_repeated_grant_is_released },
    { "a rejected start is requested later",
      test_rejected_start_is_requested_later },
    { "notices of earlier leases are ignored",
      test_notices_of_earlier_leases_are_ignored },
    { "a listed run is claimed", test_a_listed_run_is_claimed },
    { "ends of former leases are ignored",
      test_ends_of_former_leases_are_ignored },
    { "a done run counts under every lease",
      test_a_done_run_counts_under_every_lease },
    { "a lost run expires before the next start",
      test_lost_run_expires_before_next_start },
    { "an aborted job is stopped", test_aborted_job_is_stopped },
    { "a job is answered at its deadline", test_job_is_answered_at_deadline },
    { "a stopping owner answers every job",
      test_a_stopping_owner_answers_every_job },
    { "a task that is lost too often is given up",
      test_a_task_that_is_lost_too_often_is_given_up },
    { "each crash counts once and for later submissions",
      test_each_crash_counts_once_and_for_later_submissions },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("owner_test", tests);
}
