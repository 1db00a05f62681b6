/* Section "workers": the upstreams that run tasks.  */
#include "item.h"

#define MAX_SLOTS 1024
#define MAX_MEMORY_MB 16777216 /* 16 TiB */
/* 2.6 times the 6300 workers of the target scale.  */
#define MAX_WORKERS 16384

static const char *const members[]
    = { "address", "domain", "rack", "slots", "memory_mb", NULL };
static const char *const snapshot_members[]
    = { "address",   "domain",         "rack", "slots",
        "memory_mb", "added_revision", NULL };

static bool
worker_parse_key (const json_t *json, const struct note_path *path, void *out,
                  struct pl_err *err)
{
  if (!json_is_string (json)
      || !pl_addr_parse (pl_str (json_string_value (json)),
                         &((struct note_worker *)out)->addr))
    return note_fail (err, path, "must be an address \"a.b.c.d:port\"");
  return true;
}

static bool
worker_parse (const json_t *json, const struct note_path *path,
              bool in_snapshot, void *out, struct pl_err *err)
{
  struct note_worker *worker = out;
  struct note_path address = { .parent = path, .member = "address" };
  int64_t slots;
  if (!note_check_members (json, path,
                           in_snapshot ? snapshot_members : members, err)
      || !worker_parse_key (json_object_get (json, "address"), &address,
                            worker, err)
      || !note_get_name (json, path, "domain", &worker->domain, err)
      || !note_get_name (json, path, "rack", &worker->rack, err)
      || !note_get_int (json, path, "slots", 1, MAX_SLOTS, &slots, err)
      || !note_get_int (json, path, "memory_mb", 1, MAX_MEMORY_MB,
                        &worker->memory_mb, err))
    return false;
  worker->slots = (unsigned)slots;
  return !in_snapshot
         || note_get_int (json, path, "added_revision", 1, INT64_MAX,
                          &worker->added_revision, err);
}

static guint
worker_hash (const void *item)
{
  const struct note_worker *worker = item;
  /* Multiplicative hashing, since addresses differ in few bits only.  */
  uint64_t key = (uint64_t)worker->addr.ip << 16 | worker->addr.port;
  return (guint)(key * 0x9e3779b97f4a7c15U >> 32);
}

static gboolean
worker_equal (const void *a, const void *b)
{
  return pl_addr_eq (((const struct note_worker *)a)->addr,
                     ((const struct note_worker *)b)->addr);
}

static void
worker_copy (void *to, const void *from)
{
  struct note_worker *copy = to;
  *copy = *(const struct note_worker *)from;
  g_ref_string_acquire (copy->domain);
  g_ref_string_acquire (copy->rack);
}

static void
worker_clear (void *item)
{
  struct note_worker *worker = item;
  g_clear_pointer (&worker->domain, g_ref_string_release);
  g_clear_pointer (&worker->rack, g_ref_string_release);
}

static json_t *
worker_to_json (const void *item)
{
  const struct note_worker *worker = item;
  char address[PL_ADDR_TEXT];
  return json_pack ("{s:s, s:s, s:s, s:i, s:I, s:I}", "address",
                    pl_addr_text (worker->addr, address), "domain",
                    worker->domain, "rack", worker->rack, "slots",
                    (int)worker->slots, "memory_mb",
                    (json_int_t)worker->memory_mb, "added_revision",
                    (json_int_t)worker->added_revision);
}

const struct note_item_ops note_worker_ops = {
  .name = "workers",
  .size = sizeof (struct note_worker),
  .max_items = MAX_WORKERS,
  .hash = worker_hash,
  .equal = worker_equal,
  .parse = worker_parse,
  .parse_key = worker_parse_key,
  .copy = worker_copy,
  .clear = worker_clear,
  .to_json = worker_to_json,
};
