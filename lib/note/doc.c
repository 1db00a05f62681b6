/* Writes and reads snapshots, the whole configuration as a JSON document.  */
#include "item.h"

static const char *const members[]
    = { "revision", "services", "teams", "workers", "evacuations", NULL };

char *
note_conf_to_json (const struct note_conf *conf)
{
  json_t *root = json_pack ("{s:I}", "revision", (json_int_t)conf->revision);
  for (int s = 0; s < NOTE_SECTION_COUNT; s++)
    {
      unsigned n;
      const char *item = note_items (conf, s, &n);
      /* Former builds refuse the member.  */
      if (s == NOTE_EVACUATIONS && n == 0)
        continue;
      json_t *list = json_array ();
      for (unsigned i = 0; i < n; i++, item += note_section_ops[s]->size)
        json_array_append_new (list, note_section_ops[s]->to_json (item));
      json_object_set_new (root, note_section_ops[s]->name, list);
    }
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Refuses a list in which a key occurs twice.  */
static bool
check_repeats (const struct note_item_ops *ops, GArray *list,
               const struct note_path *path, struct pl_err *err)
{
  GHashTable *seen = g_hash_table_new (ops->hash, ops->equal);
  bool ok = true;
  for (guint i = 0; ok && i < list->len; i++)
    {
      struct note_path child = { .parent = path, .index = i };
      if (!g_hash_table_add (seen, list->data + i * ops->size))
        ok = note_fail (err, &child, "occurs twice");
    }
  g_hash_table_destroy (seen);
  return ok;
}

static GArray *
parse_section (const json_t *root, enum note_section section,
               struct pl_err *err)
{
  const struct note_item_ops *ops = note_section_ops[section];
  struct note_path path = { .member = ops->name };
  if (section == NOTE_EVACUATIONS && json_object_get (root, ops->name) == NULL)
    return note_list_new (ops, 0);
  GArray *list = note_list_parse (ops, json_object_get (root, ops->name),
                                  &path, true, err);
  if (list != NULL && !check_repeats (ops, list, &path, err))
    {
      g_array_unref (list);
      return NULL;
    }
  return list;
}

static struct note_conf *
parse_snapshot (const json_t *root, struct pl_err *err)
{
  int64_t revision;
  if (!note_check_members (root, NULL, members, err)
      || !note_get_int (root, NULL, "revision", 1, INT64_MAX - 1, &revision,
                        err))
    return NULL;
  GArray *lists[NOTE_SECTION_COUNT] = { NULL };
  int s = 0;
  while (s < NOTE_SECTION_COUNT)
    {
      lists[s] = parse_section (root, s, err);
      if (lists[s] == NULL)
        break;
      s++;
    }
  if (s == NOTE_SECTION_COUNT)
    return note_conf_new (revision, lists);
  while (s-- > 0)
    g_array_unref (lists[s]);
  return NULL;
}

struct note_conf *
note_conf_from_json (struct pl_str text, struct pl_err *err)
{
  json_t *root = note_parse_json (text, err);
  if (root == NULL)
    return NULL;
  struct note_conf *conf = parse_snapshot (root, err);
  json_decref (root);
  return conf;
}
