/* Revocations.  An instance that can't reach the owner of a key asks the key's
   witness to revoke it.  A revoked key gets no permit any more, so it will
   never start.  */
#include "impl.h"

#define MAX_PENDING_REVOCATIONS 8192

/* A revocation that this instance has requested.  */
struct revocation
{
  uint64_t id; /* first: the key of the table */
  claim_instance_id owner;
  claim_instance_id witness;
  struct claim_key_hash hash;
  int64_t epoch;
  int64_t created_us;
  int64_t sent_us;
  peer_revoked_fn *done;
  void *user;
};

struct revoke_item
{
  struct ctl_item base;
  char *key;
  size_t len;
  peer_revoked_fn *done;
  void *user;
};

void
revoke_init (struct peer *peer)
{
  peer->revocations
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

static void
send_request (struct peer *peer, struct revocation *revocation)
{
  Msg__RevokeRequest m = MSG__REVOKE_REQUEST__INIT;
  m.id = revocation->id;
  m.hi = revocation->hash.hi;
  m.lo = revocation->hash.lo;
  m.epoch = revocation->epoch;
  m.owner = revocation->owner;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_REVOKE_REQUEST;
  e.revoke_request = &m;
  revocation->sent_us = ctl_now_us (peer);
  ctl_send (peer, revocation->witness, &e);
}

/* Whether OWNER may have issued EPOCH, judging by its last heartbeat.
   Callers can put any epoch into a key.  If a key of a far later epoch were
   recorded, dropping it would raise the owner's floor above epochs still in
   use, and the owner would get no permits any more.  */
static bool
may_be_issued (struct peer *peer, claim_instance_id owner, int64_t epoch)
{
  const struct memb_peer *found = memb_table_find (peer->memb, owner);
  return found == NULL || epoch <= found->epoch + 1;
}

static enum claim_revoke_result
revoke_locally (struct peer *peer, claim_instance_id owner,
                struct claim_key_hash hash, int64_t epoch)
{
  static const char *const result_names[] = { [CLAIM_REVOKED] = "revoked",
                                              [CLAIM_PERMITTED] = "permitted",
                                              [CLAIM_UNKNOWN] = "unknown" };
  enum claim_revoke_result result = CLAIM_UNKNOWN;
  if (may_be_issued (peer, owner, epoch))
    result = claim_revoke (peer->witness_table, owner, hash, epoch);
  if (result == CLAIM_REVOKED)
    pl_count (PL_CTR_REVOCATIONS_TOTAL, 1);
  pl_log (PL_EV_REVOKE, "owner=" HEX64 " result=%s", owner,
          result_names[result]);
  return result;
}

/* True if WITNESS has not left.  Suspect and dead witnesses are asked, too: if
   one does answer, its answer is valid.  */
static bool
may_answer (struct peer *peer, claim_instance_id witness)
{
  const struct memb_peer *found = memb_table_find (peer->memb, witness);
  return found != NULL && found->state != MEMB_LEFT;
}

static void
start_revocation (struct peer *peer, const struct claim_key *key,
                  struct claim_key_hash hash, const struct revoke_item *item)
{
  if (key->witness == peer->opts.self)
    {
      item->done (revoke_locally (peer, key->owner, hash, key->epoch),
                  item->user);
      return;
    }
  if (key->witness == 0 || !may_answer (peer, key->witness)
      || g_hash_table_size (peer->revocations) >= MAX_PENDING_REVOCATIONS)
    {
      item->done (CLAIM_UNKNOWN, item->user);
      return;
    }
  struct revocation *revocation = g_new0 (struct revocation, 1);
  revocation->id = ++peer->next_revocation_id;
  revocation->owner = key->owner;
  revocation->witness = key->witness;
  revocation->hash = hash;
  revocation->epoch = key->epoch;
  revocation->created_us = ctl_now_us (peer);
  revocation->done = item->done;
  revocation->user = item->user;
  g_hash_table_insert (peer->revocations, &revocation->id, revocation);
  send_request (peer, revocation);
}

static void
run_revoke (struct peer *peer, struct ctl_item *base)
{
  struct revoke_item *item = (struct revoke_item *)base;
  struct pl_str text = { .data = item->key, .len = item->len };
  struct claim_key key;
  struct pl_err err;
  if (peer != NULL && claim_key_parse (text, &key, &err))
    start_revocation (peer, &key, claim_hash_key (text), item);
  else
    item->done (CLAIM_UNKNOWN, item->user);
  g_free (item->key);
}

void
peer_revoke (struct peer *peer, struct pl_str key, peer_revoked_fn *done,
             void *user)
{
  struct revoke_item *item = g_new0 (struct revoke_item, 1);
  item->key = g_strndup (key.data, key.len);
  item->len = key.len;
  item->done = done;
  item->user = user;
  ctl_post (peer, &item->base, run_revoke);
}

void
revoke_retry (struct peer *peer)
{
  const struct conf *conf = peer->opts.conf;
  int64_t now = ctl_now_us (peer);
  GHashTableIter iter;
  struct revocation *revocation;
  g_hash_table_iter_init (&iter, peer->revocations);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&revocation))
    {
      if (now - revocation->created_us >= conf->permit_give_up_ms * 1000
          || !may_answer (peer, revocation->witness))
        {
          revocation->done (CLAIM_UNKNOWN, revocation->user);
          g_hash_table_iter_remove (&iter);
        }
      else if (now - revocation->sent_us >= conf->permit_resend_ms * 1000)
        send_request (peer, revocation);
    }
}

void
revoke_abort_all (struct peer *peer)
{
  GHashTableIter iter;
  struct revocation *revocation;
  g_hash_table_iter_init (&iter, peer->revocations);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&revocation))
    revocation->done (CLAIM_UNKNOWN, revocation->user);
  g_hash_table_remove_all (peer->revocations);
}

void
revoke_on_request (struct peer *peer, claim_instance_id from,
                   const Msg__RevokeRequest *m)
{
  static const Msg__Revoked results[]
      = { [CLAIM_REVOKED] = MSG__REVOKED__REVOKED_REVOKED,
          [CLAIM_PERMITTED] = MSG__REVOKED__REVOKED_PERMITTED,
          [CLAIM_UNKNOWN] = MSG__REVOKED__REVOKED_UNKNOWN };
  struct claim_key_hash hash = { .hi = m->hi, .lo = m->lo };
  Msg__RevokeReply reply = MSG__REVOKE_REPLY__INIT;
  reply.id = m->id;
  reply.result = results[revoke_locally (peer, m->owner, hash, m->epoch)];
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_REVOKE_REPLY;
  e.revoke_reply = &reply;
  ctl_send (peer, from, &e);
}

void
revoke_on_reply (struct peer *peer, claim_instance_id from,
                 const Msg__RevokeReply *m)
{
  struct revocation *revocation
      = g_hash_table_lookup (peer->revocations, &m->id);
  if (revocation == NULL || revocation->witness != from)
    return; /* answered before, or given up */
  enum claim_revoke_result result = CLAIM_UNKNOWN;
  if (m->result == MSG__REVOKED__REVOKED_REVOKED)
    result = CLAIM_REVOKED;
  if (m->result == MSG__REVOKED__REVOKED_PERMITTED)
    result = CLAIM_PERMITTED;
  revocation->done (result, revocation->user);
  g_hash_table_remove (peer->revocations, &m->id);
}
