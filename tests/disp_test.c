/* Tests of lib/disp: one reply a job, at most one start a task, true
   outcomes.  Runners and peers are replaced by the test; time is manual.  */
#include "disp_model.h"

/* Guards against answers in the order of completion.  */
static void
test_answers_in_task_order (void)
{
  struct fix *f = fix_new (2, 1);
  struct got got = { 0 };
  struct got joined = { 0 };
  send (f, request (f, "k1", "once", 4, 0), &got);
  CU_ASSERT_EQUAL (f->running->len, 4);
  send (f, request (f, "k1", "once", 4, 0), &joined);
  CU_ASSERT_EQUAL (f->running->len, 4);
  end_all (f);
  CU_ASSERT_EQUAL (got.times, 1);
  CU_ASSERT_EQUAL (joined.times, 1);
  CU_ASSERT_EQUAL (got.code, PL_OK);
  CU_ASSERT_PTR_NOT_NULL (strstr (got.body, "[0,1,2,3]"));
  fix_free (f);
}

/* Guards against a false "not run" after a start, and against a reply that
   waits for a runner.  */
static void
test_deadline_before_and_after_start (void)
{
  struct fix *f = fix_new (1, 1);
  struct got first = { 0 };
  struct got second = { 0 };
  struct got third = { 0 };
  send (f, request (f, "k1", "once", 8, 0), &first);
  struct job_req *req = request (f, "k2", "once", 1, 0);
  req->deadline_ms = 1000;
  send (f, req, &second);
  pass (f, 1000);
  CU_ASSERT_EQUAL (second.code, PL_DEADLINE_LOST);
  end_task (f, 0, RUN_OK, "1");
  pass (f, 4000);
  CU_ASSERT_EQUAL (first.code, PL_DEADLINE_RAN);
  CU_ASSERT_EQUAL (f->cancels, 7);
  /* The slots of the runners that still wait stay busy.  */
  send (f, request (f, "k3", "once", 8, 0), &third);
  CU_ASSERT_EQUAL (f->running->len, 8);
  pass (f, 5000);
  CU_ASSERT_EQUAL (third.code, PL_UNKNOWN_LOST);
  fix_free (f);
}

/* Guards against a partial answer and a lost list of what ran.  */
static void
test_failure_after_some_ran (void)
{
  struct fix *f = fix_new (1, 1);
  struct got got = { 0 };
  send (f, request (f, "k1", "once", 10, 0), &got);
  end_task (f, 0, RUN_OK, "1");
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 8);
  end_task (f, 0, RUN_FAILED, "no");
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 7);
  CU_ASSERT_EQUAL (f->cancels, 7);
  CU_ASSERT_EQUAL (got.times, 0);
  pass (f, 200);
  CU_ASSERT_EQUAL (got.times, 1);
  CU_ASSERT_EQUAL (got.code, PL_FAILED_RAN);
  fix_free (f);
}

/* Guards against a start without a permit.  */
static void
test_permit (void)
{
  struct fix *f = fix_new (1, 1);
  struct got refused = { 0 };
  struct got silent = { 0 };
  struct got granted = { 0 };
  struct got lost = { 0 };
  send (f, request (f, "k1", "once", 1, PEER), &refused);
  CU_ASSERT_EQUAL (f->permits, 1);
  pass (f, 60);
  CU_ASSERT_EQUAL (f->permits, 2);
  disp_permit_result (f->disp, f->permit, false);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (refused.code, PL_NO_PERMIT);
  send (f, request (f, "k2", "once", 1, PEER), &silent);
  pass (f, 300);
  CU_ASSERT_EQUAL (silent.code, PL_NO_PERMIT);
  disp_permit_result (f->disp, f->permit, true);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 0);
  send (f, request (f, "k3", "once", 1, PEER), &lost);
  disp_peer_lost (f->disp, PEER);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (lost.code, PL_NO_PERMIT);
  send (f, request (f, "k4", "once", 1, PEER), &granted);
  CU_ASSERT_EQUAL (f->running->len, 0);
  disp_permit_result (f->disp, f->permit, true);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 1);
  end_all (f);
  CU_ASSERT_EQUAL (granted.code, PL_OK);
  fix_free (f);
}

