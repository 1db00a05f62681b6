/* HTTP requests over neon.  */
#include "call.h"

#include <ne_socket.h>
#include <string.h>

bool
call_parse_url (const char *url, struct pl_addr *out)
{
  static const char scheme[] = "http://";
  if (strncmp (url, scheme, sizeof scheme - 1) != 0)
    return false;
  struct pl_str rest = pl_str (url + sizeof scheme - 1);
  if (rest.len > 0 && rest.data[rest.len - 1] == '/')
    rest.len--;
  return pl_addr_parse (rest, out);
}

ne_session *
call_session_new (struct pl_addr addr, int timeout_ms)
{
  static gsize ready = 0;
  if (g_once_init_enter (&ready))
    {
      ne_sock_init ();
      g_once_init_leave (&ready, 1);
    }
  char text[PL_ADDR_TEXT];
  pl_addr_text (addr, text);
  *strchr (text, ':') = '\0';
  ne_session *session = ne_session_create ("http", text, addr.port);
  int seconds = MAX (1, (timeout_ms + 999) / 1000);
  ne_set_read_timeout (session, seconds);
  ne_set_connect_timeout (session, seconds);
  return session;
}

static enum call_result
fail_request (ne_session *session, int status, struct pl_err *err)
{
  pl_fail (err, PL_STORE_UNAVAILABLE, "%s", ne_get_error (session));
  ne_close_connection (session);
  return status == NE_CONNECT || status == NE_LOOKUP ? CALL_UNSENT
                                                     : CALL_UNANSWERED;
}

static bool
read_body (ne_request *req, GString *body, size_t max_answer_bytes)
{
  char block[8192];
  ssize_t n;
  while ((n = ne_read_response_block (req, block, sizeof block)) > 0)
    {
      if (body->len + (size_t)n > max_answer_bytes)
        {
          ne_set_error (ne_get_session (req), "answer over %zu bytes",
                        max_answer_bytes);
          return false;
        }
      g_string_append_len (body, block, n);
    }
  return n == 0;
}

static void
copy_prefix (ne_request *req, struct call_answer *out)
{
  const char *prefix = ne_get_response_header (req, "Idempotency-Prefix");
  g_strlcpy (out->prefix, prefix == NULL ? "" : prefix, sizeof out->prefix);
}

static enum call_result
exchange (ne_session *session, ne_request *req, size_t max_answer_bytes,
          struct call_answer *out, struct pl_err *err)
{
  int status = ne_begin_request (req);
  if (status != NE_OK)
    return fail_request (session, status, err);
  out->status = ne_get_status (req)->code;
  copy_prefix (req, out);
  out->body = g_string_new (NULL);
  if (read_body (req, out->body, max_answer_bytes))
    status = ne_end_request (req);
  else
    status = NE_ERROR;
  if (status == NE_OK || status == NE_RETRY)
    return CALL_ANSWERED;
  g_string_free (out->body, TRUE);
  out->body = NULL;
  fail_request (session, status, err);
  return CALL_UNANSWERED;
}

enum call_result
call_send (ne_session *session, const struct call_req *req,
           struct call_answer *out, struct pl_err *err)
{
  ne_request *request = ne_request_create (session, req->method, req->path);
  if (req->body.data != NULL)
    {
      ne_add_request_header (request, "Content-Type", "application/json");
      ne_set_request_body_buffer (request, req->body.data, req->body.len);
    }
  for (const char *const *header = req->headers;
       header != NULL && *header != NULL; header += 2)
    ne_add_request_header (request, header[0], header[1]);
  enum call_result result
      = exchange (session, request, req->max_answer_bytes, out, err);
  ne_request_destroy (request);
  return result;
}
