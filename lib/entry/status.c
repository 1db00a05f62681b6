/* Builds the JSON document of GET /v1/status.  */
#include "impl.h"

#include <jansson.h>

static const char *
state_name (enum memb_state state)
{
  static const char *const names[] = {
    [MEMB_ALIVE] = "alive",
    [MEMB_SUSPECT] = "suspect",
    [MEMB_DEAD] = "dead",
    [MEMB_LEFT] = "left",
  };
  return names[state];
}

static json_t *
id_to_json (claim_instance_id id)
{
  return json_sprintf ("%016" G_GINT64_MODIFIER "x", id);
}

static json_t *
peer_to_json (const struct memb_peer *peer)
{
  char addr[PL_ADDR_TEXT];
  return json_pack ("{s:o, s:s, s:s, s:s, s:b, s:I}", "id",
                    id_to_json (peer->id), "domain", peer->domain, "control",
                    pl_addr_text (peer->control, addr), "state",
                    state_name (peer->state), "draining", peer->draining,
                    "revision", (json_int_t)peer->revision);
}

static void
add_members (json_t *root, struct entry *entry)
{
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->memb_view_ptr);
  if (shared == NULL)
    return;
  const struct memb_view *view = (struct memb_view *)shared;
  json_t *peers = json_array ();
  for (unsigned i = 0; i < view->n_peers; i++)
    json_array_append_new (peers, peer_to_json (&view->peers[i]));
  json_object_set_new (root, "witness", id_to_json (view->self.witness));
  json_object_set_new (root, "sharers", json_integer (view->n_sharers));
  json_object_set_new (root, "peers", peers);
  pl_shared_unref (shared);
}

static int64_t
revision_in_force (struct entry *entry)
{
  struct pl_shared *shared = pl_rcu_ptr_get (&entry->note_conf_ptr);
  if (shared == NULL)
    return 0;
  int64_t revision = ((struct note_conf *)shared)->revision;
  pl_shared_unref (shared);
  return revision;
}

void
entry_append_status (struct entry *entry, GString *out)
{
  struct disp_status status;
  disp_get_status (entry->disp, &status);
  g_mutex_lock (&entry->lock);
  bool draining = entry->draining;
  g_mutex_unlock (&entry->lock);
  json_t *root = json_pack (
      "{s:o, s:s, s:I, s:b, s:i, s:i, s:i, s:i, s:i, s:I}", "id",
      id_to_json (entry->self), "domain", entry->conf->domain, "revision",
      (json_int_t)revision_in_force (entry), "draining", draining,
      "queued_tasks", (int)status.queued_tasks, "running_tasks",
      (int)status.running_tasks, "unfinished_jobs",
      (int)status.unfinished_jobs, "records", (int)status.records,
      "free_slots", (int)status.free_slots, "epoch", (json_int_t)status.epoch);
  add_members (root, entry);
  char *text = json_dumps (root, JSON_COMPACT);
  g_string_append (out, text);
  free (text);
  json_decref (root);
}
