/* Links to instances of other failure domains, opened when there is something
   to send and closed when they are idle.  Between domains there are no
   heartbeats: the protocols that use these links notice losses themselves.  */
#include "cell_priv.h"

#define IDLE_US 5000000
/* What waits for the connection is dropped after this time.  */
#define WAIT_US 200000
#define MAX_WAITING 256

struct waiting_frame
{
  GBytes *frame;
  int64_t since_us;
};

struct contact
{
  struct pl_addr addr;
  void *link;
  bool up;
  int64_t used_us;
  GQueue waiting; /* struct waiting_frame, until the link is up */
};

static void
waiting_free (void *data)
{
  struct waiting_frame *waiting = data;
  g_bytes_unref (waiting->frame);
  g_free (waiting);
}

static void
contact_free (void *data)
{
  struct contact *contact = data;
  g_queue_clear_full (&contact->waiting, waiting_free);
  g_free (contact);
}

GHashTable *
cell_contacts_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                contact_free);
}

static struct contact *
find_or_open (struct cell *cell, struct pl_addr addr)
{
  uint64_t key = cell_addr_key (addr);
  struct contact *contact = g_hash_table_lookup (cell->contacts, &key);
  if (contact != NULL)
    return contact;
  contact = g_new0 (struct contact, 1);
  contact->addr = addr;
  g_queue_init (&contact->waiting);
  g_hash_table_insert (cell->contacts, g_memdup2 (&key, sizeof key), contact);
  contact->link = cell->ops->connect (cell->ctx, addr);
  return contact;
}

static void
send_frame (struct cell *cell, const struct contact *contact, GBytes *frame)
{
  gsize len;
  const char *data = g_bytes_get_data (frame, &len);
  pl_count (PL_CTR_PEER_MESSAGES_SENT_TOTAL, 1);
  pl_count (PL_CTR_PEER_BYTES_SENT_TOTAL, (int64_t)len);
  pl_count (PL_CTR_PEER_BYTES_OTHER_DOMAIN_TOTAL, (int64_t)len);
  pl_count (PL_CTR_OVERFLOW_BYTES_TOTAL, (int64_t)len);
  cell->ops->send (cell->ctx, contact->link, (struct pl_str){ data, len });
}

static void
drop_waiting (struct contact *contact, int64_t now_us)
{
  struct waiting_frame *waiting;
  while ((waiting = g_queue_peek_head (&contact->waiting)) != NULL
         && now_us - waiting->since_us > WAIT_US)
    waiting_free (g_queue_pop_head (&contact->waiting));
}

void
cell_send_to_contact (struct cell *cell, struct pl_addr addr,
                      Cellpb__Envelope *env)
{
  /* An instance that is a peer as well is sent all on one link: a second one
     would supersede it.  */
  struct peer *peer = cell_find_peer_at (cell, addr);
  if (peer != NULL)
    {
      cell_send_to_peer (cell, peer, env);
      return;
    }
  int64_t now_us = pl_now_us (cell->clock);
  struct contact *contact = find_or_open (cell, addr);
  contact->used_us = now_us;
  GBytes *frame = cell_pack (cell, env);
  if (contact->up)
    {
      send_frame (cell, contact, frame);
      g_bytes_unref (frame);
      return;
    }
  drop_waiting (contact, now_us);
  if (contact->waiting.length >= MAX_WAITING)
    {
      g_bytes_unref (frame);
      return;
    }
  struct waiting_frame *waiting = g_new (struct waiting_frame, 1);
  *waiting = (struct waiting_frame){ frame, now_us };
  g_queue_push_tail (&contact->waiting, waiting);
}

static struct contact *
find_by_link (const struct cell *cell, const void *link)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->contacts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (((struct contact *)value)->link == link)
      return value;
  return NULL;
}

void
cell_note_contact (struct cell *cell, const void *link, bool up)
{
  struct contact *contact = find_by_link (cell, link);
  if (contact == NULL)
    return;
  contact->up = up;
  if (!up)
    return;
  drop_waiting (contact, pl_now_us (cell->clock));
  struct waiting_frame *waiting;
  while ((waiting = g_queue_pop_head (&contact->waiting)) != NULL)
    {
      send_frame (cell, contact, waiting->frame);
      waiting_free (waiting);
    }
}

void
cell_tick_contacts (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->contacts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct contact *contact = value;
      bool is_peer = cell_find_peer_at (cell, contact->addr) != NULL;
      if (!is_peer && now_us - contact->used_us <= IDLE_US)
        continue;
      cell->ops->disconnect (cell->ctx, contact->link);
      g_hash_table_iter_remove (&it);
    }
}

void
cell_close_contacts (struct cell *cell)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, cell->contacts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    cell->ops->disconnect (cell->ctx, ((struct contact *)value)->link);
  g_hash_table_remove_all (cell->contacts);
}
