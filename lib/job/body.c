/* Parses the JSON body of a submission; errors name the JSON path.  */
#include "job_parse.h"

#include <inttypes.h>
#include <string.h>

#define MAX_DEADLINE_MS 600000
#define MAX_TASK_MS 86400000
#define MAX_MEMORY_MB (INT64_C (1) << 30)

static bool
parse_string (struct job_parser *parser, json_t *root, const char *name,
              char **out)
{
  const char *text = json_string_value (json_object_get (root, name));
  if (text == NULL || text[0] == '\0')
    return pl_fail (&parser->req->parse_err, PL_BAD_REQUEST,
                    "$.%s: must be a string that is not empty", name);
  *out = g_strdup (text);
  return true;
}

/* An optional integer from 0 to MAX; PATH is the JSON path of OBJECT.  */
static bool
parse_int (struct job_parser *parser, json_t *object, const char *path,
           const char *name, int64_t max, int64_t *out)
{
  json_t *value = json_object_get (object, name);
  *out = 0;
  if (value == NULL)
    return true;
  json_int_t number = json_integer_value (value);
  if (!json_is_integer (value) || number < 0 || number > max)
    return pl_fail (&parser->req->parse_err, PL_BAD_REQUEST,
                    "%s.%s: must be an integer from 0 to %" PRId64, path, name,
                    max);
  *out = number;
  return true;
}

static bool
parse_deadline (struct job_parser *parser, json_t *root, int64_t default_ms)
{
  struct job_req *req = parser->req;
  json_t *value = json_object_get (root, "deadline_ms");
  req->deadline_ms = default_ms;
  if (value == NULL)
    return true;
  if (!json_is_integer (value))
    return pl_fail (&req->parse_err, PL_BAD_REQUEST,
                    "$.deadline_ms: must be an integer");
  req->deadline_ms = json_integer_value (value);
  if (req->deadline_ms < 1 || req->deadline_ms > MAX_DEADLINE_MS)
    return pl_fail (&req->parse_err, PL_DEADLINE_PAST,
                    "$.deadline_ms: must be from 1 to %d", MAX_DEADLINE_MS);
  return true;
}

static GBytes *
json_to_bytes (json_t *value)
{
  char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
  return g_bytes_new_with_free_func (text, strlen (text), free, text);
}

/* Parses the members that bodies of both paths have, and finds the request's
   kind in the configuration.  Null if the request can't be run.  */
static const struct note_kind *
parse_common_members (struct job_parser *parser, json_t *root)
{
  struct job_req *req = parser->req;
  if (!parse_string (parser, root, "team", &req->team)
      || !parse_int (parser, root, "$", "ideal_ms", MAX_DEADLINE_MS,
                     &req->ideal_ms))
    return NULL;
  const struct note_kind *kind
      = note_find_kind (parser->conf, req->service, req->kind);
  if (kind == NULL)
    {
      pl_fail (&req->parse_err, PL_UNKNOWN_SERVICE,
               "service %.100s has no kind %.100s", req->service, req->kind);
      return NULL;
    }
  if (note_find_team (parser->conf, req->team) == NULL)
    {
      pl_fail (&req->parse_err, PL_UNKNOWN_TEAM, "no team %.100s", req->team);
      return NULL;
    }
  return parse_deadline (parser, root, kind->deadline_ms) ? kind : NULL;
}

static bool
alloc_tasks (struct job_parser *parser, const struct note_kind *kind, size_t n,
             const char *path)
{
  struct job_req *req = parser->req;
  unsigned max = parser->limits->tasks;
  if (kind->max_tasks > 0)
    max = MIN (max, kind->max_tasks);
  if (n == 0 || n > max)
    return pl_fail (&req->parse_err, PL_TOO_MANY_TASKS,
                    "%s: has %zu tasks, must have 1 to %u", path, n, max);
  req->tasks = g_new0 (struct job_task, n);
  req->n_tasks = (unsigned)n;
  return true;
}

static bool
parse_task (struct job_parser *parser, json_t *value, unsigned index)
{
  struct job_task *task = &parser->req->tasks[index];
  char path[32];
  g_snprintf (path, sizeof path, "$.tasks[%u]", index);
  if (!json_is_object (value))
    return pl_fail (&parser->req->parse_err, PL_BAD_REQUEST,
                    "%s: must be an object", path);
  if (!parse_int (parser, value, path, "size_ms", MAX_TASK_MS, &task->size_ms)
      || !parse_int (parser, value, path, "memory_mb", MAX_MEMORY_MB,
                     &task->memory_mb))
    return false;
  json_t *input = json_object_get (value, "input");
  if (input == NULL)
    return pl_fail (&parser->req->parse_err, PL_BAD_REQUEST,
                    "%s.input: is missing", path);
  task->input = json_to_bytes (input);
  return true;
}

static bool
check_object (struct job_parser *parser, json_t *root)
{
  if (json_is_object (root))
    return true;
  return pl_fail (&parser->req->parse_err, PL_BAD_REQUEST,
                  "$: must be an object");
}

bool
job_parse_jobs_body (struct job_parser *parser, json_t *root)
{
  struct job_req *req = parser->req;
  if (!check_object (parser, root)
      || !parse_string (parser, root, "service", &req->service)
      || !parse_string (parser, root, "kind", &req->kind))
    return false;
  const struct note_kind *kind = parse_common_members (parser, root);
  if (kind == NULL)
    return false;
  json_t *tasks = json_object_get (root, "tasks");
  if (!json_is_array (tasks))
    return pl_fail (&req->parse_err, PL_BAD_REQUEST,
                    "$.tasks: must be an array");
  size_t n = json_array_size (tasks);
  if (!alloc_tasks (parser, kind, n, "$.tasks"))
    return false;
  for (unsigned i = 0; i < n; i++)
    if (!parse_task (parser, json_array_get (tasks, i), i))
      return false;
  return true;
}

/* Makes a task of each element of the fan-out array: the member of INPUT that
   KIND names.  */
static bool
fan_out (struct job_parser *parser, const struct note_kind *kind,
         json_t *input)
{
  struct job_req *req = parser->req;
  char path[128];
  g_snprintf (path, sizeof path, "$.input.%.100s", kind->fan_out);
  json_t *list = json_object_get (input, kind->fan_out);
  if (!json_is_array (list))
    return pl_fail (&req->parse_err, PL_BAD_REQUEST, "%s: must be an array",
                    path);
  size_t n = json_array_size (list);
  if (!alloc_tasks (parser, kind, n, path))
    return false;
  for (unsigned i = 0; i < n; i++)
    req->tasks[i].input = json_to_bytes (json_array_get (list, i));
  return true;
}

bool
job_parse_service_body (struct job_parser *parser, json_t *root)
{
  if (!check_object (parser, root))
    return false;
  const struct note_kind *kind = parse_common_members (parser, root);
  if (kind == NULL)
    return false;
  json_t *input = json_object_get (root, "input");
  if (input == NULL)
    return pl_fail (&parser->req->parse_err, PL_BAD_REQUEST,
                    "$.input: is missing");
  if (kind->fan_out != NULL)
    return fan_out (parser, kind, input);
  /* A kind without a fan-out member has one task, the whole input.  */
  if (!alloc_tasks (parser, kind, 1, "$.input"))
    return false;
  parser->req->tasks[0].input = json_to_bytes (input);
  return true;
}
