/* Refusals that are held back for a short time while another failure domain is
   asked for credit, so that the job can be forwarded instead.  */
#include "cell_priv.h"

/* Until the next request for room is due, and answered.  */
#define DEFER_US (OVERFLOW_ASK_US + 10000)
#define MAX_DEFERRED 512

struct deferred
{
  struct planner_request request; /* its arrays are not used */
  int retry_after_ms;
  int64_t until_us;
};

bool
cell_defer_refusal (struct cell *cell, const struct planner_request *request,
                    int retry_after_ms)
{
  if (cell->deferred.length >= MAX_DEFERRED
      || !cell_may_overflow (cell, request))
    return false;
  struct deferred *deferred = g_new (struct deferred, 1);
  *deferred
      = (struct deferred){ .request = *request,
                           .retry_after_ms = retry_after_ms,
                           .until_us = pl_now_us (cell->clock) + DEFER_US };
  g_queue_push_tail (&cell->deferred, deferred);
  return true;
}

void
cell_forget_deferred (struct cell *cell, uint64_t job, uint64_t owner)
{
  for (GList *l = cell->deferred.head; l != NULL; l = l->next)
    {
      struct deferred *deferred = l->data;
      if (deferred->request.job != job || deferred->request.owner != owner)
        continue;
      g_queue_delete_link (&cell->deferred, l);
      g_free (deferred);
      return;
    }
}

void
cell_retry_deferred (struct cell *cell)
{
  int64_t now_us = pl_now_us (cell->clock);
  GList *next;
  for (GList *l = cell->deferred.head; l != NULL; l = next)
    {
      struct deferred *deferred = l->data;
      next = l->next;
      const struct overflow_credit *credit
          = cell_borrow_again (cell, &deferred->request);
      if (credit == NULL && now_us < deferred->until_us)
        continue;
      cell_send_refusal (cell, &deferred->request, deferred->retry_after_ms,
                         credit);
      g_free (deferred);
      g_queue_delete_link (&cell->deferred, l);
    }
}
