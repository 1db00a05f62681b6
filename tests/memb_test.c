/* Tests of lib/memb with a manual clock.  */
#include "memb.h"
#include "test.h"

#include <string.h>

#define SECOND 1000000L

static struct pl_manual_clock test_clock;
static unsigned changes[MEMB_CHANGE_FORGOTTEN + 1];

static void
on_change (const struct memb_peer *peer, enum memb_change change,
           int64_t silence_us, void *user)
{
  (void)peer;
  (void)silence_us;
  (void)user;
  changes[change]++;
}

static struct memb_table *
new_table (void)
{
  pl_manual_clock_init (&test_clock, SECOND);
  memset (changes, 0, sizeof changes);
  struct memb_opts opts = { .clock = &test_clock.base,
                            .self = 1,
                            .domain = "brum",
                            .control = { 1, 1000 },
                            .suspect_us = 1500000,
                            .dead_us = 2 * SECOND,
                            .far_factor = 4,
                            .forget_us = 60 * SECOND,
                            .keep_us = 900 * SECOND,
                            .changed = on_change };
  return memb_table_new (&opts);
}

static bool
receive_heartbeat (struct memb_table *table, claim_instance_id id,
                   uint16_t port, const char *domain, bool draining)
{
  struct memb_peer reported
      = { .id = id, .control = { 1, port }, .epoch = 5, .draining = draining };
  g_strlcpy (reported.domain, domain, sizeof reported.domain);
  return memb_on_heartbeat (table, &reported);
}

static enum memb_state
state_of (const struct memb_table *table, claim_instance_id id)
{
  return memb_table_find (table, id)->state;
}

/* Advances the clock in steps of the control thread's longest tick.  */
static void
advance (struct memb_table *table, int64_t us)
{
  for (; us > 0; us -= 50000)
    {
      pl_manual_clock_advance (&test_clock, MIN (us, 50000));
      memb_tick (table);
    }
}

/* Guards against silent peers that are suspected, declared dead or removed, or
   whose slots are shared, earlier or later than the settings say.  */
static void
test_silence (void)
{
  struct memb_table *table = new_table ();
  CU_ASSERT (receive_heartbeat (table, 2, 2000, "brum", false));
  CU_ASSERT (receive_heartbeat (table, 3, 3000, "potteries", false));
  advance (table, 1499999);
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_ALIVE);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 2);
  advance (table, 1);
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_SUSPECT);
  CU_ASSERT_EQUAL (state_of (table, 3), MEMB_ALIVE);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 0);
  struct memb_view *view = memb_view_if_changed (table);
  CU_ASSERT_EQUAL (view->n_sharers, 2);
  CU_ASSERT_EQUAL (memb_share (view, 1, (struct pl_addr){ 9, 9 }, 8), 4);
  pl_shared_unref (&view->base);
  CU_ASSERT_PTR_NULL (memb_view_if_changed (table));
  advance (table, 500000);
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_DEAD);
  view = memb_view_if_changed (table);
  CU_ASSERT_EQUAL (memb_share (view, 1, (struct pl_addr){ 9, 9 }, 8), 8);
  pl_shared_unref (&view->base);
  CU_ASSERT (receive_heartbeat (table, 2, 2000, "brum", false));
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_ALIVE);
  advance (table, 6 * SECOND);
  CU_ASSERT_EQUAL (state_of (table, 3), MEMB_DEAD);
  advance (table, 60 * SECOND);
  CU_ASSERT_EQUAL (memb_table_count (table), 0);
  CU_ASSERT_EQUAL (changes[MEMB_CHANGE_UP], 3);
  CU_ASSERT_EQUAL (changes[MEMB_CHANGE_FORGOTTEN], 2);
  memb_table_free (table);
}

/* Guards against an instance that suspects all others after it was paused
   itself.  */
static void
test_own_pause (void)
{
  struct memb_table *table = new_table ();
  receive_heartbeat (table, 2, 2000, "brum", false);
  pl_manual_clock_advance (&test_clock, 30 * SECOND);
  memb_tick (table);
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_ALIVE);
  advance (table, 1450000);
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_ALIVE);
  advance (table, 50000);
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_SUSPECT);
  memb_table_free (table);
}

/* Guards against a former incarnation that becomes alive again through a late
   heartbeat, and against a new view although nothing has changed.  */
