#include "forwarder.h"

#include <string.h>

enum filter_mode
filters_mode (const struct filters *filters, uint32_t source,
              struct pl_addr listen)
{
  for (unsigned i = filters->n; i > 0; i--)
    {
      const struct filter *f = &filters->list[i - 1];
      bool source_fits = f->source == 0 || f->source == source;
      bool listen_fits = f->listen.port == 0 || pl_addr_eq (f->listen, listen);
      if (source_fits && listen_fits)
        return f->mode;
    }
  return FILTER_PASS;
}

static bool
parse_source (const char *word, uint32_t *out)
{
  *out = 0;
  if (strcmp (word, "*") == 0)
    return true;
  g_autofree char *text = g_strconcat (word, ":1", NULL);
  struct pl_addr addr;
  if (!pl_addr_parse (pl_str (text), &addr))
    return false;
  *out = addr.ip;
  return true;
}

static bool
parse_mode (const char *word, enum filter_mode *out)
{
  static const char *const names[] = { "pass", "stall", "cut" };
  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (word, names[i]) == 0)
      {
        *out = (enum filter_mode)i;
        return true;
      }
  return false;
}

bool
filters_command (struct filters *filters, const char *line)
{
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  struct filter f = { 0 };
  if (g_strv_length (words) != 3 || !parse_mode (words[0], &f.mode)
      || !parse_source (words[1], &f.source))
    return false;
  if (strcmp (words[2], "*") != 0
      && !pl_addr_parse (pl_str (words[2]), &f.listen))
    return false;
  /* "pass * *" makes all earlier filters void.  */
  if (f.mode == FILTER_PASS && f.source == 0 && f.listen.port == 0)
    {
      filters->n = 0;
      return true;
    }
  if (filters->n == MAX_FILTERS)
    return false;
  filters->list[filters->n++] = f;
  return true;
}
