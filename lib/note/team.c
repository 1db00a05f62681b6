/* Section "teams": the weight and the slot limit of each team.  */
#include "item.h"

#include <string.h>

#define MAX_WEIGHT 1000
#define MAX_TEAM_SLOTS 1000000
#define MAX_TEAMS 4096

static const char *const members[] = { "name", "weight", "max_slots", NULL };

static bool
team_parse (const json_t *json, const struct note_path *path, bool in_snapshot,
            void *out, struct pl_err *err)
{
  (void)in_snapshot;
  struct note_team *team = out;
  int64_t weight;
  int64_t slots = 0;
  if (!note_check_members (json, path, members, err)
      || !note_get_name (json, path, "name", &team->name, err)
      || !note_get_int (json, path, "weight", 1, MAX_WEIGHT, &weight, err))
    return false;
  if (json_object_get (json, "max_slots") != NULL
      && !note_get_int (json, path, "max_slots", 0, MAX_TEAM_SLOTS, &slots,
                        err))
    return false;
  team->weight = (unsigned)weight;
  team->max_slots = (unsigned)slots;
  return true;
}

static bool
team_parse_key (const json_t *json, const struct note_path *path, void *out,
                struct pl_err *err)
{
  return note_get_name (json, path, NULL, &((struct note_team *)out)->name,
                        err);
}

static guint
team_hash (const void *item)
{
  return g_str_hash (((const struct note_team *)item)->name);
}

static gboolean
team_equal (const void *a, const void *b)
{
  return strcmp (((const struct note_team *)a)->name,
                 ((const struct note_team *)b)->name)
         == 0;
}

static void
team_copy (void *to, const void *from)
{
  struct note_team *copy = to;
  *copy = *(const struct note_team *)from;
  g_ref_string_acquire (copy->name);
}

static void
team_clear (void *item)
{
  g_clear_pointer (&((struct note_team *)item)->name, g_ref_string_release);
}

static json_t *
team_to_json (const void *item)
{
  const struct note_team *team = item;
  return json_pack ("{s:s, s:i, s:i}", "name", team->name, "weight",
                    (int)team->weight, "max_slots", (int)team->max_slots);
}

const struct note_item_ops note_team_ops = {
  .name = "teams",
  .size = sizeof (struct note_team),
  .max_items = MAX_TEAMS,
  .hash = team_hash,
  .equal = team_equal,
  .parse = team_parse,
  .parse_key = team_parse_key,
  .copy = team_copy,
  .clear = team_clear,
  .to_json = team_to_json,
};
