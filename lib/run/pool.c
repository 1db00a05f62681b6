/* The connections to all upstreams, and the watchdog that cuts exchanges at
   their limit and closes idle connections.  */
#include "run_priv.h"

#include <string.h>
#include <sys/socket.h>

/* Least time between two looks of the watchdog: a limit is overrun by at most
   this.  It sleeps until the next limit, at most WATCH_MAX_US.  */
#define WATCH_US INT64_C (10000)
#define WATCH_MAX_US INT64_C (1000000)

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
  struct run_upstream *up = p;
  for (unsigned i = 0; i < up->conns->len; i++)
    run_conn_free (g_ptr_array_index (up->conns, i));
  g_ptr_array_free (up->conns, TRUE);
  g_queue_clear (&up->idle);
  g_free (up);
}

static struct run_upstream *
upstream_of (struct run_pool *pool, struct pl_addr addr)
{
  struct run_upstream *up = g_hash_table_lookup (pool->upstreams, &addr);
  if (up != NULL)
    return up;
  up = g_new0 (struct run_upstream, 1);
  up->addr = addr;
  g_queue_init (&up->idle);
  up->conns = g_ptr_array_new ();
  g_hash_table_insert (pool->upstreams, &up->addr, up);
  return up;
}

/* Moves connections that have been idle too long to OLD.  They are counted
   until they are closed.  Returns when the next one is due, UNTIL at most.  */
static int64_t
collect_old (struct run_pool *pool, struct run_upstream *up, int64_t now,
             GPtrArray *old, int64_t until)
{
  for (;;)
    {
      struct run_conn *conn = g_queue_peek_tail (&up->idle);
      if (conn == NULL)
        return until;
      int64_t due = conn->idle_since_us + (int64_t)pool->opts->idle_ms * 1000;
      if (now < due)
        return MIN (until, due);
      g_queue_pop_tail (&up->idle);
      g_ptr_array_add (old, conn);
    }
}

/* Cuts what is overdue; returns the next limit, UNTIL at most.  */
static int64_t
cut_overdue (struct run_upstream *up, int64_t now, int64_t until)
{
  for (unsigned i = 0; i < up->conns->len; i++)
    {
      struct run_conn *conn = g_ptr_array_index (up->conns, i);
      if (conn->limit_us == 0)
        continue;
      /* A socket that is not found yet may be when the limit comes.  */
      if (now < conn->limit_us || conn->fd < 0)
        {
          until = MIN (until, conn->limit_us);
          continue;
        }
      /* Before the shutdown: the runner wakes at once and looks at it.  */
      g_atomic_int_set (&conn->cut, 1);
      conn->limit_us = 0;
      shutdown (conn->fd, SHUT_RDWR);
    }
  return until;
}

/* Closes without the lock, since a close may block.  */
static void
close_old (struct run_pool *pool, GPtrArray *old)
{
  if (old->len == 0)
    return;
  g_mutex_unlock (&pool->lock);
  for (unsigned i = 0; i < old->len; i++)
    run_conn_close (pool, g_ptr_array_index (old, i));
  g_mutex_lock (&pool->lock);
  for (unsigned i = 0; i < old->len; i++)
    {
      struct run_conn *conn = g_ptr_array_index (old, i);
      g_ptr_array_remove_fast (conn->up->conns, conn);
      run_conn_free (conn);
    }
  g_ptr_array_set_size (old, 0);
  g_cond_broadcast (&pool->freed);
}

static gpointer
watch (gpointer user)
{
  struct run_pool *pool = user;
  GPtrArray *old = g_ptr_array_new ();
  g_mutex_lock (&pool->lock);
  while (!pool->stopping)
    {
      int64_t now = pl_now_us (pool->opts->clock);
      int64_t until = now + WATCH_MAX_US;
      GHashTableIter iter;
      gpointer up;
      g_hash_table_iter_init (&iter, pool->upstreams);
      while (g_hash_table_iter_next (&iter, NULL, &up))
        {
          until = cut_overdue (up, now, until);
          until = collect_old (pool, up, now, old, until);
        }
      pool->watch_us = MAX (until, now + WATCH_US);
      /* Limits that are set while the lock is free signal nobody.  */
      if (old->len > 0)
        pool->watch_us = now + WATCH_US;
      close_old (pool, old);
      g_cond_wait_until (&pool->stopped, &pool->lock,
                         g_get_monotonic_time () + pool->watch_us - now);
    }
  g_mutex_unlock (&pool->lock);
  g_ptr_array_free (old, TRUE);
  return NULL;
}

