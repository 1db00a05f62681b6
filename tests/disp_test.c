/* Tests of lib/disp: each job gets one reply, each task starts at most once,
   and outcomes are true.  The test replaces runners and peers and sets the
   time.  */
#include "disp_model.h"

/* Guards against answers in the order of completion instead of the order of
   tasks.  */
static void
test_answers_in_task_order (void)
{
  struct fixture *f = fixture_new (2, 1);
  struct received got = { 0 };
  struct received joined = { 0 };
  submit_job (f, make_request (f, "k1", "once", 4, 0), &got);
  CU_ASSERT_EQUAL (f->running->len, 4);
  submit_job (f, make_request (f, "k1", "once", 4, 0), &joined);
  CU_ASSERT_EQUAL (f->running->len, 4);
  complete_all_tasks (f);
  CU_ASSERT_EQUAL (got.times, 1);
  CU_ASSERT_EQUAL (joined.times, 1);
  CU_ASSERT_EQUAL (got.code, PL_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (got.body, "[0,1,2,3]"));
  fixture_free (f);
}

/* Guards against "not run" for a job with a started task, and against a reply
   at the deadline that waits for running tasks.  */
static void
test_deadline_before_and_after_start (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received first = { 0 };
  struct received second = { 0 };
  struct received third = { 0 };
  submit_job (f, make_request (f, "k1", "once", 8, 0), &first);
  struct job_req *req = make_request (f, "k2", "once", 1, 0);
  req->deadline_ms = 1000;
  submit_job (f, req, &second);
  advance_ms (f, 1000);
  CU_ASSERT_EQUAL (second.code, PL_DEADLINE_LOST);
  end_task (f, 0, RUN_OK, "1");
  advance_ms (f, 4000);
  CU_ASSERT_EQUAL (first.code, PL_DEADLINE_RAN);
  CU_ASSERT_EQUAL (f->cancels, 7);
  /* The slots of the seven running tasks stay in use.  */
  submit_job (f, make_request (f, "k3", "once", 8, 0), &third);
  CU_ASSERT_EQUAL (f->running->len, 8);
  advance_ms (f, 5000);
  CU_ASSERT_EQUAL (third.code, PL_UNKNOWN_LOST);
  fixture_free (f);
}

/* Guards against a partial answer, and against a failure that forgets which
   tasks have run.  */
static void
test_failure_after_some_ran (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received got = { 0 };
  submit_job (f, make_request (f, "k1", "once", 10, 0), &got);
  end_task (f, 0, RUN_OK, "1");
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 8);
  end_task (f, 0, RUN_FAILED, "no");
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 7);
  CU_ASSERT_EQUAL (f->cancels, 7);
  CU_ASSERT_EQUAL (got.times, 0);
  advance_ms (f, 200);
  CU_ASSERT_EQUAL (got.times, 1);
  CU_ASSERT_EQUAL (got.code, PL_FAILED_RAN);
  fixture_free (f);
}

/* Guards against a start without a permit: refused, not answered in time, or
   its witness lost.  */
static void
test_permit (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received refused = { 0 };
  struct received silent = { 0 };
  struct received granted = { 0 };
  struct received lost = { 0 };
  submit_job (f, make_request (f, "k1", "once", 1, PEER), &refused);
  CU_ASSERT_EQUAL (f->permits, 1);
  advance_ms (f, 60);
  CU_ASSERT_EQUAL (f->permits, 2);
  disp_permit_result (f->disp, f->permit, false);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (refused.code, PL_NO_PERMIT);
  submit_job (f, make_request (f, "k2", "once", 1, PEER), &silent);
  advance_ms (f, 300);
  CU_ASSERT_EQUAL (silent.code, PL_NO_PERMIT);
  disp_permit_result (f->disp, f->permit, true);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 0);
  submit_job (f, make_request (f, "k3", "once", 1, PEER), &lost);
  disp_peer_lost (f->disp, PEER);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (lost.code, PL_NO_PERMIT);
  submit_job (f, make_request (f, "k4", "once", 1, PEER), &granted);
  CU_ASSERT_EQUAL (f->running->len, 0);
  disp_permit_result (f->disp, f->permit, true);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 1);
  complete_all_tasks (f);
  CU_ASSERT_EQUAL (granted.code, PL_OK);
  fixture_free (f);
}

