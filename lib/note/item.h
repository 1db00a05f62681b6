/* Items of a configuration (services, teams, workers) behind one vtable;
   private to lib/note.  */
#pragma once

#include "note.h"

#include <jansson.h>

/* Position in a JSON document, linked on the stack and written out only for
   an error.  */
struct note_at
{
  const struct note_at *up; /* null: the document itself */
  const char *member;       /* null: an array element */
  size_t index;
};

/* Sets ERR to NOTE_INVALID with "$.path: rule" and returns false.  */
bool note_refuse (struct pl_err *err, const struct note_at *at,
                  const char *fmt, ...) G_GNUC_PRINTF (3, 4);

/* Checked readers of members.  ALLOWED ends with null; a member that is not
   in it is refused.  */
bool note_members (const json_t *object, const struct note_at *at,
                   const char *const *allowed, struct pl_err *err);
bool note_get_int (const json_t *object, const struct note_at *at,
                   const char *name, int64_t min, int64_t max, int64_t *out,
                   struct pl_err *err);
/* A name is 1 to 64 characters of [a-z0-9-].  OUT is a GRefString.  */
bool note_get_name (const json_t *object, const struct note_at *at,
                    const char *name, char **out, struct pl_err *err);
/* Parses TEXT as JSON; duplicate members are refused.  */
json_t *note_load (struct pl_str text, struct pl_err *err);

enum note_sect
{
  NOTE_SERVICES,
  NOTE_TEAMS,
  NOTE_WORKERS,
  NOTE_SECTS,
};

/* One kind of item.  Items are keyed by name or address; hash and equal look
   at the key only.  */
struct note_item_ops
{
  const char *name; /* member of a note */
  size_t size;
  unsigned most; /* items of a configuration */
  GHashFunc hash;
  GEqualFunc equal;
  /* WHOLE: the item is part of a folded document.  On failure OUT may be
     partly filled and must be cleared.  */
  bool (*parse) (const json_t *json, const struct note_at *at, bool whole,
                 void *out, struct pl_err *err);
  bool (*parse_key) (const json_t *json, const struct note_at *at, void *out,
                     struct pl_err *err);
  void (*copy) (void *to, const void *from);
  void (*clear) (void *item);
  json_t *(*to_json) (const void *item);
};

extern const struct note_item_ops note_service_ops;
extern const struct note_item_ops note_team_ops;
extern const struct note_item_ops note_worker_ops;
extern const struct note_item_ops *const note_sects[NOTE_SECTS];

/* Items of section SECT of CONF.  */
const void *note_items (const struct note_conf *conf, enum note_sect sect,
                        unsigned *n);
/* The item of CONF (may be null) with the key of PROBE, or null.  */
const void *note_lookup (const struct note_conf *conf, enum note_sect sect,
                         const void *probe);
/* Takes over the items of LISTS and builds the index.  */
struct note_conf *note_conf_new (int64_t revision, GArray *lists[NOTE_SECTS]);
/* An empty list that clears its items.  */
GArray *note_list_new (const struct note_item_ops *ops, unsigned reserve);
/* Parses a JSON array of items into a new list; null on failure.  */
GArray *note_list_parse (const struct note_item_ops *ops, const json_t *array,
                         const struct note_at *at, bool whole,
                         struct pl_err *err);
