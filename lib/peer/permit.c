/* Permits.  Before an owner starts the tasks of a key, it asks the key's
   witness for a permit; a witness that has revoked the key refuses.  This file
   sends the owner's requests in batches, repeats them until they are answered,
   and answers the requests of peers from the witness table.  */
#include "impl.h"

#include <string.h>

#define MAX_PENDING_PERMITS 65536

/* A permit that this instance has requested.  */
struct permit
{
  struct claim_key_hash hash; /* first: the key of the table */
  claim_instance_id witness;
  int64_t epoch;
  int64_t created_us;
  int64_t sent_us;
};

struct permit_item
{
  struct ctl_item base;
  claim_instance_id witness;
  struct claim_key_hash hash;
  int64_t epoch;
};

static guint
hash_key (gconstpointer key)
{
  return (guint)((const struct claim_key_hash *)key)->lo;
}

static gboolean
equal_hash (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct claim_key_hash)) == 0;
}

static bool
is_reachable (struct peer *peer, claim_instance_id witness)
{
  const struct memb_peer *known = memb_table_find (peer->memb, witness);
  return known != NULL && known->state == MEMB_ALIVE
         && !memb_is_unresponsive (peer->memb, witness);
}

static void
run_permit (struct peer *peer, struct ctl_item *base)
{
  struct permit_item *item = (struct permit_item *)base;
  if (peer == NULL)
    return;
  if (!is_reachable (peer, item->witness)
      || g_hash_table_size (peer->permits) >= MAX_PENDING_PERMITS)
    {
      disp_permit_result (peer->disp, item->hash, false);
      return;
    }
  if (g_hash_table_contains (peer->permits, &item->hash))
    return;
  struct permit *permit = g_new0 (struct permit, 1);
  permit->hash = item->hash;
  permit->witness = item->witness;
  permit->epoch = item->epoch;
  permit->created_us = ctl_now_us (peer);
  g_hash_table_insert (peer->permits, &permit->hash, permit);
  g_ptr_array_add (ctl_get_remote (peer, item->witness)->permit_requests,
                   permit);
  peer->permits_unsent = true;
}

static void
post_permit (struct disp_peer_ops *ops, claim_instance_id witness,
             struct claim_key_hash hash, int64_t epoch)
{
  struct permit_item *item = g_new0 (struct permit_item, 1);
  item->witness = witness;
  item->hash = hash;
  item->epoch = epoch;
  ctl_post ((struct peer *)ops, &item->base, run_permit);
}

void
permit_init (struct peer *peer)
{
  peer->permits = g_hash_table_new_full (hash_key, equal_hash, NULL, g_free);
  peer->disp_ops.permit = post_permit;
}

void
permit_free (struct peer *peer)
{
  g_hash_table_unref (peer->permits);
}

static void
send_batch (struct peer *peer, claim_instance_id witness, GPtrArray *requests,
            unsigned start)
{
  uint64_t hi[MSG_MAX_PERMITS];
  uint64_t lo[MSG_MAX_PERMITS];
  int64_t epoch[MSG_MAX_PERMITS];
  unsigned n = MIN (requests->len - start, MSG_MAX_PERMITS);
  int64_t now = ctl_now_us (peer);
  for (unsigned i = 0; i < n; i++)
    {
      struct permit *permit = g_ptr_array_index (requests, start + i);
      hi[i] = permit->hash.hi;
      lo[i] = permit->hash.lo;
      epoch[i] = permit->epoch;
      permit->sent_us = now;
    }
  Msg__PermitRequest m = MSG__PERMIT_REQUEST__INIT;
  m.n_hi = m.n_lo = m.n_epoch = n;
  m.hi = hi;
  m.lo = lo;
  m.epoch = epoch;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_PERMIT_REQUEST;
  e.permit_request = &m;
  ctl_send (peer, witness, &e);
}

void
permit_flush (struct peer *peer)
{
  GHashTableIter iter;
  struct remote *remote;
  if (!peer->permits_unsent)
    return;
  peer->permits_unsent = false;
  g_hash_table_iter_init (&iter, peer->remotes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&remote))
    {
      GPtrArray *requests = remote->permit_requests;
      for (unsigned i = 0; i < requests->len; i += MSG_MAX_PERMITS)
        send_batch (peer, remote->id, requests, i);
      g_ptr_array_set_size (requests, 0);
    }
}

