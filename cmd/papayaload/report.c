/* The report of a run: outcomes and ratios of response time to ideal time, by
   kind and by team, and message counts.  */
#include "load.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define METRIC_PREFIX "papayaloft_"

struct summary
{
  unsigned refused; /* requests for which no connection was made */
  unsigned lost;    /* requests that were sent but not answered in full */
  unsigned jobs;
  unsigned outcomes[PL_OUTCOME_UNKNOWN + 1];
  unsigned no_answer;
  unsigned wrong;
  double offered_s; /* work of all jobs, in slot seconds */
  double goodput_s; /* work of the complete jobs */
  GArray *ratios;   /* double: response time / ideal time, complete jobs */
  GArray *fitting;  /* the ratios of jobs that fit in the free slots */
  GArray *refusals; /* double: ms from arrival to a refusal */
};

static void
add_metrics (GHashTable *sums, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char *space = strchr (*line, ' ');
      if (space == NULL || !g_str_has_prefix (*line, METRIC_PREFIX))
        continue;
      *space = '\0';
      const char *name = *line + strlen (METRIC_PREFIX);
      int64_t value = g_ascii_strtoll (space + 1, NULL, 10);
      int64_t *sum = g_hash_table_lookup (sums, name);
      if (sum == NULL)
        {
          sum = g_new0 (int64_t, 1);
          g_hash_table_insert (sums, g_strdup (name), sum);
        }
      *sum += value;
    }
}

GHashTable *
load_sum_metrics (const struct load_opts *opts)
{
  GHashTable *sums
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (unsigned i = 0; i < opts->n_entries; i++)
    {
      ne_session *session = call_session_new (opts->entries[i], 2000);
      struct call_answer answer;
      if (load_send (session, "GET", "/metrics", NULL, NULL, &answer)
          == CALL_ANSWERED)
        {
          if (answer.status == 200)
            add_metrics (sums, answer.body->str);
          g_string_free (answer.body, TRUE);
        }
      ne_session_destroy (session);
    }
  return sums;
}

static int64_t
counter_increase (GHashTable *before, GHashTable *after, const char *name)
{
  const int64_t *a = g_hash_table_lookup (after, name);
  const int64_t *b = g_hash_table_lookup (before, name);
  return (a == NULL ? 0 : *a) - (b == NULL ? 0 : *b);
}

static double
work_s (const struct load_job *job)
{
  double ms = 0;
  for (unsigned i = 0; i < job->n_tasks; i++)
    ms += job->run_ms[i];
  return ms / 1000;
}

static void
add_job (struct summary *s, const struct load_job *job)
{
  s->jobs++;
  s->wrong += job->wrong;
  s->refused += job->refused;
  s->lost += job->lost;
  s->offered_s += work_s (job);
  if (job->code == PL_SYSTEM)
    {
      s->no_answer++;
      return;
    }
  enum pl_outcome outcome = pl_code_info (job->code)->outcome;
  s->outcomes[outcome]++;
  double ms = (double)job->response_us / 1000;
  if (outcome == PL_OUTCOME_NOT_RUN)
    g_array_append_val (s->refusals, ms);
  if (job->code != PL_OK)
    return;
  s->goodput_s += work_s (job);
  double ratio = (double)job->response_us / (double)load_ideal_us (job);
  g_array_append_val (s->ratios, ratio);
  if (job->fits)
    g_array_append_val (s->fitting, ratio);
}

