/* Tests of lib/job: each body gives a request or an error code, and each reply
   is valid JSON.  */
#include "job.h"
#include "test.h"

#include <jansson.h>
#include <string.h>

static struct note_kind kinds[] = {
  { .name = "plan", .max_tasks = 4, .deadline_ms = 2000 },
  { .name = "check", .fan_out = "days", .max_tasks = 390, .deadline_ms = 500 },
};
static struct note_service services[]
    = { { .name = "agenda", .kinds = kinds, .n_kinds = 2 } };
static struct note_team teams[] = { { .name = "blue", .weight = 1 } };
static const struct note_conf conf = { .revision = 1,
                                       .services = services,
                                       .n_services = 1,
                                       .teams = teams,
                                       .n_teams = 1 };
static const struct job_limits limits = { .body_bytes = 65536, .tasks = 8 };

#define JOBS_PATH "/v1/jobs"
#define CHECK_PATH "/v1/services/agenda/check"
#define BODY_START                                                            \
  "{\"service\":\"agenda\",\"kind\":\"plan\",\"team\":\"blue\","
#define GOOD_BODY                                                             \
  BODY_START "\"tasks\":[{\"size_ms\":5,\"input\":{\"a\":[1,2.5]}}]}"

static struct job_req *
parse_bytes (const char *path, const char *body, size_t len)
{
  return job_req_parse (pl_str ("key"), pl_str (path),
                        (struct pl_str){ body, len }, &limits, &conf);
}

static void
check_input (const struct job_req *req, unsigned i, const char *want)
{
  gsize len;
  const char *data = g_bytes_get_data (req->tasks[i].input, &len);
  CU_ASSERT (pl_str_eq ((struct pl_str){ data, len }, pl_str (want)));
}

static void
test_good_bodies (void)
{
  struct job_req *req = parse_bytes (JOBS_PATH, GOOD_BODY, strlen (GOOD_BODY));
  CU_ASSERT_EQUAL_FATAL (req->parse_err.code, PL_OK);
  CU_ASSERT_EQUAL_FATAL (req->n_tasks, 1);
  CU_ASSERT_EQUAL (req->deadline_ms, 2000);
  CU_ASSERT_EQUAL (req->tasks[0].size_ms, 5);
  check_input (req, 0, "{\"a\":[1,2.5]}");
  job_req_unref (req);
  const char *call = "{\"team\":\"blue\",\"deadline_ms\":70,\"ideal_ms\":9,"
                     "\"input\":{\"x\":1,\"days\":[3,\"\\u00e9\"]}}";
  req = parse_bytes (CHECK_PATH, call, strlen (call));
  CU_ASSERT_EQUAL_FATAL (req->parse_err.code, PL_OK);
  CU_ASSERT_EQUAL_FATAL (req->n_tasks, 2);
  CU_ASSERT_STRING_EQUAL (req->kind, "check");
  CU_ASSERT_EQUAL (req->deadline_ms, 70);
  CU_ASSERT_EQUAL (req->ideal_ms, 9);
  check_input (req, 0, "3");
  check_input (req, 1, "\"\xc3\xa9\"");
  struct job_req *other = parse_bytes (JOBS_PATH, call, strlen (call));
  CU_ASSERT (memcmp (req->hash, other->hash, JOB_HASH_BYTES) != 0);
  job_req_unref (other);
  job_req_unref (job_req_ref (req));
  job_req_unref (req);
}

struct bad_body
{
  const char *path;
  const char *body;
  enum pl_code code;
  const char *text; /* part of the error's text */
};

