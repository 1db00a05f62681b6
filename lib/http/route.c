/* Selects what a request does by its path and method.  */
#include "http_priv.h"

#include <string.h>

#define JOBS_PATH "/v1/jobs"
#define SERVICES_PATH "/v1/services/"

struct route
{
  const char *path;
  const char *method;
  enum MHD_Result (*serve) (struct http_req *req);
};

static enum MHD_Result
send_plain (struct http_req *req, unsigned status, const char *text)
{
  return http_send_text (req, status, "text/plain", g_string_new (text));
}

static enum MHD_Result
serve_prefix (struct http_req *req)
{
  char prefix[CLAIM_PREFIX_TEXT];
  if (!req->http->ops->get_prefix (req->http->ops, prefix))
    return http_send_error (req, PL_NOT_READY, "no key prefix yet");
  GString *text = g_string_new (NULL);
  g_string_printf (text, "{\"prefix\":\"%s\"}", prefix);
  return http_send_text (req, 200, "application/json", text);
}

static enum MHD_Result
serve_health (struct http_req *req)
{
  return send_plain (req, 200, "ok\n");
}

static enum MHD_Result
serve_ready (struct http_req *req)
{
  bool ready = req->http->ops->is_ready (req->http->ops);
  return ready ? send_plain (req, 200, "ready\n")
               : send_plain (req, 503, "not ready\n");
}

static enum MHD_Result
serve_metrics (struct http_req *req)
{
  GString *text = g_string_new (NULL);
  pl_append_counters (text);
  return http_send_text (req, 200, "text/plain; version=0.0.4", text);
}

static enum MHD_Result
serve_status (struct http_req *req)
{
  GString *text = g_string_new (NULL);
  req->http->ops->append_status (req->http->ops, text);
  return http_send_text (req, 200, "application/json", text);
}

static enum MHD_Result
serve_drain (struct http_req *req)
{
  req->http->ops->drain (req->http->ops);
  return http_send_text (req, 200, "application/json",
                         g_string_new ("{\"draining\":true}"));
}

static const struct route routes[] = {
  { "/v1/prefix", "GET", serve_prefix }, { "/healthz", "GET", serve_health },
  { "/readyz", "GET", serve_ready },     { "/metrics", "GET", serve_metrics },
  { "/v1/status", "GET", serve_status }, { "/v1/drain", "POST", serve_drain },
};

/* Whether PATH is "/v1/jobs" or "/v1/services/<service>/<kind>".  */
static bool
is_submission (const char *path)
{
  if (strcmp (path, JOBS_PATH) == 0)
    return true;
  if (!g_str_has_prefix (path, SERVICES_PATH))
    return false;
  const char *service = path + strlen (SERVICES_PATH);
  const char *slash = strchr (service, '/');
  return slash != NULL && slash != service && slash[1] != '\0'
         && strchr (slash + 1, '/') == NULL;
}

static const char *
key_in_path (const char *path)
{
  if (!g_str_has_prefix (path, JOBS_PATH "/"))
    return NULL;
  const char *key = path + strlen (JOBS_PATH "/");
  return *key == '\0' || strchr (key, '/') != NULL ? NULL : key;
}

/* Returns why no operation may start now, or null.  While the server stops
   none may, since no connection may be suspended when libmicrohttpd stops.  */
static const char *
refusal_reason (struct http *http)
{
  const char *reason = NULL;
  g_mutex_lock (&http->lock);
  if (http->stopping)
    reason = "the instance stops";
  else if (http->open_operations >= (unsigned)http->conf->caller_connections)
    reason = "too many open submissions";
  g_mutex_unlock (&http->lock);
  return reason;
}

static enum MHD_Result
check_and_start (struct http_req *req)
{
  if (strlen (req->key) > HTTP_KEY_BYTES)
    return http_send_error (req, PL_KEY_MALFORMED, "the key is too long");
  const char *reason = refusal_reason (req->http);
  if (reason != NULL)
    return http_send_error (req, PL_TOO_MANY_CALLERS, reason);
  return http_req_start (req);
}

/* Takes the lock, since the sweeper may read the key at any time.  */
static void
set_key (struct http_req *req, const char *key)
{
  g_mutex_lock (&req->lock);
  req->key = g_strdup (key);
  g_mutex_unlock (&req->lock);
}

static int64_t
declared_length (struct http_req *req)
{
  const char *text = MHD_lookup_connection_value (
      req->connection, MHD_HEADER_KIND, "Content-Length");
  int64_t length = 0;
  if (text == NULL)
    return 0;
  /* A length that can't be parsed is too large for the type.  */
  return pl_str_to_int (pl_str (text), 0, INT64_MAX, &length) ? length
                                                              : INT64_MAX;
}

static enum MHD_Result
handle_submission (struct http_req *req, bool body_complete)
{
  if (strcmp (req->method, "POST") != 0)
    return http_send_error (req, PL_BAD_METHOD, "use POST");
  const char *key = MHD_lookup_connection_value (
      req->connection, MHD_HEADER_KIND, "Idempotency-Key");
  if (key == NULL || *key == '\0')
    return http_send_error (req, PL_KEY_MISSING, NULL);
  if (req->key == NULL)
    set_key (req, key);
  if (body_complete)
    return check_and_start (req);
  /* A body that is too large need not be read: the answer of the key's owner
     then depends only on the key.  */
  req->body_too_large = declared_length (req) > req->http->conf->body_bytes;
  return req->body_too_large ? check_and_start (req) : MHD_YES;
}

static enum MHD_Result
handle_key (struct http_req *req, const char *key)
{
  if (strcmp (req->method, "GET") != 0 && strcmp (req->method, "DELETE") != 0)
    return http_send_error (req, PL_BAD_METHOD, "use GET or DELETE");
  set_key (req, key);
  return check_and_start (req);
}

enum MHD_Result
http_route (struct http_req *req, bool body_complete)
{
  if (is_submission (req->path))
    return handle_submission (req, body_complete);
  if (!body_complete)
    return MHD_YES;
  const char *key = key_in_path (req->path);
  if (key != NULL)
    return handle_key (req, key);
  for (unsigned i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (req->path, routes[i].path) == 0)
      return strcmp (req->method, routes[i].method) == 0
                 ? routes[i].serve (req)
                 : http_send_error (req, PL_BAD_METHOD, routes[i].method);
  return http_send_error (req, PL_NOT_FOUND, NULL);
}
