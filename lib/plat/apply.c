#include "snapshot.h"

#include <stdio.h>
#include <string.h>

#define ATTEMPTS 6   /* sends of one transaction */
#define PAUSE_MS 50  /* before the second attempt; doubles */
#define LOAD_TRIES 3 /* a snapshot newer than the head read before it */

bool
plat_read_head (struct plat *plat, int64_t *revision, int64_t *mod_rev,
                struct pl_err *err)
{
  struct plat_value value;
  *revision = 0;
  *mod_rev = 0;
  if (!plat->ops->get (plat, PLAT_HEAD, &value, err))
    return false;
  if (value.value == NULL)
    return true;
  struct pl_str text;
  text.data = g_bytes_get_data (value.value, &text.len);
  bool ok = pl_str_to_int (text, 1, INT64_MAX - 1, revision);
  *mod_rev = value.mod_rev;
  g_bytes_unref (value.value);
  return ok
         || pl_fail (err, PL_STORE_PROTOCOL, "%s is not a revision",
                     PLAT_HEAD);
}

/* OUT is null if the note is absent.  */
static bool
read_note (struct plat *plat, int64_t revision, GBytes **out,
           struct pl_err *err)
{
  char key[64];
  snprintf (key, sizeof key, "papayaloft/rev/%lld", (long long)revision);
  struct plat_value value;
  *out = NULL;
  if (!plat->ops->get (plat, key, &value, err))
    return false;
  *out = value.value;
  return true;
}

GBytes *
plat_read_note (struct plat *plat, int64_t revision, struct pl_err *err)
{
  GBytes *note;
  if (!read_note (plat, revision, &note, err))
    return NULL;
  if (note == NULL)
    pl_fail (err, PL_NOT_FOUND, "revision %lld is not in the store",
             (long long)revision);
  return note;
}

static struct pl_str
bytes_str (GBytes *bytes)
{
  struct pl_str text;
  text.data = g_bytes_get_data (bytes, &text.len);
  return text;
}

static void
conf_unref (struct note_conf *conf)
{
  if (conf != NULL)
    pl_shared_unref (&conf->base);
}

/* Folds the next note into *CONF.  */
static bool
fold_next (struct plat *plat, struct note_conf **conf, struct pl_err *err)
{
  int64_t next = *conf == NULL ? 1 : (*conf)->revision + 1;
  GBytes *note = plat_read_note (plat, next, err);
  if (note == NULL)
    return false;
  struct note_conf *folded = note_apply (bytes_str (note), *conf, next, err);
  g_bytes_unref (note);
  if (folded == NULL)
    return false;
  conf_unref (*conf);
  *conf = folded;
  return true;
}

static bool
load_snapshot (struct plat *plat, struct note_conf **conf, struct pl_err *err)
{
  GBytes *document;
  *conf = NULL;
  if (!snapshot_read (plat, &document, err))
    return false;
  if (document == NULL)
    return true;
  /* An invalid document counts as absent: the notes are complete.  */
  *conf = note_conf_from_json (bytes_str (document), NULL);
  g_bytes_unref (document);
  return true;
}

/* SNAPSHOT tells whether the store holds a valid one.  */
static bool
load (struct plat *plat, struct note_conf **conf, int64_t *revision,
      int64_t *mod_rev, bool *snapshot, struct pl_err *err)
{
  *conf = NULL;
  for (int i = 0; i < LOAD_TRIES; i++)
    {
      conf_unref (*conf);
      *conf = NULL;
      if (!plat_read_head (plat, revision, mod_rev, err))
        return false;
      *snapshot = false;
      if (*revision == 0)
        return true;
      if (!load_snapshot (plat, conf, err))
        return false;
      *snapshot = *conf != NULL;
      if (*conf == NULL || (*conf)->revision <= *revision)
        break;
    }
  if (*conf != NULL && (*conf)->revision > *revision)
    {
      conf_unref (*conf);
      *conf = NULL;
    }
  while ((*conf == NULL ? 0 : (*conf)->revision) < *revision)
    if (!fold_next (plat, conf, err))
      {
        conf_unref (*conf);
        *conf = NULL;
        return false;
      }
  return true;
}

bool
plat_load_conf (struct plat *plat, struct note_conf **conf, int64_t *revision,
                int64_t *mod_rev, struct pl_err *err)
{
  bool snapshot;
  int64_t ignored;
  return load (plat, conf, revision, mod_rev == NULL ? &ignored : mod_rev,
               &snapshot, err);
}

enum settled
{
  SETTLED_ACCEPTED,
  SETTLED_LOST,
  SETTLED_ABSENT, /* no note of that revision, or it could not be read */
};

/* Whose note has REVISION?  The bytes are compared too, since an operator may
   have copied an id.  */
static enum settled
settle (struct plat *plat, struct pl_str note, int64_t revision)
{
  GBytes *stored;
  if (!read_note (plat, revision, &stored, NULL) || stored == NULL)
    return SETTLED_ABSENT;
  bool same = pl_str_eq (bytes_str (stored), note);
  g_bytes_unref (stored);
  return same ? SETTLED_ACCEPTED : SETTLED_LOST;
}

