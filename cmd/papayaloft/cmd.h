/* papayaloft: the command-line tool for operators and callers.  Operators
   validate and apply release notes in the platform's store and ask instances
   for their state; callers submit and cancel jobs.  Each subcommand has a file
   of its own.  An "entry" is an instance of papayaloftd; callers send their
   jobs to it.  */
#pragma once

#include "call.h"
#include "plat.h"

#include <jansson.h>

#define MAX_ENTRIES 256

/* Exit codes; the man page lists them.  */
enum cmd_exit
{
  CMD_DONE = 0,
  CMD_FAILED = 1, /* refused or failed */
  CMD_USAGE = 2,
  CMD_UNKNOWN = 3, /* the request may or may not have taken effect */
};

struct cmd
{
  const char *platform; /* null: not given */
  struct pl_addr entries[MAX_ENTRIES];
  unsigned n_entries;
  int wait_s;          /* of apply; -1: don't wait */
  int tries;           /* of submit: largest number of requests */
  const char *key;     /* suffix of a key, or a whole key; null: random */
  const char *service; /* "SERVICE/KIND"; null: named in the body */
  const char *arg;     /* of the subcommand; null if absent */
};

int cmd_validate (const struct cmd *cmd);
int cmd_apply (const struct cmd *cmd);
int cmd_evacuate (const struct cmd *cmd);
int cmd_restore (const struct cmd *cmd);
int cmd_evacuations (const struct cmd *cmd);
int cmd_history (const struct cmd *cmd);
int cmd_show (const struct cmd *cmd);
int cmd_status (const struct cmd *cmd);
int cmd_drain (const struct cmd *cmd);
int cmd_submit (const struct cmd *cmd);
int cmd_cancel (const struct cmd *cmd);
int cmd_prefix (const struct cmd *cmd);
int cmd_version (const struct cmd *cmd);

/* Prints "papayaloft: " and the message on standard error; returns EXIT.  */
int cmd_error (enum cmd_exit exit, const char *fmt, ...) G_GNUC_PRINTF (2, 3);
/* Waits until REVISION is in force at all entries, for CMD->wait_s at most. */
int cmd_wait_in_force (const struct cmd *cmd, int64_t revision);
/* Reads a file ("-": standard input) of at most MAX_BYTES bytes.  On failure,
   prints a message and returns null.  */
GBytes *cmd_read_file (const char *path, size_t max_bytes);
/* Opens the platform's store.  If --platform is missing or malformed, prints a
   message and returns null.  */
struct plat *cmd_open_platform (const struct cmd *cmd);

struct entry_answer
{
  int status;   /* HTTP */
  char *text;   /* body */
  json_t *json; /* null if TEXT is not a JSON object */
};
/* Sends one request to an entry; KEY may be null.  Unless the result is
   CALL_ANSWERED, OUT is empty.  The caller clears OUT.  */
enum call_result entry_call (struct pl_addr entry, const char *method,
                             const char *path, const char *key,
                             struct pl_str body, struct entry_answer *out,
                             struct pl_err *err);
void entry_answer_clear (struct entry_answer *answer);
/* Asks ENTRY for the key prefix that it issues now; null on failure.  The
   caller frees it.  */
char *entry_fetch_prefix (struct pl_addr entry, struct pl_err *err);
/* Asks ENTRY for the revision in force there; -1 on failure.  */
int64_t entry_fetch_revision (struct pl_addr entry, struct pl_err *err);
