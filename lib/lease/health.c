/* Health of a worker, from the outcomes of its runs.  */
#include "lease_priv.h"

#define STRIKES 3        /* failures in a row that eject */
#define EJECT_US 1500000 /* doubled with each ejection in a row */
#define EJECT_DOUBLINGS 3
#define SLOWNESS_WEIGHT 4 /* of former run times against a new one */
#define SLOWNESS_MAX 1000 /* percent */

void
lease_health_good (struct lease_health *health, int64_t took_us,
                   int64_t expect_us)
{
  health->strikes = 0;
  health->ejections = 0;
  if (took_us <= 0 || expect_us <= 0)
    return;
  int64_t percent = MIN (took_us * 100 / expect_us, SLOWNESS_MAX);
  health->slowness
      = (uint32_t)((health->slowness * (SLOWNESS_WEIGHT - 1) + percent)
                   / SLOWNESS_WEIGHT);
}

bool
lease_health_bad (struct lease_health *health, int64_t now_us)
{
  /* After an ejection a single failure ejects again.  */
  if (++health->strikes < (health->ejections > 0 ? 1u : STRIKES))
    return false;
  health->strikes = 0;
  health->ejected_us
      = now_us
        + ((int64_t)EJECT_US << MIN (health->ejections, EJECT_DOUBLINGS));
  health->ejections++;
  return true;
}

bool
lease_usable (const struct lease_worker *w, int64_t now_us)
{
  return w->state == LEASE_HELD && !w->info.draining
         && w->health.ejected_us <= now_us;
}
