#include "cmd.h"

#include <stdio.h>
#include <string.h>

#define BODY_MAX                                                              \
  4194304 /* upper bound of the setting body-bytes                            \
           */
#define SUFFIX_MAX 64
#define PAUSE_MS 200
#define PAUSE_MAX_MS 10000

/* What to do after an answer.  */
enum next
{
  NEXT_END,
  NEXT_NEW_KEY,
  NEXT_SAME_KEY,
};

struct submission
{
  const struct cmd *cmd;
  char *path;
  struct pl_str body;
  char *suffix;
  char *key;      /* whole; null: a new one is needed */
  unsigned entry; /* asked next */
  unsigned keys;  /* used so far */
  int pause_ms;
  int exit; /* what is known so far */
};

/* Each key has its own suffix: within an epoch an entry issues the same
   prefix again, and a refused key can never run.  */
static bool
new_key (struct submission *s, struct pl_err *err)
{
  g_autofree char *prefix = entry_prefix (s->cmd->entries[s->entry], err);
  if (prefix == NULL)
    return false;
  char more[16] = "";
  if (s->keys > 0)
    snprintf (more, sizeof more, "-%u", s->keys + 1);
  int room = SUFFIX_MAX - (int)strlen (more);
  s->key = g_strdup_printf ("%s.%.*s%s", prefix, room, s->suffix, more);
  s->keys++;
  /* Before the request, so that the caller can ask again after a crash.  */
  fprintf (stderr, "key %s\n", s->key);
  fflush (stderr);
  return true;
}

static enum next
judge (struct submission *s, const struct entry_answer *answer)
{
  const json_t *json = answer->json;
  const char *outcome = json_string_value (json_object_get (json, "outcome"));
  const char *resubmit
      = json_string_value (json_object_get (json, "resubmit"));
  json_int_t pause
      = json_integer_value (json_object_get (json, "retry_after_ms"));
  s->pause_ms = (int)CLAMP (pause, PAUSE_MS, PAUSE_MAX_MS);
  s->exit = CMD_FAILED;
  if (outcome == NULL || strcmp (outcome, "unknown") == 0)
    s->exit = CMD_UNKNOWN;
  else if (strcmp (outcome, "complete") == 0)
    s->exit = CMD_DONE;
  if (resubmit != NULL && strcmp (resubmit, "new_key") == 0)
    return NEXT_NEW_KEY;
  if (resubmit != NULL && strcmp (resubmit, "same_key") == 0)
    return NEXT_SAME_KEY;
  /* Not an answer of an entry: the submission may have been received.  */
  return outcome == NULL && json == NULL ? NEXT_SAME_KEY : NEXT_END;
}

static enum next
attempt (struct submission *s, struct entry_answer *answer, struct pl_err *err)
{
  s->pause_ms = PAUSE_MS;
  if (s->key == NULL && !new_key (s, err))
    return NEXT_SAME_KEY;
  enum call_result end = entry_call (s->cmd->entries[s->entry], "POST",
                                     s->path, s->key, s->body, answer, err);
  if (end == CALL_ANSWERED)
    return judge (s, answer);
  if (end == CALL_UNANSWERED)
    s->exit = CMD_UNKNOWN;
  return NEXT_SAME_KEY;
}

static int
run (struct submission *s)
{
  struct pl_err err = { 0 };
  for (int i = 0;; i++)
    {
      struct entry_answer answer = { 0 };
      enum next next = attempt (s, &answer, &err);
      bool last = next == NEXT_END || i + 1 >= s->cmd->tries;
      if (answer.text != NULL && last)
        puts (answer.text);
      else if (answer.text != NULL)
        fprintf (stderr, "papayaloft: trying again after %s\n", answer.text);
      else if (last)
        cmd_say (s->exit, "%s", err.text);
      entry_answer_clear (&answer);
      if (last)
        return s->exit;
      if (next == NEXT_NEW_KEY)
        g_clear_pointer (&s->key, g_free);
      s->entry = (s->entry + 1) % s->cmd->n_entries;
      g_usleep ((gulong)s->pause_ms * 1000);
    }
}

/* A --key with dots is a whole key from an earlier run.  */
static void
set_key (struct submission *s)
{
  const char *given = s->cmd->key;
  if (given == NULL)
    {
      s->suffix
          = g_strdup_printf ("%016llx", (unsigned long long)pl_random64 ());
      return;
    }
  const char *dot = strrchr (given, '.');
  s->suffix = g_strdup (dot == NULL ? given : dot + 1);
  if (dot == NULL)
    return;
  s->key = g_strdup (given);
  s->keys = 1;
  /* The key may have been submitted before.  */
  s->exit = CMD_UNKNOWN;
}

int
cmd_submit (const struct cmd *cmd)
{
  if (cmd->n_entries == 0)
    return cmd_say (CMD_USAGE, "--entry or PAPAYALOFT_ENTRY is needed");
  GBytes *file = cmd_read_file (cmd->arg, BODY_MAX);
  if (file == NULL)
    return CMD_FAILED;
  struct submission s = { .cmd = cmd, .exit = CMD_FAILED };
  s.body.data = g_bytes_get_data (file, &s.body.len);
  s.path = cmd->service == NULL
               ? g_strdup ("/v1/jobs")
               : g_strconcat ("/v1/services/", cmd->service, NULL);
  set_key (&s);
  int exit = run (&s);
  g_free (s.path);
  g_free (s.suffix);
  g_free (s.key);
  g_bytes_unref (file);
  return exit;
}