static const struct bad_body bad_bodies[] = {
  { JOBS_PATH, "", PL_BAD_JSON, "" },
  { JOBS_PATH, "{", PL_BAD_JSON, "line 1" },
  { JOBS_PATH, GOOD_BODY "x", PL_BAD_JSON, "" },
  { JOBS_PATH, "[]", PL_BAD_REQUEST, "$:" },
  { JOBS_PATH, "{\"service\":\"a\",\"service\":\"b\"}", PL_BAD_JSON, "" },
  { JOBS_PATH, "{\"service\":\"\xff\"}", PL_BAD_JSON, "" },
  { JOBS_PATH, "{\"service\":\"a\\u0000b\"}", PL_BAD_JSON, "" },
  { JOBS_PATH, "{\"service\":99999999999999999999}", PL_BAD_JSON, "" },
  { JOBS_PATH, "{\"service\":1e999}", PL_BAD_JSON, "" },
  { JOBS_PATH, "{\"service\":1}", PL_BAD_REQUEST, "$.service" },
  { JOBS_PATH, "{\"service\":\"x\"}", PL_BAD_REQUEST, "$.kind" },
  { JOBS_PATH, "{\"service\":\"x\",\"kind\":\"y\"}", PL_BAD_REQUEST,
    "$.team" },
  { JOBS_PATH, "{\"service\":\"x\",\"kind\":\"y\",\"team\":\"blue\"}",
    PL_UNKNOWN_SERVICE, "x" },
  { JOBS_PATH, "{\"service\":\"agenda\",\"kind\":\"plan\",\"team\":\"z\"}",
    PL_UNKNOWN_TEAM, "z" },
  { JOBS_PATH, BODY_START "\"ideal_ms\":-1}", PL_BAD_REQUEST, "$.ideal_ms" },
  { JOBS_PATH, BODY_START "\"deadline_ms\":0}", PL_DEADLINE_PAST,
    "$.deadline_ms" },
  { JOBS_PATH, BODY_START "\"deadline_ms\":600001}", PL_DEADLINE_PAST, "" },
  { JOBS_PATH, BODY_START "\"deadline_ms\":1.5}", PL_BAD_REQUEST,
    "$.deadline_ms" },
  { JOBS_PATH, BODY_START "\"tasks\":{}}", PL_BAD_REQUEST, "$.tasks" },
  { JOBS_PATH, BODY_START "\"tasks\":[]}", PL_TOO_MANY_TASKS, "$.tasks" },
  { JOBS_PATH, BODY_START "\"tasks\":[1,1,1,1,1]}", PL_TOO_MANY_TASKS,
    "1 to 4" },
  { JOBS_PATH, BODY_START "\"tasks\":[1]}", PL_BAD_REQUEST, "$.tasks[0]:" },
  { JOBS_PATH, BODY_START "\"tasks\":[{\"input\":1},{}]}", PL_BAD_REQUEST,
    "$.tasks[1].input" },
  { JOBS_PATH, BODY_START "\"tasks\":[{\"input\":1,\"memory_mb\":\"1\"}]}",
    PL_BAD_REQUEST, "$.tasks[0].memory_mb" },
  { CHECK_PATH, "{\"team\":\"blue\"}", PL_BAD_REQUEST, "$.input" },
  { CHECK_PATH, "{\"team\":\"blue\",\"input\":[]}", PL_BAD_REQUEST,
    "$.input.days" },
  { CHECK_PATH, "{\"team\":\"blue\",\"input\":{\"days\":[1,2,3,4,5,6,7,8,9]}}",
    PL_TOO_MANY_TASKS, "1 to 8" },
  { "/v1/services/agenda/none", "{\"team\":\"blue\"}", PL_UNKNOWN_SERVICE,
    "none" },
  { "/v1/services/agenda/", "{}", PL_NOT_FOUND, "" },
  { "/v1/services/agenda/check/x", "{}", PL_NOT_FOUND, "" },
};

static void
test_bad_bodies (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_bodies); i++)
    {
      const struct bad_body *bad_body = &bad_bodies[i];
      struct job_req *req = parse_bytes (bad_body->path, bad_body->body,
                                         strlen (bad_body->body));
      if (req->parse_err.code != bad_body->code)
        printf ("%s: %d %s\n", bad_body->body, req->parse_err.code,
                req->parse_err.text);
      CU_ASSERT_EQUAL (req->parse_err.code, bad_body->code);
      CU_ASSERT_PTR_NOT_NULL (strstr (req->parse_err.text, bad_body->text));
      CU_ASSERT (req->n_tasks == 0 && req->tasks == NULL);
      CU_ASSERT_PTR_NULL (req->service);
      job_req_unref (req);
    }
}

static void
test_limits (void)
{
  struct job_req *req = job_req_parse (pl_str ("key"), pl_str (JOBS_PATH),
                                       pl_str (GOOD_BODY), &limits, NULL);
  CU_ASSERT_EQUAL (req->parse_err.code, PL_NOT_READY);
  job_req_unref (req);
  char *body = g_malloc0 (65537);
  memset (body, '[', 65537);
  req = parse_bytes (JOBS_PATH, body, 65537);
  CU_ASSERT_EQUAL (req->parse_err.code, PL_BODY_TOO_LARGE);
  job_req_unref (req);
  req = parse_bytes (JOBS_PATH, body, 65536);
  CU_ASSERT_EQUAL (req->parse_err.code, PL_BAD_JSON);
  job_req_unref (req);
  /* A null byte after the object; a text that ended there would be valid.  */
  memcpy (body, GOOD_BODY, sizeof GOOD_BODY);
  req = parse_bytes (JOBS_PATH, body, sizeof GOOD_BODY);
  CU_ASSERT_EQUAL (req->parse_err.code, PL_BAD_JSON);
  job_req_unref (req);
  g_free (body);
}

