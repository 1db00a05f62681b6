/* Release notes and the configuration that results from applying them.

   Operators change the configuration (services, teams, workers, evacuations)
   by release notes.  The note of revision N is applied to the configuration of
   revision N - 1.  A snapshot is the whole configuration of one revision as a
   JSON document.  */
#pragma once

#include "pl.h"

#define NOTE_MAX_BYTES 1048576 /* largest value of the platform's store */

struct note_kind
{
  char *name;
  bool repeatable; /* a task may be placed again after an explicit refusal */
  char *fan_out;   /* member of "input" whose elements become tasks; or null */
  unsigned max_tasks;
  int64_t deadline_ms; /* default deadline */
};

struct note_service
{
  char *name;
  struct note_kind *kinds;
  unsigned n_kinds;
};

struct note_team
{
  char *name;
  unsigned weight;    /* share under contention, 1 to 1000 */
  unsigned max_slots; /* slots in a failure domain; 0: no limit */
};

struct note_worker
{
  struct pl_addr addr;
  char *domain;
  char *rack;
  unsigned slots;
  int64_t memory_mb;
  int64_t added_revision; /* the latest revision that added the worker */
};

/* A failure domain on whose workers no task starts; what runs there ends.  */
struct note_evacuation
{
  char *domain;
};

/* The configuration in force: immutable, published through a pl_rcu_ptr.  */
struct note_conf
{
  struct pl_shared base;
  int64_t revision; /* 1 and up */
  struct note_service *services;
  unsigned n_services;
  struct note_team *teams;
  unsigned n_teams;
  struct note_worker *workers; /* of all failure domains */
  unsigned n_workers;
  struct note_evacuation *evacuations;
  unsigned n_evacuations;
  GHashTable *index[4]; /* private: the items of each section by key; null:
                           searched in order */
};

/* Null if the configuration lacks it.  */
const struct note_kind *note_find_kind (const struct note_conf *conf,
                                        const char *service, const char *kind);
const struct note_team *note_find_team (const struct note_conf *conf,
                                        const char *team);
const struct note_worker *note_find_worker (const struct note_conf *conf,
                                            struct pl_addr addr);
/* Whether no task may start on the workers of DOMAIN; CONF may be null.  */
bool note_is_evacuated (const struct note_conf *conf, const char *domain);

/* The members that identify a note.  */
#define NOTE_MAX_ID_BYTES 64
struct note_head
{
  char id[NOTE_MAX_ID_BYTES + 1];
  int64_t base; /* the revision that the note was written against */
};
/* Reads "id" and "base" only; the rest of the note is not validated.  */
bool note_read_head (struct pl_str note, struct note_head *out,
                     struct pl_err *err);

/* A note is an object with "id" (1 to 64 letters, digits or hyphens), "base",
   optionally "comment", "added", "changed" and "withdrawn".  "added" and
   "changed" hold whole services, teams, workers and evacuations; "withdrawn"
   holds names of services, teams and evacuated domains and addresses of
   workers.  */

/* Validates a note as a whole against BASE (null: the empty configuration).
   ERR names the JSON path and the rule broken.  */
bool note_validate (struct pl_str note, const struct note_conf *base,
                    struct pl_err *err);
/* Returns the configuration of REVISION, which is BASE with NOTE applied, or
   null with ERR set if the note is not valid against BASE.  */
struct note_conf *note_apply (struct pl_str note, const struct note_conf *base,
                              int64_t revision, struct pl_err *err);
/* Returns the snapshot of CONF; free with free.  */
char *note_conf_to_json (const struct note_conf *conf);
/* Parses a snapshot; null with ERR set if it is not valid.  */
struct note_conf *note_conf_from_json (struct pl_str text, struct pl_err *err);

/* The revisions that an instance has put in force, and the latest notes.  Used
   by one thread (control), which publishes each new configuration through the
   pointer given to note_history_new.  */
struct note_history;

enum note_offer_result
{
  NOTE_APPLIED, /* in force now */
  NOTE_STALE,   /* not newer than what is in force */
  NOTE_GAP,     /* newer than the next revision: earlier notes are missing */
  NOTE_BAD,     /* invalid; the revision in force stays */
};

struct note_history *note_history_new (struct pl_rcu_ptr *conf_ptr);
void note_history_free (struct note_history *history);
int64_t note_history_revision (const struct note_history *history);
/* Offers one accepted note.  SOURCE is "store" or "peer", for the log.  */
enum note_offer_result note_history_offer (struct note_history *history,
                                           int64_t revision,
                                           struct pl_str note,
                                           const char *source,
                                           struct pl_err *err);
/* Offers SNAPSHOT; it is applied only if its revision is higher than the one
   in force.  */
enum note_offer_result
note_history_offer_snapshot (struct note_history *history,
                             struct pl_str snapshot, const char *source,
                             struct pl_err *err);
/* The note of REVISION if it is among the last 64 applied, else null.  The
   caller gets no reference.  */
GBytes *note_history_get (const struct note_history *history,
                          int64_t revision);
