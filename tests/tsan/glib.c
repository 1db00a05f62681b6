/* Tells ThreadSanitizer of the synchronization inside GLib and liburcu, which
   are not instrumented: GLib's locks and queues are futexes of its own,
   liburcu exchanges pointers in assembler.  Without it every datum guarded by
   a GMutex, handed over by a queue or published by RCU is reported.
   Linked into the test programs only when SAN=thread.  */
#include <dlfcn.h>
#include <glib.h>

void tsan_acquire (void *addr) __asm__("__tsan_acquire");
void tsan_release (void *addr) __asm__("__tsan_release");

/* Finds GLib's own function once a call site.  */
#define REAL(name)                                                            \
  static __typeof__ (&name) real;                                             \
  if (__atomic_load_n (&real, __ATOMIC_ACQUIRE) == NULL)                      \
  __atomic_store_n (&real, (__typeof__ (&name))dlsym (RTLD_NEXT, #name),      \
                    __ATOMIC_RELEASE)

void
g_mutex_lock (GMutex *mutex)
{
  REAL (g_mutex_lock);
  real (mutex);
  tsan_acquire (mutex);
}

gboolean
g_mutex_trylock (GMutex *mutex)
{
  REAL (g_mutex_trylock);
  gboolean got = real (mutex);
  if (got)
    tsan_acquire (mutex);
  return got;
}

void
g_mutex_unlock (GMutex *mutex)
{
  REAL (g_mutex_unlock);
  tsan_release (mutex);
  real (mutex);
}

void
g_cond_wait (GCond *cond, GMutex *mutex)
{
  REAL (g_cond_wait);
  tsan_release (mutex);
  real (cond, mutex);
  tsan_acquire (mutex);
}

gboolean
g_cond_wait_until (GCond *cond, GMutex *mutex, gint64 until)
{
  REAL (g_cond_wait_until);
  tsan_release (mutex);
  gboolean in_time = real (cond, mutex, until);
  tsan_acquire (mutex);
  return in_time;
}

void
g_async_queue_push (GAsyncQueue *queue, gpointer item)
{
  REAL (g_async_queue_push);
  tsan_release (queue);
  real (queue, item);
}

gpointer
g_async_queue_pop (GAsyncQueue *queue)
{
  REAL (g_async_queue_pop);
  gpointer item = real (queue);
  tsan_acquire (queue);
  return item;
}

gpointer
g_async_queue_try_pop (GAsyncQueue *queue)
{
  REAL (g_async_queue_try_pop);
  gpointer item = real (queue);
  tsan_acquire (queue);
  return item;
}

gpointer
g_async_queue_timeout_pop (GAsyncQueue *queue, guint64 timeout)
{
  REAL (g_async_queue_timeout_pop);
  gpointer item = real (queue, timeout);
  tsan_acquire (queue);
  return item;
}

void (g_atomic_ref_count_inc) (gatomicrefcount *count)
{
  REAL (g_atomic_ref_count_inc);
  real (count);
}

gboolean (g_atomic_ref_count_dec) (gatomicrefcount *count)
{
  REAL (g_atomic_ref_count_dec);
  tsan_release (count);
  gboolean last = real (count);
  if (last)
    tsan_acquire (count);
  return last;
}

gboolean (g_once_init_enter) (volatile void *location)
{
  REAL (g_once_init_enter);
  gboolean first = real (location);
  tsan_acquire ((void *)location);
  return first;
}

void (g_once_init_leave) (volatile void *location, gsize result)
{
  REAL (g_once_init_leave);
  tsan_release ((void *)location);
  real (location, result);
}

void
g_bytes_unref (GBytes *bytes)
{
  REAL (g_bytes_unref);
  if (bytes != NULL)
    {
      tsan_release (bytes);
      tsan_acquire (bytes);
    }
  real (bytes);
}

/* A published value is acquired by its own address.  */
void *rcu_xchg_pointer_sym (void **slot, void *value);
void *rcu_dereference_sym (void *value);

void *
rcu_xchg_pointer_sym (void **slot, void *value)
{
  REAL (rcu_xchg_pointer_sym);
  if (value != NULL)
    tsan_release (value);
  return real (slot, value);
}

void *
rcu_dereference_sym (void *value)
{
  REAL (rcu_dereference_sym);
  value = real (value);
  if (value != NULL)
    tsan_acquire (value);
  return value;
}
