#include "item.h"

#include <string.h>

/* The edits of one section.  */
struct edits
{
  const struct note_item_ops *ops;
  GArray *added;
  GArray *changed;
  GArray *withdrawn;  /* keys only */
  GHashTable *gone;   /* of WITHDRAWN */
  GHashTable *change; /* of CHANGED */
};

static const char *const note_member_names[]
    = { "id", "base", "comment", "added", "changed", "withdrawn", NULL };
static const char *const sect_names[]
    = { "services", "teams", "workers", NULL };
#define MAX_COMMENT 1024

static bool
read_head (const json_t *root, struct note_head *out, struct pl_err *err)
{
  static const char id_chars[]
      = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-";
  struct note_at at = { .member = "id" };
  const char *id = json_string_value (json_object_get (root, "id"));
  size_t len = id == NULL ? 0 : strlen (id);
  if (len < 1 || len > NOTE_ID_MAX || strspn (id, id_chars) != len)
    return note_refuse (err, &at, "must be 1 to %d letters, digits or hyphens",
                        NOTE_ID_MAX);
  memcpy (out->id, id, len + 1);
  return note_get_int (root, NULL, "base", 0, INT64_MAX - 1, &out->base, err);
}

static json_t *
load_note (struct pl_str note, struct pl_err *err)
{
  if (note.len > NOTE_MAX_BYTES)
    {
      note_refuse (err, NULL, "must have at most %d bytes", NOTE_MAX_BYTES);
      return NULL;
    }
  return note_load (note, err);
}

bool
note_read_head (struct pl_str note, struct note_head *out, struct pl_err *err)
{
  json_t *root = load_note (note, err);
  bool ok = root != NULL && read_head (root, out, err);
  json_decref (root);
  return ok;
}

static bool
check_top (const json_t *root, const struct note_conf *base,
           struct pl_err *err)
{
  struct note_head head = { 0 };
  if (!note_members (root, NULL, note_member_names, err)
      || !read_head (root, &head, err))
    return false;
  struct note_at at = { .member = "base" };
  int64_t revision = base == NULL ? 0 : base->revision;
  if (head.base != revision)
    return note_refuse (err, &at, "must be the revision in force, %lld",
                        (long long)revision);
  const json_t *comment = json_object_get (root, "comment");
  at.member = "comment";
  if (comment != NULL
      && (!json_is_string (comment)
          || json_string_length (comment) > MAX_COMMENT))
    return note_refuse (err, &at, "must be text of at most %d bytes",
                        MAX_COMMENT);
  for (int i = 3; note_member_names[i] != NULL; i++)
    {
      const json_t *change = json_object_get (root, note_member_names[i]);
      at.member = note_member_names[i];
      if (change != NULL && !note_members (change, &at, sect_names, err))
        return false;
    }
  return true;
}

static bool
parse_keys (const struct note_item_ops *ops, const json_t *array,
            const struct note_at *at, GArray *out, struct pl_err *err)
{
  size_t n = json_array_size (array);
  if (!json_is_array (array) || n > ops->most)
    return note_refuse (err, at, "must be a list of at most %u keys",
                        ops->most);
  g_array_set_size (out, (guint)n);
  for (size_t i = 0; i < n; i++)
    {
      struct note_at here = { .up = at, .index = i };
      if (!ops->parse_key (json_array_get (array, i), &here,
                           out->data + i * ops->size, err))
        return false;
    }
  return true;
}

/* Adds LIST to SET and the keys seen in the whole section; refuses a key that
   occurs twice and one whose presence in BASE is not EXIST.  */
static bool
check_keys (const struct edits *edits, GArray *list, const struct note_at *at,
            GHashTable *seen, const struct note_conf *base,
            enum note_sect sect, bool exist, struct pl_err *err)
{
  for (guint i = 0; i < list->len; i++)
    {
      void *item = list->data + i * edits->ops->size;
      struct note_at here = { .up = at, .index = i };
      if (!g_hash_table_add (seen, item))
        return note_refuse (err, &here, "occurs twice in the note");
      bool found = note_lookup (base, sect, item) != NULL;
      if (found != exist)
        return note_refuse (err, &here,
                            exist ? "does not exist in the base revision"
                                  : "exists already in the base revision");
    }
  return true;
}

static void
fill_set (GHashTable *set, GArray *list, size_t size)
{
  for (guint i = 0; i < list->len; i++)
    g_hash_table_add (set, list->data + i * size);
}

static bool
parse_list (const json_t *root, const char *change, enum note_sect sect,
            GArray **out, struct pl_err *err)
{
  const struct note_item_ops *ops = note_sects[sect];
  const json_t *list
      = json_object_get (json_object_get (root, change), ops->name);
  if (list == NULL)
    return true;
  struct note_at up = { .member = change };
  struct note_at at = { .up = &up, .member = ops->name };
  if (strcmp (change, "withdrawn") == 0)
    return parse_keys (ops, list, &at, *out, err);
  GArray *parsed = note_list_parse (ops, list, &at, false, err);
  if (parsed == NULL)
    return false;
  g_array_unref (*out);
  *out = parsed;
  return true;
}

