/* Functions that several subcommands use.  */
#include "cmd.h"

#include <stdio.h>
#include <string.h>

#define PLATFORM_TIMEOUT_MS 3000

int
cmd_error (enum cmd_exit exit, const char *fmt, ...)
{
  char text[512];
  va_list args;
  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  fprintf (stderr, "papayaloft: %s\n", text);
  return exit;
}

GBytes *
cmd_read_file (const char *path, size_t max_bytes)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "re");
  if (file == NULL)
    {
      cmd_error (CMD_FAILED, "can't open %s", path);
      return NULL;
    }
  char *data = g_malloc (max_bytes + 1);
  size_t len = fread (data, 1, max_bytes + 1, file);
  bool ok = !ferror (file) && len <= max_bytes;
  if (file != stdin)
    fclose (file);
  if (ok)
    return g_bytes_new_take (data, len);
  g_free (data);
  cmd_error (CMD_FAILED, "can't read %s or it has over %zu bytes", path,
             max_bytes);
  return NULL;
}

struct plat *
cmd_open_platform (const struct cmd *cmd)
{
  if (cmd->platform == NULL)
    {
      cmd_error (CMD_USAGE, "--platform or PAPAYALOFT_PLATFORM is needed");
      return NULL;
    }
  struct pl_err err = { 0 };
  struct plat *plat = plat_etcd_new (cmd->platform, PLATFORM_TIMEOUT_MS, &err);
  if (plat == NULL)
    cmd_error (CMD_USAGE, "%s", err.text);
  return plat;
}
