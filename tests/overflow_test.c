/* Tests of the decisions of lib/overflow.  */
#include "overflow.h"
#include "test.h"

#define SERVICE 7
#define OTHER_SERVICE 8
#define CORE ((int64_t)1000)
#define ME 0x1000
#define PEER 0x2000
#define SECOND_US ((int64_t)1000000)
#define START_US SECOND_US

static const struct overflow_room roomy
    = { .capacity = 100 * CORE, .free = 70 * CORE, .waiting = 10 * CORE };

/* Guards against borrowers that fill a lender together: what is lent stays
   below what is free, less a reserve and the lender's own queue.  */
static void
test_open_credits_are_bounded (void)
{
  struct overflow_lender *lender = overflow_lender_new (ME);
  uint64_t number;
  int64_t lent = 0;
  for (int i = 0; i < 20; i++)
    lent += overflow_lend (lender, SERVICE, 40 * CORE, &roomy, START_US,
                           &number);
  CU_ASSERT_TRUE (lent > 30 * CORE && lent <= 50 * CORE);
  /* The credits of another service are apart, and expired ones are free.  */
  CU_ASSERT_EQUAL (overflow_lend (lender, OTHER_SERVICE, 10 * CORE, &roomy,
                                  START_US, &number),
                   10 * CORE);
  CU_ASSERT_EQUAL (overflow_lend (lender, SERVICE, 10 * CORE, &roomy,
                                  START_US + OVERFLOW_CREDIT_US, &number),
                   10 * CORE);
  overflow_lender_free (lender);
}

/* Guards against lending while own jobs are refused, or wait for all that is
   free.  */
static void
test_own_jobs_come_first (void)
{
  struct overflow_lender *lender = overflow_lender_new (ME);
  uint64_t number;
  struct overflow_room crowded = roomy;
  crowded.crowded = true;
  struct overflow_room queued = roomy;
  queued.waiting = queued.free;
  CU_ASSERT_EQUAL (
      overflow_lend (lender, SERVICE, CORE, &crowded, START_US, &number), 0);
  CU_ASSERT_EQUAL (
      overflow_lend (lender, SERVICE, CORE, &queued, START_US, &number), 0);
  CU_ASSERT_EQUAL (number, 0);
  overflow_lender_free (lender);
}

/* Guards against a job that is taken late, after a cut has delayed it, or for
   which nothing was lent.  */
static void
test_an_expired_credit_admits_nothing (void)
{
  struct overflow_lender *lender = overflow_lender_new (ME);
  uint64_t number;
  (void)overflow_lend (lender, SERVICE, 10 * CORE, &roomy, START_US, &number);
  CU_ASSERT_TRUE (overflow_admit (lender, number, 6 * CORE, START_US));
  CU_ASSERT_FALSE (overflow_admit (lender, number, 6 * CORE, START_US));
  CU_ASSERT_FALSE (overflow_admit (lender, number + 2, CORE, START_US));
  CU_ASSERT_TRUE (overflow_admit (lender, number, CORE,
                                  START_US + OVERFLOW_CREDIT_US - 1));
  CU_ASSERT_FALSE (
      overflow_admit (lender, number, CORE, START_US + OVERFLOW_CREDIT_US));
  overflow_lender_free (lender);
}

static struct overflow_credit
credit_of (uint64_t domain, int64_t cpu)
{
  return (struct overflow_credit){ .number = domain,
                                   .service = SERVICE,
                                   .domain = domain,
                                   .lender = PEER,
                                   .addr = { 1, 2 },
                                   .cpu = cpu };
}

/* Guards against spending a credit that has expired at the lender, whose clock
   started before the answer arrived.  */
