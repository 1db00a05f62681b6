/* The hand-over at a planned stop.  The records of the stopping instance's
   keys are exported by the dispatch thread and sent to another instance, the
   heir, one chunk at a time; each is acknowledged.  After the last one the
   heir is the authority for the owner and answers for its keys.  If the heir
   is lost, the hand-over starts again with another one.  */
#include "impl.h"

#include <string.h>

/* How long to wait for an instance that can be the heir.  Without this bound
   the last instance of an installation would wait for the whole stop limit. */
#define HEIR_WAIT_US 2000000

/* A hand-over of this instance's records, from the export to the last
   acknowledgement.  The thread that waits in peer_hand_over and the control
   thread each hold a reference.  */
struct hand_over
{
  gatomicrefcount refs;
  GMutex lock;
  GCond cond;
  bool ended;     /* under the lock */
  bool confirmed; /* under the lock */
  struct peer *peer;
  bool exported;     /* CHUNKS is complete */
  GPtrArray *chunks; /* GBytes */
  claim_instance_id transfer;
  claim_instance_id heir; /* 0: to be chosen */
  uint32_t next_chunk;    /* chunks->len: the last message, without data */
  int64_t sent_us;
  int64_t no_heir_us; /* time since which there has been no heir */
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
  struct hand_over *handover;
};

static void
hand_over_unref (struct hand_over *handover)
{
  if (!g_atomic_ref_count_dec (&handover->refs))
    return;
  g_ptr_array_unref (handover->chunks);
  g_mutex_clear (&handover->lock);
  g_cond_clear (&handover->cond);
  g_free (handover);
}

static void
notify_waiter (struct hand_over *handover, bool confirmed)
{
  g_mutex_lock (&handover->lock);
  handover->ended = true;
  handover->confirmed = confirmed;
  g_cond_signal (&handover->cond);
  g_mutex_unlock (&handover->lock);
  hand_over_unref (handover);
}

static void
end_hand_over (struct peer *peer, bool confirmed)
{
  struct hand_over *handover = peer->hand_over;
  peer->hand_over = NULL;
  notify_waiter (handover, confirmed);
}

/* Sends the chunk at next_chunk, or after all chunks the last message.  Also
   repeats it if it has not been acknowledged.  */
static void
send_current (struct peer *peer)
{
  struct hand_over *handover = peer->hand_over;
  claim_instance_id owners[MEMB_MAX_HEIRS];
  Msg__HandOver m = MSG__HAND_OVER__INIT;
  m.transfer = handover->transfer;
  m.index = handover->next_chunk;
  m.last = handover->next_chunk == handover->chunks->len;
  if (m.last)
    {
      m.n_inherited
          = memb_list_inherited (peer->memb, peer->opts.self, owners);
      m.inherited = owners;
    }
  else
    {
      GBytes *chunk
          = g_ptr_array_index (handover->chunks, handover->next_chunk);
      m.data.data = (uint8_t *)g_bytes_get_data (chunk, &m.data.len);
    }
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_HAND_OVER;
  e.hand_over = &m;
  handover->sent_us = ctl_now_us (peer);
  ctl_send (peer, handover->heir, &e);
}

static void
choose_heir (struct peer *peer)
{
  struct hand_over *handover = peer->hand_over;
  const struct memb_peer *heir = memb_choose_heir (peer->memb);
  if (heir == NULL)
    return;
  handover->heir = heir->id;
  handover->transfer = pl_random64 ();
  handover->next_chunk = 0;
  send_current (peer);
}

void
hand_over_tick (struct peer *peer)
{
  struct hand_over *handover = peer->hand_over;
  if (handover == NULL)
    return;
  int64_t now = ctl_now_us (peer);
  bool no_heir_left = handover->heir == 0 && handover->exported
                      && now - handover->no_heir_us >= HEIR_WAIT_US;
  if (now >= handover->deadline_us || no_heir_left)
    {
      end_hand_over (peer, false);
      return;
    }
  if (!handover->exported)
    return;
  if (handover->heir == 0)
    choose_heir (peer);
  else if (now - handover->sent_us >= peer->opts.conf->permit_resend_ms * 1000)
    send_current (peer);
}

void
hand_over_on_peer_lost (struct peer *peer, claim_instance_id id)
{
  struct hand_over *handover = peer->hand_over;
  if (handover == NULL || handover->heir != id)
    return;
  handover->heir = 0;
  handover->no_heir_us = ctl_now_us (peer);
}

static void
announce_heir (struct peer *peer, claim_instance_id heir)
{
  claim_instance_id owners[MEMB_MAX_HEIRS];
  Msg__Heir m = MSG__HEIR__INIT;
  m.heir = heir;
  m.n_owners = memb_list_inherited (peer->memb, peer->opts.self, owners);
  m.owners = owners;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_HEIR;
  e.heir = &m;
  heartbeat_broadcast (peer, &e);
}

