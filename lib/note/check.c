#include "item.h"

#include <stdio.h>
#include <string.h>

static void
append_path (GString *out, const struct note_at *at)
{
  if (at == NULL)
    {
      g_string_append_c (out, '$');
      return;
    }
  append_path (out, at->up);
  if (at->member != NULL)
    g_string_append_printf (out, ".%.64s", at->member);
  else
    g_string_append_printf (out, "[%zu]", at->index);
}

bool
note_refuse (struct pl_err *err, const struct note_at *at, const char *fmt,
             ...)
{
  char rule[160];
  va_list args;
  va_start (args, fmt);
  vsnprintf (rule, sizeof rule, fmt, args);
  va_end (args);
  g_autoptr (GString) path = g_string_new (NULL);
  append_path (path, at);
  return pl_fail (err, PL_NOTE_INVALID, "%s: %s", path->str, rule);
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
note_members (const json_t *object, const struct note_at *at,
              const char *const *allowed, struct pl_err *err)
{
  if (!json_is_object (object))
    return note_refuse (err, at, "must be an object");
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)object, name, value)
  {
    struct note_at here = { .up = at, .member = name };
    if (!is_listed (name, allowed))
      return note_refuse (err, &here, "unknown member");
  }
  return true;
}

bool
note_get_int (const json_t *object, const struct note_at *at, const char *name,
              int64_t min, int64_t max, int64_t *out, struct pl_err *err)
{
  const json_t *value = json_object_get (object, name);
  struct note_at here = { .up = at, .member = name };
  if (!json_is_integer (value) || json_integer_value (value) < min
      || json_integer_value (value) > max)
    return note_refuse (err, &here, "must be a whole number from %lld to %lld",
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
note_get_name (const json_t *object, const struct note_at *at,
               const char *name, char **out, struct pl_err *err)
{
  const json_t *value = name == NULL ? object : json_object_get (object, name);
  struct note_at here = { .up = at, .member = name };
  if (!json_is_string (value) || !is_name (json_string_value (value)))
    return note_refuse (err, name == NULL ? at : &here,
                        "must be 1 to 64 characters of [a-z0-9-]");
  /* Not interned: GLib's interning races with a release on another thread,
     which gave freed strings in racing folds.  */
  *out = g_ref_string_new (json_string_value (value));
  return true;
}

json_t *
note_load (struct pl_str text, struct pl_err *err)
{
  json_error_t error;
  json_t *root
      = json_loadb (text.data, text.len, JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    pl_fail (err, PL_NOTE_INVALID, "$: not valid JSON, line %d: %s",
             error.line, error.text);
  return root;
}
