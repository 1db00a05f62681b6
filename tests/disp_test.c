/* Tests of lib/disp: one reply a job, at most one start a task, true
   outcomes.  Runners and peers are replaced by the test; time is manual.  */
#include "disp.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

#define SELF UINT64_C (0x1111111111111111)
#define PEER UINT64_C (0x2222222222222222)
#define MAX_WORKERS 8
#define SLOTS 8

/* One instance with everything around it.  */
struct fix
{
  struct disp_run_ops run;
  struct disp_peer_ops peers;
  struct pl_manual_clock clock;
  struct conf conf;
  struct pl_slot note;
  struct pl_slot memb;
  struct note_conf config;
  struct memb_view view;
  struct note_kind kinds[2];
  struct note_service service;
  struct note_team teams[2];
  struct note_worker workers[MAX_WORKERS];
  claim_id sharers[2];
  struct disp *disp;
  GPtrArray *running; /* struct run_task */
  unsigned cancels;
  unsigned borrows;
  unsigned permits;
  struct claim_hash permit;
  unsigned returned;
};

/* What a caller got.  */
struct got
{
  unsigned times;
  enum pl_code code;
  int64_t retry_ms;
  unsigned wanted; /* replies expected */
  unsigned name;
  char body[512];
};

static void
on_done (struct job_reply *reply, void *user)
{
  struct got *got = user;
  gsize len;
  const char *data = g_bytes_get_data (reply->body, &len);
  got->times++;
  got->code = reply->code;
  got->retry_ms = reply->retry_after_ms;
  g_snprintf (got->body, sizeof got->body, "%.*s", (int)len, data);
}

static void
on_start (struct disp_run_ops *ops, struct run_task *task)
{
  g_ptr_array_add (((struct fix *)ops)->running, task);
}

static void
on_cancel (struct disp_run_ops *ops, struct pl_addr addr, const char *id)
{
  (void)addr;
  (void)id;
  ((struct fix *)ops)->cancels++;
}

static struct fix *
of_peers (struct disp_peer_ops *ops)
{
  return (struct fix *)((char *)ops - offsetof (struct fix, peers));
}

static void
on_permit (struct disp_peer_ops *ops, claim_id witness, struct claim_hash hash,
           int64_t epoch)
{
  (void)witness;
  (void)epoch;
  of_peers (ops)->permits++;
  of_peers (ops)->permit = hash;
}

static void
on_borrow (struct disp_peer_ops *ops, claim_id peer, unsigned n)
{
  (void)peer;
  (void)n;
  of_peers (ops)->borrows++;
}

static void
on_grant (struct disp_peer_ops *ops, claim_id peer,
          const struct disp_lot *lots, unsigned n)
{
  (void)peer;
  (void)ops;
  (void)lots;
  (void)n;
}

static void
on_give_back (struct disp_peer_ops *ops, claim_id peer,
              const struct disp_lot *lots, unsigned n)
{
  (void)peer;
  for (unsigned i = 0; i < n; i++)
    of_peers (ops)->returned += lots[i].count;
}

static void
keep (struct pl_shared *shared)
{
  (void)shared;
}

static struct pl_addr
worker_addr (unsigned i)
{
  return (struct pl_addr){ .ip = 0x7f000001, .port = (uint16_t)(9000 + i) };
}

static void
set_workers (struct fix *f, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    f->workers[i] = (struct note_worker){ .addr = worker_addr (i),
                                          .domain = (char *)"domain-a",
                                          .slots = SLOTS,
                                          .memory_mb = 1000,
                                          .added_revision = 1 };
  f->kinds[0] = (struct note_kind){ .name = (char *)"once", .max_tasks = 390 };
  f->kinds[1] = (struct note_kind){ .name = (char *)"again",
                                    .repeatable = true,
                                    .max_tasks = 390 };
  f->service = (struct note_service){ .name = (char *)"s",
                                      .kinds = f->kinds,
                                      .n_kinds = 2 };
  f->teams[0] = (struct note_team){ .name = (char *)"a", .weight = 1 };
  f->teams[1] = (struct note_team){ .name = (char *)"b", .weight = 1 };
  f->config = (struct note_conf){ .revision = 1,
                                  .services = &f->service,
                                  .n_services = 1,
                                  .teams = f->teams,
                                  .n_teams = 2,
                                  .workers = f->workers,
                                  .n_workers = n };
  pl_shared_init (&f->config.base, keep);
  pl_slot_publish (&f->note, &f->config.base);
}

