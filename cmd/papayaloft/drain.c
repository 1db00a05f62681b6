/* Asks an instance for a planned stop.  */
#include "cmd.h"

#include <stdio.h>

int
cmd_drain (const struct cmd *cmd)
{
  struct pl_addr entry;
  if (!pl_addr_parse (pl_str (cmd->arg), &entry))
    return cmd_error (CMD_USAGE, "'%s' is not ip:port", cmd->arg);
  struct entry_answer answer;
  struct pl_err err = { 0 };
  enum call_result result = entry_call (entry, "POST", "/v1/drain", NULL,
                                        pl_str ("{}"), &answer, &err);
  if (result == CALL_UNSENT)
    return cmd_error (CMD_FAILED, "%s", err.text);
  if (result == CALL_UNANSWERED)
    return cmd_error (CMD_UNKNOWN, "%s", err.text);
  bool ok = answer.status >= 200 && answer.status < 300;
  puts (answer.text);
  entry_answer_clear (&answer);
  return ok ? CMD_DONE : CMD_FAILED;
}
