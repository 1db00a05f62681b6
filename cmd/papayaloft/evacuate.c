/* Evacuates failure domains, by release notes of their own.  */
#include "cmd.h"

#include <stdio.h>
#include <stdlib.h>

/* Notes that other operators apply meanwhile don't concern an evacuation: it
   is written anew against theirs.  */
#define MAX_TRIES 5

static char *
write_note (const char *domain, bool evacuate, int64_t base)
{
  g_autofree char *id = g_strdup_printf (
      "%s-%016" PRIx64, evacuate ? "evacuate" : "restore", pl_random64 ());
  json_t *root = json_pack (
      "{s:s, s:I, s:{s:[o]}}", "id", id, "base", (json_int_t)base,
      evacuate ? "added" : "withdrawn", "evacuations",
      evacuate ? json_pack ("{s:s}", "domain", domain) : json_string (domain));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Applies the note unless DOMAIN is already as wanted.  REVISION is the one
   that has made it so, or the one in which it is so.  */
static bool
apply_once (struct plat *plat, const char *domain, bool evacuate,
            int64_t *revision, struct pl_err *err)
{
  struct note_conf *conf;
  if (!plat_load_conf (plat, &conf, revision, NULL, err))
    return false;
  bool evacuated = note_is_evacuated (conf, domain);
  if (conf != NULL)
    pl_shared_unref (&conf->base);
  if (evacuated == evacuate)
    return true;
  char *note = write_note (domain, evacuate, *revision);
  bool ok = plat_apply_note (plat, pl_str (note), revision, err);
  free (note);
  return ok;
}

static int
set_evacuated (const struct cmd *cmd, bool evacuate)
{
  if (cmd->wait_s >= 0 && cmd->n_entries == 0)
    return cmd_error (CMD_USAGE, "--wait-s needs --entry");
  struct plat *plat = cmd_open_platform (cmd);
  if (plat == NULL)
    return CMD_USAGE;
  struct pl_err err = { 0 };
  int64_t revision = 0;
  bool ok = false;
  for (int i = 0; i < MAX_TRIES && !ok; i++)
    {
      err = (struct pl_err){ 0 };
      ok = apply_once (plat, cmd->arg, evacuate, &revision, &err);
      if (!ok && err.code != PL_NOTE_CONFLICT)
        break;
    }
  plat->ops->free (plat);
  if (!ok)
    return cmd_error (err.code == PL_NOTE_UNKNOWN ? CMD_UNKNOWN : CMD_FAILED,
                      "%s: %s", pl_code_info (err.code)->name, err.text);
  printf ("%s %s in revision %lld\n", cmd->arg,
          evacuate ? "is evacuated" : "is in use", (long long)revision);
  fflush (stdout);
  return cmd->wait_s >= 0 ? cmd_wait_in_force (cmd, revision) : CMD_DONE;
}

int
cmd_evacuate (const struct cmd *cmd)
{
  return set_evacuated (cmd, true);
}

int
cmd_restore (const struct cmd *cmd)
{
  return set_evacuated (cmd, false);
}

int
cmd_evacuations (const struct cmd *cmd)
{
  struct plat *plat = cmd_open_platform (cmd);
  if (plat == NULL)
    return CMD_USAGE;
  struct note_conf *conf;
  int64_t revision;
  struct pl_err err = { 0 };
  bool ok = plat_load_conf (plat, &conf, &revision, NULL, &err);
  plat->ops->free (plat);
  if (!ok)
    return cmd_error (CMD_FAILED, "%s", err.text);
  for (unsigned i = 0; conf != NULL && i < conf->n_evacuations; i++)
    puts (conf->evacuations[i].domain);
  if (conf != NULL)
    pl_shared_unref (&conf->base);
  return CMD_DONE;
}
