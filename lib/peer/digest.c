/* Membership across failure domains.  The relays of a domain (its two lowest
   live incarnations) send its digest to the relays of each other domain and
   pass the digests of other domains on to their own domain.  All other pairs
   are linked only while something is sent between them.  */
#include "impl.h"

#include <string.h>

/* Parts of the far heartbeat interval: a look at what is due, and the least
   time a message.  The second bounds the bytes a second at any number of
   domains: 2.5 digests a second each way with the default of 2 s.  */
#define LOOK_PART 20
#define SPACE_PART 5
/* Rounds of digests that may be missed before silence counts.  */
#define MISSED_ROUNDS 2
/* Repeats of a digest for which a link was not connected yet.  */
#define TRIES 5

struct digest_domain
{
  char name[33];
  bool changed;    /* to be passed on at once */
  unsigned tries;  /* failed ones since the last success */
  int64_t sent_us; /* own digest to this domain */
};

static int64_t
far_us (const struct peer *peer)
{
  return peer->opts.conf->far_heartbeat_ms * 1000;
}

static bool
own (const struct peer *peer, const char *domain)
{
  return strcmp (domain, peer->opts.conf->domain) == 0;
}

static struct digest_domain *
domain_of (struct peer *peer, const char *name)
{
  for (unsigned i = 0; i < peer->domains->len; i++)
    {
      struct digest_domain *domain = g_ptr_array_index (peer->domains, i);
      if (strcmp (domain->name, name) == 0)
        return domain;
    }
  struct digest_domain *domain = g_new0 (struct digest_domain, 1);
  g_strlcpy (domain->name, name, sizeof domain->name);
  g_ptr_array_add (peer->domains, domain);
  return domain;
}

void
digest_init (struct peer *peer)
{
  peer->domains = g_ptr_array_new_with_free_func (g_free);
  domain_of (peer, peer->opts.conf->domain);
}

void
digest_changed (struct peer *peer, const struct memb_peer *known,
                enum memb_change change)
{
  domain_of (peer, known->domain)->changed = true;
  if (change != MEMB_CHANGE_UP || !own (peer, known->domain))
    return;
  /* The newcomer has to learn all domains.  */
  for (unsigned i = 0; i < peer->domains->len; i++)
    ((struct digest_domain *)g_ptr_array_index (peer->domains, i))->changed
        = true;
}

/* The heirs that belong to DOMAIN, by the instance that vouches.  */
static void
fill_heirs (struct peer *peer, Msg__Digest *m, uint64_t *owners,
            uint64_t *heirs)
{
  claim_instance_id inherited[MEMB_MAX_HEIRS];
  for (size_t i = 0; i < m->n_id; i++)
    {
      unsigned n = memb_inherited (peer->memb, m->id[i], inherited);
      for (unsigned k = 0; k < n && m->n_owner < MSG_HEIRS; k++)
        {
          owners[m->n_owner++] = inherited[k];
          heirs[m->n_heir++] = m->id[i];
        }
    }
  m->owner = owners;
  m->heir = heirs;
}

/* False if one of the receivers has no connection.  */
static bool
send_digest (struct peer *peer, const char *name, const claim_instance_id *to,
             unsigned n_to)
{
  struct memb_member members[MSG_MEMBERS];
  uint64_t ids[MSG_MEMBERS], owners[MSG_HEIRS], heirs[MSG_HEIRS];
  uint32_t ips[MSG_MEMBERS], ports[MSG_MEMBERS], ages[MSG_MEMBERS];
  int64_t epochs[MSG_MEMBERS];
  unsigned n = memb_members (peer->memb, name, members, MSG_MEMBERS);
  for (unsigned i = 0; i < n; i++)
    {
      ids[i] = members[i].id;
      ips[i] = members[i].control.ip;
      ports[i] = members[i].control.port;
      ages[i] = (uint32_t)CLAMP (members[i].age_us / 1000, 0, UINT32_MAX);
      epochs[i] = members[i].epoch;
    }
  Msg__Digest m = MSG__DIGEST__INIT;
  m.domain = (char *)name;
  m.n_id = m.n_ip = m.n_port = m.n_age_ms = m.n_epoch = n;
  m.id = ids;
  m.ip = ips;
  m.port = ports;
  m.age_ms = ages;
  m.epoch = epochs;
  m.revision = memb_table_self (peer->memb)->revision;
  fill_heirs (peer, &m, owners, heirs);
  bool sent = true;
  for (unsigned i = 0; i < n_to; i++)
    {
      Msg__Envelope e = MSG__ENVELOPE__INIT;
      e.body_case = MSG__ENVELOPE__BODY_DIGEST;
      e.digest = &m;
      sent = ctl_send (peer, to[i], &e) && sent;
    }
  return sent;
}

