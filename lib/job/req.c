/* Creates a request from the key, path and body of a submission.  */
#include "job_parse.h"

#include <string.h>

#define JOBS_PATH "/v1/jobs"
#define SERVICES_PATH "/v1/services/"

static void
hash_request (struct job_req *req, struct pl_str path, struct pl_str body)
{
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)path.data, (gssize)path.len);
  /* A null byte separates path and body, so that moving bytes from one to the
     other changes the hash.  */
  g_checksum_update (sum, (const guchar *)"", 1);
  g_checksum_update (sum, (const guchar *)body.data, (gssize)body.len);
  gsize len = sizeof req->hash;
  g_checksum_get_digest (sum, req->hash, &len);
  g_checksum_free (sum);
}

/* Sets service and kind from "/v1/services/<service>/<kind>".  */
static bool
split_path (struct job_req *req)
{
  if (!g_str_has_prefix (req->path, SERVICES_PATH))
    return false;
  const char *service = req->path + strlen (SERVICES_PATH);
  const char *slash = strchr (service, '/');
  if (slash == NULL || slash == service || slash[1] == '\0'
      || strchr (slash + 1, '/') != NULL)
    return false;
  req->service = g_strndup (service, (gsize)(slash - service));
  req->kind = g_strdup (slash + 1);
  return true;
}

static bool
parse_request (struct job_parser *parser, struct pl_str path,
               struct pl_str body)
{
  struct job_req *req = parser->req;
  if (body.len > parser->limits->body_bytes)
    return pl_fail (&req->parse_err, PL_BODY_TOO_LARGE,
                    "the body has %zu bytes, the limit is %zu", body.len,
                    parser->limits->body_bytes);
  bool is_jobs_path = pl_str_eq (path, pl_str (JOBS_PATH));
  /* A null byte would hide the rest of the path from split_path.  */
  if (!is_jobs_path && (strlen (req->path) != path.len || !split_path (req)))
    return pl_fail (&req->parse_err, PL_NOT_FOUND, "no such path");
  if (parser->conf == NULL)
    return pl_fail (&req->parse_err, PL_NOT_READY, "no configuration yet");
  json_error_t error;
  json_t *root = json_loadb (body.len == 0 ? "" : body.data, body.len,
                             JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    return pl_fail (&req->parse_err, PL_BAD_JSON, "line %d column %d: %s",
                    error.line, error.column, error.text);
  bool ok = is_jobs_path ? job_parse_jobs_body (parser, root)
                         : job_parse_service_body (parser, root);
  json_decref (root);
  return ok;
}

static void
clear_tasks (struct job_req *req)
{
  for (unsigned i = 0; i < req->n_tasks; i++)
    if (req->tasks[i].input != NULL)
      g_bytes_unref (req->tasks[i].input);
  g_free (req->tasks);
  req->tasks = NULL;
  req->n_tasks = 0;
}

static void
clear_parsed (struct job_req *req)
{
  clear_tasks (req);
  g_clear_pointer (&req->service, g_free);
  g_clear_pointer (&req->kind, g_free);
  g_clear_pointer (&req->team, g_free);
}

struct job_req *
job_req_parse (struct pl_str key, struct pl_str path, struct pl_str body,
               const struct job_limits *limits, const struct note_conf *conf)
{
  struct job_req *req = g_new0 (struct job_req, 1);
  g_atomic_ref_count_init (&req->refs);
  req->key = g_strndup (key.data, key.len);
  req->path = g_strndup (path.data, path.len);
  hash_request (req, path, body);
  struct job_parser parser = { .req = req, .limits = limits, .conf = conf };
  if (!parse_request (&parser, path, body))
    {
      clear_parsed (req);
      req->deadline_ms = 0;
      req->ideal_ms = 0;
    }
  return req;
}

struct job_req *
job_req_ref (struct job_req *req)
{
  g_atomic_ref_count_inc (&req->refs);
  return req;
}

void
job_req_unref (struct job_req *req)
{
  if (req == NULL || !g_atomic_ref_count_dec (&req->refs))
    return;
  clear_parsed (req);
  g_free (req->key);
  g_free (req->path);
  g_free (req);
}
