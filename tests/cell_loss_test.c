/* Tests of lib/cell for processes that pause, crash or restart, and for what
   is lost on the way between them, as seen with real processes;
   docs/incidents/ has the cases.  */
#include "cell.pb-c.h"
#include "cell_checks.h"

#define SEEDS 10
#define MORE_SEEDS 20 /* where the time of the fault is random */
/* Within this time after a job's submission its starts reach the workers.  */
#define ON_WAY_US 4000
#define N_JOBS 6 /* that all workers can run at once */

/* Guards against a task that is started elsewhere while it runs on a worker
   whose process was restarted at once: the start was accepted by the new
   process before its holder had noticed the restart.  */
static void
test_a_worker_that_restarts_at_once_runs_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 3, 8, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 40; i++)
        {
          run_load (world, 100000, 3, 60000);
          (void)world_submit (world, i % 3, 3, 60000);
          world_run_for (world, world_random_between (world, 0, ON_WAY_US));
          world_end_worker (world, &world->workers[i % 8], true);
          /* Every other time before the holder can notice.  */
          world_run_for (world,
                         world_random_between (world, 0, i % 2 ? 3000 : 300));
          world_boot_worker (world, i % 8);
          (void)world_submit (world, i % 3, 3, 60000);
        }
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, "restart at once", seed);
      world_free (world);
    }
}

/* Guards against a task that is started elsewhere while a start of it waits
   for the next process of its worker, which counts its clock anew and so does
   not refuse the start as late.  */
static void
test_a_start_that_waits_for_the_next_process_runs_nothing_twice (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 3, 8, 2);
      for (int i = 0; i < world->n_workers; i++)
        world->workers[i].supervised = true;
      world_run_for (world, SECOND);
      for (int i = 0; i < 12; i++)
        {
          struct world_worker *w = &world->workers[i % 8];
          run_load (world, 500000, 3, 1500000);
          for (int k = 0; k < 3; k++)
            (void)world_submit (world, k, 3, 1500000);
          world_run_for (world, world_random_between (world, 0, ON_WAY_US));
          world_end_worker (world, w, false);
          run_load (world, world_random_between (world, 100000, 3000000), 3,
                    1500000);
          world_boot_worker (world, w->index);
        }
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, "waiting start", seed);
      world_free (world);
    }
}

/* Guards against a job that runs twice because it was sent again after its
   deadline, while a start of its first attempt waits for the next process of
   a worker.  */
static void
test_a_job_sent_again_waits_for_its_unanswered_start (void)
{
  unsigned sent_again = 0;
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 3, 4, 2);
      struct world_worker *w = &world->workers[seed % 4];
      struct world_job *jobs[N_JOBS];
      world->job_deadline_us = 3 * SECOND / 2;
      w->supervised = true;
      world_run_for (world, SECOND);
      for (int i = 0; i < N_JOBS; i++)
        jobs[i] = world_submit (world, i % 3, 1, 1200000);
      world_run_for (world, world_random_between (world, 0, ON_WAY_US));
      world_end_worker (world, w, false);
      world_run_for (world, world->job_deadline_us + WORLD_RESEND_US);
      world->job_deadline_us = 4 * SECOND;
      for (int i = 0; i < N_JOBS; i++)
        if (jobs[i]->code == PL_DEADLINE_RAN)
          (void)world_submit_job (world, (i + 1) % 3, jobs[i]->id, 1, 1200000);
      world_run_for (world, world_random_between (world, 0, SECOND));
      world_boot_worker (world, w->index);
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      for (int i = 0; i < N_JOBS; i++)
        if (jobs[i]->attempts > 1)
          {
            sent_again++;
            CU_ASSERT_EQUAL (jobs[i]->code, PL_OK);
          }
      check_violations (world, "sent again", seed);
      world_free (world);
    }
  CU_ASSERT_TRUE (sent_again > 0);
}

/* Guards against a start that a worker carries out seconds later, after its
   process was restarted and its holder has looked at it.  */
static void
test_a_late_start_is_refused_by_a_restarted_worker (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 3, 8, 2);
      world->late_order_share = 0.05;
      world_run_for (world, SECOND);
      for (int i = 0; i < 16; i++)
        {
          run_load (world, 500000, 3, 400000);
          world_end_worker (world, &world->workers[i % 8], true);
          world_run_for (world, world_random_between (world, 0, 3000));
          world_boot_worker (world, i % 8);
        }
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, "late start", seed);
      world_free (world);
    }
}

