/* Mailboxes: a queue, and an eventfd for an owner that polls.  */
#include "pl.h"

#include <errno.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* The first call of pl_mbox_fd creates the eventfd, so that an owner that
   never polls has none.  */
struct pl_mbox
{
  GAsyncQueue *queue;
  gint fd; /* atomic; -1: none */
};

struct pl_mbox *
pl_mbox_new (void)
{
  struct pl_mbox *mbox = g_new0 (struct pl_mbox, 1);
  mbox->queue = g_async_queue_new ();
  mbox->fd = -1;
  return mbox;
}

void
pl_mbox_free (struct pl_mbox *mbox)
{
  if (mbox->fd >= 0)
    close (mbox->fd);
  g_async_queue_unref (mbox->queue);
  g_free (mbox);
}

static void
signal_fd (int fd)
{
  uint64_t one = 1;
  /* Fails only if the eventfd's counter is full, and then it is readable.  */
  ssize_t n = write (fd, &one, sizeof one);
  (void)n;
}

void
pl_mbox_post (struct pl_mbox *mbox, struct pl_mbox_item *item)
{
  g_async_queue_push (mbox->queue, item);
  int fd = g_atomic_int_get (&mbox->fd);
  if (fd >= 0)
    signal_fd (fd);
}

struct pl_mbox_item *
pl_mbox_take (struct pl_mbox *mbox, int64_t wait_us)
{
  struct pl_mbox_item *item = g_async_queue_try_pop (mbox->queue);
  if (item != NULL)
    return item;
  /* The eventfd is reset before the queue is tried again, so that an item
     posted in between leaves it readable.  */
  int fd = g_atomic_int_get (&mbox->fd);
  if (fd >= 0)
    {
      uint64_t count;
      ssize_t n = read (fd, &count, sizeof count);
      (void)n;
    }
  if (wait_us < 0)
    return g_async_queue_pop (mbox->queue);
  if (wait_us == 0)
    return g_async_queue_try_pop (mbox->queue);
  return g_async_queue_timeout_pop (mbox->queue, (guint64)wait_us);
}

int
pl_mbox_fd (struct pl_mbox *mbox)
{
  int fd = g_atomic_int_get (&mbox->fd);
  if (fd >= 0)
    return fd;
  fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (fd < 0)
    g_error ("eventfd: %s", g_strerror (errno));
  g_atomic_int_set (&mbox->fd, fd);
  /* For items that were posted before the eventfd was set.  */
  if (g_async_queue_length (mbox->queue) > 0)
    signal_fd (fd);
  return fd;
}
