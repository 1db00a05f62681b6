/* Tests of platform/: valid and malformed input from the operator, the
   registry of workers and the settings file.  */
#include "../platform/pf.h"
#include "mutate.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MUTATIONS 10000 /* of each kind of input */

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
      "\"bounds\":{\"grace_s\":4.5},\"limits\":{\"cpu_share\":0.12},"
      "\"platform\":{\"address\":\"10.200.1.7:8169\"},\"new_field\":{}}";

/* Guards against misread members of a worker's entry.  */
static void
test_worker_entry_is_decoded (void)
{
  struct lease_worker_info info;
  struct pl_err err = { 0 };
  CU_ASSERT_TRUE_FATAL (
      pf_decode_worker ("i-1", pl_str (worker_text), &info, &err));
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
  CU_ASSERT_EQUAL (info.warmup_left_ms, 0);
}

/* Guards against a worker that is not known to be cold, and against a wrong
   entry that keeps it from its capacity for good or hides the worker.  */
static void
test_cold_time_is_decoded (void)
{
  static const char *const texts[]
      = { "4500", "-7", "\"long\"", "900000000000" };
  static const int64_t left_ms[] = { 4500, 0, 0, 60000 };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct lease_worker_info info;
      struct pl_err err = { 0 };
      g_autofree char *entry = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"10.1.1.1:1\",\"zone\":\"b\","
          "\"state\":\"ready\",\"capacity\":{\"cpu\":1,\"mem_mb\":1},"
          "\"cold_left_ms\":%s}",
          texts[i]);
      CU_ASSERT_TRUE (pf_decode_worker ("i-1", pl_str (entry), &info, &err));
      CU_ASSERT_EQUAL (info.warmup_left_ms, left_ms[i]);
    }
}

/* Guards against entries that are malformed, or were written by something else
   than a worker, and are taken for workers.  */
static void
test_malformed_worker_entries_are_rejected (void)
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
    "{\"service\":\"s\",\"address\":\"10.1.1.1:1\",\"zone\":\"b\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":0,\"mem_mb\":1}}",
    "{\"service\":\"s\",\"address\":\"10.1.1.1:1\",\"zone\":\"b\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":4294967297,\"mem_mb\":1}}",
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
      CU_ASSERT_FALSE (pf_decode_worker ("i-1", pl_str (bad[i]), &info, &err));
      CU_ASSERT_NOT_EQUAL (err.text[0], '\0');
    }
}

static const char *
route_name (const struct pf_config *config, const char *host, const char *path)
{
  const struct pf_route *route
      = pf_config_find_route (config, host, pl_str (path));
  return route == NULL ? "-" : route->name;
}