static void
test_the_borrower_stops_before_the_lender (void)
{
  struct overflow_borrower *borrower = overflow_borrower_new (ME);
  struct overflow_credit credit = credit_of (1, 10 * CORE);
  int64_t got_us = START_US + 50000;
  overflow_add_credit (borrower, &credit, START_US, OVERFLOW_CREDIT_US,
                       got_us);
  const struct overflow_credit *spent
      = overflow_borrow (borrower, SERVICE, 6 * CORE, got_us);
  CU_ASSERT_TRUE (spent != NULL && spent->lender == PEER);
  CU_ASSERT_PTR_NULL (overflow_borrow (borrower, SERVICE, 6 * CORE, got_us));
  CU_ASSERT_PTR_NULL (overflow_borrow (borrower, OTHER_SERVICE, CORE, got_us));
  CU_ASSERT_PTR_NULL (overflow_borrow (borrower, SERVICE, CORE,
                                       START_US + OVERFLOW_CREDIT_US));
  overflow_borrower_free (borrower);
}

/* Guards against an expired credit that makes another one be spent twice or
   not at all.  */
static void
test_expired_credits_are_dropped (void)
{
  struct overflow_borrower *borrower = overflow_borrower_new (ME);
  int64_t later_us = START_US + OVERFLOW_CREDIT_US;
  for (uint64_t domain = 1; domain <= 4; domain++)
    {
      struct overflow_credit credit
          = credit_of (domain, (int64_t)domain * CORE);
      int64_t asked_us = domain % 2 == 0 ? later_us : START_US;
      overflow_add_credit (borrower, &credit, asked_us, OVERFLOW_CREDIT_US,
                           asked_us);
    }
  const struct overflow_credit *spent
      = overflow_borrow (borrower, SERVICE, 3 * CORE, later_us);
  CU_ASSERT_TRUE (spent != NULL && spent->number == 4);
  spent = overflow_borrow (borrower, SERVICE, 2 * CORE, later_us);
  CU_ASSERT_TRUE (spent != NULL && spent->number == 2);
  CU_ASSERT_PTR_NULL (overflow_borrow (borrower, SERVICE, 2 * CORE, later_us));
  overflow_borrower_free (borrower);
}

/* Guards against asking all domains, the same ones each time, or all the
   time.  */
static void
test_few_domains_are_asked (void)
{
  static const uint64_t domains[] = { 1, 2, 3, 4, 5 };
  struct overflow_borrower *borrower = overflow_borrower_new (ME);
  struct overflow_request request;
  unsigned n_requests = 0;
  unsigned asked[6] = { 0 };
  CU_ASSERT_FALSE (
      overflow_next_request (borrower, domains, 5, START_US, &request));
  for (int64_t t = 0; t < 1000000; t += 1000)
    {
      (void)overflow_borrow (borrower, SERVICE, CORE, START_US + t);
      while (
          overflow_next_request (borrower, domains, 5, START_US + t, &request))
        {
          n_requests++;
          CU_ASSERT_EQUAL (request.n_domains, 2);
          CU_ASSERT_NOT_EQUAL (request.domains[0], request.domains[1]);
          asked[request.domains[0]]++;
          asked[request.domains[1]]++;
        }
    }
  CU_ASSERT_TRUE (n_requests >= 39 && n_requests <= 41);
  for (unsigned i = 1; i <= 5; i++)
    CU_ASSERT_TRUE (asked[i] > 0);
  CU_ASSERT_FALSE (overflow_next_request (borrower, domains, 0,
                                          START_US + 2000000, &request));
  overflow_borrower_free (borrower);
}

/* What the origin has done.  */
struct origin_log
{
  unsigned n_renewals;
  unsigned n_numbers;
  unsigned n_withdrawn;
  unsigned n_lost;
};

static void
log_renewal (void *ctx, const struct overflow_renewal *renewal)
{
  struct origin_log *log = ctx;
  log->n_renewals++;
  log->n_numbers = renewal->numbers == NULL ? 0 : renewal->numbers->len;
  log->n_withdrawn += renewal->withdrawn == NULL ? 0 : renewal->withdrawn->len;
}

