/* Lists the latest release notes of the store: revision, id, comment.  */
#include "cmd.h"

#include <stdio.h>

#define MAX_NOTES 50

static bool
print_note (struct plat *plat, int64_t revision, struct pl_err *err)
{
  GBytes *note = plat_read_note (plat, revision, err);
  if (note == NULL)
    return false;
  gsize len;
  const char *data = g_bytes_get_data (note, &len);
  json_t *root = json_loadb (data, len, 0, NULL);
  const char *id = json_string_value (json_object_get (root, "id"));
  const char *comment = json_string_value (json_object_get (root, "comment"));
  printf ("%lld %s %s\n", (long long)revision, id == NULL ? "-" : id,
          comment == NULL ? "" : comment);
  json_decref (root);
  g_bytes_unref (note);
  return true;
}

int
cmd_history (const struct cmd *cmd)
{
  struct plat *plat = cmd_open_platform (cmd);
  if (plat == NULL)
    return CMD_USAGE;
  struct pl_err err = { 0 };
  int64_t head;
  int64_t mod_rev;
  bool ok = plat_read_head (plat, &head, &mod_rev, &err);
  for (int64_t i = MAX (1, head - MAX_NOTES + 1); ok && i <= head; i++)
    ok = print_note (plat, i, &err);
  plat->ops->free (plat);
  return ok ? CMD_DONE : cmd_error (CMD_FAILED, "%s", err.text);
}
