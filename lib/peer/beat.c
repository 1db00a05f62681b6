#include "impl.h"

#include <string.h>

#define MAX_LINKS 1024
/* Addresses in a heartbeat to a known peer; each takes 7 bytes.  Peers of
   other domains are learnt from digests.  */
#define KNOWN_NEAR 2
/* Pause after a heartbeat that found no connection.  */
#define RETRY_US 50000
/* Time for the last messages of a planned stop to reach the network.  */
#define LEAVE_LINGER_MS 200
/* A grant older than this that the peer has not seen counts as lost.  */
#define GRANT_LOST_US 2000000L

int64_t
beat_expiry (const struct peer *peer)
{
  return ctl_now (peer) + peer->opts.conf->forget_s * 1000000;
}

static bool
is_near (const struct peer *peer, const struct memb_peer *known)
{
  return strcmp (known->domain, peer->opts.conf->domain) == 0;
}

struct link *
beat_link (struct peer *peer, struct pl_addr addr, int64_t expires_us)
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
  link->beat_due = true;
  g_ptr_array_add (peer->links, link);
  return link;
}

void
beat_seeds (struct peer *peer)
{
  g_auto (GStrv) parts = g_strsplit (peer->opts.conf->peers, ",", 0);
  for (char **part = parts; *part != NULL; part++)
    {
      struct pl_addr addr;
      if (pl_addr_parse (pl_str (*part), &addr))
        beat_link (peer, addr, 0);
    }
}

/* A full list for an address that has not answered yet; less for peers of the
   own domain, whose next heartbeats carry the next addresses.  */
static void
fill_known (struct peer *peer, Msg__Heartbeat *m, const struct link *link,
            uint32_t *ip, uint32_t *port)
{
  const struct memb_peer *to = memb_table_at (peer->memb, link->addr);
  bool near = to != NULL && is_near (peer, to);
  unsigned count = memb_table_count (peer->memb);
  unsigned limit = near ? KNOWN_NEAR : MSG_KNOWN;
  for (unsigned i = 0; i < count && m->n_known_ip < limit; i++)
    {
      const struct memb_peer *known
          = memb_table_peer (peer->memb, peer->known_next++ % count);
      if (known->state != MEMB_ALIVE || (near && !is_near (peer, known)))
        continue;
      ip[m->n_known_ip++] = known->control.ip;
      port[m->n_known_port++] = known->control.port;
    }
  m->known_ip = ip;
  m->known_port = port;
}

static void
fill_remote (struct peer *peer, Msg__Heartbeat *m, struct pl_addr addr)
{
  const struct memb_peer *known = memb_table_at (peer->memb, addr);
  if (known == NULL)
    return;
  struct remote *remote = ctl_remote (peer, known->id);
  m->held = remote->held;
  m->grants_seen = remote->grants_seen;
}

static bool
send_beat (struct peer *peer, struct link *link)
{
  const struct memb_peer *self = memb_table_self (peer->memb);
  struct disp_status status = { 0 };
  uint32_t ip[MSG_KNOWN];
  uint32_t port[MSG_KNOWN];
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
  fill_remote (peer, &m, link->addr);
  m.n_inherited = memb_inherited (peer->memb, self->id, owners);
  m.inherited = owners;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.from = self->id;
  e.body_case = MSG__ENVELOPE__BODY_HEARTBEAT;
  e.heartbeat = &m;
  return link_send (link, &e, MSG_CONTROL);
}

/* The time until the next heartbeat over LINK, or -1 for none.  Live peers of
   other domains get digests instead, and lost ones heartbeats by the relays,
   so that both sides find each other when a partition ends.  */
static int64_t
interval_us (struct peer *peer, const struct link *link)
{
  const struct conf *conf = peer->opts.conf;
  const struct memb_peer *known = memb_table_at (peer->memb, link->addr);
  if (known == NULL || is_near (peer, known))
    return conf->heartbeat_ms * 1000;
  bool lost = known->state != MEMB_ALIVE && peer->is_relay;
  return lost ? conf->far_heartbeat_ms * 1000 : -1;
}

