/* The jobs that wait for workers.  */
#include "planner_priv.h"

void
planner_job_free (void *data)
{
  struct job *job = data;
  g_array_unref (job->waiting);
  g_array_unref (job->placed);
  g_free (job);
}

void
planner_drop_job (struct planner_state *planner, struct job *job)
{
  g_hash_table_remove (planner->by_id, &job->request.job);
  g_ptr_array_remove_fast (planner->jobs, job);
}

static bool
is_waiting (const struct planner_request *request, uint32_t index)
{
  for (unsigned i = 0; i < request->n_waiting; i++)
    if (request->waiting[i] == index)
      return true;
  return false;
}

/* Takes over where the tasks of a job are.  The request may have been sent
   before the owner received a grant: tasks that it lists as waiting stay where
   they were granted until they are granted again.  */
static void
update_placed (struct job *job, const struct planner_request *request)
{
  if (request->per_worker == 0)
    return;
  for (guint i = job->placed->len; i-- > 0;)
    if (!is_waiting (
            request,
            g_array_index (job->placed, struct planner_placed, i).index))
      g_array_remove_index_fast (job->placed, i);
  g_array_append_vals (job->placed, request->placed, request->n_placed);
}

void
planner_record_placed (struct job *job, uint32_t index, uint64_t worker)
{
  struct planner_placed placed = { index, worker };
  for (guint i = 0; i < job->placed->len; i++)
    if (g_array_index (job->placed, struct planner_placed, i).index == index)
      {
        g_array_index (job->placed, struct planner_placed, i) = placed;
        return;
      }
  g_array_append_val (job->placed, placed);
}

void
planner_put_request (struct planner_state *planner,
                     const struct planner_request *request)
{
  struct job *job = g_hash_table_lookup (planner->by_id, &request->job);
  if (job == NULL)
    {
      job = g_new0 (struct job, 1);
      job->waiting = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      job->placed = g_array_new (FALSE, FALSE, sizeof (struct planner_placed));
      job->seq = planner->next_seq++;
      job->request.job = request->job;
      g_ptr_array_add (planner->jobs, job);
      g_hash_table_insert (planner->by_id, &job->request.job, job);
    }
  update_placed (job, request);
  job->request = *request;
  job->request.waiting = NULL;
  job->request.placed = NULL;
  g_array_set_size (job->waiting, 0);
  g_array_append_vals (job->waiting, request->waiting, request->n_waiting);
}

void
planner_remove_job (struct planner_state *planner, uint64_t id, uint64_t owner)
{
  struct job *job = g_hash_table_lookup (planner->by_id, &id);
  if (job != NULL && job->request.owner == owner)
    planner_drop_job (planner, job);
}

uint64_t
planner_find_owner (const struct planner_state *planner, uint64_t id)
{
  const struct job *job = g_hash_table_lookup (planner->by_id, &id);
  return job == NULL ? 0 : job->request.owner;
}

void
planner_remove_owner (struct planner_state *planner, uint64_t owner)
{
  for (guint i = planner->jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      if (job->request.owner == owner)
        planner_drop_job (planner, job);
    }
}

GPtrArray *
planner_list_waiting_jobs (const struct planner_state *planner)
{
  GPtrArray *jobs = g_ptr_array_new ();
  for (guint i = 0; i < planner->jobs->len; i++)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      if (job->waiting->len > 0)
        g_ptr_array_add (jobs, job);
    }
  return jobs;
}

void
planner_remove_placed_jobs (struct planner_state *planner)
{
  for (guint i = planner->jobs->len; i-- > 0;)
    {
      struct job *job = g_ptr_array_index (planner->jobs, i);
      if (job->waiting->len == 0)
        planner_drop_job (planner, job);
    }
}

unsigned
planner_count_jobs (const struct planner_state *planner)
{
  return planner->jobs->len;
}
