/* Reads and checks members of a note or snapshot; an error names the JSON path
   of the member and the rule that it breaks.  */
#include "item.h"

#include <stdio.h>
#include <string.h>

static void
append_path (GString *out, const struct note_path *path)
{
  if (path == NULL)
    {
      g_string_append_c (out, '$');
      return;
    }
  append_path (out, path->parent);
  if (path->member != NULL)
    g_string_append_printf (out, ".%.64s", path->member);
  else
    g_string_append_printf (out, "[%zu]", path->index);
}

bool
note_fail (struct pl_err *err, const struct note_path *path, const char *fmt,
           ...)
{
  char rule[160];
  va_list args;
  va_start (args, fmt);
  vsnprintf (rule, sizeof rule, fmt, args);
  va_end (args);
  g_autoptr (GString) path_text = g_string_new (NULL);
  append_path (path_text, path);
  return pl_fail (err, PL_NOTE_INVALID, "%s: %s", path_text->str, rule);
}

static bool
is_listed (const char *name, const char *const *list)
{
  for (; *list != NULL; list++)
    if (strcmp (name, *list) == 0)
      return true;
  return false;
}

bool
note_check_members (const json_t *object, const struct note_path *path,
                    const char *const *allowed, struct pl_err *err)
{
  if (!json_is_object (object))
    return note_fail (err, path, "must be an object");
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)object, name, value)
  {
    struct note_path child = { .parent = path, .member = name };
    if (!is_listed (name, allowed))
      return note_fail (err, &child, "unknown member");
  }
  return true;
}

bool
note_get_int (const json_t *object, const struct note_path *path,
              const char *name, int64_t min, int64_t max, int64_t *out,
              struct pl_err *err)
{
  const json_t *value = json_object_get (object, name);
  struct note_path child = { .parent = path, .member = name };
  if (!json_is_integer (value) || json_integer_value (value) < min
      || json_integer_value (value) > max)
    return note_fail (err, &child, "must be a whole number from %lld to %lld",
                      (long long)min, (long long)max);
  *out = json_integer_value (value);
  return true;
}

static bool
is_name (const char *text)
{
  size_t len = strlen (text);
  return len >= 1 && len <= 64
         && strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-") == len;
}

bool
note_get_name (const json_t *object, const struct note_path *path,
               const char *name, char **out, struct pl_err *err)
{
  const json_t *value = name == NULL ? object : json_object_get (object, name);
  struct note_path child = { .parent = path, .member = name };
  if (!json_is_string (value) || !is_name (json_string_value (value)))
    return note_fail (err, name == NULL ? path : &child,
                      "must be 1 to 64 characters of [a-z0-9-]");
  /* Not interned: GLib's interning races with a release on another thread.
     When two threads applied notes at once, names pointed to freed strings. */
  *out = g_ref_string_new (json_string_value (value));
  return true;
}

json_t *
note_parse_json (struct pl_str text, struct pl_err *err)
{
  json_error_t error;
  json_t *root
      = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    pl_fail (err, PL_NOTE_INVALID, "$: not valid JSON, line %d: %s",
             error.line, error.text);
  return root;
}
