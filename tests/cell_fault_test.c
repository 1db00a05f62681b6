/* Tests of lib/cell for what has gone wrong in similar systems, as their
   operators report; docs/proofs.md lists the reports.  */
#include "cell_checks.h"
#include "cell_priv.h"

#define SEEDS 10
#define MORE_SEEDS 20 /* where the time of the fault is random */

/* Guards against running work that is given up or started again because its
   holder was silent for less than the time after which a peer is lost.  */
static void
test_a_short_silence_moves_no_work (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world->delay_cut_frames = true;
      world_run_for (world, SECOND);
      struct world_job *job = world_submit (world, 0, 16, 1500000);
      world_run_for (world, 200000);
      unsigned starts = world->starts;
      set_silent (world, 1, true);
      world_run_for (world, world_random_between (world, 50000, 380000));
      set_silent (world, 1, false);
      world_run_for (world, 2 * SECOND);
      CU_ASSERT_EQUAL (starts, 16);
      CU_ASSERT_EQUAL (world->starts, starts);
      CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
      check_violations (world, "short silence", seed);
      world_free (world);
    }
}

/* Guards against running work that is started again elsewhere before it has
   certainly ended, and against jobs without an answer, when its holder, its
   owner or the planner is silent for seconds.  */
static void
test_a_long_silence_starts_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world->delay_cut_frames = seed % 2 == 0;
      world_run_for (world, SECOND);
      for (int i = 0; i < 4; i++)
        {
          run_load (world, SECOND, 4, 700000);
          set_silent (world, i, true);
          run_load (world, world_random_between (world, SECOND, 4 * SECOND), 4,
                    700000);
          set_silent (world, i, false);
        }
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, "long silence", seed);
      world_free (world);
    }
}

/* Guards against two processes that both act around a hand-over: instances
   drain and start in turn under load, so that planner, holders and owners
   change all the time.  */
static void
test_a_hand_over_starts_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 8; i++)
        {
          cell_drain (world->instances[i % 4].cell, INT64_MAX);
          run_load (world, world_random_between (world, 100000, 700000), 4,
                    300000);
          world_kill (world, i % 4, false);
          run_load (world, world_random_between (world, 100000, 500000), 4,
                    300000);
          world_boot (world, i % 4);
          run_load (world, 600000, 4, 300000);
        }
      settle (world);
      CU_ASSERT_EQUAL (count_held (world), 16);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, "hand-over", seed);
      world_free (world);
    }
}

/* Guards against a process that acts on a lease, a grant or an order that ran
   out while the process was paused for 2 to 6 s, at any step of its work.  */
static void
test_a_paused_instance_acts_on_nothing_expired (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 4; i++)
        {
          run_load (world, SECOND, 4, 400000);
          /* At any time of the 100 ms between two jobs.  */
          world_run_for (world, world_random_between (world, 0, 100000));
          world_set_frozen (world, i, true);
          run_load (world,
                    world_random_between (world, 2 * SECOND, 6 * SECOND), 4,
                    400000);
          world_set_frozen (world, i, false);
          world_deliver_delayed_frames (world);
        }
      run_load (world, SECOND, 4, 400000);
      settle (world);
      CU_ASSERT_EQUAL (count_held (world), 16);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, "pause", seed);
      world_free (world);
    }
}

/* Guards against a worker that has left and is used again by an instance that
   restarts and reads a registry that still lists it.  */
static void
test_a_worker_that_left_is_not_used_after_a_restart (void)
{
  struct world *world = world_new (31, 3, 9, 1);
  world_run_for (world, SECOND);
  world_crash_worker (world, 0);
  for (int i = 0; i < 3; i++)
    cell_remove_worker (world->instances[i].cell, world->workers[0].key);
  world_run_for (world, SECOND);
  world_kill (world, 0, false);
  world_run_for (world, SECOND);
  world_boot (world, 0);
  world_register_worker (world, &world->instances[0], &world->workers[0]);
  world_run_for (world, SECOND);
  for (int i = 0; i < 20; i++)
    {
      struct world_job *job = world_submit (world, i % 3, 4, 100000);
      world_run_for (world, 200000);
      CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
    }
  check_violations (world, "left", 31);
  world_free (world);
}

/* Guards against a withdrawn configuration that is in force again after a
   restart: the instance reads an old one and its peers have a newer one.  */
static void
test_an_old_configuration_is_replaced_after_a_restart (void)
{
  struct world *world = world_new (32, 3, 6, 1);
  world_run_for (world, SECOND);
  for (int i = 0; i < 3; i++)
    cell_set_config (world->instances[i].cell, 7, pl_str ("new"));
  world_kill (world, 2, false);
  world_run_for (world, SECOND);
  world_boot (world, 2);
  struct cell *cell = world->instances[2].cell;
  cell_set_config (cell, 6, pl_str ("old"));
  world_run_for (world, 300000);
  CU_ASSERT_EQUAL (cell->config_version, 7);
  cell_set_config (cell, 6, pl_str ("old"));
  CU_ASSERT_EQUAL (cell->config_version, 7);
  world_free (world);
}

