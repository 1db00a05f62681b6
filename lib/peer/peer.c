/* Setup and teardown of the links, and the effects of membership changes.  */
#include "impl.h"

#include <zmq.h>

#define MAX_SOCKETS 4096

struct seed_item
{
  struct ctl_item base;
  struct pl_addr addr;
};

static void
free_remote (gpointer data)
{
  struct remote *remote = data;
  g_ptr_array_unref (remote->permit_requests);
  g_free (remote);
}

static void
log_change (const struct memb_peer *known, enum memb_change change,
            int64_t silence_us)
{
  char addr[PL_ADDR_TEXT];
  long long silence_ms = silence_us / 1000;
  switch (change)
    {
    case MEMB_CHANGE_UP:
      pl_log (PL_EV_PEER_UP, "peer=" HEX64 " domain=%s address=%s", known->id,
              known->domain, pl_addr_text (known->control, addr));
      return;
    case MEMB_CHANGE_SUSPECT:
      pl_log (PL_EV_PEER_SUSPECT, "peer=" HEX64 " silence_ms=%lld", known->id,
              silence_ms);
      return;
    case MEMB_CHANGE_DEAD:
      pl_log (PL_EV_PEER_DEAD, "peer=" HEX64 " silence_ms=%lld", known->id,
              silence_ms);
      return;
    default:
      pl_log (PL_EV_PEER_GONE, "peer=" HEX64 " reason=%s", known->id,
              change == MEMB_CHANGE_LEFT ? "left" : "forgotten");
    }
}

static void
on_peer_lost (struct peer *peer, claim_instance_id id)
{
  permit_on_peer_lost (peer, id);
  hand_over_on_peer_lost (peer, id);
  disp_peer_lost (peer->disp, id);
}

static void
on_peer_dead (struct peer *peer, claim_instance_id id)
{
  ctl_get_remote (peer, id)->held = 0;
  disp_peer_dead (peer->disp, id);
}

static void
on_memb_change (const struct memb_peer *known, enum memb_change change,
                int64_t silence_us, void *user)
{
  struct peer *peer = user;
  log_change (known, change, silence_us);
  digest_on_change (peer, known, change);
  if (change == MEMB_CHANGE_SUSPECT || change == MEMB_CHANGE_LEFT)
    on_peer_lost (peer, known->id);
  if (change == MEMB_CHANGE_DEAD || change == MEMB_CHANGE_LEFT)
    on_peer_dead (peer, known->id);
  if (change == MEMB_CHANGE_FORGOTTEN)
    g_hash_table_remove (peer->remotes, &known->id);
}

static void
create_memb_table (struct peer *peer)
{
  const struct conf *conf = peer->opts.conf;
  long factor = conf->far_heartbeat_ms / conf->heartbeat_ms;
  struct memb_opts opts = {
    .clock = peer->opts.clock,
    .self = peer->opts.self,
    .domain = conf->domain,
    .control = peer->control,
    .suspect_us = conf->suspect_ms * 1000,
    .dead_us = conf->dead_ms * 1000,
    .far_factor = (unsigned)MAX (factor, 1),
    .forget_us = conf->forget_s * 1000000,
    .keep_us = conf->keep_s * 1000000,
    .changed = on_memb_change,
    .user = peer,
  };
  peer->memb = memb_table_new (&opts);
}

