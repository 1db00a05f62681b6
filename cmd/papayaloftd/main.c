/* papayaloftd: the entry daemon.  It accepts jobs over HTTP and runs their
   tasks on the workers; lib/entry does the work.  This file reads the
   settings, starts the daemon and turns SIGTERM and SIGINT into a planned
   stop.  */
#include "conf.h"
#include "entry.h"
#include "pl.h"

#include <argp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2
#define OPTION_BASE 256 /* keys of the settings' long options */
#define OPTION_CHECK 'c'

const char *argp_program_version = "papayaloftd " PL_VERSION;

struct args
{
  struct conf conf;
  bool check;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct args *args = state->input;
  if (key == OPTION_CHECK)
    {
      args->check = true;
      return 0;
    }
  if (key < OPTION_BASE || key >= OPTION_BASE + (int)conf_count)
    return ARGP_ERR_UNKNOWN;
  unsigned index = (unsigned)(key - OPTION_BASE);
  g_autofree char *flag = g_strconcat ("--", conf_table[index].flag, NULL);
  struct pl_err err = { 0 };
  if (!conf_set (&args->conf, index, flag, arg, &err))
    argp_failure (state, EXIT_USAGE, 0, "%s", err.text);
  return 0;
}

/* Makes one long option for each setting; its help text names the default,
   the range, the unit and the environment variable.  */
static struct argp_option *
make_options (void)
{
  struct argp_option *options = g_new0 (struct argp_option, conf_count + 2);
  options[0] = (struct argp_option){
    .name = "check",
    .key = OPTION_CHECK,
    .doc = "Print the settings in force and exit",
  };
  for (unsigned i = 0; i < conf_count; i++)
    {
      const struct conf_item *item = &conf_table[i];
      options[i + 1] = (struct argp_option){
        .name = item->flag,
        .key = OPTION_BASE + (int)i,
        .arg = item->type == CONF_INT ? "N" : "TEXT",
        .doc = g_strdup_printf (
            "%s Default '%s', %ld to %ld, %s; %s", item->help, item->def,
            item->min, item->max,
            item->type == CONF_INT ? item->unit : "characters", item->env),
      };
    }
  return options;
}

static void
free_options (struct argp_option *options)
{
  for (unsigned i = 0; i < conf_count; i++)
    g_free ((char *)options[i + 1].doc);
  g_free (options);
}

static void
read_settings (struct args *args, int argc, char **argv)
{
  struct pl_err err = { 0 };
  if (!conf_init (&args->conf, &err))
    {
      fprintf (stderr, "papayaloftd: %s\n", err.text);
      exit (EXIT_USAGE);
    }
  struct argp_option *options = make_options ();
  struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Entry daemon of papayaloft.  A flag wins over its environment "
           "variable.",
  };
  argp_parse (&argp, argc, argv, 0, NULL, args);
  free_options (options);
  if (!conf_check (&args->conf, &err))
    {
      fprintf (stderr, "papayaloftd: %s\n", err.text);
      exit (EXIT_USAGE);
    }
}

static void *
wait_signals (void *user)
{
  struct entry *entry = user;
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  int number;
  /* A second signal must not abort requests: entry_drain has no effect when
     it is called again.  */
  while (sigwait (&set, &number) == 0)
    entry_drain (entry);
  return NULL;
}

/* Blocks SIGTERM and SIGINT before any thread starts, so that only the signal
   thread receives them.  */
static void
block_signals (void)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

int
main (int argc, char **argv)
{
  struct args args = { 0 };
  read_settings (&args, argc, argv);
  if (args.check)
    {
      g_autoptr (GString) out = g_string_new (NULL);
      conf_append_settings (&args.conf, out);
      fputs (out->str, stdout);
      conf_clear (&args.conf);
      return 0;
    }
  pl_log_init (args.conf.log_format, args.conf.log_level);
  block_signals ();
  struct pl_err err = { 0 };
  struct entry *entry = entry_new (&args.conf, &err);
  if (entry == NULL)
    {
      pl_log (PL_EV_FATAL, "detail=\"%s\"", err.text);
      return 1;
    }
  pthread_t thread;
  if (pthread_create (&thread, NULL, wait_signals, entry) != 0)
    {
      pl_log (PL_EV_FATAL, "detail=\"no signal thread\"");
      return 1;
    }
  entry_wait_drain (entry);
  pthread_cancel (thread);
  pthread_join (thread, NULL);
  unsigned unfinished = entry_stop (entry);
  conf_clear (&args.conf);
  return unfinished == 0 ? 0 : 1;
}
