/* Tests of lib/lease: workers that are silent, crash or restart, and which
   runs are blamed for it.  */
#include "lease_fixture.h"

/* Guards against runs that are reported as expired although another holder may
   have renewed their lease: the worker is asked once more, and without an
   answer the end is unknown.  */
static void
test_an_expired_lease_that_others_may_renew_is_unknown (void)
{
  for (int asked = 0; asked <= 1; asked++)
    {
      struct sink sink = { .exposed_us = 500 * MS };
      struct lease_table *table = lease_table_new (&ops, &sink);
      struct lease_order order = take_and_start (table);
      fail_poll (table, LEASE_REPLY_NO_ANSWER, 1200 * MS);
      CU_ASSERT_EQUAL (sink.ends, 0);
      lease_tick (table, 1300 * MS);
      if (asked)
        {
          struct lease_running running = { .id = order.id };
          answer_poll (table, &running, 1, NULL, 0, 1301 * MS);
          CU_ASSERT_EQUAL (sink.ends, 0);
        }
      else
        {
          fail_poll (table, LEASE_REPLY_NO_ANSWER, 1350 * MS);
          CU_ASSERT_EQUAL (sink.ends, 1);
          CU_ASSERT_EQUAL (sink.end, LEASE_END_UNKNOWN);
          CU_ASSERT_EQUAL (sink.cause, LEASE_CAUSE_EXPIRED);
        }
      lease_table_free (table);
    }
}

/* Guards against waiting for runs of a former incarnation of the worker.  */
static void
test_another_incarnation_ends_all_runs (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  (void)take_and_start (table);
  fail_poll (table, LEASE_REPLY_NO_ANSWER, 10 * MS);
  lease_tick (table, 20 * MS);
  struct lease_poll_result result
      = { .reply = LEASE_REPLY_OK, .clock_ms = 3, .incarnation_ms = 6 };
  lease_poll_done (table, 1, TOKEN, &result, 100 * MS);
  CU_ASSERT_EQUAL (sink.end, LEASE_END_STOPPED);
  CU_ASSERT_EQUAL (sink.ends, 1);
  lease_table_free (table);
}

/* Passes the answer of a new incarnation that lists the N_RUNNING runs of
   RUNNING, which is sent after all starts so far.  */
static void
answer_restarted (struct lease_table *table,
                  const struct lease_running *running, unsigned n_running,
                  int64_t now_us)
{
  struct lease_poll_result result = { .reply = LEASE_REPLY_OK,
                                      .clock_ms = 1,
                                      .incarnation_ms = 6,
                                      .running = running,
                                      .n_running = n_running };
  lease_poll_done (table, 1, present_token (table), &result, now_us);
}

/* Takes the worker, starts run 1 of job 1, which it lists, and has the poll
   after that fail at 10 ms as when its process ends.  The start of job 2,
   ORDER, is on its way then.  */
static struct lease_worker *
take_start_and_crash (struct lease_table *table, struct lease_order *order)
{
  struct lease_order first = take_and_start (table);
  struct lease_worker *w = lease_find_worker (table, 1);
  struct lease_running running = { .id = first.id };
  answer_poll (table, &running, 1, NULL, 0, 5 * MS);
  *order = make_order (2, 1);
  CU_ASSERT_TRUE (lease_start (table, w, order, 9 * MS));
  fail_poll (table, LEASE_REPLY_NO_ANSWER, 10 * MS);
  return w;
}

/* Guards against a task that is started elsewhere while it runs: its start was
   accepted by the restarted process of the worker before a poll showed the
   restart, and the run was taken for one of the former process.  */
static void
test_a_run_of_the_restarted_process_is_kept (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_order order;
  struct lease_worker *w = take_start_and_crash (table, &order);
  lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_OK, 12 * MS);
  struct lease_running running = { .id = order.id };
  lease_tick (table, 20 * MS);
  answer_restarted (table, &running, 1, 21 * MS);
  CU_ASSERT_EQUAL (sink.ends, 1); /* the run of the former process */
  CU_ASSERT_EQUAL (sink.ended.job, 1);
  CU_ASSERT_TRUE (lease_has_run (w, &order.id));
  CU_ASSERT_EQUAL (sink.stops, 0);
  lease_table_free (table);
}

/* Guards against the same for a start that was on its way when the restarted
   process listed its runs: whatever its answer, it is settled by the first
   list that was asked for with the raised token.  */
