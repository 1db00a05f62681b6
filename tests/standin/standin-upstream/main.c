/* standin-upstream: stand-in for the workers of a failure domain; see
   standin.h.  */
#include "standin.h"

#include <argp.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  OPT_BASE = 256,
  OPT_COUNT,
  OPT_PORT,
  OPT_SLOTS,
  OPT_CONNECTIONS,
  OPT_LOG,
  OPT_SEED,
};

static const struct argp_option options[] = {
  { "base", OPT_BASE, "IP", 0, "First worker address (127.1.0.1)", 0 },
  { "count", OPT_COUNT, "N", 0, "Workers on consecutive addresses (12)", 0 },
  { "port", OPT_PORT, "PORT", 0, "Port of each worker (9000)", 0 },
  { "slots", OPT_SLOTS, "N", 0, "Tasks that a worker runs at once (8)", 0 },
  { "connections", OPT_CONNECTIONS, "N", 0, "Connections per worker (60)", 0 },
  { "log", OPT_LOG, "FILE", 0,
    "Append starts, ends, refusals and cuts to FILE", 0 },
  { "seed", OPT_SEED, "N", 0, "Seed that decides which tasks are faulty (1)",
    0 },
  { 0 },
};

struct settings
{
  struct standin *standin;
  const char *log;
  int seed;
};

static int
parse_number (struct argp_state *state, const char *arg, int min)
{
  int64_t value = 0;
  if (!pl_str_to_int (pl_str (arg), min, INT32_MAX, &value))
    argp_error (state, "'%s' is not a number of at least %d", arg, min);
  return (int)value;
}

static error_t
set_option (int key, char *arg, struct argp_state *state)
{
  struct settings *out = state->input;
  switch (key)
    {
    case OPT_BASE:
      out->standin->base = arg;
      return 0;
    case OPT_COUNT:
      out->standin->count = parse_number (state, arg, 1);
      return 0;
    case OPT_PORT:
      out->standin->port = parse_number (state, arg, 1);
      return 0;
    case OPT_SLOTS:
      out->standin->slots = parse_number (state, arg, 1);
      return 0;
    case OPT_CONNECTIONS:
      out->standin->connections = parse_number (state, arg, 1);
      return 0;
    case OPT_LOG:
      out->log = arg;
      return 0;
    case OPT_SEED:
      out->seed = parse_number (state, arg, 0);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
start_workers (struct standin *standin)
{
  g_autofree char *text
      = g_strdup_printf ("%s:%d", standin->base, standin->port);
  struct pl_addr addr;
  if (!pl_addr_parse (pl_str (text), &addr))
    {
      fprintf (stderr, "standin-upstream: '%s' is not an address\n", text);
      exit (2);
    }
  standin->workers = g_new0 (struct worker, standin->count);
  for (int i = 0; i < standin->count; i++, addr.ip++)
    {
      struct worker *w = &standin->workers[i];
      w->standin = standin;
      pl_addr_text (addr, w->address);
      w->fds = g_array_new (FALSE, FALSE, sizeof (int));
      w->running = g_hash_table_new (g_str_hash, g_str_equal);
      w->started_ids
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      w->daemon = start_server (w, addr);
      if (w->daemon != NULL)
        continue;
      fprintf (stderr, "standin-upstream: cannot listen on %s: %s\n",
               w->address, g_strerror (errno));
      exit (1);
    }
}

int
main (int argc, char **argv)
{
  static struct standin standin = { .base = "127.1.0.1",
                                    .count = 12,
                                    .port = 9000,
                                    .slots = 8,
                                    .connections = 60,
                                    .log_fd = -1 };
  struct settings settings = { .standin = &standin, .seed = 1 };
  const struct argp argp
      = { .options = options,
          .parser = set_option,
          .doc = "Stand-in for the workers of a failure domain, for tests." };
  argp_parse (&argp, argc, argv, 0, NULL, &settings);
  if (settings.log != NULL)
    standin.log_fd
        = open (settings.log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (settings.log != NULL && standin.log_fd < 0)
    {
      fprintf (stderr, "standin-upstream: cannot open %s\n", settings.log);
      return 1;
    }
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  standin.rand = g_rand_new_with_seed ((guint32)settings.seed);
  standin.timers = g_sequence_new (NULL);
  g_mutex_init (&standin.lock);
  g_cond_init (&standin.wake);
  start_workers (&standin);
  g_thread_unref (g_thread_new ("timer", timer_loop, &standin));
  int signal_number = 0;
  sigwait (&set, &signal_number);
  _exit (0);
}
