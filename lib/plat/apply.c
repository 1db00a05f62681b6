/* Writes release notes to the store, and reads the configuration that results
   from them.  */
#include "snapshot.h"

#include <stdio.h>
#include <string.h>

#define TXN_ATTEMPTS 6  /* each sends the same transaction */
#define RETRY_MIN_MS 50 /* pause before the second attempt; doubles */
#define LOAD_ATTEMPTS 3 /* while the snapshot is newer than the head */

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
get_note (struct plat *plat, int64_t revision, GBytes **out,
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
  if (!get_note (plat, revision, &note, err))
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

/* Applies the note of the next revision to *CONF.  */
static bool
apply_next_note (struct plat *plat, struct note_conf **conf,
                 struct pl_err *err)
{
  int64_t next = *conf == NULL ? 1 : (*conf)->revision + 1;
  GBytes *note = plat_read_note (plat, next, err);
  if (note == NULL)
    return false;
  struct note_conf *next_conf
      = note_apply (bytes_str (note), *conf, next, err);
  g_bytes_unref (note);
  if (next_conf == NULL)
    return false;
  conf_unref (*conf);
  *conf = next_conf;
  return true;
}

static bool
load_snapshot_conf (struct plat *plat, struct note_conf **conf,
                    struct pl_err *err)
{
  GBytes *snapshot;
  *conf = NULL;
  if (!snapshot_read (plat, &snapshot, err))
    return false;
  if (snapshot == NULL)
    return true;
  /* An invalid snapshot counts as absent: the notes alone are enough.  */
  *conf = note_conf_from_json (bytes_str (snapshot), NULL);
  g_bytes_unref (snapshot);
  return true;
}

/* As plat_load_conf; HAS_SNAPSHOT tells whether the store holds a valid
   snapshot.  If a note is accepted after the head and before the snapshot is
   read, the snapshot may be newer than the head; then both are read again.  */
static bool
load_conf (struct plat *plat, struct note_conf **conf, int64_t *revision,
           int64_t *mod_rev, bool *has_snapshot, struct pl_err *err)
{
  *conf = NULL;
  for (int i = 0; i < LOAD_ATTEMPTS; i++)
    {
      conf_unref (*conf);
      *conf = NULL;
      if (!plat_read_head (plat, revision, mod_rev, err))
        return false;
      *has_snapshot = false;
      if (*revision == 0)
        return true;
      if (!load_snapshot_conf (plat, conf, err))
        return false;
      *has_snapshot = *conf != NULL;
      if (*conf == NULL || (*conf)->revision <= *revision)
        break;
    }
  if (*conf != NULL && (*conf)->revision > *revision)
    {
      conf_unref (*conf);
      *conf = NULL;
    }
  while ((*conf == NULL ? 0 : (*conf)->revision) < *revision)
    if (!apply_next_note (plat, conf, err))
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
  bool has_snapshot;
  int64_t ignored;
  return load_conf (plat, conf, revision, mod_rev == NULL ? &ignored : mod_rev,
                    &has_snapshot, err);
}

enum stored_note
{
  STORED_SAME,
  STORED_OTHER,
  STORED_UNKNOWN, /* there is no note of that revision, or the store
                     could not be read */
};

/* Tells whether the note of REVISION in the store is NOTE.  All bytes are
   compared, not only the id, since an operator may have copied an id.  */
static enum stored_note
compare_stored_note (struct plat *plat, struct pl_str note, int64_t revision)
{
  GBytes *stored;
  if (!get_note (plat, revision, &stored, NULL) || stored == NULL)
    return STORED_UNKNOWN;
  bool same = pl_str_eq (bytes_str (stored), note);
  g_bytes_unref (stored);
  return same ? STORED_SAME : STORED_OTHER;
}

static bool
fail_conflict (struct pl_err *err, int64_t base, int64_t in_force,
               int64_t *revision)
{
  *revision = in_force;
  if (base > in_force)
    return pl_fail (err, PL_NOTE_CONFLICT,
                    "base %lld is newer than the revision in force, %lld",
                    (long long)base, (long long)in_force);
  return pl_fail (err, PL_NOTE_CONFLICT,
                  "base %lld is not the revision in force; revision %lld "
                  "won",
                  (long long)base, (long long)in_force);
}

static void
pause_before_retry (int attempt)
{
  int ms = RETRY_MIN_MS << attempt;
  g_usleep ((gulong)g_random_int_range (ms, 2 * ms) * 1000);
}

/* Sends the transaction until it is known whether NOTE was accepted.  A
   repeated transaction can't take effect twice, since its comparison fails
   then.  */
static bool
commit_note (struct plat *plat, struct pl_str note, int64_t next,
             int64_t mod_rev, const GArray *puts, int64_t *revision,
             struct pl_err *err)
{
  struct pl_err last_err = { 0 };
  for (int i = 0; i < TXN_ATTEMPTS; i++)
    {
      if (i > 0)
        pause_before_retry (i - 1);
      enum plat_txn result = plat->ops->txn (
          plat, PLAT_HEAD, mod_rev, (const struct plat_put *)puts->data,
          puts->len, &last_err);
      *revision = next;
      if (result == PLAT_TXN_DONE)
        return true;
      enum stored_note stored_note = compare_stored_note (plat, note, next);
      if (stored_note == STORED_SAME)
        return true;
      if (stored_note == STORED_OTHER)
        return fail_conflict (err, next - 1, next, revision);
    }
  return pl_fail (err, PL_NOTE_UNKNOWN,
                  "could not find out whether the note for revision %lld was "
                  "accepted: %.120s",
                  (long long)next, last_err.text);
}

/* Writes the chunks one by one while the head is still REVISION.  A failure
   does no harm: a later note writes the snapshot again.  */
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
make_snapshot (struct pl_str note, const struct note_conf *conf, int64_t next)
{
  struct note_conf *next_conf = note_apply (note, conf, next, NULL);
  char *snapshot = note_conf_to_json (next_conf);
  conf_unref (next_conf);
  GArray *chunks = snapshot_split (pl_str (snapshot), next);
  g_free (snapshot);
  return chunks;
}

/* Writes NOTE, which is valid against CONF, as the revision after CONF's.
   Writes the new snapshot too if HAS_SNAPSHOT is false (the store has none) or
   every SNAPSHOT_EVERY revisions: in the same transaction if both fit, else
   after it.  */
static bool
commit_with_snapshot (struct plat *plat, struct pl_str note,
                      const struct note_conf *conf, int64_t mod_rev,
                      bool has_snapshot, int64_t *revision, struct pl_err *err)
{
  int64_t next = conf == NULL ? 1 : conf->revision + 1;
  char head[24];
  char key[64];
  int len = snprintf (head, sizeof head, "%lld", (long long)next);
  snprintf (key, sizeof key, "papayaloft/rev/%lld", (long long)next);
  struct plat_put note_puts[]
      = { { .key = PLAT_HEAD, .value = g_bytes_new (head, (gsize)len) },
          { .key = key, .value = g_bytes_new (note.data, note.len) } };
  GArray *puts = g_array_new (FALSE, FALSE, sizeof (struct plat_put));
  g_array_append_vals (puts, note_puts, G_N_ELEMENTS (note_puts));
  GArray *chunks = NULL;
  bool in_one_txn = false;
  if (!has_snapshot || next % SNAPSHOT_EVERY == 0)
    {
      chunks = make_snapshot (note, conf, next);
      in_one_txn = note.len + snapshot_puts_bytes (chunks) < MAX_TXN_BYTES;
    }
  if (in_one_txn)
    g_array_append_vals (puts, chunks->data, chunks->len);
  bool ok = commit_note (plat, note, next, mod_rev, puts, revision, err);
  if (ok && chunks != NULL && !in_one_txn)
    write_snapshot (plat, chunks, next);
  if (chunks != NULL)
    snapshot_puts_free (chunks);
  g_array_unref (puts);
  g_bytes_unref (note_puts[0].value);
  g_bytes_unref (note_puts[1].value);
  return ok;
}

bool
plat_apply_note (struct plat *plat, struct pl_str note, int64_t *revision,
                 struct pl_err *err)
{
  struct note_head head;
  struct note_conf *conf;
  int64_t mod_rev;
  bool has_snapshot;
  *revision = 0;
  if (!note_read_head (note, &head, err)
      || !load_conf (plat, &conf, revision, &mod_rev, &has_snapshot, err))
    return false;
  bool ok;
  if (head.base != *revision)
    {
      /* An earlier attempt may have written this note already.  */
      ok = head.base < *revision
           && compare_stored_note (plat, note, head.base + 1) == STORED_SAME;
      if (ok)
        *revision = head.base + 1;
      else
        fail_conflict (err, head.base, *revision, revision);
    }
  else
    ok = note_validate (note, conf, err)
         && commit_with_snapshot (plat, note, conf, mod_rev, has_snapshot,
                                  revision, err);
  conf_unref (conf);
  return ok;
}