/* Whether LINK may be closed: nothing has been sent for long, and no
   heartbeats are due.  */
static bool
expired (struct peer *peer, const struct link *link, int64_t now)
{
  if (link->expires_us == 0 || now < link->expires_us)
    return false;
  const struct memb_peer *known = memb_table_at (peer->memb, link->addr);
  return known == NULL || interval_us (peer, link) < 0;
}

/* A new or reset link gets one heartbeat in any case.  */
static void
beat (struct peer *peer, struct link *link, int64_t now)
{
  int64_t interval = interval_us (peer, link);
  if (interval < 0 && !link->beat_due)
    return;
  bool sent = send_beat (peer, link);
  if (sent)
    link->beat_due = false;
  link->next_beat_us = now + (sent && interval > 0 ? interval : RETRY_US);
}

void
beat_tick (struct peer *peer)
{
  int64_t now = ctl_now (peer);
  for (unsigned i = peer->links->len; i-- > 0;)
    {
      struct link *link = g_ptr_array_index (peer->links, i);
      if (expired (peer, link, now))
        g_ptr_array_remove_index_fast (peer->links, i);
      else if (now >= link->next_beat_us)
        beat (peer, link, now);
    }
}

/* The total is passed on when the peer has seen all grants, so that a grant
   on its way is not taken for lost.  */
static void
heard_held (struct peer *peer, claim_instance_id from, const Msg__Heartbeat *m)
{
  const struct remote *remote = ctl_remote (peer, from);
  if (m->grants_seen == remote->grants_sent
      || ctl_now (peer) - remote->granted_us > GRANT_LOST_US)
    disp_slots_held (peer->disp, from, m->held);
}

bool
beat_heard (struct peer *peer, const Msg__Envelope *e)
{
  const Msg__Heartbeat *m = e->heartbeat;
  struct memb_peer said = {
    .id = e->from,
    .control = { .ip = m->ip, .port = (uint16_t)m->port },
    .draining = m->draining,
    .epoch = m->epoch,
    .witness = m->witness,
    .revision = m->revision,
  };
  g_strlcpy (said.domain, m->domain, sizeof said.domain);
  bool is_new = memb_table_find (peer->memb, e->from) == NULL;
  if (!memb_heard (peer->memb, &said))
    return false;
  int64_t expires = beat_expiry (peer);
  struct link *link = beat_link (peer, said.control, expires);
  if (is_new && link != NULL)
    {
      link->beat_due = true;
      link->next_beat_us = 0;
    }
  for (size_t i = 0; i < m->n_known_ip; i++)
    {
      struct pl_addr addr = { m->known_ip[i], (uint16_t)m->known_port[i] };
      if (memb_table_at (peer->memb, addr) == NULL)
        beat_link (peer, addr, expires);
    }
  for (size_t i = 0; i < m->n_inherited; i++)
    memb_add_heir (peer->memb, m->inherited[i], e->from);
  heard_held (peer, e->from, m);
  notes_heard (peer, e->from, m->revision);
  return true;
}

static bool
linked (const struct peer *peer, struct pl_addr addr)
{
  for (unsigned i = 0; i < peer->links->len; i++)
    {
      const struct link *link = g_ptr_array_index (peer->links, i);
      if (pl_addr_eq (link->addr, addr))
        return true;
    }
  return false;
}

/* Peers without a link learn by digests.  */
void
beat_broadcast (struct peer *peer, Msg__Envelope *envelope)
{
  for (unsigned i = 0; i < memb_table_count (peer->memb); i++)
    {
      const struct memb_peer *known = memb_table_peer (peer->memb, i);
      if (known->state != MEMB_LEFT && linked (peer, known->control))
        ctl_send (peer, known->id, envelope);
    }
}

void
beat_leave (struct peer *peer)
{
  Msg__Leave m = MSG__LEAVE__INIT;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_LEAVE;
  e.leave = &m;
  beat_broadcast (peer, &e);
  for (unsigned i = 0; i < peer->links->len; i++)
    link_linger (g_ptr_array_index (peer->links, i), LEAVE_LINGER_MS);
}
