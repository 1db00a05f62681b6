/* The links of the control thread and the heartbeats between peers.  Peers of
   the own domain exchange heartbeats all the time; a peer of another domain
   gets them only until it is known (see digest.c) and while it is lost.  */
#include "impl.h"

#include <string.h>

#define MAX_LINKS 1024
/* Addresses of other peers in a heartbeat to a known peer of the own domain;
   each takes 7 bytes.  Peers of other domains are learnt from digests.  */
#define MAX_KNOWN_OWN_DOMAIN 2
/* Delay before the next attempt when a heartbeat could not be sent or when no
   regular one follows.  */
#define RETRY_US 50000
/* Time for the last messages of a planned stop to reach the network.  */
#define LEAVE_LINGER_MS 200
/* A grant older than this that the peer has not acknowledged in a heartbeat
   counts as lost.  */
#define GRANT_LOST_US 2000000L

int64_t
heartbeat_link_expiry (const struct peer *peer)
{
  return ctl_now_us (peer) + peer->opts.conf->forget_s * 1000000;
}

static bool
in_own_domain (const struct peer *peer, const struct memb_peer *known)
{
  return strcmp (known->domain, peer->opts.conf->domain) == 0;
}

struct link *
heartbeat_get_link (struct peer *peer, struct pl_addr addr, int64_t expires_us)
{
  for (unsigned i = 0; i < peer->links->len; i++)
    {
      struct link *link = g_ptr_array_index (peer->links, i);
      if (!pl_addr_eq (link->addr, addr))
        continue;
      if (link->expires_us != 0)
        link->expires_us = expires_us;
      return link;
    }
  if (peer->links->len >= MAX_LINKS || pl_addr_eq (addr, peer->control))
    return NULL;
  struct link *link = link_new (peer->ctx, peer->source, addr, true);
  if (link == NULL)
    return NULL;
  link->expires_us = expires_us;
  link->heartbeat_due = true;
  g_ptr_array_add (peer->links, link);
  return link;
}

void
heartbeat_add_seeds (struct peer *peer)
{
  g_auto (GStrv) parts = g_strsplit (peer->opts.conf->peers, ",", 0);
  for (char **part = parts; *part != NULL; part++)
    {
      struct pl_addr addr;
      if (pl_addr_parse (pl_str (*part), &addr))
        heartbeat_get_link (peer, addr, 0);
    }
}

/* Adds addresses of live peers.  An address that has not answered yet gets as
   many as a heartbeat may hold, a known peer of the own domain only a few,
   since it gets the others with the next heartbeats.  */
static void
fill_known (struct peer *peer, Msg__Heartbeat *m, const struct link *link,
            uint32_t *ip, uint32_t *port)
{
  const struct memb_peer *to = memb_table_find_addr (peer->memb, link->addr);
  bool own_domain = to != NULL && in_own_domain (peer, to);
  unsigned count = memb_table_count (peer->memb);
  unsigned limit = own_domain ? MAX_KNOWN_OWN_DOMAIN : MSG_MAX_KNOWN;
  for (unsigned i = 0; i < count && m->n_known_ip < limit; i++)
    {
      const struct memb_peer *known
          = memb_table_get (peer->memb, peer->next_known++ % count);
      if (known->state != MEMB_ALIVE
          || (own_domain && !in_own_domain (peer, known)))
        continue;
      ip[m->n_known_ip++] = known->control.ip;
      port[m->n_known_port++] = known->control.port;
    }
  m->known_ip = ip;
  m->known_port = port;
}

/* Adds what this instance has borrowed from the peer at ADDR.  */
static void
fill_borrowed (struct peer *peer, Msg__Heartbeat *m, struct pl_addr addr)
{
  const struct memb_peer *known = memb_table_find_addr (peer->memb, addr);
  if (known == NULL)
    return;
  struct remote *remote = ctl_get_remote (peer, known->id);
  m->held = remote->held;
  m->grants_seen = remote->grants_seen;
}

static bool
send_heartbeat (struct peer *peer, struct link *link)
{
  const struct memb_peer *self = memb_table_self (peer->memb);
  struct disp_status status = { 0 };
  uint32_t ip[MSG_MAX_KNOWN];
  uint32_t port[MSG_MAX_KNOWN];
  claim_instance_id owners[MEMB_MAX_HEIRS];
  disp_get_status (peer->disp, &status);
  Msg__Heartbeat m = MSG__HEARTBEAT__INIT;
  m.domain = (char *)self->domain;
  m.ip = self->control.ip;
  m.port = self->control.port;
  m.epoch = self->epoch;
  m.witness = self->witness;
  m.revision = self->revision;
  m.draining = self->draining;
  m.free_slots = status.free_slots;
  fill_known (peer, &m, link, ip, port);
  fill_borrowed (peer, &m, link->addr);
  m.n_inherited = memb_list_inherited (peer->memb, self->id, owners);
  m.inherited = owners;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.from = self->id;
  e.body_case = MSG__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &m;
  return link_send (link, &e, MSG_CONTROL);
}

