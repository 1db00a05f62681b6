/* Detects a surplus: bytes after the declared length of an answer.  neon reads
   ahead and would take them for the start of the next answer.  The kernel's
   count of received bytes is compared with the size of the headers and the
   body.  The headers are measured by peeking before neon reads them.  */
#include "run_priv.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

#define PEEK_BYTES 4096

/* States of the kernel's TCP in which the other side has ended its stream;
   linux/tcp.h has no names for them and can't be used beside netinet/tcp.h. */
enum
{
  STATE_CLOSE_WAIT = 8,
  STATE_LAST_ACK = 9,
  STATE_CLOSING = 11,
};

/* The kernel's count of bytes received on FD, without the end of the stream,
   which the kernel counts as a byte.  The state shows whether the stream has
   ended, but the kernel reads the state before it locks the socket and reads
   the count, so an end that arrives in between is in the count and not in the
   state.  The count is valid if the state before and after it is the same;
   states never go back.  */
static uint64_t
bytes_received (int fd)
{
  struct tcp_info info = { 0 };
  struct tcp_info next = { 0 };
  socklen_t len = sizeof info;
  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return 0;
  for (;;)
    {
      len = sizeof next;
      if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &next, &len) != 0)
        return 0;
      if (next.tcpi_state == info.tcpi_state)
        break;
      info = next;
    }
  bool ended = info.tcpi_state == STATE_CLOSE_WAIT
               || info.tcpi_state == STATE_LAST_ACK
               || info.tcpi_state == STATE_CLOSING;
  return info.tcpi_bytes_received - (ended ? 1 : 0);
}

void
run_surplus_begin (struct run_conn *conn)
{
  conn->header_bytes = 0;
  if (conn->fd >= 0)
    conn->received_before = bytes_received (conn->fd);
}

void
run_surplus_peek (struct run_conn *conn, int wait_ms)
{
  if (conn->fd < 0)
    return;
  /* The watchdog ends this wait by shutting the socket.  */
  struct pollfd p = { .fd = conn->fd, .events = POLLIN };
  poll (&p, 1, wait_ms);
  char buf[PEEK_BYTES];
  ssize_t n = recv (conn->fd, buf, sizeof buf, MSG_PEEK | MSG_DONTWAIT);
  if (n <= 0)
    return;
  const char *end = memmem (buf, (size_t)n, "\r\n\r\n", 4);
  /* An interim answer (1xx) is followed by further headers: not measured.  */
  bool interim = n > 9 && buf[9] == '1';
  if (end != NULL && !interim)
    conn->header_bytes = (size_t)(end + 4 - buf);
}

bool
run_surplus_detectable (const struct run_conn *conn)
{
  return conn->fd >= 0 && conn->header_bytes > 0;
}

bool
run_surplus_found (const struct run_conn *conn, int64_t length)
{
  if (conn->fd < 0 || conn->header_bytes == 0)
    return false;
  uint64_t expected = conn->received_before + conn->header_bytes;
  expected += (uint64_t)length;
  /* The state is read before the count, so an end of the stream in between
     looks like one byte too many; a second reading tells it from a surplus. */
  return bytes_received (conn->fd) > expected
         && bytes_received (conn->fd) > expected;
}
