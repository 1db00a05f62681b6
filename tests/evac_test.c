/* Tests of lib/evac, and of evacuations on the emulated deployment.  Guards
   against EVAC: a start on a worker of an evacuated failure domain.  */
#include "cell_priv.h"
#include "cell_soak.h"

#define KNOWN_US (SECOND / 2) /* until all instances know of a change */

static enum evac_effect
merge (struct evac_table *table, uint64_t domain, int64_t revision,
       bool active)
{
  struct evac_entry entry = { domain, revision, active };
  return evac_merge (table, &entry);
}

/* Guards against a late message that brings back what has ended.  */
static void
test_the_order_of_news_does_not_matter (void)
{
  struct evac_table *table = evac_table_new ();
  CU_ASSERT_EQUAL (merge (table, 1, 5, true), EVAC_BEGUN);
  CU_ASSERT_EQUAL (merge (table, 1, 9, false), EVAC_ENDED);
  CU_ASSERT_EQUAL (merge (table, 1, 5, true), EVAC_UNCHANGED);
  CU_ASSERT_EQUAL (merge (table, 2, 9, false), EVAC_UNCHANGED);
  CU_ASSERT_EQUAL (merge (table, 2, 5, true), EVAC_UNCHANGED);
  CU_ASSERT_EQUAL (evac_count_active (table), 0);
  CU_ASSERT_EQUAL (merge (table, 2, 10, true), EVAC_BEGUN);
  CU_ASSERT_EQUAL (merge (table, 2, 12, true), EVAC_UNCHANGED);
  CU_ASSERT_EQUAL (merge (table, 2, 11, false), EVAC_UNCHANGED);
  CU_ASSERT_TRUE (evac_is_active (table, 2));
  CU_ASSERT_EQUAL (merge (table, 0, 5, true), EVAC_REJECTED);
  CU_ASSERT_EQUAL (merge (table, 3, 0, true), EVAC_REJECTED);
  evac_table_free (table);
}

/* Guards against an evacuation that lasts for ever because its end was in a
   history that the store has lost, and against a listing that ends one which
   was requested after the listing began.  */
static void
test_a_listing_ends_what_it_lacks (void)
{
  struct evac_table *table = evac_table_new ();
  const uint64_t listed[] = { 1 };
  (void)merge (table, 1, 5, true);
  (void)merge (table, 2, 6, true);
  (void)merge (table, 3, 21, true);
  g_autoptr (GArray) ended = evac_find_unlisted (table, listed, 1, 20);
  CU_ASSERT_EQUAL_FATAL (ended->len, 1);
  const struct evac_entry *entry
      = &g_array_index (ended, struct evac_entry, 0);
  CU_ASSERT_EQUAL (entry->domain, 2);
  CU_ASSERT_EQUAL (evac_merge (table, entry), EVAC_ENDED);
  CU_ASSERT_EQUAL (merge (table, 2, 6, true), EVAC_UNCHANGED);
  CU_ASSERT_EQUAL (evac_count_active (table), 2);
  evac_table_free (table);
}

/* Guards against a table that grows with each name ever written, and against
   one that forgets an evacuation to make room.  */
static void
test_the_table_is_bounded (void)
{
  struct evac_table *table = evac_table_new ();
  for (uint64_t i = 1; i <= EVAC_MAX_DOMAINS; i++)
    CU_ASSERT_EQUAL (merge (table, i, (int64_t)i, true), EVAC_BEGUN);
  CU_ASSERT_EQUAL (merge (table, 999, 1000, true), EVAC_REJECTED);
  CU_ASSERT_EQUAL (merge (table, 7, 1001, false), EVAC_ENDED);
  CU_ASSERT_EQUAL (merge (table, 999, 1002, true), EVAC_BEGUN);
  CU_ASSERT_EQUAL (evac_count_active (table), EVAC_MAX_DOMAINS);
  evac_table_free (table);
}

/* The emulated deployment.  A small fleet, in which all hear all, and a large
   one, in which two of each domain read the store.  */
static const struct soak_fleet fleets[] = { { 6, 24, 3 }, { 20, 80, 4 } };

static struct world *
new_world (unsigned fleet)
{
  struct world *world
      = world_new (1, fleets[fleet].n_instances, fleets[fleet].n_workers,
                   fleets[fleet].n_domains);
  world_run_for (world, 4 * SECOND);
  return world;
}

static struct evac_entry
new_entry (struct world *world, int domain, bool active)
{
  return (struct evac_entry){ cell_name_hash (pl_str (world_domain (domain))),
                              ++world->registry_revision, active };
}

static void
tell (struct world *world, int instance, struct evac_entry entry)
{
  if (world->instances[instance].cell != NULL)
    CU_ASSERT_TRUE (
        cell_set_evacuation (world->instances[instance].cell, &entry));
}

/* The operator changes the request; all that read the store learn it, or, if
   not negative, only the instance ONLY.  */
