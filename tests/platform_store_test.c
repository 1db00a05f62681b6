/* Tests of platform/store.c against a store of a few lines, over loopback.  */
#include "../platform/pf.h"
#include "cell_priv.h"
#include "mutate.h"
#include "test.h"

#include <string.h>
#include <unistd.h>

#define PORT 18931
#define LOOPBACK 0x7f2b0000u /* 127.43.0.0/16 */

struct fixture
{
  struct pf pf;
  struct net_server *server;
  const char *listing;   /* the store's answer to each listing */
  const char *later;     /* the same to pages but the first; null: as it */
  const char *operators; /* the same to listings of the operator's keys */
  unsigned listings;     /* calls so far, without those */
  struct net_exchange *watch; /* the call that waits; may be null */
  unsigned configs;
};

static struct fixture *current;

/* Parts of the daemon that the store's watch calls.  */

void
pf_apply_config (struct pf *pf, struct pl_str text)
{
  (void)pf;
  (void)text;
  current->configs++;
}

void
pf_registration_key_removed (struct pf_registration *registration,
                             const char *key)
{
  (void)registration;
  (void)key;
}

static void *
on_connect (void *ctx, struct pl_addr addr)
{
  (void)addr;
  return ctx;
}

static void
on_link (void *ctx, void *link)
{
  (void)ctx;
  (void)link;
}

static void
on_wake (void *ctx)
{
  (void)ctx;
}

static const struct cell_ops cell_ops
    = { .connect = on_connect, .disconnect = on_link, .wake = on_wake };

static void
on_request (void *ctx, struct net_exchange *exchange,
            const struct net_request *request)
{
  struct fixture *f = ctx;
  bool of_operator = g_strstr_len (request->target.data,
                                   (gssize)request->target.len, "prefix=op/")
                     != NULL;
  bool lists = request->target.len >= 9
               && memcmp (request->target.data, "/kv-range", 9) == 0;
  if (lists && of_operator && f->operators != NULL)
    net_reply (exchange, 200, "application/json", pl_str (f->operators), 0);
  else if (lists)
    {
      f->listings++;
      bool later = f->later != NULL
                   && g_strstr_len (request->target.data,
                                    (gssize)request->target.len, "after=");
      net_reply (exchange, 200, "application/json",
                 pl_str (later ? f->later : f->listing), 0);
    }
  else if (!of_operator)
    f->watch = exchange;
}

static void
on_aborted (void *ctx, struct net_exchange *exchange)
{
  struct fixture *f = ctx;
  if (f->watch == exchange)
    f->watch = NULL;
}

static const struct net_server_ops server_ops
    = { .request = on_request, .aborted = on_aborted };

static void
run_loop (struct fixture *f, long us)
{
  struct timeval tv = { us / 1000000, us % 1000000 };
  event_base_loopexit (f->pf.base, &tv);
  event_base_dispatch (f->pf.base);
}

/* Runs the loop and the watch's timers for MS.  */
static void
run_ms (struct fixture *f, int ms)
{
  for (int i = 0; i < ms; i += 20)
    {
      run_loop (f, 20000);
      pf_store_watch_tick (f->pf.store_watch);
    }
}

static void
fixture_init (struct fixture *f, const char *listing)
{
  static uint16_t next_port;
  struct pl_addr addr = { LOOPBACK + ((uint32_t)getpid () & 0xffff),
                          (uint16_t)(PORT + next_port++) };
  struct pl_err err = { 0 };
  *f = (struct fixture){ .listing = listing };
  current = f;
  f->pf.base = event_base_new ();
  f->pf.clock = pl_clock_real ();
  f->pf.settings.store = addr;
  struct cell_config cell = { .clock = f->pf.clock,
                              .id = 1,
                              .name = "i0",
                              .domain = "a",
                              .addr = { LOOPBACK, 7000 } };
  f->pf.cell = cell_new (&cell, &cell_ops, f);
  struct net_server_config server
      = { .addr = addr, .ops = &server_ops, .ctx = f, .max_body = 1000 };
  f->server = net_server_new (f->pf.base, &server, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->server);
  f->pf.store_watch = pf_store_watch_new (&f->pf);
}

