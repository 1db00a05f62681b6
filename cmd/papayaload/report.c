/* The report of a run: outcomes and response time against the ideal by kind,
   and messages.  */
#include "load.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define METRIC_PREFIX "papayaloft_"

struct summary
{
  unsigned refused;
  unsigned lost;
  unsigned jobs;
  unsigned outcomes[PL_OUTCOME_UNKNOWN + 1];
  unsigned no_answer;
  unsigned wrong;
  GArray *ratios; /* double: response against the ideal, complete jobs */
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
load_metrics (const struct load_opts *opts)
{
  GHashTable *sums
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (unsigned i = 0; i < opts->n_entries; i++)
    {
      ne_session *session = call_session (opts->entries[i], 2000);
      struct call_answer answer;
      if (load_send (session, "GET", "/metrics", NULL, NULL, &answer)
          == CALL_DONE)
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
grown (GHashTable *before, GHashTable *after, const char *name)
{
  const int64_t *a = g_hash_table_lookup (after, name);
  const int64_t *b = g_hash_table_lookup (before, name);
  return (a == NULL ? 0 : *a) - (b == NULL ? 0 : *b);
}

static void
add_job (struct summary *s, const struct load_job *job)
{
  s->jobs++;
  s->wrong += job->wrong;
  s->refused += job->refused;
  s->lost += job->lost;
  if (job->code == PL_SYSTEM)
    {
      s->no_answer++;
      return;
    }
  s->outcomes[pl_code_info (job->code)->outcome]++;
  if (job->code != PL_OK)
    return;
  double ratio = (double)job->response_us / (double)load_ideal_us (job);
  g_array_append_val (s->ratios, ratio);
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
summary_json (struct summary *s)
{
  json_t *quantiles = json_array ();
  for (int q = 0; q <= 100; q++)
    json_array_append_new (quantiles,
                           json_real (quantile (s->ratios, q / 100.0)));
  return json_pack (
      "{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:f, s:f, s:f, s:o}",
      "jobs", (int)s->jobs, "complete", (int)s->outcomes[PL_OUTCOME_COMPLETE],
      "not_run", (int)s->outcomes[PL_OUTCOME_NOT_RUN], "failed",
      (int)s->outcomes[PL_OUTCOME_FAILED], "unknown",
      (int)s->outcomes[PL_OUTCOME_UNKNOWN], "no_answer", (int)s->no_answer,
      "wrong", (int)s->wrong, "refused", (int)s->refused, "lost", (int)s->lost,
      "mean", mean (s->ratios), "p50", quantile (s->ratios, 0.5), "p99",
      quantile (s->ratios, 0.99), "quantiles", quantiles);
}

static void
print_summary (const char *name, struct summary *s)
{
  printf ("%-28s %6u %8u %7u %6u %7u %6u %5u %7.3f %7.3f %7.3f\n", name,
          s->jobs, s->outcomes[PL_OUTCOME_COMPLETE],
          s->outcomes[PL_OUTCOME_NOT_RUN], s->outcomes[PL_OUTCOME_FAILED],
          s->outcomes[PL_OUTCOME_UNKNOWN], s->no_answer, s->wrong,
          mean (s->ratios), quantile (s->ratios, 0.5),
          quantile (s->ratios, 0.99));
}

/* Summarises the jobs of KIND, or of all kinds if it is null.  */
static json_t *
report_kind (const struct load_job *jobs, unsigned n,
             const struct load_kind *kind, unsigned *wrong)
{
  struct summary s = { .ratios = g_array_new (FALSE, FALSE, sizeof (double)) };
  for (unsigned i = 0; i < n; i++)
    if (kind == NULL || jobs[i].kind == kind)
      add_job (&s, &jobs[i]);
  qsort (s.ratios->data, s.ratios->len, sizeof (double), compare_double);
  g_autofree char *name
      = kind == NULL ? g_strdup ("total")
                     : g_strdup_printf ("%s/%s", kind->service, kind->kind);
  print_summary (name, &s);
  json_t *json = summary_json (&s);
  json_object_set_new (json, "name", json_string (name));
  g_array_free (s.ratios, TRUE);
  *wrong = s.wrong;
  return json;
}

static json_t *
report_messages (GHashTable *before, GHashTable *after)
{
  int64_t starts = grown (before, after, "task_starts_total");
  int64_t wasted = grown (before, after, "wasted_messages_total");
  int64_t control = grown (before, after, "peer_messages_sent_total");
  double per_start = starts == 0 ? 0 : (double)wasted / (double)starts;
  printf ("task starts %lld, wasted messages %lld (%.4f a start), refused "
          "%lld, unreachable %lld, placed again %lld, forwarded jobs %lld, "
          "control messages %lld\n",
          (long long)starts, (long long)wasted, per_start,
          (long long)grown (before, after, "task_refused_total"),
          (long long)grown (before, after, "task_unreachable_total"),
          (long long)grown (before, after, "task_replaced_total"),
          (long long)grown (before, after, "jobs_forwarded_total"),
          (long long)control);
  return json_pack ("{s:I, s:I, s:f, s:I}", "starts", (json_int_t)starts,
                    "wasted", (json_int_t)wasted, "wasted_per_start",
                    per_start, "control_messages", (json_int_t)control);
}

unsigned
load_report (const struct load_opts *opts, const struct load_job *jobs,
             unsigned n, GHashTable *before, GHashTable *after)
{
  printf ("%-28s %6s %8s %7s %6s %7s %6s %5s %7s %7s %7s\n", "kind", "jobs",
          "complete", "not run", "failed", "unknown", "silent", "wrong",
          "mean", "p50", "p99");
  json_t *kinds = json_array ();
  unsigned wrong = 0;
  for (unsigned k = 0; k < opts->mix->n_kinds; k++)
    json_array_append_new (
        kinds, report_kind (jobs, n, &opts->mix->kinds[k], &wrong));
  json_t *total = report_kind (jobs, n, NULL, &wrong);
  json_t *root = json_pack ("{s:s, s:i, s:f, s:f, s:f, s:o, s:o, s:o}", "mix",
                            opts->mix->name, "seed", (int)opts->seed, "rate",
                            opts->rate, "seconds", opts->seconds, "scale",
                            opts->scale, "kinds", kinds, "total", total,
                            "messages", report_messages (before, after));
  if (opts->out != NULL && json_dump_file (root, opts->out, JSON_INDENT (1)))
    fprintf (stderr, "papayaload: can't write %s\n", opts->out);
  json_decref (root);
  return wrong;
}