static bool
conflict (struct pl_err *err, int64_t base, int64_t winner, int64_t *revision)
{
  *revision = winner;
  if (base > winner)
    return pl_fail (err, PL_NOTE_CONFLICT,
                    "base %lld is newer than the revision in force, %lld",
                    (long long)base, (long long)winner);
  return pl_fail (err, PL_NOTE_CONFLICT,
                  "base %lld is not the revision in force; revision %lld "
                  "won",
                  (long long)base, (long long)winner);
}

static void
pause_between (int attempt)
{
  int ms = PAUSE_MS << attempt;
  g_usleep ((gulong)g_random_int_range (ms, 2 * ms) * 1000);
}

/* Sends the transaction until its fate is known.  A repeated one can't take
   effect twice because of the comparison.  */
static bool
commit (struct plat *plat, struct pl_str note, int64_t next, int64_t mod_rev,
        const GArray *puts, int64_t *revision, struct pl_err *err)
{
  struct pl_err last = { 0 };
  for (int i = 0; i < ATTEMPTS; i++)
    {
      if (i > 0)
        pause_between (i - 1);
      enum plat_txn result = plat->ops->txn (
          plat, PLAT_HEAD, mod_rev, (const struct plat_put *)puts->data,
          puts->len, &last);
      *revision = next;
      if (result == PLAT_TXN_DONE)
        return true;
      enum settled settled = settle (plat, note, next);
      if (settled == SETTLED_ACCEPTED)
        return true;
      if (settled == SETTLED_LOST)
        return conflict (err, next - 1, next, revision);
    }
  return pl_fail (err, PL_NOTE_UNKNOWN,
                  "the fate of the note for revision %lld could not be read "
                  "back: %.120s",
                  (long long)next, last.text);
}

/* Writes the chunks one by one while the head is still REVISION.  A failure
   is harmless: a later note writes the snapshot again.  */
static void
write_snapshot (struct plat *plat, const GArray *chunks, int64_t revision)
{
  int64_t head;
  int64_t mod_rev;
  if (!plat_read_head (plat, &head, &mod_rev, NULL) || head != revision)
    return;
  for (guint i = 0; i < chunks->len; i++)
    if (plat->ops->txn (plat, PLAT_HEAD, mod_rev,
                        &g_array_index (chunks, struct plat_put, i), 1, NULL)
        != PLAT_TXN_DONE)
      return;
}

static GArray *
make_chunks (struct pl_str note, const struct note_conf *conf, int64_t next)
{
  struct note_conf *folded = note_apply (note, conf, next, NULL);
  char *document = note_conf_to_json (folded);
  conf_unref (folded);
  GArray *chunks = snapshot_puts (pl_str (document), next);
  g_free (document);
  return chunks;
}

/* Writes NOTE, which is valid against CONF, as the revision after CONF's.  */
static bool
write_note (struct plat *plat, struct pl_str note,
            const struct note_conf *conf, int64_t mod_rev, bool snapshot,
            int64_t *revision, struct pl_err *err)
{
  int64_t next = conf == NULL ? 1 : conf->revision + 1;
  char head[24];
  char key[64];
  int len = snprintf (head, sizeof head, "%lld", (long long)next);
  snprintf (key, sizeof key, "papayaloft/rev/%lld", (long long)next);
  struct plat_put own[]
      = { { .key = PLAT_HEAD, .value = g_bytes_new (head, (gsize)len) },
          { .key = key, .value = g_bytes_new (note.data, note.len) } };
  GArray *puts = g_array_new (FALSE, FALSE, sizeof (struct plat_put));
  g_array_append_vals (puts, own, G_N_ELEMENTS (own));
  GArray *chunks = NULL;
  bool together = false;
  if (!snapshot || next % SNAPSHOT_EVERY == 0)
    {
      chunks = make_chunks (note, conf, next);
      together = note.len + snapshot_puts_bytes (chunks) < TXN_BYTES;
    }
  if (together)
    g_array_append_vals (puts, chunks->data, chunks->len);
  bool ok = commit (plat, note, next, mod_rev, puts, revision, err);
  if (ok && chunks != NULL && !together)
    write_snapshot (plat, chunks, next);
  if (chunks != NULL)
    snapshot_puts_free (chunks);
  g_array_unref (puts);
  g_bytes_unref (own[0].value);
  g_bytes_unref (own[1].value);
  return ok;
}

bool
plat_apply_note (struct plat *plat, struct pl_str note, int64_t *revision,
                 struct pl_err *err)
{
  struct note_head head;
  struct note_conf *conf;
  int64_t mod_rev;
  bool snapshot;
  *revision = 0;
  if (!note_read_head (note, &head, err)
      || !load (plat, &conf, revision, &mod_rev, &snapshot, err))
    return false;
  bool ok;
  if (head.base != *revision)
    {
      /* The note may be in force from an earlier attempt.  */
      ok = head.base < *revision
           && settle (plat, note, head.base + 1) == SETTLED_ACCEPTED;
      if (ok)
        *revision = head.base + 1;
      else
        conflict (err, head.base, *revision, revision);
    }
  else
    ok = note_validate (note, conf, err)
         && write_note (plat, note, conf, mod_rev, snapshot, revision, err);
  conf_unref (conf);
  return ok;
}
