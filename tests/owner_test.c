/* Tests of lib/owner: one job from submission to its answer.  */
#include "owner.h"
#include "test.h"

#include <string.h>

#define MS ((int64_t)1000)
#define HOLDER 50
#define OTHER_HOLDER 51
#define WORKER 60

struct sink
{
  unsigned asks;
  unsigned asked_tasks;
  unsigned drops;
  unsigned releases;
  unsigned starts;
  struct lease_order start;
  unsigned claims;
  unsigned stops;
  unsigned answers;
  struct owner_answer answer;
};

static void
on_ask (void *ctx, const struct planner_request *want)
{
  struct sink *sink = ctx;
  sink->asks++;
  sink->asked_tasks = want->n_waiting;
}

static void
on_drop (void *ctx, uint64_t job)
{
  (void)job;
  ((struct sink *)ctx)->drops++;
}

static void
on_release (void *ctx, uint64_t worker, uint64_t tag)
{
  (void)worker;
  (void)tag;
  ((struct sink *)ctx)->releases++;
}

static void
on_start (void *ctx, uint64_t holder, uint64_t worker,
          const struct lease_order *order)
{
  struct sink *sink = ctx;
  (void)holder;
  (void)worker;
  sink->starts++;
  sink->start = *order;
}

static void
on_claim (void *ctx, uint64_t holder, uint64_t worker,
          const struct lease_order *order)
{
  (void)holder;
  (void)worker;
  (void)order;
  ((struct sink *)ctx)->claims++;
}

static void
on_stop (void *ctx, uint64_t holder, uint64_t worker,
         const struct lease_run_id *id)
{
  (void)holder;
  (void)worker;
  (void)id;
  ((struct sink *)ctx)->stops++;
}

static void
on_answer (void *ctx, struct owner_job *job, const struct owner_answer *answer)
{
  struct sink *sink = ctx;
  (void)job;
  sink->answers++;
  sink->answer = *answer;
}

static const struct owner_ops ops = {
  .ask = on_ask,
  .drop = on_drop,
  .release = on_release,
  .start = on_start,
  .claim = on_claim,
  .stop = on_stop,
  .answer = on_answer,
};

/* A table with one job of N tasks that the planner knows.  */
struct bench
{
  struct pl_manual_clock clock;
  struct sink sink;
  struct owner_table *table;
  struct owner_job *job;
};

static void
bench_open (struct bench *bench, unsigned n_tasks)
{
  *bench = (struct bench){ 0 };
  pl_manual_clock_init (&bench->clock, 1000 * MS);
  bench->table = owner_table_new (&bench->clock.base, &ops, &bench->sink);
  struct owner_submission order = {
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
  bench->job = owner_submit_job (bench->table, &order, NULL);
  owner_flush_requests (bench->table);
}

static void
grant (struct bench *bench, uint32_t index, int64_t token)
{
  struct owner_placement place = { WORKER, HOLDER, token };
  owner_on_grant (bench->table, 1, index, &place);
}

static void
end_run (struct bench *bench, uint32_t index, uint32_t run, enum lease_end end)
{
  struct lease_run_id id = { 1, index, run };
  owner_on_run_end (bench->table, WORKER, HOLDER, &id, end, 100 * MS);
}

/* Guards against an answer before all tasks are done.  */
static void
test_the_answer_is_whole (void)
{
  struct bench bench;
  bench_open (&bench, 2);
  CU_ASSERT_EQUAL (bench.sink.asked_tasks, 2);
  grant (&bench, 0, 1);
  grant (&bench, 1, 1);
  end_run (&bench, 0, 1, LEASE_END_DONE);
  CU_ASSERT_EQUAL (bench.sink.answers, 0);
  end_run (&bench, 1, 1, LEASE_END_DONE);
  CU_ASSERT_EQUAL (bench.sink.answers, 1);
  CU_ASSERT_EQUAL (bench.sink.answer.code, PL_OK);
  owner_table_free (bench.table);
}

/* Guards against a queue's length that counts what has started.  */
static void
test_waiting_jobs_are_counted (void)
{
  struct bench bench;
  bench_open (&bench, 2);
  CU_ASSERT_EQUAL (owner_count_unstarted (bench.table, "r"), 1);
  CU_ASSERT_EQUAL (owner_count_unstarted (bench.table, "other"), 0);
  grant (&bench, 0, 1);
  CU_ASSERT_EQUAL (owner_count_unstarted (bench.table, "r"), 0);
  owner_table_free (bench.table);
}

/* Guards against "not run" for a job of which something has started.  */
static void
test_a_refusal_is_true (void)
{
  struct bench bench;
  bench_open (&bench, 2);
  owner_on_refusal (bench.table, 1, 1500);
  CU_ASSERT_EQUAL (bench.sink.answer.code, PL_DEADLINE_LOST);
  CU_ASSERT_EQUAL (bench.sink.answer.retry_after_ms, 1500);
  owner_table_free (bench.table);
  bench_open (&bench, 2);
  grant (&bench, 0, 1);
  owner_on_refusal (bench.table, 1, 1500);
  CU_ASSERT_EQUAL (bench.sink.answer.code, PL_DEADLINE_RAN);
  CU_ASSERT_EQUAL (bench.sink.stops, 1);
  owner_table_free (bench.table);
}

/* Guards against more runs than the route allows to fail.  */
static void
test_attempts_are_bounded (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 1);
  end_run (&bench, 0, 1, LEASE_END_FAILED);
  CU_ASSERT_EQUAL (bench.sink.answers, 0);
  grant (&bench, 0, 1);
  CU_ASSERT_EQUAL (bench.sink.start.id.run, 2);
  end_run (&bench, 0, 2, LEASE_END_FAILED);
  CU_ASSERT_EQUAL (bench.sink.answer.code, PL_FAILED_RAN);
  owner_table_free (bench.table);
}

