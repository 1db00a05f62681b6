/* Closes connections that stay idle between requests or send their headers too
   slowly.  libmicrohttpd's own timeout starts again with each byte.  */
#include "http_priv.h"

#include <sys/socket.h>

struct http_conn
{
  int fd;
  bool busy;             /* a request's headers have arrived */
  int64_t idle_since_us; /* the start, or the end of the last request */
};

static int
get_socket (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/* Maintains the set of open connections.  libmicrohttpd reports the end of a
   connection before it closes the socket, so that a descriptor in the set
   never belongs to another file.  */
void
http_conn_notify (void *user, struct MHD_Connection *connection,
                  void **context, enum MHD_ConnectionNotificationCode code)
{
  struct http *http = user;
  struct http_conn *conn = *context;
  g_mutex_lock (&http->lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      conn = g_new0 (struct http_conn, 1);
      conn->fd = get_socket (connection);
      conn->idle_since_us = g_get_monotonic_time ();
      g_hash_table_add (http->conns, conn);
      *context = conn;
    }
  else if (conn != NULL)
    {
      g_hash_table_remove (http->conns, conn);
      g_free (conn);
      *context = NULL;
    }
  g_mutex_unlock (&http->lock);
}

void
http_conn_set_busy (struct http *http, struct MHD_Connection *connection,
                    bool busy)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct http_conn *conn = info->socket_context;
  if (conn == NULL)
    return;
  g_mutex_lock (&http->lock);
  conn->busy = busy;
  conn->idle_since_us = g_get_monotonic_time ();
  g_mutex_unlock (&http->lock);
}

void
http_conn_close_idle (struct http *http, int64_t limit_us)
{
  GHashTableIter iter;
  gpointer p;
  g_hash_table_iter_init (&iter, http->conns);
  while (g_hash_table_iter_next (&iter, &p, NULL))
    {
      struct http_conn *conn = p;
      if (!conn->busy && conn->idle_since_us <= limit_us)
        shutdown (conn->fd, SHUT_RDWR);
    }
}
