/* One connection: a neon session that never sends a request twice.

   neon resends a request by itself when a persistent connection turns out to
   be closed.  Two measures prevent that.  As soon as the session has a
   connection, its local address is set to one that can't be bound, so that
   neon can't open a second connection for the same request.  Should that
   address be bindable, the body provider refuses to give the body a second
   time.  */
#include "run_priv.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* An address of the block for documentation (RFC 5737): never a local one.  */
static const ne_inet_addr *
unbindable (void)
{
  static gsize address;
  if (g_once_init_enter (&address))
    {
      const unsigned char raw[] = { 192, 0, 2, 1 };
      g_once_init_leave (&address, (gsize)ne_iaddr_make (ne_iaddr_ipv4, raw));
    }
  return (const ne_inet_addr *)address;
}

const char *
run_stop_reason (struct run *run, struct run_task *task)
{
  if (task == NULL)
    return NULL;
  if (g_atomic_int_get (&task->cancelled))
    return "cancelled";
  if (pl_now_us (run->opts.clock) >= task->deadline_us)
    return "deadline";
  return NULL;
}

int64_t
run_connect_wait_us (struct run *run, const struct run_task *task)
{
  int64_t wait_us = (int64_t)run->opts.connect_ms * 1000;
  if (task == NULL)
    return wait_us;
  int64_t left_us = task->deadline_us - pl_now_us (run->opts.clock);
  return CLAMP (left_us, 0, wait_us);
}

/* Shuts the socket down before the first byte if the request must not be
   sent.  */
static void
block_late_send (struct run_conn *conn)
{
  const char *why = conn->stop_reason;
  if (why == NULL)
    why = run_stop_reason (conn->run, conn->task);
  if (why == NULL)
    return;
  conn->stop_reason = why;
  if (conn->fd < 0)
    {
      conn->withhold_body = true;
      return;
    }
  shutdown (conn->fd, SHUT_RDWR);
  conn->blocked = true;
}

static void
on_connected (struct run_conn *conn)
{
  ne_set_localaddr (conn->session, unbindable ());
  bool second = conn->connected;
  conn->connected = true;
  conn->alive = true;
  if (second)
    {
      conn->withhold_body = true;
      return;
    }
  run_conn_find_socket (conn->run->pool, conn);
  conn->start_us = pl_now_us (conn->run->opts.clock);
  run_surplus_begin (conn);
  block_late_send (conn);
}

static void
on_status (void *user, ne_session_status status,
           const ne_session_status_info *info)
{
  (void)info;
  struct run_conn *conn = user;
  if (conn->run == NULL)
    return;
  if (status == ne_status_connected)
    on_connected (conn);
  else if (status == ne_status_disconnected)
    conn->alive = false;
}

/* Called before the headers are written.  Prepares a connection that is used
   again; on_connected has prepared a new one.  */
static void
on_pre_send (ne_request *req, void *user, ne_buffer *header)
{
  (void)req;
  (void)header;
  struct run_conn *conn = user;
  if (!conn->reused)
    return;
  conn->start_us = pl_now_us (conn->run->opts.clock);
  run_surplus_begin (conn);
  block_late_send (conn);
}

static ssize_t
provide_body (void *user, char *buffer, size_t len)
{
  struct run_conn *conn = user;
  /* neon calls this with LEN 0 before each time that it sends the body.  */
  if (len == 0)
    {
      if (conn->body_given || conn->withhold_body)
        {
          ne_set_error (conn->session, "the request is not sent again");
          return -1;
        }
      conn->body_given = true;
      return 0;
    }
  gsize size = 0;
  const char *data = g_bytes_get_data (conn->task->input, &size);
  size_t n = MIN (len, size - conn->body_offset);
  if (n == 0)
    run_surplus_peek (conn, conn->run->opts.silence_ms);
  memcpy (buffer, data + conn->body_offset, n);
  conn->body_offset += n;
  return (ssize_t)n;
}

static ne_inet_addr *
make_addr (uint32_t host_ip)
{
  uint32_t ip = GUINT32_TO_BE (host_ip);
  unsigned char raw[4];
  memcpy (raw, &ip, sizeof raw);
  return ne_iaddr_make (ne_iaddr_ipv4, raw);
}

