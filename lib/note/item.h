/* Private to lib/note: the items of a configuration.  Each section (services,
   teams, workers, evacuations) describes its items by one vtable, so that
   parsing, applying and writing are the same for all.  */
#pragma once

#include "note.h"

#include <jansson.h>

/* A path in a JSON document, for error texts: a list of parents on the stack,
   formatted only if there is an error.  */
struct note_path
{
  const struct note_path *parent; /* null: the document itself */
  const char *member;             /* null: an array element */
  size_t index;
};

/* Sets ERR to NOTE_INVALID with the text "$.path: rule" and returns false.  */
bool note_fail (struct pl_err *err, const struct note_path *path,
                const char *fmt, ...) G_GNUC_PRINTF (3, 4);

/* Refuses a value that is not an object, and a member that is not in ALLOWED,
   which ends with null.  */
bool note_check_members (const json_t *object, const struct note_path *path,
                         const char *const *allowed, struct pl_err *err);
/* Reads member NAME, a whole number from MIN to MAX.  */
bool note_get_int (const json_t *object, const struct note_path *path,
                   const char *name, int64_t min, int64_t max, int64_t *out,
                   struct pl_err *err);
/* Reads member NAME, or OBJECT itself if NAME is null: 1 to 64 characters of
   [a-z0-9-].  OUT is a GRefString.  */
bool note_get_name (const json_t *object, const struct note_path *path,
                    const char *name, char **out, struct pl_err *err);
/* Parses TEXT; duplicate members are refused.  Null with ERR set if it is not
   valid JSON.  */
json_t *note_parse_json (struct pl_str text, struct pl_err *err);

enum note_section
{
  NOTE_SERVICES,
  NOTE_TEAMS,
  NOTE_WORKERS,
  NOTE_EVACUATIONS,
  NOTE_SECTION_COUNT,
};

/* Operations on the items of one section.  An item's key is its name or its
   address; hash and equal look at the key only.  */
struct note_item_ops
{
  const char *name;   /* of the section, as a JSON member */
  size_t size;        /* of an item */
  unsigned max_items; /* in a configuration */
  GHashFunc hash;
  GEqualFunc equal;
  /* IN_SNAPSHOT: the item is part of a snapshot, not of a note.  On failure
     OUT may be partly filled and must be cleared.  */
  bool (*parse) (const json_t *json, const struct note_path *path,
                 bool in_snapshot, void *out, struct pl_err *err);
  /* Sets OUT's key from a name or an address, as "withdrawn" has them.  */
  bool (*parse_key) (const json_t *json, const struct note_path *path,
                     void *out, struct pl_err *err);
  void (*copy) (void *to, const void *from);
  void (*clear) (void *item);
  json_t *(*to_json) (const void *item);
};

extern const struct note_item_ops note_service_ops;
extern const struct note_item_ops note_team_ops;
extern const struct note_item_ops note_worker_ops;
extern const struct note_item_ops note_evacuation_ops;
extern const struct note_item_ops *const note_section_ops[NOTE_SECTION_COUNT];

/* The array of N items of SECTION of CONF.  */
const void *note_items (const struct note_conf *conf,
                        enum note_section section, unsigned *n);
/* The item of CONF (may be null) with the key of PROBE, or null.  */
const void *note_lookup (const struct note_conf *conf,
                         enum note_section section, const void *probe);
/* Takes over LISTS, one for each section, and builds the index.  */
struct note_conf *note_conf_new (int64_t revision,
                                 GArray *lists[NOTE_SECTION_COUNT]);
/* An empty list that clears its items.  */
GArray *note_list_new (const struct note_item_ops *ops, unsigned reserve);
/* Parses a JSON array of items into a new list; null with ERR set on
   failure.  */
GArray *note_list_parse (const struct note_item_ops *ops, const json_t *array,
                         const struct note_path *path, bool in_snapshot,
                         struct pl_err *err);
