/* Lending and borrowing of slots between this instance and its peers.  The
   rules are in lib/slot; this file sends the messages and counts.  */
#include "disp_in.h"

static struct slot_worker_slots *
to_slot_list (const struct disp_worker_slots *list, unsigned n)
{
  struct slot_worker_slots *copy = g_new (struct slot_worker_slots, n);
  for (unsigned i = 0; i < n; i++)
    copy[i] = (struct slot_worker_slots){ .addr = list[i].addr,
                                          .count = list[i].count };
  return copy;
}

static struct disp_worker_slots *
to_disp_list (const GArray *list)
{
  struct disp_worker_slots *copy = g_new (struct disp_worker_slots, list->len);
  for (unsigned i = 0; i < list->len; i++)
    {
      const struct slot_worker_slots *item
          = &g_array_index (list, struct slot_worker_slots, i);
      copy[i] = (struct disp_worker_slots){ .addr = item->addr,
                                            .count = item->count };
    }
  return copy;
}

/* Lends free slots for the open requests of peers.  */
static void
grant_to_peers (struct disp *disp)
{
  struct disp_peer_ops *peers = disp->opts.peers;
  GArray *list;
  claim_instance_id to = slot_serve_peer_request (disp->slots, &list);
  while (to != 0)
    {
      unsigned granted = 0;
      for (unsigned i = 0; i < list->len; i++)
        granted += g_array_index (list, struct slot_worker_slots, i).count;
      pl_count (PL_CTR_SLOTS_LENT_TOTAL, granted);
      pl_log (PL_EV_LEND, "peer=%016llx granted=%u", (unsigned long long)to,
              granted);
      g_autofree struct disp_worker_slots *copy = to_disp_list (list);
      peers->grant (peers, to, copy, list->len);
      g_array_unref (list);
      to = slot_serve_peer_request (disp->slots, &list);
    }
}

/* The queued tasks of this instance come before the requests of peers.  Peers
   are asked for slots only when no slot is free here.  */
void
disp_exchange_slots (struct disp *disp)
{
  unsigned wanted = sched_runnable (disp->sched);
  if (wanted == 0)
    grant_to_peers (disp);
  slot_defer_peer_requests (disp->slots);
  if (wanted == 0 || slot_free_total (disp->slots) > 0)
    return;
  g_autoptr (GArray) requests = slot_make_requests (disp->slots, wanted);
  struct disp_peer_ops *peers = disp->opts.peers;
  for (unsigned i = 0; i < requests->len; i++)
    {
      const struct slot_hold *request
          = &g_array_index (requests, struct slot_hold, i);
      pl_count (PL_CTR_BORROW_REQUESTS_TOTAL, 1);
      peers->borrow (peers, request->id, request->count);
    }
}

void
disp_return_idle_slots (struct disp *disp)
{
  struct disp_peer_ops *peers = disp->opts.peers;
  GArray *list;
  claim_instance_id to = slot_return_idle (disp->slots, &list);
  while (to != 0)
    {
      g_autofree struct disp_worker_slots *copy = to_disp_list (list);
      peers->give_back (peers, to, copy, list->len);
      g_array_unref (list);
      to = slot_return_idle (disp->slots, &list);
    }
  pl_count (PL_CTR_WASTED_MESSAGES_TOTAL, slot_lost_requests (disp->slots));
}

static void
slots_requested (struct disp *disp, struct disp_msg *msg)
{
  /* Answered by grant_to_peers, now or when slots become free.  */
  slot_open_peer_request (disp->slots, msg->peer, msg->n);
}

static void
slots_granted (struct disp *disp, struct disp_msg *msg)
{
  struct disp_peer_ops *peers = disp->opts.peers;
  g_autoptr (GArray) refused
      = g_array_new (FALSE, FALSE, sizeof (struct slot_worker_slots));
  /* A grant that arrives when nothing is queued any more is returned at once,
     which also ends the request at the lender.  */
  bool useful = sched_runnable (disp->sched) > 0;
  unsigned taken = 0;
  if (useful)
    taken = slot_accept_grant (disp->slots, msg->peer, msg->list, msg->n,
                               refused);
  else
    {
      slot_withdraw_request (disp->slots, msg->peer);
      g_array_append_vals (refused, msg->list, msg->n);
    }
  if (refused->len > 0)
    {
      g_autofree struct disp_worker_slots *copy = to_disp_list (refused);
      peers->give_back (peers, msg->peer, copy, refused->len);
    }
  pl_count (PL_CTR_SLOTS_BORROWED_TOTAL, taken);
  if (taken == 0 || !useful)
    pl_count (PL_CTR_WASTED_MESSAGES_TOTAL, 1 + (refused->len > 0));
  pl_log (PL_EV_BORROW, "peer=%016llx wanted=%u granted=%u",
          (unsigned long long)msg->peer, sched_runnable (disp->sched), taken);
}

static void
slots_returned (struct disp *disp, struct disp_msg *msg)
{
  slot_take_back (disp->slots, msg->peer, msg->list, msg->n);
}

static void
slots_held (struct disp *disp, struct disp_msg *msg)
{
  slot_reconcile_lent (disp->slots, msg->peer, msg->n);
}

static void
peer_dead (struct disp *disp, struct disp_msg *msg)
{
  slot_end_lending (disp->slots, msg->peer);
}

static void
post_slots (struct disp *disp, claim_instance_id peer,
            const struct disp_worker_slots *list, unsigned n,
            void (*handler) (struct disp *disp, struct disp_msg *msg))
{
  struct disp_msg *msg = disp_msg_new (disp, handler);
  msg->peer = peer;
  msg->n = n;
  if (list != NULL)
    msg->list = to_slot_list (list, n);
  disp_post (disp, msg);
}

void
disp_slots_requested (struct disp *disp, claim_instance_id peer, unsigned n)
{
  post_slots (disp, peer, NULL, n, slots_requested);
}

void
disp_slots_granted (struct disp *disp, claim_instance_id peer,
                    const struct disp_worker_slots *list, unsigned n)
{
  post_slots (disp, peer, list, n, slots_granted);
}

void
disp_slots_returned (struct disp *disp, claim_instance_id peer,
                     const struct disp_worker_slots *list, unsigned n)
{
  post_slots (disp, peer, list, n, slots_returned);
}

void
disp_slots_held (struct disp *disp, claim_instance_id peer, unsigned total)
{
  post_slots (disp, peer, NULL, total, slots_held);
}

void
disp_peer_dead (struct disp *disp, claim_instance_id peer)
{
  post_slots (disp, peer, NULL, 0, peer_dead);
}