static void
set_view (struct fix *f, unsigned sharers)
{
  f->sharers[0] = SELF;
  f->sharers[1] = PEER;
  f->view = (struct memb_view){ .sharers = f->sharers, .n_sharers = sharers };
  f->view.self.id = SELF;
  pl_shared_init (&f->view.base, keep);
  pl_slot_publish (&f->memb, &f->view.base);
}

static struct disp_opts
options (struct fix *f, struct pl_clock *clock, bool manual)
{
  return (struct disp_opts){ .conf = &f->conf,
                             .clock = clock,
                             .self = SELF,
                             .note_slot = &f->note,
                             .memb_slot = &f->memb,
                             .peers = &f->peers,
                             .run_ops = &f->run,
                             .manual = manual };
}

static struct fix *
fix_new (unsigned workers, unsigned sharers)
{
  struct fix *f = g_new0 (struct fix, 1);
  struct pl_err err;
  f->run = (struct disp_run_ops){ .start = on_start, .cancel = on_cancel };
  f->peers = (struct disp_peer_ops){ .permit = on_permit,
                                     .borrow = on_borrow,
                                     .grant = on_grant,
                                     .give_back = on_give_back };
  pl_manual_clock_init (&f->clock, 1000000000);
  CU_ASSERT (conf_init (&f->conf, &err));
  f->conf.share_raise_ms = 0;
  f->conf.epoch_s = 3600; /* a repeated submission has the same key */
  f->conf.seed = 1;
  f->running = g_ptr_array_new ();
  set_workers (f, workers);
  set_view (f, sharers);
  struct disp_opts opts = options (f, &f->clock.base, true);
  f->disp = disp_new (&opts);
  disp_turn (f->disp);
  return f;
}

static void
end_task (struct fix *f, unsigned i, enum run_status status,
          const char *answer)
{
  struct run_task *task = g_ptr_array_steal_index_fast (f->running, i);
  struct run_result *result = g_new0 (struct run_result, 1);
  result->status = status;
  result->reason = "test";
  result->run_us = 1000;
  if (status == RUN_OK || status == RUN_FAILED)
    result->answer = g_bytes_new (answer, strlen (answer));
  disp_run_done (f->disp, task, result);
}

static void
fix_free (struct fix *f)
{
  while (f->running->len > 0)
    end_task (f, 0, RUN_MAYBE, NULL);
  disp_free (f->disp);
  g_ptr_array_unref (f->running);
  conf_clear (&f->conf);
  g_free (f);
}

static struct job_req *
request (struct fix *f, const char *suffix, const char *kind, unsigned tasks,
         claim_id witness)
{
  struct disp_status status;
  disp_get_status (f->disp, &status);
  struct job_req *req = g_new0 (struct job_req, 1);
  g_atomic_ref_count_init (&req->refs);
  g_autofree char *other
      = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", witness);
  req->key = g_strdup_printf (
      "domain-a.%016" G_GINT64_MODIFIER "x.%s.%" G_GINT64_FORMAT ".%s", SELF,
      witness == 0 ? "0" : other, status.epoch, suffix);
  req->path = g_strdup ("/v1/jobs");
  req->service = g_strdup ("s");
  req->kind = g_strdup (kind);
  req->team = g_strdup ("a");
  req->deadline_ms = 5000;
  req->n_tasks = tasks;
  req->tasks = g_new0 (struct job_task, tasks);
  for (unsigned i = 0; i < tasks; i++)
    {
      g_autofree char *input = g_strdup_printf ("%u", i);
      req->tasks[i].input = g_bytes_new (input, strlen (input));
    }
  return req;
}

static void
send (struct fix *f, struct job_req *req, struct got *got)
{
  disp_submit (f->disp, req, on_done, got);
  job_req_unref (req);
  disp_turn (f->disp);
}

static void
pass (struct fix *f, int64_t ms)
{
  pl_manual_clock_advance (&f->clock, ms * 1000);
  disp_turn (f->disp);
}

