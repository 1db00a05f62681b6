/* The connections to all upstreams, and the watchdog: a thread that shuts a
   connection down at the time limit of its request and closes idle ones.  */
#include "run_priv.h"

#include <string.h>
#include <sys/socket.h>

/* The watchdog sleeps until the next limit, but at least MIN_CHECK_US, by
   which a limit may be overrun, and at most MAX_CHECK_US.  */
#define MIN_CHECK_US INT64_C (10000)
#define MAX_CHECK_US INT64_C (1000000)

static guint
addr_hash (gconstpointer key)
{
  const struct pl_addr *a = key;
  return a->ip * 2654435761U ^ a->port;
}

static gboolean
addr_equal (gconstpointer a, gconstpointer b)
{
  return pl_addr_eq (*(const struct pl_addr *)a, *(const struct pl_addr *)b);
}

static void
upstream_free (gpointer p)
{
  struct run_upstream *upstream = p;
  for (unsigned i = 0; i < upstream->conns->len; i++)
    run_conn_free (g_ptr_array_index (upstream->conns, i));
  g_ptr_array_free (upstream->conns, TRUE);
  g_queue_clear (&upstream->idle);
  g_free (upstream);
}

static struct run_upstream *
get_upstream (struct run_pool *pool, struct pl_addr addr)
{
  struct run_upstream *upstream = g_hash_table_lookup (pool->upstreams, &addr);
  if (upstream != NULL)
    return upstream;
  upstream = g_new0 (struct run_upstream, 1);
  upstream->addr = addr;
  g_queue_init (&upstream->idle);
  upstream->conns = g_ptr_array_new ();
  g_hash_table_insert (pool->upstreams, &upstream->addr, upstream);
  return upstream;
}

/* Moves the connections of UPSTREAM that have been idle for too long to
   TO_CLOSE.  They count as connections until they are closed.  Returns the
   time at which the next one must be closed, at most UNTIL.  */
static int64_t
collect_idle (struct run_pool *pool, struct run_upstream *upstream,
              int64_t now, GPtrArray *to_close, int64_t until)
{
  for (;;)
    {
      struct run_conn *conn = g_queue_peek_tail (&upstream->idle);
      if (conn == NULL)
        return until;
      int64_t close_at_us
          = conn->idle_since_us + (int64_t)pool->opts->idle_ms * 1000;
      if (now < close_at_us)
        return MIN (until, close_at_us);
      g_queue_pop_tail (&upstream->idle);
      g_ptr_array_add (to_close, conn);
    }
}

/* Cuts the connections of UPSTREAM whose limit has passed.  Returns the next
   limit, at most UNTIL.  */
static int64_t
cut_overdue (struct run_upstream *upstream, int64_t now, int64_t until)
{
  for (unsigned i = 0; i < upstream->conns->len; i++)
    {
      struct run_conn *conn = g_ptr_array_index (upstream->conns, i);
      if (conn->limit_us == 0)
        continue;
      /* A connection whose socket is not known yet is checked again.  */
      if (now < conn->limit_us || conn->fd < 0)
        {
          until = MIN (until, conn->limit_us);
          continue;
        }
      /* Before the shutdown, which wakes the runner that reads CUT.  */
      g_atomic_int_set (&conn->cut, 1);
      conn->limit_us = 0;
      shutdown (conn->fd, SHUT_RDWR);
    }
  return until;
}

/* Closes and frees the connections of TO_CLOSE.  Releases the lock meanwhile,
   since a close may block.  */
static void
close_conns (struct run_pool *pool, GPtrArray *to_close)
{
  if (to_close->len == 0)
    return;
  g_mutex_unlock (&pool->lock);
  for (unsigned i = 0; i < to_close->len; i++)
    run_conn_close (pool, g_ptr_array_index (to_close, i));
  g_mutex_lock (&pool->lock);
  for (unsigned i = 0; i < to_close->len; i++)
    {
      struct run_conn *conn = g_ptr_array_index (to_close, i);
      g_ptr_array_remove_fast (conn->upstream->conns, conn);
      run_conn_free (conn);
    }
  g_ptr_array_set_size (to_close, 0);
  g_cond_broadcast (&pool->conn_freed);
}