/* Guards against a second start of a task that may have run.  */
static void
test_repeats_only_certain_non_starts (void)
{
  struct fix *f = fix_new (2, 1);
  struct got got = { 0 };
  struct got once = { 0 };
  struct got maybe = { 0 };
  send (f, request (f, "k1", "again", 1, 0), &got);
  end_task (f, 0, RUN_NOT_SENT, NULL);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->running->len, 0);
  pass (f, 20);
  CU_ASSERT_EQUAL (f->running->len, 1);
  end_task (f, 0, RUN_REFUSED, NULL);
  disp_turn (f->disp);
  pass (f, 20);
  CU_ASSERT_EQUAL (f->running->len, 1);
  end_all (f);
  CU_ASSERT_EQUAL (got.code, PL_OK);
  send (f, request (f, "k2", "once", 1, 0), &once);
  end_task (f, 0, RUN_REFUSED, NULL);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (once.code, PL_NO_WORKER);
  send (f, request (f, "k3", "again", 1, 0), &maybe);
  end_task (f, 0, RUN_MAYBE, NULL);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (maybe.code, PL_UNKNOWN_LOST);
  pass (f, 1000);
  CU_ASSERT_EQUAL (f->running->len, 0);
  fix_free (f);
}

/* Guards against running tasks that are reported as not run.  */
static void
test_cancel (void)
{
  struct fix *f = fix_new (1, 1);
  struct got got = { 0 };
  struct got queued = { 0 };
  struct got by = { 0 };
  struct got seen = { 0 };
  send (f, request (f, "k1", "once", 8, 0), &got);
  struct job_req *req = request (f, "k2", "once", 1, 0);
  g_autofree char *key = g_strdup (req->key);
  send (f, req, &queued);
  disp_lookup (f->disp, pl_str (key), on_done, &seen);
  disp_cancel (f->disp, pl_str (key), on_done, &by);
  disp_turn (f->disp);
  CU_ASSERT_PTR_NOT_NULL (strstr (seen.body, "queued"));
  CU_ASSERT_EQUAL (queued.code, PL_CANCELLED);
  CU_ASSERT_EQUAL (by.code, PL_CANCELLED);
  g_autofree char *first = g_strdup (key);
  first[strlen (first) - 1] = '1';
  disp_cancel (f->disp, pl_str (first), on_done, &by);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->cancels, 8);
  CU_ASSERT_EQUAL (got.times, 0);
  end_task (f, 0, RUN_OK, "1");
  pass (f, 200);
  CU_ASSERT_EQUAL (got.code, PL_CANCELLED_RAN);
  CU_ASSERT_EQUAL (by.times, 2);
  fix_free (f);
}

/* Guards against a submission that runs after its cancellation, because the
   cancellation arrived first.  */
static void
test_cancel_first (void)
{
  struct fix *f = fix_new (1, 1);
  struct got by = { 0 };
  struct got late = { 0 };
  struct job_req *req = request (f, "k1", "once", 1, 0);
  g_autofree char *key = g_strdup (req->key);
  disp_cancel (f->disp, pl_str (key), on_done, &by);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (by.code, PL_CANCELLED);
  send (f, req, &late);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (late.code, PL_CANCELLED);
  CU_ASSERT_EQUAL (f->running->len, 0);
  fix_free (f);
}

