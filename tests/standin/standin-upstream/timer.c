/* Timers of all tasks: one thread ends each task when it is due.  */
#include "standin.h"

static gint
compare_due (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct req *ra = a;
  const struct req *rb = b;
  return (ra->due_us > rb->due_us) - (ra->due_us < rb->due_us);
}

void
timer_add (struct req *req, int64_t due_us)
{
  struct standin *standin = req->worker->standin;
  req->due_us = due_us;
  req->timer
      = g_sequence_insert_sorted (standin->timers, req, compare_due, NULL);
  if (g_sequence_iter_is_begin (req->timer))
    g_cond_signal (&standin->wake);
}

void
timer_remove (struct req *req)
{
  if (req->timer != NULL)
    g_sequence_remove (req->timer);
  req->timer = NULL;
}

static void
run_timer (struct req *req)
{
  timer_remove (req);
  if (req->fault == FAULT_STALL || req->dribble_buffer != NULL)
    task_continue (req);
  else
    task_end (req);
}

gpointer
timer_loop (gpointer user)
{
  struct standin *standin = user;
  g_mutex_lock (&standin->lock);
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (standin->timers);
      if (g_sequence_iter_is_end (first))
        {
          g_cond_wait (&standin->wake, &standin->lock);
          continue;
        }
      struct req *req = g_sequence_get (first);
      if (req->due_us <= g_get_monotonic_time ())
        run_timer (req);
      else
        g_cond_wait_until (&standin->wake, &standin->lock, req->due_us);
    }
  return NULL;
}
