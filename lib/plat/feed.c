#include "list.h"
#include "snapshot.h"

#define CALL_MS 2000
#define HEAD_POLL_US 10000000
#define WATCH_MS                                                              \
  10000                /* a watch is renewed, so that a dead peer is noticed  \
                        */
#define WHOLE_AFTER 64 /* notes missing */
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000

struct plat_feed
{
  gatomicrefcount refs; /* owner and watch thread */
  struct plat *reads;   /* of the reader thread */
  struct plat *watch;   /* of the watch thread */
  struct plat_feed_ops *ops;
  int64_t list_poll_us;
  GThread *reader;

  GMutex lock; /* of all below */
  GCond cond;
  bool stop;
  bool watching;
  bool poked;       /* the head may have changed */
  int64_t seen;     /* in force at the owner */
  int64_t head_rev; /* the head's modification revision read last */

  /* Of the reader thread.  */
  int64_t handed; /* the latest revision handed to OPS */
  int64_t handed_us;
  int reachable; /* -1: not known yet */
  int failures;
  int64_t head_due;
  int64_t list_due;
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
stopped (struct plat_feed *feed)
{
  g_mutex_lock (&feed->lock);
  bool stop = feed->stop;
  g_mutex_unlock (&feed->lock);
  return stop;
}

/* What is handed but not in force after a poll period was lost or refused by
   the owner and is read again.  */
static int64_t
known_revision (struct plat_feed *feed)
{
  g_mutex_lock (&feed->lock);
  int64_t seen = feed->seen;
  g_mutex_unlock (&feed->lock);
  if (feed->handed > seen && now_us () - feed->handed_us < HEAD_POLL_US)
    return feed->handed;
  return seen;
}

static void
set_handed (struct plat_feed *feed, int64_t revision)
{
  feed->handed = revision;
  feed->handed_us = now_us ();
}

static bool
read_whole (struct plat_feed *feed, int64_t *known, struct pl_err *err)
{
  GBytes *document;
  if (!snapshot_read (feed->reads, &document, err))
    return false;
  if (document == NULL)
    return true;
  struct pl_str text;
  text.data = g_bytes_get_data (document, &text.len);
  struct note_conf *conf = note_conf_from_json (text, NULL);
  int64_t revision = conf == NULL ? 0 : conf->revision;
  if (conf != NULL)
    pl_shared_unref (&conf->base);
  if (revision > *known)
    {
      *known = revision;
      set_handed (feed, revision);
      feed->ops->snapshot (feed->ops, document);
    }
  g_bytes_unref (document);
  return true;
}

/* Hands on one note; a note whose base is not the revision before it is an
   answer that can't be right.  */
static bool
read_one (struct plat_feed *feed, int64_t revision, struct pl_err *err)
{
  GBytes *note = plat_read_note (feed->reads, revision, err);
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
      set_handed (feed, revision);
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
  if (!plat_read_head (feed->reads, &head, &mod_rev, err))
    return false;
  int64_t known = known_revision (feed);
  if (head - known > WHOLE_AFTER && !read_whole (feed, &known, err))
    return false;
  for (int64_t next = known + 1; next <= head && !stopped (feed); next++)
    if (!read_one (feed, next, err))
      return false;
  /* The watch continues after this head only now that its notes are read.  */
  g_mutex_lock (&feed->lock);
  feed->head_rev = MAX (feed->head_rev, mod_rev);
  g_mutex_unlock (&feed->lock);
  return true;
}

static bool
read_list (struct plat_feed *feed, struct pl_err *err)
{
  GArray *list = plat_list_read (feed->reads, err);
  if (list == NULL)
    return false;
  feed->ops->instances (feed->ops, (const struct plat_instance *)list->data,
                        list->len);
  g_array_unref (list);
  return true;
}

static void
report (struct plat_feed *feed, bool ok, const char *detail)
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
read_due (struct plat_feed *feed, bool poked)
{
  struct pl_err err = { 0 };
  bool ok = true;
  if (poked || now_us () >= feed->head_due)
    {
      ok = read_notes (feed, &err);
      if (ok)
        feed->head_due = now_us () + HEAD_POLL_US;
      else
        feed->head_due = 0;
    }
  if (ok && now_us () >= feed->list_due)
    {
      ok = read_list (feed, &err);
      feed->list_due = ok ? now_us () + feed->list_poll_us : 0;
    }
  feed->failures = ok ? 0 : feed->failures + 1;
  report (feed, ok, err.text);
}

static void *
reader_run (void *user)
{
  struct plat_feed *feed = user;
  bool poked = true;
  for (;;)
    {
      read_due (feed, poked);
      bool failed = feed->failures > 0;
      int64_t until = failed ? now_us () + backoff_us (feed->failures - 1)
                             : MIN (feed->head_due, feed->list_due);
      g_mutex_lock (&feed->lock);
      /* A poke must not shorten the back-off.  */
      while (!feed->stop && (failed || !feed->poked))
        if (!g_cond_wait_until (&feed->cond, &feed->lock, until))
          break;
      poked = feed->poked;
      feed->poked = false;
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
  feed->reads->ops->free (feed->reads);
  feed->watch->ops->free (feed->watch);
  g_mutex_clear (&feed->lock);
  g_cond_clear (&feed->cond);
  g_free (feed);
}

/* Waits until the feed watches; false if it stops.  */
static bool
await_watching (struct plat_feed *feed, int64_t *from)
{
  g_mutex_lock (&feed->lock);
  while (!feed->stop && !feed->watching)
    g_cond_wait (&feed->cond, &feed->lock);
  *from = feed->head_rev;
  bool stop = feed->stop;
  g_mutex_unlock (&feed->lock);
  return !stop;
}

/* Pokes the reader and pauses for at most PAUSE_US, less if the feed stops. */
static void
poke (struct plat_feed *feed, int64_t pause_us)
{
  int64_t until = now_us () + pause_us;
  g_mutex_lock (&feed->lock);
  feed->poked = true;
  g_cond_broadcast (&feed->cond);
  while (!feed->stop && g_cond_wait_until (&feed->cond, &feed->lock, until))
    continue;
  g_mutex_unlock (&feed->lock);
}

static void *
watch_run (void *user)
{
  struct plat_feed *feed = user;
  int failures = 0;
  int64_t from;
  while (await_watching (feed, &from))
    {
      bool ok = feed->watch->ops->wait (feed->watch, PLAT_HEAD, from, WATCH_MS,
                                        NULL);
      /* The pause lets the reader read the head before the next watch; while
         the store fails it keeps off the store.  */
      poke (feed, ok ? BACKOFF_MIN_MS * (int64_t)1000 : backoff_us (failures));
      failures = ok ? 0 : failures + 1;
    }
  feed_unref (feed);
  return NULL;
}

struct plat_feed *
plat_feed_new (const char *url, int list_poll_ms, struct plat_feed_ops *ops,
               struct pl_err *err)
{
  struct plat *reads = plat_etcd_new (url, CALL_MS, err);
  if (reads == NULL)
    return NULL;
  struct plat_feed *feed = g_new0 (struct plat_feed, 1);
  g_atomic_ref_count_init (&feed->refs);
  g_atomic_ref_count_inc (&feed->refs);
  feed->reads = reads;
  feed->watch = plat_etcd_new (url, CALL_MS, err);
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
    pl_log (PL_EV_WATCH, "role=%s", on ? "watch" : "poll");
}

void
plat_feed_set_revision (struct plat_feed *feed, int64_t revision)
{
  g_mutex_lock (&feed->lock);
  feed->seen = MAX (feed->seen, revision);
  g_mutex_unlock (&feed->lock);
}

/* The watch thread may be waiting for the store; it ends by itself and calls
   nothing of the owner.  */
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
