/* Tests of lib/disp: one reply a job, at most one start a task, true
   outcomes.  Runners and peers are replaced by the test; time is manual.  */
#include "disp.h"
#include "disp_fakes.h"
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
  GArray *granted; /* struct disp_lot */
  unsigned returned;
};

/* What a caller got.  */
struct got
{
  unsigned times;
  enum pl_code code;
  int64_t retry_ms;
  int64_t at_us;
  struct fix *fix;
  char *body;
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
  g_free (got->body);
  got->body = g_strndup (data, len);
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
  g_array_append_vals (of_peers (ops)->granted, lots, n);
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
  f->conf.seed = 1;
  f->running = g_ptr_array_new ();
  f->granted = g_array_new (FALSE, FALSE, sizeof (struct disp_lot));
  set_workers (f, workers);
  set_view (f, sharers);
  struct disp_opts opts = { .conf = &f->conf,
                            .clock = &f->clock.base,
                            .self = SELF,
                            .note_slot = &f->note,
                            .memb_slot = &f->memb,
                            .peers = &f->peers,
                            .run_ops = &f->run,
                            .manual = true };
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
  disp_turn (f->disp);
  disp_free (f->disp);
  g_ptr_array_unref (f->running);
  g_array_unref (f->granted);
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
  req->key = g_strdup_printf (
      "domain-a.%016llx.%llx.%lld.%s", (unsigned long long)SELF,
      (unsigned long long)witness, (long long)status.epoch, suffix);
  if (witness != 0)
    {
      g_free (req->key);
      req->key = g_strdup_printf (
          "domain-a.%016llx.%016llx.%lld.%s", (unsigned long long)SELF,
          (unsigned long long)witness, (long long)status.epoch, suffix);
    }
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

static void
got_clear (struct got *got)
{
  g_free (got->body);
  *got = (struct got){ 0 };
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
  got_clear (&got);
  got_clear (&joined);
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
  got_clear (&first);
  got_clear (&second);
  got_clear (&third);
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
  got_clear (&got);
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
  got_clear (&refused);
  got_clear (&silent);
  got_clear (&granted);
  got_clear (&lost);
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
  got_clear (&got);
  got_clear (&once);
  got_clear (&maybe);
  fix_free (f);
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
    CU_TEST_INFO_NULL,
  };
  return test_run ("disp", tests);
}
