/* Reads the command line of papayaload and runs its command.  */
#include "load.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_USAGE 2

const char *argp_program_version = "papayaload " PL_VERSION;

enum load_option
{
  OPT_ENTRY = 'e',
  OPT_MIX = 'm',
  OPT_SEED = 's',
  OPT_RATE = 'r',
  OPT_SECONDS = 't',
  OPT_THREADS = 'j',
  OPT_SCALE = 'x',
  OPT_HISTORY = 'H',
  OPT_OUT = 'o',
  OPT_STICKY = 256,
  OPT_TRIES,
  OPT_DEADLINE,
  OPT_LOAD,
  OPT_SLOTS,
  OPT_SVG,
  OPT_FIRST,
  OPT_NOTICE,
  OPT_BURST,
  OPT_DECLARED,
  OPT_CANCEL,
  OPT_IMPOSSIBLE,
};

static const struct argp_option options[] = {
  { "entry", OPT_ENTRY, "ADDR,...", 0, "Entry instances, a.b.c.d:port", 0 },
  { "mix", OPT_MIX, "NAME", 0,
    "Shape of the jobs: midlands, guatemala or all (default all)", 0 },
  { "seed", OPT_SEED, "N", 0, "Seed of all random choices (default 1)", 0 },
  { "rate", OPT_RATE, "N", 0, "Jobs per second (default 10)", 0 },
  { "load", OPT_LOAD, "X", 0,
    "Offered load instead of a rate, as a fraction of all slots; needs "
    "--slots",
    0 },
  { "slots", OPT_SLOTS, "N", 0, "Total number of slots of all workers", 0 },
  { "seconds", OPT_SECONDS, "N", 0, "Length of the run (default 10)", 0 },
  { "scale", OPT_SCALE, "X", 0, "Factor on all run times (default 1)", 0 },
  { "threads", OPT_THREADS, "N", 0,
    "Submissions in flight at once (default 128, at most 2,000)", 0 },
  { "tries", OPT_TRIES, "N", 0,
    "Keys that a job may use, a new one after each answer that nothing ran "
    "(default 1)",
    0 },
  { "deadline-ms", OPT_DEADLINE, "N", 0, "Deadline (default 30,000)", 0 },
  { "sticky", OPT_STICKY, NULL, 0,
    "Use the key prefix of the entry that is called, instead of the prefix of "
    "another entry of the same failure domain",
    0 },
  { "burst", OPT_BURST, "X", 0,
    "Multiply the rate by X for one second, halfway through the run", 0 },
  { "declared", OPT_DECLARED, "X", 0,
    "Declare task sizes too large by the factor X in every other job, and too "
    "small by it in the rest",
    0 },
  { "cancel", OPT_CANCEL, "X", 0,
    "Fraction of the open jobs to cancel, halfway through the run", 0 },
  { "impossible", OPT_IMPOSSIBLE, "X", 0,
    "Fraction of the jobs that ask for too much memory to run anywhere", 0 },
  { "first", OPT_FIRST, "N", 0, "Number of the first job (default 0)", 0 },
  { "notice-ms", OPT_NOTICE, "N", 0,
    "Simulate a load balancer that takes an instance out of rotation once its "
    "/readyz has failed for N ms",
    0 },
  { "history", OPT_HISTORY, "FILE", 0, "Append a line for each attempt", 0 },
  { "out", OPT_OUT, "FILE", 0, "Write the report as JSON", 0 },
  { "svg", OPT_SVG, "FILE", 0, "Write a plot of the response times (compare)",
    0 },
  { 0 },
};

struct args
{
  struct load_opts opts;
  double load; /* offered load, a fraction of all slots; 0: use the rate */
  const char *svg;
  char **operands;
  int n_operands;
};

static double
parse_number (struct argp_state *state, const char *flag, const char *arg,
              double min, double max)
{
  char *end;
  double value = g_ascii_strtod (arg, &end);
  if (end == arg || *end != '\0' || !(value >= min && value <= max))
    argp_failure (state, EXIT_USAGE, 0,
                  "--%s: value '%s' is not a number from %g to %g", flag, arg,
                  min, max);
  return value;
}

