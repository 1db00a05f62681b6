/* Client of the platform's store, a key-value service with compare-and-swap
   and watches.  The store holds the release notes, the head (the number of the
   latest accepted revision), a snapshot of the configuration, and the
   platform's list of live and leaving instances.  Calls block; use them only
   on the platform threads or in command-line tools.  */
#pragma once

#include "note.h"
#include "pl.h"

/* A connection to the store, behind a vtable; plat_etcd_new connects to the
   etcd v3 JSON gateway.  */
struct plat;

struct plat_value
{
  GBytes *value;   /* null if the key is absent */
  int64_t mod_rev; /* 0 if the key is absent */
};

struct plat_put
{
  const char *key;
  GBytes *value;
};

enum plat_txn
{
  PLAT_TXN_DONE,     /* the writes took effect */
  PLAT_TXN_CONFLICT, /* the comparison failed; nothing was written */
  PLAT_TXN_UNKNOWN, /* the answer was lost; the writes may have taken effect */
};

struct plat_ops
{
  /* Reads KEY; an absent key is no failure.  */
  bool (*get) (struct plat *plat, const char *key, struct plat_value *out,
               struct pl_err *err);
  /* Writes PUTS in one transaction if KEY's modification revision is
     EXPECT (0: absent).  */
  enum plat_txn (*txn) (struct plat *plat, const char *key, int64_t expect,
                        const struct plat_put *puts, unsigned n_puts,
                        struct pl_err *err);
  /* Calls EACH for the key and value of every key with PREFIX.  */
  bool (*list) (struct plat *plat, const char *prefix,
                void (*each) (const char *key, struct pl_str value,
                              void *user),
                void *user, struct pl_err *err);
  /* Waits until KEY has a modification revision above AFTER_REV, or until
     TIMEOUT_MS have passed.  Returns true in both cases, false on an error. */
  bool (*wait) (struct plat *plat, const char *key, int64_t after_rev,
                int timeout_ms, struct pl_err *err);
  void (*free) (struct plat *plat);
};

struct plat
{
  const struct plat_ops *ops;
};

/* The result is for use by one thread.  URL is "http://a.b.c.d:port".  Null
   with ERR set if it is malformed.  */
struct plat *plat_etcd_new (const char *url, int timeout_ms,
                            struct pl_err *err);

/* Validates a release note and writes it as the next revision, by one
   compare-and-swap on the head.  On success REVISION is the note's; on
   PL_NOTE_CONFLICT it is the accepted revision that the note conflicts with.
   PL_NOTE_UNKNOWN means that the answer was lost and the store could not be
   read to find out whether the note was accepted.  */
bool plat_apply_note (struct plat *plat, struct pl_str note, int64_t *revision,
                      struct pl_err *err);
/* Reads the latest accepted revision (0: none yet) and the modification
   revision of the head key.  */
bool plat_read_head (struct plat *plat, int64_t *revision, int64_t *mod_rev,
                     struct pl_err *err);
/* Reads the note of REVISION; the caller unrefs it.  Null on failure.  */
GBytes *plat_read_note (struct plat *plat, int64_t revision,
                        struct pl_err *err);

/* Reads the configuration of the latest revision: the snapshot with the notes
   after it applied.  CONF is null at revision 0; MOD_REV (may be null) is the
   modification revision of the head key.  */
bool plat_load_conf (struct plat *plat, struct note_conf **conf,
                     int64_t *revision, int64_t *mod_rev, struct pl_err *err);

/* An entry of the platform's list of instances.  */
struct plat_instance
{
  struct pl_addr addr; /* the upstream of a worker, the control address of an
                          entry instance */
  bool worker;
  bool leaving;
};

/* Receives what the feed reads; called on the feed's reader thread.  */
struct plat_feed_ops
{
  void (*note) (struct plat_feed_ops *ops, int64_t revision, GBytes *note);
  void (*snapshot) (struct plat_feed_ops *ops, GBytes *snapshot);
  void (*instances) (struct plat_feed_ops *ops,
                     const struct plat_instance *list, unsigned n);
  /* The store answers, or no longer does.  Called at the first answer or
     failure, and then at each change.  */
  void (*reachable) (struct plat_feed_ops *ops, bool reachable);
};

/* A feed reads new notes, snapshots and the instance list on threads of its
   own and passes them to OPS.  It reads all at its start, then the list every
   LIST_POLL_MS and the head every 10 s; while it is watching, it also waits
   for changes of the head and reads them at once.  */
struct plat_feed;
struct plat_feed *plat_feed_new (const char *url, int list_poll_ms,
                                 struct plat_feed_ops *ops,
                                 struct pl_err *err);
/* Starts or stops the watch of the head.  Any thread.  */
void plat_feed_set_watching (struct plat_feed *feed, bool on);
/* Tells the feed which revision its owner has in force, so that it reads only
   newer notes.  Any thread.  */
void plat_feed_set_revision (struct plat_feed *feed, int64_t revision);
void plat_feed_free (struct plat_feed *feed);
