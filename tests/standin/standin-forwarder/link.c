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
  /* Keeps the source address visible to the next hop.  */
  struct sockaddr_in from
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (source) };
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (target.port),
                            .sin_addr.s_addr = htonl (target.ip) };
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&from, sizeof from) == 0
      && connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

struct link *
link_open (int fd, uint32_t source, const struct rule *rule)
{
  int target = connect_to (rule->target, source);
  if (target < 0)
    {
      close (fd);
      return NULL;
    }
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  struct link *link = g_new0 (struct link, 1);
  link->fds[0] = fd;
  link->fds[1] = target;
  link->source = source;
  link->listen = rule->listen;
  return link;
}

void
link_close (struct link *link, bool reset)
{
  struct linger hard = { .l_onoff = 1, .l_linger = 0 };
  for (int i = 0; i < 2; i++)
    {
      if (reset)
        setsockopt (link->fds[i], SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close (link->fds[i]);
    }
  g_free (link);
}

short
link_events (const struct link *link, int side)
{
  const struct pipe *in = &link->pipes[side];
  const struct pipe *out = &link->pipes[1 - side];
  short events = 0;
  if (!in->ended && in->len < BUFFER_BYTES)
    events |= POLLIN;
  if (out->len > 0)
    events |= POLLOUT;
  return events;
}

static bool
read_side (struct link *link, int side)
{
  struct pipe *in = &link->pipes[side];
  ssize_t n = recv (link->fds[side], in->data + in->len,
                    BUFFER_BYTES - in->len, MSG_DONTWAIT);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0)
    in->ended = true;
  in->len += (size_t)n;
  if (in->ended && in->len == 0)
    shutdown (link->fds[1 - side], SHUT_WR);
  return true;
}

static bool
write_side (struct link *link, int side)
{
  struct pipe *out = &link->pipes[1 - side];
  ssize_t n = send (link->fds[side], out->data, out->len,
                    MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  out->len -= (size_t)n;
  memmove (out->data, out->data + n, out->len);
  if (out->ended && out->len == 0)
    shutdown (link->fds[side], SHUT_WR);
  return true;
}

bool
link_move (struct link *link, int side, short revents)
{
  if ((revents & (POLLERR | POLLNVAL)) != 0)
    return false;
  bool ok = true;
  if ((revents & (POLLIN | POLLHUP)) != 0 && !link->pipes[side].ended)
    ok = read_side (link, side);
  if (ok && (revents & POLLOUT) != 0)
    ok = write_side (link, side);
  bool done = link->pipes[0].ended && link->pipes[1].ended
              && link->pipes[0].len == 0 && link->pipes[1].len == 0;
  return ok && !done;
}