/* Guards against run numbers that an earlier attempt has used up.  */
static void
test_old_run_numbers_are_skipped (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 1);
  end_run (&bench, 0, 1, LEASE_END_OLD_RUN);
  grant (&bench, 0, 1);
  CU_ASSERT_TRUE (bench.sink.start.id.run > 10);
  owner_table_free (bench.table);
}

/* Guards against a grant that comes twice: the second one starts nothing. */
static void
test_a_second_grant_is_given_back (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 1);
  grant (&bench, 0, 1);
  CU_ASSERT_EQUAL (bench.sink.starts, 1);
  CU_ASSERT_EQUAL (bench.sink.releases, 1);
  owner_table_free (bench.table);
}

/* Guards against the same grant again and again after a refused start.  */
static void
test_a_refused_start_is_asked_for_later (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 1);
  end_run (&bench, 0, 1, LEASE_END_REJECTED);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 1);
  pl_manual_clock_advance (&bench.clock, 20 * MS);
  owner_tick (bench.table);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 2);
  /* A grant meanwhile must not be undone by the waiting request.  */
  owner_table_free (bench.table);
  bench_open (&bench, 1);
  grant (&bench, 0, 1);
  end_run (&bench, 0, 1, LEASE_END_REJECTED);
  grant (&bench, 0, 1);
  pl_manual_clock_advance (&bench.clock, 20 * MS);
  owner_tick (bench.table);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 1);
  owner_table_free (bench.table);
}

/* Guards against a notice of a lease before that of the start.  */
static void
test_notices_of_earlier_leases_are_ignored (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 10);
  struct owner_placement earlier = { WORKER, OTHER_HOLDER, 9 };
  owner_on_worker_taken (bench.table, &earlier, NULL, 0);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 1);
  struct owner_placement later = { WORKER, OTHER_HOLDER, 11 };
  owner_on_worker_taken (bench.table, &later, NULL, 0);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 2);
  owner_table_free (bench.table);
}

/* Guards against a run that is lost with its holder although it goes on.  */
static void
test_a_listed_run_is_claimed (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 10);
  owner_on_holder_lost (bench.table, HOLDER, 1000 * MS);
  struct owner_placement later = { WORKER, OTHER_HOLDER, 11 };
  struct lease_run_id id = { 1, 0, 1 };
  owner_on_worker_taken (bench.table, &later, &id, 1);
  CU_ASSERT_EQUAL (bench.sink.claims, 1);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 1);
  /* The former holder doesn't know what its successor found.  */
  end_run (&bench, 0, 1, LEASE_END_STOPPED);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 1);
  owner_table_free (bench.table);
}

/* Guards against a second start while the first run may still hold a lease. */
static void
test_lost_runs_lapse_first (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 10);
  owner_on_holder_lost (bench.table, HOLDER, 1000 * MS);
  /* It renewed its leases at most a beat (100 ms) after it was heard, and a
     lease lasts 1,020 ms by the slowest clock.  */
  pl_manual_clock_advance (&bench.clock, 1120 * MS);
  owner_tick (bench.table);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 1);
  pl_manual_clock_advance (&bench.clock, 300 * MS);
  owner_tick (bench.table);
  owner_flush_requests (bench.table);
  CU_ASSERT_EQUAL (bench.sink.asks, 2);
  owner_table_free (bench.table);
}

/* Guards against work for a caller that has gone.  */
static void
test_a_gone_caller_stops_the_work (void)
{
  struct bench bench;
  bench_open (&bench, 2);
  grant (&bench, 0, 1);
  owner_abort_job (bench.table, bench.job, PL_CANCELLED_RAN, false);
  CU_ASSERT_EQUAL (bench.sink.stops, 1);
  CU_ASSERT_EQUAL (bench.sink.drops, 1);
  CU_ASSERT_EQUAL (bench.sink.answers, 0);
  CU_ASSERT_EQUAL (owner_count_jobs (bench.table), 0);
  owner_table_free (bench.table);
}

/* Guards against a job without an answer at its deadline.  */
static void
test_the_deadline_is_answered (void)
{
  struct bench bench;
  bench_open (&bench, 1);
  grant (&bench, 0, 1);
  pl_manual_clock_advance (&bench.clock, 2001 * MS);
  owner_tick (bench.table);
  CU_ASSERT_EQUAL (bench.sink.answer.code, PL_DEADLINE_RAN);
  owner_table_free (bench.table);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "the answer is whole", test_the_answer_is_whole },
    { "waiting jobs are counted", test_waiting_jobs_are_counted },
    { "a refusal is true", test_a_refusal_is_true },
    { "attempts are bounded", test_attempts_are_bounded },
    { "old run numbers are skipped", test_old_run_numbers_are_skipped },
    { "a second grant is given back", test_a_second_grant_is_given_back },
    { "a refused start is asked for later",
      test_a_refused_start_is_asked_for_later },
    { "notices of earlier leases are ignored",
      test_notices_of_earlier_leases_are_ignored },
    { "a listed run is claimed", test_a_listed_run_is_claimed },
    { "lost runs lapse first", test_lost_runs_lapse_first },
    { "a gone caller stops the work", test_a_gone_caller_stops_the_work },
    { "the deadline is answered", test_the_deadline_is_answered },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("owner_test", tests);
}