/* The time until the next heartbeat over LINK, or -1 for none.  Live peers of
   other domains get digests instead.  Lost ones get heartbeats from the digest
   relays, so that both sides find each other when a partition ends.  */
static int64_t
interval_us (struct peer *peer, const struct link *link)
{
  const struct conf *conf = peer->opts.conf;
  const struct memb_peer *known
      = memb_table_find_addr (peer->memb, link->addr);
  if (known == NULL || in_own_domain (peer, known))
    return conf->heartbeat_ms * 1000;
  bool lost = known->state != MEMB_ALIVE && peer->is_digest_relay;
  return lost ? conf->far_heartbeat_ms * 1000 : -1;
}

/* Whether LINK may be closed: it has not been used until its expiry, and no
   heartbeats to a known peer are due over it.  */
static bool
is_expired (struct peer *peer, const struct link *link, int64_t now)
{
  if (link->expires_us == 0 || now < link->expires_us)
    return false;
  const struct memb_peer *known
      = memb_table_find_addr (peer->memb, link->addr);
  return known == NULL || interval_us (peer, link) < 0;
}

/* A link with heartbeat_due set gets one heartbeat even if its peer gets
   digests.  */
static void
send_if_due (struct peer *peer, struct link *link, int64_t now)
{
  int64_t interval = interval_us (peer, link);
  if (interval < 0 && !link->heartbeat_due)
    return;
  bool sent = send_heartbeat (peer, link);
  if (sent)
    link->heartbeat_due = false;
  link->next_heartbeat_us = now + (sent && interval > 0 ? interval : RETRY_US);
}

void
heartbeat_tick (struct peer *peer)
{
  int64_t now = ctl_now_us (peer);
  for (unsigned i = peer->links->len; i-- > 0;)
    {
      struct link *link = g_ptr_array_index (peer->links, i);
      if (is_expired (peer, link, now))
        g_ptr_array_remove_index_fast (peer->links, i);
      else if (now >= link->next_heartbeat_us)
        send_if_due (peer, link, now);
    }
}

/* Tells dispatch how many lent slots the peer says it holds.  The count is
   used only when the peer has seen all grants; otherwise the slots of a grant
   on its way would be taken for returned.  */
static void
report_held (struct peer *peer, claim_instance_id from,
             const Msg__Heartbeat *m)
{
  const struct remote *remote = ctl_get_remote (peer, from);
  if (m->grants_seen == remote->grants_sent
      || ctl_now_us (peer) - remote->granted_us > GRANT_LOST_US)
    disp_slots_held (peer->disp, from, m->held);
}

bool
heartbeat_on_message (struct peer *peer, const Msg__Envelope *e)
{
  const Msg__Heartbeat *m = e->heartbeat;
  struct memb_peer reported = {
    .id = e->from,
    .control = { .ip = m->ip, .port = (uint16_t)m->port },
    .draining = m->draining,
    .epoch = m->epoch,
    .witness = m->witness,
    .revision = m->revision,
  };
  g_strlcpy (reported.domain, m->domain, sizeof reported.domain);
  bool is_new = memb_table_find (peer->memb, e->from) == NULL;
  if (!memb_on_heartbeat (peer->memb, &reported))
    return false;
  int64_t expires = heartbeat_link_expiry (peer);
  struct link *link = heartbeat_get_link (peer, reported.control, expires);
  if (is_new && link != NULL)
    {
      link->heartbeat_due = true;
      link->next_heartbeat_us = 0;
    }
  for (size_t i = 0; i < m->n_known_ip; i++)
    {
      struct pl_addr addr = { m->known_ip[i], (uint16_t)m->known_port[i] };
      if (memb_table_find_addr (peer->memb, addr) == NULL)
        heartbeat_get_link (peer, addr, expires);
    }
  for (size_t i = 0; i < m->n_inherited; i++)
    memb_add_heir (peer->memb, m->inherited[i], e->from);
  report_held (peer, e->from, m);
  notes_on_revision (peer, e->from, m->revision);
  return true;
}

static bool
has_link (const struct peer *peer, struct pl_addr addr)
{
  for (unsigned i = 0; i < peer->links->len; i++)
    {
      const struct link *link = g_ptr_array_index (peer->links, i);
      if (pl_addr_eq (link->addr, addr))
        return true;
    }
  return false;
}

/* Peers without a link learn the same from digests.  */
void
heartbeat_broadcast (struct peer *peer, Msg__Envelope *envelope)
{
  for (unsigned i = 0; i < memb_table_count (peer->memb); i++)
    {
      const struct memb_peer *known = memb_table_get (peer->memb, i);
      if (known->state != MEMB_LEFT && has_link (peer, known->control))
        ctl_send (peer, known->id, envelope);
    }
}

void
heartbeat_send_leave (struct peer *peer)
{
  Msg__Leave m = MSG__LEAVE__INIT;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_LEAVE;
  e.leave = &m;
  heartbeat_broadcast (peer, &e);
  for (unsigned i = 0; i < peer->links->len; i++)
    link_linger (g_ptr_array_index (peer->links, i), LEAVE_LINGER_MS);
}
