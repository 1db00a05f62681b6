/* Tests of lib/run against the upstream of run_server.h: each request is sent
   at most once, and its result is true.  */
#include "run_server.h"

static GAsyncQueue *results;

struct outcome
{
  struct run_task *task;
  struct run_result *result;
};

static void
on_done (struct run_task *task, struct run_result *result, void *user)
{
  (void)user;
  struct outcome *o = g_new0 (struct outcome, 1);
  *o = (struct outcome){ .task = task, .result = result };
  g_async_queue_push (results, o);
}

static struct run *
new_runner (struct pl_clock *clock, unsigned threads, unsigned connections)
{
  struct run_opts opts = { .clock = clock,
                           .threads = threads,
                           .connections = connections,
                           .idle_ms = 200,
                           .connect_ms = 1000,
                           .silence_ms = 300,
                           .answer_bytes = 1000,
                           .done = on_done };
  return run_new (&opts);
}

static struct run_task *
task_new (const char *id, const char *kind, int64_t deadline_us)
{
  struct run_task *t = g_new0 (struct run_task, 1);
  g_strlcpy (t->id, id, sizeof t->id);
  t->addr = server.addr;
  t->kind = g_strdup (kind);
  t->input = g_bytes_new_static ("{\"a\":1}", 7);
  t->deadline_us = deadline_us;
  return t;
}

static void
outcome_free (struct outcome *o)
{
  run_task_free (o->task);
  run_result_free (o->result);
  g_free (o);
}

/* Runs one task and returns its status.  REASON may be null.  */
static enum run_status
run_one (struct run *run, const char *id, const char *kind,
         const char **reason)
{
  run_start (run, task_new (id, kind, g_get_monotonic_time () + 5000000));
  struct outcome *o = g_async_queue_pop (results);
  enum run_status status = o->result->status;
  if (reason != NULL)
    *reason = o->result->reason;
  outcome_free (o);
  return status;
}

/* Guards against a wrong status for an answer.  Each case uses a connection
   that was used before.  */
static void
test_answers (void)
{
  static const struct
  {
    const char *kind;
    enum run_status status;
    int rejected;
  } cases[] = {
    { "ok", RUN_OK, 0 },          { "leaving", RUN_OK, 0 },
    { "fail", RUN_FAILED, 0 },    { "fail-anonymous", RUN_MAYBE, 1 },
    { "refuse", RUN_REFUSED, 0 }, { "refuse-other", RUN_MAYBE, 1 },
    { "cross", RUN_MAYBE, 1 },    { "oversize", RUN_MAYBE, 1 },
    { "short", RUN_MAYBE, 1 },    { "no-length", RUN_MAYBE, 1 },
    { "chunked", RUN_MAYBE, 1 },  { "garbage", RUN_MAYBE, 0 },
    { "double", RUN_MAYBE, 1 },
  };
  struct run *run = new_runner (pl_clock_real (), 1, 4);
  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char reused[64];
      g_snprintf (reused, sizeof reused, "warm-%u", i);
      CU_ASSERT_EQUAL (run_one (run, reused, "ok", NULL), RUN_OK);
      int64_t rejected = pl_counter (PL_CTR_ANSWERS_REJECTED_TOTAL);
      enum run_status got = run_one (run, cases[i].kind, cases[i].kind, NULL);
      CU_ASSERT_EQUAL (got, cases[i].status);
      CU_ASSERT_EQUAL (pl_counter (PL_CTR_ANSWERS_REJECTED_TOTAL) - rejected,
                       cases[i].rejected);
      CU_ASSERT_EQUAL (times_seen (cases[i].kind), 1);
    }
  run_free (run);
}

/* Guards against a result without its answer, run time or leaving mark.  */
static void
test_result_fields (void)
{
  struct run *run = new_runner (pl_clock_real (), 1, 4);
  int64_t deadline = g_get_monotonic_time () + 5000000;
  run_start (run, task_new ("f1", "leaving", deadline));
  struct outcome *o = g_async_queue_pop (results);
  CU_ASSERT (o->result->leaving);
  CU_ASSERT_EQUAL (g_bytes_get_size (o->result->answer), 1);
  CU_ASSERT (o->result->run_us > 0);
  outcome_free (o);
  run_start (run, task_new ("f2", "fail", deadline));
  o = g_async_queue_pop (results);
  CU_ASSERT_FALSE (o->result->leaving);
  CU_ASSERT_EQUAL (g_bytes_get_size (o->result->answer), 2);
  outcome_free (o);
  run_free (run);
}

/* Guards against a request that neon sends again by itself, on new and on
   reused connections, when the server closes or resets the connection after it
   has read the request.  */
