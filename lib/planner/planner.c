/* The planner's state: its workers and the grants on them.  */
#include "planner_priv.h"

uint64_t
planner_task_tag (uint64_t job, uint32_t index)
{
  return job ^ ((uint64_t)(index + 1) * 0x9e3779b97f4a7c15u);
}

static void
worker_free (void *data)
{
  struct worker_entry *w = data;
  planner_unindex_worker (w);
  g_array_unref (w->grants);
  g_array_unref (w->runs);
  g_free (w);
}

static void
service_free (void *data)
{
  struct service *service = data;
  g_sequence_free (service->by_free);
  g_free (service);
}

const struct planner_policy planner_policy_default
    = { .compare = planner_compare_jobs,
        .choose = planner_choose_worker,
        .sheds_load = true };

struct planner_state *
planner_new (const struct planner_ops *ops, void *ctx)
{
  return planner_new_with_policy (&planner_policy_default, ops, ctx);
}

struct planner_state *
planner_new_with_policy (const struct planner_policy *policy,
                         const struct planner_ops *ops, void *ctx)
{
  struct planner_state *planner = g_new0 (struct planner_state, 1);
  planner->policy = policy;
  planner->ops = ops;
  planner->ctx = ctx;
  planner->workers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, worker_free);
  planner->paused
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  planner->evacuated
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  planner->services = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                             g_free, service_free);
  planner->reserved = g_ptr_array_new ();
  g_queue_init (&planner->timeouts);
  planner->full = g_array_new (FALSE, FALSE, sizeof (struct full_size));
  planner->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  planner->running
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  planner->jobs = g_ptr_array_new_with_free_func (planner_job_free);
  return planner;
}

void
planner_free (struct planner_state *planner)
{
  g_hash_table_unref (planner->by_id);
  g_hash_table_unref (planner->running);
  g_hash_table_unref (planner->workers);
  g_hash_table_unref (planner->paused);
  g_hash_table_unref (planner->evacuated);
  g_hash_table_unref (planner->services);
  g_ptr_array_unref (planner->reserved);
  g_queue_clear_full (&planner->timeouts, g_free);
  g_array_unref (planner->full);
  g_ptr_array_unref (planner->jobs);
  g_free (planner);
}

static bool
reports_run (const struct planner_worker_report *report, uint64_t tag)
{
  for (unsigned i = 0; i < report->n_runs; i++)
    if (report->runs[i] == tag)
      return true;
  return false;
}

/* Notes the runs that REPORT, which has arrived now, lists.  */
static void
add_running (struct planner_state *planner,
             const struct planner_worker_report *report, int64_t now_us)
{
  for (unsigned i = 0; i < report->n_runs; i++)
    {
      struct running *running
          = g_hash_table_lookup (planner->running, &report->runs[i]);
      if (running == NULL)
        {
          running = g_new0 (struct running, 1);
          running->tag = report->runs[i];
          g_hash_table_insert (planner->running, &running->tag, running);
        }
      running->n_reports++;
      running->reported_us = now_us;
    }
}

/* REPORT is replaced, or its worker removed.  */
static void
remove_running (struct planner_state *planner,
                const struct planner_worker_report *report)
{
  for (unsigned i = 0; i < report->n_runs; i++)
    {
      struct running *running
          = g_hash_table_lookup (planner->running, &report->runs[i]);
      if (--running->n_reports == 0)
        g_hash_table_remove (planner->running, &report->runs[i]);
    }
}

bool
planner_is_running (const struct planner_state *planner, const struct job *job,
                    uint32_t index, int64_t now_us)
{
  uint64_t tag = planner_task_tag (job->request.job, index);
  const struct running *running = g_hash_table_lookup (planner->running, &tag);
  return running != NULL
         && now_us - running->reported_us <= PLANNER_REPORT_STALE_US;
}

bool
planner_has_running_task (const struct planner_state *planner,
                          const struct job *job, int64_t now_us)
{
  for (guint i = 0; i < job->waiting->len; i++)
    if (planner_is_running (planner, job,
                            g_array_index (job->waiting, uint32_t, i), now_us))
      return true;
  return false;
}

struct service *
planner_find_service (struct planner_state *planner, uint64_t key)
{
  struct service *service = g_hash_table_lookup (planner->services, &key);
  if (service != NULL)
    return service;
  service = g_new (struct service, 1);
  *service = (struct service){ .last_crowded_us = INT64_MIN / 2,
                               .by_free = g_sequence_new (NULL) };
  g_hash_table_insert (planner->services, g_memdup2 (&key, sizeof key),
                       service);
  return service;
}

void
planner_update_worker (struct planner_state *planner,
                       const struct planner_worker_report *report,
                       int64_t now_us)
{
  struct worker_entry *w
      = g_hash_table_lookup (planner->workers, &report->worker);
  if (w == NULL)
    {
      w = g_new0 (struct worker_entry, 1);
      w->grants = g_array_new (FALSE, FALSE, sizeof (struct grant));
      w->runs = g_array_new (FALSE, FALSE, sizeof (struct planner_run));
      w->report = *report;
      w->report.n_runs = 0;
      g_hash_table_insert (planner->workers, &w->report.worker, w);
    }
  if (w->report.service != report->service)
    planner_unindex_worker (w);
  remove_running (planner, &w->report);
  w->report = *report;
  w->report.details = NULL;
  add_running (planner, report, now_us);
  g_array_set_size (w->runs, 0);
  if (report->details != NULL)
    g_array_append_vals (w->runs, report->details, report->n_runs);
  w->reported_us = now_us;
  if (report->usable)
    planner_find_service (planner, report->service)->no_worker_since_us = 0;
  for (guint i = w->grants->len; i-- > 0;)
    if (reports_run (report, g_array_index (w->grants, struct grant, i).tag))
      g_array_remove_index_fast (w->grants, i);
  planner_index_worker (planner, w);
}

void
planner_remove_worker (struct planner_state *planner, uint64_t worker,
                       uint64_t holder)
{
  struct worker_entry *w = g_hash_table_lookup (planner->workers, &worker);
  if (w == NULL || w->report.holder != holder)
    return;
  remove_running (planner, &w->report);
  g_hash_table_remove (planner->workers, &worker);
}

void
planner_remove_holder (struct planner_state *planner, uint64_t holder)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, planner->workers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct worker_entry *w = value;
      if (w->report.holder != holder)
        continue;
      remove_running (planner, &w->report);
      g_hash_table_iter_remove (&it);
    }
}

void
planner_pause_holder (struct planner_state *planner, uint64_t holder,
                      bool paused)
{
  if (paused)
    g_hash_table_add (planner->paused, g_memdup2 (&holder, sizeof holder));
  else
    g_hash_table_remove (planner->paused, &holder);
  planner_index_all (planner);
}

void
planner_set_evacuated (struct planner_state *planner, uint64_t domain,
                       bool evacuated)
{
  if (evacuated)
    g_hash_table_add (planner->evacuated, g_memdup2 (&domain, sizeof domain));
  else
    g_hash_table_remove (planner->evacuated, &domain);
  planner_index_all (planner);
}

void
planner_release_grant (struct planner_state *planner, uint64_t worker,
                       int64_t token, uint64_t tag)
{
  struct worker_entry *w = g_hash_table_lookup (planner->workers, &worker);
  if (w == NULL)
    return;
  for (guint i = w->grants->len; i-- > 0;)
    {
      const struct grant *grant = &g_array_index (w->grants, struct grant, i);
      if (grant->tag == tag && (token == 0 || grant->token == token))
        g_array_remove_index_fast (w->grants, i);
    }
  planner_index_worker (planner, w);
}
