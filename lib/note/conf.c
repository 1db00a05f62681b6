/* The configuration: its items by section, look-up by key, construction.  */
#include "item.h"

#include <string.h>

const struct note_item_ops *const note_section_ops[NOTE_SECTION_COUNT] = {
  [NOTE_SERVICES] = &note_service_ops,
  [NOTE_TEAMS] = &note_team_ops,
  [NOTE_WORKERS] = &note_worker_ops,
  [NOTE_EVACUATIONS] = &note_evacuation_ops,
};

const void *
note_items (const struct note_conf *conf, enum note_section section,
            unsigned *n)
{
  switch (section)
    {
    case NOTE_SERVICES:
      *n = conf->n_services;
      return conf->services;
    case NOTE_TEAMS:
      *n = conf->n_teams;
      return conf->teams;
    case NOTE_EVACUATIONS:
      *n = conf->n_evacuations;
      return conf->evacuations;
    default:
      *n = conf->n_workers;
      return conf->workers;
    }
}

static const void *
search_items (const struct note_conf *conf, enum note_section section,
              const void *probe)
{
  const struct note_item_ops *ops = note_section_ops[section];
  unsigned n;
  const char *item = note_items (conf, section, &n);
  for (unsigned i = 0; i < n; i++, item += ops->size)
    if (ops->equal (item, probe))
      return item;
  return NULL;
}

const void *
note_lookup (const struct note_conf *conf, enum note_section section,
             const void *probe)
{
  if (conf == NULL)
    return NULL;
  if (conf->index[section] == NULL)
    return search_items (conf, section, probe);
  return g_hash_table_lookup (conf->index[section], probe);
}

const struct note_kind *
note_find_kind (const struct note_conf *conf, const char *service,
                const char *kind)
{
  const struct note_service probe = { .name = (char *)service };
  const struct note_service *found = note_lookup (conf, NOTE_SERVICES, &probe);
  for (unsigned i = 0; found != NULL && i < found->n_kinds; i++)
    if (strcmp (found->kinds[i].name, kind) == 0)
      return &found->kinds[i];
  return NULL;
}

const struct note_team *
note_find_team (const struct note_conf *conf, const char *team)
{
  const struct note_team probe = { .name = (char *)team };
  return note_lookup (conf, NOTE_TEAMS, &probe);
}

const struct note_worker *
note_find_worker (const struct note_conf *conf, struct pl_addr addr)
{
  const struct note_worker probe = { .addr = addr };
  return note_lookup (conf, NOTE_WORKERS, &probe);
}

bool
note_is_evacuated (const struct note_conf *conf, const char *domain)
{
  const struct note_evacuation probe = { .domain = (char *)domain };
  return note_lookup (conf, NOTE_EVACUATIONS, &probe) != NULL;
}

static void
conf_free (struct pl_shared *shared)
{
  struct note_conf *conf = (struct note_conf *)shared;
  for (int s = 0; s < NOTE_SECTION_COUNT; s++)
    {
      unsigned n;
      char *items = (char *)note_items (conf, s, &n);
      g_hash_table_destroy (conf->index[s]);
      for (unsigned i = 0; i < n; i++)
        note_section_ops[s]->clear (items + i * note_section_ops[s]->size);
      g_free (items);
    }
  g_free (conf);
}

static GHashTable *
build_index (const struct note_item_ops *ops, char *items, unsigned n)
{
  GHashTable *index = g_hash_table_new (ops->hash, ops->equal);
  for (unsigned i = 0; i < n; i++)
    g_hash_table_add (index, items + i * ops->size);
  return index;
}

static void *
take_items (GArray *list, unsigned *n)
{
  *n = list->len;
  return g_array_free (list, FALSE);
}

struct note_conf *
note_conf_new (int64_t revision, GArray *lists[NOTE_SECTION_COUNT])
{
  struct note_conf *conf = g_new0 (struct note_conf, 1);
  pl_shared_init (&conf->base, conf_free);
  conf->revision = revision;
  conf->services = take_items (lists[NOTE_SERVICES], &conf->n_services);
  conf->teams = take_items (lists[NOTE_TEAMS], &conf->n_teams);
  conf->workers = take_items (lists[NOTE_WORKERS], &conf->n_workers);
  conf->evacuations
      = take_items (lists[NOTE_EVACUATIONS], &conf->n_evacuations);
  for (int s = 0; s < NOTE_SECTION_COUNT; s++)
    {
      unsigned n;
      char *items = (char *)note_items (conf, s, &n);
      conf->index[s] = build_index (note_section_ops[s], items, n);
    }
  return conf;
}

GArray *
note_list_new (const struct note_item_ops *ops, unsigned reserve)
{
  GArray *list
      = g_array_sized_new (FALSE, TRUE, (guint)ops->size, MAX (reserve, 1));
  g_array_set_clear_func (list, ops->clear);
  return list;
}

GArray *
note_list_parse (const struct note_item_ops *ops, const json_t *array,
                 const struct note_path *path, bool in_snapshot,
                 struct pl_err *err)
{
  size_t n = json_array_size (array);
  if (!json_is_array (array) || n > ops->max_items)
    {
      note_fail (err, path, "must be a list of at most %u %s", ops->max_items,
                 ops->name);
      return NULL;
    }
  GArray *list = note_list_new (ops, (unsigned)n);
  g_array_set_size (list, (guint)n);
  for (size_t i = 0; i < n; i++)
    {
      struct note_path child = { .parent = path, .index = i };
      if (!ops->parse (json_array_get (array, i), &child, in_snapshot,
                       list->data + i * ops->size, err))
        {
          g_array_unref (list);
          return NULL;
        }
    }
  return list;
}