/* Guards against work that is run again, or answered as not run, after the
   answer to a poll, a start or a stop was lost.  */
static void
test_lost_answers_repeat_nothing (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world_run_for (world, SECOND);
      world->lost_answer_share = 0.02 * (double)(1 + seed % 5);
      run_load (world, 6 * SECOND, 4, 300000);
      world->lost_answer_share = 0;
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      CU_ASSERT_TRUE (world->complete > 0);
      check_violations (world, "lost answers", seed);
      world_free (world);
    }
}

/* Frames as they were sent, to be damaged.  */
#define SAMPLE_FRAMES 400

static void
keep_frame (struct world *world, GBytes *frame)
{
  GPtrArray *samples = world->user;
  if (samples->len < SAMPLE_FRAMES)
    g_ptr_array_add (samples, g_bytes_ref (frame));
  else
    {
      guint i = world->frames % SAMPLE_FRAMES;
      g_bytes_unref (samples->pdata[i]);
      samples->pdata[i] = g_bytes_ref (frame);
    }
}

/* Changes, removes or adds some bytes of FRAME.  */
static GByteArray *
damage (struct world *world, GBytes *frame)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (frame, &len);
  GByteArray *copy = g_byte_array_new ();
  g_byte_array_append (copy, data, (guint)len);
  for (int64_t n = world_random_between (world, 1, 4); n > 0; n--)
    {
      guint at = (guint)world_random_between (world, 0, copy->len - 1);
      int64_t kind = world_random_between (world, 0, 9);
      if (kind == 0 && copy->len > 1)
        g_byte_array_set_size (copy, at + 1);
      else if (kind == 1)
        memset (copy->data + at, 0xff, copy->len - at);
      else
        copy->data[at] = (uint8_t)world_random (world);
    }
  return copy;
}

#define DAMAGED_FRAMES 40000

/* Guards against a damaged, truncated or forged message that ends the process
   or, with the sanitizers, is computed with out of range; and against an
   instance that no longer serves its callers afterwards.  */
static void
test_damaged_frames_end_no_instance (void)
{
  struct world *world = world_new (21, 4, 12, 2);
  g_autoptr (GPtrArray) samples
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  world->user = samples;
  world->on_frame = keep_frame;
  world_run_for (world, SECOND);
  for (unsigned i = 0; i < DAMAGED_FRAMES; i++)
    {
      if (i % 400 == 0)
        {
          (void)world_submit (world, (int)(i / 400) % 4, 3, 100000);
          world_run_for (world, 20000);
        }
      uint64_t link_peer = 0;
      GByteArray *frame = damage (
          world, samples->pdata[world_random (world) % samples->len]);
      cell_receive_frame (
          world->instances[0].cell, &link_peer,
          (struct pl_str){ (const char *)frame->data, frame->len });
      world_process_queued (world, 0);
      g_byte_array_unref (frame);
    }
  world_run_for (world, 10 * SECOND);
  struct world_job *job = world_submit (world, 0, 3, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (job->answered);
  CU_ASSERT_EQUAL (job->code, PL_OK);
  world_free (world);
}

/* Guards against a request that is dropped, so that its job gets no answer,
   because its caller waits for as long as a caller can say.  */
static void
test_the_longest_deadline_is_accepted (void)
{
  Cellpb__Ask ask = CELLPB__ASK__INIT;
  ask.width = 1;
  ask.deadline_us = (int64_t)INT32_MAX * 1000;
  ask.objective_us = (int64_t)24 * 3600 * SECOND * 8 / 5;
  ask.late_us = 3 * ask.objective_us;
  Cellpb__Envelope env = CELL_ENVELOPE (ask, ASK, &ask);
  env.sender = 1;
  CU_ASSERT_TRUE (cell_is_valid (&env));
  ask.deadline_us = INT64_MAX;
  CU_ASSERT_FALSE (cell_is_valid (&env));
}

/* Returns a frame with a message to stop a run, sent by SENDER.  */
static GByteArray *
pack_stop (uint64_t sender)
{
  Cellpb__RunId run = CELLPB__RUN_ID__INIT;
  Cellpb__Stop stop = CELLPB__STOP__INIT;
  stop.id = &run;
  Cellpb__Envelope env = CELL_ENVELOPE (stop, STOP, &stop);
  env.sender = sender;
  GByteArray *frame = g_byte_array_new ();
  g_byte_array_set_size (frame,
                         (guint)cellpb__envelope__get_packed_size (&env));
  cellpb__envelope__pack (&env, frame->data);
  return frame;
}

/* Guards against messages without a sender, which count as those of an unknown
   planner or owner, and against a link that changes its sender.  */
static void
test_a_link_has_one_sender (void)
{
  struct world *world = world_new (22, 2, 6, 2);
  world_run_for (world, SECOND);
  static const struct
  {
    uint64_t link_peer;
    uint64_t sender;
    bool dropped;
  } cases[]
      = { { 0, 0, true }, { 7, 0, true }, { 7, 8, true }, { 7, 7, false } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint64_t link_peer = cases[i].link_peer;
      int64_t before = pl_counter (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL);
      GByteArray *frame = pack_stop (cases[i].sender);
      cell_receive_frame (
          world->instances[0].cell, &link_peer,
          (struct pl_str){ (const char *)frame->data, frame->len });
      int64_t dropped
          = pl_counter (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL) - before;
      CU_ASSERT_EQUAL (dropped, cases[i].dropped);
      g_byte_array_unref (frame);
    }
  world_free (world);
}

/* Submits a job whose first task crashes each worker that starts it.  */
static struct world_job *
submit_crashing_job (struct world *world, int instance)
{
  struct world_job *job = world_submit (world, instance, 4, 900000);
  job->crashing = true;
  return job;
}

/* Guards against a task that crashes one worker after the other until its
   caller stops waiting.  */
static void
test_a_task_that_crashes_workers_is_given_up (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world_run_for (world, SECOND);
      const struct world_job *job = submit_crashing_job (world, 0);
      settle (world);
      CU_ASSERT_TRUE (job->crashes <= 2);
      CU_ASSERT_TRUE (job->answered);
      CU_ASSERT_EQUAL (job->code, PL_FAILED_RAN);
      check_violations (world, "crashing", seed);
      world_free (world);
    }
}