/* {"service":"s","address":"10.128.0.9:8080","zone":"a","state":"ready",
    "capacity":{"cpu":16000,"mem_mb":32768}}  */
#define WORKER                                                                \
  "{\"key\":\"servers/w1\",\"value\":"                                        \
  "\"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4xMjguMC45OjgwODAiLCJ6b25lIjoiYSI" \
  "sInN0YXRlIjoicmVhZHkiLCJjYXBhY2l0eSI6eyJjcHUiOjE2MDAwLCJtZW1fbWIiOjMyNzY4" \
  "fX0=\",\"revision\":4}"
/* 10.0.0.7:7000 and 10.0.0.8:7000 */
#define INSTANCES                                                             \
  "{\"key\":\"papayaloft/instances/a\",\"value\":\"MTAuMC4wLjc6NzAwMA==\"},"  \
  "{\"key\":\"papayaloft/instances/b\",\"value\":\"MTAuMC4wLjg6NzAwMA==\"}"

static const char all[] = "{\"items\":[" WORKER "," INSTANCES
                          "],\"truncated\":false,\"current_rev\":9}";

static bool
knows_worker (struct fixture *f)
{
  uint64_t worker = cell_name_hash (pl_str ("w1"));
  return cell_is_worker_registered (f->pf.cell, worker);
}

static bool
is_registered (struct fixture *f, uint32_t last)
{
  return cell_is_instance_registered (
      f->pf.cell, (struct pl_addr){ 0x0a000000u + last, 7000 });
}

/* Answers the watch that its history is no longer available.  */
static void
lose_history (struct fixture *f)
{
  /* A watch that was given up is called again in 0.2 s.  */
  for (int ms = 0; f->watch == NULL && ms < 1000; ms += 20)
    run_ms (f, 20);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->watch);
  net_reply (f->watch, 410, NULL, pl_str (""), 0);
  f->watch = NULL;
}

/* Guards against an answer that is no listing, which counted as an empty one:
   all workers were given up 2.2 s later.  */
static void
test_an_answer_without_items_removes_nothing (void)
{
  static const char *const odd[] = { "{}",
                                     "[]",
                                     "null",
                                     "{\"items\":{},\"current_rev\":12}",
                                     "{\"items\":[]}",
                                     "{\"items\":[],\"current_rev\":-1}" };
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  fixture_init (&f, all);
  run_ms (&f, 500);
  CU_ASSERT_TRUE_FATAL (knows_worker (&f));
  f.listing = odd[0];
  lose_history (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      unsigned before = f.listings;
      f.listing = odd[i];
      for (int tries = 0; f.listings == before && tries < 100; tries++)
        run_ms (&f, 20);
      run_ms (&f, 40);
      CU_ASSERT_FALSE (pf_store_watch_is_current (f.pf.store_watch));
    }
  run_ms (&f, 2600);
  CU_ASSERT_TRUE (knows_worker (&f));
  f.listing = all;
  /* The watch that follows the listing is not answered, and is given up in
     1.3 s.  */
  for (int ms = 0; ms < 1800; ms += 20)
    {
      run_ms (&f, 20);
      if (pf_store_watch_is_current (f.pf.store_watch))
        break;
    }
  CU_ASSERT_TRUE (pf_store_watch_is_current (f.pf.store_watch));
}

/* Guards against an instance that stays registered for ever because it left
   while the store's history was lost: as a silent peer it would be waited for
   at each change.  */
static void
test_an_instance_that_left_unseen_is_not_registered (void)
{
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  fixture_init (&f, all);
  run_ms (&f, 60);
  CU_ASSERT_TRUE (is_registered (&f, 7));
  CU_ASSERT_TRUE (is_registered (&f, 8));
  f.listing
      = "{\"items\":[" WORKER ",{\"key\":\"papayaloft/instances/a\",\"value\":"
        "\"MTAuMC4wLjc6NzAwMA==\"}],\"truncated\":false,\"current_rev\":20}";
  run_ms (&f, 500);
  lose_history (&f);
  run_ms (&f, 200);
  CU_ASSERT_TRUE (is_registered (&f, 7));
  CU_ASSERT_FALSE (is_registered (&f, 8));
  CU_ASSERT_TRUE (knows_worker (&f));
}

