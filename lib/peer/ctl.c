/* The loop of the control thread: receives messages, runs posted items and
   calls the periodic work of the other files.  */
#include "impl.h"

#include <zmq.h>

/* Longest wait for a message.  lib/memb takes a much longer gap between its
   ticks for a pause of this process.  */
#define POLL_MS 50
#define POLL_BUSY_MS 5L /* longest wait while resends may become due */
#define MAX_MESSAGES_PER_TURN 512
#define TICK_US 10000
#define SECOND_US G_USEC_PER_SEC

int64_t
ctl_now_us (const struct peer *peer)
{
  return pl_now_us (peer->opts.clock);
}

static void
run_item (struct pl_mbox_item *base, void *owner)
{
  struct ctl_item *item = (struct ctl_item *)base;
  item->fn (owner, item);
  g_free (item);
}

void
ctl_post (struct peer *peer, struct ctl_item *item,
          void (*fn) (struct peer *peer, struct ctl_item *item))
{
  item->base.run = run_item;
  item->fn = fn;
  pl_mbox_post (peer->mbox, &item->base);
}

struct remote *
ctl_get_remote (struct peer *peer, claim_instance_id id)
{
  struct remote *remote = g_hash_table_lookup (peer->remotes, &id);
  if (remote != NULL)
    return remote;
  remote = g_new0 (struct remote, 1);
  remote->id = id;
  remote->permit_requests = g_ptr_array_new ();
  g_hash_table_insert (peer->remotes, &remote->id, remote);
  return remote;
}

bool
ctl_send (struct peer *peer, claim_instance_id to, Msg__Envelope *envelope)
{
  const struct memb_peer *known = memb_table_find (peer->memb, to);
  if (known == NULL)
    return false;
  struct link *link = heartbeat_get_link (peer, known->control,
                                          heartbeat_link_expiry (peer));
  envelope->from = peer->opts.self;
  envelope->to = to;
  return link != NULL && link_send (link, envelope, MSG_CONTROL);
}

/* True if E comes from a known peer that has not left and is addressed to this
   incarnation, not to a former one at the same address.  A heartbeat has no
   receiver and may come from an unknown sender.  */
static bool
is_current (struct peer *peer, const Msg__Envelope *e)
{
  if (e->from == peer->opts.self)
    return false;
  if (e->body_case == MSG__ENVELOPE__BODY_HEARTBEAT)
    return true;
  const struct memb_peer *known = memb_table_find (peer->memb, e->from);
  if (e->to != peer->opts.self)
    return false;
  /* A digest may be the first message from its sender.  */
  if (known == NULL)
    return e->body_case == MSG__ENVELOPE__BODY_DIGEST;
  /* A stopping peer repeats the last message of its hand-over until it is
     acknowledged.  */
  return known->state != MEMB_LEFT
         || e->body_case == MSG__ENVELOPE__BODY_HAND_OVER;
}

void
ctl_dispatch (struct peer *peer, Msg__Envelope *e)
{
  switch (e->body_case)
    {
    case MSG__ENVELOPE__BODY_HEARTBEAT:
      if (!heartbeat_on_message (peer, e))
        link_report_drop (e->from, "stale heartbeat", 0);
      return;
    case MSG__ENVELOPE__BODY_DIGEST:
      digest_on_message (peer, e->from, e->digest);
      return;
    case MSG__ENVELOPE__BODY_LEAVE:
      memb_set_left (peer->memb, e->from);
      return;
    case MSG__ENVELOPE__BODY_PERMIT_REQUEST:
      permit_on_request (peer, e->from, e->permit_request);
      return;
    case MSG__ENVELOPE__BODY_PERMIT_REPLY:
      permit_on_reply (peer, e->from, e->permit_reply);
      return;
    case MSG__ENVELOPE__BODY_REVOKE_REQUEST:
      revoke_on_request (peer, e->from, e->revoke_request);
      return;
    case MSG__ENVELOPE__BODY_REVOKE_REPLY:
      revoke_on_reply (peer, e->from, e->revoke_reply);
      return;
    case MSG__ENVELOPE__BODY_NOTE_REQUEST:
      notes_on_request (peer, e->from, e->note_request);
      return;
    case MSG__ENVELOPE__BODY_NOTE_REPLY:
      notes_on_reply (peer, e->from, e->note_reply);
      return;
    case MSG__ENVELOPE__BODY_LEAVING:
      leaving_on_message (peer, e->leaving);
      return;
    case MSG__ENVELOPE__BODY_HAND_OVER:
    case MSG__ENVELOPE__BODY_HAND_OVER_ACK:
    case MSG__ENVELOPE__BODY_HEIR:
      hand_over_on_message (peer, e);
      return;
    default:
      lend_on_message (peer, e);
    }
}

