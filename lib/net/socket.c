/* Socket addresses and options of servers, clients and links.  */
#include "net_priv.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

/* A connection fails when bytes stay unacknowledged for this time, so that a
   path that loses all packets is detected.  */
#define USER_TIMEOUT_MS 2000

struct sockaddr_in
net_sockaddr (struct pl_addr addr)
{
  return (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons (addr.port),
    .sin_addr.s_addr = htonl (addr.ip),
  };
}

void
net_set_socket_options (int fd)
{
  int on = 1;
  int timeout = USER_TIMEOUT_MS;
  /* After a failure the system's defaults apply, which are slower but
     correct.  */
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                    sizeof timeout);
}

struct evconnlistener *
net_listen (struct event_base *base, struct pl_addr addr,
            evconnlistener_cb on_accept, void *ctx, struct pl_err *err)
{
  struct sockaddr_in sin = net_sockaddr (addr);
  struct evconnlistener *listener = evconnlistener_new_bind (
      base, on_accept, ctx, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      (struct sockaddr *)&sin, sizeof sin);
  char text[PL_ADDR_TEXT];
  if (listener == NULL)
    pl_fail (err, PL_SYSTEM, "cannot listen on %s: %s",
             pl_addr_text (addr, text), g_strerror (errno));
  return listener;
}