/* Whether a digest of or to DOMAIN is to be sent again at the next look.  */
static bool
again (struct digest_domain *domain, bool sent)
{
  domain->tries = sent ? 0 : domain->tries + 1;
  if (domain->tries <= TRIES)
    return !sent;
  domain->tries = 0;
  return false;
}

/* Live peers of the own domain.  */
static unsigned
near_peers (struct peer *peer, claim_instance_id out[MSG_MEMBERS])
{
  struct memb_member members[MSG_MEMBERS];
  unsigned n = memb_members (peer->memb, peer->opts.conf->domain, members,
                             MSG_MEMBERS);
  for (unsigned i = 1; i < n; i++) /* the first is this instance */
    out[i - 1] = members[i].id;
  return n - 1;
}

/* Sends the own domain's digest to the relays of domain NAME.  */
static void
tell (struct peer *peer, struct digest_domain *domain, int64_t now)
{
  claim_instance_id relays[MEMB_RELAYS] = { 0 };
  unsigned n = memb_relays (peer->memb, domain->name, relays);
  bool sent = n == 0 || send_digest (peer, peer->opts.conf->domain, relays, n);
  domain->sent_us = again (domain, sent) ? 0 : now;
}

/* Passes the next digest of another domain on to the own one.  */
static void
pass (struct peer *peer, int64_t now)
{
  claim_instance_id near[MSG_MEMBERS] = { 0 };
  unsigned n = near_peers (peer, near);
  unsigned count = peer->domains->len;
  for (unsigned i = 0; i < count; i++)
    {
      struct digest_domain *domain = g_ptr_array_index (peer->domains, i);
      if (!domain->changed || own (peer, domain->name))
        continue;
      domain->changed
          = again (domain, send_digest (peer, domain->name, near, n));
    }
  if (now < peer->pass_us || n == 0 || count < 2)
    return;
  struct digest_domain *next
      = g_ptr_array_index (peer->domains, 1 + peer->pass_next++ % (count - 1));
  send_digest (peer, next->name, near, n);
  peer->pass_us
      = now
        + MAX (far_us (peer) / (count - 1), n * far_us (peer) / SPACE_PART);
}

/* The rounds of digests between domains and inside the own one, with a single
   relay, and the silence that follows.  */
static int64_t
round_us (struct peer *peer)
{
  claim_instance_id near[MSG_MEMBERS] = { 0 };
  int64_t far_domains = peer->domains->len - 1;
  int64_t links = far_domains * MEMB_RELAYS;
  int64_t far = MAX (far_us (peer), links * far_us (peer) / SPACE_PART);
  int64_t passes = far_domains * near_peers (peer, near);
  int64_t inside = MAX (far_us (peer), passes * far_us (peer) / SPACE_PART);
  memb_set_digest_silence (peer->memb, MISSED_ROUNDS * (far + inside));
  return far;
}

void
digest_tick (struct peer *peer)
{
  int64_t now = ctl_now (peer);
  if (now < peer->digest_us)
    return;
  peer->digest_us = now + far_us (peer) / LOOK_PART;
  int64_t round = round_us (peer);
  claim_instance_id relays[MEMB_RELAYS] = { 0 };
  unsigned n = memb_relays (peer->memb, peer->opts.conf->domain, relays);
  peer->is_relay = false;
  for (unsigned i = 0; i < n; i++)
    peer->is_relay = peer->is_relay || relays[i] == peer->opts.self;
  struct digest_domain *mine = g_ptr_array_index (peer->domains, 0);
  bool changed = mine->changed;
  mine->changed = false;
  if (!peer->is_relay)
    return;
  for (unsigned i = 1; i < peer->domains->len; i++)
    {
      struct digest_domain *domain = g_ptr_array_index (peer->domains, i);
      if (changed || now - domain->sent_us >= round)
        tell (peer, domain, now);
    }
  pass (peer, now);
}

void
digest_heard (struct peer *peer, claim_instance_id from, const Msg__Digest *m)
{
  struct memb_member members[MSG_MEMBERS];
  for (size_t i = 0; i < m->n_id; i++)
    members[i] = (struct memb_member){
      .id = m->id[i],
      .control = { m->ip[i], (uint16_t)m->port[i] },
      .age_us = (int64_t)m->age_ms[i] * 1000,
      .epoch = m->epoch[i],
    };
  memb_digest (peer->memb, m->domain, members, (unsigned)m->n_id);
  for (size_t i = 0; i < m->n_owner; i++)
    memb_add_heir (peer->memb, m->owner[i], m->heir[i]);
  notes_heard (peer, from, m->revision);
}