static void
test_never_delivered_twice (void)
{
  static const char *const ends[] = { "close", "reset" };
  for (unsigned i = 0; i < 200; i++)
    {
      struct run *run = new_runner (pl_clock_real (), 1, 2);
      char id[64];
      int before = server.connections;
      g_snprintf (id, sizeof id, "twice-warm-%u", i);
      if (i & 2)
        CU_ASSERT_EQUAL (run_one (run, id, "ok", NULL), RUN_OK);
      g_snprintf (id, sizeof id, "twice-%u", i);
      CU_ASSERT_EQUAL (run_one (run, id, ends[i & 1], NULL), RUN_MAYBE);
      CU_ASSERT_EQUAL (times_seen (id), 1);
      run_free (run);
      /* Not even a connection for a second try.  */
      CU_ASSERT_EQUAL (server.connections - before, 1);
    }
}

/* Waits until every connection is closed on both sides.  */
static void
wait_closed (void)
{
  g_mutex_lock (&server.lock);
  for (int i = 0; i < 5000 && server.open > 0; i++)
    {
      g_mutex_unlock (&server.lock);
      g_usleep (1000);
      g_mutex_lock (&server.lock);
    }
  g_mutex_unlock (&server.lock);
}

/* Guards against a task that is lost because its connection was closed while
   idle.  */
static void
test_closed_idle_connection (void)
{
  struct run *run = new_runner (pl_clock_real (), 1, 2);
  for (unsigned i = 0; i < 20; i++)
    {
      char id[64];
      g_snprintf (id, sizeof id, "idle-%u", i);
      const char *reason = NULL;
      enum run_status got = run_one (run, id, "ok-close", &reason);
      if (got != RUN_OK)
        printf ("%s: %s\n", id, reason);
      CU_ASSERT_EQUAL (got, RUN_OK);
      wait_closed ();
      CU_ASSERT_EQUAL (times_seen (id), 1);
    }
  run_free (run);
}

static void
test_idle_connections_are_closed (void)
{
  struct run *run = new_runner (pl_clock_real (), 1, 2);
  CU_ASSERT_EQUAL (run_one (run, "keep", "ok", NULL), RUN_OK);
  g_usleep (50000);
  CU_ASSERT_EQUAL (server.open, 1);
  g_usleep (300000);
  CU_ASSERT_EQUAL (server.open, 0);
  run_free (run);
}

/* Guards against tasks that count as started although nothing was sent.  */
static void
test_not_sent (void)
{
  struct pl_addr closed;
  close (listen_on (&closed));
  struct run *run = new_runner (pl_clock_real (), 1, 2);
  int64_t now = g_get_monotonic_time ();
  int64_t starts = pl_counter (PL_CTR_TASK_STARTS_TOTAL);
  struct run_task *tasks[] = {
    task_new ("n-refused", "ok", now + 5000000),
    task_new ("n-late", "ok", now - 1),
    task_new ("n-cancelled", "ok", now + 5000000),
  };
  static const char *const reasons[]
      = { "connect refused", "deadline", "cancelled" };
  tasks[0]->addr = closed;
  g_atomic_int_set (&tasks[2]->cancelled, 1);
  for (unsigned i = 0; i < G_N_ELEMENTS (tasks); i++)
    {
      run_start (run, tasks[i]);
      struct outcome *o = g_async_queue_pop (results);
      CU_ASSERT_EQUAL (o->result->status, RUN_NOT_SENT);
      CU_ASSERT_STRING_EQUAL (o->result->reason, reasons[i]);
      CU_ASSERT_EQUAL (times_seen (o->task->id), 0);
      outcome_free (o);
    }
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_TASK_STARTS_TOTAL), starts);
  run_free (run);
}

static GPrivate is_runner_thread; /* "y" or "n" */

static int64_t
jump_now (struct pl_clock *clock)
{
  struct jump_clock *c = (struct jump_clock *)clock;
  const char *name = g_private_get (&is_runner_thread);
  if (name == NULL)
    {
      char self[16] = "";
      pthread_getname_np (pthread_self (), self, sizeof self);
      g_private_set (&is_runner_thread, strcmp (self, "run") == 0 ? "y" : "n");
      name = g_private_get (&is_runner_thread);
    }
  if (*name == 'y' && g_atomic_int_add (&c->left, -1) <= 1)
    g_atomic_int_set (&c->jumped, 1);
  return g_atomic_int_get (&c->jumped) ? INT64_C (1000000000) : 1000;
}

