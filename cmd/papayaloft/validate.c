/* Validates a release note without applying it.  */
#include "cmd.h"

#include <stdio.h>

/* Validates against the configuration in the store if --platform is given,
   otherwise against an empty configuration.  */
int
cmd_validate (const struct cmd *cmd)
{
  GBytes *file = cmd_read_file (cmd->arg, NOTE_MAX_BYTES);
  if (file == NULL)
    return CMD_FAILED;
  struct pl_err err = { 0 };
  struct note_conf *conf = NULL;
  int64_t revision = 0;
  bool ok = true;
  if (cmd->platform != NULL)
    {
      struct plat *plat = cmd_open_platform (cmd);
      if (plat == NULL)
        {
          g_bytes_unref (file);
          return CMD_USAGE;
        }
      ok = plat_load_conf (plat, &conf, &revision, NULL, &err);
      plat->ops->free (plat);
    }
  struct pl_str note;
  note.data = g_bytes_get_data (file, &note.len);
  ok = ok && note_validate (note, conf, &err);
  if (ok)
    printf ("valid against revision %lld\n", (long long)revision);
  if (conf != NULL)
    pl_shared_unref (&conf->base);
  g_bytes_unref (file);
  return ok ? CMD_DONE : cmd_error (CMD_FAILED, "%s", err.text);
}
