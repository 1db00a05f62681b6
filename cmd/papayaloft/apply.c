/* Applies a release note: adds it to the store as the next revision.  */
#include "cmd.h"

#include <stdio.h>

#define POLL_INTERVAL_US 200000

/* Whether REVISION is in force at all entries.  N_UPDATED counts the entries,
   in their order, that are known to have it; they are not asked again, since
   an entry never returns to an older revision.  */
static bool
is_in_force_everywhere (const struct cmd *cmd, int64_t revision,
                        unsigned *n_updated)
{
  for (; *n_updated < cmd->n_entries; ++*n_updated)
    if (entry_fetch_revision (cmd->entries[*n_updated], NULL) < revision)
      return false;
  return true;
}

int
cmd_wait_in_force (const struct cmd *cmd, int64_t revision)
{
  struct pl_clock *clock = pl_clock_real ();
  int64_t deadline = pl_now_us (clock) + (int64_t)cmd->wait_s * G_USEC_PER_SEC;
  unsigned n_updated = 0;
  while (!is_in_force_everywhere (cmd, revision, &n_updated))
    {
      char text[PL_ADDR_TEXT];
      if (pl_now_us (clock) >= deadline)
        return cmd_error (CMD_FAILED,
                          "revision %lld is accepted but not in force at %s "
                          "after %d s",
                          (long long)revision,
                          pl_addr_text (cmd->entries[n_updated], text),
                          cmd->wait_s);
      g_usleep (POLL_INTERVAL_US);
    }
  printf ("in force at %u entries\n", cmd->n_entries);
  return CMD_DONE;
}

int
cmd_apply (const struct cmd *cmd)
{
  if (cmd->wait_s >= 0 && cmd->n_entries == 0)
    return cmd_error (CMD_USAGE, "--wait-s needs --entry");
  struct plat *plat = cmd_open_platform (cmd);
  if (plat == NULL)
    return CMD_USAGE;
  GBytes *file = cmd_read_file (cmd->arg, NOTE_MAX_BYTES);
  struct pl_err err = { 0 };
  int64_t revision = 0;
  bool ok = false;
  if (file != NULL)
    {
      struct pl_str note;
      note.data = g_bytes_get_data (file, &note.len);
      ok = plat_apply_note (plat, note, &revision, &err);
      g_bytes_unref (file);
    }
  plat->ops->free (plat);
  if (file == NULL)
    return CMD_FAILED;
  if (!ok)
    return cmd_error (err.code == PL_NOTE_UNKNOWN ? CMD_UNKNOWN : CMD_FAILED,
                      "%s: %s", pl_code_info (err.code)->name, err.text);
  printf ("accepted revision %lld\n", (long long)revision);
  fflush (stdout);
  return cmd->wait_s >= 0 ? cmd_wait_in_force (cmd, revision) : CMD_DONE;
}