/* Guards against requests that are assigned to the wrong route.  */
static void
test_longest_matching_prefix_wins (void)
{
  struct pl_err err = { 0 };
  struct pf_config *config = pf_config_parse (pl_str (config_text), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (config);
  CU_ASSERT_STRING_EQUAL (route_name (config, "x.example", "/p/1"), "a");
  CU_ASSERT_STRING_EQUAL (route_name (config, "x.example", "/p/q/1"), "b");
  CU_ASSERT_STRING_EQUAL (route_name (config, "X.EXAMPLE:8161", "/p/1"), "a");
  CU_ASSERT_STRING_EQUAL (route_name (config, "y.example", "/p/q/1"), "c");
  CU_ASSERT_STRING_EQUAL (route_name (config, "x.example", "/p"), "-");
  CU_ASSERT_STRING_EQUAL (route_name (config, "x.exampl", "/p/1"), "-");
  CU_ASSERT_STRING_EQUAL (route_name (config, NULL, "/p/1"), "-");
  const struct pf_route *route
      = pf_config_find_route (config, "x.example", pl_str ("/p/1"));
  CU_ASSERT_EQUAL (route->max_attempts, 3);
  CU_ASSERT_EQUAL (route->target_us, 60000);
  pf_config_free (config);
}

static bool
load_settings (const char *text, struct pf_settings *settings,
               struct pl_err *err)
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

/* Guards against starting with incomplete settings.  */
static void
test_settings_are_checked (void)
{
  struct pf_settings settings;
  struct pl_err err = { 0 };
  CU_ASSERT_TRUE_FATAL (load_settings (settings_text, &settings, &err));
  CU_ASSERT_STRING_EQUAL (settings.name, "edge-1");
  CU_ASSERT_EQUAL (settings.peers.port, 7720);
  CU_ASSERT_EQUAL (settings.n_seeds, 2);
  CU_ASSERT_EQUAL (settings.seeds[1].port, 7720);
  CU_ASSERT_EQUAL (settings.grace_us, 4500000);
  CU_ASSERT_EQUAL (settings.cpu_share, 120);
  pf_settings_clear (&settings);
  CU_ASSERT_FALSE (load_settings ("{\"node_name\":\"x\"}", &settings, &err));
  CU_ASSERT_EQUAL (err.code, PL_SETTING_INVALID);
  CU_ASSERT_FALSE (load_settings ("nonsense", &settings, &err));
}

static const char submission_text[]
    = "{\"spec\":\"text\",\"best_effort\":true,\"steps\":[{\"count\":4,"
      "\"cpu\":500,\"mem_mb\":256,\"gpu\":1,\"estimated_ms\":900,"
      "\"requirements\":\"a\",\"data_rack\":\"r1-3\",\"anti_affinity\":2}]}";

/* Guards against misread members of a submission.  */
static void
test_submission_is_decoded (void)
{
  struct pf_submission submission;
  struct pl_err err = { 0 };
  CU_ASSERT_TRUE_FATAL (
      pf_decode_submission (pl_str (submission_text), &submission, &err));
  CU_ASSERT_STRING_EQUAL (submission.spec, "text");
  CU_ASSERT_EQUAL (submission.n_tasks, 4);
  CU_ASSERT_EQUAL (submission.size.cpu, 500);
  CU_ASSERT_EQUAL (submission.size.mem, 256);
  CU_ASSERT_EQUAL (submission.size.gpu, 1);
  CU_ASSERT_EQUAL (submission.declared_us, 900000);
  CU_ASSERT_EQUAL (submission.per_worker, 2);
  CU_ASSERT_EQUAL (submission.required_label, cell_name_hash (pl_str ("a")));
  CU_ASSERT_EQUAL (submission.preferred_label,
                   cell_name_hash (pl_str ("r1-3")));
  pf_submission_clear (&submission);
}

/* Guards against numbers out of range that are cut to 32 bits: a task of
   negative size makes room on a full worker, and 4294967297 tasks become
   one.  */
static void
test_submissions_out_of_range_are_refused (void)
{
  static const struct
  {
    const char *body;
    enum pl_code code;
  } cases[] = {
    { "nonsense", PL_BAD_JSON },
    { "{\"best_effort\":true}", PL_BAD_JSON },
    { "{\"best_effort\":true,\"steps\":[{\"count\":0}]}", PL_TOO_MANY_TASKS },
    { "{\"best_effort\":true,\"steps\":[{\"count\":4097}]}",
      PL_TOO_MANY_TASKS },
    { "{\"best_effort\":true,\"steps\":[{\"count\":4294967297}]}",
      PL_BAD_REQUEST },
    { "{\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":-5}]}",
      PL_BAD_REQUEST },
    { "{\"best_effort\":true,\"steps\":[{\"count\":1,\"mem_mb\":1.5}]}",
      PL_BAD_REQUEST },
    { "{\"best_effort\":true,\"steps\":[{\"count\":1,\"gpu\":\"1\"}]}",
      PL_BAD_REQUEST },
    { "{\"best_effort\":true,\"steps\":[{\"count\":1,"
      "\"estimated_ms\":9223372036854775807}]}",
      PL_BAD_REQUEST },
    { "{\"best_effort\":true,\"steps\":[{\"count\":1},{\"count\":1}]}",
      PL_NOT_SERVED },
    { "{\"best_effort\":true,\"steps\":[{\"count\":1,\"gang\":true}]}",
      PL_NOT_SERVED },
    { "{\"steps\":[{\"count\":1}]}", PL_NOT_SERVED },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct pf_submission submission;
      struct pl_err err = { 0 };
      CU_ASSERT_FALSE (
          pf_decode_submission (pl_str (cases[i].body), &submission, &err));
      CU_ASSERT_EQUAL (err.code, cases[i].code);
    }
}