static void
change (struct world *world, int domain, bool active, int only)
{
  struct evac_entry entry = new_entry (world, domain, active);
  world->evacuated[domain] = false;
  for (int i = 0; i < world->n_instances; i++)
    if (only < 0 ? world->instances[i].reads_registry : i == only)
      tell (world, i, entry);
  world_run_for (world, KNOWN_US);
  world->evacuated[domain] = active;
}

/* Whether all live instances of DOMAIN, -1 for all, know it.  */
static bool
all_know (struct world *world, int domain, int evacuated, bool active)
{
  uint64_t key = cell_name_hash (pl_str (world_domain (evacuated)));
  for (int i = 0; i < world->n_instances; i++)
    {
      const struct world_instance *in = &world->instances[i];
      if (in->cell != NULL && (domain < 0 || in->domain == domain)
          && cell_is_evacuated (in->cell, key) != active)
        return false;
    }
  return true;
}

/* Submits a job of four tasks at a live instance of each domain, and returns
   how many are done a second later; all must have been answered.  */
static unsigned
play_jobs (struct world *world)
{
  unsigned before = world->complete;
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].cell != NULL)
      CU_ASSERT_PTR_NOT_NULL (world_submit (world, i, 4, 100000));
  world_run_for (world, SECOND);
  CU_ASSERT_TRUE (all_answered (world));
  return world->complete - before;
}

static void
finish (struct world *world, const char *name)
{
  CU_ASSERT_EQUAL (world->evacuated_starts, 0);
  check_violations (world, name, 1);
  world_free (world);
}

/* Guards against starts on an evacuated domain while load is on, jobs that
   wait for its workers, and workers that don't come back, or come back without
   a slow start.  */
static void
test_nothing_starts_until_the_end (void)
{
  for (unsigned fleet = 0; fleet < 2; fleet++)
    {
      struct world *world = new_world (fleet);
      unsigned all = (unsigned)world->n_instances;
      unsigned here = all / (unsigned)world->n_domains;
      run_load (world, SECOND, 4, 100000);
      change (world, 1, true, -1);
      CU_ASSERT_TRUE (all_know (world, -1, 1, true));
      CU_ASSERT_FALSE (cell_prefers_other_domains (world->instances[0].cell));
      CU_ASSERT_EQUAL (cell_prefers_other_domains (world->instances[1].cell),
                       fleet == 1);
      run_load (world, 2 * SECOND, 4, 100000);
      CU_ASSERT_TRUE (play_jobs (world) >= (fleet == 0 ? all : all - here));
      int64_t slow_starts = pl_counter (PL_CTR_SLOW_STARTS_TOTAL);
      change (world, 1, false, -1);
      CU_ASSERT_EQUAL (pl_counter (PL_CTR_SLOW_STARTS_TOTAL) - slow_starts,
                       world->n_workers / world->n_domains);
      CU_ASSERT_EQUAL (play_jobs (world), all);
      finish (world, "evacuated");
    }
}

/* Guards against starts by grants of a planner that does not know yet.  */
static void
test_the_holder_alone_refuses (void)
{
  struct world *world = world_new (1, 3, 12, 3);
  world_run_for (world, 2 * SECOND);
  tell (world, 1, new_entry (world, 1, true));
  world->evacuated[1] = true;
  int64_t refused = pl_counter (PL_CTR_EVACUATED_STARTS_REFUSED_TOTAL);
  for (int i = 0; i < 3; i++)
    (void)world_submit (world, i, 8, 100000);
  world_run_for (world, SECOND);
  CU_ASSERT_EQUAL (world->complete, 3);
  CU_ASSERT_TRUE (pl_counter (PL_CTR_EVACUATED_STARTS_REFUSED_TOTAL)
                  > refused);
  finish (world, "holder");
}

/* Guards against an instance that goes on because the store does not serve
   it, and against losing the request with the only one that has read it.  */
static void
test_peers_relay_what_one_has_read (void)
{
  for (unsigned fleet = 0; fleet < 2; fleet++)
    {
      struct world *world = new_world (fleet);
      int n_domains = world->n_domains;
      for (int i = 0; i < world->n_instances; i++)
        cell_set_registry_fresh (world->instances[i].cell, false);
      change (world, 1, true, 1); /* instance 1 is of domain 1 */
      world_kill (world, 1, true);
      world_boot (world, 1);
      world_run_for (world, SECOND);
      CU_ASSERT_TRUE (all_know (world, 1, 1, true));
      (void)play_jobs (world);
      change (world, 1, false, 1 + n_domains);
      CU_ASSERT_TRUE (all_know (world, 1, 1, false));
      finish (world, "relayed");
    }
}

/* Guards against instances that disagree for good after changes in quick
   succession that reach them in different orders.  */
