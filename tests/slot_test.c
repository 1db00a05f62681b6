/* Tests of lib/slot: shares, choice, ejection and lending.  */
#include "slot.h"
#include "test.h"

#define SELF 1
#define PEER 2
#define WORKERS 12
#define SLOTS 8

struct fixture
{
  struct pl_manual_clock clock;
  struct slot_table *table;
  struct note_worker workers[WORKERS];
  struct note_conf conf;
  struct memb_view view;
  claim_instance_id sharers[2];
};

static void
set_sharers (struct fixture *f, unsigned sharers)
{
  f->view.n_sharers = sharers;
  slot_update (f->table, NULL, &f->view);
}

static void
advance_ms (struct fixture *f, int64_t ms)
{
  pl_manual_clock_advance (&f->clock, ms * 1000);
  slot_tick (f->table);
}

static void
fixture_init_choice (struct fixture *f, unsigned sharers,
                     enum slot_choice choice)
{
  *f = (struct fixture){ .sharers = { SELF, PEER } };
  pl_manual_clock_init (&f->clock, 1000000000);
  for (unsigned i = 0; i < WORKERS; i++)
    f->workers[i]
        = (struct note_worker){ .addr = { .ip = 0x7f000001,
                                          .port = (uint16_t)(9000 + i) },
                                .domain = (char *)"d",
                                .slots = SLOTS,
                                .memory_mb = 100,
                                .added_revision = 1 };
  f->conf = (struct note_conf){ .revision = 1,
                                .workers = f->workers,
                                .n_workers = WORKERS };
  f->view = (struct memb_view){ .sharers = f->sharers, .n_sharers = sharers };
  struct slot_opts opts = { .clock = &f->clock.base,
                            .self = SELF,
                            .domain = "d",
                            .choice = choice,
                            .seed = 7,
                            .share_raise_us = 1000000,
                            .lend_idle_us = 100000 };
  f->table = slot_table_new (&opts);
  slot_update (f->table, &f->conf, &f->view);
  advance_ms (f, 1000);
}

static void
fixture_init (struct fixture *f, unsigned sharers)
{
  fixture_init_choice (f, sharers, SLOT_CHOOSE_FASTEST);
}

/* Guards against two instances that use the same slot while shares change.  */
static void
test_shares (void)
{
  struct fixture f;
  fixture_init (&f, 2);
  unsigned half = slot_held_total (f.table);
  CU_ASSERT (half < WORKERS * SLOTS);
  set_sharers (&f, 1);
  advance_ms (&f, 999);
  CU_ASSERT_EQUAL (slot_held_total (f.table), half);
  advance_ms (&f, 1);
  CU_ASSERT_EQUAL (slot_held_total (f.table), WORKERS * SLOTS);
  set_sharers (&f, 2);
  CU_ASSERT_EQUAL (slot_held_total (f.table), half);
  slot_table_free (f.table);
}

/* Guards against the choice of a slow worker while others are free, and of one
   without the memory.  */
static void
test_choice (void)
{
  struct fixture f;
  fixture_init (&f, 1);
  struct slot_worker *slow = slot_worker_at (f.table, 0);
  for (int i = 0; i < 50; i++)
    slot_learn_speed (f.table, slow, 500000, 100000);
  slot_tick (f.table);
  for (unsigned i = 0; i < (WORKERS - 1) * SLOTS; i++)
    {
      struct slot_worker *worker = slot_choose (f.table, 0, false, NULL);
      CU_ASSERT_PTR_NOT_EQUAL (worker, slow);
      slot_take (f.table, worker, 0);
      CU_ASSERT (worker->in_use <= SLOTS);
    }
  CU_ASSERT_PTR_NULL (slot_choose (f.table, 0, true, NULL));
  CU_ASSERT_PTR_EQUAL (slot_choose (f.table, 0, false, NULL), slow);
  slot_take (f.table, slow, 60);
  CU_ASSERT_PTR_NULL (slot_choose (f.table, 41, false, NULL));
  slot_table_free (f.table);
}

