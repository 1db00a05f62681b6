#include "impl.h"

#include <string.h>

/* Wait for an instance that could be the heir; the last instance of an
   installation would otherwise wait for the whole stop limit.  */
#define HEIR_WAIT_US 2000000

/* A hand-over of this instance's records, from the export to the last
   acknowledgement.  The waiting thread and the control thread hold it.  */
struct hand_over
{
  gatomicrefcount refs;
  GMutex lock;
  GCond cond;
  bool ended;     /* under the lock */
  bool confirmed; /* under the lock */
  struct peer *peer;
  bool exported;
  GPtrArray *chunks; /* GBytes */
  claim_instance_id transfer;
  claim_instance_id heir; /* 0: to be chosen */
  uint32_t next;          /* chunks->len: the last message */
  int64_t sent_us;
  int64_t alone_us; /* when no heir was left to try */
  int64_t deadline_us;
};

struct chunk_item
{
  struct ctl_item base;
  GBytes *chunk; /* null: the export is complete */
};

struct start_item
{
  struct ctl_item base;
  struct hand_over *hand;
};

static void
hand_unref (struct hand_over *hand)
{
  if (!g_atomic_ref_count_dec (&hand->refs))
    return;
  g_ptr_array_unref (hand->chunks);
  g_mutex_clear (&hand->lock);
  g_cond_clear (&hand->cond);
  g_free (hand);
}

static void
tell (struct hand_over *hand, bool confirmed)
{
  g_mutex_lock (&hand->lock);
  hand->ended = true;
  hand->confirmed = confirmed;
  g_cond_signal (&hand->cond);
  g_mutex_unlock (&hand->lock);
  hand_unref (hand);
}

static void
end (struct peer *peer, bool confirmed)
{
  struct hand_over *hand = peer->hand_over;
  peer->hand_over = NULL;
  tell (hand, confirmed);
}

static void
send_current (struct peer *peer)
{
  struct hand_over *hand = peer->hand_over;
  claim_instance_id owners[MEMB_MAX_HEIRS];
  Msg__HandOver m = MSG__HAND_OVER__INIT;
  m.transfer = hand->transfer;
  m.index = hand->next;
  m.last = hand->next == hand->chunks->len;
  if (m.last)
    {
      m.n_inherited = memb_inherited (peer->memb, peer->opts.self, owners);
      m.inherited = owners;
    }
  else
    {
      GBytes *chunk = g_ptr_array_index (hand->chunks, hand->next);
      m.data.data = (uint8_t *)g_bytes_get_data (chunk, &m.data.len);
    }
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_HAND_OVER;
  e.hand_over = &m;
  hand->sent_us = ctl_now (peer);
  ctl_send (peer, hand->heir, &e);
}

static void
choose (struct peer *peer)
{
  struct hand_over *hand = peer->hand_over;
  const struct memb_peer *heir = memb_choose_heir (peer->memb);
  if (heir == NULL)
    return;
  hand->heir = heir->id;
  hand->transfer = pl_random64 ();
  hand->next = 0;
  send_current (peer);
}

void
heir_tick (struct peer *peer)
{
  struct hand_over *hand = peer->hand_over;
  if (hand == NULL)
    return;
  int64_t now = ctl_now (peer);
  bool nobody = hand->heir == 0 && hand->exported
                && now - hand->alone_us >= HEIR_WAIT_US;
  if (now >= hand->deadline_us || nobody)
    {
      end (peer, false);
      return;
    }
  if (!hand->exported)
    return;
  if (hand->heir == 0)
    choose (peer);
  else if (now - hand->sent_us >= peer->opts.conf->permit_resend_ms * 1000)
    send_current (peer);
}

void
heir_lost (struct peer *peer, claim_instance_id id)
{
  struct hand_over *hand = peer->hand_over;
  if (hand == NULL || hand->heir != id)
    return;
  hand->heir = 0;
  hand->alone_us = ctl_now (peer);
}

static void
announce (struct peer *peer, claim_instance_id heir)
{
  claim_instance_id owners[MEMB_MAX_HEIRS];
  Msg__Heir m = MSG__HEIR__INIT;
  m.heir = heir;
  m.n_owners = memb_inherited (peer->memb, peer->opts.self, owners);
  m.owners = owners;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_HEIR;
  e.heir = &m;
  beat_broadcast (peer, &e);
}

static void
acknowledged (struct peer *peer, claim_instance_id from,
              const Msg__HandOverAck *m)
{
  struct hand_over *hand = peer->hand_over;
  if (hand == NULL || hand->heir != from || hand->transfer != m->transfer
      || hand->next != m->index)
    return; /* repeated */
  if (hand->next < hand->chunks->len)
    {
      hand->next++;
      send_current (peer);
      return;
    }
  pl_log (PL_EV_HANDOVER, "heir=" HEX64 " chunks=%u", from, hand->chunks->len);
  announce (peer, from);
  end (peer, true);
}

