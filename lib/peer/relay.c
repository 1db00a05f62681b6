/* The relay thread.  It forwards requests of callers to the instance that owns
   their key and returns the replies, and it hands requests forwarded by peers
   to the rest of this instance.  */
#include "impl.h"

#include <string.h>
#include <zmq.h>

#define MAX_PENDING_FORWARDS 8192
#define MAX_INBOUND_FORWARDS 8192
#define MAX_LINKS 1024
#define POLL_MS 100
#define POLL_BUSY_MS 5L /* while forwards may time out */
#define MAX_MESSAGES_PER_TURN 256
/* A link to another domain that has carried no message for this time is closed
   at the next change of the membership view.  */
#define FAR_IDLE_US 60000000L

struct relay
{
  struct peer *peer;
  void *router;
  struct relay_inbox *inbox;
  GThread *thread;
  gint stop;           /* atomic */
  GPtrArray *links;    /* struct link, to relay ports */
  GHashTable *pending; /* struct forward by id */
  uint64_t next_id;
  int64_t next_expiry_us; /* next check for forwards that have timed out */
  struct memb_view *view; /* null: none published yet */
};

/* What other threads use of the relay.  Handlers of forwarded requests hold
   references, so it may outlive the relay.  */
struct relay_inbox
{
  gatomicrefcount refs;
  struct pl_mbox *mbox;
  gint n_inbound; /* atomic: peers' requests that wait for a reply */
};

/* A request that this instance forwards to the owner of its key.  */
struct forward
{
  struct pl_mbox_item base;
  uint64_t id;
  claim_instance_id owner;
  Msg__Method method;
  GBytes *path;
  GBytes *key;
  GBytes *body;
  int64_t deadline_us;
  job_done_fn *done;
  void *user;
};

/* A request forwarded by a peer that this instance is handling.  */
struct inbound
{
  struct pl_mbox_item base;
  struct relay_inbox *inbox;
  claim_instance_id from;
  uint64_t id;
  struct job_reply *reply;
};

static const char *const method_names[]
    = { [MSG__METHOD__METHOD_POST] = "POST",
        [MSG__METHOD__METHOD_GET] = "GET",
        [MSG__METHOD__METHOD_DELETE] = "DELETE" };

static void
inbox_unref (struct relay_inbox *inbox)
{
  if (!g_atomic_ref_count_dec (&inbox->refs))
    return;
  struct pl_mbox_item *item;
  while ((item = pl_mbox_take (inbox->mbox, 0)) != NULL)
    item->run (item, NULL);
  pl_mbox_free (inbox->mbox);
  g_free (inbox);
}

static void
end_forward (struct forward *forward, struct job_reply *reply)
{
  forward->done (reply, forward->user);
  g_bytes_unref (forward->path);
  g_bytes_unref (forward->key);
  g_bytes_unref (forward->body);
  g_free (forward);
}

static struct pl_addr
relay_addr (struct pl_addr control)
{
  control.port++;
  return control;
}

/* The link to the relay of peer ID, created on first use; null if ID is not
   alive or there are too many links.  */
static struct link *
get_link (struct relay *relay, claim_instance_id id)
{
  const struct memb_peer *known
      = relay->view == NULL ? NULL : memb_find (relay->view, id);
  if (known == NULL || known->state != MEMB_ALIVE
      || id == relay->peer->opts.self)
    return NULL;
  struct pl_addr addr = relay_addr (known->control);
  for (unsigned i = 0; i < relay->links->len; i++)
    {
      struct link *link = g_ptr_array_index (relay->links, i);
      if (pl_addr_eq (link->addr, addr))
        return link;
    }
  if (relay->links->len >= MAX_LINKS)
    return NULL;
  struct link *link
      = link_new (relay->peer->ctx, relay->peer->source, addr, false);
  if (link != NULL)
    g_ptr_array_add (relay->links, link);
  return link;
}

