/* Paths and methods.  */
#include "http_priv.h"

#include <string.h>

#define JOBS "/v1/jobs"
#define SERVICES "/v1/services/"

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
  if (!req->http->ops->prefix (req->http->ops, prefix))
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
  bool ready = req->http->ops->ready (req->http->ops);
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
  req->http->ops->status (req->http->ops, text);
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

/* "/v1/jobs" or "/v1/services/<service>/<kind>".  */
static bool
is_submission (const char *path)
{
  if (strcmp (path, JOBS) == 0)
    return true;
  if (!g_str_has_prefix (path, SERVICES))
    return false;
  const char *service = path + strlen (SERVICES);
  const char *slash = strchr (service, '/');
  return slash != NULL && slash != service && slash[1] != '\0'
         && strchr (slash + 1, '/') == NULL;
}

static const char *
key_in_path (const char *path)
{
  if (!g_str_has_prefix (path, JOBS "/"))
    return NULL;
  const char *key = path + strlen (JOBS "/");
  return *key == '\0' || strchr (key, '/') != NULL ? NULL : key;
}

/* Why no operation may start now, or null.  A suspended connection must not
   be left when libmicrohttpd stops.  */
static const char *
closed (struct http *http)
{
  const char *why = NULL;
  g_mutex_lock (&http->lock);
  if (http->stopping)
    why = "the instance stops";
  else if (http->waiting >= (unsigned)http->conf->caller_connections)
    why = "too many open submissions";
  g_mutex_unlock (&http->lock);
  return why;
}

static enum MHD_Result
begin (struct http_req *req)
{
  if (strlen (req->key) > HTTP_KEY_BYTES)
    return http_send_error (req, PL_KEY_MALFORMED, "the key is too long");
  const char *why = closed (req->http);
  if (why != NULL)
    return http_send_error (req, PL_TOO_MANY_CALLERS, why);
  return http_req_start (req);
}

/* The sweeper may read the key at any time.  */
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
  int64_t n = 0;
  if (text == NULL)
    return 0;
  /* An unreadable length is one that does not fit the number.  */
  return pl_str_to_int (pl_str (text), 0, INT64_MAX, &n) ? n : INT64_MAX;
}

static enum MHD_Result
submit (struct http_req *req, bool whole)
{
  if (strcmp (req->method, "POST") != 0)
    return http_send_error (req, PL_BAD_METHOD, "use POST");
  const char *key = MHD_lookup_connection_value (
      req->connection, MHD_HEADER_KIND, "Idempotency-Key");
  if (key == NULL || *key == '\0')
    return http_send_error (req, PL_KEY_MISSING, NULL);
  if (req->key == NULL)
    set_key (req, key);
  if (whole)
    return begin (req);
  /* The owner closes the key of a body that is too large; there is no need to
     read it.  */
  req->too_large = declared_length (req) > req->http->conf->body_bytes;
  return req->too_large ? begin (req) : MHD_YES;
}

static enum MHD_Result
look_up (struct http_req *req, const char *key)
{
  if (strcmp (req->method, "GET") != 0 && strcmp (req->method, "DELETE") != 0)
    return http_send_error (req, PL_BAD_METHOD, "use GET or DELETE");
  set_key (req, key);
  return begin (req);
}

enum MHD_Result
http_route (struct http_req *req, bool whole)
{
  if (is_submission (req->path))
    return submit (req, whole);
  if (!whole)
    return MHD_YES;
  const char *key = key_in_path (req->path);
  if (key != NULL)
    return look_up (req, key);
  for (unsigned i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (req->path, routes[i].path) == 0)
      return strcmp (req->method, routes[i].method) == 0
                 ? routes[i].serve (req)
                 : http_send_error (req, PL_BAD_METHOD, routes[i].method);
  return http_send_error (req, PL_NOT_FOUND, NULL);
}
