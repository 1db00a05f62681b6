/* Signs of leaving workers, repeated to the peers of the domain.  */
#include "impl.h"

/* A fresh instance and one whose message was lost learn a sign in time.  */
#define REPEAT_US 1000000

struct sign
{
  struct pl_addr addr;
  int64_t revision;
};

struct sign_item
{
  struct ctl_item base;
  struct sign sign;
};

/* Whether the configuration still has the worker as it was at the sign.  A
   sign ahead of this thread's configuration is kept.  */
static bool
is_current (const struct note_conf *conf, const struct sign *sign)
{
  if (conf == NULL || conf->revision < sign->revision)
    return true;
  for (unsigned i = 0; i < conf->n_workers; i++)
    if (pl_addr_eq (conf->workers[i].addr, sign->addr))
      return conf->workers[i].added_revision <= sign->revision;
  return false;
}

static void
forget_old (struct peer *peer)
{
  struct pl_shared *shared = pl_rcu_ptr_get (peer->opts.note_conf_ptr);
  for (guint i = peer->signs->len; i-- > 0;)
    if (!is_current ((const struct note_conf *)shared,
                     &g_array_index (peer->signs, struct sign, i)))
      g_array_remove_index_fast (peer->signs, i);
  pl_shared_unref (shared);
}

static void
send_to_domain (struct peer *peer, Msg__Envelope *e)
{
  for (unsigned i = 0; i < memb_table_count (peer->memb); i++)
    {
      const struct memb_peer *known = memb_table_peer (peer->memb, i);
      if (known->state != MEMB_LEFT
          && strcmp (known->domain, peer->opts.conf->domain) == 0)
        ctl_send (peer, known->id, e);
    }
}

static void
tell (struct peer *peer, guint from)
{
  uint32_t ip[MSG_LOTS];
  uint32_t port[MSG_LOTS];
  int64_t revision[MSG_LOTS];
  size_t n = 0;
  for (guint i = from; i < peer->signs->len && n < MSG_LOTS; i++, n++)
    {
      const struct sign *sign = &g_array_index (peer->signs, struct sign, i);
      ip[n] = sign->addr.ip;
      port[n] = sign->addr.port;
      revision[n] = sign->revision;
    }
  if (n == 0)
    return;
  Msg__Leaving m = MSG__LEAVING__INIT;
  m.n_ip = m.n_port = m.n_revision = n;
  m.ip = ip;
  m.port = port;
  m.revision = revision;
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_LEAVING;
  e.leaving = &m;
  send_to_domain (peer, &e);
}

void
signs_tick (struct peer *peer)
{
  int64_t now = ctl_now (peer);
  if (now - peer->signs_us < REPEAT_US)
    return;
  peer->signs_us = now;
  forget_old (peer);
  tell (peer, 0);
}

static void
run_sign (struct peer *peer, struct ctl_item *base)
{
  if (peer == NULL)
    return;
  g_array_append_val (peer->signs, ((struct sign_item *)base)->sign);
  tell (peer, peer->signs->len - 1);
}

static void
post_sign (struct disp_peer_ops *ops, struct pl_addr addr, int64_t revision)
{
  struct sign_item *item = g_new0 (struct sign_item, 1);
  item->sign = (struct sign){ .addr = addr, .revision = revision };
  ctl_post ((struct peer *)ops, &item->base, run_sign);
}

void
signs_message (struct peer *peer, const Msg__Leaving *m)
{
  for (size_t i = 0; i < m->n_ip; i++)
    disp_peer_reports_leaving (
        peer->disp,
        (struct pl_addr){ .ip = m->ip[i], .port = (uint16_t)m->port[i] },
        m->revision[i]);
}

void
signs_init (struct peer *peer)
{
  peer->signs = g_array_new (FALSE, FALSE, sizeof (struct sign));
  peer->disp_ops.leaving = post_sign;
}
