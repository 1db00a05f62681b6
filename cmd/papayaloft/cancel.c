#include "cmd.h"

#include <stdio.h>
#include <string.h>

/* A cancelled job's code is a refusal; for this command it is success.  */
static int
judge (const struct entry_answer *answer)
{
  json_int_t code
      = json_integer_value (json_object_get (answer->json, "code"));
  const char *outcome
      = json_string_value (json_object_get (answer->json, "outcome"));
  if (outcome != NULL && strcmp (outcome, "unknown") == 0)
    return CMD_UNKNOWN;
  bool ok = answer->status == 200 || code == PL_CANCELLED
            || code == PL_CANCELLED_RAN;
  return ok ? CMD_DONE : CMD_FAILED;
}

int
cmd_cancel (const struct cmd *cmd)
{
  if (cmd->n_entries == 0)
    return cmd_say (CMD_USAGE, "--entry or PAPAYALOFT_ENTRY is needed");
  if (strpbrk (cmd->arg, "/ ?#%\r\n") != NULL)
    return cmd_say (CMD_USAGE, "'%s' is not a key", cmd->arg);
  g_autofree char *path = g_strconcat ("/v1/jobs/", cmd->arg, NULL);
  struct pl_err err = { 0 };
  struct pl_str none = { 0 };
  bool sent = false;
  for (unsigned i = 0; i < cmd->n_entries; i++)
    {
      struct entry_answer answer;
      enum call_result end = entry_call (cmd->entries[i], "DELETE", path, NULL,
                                         none, &answer, &err);
      sent = sent || end == CALL_UNANSWERED;
      if (end != CALL_ANSWERED)
        continue;
      puts (answer.text);
      int exit = judge (&answer);
      entry_answer_clear (&answer);
      return exit;
    }
  return cmd_say (sent ? CMD_UNKNOWN : CMD_FAILED, "%s", err.text);
}
