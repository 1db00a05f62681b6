/* Section "services": services, each with the kinds of jobs that it runs.  */
#include "item.h"

#include <string.h>

#define MAX_KINDS 64
#define MAX_TASKS 4096 /* upper bound of the setting job-tasks */
#define MAX_DEADLINE_MS 600000
#define MAX_SERVICES 256

static const char *const kind_members[]
    = { "name", "repeatable", "fan_out", "max_tasks", "deadline_ms", NULL };
static const char *const service_members[] = { "name", "kinds", NULL };

static bool
parse_fan_out (const json_t *json, const struct note_path *path,
               struct note_kind *kind, struct pl_err *err)
{
  const json_t *value = json_object_get (json, "fan_out");
  if (value == NULL || json_is_null (value))
    return true;
  struct note_path child = { .parent = path, .member = "fan_out" };
  const char *text = json_string_value (value);
  if (text == NULL || *text == '\0' || strlen (text) > 64)
    return note_fail (err, &child, "must be null or 1 to 64 bytes of text");
  kind->fan_out = g_ref_string_new (text);
  return true;
}

static bool
parse_kind (const json_t *json, const struct note_path *path,
            struct note_kind *kind, struct pl_err *err)
{
  int64_t tasks;
  if (!note_check_members (json, path, kind_members, err)
      || !note_get_name (json, path, "name", &kind->name, err))
    return false;
  const json_t *repeatable = json_object_get (json, "repeatable");
  struct note_path child = { .parent = path, .member = "repeatable" };
  if (!json_is_boolean (repeatable))
    return note_fail (err, &child, "must be true or false");
  kind->repeatable = json_is_true (repeatable);
  if (!parse_fan_out (json, path, kind, err)
      || !note_get_int (json, path, "max_tasks", 1, MAX_TASKS, &tasks, err)
      || !note_get_int (json, path, "deadline_ms", 1, MAX_DEADLINE_MS,
                        &kind->deadline_ms, err))
    return false;
  kind->max_tasks = (unsigned)tasks;
  return true;
}

static bool
is_repeated (const struct note_service *service, unsigned index)
{
  for (unsigned i = 0; i < index; i++)
    if (strcmp (service->kinds[i].name, service->kinds[index].name) == 0)
      return true;
  return false;
}

static bool
service_parse (const json_t *json, const struct note_path *path,
               bool in_snapshot, void *out, struct pl_err *err)
{
  (void)in_snapshot;
  struct note_service *service = out;
  if (!note_check_members (json, path, service_members, err)
      || !note_get_name (json, path, "name", &service->name, err))
    return false;
  const json_t *kinds = json_object_get (json, "kinds");
  struct note_path child = { .parent = path, .member = "kinds" };
  size_t n = json_array_size (kinds);
  if (n < 1 || n > MAX_KINDS)
    return note_fail (err, &child, "must be a list of 1 to %d kinds",
                      MAX_KINDS);
  service->kinds = g_new0 (struct note_kind, n);
  service->n_kinds = (unsigned)n;
  for (unsigned i = 0; i < n; i++)
    {
      struct note_path element = { .parent = &child, .index = i };
      if (!parse_kind (json_array_get (kinds, i), &element, &service->kinds[i],
                       err))
        return false;
      if (is_repeated (service, i))
        return note_fail (err, &element, "names a kind twice");
    }
  return true;
}

static bool
service_parse_key (const json_t *json, const struct note_path *path, void *out,
                   struct pl_err *err)
{
  return note_get_name (json, path, NULL, &((struct note_service *)out)->name,
                        err);
}

static guint
service_hash (const void *item)
{
  return g_str_hash (((const struct note_service *)item)->name);
}

static gboolean
service_equal (const void *a, const void *b)
{
  return strcmp (((const struct note_service *)a)->name,
                 ((const struct note_service *)b)->name)
         == 0;
}

static void
service_copy (void *to, const void *from)
{
  struct note_service *copy = to;
  *copy = *(const struct note_service *)from;
  g_ref_string_acquire (copy->name);
  copy->kinds = g_memdup2 (copy->kinds, copy->n_kinds * sizeof copy->kinds[0]);
  for (unsigned i = 0; i < copy->n_kinds; i++)
    {
      g_ref_string_acquire (copy->kinds[i].name);
      if (copy->kinds[i].fan_out != NULL)
        g_ref_string_acquire (copy->kinds[i].fan_out);
    }
}

static void
service_clear (void *item)
{
  struct note_service *service = item;
  for (unsigned i = 0; i < service->n_kinds; i++)
    {
      g_clear_pointer (&service->kinds[i].name, g_ref_string_release);
      g_clear_pointer (&service->kinds[i].fan_out, g_ref_string_release);
    }
  g_free (service->kinds);
  g_clear_pointer (&service->name, g_ref_string_release);
}

static json_t *
kind_to_json (const struct note_kind *kind)
{
  return json_pack ("{s:s, s:b, s:s?, s:i, s:I}", "name", kind->name,
                    "repeatable", (int)kind->repeatable, "fan_out",
                    kind->fan_out, "max_tasks", (int)kind->max_tasks,
                    "deadline_ms", (json_int_t)kind->deadline_ms);
}

static json_t *
service_to_json (const void *item)
{
  const struct note_service *service = item;
  json_t *kinds = json_array ();
  for (unsigned i = 0; i < service->n_kinds; i++)
    json_array_append_new (kinds, kind_to_json (&service->kinds[i]));
  return json_pack ("{s:s, s:o}", "name", service->name, "kinds", kinds);
}

const struct note_item_ops note_service_ops = {
  .name = "services",
  .size = sizeof (struct note_service),
  .max_items = MAX_SERVICES,
  .hash = service_hash,
  .equal = service_equal,
  .parse = service_parse,
  .parse_key = service_parse_key,
  .copy = service_copy,
  .clear = service_clear,
  .to_json = service_to_json,
};
