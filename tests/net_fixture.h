/* What the tests of lib/net share: an event loop with a server that echoes, on
   addresses of the loopback network that belong to this process.  */
#pragma once

#include "net_priv.h"
#include "test.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT 18761
#define LOOPBACK 0x7f2a0000u /* 127.42.0.0/16 */
#define LOOP_US 20000

struct fixture
{
  struct event_base *base;
  struct net_server *server;
  struct net_exchange *pending; /* the latest request without a reply */
  unsigned requests;
  unsigned disconnects;
  char last_request_body[64];
  unsigned responses;
  struct net_response last_response;
  char last_response_body[64];
  unsigned frames;
  char last_frame[64];
  unsigned closed;
  unsigned up;
  unsigned refused;
};

/* Echoes the target of a GET; other requests stay pending.  */
static inline void
on_request (void *ctx, struct net_exchange *exchange,
            const struct net_request *request)
{
  struct fixture *fixture = ctx;
  fixture->requests++;
  g_snprintf (fixture->last_request_body, sizeof fixture->last_request_body,
              "%.*s", PL_FMT (request->body));
  if (strcmp (request->method, "GET") == 0)
    net_reply (exchange, 200, "text/plain", request->target, 0);
  else
    fixture->pending = exchange;
}

static inline void
on_disconnect (void *ctx, struct net_exchange *exchange)
{
  struct fixture *fixture = ctx;
  fixture->disconnects++;
  if (fixture->pending == exchange)
    fixture->pending = NULL;
}

static const struct net_server_ops server_ops
    = { .request = on_request, .aborted = on_disconnect };

/* Address of the test's server.  Each test has a port of its own, since
   connections of the test before may still be open.  */
static struct pl_addr addr = { LOOPBACK, PORT };

/* Returns an event loop.  It stays referenced to the end of the process, as
   in the daemon, with the servers and links of its test.  */
static inline struct event_base *
new_loop (void)
{
  static GPtrArray *loops;
  if (loops == NULL)
    loops = g_ptr_array_new ();
  g_ptr_array_add (loops, event_base_new ());
  return loops->pdata[loops->len - 1];
}

/* An address for this process: tests of another build may run at the same
   time.  */
static inline uint32_t
process_ip (void)
{
  return LOOPBACK + ((uint32_t)getpid () & 0xffff);
}

static inline void
fixture_init (struct fixture *fixture)
{
  static uint16_t next_port_offset;
  addr.ip = process_ip ();
  addr.port = (uint16_t)(PORT + 10 + next_port_offset++);
  struct net_server_config config
      = { .addr = addr, .ops = &server_ops, .ctx = fixture, .max_body = 1000 };
  struct pl_err err = { 0 };
  *fixture = (struct fixture){ .base = new_loop () };
  fixture->server = net_server_new (fixture->base, &config, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->server);
}

/* Runs the event loop for US microseconds.  */
static inline void
run_loop (struct fixture *fixture, long us)
{
  struct timeval tv = { us / 1000000, us % 1000000 };
  event_base_loopexit (fixture->base, &tv);
  event_base_dispatch (fixture->base);
}

static inline void
send_text (int fd, const char *text)
{
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

/* Runs the event loop until *COUNT is not 0, for 5 s at most.  */
static inline void
run_loop_until (struct fixture *fixture, const unsigned *count)
{
  for (int runs = 0; *count == 0 && runs < 250; runs++)
    run_loop (fixture, LOOP_US);
}
