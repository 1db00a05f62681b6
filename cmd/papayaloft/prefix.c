/* Prints a key prefix, from the first entry that issues one.  */
#include "cmd.h"

#include <stdio.h>

int
cmd_prefix (const struct cmd *cmd)
{
  if (cmd->n_entries == 0)
    return cmd_error (CMD_USAGE, "--entry or PAPAYALOFT_ENTRY is needed");
  struct pl_err err = { 0 };
  for (unsigned i = 0; i < cmd->n_entries; i++)
    {
      g_autofree char *prefix = entry_fetch_prefix (cmd->entries[i], &err);
      if (prefix == NULL)
        continue;
      puts (prefix);
      return CMD_DONE;
    }
  return cmd_error (CMD_FAILED, "%s", err.text);
}
