/* Cancels a fraction of the open jobs halfway through the run, with one
   request for each.  */
#include "load.h"

#include <stdio.h>

struct load_cancel
{
  const struct load_opts *opts;
  GMutex lock;
  GPtrArray *open; /* struct open_job */
  GThread *thread;
  int64_t due_us;
};

struct open_job
{
  const struct load_job *job;
  char *key;
};

static void
open_job_free (void *data)
{
  struct open_job *open = data;
  g_free (open->key);
  g_free (open);
}

void
load_cancel_add_job (struct load_cancel *cancel, const struct load_job *job,
                     const char *key)
{
  if (cancel == NULL)
    return;
  struct open_job *open = g_new (struct open_job, 1);
  open->job = job;
  open->key = g_strdup (key);
  g_mutex_lock (&cancel->lock);
  g_ptr_array_add (cancel->open, open);
  g_mutex_unlock (&cancel->lock);
}

void
load_cancel_remove_job (struct load_cancel *cancel, const struct load_job *job)
{
  if (cancel == NULL)
    return;
  g_mutex_lock (&cancel->lock);
  for (unsigned i = 0; i < cancel->open->len; i++)
    if (((struct open_job *)cancel->open->pdata[i])->job == job)
      {
        g_ptr_array_remove_index_fast (cancel->open, i);
        break;
      }
  g_mutex_unlock (&cancel->lock);
}

/* Draws the jobs to cancel; returns copies of their struct open_job.  */
static GPtrArray *
choose_jobs (struct load_cancel *cancel)
{
  GPtrArray *chosen = g_ptr_array_new_with_free_func (open_job_free);
  GRand *rand = g_rand_new_with_seed (cancel->opts->seed);
  g_mutex_lock (&cancel->lock);
  for (unsigned i = 0; i < cancel->open->len; i++)
    {
      const struct open_job *open = cancel->open->pdata[i];
      if (g_rand_double (rand) >= cancel->opts->cancel)
        continue;
      struct open_job *copy = g_new (struct open_job, 1);
      *copy = (struct open_job){ open->job, g_strdup (open->key) };
      g_ptr_array_add (chosen, copy);
    }
  g_mutex_unlock (&cancel->lock);
  g_rand_free (rand);
  return chosen;
}

static gpointer
cancel_main (gpointer user)
{
  struct load_cancel *cancel = user;
  int64_t wait = cancel->due_us - g_get_monotonic_time ();
  if (wait > 0)
    g_usleep ((gulong)wait);
  g_autoptr (GPtrArray) chosen = choose_jobs (cancel);
  unsigned sent = 0;
  for (unsigned i = 0; i < chosen->len; i++)
    {
      const struct open_job *open = chosen->pdata[i];
      g_autofree char *path = g_strconcat ("/v1/jobs/", open->key, NULL);
      ne_session *session
          = call_session_new (cancel->opts->entries[open->job->entry], 2000);
      struct call_answer answer;
      if (load_send (session, "DELETE", path, NULL, NULL, &answer)
          == CALL_ANSWERED)
        {
          g_string_free (answer.body, TRUE);
          sent++;
        }
      ne_session_destroy (session);
    }
  printf ("cancelled %u of the open jobs\n", sent);
  return NULL;
}

struct load_cancel *
load_cancel_start (const struct load_opts *opts)
{
  if (opts->cancel <= 0)
    return NULL;
  struct load_cancel *cancel = g_new0 (struct load_cancel, 1);
  cancel->opts = opts;
  cancel->open = g_ptr_array_new_with_free_func (open_job_free);
  cancel->due_us
      = g_get_monotonic_time () + (int64_t)(opts->seconds * 1e6 / 2);
  g_mutex_init (&cancel->lock);
  cancel->thread = g_thread_new ("cancel", cancel_main, cancel);
  return cancel;
}

void
load_cancel_join (struct load_cancel *cancel)
{
  if (cancel == NULL)
    return;
  g_thread_join (cancel->thread);
  g_ptr_array_unref (cancel->open);
  g_mutex_clear (&cancel->lock);
  g_free (cancel);
}