/* Guards against a retry on the worker that has just failed, if there is
   another.  */
static void
test_avoid_failed_worker (void)
{
  struct fixture f;
  fixture_init (&f, 1);
  struct slot_worker *dead = slot_worker_at (f.table, 0);
  for (unsigned i = 0; i < 100; i++)
    CU_ASSERT_PTR_NOT_EQUAL (slot_choose (f.table, 0, false, dead), dead);
  slot_record_failure (f.table, dead, NULL);
  slot_record_failure (f.table, dead, NULL);
  for (unsigned i = 0; i < 100; i++)
    CU_ASSERT_PTR_NOT_EQUAL (slot_choose (f.table, 0, false, NULL), dead);
  for (unsigned i = 1; i < WORKERS; i++)
    while (slot_free_count (slot_worker_at (f.table, i)) > 0)
      slot_take (f.table, slot_worker_at (f.table, i), 0);
  CU_ASSERT_PTR_EQUAL (slot_choose (f.table, 0, false, dead), dead);
  slot_table_free (f.table);
}

/* The same for the policies that look at one or two random workers.  */
static void
test_random_choices_avoid_the_failed_worker (void)
{
  static const enum slot_choice choices[]
      = { SLOT_CHOOSE_RANDOM, SLOT_CHOOSE_TWO_RANDOM };
  for (size_t c = 0; c < G_N_ELEMENTS (choices); c++)
    {
      struct fixture f;
      fixture_init_choice (&f, 1, choices[c]);
      struct slot_worker *dead = slot_worker_at (f.table, 0);
      /* Only the worker to avoid and one other have free slots.  */
      for (unsigned i = 2; i < WORKERS; i++)
        while (slot_free_count (slot_worker_at (f.table, i)) > 0)
          slot_take (f.table, slot_worker_at (f.table, i), 0);
      for (unsigned i = 0; i < 100; i++)
        CU_ASSERT_PTR_EQUAL (slot_choose (f.table, 0, false, dead),
                             slot_worker_at (f.table, 1));
      while (slot_free_count (slot_worker_at (f.table, 1)) > 0)
        slot_take (f.table, slot_worker_at (f.table, 1), 0);
      CU_ASSERT_PTR_EQUAL (slot_choose (f.table, 0, false, dead), dead);
      slot_table_free (f.table);
    }
}

/* Records 30 failures on each worker but the last one.  */
static void
fail_most (struct fixture *f, bool unreachable)
{
  for (unsigned i = 0; i < WORKERS - 1; i++)
    {
      /* A kind for each worker, so that no kind fails everywhere.  */
      char kind[16];
      snprintf (kind, sizeof kind, "kind-%u", i);
      for (int n = 0; n < 30; n++)
        slot_record_failure (f->table, slot_worker_at (f->table, i),
                             unreachable ? NULL : kind);
    }
}

/* Guards against unreachable workers, a lost rack that is half of a domain,
   that still get tasks.  */
static void
test_unreachable (void)
{
  struct fixture f;
  fixture_init (&f, 1);
  fail_most (&f, true);
  CU_ASSERT_EQUAL (slot_ejected_count (f.table), WORKERS * 2 / 3);
  advance_ms (&f, 1000);
  CU_ASSERT_EQUAL (slot_ejected_count (f.table), 0);
  slot_table_free (f.table);
}

/* Guards against the ejection of too many workers, and against a trial with
   more than one task.  */
static void
test_ejection (void)
{
  struct fixture f;
  fixture_init (&f, 1);
  slot_record_success (f.table, slot_worker_at (f.table, WORKERS - 1), "k");
  fail_most (&f, false);
  CU_ASSERT_EQUAL (slot_ejected_count (f.table), WORKERS / 3);
  struct slot_worker *worker = slot_worker_at (f.table, 0);
  CU_ASSERT_EQUAL (slot_free_count (worker), 0);
  advance_ms (&f, 1000);
  CU_ASSERT_EQUAL (slot_free_count (worker), 1);
  slot_take (f.table, worker, 0);
  CU_ASSERT_EQUAL (slot_free_count (worker), 0);
  slot_release (f.table, worker, 0);
  slot_record_failure (f.table, worker, NULL);
  advance_ms (&f, 1999);
  CU_ASSERT_EQUAL (slot_free_count (worker), 0);
  advance_ms (&f, 1);
  slot_record_success (f.table, worker, "k");
  CU_ASSERT_EQUAL (slot_free_count (worker), SLOTS);
  slot_table_free (f.table);
}