static gpointer
watchdog_loop (gpointer user)
{
  struct run_pool *pool = user;
  GPtrArray *to_close = g_ptr_array_new ();
  g_mutex_lock (&pool->lock);
  while (!pool->stopping)
    {
      int64_t now = pl_now_us (pool->opts->clock);
      int64_t until = now + MAX_CHECK_US;
      GHashTableIter iter;
      gpointer upstream;
      g_hash_table_iter_init (&iter, pool->upstreams);
      while (g_hash_table_iter_next (&iter, NULL, &upstream))
        {
          until = cut_overdue (upstream, now, until);
          until = collect_idle (pool, upstream, now, to_close, until);
        }
      pool->next_check_us = MAX (until, now + MIN_CHECK_US);
      /* A limit that is set while close_conns has released the lock wakes
         nobody, so the next check comes early.  */
      if (to_close->len > 0)
        pool->next_check_us = now + MIN_CHECK_US;
      close_conns (pool, to_close);
      g_cond_wait_until (&pool->wake_watchdog, &pool->lock,
                         g_get_monotonic_time () + pool->next_check_us - now);
    }
  g_mutex_unlock (&pool->lock);
  g_ptr_array_free (to_close, TRUE);
  return NULL;
}

struct run_pool *
run_pool_new (const struct run_opts *opts)
{
  struct run_pool *pool = g_new0 (struct run_pool, 1);
  pool->opts = opts;
  g_mutex_init (&pool->lock);
  g_cond_init (&pool->conn_freed);
  g_cond_init (&pool->wake_watchdog);
  pool->upstreams
      = g_hash_table_new_full (addr_hash, addr_equal, NULL, upstream_free);
  pool->watchdog = g_thread_new ("run-watch", watchdog_loop, pool);
  return pool;
}

void
run_pool_free (struct run_pool *pool)
{
  g_mutex_lock (&pool->lock);
  pool->stopping = true;
  g_cond_signal (&pool->wake_watchdog);
  g_mutex_unlock (&pool->lock);
  g_thread_join (pool->watchdog);
  g_hash_table_destroy (pool->upstreams);
  g_mutex_clear (&pool->lock);
  g_cond_clear (&pool->conn_freed);
  g_cond_clear (&pool->wake_watchdog);
  g_free (pool);
}

struct run_conn *
run_pool_take (struct run_pool *pool, struct pl_addr addr, int64_t wait_us)
{
  int64_t until = g_get_monotonic_time () + wait_us;
  g_mutex_lock (&pool->lock);
  struct run_upstream *upstream = get_upstream (pool, addr);
  struct run_conn *conn = g_queue_pop_head (&upstream->idle);
  while (conn == NULL && upstream->conns->len >= pool->opts->connections)
    {
      if (!g_cond_wait_until (&pool->conn_freed, &pool->lock, until))
        break;
      conn = g_queue_pop_head (&upstream->idle);
    }
  if (conn == NULL && upstream->conns->len < pool->opts->connections)
    {
      conn = run_conn_new (upstream, pool->opts);
      g_ptr_array_add (upstream->conns, conn);
    }
  g_mutex_unlock (&pool->lock);
  return conn;
}

void
run_pool_release (struct run_pool *pool, struct run_conn *conn)
{
  struct run_upstream *upstream = conn->upstream;
  g_mutex_lock (&pool->lock);
  bool keep = conn->alive;
  if (keep)
    g_queue_push_head (&upstream->idle, conn);
  else
    g_ptr_array_remove_fast (upstream->conns, conn);
  g_cond_broadcast (&pool->conn_freed);
  g_mutex_unlock (&pool->lock);
  if (!keep)
    run_conn_free (conn);
}

bool
run_pool_begin_connect (struct run_pool *pool, struct run_upstream *upstream,
                        int64_t wait_us)
{
  int64_t until = g_get_monotonic_time () + wait_us;
  g_mutex_lock (&pool->lock);
  bool in_time = true;
  while (upstream->connecting && in_time)
    in_time = g_cond_wait_until (&pool->conn_freed, &pool->lock, until);
  bool got_turn = !upstream->connecting;
  if (got_turn)
    upstream->connecting = true;
  g_mutex_unlock (&pool->lock);
  return got_turn;
}

void
run_pool_end_connect (struct run_pool *pool, struct run_upstream *upstream)
{
  g_mutex_lock (&pool->lock);
  upstream->connecting = false;
  g_cond_broadcast (&pool->conn_freed);
  g_mutex_unlock (&pool->lock);
}

void
run_pool_set_limit (struct run_pool *pool, struct run_conn *conn,
                    int64_t limit_us, const char *reason)
{
  g_mutex_lock (&pool->lock);
  conn->limit_us = limit_us;
  conn->limit_reason = reason;
  if (limit_us != 0 && limit_us < pool->next_check_us - MIN_CHECK_US)
    g_cond_signal (&pool->wake_watchdog);
  g_mutex_unlock (&pool->lock);
}
