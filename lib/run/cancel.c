/* Cancellations: DELETE requests that are sent by threads of their own, so
   that neither the caller of run_cancel nor a task waits for them.  */
#include "run_priv.h"

struct run_cancel_item
{
  struct pl_addr addr;
  char id[64];
};

/* Pushed once for each thread to end it.  */
static struct run_cancel_item end_mark;

static void
send_delete (struct run *run, const struct run_cancel_item *item)
{
  struct run_conn *conn = run_pool_take (run->pool, item->addr, RUN_CANCEL_US);
  if (conn == NULL)
    return;
  g_autofree char *path = g_strconcat ("/task/", item->id, NULL);
  ne_request *req = ne_request_create (conn->session, "DELETE", path);
  bool keep = false;
  if (run_conn_send (run, conn, NULL, req) == NE_OK)
    keep = ne_discard_response (req) == NE_OK && ne_end_request (req) == NE_OK;
  run_conn_finish (conn, keep);
  ne_request_destroy (req);
  run_pool_release (run->pool, conn);
}

static gpointer
cancel_loop (gpointer user)
{
  struct run *run = user;
  for (;;)
    {
      struct run_cancel_item *item = g_async_queue_pop (run->cancels);
      if (item == &end_mark)
        return NULL;
      send_delete (run, item);
      g_free (item);
    }
}

void
run_cancel (struct run *run, struct pl_addr addr, const char *id)
{
  if (g_async_queue_length (run->cancels) >= RUN_CANCEL_QUEUE)
    return;
  struct run_cancel_item *item = g_new0 (struct run_cancel_item, 1);
  item->addr = addr;
  g_strlcpy (item->id, id, sizeof item->id);
  g_async_queue_push (run->cancels, item);
}

void
run_cancel_start_threads (struct run *run)
{
  run->cancels = g_async_queue_new ();
  for (unsigned i = 0; i < RUN_CANCEL_THREADS; i++)
    run->cancel_threads[i] = g_thread_new ("run-cancel", cancel_loop, run);
}

void
run_cancel_stop_threads (struct run *run)
{
  for (unsigned i = 0; i < RUN_CANCEL_THREADS; i++)
    g_async_queue_push (run->cancels, &end_mark);
  for (unsigned i = 0; i < RUN_CANCEL_THREADS; i++)
    g_thread_join (run->cancel_threads[i]);
  g_async_queue_unref (run->cancels);
}
