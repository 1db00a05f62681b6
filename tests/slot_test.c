/* Tests of lib/slot: shares, choice, ejection and lending.  */
#include "slot.h"
#include "test.h"

#define SELF 1
#define PEER 2
#define WORKERS 12
#define SLOTS 8

struct fix
{
  struct pl_manual_clock clock;
  struct slot_table *table;
  struct note_worker workers[WORKERS];
  struct note_conf conf;
  struct memb_view view;
  claim_instance_id sharers[2];
};

static void
share (struct fix *f, unsigned sharers)
{
  f->view.n_sharers = sharers;
  slot_update (f->table, NULL, &f->view);
}

static void
pass (struct fix *f, int64_t ms)
{
  pl_manual_clock_advance (&f->clock, ms * 1000);
  slot_tick (f->table);
}

static void
fix_init (struct fix *f, unsigned sharers)
{
  *f = (struct fix){ .sharers = { SELF, PEER } };
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
                            .choice = SLOT_FASTEST,
                            .seed = 7,
                            .share_raise_us = 1000000,
                            .lend_idle_us = 100000 };
  f->table = slot_table_new (&opts);
  slot_update (f->table, &f->conf, &f->view);
  pass (f, 1000);
}

/* Guards against two instances that use the same slot during a change.  */
static void
test_shares (void)
{
  struct fix f;
  fix_init (&f, 2);
  unsigned half = slot_mine (f.table);
  CU_ASSERT (half < WORKERS * SLOTS);
  share (&f, 1);
  pass (&f, 999);
  CU_ASSERT_EQUAL (slot_mine (f.table), half);
  pass (&f, 1);
  CU_ASSERT_EQUAL (slot_mine (f.table), WORKERS * SLOTS);
  share (&f, 2);
  CU_ASSERT_EQUAL (slot_mine (f.table), half);
  slot_table_free (f.table);
}