static void
use_jump_clock (struct jump_clock *clock)
{
  g_mutex_lock (&server.lock);
  jump_clock_in_use = clock;
  g_mutex_unlock (&server.lock);
}

/* Guards against a request that is sent after its deadline because the process
   was paused before the send, on new and on reused connections: no byte may
   arrive once a runner has read a time after the deadline.  */
static void
test_late_resume_sends_nothing (void)
{
  unsigned sent = 0;
  for (int n = 1; n <= 12; n++)
    for (int reused = 0; reused <= 1; reused++)
      {
        struct jump_clock clock = { .base.now_us = jump_now, .left = 1000 };
        struct run *run = new_runner (&clock.base, 1, 2);
        char id[64];
        g_snprintf (id, sizeof id, "jump-warm-%d", n);
        run_start (run, task_new (id, "ok", 500000));
        outcome_free (g_async_queue_pop (results));
        if (!reused)
          {
            run_free (run);
            run = new_runner (&clock.base, 1, 2);
          }
        g_atomic_int_set (&clock.left, n);
        use_jump_clock (&clock);
        g_snprintf (id, sizeof id, "jump-%d-%d", n, reused);
        run_start (run, task_new (id, "ok", 500000));
        struct outcome *o = g_async_queue_pop (results);
        use_jump_clock (NULL);
        bool not_sent = o->result->status == RUN_NOT_SENT;
        CU_ASSERT_EQUAL (times_seen (id), not_sent ? 0 : 1);
        sent += not_sent ? 0 : 1;
        outcome_free (o);
        run_free (run);
      }
  CU_ASSERT (sent > 0 && sent < 24);
  CU_ASSERT_EQUAL (server.late, 0);
}

static void
check_bounded (const char *id, const char *kind, int64_t deadline_ms,
               const char *reason)
{
  struct run *run = new_runner (pl_clock_real (), 1, 2);
  int64_t start = g_get_monotonic_time ();
  run_start (run, task_new (id, kind, start + deadline_ms * 1000));
  struct outcome *o = g_async_queue_pop (results);
  int64_t took_ms = (g_get_monotonic_time () - start) / 1000;
  CU_ASSERT_EQUAL (o->result->status, RUN_MAYBE);
  if (strcmp (o->result->reason, reason) != 0)
    printf ("%s: %s after %d ms\n", id, o->result->reason, (int)took_ms);
  CU_ASSERT_STRING_EQUAL (o->result->reason, reason);
  CU_ASSERT (took_ms >= MIN (deadline_ms, 300) - 5);
  CU_ASSERT (took_ms < MIN (deadline_ms, 300) + 150);
  outcome_free (o);
  run_free (run);
}

/* Guards against an upstream that blocks a runner thread by its silence or by
   sending a few bytes at a time.  */
static void
test_slow_answers_are_bounded (void)
{
  check_bounded ("b1", "wait-cancel", 150, "deadline");
  check_bounded ("b2", "wait-cancel", 9000, "silent");
  check_bounded ("b3", "dribble-headers", 150, "deadline");
  check_bounded ("b4", "dribble-headers", 9000, "silent");
  check_bounded ("b5", "dribble", 150, "cut at limit");
  check_bounded ("b6", "dribble", 9000, "cut at limit");
}

/* Guards against a cancellation that blocks its caller or is not sent.  */
static void
test_cancel_reaches_upstream (void)
{
  struct run *run = new_runner (pl_clock_real (), 1, 2);
  run_start (
      run, task_new ("c1", "wait-cancel", g_get_monotonic_time () + 5000000));
  for (int i = 0; i < 5000 && times_seen ("c1") == 0; i++)
    g_usleep (1000);
  int64_t start = g_get_monotonic_time ();
  run_cancel (run, server.addr, "c1");
  CU_ASSERT (g_get_monotonic_time () - start < 5000);
  struct outcome *o = g_async_queue_pop (results);
  CU_ASSERT_EQUAL (o->result->status, RUN_FAILED);
  outcome_free (o);
  run_free (run);
}

/* Guards against crossed answers, double sends and too many connections under
   load.  Two in seven answers have another identity or surplus bytes; all
   other tasks must succeed.  */