static void
log_lost (void *ctx, const struct overflow_sent *sent)
{
  (void)sent;
  ((struct origin_log *)ctx)->n_lost++;
}

static const struct overflow_sent_ops logging_ops
    = { .renew = log_renewal, .lost = log_lost };

/* Guards against renewing a job that the lender may have ended, and against
   answering for it while it may still run.  */
static void
test_a_silent_lender_is_left (void)
{
  struct origin_log log = { 0 };
  struct overflow_sent_table *sent
      = overflow_sent_table_new (ME, &logging_ops, &log);
  struct pl_addr addr = { 1, 2 };
  (void)overflow_add_sent (sent, 1, PEER, addr, START_US);
  (void)overflow_add_sent (sent, 2, PEER, addr, START_US);
  int64_t t = START_US;
  for (; t < START_US + OVERFLOW_LEASE_US; t += 20000)
    overflow_tick_sent (sent, t);
  CU_ASSERT_EQUAL (log.n_numbers, 2);
  int64_t heard_us = t - 20000;
  overflow_on_renewed (sent, PEER, heard_us);
  int64_t renewed_us = 0;
  for (; log.n_lost == 0 && t < START_US + 3 * SECOND_US; t += 20000)
    {
      unsigned n_renewals = log.n_renewals;
      overflow_tick_sent (sent, t);
      if (log.n_renewals > n_renewals)
        renewed_us = t;
    }
  CU_ASSERT_TRUE (renewed_us > heard_us
                  && renewed_us <= heard_us + OVERFLOW_LEASE_US);
  CU_ASSERT_TRUE (t - renewed_us >= OVERFLOW_END_US);
  CU_ASSERT_EQUAL (log.n_lost, 2);
  CU_ASSERT_EQUAL (overflow_count_sent (sent), 0);
  overflow_sent_table_free (sent);
}

/* Guards against a lender that is never taken for silent because it has
   confirmed a renewal that is still to come.  */
static void
test_a_renewal_to_come_is_not_confirmed (void)
{
  struct origin_log log = { 0 };
  struct overflow_sent_table *sent
      = overflow_sent_table_new (ME, &logging_ops, &log);
  (void)overflow_add_sent (sent, 1, PEER, (struct pl_addr){ 1, 2 }, START_US);
  overflow_on_renewed (sent, PEER, START_US + 60 * SECOND_US);
  for (int64_t t = START_US; t < START_US + 3 * SECOND_US; t += 20000)
    overflow_tick_sent (sent, t);
  CU_ASSERT_EQUAL (log.n_lost, 1);
  overflow_sent_table_free (sent);
}

/* Guards against a paused origin that renews, when it goes on, what the lender
   has ended meanwhile.  */
static void
test_a_paused_origin_renews_nothing (void)
{
  struct origin_log log = { 0 };
  struct overflow_sent_table *sent
      = overflow_sent_table_new (ME, &logging_ops, &log);
  (void)overflow_add_sent (sent, 1, PEER, (struct pl_addr){ 1, 2 }, START_US);
  overflow_tick_sent (sent, START_US + 3 * SECOND_US);
  CU_ASSERT_EQUAL (log.n_renewals, 0);
  CU_ASSERT_EQUAL (log.n_lost, 1);
  overflow_sent_table_free (sent);
}

/* Guards against a link that overflow fills: links between domains are paid
   for.  */
static void
test_bytes_are_bounded (void)
{
  struct overflow_sent_table *sent
      = overflow_sent_table_new (ME, &logging_ops, NULL);
  int64_t bytes = 0;
  for (int64_t t = 0; t < 2 * SECOND_US; t += 1000)
    if (overflow_take_bytes (sent, 500, START_US + t))
      bytes += 500;
  CU_ASSERT_TRUE (bytes > 200000 && bytes < 300000);
  overflow_sent_table_free (sent);
}

