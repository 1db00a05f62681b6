/* An upstream for run_test.c that writes raw HTTP answers, malformed ones too.
   The kind of a task says which answer the task gets.  */
#pragma once

#include "run.h"
#include "test.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A clock that jumps past every deadline at its Nth reading, as if the process
   had been paused just before.  Only readings on runner threads count.  */
struct jump_clock
{
  struct pl_clock base;
  gint left; /* readings before the jump */
  gint jumped;
};

/* Null: the real clock is in use.  Guarded by the server's lock.  */
static struct jump_clock *jump_clock_in_use;

struct server
{
  int fd;
  struct pl_addr addr;
  GMutex lock;
  GCond changed;
  _Atomic int connections, open, max_open;
  GArray *fds;            /* of the open connections */
  GHashTable *times_seen; /* task id to the number of its requests */
  GHashTable *cancelled;
  int late; /* requests that arrived after the clock had jumped */
};

static struct server server;

struct request
{
  char id[64], kind[64], method[8];
  int body;
};

static int
times_seen (const char *id)
{
  g_mutex_lock (&server.lock);
  int n = GPOINTER_TO_INT (g_hash_table_lookup (server.times_seen, id));
  g_mutex_unlock (&server.lock);
  return n;
}

static void
get_header (const char *text, const char *name, char *out, size_t size)
{
  const char *at = strstr (text, name);
  *out = '\0';
  if (at == NULL)
    return;
  at += strlen (name);
  g_strlcpy (out, at, MIN (size, strcspn (at, "\r") + 1));
}

static bool
read_request (int fd, struct request *r)
{
  char buf[8192];
  size_t n = 0;
  char *end = NULL;
  while (end == NULL)
    {
      ssize_t got = recv (fd, buf + n, sizeof buf - 1 - n, 0);
      if (got <= 0)
        return false;
      n += (size_t)got;
      buf[n] = '\0';
      end = strstr (buf, "\r\n\r\n");
    }
  char length[16];
  get_header (buf, "Task-Id: ", r->id, sizeof r->id);
  get_header (buf, "Task-Kind: ", r->kind, sizeof r->kind);
  get_header (buf, "Content-Length: ", length, sizeof length);
  g_strlcpy (r->method, buf, MIN (sizeof r->method, strcspn (buf, " ") + 1));
  if (strcmp (r->method, "DELETE") == 0)
    g_strlcpy (r->id, buf + strlen ("DELETE /task/"),
               strcspn (buf + strlen ("DELETE /task/"), " ") + 1);
  else
    {
      g_mutex_lock (&server.lock);
      int count
          = GPOINTER_TO_INT (g_hash_table_lookup (server.times_seen, r->id));
      g_hash_table_replace (server.times_seen, g_strdup (r->id),
                            GINT_TO_POINTER (count + 1));
      if (jump_clock_in_use != NULL
          && g_atomic_int_get (&jump_clock_in_use->jumped))
        server.late++;
      g_mutex_unlock (&server.lock);
    }
  r->body = (int)strtol (length, NULL, 10);
  int have = (int)(n - (size_t)(end + 4 - buf));
  while (have < r->body)
    {
      ssize_t got = recv (fd, buf, sizeof buf, 0);
      if (got <= 0)
        return false;
      have += (int)got;
    }
  return true;
}

static void send_text (int fd, const char *fmt, ...) G_GNUC_PRINTF (2, 3);

static void
send_text (int fd, const char *fmt, ...)
{
  va_list args;
  va_start (args, fmt);
  g_autofree char *text = g_strdup_vprintf (fmt, args);
  va_end (args);
  ssize_t n = send (fd, text, strlen (text), MSG_NOSIGNAL);
  (void)n;
}

static void
send_answer (int fd, int status, const char *id, int length, const char *body)
{
  send_text (fd,
             "HTTP/1.1 %d X\r\nTask-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
             status, id, length, body);
}

static void
send_slowly (int fd, const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (send (fd, text, 1, MSG_NOSIGNAL) != 1)
        return;
      g_usleep (20000);
    }
}