static void
test_quick_changes_are_seen_out_of_order (void)
{
  for (int last = 0; last < 2; last++)
    {
      struct world *world = new_world (0);
      struct evac_entry first = new_entry (world, 2, last == 0);
      struct evac_entry second = new_entry (world, 2, last == 1);
      tell (world, 0, first);
      tell (world, 1, second);
      tell (world, 2, second);
      tell (world, 2, first);
      world_run_for (world, KNOWN_US);
      CU_ASSERT_TRUE (all_know (world, -1, 2, last == 1));
      world->evacuated[2] = last == 1;
      (void)play_jobs (world);
      finish (world, "quick");
    }
}

/* Guards against starts by those that have adopted the workers of an evacuated
   domain, whose own instances are lost.  */
static void
test_adopters_of_a_lost_domain_know (void)
{
  struct world *world = new_world (1);
  for (int i = 0; i < world->n_instances; i++)
    if (world->instances[i].domain == 2)
      world_kill (world, i, false);
  change (world, 2, true, -1);
  change (world, 3, true, -1);
  world_run_for (world, 9 * SECOND);
  CU_ASSERT_EQUAL (count_held (world), 80);
  CU_ASSERT_TRUE (play_jobs (world) >= 10);
  change (world, 2, false, -1);
  change (world, 3, false, -1);
  CU_ASSERT_EQUAL (play_jobs (world), 15);
  finish (world, "adopted");
}

/* Guards against jobs that wait for nothing, or run, while all domains are
   evacuated: they are refused at once.  */
static void
test_all_domains_are_evacuated (void)
{
  for (unsigned fleet = 0; fleet < 2; fleet++)
    {
      struct world *world = new_world (fleet);
      for (int domain = 0; domain < world->n_domains; domain++)
        change (world, domain, true, -1);
      struct world_job *job = world_submit (world, 0, 4, 100000);
      world_run_for (world, SECOND / 10);
      CU_ASSERT_TRUE (job->answered && job->code == PL_DEADLINE_LOST);
      CU_ASSERT_EQUAL (play_jobs (world), 0);
      CU_ASSERT_FALSE (cell_prefers_other_domains (world->instances[1].cell));
      finish (world, "all");
    }
}

/* Guards against a task that runs twice, or a refusal that is not true, when
   evacuations begin and end among faults that overlap.  */
static void
test_evacuations_among_faults (void)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      const struct soak_fleet *fleet = &fleets[seed % 2];
      struct world *world = world_new (seed, fleet->n_instances,
                                       fleet->n_workers, fleet->n_domains);
      world_run_for (world, 2 * SECOND);
      for (int i = 0; i < 150; i++)
        {
          int instance
              = (int)world_random_between (world, 0, world->n_instances - 1);
          (void)world_submit (world, instance, 4,
                              world_random_between (world, 30000, 900000));
          if (world_random_chance (world, 0.1))
            soak_inject_fault (world);
          if (world_random_chance (world, 0.1))
            tell (world, instance,
                  new_entry (world, instance % world->n_domains,
                             world_random_chance (world, 0.5)));
          world_resend_lost_jobs (world);
          world_run_for (world, world_random_between (world, 10000, 90000));
        }
      check_violations (world, "evacuations", seed);
      world_free (world);
    }
}

/* Guards against lists that make an instance compute with values out of
   range.  */
static void
test_odd_lists_of_peers_are_refused (void)
{
  Cellpb__Evacuation odd[]
      = { CELLPB__EVACUATION__INIT, CELLPB__EVACUATION__INIT };
  Cellpb__Evacuation *list[] = { &odd[0], &odd[1] };
  Cellpb__Heartbeat msg = CELLPB__HEARTBEAT__INIT;
  msg.port = 1;
  msg.evacuations = list;
  msg.n_evacuations = 2;
  Cellpb__Envelope env = CELL_ENVELOPE (heartbeat, HEARTBEAT, &msg);
  env.sender = 1;
  odd[0].domain = odd[1].domain = odd[0].revision = odd[1].revision = 1;
  CU_ASSERT_TRUE (cell_is_valid (&env));
  odd[1].revision = -1;
  CU_ASSERT_FALSE (cell_is_valid (&env));
  odd[1].revision = INT64_MAX;
  CU_ASSERT_FALSE (cell_is_valid (&env));
  odd[1] = odd[0];
  odd[1].domain = 0;
  CU_ASSERT_FALSE (cell_is_valid (&env));
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "the order of news does not matter",
      test_the_order_of_news_does_not_matter },
    { "a listing ends what it lacks", test_a_listing_ends_what_it_lacks },
    { "the table is bounded", test_the_table_is_bounded },
    { "nothing starts until the end", test_nothing_starts_until_the_end },
    { "the holder alone refuses", test_the_holder_alone_refuses },
    { "peers relay what one has read", test_peers_relay_what_one_has_read },
    { "quick changes are seen out of order",
      test_quick_changes_are_seen_out_of_order },
    { "adopters of a lost domain know", test_adopters_of_a_lost_domain_know },
    { "all domains are evacuated", test_all_domains_are_evacuated },
    { "evacuations among faults", test_evacuations_among_faults },
    { "odd lists of peers are refused", test_odd_lists_of_peers_are_refused },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("evac_test", tests);
}