static void
test_replaced_incarnation (void)
{
  struct memb_table *table = new_table ();
  CU_ASSERT (receive_heartbeat (table, 2, 2000, "brum", false));
  CU_ASSERT (receive_heartbeat (table, 3, 2000, "brum", false));
  CU_ASSERT_EQUAL (state_of (table, 2), MEMB_LEFT);
  CU_ASSERT_EQUAL (changes[MEMB_CHANGE_LEFT], 1);
  CU_ASSERT_FALSE (receive_heartbeat (table, 2, 2000, "brum", false));
  CU_ASSERT_FALSE (receive_heartbeat (table, 1, 4000, "brum", false));
  CU_ASSERT_FALSE (receive_heartbeat (table, 9, 1000, "brum", false));
  CU_ASSERT_EQUAL (state_of (table, 3), MEMB_ALIVE);
  memb_tick (table);
  pl_shared_unref (&memb_view_if_changed (table)->base);
  CU_ASSERT (receive_heartbeat (table, 3, 2000, "brum", false));
  CU_ASSERT_PTR_NULL (memb_view_if_changed (table));
  memb_table_free (table);
}

/* Guards against a witness that is replaced although it is usable, that
   drains, or that is of another domain.  */
static void
test_witness (void)
{
  struct memb_table *table = new_table ();
  receive_heartbeat (table, 2, 2000, "potteries", false);
  memb_tick (table);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 0);
  CU_ASSERT_EQUAL (memb_choose_heir (table)->id, 2);
  receive_heartbeat (table, 10, 3000, "brum", false);
  memb_tick (table);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 10);
  for (claim_instance_id id = 11; id < 30; id++)
    receive_heartbeat (table, id, (uint16_t)(3000 + id), "brum", false);
  memb_tick (table);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 10);
  receive_heartbeat (table, 10, 3000, "brum", true);
  memb_tick (table);
  claim_instance_id next = memb_table_self (table)->witness;
  CU_ASSERT (next >= 11 && next < 30);
  CU_ASSERT_EQUAL (memb_choose_heir (table)->id, next);
  memb_set_left (table, next);
  memb_tick (table);
  CU_ASSERT_NOT_EQUAL (memb_table_self (table)->witness, next);
  memb_table_free (table);
}

/* Guards against new prefixes that name a witness which gives no permits.  */
static void
test_unresponsive_witness (void)
{
  struct memb_table *table = new_table ();
  receive_heartbeat (table, 10, 3000, "brum", false);
  memb_tick (table);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 10);
  memb_set_unresponsive (table, 10, true);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 0);
  receive_heartbeat (table, 10, 3000, "brum", false);
  memb_tick (table);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 0);
  CU_ASSERT (memb_is_unresponsive (table, 10));
  memb_set_unresponsive (table, 10, false);
  CU_ASSERT_EQUAL (memb_table_self (table)->witness, 10);
  memb_table_free (table);
}

/* Guards against the wrong instance answering for the keys of a stopped
   owner.  */
static void
test_heirs (void)
{
  struct memb_table *table = new_table ();
  char prefix[CLAIM_PREFIX_TEXT];
  claim_instance_id owners[MEMB_MAX_HEIRS];
  receive_heartbeat (table, 2, 2000, "brum", false);
  receive_heartbeat (table, 3, 3000, "brum", false);
  memb_add_heir (table, 2, 3);
  memb_add_heir (table, 7, 2);
  memb_add_heir (table, 8, 9);
  memb_add_heir (table, 9, 8); /* a cycle made by faulty messages */
  memb_set_self (table, 4, 0, true);
  memb_tick (table);
  struct memb_view *view = memb_view_if_changed (table);
  CU_ASSERT_EQUAL (memb_authority (view, 1), 1);
  CU_ASSERT_EQUAL (memb_authority (view, 2), 3);
  CU_ASSERT_EQUAL (memb_authority (view, 7), 3);
  CU_ASSERT_EQUAL (memb_authority (view, 8), 0);
  CU_ASSERT_EQUAL (memb_authority (view, 77), 0);
  memb_prefix_text (view, prefix);
  CU_ASSERT_PTR_NOT_NULL (strstr (prefix, "brum.0000000000000003."));
  pl_shared_unref (&view->base);
  for (claim_instance_id id = 100; id < 300; id++)
    memb_add_heir (table, id, 3);
  CU_ASSERT (memb_list_inherited (table, 3, owners) <= MEMB_MAX_HEIRS);
  advance (table, 900 * SECOND);
  CU_ASSERT_EQUAL (memb_list_inherited (table, 3, owners), 0);
  memb_table_free (table);
}