static void
wait_cancel (int fd, const char *id)
{
  int64_t until = g_get_monotonic_time () + 2000000;
  g_mutex_lock (&server.lock);
  while (!g_hash_table_contains (server.cancelled, id))
    if (!g_cond_wait_until (&server.changed, &server.lock, until))
      break;
  g_mutex_unlock (&server.lock);
  send_answer (fd, 410, id, 2, "{}");
}

/* An answer to task ID with one to three random changes by SEED.  It may still
   be a whole answer with the right identity.  */
static GString *
mutated_answer (const char *id, guint32 seed)
{
  static const char *const parts[] = { "\r\n",
                                       "\r\n\r\n",
                                       ":",
                                       " ",
                                       "Content-Length: 3\r\n",
                                       "\xff",
                                       "-1",
                                       "200",
                                       "503",
                                       "Task-Id: other\r\n",
                                       "HTTP/1.1 100 Continue\r\n\r\n",
                                       "Transfer-Encoding: chunked\r\n",
                                       "99999999999999999999" };
  GRand *rand = g_rand_new_with_seed (seed);
  GString *out = g_string_new (NULL);
  g_string_printf (out,
                   "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nContent-Length: 4\r\n"
                   "\r\ntrue",
                   id);
  for (int n = g_rand_int_range (rand, 1, 4); n > 0 && out->len > 1; n--)
    {
      gssize at = g_rand_int_range (rand, 0, (gint32)out->len);
      const char *part
          = parts[g_rand_int_range (rand, 0, G_N_ELEMENTS (parts))];
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          out->str[at] = (char)g_rand_int_range (rand, 0, 256);
          break;
        case 1:
          g_string_erase (out, at, 1);
          break;
        case 2:
          g_string_insert (out, at, part);
          break;
        default:
          g_string_truncate (out, (gsize)at);
        }
    }
  g_rand_free (rand);
  return out;
}

/* Answers R as its kind says.  False if the connection is to be closed.  */
static bool
answer_by_kind (int fd, struct request *r)
{
  const char *k = r->kind;
  const char *slow = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n";
  if (strcmp (k, "ok") == 0)
    send_answer (fd, 200, r->id, 4, "true");
  else if (strcmp (k, "leaving") == 0)
    send_text (fd,
               "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nWorker-Leaving: 1\r\n"
               "Content-Length: 1\r\n\r\n1",
               r->id);
  else if (strcmp (k, "fail") == 0)
    send_answer (fd, 500, r->id, 2, "no");
  else if (strcmp (k, "fail-anonymous") == 0)
    send_answer (fd, 500, "other", 2, "no");
  else if (strcmp (k, "refuse") == 0 || strcmp (k, "refuse-other") == 0)
    send_text (fd,
               "HTTP/1.1 503 No\r\nTask-Not-Started: %s%s\r\n"
               "Content-Length: 0\r\n\r\n",
               r->id, strcmp (k, "refuse") == 0 ? "" : "x");
  else if (strcmp (k, "cross") == 0)
    send_answer (fd, 200, "other", 4, "true");
  else if (strcmp (k, "double") == 0)
    send_answer (fd, 200, r->id, 4, "truetrue");
  else if (strcmp (k, "oversize") == 0)
    send_answer (fd, 200, r->id, 2000, "true");
  else if (strcmp (k, "short") == 0)
    {
      send_answer (fd, 200, r->id, 10, "true");
      return false;
    }
  else if (strcmp (k, "no-length") == 0)
    {
      send_text (fd, "HTTP/1.1 200 OK\r\nTask-Id: %s\r\n\r\ntrue", r->id);
      return false;
    }
  else if (strcmp (k, "chunked") == 0)
    send_text (
        fd,
        "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nTransfer-Encoding: chunked\r\n"
        "\r\n4\r\ntrue\r\n0\r\n\r\n",
        r->id);
  else if (strcmp (k, "garbage") == 0)
    send_text (fd, "@@@@\r\n\r\n");
  else if (strcmp (k, "dribble-headers") == 0)
    send_slowly (fd, slow);
  else if (strcmp (k, "dribble") == 0)
    {
      send_text (
          fd, "HTTP/1.1 200 OK\r\nTask-Id: %s\r\nContent-Length: 500\r\n\r\n",
          r->id);
      g_autofree char *body = g_strnfill (500, 'x');
      send_slowly (fd, body);
    }
  else if (strcmp (k, "wait-cancel") == 0)
    wait_cancel (fd, r->id);
  else if (strcmp (k, "ok-close") == 0)
    {
      send_answer (fd, 200, r->id, 4, "true");
      return false;
    }
  else if (g_str_has_prefix (k, "mutate-"))
    {
      GString *text
          = mutated_answer (r->id, (guint32)strtol (k + 7, NULL, 10));
      ssize_t n = send (fd, text->str, text->len, MSG_NOSIGNAL);
      (void)n;
      g_string_free (text, TRUE);
      return false;
    }
  else if (strcmp (k, "reset") == 0)
    {
      struct linger linger = { .l_onoff = 1 };
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      return false;
    }
  else
    return false; /* "close" */
  return true;
}