static const char poll_text[]
    = "{\"clock_ms\":482113,\"born\":77,\"running\":["
      "[\"5c0e7a21d94b36f8.0.0.17\",2,\"00\",41]],\"ended\":["
      "[58,\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"],"
      "[59,\"5c0e7a21d94b36f8.0.0.10\",1,\"failed\",\"\"]]}";

static struct net_response
response (int status, const char *body)
{
  return (struct net_response){ .status = status,
                                .sent = true,
                                .body = pl_str (body) };
}

/* Guards against misread rows of a worker's answer.  */
static void
test_poll_answer_is_decoded (void)
{
  struct net_response resp = response (200, poll_text);
  struct pf_poll_answer answer;
  struct pl_err err = { 0 };
  CU_ASSERT_TRUE_FATAL (pf_decode_poll_answer (&resp, &answer, &err));
  const struct lease_poll_result *result = &answer.result;
  CU_ASSERT_EQUAL (result->reply, LEASE_REPLY_OK);
  CU_ASSERT_EQUAL (result->clock_ms, 482113);
  CU_ASSERT_EQUAL (result->incarnation_ms, 77);
  CU_ASSERT_EQUAL_FATAL (result->n_running, 1);
  CU_ASSERT_EQUAL (result->running[0].id.job, 0x5c0e7a21d94b36f8u);
  CU_ASSERT_EQUAL (result->running[0].id.index, 17);
  CU_ASSERT_EQUAL (result->running[0].id.run, 2);
  CU_ASSERT_EQUAL_FATAL (result->n_ended, 2);
  CU_ASSERT_EQUAL (result->ended[0].number, 58);
  CU_ASSERT_EQUAL (result->ended[0].outcome, LEASE_OUTCOME_DONE);
  CU_ASSERT_EQUAL (result->ended[1].outcome, LEASE_OUTCOME_FAILED);
  pf_poll_answer_clear (&answer);
}

/* Guards against an answer with a row that can't be read: the row was left
   out, its run counted as ended and was started again while it was running. */
static void
test_malformed_poll_answers_count_as_none (void)
{
  static const char *const bad[] = {
    "",
    "[]",
    "{}",
    "{\"clock_ms\":-1}",
    "{\"clock_ms\":9223372036854775807}",
    "{\"clock_ms\":1,\"running\":{}}",
    "{\"clock_ms\":1,\"running\":[[\"5c0e7a21d94b36f8.0.0.17\"]]}",
    "{\"clock_ms\":1,\"running\":[[\"5c0e7a21d94b36f8xx\",1]]}",
    "{\"clock_ms\":1,\"running\":[[\"5c0e7a21d94b36f8.0.0.1\",-1]]}",
    "{\"clock_ms\":1,\"ended\":[[\"58\",\"5c0e7a21d94b36f8.0.0.9\",1,\"\"]]}",
    "{\"clock_ms\":1,\"ended\":[[58,\"5c0e7a21d94b36f8.0.0.9\",1]]}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      struct net_response resp = response (200, bad[i]);
      struct pf_poll_answer answer;
      struct pl_err err = { 0 };
      CU_ASSERT_FALSE (pf_decode_poll_answer (&resp, &answer, &err));
      CU_ASSERT_EQUAL (answer.result.reply, LEASE_REPLY_NO_ANSWER);
      CU_ASSERT_EQUAL (answer.result.n_running, 0);
      pf_poll_answer_clear (&answer);
    }
}

/* Guards against an order that counts as refused, and is given to another
   worker, although it may be carried out.  */