static bool
send_to (struct relay *relay, claim_instance_id to, Msg__Envelope *e)
{
  struct link *link = get_link (relay, to);
  if (link != NULL)
    link->expires_us = ctl_now_us (relay->peer) + FAR_IDLE_US;
  e->from = relay->peer->opts.self;
  e->to = to;
  return link != NULL && link_send (link, e, MSG_RELAY);
}

static ProtobufCBinaryData
binary_of (GBytes *bytes)
{
  ProtobufCBinaryData data;
  data.data = (uint8_t *)g_bytes_get_data (bytes, &data.len);
  return data;
}

static void
run_forward (struct pl_mbox_item *base, void *owner)
{
  struct forward *forward = (struct forward *)base;
  struct relay *relay = owner;
  if (relay == NULL
      || g_hash_table_size (relay->pending) >= MAX_PENDING_FORWARDS)
    {
      end_forward (forward, NULL);
      return;
    }
  forward->id = ++relay->next_id;
  Msg__Forward m = MSG__FORWARD__INIT;
  m.id = forward->id;
  m.method = forward->method;
  m.path = binary_of (forward->path);
  m.key = binary_of (forward->key);
  m.body = binary_of (forward->body);
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_FORWARD;
  e.forward = &m;
  if (send_to (relay, forward->owner, &e))
    g_hash_table_insert (relay->pending, &forward->id, forward);
  else
    end_forward (forward, NULL);
}

static Msg__Method
parse_method (const char *name)
{
  for (unsigned i = 1; i < G_N_ELEMENTS (method_names); i++)
    if (strcmp (method_names[i], name) == 0)
      return (Msg__Method)i;
  return MSG__METHOD__METHOD_NONE;
}

void
peer_forward (struct peer *peer, claim_instance_id owner, const char *method,
              struct pl_str path, struct pl_str key, struct pl_str body,
              int64_t timeout_ms, job_done_fn *done, void *user)
{
  struct forward *forward = g_new0 (struct forward, 1);
  forward->base.run = run_forward;
  forward->owner = owner;
  forward->method = parse_method (method);
  forward->path = g_bytes_new (path.data, path.len);
  forward->key = g_bytes_new (key.data, key.len);
  forward->body = g_bytes_new (body.data, body.len);
  forward->deadline_us = ctl_now_us (peer) + timeout_ms * 1000;
  forward->done = done;
  forward->user = user;
  pl_mbox_post (peer->relay->inbox->mbox, &forward->base);
}

static void
send_reply (struct relay *relay, const struct inbound *inbound)
{
  Msg__ForwardReply m = MSG__FORWARD_REPLY__INIT;
  m.id = inbound->id;
  m.code = (uint32_t)inbound->reply->code;
  m.retry_after_ms = inbound->reply->retry_after_ms;
  m.body = binary_of (inbound->reply->body);
  Msg__Envelope e = MSG__ENVELOPE__INIT;
  e.body_case = MSG__ENVELOPE__BODY_FORWARD_REPLY;
  e.forward_reply = &m;
  send_to (relay, inbound->from, &e);
}

static void
run_reply (struct pl_mbox_item *base, void *owner)
{
  struct inbound *inbound = (struct inbound *)base;
  if (owner != NULL)
    send_reply (owner, inbound);
  job_reply_unref (inbound->reply);
  g_free (inbound);
}

/* Called by the handler of a forwarded request, on any thread.  */
static void
on_handled (struct job_reply *reply, void *user)
{
  struct inbound *inbound = user;
  struct relay_inbox *inbox = inbound->inbox;
  g_atomic_int_add (&inbox->n_inbound, -1);
  inbound->reply = job_reply_ref (reply);
  inbound->base.run = run_reply;
  pl_mbox_post (inbox->mbox, &inbound->base);
  inbox_unref (inbox);
}

static struct pl_str
str_of (ProtobufCBinaryData data)
{
  return (struct pl_str){ .data = (const char *)data.data, .len = data.len };
}

