/* Prints the revision of the store and the status of each entry.  */
#include "cmd.h"

#include <stdio.h>
#include <stdlib.h>

static bool
print_entry (struct pl_addr entry)
{
  struct entry_answer answer;
  struct pl_err err = { 0 };
  struct pl_str none = { 0 };
  char text[PL_ADDR_TEXT];
  pl_addr_text (entry, text);
  if (entry_call (entry, "GET", "/v1/status", NULL, none, &answer, &err)
      != CALL_ANSWERED)
    {
      printf ("entry %s unreachable: %s\n", text, err.text);
      return false;
    }
  char *compact
      = answer.json == NULL ? NULL : json_dumps (answer.json, JSON_COMPACT);
  printf ("entry %s %s\n", text, compact == NULL ? "malformed" : compact);
  bool ok = compact != NULL && answer.status == 200;
  free (compact);
  entry_answer_clear (&answer);
  return ok;
}

static bool
print_store (const struct cmd *cmd)
{
  struct plat *plat = cmd_open_platform (cmd);
  if (plat == NULL)
    return false;
  struct pl_err err = { 0 };
  int64_t head;
  int64_t mod_rev;
  bool ok = plat_read_head (plat, &head, &mod_rev, &err);
  if (ok)
    printf ("store revision %lld\n", (long long)head);
  else
    printf ("store unreachable: %s\n", err.text);
  plat->ops->free (plat);
  return ok;
}

int
cmd_status (const struct cmd *cmd)
{
  if (cmd->platform == NULL && cmd->n_entries == 0)
    return cmd_error (CMD_USAGE, "--platform or --entry is needed");
  bool ok = cmd->platform == NULL || print_store (cmd);
  for (unsigned i = 0; i < cmd->n_entries; i++)
    ok = print_entry (cmd->entries[i]) && ok;
  return ok ? CMD_DONE : CMD_FAILED;
}
