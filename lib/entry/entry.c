#include "impl.h"

static struct entry *
from_http (struct http_ops *ops)
{
  return (struct entry *)((char *)ops - offsetof (struct entry, http_ops));
}

static struct entry *
from_peer (struct peer_ops *ops)
{
  return (struct entry *)((char *)ops - offsetof (struct entry, peer_ops));
}

static struct entry *
from_feed (struct plat_feed_ops *ops)
{
  return (struct entry *)((char *)ops - offsetof (struct entry, feed_ops));
}

static void
http_request (struct http_ops *ops, const char *method, struct pl_str path,
              struct pl_str key, const struct pl_str *body, job_done_fn *done,
              void *user)
{
  entry_route (from_http (ops), false, method, path, key, body, done, user);
}

static bool
has_conf (struct entry *entry)
{
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->note_conf_ptr);
  pl_shared_unref (shared);
  return shared != NULL;
}

/* Without a configuration no prefix is issued, so that no caller waits for an
   instance that can't serve.  */
static bool
http_prefix (struct http_ops *ops, char buf[CLAIM_PREFIX_TEXT])
{
  struct entry *entry = from_http (ops);
  if (!has_conf (entry) || !entry_settled (entry))
    return false;
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->memb_view_ptr);
  if (shared == NULL)
    return false;
  memb_prefix ((struct memb_view *)shared, buf);
  pl_shared_unref (shared);
  return true;
}

static bool
http_ready (struct http_ops *ops)
{
  struct entry *entry = from_http (ops);
  g_mutex_lock (&entry->lock);
  bool draining = entry->draining;
  g_mutex_unlock (&entry->lock);
  return !draining && has_conf (entry) && entry_settled (entry);
}

static void
http_status (struct http_ops *ops, GString *out)
{
  entry_status (from_http (ops), out);
}

static void
http_drain (struct http_ops *ops)
{
  entry_drain (from_http (ops));
}

static void
peer_forwarded (struct peer_ops *ops, const char *method, struct pl_str path,
                struct pl_str key, struct pl_str body, job_done_fn *done,
                void *user)
{
  entry_route (from_peer (ops), true, method, path, key, &body, done, user);
}

static void
peer_revision (struct peer_ops *ops, int64_t revision)
{
  struct entry *entry = from_peer (ops);
  g_mutex_lock (&entry->lock);
  if (entry->feed != NULL)
    plat_feed_set_revision (entry->feed, revision);
  g_mutex_unlock (&entry->lock);
  disp_view_changed (entry->disp);
  if (revision > 0)
    pl_gauge_set (PL_CTR_REVISION_IN_FORCE, revision);
}

static void
peer_watch (struct peer_ops *ops, bool on)
{
  struct entry *entry = from_peer (ops);
  g_mutex_lock (&entry->lock);
  entry->watching = on;
  if (entry->feed != NULL)
    plat_feed_set_watching (entry->feed, on);
  g_mutex_unlock (&entry->lock);
}

static void
feed_note (struct plat_feed_ops *ops, int64_t revision, GBytes *note)
{
  peer_offer_note (from_feed (ops)->peer, revision, note);
}

static void
feed_whole (struct plat_feed_ops *ops, GBytes *document)
{
  peer_offer_whole (from_feed (ops)->peer, document);
}

static gpointer
addr_key (struct pl_addr addr)
{
  return GSIZE_TO_POINTER ((gsize)addr.ip << 16 | addr.port);
}

/* The list lags, so that "live" undoes no sign of leaving and a sign that is
   only repeated counts for nothing: the worker may have been added again.  */
static void
feed_instances (struct plat_feed_ops *ops, const struct plat_instance *list,
                unsigned n)
{
  struct entry *entry = from_feed (ops);
  GHashTable *now = g_hash_table_new (NULL, NULL);
  for (unsigned i = 0; i < n; i++)
    {
      gpointer key = addr_key (list[i].addr);
      if (!list[i].leaving && !list[i].worker)
        peer_add_seed (entry->peer, list[i].addr);
      if (!list[i].leaving || !list[i].worker)
        continue;
      g_hash_table_add (now, key);
      if (!g_hash_table_contains (entry->leaving, key))
        disp_leaving (entry->disp, list[i].addr, true);
    }
  g_hash_table_unref (entry->leaving);
  entry->leaving = now;
}

