/* Tests of lib/cell for instances that the registry does not serve while it
   serves others, which tell them of changes of workers.  */
#include "cell_checks.h"
#include "cell_priv.h"

/* Guards against starts on a worker that has shrunk, or is leaving, by a
   holder and a planner that the registry does not serve: their peers tell
   them.  */
static void
test_peers_tell_what_the_registry_does_not (void)
{
  for (int unserved = 0; unserved < 4; unserved++)
    {
      struct world *world = world_new (1, 4, 8, 1);
      world_run_for (world, SECOND);
      cell_set_registry_fresh (world->instances[unserved].cell, false);
      for (int i = 0; i < 4; i++)
        world_change_worker (world, i, 20000, false, unserved);
      for (int i = 4; i < 8; i++)
        world_change_worker (world, i, 32000, true, unserved);
      world_run_for (world, 200000);
      unsigned starts = world->starts;
      (void)world_submit (world, unserved, 16, 100000);
      world_run_for (world, SECOND);
      CU_ASSERT_TRUE (world->starts > starts);
      CU_ASSERT_EQUAL (world->draining_starts, 0);
      check_violations (world, "unserved", (uint64_t)unserved);
      world_free (world);
    }
}

#define KIND_BEFORE 1 /* labels of workers */
#define KIND_AFTER 2

/* Gives all workers the label KIND_BEFORE, as all instances read.  */
static void
set_former_kind (struct world *world)
{
  for (int i = 0; i < world->n_workers; i++)
    {
      struct world_worker *w = &world->workers[i];
      w->label = KIND_BEFORE;
      world_change_worker (world, i, w->model.capacity.cpu, false, -1);
    }
}

/* Guards against starts by the labels that a worker's former process had,
   where the registry does not serve the worker's holder; and against a worker
   of another kind that is not used for what it is.  */
static void
test_a_worker_of_another_kind_is_known_by_its_entry (void)
{
  for (int unserved = 0; unserved < 4; unserved++)
    {
      struct world *world = world_new (1, 4, 8, 1);
      set_former_kind (world);
      world_run_for (world, SECOND);
      cell_set_registry_fresh (world->instances[unserved].cell, false);
      for (int i = 0; i < 8; i++)
        world_end_worker (world, &world->workers[i], true);
      world_run_for (world, 300000);
      for (int i = 0; i < 8; i++)
        {
          world->workers[i].label = KIND_AFTER;
          world_boot_worker_unseen (world, i, unserved);
        }
      world_run_for (world, SECOND);
      world->required_label = KIND_BEFORE;
      (void)world_submit (world, unserved, 8, 100000);
      world_run_for (world, SECOND);
      CU_ASSERT_EQUAL (world->starts, 0);
      world->required_label = KIND_AFTER;
      struct world_job *job = world_submit (world, unserved, 8, 100000);
      world_run_for (world, SECOND);
      CU_ASSERT_TRUE (job->answered && job->code == PL_OK);
      check_violations (world, "another kind", (uint64_t)unserved);
      world_free (world);
    }
}

/* Tells instance TO of worker W as a former build of instance FROM does,
   without the entry.  */
static void
tell_as_former_build (struct world *world, int from, int to,
                      const struct world_worker *w)
{
  uint64_t link_peer = world->instances[from].incarnation;
  Cellpb__Amount capacity = CELLPB__AMOUNT__INIT;
  capacity.cpu = w->model.capacity.cpu;
  capacity.mem = w->model.capacity.mem;
  Cellpb__WorkerState msg = CELLPB__WORKER_STATE__INIT;
  msg.worker = w->key;
  msg.revision = w->revision;
  msg.incarnation_ms = w->incarnation_ms;
  msg.capacity = &capacity;
  Cellpb__Envelope env = CELLPB__ENVELOPE__INIT;
  env.sender = link_peer;
  env.sent_us = world_now (world);
  env.body_case = CELLPB__ENVELOPE__BODY_WORKER_STATE;
  env.worker_state = &msg;
  uint8_t data[256];
  size_t len = cellpb__envelope__pack (&env, data);
  cell_receive_frame (world->instances[to].cell, &link_peer,
                      (struct pl_str){ (const char *)data, len });
}

/* Guards against the same where the peer is of a former build, which tells
   less: the worker is not used until its entry is read.  */
static void
test_another_kind_told_by_a_former_build_waits (void)
{
  struct world *world = world_new (1, 2, 4, 1);
  set_former_kind (world);
  world_run_for (world, SECOND);
  cell_set_registry_fresh (world->instances[0].cell, false);
  cell_set_registry_fresh (world->instances[1].cell, false);
  world_kill (world, 1, false);
  world_run_for (world, SECOND);
  for (int i = 0; i < 4; i++)
    {
      world_end_worker (world, &world->workers[i], true);
      world->workers[i].label = KIND_AFTER;
      world_run_for (world, 300000);
      world_boot_worker_unseen (world, i, 0);
      tell_as_former_build (world, 1, 0, &world->workers[i]);
    }
  world_run_for (world, SECOND);
  world->required_label = KIND_BEFORE;
  (void)world_submit (world, 0, 4, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (world->starts, 0);
  check_violations (world, "former build", 1);
  world_free (world);
}

/* Counts the messages of struct world's frames that relay a worker's state, in
   the unsigned that USER points to.  */
static void
count_relayed (struct world *world, GBytes *frame)
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (frame, &len);
  Cellpb__Envelope *env = cellpb__envelope__unpack (NULL, len, data);
  *(unsigned *)world->user
      += env->body_case == CELLPB__ENVELOPE__BODY_WORKER_STATE;
  cellpb__envelope__free_unpacked (env, NULL);
}

/* Guards against peers that relay the same state with each heartbeat while the
   registry serves some instances only, because they have first read the
   entries at other revisions, and against all of them doing so while it serves
   none. */
static void
test_a_known_state_is_not_relayed_again (void)
{
  for (int fresh = 0; fresh < 2; fresh++)
    {
      struct world *world = world_new (1, 4, 8, 1);
      unsigned relayed = 0;
      world_run_for (world, SECOND);
      for (int i = 0; i < 8; i++)
        world->workers[i].revision = ++world->registry_revision;
      world_kill (world, 1, false);
      world_run_for (world, 500000);
      world_boot (world, 1);
      world_run_for (world, SECOND);
      world->on_frame = count_relayed;
      world->user = &relayed;
      for (int i = 0; i < 4; i++)
        if (i == 0 || fresh == 0)
          cell_set_registry_fresh (world->instances[i].cell, false);
      world_run_for (world, 3 * SECOND);
      /* A peer may relay a state twice before the next heartbeat shows that it
         is known.  */
      CU_ASSERT_TRUE (relayed <= (fresh == 0 ? 0 : 2 * 8));
      world_free (world);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "peers tell what the registry does not",
      test_peers_tell_what_the_registry_does_not },
    { "a worker of another kind is known by its entry",
      test_a_worker_of_another_kind_is_known_by_its_entry },
    { "another kind told by a former build waits",
      test_another_kind_told_by_a_former_build_waits },
    { "a known state is not relayed again",
      test_a_known_state_is_not_relayed_again },
    CU_TEST_INFO_NULL,
  };
  const char *level = getenv ("PAPAYALOFT_LOG");
  pl_log_init ("text", level == NULL ? "error" : level);
  return test_run ("cell_registry_test", tests);
}