/* Guards against taking all instances for gone because the workers' entries
   are read no longer while a listing is under way: the rest of the listing was
   taken for all of the instances.  */
static void
test_a_listing_that_is_given_up_removes_nothing (void)
{
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  fixture_init (&f, all);
  run_ms (&f, 500);
  CU_ASSERT_TRUE (is_registered (&f, 7));
  f.listing = "{\"items\":[" WORKER "],\"truncated\":true,\"current_rev\":20}";
  f.later = "{\"items\":[],\"truncated\":true,\"current_rev\":-1}";
  lose_history (&f);
  run_ms (&f, 100);
  f.listing = all;
  f.later = "{\"items\":[],\"truncated\":false,\"current_rev\":21}";
  f.pf.cell->domain_only = true;
  f.pf.cell->reads_registry = false; /* peers do */
  for (int i = 0; i < 50; i++)
    {
      run_ms (&f, 20);
      CU_ASSERT_TRUE (is_registered (&f, 7));
    }
}

/* Guards against a failure domain that learns of a configuration seconds late
   because the store leaves both of its readers without answers: no other
   instance there looked at the operator's keys.  */
static void
test_the_configuration_is_read_where_workers_are_not (void)
{
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  fixture_init (&f, all);
  f.operators = "{\"items\":[{\"key\":\"op/config\",\"value\":\"e30=\","
                "\"revision\":12}],\"truncated\":false,\"current_rev\":12}";
  run_ms (&f, 500);
  CU_ASSERT_EQUAL (f.configs, 0);
  f.pf.cell->domain_only = true;
  f.pf.cell->reads_registry = false; /* peers do */
  run_ms (&f, 200);
  CU_ASSERT_EQUAL (f.configs, 1);
  CU_ASSERT_TRUE (is_registered (&f, 7));
  CU_ASSERT_TRUE (knows_worker (&f));
}

/* More than an answer of the store may have.  */
#define TOO_LARGE_BYTES 3000000

/* Guards against a watch that stands still for ever: once the changes since
   the last revision made too large an answer, each further try had to read
   still more of them.  */
static void
test_too_many_changes_are_read_as_a_listing (void)
{
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  fixture_init (&f, all);
  run_ms (&f, 500);
  unsigned before = f.listings;
  g_autofree char *changes = g_strnfill (TOO_LARGE_BYTES, ' ');
  CU_ASSERT_PTR_NOT_NULL_FATAL (f.watch);
  net_reply (f.watch, 200, "application/json", pl_str (changes), 0);
  f.watch = NULL;
  run_ms (&f, 300);
  CU_ASSERT_EQUAL (f.listings, before + 1);
  CU_ASSERT_TRUE (pf_store_watch_is_current (f.pf.store_watch));
  CU_ASSERT_TRUE (knows_worker (&f));
}

#define NESTING 100000

/* A copy of the sound entry with PART replaced by ODD.  */
static char *
odd_entry (const char *part, const char *odd)
{
  static const char sound[]
      = "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"a\","
        "\"state\":\"ready\",\"born\":7,"
        "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768}}";
  GString *text = g_string_new (sound);
  CU_ASSERT_EQUAL (g_string_replace (text, part, odd, 1), 1);
  return g_string_free (text, FALSE);
}

static void
add_item (GString *items, const char *id, const char *entry)
{
  g_autofree char *value
      = g_base64_encode ((const guchar *)entry, strlen (entry));
  g_string_append_printf (
      items, "{\"key\":\"servers/%s\",\"value\":\"%s\",\"revision\":5},", id,
      value);
}

/* Guards against another writer's odd entry that ends the instances that read
   the list, or keeps them from following it.  */
