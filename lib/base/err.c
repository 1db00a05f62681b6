/* Errors and result codes.  */
#include "pl.h"

#include <stdarg.h>
#include <stdio.h>

bool
pl_fail (struct pl_err *err, enum pl_code code, const char *fmt, ...)
{
  if (err == NULL)
    return false;
  err->code = code;
  va_list args;
  va_start (args, fmt);
  vsnprintf (err->text, sizeof err->text, fmt, args);
  va_end (args);
  return false;
}

const struct pl_code_info *
pl_code_info (enum pl_code code)
{
  const struct pl_code_info *system = NULL;
  for (unsigned i = 0; i < pl_code_count; i++)
    {
      if (pl_code_table[i].code == code)
        return &pl_code_table[i];
      if (pl_code_table[i].code == PL_SYSTEM)
        system = &pl_code_table[i];
    }
  return system;
}

const char *
pl_outcome_name (enum pl_outcome outcome)
{
  static const char *const names[] = {
    [PL_OUTCOME_NONE] = "none",       [PL_OUTCOME_COMPLETE] = "complete",
    [PL_OUTCOME_NOT_RUN] = "not_run", [PL_OUTCOME_FAILED] = "failed",
    [PL_OUTCOME_UNKNOWN] = "unknown",
  };
  return names[outcome];
}
