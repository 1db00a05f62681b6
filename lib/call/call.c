#include "call.h"

#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <string.h>

struct call
{
  ne_session *session;
};

void
call_init (void)
{
  ne_sock_init ();
}

struct call *
call_new (struct pl_addr addr, int timeout_s)
{
  char text[PL_ADDR_TEXT];
  pl_addr_text (addr, text);
  *strchr (text, ':') = '\0';
  struct call *call = g_new0 (struct call, 1);
  call->session = ne_session_create ("http", text, addr.port);
  ne_set_connect_timeout (call->session, timeout_s);
  ne_set_read_timeout (call->session, timeout_s);
  return call;
}

void
call_free (struct call *call)
{
  ne_session_destroy (call->session);
  g_free (call);
}

static int
read_block (void *user, const char *data, size_t len)
{
  GString *body = user;
  if (body->len + len > CALL_MAX_BYTES)
    return 1;
  g_string_append_len (body, data, (gssize)len);
  return 0;
}

static void
copy_prefix (ne_request *req, struct call_reply *reply)
{
  const char *prefix = ne_get_response_header (req, "Idempotency-Prefix");
  if (prefix != NULL)
    g_strlcpy (reply->prefix, prefix, sizeof reply->prefix);
}

bool
call_do (struct call *call, const char *method, const char *path,
         const char *key, const char *body, struct call_reply *reply)
{
  *reply = (struct call_reply){ .body = g_string_new (NULL) };
  ne_request *req = ne_request_create (call->session, method, path);
  if (key != NULL)
    ne_add_request_header (req, "Idempotency-Key", key);
  if (body != NULL)
    {
      ne_add_request_header (req, "Content-Type", "application/json");
      ne_set_request_body_buffer (req, body, strlen (body));
    }
  ne_add_response_body_reader (req, ne_accept_always, read_block, reply->body);
  int result = ne_request_dispatch (req);
  if (result == NE_OK)
    {
      reply->status = ne_get_status (req)->code;
      copy_prefix (req, reply);
    }
  reply->refused = result == NE_CONNECT;
  ne_request_destroy (req);
  return result == NE_OK;
}

void
call_reply_clear (struct call_reply *reply)
{
  if (reply->body != NULL)
    g_string_free (reply->body, TRUE);
  reply->body = NULL;
}
