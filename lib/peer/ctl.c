#include "impl.h"

#include <zmq.h>

#define POLL_MS 50
#define POLL_BUSY_MS 5L /* while resends may be due */
#define TURN_MESSAGES 512
#define TICK_US 10000
#define SECOND_US G_USEC_PER_SEC

int64_t
ctl_now (const struct peer *peer)
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
ctl_remote (struct peer *peer, claim_instance_id id)
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
  struct link *link = beat_link (peer, known->control, beat_expiry (peer));
  envelope->from = peer->opts.self;
  envelope->to = to;
  return link != NULL && link_send (link, envelope, MSG_CONTROL);
}

/* True if E comes from a known incarnation and is meant for this one.  */
static bool
current (struct peer *peer, const Msg__Envelope *e)
{
  if (e->from == peer->opts.self)
    return false;
  if (e->body_case == MSG__ENVELOPE__BODY_HEARTBEAT)
    return true;
  const struct memb_peer *known = memb_table_find (peer->memb, e->from);
  if (e->to != peer->opts.self)
    return false;
  /* A digest makes its sender known.  */
  if (known == NULL)
    return e->body_case == MSG__ENVELOPE__BODY_DIGEST;
  /* A leaving peer repeats its last message until it is acknowledged.  */
  return known->state != MEMB_LEFT
         || e->body_case == MSG__ENVELOPE__BODY_HAND_OVER;
}

void
ctl_message (struct peer *peer, Msg__Envelope *e)
{
  switch (e->body_case)
    {
    case MSG__ENVELOPE__BODY_HEARTBEAT:
      if (!beat_heard (peer, e))
        link_drop (e->from, "stale heartbeat", 0);
      return;
    case MSG__ENVELOPE__BODY_DIGEST:
      digest_heard (peer, e->from, e->digest);
      return;
    case MSG__ENVELOPE__BODY_LEAVE:
      memb_left (peer->memb, e->from);
      return;
    case MSG__ENVELOPE__BODY_PERMIT_REQUEST:
      permit_request (peer, e->from, e->permit_request);
      return;
    case MSG__ENVELOPE__BODY_PERMIT_REPLY:
      permit_reply (peer, e->from, e->permit_reply);
      return;
    case MSG__ENVELOPE__BODY_REVOKE_REQUEST:
      revoke_request (peer, e->from, e->revoke_request);
      return;
    case MSG__ENVELOPE__BODY_REVOKE_REPLY:
      revoke_reply (peer, e->from, e->revoke_reply);
      return;
    case MSG__ENVELOPE__BODY_NOTE_REQUEST:
      notes_request (peer, e->from, e->note_request);
      return;
    case MSG__ENVELOPE__BODY_NOTE_REPLY:
      notes_reply (peer, e->from, e->note_reply);
      return;
    case MSG__ENVELOPE__BODY_LEAVING:
      signs_message (peer, e->leaving);
      return;
    case MSG__ENVELOPE__BODY_HAND_OVER:
    case MSG__ENVELOPE__BODY_HAND_OVER_ACK:
    case MSG__ENVELOPE__BODY_HEIR:
      heir_message (peer, e);
      return;
    default:
      lend_message (peer, e);
    }
}

static void
receive (struct peer *peer)
{
  for (int i = 0; i < TURN_MESSAGES; i++)
    {
      Msg__Envelope *e = NULL;
      enum link_got got = link_recv (peer->router, MSG_CONTROL, &e);
      if (got == LINK_NOTHING)
        return;
      if (got == LINK_BAD)
        continue;
      if (current (peer, e))
        ctl_message (peer, e);
      else
        link_drop (e->from, "stale", 0);
      msg_free (e);
    }
}

static void
take_items (struct peer *peer)
{
  struct pl_mbox_item *item;
  while ((item = pl_mbox_take (peer->mbox, 0)) != NULL)
    item->run (item, peer);
}

/* The two lowest live incarnations of a domain watch the store.  */
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
publish (struct peer *peer)
{
  struct memb_view *view = memb_view_next (peer->memb);
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
  int64_t now = ctl_now (peer);
  update_self (peer);
  if (now >= peer->retry_us)
    {
      peer->retry_us = now + POLL_BUSY_MS * 1000;
      permit_retry (peer);
      revoke_retry (peer);
      heir_tick (peer);
    }
  if (now >= peer->tick_us)
    {
      peer->tick_us = now + TICK_US;
      memb_tick (peer->memb);
      beat_tick (peer);
      signs_tick (peer);
      permit_probe (peer);
      digest_tick (peer);
    }
  if (now >= peer->second_us)
    {
      peer->second_us = now + SECOND_US;
      claim_witness_tick (peer->witness);
      pl_gauge_set (PL_CTR_WITNESS_RECORDS,
                    claim_witness_count (peer->witness));
    }
  publish (peer);
}

static bool
busy (const struct peer *peer)
{
  return g_hash_table_size (peer->permits) > 0
         || g_hash_table_size (peer->revokes) > 0 || peer->hand_over != NULL;
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
      take_items (peer);
      permit_flush (peer);
      tick (peer);
      zmq_poll (polled, G_N_ELEMENTS (polled),
                busy (peer) ? POLL_BUSY_MS : POLL_MS);
    }
  take_items (peer);
  return NULL;
}
