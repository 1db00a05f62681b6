/* An owner of a feed for plat_test: puts notes in force and counts what it is
   told.  */
#pragma once

#include "plat.h"
#include "test.h"

struct sink
{
  struct plat_feed_ops ops;
  GMutex lock;
  GCond cond;
  struct plat_feed *feed;
  struct pl_rcu_ptr slot;
  struct note_history *history;
  int applied;
  int stale;
  int bad;
  int snapshot;
  int up;
  int down;
  unsigned instances;
  int leaving;
};

static inline void
count (struct sink *sink, enum note_offer offer)
{
  sink->applied += offer == NOTE_APPLIED;
  sink->stale += offer == NOTE_STALE;
  sink->bad += offer == NOTE_BAD || offer == NOTE_GAP;
  if (sink->feed != NULL)
    plat_feed_set_revision (sink->feed, note_history_revision (sink->history));
  g_cond_broadcast (&sink->cond);
  g_mutex_unlock (&sink->lock);
}

static inline void
take_note (struct plat_feed_ops *ops, int64_t revision, GBytes *note)
{
  struct sink *sink = (struct sink *)ops;
  struct pl_str text;
  text.data = g_bytes_get_data (note, &text.len);
  g_mutex_lock (&sink->lock);
  count (sink,
         note_history_offer (sink->history, revision, text, "store", NULL));
}

static inline void
take_whole (struct plat_feed_ops *ops, GBytes *document)
{
  struct sink *sink = (struct sink *)ops;
  struct pl_str text;
  text.data = g_bytes_get_data (document, &text.len);
  g_mutex_lock (&sink->lock);
  sink->snapshot++;
  count (sink,
         note_history_offer_snapshot (sink->history, text, "store", NULL));
}

static inline void
take_instances (struct plat_feed_ops *ops, const struct plat_instance *list,
                unsigned n)
{
  struct sink *sink = (struct sink *)ops;
  g_mutex_lock (&sink->lock);
  sink->instances = n;
  sink->leaving = 0;
  for (unsigned i = 0; i < n; i++)
    sink->leaving += list[i].leaving && list[i].worker;
  g_cond_broadcast (&sink->cond);
  g_mutex_unlock (&sink->lock);
}

static inline void
take_reachable (struct plat_feed_ops *ops, bool reachable)
{
  struct sink *sink = (struct sink *)ops;
  g_mutex_lock (&sink->lock);
  sink->up += reachable;
  sink->down += !reachable;
  g_cond_broadcast (&sink->cond);
  g_mutex_unlock (&sink->lock);
}

static inline void
sink_start (struct sink *sink, const char *url)
{
  struct pl_err err = { 0 };
  *sink = (struct sink){ .ops = { .note = take_note,
                                  .snapshot = take_whole,
                                  .instances = take_instances,
                                  .reachable = take_reachable } };
  g_mutex_init (&sink->lock);
  g_cond_init (&sink->cond);
  sink->history = note_history_new (&sink->slot);
  g_mutex_lock (&sink->lock);
  sink->feed = plat_feed_new (url, 50, &sink->ops, &err);
  g_mutex_unlock (&sink->lock);
  CU_ASSERT_PTR_NOT_NULL_FATAL (sink->feed);
}

static inline void
sink_end (struct sink *sink)
{
  plat_feed_free (sink->feed);
  note_history_free (sink->history);
  pl_shared_unref (sink->slot.value);
  g_mutex_clear (&sink->lock);
  g_cond_clear (&sink->cond);
}

/* Waits until *VALUE is at least WANTED.  */
static inline bool
await (struct sink *sink, const int *value, int wanted, int ms)
{
  int64_t until = g_get_monotonic_time () + ms * 1000L;
  g_mutex_lock (&sink->lock);
  while (*value < wanted
         && g_cond_wait_until (&sink->cond, &sink->lock, until))
    continue;
  bool reached = *value >= wanted;
  g_mutex_unlock (&sink->lock);
  return reached;
}