static void
on_ack (struct peer *peer, claim_instance_id from, const Msg__HandOverAck *m)
{
  struct hand_over *handover = peer->hand_over;
  if (handover == NULL || handover->heir != from
      || handover->transfer != m->transfer || handover->next_chunk != m->index)
    return; /* a repeated acknowledgement, or of a former attempt */
  if (handover->next_chunk < handover->chunks->len)
    {
      handover->next_chunk++;
      send_current (peer);
      return;
    }
  pl_log (PL_EV_HANDOVER, "heir=" HEX64 " chunks=%u", from,
          handover->chunks->len);
  announce_heir (peer, from);
  end_hand_over (peer, true);
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
on_chunk (struct peer *peer, claim_instance_id from, const Msg__HandOver *m)
{
  struct remote *remote = ctl_get_remote (peer, from);
  if (m->index == 0 && remote->transfer != m->transfer)
    {
      remote->transfer = m->transfer;
      remote->transfer_next_chunk = 0;
    }
  if (remote->transfer != m->transfer
      || m->index > remote->transfer_next_chunk)
    {
      link_report_drop (from, "hand-over out of order", m->data.len);
      return;
    }
  /* Acknowledge before inheriting: an inherited owner is marked as left.  */
  acknowledge (peer, from, m);
  if (m->index < remote->transfer_next_chunk)
    return;
  remote->transfer_next_chunk++;
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
on_heir (struct peer *peer, claim_instance_id from, const Msg__Heir *m)
{
  /* This instance adds itself as heir in on_chunk, when it has all chunks.  */
  if (m->heir == peer->opts.self)
    return;
  for (size_t i = 0; i < m->n_owners; i++)
    memb_add_heir (peer->memb, m->owners[i], m->heir);
  memb_add_heir (peer->memb, from, m->heir);
}

void
hand_over_on_message (struct peer *peer, const Msg__Envelope *e)
{
  if (e->body_case == MSG__ENVELOPE__BODY_HAND_OVER)
    on_chunk (peer, e->from, e->hand_over);
  else if (e->body_case == MSG__ENVELOPE__BODY_HAND_OVER_ACK)
    on_ack (peer, e->from, e->hand_over_ack);
  else
    on_heir (peer, e->from, e->heir);
}

static void
run_chunk (struct peer *peer, struct ctl_item *base)
{
  GBytes *chunk = ((struct chunk_item *)base)->chunk;
  struct hand_over *handover = peer == NULL ? NULL : peer->hand_over;
  if (handover == NULL)
    {
      if (chunk != NULL)
        g_bytes_unref (chunk);
      return;
    }
  if (chunk != NULL)
    g_ptr_array_add (handover->chunks, chunk);
  else
    {
      handover->exported = true;
      handover->no_heir_us = ctl_now_us (peer);
    }
  hand_over_tick (peer);
}

/* Called on the dispatch thread for each chunk, and with null at the end.  */
static void
on_exported_chunk (GBytes *chunk, void *user)
{
  struct chunk_item *item = g_new0 (struct chunk_item, 1);
  item->chunk = chunk == NULL ? NULL : g_bytes_ref (chunk);
  ctl_post (user, &item->base, run_chunk);
}

static void
begin_hand_over (struct peer *peer, struct ctl_item *base)
{
  struct hand_over *handover = ((struct start_item *)base)->handover;
  if (peer == NULL || peer->hand_over != NULL)
    {
      notify_waiter (handover, false);
      return;
    }
  peer->hand_over = handover;
  disp_export (peer->disp, MSG_CHUNK_BYTES, on_exported_chunk, peer);
}

bool
peer_hand_over (struct peer *peer, int limit_ms)
{
  struct hand_over *handover = g_new0 (struct hand_over, 1);
  struct start_item *item = g_new0 (struct start_item, 1);
  g_atomic_ref_count_init (&handover->refs);
  g_atomic_ref_count_inc (&handover->refs);
  g_mutex_init (&handover->lock);
  g_cond_init (&handover->cond);
  handover->chunks
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  handover->deadline_us = ctl_now_us (peer) + (int64_t)limit_ms * 1000;
  item->handover = handover;
  ctl_post (peer, &item->base, begin_hand_over);
  g_mutex_lock (&handover->lock);
  while (!handover->ended)
    g_cond_wait (&handover->cond, &handover->lock);
  bool confirmed = handover->confirmed;
  g_mutex_unlock (&handover->lock);
  hand_over_unref (handover);
  return confirmed;
}

void
hand_over_abort (struct peer *peer)
{
  if (peer->hand_over != NULL)
    end_hand_over (peer, false);
}
