/* Tests of platform/: what comes from the operator, the workers' registry and
   the settings file, good and bad.  */
#include "../platform/pf.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MUTATIONS 3000

static const char worker_text[]
    = "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"brum\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,"
      "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":1},"
      "\"labels\":[\"a\",\"r1-3\"],\"clock_ms\":482113,\"born\":77,\"seq\":4}";

static const char config_text[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"a\",\"host\":\"x.example\",\"prefix\":\"/p/\","
      "\"service\":\"s\",\"priority\":1,\"max_attempts\":3,\"stretch\":1.6,"
      "\"target_latency_ms\":60,\"timeout_ms\":1500},"
      "{\"name\":\"b\",\"host\":\"x.example\",\"prefix\":\"/p/q/\","
      "\"service\":\"s\"},"
      "{\"name\":\"c\",\"host\":\"y.example\",\"prefix\":\"/p/\","
      "\"service\":\"s\"}],"
      "\"services\":[{\"name\":\"s\"}],\"limits\":{\"max_body_bytes\":1000}}";

static const char settings_text[]
    = "{\"node_name\":\"edge-1\",\"zone\":\"brum\",\"ip\":\"10.1.0.13\","
      "\"listen\":{\"front\":\"10.1.0.13:8161\","
      "\"readiness\":\"10.1.0.13:8167\"},\"internal_ports\":[7720,7735],"
      "\"seeds\":[\"10.1.0.13:8166\",\"bad\",\"10.2.0.30:8166\"],"
      "\"bounds\":{\"grace_s\":4.5},"
      "\"platform\":{\"address\":\"10.200.1.7:8169\"},\"new_field\":{}}";

/* Guards against names of the platform that are read wrongly.  */
static void
test_a_worker_is_decoded (void)
{
  struct lease_worker_info info;
  struct pl_err err = { 0 };
  CU_ASSERT_TRUE_FATAL (
      pf_worker_decode ("i-1", pl_str (worker_text), &info, &err));
  CU_ASSERT_EQUAL (info.worker, cell_name_hash (pl_str ("i-1")));
  CU_ASSERT_EQUAL (info.service, cell_name_hash (pl_str ("s")));
  CU_ASSERT_EQUAL (info.domain, cell_name_hash (pl_str ("brum")));
  CU_ASSERT_EQUAL (info.addr.port, 8080);
  CU_ASSERT_EQUAL (info.capacity.cpu, 16000);
  CU_ASSERT_EQUAL (info.capacity.mem, 32768);
  CU_ASSERT_EQUAL (info.capacity.gpu, 1);
  CU_ASSERT_EQUAL (info.labels[1], cell_name_hash (pl_str ("r1-3")));
  CU_ASSERT_EQUAL (info.incarnation_ms, 77);
  CU_ASSERT_FALSE (info.draining);
}

/* Guards against entries of another writer that name a worker.  */
static void
test_foreign_entries_name_no_worker (void)
{
  static const char *const bad[] = {
    "",
    "not json",
    "[]",
    "{}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:1\",\"zone\":\"b\","
    "\"state\":\"resting\",\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:1\",\"zone\":\"b\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":\"1\",\"mem_mb\":1}}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1\",\"zone\":\"b\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
    "{\"service\":5,\"address\":\"10.1.1.1:1\",\"zone\":\"b\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"mem_mb\":1}}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:1\",\"zone\":\"b\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"mem_mb\":1},"
    "\"born\":1.5}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      struct lease_worker_info info;
      struct pl_err err = { 0 };
      CU_ASSERT_FALSE (pf_worker_decode ("i-1", pl_str (bad[i]), &info, &err));
      CU_ASSERT_NOT_EQUAL (err.text[0], '\0');
    }
}

static const char *
route_of (const struct pf_config *config, const char *host, const char *path)
{
  const struct pf_route *route = pf_config_route (config, host, pl_str (path));
  return route == NULL ? "-" : route->name;
}

/* Guards against a request that reaches another queue than its own.  */
static void
test_the_longest_prefix_of_the_host_wins (void)
{
  struct pl_err err = { 0 };
  struct pf_config *config = pf_config_parse (pl_str (config_text), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  CU_ASSERT_STRING_EQUAL (route_of (config, "x.example", "/p/1"), "a");
  CU_ASSERT_STRING_EQUAL (route_of (config, "x.example", "/p/q/1"), "b");
  CU_ASSERT_STRING_EQUAL (route_of (config, "X.EXAMPLE:8161", "/p/1"), "a");
  CU_ASSERT_STRING_EQUAL (route_of (config, "y.example", "/p/q/1"), "c");
  CU_ASSERT_STRING_EQUAL (route_of (config, "x.example", "/p"), "-");
  CU_ASSERT_STRING_EQUAL (route_of (config, "x.exampl", "/p/1"), "-");
  CU_ASSERT_STRING_EQUAL (route_of (config, NULL, "/p/1"), "-");
  const struct pf_route *route
      = pf_config_route (config, "x.example", pl_str ("/p/1"));
  CU_ASSERT_EQUAL (route->max_attempts, 3);
  CU_ASSERT_EQUAL (route->target_us, 60000);
  pf_config_free (config);
}

static bool
load (const char *text, struct pf_settings *settings, struct pl_err *err)
{
  char path[] = "/tmp/papayaloft-settings-XXXXXX";
  int fd = mkstemp (path);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  bool ok = pf_settings_load (settings, path, err);
  unlink (path);
  return ok;
}

/* Guards against a start with half of the settings.  */
static void
test_settings_are_checked (void)
{
  struct pf_settings settings;
  struct pl_err err = { 0 };
  CU_ASSERT_TRUE_FATAL (load (settings_text, &settings, &err));
  CU_ASSERT_STRING_EQUAL (settings.name, "edge-1");
  CU_ASSERT_EQUAL (settings.peers.port, 7720);
  CU_ASSERT_EQUAL (settings.n_seeds, 2);
  CU_ASSERT_EQUAL (settings.seeds[1].port, 7720);
  CU_ASSERT_EQUAL (settings.grace_us, 4500000);
  pf_settings_clear (&settings);
  CU_ASSERT_FALSE (load ("{\"node_name\":\"x\"}", &settings, &err));
  CU_ASSERT_EQUAL (err.code, PL_SETTING_INVALID);
  CU_ASSERT_FALSE (load ("nonsense", &settings, &err));
}

/* TEXT with some bytes changed.  */
static char *
mutate (const char *text, GRand *rand)
{
  static const char bytes[] = "{}[]\",:0-9e.\\u\x01\xff tfn";
  char *copy = g_strdup (text);
  size_t len = strlen (copy);
  for (int n = g_rand_int_range (rand, 1, 6); n > 0; n--)
    copy[g_rand_int_range (rand, 0, (gint32)len)]
        = bytes[g_rand_int_range (rand, 0, sizeof bytes - 1)];
  return copy;
}

/* Guards against input that harms the process (run with the memory checkers):
   damaged texts are refused, or read as what they say.  */
static void
test_damaged_texts_do_no_harm (void)
{
  GRand *rand = g_rand_new_with_seed (41);
  unsigned refused = 0;
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      struct lease_worker_info info;
      struct pl_err err = { 0 };
      g_autofree char *worker = mutate (worker_text, rand);
      g_autofree char *text = mutate (config_text, rand);
      refused += !pf_worker_decode ("i-1", pl_str (worker), &info, &err);
      struct pf_config *config = pf_config_parse (pl_str (text), &err);
      refused += config == NULL;
      if (config != NULL)
        (void)pf_config_route (config, "x.example", pl_str ("/p/1"));
      pf_config_free (config);
    }
  CU_ASSERT_TRUE (refused > MUTATIONS / 2);
  g_rand_free (rand);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "a worker is decoded", test_a_worker_is_decoded },
    { "foreign entries name no worker", test_foreign_entries_name_no_worker },
    { "the longest prefix of the host wins",
      test_the_longest_prefix_of_the_host_wins },
    { "settings are checked", test_settings_are_checked },
    { "damaged texts do no harm", test_damaged_texts_do_no_harm },
    CU_TEST_INFO_NULL,
  };
  return test_run ("platform_test", tests);
}