/* Guards against the ejection of workers for a kind that fails everywhere, and
   against a bad worker that is kept because such a kind fails, too.  */
static void
test_bad_kind (void)
{
  struct fixture f;
  fixture_init (&f, 1);
  for (int n = 0; n < 100; n++)
    for (unsigned i = 0; i < WORKERS; i++)
      {
        slot_record_failure (f.table, slot_worker_at (f.table, i), "bad");
        if (n % 10 == 0)
          slot_record_success (f.table, slot_worker_at (f.table, i), "good");
      }
  CU_ASSERT_EQUAL (slot_ejected_count (f.table), 0);
  for (int n = 0; n < 10; n++)
    slot_record_failure (f.table, slot_worker_at (f.table, 3), "good");
  CU_ASSERT_EQUAL (slot_ejected_count (f.table), 1);
  slot_table_free (f.table);
}

/* Guards against a leaving worker that becomes usable by a configuration that
   has not added it again.  */
static void
test_leaving (void)
{
  struct fixture f;
  fixture_init (&f, 1);
  slot_mark_leaving (f.table, f.workers[0].addr, "upstream");
  CU_ASSERT_EQUAL (slot_held_total (f.table), (WORKERS - 1) * SLOTS);
  f.conf.revision = 2;
  slot_update (f.table, &f.conf, &f.view);
  CU_ASSERT_EQUAL (slot_held_total (f.table), (WORKERS - 1) * SLOTS);
  f.conf.revision = 3;
  f.workers[0].added_revision = 3;
  slot_update (f.table, &f.conf, &f.view);
  CU_ASSERT_EQUAL (slot_held_total (f.table), WORKERS * SLOTS);
  slot_table_free (f.table);
}

static unsigned
total_slots (const GArray *list)
{
  unsigned n = 0;
  for (unsigned i = 0; i < list->len; i++)
    n += g_array_index (list, struct slot_worker_slots, i).count;
  return n;
}

/* Guards against lent slots that are also used here, and against slots that
   stay lent although the message of their return was lost or the peer has
   died.  */
static void
test_lending (void)
{
  struct fixture f;
  fixture_init (&f, 2);
  unsigned mine = slot_held_total (f.table);
  g_autoptr (GArray) list = slot_lend (f.table, PEER, 20);
  CU_ASSERT_EQUAL (total_slots (list), 20);
  CU_ASSERT_EQUAL (slot_free_total (f.table), mine - 20);
  slot_take_back (f.table, PEER, (const struct slot_worker_slots *)list->data,
                  1);
  slot_reconcile_lent (f.table, PEER, 0);
  CU_ASSERT (slot_free_total (f.table) < mine);
  advance_ms (&f, 1000);
  slot_reconcile_lent (f.table, PEER, 0);
  slot_reconcile_lent (f.table, PEER, 0);
  CU_ASSERT_EQUAL (slot_free_total (f.table), mine);
  g_autoptr (GArray) again = slot_lend (f.table, PEER, 20);
  CU_ASSERT_EQUAL (total_slots (again), 20);
  slot_end_lending (f.table, PEER);
  CU_ASSERT_EQUAL (slot_free_total (f.table), mine);
  slot_table_free (f.table);
}

/* Guards against a borrower that has to ask again for slots that become free
   later, and against a grant for each slot.  */
