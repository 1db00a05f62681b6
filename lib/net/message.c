/* Assembles one HTTP message at a time from the callbacks of http_parser.  The
   parser pauses at the end of each message.  */
#include "net_priv.h"

#include <string.h>
#include <strings.h>

/* Appends BYTES to DEST unless it would have more than MAX bytes.  Like the
   parser's callbacks, returns 0 to go on and 1 to stop.  */
static int
append_bounded (struct net_message *message, GString *dest, const char *bytes,
                size_t len, size_t max)
{
  if (dest->len + len > max)
    {
      message->too_large = true;
      return 1;
    }
  g_string_append_len (dest, bytes, (gssize)len);
  return 0;
}

static int
on_url (http_parser *parser, const char *bytes, size_t len)
{
  struct net_message *message = parser->data;
  return append_bounded (message, message->target, bytes, len,
                         NET_MAX_HEADER_BYTES);
}

static int
on_header_name (http_parser *parser, const char *bytes, size_t len)
{
  struct net_message *message = parser->data;
  if (message->in_value)
    g_string_append_c (message->fields, '\0');
  message->in_value = false;
  return append_bounded (message, message->fields, bytes, len,
                         NET_MAX_HEADER_BYTES);
}

static int
on_header_value (http_parser *parser, const char *bytes, size_t len)
{
  struct net_message *message = parser->data;
  if (!message->in_value)
    g_string_append_c (message->fields, '\0');
  message->in_value = true;
  return append_bounded (message, message->fields, bytes, len,
                         NET_MAX_HEADER_BYTES);
}

static int
on_body (http_parser *parser, const char *bytes, size_t len)
{
  struct net_message *message = parser->data;
  return append_bounded (message, message->body, bytes, len,
                         message->max_body);
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
  .on_header_field = on_header_name,
  .on_header_value = on_header_value,
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
  /* The error of a failed parser is not cleared; its connection is closed.  */
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
  const char *name_at = message->fields->str;
  const char *end = name_at + message->fields->len;
  while (name_at < end)
    {
      const char *value = name_at + strlen (name_at) + 1;
      if (value > end)
        return NULL;
      if (strcasecmp (name_at, name) == 0)
        return value;
      name_at = value + strlen (value) + 1;
    }
  return NULL;
}

bool
net_message_feed (struct net_message *message, struct evbuffer *input)
{
  while (!message->complete)
    {
      if (evbuffer_get_length (input) == 0)
        return true;
      /* The parser takes 0 bytes for the end of the connection: an empty first
         segment must not be passed to it.  */
      const char *data = (const char *)evbuffer_pullup (input, 1);
      size_t used
          = http_parser_execute (&message->parser, &settings, data,
                                 evbuffer_get_contiguous_space (input));
      enum http_errno error = HTTP_PARSER_ERRNO (&message->parser);
      /* After the pause in on_complete, the bytes of the next message stay in
         the input.  */
      evbuffer_drain (input, used);
      if (error == HPE_PAUSED)
        return true;
      if (error != HPE_OK || message->parser.upgrade)
        return false;
    }
  return true;
}
