/* Creates an entry instance and connects its modules: here are the callbacks
   of the HTTP server, the control thread and the platform feed.  */
#include "impl.h"

static struct entry *
entry_from_http (struct http_ops *ops)
{
  return (struct entry *)((char *)ops - offsetof (struct entry, http_ops));
}

static struct entry *
entry_from_peer (struct peer_ops *ops)
{
  return (struct entry *)((char *)ops - offsetof (struct entry, peer_ops));
}

static struct entry *
entry_from_feed (struct plat_feed_ops *ops)
{
  return (struct entry *)((char *)ops - offsetof (struct entry, feed_ops));
}

static void
on_http_request (struct http_ops *ops, const char *method, struct pl_str path,
                 struct pl_str key, const struct pl_str *body,
                 job_done_fn *done, void *user)
{
  entry_route (entry_from_http (ops), false, method, path, key, body, done,
               user);
}

static bool
has_conf (struct entry *entry)
{
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->note_conf_ptr);
  pl_shared_unref (shared);
  return shared != NULL;
}

/* Without a configuration no prefix is issued, so that no caller waits for an
   instance that can't run its job.  */
static bool
on_http_prefix (struct http_ops *ops, char buf[CLAIM_PREFIX_TEXT])
{
  struct entry *entry = entry_from_http (ops);
  if (!has_conf (entry) || !entry_knows_peers (entry))
    return false;
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->memb_view_ptr);
  if (shared == NULL)
    return false;
  memb_prefix_text ((struct memb_view *)shared, buf);
  pl_shared_unref (shared);
  return true;
}

static bool
on_http_ready (struct http_ops *ops)
{
  struct entry *entry = entry_from_http (ops);
  g_mutex_lock (&entry->lock);
  bool draining = entry->draining;
  g_mutex_unlock (&entry->lock);
  return !draining && has_conf (entry) && entry_knows_peers (entry);
}

static void
on_http_status (struct http_ops *ops, GString *out)
{
  entry_append_status (entry_from_http (ops), out);
}

static void
on_http_drain (struct http_ops *ops)
{
  entry_drain (entry_from_http (ops));
}

static void
on_peer_forward (struct peer_ops *ops, const char *method, struct pl_str path,
                 struct pl_str key, struct pl_str body, job_done_fn *done,
                 void *user)
{
  entry_route (entry_from_peer (ops), true, method, path, key, &body, done,
               user);
}

static void
on_peer_revision (struct peer_ops *ops, int64_t revision)
{
  struct entry *entry = entry_from_peer (ops);
  g_mutex_lock (&entry->lock);
  if (entry->feed != NULL)
    plat_feed_set_revision (entry->feed, revision);
  g_mutex_unlock (&entry->lock);
  disp_view_changed (entry->disp);
  if (revision > 0)
    pl_gauge_set (PL_CTR_REVISION_IN_FORCE, revision);
}

static void
on_peer_set_watching (struct peer_ops *ops, bool on)
{
  struct entry *entry = entry_from_peer (ops);
  g_mutex_lock (&entry->lock);
  entry->watching = on;
  if (entry->feed != NULL)
    plat_feed_set_watching (entry->feed, on);
  g_mutex_unlock (&entry->lock);
}

static void
on_feed_note (struct plat_feed_ops *ops, int64_t revision, GBytes *note)
{
  peer_offer_note (entry_from_feed (ops)->peer, revision, note);
}

static void
on_feed_snapshot (struct plat_feed_ops *ops, GBytes *document)
{
  peer_offer_snapshot (entry_from_feed (ops)->peer, document);
}

static gpointer
worker_key (struct pl_addr addr)
{
  return GSIZE_TO_POINTER ((gsize)addr.ip << 16 | addr.port);
}

/* Reports each worker that the list newly calls leaving.  The list may be out
   of date, so "live" does not revoke a report, and a worker that was "leaving"
   when the list was last read is not reported again: the configuration may
   have added it again since.  */
static void
on_feed_instances (struct plat_feed_ops *ops, const struct plat_instance *list,
                   unsigned n)
{
  struct entry *entry = entry_from_feed (ops);
  GHashTable *leaving_now = g_hash_table_new (NULL, NULL);
  for (unsigned i = 0; i < n; i++)
    {
      gpointer key = worker_key (list[i].addr);
      if (!list[i].leaving && !list[i].worker)
        peer_add_seed (entry->peer, list[i].addr);
      if (!list[i].leaving || !list[i].worker)
        continue;
      g_hash_table_add (leaving_now, key);
      if (!g_hash_table_contains (entry->leaving_workers, key))
        disp_worker_leaving (entry->disp, list[i].addr, true);
    }
  g_hash_table_unref (entry->leaving_workers);
  entry->leaving_workers = leaving_now;
}

static void
on_feed_reachable (struct plat_feed_ops *ops, bool reachable)
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
    .handle_request = on_http_request,
    .get_prefix = on_http_prefix,
    .is_ready = on_http_ready,
    .append_status = on_http_status,
    .drain = on_http_drain,
  };
  entry->peer_ops = (struct peer_ops){
    .handle_forward = on_peer_forward,
    .revision = on_peer_revision,
    .set_watching = on_peer_set_watching,
  };
  entry->feed_ops = (struct plat_feed_ops){
    .note = on_feed_note,
    .snapshot = on_feed_snapshot,
    .instances = on_feed_instances,
    .reachable = on_feed_reachable,
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

void
entry_free (struct entry *entry)
{
  g_hash_table_unref (entry->leaving_workers);
  g_array_unref (entry->seeds);
  pl_rcu_ptr_publish (&entry->note_conf_ptr, NULL);
  pl_rcu_ptr_publish (&entry->memb_view_ptr, NULL);
  g_mutex_clear (&entry->lock);
  g_cond_clear (&entry->drain_requested);
  g_free (entry);
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
  g_cond_init (&entry->drain_requested);
  entry->leaving_workers = g_hash_table_new (NULL, NULL);
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
  entry_free (entry);
  return NULL;
}
