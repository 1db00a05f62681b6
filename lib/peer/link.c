/* Sockets and connections of ZeroMQ; see link.h.  */
#include "link.h"

#include <errno.h>
#include <string.h>
#include <zmq.h>

#define HIGH_WATER_MARK 256 /* messages queued on one connection */
#define HANDSHAKE_MS 1000
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 1000
#define DROP_LOGS_PER_S 5

static void
set_int (void *sock, int option, int value)
{
  zmq_setsockopt (sock, option, &value, sizeof value);
}

/* ZeroMQ closes a connection that carries a message above ZMQ_MAXMSGSIZE and
   reports nothing.  That limit is set to twice the limit of msg_unpack, so
   that most oversized messages reach msg_unpack and are counted.  */
static void
set_bounds (void *sock, enum msg_channel channel)
{
  int64_t max = 2 * (int64_t)msg_max_bytes (channel);
  zmq_setsockopt (sock, ZMQ_MAXMSGSIZE, &max, sizeof max);
  set_int (sock, ZMQ_LINGER, 0);
  set_int (sock, ZMQ_SNDHWM, HIGH_WATER_MARK);
  set_int (sock, ZMQ_RCVHWM, HIGH_WATER_MARK);
  set_int (sock, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS);
}

static void
format_endpoint (struct pl_addr addr, char *out, size_t size)
{
  char text[PL_ADDR_TEXT];
  g_snprintf (out, size, "tcp://%s", pl_addr_text (addr, text));
}

void *
link_bind (void *ctx, struct pl_addr addr, enum msg_channel channel,
           struct pl_err *err)
{
  char text[64];
  format_endpoint (addr, text, sizeof text);
  void *sock = zmq_socket (ctx, ZMQ_ROUTER);
  if (sock == NULL)
    {
      pl_fail (err, PL_SYSTEM, "socket: %s", zmq_strerror (errno));
      return NULL;
    }
  set_bounds (sock, channel);
  if (zmq_bind (sock, text) == 0)
    return sock;
  pl_fail (err, PL_SYSTEM, "bind %s: %s", text, zmq_strerror (errno));
  zmq_close (sock);
  return NULL;
}

/* Writes an endpoint of the form "tcp://SOURCE:0;TARGET", in which the port 0
   means any.  */
static void
format_endpoint_from (uint32_t source, struct pl_addr addr, char *out,
                      size_t size)
{
  char from[PL_ADDR_TEXT];
  char to[PL_ADDR_TEXT];
  if (source == 0)
    {
      format_endpoint (addr, out, size);
      return;
    }
  g_snprintf (out, size, "tcp://%s;%s",
              pl_addr_text ((struct pl_addr){ .ip = source }, from),
              pl_addr_text (addr, to));
}

struct link *
link_new (void *ctx, uint32_t source, struct pl_addr addr, bool immediate)
{
  char text[64];
  format_endpoint_from (source, addr, text, sizeof text);
  void *sock = zmq_socket (ctx, ZMQ_DEALER);
  if (sock == NULL)
    return NULL;
  set_bounds (sock, MSG_CONTROL);
  set_int (sock, ZMQ_IMMEDIATE, immediate);
  set_int (sock, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_int (sock, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  if (zmq_connect (sock, text) != 0)
    {
      zmq_close (sock);
      return NULL;
    }
  struct link *link = g_new0 (struct link, 1);
  link->addr = addr;
  link->sock = sock;
  return link;
}

void
link_free (struct link *link)
{
  zmq_close (link->sock);
  g_free (link);
}

void
link_linger (struct link *link, int ms)
{
  set_int (link->sock, ZMQ_LINGER, ms);
}

bool
link_send (struct link *link, Msg__Envelope *envelope,
           enum msg_channel channel)
{
  g_autoptr (GBytes) data = msg_pack (envelope, channel);
  if (data == NULL)
    return false;
  size_t len = g_bytes_get_size (data);
  if (zmq_send (link->sock, g_bytes_get_data (data, NULL), len, ZMQ_DONTWAIT)
      < 0)
    return false;
  pl_count (PL_CTR_PEER_MESSAGES_SENT_TOTAL, 1);
  pl_count (PL_CTR_PEER_BYTES_SENT_TOTAL, (int64_t)len);
  return true;
}

void
link_report_drop (uint64_t from, const char *reason, size_t bytes)
{
  static gint second;
  static gint logged;
  pl_count (PL_CTR_PEER_MESSAGES_DROPPED_TOTAL, 1);
  gint now = (gint)(g_get_monotonic_time () / G_USEC_PER_SEC);
  if (g_atomic_int_exchange (&second, now) != now)
    g_atomic_int_set (&logged, 0);
  if (g_atomic_int_add (&logged, 1) >= DROP_LOGS_PER_S)
    return;
  pl_log (PL_EV_MSG_BAD,
          "from=%016" G_GINT64_MODIFIER "x reason=\"%s\" bytes=%zu", from,
          reason, bytes);
}

/* Receives one part of a message; false if none is queued.  */
static bool
recv_part (void *sock, zmq_msg_t *part)
{
  zmq_msg_init (part);
  if (zmq_msg_recv (part, sock, ZMQ_DONTWAIT) >= 0)
    return true;
  zmq_msg_close (part);
  return false;
}

static void
skip_parts (void *sock)
{
  zmq_msg_t part;
  bool more = true;
  while (more && recv_part (sock, &part))
    {
      more = zmq_msg_more (&part);
      zmq_msg_close (&part);
    }
}

enum link_recv_result
link_recv (void *sock, enum msg_channel channel, Msg__Envelope **out)
{
  zmq_msg_t part;
  struct pl_err err = { 0 };
  if (!recv_part (sock, &part))
    return LINK_EMPTY;
  bool more = zmq_msg_more (&part);
  zmq_msg_close (&part); /* the routing id that a ROUTER puts in front */
  if (!more || !recv_part (sock, &part))
    {
      link_report_drop (0, "no frame", 0);
      return LINK_BAD;
    }
  size_t len = zmq_msg_size (&part);
  *out = NULL;
  if (zmq_msg_more (&part))
    {
      skip_parts (sock);
      pl_fail (&err, PL_MESSAGE_INVALID, "several frames");
    }
  else
    *out = msg_unpack (zmq_msg_data (&part), len, channel, &err);
  zmq_msg_close (&part);
  if (*out != NULL)
    return LINK_MESSAGE;
  link_report_drop (0, err.text, len);
  return LINK_BAD;
}