static void
inherit (struct peer *peer, claim_instance_id owner)
{
  disp_inherit (peer->disp, owner);
  memb_add_heir (peer->memb, owner, peer->opts.self);
}

static void
acknowledge (struct peer *peer, claim_instance_id to, const Msg__HandOver *m)
{
  Msg__HandOverAck ack = MSG__HAND_OVER_ACK__INIT;
  ack.transfer = m->transfer;
  ack.index = m->index;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_HAND_OVER_ACK;
  e.hand_over_ack = &ack;
  ctl_send (peer, to, &e);
}

static void
take_chunk (struct peer *peer, claim_instance_id from, const Msg__HandOver *m)
{
  struct remote *remote = ctl_remote (peer, from);
  if (m->index == 0 && remote->transfer != m->transfer)
    {
      remote->transfer = m->transfer;
      remote->transfer_next = 0;
    }
  if (remote->transfer != m->transfer || m->index > remote->transfer_next)
    {
      link_drop (from, "hand-over out of order", m->data.len);
      return;
    }
  /* Acknowledged first, because an inherited owner counts as left.  */
  acknowledge (peer, from, m);
  if (m->index < remote->transfer_next)
    return;
  remote->transfer_next++;
  if (!m->last)
    {
      g_autoptr (GBytes) chunk = g_bytes_new (m->data.data, m->data.len);
      disp_import (peer->disp, chunk);
      return;
    }
  for (size_t i = 0; i < m->n_inherited; i++)
    inherit (peer, m->inherited[i]);
  inherit (peer, from);
}

static void
heard_heir (struct peer *peer, claim_instance_id from, const Msg__Heir *m)
{
  /* An heir adds itself when it has all chunks.  */
  if (m->heir == peer->opts.self)
    return;
  for (size_t i = 0; i < m->n_owners; i++)
    memb_add_heir (peer->memb, m->owners[i], m->heir);
  memb_add_heir (peer->memb, from, m->heir);
}

void
heir_message (struct peer *peer, const Msg__Envelope *e)
{
  if (e->body_case == MSG__ENVELOPE__BODY_HAND_OVER)
    take_chunk (peer, e->from, e->hand_over);
  else if (e->body_case == MSG__ENVELOPE__BODY_HAND_OVER_ACK)
    acknowledged (peer, e->from, e->hand_over_ack);
  else
    heard_heir (peer, e->from, e->heir);
}

static void
run_chunk (struct peer *peer, struct ctl_item *base)
{
  GBytes *chunk = ((struct chunk_item *)base)->chunk;
  struct hand_over *hand = peer == NULL ? NULL : peer->hand_over;
  if (hand == NULL)
    {
      if (chunk != NULL)
        g_bytes_unref (chunk);
      return;
    }
  if (chunk != NULL)
    g_ptr_array_add (hand->chunks, chunk);
  else
    {
      hand->exported = true;
      hand->alone_us = ctl_now (peer);
    }
  heir_tick (peer);
}

/* On the dispatch thread.  */
static void
exported (GBytes *chunk, void *user)
{
  struct chunk_item *item = g_new0 (struct chunk_item, 1);
  item->chunk = chunk == NULL ? NULL : g_bytes_ref (chunk);
  ctl_post (user, &item->base, run_chunk);
}

static void
begin (struct peer *peer, struct ctl_item *base)
{
  struct hand_over *hand = ((struct start_item *)base)->hand;
  if (peer == NULL || peer->hand_over != NULL)
    {
      tell (hand, false);
      return;
    }
  peer->hand_over = hand;
  disp_export (peer->disp, MSG_CHUNK_BYTES, exported, peer);
}

bool
peer_hand_over (struct peer *peer, int limit_ms)
{
  struct hand_over *hand = g_new0 (struct hand_over, 1);
  struct start_item *item = g_new0 (struct start_item, 1);
  g_atomic_ref_count_init (&hand->refs);
  g_atomic_ref_count_inc (&hand->refs);
  g_mutex_init (&hand->lock);
  g_cond_init (&hand->cond);
  hand->chunks
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  hand->deadline_us = ctl_now (peer) + (int64_t)limit_ms * 1000;
  item->hand = hand;
  ctl_post (peer, &item->base, begin);
  g_mutex_lock (&hand->lock);
  while (!hand->ended)
    g_cond_wait (&hand->cond, &hand->lock);
  bool confirmed = hand->confirmed;
  g_mutex_unlock (&hand->lock);
  hand_unref (hand);
  return confirmed;
}

void
heir_end (struct peer *peer)
{
  if (peer->hand_over != NULL)
    end (peer, false);
}
