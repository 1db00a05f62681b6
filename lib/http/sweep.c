/* The sweeper thread: answers and closes requests whose body has not arrived
   in caller-idle-s, and closes idle connections.  */
#include "http_priv.h"

#define SWEEP_US INT64_C (100000)

static void
sweep (struct http *http)
{
  int64_t idle_limit_us
      = g_get_monotonic_time () - (int64_t)http->conf->caller_idle_s * 1000000;
  http_conn_close_idle (http, idle_limit_us);
  GPtrArray *stalled = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer p;
  g_hash_table_iter_init (&iter, http->open_requests);
  while (g_hash_table_iter_next (&iter, &p, NULL))
    {
      struct http_req *req = p;
      if (req->start_us > idle_limit_us)
        continue;
      g_atomic_ref_count_inc (&req->refs);
      g_ptr_array_add (stalled, req);
    }
  g_mutex_unlock (&http->lock);
  for (unsigned i = 0; i < stalled->len; i++)
    {
      http_req_answer_stalled (g_ptr_array_index (stalled, i));
      http_req_unref (g_ptr_array_index (stalled, i));
    }
  g_ptr_array_free (stalled, TRUE);
  g_mutex_lock (&http->lock);
}

gpointer
http_sweep_thread (gpointer user)
{
  struct http *http = user;
  g_mutex_lock (&http->lock);
  while (!http->stopping)
    {
      sweep (http);
      g_cond_wait_until (&http->open_changed, &http->lock,
                         g_get_monotonic_time () + SWEEP_US);
    }
  g_mutex_unlock (&http->lock);
  return NULL;
}
