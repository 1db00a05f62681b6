/* Log events as text or JSON lines.  */
#include "pl.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define BUFFER_BYTES 65536 /* lines that standard output has not taken */

static bool json_format;
static GLogLevelFlags lowest_level = G_LOG_LEVEL_INFO;

/* Lines that pl_log_flush will write.  */
static struct
{
  GString *text; /* null: lines are written at once */
  struct pl_clock *clock;
  unsigned max_lines_per_s;
  int64_t second;
  unsigned lines; /* since the start of SECOND */
  unsigned dropped;
} buffer;

static const struct pl_event_info *
event_info (enum pl_event event)
{
  for (unsigned i = 0; i < pl_event_count; i++)
    if (pl_event_table[i].event == event)
      return &pl_event_table[i];
  return &pl_event_table[0];
}

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_MESSAGE)
    return "notice";
  return "info";
}

static void
append_json_string (GString *out, const char *text, size_t len)
{
  g_string_append_c (out, '"');
  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char)text[i];
      if (c == '"' || c == '\\')
        g_string_append_printf (out, "\\%c", c);
      else if (c < 0x20)
        g_string_append_printf (out, "\\u%04x", c);
      else
        g_string_append_c (out, (char)c);
    }
  g_string_append_c (out, '"');
}

/* Finds the end of the value that starts at TEXT; a value in double quotes may
   contain spaces.  */
static const char *
find_value_end (const char *text)
{
  if (*text != '"')
    return text + strcspn (text, " ");
  const char *end = strchr (text + 1, '"');
  return end == NULL ? text + strlen (text) : end + 1;
}

/* Appends the fields of a line, such as a=1 b="x y", as JSON members.  What is
   left at the first word without a name goes to the member "text".  */
static void
append_json_fields (GString *out, const char *text)
{
  while (*text != '\0')
    {
      const char *equals = strchr (text, '=');
      size_t name = equals == NULL ? 0 : (size_t)(equals - text);
      if (equals == NULL || memchr (text, ' ', name) != NULL)
        {
          g_string_append (out, ",\"text\":");
          append_json_string (out, text, strlen (text));
          return;
        }
      const char *value = equals + 1;
      const char *end = find_value_end (value);
      g_string_append_c (out, ',');
      append_json_string (out, text, name);
      g_string_append_c (out, ':');
      bool quoted = *value == '"' && end - value >= 2;
      append_json_string (out, value + quoted,
                          (size_t)(end - value) - 2 * (size_t)quoted);
      text = end + strspn (end, " ");
    }
}

/* Caches the formatted second: at some hundred lines a second, formatting the
   date took longer than the rest of the line.  */
static void
append_time (GString *out)
{
  static __thread gint64 second;
  static __thread char text[32];
  gint64 now = g_get_real_time ();
  if (now / G_USEC_PER_SEC != second)
    {
      second = now / G_USEC_PER_SEC;
      g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (second);
      g_autofree char *formatted
          = g_date_time_format (time, "%Y-%m-%dT%H:%M:%S");
      g_strlcpy (text, formatted, sizeof text);
    }
  g_string_append_printf (out, "%s.%06dZ", text, (int)(now % G_USEC_PER_SEC));
}

static void
append_buffered (const GString *line)
{
  int64_t second = pl_now_us (buffer.clock) / G_USEC_PER_SEC;
  if (second != buffer.second)
    {
      unsigned dropped = buffer.dropped;
      buffer.second = second;
      buffer.lines = 0;
      buffer.dropped = 0;
      if (dropped > 0)
        pl_log (PL_EV_LOG_DROPPED, "lines=%u", dropped);
    }
  if (buffer.lines >= buffer.max_lines_per_s
      || buffer.text->len + line->len > BUFFER_BYTES)
    {
      buffer.dropped++;
      pl_count (PL_CTR_LOG_LINES_DROPPED_TOTAL, 1);
      return;
    }
  buffer.lines++;
  g_string_append_len (buffer.text, line->str, (gssize)line->len);
}

void
pl_log_buffered (struct pl_clock *clock, unsigned max_lines_per_s)
{
  buffer.text = g_string_sized_new (BUFFER_BYTES / 16);
  buffer.clock = clock;
  buffer.max_lines_per_s = max_lines_per_s;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
pl_log_flush (void)
{
  if (buffer.text == NULL || buffer.text->len == 0)
    return;
  ssize_t n = write (STDOUT_FILENO, buffer.text->str, buffer.text->len);
  if (n > 0)
    g_string_erase (buffer.text, 0, n);
  else if (n < 0 && errno != EAGAIN && errno != EINTR)
    g_string_truncate (buffer.text, 0); /* the reader has closed the pipe */
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize n_fields,
            gpointer user)
{
  (void)user;
  if ((level & G_LOG_LEVEL_MASK) > lowest_level)
    return G_LOG_WRITER_HANDLED;
  const char *message = "";
  const char *event = "0";
  const char *name = "LIBRARY";
  for (gsize i = 0; i < n_fields; i++)
    {
      if (strcmp (fields[i].key, "MESSAGE") == 0)
        message = fields[i].value;
      else if (strcmp (fields[i].key, "PAPAYALOFT_EVENT") == 0)
        event = fields[i].value;
      else if (strcmp (fields[i].key, "PAPAYALOFT_NAME") == 0)
        name = fields[i].value;
    }
  g_autoptr (GString) line = g_string_sized_new (256);
  if (json_format)
    {
      g_string_append (line, "{\"time\":\"");
      append_time (line);
      g_string_append_printf (line,
                              "\",\"level\":\"%s\",\"event\":%s,"
                              "\"name\":\"%s\"",
                              level_name (level), event, name);
      append_json_fields (line, message);
      g_string_append (line, "}\n");
    }
  else
    {
      append_time (line);
      g_string_append_printf (line, " %s %s %s %s\n", level_name (level),
                              event, name, message);
    }
  if (buffer.text != NULL)
    {
      append_buffered (line);
      return G_LOG_WRITER_HANDLED;
    }
  /* A line is one write, so that lines of several threads don't mix.  */
  if (write (STDERR_FILENO, line->str, line->len) < 0)
    return G_LOG_WRITER_UNHANDLED;
  return G_LOG_WRITER_HANDLED;
}

void
pl_log_init (const char *format, const char *level)
{
  json_format = strcmp (format, "json") == 0;
  if (strcmp (level, "error") == 0)
    lowest_level = G_LOG_LEVEL_CRITICAL;
  else if (strcmp (level, "warning") == 0)
    lowest_level = G_LOG_LEVEL_WARNING;
  else if (strcmp (level, "notice") == 0)
    lowest_level = G_LOG_LEVEL_MESSAGE;
  else
    lowest_level = G_LOG_LEVEL_INFO;
  g_log_set_writer_func (write_line, NULL, NULL);
}

void
pl_log (enum pl_event event, const char *fmt, ...)
{
  const struct pl_event_info *info = event_info (event);
  if (info->level > lowest_level)
    return;
  char message[1024];
  va_list args;
  va_start (args, fmt);
  vsnprintf (message, sizeof message, fmt, args);
  va_end (args);
  char number[12];
  snprintf (number, sizeof number, "%d", (int)event);
  const GLogField fields[] = {
    { .key = "MESSAGE", .value = message, .length = -1 },
    { .key = "PAPAYALOFT_EVENT", .value = number, .length = -1 },
    { .key = "PAPAYALOFT_NAME", .value = info->name, .length = -1 },
  };
  g_log_structured_array (info->level, fields, G_N_ELEMENTS (fields));
}