static void
feed_reachable (struct plat_feed_ops *ops, bool reachable)
{
  (void)ops;
  if (reachable)
    pl_log (PL_EV_STORE_UP, "platform=reachable");
  else
    pl_log (PL_EV_STORE_DOWN, "detail=\"the platform does not answer\"");
}

static void
set_ops (struct entry *entry)
{
  entry->http_ops = (struct http_ops){
    .request = http_request,
    .prefix = http_prefix,
    .ready = http_ready,
    .status = http_status,
    .drain = http_drain,
  };
  entry->peer_ops = (struct peer_ops){
    .forwarded = peer_forwarded,
    .revision = peer_revision,
    .watch = peer_watch,
  };
  entry->feed_ops = (struct plat_feed_ops){
    .note = feed_note,
    .whole = feed_whole,
    .instances = feed_instances,
    .reachable = feed_reachable,
  };
}

static void
start_disp (struct entry *entry)
{
  struct disp_opts opts = {
    .conf = entry->conf,
    .clock = entry->clock,
    .self = entry->self,
    .note_conf_ptr = &entry->note_conf_ptr,
    .memb_view_ptr = &entry->memb_view_ptr,
    .peers = peer_disp_ops (entry->peer),
  };
  entry->disp = disp_new (&opts);
}

static bool
start_feed (struct entry *entry, struct pl_err *err)
{
  if (entry->conf->platform[0] == '\0')
    return true;
  struct plat_feed *feed = plat_feed_new (entry->conf->platform,
                                          (int)entry->conf->leaving_poll_ms,
                                          &entry->feed_ops, err);
  if (feed == NULL)
    return false;
  g_mutex_lock (&entry->lock);
  entry->feed = feed;
  plat_feed_set_watching (feed, entry->watching);
  g_mutex_unlock (&entry->lock);
  return true;
}

struct entry *
entry_new (const struct conf *conf, struct pl_err *err)
{
  struct entry *entry = g_new0 (struct entry, 1);
  entry->conf = conf;
  entry->clock = pl_clock_real ();
  entry->self = pl_random64 ();
  entry->started_us = pl_now_us (entry->clock);
  entry_read_seeds (entry);
  g_mutex_init (&entry->lock);
  g_cond_init (&entry->drain_asked);
  entry->leaving = g_hash_table_new (NULL, NULL);
  set_ops (entry);
  struct peer_opts opts = {
    .conf = conf,
    .clock = entry->clock,
    .self = entry->self,
    .note_conf_ptr = &entry->note_conf_ptr,
    .memb_view_ptr = &entry->memb_view_ptr,
    .ops = &entry->peer_ops,
  };
  entry->peer = peer_new (&opts, err);
  if (entry->peer == NULL)
    goto fail;
  start_disp (entry);
  peer_start (entry->peer, entry->disp);
  if (!start_feed (entry, err))
    goto fail;
  entry->http = http_new (conf, &entry->http_ops, err);
  if (entry->http == NULL)
    goto fail;
  pl_log (PL_EV_START,
          "domain=%s id=%016" G_GINT64_MODIFIER "x listen=%s peer-listen=%s",
          conf->domain, entry->self, conf->listen, conf->peer_listen);
  return entry;

fail:
  if (entry->peer != NULL)
    peer_stop (entry->peer);
  if (entry->feed != NULL)
    plat_feed_free (entry->feed);
  if (entry->disp != NULL)
    disp_free (entry->disp);
  if (entry->peer != NULL)
    peer_free (entry->peer);
  g_hash_table_unref (entry->leaving);
  g_array_unref (entry->seeds);
  g_free (entry);
  return NULL;
}
