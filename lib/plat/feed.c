/* The feed: a reader thread, which reads what is due from the store, and a
   watch thread, which waits for a change of the head and wakes the reader.  */
#include "list.h"
#include "snapshot.h"

#define CALL_TIMEOUT_MS 2000
#define HEAD_POLL_US 10000000
/* A watch is renewed after this time, so that a dead connection is noticed. */
#define WATCH_TIMEOUT_MS 10000
/* Missing notes above which a snapshot is read first.  */
#define SNAPSHOT_GAP 64
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

struct plat_feed
{
  gatomicrefcount refs;      /* the owner and the watch thread */
  struct plat *reader_plat;  /* used by the reader thread */
  struct plat *watcher_plat; /* used by the watch thread */
  struct plat_feed_ops *ops;
  int64_t list_poll_us;
  GThread *reader;

  GMutex lock; /* guards the members up to head_mod_rev */
  GCond cond;
  bool stop;
  bool watching;
  bool check_head;           /* the head may have changed */
  int64_t revision_in_force; /* at the feed's owner */
  /* Modification revision of the head when its notes were last read.  */
  int64_t head_mod_rev;

  /* Used by the reader thread only.  */
  int64_t delivered_revision; /* the latest revision passed to OPS */
  int64_t delivered_us;
  int reachable; /* -1: not known yet */
  int failures;
  int64_t head_due_us;
  int64_t list_due_us;
};

static int64_t
backoff_us (int failures)
{
  int ms = MIN (BACKOFF_MAX_MS, BACKOFF_MIN_MS << MIN (failures, 6));
  return g_random_int_range (MAX (BACKOFF_MIN_MS, ms / 2), ms + 1)
         * (int64_t)1000;
}

static int64_t
now_us (void)
{
  return pl_now_us (pl_clock_real ());
}

static bool
is_stopping (struct plat_feed *feed)
{
  g_mutex_lock (&feed->lock);
  bool stop = feed->stop;
  g_mutex_unlock (&feed->lock);
  return stop;
}

/* The revision after which notes are to be read.  A revision that was
   delivered but is not in force after a poll period was lost or refused by the
   owner, and is read again.  */
static int64_t
known_revision (struct plat_feed *feed)
{
  g_mutex_lock (&feed->lock);
  int64_t revision_in_force = feed->revision_in_force;
  g_mutex_unlock (&feed->lock);
  if (feed->delivered_revision > revision_in_force
      && now_us () - feed->delivered_us < HEAD_POLL_US)
    return feed->delivered_revision;
  return revision_in_force;
}

static void
set_delivered (struct plat_feed *feed, int64_t revision)
{
  feed->delivered_revision = revision;
  feed->delivered_us = now_us ();
}

static bool
read_snapshot (struct plat_feed *feed, int64_t *known, struct pl_err *err)
{
  GBytes *snapshot;
  if (!snapshot_read (feed->reader_plat, &snapshot, err))
    return false;
  if (snapshot == NULL)
    return true;
  struct pl_str text;
  text.data = g_bytes_get_data (snapshot, &text.len);
  struct note_conf *conf = note_conf_from_json (text, NULL);
  int64_t revision = conf == NULL ? 0 : conf->revision;
  if (conf != NULL)
    pl_shared_unref (&conf->base);
  if (revision > *known)
    {
      *known = revision;
      set_delivered (feed, revision);
      feed->ops->snapshot (feed->ops, snapshot);
    }
  g_bytes_unref (snapshot);
  return true;
}

/* Reads and delivers one note.  A note whose base is not the revision before
   it can only come from a faulty store.  */
static bool
read_note (struct plat_feed *feed, int64_t revision, struct pl_err *err)
{
  GBytes *note = plat_read_note (feed->reader_plat, revision, err);
  if (note == NULL)
    return false;
  struct pl_str text;
  struct note_head head = { 0 };
  text.data = g_bytes_get_data (note, &text.len);
  bool ok = note_read_head (text, &head, err);
  if (ok && head.base != revision - 1)
    ok = pl_fail (err, PL_STORE_PROTOCOL, "note %lld has base %lld",
                  (long long)revision, (long long)head.base);
  if (ok)
    {
      set_delivered (feed, revision);
      feed->ops->note (feed->ops, revision, note);
    }
  g_bytes_unref (note);
  return ok;
}

static bool
read_notes (struct plat_feed *feed, struct pl_err *err)
{
  int64_t head;
  int64_t mod_rev;
  if (!plat_read_head (feed->reader_plat, &head, &mod_rev, err))
    return false;
  int64_t known = known_revision (feed);
  if (head - known > SNAPSHOT_GAP && !read_snapshot (feed, &known, err))
    return false;
  for (int64_t next = known + 1; next <= head && !is_stopping (feed); next++)
    if (!read_note (feed, next, err))
      return false;
  /* Set only now that the notes are read, since the watch waits for changes
     after this head.  */
  g_mutex_lock (&feed->lock);
  feed->head_mod_rev = MAX (feed->head_mod_rev, mod_rev);
  g_mutex_unlock (&feed->lock);
  return true;
}

static bool
read_list (struct plat_feed *feed, struct pl_err *err)
{
  GArray *list = plat_read_instances (feed->reader_plat, err);
  if (list == NULL)
    return false;
  feed->ops->instances (feed->ops, (const struct plat_instance *)list->data,
                        list->len);
  g_array_unref (list);
  return true;
}

static void
report_reachable (struct plat_feed *feed, bool ok, const char *detail)
{
  if (feed->reachable == ok)
    return;
  if (!ok)
    pl_log (PL_EV_STORE_DOWN, "detail=\"%s\"", detail);
  else if (feed->reachable == 0)
    pl_log (PL_EV_STORE_UP, " ");
  feed->reachable = ok;
  feed->ops->reachable (feed->ops, ok);
}

