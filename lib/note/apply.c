/* Validates a release note against a configuration and applies it.  */
#include "item.h"

#include <string.h>

/* What a note changes in one section.  */
struct edits
{
  const struct note_item_ops *ops;
  GArray *added;
  GArray *changed;
  GArray *withdrawn; /* items of which only the key is set */
  GHashTable *withdrawn_keys;
  GHashTable *changed_by_key;
};

static const char *const note_member_names[]
    = { "id", "base", "comment", "added", "changed", "withdrawn", NULL };
static const char *const section_names[]
    = { "services", "teams", "workers", "evacuations", NULL };
#define MAX_COMMENT_BYTES 1024

static bool
read_head (const json_t *root, struct note_head *out, struct pl_err *err)
{
  static const char id_chars[]
      = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-";
  struct note_path path = { .member = "id" };
  const char *id = json_string_value (json_object_get (root, "id"));
  size_t len = id == NULL ? 0 : strlen (id);
  if (len < 1 || len > NOTE_MAX_ID_BYTES || strspn (id, id_chars) != len)
    return note_fail (err, &path, "must be 1 to %d letters, digits or hyphens",
                      NOTE_MAX_ID_BYTES);
  memcpy (out->id, id, len + 1);
  return note_get_int (root, NULL, "base", 0, INT64_MAX - 1, &out->base, err);
}

static json_t *
parse_note (struct pl_str note, struct pl_err *err)
{
  if (note.len > NOTE_MAX_BYTES)
    {
      note_fail (err, NULL, "must have at most %d bytes", NOTE_MAX_BYTES);
      return NULL;
    }
  return note_parse_json (note, err);
}

bool
note_read_head (struct pl_str note, struct note_head *out, struct pl_err *err)
{
  json_t *root = parse_note (note, err);
  bool ok = root != NULL && read_head (root, out, err);
  json_decref (root);
  return ok;
}

static bool
check_top_level (const json_t *root, const struct note_conf *base,
                 struct pl_err *err)
{
  struct note_head head = { 0 };
  if (!note_check_members (root, NULL, note_member_names, err)
      || !read_head (root, &head, err))
    return false;
  struct note_path path = { .member = "base" };
  int64_t revision = base == NULL ? 0 : base->revision;
  if (head.base != revision)
    return note_fail (err, &path, "must be the revision in force, %lld",
                      (long long)revision);
  const json_t *comment = json_object_get (root, "comment");
  path.member = "comment";
  if (comment != NULL
      && (!json_is_string (comment)
          || json_string_length (comment) > MAX_COMMENT_BYTES))
    return note_fail (err, &path, "must be text of at most %d bytes",
                      MAX_COMMENT_BYTES);
  /* "added", "changed" and "withdrawn".  */
  for (int i = 3; note_member_names[i] != NULL; i++)
    {
      const json_t *change = json_object_get (root, note_member_names[i]);
      path.member = note_member_names[i];
      if (change != NULL
          && !note_check_members (change, &path, section_names, err))
        return false;
    }
  return true;
}

static bool
parse_keys (const struct note_item_ops *ops, const json_t *array,
            const struct note_path *path, GArray *out, struct pl_err *err)
{
  size_t n = json_array_size (array);
  if (!json_is_array (array) || n > ops->max_items)
    return note_fail (err, path, "must be a list of at most %u keys",
                      ops->max_items);
  g_array_set_size (out, (guint)n);
  for (size_t i = 0; i < n; i++)
    {
      struct note_path child = { .parent = path, .index = i };
      if (!ops->parse_key (json_array_get (array, i), &child,
                           out->data + i * ops->size, err))
        return false;
    }
  return true;
}

/* Adds the items of LIST to SEEN, the keys that have occurred in the section
   so far.  Refuses a key that occurs twice, one that BASE lacks if MUST_EXIST,
   and one that BASE has if not MUST_EXIST.  */
static bool
check_keys (const struct edits *edits, GArray *list,
            const struct note_path *path, GHashTable *seen,
            const struct note_conf *base, enum note_section section,
            bool must_exist, struct pl_err *err)
{
  for (guint i = 0; i < list->len; i++)
    {
      void *item = list->data + i * edits->ops->size;
      struct note_path child = { .parent = path, .index = i };
      if (!g_hash_table_add (seen, item))
        return note_fail (err, &child, "occurs twice in the note");
      bool found = note_lookup (base, section, item) != NULL;
      if (found != must_exist)
        return note_fail (err, &child,
                          must_exist ? "does not exist in the base revision"
                                     : "exists already in the base revision");
    }
  return true;
}

static void
add_keys (GHashTable *set, GArray *list, size_t size)
{
  for (guint i = 0; i < list->len; i++)
    g_hash_table_add (set, list->data + i * size);
}

static bool
parse_list (const json_t *root, const char *change, enum note_section section,
            GArray **out, struct pl_err *err)
{
  const struct note_item_ops *ops = note_section_ops[section];
  const json_t *list
      = json_object_get (json_object_get (root, change), ops->name);
  if (list == NULL)
    return true;
  struct note_path parent = { .member = change };
  struct note_path path = { .parent = &parent, .member = ops->name };
  if (strcmp (change, "withdrawn") == 0)
    return parse_keys (ops, list, &path, *out, err);
  GArray *parsed = note_list_parse (ops, list, &path, false, err);
  if (parsed == NULL)
    return false;
  g_array_unref (*out);
  *out = parsed;
  return true;
}