/* Guards against jobs that wait for a worker that is lost for good, with a
   start that it has not answered: its removal from the registry ends that.  */
static void
test_a_start_on_a_removed_worker_is_given_up (void)
{
  unsigned waited = 0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 3, 4, 2);
      world->job_deadline_us = 20 * SECOND;
      world->workers[0].supervised = true;
      world_run_for (world, SECOND);
      for (int i = 0; i < N_JOBS; i++)
        (void)world_submit (world, i % 3, 1, 2000000);
      world_run_for (world, world_random_between (world, 0, ON_WAY_US));
      world_end_worker (world, &world->workers[0], false);
      world_run_for (world, 4 * SECOND);
      waited += !all_answered (world);
      for (int i = 0; i < 3; i++)
        cell_remove_worker (world->instances[i].cell, world->workers[0].key);
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      CU_ASSERT_EQUAL (world->answers[PL_OK], N_JOBS);
      check_violations (world, "removed", seed);
      world_free (world);
    }
  CU_ASSERT_TRUE (waited > 0);
}

/* Guards against starts by the capacity that a worker had before it shrank,
   while tasks of that time still run there; and against capacity that has
   grown again and is not used.  */
static void
test_a_capacity_that_shrinks_is_kept_to (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 3, 6, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 12; i++)
        {
          run_load (world, 300000, 4, 300000);
          int index = i % 6;
          int32_t cpu = i < 6 ? 17000 : 32000;
          world_change_worker (world, index, cpu, false, -1);
          world_run_for (world, 5000); /* orders under way */
          world->overfull_starts = 0;
          run_load (world, 500000, 4, 300000);
          CU_ASSERT_EQUAL (world->overfull_starts, 0);
        }
      settle (world);
      struct world_job *job = world_submit (world, 0, 12, 300000);
      world_run_for (world, 2 * SECOND);
      CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
      CU_ASSERT_EQUAL (world->double_starts, 0);
      world_free (world);
    }
}

#define REGISTRATION_US 700000 /* after which a silent one lapses */

/* Renews the leases of the workers whose token is not the one in TOKENS any
   more, as a holder of a former build does before the owners have claimed the
   runs that it finds.  */
static void
renew_as_former_holders (struct world *world, const int64_t *tokens)
{
  int64_t now_us = world_now (world);
  for (int i = 0; i < world->n_workers; i++)
    {
      struct world_worker *w = &world->workers[i];
      if (w->model.token == tokens[i])
        continue;
      model_renew (&w->model, now_us + MODEL_MAX_LEASE_US, now_us);
      world_schedule_worker (world, w);
    }
}

/* Lets jobs arrive for US, while former holders renew.  */
static void
run_load_with_former_holders (struct world *world, int64_t us,
                              const int64_t *tokens)
{
  int64_t end_us = world_now (world) + us;
  for (int i = 0; world_now (world) < end_us; i++)
    {
      int to = (int)world_random_between (world, 0, world->n_instances - 1);
      if (i % 50 == 0)
        (void)world_submit (world, to, 2, 400000);
      world_resend_lost_jobs (world);
      world_run_for (world, 2000);
      renew_as_former_holders (world, tokens);
    }
}

/* Freezes an instance for PAUSE_US under load; its registration lapses
   meanwhile, and the others take its workers.  */
static void
pause_instance (struct world *world, int index, int64_t pause_us,
                bool timers_first)
{
  int64_t registered_us = MIN (pause_us, REGISTRATION_US);
  int64_t tokens[WORLD_MAX_WORKERS] = { 0 };
  for (int i = 0; i < world->n_workers; i++)
    tokens[i] = world->workers[i].model.token;
  world_set_frozen (world, index, true);
  run_load_with_former_holders (world, registered_us, tokens);
  world_set_registered (world, index, false);
  run_load_with_former_holders (world, pause_us - registered_us, tokens);
  world_thaw (world, index, timers_first);
  world_run_for (world, 50000);
  world_set_registered (world, index, true);
}

