/* Checks what callers were told against what upstreams saw start.

   A history line is "<job> <attempt> <outcome> <code> <service/kind> <tasks>
   <key> <unix us>"; an upstream's log line "<unix us> <address> <event> <task
   id> <kind> <echo>", where echo is "<job>.<attempt>.<task>".  */
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SHOWN 20 /* violations printed a rule */

struct check
{
  GHashTable *starts; /* echo -> count */
  GHashTable
      *attempts;      /* "job.attempt" -> number of different tasks started */
  GHashTable *worked; /* job -> number of attempts with a start */
  unsigned violations;
  unsigned doubles;
  unsigned false_not_run;
  unsigned incomplete;
  unsigned failed_unstarted;
  unsigned twice_worked;
  unsigned unknown;
  unsigned unknown_unstarted;
  unsigned lines;
  unsigned start_lines;
};

static unsigned
bump (GHashTable *table, const char *key)
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
violation (struct check *check, unsigned *rule, const char *text,
           const char *what)
{
  check->violations++;
  if (++*rule <= MAX_SHOWN)
    printf ("violation: %s: %s\n", text, what);
}

static void
add_start (struct check *check, const char *echo)
{
  check->start_lines++;
  if (bump (check->starts, echo) > 1)
    {
      violation (check, &check->doubles, "task started more than once", echo);
      return;
    }
  g_autofree char *attempt = g_strdup (echo);
  char *dot = strrchr (attempt, '.');
  if (dot == NULL)
    return;
  *dot = '\0';
  if (bump (check->attempts, attempt) > 1)
    return;
  dot = strrchr (attempt, '.');
  if (dot == NULL)
    return;
  *dot = '\0';
  if (bump (check->worked, attempt) > 1)
    violation (check, &check->twice_worked,
               "job worked under more than one key", attempt);
}

static void
check_attempt (struct check *check, char **f)
{
  check->lines++;
  g_autofree char *attempt = g_strconcat (f[0], ".", f[1], NULL);
  unsigned started = count_of (check->attempts, attempt);
  const char *outcome = f[2];
  unsigned tasks = (unsigned)strtoul (f[5], NULL, 10);
  g_autofree char *what
      = g_strdup_printf ("%s %s, %u of %u tasks started, key %s", outcome,
                         f[3], started, tasks, f[6]);
  if (strcmp (outcome, "not_run") == 0 && started > 0)
    violation (check, &check->false_not_run, "\"not run\" was not true", what);
  else if (strcmp (outcome, "complete") == 0 && started != tasks)
    violation (check, &check->incomplete, "complete without all tasks", what);
  else if (strcmp (outcome, "failed") == 0 && started == 0)
    violation (check, &check->failed_unstarted,
               "\"some tasks ran\" without a start", what);
  else if (strcmp (outcome, "unknown") == 0)
    {
      check->unknown++;
      check->unknown_unstarted += started == 0;
    }
}

static bool
each_line (const char *path,
           void (*line_fn) (struct check *check, char **fields, unsigned n),
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
starts_line (struct check *check, char **f, unsigned n)
{
  if (n >= 6 && strcmp (f[2], "start") == 0)
    add_start (check, f[5]);
}

static void
history_line (struct check *check, char **f, unsigned n)
{
  bool is_history = n >= 8 && g_ascii_isdigit (f[0][0])
                    && strchr (f[1], ':') == NULL
                    && strchr (f[4], '/') != NULL;
  if (is_history)
    check_attempt (check, f);
}

int
load_check (char *const *files, int n)
{
  struct check check = { 0 };
  check.starts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  check.attempts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  check.worked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  bool ok = true;
  for (int i = 0; i < n && ok; i++)
    ok = each_line (files[i], starts_line, &check);
  for (int i = 0; i < n && ok; i++)
    ok = each_line (files[i], history_line, &check);
  g_hash_table_unref (check.starts);
  g_hash_table_unref (check.attempts);
  g_hash_table_unref (check.worked);
  if (!ok)
    return 2;
  printf ("attempts=%u starts=%u double_starts=%u false_not_run=%u "
          "incomplete=%u failed_unstarted=%u worked_twice=%u unknown=%u "
          "unknown_unstarted=%u violations=%u\n",
          check.lines, check.start_lines, check.doubles, check.false_not_run,
          check.incomplete, check.failed_unstarted, check.twice_worked,
          check.unknown, check.unknown_unstarted, check.violations);
  /* A check that saw nothing proves nothing.  */
  return check.violations == 0 && check.lines > 0 && check.start_lines > 0 ? 0
                                                                           : 1;
}