static bool
check_list (const struct edits *edits, const char *change, GArray *list,
            GHashTable *seen, const struct note_conf *base,
            enum note_section section, struct pl_err *err)
{
  struct note_path parent = { .member = change };
  struct note_path path = { .parent = &parent, .member = edits->ops->name };
  bool must_exist = strcmp (change, "added") != 0;
  return check_keys (edits, list, &path, seen, base, section, must_exist, err);
}

static void
edits_init (struct edits *edits, enum note_section section)
{
  const struct note_item_ops *ops = note_section_ops[section];
  edits->ops = ops;
  edits->added = note_list_new (ops, 0);
  edits->changed = note_list_new (ops, 0);
  edits->withdrawn = note_list_new (ops, 0);
  edits->withdrawn_keys = g_hash_table_new (ops->hash, ops->equal);
  edits->changed_by_key = g_hash_table_new (ops->hash, ops->equal);
}

static void
edits_clear (struct edits *edits)
{
  g_hash_table_destroy (edits->withdrawn_keys);
  g_hash_table_destroy (edits->changed_by_key);
  g_array_unref (edits->added);
  g_array_unref (edits->changed);
  g_array_unref (edits->withdrawn);
}

static bool
edits_check (struct edits *edits, const struct note_conf *base,
             enum note_section section, struct pl_err *err)
{
  GHashTable *seen = g_hash_table_new (edits->ops->hash, edits->ops->equal);
  bool ok = check_list (edits, "added", edits->added, seen, base, section, err)
            && check_list (edits, "changed", edits->changed, seen, base,
                           section, err)
            && check_list (edits, "withdrawn", edits->withdrawn, seen, base,
                           section, err);
  g_hash_table_destroy (seen);
  if (!ok)
    return false;
  unsigned n = 0;
  if (base != NULL)
    note_items (base, section, &n);
  if (n + edits->added->len - edits->withdrawn->len > edits->ops->max_items)
    return note_fail (err, NULL, "more than %u %s", edits->ops->max_items,
                      edits->ops->name);
  add_keys (edits->withdrawn_keys, edits->withdrawn, edits->ops->size);
  add_keys (edits->changed_by_key, edits->changed, edits->ops->size);
  return true;
}

static bool
edits_parse (struct edits *edits, const json_t *root,
             const struct note_conf *base, enum note_section section,
             struct pl_err *err)
{
  return parse_list (root, "added", section, &edits->added, err)
         && parse_list (root, "changed", section, &edits->changed, err)
         && parse_list (root, "withdrawn", section, &edits->withdrawn, err)
         && edits_check (edits, base, section, err);
}

/* A changed worker keeps the revision that added it.  FORMER is null for an
   added worker.  */
static void
set_added_revision (enum note_section section, void *item,
                    const struct note_worker *former, int64_t revision)
{
  if (section == NOTE_WORKERS)
    ((struct note_worker *)item)->added_revision
        = former == NULL ? revision : former->added_revision;
}

static GArray *
edits_apply (const struct edits *edits, const struct note_conf *base,
             enum note_section section, int64_t revision)
{
  size_t size = edits->ops->size;
  unsigned n = 0;
  const char *base_item = base == NULL ? NULL : note_items (base, section, &n);
  GArray *out = note_list_new (edits->ops, n + edits->added->len);
  for (unsigned i = 0; i < n; i++, base_item += size)
    {
      if (g_hash_table_contains (edits->withdrawn_keys, base_item))
        continue;
      const void *replacement
          = g_hash_table_lookup (edits->changed_by_key, base_item);
      g_array_set_size (out, out->len + 1);
      void *to = out->data + (out->len - 1) * size;
      edits->ops->copy (to, replacement == NULL ? base_item : replacement);
      if (replacement != NULL)
        set_added_revision (section, to, (const struct note_worker *)base_item,
                            revision);
    }
  for (guint i = 0; i < edits->added->len; i++)
    {
      g_array_set_size (out, out->len + 1);
      void *to = out->data + (out->len - 1) * size;
      edits->ops->copy (to, edits->added->data + i * size);
      set_added_revision (section, to, NULL, revision);
    }
  return out;
}

/* Parses and checks NOTE; applies it to BASE if OUT is not null.  */
static bool
parse_and_apply (struct pl_str note, const struct note_conf *base,
                 int64_t revision, struct note_conf **out, struct pl_err *err)
{
  json_t *root = parse_note (note, err);
  if (root == NULL)
    return false;
  struct edits edits[NOTE_SECTION_COUNT];
  for (int s = 0; s < NOTE_SECTION_COUNT; s++)
    edits_init (&edits[s], s);
  bool ok = check_top_level (root, base, err);
  for (int s = 0; ok && s < NOTE_SECTION_COUNT; s++)
    ok = edits_parse (&edits[s], root, base, s, err);
  if (ok && out != NULL)
    {
      GArray *lists[NOTE_SECTION_COUNT];
      for (int s = 0; s < NOTE_SECTION_COUNT; s++)
        lists[s] = edits_apply (&edits[s], base, s, revision);
      *out = note_conf_new (revision, lists);
    }
  for (int s = 0; s < NOTE_SECTION_COUNT; s++)
    edits_clear (&edits[s]);
  json_decref (root);
  return ok;
}

bool
note_validate (struct pl_str note, const struct note_conf *base,
               struct pl_err *err)
{
  return parse_and_apply (note, base, 0, NULL, err);
}

struct note_conf *
note_apply (struct pl_str note, const struct note_conf *base, int64_t revision,
            struct pl_err *err)
{
  struct note_conf *conf = NULL;
  parse_and_apply (note, base, revision, &conf, err);
  return conf;
}