static bool
open_sockets (struct peer *peer, struct pl_err *err)
{
  const struct conf *conf = peer->opts.conf;
  if (!pl_addr_parse (pl_str (conf->peer_listen), &peer->listen))
    return pl_fail (err, PL_SETTING_INVALID,
                    "peer-listen is not an address with a port");
  peer->control = peer->listen;
  if (conf->advertise != NULL && conf->advertise[0] != '\0'
      && !pl_addr_parse (pl_str (conf->advertise), &peer->control))
    return pl_fail (err, PL_SETTING_INVALID,
                    "advertise is not an address with a port");
  peer->source = conf_source_ip (conf);
  peer->ctx = zmq_ctx_new ();
  zmq_ctx_set (peer->ctx, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
  peer->router = link_bind (peer->ctx, peer->listen, MSG_CONTROL, err);
  if (peer->router == NULL)
    return false;
  peer->relay = relay_new (peer, err);
  return peer->relay != NULL;
}

static void
close_sockets (struct peer *peer)
{
  if (peer->router != NULL)
    zmq_close (peer->router);
  if (peer->ctx != NULL)
    zmq_ctx_term (peer->ctx);
}

struct peer *
peer_new (const struct peer_opts *opts, struct pl_err *err)
{
  struct peer *peer = g_new0 (struct peer, 1);
  peer->opts = *opts;
  if (!open_sockets (peer, err))
    {
      close_sockets (peer);
      g_free (peer);
      return NULL;
    }
  peer->mbox = pl_mbox_new ();
  peer->links = g_ptr_array_new_with_free_func ((GDestroyNotify)link_free);
  peer->remotes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_remote);
  peer->watching = -1;
  digest_init (peer);
  create_memb_table (peer);
  peer->witness_table
      = claim_witness_table_new (opts->clock, opts->conf->keep_s * 1000000,
                                 (unsigned)opts->conf->keep_records);
  peer->history = note_history_new (opts->note_conf_ptr);
  permit_init (peer);
  revoke_init (peer);
  lend_init (peer);
  leaving_init (peer);
  return peer;
}

void
peer_start (struct peer *peer, struct disp *disp)
{
  peer->disp = disp;
  heartbeat_add_seeds (peer);
  relay_start (peer->relay);
  peer->thread = g_thread_new ("control", ctl_run, peer);
}

/* An item that only wakes the control thread.  */
static void
run_nothing (struct peer *peer, struct ctl_item *item)
{
  (void)peer;
  (void)item;
}

void
peer_stop (struct peer *peer)
{
  if (peer->stopped)
    return;
  peer->stopped = true;
  g_atomic_int_set (&peer->stop, 1);
  ctl_post (peer, g_new0 (struct ctl_item, 1), run_nothing);
  if (peer->thread != NULL)
    g_thread_join (peer->thread);
  if (peer->draining)
    heartbeat_send_leave (peer);
  relay_stop (peer->relay);
  hand_over_abort (peer);
  revoke_abort_all (peer);
}

void
peer_free (struct peer *peer)
{
  struct pl_mbox_item *item;
  peer_stop (peer);
  while ((item = pl_mbox_take (peer->mbox, 0)) != NULL)
    item->run (item, NULL);
  relay_free (peer->relay);
  notes_free (peer);
  g_array_unref (peer->leaving_workers);
  permit_free (peer);
  g_hash_table_unref (peer->revocations);
  g_ptr_array_unref (peer->links);
  g_ptr_array_unref (peer->domains);
  close_sockets (peer);
  g_hash_table_unref (peer->remotes);
  memb_table_free (peer->memb);
  claim_witness_table_free (peer->witness_table);
  note_history_free (peer->history);
  pl_mbox_free (peer->mbox);
  g_free (peer);
}

struct disp_peer_ops *
peer_disp_ops (struct peer *peer)
{
  return &peer->disp_ops;
}

static void
run_seed (struct peer *peer, struct ctl_item *base)
{
  struct pl_addr addr = ((struct seed_item *)base)->addr;
  if (peer != NULL && memb_table_find_addr (peer->memb, addr) == NULL)
    heartbeat_get_link (peer, addr, heartbeat_link_expiry (peer));
}

void
peer_add_seed (struct peer *peer, struct pl_addr control)
{
  struct seed_item *item = g_new0 (struct seed_item, 1);
  item->addr = control;
  ctl_post (peer, &item->base, run_seed);
}

static void
run_drain (struct peer *peer, struct ctl_item *item)
{
  (void)item;
  if (peer == NULL)
    return;
  peer->draining = true;
  for (unsigned i = 0; i < peer->links->len; i++)
    {
      struct link *link = g_ptr_array_index (peer->links, i);
      link->heartbeat_due = true;
      link->next_heartbeat_us = 0;
    }
}

void
peer_set_draining (struct peer *peer)
{
  ctl_post (peer, g_new0 (struct ctl_item, 1), run_drain);
}