/* Guards against an instance that goes on after a pause and takes the runs on
   its workers for expired, although another instance has taken the workers and
   renewed them; or that takes its peers for silent because it was itself.  */
static void
test_a_pause_is_not_the_silence_of_others (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 12, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 12; i++)
        {
          (void)world_submit (world, i % 4, 4, 2000000);
          run_load (world, 700000, 2, 400000);
          pause_instance (
              world, i % 4,
              world_random_between (world, 200000, i < 8 ? 1500000 : 6000000),
              i % 3 != 0);
        }
      settle (world);
      CU_ASSERT_EQUAL (count_held (world), 12);
      CU_ASSERT_TRUE (all_answered (world));
      check_violations (world, "pause, timers first", seed);
      world_free (world);
    }
}

/* The caller of one of the unanswered jobs leaves, and submits the job again
   to another instance after the resend time.  */
static struct world_job *
leave_job (struct world *world)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, world->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct world_job *job = value;
      struct owner_table *jobs
          = cell_jobs (world->instances[job->instance].cell);
      struct owner_job *owned = owner_find_job (jobs, job->id);
      if (job->answered || owned == NULL)
        continue;
      owner_abort_job (jobs, owned, PL_OK, false);
      world_process_queued (world, job->instance);
      return job;
    }
  return NULL;
}

/* Guards against messages between instances that are lost with a connection
   and that nothing repeats: a start or an end that is lost leaves a job
   waiting until its deadline, a stop that is lost lets a task run beside its
   next run.  */
static void
test_messages_lost_with_a_connection_are_made_good (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      /* Only a long run is still there when its job comes again.  */
      int64_t run_us = seed % 2 == 0 ? 60000 : 1700000;
      struct world *world = world_new (seed, 4, 16, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 30; i++)
        {
          int from = (int)world_random_between (world, 0, 3);
          int to = (from + (int)world_random_between (world, 1, 3)) % 4;
          (void)world_submit (world, from, 4, run_us);
          world_run_for (world, world_random_between (world, 0, 70000));
          struct world_job *left = i % 5 == 4 ? leave_job (world) : NULL;
          world_reset_link (world, from, to);
          if (i % 3 != 0)
            world_reset_link (world, to, from);
          world_run_for (world, WORLD_RESEND_US);
          if (left != NULL)
            (void)world_submit_job (world, (left->instance + 1) % 4, left->id,
                                    left->n_tasks, left->run_us);
        }
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      CU_ASSERT_EQUAL (world->complete, g_hash_table_size (world->jobs));
      check_violations (world, "reset", seed);
      world_free (world);
    }
}

/* Guards against jobs that are shown as failed because their starts were sent
   to workers that had stopped answering before they ended.  */
static void
test_starts_on_dead_workers_are_no_crashes (void)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct world *world = world_new (seed, 3, 16, 2);
      world_run_for (world, SECOND);
      for (int i = 0; i < 60; i++)
        {
          int dark = i % 16;
          for (int k = 0; k < 3; k++)
            world->cut_worker[k][dark] = true;
          for (int k = 0; k < 10; k++)
            {
              (void)world_submit (world, k % 3, 3, 60000);
              world_run_for (world, 20000);
            }
          for (int k = 0; k < 3; k++)
            world->cut_worker[k][dark] = false;
          world_end_worker (world, &world->workers[dark], true);
          world_run_for (world, 5000);
          world_boot_worker (world, dark);
        }
      settle (world);
      CU_ASSERT_TRUE (all_answered (world));
      CU_ASSERT_EQUAL (world->answers[PL_FAILED_RAN], 0);
      check_violations (world, "dead workers", seed);
      world_free (world);
    }
}

/* Guards against an instance that goes on after a pause and takes the workers
   of peers that it has not heard only because it did not read.  The store is
   away, so that a silent peer counts as dead early.  */
static void
test_a_pause_takes_no_workers_of_others (void)
{
  for (uint64_t seed = 1; seed <= MORE_SEEDS; seed++)
    {
      struct world *world = world_new (seed, 4, 12, 2);
      for (int i = 0; i < 4; i++)
        cell_set_registry_fresh (world->instances[i].cell, false);
      world_run_for (world, 2 * SECOND);
      world_set_frozen (world, 0, true);
      world_run_for (world, world_random_between (world, 750000, 3 * SECOND));
      int64_t takes = pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL);
      world_thaw (world, 0, true);
      /* What it missed has been read by then; no peer has yielded yet.  */
      world_run_for (world, 800);
      CU_ASSERT_EQUAL (pl_counter (PL_CTR_WORKERS_TAKEN_TOTAL), takes);
      world_free (world);
    }
}