static void
record_cancel (int fd, const char *id)
{
  g_mutex_lock (&server.lock);
  g_hash_table_add (server.cancelled, g_strdup (id));
  g_cond_broadcast (&server.changed);
  g_mutex_unlock (&server.lock);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

static int
tcp_state (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return TCP_CLOSE;
  return info.tcpi_state;
}

/* Whether the client still has the connection open, by the state of the
   kernel; the thread that serves the connection may learn of its end much
   later.  */
static bool
client_holds (int fd)
{
  int state = tcp_state (fd);
  return state == TCP_ESTABLISHED || state == TCP_FIN_WAIT1
         || state == TCP_FIN_WAIT2;
}

static void
add_connection (int fd)
{
  int n = 0;
  g_mutex_lock (&server.lock);
  server.open++;
  server.connections++;
  g_array_append_val (server.fds, fd);
  for (unsigned i = 0; i < server.fds->len; i++)
    n += client_holds (g_array_index (server.fds, int, i)) ? 1 : 0;
  server.max_open = MAX (server.max_open, n);
  g_mutex_unlock (&server.lock);
}

static void
close_connection (int fd)
{
  g_mutex_lock (&server.lock);
  for (unsigned i = 0; i < server.fds->len; i++)
    if (g_array_index (server.fds, int, i) == fd)
      g_array_remove_index_fast (server.fds, i--);
  close (fd);
  server.open--;
  g_mutex_unlock (&server.lock);
}

/* Ends the stream and waits until the client's kernel has acknowledged the
   end, so that the client, too, sees a connection that is counted as closed as
   closed.  */
static void
finish_stream (int fd)
{
  shutdown (fd, SHUT_WR);
  for (int i = 0; i < 1000 && tcp_state (fd) == TCP_FIN_WAIT1; i++)
    g_usleep (1000);
}

static gpointer
serve (gpointer user)
{
  int fd = GPOINTER_TO_INT (user);
  struct request r = { 0 };
  bool keep = true;
  while (keep && read_request (fd, &r))
    {
      if (strcmp (r.method, "DELETE") == 0)
        record_cancel (fd, r.id);
      else
        keep = answer_by_kind (fd, &r);
    }
  if (strcmp (r.kind, "reset") != 0)
    finish_stream (fd);
  close_connection (fd);
  return NULL;
}

static gpointer
accept_loop (gpointer user)
{
  (void)user;
  for (;;)
    {
      int fd = accept (server.fd, NULL, NULL);
      if (fd < 0)
        return NULL;
      add_connection (fd);
      g_thread_unref (g_thread_new ("conn", serve, GINT_TO_POINTER (fd)));
    }
}

static int
listen_on (struct pl_addr *addr)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_addr.s_addr = inet_addr ("127.30.0.1") };
  socklen_t len = sizeof sin;
  if (bind (fd, (struct sockaddr *)&sin, len) != 0 || listen (fd, 256) != 0)
    abort ();
  getsockname (fd, (struct sockaddr *)&sin, &len);
  *addr = (struct pl_addr){ .ip = ntohl (sin.sin_addr.s_addr),
                            .port = ntohs (sin.sin_port) };
  return fd;
}

static void
start_server (void)
{
  server.times_seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  server.cancelled
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  server.fds = g_array_new (FALSE, FALSE, sizeof (int));
  server.fd = listen_on (&server.addr);
  g_thread_unref (g_thread_new ("accept", accept_loop, NULL));
}