static int
compare_double (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

static double
quantile (GArray *sorted, double q)
{
  if (sorted->len == 0)
    return 0;
  return g_array_index (sorted, double,
                        (unsigned)(q * (double)(sorted->len - 1)));
}

static double
mean (GArray *values)
{
  double sum = 0;
  for (unsigned i = 0; i < values->len; i++)
    sum += g_array_index (values, double, i);
  return values->len == 0 ? 0 : sum / values->len;
}

static json_t *
summary_json (const struct summary *s)
{
  json_t *quantiles = json_array ();
  for (int q = 0; q <= 100; q++)
    json_array_append_new (quantiles,
                           json_real (quantile (s->ratios, q / 100.0)));
  json_t *json = json_pack (
      "{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:o}",
      "jobs", (int)s->jobs, "complete", (int)s->outcomes[PL_OUTCOME_COMPLETE],
      "not_run", (int)s->outcomes[PL_OUTCOME_NOT_RUN], "failed",
      (int)s->outcomes[PL_OUTCOME_FAILED], "unknown",
      (int)s->outcomes[PL_OUTCOME_UNKNOWN], "no_answer", (int)s->no_answer,
      "wrong", (int)s->wrong, "refused", (int)s->refused, "lost", (int)s->lost,
      "mean", mean (s->ratios), "p50", quantile (s->ratios, 0.5), "p99",
      quantile (s->ratios, 0.99), "quantiles", quantiles);
  json_t *more_members = json_pack (
      "{s:i, s:f, s:f, s:f, s:f, s:f, s:f}", "fit_jobs", (int)s->fitting->len,
      "fit_mean", mean (s->fitting), "fit_p99", quantile (s->fitting, 0.99),
      "offered_slot_s", s->offered_s, "goodput_slot_s", s->goodput_s,
      "refusal_ms_p50", quantile (s->refusals, 0.5), "refusal_ms_p99",
      quantile (s->refusals, 0.99));
  json_object_update (json, more_members);
  json_decref (more_members);
  return json;
}

static void
print_summary (const char *name, const struct summary *s)
{
  printf ("%-28s %6u %8u %7u %6u %7u %6u %5u %7.3f %7.3f %7.3f %6u %7.3f "
          "%7.3f %8.1f %8.1f %7.1f\n",
          name, s->jobs, s->outcomes[PL_OUTCOME_COMPLETE],
          s->outcomes[PL_OUTCOME_NOT_RUN], s->outcomes[PL_OUTCOME_FAILED],
          s->outcomes[PL_OUTCOME_UNKNOWN], s->no_answer, s->wrong,
          mean (s->ratios), quantile (s->ratios, 0.5),
          quantile (s->ratios, 0.99), s->fitting->len, mean (s->fitting),
          quantile (s->fitting, 0.99), s->offered_s, s->goodput_s,
          quantile (s->refusals, 0.99));
}

static GArray *
new_values (void)
{
  return g_array_new (FALSE, FALSE, sizeof (double));
}

static void
sort_values (GArray *values)
{
  qsort (values->data, values->len, sizeof (double), compare_double);
}

/* Summarises the jobs of KIND and of TEAM; null stands for all.  */
static json_t *
report_group (const char *name, const struct load_job *jobs, unsigned n,
              const struct load_kind *kind, const char *team)
{
  struct summary s = { .ratios = new_values (),
                       .fitting = new_values (),
                       .refusals = new_values () };
  for (unsigned i = 0; i < n; i++)
    if ((kind == NULL || jobs[i].kind == kind)
        && (team == NULL || strcmp (jobs[i].kind->team, team) == 0))
      add_job (&s, &jobs[i]);
  sort_values (s.ratios);
  sort_values (s.fitting);
  sort_values (s.refusals);
  print_summary (name, &s);
  json_t *json = summary_json (&s);
  json_object_set_new (json, "name", json_string (name));
  g_array_free (s.ratios, TRUE);
  g_array_free (s.fitting, TRUE);
  g_array_free (s.refusals, TRUE);
  return json;
}

static json_t *
report_kinds (const struct load_opts *opts, const struct load_job *jobs,
              unsigned n)
{
  json_t *kinds = json_array ();
  for (unsigned k = 0; k < opts->mix->n_kinds; k++)
    {
      const struct load_kind *kind = &opts->mix->kinds[k];
      g_autofree char *name
          = g_strdup_printf ("%s/%s", kind->service, kind->kind);
      json_array_append_new (kinds, report_group (name, jobs, n, kind, NULL));
    }
  return kinds;
}

static json_t *
report_teams (const struct load_opts *opts, const struct load_job *jobs,
              unsigned n)
{
  json_t *teams = json_array ();
  for (unsigned k = 0; k < opts->mix->n_kinds; k++)
    {
      const char *team = opts->mix->kinds[k].team;
      bool seen = false;
      for (unsigned i = 0; i < k; i++)
        seen = seen || strcmp (opts->mix->kinds[i].team, team) == 0;
      if (seen)
        continue;
      g_autofree char *name = g_strdup_printf ("team %s", team);
      json_array_append_new (teams, report_group (name, jobs, n, NULL, team));
    }
  return teams;
}

static const char *const message_counters[] = {
  "task_starts_total",     "wasted_messages_total",
  "task_refused_total",    "task_unreachable_total",
  "task_replaced_total",   "task_maybe_total",
  "jobs_forwarded_total",  "peer_messages_sent_total",
  "permits_granted_total", "permits_refused_total",
  "borrow_requests_total", "slots_borrowed_total",
  "slots_lent_total",
};

static json_t *
report_messages (GHashTable *before, GHashTable *after)
{
  int64_t starts = counter_increase (before, after, "task_starts_total");
  int64_t wasted = counter_increase (before, after, "wasted_messages_total");
  double per_start = starts == 0 ? 0 : (double)wasted / (double)starts;
  json_t *json = json_pack ("{s:I, s:I, s:f, s:I}", "starts",
                            (json_int_t)starts, "wasted", (json_int_t)wasted,
                            "wasted_per_start", per_start, "control_messages",
                            (json_int_t)counter_increase (
                                before, after, "peer_messages_sent_total"));
  printf ("wasted messages a start %.4f", per_start);
  for (unsigned i = 0; i < G_N_ELEMENTS (message_counters); i++)
    {
      const char *name = message_counters[i];
      int64_t value = counter_increase (before, after, name);
      json_object_set_new (json, name, json_integer (value));
      printf (", %s %lld", name, (long long)value);
    }
  printf ("\n");
  return json;
}

unsigned
load_report (const struct load_opts *opts, const struct load_job *jobs,
             unsigned n, GHashTable *before, GHashTable *after)
{
  printf ("%-28s %6s %8s %7s %6s %7s %6s %5s %7s %7s %7s %6s %7s %7s %8s %8s "
          "%7s\n",
          "kind", "jobs", "complete", "not run", "failed", "unknown", "silent",
          "wrong", "mean", "p50", "p99", "fit", "fitmean", "fitp99", "offered",
          "goodput", "refp99");
  json_t *kinds = report_kinds (opts, jobs, n);
  json_t *teams = report_teams (opts, jobs, n);
  json_t *total = report_group ("total", jobs, n, NULL, NULL);
  unsigned wrong
      = (unsigned)json_integer_value (json_object_get (total, "wrong"));
  json_t *root = json_pack (
      "{s:s, s:i, s:i, s:f, s:f, s:f, s:f, s:o, s:o, s:o, s:o}", "mix",
      opts->mix->name, "seed", (int)opts->seed, "domains",
      (int)opts->n_domains, "rate", opts->rate, "seconds", opts->seconds,
      "scale", opts->scale, "slots", opts->slots, "kinds", kinds, "teams",
      teams, "total", total, "messages", report_messages (before, after));
  if (opts->out != NULL && json_dump_file (root, opts->out, JSON_INDENT (1)))
    fprintf (stderr, "papayaload: can't write %s\n", opts->out);
  json_decref (root);
  return wrong;
}