static void
read_due (struct plat_feed *feed, bool check_head)
{
  struct pl_err err = { 0 };
  bool ok = true;
  if (check_head || now_us () >= feed->head_due_us)
    {
      ok = read_notes (feed, &err);
      if (ok)
        feed->head_due_us = now_us () + HEAD_POLL_US;
      else
        feed->head_due_us = 0;
    }
  if (ok && now_us () >= feed->list_due_us)
    {
      ok = read_list (feed, &err);
      feed->list_due_us = ok ? now_us () + feed->list_poll_us : 0;
    }
  feed->failures = ok ? 0 : feed->failures + 1;
  report_reachable (feed, ok, err.text);
}

static void *
reader_run (void *user)
{
  struct plat_feed *feed = user;
  bool check_head = true;
  for (;;)
    {
      read_due (feed, check_head);
      bool failed = feed->failures > 0;
      int64_t until_us = failed ? now_us () + backoff_us (feed->failures - 1)
                                : MIN (feed->head_due_us, feed->list_due_us);
      g_mutex_lock (&feed->lock);
      /* After a failure CHECK_HEAD must not shorten the back-off.  */
      while (!feed->stop && (failed || !feed->check_head))
        if (!g_cond_wait_until (&feed->cond, &feed->lock, until_us))
          break;
      check_head = feed->check_head;
      feed->check_head = false;
      bool stop = feed->stop;
      g_mutex_unlock (&feed->lock);
      if (stop)
        return NULL;
    }
}

static void
feed_unref (struct plat_feed *feed)
{
  if (!g_atomic_ref_count_dec (&feed->refs))
    return;
  feed->reader_plat->ops->free (feed->reader_plat);
  feed->watcher_plat->ops->free (feed->watcher_plat);
  g_mutex_clear (&feed->lock);
  g_cond_clear (&feed->cond);
  g_free (feed);
}

/* Waits until the feed is watching; false if it stops.  AFTER_REV is then the
   head's modification revision to watch from.  */
static bool
wait_until_watching (struct plat_feed *feed, int64_t *after_rev)
{
  g_mutex_lock (&feed->lock);
  while (!feed->stop && !feed->watching)
    g_cond_wait (&feed->cond, &feed->lock);
  *after_rev = feed->head_mod_rev;
  bool stop = feed->stop;
  g_mutex_unlock (&feed->lock);
  return !stop;
}

/* Wakes the reader and pauses for PAUSE_US, or until the feed stops.  */
static void
wake_reader_and_pause (struct plat_feed *feed, int64_t pause_us)
{
  int64_t until_us = now_us () + pause_us;
  g_mutex_lock (&feed->lock);
  feed->check_head = true;
  g_cond_broadcast (&feed->cond);
  while (!feed->stop && g_cond_wait_until (&feed->cond, &feed->lock, until_us))
    continue;
  g_mutex_unlock (&feed->lock);
}

static void *
watch_run (void *user)
{
  struct plat_feed *feed = user;
  int failures = 0;
  int64_t after_rev;
  while (wait_until_watching (feed, &after_rev))
    {
      bool ok = feed->watcher_plat->ops->wait (
          feed->watcher_plat, PLAT_HEAD, after_rev, WATCH_TIMEOUT_MS, NULL);
      /* After a change the pause lets the reader read the head before the next
         watch; after a failure it is the back-off.  */
      wake_reader_and_pause (feed, ok ? BACKOFF_MIN_MS * (int64_t)1000
                                      : backoff_us (failures));
      failures = ok ? 0 : failures + 1;
    }
  feed_unref (feed);
  return NULL;
}

struct plat_feed *
plat_feed_new (const char *url, int list_poll_ms, struct plat_feed_ops *ops,
               struct pl_err *err)
{
  struct plat *reader_plat = plat_etcd_new (url, CALL_TIMEOUT_MS, err);
  if (reader_plat == NULL)
    return NULL;
  struct plat_feed *feed = g_new0 (struct plat_feed, 1);
  g_atomic_ref_count_init (&feed->refs);
  g_atomic_ref_count_inc (&feed->refs);
  feed->reader_plat = reader_plat;
  feed->watcher_plat = plat_etcd_new (url, CALL_TIMEOUT_MS, err);
  feed->ops = ops;
  feed->list_poll_us = (int64_t)list_poll_ms * 1000;
  feed->reachable = -1;
  g_mutex_init (&feed->lock);
  g_cond_init (&feed->cond);
  feed->reader = g_thread_new ("platform", reader_run, feed);
  g_thread_unref (g_thread_new ("watch", watch_run, feed));
  return feed;
}

void
plat_feed_set_watching (struct plat_feed *feed, bool on)
{
  g_mutex_lock (&feed->lock);
  bool change = feed->watching != on;
  feed->watching = on;
  g_cond_broadcast (&feed->cond);
  g_mutex_unlock (&feed->lock);
  if (change)
    pl_log (PL_EV_WATCH, "role=%s", on ? "watcher" : "reader");
}

void
plat_feed_set_revision (struct plat_feed *feed, int64_t revision)
{
  g_mutex_lock (&feed->lock);
  feed->revision_in_force = MAX (feed->revision_in_force, revision);
  g_mutex_unlock (&feed->lock);
}

/* Does not join the watch thread, which may be waiting for the store.  It ends
   by itself, holds a reference to the feed and never calls OPS.  */
void
plat_feed_free (struct plat_feed *feed)
{
  if (feed == NULL)
    return;
  g_mutex_lock (&feed->lock);
  feed->stop = true;
  g_cond_broadcast (&feed->cond);
  g_mutex_unlock (&feed->lock);
  g_thread_join (feed->reader);
  feed_unref (feed);
}
