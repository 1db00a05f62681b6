/* The log event LOAD: what this instance has sent and computed lately.  A full
   link shows in orders without an answer, a costly membership in frames and
   weighings while nothing is submitted.  */
#include "cell_priv.h"

#define LOAD_PERIOD_US 5000000

/* The counters of the event, in the order of struct cell.logged_load.  */
static const enum pl_counter load_counters[CELL_LOAD_COUNTERS] = {
  PL_CTR_WORKER_ORDERS_TOTAL,           PL_CTR_WORKER_ORDERS_UNANSWERED_TOTAL,
  PL_CTR_PEER_MESSAGES_SENT_TOTAL,      PL_CTR_PEER_BYTES_SENT_TOTAL,
  PL_CTR_PEER_BYTES_OTHER_DOMAIN_TOTAL, PL_CTR_HOLDER_WEIGHINGS_TOTAL,
};

void
cell_log_load (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  int64_t since[CELL_LOAD_COUNTERS];
  if (now_us - cell->load_logged_us < LOAD_PERIOD_US)
    return;
  cell->load_logged_us = now_us;
  for (unsigned i = 0; i < CELL_LOAD_COUNTERS; i++)
    {
      int64_t value = pl_counter (load_counters[i]);
      since[i] = value - cell->logged_load[i];
      cell->logged_load[i] = value;
    }
  pl_log (PL_EV_LOAD,
          "orders=%" PRId64 " unanswered=%" PRId64 " frames=%" PRId64
          " frame_bytes=%" PRId64 " other_domain_bytes=%" PRId64
          " weighings=%" PRId64,
          since[0], since[1], since[2], since[3], since[4], since[5]);
}