/* Guards against jobs that wait although their end is known.  */
static void
test_refusals (void)
{
  struct fix *f = fix_new (1, 1);
  struct got got = { 0 };
  struct job_req *req = request (f, "k1", "once", 1, 0);
  req->tasks[0].memory_mb = 1001;
  send (f, req, &got);
  CU_ASSERT_EQUAL (got.code, PL_NEVER_RUNNABLE);
  req = request (f, "k2", "once", 1, 0);
  req->parse_err.code = PL_BAD_JSON;
  send (f, req, &got);
  CU_ASSERT_EQUAL (got.code, PL_BAD_JSON);
  /* The parse error has closed the key.  */
  send (f, request (f, "k2", "once", 1, 0), &got);
  CU_ASSERT_EQUAL (got.code, PL_BAD_JSON);
  f->conf.job_answer_bytes = 3;
  send (f, request (f, "k3", "once", 4, 0), &got);
  end_all (f);
  CU_ASSERT_EQUAL (got.code, PL_ANSWER_TOO_LARGE);
  CU_ASSERT_EQUAL (got.times, 4);
  fix_free (f);
}

/* Guards against a late refusal of a job that can't end in time.  */
static void
test_hopeless_job_is_refused_early (void)
{
  struct fix *f = fix_new (1, 1);
  struct got fill = { 0 };
  struct got got = { 0 };
  for (unsigned n = 0; n < 2; n++)
    {
      send (f, request (f, n > 0 ? "k1" : "k0", "once", 8, 0), &fill);
      while (f->running->len > 0)
        {
          struct run_task *task = g_ptr_array_steal_index (f->running, 0);
          struct run_result *result = g_new0 (struct run_result, 1);
          result->run_us = 500000;
          result->answer = g_bytes_new_static ("1", 1);
          disp_run_done (f->disp, task, result);
        }
      disp_turn (f->disp);
    }
  send (f, request (f, "k2", "once", 8, 0), &fill);
  struct job_req *req = request (f, "k3", "once", 1, 0);
  req->deadline_ms = 1100;
  send (f, req, &got);
  pass (f, 590);
  CU_ASSERT_EQUAL (got.times, 0);
  pass (f, 50);
  CU_ASSERT_EQUAL (got.code, PL_DEADLINE_LOST);
  CU_ASSERT (got.retry_ms > 0);
  fix_free (f);
}

/* Guards against a request for slots a task.  */
static void
test_borrow_in_a_handful (void)
{
  struct fix *f = fix_new (MAX_WORKERS, 2);
  struct got got = { 0 };
  struct job_req *req = request (f, "k1", "once", 390, 0);
  req->deadline_ms = 60000;
  send (f, req, &got);
  unsigned own = f->running->len;
  CU_ASSERT (own < MAX_WORKERS * SLOTS);
  CU_ASSERT_EQUAL (f->borrows, 1);
  struct disp_worker_slots lots[MAX_WORKERS];
  for (unsigned i = 0; i < MAX_WORKERS; i++)
    lots[i] = (struct disp_worker_slots){
      .addr = worker_addr (i),
      .count = SLOTS - memb_share (&f->view, SELF, worker_addr (i), SLOTS)
    };
  disp_slots_granted (f->disp, PEER, lots, MAX_WORKERS);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->running->len, MAX_WORKERS * SLOTS);
  for (unsigned turns = 0; got.times == 0 && turns < 100; turns++)
    {
      unsigned asked = f->borrows;
      pass (f, 100);
      end_all (f);
      if (f->borrows > asked)
        disp_slots_granted (f->disp, PEER, NULL, 0);
    }
  CU_ASSERT_EQUAL (got.code, PL_OK);
  CU_ASSERT (f->borrows <= 6);
  pass (f, 110);
  pass (f, 110);
  CU_ASSERT_EQUAL (f->returned, MAX_WORKERS * SLOTS - own);
  fix_free (f);
}

/* Guards against jobs without a reply at the end of the process.  */
static void
test_free_replies (void)
{
  struct fix *f = fix_new (1, 1);
  struct got started = { 0 };
  struct got queued = { 0 };
  send (f, request (f, "k1", "once", 8, 0), &started);
  send (f, request (f, "k2", "once", 1, 0), &queued);
  fix_free (f);
  CU_ASSERT_EQUAL (started.code, PL_UNKNOWN_LOST);
  CU_ASSERT_EQUAL (queued.times, 1);
  CU_ASSERT_EQUAL (queued.code, PL_STOPPING);
}

