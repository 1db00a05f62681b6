/* Submits a job: makes an idempotency key, and resubmits with the same or a
   new key as the answers allow.  */
#include "cmd.h"

#include <stdio.h>
#include <string.h>

/* The upper bound of the setting body-bytes.  */
#define MAX_BODY_BYTES 4194304
#define MAX_SUFFIX 64
#define MIN_RETRY_MS 200
#define MAX_RETRY_MS 10000

/* What to do after an attempt.  */
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
  char *key;           /* prefix and suffix; null: a new one is needed */
  unsigned next_entry; /* entry of the next attempt */
  unsigned n_keys;     /* used so far */
  int retry_ms;        /* pause before the next attempt */
  int exit;            /* exit code if no further attempt is made */
};

/* Gives each key a suffix of its own: an entry issues the same prefix again
   within an epoch, and a key that was refused can never run.  */
static bool
make_key (struct submission *s, struct pl_err *err)
{
  g_autofree char *prefix
      = entry_fetch_prefix (s->cmd->entries[s->next_entry], err);
  if (prefix == NULL)
    return false;
  char number[16] = "";
  if (s->n_keys > 0)
    snprintf (number, sizeof number, "-%u", s->n_keys + 1);
  int max_suffix = MAX_SUFFIX - (int)strlen (number);
  s->key
      = g_strdup_printf ("%s.%.*s%s", prefix, max_suffix, s->suffix, number);
  s->n_keys++;
  /* The key is printed before the request, so that the caller can submit it
     again if this process crashes.  */
  fprintf (stderr, "key %s\n", s->key);
  fflush (stderr);
  return true;
}

static enum next
evaluate_answer (struct submission *s, const struct entry_answer *answer)
{
  const json_t *json = answer->json;
  const char *outcome = json_string_value (json_object_get (json, "outcome"));
  const char *resubmit
      = json_string_value (json_object_get (json, "resubmit"));
  json_int_t retry_after
      = json_integer_value (json_object_get (json, "retry_after_ms"));
  s->retry_ms = (int)CLAMP (retry_after, MIN_RETRY_MS, MAX_RETRY_MS);
  s->exit = CMD_FAILED;
  if (outcome == NULL || strcmp (outcome, "unknown") == 0)
    s->exit = CMD_UNKNOWN;
  else if (strcmp (outcome, "complete") == 0)
    s->exit = CMD_DONE;
  if (resubmit != NULL && strcmp (resubmit, "new_key") == 0)
    return NEXT_NEW_KEY;
  if (resubmit != NULL && strcmp (resubmit, "same_key") == 0)
    return NEXT_SAME_KEY;
  /* Without JSON the answer is not from an entry, and the submission may have
     been received.  */
  return outcome == NULL && json == NULL ? NEXT_SAME_KEY : NEXT_END;
}

static enum next
attempt (struct submission *s, struct entry_answer *answer, struct pl_err *err)
{
  s->retry_ms = MIN_RETRY_MS;
  if (s->key == NULL && !make_key (s, err))
    return NEXT_SAME_KEY;
  enum call_result result = entry_call (s->cmd->entries[s->next_entry], "POST",
                                        s->path, s->key, s->body, answer, err);
  if (result == CALL_ANSWERED)
    return evaluate_answer (s, answer);
  if (result == CALL_UNANSWERED)
    s->exit = CMD_UNKNOWN;
  return NEXT_SAME_KEY;
}

static int
run_submission (struct submission *s)
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
        cmd_error (s->exit, "%s", err.text);
      entry_answer_clear (&answer);
      if (last)
        return s->exit;
      if (next == NEXT_NEW_KEY)
        g_clear_pointer (&s->key, g_free);
      s->next_entry = (s->next_entry + 1) % s->cmd->n_entries;
      g_usleep ((gulong)s->retry_ms * 1000);
    }
}

/* A --key that has a dot is a whole key, from an earlier submission.  */
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
  s->n_keys = 1;
  /* The key may have been submitted before.  */
  s->exit = CMD_UNKNOWN;
}

int
cmd_submit (const struct cmd *cmd)
{
  if (cmd->n_entries == 0)
    return cmd_error (CMD_USAGE, "--entry or PAPAYALOFT_ENTRY is needed");
  GBytes *file = cmd_read_file (cmd->arg, MAX_BODY_BYTES);
  if (file == NULL)
    return CMD_FAILED;
  struct submission s = { .cmd = cmd, .exit = CMD_FAILED };
  s.body.data = g_bytes_get_data (file, &s.body.len);
  s.path = cmd->service == NULL
               ? g_strdup ("/v1/jobs")
               : g_strconcat ("/v1/services/", cmd->service, NULL);
  set_key (&s);
  int exit = run_submission (&s);
  g_free (s.path);
  g_free (s.suffix);
  g_free (s.key);
  g_bytes_unref (file);
  return exit;
}
