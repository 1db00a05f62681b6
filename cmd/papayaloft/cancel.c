/* Cancels a job by its key.  */
#include "cmd.h"

#include <stdio.h>
#include <string.h>

/* The result code of a cancelled job is an error for its caller; for this
   command it is success.  */
static int
exit_status (const struct entry_answer *answer)
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
    return cmd_error (CMD_USAGE, "--entry or PAPAYALOFT_ENTRY is needed");
  if (strpbrk (cmd->arg, "/ ?#%\r\n") != NULL)
    return cmd_error (CMD_USAGE, "'%s' is not a key", cmd->arg);
  g_autofree char *path = g_strconcat ("/v1/jobs/", cmd->arg, NULL);
  struct pl_err err = { 0 };
  struct pl_str none = { 0 };
  bool may_have_arrived = false; /* one request was sent but not answered */
  for (unsigned i = 0; i < cmd->n_entries; i++)
    {
      struct entry_answer answer;
      enum call_result result = entry_call (cmd->entries[i], "DELETE", path,
                                            NULL, none, &answer, &err);
      may_have_arrived = may_have_arrived || result == CALL_UNANSWERED;
      if (result != CALL_ANSWERED)
        continue;
      puts (answer.text);
      int exit = exit_status (&answer);
      entry_answer_clear (&answer);
      return exit;
    }
  return cmd_error (may_have_arrived ? CMD_UNKNOWN : CMD_FAILED, "%s",
                    err.text);
}
