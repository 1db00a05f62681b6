/* Tests of lib/note: validation errors and their paths, applying notes,
   snapshots, and the order in which revisions are put in force.  */
#include "note.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

#define KIND(name)                                                            \
  "{\"name\":\"" name "\",\"repeatable\":true,\"fan_out\":\"boards\","        \
  "\"max_tasks\":390,\"deadline_ms\":1000}"
#define SERVICE(name, kinds) "{\"name\":\"" name "\",\"kinds\":[" kinds "]}"
#define TEAM(name, weight)                                                    \
  "{\"name\":\"" name "\",\"weight\":" weight ",\"max_slots\":5}"
#define WORKER(address, slots)                                                \
  "{\"address\":\"" address "\",\"domain\":\"brum\",\"rack\":\"r1\","         \
  "\"slots\":" slots ",\"memory_mb\":130000}"
#define ADDED(section, items) "\"added\":{\"" section "\":[" items "]}"
#define NOTE(base, rest) "{\"id\":\"n-1\",\"base\":" base "," rest "}"

#define KINDS KIND ("layout-preview") "," KIND ("price-check")
#define TEAMS TEAM ("a", "1") "," TEAM ("b", "2")
#define WORKERS WORKER ("10.0.0.1:80", "8") "," WORKER ("10.0.0.2:80", "8")
static const char first[]
    = "{\"id\":\"n-1\",\"base\":0,\"comment\":\"first\",\"added\":{"
      "\"services\":[" SERVICE ("board-orders",
                                KINDS) "],"
                                       "\"teams\":[" TEAMS
                                       "],\"workers\":[" WORKERS "]}}";
static const char second[]
    = "{\"id\":\"n-2\",\"base\":1,\"changed\":{"
      "\"teams\":[" TEAM (
          "a",
          "7") "],"
               "\"workers\":[" WORKER (
                   "10.0.0.1:80",
                   "4") "]},"
                        "\"added\":{\"workers\":[{\"address\":\"10.1.0.1:80\","
                        "\"domain\":\"potteries\",\"rack\":\"r9\",\"slots\":8,"
                        "\"memory_mb\":5}]},"
                        "\"withdrawn\":{\"teams\":[\"b\"],\"workers\":[\"10.0."
                        "0.2:80\"]}}";

