/* The owner of a feed, for plat_test.c: puts notes and snapshots in force and
   counts the calls.  */
#pragma once

#include "plat.h"
#include "test.h"

struct feed_owner
{
  struct plat_feed_ops ops;
  GMutex lock;
  GCond cond;
  struct plat_feed *feed;
  struct pl_rcu_ptr conf_ptr;
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
count_and_unlock (struct feed_owner *feed_owner, enum note_offer_result offer)
{
  feed_owner->applied += offer == NOTE_APPLIED;
  feed_owner->stale += offer == NOTE_STALE;
  feed_owner->bad += offer == NOTE_BAD || offer == NOTE_GAP;
  if (feed_owner->feed != NULL)
    plat_feed_set_revision (feed_owner->feed,
                            note_history_revision (feed_owner->history));
  g_cond_broadcast (&feed_owner->cond);
  g_mutex_unlock (&feed_owner->lock);
}

static inline void
on_note (struct plat_feed_ops *ops, int64_t revision, GBytes *note)
{
  struct feed_owner *feed_owner = (struct feed_owner *)ops;
  struct pl_str text;
  text.data = g_bytes_get_data (note, &text.len);
  g_mutex_lock (&feed_owner->lock);
  count_and_unlock (
      feed_owner,
      note_history_offer (feed_owner->history, revision, text, "store", NULL));
}

static inline void
on_snapshot (struct plat_feed_ops *ops, GBytes *snapshot)
{
  struct feed_owner *feed_owner = (struct feed_owner *)ops;
  struct pl_str text;
  text.data = g_bytes_get_data (snapshot, &text.len);
  g_mutex_lock (&feed_owner->lock);
  feed_owner->snapshot++;
  count_and_unlock (feed_owner, note_history_offer_snapshot (
                                    feed_owner->history, text, "store", NULL));
}

static inline void
on_instances (struct plat_feed_ops *ops, const struct plat_instance *list,
              unsigned n)
{
  struct feed_owner *feed_owner = (struct feed_owner *)ops;
  g_mutex_lock (&feed_owner->lock);
  feed_owner->instances = n;
  feed_owner->leaving = 0;
  for (unsigned i = 0; i < n; i++)
    feed_owner->leaving += list[i].leaving && list[i].worker;
  g_cond_broadcast (&feed_owner->cond);
  g_mutex_unlock (&feed_owner->lock);
}

static inline void
on_reachable (struct plat_feed_ops *ops, bool reachable)
{
  struct feed_owner *feed_owner = (struct feed_owner *)ops;
  g_mutex_lock (&feed_owner->lock);
  feed_owner->up += reachable;
  feed_owner->down += !reachable;
  g_cond_broadcast (&feed_owner->cond);
  g_mutex_unlock (&feed_owner->lock);
}

static inline void
feed_owner_start (struct feed_owner *feed_owner, const char *url)
{
  struct pl_err err = { 0 };
  *feed_owner = (struct feed_owner){ .ops = { .note = on_note,
                                              .snapshot = on_snapshot,
                                              .instances = on_instances,
                                              .reachable = on_reachable } };
  g_mutex_init (&feed_owner->lock);
  g_cond_init (&feed_owner->cond);
  feed_owner->history = note_history_new (&feed_owner->conf_ptr);
  g_mutex_lock (&feed_owner->lock);
  feed_owner->feed = plat_feed_new (url, 50, &feed_owner->ops, &err);
  g_mutex_unlock (&feed_owner->lock);
  CU_ASSERT_PTR_NOT_NULL_FATAL (feed_owner->feed);
}

static inline void
feed_owner_stop (struct feed_owner *feed_owner)
{
  plat_feed_free (feed_owner->feed);
  note_history_free (feed_owner->history);
  pl_shared_unref (feed_owner->conf_ptr.value);
  g_mutex_clear (&feed_owner->lock);
  g_cond_clear (&feed_owner->cond);
}

/* Waits until *VALUE is at least WANTED; false after MS.  */
static inline bool
await_count (struct feed_owner *feed_owner, const int *value, int wanted,
             int ms)
{
  int64_t until = g_get_monotonic_time () + ms * 1000L;
  g_mutex_lock (&feed_owner->lock);
  while (*value < wanted
         && g_cond_wait_until (&feed_owner->cond, &feed_owner->lock, until))
    continue;
  bool reached = *value >= wanted;
  g_mutex_unlock (&feed_owner->lock);
  return reached;
}
