/* Runs a plan: submits each job at its planned time, whether or not earlier
   jobs have been answered.  Each client thread has one submission open; a job
   that falls due while all threads are busy starts late, but its response time
   counts from the planned time.  */
#include "load.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define DEFAULT_DEADLINE_MS 30000
/* A client that gets no answer resubmits the key up to MAX_RESENDS times, with
   a pause in between, before it gives up.  */
#define MAX_RESENDS 20
#define RESEND_PAUSE_US 300000
#define IMPOSSIBLE_MB 1000000 /* more memory than any worker has */

struct run_state
{
  const struct load_opts *opts;
  struct load_job *jobs;
  unsigned n;
  gint next_job;
  int64_t start_us;
  FILE *history;
  struct load_balancer *balancer;
  GMutex lock;
  char (*prefixes)[CALL_PREFIX_BYTES]; /* latest of each entry; "": none */
  struct load_cancel *cancel;
};

struct client
{
  struct run_state *state;
  ne_session **sessions; /* by entry, made on first use */
  unsigned next_entry;   /* for the next request */
};

/* Chooses the first entry from FIRST on that is in rotation, for the next
   request; FIRST itself if none is.  */
static void
choose_entry (struct client *client, unsigned first)
{
  unsigned n = client->state->opts->n_entries;
  client->next_entry = first % n;
  for (unsigned i = 0; i < n; i++)
    if (load_balancer_in_rotation (client->state->balancer, (first + i) % n))
      {
        client->next_entry = (first + i) % n;
        return;
      }
}

static ne_session *
get_session (struct client *client, unsigned entry)
{
  if (client->sessions[entry] == NULL)
    client->sessions[entry] = call_session_new (
        client->state->opts->entries[entry], DEFAULT_DEADLINE_MS + 2000);
  return client->sessions[entry];
}

static void
close_session (struct client *client, unsigned entry)
{
  if (client->sessions[entry] != NULL)
    ne_session_destroy (client->sessions[entry]);
  client->sessions[entry] = NULL;
}

/* Sets the prefix of ENTRY; a null PREFIX clears it, an empty one changes
   nothing.  */
static void
set_prefix (struct run_state *state, unsigned entry, const char *prefix)
{
  if (prefix != NULL && prefix[0] == '\0')
    return;
  g_mutex_lock (&state->lock);
  g_strlcpy (state->prefixes[entry], prefix == NULL ? "" : prefix,
             sizeof state->prefixes[entry]);
  g_mutex_unlock (&state->lock);
}

/* Clears PREFIX wherever it is stored, so that a new one is fetched.  */
static void
clear_prefix (struct run_state *state, const char *prefix)
{
  g_mutex_lock (&state->lock);
  for (unsigned i = 0; i < state->opts->n_entries; i++)
    if (strcmp (state->prefixes[i], prefix) == 0)
      state->prefixes[i][0] = '\0';
  g_mutex_unlock (&state->lock);
}

static bool
fetch_prefix (struct client *client, unsigned entry,
              char prefix[CALL_PREFIX_BYTES])
{
  struct call_answer reply;
  bool ok = load_send (get_session (client, entry), "GET", "/v1/prefix", NULL,
                       NULL, &reply)
            == CALL_ANSWERED;
  if (!ok)
    {
      close_session (client, entry);
      return false;
    }
  g_string_free (reply.body, TRUE);
  g_strlcpy (prefix, reply.prefix, CALL_PREFIX_BYTES);
  return reply.status == 200 && prefix[0] != '\0';
}

/* Finds the key prefix for a new submission: that of FIRST, or of the next
   entry in rotation that answers.  */
static bool
get_prefix (struct client *client, unsigned first,
            char prefix[CALL_PREFIX_BYTES])
{
  struct run_state *state = client->state;
  unsigned n = state->opts->n_entries;
  for (unsigned i = 0; i < n; i++)
    {
      unsigned entry = (first + i) % n;
      if (!load_balancer_in_rotation (state->balancer, entry))
        {
          set_prefix (state, entry, NULL);
          continue;
        }
      g_mutex_lock (&state->lock);
      g_strlcpy (prefix, state->prefixes[entry], CALL_PREFIX_BYTES);
      g_mutex_unlock (&state->lock);
      if (prefix[0] != '\0')
        return true;
      if (fetch_prefix (client, entry, prefix))
        {
          set_prefix (state, entry, prefix);
          return true;
        }
    }
  return false;
}