/* Ends all running tasks with their input as the answer.  */
static void
end_all (struct fix *f)
{
  while (f->running->len > 0)
    {
      const struct run_task *task = f->running->pdata[f->running->len - 1];
      gsize len;
      const char *data = g_bytes_get_data (task->input, &len);
      g_autofree char *answer = g_strndup (data, len);
      end_task (f, f->running->len - 1, RUN_OK, answer);
    }
  disp_turn (f->disp);
}

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
  req->parse.code = PL_BAD_JSON;
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
  struct disp_lot lots[MAX_WORKERS];
  for (unsigned i = 0; i < MAX_WORKERS; i++)
    lots[i] = (struct disp_lot){
      .addr = worker_addr (i),
      .count = SLOTS - memb_share (&f->view, SELF, worker_addr (i), SLOTS)
    };
  disp_grant (f->disp, PEER, lots, MAX_WORKERS);
  disp_turn (f->disp);
  CU_ASSERT_EQUAL (f->running->len, MAX_WORKERS * SLOTS);
  for (unsigned turns = 0; got.times == 0 && turns < 100; turns++)
    {
      unsigned asked = f->borrows;
      pass (f, 100);
      end_all (f);
      if (f->borrows > asked)
        disp_grant (f->disp, PEER, NULL, 0);
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
  disp_close (f->disp, false);
  disp_turn (f->disp);
  disp_get_status (f->disp, &status);
  CU_ASSERT_FALSE (status.closed);
  end_task (f, 0, RUN_OK, "1");
  disp_turn (f->disp);
  disp_close (f->disp, false);
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

/* The random run: what happened to each task, by its input.  */
#define STEPS 20000

enum fate
{
  FATE_NONE,
  FATE_RUNNING,
  FATE_NOT_STARTED, /* not sent, or refused with a repeatable kind */
  FATE_OVER,
};

struct model
{
  GHashTable *fates; /* input to enum fate */
  GRand *rand;
  unsigned running[MAX_WORKERS];
  int lent[MAX_WORKERS];
  int borrowed[MAX_WORKERS];
  unsigned starts;
  unsigned twice;
  unsigned over;
  struct fix *fix;
};

static struct model *model;

static char *
input_of (const struct run_task *task)
{
  gsize len;
  const char *data = g_bytes_get_data (task->input, &len);
  return g_strndup (data, len);
}

static void
random_start (struct disp_run_ops *ops, struct run_task *task)
{
  struct fix *f = (struct fix *)ops;
  char *input = input_of (task);
  int fate = GPOINTER_TO_INT (g_hash_table_lookup (model->fates, input));
  model->starts++;
  model->twice += fate != FATE_NONE && fate != FATE_NOT_STARTED;
  g_hash_table_replace (model->fates, input, GINT_TO_POINTER (FATE_RUNNING));
  unsigned w = task->addr.port - 9000U;
  int own = (int)memb_share (&f->view, SELF, task->addr, SLOTS);
  int held = own - model->lent[w] + model->borrowed[w];
  model->running[w]++;
  model->over += (int)model->running[w] > held;
  g_ptr_array_add (f->running, task);
}

static void
random_end (struct fix *f)
{
  if (f->running->len == 0)
    return;
  unsigned i = g_rand_int (model->rand) % f->running->len;
  const struct run_task *task = f->running->pdata[i];
  unsigned roll = g_rand_int (model->rand) % 100;
  enum run_status status = RUN_OK;
  if (roll < 12)
    status = (enum run_status) (roll / 3 + 1);
  bool again = status == RUN_NOT_SENT
               || (status == RUN_REFUSED && strstr (task->kind, "again"));
  model->running[task->addr.port - 9000U]--;
  g_hash_table_replace (model->fates, input_of (task),
                        GINT_TO_POINTER (again || status == RUN_REFUSED
                                             ? FATE_NOT_STARTED
                                             : FATE_OVER));
  end_task (f, i, status, "1");
}

static void
random_grant (struct disp_peer_ops *ops, claim_id peer,
              const struct disp_lot *lots, unsigned n)
{
  (void)ops;
  (void)peer;
  for (unsigned i = 0; i < n; i++)
    model->lent[lots[i].addr.port - 9000U] += (int)lots[i].count;
}

static void
random_give_back (struct disp_peer_ops *ops, claim_id peer,
                  const struct disp_lot *lots, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    model->borrowed[lots[i].addr.port - 9000U] -= (int)lots[i].count;
  on_give_back (ops, peer, lots, n);
}

/* The peer lends one slot, or returns what it holds on one worker.  */
static void
random_lending (struct fix *f)
{
  unsigned w = g_rand_int (model->rand) % MAX_WORKERS;
  struct disp_lot lot = { .addr = worker_addr (w), .count = 1 };
  switch (g_rand_int (model->rand) % 3)
    {
    case 0:
      if (model->borrowed[w] >= 2)
        return;
      model->borrowed[w]++;
      disp_grant (f->disp, PEER, &lot, 1);
      return;
    case 1:
      disp_borrow (f->disp, PEER, g_rand_int (model->rand) % 4);
      return;
    default:
      lot.count = (unsigned)model->lent[w];
      model->lent[w] = 0;
      disp_returned (f->disp, PEER, &lot, 1);
    }
}

static void
random_submit (struct fix *f, unsigned number, struct got *got)
{
  /* Some submissions repeat a former key.  */
  unsigned name = number;
  if (number > 10 && g_rand_int (model->rand) % 10 == 0)
    name = number - g_rand_int (model->rand) % 10;
  char suffix[16];
  g_snprintf (suffix, sizeof suffix, "k%u", name);
  claim_id witness = name % 3 == 0 ? PEER : 0;
  unsigned tasks = 1 + name % 6;
  struct job_req *req
      = request (f, suffix, name % 2 ? "once" : "again", tasks, witness);
  req->deadline_ms = 20 + name * 37 % 2000;
  for (unsigned i = 0; i < tasks; i++)
    {
      g_autofree char *input = g_strdup_printf ("%s:%u", suffix, i);
      g_bytes_unref (req->tasks[i].input);
      req->tasks[i].input = g_bytes_new (input, strlen (input));
      req->tasks[i].memory_mb = name % 11 == 0 ? 400 : 0;
    }
  got->name = name;
  got->wanted = 1;
  disp_submit (f->disp, req, on_done, got);
  if (g_rand_int (model->rand) % 20 == 0)
    {
      got->wanted = 2;
      disp_cancel (f->disp, pl_str (req->key), on_done, got);
    }
  job_req_unref (req);
}

static void
random_step (struct fix *f, struct got *gots, unsigned *number)
{
  unsigned roll = g_rand_int (model->rand) % 100;
  if (roll < 20)
    {
      random_submit (f, *number, &gots[*number]);
      (*number)++;
    }
  else if (roll < 70)
    random_end (f);
  else if (roll < 75)
    disp_permit_result (f->disp, f->permit, roll < 74);
  else if (roll < 80)
    random_lending (f);
  else if (roll < 81)
    disp_peer_lost (f->disp, PEER);
  else
    pl_manual_clock_advance (&f->clock, g_rand_int (model->rand) % 20000);
  if (roll % 2 == 0)
    disp_turn (f->disp);
}

/* True if the reply of job NAME is consistent with the fates of its tasks. */
static bool
truthful (unsigned name, enum pl_code code)
{
  enum pl_outcome outcome = pl_code_info (code)->outcome;
  for (unsigned i = 0; i < 1 + name % 6; i++)
    {
      g_autofree char *input = g_strdup_printf ("k%u:%u", name, i);
      int fate = GPOINTER_TO_INT (g_hash_table_lookup (model->fates, input));
      bool started = fate == FATE_RUNNING || fate == FATE_OVER;
      if (outcome == PL_OUTCOME_NOT_RUN && started)
        return false;
      if (outcome == PL_OUTCOME_COMPLETE && fate != FATE_OVER)
        return false;
    }
  return true;
}

/* Guards against double starts, overused slots, missing and doubled replies,
   and false outcomes under any order of events.  */
static void
random_run (guint32 seed)
{
  struct fix *f = fix_new (MAX_WORKERS, 2);
  struct model m = { .fates = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                     g_free, NULL),
                     .rand = g_rand_new_with_seed (seed) };
  model = &m;
  f->run.start = random_start;
  f->peers.grant = random_grant;
  f->peers.give_back = random_give_back;
  struct got *gots = g_new0 (struct got, STEPS);
  unsigned number = 0;
  for (unsigned i = 0; i < STEPS; i++)
    random_step (f, gots, &number);
  for (unsigned i = 0; i < 300; i++)
    {
      while (f->running->len > 0)
        random_end (f);
      pass (f, 20);
    }
  unsigned wrong = 0;
  unsigned untrue = 0;
  unsigned complete = 0;
  for (unsigned i = 0; i < number; i++)
    {
      wrong += gots[i].times != gots[i].wanted;
      untrue += !truthful (gots[i].name, gots[i].code);
      complete += gots[i].code == PL_OK;
    }
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT_EQUAL (untrue, 0);
  CU_ASSERT_EQUAL (m.twice, 0);
  CU_ASSERT_EQUAL (m.over, 0);
  CU_ASSERT (complete > 100);
  CU_ASSERT (m.starts > 1000);
  printf ("random run %u: %u jobs, %u complete, %u starts\n", seed, number,
          complete, m.starts);
  g_free (gots);
  fix_free (f);
  g_hash_table_unref (m.fates);
  g_rand_free (m.rand);
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