/* Guards against a second start of a task that may have run.  Retried are
   tasks that were not sent, and refused ones of a repeatable kind.  */
static void
test_repeats_only_certain_non_starts (void)
{
  struct fixture *f = fixture_new (2, 1);
  struct received got = { 0 };
  struct received once = { 0 };
  struct received maybe = { 0 };
  submit_job (f, make_request (f, "k1", "again", 1, 0), &got);
  end_task (f, 0, RUN_NOT_SENT, NULL);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 0);
  advance_ms (f, 20);
  CU_ASSERT_EQUAL (f->running->len, 1);
  end_task (f, 0, RUN_REFUSED, NULL);
  disp_run_once (f->disp);
  advance_ms (f, 20);
  CU_ASSERT_EQUAL (f->running->len, 1);
  complete_all_tasks (f);
  CU_ASSERT_EQUAL (got.code, PL_OK);
  submit_job (f, make_request (f, "k2", "once", 1, 0), &once);
  end_task (f, 0, RUN_REFUSED, NULL);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (once.code, PL_NO_WORKER);
  submit_job (f, make_request (f, "k3", "again", 1, 0), &maybe);
  end_task (f, 0, RUN_MAYBE, NULL);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (maybe.code, PL_UNKNOWN_LOST);
  advance_ms (f, 1000);
  CU_ASSERT_EQUAL (f->running->len, 0);
  fixture_free (f);
}

/* Guards against "not run" for a cancelled job with running tasks.  */
static void
test_cancel (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received got = { 0 };
  struct received queued = { 0 };
  struct received cancel_reply = { 0 };
  struct received lookup_reply = { 0 };
  submit_job (f, make_request (f, "k1", "once", 8, 0), &got);
  struct job_req *req = make_request (f, "k2", "once", 1, 0);
  g_autofree char *key = g_strdup (req->key);
  submit_job (f, req, &queued);
  disp_lookup (f->disp, pl_str (key), on_done, &lookup_reply);
  disp_cancel (f->disp, pl_str (key), on_done, &cancel_reply);
  disp_run_once (f->disp);
  CU_ASSERT_PTR_NOT_NULL (strstr (lookup_reply.body, "queued"));
  CU_ASSERT_EQUAL (queued.code, PL_CANCELLED);
  CU_ASSERT_EQUAL (cancel_reply.code, PL_CANCELLED);
  g_autofree char *first = g_strdup (key);
  first[strlen (first) - 1] = '1';
  disp_cancel (f->disp, pl_str (first), on_done, &cancel_reply);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (f->cancels, 8);
  CU_ASSERT_EQUAL (got.times, 0);
  end_task (f, 0, RUN_OK, "1");
  advance_ms (f, 200);
  CU_ASSERT_EQUAL (got.code, PL_CANCELLED_RAN);
  CU_ASSERT_EQUAL (cancel_reply.times, 2);
  fixture_free (f);
}

/* Guards against the start of a job whose cancellation arrived before its
   submission.  */
static void
test_cancel_first (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received cancel_reply = { 0 };
  struct received late = { 0 };
  struct job_req *req = make_request (f, "k1", "once", 1, 0);
  g_autofree char *key = g_strdup (req->key);
  disp_cancel (f->disp, pl_str (key), on_done, &cancel_reply);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (cancel_reply.code, PL_CANCELLED);
  submit_job (f, req, &late);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (late.code, PL_CANCELLED);
  CU_ASSERT_EQUAL (f->running->len, 0);
  fixture_free (f);
}

/* Guards against jobs that wait although their result is known: too much
   memory, a parse error, answers over the limit.  */
static void
test_refusals (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received got = { 0 };
  struct job_req *req = make_request (f, "k1", "once", 1, 0);
  req->tasks[0].memory_mb = 1001;
  submit_job (f, req, &got);
  CU_ASSERT_EQUAL (got.code, PL_NEVER_RUNNABLE);
  req = make_request (f, "k2", "once", 1, 0);
  req->parse_err.code = PL_BAD_JSON;
  submit_job (f, req, &got);
  CU_ASSERT_EQUAL (got.code, PL_BAD_JSON);
  /* The parse error was recorded as the reply to the key.  */
  submit_job (f, make_request (f, "k2", "once", 1, 0), &got);
  CU_ASSERT_EQUAL (got.code, PL_BAD_JSON);
  f->conf.job_answer_bytes = 3;
  submit_job (f, make_request (f, "k3", "once", 4, 0), &got);
  complete_all_tasks (f);
  CU_ASSERT_EQUAL (got.code, PL_ANSWER_TOO_LARGE);
  CU_ASSERT_EQUAL (got.times, 4);
  fixture_free (f);
}

