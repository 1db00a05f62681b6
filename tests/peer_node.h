/* Instances for the tests of lib/peer: real links on the loopback interface
   and the counting dispatch thread of peer_fakes.h.  */
#pragma once

#include "peer.h"
#include "peer_fakes.h"
#include "test.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_US 4000000L

struct node
{
  struct peer_ops ops; /* first, so that it casts to struct node */
  struct conf conf;
  struct pl_rcu_ptr notes;
  struct pl_rcu_ptr views;
  struct disp disp;
  struct peer *peer;
  struct pl_addr addr;
  gint watching;
  gint revision;
  gint silent; /* forwarded requests get no reply before the node stops */
  GPtrArray *unanswered; /* pairs of a reply function and its argument */
};

static bool
bind_port (int fd, uint16_t *port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  sa.sin_port = htons (*port);
  if (bind (fd, (struct sockaddr *)&sa, len) != 0)
    return false;
  getsockname (fd, (struct sockaddr *)&sa, &len);
  *port = ntohs (sa.sin_port);
  return true;
}

/* A port given by the kernel, such that the next port, which the relay uses,
   is free, too.  */
static uint16_t
find_port_pair (void)
{
  for (;;)
    {
      int a = socket (AF_INET, SOCK_STREAM, 0);
      int b = socket (AF_INET, SOCK_STREAM, 0);
      uint16_t port = 0;
      uint16_t next = 0;
      bool ok = bind_port (a, &port);
      next = (uint16_t)(port + 1);
      ok = ok && next != 0 && bind_port (b, &next);
      close (a);
      close (b);
      if (ok)
        return port;
    }
}

static void
handle_forward (struct peer_ops *ops, const char *method, struct pl_str path,
                struct pl_str key, struct pl_str body, job_done_fn *done,
                void *user)
{
  struct node *node = (struct node *)ops;
  if (g_atomic_int_get (&node->silent))
    {
      g_ptr_array_add (node->unanswered, (gpointer)done);
      g_ptr_array_add (node->unanswered, user);
      return;
    }
  char *text = g_strdup_printf ("%s %.*s %.*s %.*s", method, PL_FMT (path),
                                PL_FMT (key), PL_FMT (body));
  struct job_reply *reply
      = job_reply_wrap (PL_QUOTA, 77, g_bytes_new_take (text, strlen (text)));
  done (reply, user);
  job_reply_unref (reply);
}

static void
on_revision (struct peer_ops *ops, int64_t revision)
{
  g_atomic_int_set (&((struct node *)ops)->revision, (gint)revision);
}

static void
on_watch (struct peer_ops *ops, bool on)
{
  g_atomic_int_set (&((struct node *)ops)->watching, on);
}

static void
node_start (struct node *node, claim_instance_id id, const char *domain,
            const struct node *seed)
{
  struct pl_err err = { 0 };
  char text[PL_ADDR_TEXT];
  memset (node, 0, sizeof *node);
  node->unanswered = g_ptr_array_new ();
  node->ops = (struct peer_ops){ handle_forward, on_revision, on_watch };
  CU_ASSERT_FATAL (conf_init (&node->conf, &err));
  node->conf.heartbeat_ms = 20;
  node->conf.far_heartbeat_ms = 40;
  node->conf.suspect_ms = 300;
  node->conf.dead_ms = 400;
  g_free (node->conf.domain);
  node->conf.domain = g_strdup (domain);
  if (seed != NULL)
    {
      g_free (node->conf.peers);
      node->conf.peers = g_strdup (pl_addr_text (seed->addr, text));
    }
  g_mutex_init (&node->disp.lock);
  struct peer_opts opts = { .conf = &node->conf,
                            .clock = pl_clock_real (),
                            .self = id,
                            .note_conf_ptr = &node->notes,
                            .memb_view_ptr = &node->views,
                            .ops = &node->ops };
  for (int i = 0; i < 20 && node->peer == NULL; i++)
    {
      node->addr = (struct pl_addr){ INADDR_LOOPBACK, find_port_pair () };
      g_free (node->conf.peer_listen);
      node->conf.peer_listen = g_strdup (pl_addr_text (node->addr, text));
      node->peer = peer_new (&opts, &err);
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->peer);
  peer_start (node->peer, &node->disp);
}

/* Replies to the unanswered forwards, after the links have been freed.  */
static void
answer_late (struct node *node)
{
  struct job_reply *reply
      = job_reply_wrap (PL_OK, 0, g_bytes_new_static ("late", 4));
  for (unsigned i = 0; i < node->unanswered->len; i += 2)
    {
      gpointer done = g_ptr_array_index (node->unanswered, i);
      ((job_done_fn *)done) (reply,
                             g_ptr_array_index (node->unanswered, i + 1));
    }
  job_reply_unref (reply);
  g_ptr_array_unref (node->unanswered);
}

static void
node_stop (struct node *node)
{
  peer_free (node->peer);
  answer_late (node);
  pl_rcu_ptr_publish (&node->notes, NULL);
  pl_rcu_ptr_publish (&node->views, NULL);
  if (node->disp.imported != NULL)
    g_string_free (node->disp.imported, TRUE);
  conf_clear (&node->conf);
}

static struct memb_view *
get_view (struct node *node)
{
  return (struct memb_view *)pl_rcu_ptr_get (&node->views);
}

/* The number of live peers in the node's view.  */
static unsigned
count_alive (struct node *node)
{
  struct memb_view *view = get_view (node);
  unsigned n = 0;
  for (unsigned i = 0; view != NULL && i < view->n_peers; i++)
    n += view->peers[i].state == MEMB_ALIVE;
  if (view != NULL)
    pl_shared_unref (&view->base);
  return n;
}

static claim_instance_id
witness_of (struct node *node)
{
  struct memb_view *view = get_view (node);
  claim_instance_id witness = view == NULL ? 0 : view->self.witness;
  if (view != NULL)
    pl_shared_unref (&view->base);
  return witness;
}

/* Waits until EXPR holds; false after WAIT_US.  */
#define WAIT_FOR(expr)                                                        \
  ({                                                                          \
    int64_t end_us = g_get_monotonic_time () + WAIT_US;                       \
    bool held_;                                                               \
    while (!(held_ = (expr)) && g_get_monotonic_time () < end_us)             \
      g_usleep (1000);                                                        \
    held_;                                                                    \
  })
