/* Checks the outcomes that callers were told against the task starts that the
   upstreams have logged.

   A history line is "<job> <attempt> <outcome> <code> <service/kind> <tasks>
   <key> <unix us>"; an upstream's log line "<unix us> <address> <event> <task
   id> <kind> <echo>", where echo is "<job>.<attempt>.<task>".  */
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PRINTED 20 /* violations printed for each rule */

struct check
{
  GHashTable *starts_of_task;   /* echo -> count */
  GHashTable *tasks_of_attempt; /* "job.attempt" -> number of different tasks
                                   started */
  GHashTable *attempts_of_job;  /* job -> number of attempts with a start */
  unsigned violations;
  unsigned double_starts;    /* starts of a task that had started before */
  unsigned false_not_run;    /* not run, although a task started */
  unsigned incomplete;       /* complete, although a task did not start */
  unsigned failed_unstarted; /* failed, and no task started */
  unsigned worked_twice;     /* attempts with a start, after the first of their
                                job */
  unsigned unknown;
  unsigned unknown_unstarted; /* unknown, and no task started */
  unsigned history_lines;
  unsigned start_lines;
};

static unsigned
increment (GHashTable *table, const char *key)
{
  unsigned n = GPOINTER_TO_UINT (g_hash_table_lookup (table, key)) + 1;
  g_hash_table_insert (table, g_strdup (key), GUINT_TO_POINTER (n));
  return n;
}

static unsigned
count_of (GHashTable *table, const char *key)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (table, key));
}

static void
report_violation (struct check *check, unsigned *count, const char *rule,
                  const char *detail)
{
  check->violations++;
  if (++*count <= MAX_PRINTED)
    printf ("violation: %s: %s\n", rule, detail);
}

/* Counts a start; the echo holds the numbers of job, attempt and task.  */
static void
add_start (struct check *check, const char *echo)
{
  check->start_lines++;
  if (increment (check->starts_of_task, echo) > 1)
    {
      report_violation (check, &check->double_starts,
                        "task started more than once", echo);
      return;
    }
  g_autofree char *attempt = g_strdup (echo);
  char *dot = strrchr (attempt, '.');
  if (dot == NULL)
    return;
  *dot = '\0';
  if (increment (check->tasks_of_attempt, attempt) > 1)
    return;
  dot = strrchr (attempt, '.');
  if (dot == NULL)
    return;
  *dot = '\0';
  if (increment (check->attempts_of_job, attempt) > 1)
    report_violation (check, &check->worked_twice,
                      "job worked under more than one key", attempt);
}

static void
check_attempt (struct check *check, char **fields)
{
  check->history_lines++;
  g_autofree char *attempt = g_strconcat (fields[0], ".", fields[1], NULL);
  unsigned started = count_of (check->tasks_of_attempt, attempt);
  const char *outcome = fields[2];
  unsigned tasks = (unsigned)strtoul (fields[5], NULL, 10);
  g_autofree char *detail
      = g_strdup_printf ("%s %s, %u of %u tasks started, key %s", outcome,
                         fields[3], started, tasks, fields[6]);
  if (strcmp (outcome, "not_run") == 0 && started > 0)
    report_violation (check, &check->false_not_run, "\"not run\" was not true",
                      detail);
  else if (strcmp (outcome, "complete") == 0 && started != tasks)
    report_violation (check, &check->incomplete, "complete without all tasks",
                      detail);
  else if (strcmp (outcome, "failed") == 0 && started == 0)
    report_violation (check, &check->failed_unstarted,
                      "\"some tasks ran\" without a start", detail);
  else if (strcmp (outcome, "unknown") == 0)
    {
      check->unknown++;
      check->unknown_unstarted += started == 0;
    }
}

static bool
for_each_line (const char *path,
               void (*line_fn) (struct check *check, char **fields,
                                unsigned n),
               struct check *check)
{
  FILE *file = fopen (path, "r");
  if (file == NULL)
    {
      fprintf (stderr, "papayaload: can't read %s\n", path);
      return false;
    }
  char *line = NULL;
  size_t size = 0;
  while (getline (&line, &size, file) > 0)
    {
      g_auto (GStrv) fields = g_strsplit (g_strchomp (line), " ", 9);
      line_fn (check, fields, g_strv_length (fields));
    }
  free (line);
  fclose (file);
  return true;
}

static void
read_start_line (struct check *check, char **fields, unsigned n)
{
  if (n >= 6 && strcmp (fields[2], "start") == 0)
    add_start (check, fields[5]);
}

static void
read_history_line (struct check *check, char **fields, unsigned n)
{
  bool is_history = n >= 8 && g_ascii_isdigit (fields[0][0])
                    && strchr (fields[1], ':') == NULL
                    && strchr (fields[4], '/') != NULL;
  if (is_history)
    check_attempt (check, fields);
}

int
load_check (char *const *files, int n)
{
  struct check check = { 0 };
  check.starts_of_task
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  check.tasks_of_attempt
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  check.attempts_of_job
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool ok = true;
  for (int i = 0; i < n && ok; i++)
    ok = for_each_line (files[i], read_start_line, &check);
  for (int i = 0; i < n && ok; i++)
    ok = for_each_line (files[i], read_history_line, &check);
  g_hash_table_unref (check.starts_of_task);
  g_hash_table_unref (check.tasks_of_attempt);
  g_hash_table_unref (check.attempts_of_job);
  if (!ok)
    return 2;
  printf ("attempts=%u starts=%u double_starts=%u false_not_run=%u "
          "incomplete=%u failed_unstarted=%u worked_twice=%u unknown=%u "
          "unknown_unstarted=%u violations=%u\n",
          check.history_lines, check.start_lines, check.double_starts,
          check.false_not_run, check.incomplete, check.failed_unstarted,
          check.worked_twice, check.unknown, check.unknown_unstarted,
          check.violations);
  /* Empty histories or logs prove nothing, so they count as a failure.  */
  return check.violations == 0 && check.history_lines > 0
                 && check.start_lines > 0
             ? 0
             : 1;
}
