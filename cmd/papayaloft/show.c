/* Prints one release note, or the configuration that all notes make up.  */
#include "cmd.h"

#include <stdio.h>
#include <stdlib.h>

static bool
show_note (struct plat *plat, int64_t revision, struct pl_err *err)
{
  GBytes *note = plat_read_note (plat, revision, err);
  if (note == NULL)
    return false;
  gsize len;
  const char *data = g_bytes_get_data (note, &len);
  fwrite (data, 1, len, stdout);
  putchar ('\n');
  g_bytes_unref (note);
  return true;
}

static bool
show_conf (struct plat *plat, struct pl_err *err)
{
  struct note_conf *conf;
  int64_t revision;
  if (!plat_load_conf (plat, &conf, &revision, NULL, err))
    return false;
  if (conf == NULL)
    return pl_fail (err, PL_NOT_FOUND, "no revision is accepted yet");
  char *text = note_conf_to_json (conf);
  puts (text);
  free (text);
  pl_shared_unref (&conf->base);
  return true;
}

/* The argument is the revision of the note; without it, the whole
   configuration is shown.  */
int
cmd_show (const struct cmd *cmd)
{
  int64_t revision = 0;
  if (cmd->arg != NULL
      && !pl_str_to_int (pl_str (cmd->arg), 1, INT64_MAX, &revision))
    return cmd_error (CMD_USAGE, "'%s' is not a revision", cmd->arg);
  struct plat *plat = cmd_open_platform (cmd);
  if (plat == NULL)
    return CMD_USAGE;
  struct pl_err err = { 0 };
  bool ok = revision > 0 ? show_note (plat, revision, &err)
                         : show_conf (plat, &err);
  plat->ops->free (plat);
  return ok ? CMD_DONE : cmd_error (CMD_FAILED, "%s", err.text);
}
