/* Settings of the entry daemon from flags and environment variables.  */
#pragma once

#include "pl.h"
#include "settings.gen.h"

enum conf_type
{
  CONF_INT,
  CONF_STR,
};

struct conf_item
{
  const char *flag; /* without the leading dashes */
  const char *env;
  enum conf_type type;
  const char *def;
  long min; /* least value, or least length of a string */
  long max;
  const char *unit;
  const char *help;
  size_t offset; /* in struct conf */
};

extern const struct conf_item conf_table[];
extern const unsigned conf_count;

/* Fills CONF with defaults and then with the environment.  On failure ERR
   names the variable, the value and the range.  Free with conf_clear.  */
bool conf_init (struct conf *conf, struct pl_err *err);
/* Sets item INDEX of conf_table; ERR names the flag, the value and the range.
   SOURCE is the flag or variable as the user wrote it.  */
bool conf_set (struct conf *conf, unsigned index, const char *source,
               const char *value, struct pl_err *err);
/* Checks what involves several settings (addresses, order of times).  */
bool conf_check (const struct conf *conf, struct pl_err *err);
/* The address that connections to peers and workers are made from, so that a
   network can tell instances apart: the one of peer-listen.  0 (any) if that
   is unspecified or 127.0.0.1, from which no other machine can be reached.  */
uint32_t conf_source_ip (const struct conf *conf);
/* Appends one "flag=value" line a setting.  */
void conf_append_settings (const struct conf *conf, GString *out);
void conf_clear (struct conf *conf);
