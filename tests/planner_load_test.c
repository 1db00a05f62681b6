/* Tests of lib/planner: the same loads under the default policy and under two
   baselines; prints what each serves.  */
#include "planner_load.h"
#include "test.h"

/* The credit share of a kind or a domain may be at most this much below that
   of all jobs.  */
#define MAX_CREDIT_GAP 0.1

static void
check_even (const struct load_result *r)
{
  for (unsigned i = 0; i < LOAD_KINDS; i++)
    CU_ASSERT (load_credit_share (&r->kinds[i])
               > load_credit_share (&r->all) - MAX_CREDIT_GAP);
  for (unsigned i = 0; i < LOAD_DOMAINS; i++)
    CU_ASSERT (load_credit_share (&r->domains[i])
               > load_credit_share (&r->all) - MAX_CREDIT_GAP);
}

static void
print_result (const char *load, const char *policy,
              const struct load_result *r)
{
  printf ("%-14s %-8s credit %.3f, kinds %.3f %.3f %.3f, late %.3f, refused "
          "%.3f, of it late %.3f\n",
          load, policy, load_credit_share (&r->all),
          load_credit_share (&r->kinds[0]), load_credit_share (&r->kinds[1]),
          load_credit_share (&r->kinds[2]),
          (double)r->all.late / r->all.n_jobs,
          (double)r->all.refused / r->all.n_jobs, r->late_refusals);
}

/* Simulates SCENARIO under the default policy and both baselines.  The default
   policy must earn more than each and serve kinds and domains alike.  */
static struct load_result
compare_policies (const char *name, const struct load_scenario *scenario)
{
  struct load_result result
      = load_run_scenario (scenario, &planner_policy_default);
  struct load_result random
      = load_run_scenario (scenario, &planner_policy_random);
  struct load_result p2c = load_run_scenario (scenario, &planner_policy_p2c);
  print_result (name, "planner", &result);
  print_result (name, "random", &random);
  print_result (name, "two", &p2c);
  CU_ASSERT (load_credit_share (&result.all)
             > load_credit_share (&random.all));
  CU_ASSERT (load_credit_share (&result.all) > load_credit_share (&p2c.all));
  check_even (&result);
  return result;
}

/* The target for the credit share of a day.  */
#define CREDIT_TARGET 0.9

/* Guards against a default policy that misses CREDIT_TARGET at 115% of the
   usual rates: at 85% of them each policy serves all jobs.  */
static void
test_usual_load (void)
{
  static const struct load_scenario scenario
      = { .seconds = 20, .rate = 1.15, .seed = 1 };
  struct load_result r = compare_policies ("usual load", &scenario);
  CU_ASSERT (load_credit_share (&r.all) >= CREDIT_TARGET);
}

/* Guards against an order of the queue that serves all jobs late, and against
   one that serves one kind at the cost of another.  */
static void
test_overload (void)
{
  static const struct load_scenario scenario
      = { .seconds = 20, .rate = 1.3, .seed = 2 };
  compare_policies ("overload", &scenario);
}

/* Guards against a default policy that earns no more than the baselines, or
   serves kinds or domains unevenly, in bursts: one of all kinds, then one of
   each kind.  */
static void
test_bursts (void)
{
  static const struct load_burst bursts[] = {
    { -1, 1.6, 2, 6 },
    { 1, 3.0, 8, 11 },
    { 0, 3.0, 13, 16 },
    { 2, 2.5, 18, 21 },
  };
  static const struct load_scenario scenario
      = { .seconds = 24,
          .rate = 0.9,
          .bursts = bursts,
          .n_bursts = G_N_ELEMENTS (bursts),
          .seed = 4 };
  compare_policies ("bursts", &scenario);
}

/* The same while a third of the workers are four times slower, which their
   holders report.  */
static void
test_slow_third (void)
{
  static const struct load_scenario scenario = { .seconds = 20,
                                                 .rate = 0.9,
                                                 .slow_share = 0.3,
                                                 .slow_factor = 4,
                                                 .slow_known = true,
                                                 .seed = 5 };
  compare_policies ("a third slow", &scenario);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "usual load", test_usual_load },
    { "overload", test_overload },
    { "bursts", test_bursts },
    { "a third slow", test_slow_third },
    CU_TEST_INFO_NULL,
  };
  return test_run ("planner_load_test", tests);
}
