/* Review of refusals: counts jobs that were refused although room for all
   their tasks was left over before their latest start.  */
#include "planner_priv.h"

/* Refused jobs that a pass looks at, and workers that it looks at for each:
   bounds of the work of a pass.  */
#define MAX_REVIEWS 4
#define MAX_REVIEW_LOOKS 64

void
planner_note_refused (struct planner_state *planner, const struct job *job,
                      enum planner_refusal_reason reason)
{
  const struct planner_request *request = &job->request;
  /* What a job with these may use is not known from the free CPU.  */
  if (reason == PLANNER_HOPELESS || request->required_label != 0
      || request->per_worker != 0)
    return;
  unsigned i = planner->n_refused < PLANNER_MAX_REFUSED
                   ? planner->n_refused++
                   : planner->next_written++ % PLANNER_MAX_REFUSED;
  planner->refused[i] = (struct refused){
    .service = request->service,
    .size = request->size,
    .n_tasks = job->waiting->len,
    .latest_us = planner_latest_start (job),
    .reason = reason,
  };
}

/* Whether all tasks of the job fit on workers now.  */
static bool
has_room (struct planner_state *planner, const struct refused *refused,
          int64_t now_us)
{
  const struct service *service
      = planner_find_service (planner, refused->service);
  GSequenceIter *it = planner_index_find (service, refused->size.cpu);
  unsigned n = 0;
  for (int looks = 0; looks < MAX_REVIEW_LOOKS && n < refused->n_tasks
                      && !g_sequence_iter_is_end (it);
       looks++, it = g_sequence_iter_next (it))
    {
      const struct worker_entry *w = g_sequence_get (it);
      struct planner_resources used = planner_worker_used (w);
      bool stale = now_us - w->reported_us > PLANNER_REPORT_STALE_US;
      while (
          !stale && n < refused->n_tasks
          && planner_resources_fit (w->report.capacity, used, refused->size))
        {
          used = planner_resources_add (used, refused->size);
          n++;
        }
    }
  return n == refused->n_tasks;
}

void
planner_review_refused (struct planner_state *planner, int64_t now_us)
{
  for (int i = 0; i < MAX_REVIEWS && planner->n_refused > 0; i++)
    {
      planner->next_refused = (planner->next_refused + 1) % planner->n_refused;
      struct refused *refused = &planner->refused[planner->next_refused];
      bool in_time = now_us <= refused->latest_us;
      if (in_time && !has_room (planner, refused, now_us))
        continue;
      if (in_time)
        pl_count (refused->reason == PLANNER_CROWDED
                      ? PL_CTR_PLANNER_NEEDLESS_CROWDED_TOTAL
                      : PL_CTR_PLANNER_NEEDLESS_NO_WORKER_TOTAL,
                  1);
      *refused = planner->refused[--planner->n_refused];
      planner->next_refused = 0;
    }
}
