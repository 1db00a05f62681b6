/* Tests of lib/base: bounds in parsing, wake-ups of mailboxes, lifetime of
   published objects.  */
#include "pl.h"
#include "test.h"

#include <poll.h>

static void
test_hex64_rejects_other_forms (void)
{
  uint64_t v = 0;
  CU_ASSERT (pl_str_to_hex64 (pl_str ("9f86d081884c7d65"), &v));
  CU_ASSERT_EQUAL (v, UINT64_C (0x9f86d081884c7d65));
  CU_ASSERT_FALSE (pl_str_to_hex64 (pl_str ("9F86d081884c7d65"), &v));
  CU_ASSERT_FALSE (pl_str_to_hex64 (pl_str ("9f86d081884c7d6"), &v));
  CU_ASSERT_FALSE (pl_str_to_hex64 (pl_str ("9f86d081884c7d6g"), &v));
}

static void
test_int_bounds (void)
{
  int64_t v = 0;
  CU_ASSERT (pl_str_to_int (pl_str ("42"), 1, 42, &v));
  CU_ASSERT_EQUAL (v, 42);
  CU_ASSERT_FALSE (pl_str_to_int (pl_str ("43"), 1, 42, &v));
  CU_ASSERT_FALSE (pl_str_to_int (pl_str ("4x"), 1, 42, &v));
  CU_ASSERT_FALSE (pl_str_to_int (pl_str (""), 1, 42, &v));
  CU_ASSERT_FALSE (pl_str_to_int (pl_str ("-"), -9, 42, &v));
  CU_ASSERT (pl_str_to_int (pl_str ("-9223372036854775808"), INT64_MIN,
                            INT64_MAX, &v));
  CU_ASSERT_EQUAL (v, INT64_MIN);
  CU_ASSERT (pl_str_to_int (pl_str ("9223372036854775807"), INT64_MIN,
                            INT64_MAX, &v));
  CU_ASSERT_EQUAL (v, INT64_MAX);
  CU_ASSERT_FALSE (pl_str_to_int (pl_str ("9223372036854775808"), INT64_MIN,
                                  INT64_MAX, &v));
}

static void
test_addr_round_trip (void)
{
  struct pl_addr a;
  char buf[PL_ADDR_TEXT];
  CU_ASSERT (pl_addr_parse (pl_str ("127.3.2.1:9000"), &a));
  CU_ASSERT_STRING_EQUAL (pl_addr_text (a, buf), "127.3.2.1:9000");
  CU_ASSERT_FALSE (pl_addr_parse (pl_str ("127.3.2:9000"), &a));
  CU_ASSERT_FALSE (pl_addr_parse (pl_str ("127.3.2.1:0"), &a));
  CU_ASSERT_FALSE (pl_addr_parse (pl_str ("127.3.2.1"), &a));
}

static void
test_manual_clock (void)
{
  struct pl_manual_clock clock;
  pl_manual_clock_init (&clock, 5);
  pl_manual_clock_advance (&clock, 10);
  CU_ASSERT_EQUAL (pl_now_us (&clock.base), 15);
}

static void
ignore_item (struct pl_mbox_item *item, void *owner)
{
  (void)item;
  (void)owner;
}

static bool
is_readable (int fd)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };
  return poll (&p, 1, 0) == 1;
}

/* Guards against a lost wake-up: the eventfd must stay readable until
   pl_mbox_take has found the mailbox empty.  */
static void
test_mbox_wakes_poll (void)
{
  struct pl_mbox *mbox = pl_mbox_new ();
  struct pl_mbox_item a = { .run = ignore_item };
  struct pl_mbox_item b = { .run = ignore_item };
  CU_ASSERT_FALSE (is_readable (pl_mbox_fd (mbox)));
  pl_mbox_post (mbox, &a);
  pl_mbox_post (mbox, &b);
  CU_ASSERT_PTR_EQUAL (pl_mbox_take (mbox, 0), &a);
  CU_ASSERT (is_readable (pl_mbox_fd (mbox)));
  CU_ASSERT_PTR_EQUAL (pl_mbox_take (mbox, 0), &b);
  CU_ASSERT_PTR_NULL (pl_mbox_take (mbox, 0));
  CU_ASSERT_FALSE (is_readable (pl_mbox_fd (mbox)));
  pl_mbox_free (mbox);
  /* Items that were posted before the owner asked for the eventfd.  */
  mbox = pl_mbox_new ();
  pl_mbox_post (mbox, &a);
  CU_ASSERT (is_readable (pl_mbox_fd (mbox)));
  CU_ASSERT_PTR_EQUAL (pl_mbox_take (mbox, 0), &a);
  pl_mbox_free (mbox);
}

static int freed;

static void
count_free (struct pl_shared *shared)
{
  freed++;
  g_free (shared);
}

/* Guards against freeing a published object that a reader still holds.  */
static void
test_object_outlives_publication (void)
{
  struct pl_rcu_ptr ptr = { 0 };
  freed = 0;
  struct pl_shared *first = g_new0 (struct pl_shared, 1);
  pl_shared_init (first, count_free);
  pl_rcu_ptr_publish (&ptr, first);
  struct pl_shared *held = pl_rcu_ptr_get (&ptr);
  CU_ASSERT_PTR_EQUAL (held, first);
  pl_rcu_ptr_publish (&ptr, NULL);
  CU_ASSERT_EQUAL (freed, 0);
  pl_shared_unref (held);
  CU_ASSERT_EQUAL (freed, 1);
}

/* Guards against a code that lacks its HTTP status or is not found.  */
static void
test_codes_are_complete (void)
{
  for (unsigned i = 0; i < pl_code_count; i++)
    {
      const struct pl_code_info *info = &pl_code_table[i];
      CU_ASSERT (info->http >= 200 && info->http < 600);
      CU_ASSERT_PTR_EQUAL (pl_code_info (info->code), info);
    }
  CU_ASSERT_EQUAL (pl_code_info (PL_REVOKED)->outcome, PL_OUTCOME_NOT_RUN);
  CU_ASSERT_STRING_EQUAL (pl_code_info ((enum pl_code)9999)->name, "SYSTEM");
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "hex64 rejects other forms", test_hex64_rejects_other_forms },
    { "int bounds", test_int_bounds },
    { "address round trip", test_addr_round_trip },
    { "manual clock", test_manual_clock },
    { "mailbox wakes poll", test_mbox_wakes_poll },
    { "object outlives publication", test_object_outlives_publication },
    { "codes are complete", test_codes_are_complete },
    CU_TEST_INFO_NULL,
  };
  return test_run ("base", tests);
}