/* Guards against a job that is refused only at its deadline although it can't
   end in time any more: known run times are 500 ms.  */
static void
test_hopeless_job_is_refused_early (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received fill = { 0 };
  struct received got = { 0 };
  for (unsigned n = 0; n < 2; n++)
    {
      submit_job (f, make_request (f, n > 0 ? "k1" : "k0", "once", 8, 0),
                  &fill);
      while (f->running->len > 0)
        {
          struct run_task *task = g_ptr_array_steal_index (f->running, 0);
          struct run_result *result = g_new0 (struct run_result, 1);
          result->run_us = 500000;
          result->answer = g_bytes_new_static ("1", 1);
          disp_run_done (f->disp, task, result);
        }
      disp_run_once (f->disp);
    }
  submit_job (f, make_request (f, "k2", "once", 8, 0), &fill);
  struct job_req *req = make_request (f, "k3", "once", 1, 0);
  req->deadline_ms = 1100;
  submit_job (f, req, &got);
  advance_ms (f, 590);
  CU_ASSERT_EQUAL (got.times, 0);
  advance_ms (f, 50);
  CU_ASSERT_EQUAL (got.code, PL_DEADLINE_LOST);
  CU_ASSERT (got.retry_ms > 0);
  fixture_free (f);
}

/* Guards against one request for slots for each task: 390 tasks take at most
   six.  */
static void
test_borrow_in_few_requests (void)
{
  struct fixture *f = fixture_new (MAX_WORKERS, 2);
  struct received got = { 0 };
  struct job_req *req = make_request (f, "k1", "once", 390, 0);
  req->deadline_ms = 60000;
  submit_job (f, req, &got);
  unsigned own = f->running->len;
  CU_ASSERT (own < MAX_WORKERS * SLOTS);
  CU_ASSERT_EQUAL (f->borrows, 1);
  struct disp_worker_slots list[MAX_WORKERS];
  for (unsigned i = 0; i < MAX_WORKERS; i++)
    list[i] = (struct disp_worker_slots){
      .addr = worker_addr (i),
      .count = SLOTS - memb_share (&f->view, SELF, worker_addr (i), SLOTS)
    };
  disp_slots_granted (f->disp, PEER, list, MAX_WORKERS);
  disp_run_once (f->disp);
  CU_ASSERT_EQUAL (f->running->len, MAX_WORKERS * SLOTS);
  for (unsigned turns = 0; got.times == 0 && turns < 100; turns++)
    {
      unsigned asked = f->borrows;
      advance_ms (f, 100);
      complete_all_tasks (f);
      if (f->borrows > asked)
        disp_slots_granted (f->disp, PEER, NULL, 0);
    }
  CU_ASSERT_EQUAL (got.code, PL_OK);
  CU_ASSERT (f->borrows <= 6);
  advance_ms (f, 110);
  advance_ms (f, 110);
  CU_ASSERT_EQUAL (f->returned, MAX_WORKERS * SLOTS - own);
  fixture_free (f);
}

/* Guards against jobs that get no reply when the dispatcher is freed.  */
static void
test_free_answers_all_jobs (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received started = { 0 };
  struct received queued = { 0 };
  submit_job (f, make_request (f, "k1", "once", 8, 0), &started);
  submit_job (f, make_request (f, "k2", "once", 1, 0), &queued);
  fixture_free (f);
  CU_ASSERT_EQUAL (started.code, PL_UNKNOWN_LOST);
  CU_ASSERT_EQUAL (queued.times, 1);
  CU_ASSERT_EQUAL (queued.code, PL_STOPPING);
}

/* Guards against jobs that fail because the retry budget is empty: their tasks
   wait for it.  */
