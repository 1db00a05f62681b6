/* Where jobs go: the failure domain, the entry that is called and the entry
   whose key prefix is used.  Domains do not share workers, so that jobs take
   them in turn; inside a domain both entries are drawn.  */
#include "load.h"

#include <stdlib.h>
#include <string.h>

/* The failure domain is the first field of a key prefix.  */
static char *
domain_of (struct pl_addr addr)
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

/* Entries that do not answer form a domain of their own.  */
void
load_domains (struct load_opts *opts)
{
  opts->domain = g_new0 (unsigned, opts->n_entries);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (unsigned i = 0; i < opts->n_entries; i++)
    {
      char *name = domain_of (opts->entries[i]);
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

/* An entry of DOMAIN other than NOT, if there is one; NOT may be none.  */
static unsigned
draw_entry (const struct load_opts *opts, unsigned domain, unsigned not,
            GRand *rand)
{
  unsigned chosen = not ;
  unsigned seen = 0;
  for (unsigned i = 0; i < opts->n_entries; i++)
    if (opts->domain[i] == domain
        && i != not &&g_rand_int_range (rand, 0, (gint32)++seen) == 0)
      chosen = i;
  return chosen;
}

void
load_spread (const struct load_opts *opts, struct load_job *jobs, unsigned n)
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
later_first (const void *a, const void *b)
{
  unsigned x = *(const unsigned *)a;
  unsigned y = *(const unsigned *)b;
  return (x < y) - (x > y);
}

static unsigned
earliest (const int64_t *ends, unsigned slots)
{
  unsigned best = 0;
  for (unsigned i = 1; i < slots; i++)
    if (ends[i] < ends[best])
      best = i;
  return best;
}

/* Puts JOB on the slots that end first, its longest task first.  */
static void
occupy (const struct load_job *job, int64_t *ends, unsigned slots)
{
  g_autofree unsigned *runs
      = g_memdup2 (job->run_ms, job->n_tasks * sizeof *job->run_ms);
  qsort (runs, job->n_tasks, sizeof *runs, later_first);
  for (unsigned t = 0; t < job->n_tasks; t++)
    {
      unsigned at = earliest (ends, slots);
      ends[at] = MAX (ends[at], job->arrival_us) + (int64_t)runs[t] * 1000;
    }
}

void
load_fits (const struct load_opts *opts, struct load_job *jobs, unsigned n)
{
  unsigned slots = (unsigned)opts->slots / MAX (opts->n_domains, 1);
  if (slots == 0)
    return;
  int64_t *ends = g_new0 (int64_t, (gsize)slots * opts->n_domains);
  for (unsigned i = 0; i < n; i++)
    {
      struct load_job *job = &jobs[i];
      int64_t *own = ends + (gsize)job->domain * slots;
      unsigned idle = 0;
      for (unsigned s = 0; s < slots; s++)
        idle += own[s] <= job->arrival_us;
      job->fits = idle >= job->n_tasks;
      occupy (job, own, slots);
    }
  g_free (ends);
}
