/* Filters and the commands that add them.  */
#include "forwarder.h"

#include <string.h>

enum filter_mode
filters_match (const struct filters *filters, uint32_t source,
               struct pl_addr listen)
{
  for (unsigned i = filters->n; i > 0; i--)
    {
      const struct filter *f = &filters->list[i - 1];
      bool source_matches = f->source == 0 || f->source == source;
      bool listen_matches
          = f->listen.port == 0 || pl_addr_eq (f->listen, listen);
      if (source_matches && listen_matches)
        return f->mode;
    }
  return FILTER_PASS;
}

/* Parses an IP address; "*" gives 0.  */
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
filters_run_command (struct filters *filters, const char *line)
{
  g_auto (GStrv) words = g_strsplit (line, " ", -1);
  struct filter f = { 0 };
  if (g_strv_length (words) != 3 || !parse_mode (words[0], &f.mode)
      || !parse_source (words[1], &f.source))
    return false;
  if (strcmp (words[2], "*") != 0
      && !pl_addr_parse (pl_str (words[2]), &f.listen))
    return false;
  /* "pass * *" overrides all earlier filters, so they are dropped.  */
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