static void
on_forward (struct relay *relay, claim_instance_id from, const Msg__Forward *m)
{
  struct peer_ops *ops = relay->peer->opts.ops;
  if (g_atomic_int_get (&relay->inbox->n_inbound) >= MAX_INBOUND_FORWARDS)
    {
      link_report_drop (from, "too many forwards", m->body.len);
      return;
    }
  struct inbound *inbound = g_new0 (struct inbound, 1);
  inbound->inbox = relay->inbox;
  inbound->from = from;
  inbound->id = m->id;
  g_atomic_ref_count_inc (&relay->inbox->refs);
  g_atomic_int_add (&relay->inbox->n_inbound, 1);
  ops->handle_forward (ops, method_names[m->method], str_of (m->path),
                       str_of (m->key), str_of (m->body), on_handled, inbound);
}

static void
on_reply (struct relay *relay, claim_instance_id from,
          const Msg__ForwardReply *m)
{
  struct forward *forward = g_hash_table_lookup (relay->pending, &m->id);
  if (forward == NULL || forward->owner != from)
    return; /* the forward has timed out, or FROM is not its owner */
  g_hash_table_steal (relay->pending, &m->id);
  GBytes *body = g_bytes_new (m->body.data, m->body.len);
  struct job_reply *reply
      = job_reply_wrap ((enum pl_code)m->code, m->retry_after_ms, body);
  end_forward (forward, reply);
  job_reply_unref (reply);
}

/* True if E comes from a known peer that has not left and is addressed to this
   incarnation, not to a former one at the same address.  */
static bool
is_current (const struct relay *relay, const Msg__Envelope *e)
{
  const struct memb_peer *known
      = relay->view == NULL ? NULL : memb_find (relay->view, e->from);
  return e->to == relay->peer->opts.self && e->from != e->to && known != NULL
         && known->state != MEMB_LEFT;
}

static void
receive (struct relay *relay)
{
  for (int i = 0; i < MAX_MESSAGES_PER_TURN; i++)
    {
      Msg__Envelope *e = NULL;
      enum link_recv_result got = link_recv (relay->router, MSG_RELAY, &e);
      if (got == LINK_EMPTY)
        return;
      if (got == LINK_BAD)
        continue;
      if (!is_current (relay, e))
        link_report_drop (e->from, "stale", 0);
      else if (e->body_case == MSG__ENVELOPE__BODY_FORWARD)
        on_forward (relay, e->from, e->forward);
      else
        on_reply (relay, e->from, e->forward_reply);
      msg_free (e);
    }
}

/* Ends forwards that have timed out or whose owner is not alive any more.  */
static void
expire_forwards (struct relay *relay)
{
  int64_t now = ctl_now_us (relay->peer);
  GHashTableIter iter;
  struct forward *forward;
  g_hash_table_iter_init (&iter, relay->pending);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&forward))
    {
      const struct memb_peer *owner = memb_find (relay->view, forward->owner);
      if (now < forward->deadline_us && owner != NULL
          && owner->state == MEMB_ALIVE)
        continue;
      g_hash_table_iter_steal (&iter);
      end_forward (forward, NULL);
    }
}

static bool
in_own_domain (const struct relay *relay, const struct memb_peer *known)
{
  return strcmp (known->domain, relay->view->self.domain) == 0;
}

static bool
is_in_use (const struct relay *relay, const struct link *link)
{
  int64_t now = ctl_now_us (relay->peer);
  for (unsigned i = 0; i < relay->view->n_peers; i++)
    {
      const struct memb_peer *known = &relay->view->peers[i];
      if (known->state == MEMB_ALIVE
          && pl_addr_eq (relay_addr (known->control), link->addr))
        return in_own_domain (relay, known) || now < link->expires_us
               || g_hash_table_size (relay->pending) > 0;
    }
  return false;
}

