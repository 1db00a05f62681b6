#include "impl.h"

struct lend_item
{
  struct ctl_item base;
  claim_instance_id peer;
  unsigned n;
  struct disp_worker_slots *lots; /* freed by the item's function */
};

/* The lists of one Grant or Return.  */
struct lists
{
  uint32_t ip[MSG_LOTS];
  uint32_t port[MSG_LOTS];
  uint32_t count[MSG_LOTS];
  unsigned n;
  uint32_t total;
};

static void
fill (struct lists *lists, const struct disp_worker_slots *lots, unsigned n)
{
  lists->n = 0;
  lists->total = 0;
  for (unsigned i = 0; i < n && i < MSG_LOTS; i++)
    {
      lists->ip[i] = lots[i].addr.ip;
      lists->port[i] = lots[i].addr.port;
      lists->count[i] = lots[i].count;
      lists->total += lots[i].count;
      lists->n++;
    }
}

static void
run_borrow (struct peer *peer, struct ctl_item *base)
{
  struct lend_item *item = (struct lend_item *)base;
  if (peer == NULL)
    return;
  Msg__Borrow m = MSG__BORROW__INIT;
  m.slots = CLAMP (item->n, 1, G_MAXUINT16);
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_BORROW;
  e.borrow = &m;
  if (!ctl_send (peer, item->peer, &e))
    disp_slots_granted (peer->disp, item->peer, NULL, 0);
}

static void
send_grant (struct peer *peer, claim_instance_id to,
            const struct disp_worker_slots *lots, unsigned n)
{
  struct lists lists;
  struct remote *remote = ctl_remote (peer, to);
  fill (&lists, lots, n);
  Msg__Grant m = MSG__GRANT__INIT;
  m.number = ++remote->grants_sent;
  m.n_ip = m.n_port = m.n_count = lists.n;
  m.ip = lists.ip;
  m.port = lists.port;
  m.count = lists.count;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_GRANT;
  e.grant = &m;
  remote->granted_us = ctl_now (peer);
  ctl_send (peer, to, &e);
}

static void
run_grant (struct peer *peer, struct ctl_item *base)
{
  struct lend_item *item = (struct lend_item *)base;
  unsigned start = 0;
  while (peer != NULL)
    {
      send_grant (peer, item->peer, item->lots + start, item->n - start);
      start += MSG_LOTS;
      if (start >= item->n)
        break;
    }
  g_free (item->lots);
}

static void
run_return (struct peer *peer, struct ctl_item *base)
{
  struct lend_item *item = (struct lend_item *)base;
  struct remote *remote = peer == NULL ? NULL : ctl_remote (peer, item->peer);
  for (unsigned start = 0; remote != NULL && start < item->n;
       start += MSG_LOTS)
    {
      struct lists lists;
      fill (&lists, item->lots + start, item->n - start);
      Msg__Return m = MSG__RETURN__INIT;
      m.n_ip = m.n_port = m.n_count = lists.n;
      m.ip = lists.ip;
      m.port = lists.port;
      m.count = lists.count;
      Msg__Envelope e = MSG__ENVELOPE__INIT;
      e.body_case = MSG__ENVELOPE__BODY_GIVE_BACK;
      e.give_back = &m;
      remote->held -= MIN (remote->held, lists.total);
      /* If it is lost, the next heartbeat tells the lender the total.  */
      ctl_send (peer, item->peer, &e);
    }
  g_free (item->lots);
}

static void
post (struct disp_peer_ops *ops, claim_instance_id to,
      const struct disp_worker_slots *lots, unsigned n,
      void (*fn) (struct peer *, struct ctl_item *))
{
  struct lend_item *item = g_new0 (struct lend_item, 1);
  item->peer = to;
  item->n = n;
  item->lots = lots == NULL ? NULL : g_memdup2 (lots, n * sizeof *lots);
  ctl_post ((struct peer *)ops, &item->base, fn);
}

static void
post_borrow (struct disp_peer_ops *ops, claim_instance_id to, unsigned n)
{
  post (ops, to, NULL, n, run_borrow);
}

static void
post_grant (struct disp_peer_ops *ops, claim_instance_id to,
            const struct disp_worker_slots *lots, unsigned n)
{
  post (ops, to, lots, n, run_grant);
}

static void
post_return (struct disp_peer_ops *ops, claim_instance_id to,
             const struct disp_worker_slots *lots, unsigned n)
{
  post (ops, to, lots, n, run_return);
}

void
lend_init (struct peer *peer)
{
  peer->disp_ops.borrow = post_borrow;
  peer->disp_ops.grant = post_grant;
  peer->disp_ops.give_back = post_return;
}

static struct disp_worker_slots *
lots_of (size_t n, const uint32_t *ip, const uint32_t *port,
         const uint32_t *count, uint32_t *total)
{
  struct disp_worker_slots *lots = g_new0 (struct disp_worker_slots, n + 1);
  for (size_t i = 0; i < n; i++)
    {
      lots[i].addr.ip = ip[i];
      lots[i].addr.port = (uint16_t)port[i];
      lots[i].count = count[i];
      *total += count[i];
    }
  return lots;
}

static void
granted (struct peer *peer, claim_instance_id from, const Msg__Grant *m)
{
  struct remote *remote = ctl_remote (peer, from);
  uint32_t total = 0;
  struct disp_worker_slots *lots
      = lots_of (m->n_ip, m->ip, m->port, m->count, &total);
  remote->held += total;
  remote->grants_seen = m->number;
  disp_slots_granted (peer->disp, from, lots, (unsigned)m->n_ip);
  g_free (lots);
}

void
lend_message (struct peer *peer, const Msg__Envelope *e)
{
  uint32_t total = 0;
  if (e->body_case == MSG__ENVELOPE__BODY_BORROW)
    disp_slots_requested (peer->disp, e->from, e->borrow->slots);
  else if (e->body_case == MSG__ENVELOPE__BODY_GRANT)
    granted (peer, e->from, e->grant);
  else if (e->body_case == MSG__ENVELOPE__BODY_GIVE_BACK)
    {
      const Msg__Return *m = e->give_back;
      struct disp_worker_slots *lots
          = lots_of (m->n_ip, m->ip, m->port, m->count, &total);
      disp_slots_returned (peer->disp, e->from, lots, (unsigned)m->n_ip);
      g_free (lots);
    }
}
