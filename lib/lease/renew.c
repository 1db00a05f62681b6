/* Until when a lease is granted, and whether it may be renewed.  */
#include "lease_priv.h"

#define CLOCK_VALID_US 900000 /* an older reading of its clock is not used */

/* Whether the lease that RUN has may be renewed: its owner has heard this
   holder lately, and so does not start the task again before the lease would
   expire; or the run ends soon, as the worker has acknowledged its stop.  */
static bool
is_renewable (const struct lease_table *table, const struct lease_run *run)
{
  if (run->stop_acked_us != 0)
    return true;
  return run->owner != 0 && table->ops->is_heard_by (table->ctx, run->owner);
}

bool
lease_may_renew (const struct lease_table *table, const struct lease_worker *w)
{
  for (guint i = 0; i < w->runs->len; i++)
    if (!is_renewable (table, g_ptr_array_index (w->runs, i)))
      return false;
  return true;
}

int64_t
lease_deadline_ms (const struct lease_table *table,
                   const struct lease_worker *w, int64_t now_us)
{
  /* Before the first answer the worker's clock is not known.  */
  if (!w->answered || now_us - w->answered_us > CLOCK_VALID_US
      || !lease_may_renew (table, w))
    return 0;
  return now_us / 1000 + w->clock_offset_ms + LEASE_MAX_MS;
}