struct run_pool *
run_pool_new (const struct run_opts *opts)
{
  struct run_pool *pool = g_new0 (struct run_pool, 1);
  pool->opts = opts;
  g_mutex_init (&pool->lock);
  g_cond_init (&pool->freed);
  g_cond_init (&pool->stopped);
  pool->upstreams
      = g_hash_table_new_full (addr_hash, addr_equal, NULL, upstream_free);
  pool->watchdog = g_thread_new ("run-watch", watch, pool);
  return pool;
}

void
run_pool_free (struct run_pool *pool)
{
  g_mutex_lock (&pool->lock);
  pool->stopping = true;
  g_cond_signal (&pool->stopped);
  g_mutex_unlock (&pool->lock);
  g_thread_join (pool->watchdog);
  g_hash_table_destroy (pool->upstreams);
  g_mutex_clear (&pool->lock);
  g_cond_clear (&pool->freed);
  g_cond_clear (&pool->stopped);
  g_free (pool);
}

struct run_conn *
run_pool_take (struct run_pool *pool, struct pl_addr addr, int64_t wait_us)
{
  int64_t until = g_get_monotonic_time () + wait_us;
  g_mutex_lock (&pool->lock);
  struct run_upstream *up = upstream_of (pool, addr);
  struct run_conn *conn = g_queue_pop_head (&up->idle);
  while (conn == NULL && up->conns->len >= pool->opts->connections)
    {
      if (!g_cond_wait_until (&pool->freed, &pool->lock, until))
        break;
      conn = g_queue_pop_head (&up->idle);
    }
  if (conn == NULL && up->conns->len < pool->opts->connections)
    {
      conn = run_conn_new (up, pool->opts);
      g_ptr_array_add (up->conns, conn);
    }
  g_mutex_unlock (&pool->lock);
  return conn;
}

void
run_pool_give (struct run_pool *pool, struct run_conn *conn)
{
  struct run_upstream *up = conn->up;
  g_mutex_lock (&pool->lock);
  bool keep = conn->alive;
  if (keep)
    g_queue_push_head (&up->idle, conn);
  else
    g_ptr_array_remove_fast (up->conns, conn);
  g_cond_broadcast (&pool->freed);
  g_mutex_unlock (&pool->lock);
  if (!keep)
    run_conn_free (conn);
}

bool
run_pool_begin_connect (struct run_pool *pool, struct run_upstream *up,
                        int64_t wait_us)
{
  int64_t until = g_get_monotonic_time () + wait_us;
  g_mutex_lock (&pool->lock);
  bool in_time = true;
  while (up->connecting && in_time)
    in_time = g_cond_wait_until (&pool->freed, &pool->lock, until);
  bool mine = !up->connecting;
  if (mine)
    up->connecting = true;
  g_mutex_unlock (&pool->lock);
  return mine;
}

void
run_pool_end_connect (struct run_pool *pool, struct run_upstream *up)
{
  g_mutex_lock (&pool->lock);
  up->connecting = false;
  g_cond_broadcast (&pool->freed);
  g_mutex_unlock (&pool->lock);
}

void
run_pool_limit (struct run_pool *pool, struct run_conn *conn, int64_t limit_us,
                const char *reason)
{
  g_mutex_lock (&pool->lock);
  conn->limit_us = limit_us;
  conn->limit_reason = reason;
  if (limit_us != 0 && limit_us < pool->watch_us - WATCH_US)
    g_cond_signal (&pool->stopped);
  g_mutex_unlock (&pool->lock);
}
