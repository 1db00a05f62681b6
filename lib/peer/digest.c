/* Membership across failure domains.  A digest lists the live instances of one
   domain.  The digest relays of a domain (its two live instances with the
   lowest ids) send its digest to the digest relays of each other domain and
   pass the digests of other domains on to the instances of their own.  Any two
   other instances of different domains are linked only while they have
   messages for each other.  */
#include "impl.h"

#include <string.h>

/* Fractions of the interval far-heartbeat-ms: the time between two ticks, and
   the least average time between two messages.  The second bounds the bytes a
   second for any number of domains: 2.5 digests a second in each direction
   with the default interval of 2 s.  */
#define TICK_DIVISOR 20
#define SPACING_DIVISOR 5
/* Rounds of digests that may be missed before an instance is suspected.  */
#define MISSED_ROUNDS 2
/* Attempts to resend a digest when a link was not connected yet.  */
#define MAX_TRIES 5

struct digest_domain
{
  char name[33];
  bool changed;          /* its digest is to be sent at the next tick */
  unsigned failed_tries; /* to send a digest, since the last success */
  int64_t sent_us;       /* when the own digest was sent to this domain */
};

static int64_t
far_heartbeat_us (const struct peer *peer)
{
  return peer->opts.conf->far_heartbeat_ms * 1000;
}

static bool
is_own_domain (const struct peer *peer, const char *domain)
{
  return strcmp (domain, peer->opts.conf->domain) == 0;
}

/* The state kept for domain NAME, created on first use.  */
static struct digest_domain *
get_domain (struct peer *peer, const char *name)
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
  get_domain (peer, peer->opts.conf->domain);
}

void
digest_on_change (struct peer *peer, const struct memb_peer *known,
                  enum memb_change change)
{
  get_domain (peer, known->domain)->changed = true;
  if (change != MEMB_CHANGE_UP || !is_own_domain (peer, known->domain))
    return;
  /* A new instance of the own domain needs the digests of all domains.  */
  for (unsigned i = 0; i < peer->domains->len; i++)
    ((struct digest_domain *)g_ptr_array_index (peer->domains, i))->changed
        = true;
}

/* Adds the owners whose heir is one of the instances listed in M.  */
static void
fill_heirs (struct peer *peer, Msg__Digest *m, uint64_t *owners,
            uint64_t *heirs)
{
  claim_instance_id inherited[MEMB_MAX_HEIRS];
  for (size_t i = 0; i < m->n_id; i++)
    {
      unsigned n = memb_list_inherited (peer->memb, m->id[i], inherited);
      for (unsigned k = 0; k < n && m->n_owner < MSG_MAX_HEIRS; k++)
        {
          owners[m->n_owner++] = inherited[k];
          heirs[m->n_heir++] = m->id[i];
        }
    }
  m->owner = owners;
  m->heir = heirs;
}

/* Sends the digest of domain NAME to the instances TO.  False if it could not
   be sent to one of them.  */
