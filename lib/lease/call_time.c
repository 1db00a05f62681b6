/* How long calls to workers take now, and with it how long to wait for one.
   Smoothed time and variation as for TCP's retransmission timer (RFC 6298).
   One estimate serves all workers of a table: a delay that they show together
   is that of this instance's own link.  */
#include "lease_priv.h"

/* Workers answer within a millisecond or two.  */
#define TIMEOUT_MIN_US 40000
/* Leaves time for a stop and a poll before a lease of LEASE_MAX_MS expires. */
#define TIMEOUT_MAX_US 400000
#define POLL_SLACK_MIN_US 50000
/* A new time counts 1 part in this many, and a new deviation.  */
#define SMOOTHING 8
#define VARIATION_SMOOTHING 4
#define VARIATIONS 4 /* above the smoothed time */
/* Share of lost calls, in thousandths, above which the limit is doubled: a
   majority is not the fault of single workers.  */
#define LOST_MAX 500
#define MAX_DOUBLINGS 4

void
lease_call_answered (struct lease_call_time *time, int64_t took_us)
{
  time->lost -= time->lost / SMOOTHING;
  time->doublings = 0;
  if (time->smoothed_us == 0)
    {
      time->smoothed_us = took_us;
      time->variation_us = took_us / 2;
      return;
    }
  int64_t deviation_us = ABS (took_us - time->smoothed_us);
  time->variation_us
      += (deviation_us - time->variation_us) / VARIATION_SMOOTHING;
  time->smoothed_us += (took_us - time->smoothed_us) / SMOOTHING;
}

void
lease_call_lost (struct lease_call_time *time)
{
  time->lost += (1000 - time->lost) / SMOOTHING;
  if (time->lost <= LOST_MAX || time->doublings == MAX_DOUBLINGS)
    return;
  time->doublings++;
  time->lost = 0;
}

static int64_t
timeout_us (const struct lease_call_time *time, int64_t min_us)
{
  int64_t usual_us = time->smoothed_us + VARIATIONS * time->variation_us;
  return MIN (MAX (usual_us, min_us) << time->doublings, TIMEOUT_MAX_US);
}

int64_t
lease_order_timeout_us (const struct lease_table *table)
{
  return timeout_us (&table->call_time, TIMEOUT_MIN_US);
}

int64_t
lease_poll_timeout_us (const struct lease_table *table, int wait_ms)
{
  return (int64_t)wait_ms * 1000
         + timeout_us (&table->call_time, POLL_SLACK_MIN_US);
}

bool
lease_calls_are_slow (const struct lease_table *table)
{
  return lease_order_timeout_us (table) > TIMEOUT_MIN_US;
}
