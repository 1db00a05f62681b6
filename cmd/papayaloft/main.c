#include "cmd.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

struct sub
{
  const char *name;
  int (*run) (const struct cmd *cmd);
  int min_args;
  int max_args;
};

static const struct sub subs[] = {
  { "validate", cmd_validate, 1, 1 }, { "apply", cmd_apply, 1, 1 },
  { "history", cmd_history, 0, 0 },   { "show", cmd_show, 0, 1 },
  { "status", cmd_status, 0, 0 },     { "drain", cmd_drain, 1, 1 },
  { "submit", cmd_submit, 1, 1 },     { "cancel", cmd_cancel, 1, 1 },
  { "prefix", cmd_prefix, 0, 0 },     { "version", cmd_version, 0, 0 },
};

struct input
{
  struct cmd cmd;
  const struct sub *sub;
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
take_arg (struct argp_state *state, struct input *input, char *arg)
{
  if (input->sub != NULL)
    {
      if (input->cmd.arg != NULL || input->sub->max_args == 0)
        argp_error (state, "too many arguments");
      input->cmd.arg = arg;
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (subs); i++)
    if (strcmp (subs[i].name, arg) == 0)
      input->sub = &subs[i];
  if (input->sub == NULL)
    argp_error (state, "unknown subcommand '%s'", arg);
}

static void
check_end (struct argp_state *state, const struct input *input)
{
  if (input->sub == NULL)
    argp_error (state, "a subcommand is needed");
  else if (input->cmd.arg == NULL && input->sub->min_args > 0)
    argp_error (state, "%s needs an argument", input->sub->name);
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct input *input = state->input;
  switch (key)
    {
    case 'p':
      input->cmd.platform = arg;
      return 0;
    case 'e':
      if (!add_entries (&input->cmd, arg))
        argp_error (state, "--entry: '%s' is not a list of ip:port", arg);
      return 0;
    case 'w':
      input->cmd.wait_s = parse_number (state, "--wait-s", arg, 0, 3600);
      return 0;
    case 't':
      input->cmd.tries = parse_number (state, "--tries", arg, 1, 1000);
      return 0;
    case 'k':
      input->cmd.key = arg;
      return 0;
    case 's':
      if (strpbrk (arg, " ?#%\r\n") != NULL || strchr (arg, '/') == NULL)
        argp_error (state, "--service: '%s' is not SERVICE/KIND", arg);
      input->cmd.service = arg;
      return 0;
    case ARGP_KEY_ARG:
      take_arg (state, input, arg);
      return 0;
    case ARGP_KEY_END:
      check_end (state, input);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
  { "platform", 'p', "URL", 0, "Platform, http://ip:port", 0 },
  { "entry", 'e', "IP:PORT,...", 0, "Entry instances", 0 },
  { "wait-s", 'w', "N", 0, "apply: wait until all entries report it", 0 },
  { "key", 'k', "SUFFIX", 0, "submit: suffix of the key, or a whole key", 0 },
  { "service", 's', "S/K", 0, "submit: post to /v1/services/S/K", 0 },
  { "tries", 't', "N", 0, "submit: attempts (3)", 0 },
  { 0 },
};

int
main (int argc, char **argv)
{
  static const struct argp argp = {
    .options = options,
    .parser = parse,
    .args_doc = "SUBCOMMAND [ARGUMENT]",
    .doc = "Operates papayaloft: validate, apply, history, show, status, "
           "drain, submit, cancel, prefix, version.",
  };
  struct input input = { .cmd = { .wait_s = -1, .tries = 3 } };
  argp_err_exit_status = CMD_USAGE;
  const char *entries = getenv ("PAPAYALOFT_ENTRY");
  input.cmd.platform = getenv ("PAPAYALOFT_PLATFORM");
  if (entries != NULL && !add_entries (&input.cmd, entries))
    return cmd_say (CMD_USAGE, "PAPAYALOFT_ENTRY is not a list of ip:port");
  if (argp_parse (&argp, argc, argv, 0, NULL, &input) != 0)
    return CMD_USAGE;
  return input.sub->run (&input.cmd);
}