static void
receive (struct peer *peer)
{
  for (int i = 0; i < MAX_MESSAGES_PER_TURN; i++)
    {
      Msg__Envelope *e = NULL;
      enum link_recv_result got = link_recv (peer->router, MSG_CONTROL, &e);
      if (got == LINK_EMPTY)
        return;
      if (got == LINK_BAD)
        continue;
      if (is_current (peer, e))
        ctl_dispatch (peer, e);
      else
        link_report_drop (e->from, "stale", 0);
      msg_free (e);
    }
}

static void
run_posted (struct peer *peer)
{
  struct pl_mbox_item *item;
  while ((item = pl_mbox_take (peer->mbox, 0)) != NULL)
    item->run (item, peer);
}

/* The two instances of a domain with the lowest ids watch the store.  */
static void
update_watch (struct peer *peer, const struct memb_view *view)
{
  bool on = view->sharers[0] == view->self.id
            || (view->n_sharers > 1 && view->sharers[1] == view->self.id);
  if (peer->watching == on)
    return;
  peer->watching = on;
  pl_log (PL_EV_WATCH, "role=%s", on ? "watcher" : "reader");
  peer->opts.ops->set_watching (peer->opts.ops, on);
}

static void
update_self (struct peer *peer)
{
  struct disp_status status = { 0 };
  disp_get_status (peer->disp, &status);
  memb_set_self (peer->memb, status.epoch,
                 note_history_revision (peer->history), peer->draining);
}

static void
publish_view (struct peer *peer)
{
  struct memb_view *view = memb_view_if_changed (peer->memb);
  if (view == NULL)
    return;
  unsigned alive = 0;
  for (unsigned i = 0; i < view->n_peers; i++)
    alive += view->peers[i].state == MEMB_ALIVE;
  pl_gauge_set (PL_CTR_PEERS_ALIVE, alive);
  update_watch (peer, view);
  pl_rcu_ptr_publish (peer->opts.memb_view_ptr, &view->base);
  disp_view_changed (peer->disp);
  relay_view_changed (peer->relay);
}

static void
tick (struct peer *peer)
{
  int64_t now = ctl_now_us (peer);
  update_self (peer);
  if (now >= peer->next_retry_us)
    {
      peer->next_retry_us = now + POLL_BUSY_MS * 1000;
      permit_retry (peer);
      revoke_retry (peer);
      hand_over_tick (peer);
    }
  if (now >= peer->next_tick_us)
    {
      peer->next_tick_us = now + TICK_US;
      memb_tick (peer->memb);
      heartbeat_tick (peer);
      leaving_tick (peer);
      permit_probe (peer);
      digest_tick (peer);
    }
  if (now >= peer->next_second_us)
    {
      peer->next_second_us = now + SECOND_US;
      claim_witness_tick (peer->witness_table);
      pl_gauge_set (PL_CTR_WITNESS_RECORDS,
                    claim_witness_count_keys (peer->witness_table));
    }
  publish_view (peer);
}

static bool
has_pending (const struct peer *peer)
{
  return g_hash_table_size (peer->permits) > 0
         || g_hash_table_size (peer->revocations) > 0
         || peer->hand_over != NULL;
}

gpointer
ctl_run (gpointer user)
{
  struct peer *peer = user;
  zmq_pollitem_t polled[] = {
    { .socket = peer->router, .events = ZMQ_POLLIN },
    { .fd = pl_mbox_fd (peer->mbox), .events = ZMQ_POLLIN },
  };
  while (!g_atomic_int_get (&peer->stop))
    {
      receive (peer);
      run_posted (peer);
      permit_flush (peer);
      tick (peer);
      zmq_poll (polled, G_N_ELEMENTS (polled),
                has_pending (peer) ? POLL_BUSY_MS : POLL_MS);
    }
  run_posted (peer);
  return NULL;
}
