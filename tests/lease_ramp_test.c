/* Tests of lib/lease for cold workers: what they take of their capacity.  */
#include "lease_fixture.h"

#define COLD_UNTIL_US (10000 * MS)

/* A worker whose entry says that it is cold, taken at 0.  */
static struct lease_worker *
take_cold (struct lease_table *table)
{
  struct lease_worker_info cold = info;
  cold.cold_until_us = COLD_UNTIL_US;
  struct lease_worker *w = lease_take (table, &cold, TOKEN, 0);
  answer_poll (table, NULL, 0, NULL, 0, 0);
  return w;
}

static int32_t
reported_cpu (const struct lease_worker *w)
{
  struct planner_worker_report report;
  lease_fill_report (w, 1, 0, &report);
  return report.capacity.cpu;
}

/* Starts a run of JOB at NOW_US, which is done after TOOK_US.  */
static void
do_run (struct lease_table *table, struct lease_worker *w, uint64_t job,
        int64_t took_us, int64_t now_us)
{
  struct lease_order order = make_order (job, 1);
  answer_poll (table, NULL, 0, NULL, 0, now_us);
  CU_ASSERT_TRUE (lease_start (table, w, &order, now_us));
  lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_OK, now_us);
  struct lease_end_record record
      = { (int64_t)job, order.id, LEASE_OUTCOME_DONE };
  answer_poll (table, NULL, 0, &record, 1, now_us + took_us);
}

/* Guards against a cold worker that gets its full load at once, and against
   one that waits for its time although it has shown that it is fast.  */
static void
test_fast_runs_raise_the_part (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_worker *w = take_cold (table);
  CU_ASSERT_EQUAL (reported_cpu (w), 16000);
  do_run (table, w, 1, 200 * MS, MS);
  CU_ASSERT_EQUAL (reported_cpu (w), 23000);
  do_run (table, w, 2, 700 * MS, 300 * MS);
  CU_ASSERT_EQUAL (reported_cpu (w), 25000);
  do_run (table, w, 3, 90 * MS, 1100 * MS);
  CU_ASSERT_EQUAL (reported_cpu (w), 32000);
  /* The same cold time, read later, is no new one.  */
  struct lease_worker_info again = w->info;
  again.cold_until_us += 1000 * MS;
  lease_update (table, w, &again);
  lease_tick (table, 1300 * MS);
  CU_ASSERT_EQUAL (reported_cpu (w), 32000);
  lease_table_free (table);
}

/* Guards against a slow worker that is given its full load by a timer, and
   against one that keeps a part of its capacity for good.  */
static void
test_the_time_ends_a_slow_start (void)
{
  for (int slow = 0; slow <= 1; slow++)
    {
      struct sink sink = { 0 };
      struct lease_table *table = lease_table_new (&ops, &sink);
      struct lease_worker *w = take_cold (table);
      if (slow)
        do_run (table, w, 1, 400 * MS, 9000 * MS);
      lease_tick (table, COLD_UNTIL_US + MS);
      CU_ASSERT_EQUAL (reported_cpu (w), slow ? 19500 : 32000);
      lease_tick (table, COLD_UNTIL_US + 5000 * MS);
      CU_ASSERT_EQUAL (reported_cpu (w), 32000);
      lease_table_free (table);
    }
}

/* Guards against a first part in which no run fits, and against runs of a cold
   worker that are stopped as hanging.  */
static void
test_a_worker_that_is_marked_cold (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_order order = take_and_start (table);
  struct lease_worker *w = lease_find_worker (table, 1);
  CU_ASSERT_EQUAL (reported_cpu (w), 32000);
  lease_mark_cold (table, 1, 3 * MS);
  CU_ASSERT_EQUAL (reported_cpu (w), order.size.cpu);
  lease_tick (table, 500 * MS);
  CU_ASSERT_EQUAL (sink.stops, 0);
  /* It was sent before the worker became cold, and tells nothing.  */
  struct lease_end_record record = { 1, order.id, LEASE_OUTCOME_DONE };
  answer_poll (table, NULL, 0, &record, 1, 500 * MS);
  CU_ASSERT_EQUAL (reported_cpu (w), order.size.cpu);
  lease_table_free (table);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "fast runs raise the part", test_fast_runs_raise_the_part },
    { "the time ends a slow start", test_the_time_ends_a_slow_start },
    { "a worker that is marked cold", test_a_worker_that_is_marked_cold },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("lease_ramp_test", tests);
}