static void
test_a_start_beside_a_restart_ends_only_when_certain (void)
{
  for (int answered = 0; answered <= 1; answered++)
    {
      struct sink sink = { 0 };
      struct lease_table *table = lease_table_new (&ops, &sink);
      struct lease_order order;
      struct lease_worker *w = take_start_and_crash (table, &order);
      lease_tick (table, 20 * MS);
      answer_restarted (table, NULL, 0, 22 * MS);
      CU_ASSERT_EQUAL (sink.poll_wait_ms, 0); /* soon settled */
      CU_ASSERT_TRUE (w->token > TOKEN);
      lease_start_done (table, 1, TOKEN, &order.id,
                        answered ? LEASE_REPLY_OK : LEASE_REPLY_NO_ANSWER,
                        23 * MS);
      CU_ASSERT_TRUE (lease_has_run (w, &order.id));
      fail_poll (table, LEASE_REPLY_NO_ANSWER, 23 * MS);
      lease_tick (table, 43 * MS);
      CU_ASSERT_TRUE (lease_has_run (w, &order.id));
      answer_restarted (table, NULL, 0, 44 * MS);
      CU_ASSERT_FALSE (lease_has_run (w, &order.id));
      CU_ASSERT_EQUAL (sink.ends, 2);
      CU_ASSERT_EQUAL (sink.end, LEASE_END_STOPPED);
      lease_table_free (table);
    }
}

/* Has all polls fail with REPLY from FROM_MS until UNTIL_MS.  */
static void
fail_polls (struct lease_table *table, enum lease_reply reply, int64_t from_ms,
            int64_t until_ms)
{
  for (int64_t ms = from_ms; ms < until_ms; ms += 100)
    fail_poll (table, reply, ms * MS);
}

/* Guards against a task that is started elsewhere because the lease of a start
   without an answer has expired: the start may wait for the worker's next
   process, which counts its clock anew and carries it out.  */
static void
test_a_start_without_an_answer_outlives_its_lease (void)
{
  for (int carried_out = 0; carried_out <= 1; carried_out++)
    {
      struct sink sink = { 0 };
      struct lease_table *table = lease_table_new (&ops, &sink);
      struct lease_order order = take_and_send_start (table);
      struct lease_worker *w = lease_find_worker (table, 1);
      lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_NO_ANSWER,
                        200 * MS);
      fail_polls (table, LEASE_REPLY_NO_ANSWER, 200, 5000);
      CU_ASSERT_EQUAL (sink.ends, 0);
      CU_ASSERT_TRUE (lease_has_only_unanswered_starts (w));
      /* The silent worker is not called again and again.  */
      unsigned stops = sink.stops;
      lease_tick (table, 5000 * MS);
      CU_ASSERT_EQUAL (sink.stops, stops);
      answer_restarted (table, NULL, 0, 5010 * MS);
      CU_ASSERT_EQUAL (sink.ends, 0);
      struct lease_running running = { .id = order.id };
      answer_restarted (table, &running, (unsigned)carried_out, 5011 * MS);
      CU_ASSERT_EQUAL (sink.ends, carried_out ? 0 : 1);
      CU_ASSERT_EQUAL (lease_has_run (w, &order.id), carried_out);
      CU_ASSERT_EQUAL (sink.taken, 2);
      lease_table_free (table);
    }
}

/* Guards against orders to the former process that the new one carries out
   later: the token is raised at once, and nothing is started before the worker
   has answered a poll with it.  */
static void
test_a_restart_raises_the_token (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_worker *w = take_and_answer (table, 0);
  struct lease_worker_info restarted = info;
  restarted.incarnation_ms = 6;
  answer_restarted (table, NULL, 0, 10 * MS);
  lease_update (table, w, &restarted);
  CU_ASSERT_TRUE (w->token > TOKEN);
  struct lease_order order = make_order (1, 1);
  CU_ASSERT_FALSE (lease_start (table, w, &order, 11 * MS));
  order.token = w->token;
  CU_ASSERT_FALSE (lease_start (table, w, &order, 11 * MS));
  answer_restarted (table, NULL, 0, 12 * MS);
  CU_ASSERT_TRUE (lease_start (table, w, &order, 13 * MS));
  lease_table_free (table);
}

/* Guards against a run that is taken for ended while its lease goes on: a
   process whose restart has not been noticed grants the longest lease when it
   carries out the start, not when the start is sent.  */
static void
test_a_lease_counts_from_the_answer_to_its_start (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_order order = take_and_send_start (table);
  lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_OK, 300 * MS);
  fail_polls (table, LEASE_REPLY_NO_ANSWER, 310, 1300);
  CU_ASSERT_EQUAL (sink.ends, 0);
  fail_poll (table, LEASE_REPLY_NO_ANSWER, 300 * MS + LEASE_EXPIRY_US + MS);
  CU_ASSERT_EQUAL (sink.ends, 1);
  lease_table_free (table);
}

/* Guards against a stop that only the former process has acknowledged: the new
   one would still carry out the start.  */
