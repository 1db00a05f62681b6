/* Reference-counted objects published through RCU pointers.  */
#include "pl.h"

#include <urcu-bp.h>

void
pl_shared_init (struct pl_shared *shared,
                void (*free_fn) (struct pl_shared *shared))
{
  g_atomic_ref_count_init (&shared->refs);
  shared->free = free_fn;
}

void
pl_shared_unref (struct pl_shared *shared)
{
  if (shared != NULL && g_atomic_ref_count_dec (&shared->refs))
    shared->free (shared);
}

void
pl_rcu_ptr_publish (struct pl_rcu_ptr *ptr, struct pl_shared *value)
{
  struct pl_shared *former = rcu_xchg_pointer (&ptr->value, value);
  if (former == NULL)
    return;
  synchronize_rcu ();
  pl_shared_unref (former);
}

struct pl_shared *
pl_rcu_ptr_get (struct pl_rcu_ptr *ptr)
{
  rcu_read_lock ();
  struct pl_shared *value = rcu_dereference (ptr->value);
  if (value != NULL)
    g_atomic_ref_count_inc (&value->refs);
  rcu_read_unlock ();
  return value;
}
