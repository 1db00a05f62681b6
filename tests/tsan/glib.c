/* Reports the synchronization inside GLib and liburcu to ThreadSanitizer, by
   wrappers of their functions.  The libraries are not instrumented: GLib has
   its own locks and queues on futexes, liburcu exchanges pointers in
   assembler.  Without the wrappers ThreadSanitizer reports a race on all data
   that a GMutex guards, a queue hands over or RCU publishes.  Linked into the
   test programs only when SAN=thread.  */
#include <dlfcn.h>
#include <glib.h>

void tsan_acquire (void *addr) __asm__("__tsan_acquire");
void tsan_release (void *addr) __asm__("__tsan_release");

/* Defines the variable "real": the library's own function NAME, which each
   wrapper looks up once.  */
#define FIND_REAL_FUNCTION(name)                                              \
  static __typeof__ (&name) real;                                             \
  if (__atomic_load_n (&real, __ATOMIC_ACQUIRE) == NULL)                      \
  __atomic_store_n (&real, (__typeof__ (&name))dlsym (RTLD_NEXT, #name),      \
                    __ATOMIC_RELEASE)

void
g_mutex_lock (GMutex *mutex)
{
  FIND_REAL_FUNCTION (g_mutex_lock);
  real (mutex);
  tsan_acquire (mutex);
}

gboolean
g_mutex_trylock (GMutex *mutex)
{
  FIND_REAL_FUNCTION (g_mutex_trylock);
  gboolean locked = real (mutex);
  if (locked)
    tsan_acquire (mutex);
  return locked;
}

void
g_mutex_unlock (GMutex *mutex)
{
  FIND_REAL_FUNCTION (g_mutex_unlock);
  tsan_release (mutex);
  real (mutex);
}

void
g_cond_wait (GCond *cond, GMutex *mutex)
{
  FIND_REAL_FUNCTION (g_cond_wait);
  tsan_release (mutex);
  real (cond, mutex);
  tsan_acquire (mutex);
}

gboolean
g_cond_wait_until (GCond *cond, GMutex *mutex, gint64 until)
{
  FIND_REAL_FUNCTION (g_cond_wait_until);
  tsan_release (mutex);
  gboolean in_time = real (cond, mutex, until);
  tsan_acquire (mutex);
  return in_time;
}

void
g_async_queue_push (GAsyncQueue *queue, gpointer item)
{
  FIND_REAL_FUNCTION (g_async_queue_push);
  tsan_release (queue);
  real (queue, item);
}

gpointer
g_async_queue_pop (GAsyncQueue *queue)
{
  FIND_REAL_FUNCTION (g_async_queue_pop);
  gpointer item = real (queue);
  tsan_acquire (queue);
  return item;
}

gpointer
g_async_queue_try_pop (GAsyncQueue *queue)
{
  FIND_REAL_FUNCTION (g_async_queue_try_pop);
  gpointer item = real (queue);
  tsan_acquire (queue);
  return item;
}

gpointer
g_async_queue_timeout_pop (GAsyncQueue *queue, guint64 timeout)
{
  FIND_REAL_FUNCTION (g_async_queue_timeout_pop);
  gpointer item = real (queue, timeout);
  tsan_acquire (queue);
  return item;
}

void (g_atomic_ref_count_inc) (gatomicrefcount *count)
{
  FIND_REAL_FUNCTION (g_atomic_ref_count_inc);
  real (count);
}

gboolean (g_atomic_ref_count_dec) (gatomicrefcount *count)
{
  FIND_REAL_FUNCTION (g_atomic_ref_count_dec);
  tsan_release (count);
  gboolean last = real (count);
  if (last)
    tsan_acquire (count);
  return last;
}

gboolean (g_once_init_enter) (volatile void *location)
{
  FIND_REAL_FUNCTION (g_once_init_enter);
  gboolean first = real (location);
  tsan_acquire ((void *)location);
  return first;
}

void (g_once_init_leave) (volatile void *location, gsize result)
{
  FIND_REAL_FUNCTION (g_once_init_leave);
  tsan_release ((void *)location);
  real (location, result);
}

/* Each release of a reference is ordered before the last, which frees.  */
void
g_bytes_unref (GBytes *bytes)
{
  FIND_REAL_FUNCTION (g_bytes_unref);
  if (bytes != NULL)
    {
      tsan_release (bytes);
      tsan_acquire (bytes);
    }
  real (bytes);
}

/* Publishing and reading a pointer synchronize on the address that it points
   to, since the address of the pointer itself is not passed to
   rcu_dereference_sym.  */
void *rcu_xchg_pointer_sym (void **slot, void *value);
void *rcu_dereference_sym (void *value);

void *
rcu_xchg_pointer_sym (void **slot, void *value)
{
  FIND_REAL_FUNCTION (rcu_xchg_pointer_sym);
  if (value != NULL)
    tsan_release (value);
  return real (slot, value);
}

void *
rcu_dereference_sym (void *value)
{
  FIND_REAL_FUNCTION (rcu_dereference_sym);
  value = real (value);
  if (value != NULL)
    tsan_acquire (value);
  return value;
}