static void
test_choice (void)
{
  struct fix f;
  fix_init (&f, 1);
  struct slot_worker *slow = slot_at (f.table, 0);
  for (int i = 0; i < 50; i++)
    slot_learn (f.table, slow, 500000, 100000);
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

/* Guards against a repetition on the worker that has just failed.  */
static void
test_avoid (void)
{
  struct fix f;
  fix_init (&f, 1);
  struct slot_worker *dead = slot_at (f.table, 0);
  for (unsigned i = 0; i < 100; i++)
    CU_ASSERT_PTR_NOT_EQUAL (slot_choose (f.table, 0, false, dead), dead);
  slot_bad (f.table, dead, NULL);
  slot_bad (f.table, dead, NULL);
  for (unsigned i = 0; i < 100; i++)
    CU_ASSERT_PTR_NOT_EQUAL (slot_choose (f.table, 0, false, NULL), dead);
  for (unsigned i = 1; i < WORKERS; i++)
    while (slot_free (slot_at (f.table, i)) > 0)
      slot_take (f.table, slot_at (f.table, i), 0);
  CU_ASSERT_PTR_EQUAL (slot_choose (f.table, 0, false, dead), dead);
  slot_table_free (f.table);
}

/* Fails 30 tasks on all workers but the last one.  */
static void
fail_most (struct fix *f, bool unreachable)
{
  for (unsigned i = 0; i < WORKERS - 1; i++)
    {
      /* A kind that fails on one worker only says nothing about the kind.  */
      char kind[16];
      snprintf (kind, sizeof kind, "kind-%u", i);
      for (int n = 0; n < 30; n++)
        slot_bad (f->table, slot_at (f->table, i), unreachable ? NULL : kind);
    }
}

/* Guards against a lost rack, half of a domain, whose workers still take
   tasks.  */
static void
test_unreachable (void)
{
  struct fix f;
  fix_init (&f, 1);
  fail_most (&f, true);
  CU_ASSERT_EQUAL (slot_ejected (f.table), WORKERS * 2 / 3);
  pass (&f, 1000);
  CU_ASSERT_EQUAL (slot_ejected (f.table), 0);
  slot_table_free (f.table);
}

/* Guards against a whole domain out of use.  */
static void
test_ejection (void)
{
  struct fix f;
  fix_init (&f, 1);
  slot_good (f.table, slot_at (f.table, WORKERS - 1), "k");
  fail_most (&f, false);
  CU_ASSERT_EQUAL (slot_ejected (f.table), WORKERS / 3);
  struct slot_worker *worker = slot_at (f.table, 0);
  CU_ASSERT_EQUAL (slot_free (worker), 0);
  pass (&f, 1000);
  CU_ASSERT_EQUAL (slot_free (worker), 1);
  slot_take (f.table, worker, 0);
  CU_ASSERT_EQUAL (slot_free (worker), 0);
  slot_release (f.table, worker, 0);
  slot_bad (f.table, worker, NULL);
  pass (&f, 1999);
  CU_ASSERT_EQUAL (slot_free (worker), 0);
  pass (&f, 1);
  slot_good (f.table, worker, "k");
  CU_ASSERT_EQUAL (slot_free (worker), SLOTS);
  slot_table_free (f.table);
}

/* Guards against workers that are ejected for what a kind does everywhere,
   and against a bad worker that hides behind its kind.  */
static void
test_bad_kind (void)
{
  struct fix f;
  fix_init (&f, 1);
  for (int n = 0; n < 100; n++)
    for (unsigned i = 0; i < WORKERS; i++)
      {
        slot_bad (f.table, slot_at (f.table, i), "bad");
        if (n % 10 == 0)
          slot_good (f.table, slot_at (f.table, i), "good");
      }
  CU_ASSERT_EQUAL (slot_ejected (f.table), 0);
  for (int n = 0; n < 10; n++)
    slot_bad (f.table, slot_at (f.table, 3), "good");
  CU_ASSERT_EQUAL (slot_ejected (f.table), 1);
  slot_table_free (f.table);
}

/* Guards against an old document that brings a leaving worker back.  */
static void
test_leaving (void)
{
  struct fix f;
  fix_init (&f, 1);
  slot_leaving (f.table, f.workers[0].addr, "upstream");
  CU_ASSERT_EQUAL (slot_mine (f.table), (WORKERS - 1) * SLOTS);
  f.conf.revision = 2;
  slot_update (f.table, &f.conf, &f.view);
  CU_ASSERT_EQUAL (slot_mine (f.table), (WORKERS - 1) * SLOTS);
  f.conf.revision = 3;
  f.workers[0].added_revision = 3;
  slot_update (f.table, &f.conf, &f.view);
  CU_ASSERT_EQUAL (slot_mine (f.table), WORKERS * SLOTS);
  slot_table_free (f.table);
}

static unsigned
total (const GArray *lots)
{
  unsigned n = 0;
  for (unsigned i = 0; i < lots->len; i++)
    n += g_array_index (lots, struct slot_lot, i).count;
  return n;
}

static void
test_lending (void)
{
  struct fix f;
  fix_init (&f, 2);
  unsigned mine = slot_mine (f.table);
  g_autoptr (GArray) lots = slot_lend (f.table, PEER, 20);
  CU_ASSERT_EQUAL (total (lots), 20);
  CU_ASSERT_EQUAL (slot_free_all (f.table), mine - 20);
  slot_returned (f.table, PEER, (const struct slot_lot *)lots->data, 1);
  slot_holds (f.table, PEER, 0);
  CU_ASSERT (slot_free_all (f.table) < mine);
  pass (&f, 1000);
  slot_holds (f.table, PEER, 0);
  slot_holds (f.table, PEER, 0);
  CU_ASSERT_EQUAL (slot_free_all (f.table), mine);
  g_autoptr (GArray) again = slot_lend (f.table, PEER, 20);
  CU_ASSERT_EQUAL (total (again), 20);
  slot_peer_dead (f.table, PEER);
  CU_ASSERT_EQUAL (slot_free_all (f.table), mine);
  slot_table_free (f.table);
}

/* Guards against a borrower that has to ask again for slots that become free
   later, and against a grant a slot.  */
static void
test_open_request (void)
{
  struct fix f;
  fix_init (&f, 2);
  while (slot_free_all (f.table) > 0)
    slot_take (f.table, slot_choose (f.table, 0, false, NULL), 0);
  slot_want (f.table, PEER, 20);
  GArray *lots;
  CU_ASSERT_EQUAL (slot_serve (f.table, &lots), 0);
  slot_wants_wait (f.table);
  CU_ASSERT (slot_wanted (f.table));
  unsigned granted = 0;
  for (unsigned i = 0; i < WORKERS; i++)
    {
      struct slot_worker *worker = slot_at (f.table, i);
      while (worker->in_use > 0)
        slot_release (f.table, worker, 0);
      if (slot_serve (f.table, &lots) != PEER)
        continue;
      granted += total (lots);
      g_array_unref (lots);
      CU_ASSERT_EQUAL (slot_serve (f.table, &lots), 0);
      pass (&f, 5);
    }
  CU_ASSERT_EQUAL (granted, 20 / 2);
  slot_want (f.table, PEER, 20);
  pass (&f, 300);
  CU_ASSERT (!slot_wanted (f.table));
  slot_table_free (f.table);
}

/* Guards against a borrower that uses lent slots again while their lender has
   queued tasks.  */
static void
test_recall (void)
{
  struct fix f;
  fix_init (&f, 2);
  g_autoptr (GArray) refused
      = g_array_new (FALSE, FALSE, sizeof (struct slot_lot));
  struct slot_worker *worker = slot_at (f.table, 0);
  struct slot_lot lot = { worker->addr, 2 };
  unsigned before = slot_free (worker);
  slot_granted (f.table, PEER, &lot, 1, refused);
  CU_ASSERT_EQUAL (slot_free (worker), before + 2);
  slot_want (f.table, PEER, 2);
  CU_ASSERT_EQUAL (slot_free (worker), before);
  GArray *lots;
  CU_ASSERT_EQUAL (slot_give_back (f.table, &lots), PEER);
  CU_ASSERT_EQUAL (total (lots), 2);
  g_array_unref (lots);
  slot_table_free (f.table);
}

static void
test_borrowing (void)
{
  struct fix f;
  fix_init (&f, 2);
  unsigned mine = slot_mine (f.table);
  g_autoptr (GArray) asks = slot_ask (f.table, 300);
  CU_ASSERT_EQUAL (asks->len, 1);
  g_autoptr (GArray) none = slot_ask (f.table, 300);
  CU_ASSERT_EQUAL (none->len, 0);
  struct slot_lot lot = { .addr = f.workers[0].addr, .count = 3 };
  g_autoptr (GArray) refused
      = g_array_new (FALSE, FALSE, sizeof (struct slot_lot));
  CU_ASSERT_EQUAL (slot_granted (f.table, PEER, &lot, 1, refused), 3);
  CU_ASSERT_EQUAL (refused->len, 0);
  CU_ASSERT_EQUAL (slot_granted (f.table, PEER + 1, &lot, 1, refused), 0);
  CU_ASSERT_EQUAL (total (refused), 3);
  CU_ASSERT_EQUAL (slot_free_all (f.table), mine + 3);
  struct slot_worker *worker = slot_find (f.table, lot.addr);
  while (slot_free (worker) > 0)
    slot_take (f.table, worker, 0);
  CU_ASSERT (slot_uses_borrowed (worker));
  GArray *lots;
  pass (&f, 200);
  CU_ASSERT_EQUAL (slot_give_back (f.table, &lots), 0);
  slot_release (f.table, worker, 0);
  pass (&f, 100);
  CU_ASSERT_EQUAL (slot_give_back (f.table, &lots), PEER);
  CU_ASSERT_EQUAL (total (lots), 1);
  g_array_unref (lots);
  /* Held for too long: not used again, and returned once free.  */
  pass (&f, 1000);
  CU_ASSERT_EQUAL (slot_free (worker), 0);
  slot_release (f.table, worker, 0);
  CU_ASSERT_EQUAL (slot_free (worker), 0);
  CU_ASSERT_EQUAL (slot_give_back (f.table, &lots), PEER);
  g_array_unref (lots);
  slot_peer_dead (f.table, PEER);
  CU_ASSERT_EQUAL (worker->n_borrowed, 0);
  slot_table_free (f.table);
}

int
main (void)
{
  pl_log_init ("text", "error");
  static CU_TestInfo tests[] = {
    { "shares", test_shares },
    { "choice", test_choice },
    { "avoid", test_avoid },
    { "ejection", test_ejection },
    { "bad kind", test_bad_kind },
    { "leaving", test_leaving },
    { "unreachable", test_unreachable },
    { "lending", test_lending },
    { "open request", test_open_request },
    { "recall", test_recall },
    { "borrowing", test_borrowing },
    CU_TEST_INFO_NULL,
  };
  return test_run ("slot", tests);
}
