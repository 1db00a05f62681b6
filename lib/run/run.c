/* The runner threads.  */
#include "run_priv.h"

#include <ne_socket.h>

/* Pushed once for each thread to end it.  */
static struct run_task end_mark;

static void
set_not_sent (struct run_result *result, const char *reason)
{
  result->status = RUN_NOT_SENT;
  result->reason = reason;
}

static void
run_one_task (struct run *run, struct run_task *task)
{
  struct run_result *result = g_new0 (struct run_result, 1);
  const char *late = run_stop_reason (run, task);
  if (late != NULL)
    set_not_sent (result, late);
  else
    {
      struct run_conn *conn = run_pool_take (run->pool, task->addr,
                                             run_connect_wait_us (run, task));
      if (conn == NULL)
        set_not_sent (result, "no free connection");
      else
        {
          run_exchange (run, conn, task, result);
          run_pool_release (run->pool, conn);
        }
    }
  run->opts.done (task, result, run->opts.user);
}

static gpointer
runner_loop (gpointer user)
{
  struct run *run = user;
  for (;;)
    {
      struct run_task *task = g_async_queue_pop (run->queue);
      if (task == &end_mark)
        return NULL;
      run_one_task (run, task);
    }
}

struct run *
run_new (const struct run_opts *opts)
{
  if (ne_sock_init () != 0)
    g_error ("neon: no sockets");
  struct run *run = g_new0 (struct run, 1);
  run->opts = *opts;
  run->queue = g_async_queue_new ();
  run->pool = run_pool_new (&run->opts);
  run->threads = g_ptr_array_new ();
  for (unsigned i = 0; i < opts->threads; i++)
    g_ptr_array_add (run->threads, g_thread_new ("run", runner_loop, run));
  run_cancel_start_threads (run);
  return run;
}

void
run_start (struct run *run, struct run_task *task)
{
  g_async_queue_push (run->queue, task);
}

void
run_free (struct run *run)
{
  for (unsigned i = 0; i < run->opts.threads; i++)
    g_async_queue_push (run->queue, &end_mark);
  for (unsigned i = 0; i < run->opts.threads; i++)
    g_thread_join (g_ptr_array_index (run->threads, i));
  run_cancel_stop_threads (run);
  run_pool_free (run->pool);
  g_async_queue_unref (run->queue);
  g_ptr_array_free (run->threads, TRUE);
  g_free (run);
}

void
run_task_free (struct run_task *task)
{
  g_free (task->kind);
  if (task->input != NULL)
    g_bytes_unref (task->input);
  g_free (task);
}

void
run_result_free (struct run_result *result)
{
  if (result->answer != NULL)
    g_bytes_unref (result->answer);
  g_free (result);
}
