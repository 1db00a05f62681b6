/* HTTP server of one worker: tasks, faults and statistics.  */
#include "standin.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>

/* The library's limit is higher by this much than the worker's, so that the
   worker's own check refuses connections first; see on_connect.  */
#define SPARE_CONNECTIONS 16

static enum MHD_Result
set_fault (struct req *req)
{
  struct fault fault;
  if (!fault_parse (req->body->str, req->body->len, g_get_monotonic_time (),
                    &fault))
    return reply_text (req->connection, 400, NULL, NULL, false,
                       (char[]){ "{\"error\":\"unknown mode\"}" });
  req->worker->fault = fault;
  return reply_text (req->connection, 200, NULL, NULL, false,
                     (char[]){ "{}" });
}

static enum MHD_Result
reply_stats (struct req *req)
{
  struct worker *w = req->worker;
  g_autofree char *text = g_strdup_printf (
      "{\"starts\":%lld,\"ends\":%lld,\"refused\":%lld,\"running\":%u,"
      "\"max_running\":%u,\"max_connections\":%u,\"duplicate_starts\":%lld,"
      "\"connections_refused\":%lld,\"fault\":\"%s\"}",
      (long long)w->stats.starts, (long long)w->stats.ends,
      (long long)w->stats.refused, g_hash_table_size (w->running),
      w->stats.max_running, w->stats.max_connections,
      (long long)w->stats.duplicate_starts,
      (long long)w->stats.connections_refused, fault_name (w->fault.mode));
  return reply_text (req->connection, 200, NULL, NULL, false, text);
}

static enum MHD_Result
start_task (struct req *req)
{
  const char *id = MHD_lookup_connection_value (req->connection,
                                                MHD_HEADER_KIND, "Task-Id");
  const char *kind = MHD_lookup_connection_value (
      req->connection, MHD_HEADER_KIND, "Task-Kind");
  if (id == NULL || strlen (id) > 128)
    return reply_text (req->connection, 400, NULL, NULL, false,
                       (char[]){ "{\"error\":\"no Task-Id\"}" });
  req->id = g_strdup (id);
  req->kind = g_strndup (kind == NULL ? "-" : kind, 128);
  return task_begin (req);
}

/* Called again for the answer when a suspended task has ended.  */
static enum MHD_Result
dispatch (struct req *req, const char *url, const char *method)
{
  if (req->id != NULL)
    return task_answer (req);
  if (strcmp (method, "POST") == 0 && strcmp (url, "/task") == 0)
    return start_task (req);
  if (strcmp (method, "DELETE") == 0 && g_str_has_prefix (url, "/task/"))
    return task_delete (req, url + strlen ("/task/"));
  if (strcmp (method, "POST") == 0 && strcmp (url, "/standin/fault") == 0)
    return set_fault (req);
  if (strcmp (method, "GET") == 0 && strcmp (url, "/standin/stats") == 0)
    return reply_stats (req);
  return reply_text (req->connection, 404, NULL, NULL, false,
                     (char[]){ "{}" });
}

static enum MHD_Result
handle (void *user, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data,
        size_t *size, void **state)
{
  (void)version;
  struct worker *worker = user;
  struct req *req = *state;
  if (req == NULL)
    {
      req = g_new0 (struct req, 1);
      req->worker = worker;
      req->connection = connection;
      req->body = g_string_new (NULL);
      *state = req;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (req->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  g_mutex_lock (&worker->standin->lock);
  enum MHD_Result result = dispatch (req, url, method);
  g_mutex_unlock (&worker->standin->lock);
  return result;
}

static void
on_completed (void *user, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  (void)user;
  (void)connection;
  (void)code;
  struct req *req = *state;
  if (req == NULL)
    return;
  g_string_free (req->body, TRUE);
  if (req->dribble_buffer != NULL)
    g_string_free (req->dribble_buffer, TRUE);
  g_free (req->id);
  g_free (req->kind);
  g_free (req->echo);
  g_free (req);
  *state = NULL;
}

/* Connections that the callers have not closed, by the state of the sockets:
   the library may learn of a close later.  */
static unsigned
count_open_connections (const struct worker *w)
{
  unsigned n_open = 0;
  for (unsigned i = 0; i < w->fds->len; i++)
    {
      struct tcp_info info = { 0 };
      socklen_t len = sizeof info;
      int fd = g_array_index (w->fds, int, i);
      if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
        continue;
      n_open += info.tcpi_state == TCP_ESTABLISHED
                        || info.tcpi_state == TCP_FIN_WAIT1
                        || info.tcpi_state == TCP_FIN_WAIT2
                    ? 1
                    : 0;
    }
  return n_open;
}

static void
remove_fd (struct worker *w, int fd)
{
  for (unsigned i = 0; i < w->fds->len; i++)
    if (g_array_index (w->fds, int, i) == fd)
      {
        g_array_remove_index_fast (w->fds, i);
        return;
      }
}

static void
on_connection_changed (void *user, struct MHD_Connection *connection,
                       void **state, enum MHD_ConnectionNotificationCode code)
{
  (void)state;
  struct worker *w = user;
  int fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  g_mutex_lock (&w->standin->lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      w->stats.connections++;
      g_array_append_val (w->fds, fd);
      w->stats.max_connections
          = MAX (w->stats.max_connections, count_open_connections (w));
    }
  else
    {
      w->stats.connections--;
      remove_fd (w, fd);
    }
  g_mutex_unlock (&w->standin->lock);
}

/* Closes connections above the worker's limit.  The library's own limit would
   leave them in the listen backlog instead.  */
static enum MHD_Result
on_connect (void *user, const struct sockaddr *addr, socklen_t len)
{
  (void)addr;
  (void)len;
  struct worker *w = user;
  g_mutex_lock (&w->standin->lock);
  bool accepted = w->stats.connections < (unsigned)w->standin->connections;
  w->stats.connections_refused += accepted ? 0 : 1;
  g_mutex_unlock (&w->standin->lock);
  return accepted ? MHD_YES : MHD_NO;
}

struct MHD_Daemon *
start_server (struct worker *worker, struct pl_addr addr)
{
  struct sockaddr_in sin = { .sin_family = AF_INET,
                             .sin_port = htons (addr.port),
                             .sin_addr.s_addr = htonl (addr.ip) };
  return MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_USE_SUSPEND_RESUME, addr.port,
      on_connect, worker, handle, worker, MHD_OPTION_SOCK_ADDR, &sin,
      MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)worker->standin->connections + SPARE_CONNECTIONS,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, worker,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection_changed, worker,
      MHD_OPTION_END);
}
