/* Forwarded connections: connecting to the target and moving bytes.  */
#include "forwarder.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static int
connect_to (struct pl_addr target, uint32_t source)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  /* The target must see the address of the connecting side: another forwarder
     may filter by it.  */
  struct sockaddr_in from
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (source) };
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (target.port),
                            .sin_addr.s_addr = htonl (target.ip) };
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&from, sizeof from) == 0
      && connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

struct connection *
connection_open (int fd, uint32_t source, const struct rule *rule)
{
  int target = connect_to (rule->target, source);
  if (target < 0)
    {
      close (fd);
      return NULL;
    }
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  struct connection *connection = g_new0 (struct connection, 1);
  connection->fds[0] = fd;
  connection->fds[1] = target;
  connection->source = source;
  connection->listen = rule->listen;
  return connection;
}

void
connection_close (struct connection *connection, bool reset)
{
  struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };
  for (int i = 0; i < 2; i++)
    {
      if (reset)
        setsockopt (connection->fds[i], SOL_SOCKET, SO_LINGER, &reset_on_close,
                    sizeof reset_on_close);
      close (connection->fds[i]);
    }
  g_free (connection);
}

short
connection_poll_events (const struct connection *connection, int side)
{
  const struct direction *in = &connection->directions[side];
  const struct direction *out = &connection->directions[1 - side];
  short events = 0;
  if (!in->eof && in->len < BUFFER_BYTES)
    events |= POLLIN;
  if (out->len > 0)
    events |= POLLOUT;
  return events;
}

static bool
read_side (struct connection *connection, int side)
{
  struct direction *in = &connection->directions[side];
  ssize_t n = recv (connection->fds[side], in->data + in->len,
                    BUFFER_BYTES - in->len, MSG_DONTWAIT);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0)
    in->eof = true;
  in->len += (size_t)n;
  if (in->eof && in->len == 0)
    shutdown (connection->fds[1 - side], SHUT_WR);
  return true;
}

static bool
write_side (struct connection *connection, int side)
{
  struct direction *out = &connection->directions[1 - side];
  ssize_t n = send (connection->fds[side], out->data, out->len,
                    MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  out->len -= (size_t)n;
  memmove (out->data, out->data + n, out->len);
  if (out->eof && out->len == 0)
    shutdown (connection->fds[side], SHUT_WR);
  return true;
}

bool
connection_transfer (struct connection *connection, int side, short revents)
{
  if ((revents & (POLLERR | POLLNVAL)) != 0)
    return false;
  bool ok = true;
  if ((revents & (POLLIN | POLLHUP)) != 0 && !connection->directions[side].eof)
    ok = read_side (connection, side);
  if (ok && (revents & POLLOUT) != 0)
    ok = write_side (connection, side);
  bool done = connection->directions[0].eof && connection->directions[1].eof
              && connection->directions[0].len == 0
              && connection->directions[1].len == 0;
  return ok && !done;
}
