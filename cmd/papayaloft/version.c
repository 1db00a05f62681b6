/* Prints the version of papayaloft.  */
#include "cmd.h"

#include <stdio.h>

int
cmd_version (const struct cmd *cmd)
{
  (void)cmd;
  puts ("papayaloft " PL_VERSION);
  return CMD_DONE;
}