static void
test_replies_to_orders_are_told_apart (void)
{
  static const struct
  {
    int status;
    bool sent;
    const char *body;
    enum lease_reply reply;
    bool refused;
  } cases[] = {
    { 0, true, "", LEASE_REPLY_NO_ANSWER },
    { 0, false, "", LEASE_REPLY_NOT_SENT },
    { 0, false, "", LEASE_REPLY_CONN_REFUSED, true },
    { 200, true, "not json", LEASE_REPLY_OK },
    { 409, true, "{\"reason\":\"fence\"}", LEASE_REPLY_FENCED },
    { 409, true, "{\"reason\":\"old\"}", LEASE_REPLY_OLD_RUN },
    { 409, true, "{\"reason\":\"late\"}", LEASE_REPLY_EXPIRED },
    { 409, true, "{\"reason\":7}", LEASE_REPLY_REFUSED },
    { 421, true, "", LEASE_REPLY_RESTARTED },
    { 503, true, "", LEASE_REPLY_REFUSED },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct net_response resp = { cases[i].status, cases[i].sent,
                                   cases[i].refused, pl_str (cases[i].body) };
      CU_ASSERT_EQUAL (pf_decode_order_reply (&resp), cases[i].reply);
    }
}

/* Guards against crashes and memory errors on damaged input (run with the
   sanitizers): it is rejected, or read as what it says.  */
static void
test_damaged_input_does_no_harm (void)
{
  GRand *rand = g_rand_new_with_seed (41);
  unsigned refused = 0;
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      struct lease_worker_info info;
      struct pl_err err = { 0 };
      g_autofree char *worker = mutate (worker_text, rand);
      g_autofree char *text = mutate (config_text, rand);
      refused += !pf_decode_worker ("i-1", pl_str (worker), &info, &err);
      struct pf_config *config = pf_config_parse (pl_str (text), &err);
      refused += config == NULL;
      if (config != NULL)
        (void)pf_config_find_route (config, "x.example", pl_str ("/p/1"));
      pf_config_free (config);
    }
  CU_ASSERT_TRUE (refused > MUTATIONS / 2);
  g_rand_free (rand);
}

/* The same for submissions and for workers' answers.  */
static void
test_damaged_jobs_and_answers_do_no_harm (void)
{
  GRand *rand = g_rand_new_with_seed (42);
  unsigned refused = 0;
  for (unsigned i = 0; i < MUTATIONS; i++)
    {
      struct pf_submission submission;
      struct pf_poll_answer answer;
      struct pl_err err = { 0 };
      g_autofree char *body = mutate (submission_text, rand);
      g_autofree char *text = mutate (poll_text, rand);
      struct net_response resp = response (200, text);
      if (pf_decode_submission (pl_str (body), &submission, &err))
        pf_submission_clear (&submission);
      else
        refused++;
      refused += !pf_decode_poll_answer (&resp, &answer, &err);
      pf_poll_answer_clear (&answer);
    }
  CU_ASSERT_TRUE (refused > MUTATIONS / 2);
  g_rand_free (rand);
}

int
main (void)
{
  CU_TestInfo tests[] = {
    { "cold time is decoded", test_cold_time_is_decoded },
    { "a worker entry is decoded", test_worker_entry_is_decoded },
    { "malformed worker entries are rejected",
      test_malformed_worker_entries_are_rejected },
    { "the longest matching prefix wins", test_longest_matching_prefix_wins },
    { "settings are checked", test_settings_are_checked },
    { "a submission is decoded", test_submission_is_decoded },
    { "submissions out of range are refused",
      test_submissions_out_of_range_are_refused },
    { "a poll answer is decoded", test_poll_answer_is_decoded },
    { "malformed poll answers count as none",
      test_malformed_poll_answers_count_as_none },
    { "replies to orders are told apart",
      test_replies_to_orders_are_told_apart },
    { "damaged input does no harm", test_damaged_input_does_no_harm },
    { "damaged jobs and answers do no harm",
      test_damaged_jobs_and_answers_do_no_harm },
    CU_TEST_INFO_NULL,
  };
  return test_run ("platform_test", tests);
}