void
permit_retry (struct peer *peer)
{
  const struct conf *conf = peer->opts.conf;
  int64_t now = ctl_now_us (peer);
  GHashTableIter iter;
  struct permit *permit;
  g_hash_table_iter_init (&iter, peer->permits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&permit))
    {
      if (now - permit->created_us >= conf->permit_give_up_ms * 1000)
        {
          memb_set_unresponsive (peer->memb, permit->witness, true);
          disp_permit_result (peer->disp, permit->hash, false);
          g_hash_table_iter_remove (&iter);
        }
      else if (now - permit->sent_us >= conf->permit_resend_ms * 1000)
        {
          g_ptr_array_add (
              ctl_get_remote (peer, permit->witness)->permit_requests, permit);
          peer->permits_unsent = true;
        }
    }
  permit_flush (peer);
}

/* Sends requests without keys; a reply shows that the witness answers again.
 */
void
permit_probe (struct peer *peer)
{
  int64_t now = ctl_now_us (peer);
  int64_t interval_us = peer->opts.conf->heartbeat_ms * 1000;
  for (unsigned i = 0; i < memb_table_count (peer->memb); i++)
    {
      const struct memb_peer *known = memb_table_get (peer->memb, i);
      if (known->state != MEMB_ALIVE
          || !memb_is_unresponsive (peer->memb, known->id))
        continue;
      struct remote *remote = ctl_get_remote (peer, known->id);
      if (now - remote->probed_us < interval_us)
        continue;
      remote->probed_us = now;
      Msg__PermitRequest m = MSG__PERMIT_REQUEST__INIT;
      Msg__Envelope e = MSG__ENVELOPE__INIT;
      e.body_case = MSG__ENVELOPE__BODY_PERMIT_REQUEST;
      e.permit_request = &m;
      ctl_send (peer, known->id, &e);
    }
}

void
permit_on_peer_lost (struct peer *peer, claim_instance_id witness)
{
  GHashTableIter iter;
  struct permit *permit;
  g_ptr_array_set_size (ctl_get_remote (peer, witness)->permit_requests, 0);
  g_hash_table_iter_init (&iter, peer->permits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&permit))
    {
      if (permit->witness != witness)
        continue;
      disp_permit_result (peer->disp, permit->hash, false);
      g_hash_table_iter_remove (&iter);
    }
}

void
permit_on_request (struct peer *peer, claim_instance_id from,
                   const Msg__PermitRequest *m)
{
  protobuf_c_boolean granted[MSG_MAX_PERMITS];
  for (size_t i = 0; i < m->n_hi; i++)
    {
      struct claim_key_hash hash = { .hi = m->hi[i], .lo = m->lo[i] };
      granted[i] = claim_permit (peer->witness_table, from, hash, m->epoch[i]);
      pl_count (granted[i] ? PL_CTR_PERMITS_GRANTED_TOTAL
                           : PL_CTR_PERMITS_REFUSED_TOTAL,
                1);
    }
  Msg__PermitReply reply = MSG__PERMIT_REPLY__INIT;
  reply.n_hi = reply.n_lo = reply.n_granted = m->n_hi;
  reply.hi = m->hi;
  reply.lo = m->lo;
  reply.granted = granted;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_PERMIT_REPLY;
  e.permit_reply = &reply;
  ctl_send (peer, from, &e);
}

void
permit_on_reply (struct peer *peer, claim_instance_id from,
                 const Msg__PermitReply *m)
{
  memb_set_unresponsive (peer->memb, from, false);
  for (size_t i = 0; i < m->n_hi; i++)
    {
      struct claim_key_hash hash = { .hi = m->hi[i], .lo = m->lo[i] };
      struct permit *permit = g_hash_table_lookup (peer->permits, &hash);
      if (permit == NULL || permit->witness != from)
        continue; /* answered before, or given up */
      disp_permit_result (peer->disp, hash, m->granted[i]);
      g_hash_table_remove (peer->permits, &hash);
    }
}
