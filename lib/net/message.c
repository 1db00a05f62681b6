/* Collects one HTTP message from the parser's callbacks.  */
#include "net_priv.h"

#include <string.h>
#include <strings.h>

static int
append_bounded (struct net_message *message, GString *to, const char *at,
                size_t len, size_t max)
{
  if (to->len + len > max)
    {
      message->too_large = true;
      return 1;
    }
  g_string_append_len (to, at, (gssize)len);
  return 0;
}

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  struct net_message *message = parser->data;
  return append_bounded (message, message->target, at, len,
                         NET_MAX_HEADER_BYTES);
}

static int
on_field (http_parser *parser, const char *at, size_t len)
{
  struct net_message *message = parser->data;
  if (message->in_value)
    g_string_append_c (message->fields, '\0');
  message->in_value = false;
  return append_bounded (message, message->fields, at, len,
                         NET_MAX_HEADER_BYTES);
}

static int
on_value (http_parser *parser, const char *at, size_t len)
{
  struct net_message *message = parser->data;
  if (!message->in_value)
    g_string_append_c (message->fields, '\0');
  message->in_value = true;
  return append_bounded (message, message->fields, at, len,
                         NET_MAX_HEADER_BYTES);
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  struct net_message *message = parser->data;
  return append_bounded (message, message->body, at, len, message->max_body);
}

static int
on_complete (http_parser *parser)
{
  struct net_message *message = parser->data;
  message->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings settings = {
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
net_message_init (struct net_message *message, enum http_parser_type type,
                  size_t max_body)
{
  *message = (struct net_message){
    .target = g_string_sized_new (32),
    .fields = g_string_sized_new (128),
    .body = g_string_sized_new (128),
    .max_body = max_body,
  };
  http_parser_init (&message->parser, type);
  message->parser.data = message;
}

void
net_message_reset (struct net_message *message)
{
  g_string_truncate (message->target, 0);
  g_string_truncate (message->fields, 0);
  g_string_truncate (message->body, 0);
  message->in_value = false;
  message->complete = false;
  /* A parser that has failed can't go on; its connection is closed.  */
  if (HTTP_PARSER_ERRNO (&message->parser) == HPE_PAUSED)
    http_parser_pause (&message->parser, 0);
}

void
net_message_clear (struct net_message *message)
{
  g_string_free (message->target, TRUE);
  g_string_free (message->fields, TRUE);
  g_string_free (message->body, TRUE);
}

const char *
net_message_header (const struct net_message *message, const char *name)
{
  const char *p = message->fields->str;
  const char *end = p + message->fields->len;
  while (p < end)
    {
      const char *value = p + strlen (p) + 1;
      if (value > end)
        return NULL;
      if (strcasecmp (p, name) == 0)
        return value;
      p = value + strlen (value) + 1;
    }
  return NULL;
}

bool
net_message_feed (struct net_message *message, struct evbuffer *input)
{
  while (!message->complete)
    {
      struct evbuffer_iovec chunk;
      if (evbuffer_peek (input, -1, NULL, &chunk, 1) < 1)
        return true;
      size_t used = http_parser_execute (&message->parser, &settings,
                                         chunk.iov_base, chunk.iov_len);
      enum http_errno error = HTTP_PARSER_ERRNO (&message->parser);
      /* A pause in on_message_complete leaves the last byte unread.  */
      evbuffer_drain (input, used);
      if (error == HPE_PAUSED)
        return true;
      if (error != HPE_OK || message->parser.upgrade)
        return false;
    }
  return true;
}