static void
test_open_request (void)
{
  struct fixture f;
  fixture_init (&f, 2);
  while (slot_free_total (f.table) > 0)
    slot_take (f.table, slot_choose (f.table, 0, false, NULL), 0);
  slot_open_peer_request (f.table, PEER, 20);
  GArray *list;
  CU_ASSERT_EQUAL (slot_serve_peer_request (f.table, &list), 0);
  slot_defer_peer_requests (f.table);
  CU_ASSERT (slot_has_peer_request (f.table));
  unsigned granted = 0;
  for (unsigned i = 0; i < WORKERS; i++)
    {
      struct slot_worker *worker = slot_worker_at (f.table, i);
      while (worker->in_use > 0)
        slot_release (f.table, worker, 0);
      if (slot_serve_peer_request (f.table, &list) != PEER)
        continue;
      granted += total_slots (list);
      g_array_unref (list);
      CU_ASSERT_EQUAL (slot_serve_peer_request (f.table, &list), 0);
      advance_ms (&f, 5);
    }
  CU_ASSERT_EQUAL (granted, 20 / 2);
  slot_open_peer_request (f.table, PEER, 20);
  advance_ms (&f, 300);
  CU_ASSERT (!slot_has_peer_request (f.table));
  slot_table_free (f.table);
}

/* Guards against a borrower that puts a new task on a borrowed slot although
   its lender asks for slots.  */
static void
test_recall (void)
{
  struct fixture f;
  fixture_init (&f, 2);
  g_autoptr (GArray) refused
      = g_array_new (FALSE, FALSE, sizeof (struct slot_worker_slots));
  struct slot_worker *worker = slot_worker_at (f.table, 0);
  struct slot_worker_slots item = { worker->addr, 2 };
  unsigned before = slot_free_count (worker);
  slot_accept_grant (f.table, PEER, &item, 1, refused);
  CU_ASSERT_EQUAL (slot_free_count (worker), before + 2);
  slot_open_peer_request (f.table, PEER, 2);
  CU_ASSERT_EQUAL (slot_free_count (worker), before);
  GArray *list;
  CU_ASSERT_EQUAL (slot_return_idle (f.table, &list), PEER);
  CU_ASSERT_EQUAL (total_slots (list), 2);
  g_array_unref (list);
  slot_table_free (f.table);
}

/* Guards against a grant that can't be used because slots of the same worker,
   lent by the same peer, were recalled before.  */
static void
test_a_grant_after_a_recall_is_used (void)
{
  struct fixture f;
  fixture_init (&f, 2);
  g_autoptr (GArray) refused
      = g_array_new (FALSE, FALSE, sizeof (struct slot_worker_slots));
  struct slot_worker *worker = slot_worker_at (f.table, 0);
  struct slot_worker_slots item = { worker->addr, 2 };
  unsigned own = slot_free_count (worker);
  slot_accept_grant (f.table, PEER, &item, 1, refused);
  while (slot_free_count (worker) > 0)
    slot_take (f.table, worker, 0); /* the borrowed slots can't be returned */
  slot_open_peer_request (f.table, PEER, 2);
  advance_ms (&f, 10);
  slot_accept_grant (f.table, PEER, &item, 1, refused);
  advance_ms (&f, 10);
  CU_ASSERT_EQUAL (slot_free_count (worker), 2);
  CU_ASSERT_EQUAL (worker->in_use, own + 2);
  slot_table_free (f.table);
}

/* Guards against a second request while one is open, a grant from a peer that
   is not live, and borrowed slots that are kept for too long.  */
