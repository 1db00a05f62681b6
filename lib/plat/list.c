/* Reads the platform's list of instances.  */
#include "list.h"

#include <jansson.h>
#include <string.h>

#define INSTANCES_PREFIX "platform/instances/"

/* Skips a malformed value, since an absent instance has no effect.  */
static void
add_instance (const char *key, struct pl_str value, void *user)
{
  (void)key;
  GArray *list = user;
  json_t *root
      = json_loadb (value.data, value.len, JSON_REJECT_DUPLICATES, NULL);
  const char *address = json_string_value (json_object_get (root, "address"));
  const char *state = json_string_value (json_object_get (root, "state"));
  const char *role = json_string_value (json_object_get (root, "role"));
  struct plat_instance instance = { 0 };
  if (address != NULL && state != NULL
      && pl_addr_parse (pl_str (address), &instance.addr)
      && (strcmp (state, "live") == 0 || strcmp (state, "leaving") == 0))
    {
      instance.leaving = strcmp (state, "leaving") == 0;
      instance.worker = role != NULL && strcmp (role, "worker") == 0;
      g_array_append_val (list, instance);
    }
  else
    pl_count (PL_CTR_STORE_ERRORS_TOTAL, 1);
  json_decref (root);
}

GArray *
plat_read_instances (struct plat *plat, struct pl_err *err)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct plat_instance));
  if (plat->ops->list (plat, INSTANCES_PREFIX, add_instance, list, err))
    return list;
  g_array_unref (list);
  return NULL;
}
