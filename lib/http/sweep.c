/* Answers and closes requests whose body has not arrived in time, and closes
   idle connections.  */
#include "http_priv.h"

#define SWEEP_US INT64_C (100000)

static void
sweep (struct http *http)
{
  int64_t limit
      = g_get_monotonic_time () - (int64_t)http->conf->caller_idle_s * 1000000;
  http_conn_sweep (http, limit);
  GPtrArray *late = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer p;
  g_hash_table_iter_init (&iter, http->open);
  while (g_hash_table_iter_next (&iter, &p, NULL))
    {
      struct http_req *req = p;
      if (req->start_us > limit)
        continue;
      g_atomic_ref_count_inc (&req->refs);
      g_ptr_array_add (late, req);
    }
  g_mutex_unlock (&http->lock);
  for (unsigned i = 0; i < late->len; i++)
    {
      http_req_stalled (g_ptr_array_index (late, i));
      http_req_unref (g_ptr_array_index (late, i));
    }
  g_ptr_array_free (late, TRUE);
  g_mutex_lock (&http->lock);
}

gpointer
http_sweep (gpointer user)
{
  struct http *http = user;
  g_mutex_lock (&http->lock);
  while (!http->stopping)
    {
      sweep (http);
      g_cond_wait_until (&http->changed, &http->lock,
                         g_get_monotonic_time () + SWEEP_US);
    }
  g_mutex_unlock (&http->lock);
  return NULL;
}
