#include "pl.h"

#include <errno.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct pl_mbox
{
  GAsyncQueue *queue;
  int fd;
};

struct pl_mbox *
pl_mbox_new (void)
{
  struct pl_mbox *mbox = g_new0 (struct pl_mbox, 1);
  mbox->queue = g_async_queue_new ();
  mbox->fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (mbox->fd < 0)
    g_error ("eventfd: %s", g_strerror (errno));
  return mbox;
}

void
pl_mbox_free (struct pl_mbox *mbox)
{
  close (mbox->fd);
  g_async_queue_unref (mbox->queue);
  g_free (mbox);
}

void
pl_mbox_post (struct pl_mbox *mbox, struct pl_item *item)
{
  g_async_queue_push (mbox->queue, item);
  uint64_t one = 1;
  /* Fails only when the counter is full; the fd is readable then, too.  */
  ssize_t n = write (mbox->fd, &one, sizeof one);
  (void)n;
}

struct pl_item *
pl_mbox_take (struct pl_mbox *mbox, int64_t wait_us)
{
  struct pl_item *item = g_async_queue_try_pop (mbox->queue);
  if (item != NULL)
    return item;
  /* Resets the eventfd before the second look, so that an item posted in
     between leaves it readable.  */
  uint64_t count;
  ssize_t n = read (mbox->fd, &count, sizeof count);
  (void)n;
  if (wait_us < 0)
    return g_async_queue_pop (mbox->queue);
  if (wait_us == 0)
    return g_async_queue_try_pop (mbox->queue);
  return g_async_queue_timeout_pop (mbox->queue, (guint64)wait_us);
}

int
pl_mbox_fd (struct pl_mbox *mbox)
{
  return mbox->fd;
}
