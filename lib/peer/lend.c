/* Lending of worker slots between the instances of a domain.  The dispatch
   thread decides what to borrow and lend; this file sends and receives the
   messages.  Each
   heartbeat repeats how many slots the sender has borrowed from the receiver,
   which corrects the lender's count after a lost message.  */
#include "impl.h"

struct lend_item
{
  struct ctl_item base;
  claim_instance_id peer;
  unsigned n; /* entries of WORKER_SLOTS; of a request: slots */
  struct disp_worker_slots *worker_slots; /* freed by the item's function */
};

/* The parallel lists of one Grant or Return message.  */
struct slot_lists
{
  uint32_t ip[MSG_MAX_WORKERS];
  uint32_t port[MSG_MAX_WORKERS];
  uint32_t count[MSG_MAX_WORKERS];
  unsigned n;
  uint32_t total;
};

static void
fill_lists (struct slot_lists *slot_lists,
            const struct disp_worker_slots *worker_slots, unsigned n)
{
  slot_lists->n = 0;
  slot_lists->total = 0;
  for (unsigned i = 0; i < n && i < MSG_MAX_WORKERS; i++)
    {
      slot_lists->ip[i] = worker_slots[i].addr.ip;
      slot_lists->port[i] = worker_slots[i].addr.port;
      slot_lists->count[i] = worker_slots[i].count;
      slot_lists->total += worker_slots[i].count;
      slot_lists->n++;
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
            const struct disp_worker_slots *worker_slots, unsigned n)
{
  struct slot_lists slot_lists;
  struct remote *remote = ctl_get_remote (peer, to);
  fill_lists (&slot_lists, worker_slots, n);
  Msg__Grant m = MSG__GRANT__INIT;
  m.number = ++remote->grants_sent;
  m.n_ip = m.n_port = m.n_count = slot_lists.n;
  m.ip = slot_lists.ip;
  m.port = slot_lists.port;
  m.count = slot_lists.count;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_GRANT;
  e.grant = &m;
  remote->granted_us = ctl_now_us (peer);
  ctl_send (peer, to, &e);
}

static void
run_grant (struct peer *peer, struct ctl_item *base)
{
  struct lend_item *item = (struct lend_item *)base;
  unsigned start = 0;
  while (peer != NULL)
    {
      send_grant (peer, item->peer, item->worker_slots + start,
                  item->n - start);
      start += MSG_MAX_WORKERS;
      if (start >= item->n)
        break;
    }
  g_free (item->worker_slots);
}

static void
run_return (struct peer *peer, struct ctl_item *base)
{
  struct lend_item *item = (struct lend_item *)base;
  struct remote *remote
      = peer == NULL ? NULL : ctl_get_remote (peer, item->peer);
  for (unsigned start = 0; remote != NULL && start < item->n;
       start += MSG_MAX_WORKERS)
    {
      struct slot_lists slot_lists;
      fill_lists (&slot_lists, item->worker_slots + start, item->n - start);
      Msg__Return m = MSG__RETURN__INIT;
      m.n_ip = m.n_port = m.n_count = slot_lists.n;
      m.ip = slot_lists.ip;
      m.port = slot_lists.port;
      m.count = slot_lists.count;
      Msg__Envelope e = MSG__ENVELOPE__INIT;
      e.body_case = MSG__ENVELOPE__BODY_GIVE_BACK;
      e.give_back = &m;
      remote->held -= MIN (remote->held, slot_lists.total);
      /* If this message is lost, the next heartbeat tells the lender how many
         slots are still held.  */
      ctl_send (peer, item->peer, &e);
    }
  g_free (item->worker_slots);
}

static void
post (struct disp_peer_ops *ops, claim_instance_id to,
      const struct disp_worker_slots *worker_slots, unsigned n,
      void (*fn) (struct peer *, struct ctl_item *))
{
  struct lend_item *item = g_new0 (struct lend_item, 1);
  item->peer = to;
  item->n = n;
  item->worker_slots
      = worker_slots == NULL
            ? NULL
            : g_memdup2 (worker_slots, n * sizeof *worker_slots);
  ctl_post ((struct peer *)ops, &item->base, fn);
}

static void
post_borrow (struct disp_peer_ops *ops, claim_instance_id to, unsigned n)
{
  post (ops, to, NULL, n, run_borrow);
}

static void
post_grant (struct disp_peer_ops *ops, claim_instance_id to,
            const struct disp_worker_slots *worker_slots, unsigned n)
{
  post (ops, to, worker_slots, n, run_grant);
}

static void
post_return (struct disp_peer_ops *ops, claim_instance_id to,
             const struct disp_worker_slots *worker_slots, unsigned n)
{
  post (ops, to, worker_slots, n, run_return);
}

void
lend_init (struct peer *peer)
{
  peer->disp_ops.borrow = post_borrow;
  peer->disp_ops.grant = post_grant;
  peer->disp_ops.give_back = post_return;
}

static struct disp_worker_slots *
unpack_lists (size_t n, const uint32_t *ip, const uint32_t *port,
              const uint32_t *count, uint32_t *total)
{
  struct disp_worker_slots *worker_slots
      = g_new0 (struct disp_worker_slots, n + 1);
  for (size_t i = 0; i < n; i++)
    {
      worker_slots[i].addr.ip = ip[i];
      worker_slots[i].addr.port = (uint16_t)port[i];
      worker_slots[i].count = count[i];
      *total += count[i];
    }
  return worker_slots;
}

static void
on_grant (struct peer *peer, claim_instance_id from, const Msg__Grant *m)
{
  struct remote *remote = ctl_get_remote (peer, from);
  uint32_t total = 0;
  struct disp_worker_slots *worker_slots
      = unpack_lists (m->n_ip, m->ip, m->port, m->count, &total);
  remote->held += total;
  remote->grants_seen = m->number;
  disp_slots_granted (peer->disp, from, worker_slots, (unsigned)m->n_ip);
  g_free (worker_slots);
}

void
lend_on_message (struct peer *peer, const Msg__Envelope *e)
{
  uint32_t total = 0;
  if (e->body_case == MSG__ENVELOPE__BODY_BORROW)
    disp_slots_requested (peer->disp, e->from, e->borrow->slots);
  else if (e->body_case == MSG__ENVELOPE__BODY_GRANT)
    on_grant (peer, e->from, e->grant);
  else if (e->body_case == MSG__ENVELOPE__BODY_GIVE_BACK)
    {
      const Msg__Return *m = e->give_back;
      struct disp_worker_slots *worker_slots
          = unpack_lists (m->n_ip, m->ip, m->port, m->count, &total);
      disp_slots_returned (peer->disp, e->from, worker_slots,
                           (unsigned)m->n_ip);
      g_free (worker_slots);
    }
}