static void
test_borrowing (void)
{
  struct fixture f;
  fixture_init (&f, 2);
  unsigned mine = slot_held_total (f.table);
  g_autoptr (GArray) requests = slot_make_requests (f.table, 300);
  CU_ASSERT_EQUAL (requests->len, 1);
  g_autoptr (GArray) second_requests = slot_make_requests (f.table, 300);
  CU_ASSERT_EQUAL (second_requests->len, 0);
  struct slot_worker_slots item = { .addr = f.workers[0].addr, .count = 3 };
  g_autoptr (GArray) refused
      = g_array_new (FALSE, FALSE, sizeof (struct slot_worker_slots));
  CU_ASSERT_EQUAL (slot_accept_grant (f.table, PEER, &item, 1, refused), 3);
  CU_ASSERT_EQUAL (refused->len, 0);
  CU_ASSERT_EQUAL (slot_accept_grant (f.table, PEER + 1, &item, 1, refused),
                   0);
  CU_ASSERT_EQUAL (total_slots (refused), 3);
  CU_ASSERT_EQUAL (slot_free_total (f.table), mine + 3);
  struct slot_worker *worker = slot_find_worker (f.table, item.addr);
  while (slot_free_count (worker) > 0)
    slot_take (f.table, worker, 0);
  CU_ASSERT (slot_uses_borrowed (worker));
  GArray *list;
  advance_ms (&f, 200);
  CU_ASSERT_EQUAL (slot_return_idle (f.table, &list), 0);
  slot_release (f.table, worker, 0);
  advance_ms (&f, 100);
  CU_ASSERT_EQUAL (slot_return_idle (f.table, &list), PEER);
  CU_ASSERT_EQUAL (total_slots (list), 1);
  g_array_unref (list);
  /* After MAX_HOLD_US a slot takes no new task and is returned once free.  */
  advance_ms (&f, 1000);
  CU_ASSERT_EQUAL (slot_free_count (worker), 0);
  slot_release (f.table, worker, 0);
  CU_ASSERT_EQUAL (slot_free_count (worker), 0);
  CU_ASSERT_EQUAL (slot_return_idle (f.table, &list), PEER);
  g_array_unref (list);
  slot_end_lending (f.table, PEER);
  CU_ASSERT_EQUAL (worker->n_borrowed, 0);
  slot_table_free (f.table);
}

/* Guards against tasks on the workers of an evacuated domain, and against
   workers that don't come back.  */
static void
test_an_evacuated_domain_has_no_slots (void)
{
  struct fixture f;
  struct note_evacuation evacuations[] = { { (char *)"e" }, { (char *)"d" } };
  fixture_init (&f, 1);
  unsigned all = slot_free_total (f.table);
  struct slot_worker *worker = slot_choose (f.table, 0, false, NULL);
  slot_take (f.table, worker, 0);
  f.conf.evacuations = evacuations;
  for (f.conf.n_evacuations = 1; f.conf.n_evacuations <= 2;
       f.conf.n_evacuations++)
    {
      slot_update (f.table, &f.conf, &f.view);
      bool here = f.conf.n_evacuations == 2;
      CU_ASSERT_EQUAL (slot_free_total (f.table), here ? 0 : all - 1);
      CU_ASSERT_EQUAL (slot_choose (f.table, 0, false, NULL) == NULL, here);
    }
  slot_release (f.table, worker, 0);
  CU_ASSERT_EQUAL (slot_free_total (f.table), 0);
  f.conf.n_evacuations = 0;
  slot_update (f.table, &f.conf, &f.view);
  advance_ms (&f, 1000);
  CU_ASSERT_EQUAL (slot_free_total (f.table), all);
  slot_table_free (f.table);
}

int
main (void)
{
  pl_log_init ("text", "error");
  static CU_TestInfo tests[] = {
    { "shares", test_shares },
    { "choice", test_choice },
    { "avoid failed worker", test_avoid_failed_worker },
    { "random choices avoid the failed worker",
      test_random_choices_avoid_the_failed_worker },
    { "a grant after a recall is used", test_a_grant_after_a_recall_is_used },
    { "ejection", test_ejection },
    { "bad kind", test_bad_kind },
    { "leaving", test_leaving },
    { "unreachable", test_unreachable },
    { "lending", test_lending },
    { "open request", test_open_request },
    { "recall", test_recall },
    { "borrowing", test_borrowing },
    { "an evacuated domain has no slots",
      test_an_evacuated_domain_has_no_slots },
    CU_TEST_INFO_NULL,
  };
  return test_run ("slot", tests);
}
