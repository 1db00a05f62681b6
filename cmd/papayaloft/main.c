/* Reads the command line of papayaloft and runs its subcommand.  */
#include "cmd.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "papayaloft " PL_VERSION;

struct subcommand
{
  const char *name;
  int (*run) (const struct cmd *cmd);
  int min_args;
  int max_args;
};

static const struct subcommand subcommands[] = {
  { "validate", cmd_validate, 1, 1 },
  { "apply", cmd_apply, 1, 1 },
  { "evacuate", cmd_evacuate, 1, 1 },
  { "restore", cmd_restore, 1, 1 },
  { "evacuations", cmd_evacuations, 0, 0 },
  { "history", cmd_history, 0, 0 },
  { "show", cmd_show, 0, 1 },
  { "status", cmd_status, 0, 0 },
  { "drain", cmd_drain, 1, 1 },
  { "submit", cmd_submit, 1, 1 },
  { "cancel", cmd_cancel, 1, 1 },
  { "prefix", cmd_prefix, 0, 0 },
  { "version", cmd_version, 0, 0 },
};

struct args
{
  struct cmd cmd;
  const struct subcommand *subcommand;
};

static bool
add_entries (struct cmd *cmd, const char *text)
{
  g_auto (GStrv) list = g_strsplit (text, ",", -1);
  cmd->n_entries = 0;
  for (char **item = list; *item != NULL; item++)
    {
      if (cmd->n_entries == MAX_ENTRIES
          || !pl_addr_parse (pl_str (*item), &cmd->entries[cmd->n_entries]))
        return false;
      cmd->n_entries++;
    }
  return cmd->n_entries > 0;
}

static int
parse_number (struct argp_state *state, const char *flag, const char *arg,
              int min, int max)
{
  int64_t value = 0;
  if (!pl_str_to_int (pl_str (arg), min, max, &value))
    argp_error (state, "%s: '%s' is not a whole number from %d to %d", flag,
                arg, min, max);
  return (int)value;
}

static void
add_argument (struct argp_state *state, struct args *args, char *arg)
{
  if (args->subcommand != NULL)
    {
      if (args->cmd.arg != NULL || args->subcommand->max_args == 0)
        argp_error (state, "too many arguments");
      args->cmd.arg = arg;
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (subcommands); i++)
    if (strcmp (subcommands[i].name, arg) == 0)
      args->subcommand = &subcommands[i];
  if (args->subcommand == NULL)
    argp_error (state, "unknown subcommand '%s'", arg);
}

static void
check_arguments (struct argp_state *state, const struct args *args)
{
  if (args->subcommand == NULL)
    argp_error (state, "a subcommand is needed");
  else if (args->cmd.arg == NULL && args->subcommand->min_args > 0)
    argp_error (state, "%s needs an argument", args->subcommand->name);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct args *args = state->input;
  switch (key)
    {
    case 'p':
      args->cmd.platform = arg;
      return 0;
    case 'e':
      if (!add_entries (&args->cmd, arg))
        argp_error (state, "--entry: '%s' is not a list of ip:port", arg);
      return 0;
    case 'w':
      args->cmd.wait_s = parse_number (state, "--wait-s", arg, 0, 3600);
      return 0;
    case 't':
      args->cmd.tries = parse_number (state, "--tries", arg, 1, 1000);
      return 0;
    case 'k':
      args->cmd.key = arg;
      return 0;
    case 's':
      if (strpbrk (arg, " ?#%\r\n") != NULL || strchr (arg, '/') == NULL)
        argp_error (state, "--service: '%s' is not SERVICE/KIND", arg);
      args->cmd.service = arg;
      return 0;
    case ARGP_KEY_ARG:
      add_argument (state, args, arg);
      return 0;
    case ARGP_KEY_END:
      check_arguments (state, args);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
  { "platform", 'p', "URL", 0,
    "Address of the platform's store, http://ip:port", 0 },
  { "entry", 'e', "IP:PORT,...", 0, "Entry instances", 0 },
  { "wait-s", 'w', "N", 0,
    "apply, evacuate, restore: wait up to N s until the revision is in force "
    "at all entries",
    0 },
  { "key", 'k', "SUFFIX", 0, "submit: suffix of the key, or a whole key", 0 },
  { "service", 's', "S/K", 0, "submit: post to /v1/services/S/K", 0 },
  { "tries", 't', "N", 0, "submit: largest number of attempts (default 3)",
    0 },
  { 0 },
};

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "SUBCOMMAND [ARGUMENT]",
    .doc = "Command-line tool of papayaloft.  Subcommands: validate, apply, "
           "evacuate, restore, evacuations, history, show, status, drain, "
           "submit, cancel, prefix, version.",
  };
  struct args args = { .cmd = { .wait_s = -1, .tries = 3 } };
  argp_err_exit_status = CMD_USAGE;
  const char *entries = getenv ("PAPAYALOFT_ENTRY");
  args.cmd.platform = getenv ("PAPAYALOFT_PLATFORM");
  if (entries != NULL && !add_entries (&args.cmd, entries))
    return cmd_error (CMD_USAGE, "PAPAYALOFT_ENTRY is not a list of ip:port");
  if (argp_parse (&argp, argc, argv, 0, NULL, &args) != 0)
    return CMD_USAGE;
  return args.subcommand->run (&args.cmd);
}