/* Guards against jobs that fail because the retry budget is empty.  */
static void
test_empty_budget_waits (void)
{
  struct fix *f = fix_new (2, 1);
  struct got got = { 0 };
  send (f, request (f, "k1", "once", 16, 0), &got);
  while (f->running->len > 0)
    end_task (f, 0, RUN_NOT_SENT, NULL);
  disp_turn (f->disp);
  pass (f, 20);
  CU_ASSERT (f->running->len > 0);
  CU_ASSERT (f->running->len < 8);
  for (unsigned i = 0; i < 100 && got.times == 0; i++)
    {
      end_all (f);
      pass (f, 50);
    }
  CU_ASSERT_EQUAL (got.code, PL_OK);
  fix_free (f);
}

/* Runs tasks at once, for the test of the real thread.  */
static void
start_now (struct disp_run_ops *ops, struct run_task *task)
{
  struct fix *f = (struct fix *)ops;
  struct run_result *result = g_new0 (struct run_result, 1);
  result->answer = g_bytes_new_static ("7", 1);
  disp_run_done (f->disp, task, result);
}

static void
count_done (struct job_reply *reply, void *user)
{
  g_atomic_int_add ((gint *)user, reply->code == PL_OK);
}

/* Guards against lost wake-ups of the dispatch thread.  */
/* A key that starts after the export of the records would be "never
   received" at the heir.  */
static void
test_close_before_hand_over (void)
{
  struct fix *f = fix_new (1, 1);
  struct got first = { 0 };
  struct got late = { 0 };
  send (f, request (f, "first", "once", 1, 0), &first);
  struct disp_status status;
  disp_stop_accepting (f->disp, false);
  disp_turn (f->disp);
  disp_get_status (f->disp, &status);
  CU_ASSERT_FALSE (status.closed);
  end_task (f, 0, RUN_OK, "1");
  disp_turn (f->disp);
  disp_stop_accepting (f->disp, false);
  send (f, request (f, "late", "once", 1, 0), &late);
  send (f, request (f, "first", "once", 1, 0), &first);
  disp_get_status (f->disp, &status);
  CU_ASSERT (status.closed);
  CU_ASSERT_EQUAL (late.code, PL_HANDED_OVER_UNSEEN);
  CU_ASSERT_EQUAL (first.code, PL_OK);
  CU_ASSERT_EQUAL (first.times, 2);
  CU_ASSERT_EQUAL (f->running->len, 0);
  fix_free (f);
}

static void
test_thread (void)
{
  struct fix *f = fix_new (2, 1);
  disp_free (f->disp);
  f->run.start = start_now;
  struct disp_opts opts = options (f, pl_clock_real (), false);
  f->disp = disp_new (&opts);
  gint done = 0;
  g_usleep (100000);
  for (unsigned i = 0; i < 100; i++)
    {
      char suffix[16];
      g_snprintf (suffix, sizeof suffix, "k%u", i);
      struct job_req *req = request (f, suffix, "once", 1, 0);
      disp_submit (f->disp, req, count_done, &done);
      job_req_unref (req);
    }
  for (unsigned i = 0; i < 2000 && g_atomic_int_get (&done) < 100; i++)
    g_usleep (1000);
  CU_ASSERT_EQUAL (done, 100);
  fix_free (f);
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
    { "borrow in a handful", test_borrow_in_a_handful },
    { "empty budget waits", test_empty_budget_waits },
    { "free replies", test_free_replies },
    { "close before hand-over", test_close_before_hand_over },
    { "thread", test_thread },
    { "random run", test_random_run },
    CU_TEST_INFO_NULL,
  };
  return test_run ("disp", tests);
}