static bool
send_digest (struct peer *peer, const char *name, const claim_instance_id *to,
             unsigned n_to)
{
  struct memb_member members[MSG_MAX_MEMBERS];
  uint64_t ids[MSG_MAX_MEMBERS], owners[MSG_MAX_HEIRS], heirs[MSG_MAX_HEIRS];
  uint32_t ips[MSG_MAX_MEMBERS], ports[MSG_MAX_MEMBERS], ages[MSG_MAX_MEMBERS];
  int64_t epochs[MSG_MAX_MEMBERS];
  unsigned n = memb_list_members (peer->memb, name, members, MSG_MAX_MEMBERS);
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

/* Counts an attempt to send a digest of or to DOMAIN.  True if it is to be
   repeated at the next tick.  */
static bool
must_repeat (struct digest_domain *domain, bool sent)
{
  domain->failed_tries = sent ? 0 : domain->failed_tries + 1;
  if (domain->failed_tries <= MAX_TRIES)
    return !sent;
  domain->failed_tries = 0;
  return false;
}

/* Writes the ids of the live peers of the own domain to OUT; returns their
   number.  */
static unsigned
list_own_domain_peers (struct peer *peer,
                       claim_instance_id out[MSG_MAX_MEMBERS])
{
  struct memb_member members[MSG_MAX_MEMBERS];
  unsigned n = memb_list_members (peer->memb, peer->opts.conf->domain, members,
                                  MSG_MAX_MEMBERS);
  for (unsigned i = 1; i < n; i++) /* the first is this instance */
    out[i - 1] = members[i].id;
  return n - 1;
}

/* Sends the own domain's digest to the digest relays of DOMAIN.  */
static void
send_own_digest (struct peer *peer, struct digest_domain *domain, int64_t now)
{
  claim_instance_id relays[MEMB_DIGEST_RELAYS] = { 0 };
  unsigned n = memb_list_digest_relays (peer->memb, domain->name, relays);
  bool sent = n == 0 || send_digest (peer, peer->opts.conf->domain, relays, n);
  domain->sent_us = must_repeat (domain, sent) ? 0 : now;
}

/* Sends the digests of other domains to the peers of the own one.  A changed
   digest is sent at once; besides, the digest of the next domain in the list
   is sent at intervals, whether changed or not.  */
static void
pass_on_digests (struct peer *peer, int64_t now)
{
  claim_instance_id peer_ids[MSG_MAX_MEMBERS] = { 0 };
  unsigned n = list_own_domain_peers (peer, peer_ids);
  unsigned count = peer->domains->len;
  for (unsigned i = 0; i < count; i++)
    {
      struct digest_domain *domain = g_ptr_array_index (peer->domains, i);
      if (!domain->changed || is_own_domain (peer, domain->name))
        continue;
      domain->changed = must_repeat (
          domain, send_digest (peer, domain->name, peer_ids, n));
    }
  if (now < peer->next_pass_us || n == 0 || count < 2)
    return;
  struct digest_domain *next = g_ptr_array_index (
      peer->domains, 1 + peer->next_pass_domain++ % (count - 1));
  send_digest (peer, next->name, peer_ids, n);
  peer->next_pass_us = now
                       + MAX (far_heartbeat_us (peer) / (count - 1),
                              n * far_heartbeat_us (peer) / SPACING_DIVISOR);
}

/* Computes how long a round of digests takes, between the domains and inside
   the own one, if only one digest relay sends, and sets the silence after
   which an instance known from digests is suspected.  Returns the round
   between the domains.  */
static int64_t
update_round (struct peer *peer)
{
  claim_instance_id peer_ids[MSG_MAX_MEMBERS] = { 0 };
  int64_t far_domains = peer->domains->len - 1;
  int64_t links = far_domains * MEMB_DIGEST_RELAYS;
  int64_t between_domains
      = MAX (far_heartbeat_us (peer),
             links * far_heartbeat_us (peer) / SPACING_DIVISOR);
  int64_t passes = far_domains * list_own_domain_peers (peer, peer_ids);
  int64_t inside_domain
      = MAX (far_heartbeat_us (peer),
             passes * far_heartbeat_us (peer) / SPACING_DIVISOR);
  memb_set_digest_silence (peer->memb,
                           MISSED_ROUNDS * (between_domains + inside_domain));
  return between_domains;
}

void
digest_tick (struct peer *peer)
{
  int64_t now = ctl_now_us (peer);
  if (now < peer->next_digest_us)
    return;
  peer->next_digest_us = now + far_heartbeat_us (peer) / TICK_DIVISOR;
  int64_t round = update_round (peer);
  claim_instance_id relays[MEMB_DIGEST_RELAYS] = { 0 };
  unsigned n
      = memb_list_digest_relays (peer->memb, peer->opts.conf->domain, relays);
  peer->is_digest_relay = false;
  for (unsigned i = 0; i < n; i++)
    peer->is_digest_relay
        = peer->is_digest_relay || relays[i] == peer->opts.self;
  struct digest_domain *own_domain = g_ptr_array_index (peer->domains, 0);
  bool changed = own_domain->changed;
  own_domain->changed = false;
  if (!peer->is_digest_relay)
    return;
  for (unsigned i = 1; i < peer->domains->len; i++)
    {
      struct digest_domain *domain = g_ptr_array_index (peer->domains, i);
      if (changed || now - domain->sent_us >= round)
        send_own_digest (peer, domain, now);
    }
  pass_on_digests (peer, now);
}

void
digest_on_message (struct peer *peer, claim_instance_id from,
                   const Msg__Digest *m)
{
  struct memb_member members[MSG_MAX_MEMBERS];
  for (size_t i = 0; i < m->n_id; i++)
    members[i] = (struct memb_member){
      .id = m->id[i],
      .control = { m->ip[i], (uint16_t)m->port[i] },
      .age_us = (int64_t)m->age_ms[i] * 1000,
      .epoch = m->epoch[i],
    };
  memb_on_digest (peer->memb, m->domain, members, (unsigned)m->n_id);
  for (size_t i = 0; i < m->n_owner; i++)
    memb_add_heir (peer->memb, m->owner[i], m->heir[i]);
  notes_on_revision (peer, from, m->revision);
}
