/* standin-platform: stand-in for the platform's key-value store; see
   server.h.  */
#include "server.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>

struct args
{
  struct pl_addr listen;
  const char *log;
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct args *args = state->input;
  if (key == 'l' && !pl_addr_parse (pl_str (arg), &args->listen))
    argp_error (state, "--listen: '%s' is not ip:port", arg);
  if (key == 'o')
    args->log = arg;
  return key == 'l' || key == 'o' ? 0 : ARGP_ERR_UNKNOWN;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "listen", 'l', "IP:PORT", 0, "Address to serve", 0 },
          { "log", 'o', "FILE", 0, "Append a line per call to FILE", 0 },
          { 0 } };
  static const struct argp argp
      = { .options = options,
          .parser = parse_option,
          .doc = "Stand-in for the platform's etcd v3 JSON gateway, for "
                 "tests." };
  struct args args = { .listen = { .ip = 0x7f000001, .port = 2379 } };
  if (argp_parse (&argp, argc, argv, 0, NULL, &args) != 0)
    return 2;
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  struct pl_err err = { 0 };
  struct standin *standin = standin_new (args.listen, args.log, &err);
  if (standin == NULL)
    {
      fprintf (stderr, "standin-platform: %s\n", err.text);
      return 1;
    }
  int signal_number;
  sigwait (&set, &signal_number);
  standin_free (standin);
  return 0;
}