static bool
receive (struct overflow_received_table *table, uint64_t number,
         int64_t now_us)
{
  struct overflow_received received
      = { .number = number, .job = number + 100, .origin = PEER };
  return overflow_receive (table, &received, now_us, now_us);
}

/* Guards against a lease that outlasts its origin, or ends while it is
   renewed.  */
static void
test_leases_end_with_their_origin (void)
{
  struct overflow_received_table *table = overflow_received_table_new ();
  CU_ASSERT_TRUE (receive (table, 1, START_US));
  CU_ASSERT_FALSE (receive (table, 1, START_US));
  int64_t t = START_US + OVERFLOW_LEASE_US - 1;
  CU_ASSERT_PTR_NULL (overflow_take_expired (table, t));
  CU_ASSERT_PTR_NULL (overflow_renew_received (table, 1, t));
  CU_ASSERT_PTR_NULL (overflow_take_expired (table, t + 1));
  overflow_on_origin_closed (table, PEER, t + 1);
  CU_ASSERT_PTR_NULL (overflow_take_expired (table, t + 100000));
  struct overflow_received *expired
      = overflow_take_expired (table, t + 200000);
  CU_ASSERT_TRUE (expired != NULL && expired->job == 101);
  g_free (expired);
  CU_ASSERT_PTR_NULL (overflow_find_received (table, 101));
  overflow_received_table_free (table);
}

/* Guards against a renewal that a partition has delayed, and that keeps a job
   which the origin has given up.  */
static void
test_a_late_renewal_does_not_count (void)
{
  struct overflow_received_table *table = overflow_received_table_new ();
  CU_ASSERT_TRUE (receive (table, 1, START_US));
  int64_t sent_us = START_US + 100000;
  CU_ASSERT_TRUE (
      overflow_is_fresh (table, PEER, sent_us, sent_us + OVERFLOW_STALE_US));
  CU_ASSERT_FALSE (overflow_is_fresh (table, PEER, sent_us,
                                      sent_us + OVERFLOW_STALE_US + 1));
  overflow_received_table_free (table);
}

/* Guards against a job that is called not run and taken afterwards, and
   against one that has run in part and is called not run.  */
static void
test_answers_stand (void)
{
  struct overflow_received_table *table = overflow_received_table_new ();
  const struct overflow_answer *answer
      = overflow_renew_received (table, 5, START_US);
  CU_ASSERT_TRUE (answer != NULL && answer->code == PL_DEADLINE_LOST);
  CU_ASSERT_FALSE (receive (table, 5, START_US + 1000));
  CU_ASSERT_TRUE (receive (table, 6, START_US));
  struct overflow_answer ended = { .number = 6, .code = PL_UNKNOWN_LOST };
  overflow_set_answer (table, &ended, START_US);
  answer = overflow_renew_received (table, 6, START_US + SECOND_US);
  CU_ASSERT_TRUE (answer != NULL && answer->code == PL_UNKNOWN_LOST);
  overflow_received_table_free (table);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "open credits are bounded", test_open_credits_are_bounded },
    { "own jobs come first", test_own_jobs_come_first },
    { "an expired credit admits nothing",
      test_an_expired_credit_admits_nothing },
    { "the borrower stops before the lender",
      test_the_borrower_stops_before_the_lender },
    { "expired credits are dropped", test_expired_credits_are_dropped },
    { "few domains are asked", test_few_domains_are_asked },
    { "a silent lender is left", test_a_silent_lender_is_left },
    { "a renewal to come is not confirmed",
      test_a_renewal_to_come_is_not_confirmed },
    { "a paused origin renews nothing", test_a_paused_origin_renews_nothing },
    { "bytes are bounded", test_bytes_are_bounded },
    { "leases end with their origin", test_leases_end_with_their_origin },
    { "a late renewal does not count", test_a_late_renewal_does_not_count },
    { "answers stand", test_answers_stand },
    CU_TEST_INFO_NULL,
  };
  return test_run ("overflow_test", tests);
}