static struct note_conf *
apply (const char *note, const struct note_conf *base, int64_t revision)
{
  struct pl_err err = { 0 };
  struct note_conf *conf = note_apply (pl_str (note), base, revision, &err);
  if (conf == NULL)
    fprintf (stderr, "%s\n", err.text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (conf);
  return conf;
}

static const struct
{
  const char *note;
  const char *error; /* its start: path, then perhaps the rule */
} invalid_notes[] = {
  { "{", "$: not valid JSON" },
  { "[]", "$: must be an object" },
  { "{\"id\":\"n\",\"id\":\"n\",\"base\":1}", "$: not valid JSON" },
  { "{\"base\":1}", "$.id: " },
  { "{\"id\":\"\",\"base\":1}", "$.id: " },
  { "{\"id\":\"a b\",\"base\":1}", "$.id: " },
  { "{\"id\":\"n\"}", "$.base: " },
  { "{\"id\":\"n\",\"base\":\"1\"}", "$.base: " },
  { "{\"id\":\"n\",\"base\":2}", "$.base: must be the revision in force, 1" },
  { NOTE ("1", "\"comment\":7"), "$.comment: " },
  { NOTE ("1", "\"extra\":7"), "$.extra: unknown member" },
  { NOTE ("1", "\"added\":[]"), "$.added: must be an object" },
  { NOTE ("1", "\"added\":{\"x\":[]}"), "$.added.x: unknown member" },
  { NOTE ("1", "\"added\":{\"teams\":{}}"), "$.added.teams: must be a list" },
  { NOTE ("1", ADDED ("teams", "7")), "$.added.teams[0]: must be an object" },
  { NOTE ("1", ADDED ("teams", TEAM ("C", "1"))), "$.added.teams[0].name: " },
  { NOTE ("1", ADDED ("teams", TEAM ("", "1"))), "$.added.teams[0].name: " },
  { NOTE ("1", ADDED ("teams", TEAM ("c", "0"))),
    "$.added.teams[0].weight: must be a whole number from 1 to 1000" },
  { NOTE ("1", ADDED ("teams", TEAM ("c", "1001"))),
    "$.added.teams[0].weight: " },
  { NOTE ("1", ADDED ("teams", TEAM ("c", "1.5"))),
    "$.added.teams[0].weight: " },
  { NOTE ("1",
          ADDED ("teams", "{\"name\":\"c\",\"weight\":1,\"max_slots\":-1}")),
    "$.added.teams[0].max_slots: " },
  { NOTE ("1", ADDED ("teams", "{\"name\":\"c\",\"weight\":1,\"x\":1}")),
    "$.added.teams[0].x: unknown member" },
  { NOTE ("1", ADDED ("teams", TEAM ("a", "1"))),
    "$.added.teams[0]: exists already" },
  { NOTE ("1", ADDED ("teams", TEAM ("c", "1") "," TEAM ("c", "2"))),
    "$.added.teams[1]: occurs twice" },
  { NOTE ("1", ADDED ("workers", WORKER ("10.0.0.9", "8"))),
    "$.added.workers[0].address: " },
  { NOTE ("1", ADDED ("workers", WORKER ("10.0.0.256:80", "8"))),
    "$.added.workers[0].address: " },
  { NOTE ("1", ADDED ("workers", WORKER ("10.0.0.9:0", "8"))),
    "$.added.workers[0].address: " },
  { NOTE ("1", ADDED ("workers", WORKER ("10.0.0.9:80", "0"))),
    "$.added.workers[0].slots: must be a whole number from 1 to 1024" },
  { NOTE ("1", ADDED ("workers", WORKER ("10.0.0.9:80", "1025"))),
    "$.added.workers[0].slots: " },
  { NOTE ("1", ADDED ("workers", WORKER ("10.0.0.2:080", "8"))),
    "$.added.workers[0]: exists already" },
  { NOTE ("1", ADDED ("workers", "{\"address\":\"10.0.0.9:80\",\"domain\":"
                                 "\"X\"}")),
    "$.added.workers[0].domain: " },
  { NOTE ("1", ADDED ("workers", "{\"address\":\"10.0.0.9:80\",\"domain\":"
                                 "\"x\"}")),
    "$.added.workers[0].rack: " },
  { NOTE ("1", ADDED ("workers", "{\"address\":\"10.0.0.9:80\",\"domain\":"
                                 "\"x\",\"rack\":\"r\",\"slots\":8,"
                                 "\"memory_mb\":0}")),
    "$.added.workers[0].memory_mb: " },
  { NOTE ("1", ADDED ("workers", "{\"address\":\"10.0.0.9:80\","
                                 "\"added_revision\":1}")),
    "$.added.workers[0].added_revision: unknown member" },
  { NOTE ("1", ADDED ("services", SERVICE ("s", ""))),
    "$.added.services[0].kinds: " },
  { NOTE ("1", ADDED ("services", SERVICE ("s", "{}"))),
    "$.added.services[0].kinds[0].name: " },
  { NOTE ("1", ADDED ("services", SERVICE ("s", KIND ("k") "," KIND ("k")))),
    "$.added.services[0].kinds[1]: names a kind twice" },
  { NOTE ("1", ADDED ("services", SERVICE ("s", "{\"name\":\"k\"}"))),
    "$.added.services[0].kinds[0].repeatable: " },
  { NOTE ("1", ADDED ("services", SERVICE ("s", "{\"name\":\"k\","
                                                "\"repeatable\":true,"
                                                "\"fan_out\":\"\"}"))),
    "$.added.services[0].kinds[0].fan_out: " },
  { NOTE ("1", ADDED ("services", SERVICE ("s", "{\"name\":\"k\","
                                                "\"repeatable\":true,"
                                                "\"max_tasks\":0}"))),
    "$.added.services[0].kinds[0].max_tasks: " },
  { NOTE ("1", ADDED ("services",
                      SERVICE ("s", "{\"name\":\"k\",\"repeatable\":true,"
                                    "\"max_tasks\":1,\"deadline_ms\":0}"))),
    "$.added.services[0].kinds[0].deadline_ms: " },
  { NOTE ("1", "\"changed\":{\"teams\":[" TEAM ("c", "1") "]}"),
    "$.changed.teams[0]: does not exist" },
  { NOTE ("1", "\"withdrawn\":{\"workers\":[\"10.0.0.9:80\"]}"),
    "$.withdrawn.workers[0]: does not exist" },
  { NOTE ("1", "\"withdrawn\":{\"workers\":[7]}"),
    "$.withdrawn.workers[0]: must be an address" },
  { NOTE ("1", ADDED ("evacuations", "{\"domain\":\"X\"}")),
    "$.added.evacuations[0].domain: " },
  { NOTE ("1", ADDED ("evacuations", "{\"domain\":\"x\",\"until\":1}")),
    "$.added.evacuations[0].until: unknown member" },
  { NOTE ("1", "\"withdrawn\":{\"evacuations\":[\"x\"]}"),
    "$.withdrawn.evacuations[0]: does not exist" },
  { NOTE ("1", "\"withdrawn\":{\"teams\":[\"a\",\"a\"]}"),
    "$.withdrawn.teams[1]: occurs twice" },
  { NOTE ("1", "\"changed\":{\"teams\":[" TEAM (
                   "a", "3") "]},"
                             "\"withdrawn\":{\"teams\":[\"a\"]}"),
    "$.withdrawn.teams[0]: occurs twice" },
};

static void
test_errors (void)
{
  struct note_conf *base = apply (first, NULL, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_notes); i++)
    {
      struct pl_err err = { 0 };
      CU_ASSERT_FALSE (
          note_validate (pl_str (invalid_notes[i].note), base, &err));
      CU_ASSERT_EQUAL (err.code, PL_NOTE_INVALID);
      if (strncmp (err.text, invalid_notes[i].error,
                   strlen (invalid_notes[i].error))
          != 0)
        {
          fprintf (stderr, "%s\n  gives '%s', not '%s'\n",
                   invalid_notes[i].note, err.text, invalid_notes[i].error);
          CU_FAIL ("path or rule differs");
        }
    }
  pl_shared_unref (&base->base);
}

