/* Sends answers with their headers.  */
#include "http_priv.h"

#include <string.h>

#define JSON_TYPE "application/json"

static void
add_headers (struct http_req *req, struct MHD_Response *response,
             const char *type)
{
  char prefix[CLAIM_PREFIX_TEXT];
  MHD_add_response_header (response, "Content-Type", type);
  if (req->http->ops->get_prefix (req->http->ops, prefix))
    MHD_add_response_header (response, "Idempotency-Prefix", prefix);
}

static enum MHD_Result
queue_response (struct http_req *req, unsigned status,
                struct MHD_Response *response)
{
  g_mutex_lock (&req->lock);
  bool open = req->state != HTTP_CUT;
  if (open)
    req->state = HTTP_SENDING;
  g_mutex_unlock (&req->lock);
  enum MHD_Result result = MHD_NO;
  if (open)
    result = MHD_queue_response (req->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
free_bytes (void *bytes)
{
  g_bytes_unref (bytes);
}

enum MHD_Result
http_send_reply (struct http_req *req, struct job_reply *reply)
{
  gsize size = 0;
  void *data = (void *)g_bytes_get_data (reply->body, &size);
  struct MHD_Response *response
      = MHD_create_response_from_buffer_with_free_callback_cls (
          size, data, free_bytes, g_bytes_ref (reply->body));
  add_headers (req, response, JSON_TYPE);
  if (reply->retry_after_ms > 0)
    {
      /* The header has whole seconds.  They are rounded up, so that a caller
         does not try again too early.  */
      char text[24];
      g_snprintf (text, sizeof text, "%lld",
                  (long long)((reply->retry_after_ms + 999) / 1000));
      MHD_add_response_header (response, "Retry-After", text);
    }
  return queue_response (req, (unsigned)pl_code_info (reply->code)->http,
                         response);
}

enum MHD_Result
http_send_error (struct http_req *req, enum pl_code code, const char *detail)
{
  struct job_reply *reply = job_reply_error (
      pl_str (req->key == NULL ? "" : req->key), code, 0, detail, NULL, 0);
  enum MHD_Result result = http_send_reply (req, reply);
  job_reply_unref (reply);
  return result;
}

enum MHD_Result
http_send_text (struct http_req *req, unsigned status, const char *type,
                GString *text)
{
  gsize size = text->len;
  struct MHD_Response *response
      = MHD_create_response_from_buffer_with_free_callback (
          size, g_string_free (text, FALSE), g_free);
  add_headers (req, response, type);
  return queue_response (req, status, response);
}