/* Fails unless the reply is one valid JSON object.  */
static json_t *
load_reply (struct job_reply *reply)
{
  gsize len;
  const char *data = g_bytes_get_data (reply->body, &len);
  json_t *root = json_loadb (data, len, JSON_REJECT_DUPLICATES, NULL);
  CU_ASSERT_FATAL (json_is_object (root));
  return root;
}

static void
test_replies (void)
{
  GBytes *answers[]
      = { g_bytes_new_static ("{\"a\": 1.10}", 11),
          g_bytes_new_static ("{\"a\"", 4), g_bytes_new_static ("\xff\0z", 3),
          g_bytes_new_static ("", 0) };
  struct job_reply *reply
      = job_reply_complete (pl_str ("k\"\xfe"), 12345, answers, 4);
  gsize len;
  const char *want
      = "{\"key\":\"k\\\"\xef\xbf\xbd\",\"code\":0,\"name\":\"OK\","
        "\"outcome\":\"complete\",\"response_ms\":12.345,"
        "\"answers\":[{\"a\": 1.10},\"{\\\"a\\\"\","
        "\"\xef\xbf\xbd\xef\xbf\xbdz\",\"\"]}";
  const char *got = g_bytes_get_data (reply->body, &len);
  CU_ASSERT (pl_str_eq ((struct pl_str){ got, len }, pl_str (want)));
  job_reply_unref (reply);
  for (unsigned i = 0; i < 4; i++)
    g_bytes_unref (answers[i]);

  enum job_task_state states[]
      = { JOB_TASK_RAN, JOB_TASK_NOT_RUN, JOB_TASK_MAYBE, JOB_TASK_RAN };
  reply = job_reply_error (pl_str ("k"), PL_FAILED_RAN, 250, "cut \xc3",
                           states, 4);
  want = "{\"key\":\"k\",\"code\":300,\"name\":\"FAILED_RAN\","
         "\"outcome\":\"failed\",\"resubmit\":\"no\",\"retry_after_ms\":250,"
         "\"ran\":[0,3],\"maybe\":[2],\"detail\":\"cut \xef\xbf\xbd\"}";
  got = g_bytes_get_data (reply->body, &len);
  CU_ASSERT (pl_str_eq ((struct pl_str){ got, len }, pl_str (want)));
  job_reply_unref (reply);
  reply = job_reply_error (pl_str ("k"), PL_QUOTA, 1, NULL, NULL, 0);
  json_t *root = load_reply (reply);
  CU_ASSERT (json_is_null (json_object_get (root, "detail")));
  json_decref (root);
  job_reply_unref (reply);
}

static void
mutate (GRand *rand, GString *body)
{
  static const char *const parts[] = { "\"",
                                       "{",
                                       "}",
                                       "[",
                                       "]",
                                       ",",
                                       ":",
                                       "\\u0000",
                                       "\\ud800",
                                       "\xff",
                                       "-0",
                                       "1e400",
                                       "9223372036854775808",
                                       "null",
                                       "\"tasks\":",
                                       "true" };
  for (int n = g_rand_int_range (rand, 1, 5); n > 0 && body->len > 1; n--)
    {
      gssize at = g_rand_int_range (rand, 0, (gint32)body->len);
      const char *part
          = parts[g_rand_int_range (rand, 0, G_N_ELEMENTS (parts))];
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          body->str[at] = (char)g_rand_int_range (rand, 0, 256);
          break;
        case 1:
          g_string_erase (body, at, 1);
          break;
        case 2:
          g_string_insert (body, at, part);
          break;
        default:
          g_string_truncate (body, (gsize)at);
        }
    }
}

/* Guards against a crash or a half-parsed request on damaged bodies; meant to
   run under AddressSanitizer as well.  */
static void
test_mutations (void)
{
  GRand *rand = g_rand_new_with_seed (4711);
  for (unsigned i = 0; i < 6000; i++)
    {
      GString *body
          = g_string_new (bad_bodies[i % G_N_ELEMENTS (bad_bodies)].body);
      if (i % 2 == 0)
        g_string_assign (body, GOOD_BODY);
      mutate (rand, body);
      struct job_req *req = parse_bytes (i % 3 == 0 ? CHECK_PATH : JOBS_PATH,
                                         body->str, body->len);
      CU_ASSERT ((req->parse_err.code == PL_OK) == (req->n_tasks > 0));
      struct job_reply *reply = job_reply_error (
          pl_str ("k"), req->parse_err.code, 0, req->parse_err.text, NULL, 0);
      json_decref (load_reply (reply));
      job_reply_unref (reply);
      job_req_unref (req);
      g_string_free (body, TRUE);
    }
  g_rand_free (rand);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "good bodies", test_good_bodies }, { "bad bodies", test_bad_bodies },
    { "limits", test_limits },           { "replies", test_replies },
    { "mutations", test_mutations },     CU_TEST_INFO_NULL,
  };
  return test_run ("job", tests);
}