static void
test_size_limit (void)
{
  g_autofree char *big = g_strdup_printf ("%-*s", NOTE_MAX_BYTES + 1,
                                          "{\"id\":\"n\",\"base\":0}");
  struct pl_err err = { 0 };
  struct pl_str text = { .data = big, .len = NOTE_MAX_BYTES };
  CU_ASSERT (note_validate (text, NULL, &err));
  text.len++;
  CU_ASSERT_FALSE (note_validate (text, NULL, &err));
  CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "$: must have at most"));
}

static struct pl_addr
parse_addr (const char *text)
{
  struct pl_addr out = { 0 };
  CU_ASSERT (pl_addr_parse (pl_str (text), &out));
  return out;
}

static void
test_apply (void)
{
  struct note_conf *one = apply (first, NULL, 1);
  struct note_conf *two = apply (second, one, 2);
  CU_ASSERT_EQUAL (two->revision, 2);
  CU_ASSERT_EQUAL (two->n_workers, 2);
  CU_ASSERT_EQUAL (note_find_team (two, "a")->weight, 7);
  CU_ASSERT_PTR_NULL (note_find_team (two, "b"));
  CU_ASSERT_PTR_NOT_NULL (note_find_team (one, "b"));
  const struct note_worker *changed
      = note_find_worker (two, parse_addr ("10.0.0.1:80"));
  CU_ASSERT_EQUAL (changed->slots, 4);
  CU_ASSERT_EQUAL (changed->added_revision, 1);
  const struct note_worker *added
      = note_find_worker (two, parse_addr ("10.1.0.1:80"));
  CU_ASSERT_EQUAL (added->added_revision, 2);
  CU_ASSERT_STRING_EQUAL (added->domain, "potteries");
  CU_ASSERT_PTR_NULL (note_find_worker (two, parse_addr ("10.0.0.2:80")));
  CU_ASSERT_EQUAL (
      note_find_kind (two, "board-orders", "price-check")->max_tasks, 390);
  CU_ASSERT_PTR_NULL (note_find_kind (two, "board-orders", "x"));
  CU_ASSERT_PTR_NULL (note_find_kind (two, "x", "price-check"));
  pl_shared_unref (&one->base);
  /* Strings that both revisions share must outlive the former one.  */
  CU_ASSERT_STRING_EQUAL (changed->domain, "brum");
  pl_shared_unref (&two->base);
}