/* Guards against frames of a restarted peer that are dropped because its
   former process had replaced its link once.  */
static void
test_a_peer_that_restarts_after_a_reset_is_heard (void)
{
  struct world *world = world_new (7, 3, 9, 1);
  world_run_for (world, SECOND);
  world_reset_link (world, 1, 0);
  world_run_for (world, SECOND);
  world_kill (world, 1, false);
  world_run_for (world, SECOND);
  world_boot (world, 1);
  world_run_for (world, 2 * SECOND);
  CU_ASSERT_EQUAL (cell_count_live_peers (world->instances[0].cell), 2);
  CU_ASSERT_EQUAL (count_held (world), 9);
  world_free (world);
}

/* Keeps the latest heartbeat of instance 1, of which there is one to each
 * peer.
 */
static void
keep_heartbeat (struct world *world, GBytes *frame)
{
  GBytes **latest = world->user;
  gsize len;
  const uint8_t *data = g_bytes_get_data (frame, &len);
  Cellpb__Envelope *env = cellpb__envelope__unpack (NULL, len, data);
  if (env->sender == world->instances[1].incarnation
      && env->body_case == CELLPB__ENVELOPE__BODY_HEARTBEAT)
    {
      g_bytes_unref (*latest);
      *latest = g_bytes_ref (frame);
    }
  cellpb__envelope__free_unpacked (env, NULL);
}

/* Guards against a message on a former connection that is handled after its
   sender has replaced the connection and repeated what it took for lost.  */
static void
test_frames_of_a_replaced_link_are_dropped (void)
{
  struct world *world = world_new (8, 3, 9, 1);
  world_run_for (world, SECOND);
  uint64_t *former = world->instances[0].link_peers[1];
  world_reset_link (world, 1, 0);
  GBytes *heartbeat = g_bytes_new (NULL, 0);
  world->user = &heartbeat;
  world->on_frame = keep_heartbeat;
  world_run_for (world, SECOND);
  gsize len;
  const char *data = g_bytes_get_data (heartbeat, &len);
  CU_ASSERT_TRUE_FATAL (len > 0);
  struct pl_str frame = { data, len };
  int64_t dropped = pl_counter (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL);
  cell_receive_frame (world->instances[0].cell,
                      world->instances[0].link_peers[1], frame);
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL), dropped);
  cell_receive_frame (world->instances[0].cell, former, frame);
  CU_ASSERT_EQUAL (pl_counter (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL),
                   dropped + 1);
  g_bytes_unref (heartbeat);
  world_free (world);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a capacity that shrinks is kept to",
      test_a_capacity_that_shrinks_is_kept_to },
    { "a worker that restarts at once runs nothing twice",
      test_a_worker_that_restarts_at_once_runs_nothing_twice },
    { "a start that waits for the next process runs nothing twice",
      test_a_start_that_waits_for_the_next_process_runs_nothing_twice },
    { "a job sent again waits for its unanswered start",
      test_a_job_sent_again_waits_for_its_unanswered_start },
    { "a late start is refused by a restarted worker",
      test_a_late_start_is_refused_by_a_restarted_worker },
    { "a start on a removed worker is given up",
      test_a_start_on_a_removed_worker_is_given_up },
    { "starts on dead workers are no crashes",
      test_starts_on_dead_workers_are_no_crashes },
    { "messages lost with a connection are made good",
      test_messages_lost_with_a_connection_are_made_good },
    { "a pause is not the silence of others",
      test_a_pause_is_not_the_silence_of_others },
    { "a pause takes no workers of others",
      test_a_pause_takes_no_workers_of_others },
    { "a peer that restarts after a reset is heard",
      test_a_peer_that_restarts_after_a_reset_is_heard },
    { "frames of a replaced link are dropped",
      test_frames_of_a_replaced_link_are_dropped },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_loss_test", tests);
}
