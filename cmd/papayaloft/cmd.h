/* papayaloft: the command for operators and callers.  */
#pragma once

#include "call.h"
#include "plat.h"

#include <jansson.h>

#define CMD_VERSION "0.1.0"
#define MAX_ENTRIES 256

/* Exit codes; documented in the man page.  */
enum cmd_exit
{
  CMD_DONE = 0,
  CMD_FAILED = 1, /* refused or failed */
  CMD_USAGE = 2,
  CMD_UNKNOWN = 3, /* the fate is unknown */
};

struct cmd
{
  const char *platform; /* null: not given */
  struct pl_addr entries[MAX_ENTRIES];
  unsigned n_entries;
  int wait_s; /* -1: don't wait */
  int tries;
  const char *key;
  const char *service;
  const char *arg; /* of the subcommand; null if absent */
};

int cmd_validate (const struct cmd *cmd);
int cmd_apply (const struct cmd *cmd);
int cmd_history (const struct cmd *cmd);
int cmd_show (const struct cmd *cmd);
int cmd_status (const struct cmd *cmd);
int cmd_drain (const struct cmd *cmd);
int cmd_submit (const struct cmd *cmd);
int cmd_cancel (const struct cmd *cmd);
int cmd_prefix (const struct cmd *cmd);
int cmd_version (const struct cmd *cmd);

/* Prints "papayaloft: TEXT" on standard error and returns EXIT.  */
int cmd_say (enum cmd_exit exit, const char *fmt, ...) G_GNUC_PRINTF (2, 3);
/* Reads a file ("-": standard input) of at most MOST bytes; null with a
   message on failure.  */
GBytes *cmd_read_file (const char *path, size_t most);
/* Null with a message if --platform is missing or malformed.  */
struct plat *cmd_platform (const struct cmd *cmd);

/* One request to an entry.  The answer's text is null unless the call is done;
   the caller frees it.  */
struct entry_answer
{
  int status;
  char *text;
  json_t *json; /* null if TEXT is not a JSON object */
};
enum call_result entry_call (struct pl_addr entry, const char *method,
                             const char *path, const char *key,
                             struct pl_str body, struct entry_answer *out,
                             struct pl_err *err);
void entry_answer_clear (struct entry_answer *answer);
/* The key prefix that ENTRY issues, or null.  */
char *entry_prefix (struct pl_addr entry, struct pl_err *err);
/* The revision in force at ENTRY, or -1.  */
int64_t entry_revision (struct pl_addr entry, struct pl_err *err);