/* The run time to declare for a task.  With opts->declared it is too large in
   jobs of even number and too small in the others.  */
static int
declared_ms (const struct load_opts *opts, const struct load_job *job,
             unsigned task)
{
  double ms = job->run_ms[task];
  if (opts->declared > 0)
    ms = job->number % 2 == 0 ? ms * opts->declared : ms / opts->declared;
  return MAX ((int)ms, 1);
}

static char *
job_body (const struct load_opts *opts, const struct load_job *job,
          unsigned attempt)
{
  json_t *tasks = json_array ();
  for (unsigned i = 0; i < job->n_tasks; i++)
    {
      json_t *echo = json_sprintf ("%u.%u.%u", job->number, attempt, i);
      json_array_append_new (
          tasks,
          json_pack ("{s:i, s:I, s:{s:i, s:o}}", "size_ms",
                     declared_ms (opts, job, i), "memory_mb",
                     (json_int_t)(job->impossible ? IMPOSSIBLE_MB : 0),
                     "input", "run_ms", (int)job->run_ms[i], "echo", echo));
    }
  int deadline
      = opts->deadline_ms > 0 ? opts->deadline_ms : DEFAULT_DEADLINE_MS;
  json_t *root
      = json_pack ("{s:s, s:s, s:s, s:i, s:o}", "service", job->kind->service,
                   "kind", job->kind->kind, "team", job->kind->team,
                   "deadline_ms", deadline, "tasks", tasks);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static bool
echo_matches (json_t *answer, const struct load_job *job, unsigned attempt,
              unsigned i)
{
  char expected[48];
  snprintf (expected, sizeof expected, "%u.%u.%u", job->number, attempt, i);
  const char *echo = json_string_value (json_object_get (answer, "echo"));
  return echo != NULL && strcmp (echo, expected) == 0;
}

/* Whether the answer has one part for each task, in order, and each part is of
   this job and attempt.  */
static bool
answers_match_job (json_t *root, const struct load_job *job, unsigned attempt)
{
  json_t *answers = json_object_get (root, "answers");
  if (json_array_size (answers) != job->n_tasks)
    return false;
  for (unsigned i = 0; i < job->n_tasks; i++)
    if (!echo_matches (json_array_get (answers, i), job, attempt, i))
      return false;
  return true;
}

static void
write_history (struct run_state *state, const struct load_job *job,
               const char *key, unsigned attempt, enum pl_code code)
{
  if (state->history == NULL)
    return;
  const struct pl_code_info *info = pl_code_info (code);
  const char *outcome
      = code == PL_SYSTEM ? "no_answer" : pl_outcome_name (info->outcome);
  g_mutex_lock (&state->lock);
  fprintf (state->history, "%u %u %s %s %s/%s %u %s %lld\n", job->number,
           attempt, outcome, info->name, job->kind->service, job->kind->kind,
           job->n_tasks, key, (long long)g_get_real_time ());
  fflush (state->history);
  g_mutex_unlock (&state->lock);
}

/* Returns the result code of an answer; PL_SYSTEM if it has none, so that it
   is not from an entry.  */
static enum pl_code
read_code (const struct call_answer *reply, struct load_job *job,
           unsigned attempt)
{
  json_t *root = json_loadb (reply->body->str, reply->body->len, 0, NULL);
  json_t *code = json_object_get (root, "code");
  enum pl_code answer_code = PL_SYSTEM;
  if (json_is_integer (code))
    answer_code = (enum pl_code)json_integer_value (code);
  if (answer_code == PL_OK && !answers_match_job (root, job, attempt))
    job->wrong = true;
  json_decref (root);
  return answer_code;
}

/* Submits one key until an answer tells the outcome or MAX_RESENDS is
   reached.  */
static enum pl_code
submit_key (struct client *client, struct load_job *job, const char *key,
            const char *body, unsigned attempt)
{
  struct run_state *state = client->state;
  enum pl_code code = PL_SYSTEM;
  for (unsigned i = 0; i <= MAX_RESENDS; i++)
    {
      unsigned entry = client->next_entry;
      struct call_answer reply;
      enum call_result result = load_send (get_session (client, entry), "POST",
                                           "/v1/jobs", key, body, &reply);
      bool ok = result == CALL_ANSWERED;
      job->refused += result == CALL_UNSENT;
      job->lost += result == CALL_UNANSWERED;
      if (ok)
        {
          set_prefix (state, entry, reply.prefix);
          code = read_code (&reply, job, attempt);
          g_string_free (reply.body, TRUE);
        }
      else
        {
          close_session (client, entry);
          choose_entry (client, entry + 1);
        }
      bool retry = !ok || code == PL_SYSTEM || code == PL_TOO_MANY_CALLERS;
      if (!retry)
        return code;
      job->resends++;
      g_usleep (RESEND_PAUSE_US);
    }
  return code;
}

static bool
may_use_new_key (enum pl_code code)
{
  return code != PL_SYSTEM
         && strcmp (pl_code_info (code)->resubmit, "new_key") == 0;
}

static void
run_job (struct client *client, struct load_job *job)
{
  struct run_state *state = client->state;
  job->code = PL_SYSTEM;
  for (unsigned attempt = 1; attempt <= state->opts->tries; attempt++)
    {
      char prefix[CALL_PREFIX_BYTES];
      job->attempts = attempt;
      if (!get_prefix (client, job->owner, prefix))
        {
          g_usleep (RESEND_PAUSE_US);
          continue;
        }
      g_autofree char *key
          = g_strdup_printf ("%s.j%u-%u", prefix, job->number, attempt);
      char *body = job_body (state->opts, job, attempt);
      load_cancel_add_job (state->cancel, job, key);
      job->code = submit_key (client, job, key, body, attempt);
      load_cancel_remove_job (state->cancel, job);
      free (body);
      write_history (state, job, key, attempt, job->code);
      if (!may_use_new_key (job->code))
        break;
      clear_prefix (state, prefix);
    }
  job->response_us
      = g_get_monotonic_time () - state->start_us - job->arrival_us;
}

static gpointer
client_main (gpointer user)
{
  struct run_state *state = user;
  unsigned n = state->opts->n_entries;
  struct client client = { .state = state };
  client.sessions = g_new0 (ne_session *, n);
  for (;;)
    {
      unsigned i = (unsigned)g_atomic_int_add (&state->next_job, 1);
      if (i >= state->n)
        break;
      struct load_job *job = &state->jobs[i];
      int64_t wait
          = state->start_us + job->arrival_us - g_get_monotonic_time ();
      if (wait > 0)
        g_usleep ((gulong)wait);
      choose_entry (&client, job->entry);
      run_job (&client, job);
    }
  for (unsigned i = 0; i < n; i++)
    close_session (&client, i);
  g_free (client.sessions);
  return NULL;
}

bool
load_run (const struct load_opts *opts, struct load_job *jobs, unsigned n)
{
  struct run_state state = { .opts = opts, .jobs = jobs, .n = n };
  if (opts->history != NULL)
    {
      state.history = fopen (opts->history, "a");
      if (state.history == NULL)
        return false;
    }
  g_mutex_init (&state.lock);
  state.prefixes = g_malloc0 (sizeof *state.prefixes * opts->n_entries);
  state.balancer = load_balancer_new (opts);
  state.start_us = g_get_monotonic_time ();
  state.cancel = load_cancel_start (opts);
  GThread **threads = g_new (GThread *, opts->threads);
  for (unsigned i = 0; i < opts->threads; i++)
    threads[i] = g_thread_new ("client", client_main, &state);
  for (unsigned i = 0; i < opts->threads; i++)
    g_thread_join (threads[i]);
  g_free (threads);
  load_balancer_free (state.balancer);
  load_cancel_join (state.cancel);
  g_free (state.prefixes);
  g_mutex_clear (&state.lock);
  if (state.history != NULL)
    fclose (state.history);
  return true;
}
