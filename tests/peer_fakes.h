/* Stand-ins for the modules that lib/peer calls.  They are weak, so that the
   library's own functions replace them where they are linked.  */
#pragma once

#include "disp.h"
#include "note.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* A dispatch thread that only records; the counts are atomic.  */
struct disp
{
  gint granted;
  gint refused;
  gint lost;
  gint dead;
  gint borrow;
  gint lots;
  gint returned;
  gint held;
  gint inherited;
  gint exports; /* chunks that disp_export gives */
  GMutex lock;
  GString *imported; /* under the lock */
};

#define FAKE G_GNUC_UNUSED __attribute__ ((weak))

FAKE void
disp_permit_result (struct disp *disp, struct claim_hash hash, bool granted)
{
  (void)hash;
  g_atomic_int_add (granted ? &disp->granted : &disp->refused, 1);
}

FAKE void
disp_peer_lost (struct disp *disp, claim_id peer)
{
  (void)peer;
  g_atomic_int_add (&disp->lost, 1);
}

FAKE void
disp_peer_dead (struct disp *disp, claim_id peer)
{
  (void)peer;
  g_atomic_int_add (&disp->dead, 1);
}

FAKE void
disp_borrow (struct disp *disp, claim_id peer, unsigned n)
{
  (void)peer;
  g_atomic_int_set (&disp->borrow, (gint)n);
}

static unsigned
fake_total (const struct disp_lot *lots, unsigned n)
{
  unsigned total = 0;
  for (unsigned i = 0; i < n; i++)
    total += lots[i].count;
  return total;
}

FAKE void
disp_grant (struct disp *disp, claim_id peer, const struct disp_lot *lots,
            unsigned n)
{
  (void)peer;
  g_atomic_int_add (&disp->lots, (gint)fake_total (lots, n));
}

FAKE void
disp_returned (struct disp *disp, claim_id peer, const struct disp_lot *lots,
               unsigned n)
{
  (void)peer;
  g_atomic_int_add (&disp->returned, (gint)fake_total (lots, n));
}

FAKE void
disp_holds (struct disp *disp, claim_id peer, unsigned total)
{
  (void)peer;
  g_atomic_int_set (&disp->held, (gint)total);
}

FAKE void
disp_view_changed (struct disp *disp)
{
  (void)disp;
}

FAKE void
disp_export (struct disp *disp, size_t max_bytes,
             void (*exported) (GBytes *chunk, void *user), void *user)
{
  for (gint i = 0; i < disp->exports; i++)
    {
      char *text = g_malloc (max_bytes);
      memset (text, 'a' + i, max_bytes);
      g_autoptr (GBytes) chunk = g_bytes_new_take (text, max_bytes);
      exported (chunk, user);
    }
  exported (NULL, user);
}

FAKE void
disp_import (struct disp *disp, GBytes *chunk)
{
  g_mutex_lock (&disp->lock);
  if (disp->imported == NULL)
    disp->imported = g_string_new (NULL);
  g_string_append_len (disp->imported, g_bytes_get_data (chunk, NULL),
                       (gssize)g_bytes_get_size (chunk));
  g_mutex_unlock (&disp->lock);
}

FAKE void
disp_inherit (struct disp *disp, claim_id owner)
{
  (void)owner;
  g_atomic_int_add (&disp->inherited, 1);
}

FAKE void
disp_get_status (struct disp *disp, struct disp_status *out)
{
  (void)disp;
  *out = (struct disp_status){ .epoch = 3, .free_slots = 8 };
}

/* Keys and the witness's table, without floors.  */
FAKE bool
claim_key_parse (struct pl_str text, struct claim_key *out, struct pl_err *err)
{
  g_autofree char *copy = g_strndup (text.data, text.len);
  unsigned long long owner;
  unsigned long long witness;
  long long epoch;
  (void)err;
  *out = (struct claim_key){ 0 };
  if (sscanf (copy, "brum.%16llx.%16llx.%lld.", &owner, &witness, &epoch) != 3)
    return false;
  out->owner = owner;
  out->witness = witness;
  out->epoch = epoch;
  return true;
}

FAKE struct claim_hash
claim_hash_of (struct pl_str text)
{
  XXH128_hash_t hash = XXH3_128bits (text.data, text.len);
  return (struct claim_hash){ .hi = hash.high64, .lo = hash.low64 };
}

FAKE struct claim_witness *
claim_witness_new (struct pl_clock *clock, int64_t keep_us,
                   unsigned keep_records)
{
  (void)clock;
  (void)keep_us;
  (void)keep_records;
  return (struct claim_witness *)g_hash_table_new_full (
      g_int64_hash, g_int64_equal, g_free, NULL);
}

FAKE void
claim_witness_free (struct claim_witness *witness)
{
  g_hash_table_unref ((GHashTable *)witness);
}