static void
test_a_stop_is_repeated_after_a_restart (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_order order = take_and_send_start (table);
  struct lease_worker *w = lease_find_worker (table, 1);
  lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_NO_ANSWER, 2 * MS);
  lease_stop_done (table, 1, TOKEN, &order.id, LEASE_REPLY_OK, 3 * MS);
  fail_poll (table, LEASE_REPLY_NO_ANSWER, 10 * MS);
  lease_tick (table, 20 * MS);
  answer_restarted (table, NULL, 0, 21 * MS);
  CU_ASSERT_TRUE (lease_has_run (w, &order.id));
  CU_ASSERT_EQUAL (sink.stops, 2);
  lease_table_free (table);
}

/* Guards against ends of the restarted process that are acknowledged before
   they were read, by the number of an end of the former process.  */
static void
test_ends_of_a_restarted_process_are_not_acknowledged_unread (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  (void)take_and_answer (table, 0);
  struct lease_end_record end = { 9, { 8, 0, 1 }, LEASE_OUTCOME_DONE };
  answer_poll (table, NULL, 0, &end, 1, MS);
  CU_ASSERT_EQUAL (sink.poll_last_end, 9);
  fail_poll (table, LEASE_REPLY_NO_ANSWER, 2 * MS);
  lease_tick (table, 22 * MS);
  CU_ASSERT_EQUAL (sink.poll_last_end, 0);
  answer_poll (table, NULL, 0, &end, 1, 23 * MS);
  CU_ASSERT_EQUAL (sink.ends, 1); /* the same end is read once */
  CU_ASSERT_EQUAL (sink.poll_last_end, 9);
  lease_table_free (table);
}

/* Loses a worker whose task 0 was started 100 ms before task 1, and whose
   polls fail with REPLY.  If not ANSWERED, the start of task 1 got no answer.
 */
static void
lose_worker (enum lease_reply reply, bool draining, bool answered,
             struct sink *sink)
{
  struct lease_table *table = lease_table_new (&ops, sink);
  struct lease_worker *w = lease_take (table, &info, TOKEN, 0);
  answer_poll (table, NULL, 0, NULL, 0, MS);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct lease_order order = make_order (7, 1);
      int64_t now_us = (2 + 100 * i) * MS;
      order.id.index = i;
      CU_ASSERT_TRUE (lease_start (table, w, &order, now_us));
      lease_start_done (
          table, 1, TOKEN, &order.id,
          i == 0 || answered ? LEASE_REPLY_OK : LEASE_REPLY_NO_ANSWER, now_us);
    }
  struct lease_worker_info changed = info;
  changed.draining = draining;
  lease_update (table, w, &changed);
  fail_polls (table, reply, 110, 1300);
  CU_ASSERT_EQUAL (sink->ends, answered ? 2 : 1);
  CU_ASSERT_EQUAL (sink->cause, LEASE_CAUSE_EXPIRED);
  if (!answered)
    {
      answer_restarted (table, NULL, 0, 1400 * MS);
      answer_restarted (table, NULL, 0, 1401 * MS);
    }
  CU_ASSERT_EQUAL (sink->ends, 2);
  lease_table_free (table);
}

/* Guards against a crash that is put down to tasks that ran beside its cause
   or that no process has accepted, to a cut network, or to a worker that left.
 */
static void
test_the_latest_start_is_blamed_for_a_crash (void)
{
  static const struct
  {
    enum lease_reply reply;
    bool draining;
    bool answered;
    enum lease_blame blames[2];
  } cases[] = {
    { LEASE_REPLY_CONN_REFUSED,
      false,
      true,
      { LEASE_BLAME_POSSIBLE, LEASE_BLAME_LIKELY } },
    /* The start of task 1 may never have reached the process.  */
    { LEASE_REPLY_CONN_REFUSED,
      false,
      false,
      { LEASE_BLAME_LIKELY, LEASE_BLAME_POSSIBLE } },
    { LEASE_REPLY_NO_ANSWER,
      false,
      true,
      { LEASE_BLAME_POSSIBLE, LEASE_BLAME_POSSIBLE } },
    { LEASE_REPLY_CONN_REFUSED,
      true,
      true,
      { LEASE_BLAME_NONE, LEASE_BLAME_NONE } },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct sink sink = { 0 };
      lose_worker (cases[i].reply, cases[i].draining, cases[i].answered,
                   &sink);
      CU_ASSERT_EQUAL (sink.silent_reply, cases[i].reply);
      CU_ASSERT_EQUAL (sink.blames[0], cases[i].blames[0]);
      CU_ASSERT_EQUAL (sink.blames[1], cases[i].blames[1]);
    }
}

/* Guards against starts on a restarted worker by the capacity that its former
   process had.  */
