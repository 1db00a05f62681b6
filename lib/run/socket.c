/* Finds the socket of a neon session, which neon does not give out.  It is
   needed to stop a late request before its first byte, to notice a closed
   connection before it is used again and to bound an exchange exactly.

   Connects to one upstream are made one at a time.  The new socket is the only
   one with that peer address whose local port was not there before.  */
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

/* The local port; 0 if the socket has been reset meanwhile.  */
static uint16_t
local_port (int fd)
{
  struct sockaddr_in sin = { 0 };
  socklen_t len = sizeof sin;
  if (getsockname (fd, (struct sockaddr *)&sin, &len) != 0)
    return 0;
  return ntohs (sin.sin_port);
}

struct socket_info
{
  int fd;
  uint16_t port;
};

/* All sockets of this process that are connected to ADDR.  */
static GArray *
sockets_to (struct pl_addr addr)
{
  GArray *out = g_array_new (FALSE, FALSE, sizeof (struct socket_info));
  DIR *dir = opendir ("/proc/self/fd");
  if (dir == NULL)
    return out;
  for (struct dirent *e = readdir (dir); e != NULL; e = readdir (dir))
    {
      struct socket_info f = { .fd = (int)strtol (e->d_name, NULL, 10) };
      if (e->d_name[0] == '.' || !has_peer (f.fd, addr))
        continue;
      f.port = local_port (f.fd);
      if (f.port != 0)
        g_array_append_val (out, f);
    }
  closedir (dir);
  return out;
}

static bool
has_port (const GArray *list, uint16_t port)
{
  for (unsigned i = 0; i < list->len; i++)
    if (g_array_index (list, struct socket_info, i).port == port)
      return true;
  return false;
}

void
run_conn_before_connect (struct run_conn *conn)
{
  conn->sockets_before = sockets_to (conn->upstream->addr);
}

/* Returns the only socket that was not there before the connect, or -1.  */
static int
new_socket (struct run_conn *conn)
{
  GArray *now = sockets_to (conn->upstream->addr);
  int fd = -1;
  unsigned n = 0;
  for (unsigned i = 0; i < now->len; i++)
    {
      const struct socket_info *f
          = &g_array_index (now, struct socket_info, i);
      if (has_port (conn->sockets_before, f->port))
        continue;
      fd = f->fd;
      n++;
    }
  g_array_unref (now);
  return n == 1 ? fd : -1;
}

void
run_conn_find_socket (struct run_pool *pool, struct run_conn *conn)
{
  /* A duplicate, since neon may close its descriptor at any moment and the
     number could then mean another file.  */
  int fd = new_socket (conn);
  if (fd >= 0)
    fd = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  g_mutex_lock (&pool->lock);
  conn->fd = fd;
  conn->upstream->connecting = false;
  g_cond_broadcast (&pool->conn_freed);
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
