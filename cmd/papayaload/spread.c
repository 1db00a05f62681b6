/* Assigns jobs to failure domains and entries.  Domains do not share workers,
   so jobs are assigned to them round robin; the entry that is called and the
   entry whose key prefix is used are drawn inside the domain.  Also estimates
   which jobs fit in the free slots.  */
#include "load.h"

#include <stdlib.h>
#include <string.h>

/* The failure domain is the first field of a key prefix.  */
static char *
fetch_domain (struct pl_addr addr)
{
  ne_session *session = call_session_new (addr, 2000);
  struct call_answer answer;
  char *domain = NULL;
  if (load_send (session, "GET", "/v1/prefix", NULL, NULL, &answer)
      == CALL_ANSWERED)
    {
      const char *dot = strchr (answer.prefix, '.');
      if (dot != NULL)
        domain = g_strndup (answer.prefix, (gsize)(dot - answer.prefix));
      g_string_free (answer.body, TRUE);
    }
  ne_session_destroy (session);
  return domain;
}

/* All entries that do not answer count as one domain.  */
void
load_find_domains (struct load_opts *opts)
{
  opts->domain = g_new0 (unsigned, opts->n_entries);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; i < opts->n_entries; i++)
    {
      char *name = fetch_domain (opts->entries[i]);
      if (name == NULL)
        name = g_strdup ("");
      guint at;
      if (g_ptr_array_find_with_equal_func (names, name, g_str_equal, &at))
        g_free (name);
      else
        {
          at = names->len;
          g_ptr_array_add (names, name);
        }
      opts->domain[i] = at;
    }
  opts->n_domains = names->len;
}

/* Draws an entry of DOMAIN other than EXCLUDED; EXCLUDED itself if there is no
   other.  n_entries as EXCLUDED excludes none.  */
static unsigned
draw_entry (const struct load_opts *opts, unsigned domain, unsigned excluded,
            GRand *rand)
{
  unsigned chosen = excluded;
  unsigned n_candidates = 0;
  for (unsigned i = 0; i < opts->n_entries; i++)
    if (opts->domain[i] == domain && i != excluded
        && g_rand_int_range (rand, 0, (gint32)++n_candidates) == 0)
      chosen = i;
  return chosen;
}

void
load_assign_entries (const struct load_opts *opts, struct load_job *jobs,
                     unsigned n)
{
  GRand *rand = g_rand_new_with_seed (opts->seed + 1);
  for (unsigned i = 0; i < n; i++)
    {
      jobs[i].domain = i % opts->n_domains;
      jobs[i].entry = draw_entry (opts, jobs[i].domain, opts->n_entries, rand);
      jobs[i].owner = jobs[i].entry;
      if (!opts->sticky)
        jobs[i].owner = draw_entry (opts, jobs[i].domain, jobs[i].entry, rand);
    }
  g_rand_free (rand);
}

static int
compare_descending (const void *a, const void *b)
{
  unsigned x = *(const unsigned *)a;
  unsigned y = *(const unsigned *)b;
  return (x < y) - (x > y);
}

static unsigned
find_earliest (const int64_t *ends, unsigned slots)
{
  unsigned best = 0;
  for (unsigned i = 1; i < slots; i++)
    if (ends[i] < ends[best])
      best = i;
  return best;
}

/* Schedules the tasks of JOB, the longest first, each on the slot that is free
   earliest.  ENDS holds the time at which each slot becomes free.  */
static void
schedule_job (const struct load_job *job, int64_t *ends, unsigned slots)
{
  g_autofree unsigned *runs
      = g_memdup2 (job->run_ms, job->n_tasks * sizeof *job->run_ms);
  qsort (runs, job->n_tasks, sizeof *runs, compare_descending);
  for (unsigned t = 0; t < job->n_tasks; t++)
    {
      unsigned at = find_earliest (ends, slots);
      ends[at] = MAX (ends[at], job->arrival_us) + (int64_t)runs[t] * 1000;
    }
}

void
load_estimate_fits (const struct load_opts *opts, struct load_job *jobs,
                    unsigned n)
{
  unsigned slots = (unsigned)opts->slots / MAX (opts->n_domains, 1);
  if (slots == 0)
    return;
  int64_t *ends = g_new0 (int64_t, (gsize)slots * opts->n_domains);
  for (unsigned i = 0; i < n; i++)
    {
      struct load_job *job = &jobs[i];
      int64_t *domain_ends = ends + (gsize)job->domain * slots;
      unsigned idle = 0;
      for (unsigned s = 0; s < slots; s++)
        idle += domain_ends[s] <= job->arrival_us;
      job->fits = idle >= job->n_tasks;
      schedule_job (job, domain_ends, slots);
    }
  g_free (ends);
}