/* Guards against an owner that knows nothing of the workers that a resent job
   has crashed before.  Only a crash that no live instance has seen, because
   the worker's holder ended before it noticed, may be missing from the count.
 */
static void
test_crashes_are_known_when_a_job_is_resent (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world_run_for (world, SECOND);
      const struct world_job *job = submit_crashing_job (world, 0);
      unsigned n_killed = 0;
      while (!job->answered && n_killed < 3)
        {
          world_run_for (world,
                         world_random_between (world, 1200000, 1400000));
          int owner = job->instance;
          world_kill (world, owner, false);
          n_killed++;
          world_run_for (world, 500000);
          world_boot (world, owner);
          settle (world);
        }
      settle (world);
      CU_ASSERT_TRUE (job->crashes <= 2 + n_killed);
      CU_ASSERT_TRUE (job->answered);
      CU_ASSERT_EQUAL (job->code, PL_FAILED_RAN);
      check_violations (world, "crashing-resent", seed);
      world_free (world);
    }
}

/* Whether only jobs that crash workers, and all of them, were answered as
 * failed.  */
static bool
only_crashing_jobs_failed (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, world->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct world_job *job = value;
      if (job->crashing != (job->code == PL_FAILED_RAN))
        return false;
    }
  return true;
}

/* Guards against jobs that are given up because they ran beside a task that
   crashed their worker.  */
static void
test_crashes_are_not_put_down_to_other_tasks (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 16, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 4; i++)
        {
          (void)submit_crashing_job (world, i);
          run_load (world, 3 * SECOND, 3, 300000);
        }
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      CU_ASSERT_TRUE (only_crashing_jobs_failed (world));
      check_violations (world, "crashing-beside", seed);
      world_free (world);
    }
}

/* Guards against a worker that is taken every 20 ms although another one
   answers at its address, as long as the registry lists it.  */
static void
test_a_replaced_worker_is_not_taken_again_and_again (void)
{
  struct world *world = world_new (1, 2, 4, 1);
  world_run_for (world, SECOND);
  int64_t before = pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL);
  world_crash_worker (world, 0);
  world->workers[0].replaced = true;
  world_run_for (world, 4 * SECOND);
  CU_ASSERT_TRUE (pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL) - before <= 5);
  world->workers[0].replaced = false;
  world_boot_worker (world, 0);
  world_run_for (world, 200000);
  CU_ASSERT_EQUAL (count_held (world), 4);
  world_free (world);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a short silence moves no work", test_a_short_silence_moves_no_work },
    { "a long silence starts nothing twice",
      test_a_long_silence_starts_nothing_twice },
    { "a hand-over starts nothing twice",
      test_a_hand_over_starts_nothing_twice },
    { "a paused instance acts on nothing expired",
      test_a_paused_instance_acts_on_nothing_expired },
    { "a worker that left is not used after a restart",
      test_a_worker_that_left_is_not_used_after_a_restart },
    { "an old configuration is replaced after a restart",
      test_an_old_configuration_is_replaced_after_a_restart },
    { "damaged frames end no instance", test_damaged_frames_end_no_instance },
    { "the longest deadline is accepted",
      test_the_longest_deadline_is_accepted },
    { "a link has one sender", test_a_link_has_one_sender },
    { "lost answers repeat nothing", test_lost_answers_repeat_nothing },
    { "a task that crashes workers is given up",
      test_a_task_that_crashes_workers_is_given_up },
    { "crashes are known when a job is resent",
      test_crashes_are_known_when_a_job_is_resent },
    { "crashes are not put down to other tasks",
      test_crashes_are_not_put_down_to_other_tasks },
    { "a replaced worker is not taken again and again",
      test_a_replaced_worker_is_not_taken_again_and_again },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_fault_test", tests);
}