static bool
check_list (const struct edits *edits, const char *change, GArray *list,
            GHashTable *seen, const struct note_conf *base,
            enum note_sect sect, struct pl_err *err)
{
  struct note_at up = { .member = change };
  struct note_at at = { .up = &up, .member = edits->ops->name };
  bool exist = strcmp (change, "added") != 0;
  return check_keys (edits, list, &at, seen, base, sect, exist, err);
}

static void
edits_init (struct edits *edits, enum note_sect sect)
{
  const struct note_item_ops *ops = note_sects[sect];
  edits->ops = ops;
  edits->added = note_list_new (ops, 0);
  edits->changed = note_list_new (ops, 0);
  edits->withdrawn = note_list_new (ops, 0);
  edits->gone = g_hash_table_new (ops->hash, ops->equal);
  edits->change = g_hash_table_new (ops->hash, ops->equal);
}

static void
edits_clear (struct edits *edits)
{
  g_hash_table_destroy (edits->gone);
  g_hash_table_destroy (edits->change);
  g_array_unref (edits->added);
  g_array_unref (edits->changed);
  g_array_unref (edits->withdrawn);
}

static bool
edits_check (struct edits *edits, const struct note_conf *base,
             enum note_sect sect, struct pl_err *err)
{
  GHashTable *seen = g_hash_table_new (edits->ops->hash, edits->ops->equal);
  bool ok
      = check_list (edits, "added", edits->added, seen, base, sect, err)
        && check_list (edits, "changed", edits->changed, seen, base, sect, err)
        && check_list (edits, "withdrawn", edits->withdrawn, seen, base, sect,
                       err);
  g_hash_table_destroy (seen);
  if (!ok)
    return false;
  unsigned n = 0;
  if (base != NULL)
    note_items (base, sect, &n);
  if (n + edits->added->len - edits->withdrawn->len > edits->ops->most)
    return note_refuse (err, NULL, "more than %u %s", edits->ops->most,
                        edits->ops->name);
  fill_set (edits->gone, edits->withdrawn, edits->ops->size);
  fill_set (edits->change, edits->changed, edits->ops->size);
  return true;
}

static bool
edits_parse (struct edits *edits, const json_t *root,
             const struct note_conf *base, enum note_sect sect,
             struct pl_err *err)
{
  return parse_list (root, "added", sect, &edits->added, err)
         && parse_list (root, "changed", sect, &edits->changed, err)
         && parse_list (root, "withdrawn", sect, &edits->withdrawn, err)
         && edits_check (edits, base, sect, err);
}

/* A worker keeps the revision that added it when it is changed.  */
static void
set_added (enum note_sect sect, void *item, const struct note_worker *former,
           int64_t revision)
{
  if (sect == NOTE_WORKERS)
    ((struct note_worker *)item)->added_revision
        = former == NULL ? revision : former->added_revision;
}

static GArray *
edits_fold (const struct edits *edits, const struct note_conf *base,
            enum note_sect sect, int64_t revision)
{
  size_t size = edits->ops->size;
  unsigned n = 0;
  const char *old = base == NULL ? NULL : note_items (base, sect, &n);
  GArray *out = note_list_new (edits->ops, n + edits->added->len);
  for (unsigned i = 0; i < n; i++, old += size)
    {
      if (g_hash_table_contains (edits->gone, old))
        continue;
      const void *change = g_hash_table_lookup (edits->change, old);
      g_array_set_size (out, out->len + 1);
      void *to = out->data + (out->len - 1) * size;
      edits->ops->copy (to, change == NULL ? old : change);
      if (change != NULL)
        set_added (sect, to, (const struct note_worker *)old, revision);
    }
  for (guint i = 0; i < edits->added->len; i++)
    {
      g_array_set_size (out, out->len + 1);
      void *to = out->data + (out->len - 1) * size;
      edits->ops->copy (to, edits->added->data + i * size);
      set_added (sect, to, NULL, revision);
    }
  return out;
}

/* Parses and checks NOTE; with OUT also folds it.  */
static bool
process (struct pl_str note, const struct note_conf *base, int64_t revision,
         struct note_conf **out, struct pl_err *err)
{
  json_t *root = load_note (note, err);
  if (root == NULL)
    return false;
  struct edits edits[NOTE_SECTS];
  for (int s = 0; s < NOTE_SECTS; s++)
    edits_init (&edits[s], s);
  bool ok = check_top (root, base, err);
  for (int s = 0; ok && s < NOTE_SECTS; s++)
    ok = edits_parse (&edits[s], root, base, s, err);
  if (ok && out != NULL)
    {
      GArray *lists[NOTE_SECTS];
      for (int s = 0; s < NOTE_SECTS; s++)
        lists[s] = edits_fold (&edits[s], base, s, revision);
      *out = note_conf_new (revision, lists);
    }
  for (int s = 0; s < NOTE_SECTS; s++)
    edits_clear (&edits[s]);
  json_decref (root);
  return ok;
}

bool
note_validate (struct pl_str note, const struct note_conf *base,
               struct pl_err *err)
{
  return process (note, base, 0, NULL, err);
}

struct note_conf *
note_apply (struct pl_str note, const struct note_conf *base, int64_t revision,
            struct pl_err *err)
{
  struct note_conf *conf = NULL;
  process (note, base, revision, &conf, err);
  return conf;
}
