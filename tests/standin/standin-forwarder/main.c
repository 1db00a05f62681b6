/* standin-forwarder: forwards TCP connections by the rules given as options.
   Commands on the control address stall or cut them by source and listening
   address; see forwarder.h.  */
#include "forwarder.h"

#include <argp.h>
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CONNECTIONS 2000
#define POLL_MS 50 /* a changed filter takes effect within this time */

struct forwarder
{
  struct rule rules[MAX_RULES];
  unsigned n_rules;
  struct filters filters;
  struct connection *connections[MAX_CONNECTIONS]; /* in no order */
  unsigned n_connections;
  struct pl_addr control;
  int control_fd;
};

static const struct argp_option options[] = {
  { "rule", 'r', "LISTEN=TARGET", 0, "Forward LISTEN to TARGET", 0 },
  { "control", 'c', "ADDR", 0, "Address for commands", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct forwarder *f = state->input;
  if (key == 'c')
    {
      if (!pl_addr_parse (pl_str (arg), &f->control))
        argp_error (state, "--control: '%s' is not an address", arg);
      return 0;
    }
  if (key != 'r')
    return ARGP_ERR_UNKNOWN;
  g_auto (GStrv) pair = g_strsplit (arg, "=", 2);
  struct rule *rule = &f->rules[f->n_rules];
  if (f->n_rules == MAX_RULES || g_strv_length (pair) != 2
      || !pl_addr_parse (pl_str (pair[0]), &rule->listen)
      || !pl_addr_parse (pl_str (pair[1]), &rule->target))
    argp_error (state, "--rule: '%s' is not LISTEN=TARGET", arg);
  f->n_rules++;
  return 0;
}

static int
listen_on (struct pl_addr addr)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (addr.port),
                             .sin_addr.s_addr = htonl (addr.ip) };
  if (bind (fd, (struct sockaddr *)&sin, sizeof sin) == 0
      && listen (fd, 128) == 0)
    return fd;
  char text[PL_ADDR_TEXT];
  fprintf (stderr, "standin-forwarder: can't listen on %s\n",
           pl_addr_text (addr, text));
  return -1;
}

static void
accept_connection (struct forwarder *f, const struct rule *rule)
{
  struct sockaddr_in from = { 0 };
  socklen_t len = sizeof from;
  int fd = accept4 (rule->fd, (struct sockaddr *)&from, &len, SOCK_CLOEXEC);
  if (fd < 0)
    return;
  uint32_t source = ntohl (from.sin_addr.s_addr);
  bool cut = filters_match (&f->filters, source, rule->listen) == FILTER_CUT;
  if (cut || f->n_connections == MAX_CONNECTIONS)
    {
      close (fd);
      return;
    }
  struct connection *connection = connection_open (fd, source, rule);
  if (connection != NULL)
    f->connections[f->n_connections++] = connection;
}

/* Accepts a connection, runs the command line that it sends and answers "ok"
   or "bad".  */
static void
serve_control (struct forwarder *f)
{
  int fd = accept4 (f->control_fd, NULL, NULL, SOCK_CLOEXEC);
  if (fd < 0)
    return;
  char line[128];
  struct pollfd p = { .fd = fd, .events = POLLIN };
  ssize_t n = 0;
  if (poll (&p, 1, 1000) == 1)
    n = recv (fd, line, sizeof line - 1, 0);
  bool ok = false;
  if (n > 0)
    {
      line[n] = '\0';
      line[strcspn (line, "\r\n")] = '\0';
      ok = filters_run_command (&f->filters, line);
    }
  const char *answer = ok ? "ok\n" : "bad\n";
  send (fd, answer, strlen (answer), MSG_NOSIGNAL);
  close (fd);
}

static void
drop_connection (struct forwarder *f, unsigned i, bool reset)
{
  connection_close (f->connections[i], reset);
  f->connections[i] = f->connections[--f->n_connections];
}

static void
cut_connections (struct forwarder *f)
{
  for (unsigned i = f->n_connections; i > 0; i--)
    {
      struct connection *connection = f->connections[i - 1];
      if (filters_match (&f->filters, connection->source, connection->listen)
          == FILTER_CUT)
        drop_connection (f, i - 1, true);
    }
}

/* Fills FDS: the control socket, a listening socket for each rule, two sides
   for each connection.  Returns their number.  */
static unsigned
fill_pollfds (struct forwarder *f, struct pollfd *fds)
{
  unsigned n = 0;
  fds[n++] = (struct pollfd){ .fd = f->control_fd, .events = POLLIN };
  for (unsigned i = 0; i < f->n_rules; i++)
    fds[n++] = (struct pollfd){ .fd = f->rules[i].fd, .events = POLLIN };
  for (unsigned i = 0; i < f->n_connections; i++)
    {
      struct connection *connection = f->connections[i];
      bool stalled
          = filters_match (&f->filters, connection->source, connection->listen)
            == FILTER_STALL;
      for (int side = 0; side < 2; side++)
        {
          short events = 0;
          if (!stalled)
            events = connection_poll_events (connection, side);
          /* poll ignores negative descriptors, and so does not report the
             hang-up of a stalled connection.  */
          fds[n++]
              = (struct pollfd){ .fd = events ? connection->fds[side] : -1,
                                 .events = events };
        }
    }
  return n;
}

static void
run (struct forwarder *f)
{
  static struct pollfd fds[1 + MAX_RULES + 2 * MAX_CONNECTIONS];
  for (;;)
    {
      cut_connections (f);
      unsigned n_polled = f->n_connections;
      unsigned n = fill_pollfds (f, fds);
      if (poll (fds, n, POLL_MS) < 0)
        continue;
      struct pollfd *connection_fds = fds + 1 + f->n_rules;
      for (unsigned i = n_polled; i > 0; i--)
        {
          size_t first = 2 * (size_t)(i - 1);
          struct pollfd *pair = connection_fds + first;
          if (!connection_transfer (f->connections[i - 1], 0, pair[0].revents)
              || !connection_transfer (f->connections[i - 1], 1,
                                       pair[1].revents))
            drop_connection (f, i - 1, false);
        }
      for (unsigned i = 0; i < f->n_rules; i++)
        if (fds[1 + i].revents != 0)
          accept_connection (f, &f->rules[i]);
      if (fds[0].revents != 0)
        serve_control (f);
    }
}

int
main (int argc, char **argv)
{
  static struct forwarder f;
  struct argp argp = { .options = options,
                       .parser = parse_option,
                       .doc = "TCP forwarder for tests.\vCommands: pass|stall|"
                              "cut SOURCE-IP|* LISTEN-ADDR|*" };
  argp_parse (&argp, argc, argv, 0, NULL, &f);
  f.control_fd = listen_on (f.control);
  if (f.control_fd < 0)
    return 1;
  for (unsigned i = 0; i < f.n_rules; i++)
    {
      f.rules[i].fd = listen_on (f.rules[i].listen);
      if (f.rules[i].fd < 0)
        return 1;
    }
  run (&f);
  return 0;
}
