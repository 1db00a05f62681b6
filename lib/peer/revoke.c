#include "impl.h"

#define MAX_PENDING 8192

struct revoke
{
  uint64_t id; /* first: the key of the table */
  claim_instance_id owner;
  claim_instance_id witness;
  struct claim_key_hash hash;
  int64_t epoch;
  int64_t first_us;
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
  peer->revokes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

static void
send_request (struct peer *peer, struct revoke *revoke)
{
  Msg__RevokeRequest m = MSG__REVOKE_REQUEST__INIT;
  m.id = revoke->id;
  m.hi = revoke->hash.hi;
  m.lo = revoke->hash.lo;
  m.epoch = revoke->epoch;
  m.owner = revoke->owner;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_REVOKE_REQUEST;
  e.revoke_request = &m;
  revoke->sent_us = ctl_now (peer);
  ctl_send (peer, revoke->witness, &e);
}

/* Whether the owner may have issued EPOCH, as far as its heartbeats tell.  A
   caller can write any epoch into a key; recording one far ahead would later
   raise the floor above epochs that are still in use, and so refuse the owner
   all permits.  */
static bool
may_be_issued (struct peer *peer, claim_instance_id owner, int64_t epoch)
{
  const struct memb_peer *found = memb_table_find (peer->memb, owner);
  return found == NULL || epoch <= found->epoch + 1;
}

static enum claim_revoke_result
revoke_here (struct peer *peer, claim_instance_id owner,
             struct claim_key_hash hash, int64_t epoch)
{
  static const char *const names[] = { [CLAIM_REVOKED] = "revoked",
                                       [CLAIM_PERMITTED] = "permitted",
                                       [CLAIM_UNKNOWN] = "unknown" };
  enum claim_revoke_result result = CLAIM_UNKNOWN;
  if (may_be_issued (peer, owner, epoch))
    result = claim_revoke (peer->witness, owner, hash, epoch);
  if (result == CLAIM_REVOKED)
    pl_count (PL_CTR_REVOCATIONS_TOTAL, 1);
  pl_log (PL_EV_REVOKE, "owner=" HEX64 " result=%s", owner, names[result]);
  return result;
}

/* True if the witness may still answer.  A suspect one is asked, too: its
   answer is as good as any.  */
static bool
known (struct peer *peer, claim_instance_id witness)
{
  const struct memb_peer *found = memb_table_find (peer->memb, witness);
  return found != NULL && found->state != MEMB_LEFT;
}

static void
start (struct peer *peer, const struct claim_key *key,
       struct claim_key_hash hash, const struct revoke_item *item)
{
  if (key->witness == peer->opts.self)
    {
      item->done (revoke_here (peer, key->owner, hash, key->epoch),
                  item->user);
      return;
    }
  if (key->witness == 0 || !known (peer, key->witness)
      || g_hash_table_size (peer->revokes) >= MAX_PENDING)
    {
      item->done (CLAIM_UNKNOWN, item->user);
      return;
    }
  struct revoke *revoke = g_new0 (struct revoke, 1);
  revoke->id = ++peer->next_revoke;
  revoke->owner = key->owner;
  revoke->witness = key->witness;
  revoke->hash = hash;
  revoke->epoch = key->epoch;
  revoke->first_us = ctl_now (peer);
  revoke->done = item->done;
  revoke->user = item->user;
  g_hash_table_insert (peer->revokes, &revoke->id, revoke);
  send_request (peer, revoke);
}

static void
run_revoke (struct peer *peer, struct ctl_item *base)
{
  struct revoke_item *item = (struct revoke_item *)base;
  struct pl_str text = { .data = item->key, .len = item->len };
  struct claim_key key;
  struct pl_err err;
  if (peer != NULL && claim_key_parse (text, &key, &err))
    start (peer, &key, claim_hash_key (text), item);
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
  int64_t now = ctl_now (peer);
  GHashTableIter iter;
  struct revoke *revoke;
  g_hash_table_iter_init (&iter, peer->revokes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&revoke))
    {
      if (now - revoke->first_us >= conf->permit_give_up_ms * 1000
          || !known (peer, revoke->witness))
        {
          revoke->done (CLAIM_UNKNOWN, revoke->user);
          g_hash_table_iter_remove (&iter);
        }
      else if (now - revoke->sent_us >= conf->permit_resend_ms * 1000)
        send_request (peer, revoke);
    }
}

void
revoke_end (struct peer *peer)
{
  GHashTableIter iter;
  struct revoke *revoke;
  g_hash_table_iter_init (&iter, peer->revokes);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&revoke))
    revoke->done (CLAIM_UNKNOWN, revoke->user);
  g_hash_table_remove_all (peer->revokes);
}

void
revoke_request (struct peer *peer, claim_instance_id from,
                const Msg__RevokeRequest *m)
{
  static const Msg__Revoked results[]
      = { [CLAIM_REVOKED] = MSG__REVOKED__REVOKED_REVOKED,
          [CLAIM_PERMITTED] = MSG__REVOKED__REVOKED_PERMITTED,
          [CLAIM_UNKNOWN] = MSG__REVOKED__REVOKED_UNKNOWN };
  struct claim_key_hash hash = { .hi = m->hi, .lo = m->lo };
  Msg__RevokeReply reply = MSG__REVOKE_REPLY__INIT;
  reply.id = m->id;
  reply.result = results[revoke_here (peer, m->owner, hash, m->epoch)];
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_REVOKE_REPLY;
  e.revoke_reply = &reply;
  ctl_send (peer, from, &e);
}

void
revoke_reply (struct peer *peer, claim_instance_id from,
              const Msg__RevokeReply *m)
{
  struct revoke *revoke = g_hash_table_lookup (peer->revokes, &m->id);
  if (revoke == NULL || revoke->witness != from)
    return; /* repeated, or given up */
  enum claim_revoke_result result = CLAIM_UNKNOWN;
  if (m->result == MSG__REVOKED__REVOKED_REVOKED)
    result = CLAIM_REVOKED;
  if (m->result == MSG__REVOKED__REVOKED_PERMITTED)
    result = CLAIM_PERMITTED;
  revoke->done (result, revoke->user);
  g_hash_table_remove (peer->revokes, &m->id);
}