/* Records WANT unless the key is recorded; returns what is recorded.  */
static int
fake_record (struct claim_witness *witness, struct claim_hash hash, int want)
{
  GHashTable *table = (GHashTable *)witness;
  int found = GPOINTER_TO_INT (g_hash_table_lookup (table, &hash.lo));
  if (found != 0)
    return found;
  g_hash_table_insert (table, g_memdup2 (&hash.lo, sizeof hash.lo),
                       GINT_TO_POINTER (want));
  return want;
}

FAKE bool
claim_permit (struct claim_witness *witness, claim_id owner,
              struct claim_hash hash, int64_t epoch)
{
  (void)owner;
  (void)epoch;
  return fake_record (witness, hash, 1) == 1;
}

FAKE enum claim_revoked
claim_revoke (struct claim_witness *witness, claim_id owner,
              struct claim_hash hash, int64_t epoch)
{
  (void)owner;
  (void)epoch;
  return fake_record (witness, hash, 2) == 2 ? CLAIM_REVOKED : CLAIM_PERMITTED;
}

FAKE void
claim_witness_tick (struct claim_witness *witness)
{
  (void)witness;
}

FAKE unsigned
claim_witness_count (const struct claim_witness *witness)
{
  return g_hash_table_size ((GHashTable *)witness);
}

/* A history whose document is a text with the revision in front.  */
struct fake_conf
{
  struct note_conf conf; /* first */
  char *text;
};

struct note_history
{
  struct pl_slot *slot;
  int64_t revision;
  GHashTable *notes;
};

static void
fake_conf_free (struct pl_shared *shared)
{
  g_free (((struct fake_conf *)shared)->text);
  g_free (shared);
}

FAKE struct note_history *
note_history_new (struct pl_slot *slot)
{
  struct note_history *history = g_new0 (struct note_history, 1);
  history->slot = slot;
  history->notes = g_hash_table_new_full (NULL, NULL, NULL,
                                          (GDestroyNotify)g_bytes_unref);
  return history;
}

FAKE void
note_history_free (struct note_history *history)
{
  g_hash_table_unref (history->notes);
  g_free (history);
}

FAKE int64_t
note_history_revision (const struct note_history *history)
{
  return history->revision;
}

static enum note_offer
fake_apply (struct note_history *history, int64_t revision, struct pl_str text)
{
  struct fake_conf *conf = g_new0 (struct fake_conf, 1);
  pl_shared_init (&conf->conf.base, fake_conf_free);
  conf->conf.revision = history->revision = revision;
  conf->text = g_strndup (text.data, text.len);
  pl_slot_publish (history->slot, &conf->conf.base);
  return NOTE_APPLIED;
}

FAKE enum note_offer
note_history_offer (struct note_history *history, int64_t revision,
                    struct pl_str note, const char *source, struct pl_err *err)
{
  (void)source;
  (void)err;
  if (revision != history->revision + 1)
    return revision <= history->revision ? NOTE_STALE : NOTE_GAP;
  g_hash_table_insert (history->notes, GINT_TO_POINTER ((gint)revision),
                       g_bytes_new (note.data, note.len));
  return fake_apply (history, revision, note);
}

FAKE enum note_offer
note_history_offer_whole (struct note_history *history, struct pl_str document,
                          const char *source, struct pl_err *err)
{
  (void)source;
  (void)err;
  return fake_apply (history, strtoll (document.data, NULL, 10), document);
}

FAKE GBytes *
note_history_get (const struct note_history *history, int64_t revision)
{
  return g_hash_table_lookup (history->notes,
                              GINT_TO_POINTER ((gint)revision));
}

FAKE char *
note_conf_to_json (const struct note_conf *conf)
{
  return g_strdup (((const struct fake_conf *)conf)->text);
}

FAKE struct job_reply *
job_reply_wrap (enum pl_code code, int64_t retry_after_ms, GBytes *body)
{
  struct job_reply *reply = g_new0 (struct job_reply, 1);
  g_atomic_ref_count_init (&reply->refs);
  reply->code = code;
  reply->retry_after_ms = retry_after_ms;
  reply->body = body;
  return reply;
}

FAKE struct job_reply *
job_reply_ref (struct job_reply *reply)
{
  g_atomic_ref_count_inc (&reply->refs);
  return reply;
}

FAKE void
job_reply_unref (struct job_reply *reply)
{
  if (!g_atomic_ref_count_dec (&reply->refs))
    return;
  g_bytes_unref (reply->body);
  g_free (reply);
}

FAKE char *
claim_prefix_text (const char *domain, claim_id owner, claim_id witness,
                   int64_t epoch, char buf[CLAIM_PREFIX_TEXT])
{
  g_snprintf (buf, CLAIM_PREFIX_TEXT,
              "%s.%016" G_GINT64_MODIFIER "x.%016" G_GINT64_MODIFIER
              "x.%" G_GINT64_FORMAT,
              domain, owner, witness, epoch);
  return buf;
}
