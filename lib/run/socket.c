/* Finds the socket of a neon session, which neon does not give out.  It is
   needed to stop a late request before its first byte, to notice a closed
   connection before it is used again and to bound an exchange exactly.

   Connects to one upstream are made one at a time, so that just after a
   connect the only socket of this process with that peer address that is not
   known is the new one.  */
#include "run_priv.h"

#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static bool
has_peer (int fd, struct pl_addr addr)
{
  struct sockaddr_in sin = { 0 };
  socklen_t len = sizeof sin;
  return getpeername (fd, (struct sockaddr *)&sin, &len) == 0
         && sin.sin_family == AF_INET && ntohl (sin.sin_addr.s_addr) == addr.ip
         && ntohs (sin.sin_port) == addr.port;
}

static uint16_t
local_port (int fd)
{
  struct sockaddr_in sin = { 0 };
  socklen_t len = sizeof sin;
  if (getsockname (fd, (struct sockaddr *)&sin, &len) != 0)
    return 0;
  return ntohs (sin.sin_port);
}

static bool
is_known (const struct run_upstream *up, uint16_t port)
{
  for (unsigned i = 0; i < up->conns->len; i++)
    {
      const struct run_conn *conn = g_ptr_array_index (up->conns, i);
      if (conn->fd >= 0 && conn->local_port == port)
        return true;
    }
  return false;
}

/* Returns the only unknown socket to UP, or -1.  */
static int
unknown_socket (const struct run_upstream *up, uint16_t *port)
{
  DIR *dir = opendir ("/proc/self/fd");
  if (dir == NULL)
    return -1;
  int found = -1;
  unsigned n = 0;
  for (struct dirent *e = readdir (dir); e != NULL; e = readdir (dir))
    {
      int fd = (int)strtol (e->d_name, NULL, 10);
      if (e->d_name[0] == '.' || !has_peer (fd, up->addr))
        continue;
      uint16_t p = local_port (fd);
      if (is_known (up, p))
        continue;
      found = fd;
      *port = p;
      n++;
    }
  closedir (dir);
  return n == 1 ? found : -1;
}

void
run_conn_find_socket (struct run_pool *pool, struct run_conn *conn)
{
  g_mutex_lock (&pool->lock);
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  int fd = unknown_socket (conn->up, &conn->local_port);
  /* A duplicate: neon may close its own at any moment, and the number could
     then name another file.  */
  conn->fd = fd < 0 ? -1 : fcntl (fd, F_DUPFD_CLOEXEC, 0);
  conn->up->connecting = false;
  g_cond_broadcast (&pool->freed);
  g_mutex_unlock (&pool->lock);
}

void
run_conn_drop_socket (struct run_pool *pool, struct run_conn *conn)
{
  g_mutex_lock (&pool->lock);
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  conn->limit_us = 0;
  g_mutex_unlock (&pool->lock);
}