static void
parse_entries (struct argp_state *state, struct load_opts *opts,
               const char *arg)
{
  g_auto (GStrv) list = g_strsplit (arg, ",", -1);
  unsigned n = g_strv_length (list);
  opts->entries = g_new0 (struct pl_addr, n);
  for (unsigned i = 0; i < n; i++)
    if (!pl_addr_parse (pl_str (list[i]), &opts->entries[i]))
      argp_failure (state, EXIT_USAGE, 0,
                    "--entry: value '%s' is not an address a.b.c.d:port",
                    list[i]);
  opts->n_entries = n;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct args *args = state->input;
  struct load_opts *opts = &args->opts;
  switch (key)
    {
    case OPT_ENTRY:
      parse_entries (state, opts, arg);
      return 0;
    case OPT_MIX:
      opts->mix = load_mix_find (arg);
      if (opts->mix == NULL)
        argp_failure (state, EXIT_USAGE, 0,
                      "--mix: value '%s' is not one of midlands, guatemala, "
                      "all",
                      arg);
      return 0;
    case OPT_SEED:
      opts->seed = (guint32)parse_number (state, "seed", arg, 0, 4294967295.);
      return 0;
    case OPT_RATE:
      opts->rate = parse_number (state, "rate", arg, 0.01, 100000);
      return 0;
    case OPT_LOAD:
      args->load = parse_number (state, "load", arg, 0.01, 20);
      return 0;
    case OPT_SLOTS:
      opts->slots = parse_number (state, "slots", arg, 1, 1e6);
      return 0;
    case OPT_SECONDS:
      opts->seconds = parse_number (state, "seconds", arg, 0.1, 600);
      return 0;
    case OPT_SCALE:
      opts->scale = parse_number (state, "scale", arg, 0.001, 10);
      return 0;
    case OPT_THREADS:
      opts->threads = (unsigned)parse_number (state, "threads", arg, 1, 2000);
      return 0;
    case OPT_TRIES:
      opts->tries = (unsigned)parse_number (state, "tries", arg, 1, 1000);
      return 0;
    case OPT_DEADLINE:
      opts->deadline_ms
          = (int)parse_number (state, "deadline-ms", arg, 1, 600000);
      return 0;
    case OPT_FIRST:
      opts->first = (unsigned)parse_number (state, "first", arg, 0, 1e9);
      return 0;
    case OPT_NOTICE:
      opts->notice_ms = (int)parse_number (state, "notice-ms", arg, 0, 600000);
      return 0;
    case OPT_BURST:
      opts->burst = parse_number (state, "burst", arg, 1, 100);
      return 0;
    case OPT_DECLARED:
      opts->declared = parse_number (state, "declared", arg, 1, 1000);
      return 0;
    case OPT_CANCEL:
      opts->cancel = parse_number (state, "cancel", arg, 0, 1);
      return 0;
    case OPT_IMPOSSIBLE:
      opts->impossible = parse_number (state, "impossible", arg, 0, 1);
      return 0;
    case OPT_STICKY:
      opts->sticky = true;
      return 0;
    case OPT_HISTORY:
      opts->history = arg;
      return 0;
    case OPT_OUT:
      opts->out = arg;
      return 0;
    case OPT_SVG:
      args->svg = arg;
      return 0;
    case ARGP_KEY_ARGS:
      args->operands = state->argv + state->next;
      args->n_operands = state->argc - state->next;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
run (struct args *args)
{
  struct load_opts *opts = &args->opts;
  if (opts->n_entries == 0)
    {
      fprintf (stderr, "papayaload: run needs --entry\n");
      return EXIT_USAGE;
    }
  if (args->load > 0 && opts->slots <= 0)
    {
      fprintf (stderr, "papayaload: --load needs --slots\n");
      return EXIT_USAGE;
    }
  if (args->load > 0)
    opts->rate = args->load * opts->slots * 1000.0
                 / load_mix_mean_work_ms (opts->mix, opts->scale, opts->seed);
  unsigned n;
  struct load_job *jobs = load_plan (opts, &n);
  load_find_domains (opts);
  load_assign_entries (opts, jobs, n);
  load_estimate_fits (opts, jobs, n);
  GHashTable *before = load_sum_metrics (opts);
  printf ("%u jobs, %.2f a second, seed %u\n", n, opts->rate, opts->seed);
  if (!load_run (opts, jobs, n))
    {
      fprintf (stderr, "papayaload: can't write %s\n", opts->history);
      return EXIT_USAGE;
    }
  GHashTable *after = load_sum_metrics (opts);
  unsigned wrong = load_report (opts, jobs, n, before, after);
  g_hash_table_unref (before);
  g_hash_table_unref (after);
  load_plan_free (jobs, n);
  g_free (opts->domain);
  g_free (opts->entries);
  return wrong == 0 ? 0 : 1;
}

int
main (int argc, char **argv)
{
  struct args args = {
    .opts = {
      .mix = load_mix_find ("all"),
      .seed = 1,
      .rate = 10,
      .seconds = 10,
      .scale = 1,
      .threads = 128,
      .tries = 1,
      .notice_ms = -1,
    },
  };
  struct argp argp = {
    .options = options,
    .parser = parse_option,
    .args_doc = "run\ncompare REPORT...\ncheck FILE...",
    .doc = "Load generator of papayaloft.\vrun: exits with 1 if an answer was "
           "wrong.  check: exits with 1 if a history breaks a rule.",
  };
  argp_parse (&argp, argc, argv, 0, NULL, &args);
  signal (SIGPIPE, SIG_IGN);
  const char *command = args.operands[0];
  if (strcmp (command, "run") == 0 && args.n_operands == 1)
    return run (&args);
  if (strcmp (command, "compare") == 0 && args.n_operands > 1)
    return load_compare (args.operands + 1, args.n_operands - 1, args.svg);
  if (strcmp (command, "check") == 0 && args.n_operands > 1)
    return load_check (args.operands + 1, args.n_operands - 1);
  fprintf (stderr, "papayaload: unknown command; see --help\n");
  return EXIT_USAGE;
}
