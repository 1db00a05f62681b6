#include "disp_in.h"

static struct slot_lot *
copy_in (const struct disp_worker_slots *lots, unsigned n)
{
  struct slot_lot *copy = g_new (struct slot_lot, n);
  for (unsigned i = 0; i < n; i++)
    copy[i]
        = (struct slot_lot){ .addr = lots[i].addr, .count = lots[i].count };
  return copy;
}

static struct disp_worker_slots *
copy_out (const GArray *lots)
{
  struct disp_worker_slots *copy = g_new (struct disp_worker_slots, lots->len);
  for (unsigned i = 0; i < lots->len; i++)
    {
      const struct slot_lot *lot = &g_array_index (lots, struct slot_lot, i);
      copy[i] = (struct disp_worker_slots){ .addr = lot->addr,
                                            .count = lot->count };
    }
  return copy;
}

/* Grants free slots for the open requests of peers.  */
static void
serve (struct disp *disp)
{
  struct disp_peer_ops *peers = disp->opts.peers;
  GArray *lots;
  claim_instance_id to = slot_serve (disp->slots, &lots);
  while (to != 0)
    {
      unsigned granted = 0;
      for (unsigned i = 0; i < lots->len; i++)
        granted += g_array_index (lots, struct slot_lot, i).count;
      pl_count (PL_CTR_SLOTS_LENT_TOTAL, granted);
      pl_log (PL_EV_LEND, "peer=%016llx granted=%u", (unsigned long long)to,
              granted);
      g_autofree struct disp_worker_slots *copy = copy_out (lots);
      peers->grant (peers, to, copy, lots->len);
      g_array_unref (lots);
      to = slot_serve (disp->slots, &lots);
    }
}

/* Asks peers for slots for the tasks that found none.  Own queued tasks come
   before the requests of peers.  */
void
disp_lend_turn (struct disp *disp)
{
  unsigned wanted = sched_runnable (disp->sched);
  if (wanted == 0)
    serve (disp);
  slot_wants_wait (disp->slots);
  if (wanted == 0 || slot_free_all (disp->slots) > 0)
    return;
  g_autoptr (GArray) asks = slot_ask (disp->slots, wanted);
  struct disp_peer_ops *peers = disp->opts.peers;
  for (unsigned i = 0; i < asks->len; i++)
    {
      const struct slot_hold *ask = &g_array_index (asks, struct slot_hold, i);
      pl_count (PL_CTR_BORROW_REQUESTS_TOTAL, 1);
      peers->borrow (peers, ask->id, ask->count);
    }
}

void
disp_lend_tick (struct disp *disp)
{
  struct disp_peer_ops *peers = disp->opts.peers;
  GArray *lots;
  claim_instance_id to = slot_give_back (disp->slots, &lots);
  while (to != 0)
    {
      g_autofree struct disp_worker_slots *copy = copy_out (lots);
      peers->give_back (peers, to, copy, lots->len);
      g_array_unref (lots);
      to = slot_give_back (disp->slots, &lots);
    }
  pl_count (PL_CTR_WASTED_MESSAGES_TOTAL, slot_lost_requests (disp->slots));
}

static void
borrow (struct disp *disp, struct disp_msg *msg)
{
  /* Answered by SERVE, now or when slots become free.  */
  slot_want (disp->slots, msg->peer, msg->n);
}

static void
grant (struct disp *disp, struct disp_msg *msg)
{
  struct disp_peer_ops *peers = disp->opts.peers;
  g_autoptr (GArray) refused
      = g_array_new (FALSE, FALSE, sizeof (struct slot_lot));
  /* A grant that comes when nothing is queued any more goes back at once,
     which also ends the request.  */
  bool useful = sched_runnable (disp->sched) > 0;
  unsigned taken = 0;
  if (useful)
    taken = slot_granted (disp->slots, msg->peer, msg->lots, msg->n, refused);
  else
    {
      slot_ask_over (disp->slots, msg->peer);
      g_array_append_vals (refused, msg->lots, msg->n);
    }
  if (refused->len > 0)
    {
      g_autofree struct disp_worker_slots *copy = copy_out (refused);
      peers->give_back (peers, msg->peer, copy, refused->len);
    }
  pl_count (PL_CTR_SLOTS_BORROWED_TOTAL, taken);
  if (taken == 0 || !useful)
    pl_count (PL_CTR_WASTED_MESSAGES_TOTAL, 1 + (refused->len > 0));
  pl_log (PL_EV_BORROW, "peer=%016llx wanted=%u granted=%u",
          (unsigned long long)msg->peer, sched_runnable (disp->sched), taken);
}

static void
returned (struct disp *disp, struct disp_msg *msg)
{
  slot_returned (disp->slots, msg->peer, msg->lots, msg->n);
}

static void
holds (struct disp *disp, struct disp_msg *msg)
{
  slot_holds (disp->slots, msg->peer, msg->n);
}

static void
peer_dead (struct disp *disp, struct disp_msg *msg)
{
  slot_peer_dead (disp->slots, msg->peer);
}

static void
post (struct disp *disp, claim_instance_id peer,
      const struct disp_worker_slots *lots, unsigned n,
      void (*run) (struct disp *disp, struct disp_msg *msg))
{
  struct disp_msg *msg = disp_msg_new (disp, run);
  msg->peer = peer;
  msg->n = n;
  if (lots != NULL)
    msg->lots = copy_in (lots, n);
  disp_post (disp, msg);
}

void
disp_slots_requested (struct disp *disp, claim_instance_id peer, unsigned n)
{
  post (disp, peer, NULL, n, borrow);
}

void
disp_slots_granted (struct disp *disp, claim_instance_id peer,
                    const struct disp_worker_slots *lots, unsigned n)
{
  post (disp, peer, lots, n, grant);
}

void
disp_slots_returned (struct disp *disp, claim_instance_id peer,
                     const struct disp_worker_slots *lots, unsigned n)
{
  post (disp, peer, lots, n, returned);
}

void
disp_slots_held (struct disp *disp, claim_instance_id peer, unsigned total)
{
  post (disp, peer, NULL, total, holds);
}

void
disp_peer_dead (struct disp *disp, claim_instance_id peer)
{
  post (disp, peer, NULL, 0, peer_dead);
}
