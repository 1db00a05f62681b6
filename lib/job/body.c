#include "job_parse.h"

#include <inttypes.h>
#include <string.h>

#define DEADLINE_MAX_MS 600000
#define SIZE_MAX_MS 86400000
#define MEMORY_MAX_MB (INT64_C (1) << 30)

static bool
get_string (struct job_parse *parse, json_t *root, const char *name,
            char **out)
{
  const char *text = json_string_value (json_object_get (root, name));
  if (text == NULL || text[0] == '\0')
    return pl_fail (&parse->req->parse_err, PL_BAD_REQUEST,
                    "$.%s: must be a string that is not empty", name);
  *out = g_strdup (text);
  return true;
}

/* An optional integer from 0 to MAX; WHERE is the path of OBJECT.  */
static bool
get_int (struct job_parse *parse, json_t *object, const char *where,
         const char *name, int64_t max, int64_t *out)
{
  json_t *value = json_object_get (object, name);
  *out = 0;
  if (value == NULL)
    return true;
  json_int_t number = json_integer_value (value);
  if (!json_is_integer (value) || number < 0 || number > max)
    return pl_fail (&parse->req->parse_err, PL_BAD_REQUEST,
                    "%s.%s: must be an integer from 0 to %" PRId64, where,
                    name, max);
  *out = number;
  return true;
}

static bool
get_deadline (struct job_parse *parse, json_t *root, int64_t default_ms)
{
  struct job_req *req = parse->req;
  json_t *value = json_object_get (root, "deadline_ms");
  req->deadline_ms = default_ms;
  if (value == NULL)
    return true;
  if (!json_is_integer (value))
    return pl_fail (&req->parse_err, PL_BAD_REQUEST,
                    "$.deadline_ms: must be an integer");
  req->deadline_ms = json_integer_value (value);
  if (req->deadline_ms < 1 || req->deadline_ms > DEADLINE_MAX_MS)
    return pl_fail (&req->parse_err, PL_DEADLINE_PAST,
                    "$.deadline_ms: must be from 1 to %d", DEADLINE_MAX_MS);
  return true;
}

static GBytes *
dump (json_t *value)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

/* Members that both paths have, and the configuration's view of them.  Null if
   the request can't be run.  */
static const struct note_kind *
get_common (struct job_parse *parse, json_t *root)
{
  struct job_req *req = parse->req;
  if (!get_string (parse, root, "team", &req->team)
      || !get_int (parse, root, "$", "ideal_ms", DEADLINE_MAX_MS,
                   &req->ideal_ms))
    return NULL;
  const struct note_kind *kind
      = note_find_kind (parse->conf, req->service, req->kind);
  if (kind == NULL)
    {
      pl_fail (&req->parse_err, PL_UNKNOWN_SERVICE,
               "service %.100s has no kind %.100s", req->service, req->kind);
      return NULL;
    }
  if (note_find_team (parse->conf, req->team) == NULL)
    {
      pl_fail (&req->parse_err, PL_UNKNOWN_TEAM, "no team %.100s", req->team);
      return NULL;
    }
  return get_deadline (parse, root, kind->deadline_ms) ? kind : NULL;
}

static bool
alloc_tasks (struct job_parse *parse, const struct note_kind *kind, size_t n,
             const char *where)
{
  struct job_req *req = parse->req;
  unsigned max = parse->limits->tasks;
  if (kind->max_tasks > 0)
    max = MIN (max, kind->max_tasks);
  if (n == 0 || n > max)
    return pl_fail (&req->parse_err, PL_TOO_MANY_TASKS,
                    "%s: has %zu tasks, must have 1 to %u", where, n, max);
  req->tasks = g_new0 (struct job_task, n);
  req->n_tasks = (unsigned)n;
  return true;
}

static bool
get_task (struct job_parse *parse, json_t *value, unsigned index)
{
  struct job_task *task = &parse->req->tasks[index];
  char where[32];
  g_snprintf (where, sizeof where, "$.tasks[%u]", index);
  if (!json_is_object (value))
    return pl_fail (&parse->req->parse_err, PL_BAD_REQUEST,
                    "%s: must be an object", where);
  if (!get_int (parse, value, where, "size_ms", SIZE_MAX_MS, &task->size_ms)
      || !get_int (parse, value, where, "memory_mb", MEMORY_MAX_MB,
                   &task->memory_mb))
    return false;
  json_t *input = json_object_get (value, "input");
  if (input == NULL)
    return pl_fail (&parse->req->parse_err, PL_BAD_REQUEST,
                    "%s.input: is missing", where);
  task->input = dump (input);
  return true;
}

static bool
check_object (struct job_parse *parse, json_t *root)
{
  if (json_is_object (root))
    return true;
  return pl_fail (&parse->req->parse_err, PL_BAD_REQUEST,
                  "$: must be an object");
}

bool
job_parse_job (struct job_parse *parse, json_t *root)
{
  struct job_req *req = parse->req;
  if (!check_object (parse, root)
      || !get_string (parse, root, "service", &req->service)
      || !get_string (parse, root, "kind", &req->kind))
    return false;
  const struct note_kind *kind = get_common (parse, root);
  if (kind == NULL)
    return false;
  json_t *tasks = json_object_get (root, "tasks");
  if (!json_is_array (tasks))
    return pl_fail (&req->parse_err, PL_BAD_REQUEST,
                    "$.tasks: must be an array");
  size_t n = json_array_size (tasks);
  if (!alloc_tasks (parse, kind, n, "$.tasks"))
    return false;
  for (unsigned i = 0; i < n; i++)
    if (!get_task (parse, json_array_get (tasks, i), i))
      return false;
  return true;
}

/* The elements of the fan-out array become the tasks; without one the whole
   input is one task.  */
static bool
fan_out (struct job_parse *parse, const struct note_kind *kind, json_t *input)
{
  struct job_req *req = parse->req;
  char where[128];
  g_snprintf (where, sizeof where, "$.input.%.100s", kind->fan_out);
  json_t *list = json_object_get (input, kind->fan_out);
  if (!json_is_array (list))
    return pl_fail (&req->parse_err, PL_BAD_REQUEST, "%s: must be an array",
                    where);
  size_t n = json_array_size (list);
  if (!alloc_tasks (parse, kind, n, where))
    return false;
  for (unsigned i = 0; i < n; i++)
    req->tasks[i].input = dump (json_array_get (list, i));
  return true;
}

bool
job_parse_call (struct job_parse *parse, json_t *root)
{
  if (!check_object (parse, root))
    return false;
  const struct note_kind *kind = get_common (parse, root);
  if (kind == NULL)
    return false;
  json_t *input = json_object_get (root, "input");
  if (input == NULL)
    return pl_fail (&parse->req->parse_err, PL_BAD_REQUEST,
                    "$.input: is missing");
  if (kind->fan_out != NULL)
    return fan_out (parse, kind, input);
  if (!alloc_tasks (parse, kind, 1, "$.input"))
    return false;
  parse->req->tasks[0].input = dump (input);
  return true;
}
