/* Announcements of leaving workers.  An instance that sees that a worker is
   leaving tells the peers of its domain, so that they send it no more tasks.
 */
#include "impl.h"

/* Interval at which all announcements are repeated, for instances that have
   started since or missed the message.  */
#define REPEAT_US 1000000

struct leaving_worker
{
  struct pl_addr addr;
  int64_t revision; /* in force when the worker was seen to leave */
};

struct leaving_item
{
  struct ctl_item base;
  struct leaving_worker leaving_worker;
};

/* Whether the announcement still holds under CONF: the worker has neither been
   removed nor been added again since it was seen to leave.  True if CONF is
   older than the announcement.  */
static bool
is_current (const struct note_conf *conf,
            const struct leaving_worker *leaving_worker)
{
  if (conf == NULL || conf->revision < leaving_worker->revision)
    return true;
  for (unsigned i = 0; i < conf->n_workers; i++)
    if (pl_addr_eq (conf->workers[i].addr, leaving_worker->addr))
      return conf->workers[i].added_revision <= leaving_worker->revision;
  return false;
}

static void
drop_outdated (struct peer *peer)
{
  struct pl_shared *shared = pl_rcu_ptr_get (peer->opts.note_conf_ptr);
  for (guint i = peer->leaving_workers->len; i-- > 0;)
    if (!is_current (
            (const struct note_conf *)shared,
            &g_array_index (peer->leaving_workers, struct leaving_worker, i)))
      g_array_remove_index_fast (peer->leaving_workers, i);
  pl_shared_unref (shared);
}

static void
send_to_domain (struct peer *peer, Msg__Envelope *e)
{
  for (unsigned i = 0; i < memb_table_count (peer->memb); i++)
    {
      const struct memb_peer *known = memb_table_get (peer->memb, i);
      if (known->state != MEMB_LEFT
          && strcmp (known->domain, peer->opts.conf->domain) == 0)
        ctl_send (peer, known->id, e);
    }
}

static void
send_leaving (struct peer *peer, guint from)
{
  uint32_t ip[MSG_MAX_WORKERS];
  uint32_t port[MSG_MAX_WORKERS];
  int64_t revision[MSG_MAX_WORKERS];
  size_t n = 0;
  for (guint i = from; i < peer->leaving_workers->len && n < MSG_MAX_WORKERS;
       i++, n++)
    {
      const struct leaving_worker *leaving_worker
          = &g_array_index (peer->leaving_workers, struct leaving_worker, i);
      ip[n] = leaving_worker->addr.ip;
      port[n] = leaving_worker->addr.port;
      revision[n] = leaving_worker->revision;
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
leaving_tick (struct peer *peer)
{
  int64_t now = ctl_now_us (peer);
  if (now - peer->leaving_sent_us < REPEAT_US)
    return;
  peer->leaving_sent_us = now;
  drop_outdated (peer);
  send_leaving (peer, 0);
}

static void
run_leaving (struct peer *peer, struct ctl_item *base)
{
  if (peer == NULL)
    return;
  g_array_append_val (peer->leaving_workers,
                      ((struct leaving_item *)base)->leaving_worker);
  send_leaving (peer, peer->leaving_workers->len - 1);
}

static void
post_leaving (struct disp_peer_ops *ops, struct pl_addr addr, int64_t revision)
{
  struct leaving_item *item = g_new0 (struct leaving_item, 1);
  item->leaving_worker
      = (struct leaving_worker){ .addr = addr, .revision = revision };
  ctl_post ((struct peer *)ops, &item->base, run_leaving);
}

void
leaving_on_message (struct peer *peer, const Msg__Leaving *m)
{
  for (size_t i = 0; i < m->n_ip; i++)
    disp_peer_reports_leaving (
        peer->disp,
        (struct pl_addr){ .ip = m->ip[i], .port = (uint16_t)m->port[i] },
        m->revision[i]);
}

void
leaving_init (struct peer *peer)
{
  peer->leaving_workers
      = g_array_new (FALSE, FALSE, sizeof (struct leaving_worker));
  peer->disp_ops.leaving = post_leaving;
}
