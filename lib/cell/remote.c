/* Links to instances with which no heartbeats are exchanged: those of other
   failure domains in a large fleet.  A link is opened when something is to be
   sent, and closed when it has not been used for a while.  */
#include "cell_priv.h"

/* Searches of a caller's repeated requests, 1 to 3 s apart, use one link.  */
#define IDLE_US 10000000
/* Frames that wait for a link to come up.  Further ones are dropped: a search
   asks again or tells the caller to do so, and a forwarding is answered as not
   run after its next renewal.  */
#define MAX_WAITING 4096

struct remote
{
  struct pl_addr addr;
  void *link;
  bool up;
  int64_t used_us;
  GPtrArray *waiting; /* GBytes: frames, until the link is up */
};

void
cell_free_remote (void *data)
{
  struct remote *remote = data;
  g_ptr_array_unref (remote->waiting);
  g_free (remote);
}

static struct remote *
find_or_open (struct cell *cell, struct pl_addr addr)
{
  uint64_t key = cell_addr_key (addr);
  struct remote *remote = g_hash_table_lookup (cell->remotes, &key);
  if (remote != NULL)
    return remote;
  remote = g_new0 (struct remote, 1);
  remote->addr = addr;
  remote->waiting
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  g_hash_table_insert (cell->remotes, g_memdup2 (&key, sizeof key), remote);
  remote->link = cell->ops->connect (cell->ctx, addr);
  return remote;
}

static void
send_frame (struct cell *cell, const struct remote *remote, GBytes *frame)
{
  gsize len;
  const char *data = g_bytes_get_data (frame, &len);
  pl_count (PL_CTR_PEER_MESSAGES_SENT_TOTAL, 1);
  pl_count (PL_CTR_PEER_BYTES_SENT_TOTAL, (int64_t)len);
  pl_count (PL_CTR_PEER_BYTES_OTHER_DOMAIN_TOTAL, (int64_t)len);
  cell->ops->send (cell->ctx, remote->link, (struct pl_str){ data, len });
}

void
cell_send_remote (struct cell *cell, struct pl_addr addr,
                  Cellpb__Envelope *env)
{
  struct peer *peer = cell_find_peer_at (cell, addr);
  if (peer != NULL)
    {
      cell_send_to_peer (cell, peer, env);
      return;
    }
  struct remote *remote = find_or_open (cell, addr);
  remote->used_us = pl_now_us (cell->clock);
  g_autoptr (GBytes) frame = cell_pack (cell, env);
  if (remote->up)
    send_frame (cell, remote, frame);
  else if (remote->waiting->len < MAX_WAITING)
    g_ptr_array_add (remote->waiting, g_bytes_ref (frame));
}

static struct remote *
find_by_link (struct cell *cell, const void *link)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->remotes);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct remote *)value)->link == link)
      return value;
  return NULL;
}

void
cell_remote_link_up (struct cell *cell, const void *link)
{
  struct remote *remote = find_by_link (cell, link);
  if (remote == NULL)
    return;
  remote->up = true;
  for (guint i = 0; i < remote->waiting->len; i++)
    send_frame (cell, remote, g_ptr_array_index (remote->waiting, i));
  g_ptr_array_set_size (remote->waiting, 0);
}

void
cell_remote_link_down (struct cell *cell, const void *link, bool refused)
{
  struct remote *remote = find_by_link (cell, link);
  if (remote == NULL)
    return;
  remote->up = false;
  g_ptr_array_set_size (remote->waiting, 0);
  if (refused)
    cell_on_remote_refused (cell, remote->addr);
}

static void
close_remotes (struct cell *cell, int64_t used_before_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->remotes);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct remote *remote = value;
      if (remote->used_us >= used_before_us)
        continue;
      cell->ops->disconnect (cell->ctx, remote->link);
      g_hash_table_iter_remove (&it);
    }
}

void
cell_tick_remotes (struct cell *cell)
{
  close_remotes (cell, pl_now_us (cell->clock) - IDLE_US);
}

void
cell_close_remotes (struct cell *cell)
{
  close_remotes (cell, INT64_MAX);
}
