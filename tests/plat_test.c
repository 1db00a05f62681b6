/* Tests of lib/plat against a stand-in for the platform's store, which runs in
   this process.  */
#include "plat.h"
#include "plat_sink.h"
#include "standin/standin-platform/server.h"
#include "test.h"

#include <string.h>

#define PLAT_HEAD_KEY "papayaloft/head"

static struct standin *standin;
static char url[64];

static void
start_store (void)
{
  struct pl_err err = { 0 };
  struct pl_addr addr = { .ip = 0x7f280002 }; /* 127.40.0.2 */
  standin = standin_new (addr, NULL, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (standin);
  g_snprintf (url, sizeof url, "http://127.40.0.2:%u", standin_port (standin));
}

static void
set_fault (const char *mode, int ms, int count)
{
  CU_ASSERT (standin_set_fault (standin, mode, ms, count));
}

static struct plat *
connect_store (void)
{
  struct pl_err err = { 0 };
  struct plat *plat = plat_etcd_new (url, 1000, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (plat);
  return plat;
}

static void
stop_store (struct plat *plat)
{
  if (plat != NULL)
    plat->ops->free (plat);
  standin_free (standin);
}

/* A note that adds one team.  TAG and BASE make its id and team unique.  */
static char *
note_text (int64_t base, const char *tag)
{
  return g_strdup_printf ("{\"id\":\"%s-%lld\",\"base\":%lld,\"added\":{"
                          "\"teams\":[{\"name\":\"%s-%lld\",\"weight\":1}]}}",
                          tag, (long long)base, (long long)base, tag,
                          (long long)base);
}

static enum pl_code
apply_note (struct plat *plat, int64_t base, const char *tag,
            int64_t *revision)
{
  struct pl_err err = { 0 };
  g_autofree char *note = note_text (base, tag);
  bool ok = plat_apply_note (plat, pl_str (note), revision, &err);
  return ok ? PL_OK : err.code;
}

static void
apply_notes (struct plat *plat, int64_t first_base, int64_t last_revision)
{
  int64_t revision;
  for (int64_t i = first_base; i < last_revision; i++)
    CU_ASSERT_EQUAL (apply_note (plat, i, "t", &revision), PL_OK);
  CU_ASSERT_EQUAL (revision, last_revision);
}

static void
test_apply_and_load (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  struct pl_err err = { 0 };
  struct note_conf *conf;
  int64_t revision;
  CU_ASSERT (plat_load_conf (plat, &conf, &revision, NULL, &err));
  CU_ASSERT_PTR_NULL (conf);
  apply_notes (plat, 0, 70);
  CU_ASSERT (plat_load_conf (plat, &conf, &revision, NULL, &err));
  CU_ASSERT_EQUAL (revision, 70);
  CU_ASSERT_EQUAL (conf->n_teams, 70);
  pl_shared_unref (&conf->base);
  GBytes *note = plat_read_note (plat, 33, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (note);
  g_bytes_unref (note);
  CU_ASSERT_PTR_NULL (plat_read_note (plat, 71, &err));
  CU_ASSERT_EQUAL (err.code, PL_NOT_FOUND);
  /* A note on an old base is told the revision in force.  */
  CU_ASSERT_EQUAL (apply_note (plat, 69, "other", &revision),
                   PL_NOTE_CONFLICT);
  CU_ASSERT_EQUAL (revision, 70);
  CU_ASSERT_EQUAL (apply_note (plat, 71, "t", &revision), PL_NOTE_CONFLICT);
  /* A note that is sent again is reported as accepted, with its revision.  */
  CU_ASSERT_EQUAL (apply_note (plat, 50, "t", &revision), PL_OK);
  CU_ASSERT_EQUAL (revision, 51);
  CU_ASSERT_FALSE (
      plat_apply_note (plat,
                       pl_str ("{\"id\":\"x\",\"base\":70,\"withdrawn\":{"
                               "\"teams\":[\"nobody\"]}}"),
                       &revision, &err));
  CU_ASSERT_EQUAL (err.code, PL_NOTE_INVALID);
  stop_store (plat);
}

static char *
large_note (void)
{
  GString *text = g_string_new ("{\"id\":\"large\",\"base\":0,\"added\":{"
                                "\"workers\":[");
  for (int i = 0; i < 6300; i++)
    g_string_append_printf (
        text,
        "%s{\"address\":\"10.%d.%d.1:8000\",\"domain\":\"domain-%d\","
        "\"rack\":\"rack-%d\",\"slots\":8,\"memory_mb\":130000}",
        i == 0 ? "" : ",", i / 252, i % 252, i / 252, i / 6);
  g_string_append (text, "]}}");
  return g_string_free (text, FALSE);
}

static unsigned
count_workers (struct plat *plat)
{
  struct note_conf *conf = NULL;
  struct pl_err err = { 0 };
  int64_t revision;
  CU_ASSERT (plat_load_conf (plat, &conf, &revision, NULL, &err));
  unsigned n = conf == NULL ? 0 : conf->n_workers;
  pl_shared_unref ((struct pl_shared *)conf);
  return n;
}

/* A snapshot that does not fit in the note's transaction is written in chunks
   after it.  One with chunks of different revisions must be detected and the
   notes read instead.  */
static void
test_chunks (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  struct pl_err err = { 0 };
  int64_t revision;
  g_autofree char *note = large_note ();
  CU_ASSERT (plat_apply_note (plat, pl_str (note), &revision, &err));
  CU_ASSERT_EQUAL (standin_get_stat (standin, "writes"), 3);
  int64_t calls = standin_get_stat (standin, "range");
  CU_ASSERT_EQUAL (count_workers (plat), 6300);
  /* The head and two chunks, but no note.  */
  CU_ASSERT_EQUAL (standin_get_stat (standin, "range") - calls, 3);
  struct plat_value chunk;
  CU_ASSERT (plat->ops->get (plat, "papayaloft/snapshot/0", &chunk, &err));
  CU_ASSERT (g_bytes_get_size (chunk.value) < 512UL * 1024);
  struct plat_put put
      = { .key = "papayaloft/snapshot/1", .value = chunk.value };
  int64_t mod_rev;
  CU_ASSERT (plat_read_head (plat, &revision, &mod_rev, &err));
  CU_ASSERT_EQUAL (
      plat->ops->txn (plat, "papayaloft/head", mod_rev, &put, 1, &err),
      PLAT_TXN_DONE);
  g_bytes_unref (chunk.value);
  CU_ASSERT_EQUAL (count_workers (plat), 6300);
  CU_ASSERT_EQUAL (standin_get_stat (standin, "range") - calls, 9);
  /* The next note repairs the snapshot.  */
  apply_notes (plat, 1, 2);
  calls = standin_get_stat (standin, "range");
  CU_ASSERT_EQUAL (count_workers (plat), 6300);
  CU_ASSERT_EQUAL (standin_get_stat (standin, "range") - calls, 3);
  stop_store (plat);
}

struct racer
{
  const char *tag;
  int wins;
  int losses;
  int64_t named_winner; /* conflicts that gave a newer revision */
};

static void *
apply_racing (void *user)
{
  struct racer *racer = user;
  struct plat *plat = connect_store ();
  for (int64_t base = 0; base < 40;)
    {
      int64_t revision;
      enum pl_code code = apply_note (plat, base, racer->tag, &revision);
      racer->wins += code == PL_OK;
      racer->losses += code == PL_NOTE_CONFLICT;
      racer->named_winner += code == PL_NOTE_CONFLICT && revision > base;
      if (code != PL_OK && code != PL_NOTE_CONFLICT)
        break;
      /* The loser goes on from the accepted revision, so that both race for
         the same base again.  */
      base = MAX (base + 1, revision);
    }
  plat->ops->free (plat);
  return NULL;
}

static void
test_racing_applies (void)
{
  start_store ();
  struct racer a = { .tag = "a" };
  struct racer b = { .tag = "b" };
  GThread *other = g_thread_new ("racer", apply_racing, &b);
  apply_racing (&a);
  g_thread_join (other);
  CU_ASSERT_EQUAL (a.wins + b.wins, 40);
  CU_ASSERT (a.losses + b.losses > 0);
  CU_ASSERT_EQUAL (a.named_winner + b.named_winner, a.losses + b.losses);
  struct plat *plat = connect_store ();
  struct note_conf *conf;
  struct pl_err err = { 0 };
  int64_t revision;
  CU_ASSERT_FATAL (plat_load_conf (plat, &conf, &revision, NULL, &err));
  CU_ASSERT_EQUAL (revision, 40);
  CU_ASSERT_EQUAL (conf->n_teams, 40);
  pl_shared_unref (&conf->base);
  stop_store (plat);
}

/* Guards against a note that is reported as not accepted, or applied twice,
   because the answer to its transaction was lost after it took effect.  */
static void
test_lost_answers (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  int64_t revision;
  for (int64_t i = 0; i < 10; i++)
    {
      set_fault ("lose_answer", 0, (int)(i % 3) + 1);
      CU_ASSERT_EQUAL (apply_note (plat, i, "t", &revision), PL_OK);
      CU_ASSERT_EQUAL (revision, i + 1);
      set_fault ("none", 0, 0);
    }
  CU_ASSERT_EQUAL (standin_get_stat (standin, "writes"), 10);
  stop_store (plat);
}

static void
test_store_faults (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  int64_t revision;
  int64_t mod_rev;
  struct pl_err err = { 0 };
  apply_notes (plat, 0, 1);
  set_fault ("down", 0, 0);
  CU_ASSERT_EQUAL (apply_note (plat, 1, "t", &revision), PL_STORE_UNAVAILABLE);
  set_fault ("garbage", 0, 0);
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_FALSE (plat_read_head (plat, &revision, &mod_rev, &err));
      CU_ASSERT_EQUAL (err.code, PL_STORE_PROTOCOL);
    }
  set_fault ("slow", 1500, 1);
  CU_ASSERT_FALSE (plat_read_head (plat, &revision, &mod_rev, &err));
  CU_ASSERT_EQUAL (err.code, PL_STORE_UNAVAILABLE);
  set_fault ("slow", 20, 0);
  apply_notes (plat, 1, 2);
  set_fault ("none", 0, 0);
  CU_ASSERT_EQUAL (standin_get_stat (standin, "writes"), 2);
  stop_store (plat);
}

static void *
apply_later (void *user)
{
  (void)user;
  for (int i = 0; i < 500 && standin_get_stat (standin, "watches") == 0; i++)
    g_usleep (2000);
  struct plat *plat = connect_store ();
  apply_notes (plat, 1, 2);
  plat->ops->free (plat);
  return NULL;
}

/* Guards against a watch that always fails, or misses a change, after the
   store has compacted its events.  */
static void
test_watch_after_compaction (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  struct pl_err err = { 0 };
  int64_t revision;
  int64_t mod_rev;
  apply_notes (plat, 0, 1);
  CU_ASSERT (plat_read_head (plat, &revision, &mod_rev, &err));
  struct plat_put put
      = { .key = "other", .value = g_bytes_new_static ("x", 1) };
  for (int i = 0; i < 3; i++)
    plat->ops->txn (plat, PLAT_HEAD_KEY, mod_rev, &put, 1, &err);
  standin_compact_store (standin);
  GThread *later = g_thread_new ("later", apply_later, NULL);
  int64_t before = g_get_monotonic_time ();
  CU_ASSERT (plat->ops->wait (plat, PLAT_HEAD_KEY, mod_rev, 2000, &err));
  CU_ASSERT (g_get_monotonic_time () - before < 1500000);
  g_thread_join (later);
  standin_compact_store (standin);
  /* The change itself is compacted, and is found by reading the key.  */
  CU_ASSERT (plat->ops->wait (plat, PLAT_HEAD_KEY, mod_rev, 2000, &err));
  CU_ASSERT (plat_read_head (plat, &revision, &mod_rev, &err));
  CU_ASSERT_EQUAL (revision, 2);
  g_bytes_unref (put.value);
  stop_store (plat);
}

static void
await_first_watch (void)
{
  for (int i = 0; i < 500 && standin_get_stat (standin, "watches") == 0; i++)
    g_usleep (2000);
  CU_ASSERT (standin_get_stat (standin, "watches") > 0);
}

static void
test_feed_follows (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  apply_notes (plat, 0, 3);
  struct feed_owner feed_owner;
  feed_owner_start (&feed_owner, url);
  CU_ASSERT (await_count (&feed_owner, &feed_owner.applied, 3, 2000));
  plat_feed_set_watching (feed_owner.feed, true);
  await_first_watch ();
  apply_notes (plat, 3, 6);
  /* Well under the poll period of 10 s.  */
  CU_ASSERT (await_count (&feed_owner, &feed_owner.applied, 6, 2000));
  static const char leaving[] = "{\"address\":\"10.0.0.1:80\",\"domain\":"
                                "\"d\",\"state\":\"leaving\","
                                "\"role\":\"worker\"}";
  struct plat_put put
      = { .key = "platform/instances/w1",
          .value = g_bytes_new_static (leaving, sizeof leaving - 1) };
  struct pl_err err = { 0 };
  CU_ASSERT_EQUAL (
      plat->ops->txn (plat, "platform/instances/w1", 0, &put, 1, &err),
      PLAT_TXN_DONE);
  CU_ASSERT (await_count (&feed_owner, &feed_owner.leaving, 1, 2000));
  g_bytes_unref (put.value);
  feed_owner_stop (&feed_owner);
  CU_ASSERT_EQUAL (feed_owner.bad + feed_owner.stale + feed_owner.snapshot, 0);
  CU_ASSERT_EQUAL (feed_owner.up, 1);
  stop_store (plat);
}

/* Guards against a new feed that reads thousands of notes one by one.  */
static void
test_feed_reads_snapshot (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  apply_notes (plat, 0, 70);
  int64_t calls = standin_get_stat (standin, "range");
  struct feed_owner feed_owner;
  feed_owner_start (&feed_owner, url);
  CU_ASSERT (await_count (&feed_owner, &feed_owner.applied, 7, 2000));
  CU_ASSERT_EQUAL (feed_owner.snapshot, 1);
  CU_ASSERT_EQUAL (note_history_revision (feed_owner.history), 70);
  CU_ASSERT (standin_get_stat (standin, "range") - calls < 30);
  feed_owner_stop (&feed_owner);
  CU_ASSERT_EQUAL (feed_owner.bad + feed_owner.stale, 0);
  stop_store (plat);
}

/* Guards against a configuration that goes back to an older revision or is
   damaged because the store is down, answers garbage or old states, or repeats
   events.  */
static void
test_feed_survives_faults (void)
{
  start_store ();
  struct plat *plat = connect_store ();
  apply_notes (plat, 0, 5);
  struct feed_owner feed_owner;
  feed_owner_start (&feed_owner, url);
  plat_feed_set_watching (feed_owner.feed, true);
  CU_ASSERT (await_count (&feed_owner, &feed_owner.applied, 5, 2000));
  await_first_watch ();
  static const char *const modes[] = { "rewind", "stale", "garbage", "down" };
  for (int i = 0; i < 4; i++)
    {
      set_fault (modes[i], 0, 0);
      g_usleep (150000);
      CU_ASSERT_EQUAL (note_history_revision (feed_owner.history), 5 + i);
      set_fault ("none", 0, 0);
      apply_notes (plat, 5 + i, 6 + i);
      CU_ASSERT (await_count (&feed_owner, &feed_owner.applied, 6 + i, 3000));
    }
  CU_ASSERT (await_count (&feed_owner, &feed_owner.up, 2, 1000));
  feed_owner_stop (&feed_owner);
  CU_ASSERT_EQUAL (feed_owner.bad + feed_owner.stale, 0);
  CU_ASSERT_EQUAL (feed_owner.up, feed_owner.down + 1);
  stop_store (plat);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "apply and load", test_apply_and_load },
    { "snapshot in chunks", test_chunks },
    { "racing applies", test_racing_applies },
    { "lost answers", test_lost_answers },
    { "store faults", test_store_faults },
    { "watch after compaction", test_watch_after_compaction },
    { "feed follows", test_feed_follows },
    { "feed reads snapshot", test_feed_reads_snapshot },
    { "feed survives faults", test_feed_survives_faults },
    CU_TEST_INFO_NULL,
  };
  pl_log_init ("text", "error");
  return test_run ("plat", tests);
}
