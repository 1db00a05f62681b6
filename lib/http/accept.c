/* Accepts callers' connections on a thread of its own.

   libmicrohttpd gets no listening socket.  Its MHD_quiesce_daemon and the
   threads of its pool both remove the socket from the epoll sets, and the one
   that comes second aborts the process.  */
#include "http_priv.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define ACCEPT_PAUSE_US 10000 /* when no file descriptor is left */

bool
http_open_listener (struct http *http, struct pl_addr addr)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (addr.port),
                             .sin_addr.s_addr = htonl (addr.ip) };
  http->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (http->listen_fd < 0)
    return false;
  int one = 1;
  setsockopt (http->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (http->listen_fd, (struct sockaddr *)&sin, sizeof sin) == 0
      && listen (http->listen_fd, (int)http->conf->caller_connections) == 0)
    return true;
  int error = errno;
  close (http->listen_fd);
  errno = error;
  return false;
}

static gpointer
accept_connections (gpointer user)
{
  struct http *http = user;
  for (;;)
    {
      struct sockaddr_in peer_addr;
      socklen_t len = sizeof peer_addr;
      int fd = accept4 (http->listen_fd, (struct sockaddr *)&peer_addr, &len,
                        SOCK_CLOEXEC | SOCK_NONBLOCK);
      /* MHD_add_connection closes FD if it refuses the connection.  */
      if (fd >= 0)
        MHD_add_connection (http->daemon, fd, (struct sockaddr *)&peer_addr,
                            len);
      else if (errno == EINVAL || errno == EBADF)
        return NULL; /* shut down by http_accept_stop */
      else if (errno == EMFILE || errno == ENFILE || errno == ENOMEM)
        g_usleep (ACCEPT_PAUSE_US);
    }
}

void
http_accept_start (struct http *http)
{
  http->acceptor = g_thread_new ("http-accept", accept_connections, http);
}

void
http_accept_stop (struct http *http)
{
  shutdown (http->listen_fd, SHUT_RDWR);
  g_thread_join (http->acceptor);
  close (http->listen_fd);
}