/* Takes over the published view.  Closing the link to a lost peer drops the
   messages queued in it; otherwise a forward could arrive after its caller has
   been told that it is lost.  */
static void
update_view (struct relay *relay)
{
  if (relay->view != NULL)
    pl_shared_unref (&relay->view->base);
  relay->view
      = (struct memb_view *)pl_rcu_ptr_get (relay->peer->opts.memb_view_ptr);
  if (relay->view == NULL)
    return;
  for (unsigned i = relay->links->len; i-- > 0;)
    if (!is_in_use (relay, g_ptr_array_index (relay->links, i)))
      g_ptr_array_remove_index_fast (relay->links, i);
  for (unsigned i = 0; i < relay->view->n_peers; i++)
    if (in_own_domain (relay, &relay->view->peers[i]))
      get_link (relay, relay->view->peers[i].id);
  expire_forwards (relay);
}

static void
run_view (struct pl_mbox_item *item, void *owner)
{
  if (owner != NULL)
    update_view (owner);
  g_free (item);
}

void
relay_view_changed (struct relay *relay)
{
  struct pl_mbox_item *item = g_new0 (struct pl_mbox_item, 1);
  item->run = run_view;
  pl_mbox_post (relay->inbox->mbox, item);
}

static gpointer
relay_run (gpointer user)
{
  struct relay *relay = user;
  zmq_pollitem_t polled[] = {
    { .socket = relay->router, .events = ZMQ_POLLIN },
    { .fd = pl_mbox_fd (relay->inbox->mbox), .events = ZMQ_POLLIN },
  };
  while (!g_atomic_int_get (&relay->stop))
    {
      struct pl_mbox_item *item;
      while ((item = pl_mbox_take (relay->inbox->mbox, 0)) != NULL)
        item->run (item, relay);
      receive (relay);
      bool busy = g_hash_table_size (relay->pending) > 0;
      int64_t now = ctl_now_us (relay->peer);
      if (busy && now >= relay->next_expiry_us)
        {
          relay->next_expiry_us = now + POLL_BUSY_MS * 1000;
          expire_forwards (relay);
        }
      zmq_poll (polled, G_N_ELEMENTS (polled), busy ? POLL_BUSY_MS : POLL_MS);
    }
  return NULL;
}

struct relay *
relay_new (struct peer *peer, struct pl_err *err)
{
  void *router
      = link_bind (peer->ctx, relay_addr (peer->listen), MSG_RELAY, err);
  if (router == NULL)
    return NULL;
  struct relay *relay = g_new0 (struct relay, 1);
  relay->peer = peer;
  relay->router = router;
  relay->inbox = g_new0 (struct relay_inbox, 1);
  g_atomic_ref_count_init (&relay->inbox->refs);
  relay->inbox->mbox = pl_mbox_new ();
  relay->links = g_ptr_array_new_with_free_func ((GDestroyNotify)link_free);
  relay->pending = g_hash_table_new (g_int64_hash, g_int64_equal);
  return relay;
}

void
relay_start (struct relay *relay)
{
  relay->thread = g_thread_new ("relay", relay_run, relay);
}

void
relay_stop (struct relay *relay)
{
  g_atomic_int_set (&relay->stop, 1);
  relay_view_changed (relay); /* wakes the thread */
  if (relay->thread != NULL)
    g_thread_join (relay->thread);
  GHashTableIter iter;
  struct forward *forward;
  g_hash_table_iter_init (&iter, relay->pending);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&forward))
    end_forward (forward, NULL);
  g_hash_table_remove_all (relay->pending);
}

void
relay_free (struct relay *relay)
{
  g_hash_table_unref (relay->pending);
  g_ptr_array_unref (relay->links);
  zmq_close (relay->router);
  if (relay->view != NULL)
    pl_shared_unref (&relay->view->base);
  inbox_unref (relay->inbox);
  g_free (relay);
}
