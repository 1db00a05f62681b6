/* Puts accepted notes and snapshots in force in the order of their revisions,
   and keeps the latest notes for the peers.  */
#include "note.h"

#define KEPT_NOTES 64

/* An applied note, at the index revision % KEPT_NOTES.  */
struct kept_note
{
  int64_t revision;
  GBytes *note;
};

struct note_history
{
  struct pl_rcu_ptr *conf_ptr;
  struct note_conf *conf; /* in force; null before the first */
  struct kept_note kept_notes[KEPT_NOTES];
};

struct note_history *
note_history_new (struct pl_rcu_ptr *conf_ptr)
{
  struct note_history *history = g_new0 (struct note_history, 1);
  history->conf_ptr = conf_ptr;
  return history;
}

void
note_history_free (struct note_history *history)
{
  if (history == NULL)
    return;
  for (int i = 0; i < KEPT_NOTES; i++)
    g_bytes_unref (history->kept_notes[i].note);
  if (history->conf != NULL)
    pl_shared_unref (&history->conf->base);
  g_free (history);
}

int64_t
note_history_revision (const struct note_history *history)
{
  return history->conf == NULL ? 0 : history->conf->revision;
}

/* Puts CONF in force and takes over the caller's reference.  */
static enum note_offer_result
put_in_force (struct note_history *history, struct note_conf *conf,
              const char *source)
{
  struct note_conf *former = history->conf;
  history->conf = conf;
  g_atomic_ref_count_inc (&conf->base.refs);
  pl_rcu_ptr_publish (history->conf_ptr, &conf->base);
  if (former != NULL)
    pl_shared_unref (&former->base);
  pl_gauge_set (PL_CTR_REVISION_IN_FORCE, conf->revision);
  pl_log (PL_EV_CONF_APPLIED, "revision=%lld source=%s",
          (long long)conf->revision, source);
  return NOTE_APPLIED;
}

static enum note_offer_result
reject_stale (const struct note_history *history, int64_t revision,
              const char *source)
{
  pl_log (PL_EV_CONF_STALE, "revision=%lld current=%lld source=%s",
          (long long)revision, (long long)note_history_revision (history),
          source);
  return NOTE_STALE;
}

static enum note_offer_result
reject_invalid (int64_t revision, const char *detail)
{
  pl_log (PL_EV_CONF_BAD, "revision=%lld detail=\"%s\"", (long long)revision,
          detail);
  return NOTE_BAD;
}

static void
keep_note (struct note_history *history, int64_t revision, struct pl_str note)
{
  struct kept_note *kept = &history->kept_notes[revision % KEPT_NOTES];
  g_bytes_unref (kept->note);
  kept->revision = revision;
  kept->note = g_bytes_new (note.data, note.len);
}

enum note_offer_result
note_history_offer (struct note_history *history, int64_t revision,
                    struct pl_str note, const char *source, struct pl_err *err)
{
  int64_t current = note_history_revision (history);
  if (revision <= current)
    return reject_stale (history, revision, source);
  if (revision != current + 1)
    return NOTE_GAP;
  struct pl_err reason = { 0 };
  struct note_conf *conf = note_apply (note, history->conf, revision, &reason);
  if (conf == NULL)
    {
      if (err != NULL)
        *err = reason;
      return reject_invalid (revision, reason.text);
    }
  keep_note (history, revision, note);
  return put_in_force (history, conf, source);
}

enum note_offer_result
note_history_offer_snapshot (struct note_history *history,
                             struct pl_str snapshot, const char *source,
                             struct pl_err *err)
{
  struct pl_err reason = { 0 };
  struct note_conf *conf = note_conf_from_json (snapshot, &reason);
  if (conf == NULL)
    {
      if (err != NULL)
        *err = reason;
      return reject_invalid (0, reason.text);
    }
  if (conf->revision > note_history_revision (history))
    return put_in_force (history, conf, source);
  enum note_offer_result offer
      = reject_stale (history, conf->revision, source);
  pl_shared_unref (&conf->base);
  return offer;
}

GBytes *
note_history_get (const struct note_history *history, int64_t revision)
{
  int64_t current = note_history_revision (history);
  if (revision < 1 || revision > current || revision <= current - KEPT_NOTES)
    return NULL;
  const struct kept_note *kept = &history->kept_notes[revision % KEPT_NOTES];
  return kept->revision == revision ? kept->note : NULL;
}