static void
test_an_odd_entry_hides_no_other (void)
{
  static const struct
  {
    const char *part;
    const char *odd;
  } cases[] = {
    { "10.128.0.9:8080", "10.128.0.9:70000" },
    { "10.128.0.9:8080", "10.128.0.9:0" },
    { "10.128.0.9:8080", "10.128.0.9:-1" },
    { "10.128.0.9:8080", "10.128.0.999:80" },
    { "16000", "99999999999999999999999" },
    { "16000", "1e999" },
    { "16000", "9223372036854775807" },
    { "32768", "-9223372036854775808" },
    { ":7,", ":18446744073709551616," },
  };
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  g_autoptr (GString) items = g_string_new (NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *id = g_strdup_printf ("odd%zu", i);
      g_autofree char *entry = odd_entry (cases[i].part, cases[i].odd);
      add_item (items, id, entry);
    }
  g_autofree char *deep = g_strnfill (NESTING, '[');
  g_autofree char *nested = odd_entry ("16000", deep);
  add_item (items, "deep", deep);
  add_item (items, "nested", nested);
  g_autofree char *listing
      = g_strdup_printf ("{\"items\":[%s" WORKER "," INSTANCES
                         "],\"truncated\":false,\"current_rev\":9}",
                         items->str);
  fixture_init (&f, listing);
  run_ms (&f, 200);
  CU_ASSERT_TRUE (pf_store_watch_is_current (f.pf.store_watch));
  CU_ASSERT_TRUE (knows_worker (&f));
  CU_ASSERT_TRUE (is_registered (&f, 8));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *id = g_strdup_printf ("odd%zu", i);
      CU_ASSERT_FALSE (
          cell_is_worker_registered (f.pf.cell, cell_name_hash (pl_str (id))));
    }
}

/* Guards against an id that would add lines to the headers of calls.  */
static void
test_an_id_that_no_header_can_carry_names_no_worker (void)
{
  static const char *const ids[]
      = { "", "a b", "a\\r\\nHost: b", "a\\u0000b", "a\\u007f", "\\u00e9" };
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  g_autoptr (GString) items = g_string_new (NULL);
  g_autofree char *entry = odd_entry ("16000", "16001");
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    add_item (items, ids[i], entry);
  g_autofree char *listing = g_strdup_printf (
      "{\"items\":[%s" WORKER "],\"truncated\":false,\"current_rev\":9}",
      items->str);
  fixture_init (&f, listing);
  run_ms (&f, 200);
  CU_ASSERT_TRUE (knows_worker (&f));
  CU_ASSERT_EQUAL (g_hash_table_size (f.pf.cell->workers), 1);
}

#define EVACUATION "{\"key\":\"op/evacuate/a\",\"revision\":"

/* Guards against an evacuation that is not read, that ends without its end, or
   that outlasts an end in the history that the store has lost, and against odd
   keys and values, which end no process.  */
static void
test_evacuations_follow_the_store (void)
{
  static const struct
  {
    const char *answer; /* null: the history is lost */
    bool evacuated;     /* after it */
  } steps[] = {
    { "{\"events\":[{\"key\":\"op/evacuate/\",\"revision\":10},"
      "{\"key\":\"op/evacuate\",\"revision\":10},"
      "{\"key\":\"op/evacuate/a\"}],\"current_rev\":10}",
      false },
    { "{\"events\":[" EVACUATION "11,\"value\":\"?\"}],\"current_rev\":11}",
      true },
    { "{\"events\":[" EVACUATION "13,\"deleted\":true}," EVACUATION
      "12}],\"current_rev\":13}",
      false },
    { "{\"events\":[" EVACUATION "14}],\"current_rev\":14}", true },
    { NULL, true },
    { "{\"items\":[" WORKER "],\"truncated\":true,\"current_rev\":20}", true },
    { "{\"items\":[" EVACUATION "14}],\"current_rev\":21}", true },
    { NULL, true },
    { "{\"items\":[],\"current_rev\":13}", true }, /* is out of date */
    { NULL, true },
    { "{\"items\":[" WORKER "],\"current_rev\":30}", false },
  };
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  struct net_response resp = { .status = 200, .sent = true };
  fixture_init (&f, all);
  resp.body = pl_str (all);
  CU_ASSERT_TRUE (pf_store_watch_read (f.pf.store_watch, &resp));
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      resp.status = steps[i].answer == NULL ? 410 : 200;
      resp.body = pl_str (steps[i].answer == NULL ? "" : steps[i].answer);
      CU_ASSERT_TRUE (pf_store_watch_read (f.pf.store_watch, &resp));
      CU_ASSERT_EQUAL (cell_count_evacuated_domains (f.pf.cell),
                       steps[i].evacuated);
    }
  /* Peers read the keys from now on: a listing has only the instances.  */
  struct evac_entry entry = { cell_name_hash (pl_str ("a")), 35, true };
  CU_ASSERT_TRUE (cell_set_evacuation (f.pf.cell, &entry));
  f.pf.cell->domain_only = true;
  f.pf.cell->reads_registry = false;
  pf_store_watch_tick (f.pf.store_watch);
  resp.status = 410;
  CU_ASSERT_TRUE (pf_store_watch_read (f.pf.store_watch, &resp));
  resp.status = 200;
  resp.body = pl_str ("{\"items\":[" INSTANCES "],\"current_rev\":40}");
  CU_ASSERT_TRUE (pf_store_watch_read (f.pf.store_watch, &resp));
  CU_ASSERT_EQUAL (cell_count_evacuated_domains (f.pf.cell), 1);
}