static void
test_empty_budget_waits (void)
{
  struct fixture *f = fixture_new (2, 1);
  struct received got = { 0 };
  submit_job (f, make_request (f, "k1", "once", 16, 0), &got);
  while (f->running->len > 0)
    end_task (f, 0, RUN_NOT_SENT, NULL);
  disp_run_once (f->disp);
  advance_ms (f, 20);
  CU_ASSERT (f->running->len > 0);
  CU_ASSERT (f->running->len < 8);
  for (unsigned i = 0; i < 100 && got.times == 0; i++)
    {
      complete_all_tasks (f);
      advance_ms (f, 50);
    }
  CU_ASSERT_EQUAL (got.code, PL_OK);
  fixture_free (f);
}

/* Completes each task at its start, for the test of the real thread.  */
static void
complete_at_once (struct disp_run_ops *ops, struct run_task *task)
{
  struct fixture *f = (struct fixture *)ops;
  struct run_result *result = g_new0 (struct run_result, 1);
  result->answer = g_bytes_new_static ("7", 1);
  disp_run_done (f->disp, task, result);
}

static void
count_done (struct job_reply *reply, void *user)
{
  g_atomic_int_add ((gint *)user, reply->code == PL_OK);
}

/* Guards against a key that starts after the export of the records, for which
   the heir would answer "never received".  */
static void
test_close_before_hand_over (void)
{
  struct fixture *f = fixture_new (1, 1);
  struct received first = { 0 };
  struct received late = { 0 };
  submit_job (f, make_request (f, "first", "once", 1, 0), &first);
  struct disp_status status;
  disp_stop_accepting (f->disp, false);
  disp_run_once (f->disp);
  disp_get_status (f->disp, &status);
  CU_ASSERT_FALSE (status.closed);
  end_task (f, 0, RUN_OK, "1");
  disp_run_once (f->disp);
  disp_stop_accepting (f->disp, false);
  submit_job (f, make_request (f, "late", "once", 1, 0), &late);
  submit_job (f, make_request (f, "first", "once", 1, 0), &first);
  disp_get_status (f->disp, &status);
  CU_ASSERT (status.closed);
  CU_ASSERT_EQUAL (late.code, PL_HANDED_OVER_UNSEEN);
  CU_ASSERT_EQUAL (first.code, PL_OK);
  CU_ASSERT_EQUAL (first.times, 2);
  CU_ASSERT_EQUAL (f->running->len, 0);
  fixture_free (f);
}

/* Guards against lost wake-ups of the dispatch thread.  */
static void
test_thread (void)
{
  struct fixture *f = fixture_new (2, 1);
  disp_free (f->disp);
  f->run.start = complete_at_once;
  struct disp_opts opts = options (f, pl_clock_real (), false);
  f->disp = disp_new (&opts);
  gint done = 0;
  g_usleep (100000);
  for (unsigned i = 0; i < 100; i++)
    {
      char suffix[16];
      g_snprintf (suffix, sizeof suffix, "k%u", i);
      struct job_req *req = make_request (f, suffix, "once", 1, 0);
      disp_submit (f->disp, req, count_done, &done);
      job_req_unref (req);
    }
  for (unsigned i = 0; i < 2000 && g_atomic_int_get (&done) < 100; i++)
    g_usleep (1000);
  CU_ASSERT_EQUAL (done, 100);
  fixture_free (f);
}

static void
test_random_run (void)
{
  for (guint32 seed = 1; seed <= 3; seed++)
    random_run (seed);
}

int
main (void)
{
  pl_log_init ("text", "error");
  static CU_TestInfo tests[] = {
    { "answers in task order", test_answers_in_task_order },
    { "deadline before and after start",
      test_deadline_before_and_after_start },
    { "failure after some ran", test_failure_after_some_ran },
    { "permit", test_permit },
    { "repeats only certain non-starts",
      test_repeats_only_certain_non_starts },
    { "cancel", test_cancel },
    { "cancel before the submission", test_cancel_first },
    { "refusals", test_refusals },
    { "hopeless job is refused early", test_hopeless_job_is_refused_early },
    { "borrow in few requests", test_borrow_in_few_requests },
    { "empty budget waits", test_empty_budget_waits },
    { "free answers all jobs", test_free_answers_all_jobs },
    { "close before hand-over", test_close_before_hand_over },
    { "thread", test_thread },
    { "random run", test_random_run },
    CU_TEST_INFO_NULL,
  };
  return test_run ("disp", tests);
}