struct run_conn *
run_conn_new (struct run_upstream *upstream, const struct run_opts *opts)
{
  struct run_conn *conn = g_new0 (struct run_conn, 1);
  conn->upstream = upstream;
  conn->fd = -1;
  conn->addr = make_addr (upstream->addr.ip);
  if (opts->source_ip != 0)
    conn->source = make_addr (opts->source_ip);
  conn->addrs[0] = conn->addr;
  char host[PL_ADDR_TEXT];
  pl_addr_text (upstream->addr, host);
  *strchr (host, ':') = '\0';
  conn->session = ne_session_create ("http", host, upstream->addr.port);
  ne_set_addrlist (conn->session, conn->addrs, 1);
  ne_set_connect_timeout (conn->session, MAX (1, opts->connect_ms / 1000));
  /* The limits of the watchdog are exact, but it needs the socket; this
     limit is for sessions whose socket was not found.  */
  ne_set_read_timeout (conn->session, opts->silence_ms / 1000 + 1);
  ne_set_notifier (conn->session, on_status, conn);
  ne_hook_pre_send (conn->session, on_pre_send, conn);
  return conn;
}

void
run_conn_free (struct run_conn *conn)
{
  ne_session_destroy (conn->session);
  if (conn->fd >= 0)
    close (conn->fd);
  ne_iaddr_free (conn->addr);
  if (conn->source != NULL)
    ne_iaddr_free (conn->source);
  g_free (conn);
}

void
run_conn_close (struct run_pool *pool, struct run_conn *conn)
{
  conn->alive = false;
  ne_close_connection (conn->session);
  run_conn_drop_socket (pool, conn);
}

/* Whether CONN is open and has nothing to read.  What can be read while it is
   idle is the end of the stream or a surplus of an earlier answer.  */
static bool
can_reuse (const struct run_conn *conn)
{
  if (!conn->alive)
    return false;
  if (conn->fd < 0)
    return false;
  struct pollfd p = { .fd = conn->fd, .events = POLLIN | POLLRDHUP };
  return poll (&p, 1, 0) == 0;
}

static void
init_request (struct run *run, struct run_conn *conn, struct run_task *task)
{
  conn->run = run;
  conn->task = task;
  conn->connected = false;
  conn->blocked = false;
  conn->withhold_body = false;
  conn->body_given = false;
  conn->body_offset = 0;
  conn->stop_reason = NULL;
  conn->limit_reason = NULL;
  conn->start_us = 0;
  g_atomic_int_set (&conn->cut, 0);
}

int
run_conn_send (struct run *run, struct run_conn *conn, struct run_task *task,
               ne_request *req)
{
  init_request (run, conn, task);
  if (task != NULL)
    ne_set_request_body_provider (
        req, (ne_off_t)g_bytes_get_size (task->input), provide_body, conn);
  int64_t now = pl_now_us (run->opts.clock);
  int64_t limit = now + (int64_t)run->opts.silence_ms * 1000;
  const char *reason = "silent";
  if (task == NULL)
    limit = now + RUN_CANCEL_US;
  else if (task->deadline_us < limit)
    {
      limit = task->deadline_us;
      reason = "deadline";
    }
  conn->reused = can_reuse (conn);
  if (conn->reused)
    {
      conn->connected = true;
      run_pool_set_limit (run->pool, conn, limit, reason);
      return ne_begin_request (req);
    }
  run_conn_close (run->pool, conn);
  if (!run_pool_begin_connect (run->pool, conn->upstream,
                               run_connect_wait_us (run, task)))
    {
      conn->stop_reason = "connect queue";
      return NE_CONNECT;
    }
  ne_set_localaddr (conn->session, conn->source);
  run_pool_set_limit (run->pool, conn, limit, reason);
  run_conn_before_connect (conn);
  int code = ne_begin_request (req);
  g_array_unref (conn->sockets_before);
  conn->sockets_before = NULL;
  if (!conn->connected)
    run_pool_end_connect (run->pool, conn->upstream);
  return code;
}

void
run_conn_finish (struct run_conn *conn, bool keep)
{
  struct run_pool *pool = conn->run->pool;
  run_pool_set_limit (pool, conn, 0, NULL);
  /* A connection without a known socket can't be checked before its reuse.  */
  if (!keep || g_atomic_int_get (&conn->cut) || !conn->alive || conn->fd < 0)
    run_conn_close (pool, conn);
  conn->idle_since_us = pl_now_us (conn->run->opts.clock);
  conn->run = NULL;
  conn->task = NULL;
}
