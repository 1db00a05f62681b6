/* Reads, checks and prints settings by their table (settings.gen.c).  */
#include "conf.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

static long *
int_member (struct conf *conf, const struct conf_item *item)
{
  return (long *)((char *)conf + item->offset);
}

static char **
str_member (struct conf *conf, const struct conf_item *item)
{
  return (char **)((char *)conf + item->offset);
}

bool
conf_set (struct conf *conf, unsigned index, const char *source,
          const char *value, struct pl_err *err)
{
  const struct conf_item *item = &conf_table[index];
  if (item->type == CONF_INT)
    {
      int64_t number;
      if (!pl_str_to_int (pl_str (value), item->min, item->max, &number))
        return pl_fail (err, PL_SETTING_INVALID,
                        "%s: value '%s' is not a whole number from %ld to %ld "
                        "(%s)",
                        source, value, item->min, item->max, item->unit);
      *int_member (conf, item) = (long)number;
      return true;
    }
  long len = (long)strlen (value);
  if (len < item->min || len > item->max)
    return pl_fail (err, PL_SETTING_INVALID,
                    "%s: value '%.80s' must have %ld to %ld characters (%s)",
                    source, value, item->min, item->max, item->unit);
  char **field = str_member (conf, item);
  g_free (*field);
  *field = g_strdup (value);
  return true;
}

bool
conf_init (struct conf *conf, struct pl_err *err)
{
  memset (conf, 0, sizeof *conf);
  for (unsigned i = 0; i < conf_count; i++)
    {
      const struct conf_item *item = &conf_table[i];
      if (!conf_set (conf, i, item->flag, item->def, err))
        return false;
      const char *value = getenv (item->env);
      if (value != NULL && !conf_set (conf, i, item->env, value, err))
        return false;
    }
  return true;
}

static bool
check_one_of (const char *flag, const char *value, const char *const *allowed,
              struct pl_err *err)
{
  for (const char *const *choice = allowed; *choice != NULL; choice++)
    if (strcmp (value, *choice) == 0)
      return true;
  g_autofree char *list = g_strjoinv (", ", (char **)allowed);
  return pl_fail (err, PL_SETTING_INVALID,
                  "--%s: value '%s' must be one of: %s", flag, value, list);
}

static bool
check_addr (const char *flag, const char *value, struct pl_err *err)
{
  struct pl_addr addr;
  if (pl_addr_parse (pl_str (value), &addr))
    return true;
  return pl_fail (
      err, PL_SETTING_INVALID,
      "--%s: value '%s' is not an address of the form a.b.c.d:port "
      "(port 1 to 65535)",
      flag, value);
}

static bool
check_peers (const char *peers, struct pl_err *err)
{
  g_auto (GStrv) list = g_strsplit (peers, ",", -1);
  for (char **p = list; *p != NULL; p++)
    if (**p != '\0' && !check_addr ("peers", *p, err))
      return false;
  return true;
}

static bool
check_domain (const char *domain, struct pl_err *err)
{
  for (const char *c = domain; *c != '\0'; c++)
    if (!g_ascii_islower (*c) && !g_ascii_isdigit (*c) && *c != '-')
      return pl_fail (
          err, PL_SETTING_INVALID,
          "--domain: value '%s' may hold only a to z, 0 to 9 and -", domain);
  return true;
}

static bool
check_less_than (const char *lower_flag, long lower, const char *upper_flag,
                 long upper, struct pl_err *err)
{
  if (lower < upper)
    return true;
  return pl_fail (err, PL_SETTING_INVALID,
                  "--%s: value %ld must be less than --%s (%ld)", lower_flag,
                  lower, upper_flag, upper);
}

uint32_t
conf_source_ip (const struct conf *conf)
{
  struct pl_addr addr = { 0 };
  if (!pl_addr_parse (pl_str (conf->peer_listen), &addr)
      || addr.ip == INADDR_LOOPBACK)
    return 0;
  return addr.ip;
}

bool
conf_check (const struct conf *conf, struct pl_err *err)
{
  static const char *const formats[] = { "text", "json", NULL };
  static const char *const levels[]
      = { "info", "notice", "warning", "error", NULL };
  static const char *const policies[] = { "slowdown", "fifo", "p2c", NULL };
  return check_one_of ("log-format", conf->log_format, formats, err)
         && check_one_of ("log-level", conf->log_level, levels, err)
         && check_one_of ("policy", conf->policy, policies, err)
         && check_addr ("listen", conf->listen, err)
         && check_addr ("peer-listen", conf->peer_listen, err)
         && (conf->advertise[0] == '\0'
             || check_addr ("advertise", conf->advertise, err))
         && check_peers (conf->peers, err) && check_domain (conf->domain, err)
         && check_less_than ("heartbeat-ms", conf->heartbeat_ms, "suspect-ms",
                             conf->suspect_ms, err)
         && check_less_than ("permit-resend-ms", conf->permit_resend_ms,
                             "permit-give-up-ms", conf->permit_give_up_ms,
                             err);
}

void
conf_append_settings (const struct conf *conf, GString *out)
{
  struct conf *c = (struct conf *)conf;
  for (unsigned i = 0; i < conf_count; i++)
    {
      const struct conf_item *item = &conf_table[i];
      if (item->type == CONF_INT)
        g_string_append_printf (out, "%s=%ld\n", item->flag,
                                *int_member (c, item));
      else
        g_string_append_printf (out, "%s=%s\n", item->flag,
                                *str_member (c, item));
    }
}

void
conf_clear (struct conf *conf)
{
  for (unsigned i = 0; i < conf_count; i++)
    if (conf_table[i].type == CONF_STR)
      g_clear_pointer (str_member (conf, &conf_table[i]), g_free);
}