static void
test_a_restarted_worker_waits_for_its_entry (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_worker *w = lease_take (table, &info, TOKEN, 0);
  answer_poll (table, NULL, 0, NULL, 0, MS);
  answer_restarted (table, NULL, 0, 2 * MS);
  answer_restarted (table, NULL, 0, 2 * MS);
  struct lease_order order = make_order (7, 1);
  order.token = w->token;
  CU_ASSERT_FALSE (lease_start (table, w, &order, 3 * MS));
  struct lease_worker_info changed = info;
  lease_update (table, w, &changed); /* the former process's entry, again */
  CU_ASSERT_FALSE (lease_start (table, w, &order, 3 * MS));
  changed.incarnation_ms = 6;
  lease_update (table, w, &changed);
  CU_ASSERT_TRUE (lease_start (table, w, &order, 3 * MS));
  lease_table_free (table);
}

/* Guards against a restart that goes unnoticed because the registry told of
   the new process before it answered: its ends, which are numbered from 1
   again, were passed over.  */
static void
test_a_restart_is_noticed_after_the_registry_tells (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_worker *w = lease_take (table, &info, TOKEN, 0);
  struct lease_end_record old_end = { 9, { 8, 0, 1 }, LEASE_OUTCOME_DONE };
  answer_poll (table, NULL, 0, &old_end, 1, MS);
  struct lease_order order = make_order (7, 1);
  CU_ASSERT_TRUE (lease_start (table, w, &order, 2 * MS));
  lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_OK, 3 * MS);
  fail_poll (table, LEASE_REPLY_NO_ANSWER, 4 * MS);
  lease_tick (table, 24 * MS);
  struct lease_worker_info restarted = info;
  restarted.incarnation_ms = 6;
  lease_update (table, w, &restarted);
  struct lease_end_record end = { 1, { 9, 0, 1 }, LEASE_OUTCOME_DONE };
  struct lease_poll_result result = { .reply = LEASE_REPLY_OK,
                                      .clock_ms = 1,
                                      .incarnation_ms = 6,
                                      .ended = &end,
                                      .n_ended = 1 };
  lease_poll_done (table, 1, TOKEN, &result, 25 * MS);
  CU_ASSERT_EQUAL (w->runs->len, 0);
  CU_ASSERT_EQUAL (sink.ends, 3);
  answer_restarted (table, NULL, 0, 26 * MS);
  order.token = w->token;
  CU_ASSERT_TRUE (lease_start (table, w, &order, 27 * MS));
  lease_table_free (table);
}

/* Guards against tasks that are blamed because this instance's network refuses
   connections to most of its workers.  */
static void
test_nobody_is_blamed_if_most_workers_refuse (void)
{
  struct sink sink = { 0 };
  struct lease_table *table = lease_table_new (&ops, &sink);
  struct lease_worker *w = lease_take (table, &info, TOKEN, 0);
  for (uint64_t other = 2; other <= 3; other++)
    {
      struct lease_worker_info more = info;
      more.worker = other;
      (void)lease_take (table, &more, TOKEN, 0);
      struct lease_poll_result refused = { .reply = LEASE_REPLY_CONN_REFUSED };
      lease_poll_done (table, other, TOKEN, &refused, MS);
    }
  answer_poll (table, NULL, 0, NULL, 0, MS);
  struct lease_order order = make_order (7, 1);
  CU_ASSERT_TRUE (lease_start (table, w, &order, 2 * MS));
  lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_OK, 3 * MS);
  fail_polls (table, LEASE_REPLY_CONN_REFUSED, 10, 1200);
  CU_ASSERT_EQUAL (sink.ends, 1);
  CU_ASSERT_EQUAL (sink.blames[0], LEASE_BLAME_POSSIBLE);
  lease_table_free (table);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "an expired lease that others may renew is unknown",
      test_an_expired_lease_that_others_may_renew_is_unknown },
    { "another incarnation ends all runs",
      test_another_incarnation_ends_all_runs },
    { "a run of the restarted process is kept",
      test_a_run_of_the_restarted_process_is_kept },
    { "a start beside a restart ends only when certain",
      test_a_start_beside_a_restart_ends_only_when_certain },
    { "a start without an answer outlives its lease",
      test_a_start_without_an_answer_outlives_its_lease },
    { "a restart raises the token", test_a_restart_raises_the_token },
    { "a lease counts from the answer to its start",
      test_a_lease_counts_from_the_answer_to_its_start },
    { "a stop is repeated after a restart",
      test_a_stop_is_repeated_after_a_restart },
    { "ends of a restarted process are not acknowledged unread",
      test_ends_of_a_restarted_process_are_not_acknowledged_unread },
    { "the latest start is blamed for a crash",
      test_the_latest_start_is_blamed_for_a_crash },
    { "a restarted worker waits for its entry",
      test_a_restarted_worker_waits_for_its_entry },
    { "a restart is noticed after the registry tells",
      test_a_restart_is_noticed_after_the_registry_tells },
    { "nobody is blamed if most workers refuse",
      test_nobody_is_blamed_if_most_workers_refuse },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("lease_crash_test", tests);
}