#define MUTATIONS 10000

/* Passes a damaged copy of TEXT as the store's answer; true if it is read.  */
static bool
read_damaged (struct fixture *f, const char *text, GRand *rand)
{
  g_autofree char *damaged = mutate (text, rand);
  struct net_response resp
      = { .status = 200, .sent = true, .body = pl_str (damaged) };
  return pf_store_watch_read (f->pf.store_watch, &resp);
}

/* Guards against crashes and memory errors on damaged answers (run with the
   sanitizers), and against a watch that no sound answer mends any more.  */
static void
test_damaged_answers_do_no_harm (void)
{
  static const char changes[]
      = "{\"events\":[" WORKER
        ",{\"key\":\"servers/w1\",\"revision\":12,\"deleted\":true}," WORKER
        "," INSTANCES
        ",{\"key\":\"op/evacuate/a\",\"revision\":13,\"value\":\"\"}],"
        "\"current_rev\":15}";
  static struct fixture f; /* nothing of it is freed, as in the daemon */
  fixture_init (&f, all);
  struct net_response lost = { .status = 410, .sent = true };
  struct net_response sound
      = { .status = 200, .sent = true, .body = pl_str (all) };
  GRand *rand = g_rand_new_with_seed (43);
  unsigned refused = 0;
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      if (i % 2 == 0)
        CU_ASSERT_TRUE (pf_store_watch_read (f.pf.store_watch, &lost));
      refused += !read_damaged (&f, i % 2 == 0 ? all : changes, rand);
    }
  CU_ASSERT_TRUE (refused > MUTATIONS / 4);
  CU_ASSERT_TRUE (pf_store_watch_read (f.pf.store_watch, &lost));
  CU_ASSERT_TRUE (pf_store_watch_read (f.pf.store_watch, &sound));
  CU_ASSERT_TRUE (knows_worker (&f));
  CU_ASSERT_TRUE (is_registered (&f, 7));
  g_rand_free (rand);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "an answer without items removes nothing",
      test_an_answer_without_items_removes_nothing },
    { "the configuration is read where workers are not",
      test_the_configuration_is_read_where_workers_are_not },
    { "a listing that is given up removes nothing",
      test_a_listing_that_is_given_up_removes_nothing },
    { "too many changes are read as a listing",
      test_too_many_changes_are_read_as_a_listing },
    { "an instance that left unseen is not registered",
      test_an_instance_that_left_unseen_is_not_registered },
    { "an odd entry hides no other", test_an_odd_entry_hides_no_other },
    { "an id that no header can carry names no worker",
      test_an_id_that_no_header_can_carry_names_no_worker },
    { "evacuations follow the store", test_evacuations_follow_the_store },
    { "damaged answers do no harm", test_damaged_answers_do_no_harm },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("platform_store_test", tests);
}