/* Guards against an instance of another domain that is suspected although
   digests list it, kept although its domain has dropped it, or made alive
   again by stale information.  */
static void
test_digests (void)
{
  struct memb_table *table = new_table ();
  claim_instance_id relays[MEMB_DIGEST_RELAYS];
  struct memb_member out[4];
  const struct memb_member all[]
      = { { 5, { 2, 5000 }, 0, 7 }, { 4, { 2, 4000 }, SECOND, 7 } };
  const struct memb_member old = { 9, { 2, 5000 }, 61 * SECOND, 1 };
  memb_set_digest_silence (table, 30 * SECOND);
  receive_heartbeat (table, 3, 3000, "potteries", false);
  memb_on_digest (table, "potteries", all, 2);
  memb_on_digest (table, "brum", all, 2); /* ignored: the own domain */
  memb_on_digest (table, "potteries", &old, 1);
  CU_ASSERT_EQUAL (memb_table_count (table), 3);
  CU_ASSERT_EQUAL (memb_list_digest_relays (table, "potteries", relays), 2);
  CU_ASSERT (relays[0] == 3 && relays[1] == 4);
  CU_ASSERT_EQUAL (memb_list_digest_relays (table, "brum", relays), 1);
  CU_ASSERT_EQUAL (relays[0], 1);
  CU_ASSERT_EQUAL (memb_list_members (table, "potteries", out, 4), 3);
  advance (table, 28 * SECOND);
  CU_ASSERT_EQUAL (state_of (table, 3), MEMB_ALIVE);
  memb_on_digest (table, "potteries", all, 2);
  CU_ASSERT_EQUAL (state_of (table, 3), MEMB_SUSPECT);
  advance (table, 29 * SECOND);
  CU_ASSERT_EQUAL (state_of (table, 3), MEMB_DEAD);
  CU_ASSERT_EQUAL (state_of (table, 5), MEMB_ALIVE);
  advance (table, SECOND);
  CU_ASSERT_EQUAL (state_of (table, 5), MEMB_DEAD);
  memb_on_digest (table, "potteries", all, 1);
  CU_ASSERT_EQUAL (state_of (table, 5), MEMB_ALIVE);
  memb_set_left (table, 5);
  memb_on_digest (table, "potteries", all, 1);
  CU_ASSERT_EQUAL (state_of (table, 5), MEMB_LEFT);
  memb_table_free (table);
}

/* Guards against shares that don't add up to the slots, that are uneven, or
   that move more than the share of the new instance when one joins.  */
static void
test_shares (void)
{
  GRand *rand = g_rand_new_with_seed (20);
  claim_instance_id ids[20];
  for (int round = 0; round < 2000; round++)
    {
      unsigned n = (unsigned)g_rand_int_range (rand, 1, 20);
      unsigned slots = (unsigned)g_rand_int_range (rand, 0, 40);
      struct pl_addr addr = { g_rand_int (rand), 80 };
      for (unsigned i = 0; i <= n; i++)
        ids[i] = ((uint64_t)g_rand_int (rand) << 32) | g_rand_int (rand);
      struct memb_view before = { .sharers = ids, .n_sharers = n };
      struct memb_view after = { .sharers = ids, .n_sharers = n + 1 };
      unsigned sum = 0;
      unsigned sum_after = memb_share (&after, ids[n], addr, slots);
      for (unsigned i = 0; i < n; i++)
        {
          unsigned share = memb_share (&before, ids[i], addr, slots);
          unsigned next = memb_share (&after, ids[i], addr, slots);
          CU_ASSERT (share == slots / n || share == (slots + n - 1) / n);
          CU_ASSERT (next <= share);
          sum += share;
          sum_after += next;
        }
      CU_ASSERT_EQUAL (sum, slots);
      CU_ASSERT_EQUAL (sum_after, slots);
      CU_ASSERT_EQUAL (memb_share (&before, ids[n], addr, slots), 0);
    }
  g_rand_free (rand);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "silence", test_silence },
    { "own pause", test_own_pause },
    { "replaced incarnation", test_replaced_incarnation },
    { "witness", test_witness },
    { "unresponsive witness", test_unresponsive_witness },
    { "heirs", test_heirs },
    { "digests", test_digests },
    { "shares", test_shares },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("memb", tests);
}
