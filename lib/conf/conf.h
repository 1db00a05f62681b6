/* Settings of the entry daemon, from flags and environment variables.  The
   table of settings and struct conf are generated from schema/settings.txt. */
#pragma once

#include "pl.h"
#include "settings.gen.h"

enum conf_type
{
  CONF_INT,
  CONF_STR,
};

/* One setting.  */
struct conf_item
{
  const char *flag; /* without the leading dashes */
  const char *env;
  enum conf_type type;
  const char *def;
  long min; /* of the value, or of the length of a string */
  long max;
  const char *unit;
  const char *help;
  size_t offset; /* of the member of struct conf */
};

extern const struct conf_item conf_table[];
extern const unsigned conf_count;

/* Sets CONF to the defaults, overridden by environment variables.  On failure
   ERR names the variable, the value and the range.  Free with conf_clear.  */
bool conf_init (struct conf *conf, struct pl_err *err);
/* Sets the setting at INDEX of conf_table.  On failure ERR names SOURCE (the
   flag or variable as the user wrote it), the value and the range.  */
bool conf_set (struct conf *conf, unsigned index, const char *source,
               const char *value, struct pl_err *err);
/* Checks what conf_set can't: addresses, names of choices, and settings that
   must be less than another one.  */
bool conf_check (const struct conf *conf, struct pl_err *err);
/* The source address of connections to peers and workers, by which a network
   can tell instances apart: the one of peer-listen.  0 (any) if peer-listen
   has 0.0.0.0, or 127.0.0.1, from which no other machine can be reached.  */
uint32_t conf_source_ip (const struct conf *conf);
/* Appends a line "flag=value" for each setting.  */
void conf_append_settings (const struct conf *conf, GString *out);
void conf_clear (struct conf *conf);