static void
test_many_tasks (void)
{
  enum
  {
    TASKS = 2000,
    CONNECTIONS = 6
  };
  static const char *const kinds[]
      = { "ok", "ok", "ok", "cross", "ok", "ok", "double" };
  g_mutex_lock (&server.lock);
  server.max_open = 0;
  g_mutex_unlock (&server.lock);
  struct run *run = new_runner (pl_clock_real (), 16, CONNECTIONS);
  int64_t deadline = g_get_monotonic_time () + 5000000;
  for (unsigned i = 0; i < TASKS; i++)
    {
      char id[64];
      g_snprintf (id, sizeof id, "many-%u", i);
      run_start (run, task_new (id, kinds[i % 7], deadline));
    }
  unsigned wrong = 0;
  for (unsigned i = 0; i < TASKS; i++)
    {
      struct outcome *o = g_async_queue_pop (results);
      bool ok = o->result->status == RUN_OK;
      bool want_ok = strcmp (o->task->kind, "ok") == 0;
      bool as_wanted = o->result->status == (want_ok ? RUN_OK : RUN_MAYBE);
      if (!as_wanted)
        printf ("%s %s: %s\n", o->task->id, o->task->kind, o->result->reason);
      wrong += as_wanted ? 0 : 1;
      if (ok)
        wrong += g_bytes_get_size (o->result->answer) == 4 ? 0 : 1;
      wrong += times_seen (o->task->id) == 1 ? 0 : 1;
      outcome_free (o);
    }
  run_free (run);
  CU_ASSERT_EQUAL (wrong, 0);
  CU_ASSERT (server.max_open <= CONNECTIONS);
}

/* Guards against a crash, the answer of another task, and a connection that is
   unusable for the next task, after a damaged answer.  */
static void
test_mutated_answers (void)
{
  struct run *run = new_runner (pl_clock_real (), 1, 2);
  unsigned ok = 0;
  for (guint32 seed = 1; seed <= 150; seed++)
    {
      char id[64];
      char kind[32];
      g_snprintf (id, sizeof id, "mutated-%u", seed);
      g_snprintf (kind, sizeof kind, "mutate-%u", seed);
      run_start (run, task_new (id, kind, g_get_monotonic_time () + 5000000));
      struct outcome *o = g_async_queue_pop (results);
      GString *text = mutated_answer (id, seed);
      if (o->result->status == RUN_OK)
        {
          /* Accepted, so the identity must be undamaged, and the body must be
             the end of what was sent.  */
          gsize size = 0;
          const char *body = g_bytes_get_data (o->result->answer, &size);
          CU_ASSERT (strstr (text->str, id) != NULL);
          CU_ASSERT (
              size <= text->len
              && (size == 0
                  || memcmp (text->str + text->len - size, body, size) == 0));
          ok++;
        }
      CU_ASSERT (o->result->status != RUN_NOT_SENT);
      CU_ASSERT (o->result->status != RUN_REFUSED);
      CU_ASSERT_EQUAL (times_seen (id), 1);
      g_string_free (text, TRUE);
      outcome_free (o);
      wait_closed ();
      g_snprintf (id, sizeof id, "after-%u", seed);
      CU_ASSERT_EQUAL (run_one (run, id, "ok", NULL), RUN_OK);
    }
  CU_ASSERT (ok > 0 && ok < 150);
  run_free (run);
}

/* Guards against more connections to an upstream than allowed.  */
static void
test_connection_limit (void)
{
  wait_closed ();
  server.max_open = 0;
  struct run *run = new_runner (pl_clock_real (), 16, 3);
  int64_t deadline = g_get_monotonic_time () + 5000000;
  for (unsigned i = 0; i < 500; i++)
    {
      char id[64];
      g_snprintf (id, sizeof id, "limit-%u", i);
      run_start (run, task_new (id, "ok", deadline));
    }
  unsigned ok = 0;
  for (unsigned i = 0; i < 500; i++)
    {
      struct outcome *o = g_async_queue_pop (results);
      ok += o->result->status == RUN_OK ? 1 : 0;
      outcome_free (o);
    }
  run_free (run);
  CU_ASSERT_EQUAL (ok, 500);
  CU_ASSERT (server.max_open <= 3);
}

int
main (void)
{
  results = g_async_queue_new ();
  start_server ();
  pl_log_init ("text", "error");
  static CU_TestInfo tests[] = {
    { "answers", test_answers },
    { "result fields", test_result_fields },
    { "never delivered twice", test_never_delivered_twice },
    { "closed idle connection", test_closed_idle_connection },
    { "idle connections are closed", test_idle_connections_are_closed },
    { "not sent", test_not_sent },
    { "late resume sends nothing", test_late_resume_sends_nothing },
    { "slow answers are bounded", test_slow_answers_are_bounded },
    { "cancel reaches upstream", test_cancel_reaches_upstream },
    { "many tasks", test_many_tasks },
    { "mutated answers", test_mutated_answers },
    { "connection limit", test_connection_limit },
    CU_TEST_INFO_NULL,
  };
  return test_run ("run", tests);
}
