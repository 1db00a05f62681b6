/* Section "evacuations": the failure domains on whose workers no task starts.
 */
#include "item.h"

#include <string.h>

#define MAX_EVACUATIONS 256 /* above any fleet's number of domains */

static const char *const members[] = { "domain", NULL };

static bool
evacuation_parse (const json_t *json, const struct note_path *path,
                  bool in_snapshot, void *out, struct pl_err *err)
{
  (void)in_snapshot;
  return note_check_members (json, path, members, err)
         && note_get_name (json, path, "domain",
                           &((struct note_evacuation *)out)->domain, err);
}

static bool
evacuation_parse_key (const json_t *json, const struct note_path *path,
                      void *out, struct pl_err *err)
{
  return note_get_name (json, path, NULL,
                        &((struct note_evacuation *)out)->domain, err);
}

static guint
evacuation_hash (const void *item)
{
  return g_str_hash (((const struct note_evacuation *)item)->domain);
}

static gboolean
evacuation_equal (const void *a, const void *b)
{
  return strcmp (((const struct note_evacuation *)a)->domain,
                 ((const struct note_evacuation *)b)->domain)
         == 0;
}

static void
evacuation_copy (void *to, const void *from)
{
  struct note_evacuation *copy = to;
  *copy = *(const struct note_evacuation *)from;
  g_ref_string_acquire (copy->domain);
}

static void
evacuation_clear (void *item)
{
  g_clear_pointer (&((struct note_evacuation *)item)->domain,
                   g_ref_string_release);
}

static json_t *
evacuation_to_json (const void *item)
{
  return json_pack ("{s:s}", "domain",
                    ((const struct note_evacuation *)item)->domain);
}

const struct note_item_ops note_evacuation_ops = {
  .name = "evacuations",
  .size = sizeof (struct note_evacuation),
  .max_items = MAX_EVACUATIONS,
  .hash = evacuation_hash,
  .equal = evacuation_equal,
  .parse = evacuation_parse,
  .parse_key = evacuation_parse_key,
  .copy = evacuation_copy,
  .clear = evacuation_clear,
  .to_json = evacuation_to_json,
};