static void
test_snapshot (void)
{
  struct note_conf *conf = apply (first, NULL, 1);
  char *text = note_conf_to_json (conf);
  struct pl_err err = { 0 };
  struct note_conf *copy = note_conf_from_json (pl_str (text), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (copy);
  char *copy_text = note_conf_to_json (copy);
  CU_ASSERT_STRING_EQUAL (text, copy_text);
  CU_ASSERT (copy != NULL && copy->n_workers == 2);
  pl_shared_unref ((struct pl_shared *)copy);
  /* Each proper prefix of a snapshot is refused, not read as a smaller one. */
  for (size_t len = 0; len < strlen (text); len++)
    {
      struct pl_str part = { .data = text, .len = len };
      CU_ASSERT_PTR_NULL (note_conf_from_json (part, &err));
    }
  free (text);
  free (copy_text);
  pl_shared_unref (&conf->base);
}

/* Guards against crashes and half-applied configurations on damaged notes.  */
static void
test_mutations (void)
{
  GRand *rand = g_rand_new_with_seed (4711);
  struct note_conf *base = apply (first, NULL, 1);
  static const char chars[] = "{}[]\",:0123456789-.eabn\\u \n\x80\xff";
  int accepted = 0;
  for (int i = 0; i < 6000; i++)
    {
      const char *source
          = invalid_notes[g_rand_int_range (rand, 0,
                                            (int)G_N_ELEMENTS (invalid_notes))]
                .note;
      g_autoptr (GString) text = g_string_new (i % 2 == 0 ? source : first);
      for (int n = g_rand_int_range (rand, 1, 4); n > 0 && text->len > 1; n--)
        {
          gsize offset = (gsize)g_rand_int_range (rand, 0, (int)text->len);
          int mutation = g_rand_int_range (rand, 0, 3);
          char c = chars[g_rand_int_range (rand, 0, sizeof chars - 1)];
          if (mutation == 0)
            text->str[offset] = c;
          else if (mutation == 1)
            g_string_erase (text, (gssize)offset, 1);
          else
            g_string_insert_c (text, (gssize)offset, c);
        }
      struct pl_err err = { 0 };
      struct pl_str note = { .data = text->str, .len = text->len };
      const struct note_conf *target = i % 2 == 0 ? base : NULL;
      struct note_conf *conf = note_apply (note, target, 2, &err);
      CU_ASSERT_EQUAL (conf != NULL, note_validate (note, target, NULL));
      CU_ASSERT (conf != NULL || err.text[0] != '\0');
      accepted += conf != NULL;
      if (conf != NULL)
        pl_shared_unref (&conf->base);
      conf = note_conf_from_json (note, &err);
      CU_ASSERT_PTR_NULL (conf);
    }
  CU_ASSERT (accepted > 0);
  pl_shared_unref (&base->base);
  g_rand_free (rand);
}

static char *
small_note (int base)
{
  return g_strdup_printf ("{\"id\":\"n-%d\",\"base\":%d,\"added\":{\"teams\":"
                          "[{\"name\":\"t%d\",\"weight\":1}]}}",
                          base + 1, base, base + 1);
}

static enum note_offer_result
offer (struct note_history *history, int revision)
{
  g_autofree char *note = small_note (revision - 1);
  return note_history_offer (history, revision, pl_str (note), "store", NULL);
}

/* Guards against a configuration that goes back to an older revision or skips
   a note.  */
static void
test_history (void)
{
  struct pl_rcu_ptr conf_ptr = { 0 };
  struct note_history *history = note_history_new (&conf_ptr);
  CU_ASSERT_EQUAL (offer (history, 2), NOTE_GAP);
  for (int i = 1; i <= 70; i++)
    CU_ASSERT_EQUAL (offer (history, i), NOTE_APPLIED);
  CU_ASSERT_EQUAL (offer (history, 70), NOTE_STALE);
  CU_ASSERT_EQUAL (offer (history, 3), NOTE_STALE);
  CU_ASSERT_EQUAL (offer (history, 72), NOTE_GAP);
  CU_ASSERT_EQUAL (
      note_history_offer (history, 71, pl_str ("{}"), "peer", NULL), NOTE_BAD);
  CU_ASSERT_EQUAL (note_history_revision (history), 70);
  CU_ASSERT_PTR_NULL (note_history_get (history, 6));
  CU_ASSERT_PTR_NOT_NULL (note_history_get (history, 7));
  CU_ASSERT_PTR_NULL (note_history_get (history, 71));
  struct note_conf *now = (struct note_conf *)pl_rcu_ptr_get (&conf_ptr);
  CU_ASSERT_EQUAL (now->revision, 70);
  CU_ASSERT_EQUAL (now->n_teams, 70);
  char *snapshot = note_conf_to_json (now);
  struct note_history *fresh = note_history_new (&conf_ptr);
  CU_ASSERT_EQUAL (
      note_history_offer_snapshot (fresh, pl_str (snapshot), "peer", NULL),
      NOTE_APPLIED);
  CU_ASSERT_EQUAL (
      note_history_offer_snapshot (fresh, pl_str (snapshot), "peer", NULL),
      NOTE_STALE);
  CU_ASSERT_EQUAL (
      note_history_offer_snapshot (fresh, pl_str ("{}"), "peer", NULL),
      NOTE_BAD);
  CU_ASSERT_EQUAL (offer (fresh, 71), NOTE_APPLIED);
  CU_ASSERT_EQUAL (
      note_history_offer_snapshot (fresh, pl_str (snapshot), "peer", NULL),
      NOTE_STALE);
  CU_ASSERT_EQUAL (note_history_revision (fresh), 71);
  CU_ASSERT_PTR_NULL (note_history_get (fresh, 70));
  free (snapshot);
  pl_shared_unref (&now->base);
  note_history_free (history);
  note_history_free (fresh);
  pl_shared_unref (conf_ptr.value);
}

static void *
apply_often (void *user)
{
  (void)user;
  for (int i = 0; i < 2000; i++)
    {
      struct note_conf *one = note_apply (pl_str (first), NULL, 1, NULL);
      struct note_conf *two = note_apply (pl_str (second), one, 2, NULL);
      pl_shared_unref ((struct pl_shared *)one);
      pl_shared_unref ((struct pl_shared *)two);
    }
  return NULL;
}

/* Guards against strings that are shared between the configurations of two
   threads: the platform thread parses snapshots while the control thread
   applies notes.  */
static void
test_apply_on_threads (void)
{
  GThread *other = g_thread_new ("apply", apply_often, NULL);
  apply_often (NULL);
  g_thread_join (other);
  struct note_conf *conf = apply (first, NULL, 1);
  CU_ASSERT_STRING_EQUAL (conf->workers[0].domain, "brum");
  pl_shared_unref (&conf->base);
}

static char *
full_note (void)
{
  GString *text = g_string_new ("{\"id\":\"full\",\"base\":0,\"added\":{"
                                "\"workers\":[");
  for (int i = 0; i < 6300; i++)
    g_string_append_printf (
        text,
        "%s{\"address\":\"10.%d.%d.%d:8000\",\"domain\":\"domain-%d\","
        "\"rack\":\"rack-%d\",\"slots\":8,\"memory_mb\":130000}",
        i == 0 ? "" : ",", i / 252, i / 200 % 200, i % 200, i / 252, i / 6);
  g_string_append (text, "],\"teams\":[");
  for (int i = 0; i < 650; i++)
    g_string_append_printf (text, "%s{\"name\":\"team-%d\",\"weight\":1}",
                            i == 0 ? "" : ",", i);
  g_string_append (text, "]}}");
  return g_string_free (text, FALSE);
}

/* At the target scale a small note must be applied in a few milliseconds; the
   bound leaves room for a busy machine and sanitizers.  */
static void
test_full_size (void)
{
  g_autofree char *note = full_note ();
  int64_t start = g_get_monotonic_time ();
  struct note_conf *conf = apply (note, NULL, 1);
  int64_t first_us = g_get_monotonic_time () - start;
  CU_ASSERT_EQUAL (conf->n_workers, 6300);
  CU_ASSERT_EQUAL (conf->n_teams, 650);
  int64_t best = INT64_MAX;
  for (int i = 0; i < 20; i++)
    {
      start = g_get_monotonic_time ();
      struct note_conf *next
          = apply (NOTE ("1", ADDED ("teams", TEAM ("extra", "1"))), conf, 2);
      best = MIN (best, g_get_monotonic_time () - start);
      pl_shared_unref (&next->base);
    }
  char *text = note_conf_to_json (conf);
  start = g_get_monotonic_time ();
  struct note_conf *copy = note_conf_from_json (pl_str (text), NULL);
  fprintf (stderr,
           "full note %lld us, small note %lld us, document %lld us "
           "%zu bytes\n",
           (long long)first_us, (long long)best,
           (long long)(g_get_monotonic_time () - start), strlen (text));
  CU_ASSERT (copy != NULL && copy->n_workers == 6300);
  CU_ASSERT (best < 20000);
  free (text);
  pl_shared_unref (&conf->base);
  pl_shared_unref ((struct pl_shared *)copy);
}

/* Guards against an evacuation that a restart of an instance forgets, and
   against snapshots that former builds can't read though nothing is evacuated.
 */
static void
test_evacuations_are_part_of_the_configuration (void)
{
  struct pl_err err = { 0 };
  struct note_conf *base = apply (
      NOTE ("0", ADDED ("evacuations", "{\"domain\":\"x\"}")), NULL, 1);
  char *text = note_conf_to_json (base);
  struct note_conf *read = note_conf_from_json (pl_str (text), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (read);
  CU_ASSERT_TRUE (note_is_evacuated (read, "x"));
  CU_ASSERT_FALSE (note_is_evacuated (read, "y"));
  CU_ASSERT_FALSE (note_is_evacuated (NULL, "x"));
  free (text);
  struct note_conf *ended
      = apply (NOTE ("1", "\"withdrawn\":{\"evacuations\":[\"x\"]}"), read, 2);
  CU_ASSERT_FALSE (note_is_evacuated (ended, "x"));
  text = note_conf_to_json (ended);
  CU_ASSERT_PTR_NULL (strstr (text, "evacuations"));
  free (text);
  pl_shared_unref (&base->base);
  pl_shared_unref (&read->base);
  pl_shared_unref (&ended->base);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "errors name the path", test_errors },
    { "size limit", test_size_limit },
    { "apply", test_apply },
    { "snapshot round trip", test_snapshot },
    { "mutated notes", test_mutations },
    { "applying on two threads", test_apply_on_threads },
    { "history never goes back", test_history },
    { "full size", test_full_size },
    { "evacuations are part of the configuration",
      test_evacuations_are_part_of_the_configuration },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("note", tests);
}
