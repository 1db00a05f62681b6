/* The platform: a key-value service with compare-and-swap, leases and watches,
   and its list of live and leaving instances.  Calls block; use them only on
   the platform threads or in command-line tools.  */
#pragma once

#include "note.h"
#include "pl.h"

/* A platform behind a vtable; plat_etcd_new gives the etcd v3 JSON gateway. */
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
  PLAT_TXN_CONFLICT, /* the comparison failed, nothing was written */
  PLAT_TXN_UNKNOWN, /* the answer was lost; the writes may have taken effect */
};

struct plat_ops
{
  bool (*get) (struct plat *plat, const char *key, struct plat_value *out,
               struct pl_err *err);
  /* Writes PUTS in one transaction if KEY's modification revision is
     EXPECT (0: absent).  */
  enum plat_txn (*txn) (struct plat *plat, const char *key, int64_t expect,
                        const struct plat_put *puts, unsigned n_puts,
                        struct pl_err *err);
  /* All keys with PREFIX; calls EACH for every pair.  */
  bool (*list) (struct plat *plat, const char *prefix,
                void (*each) (const char *key, struct pl_str value,
                              void *user),
                void *user, struct pl_err *err);
  /* Waits until KEY changes after modification revision FROM or TIMEOUT_MS
     has passed; true on both, false on an error.  */
  bool (*wait) (struct plat *plat, const char *key, int64_t from,
                int timeout_ms, struct pl_err *err);
  void (*free) (struct plat *plat);
};

struct plat
{
  const struct plat_ops *ops;
};

/* A platform is used by one thread.  URL is "http://a.b.c.d:port".  Null with
 * ERR set if it is malformed.  */
struct plat *plat_etcd_new (const char *url, int timeout_ms,
                            struct pl_err *err);

/* Applies a release note by one compare-and-swap.  On success REVISION is the
   note's; on PL_NOTE_CONFLICT it is the winning one.  ERR says PL_NOTE_UNKNOWN
   only if the fate could not be read back.  */
bool plat_apply_note (struct plat *plat, struct pl_str note, int64_t *revision,
                      struct pl_err *err);
/* The accepted revision (0: none yet).  */
bool plat_read_head (struct plat *plat, int64_t *revision, int64_t *mod_rev,
                     struct pl_err *err);
/* The note of REVISION; the caller unrefs it.  */
GBytes *plat_read_note (struct plat *plat, int64_t revision,
                        struct pl_err *err);

/* The configuration at the head: the snapshot and the notes after it.  CONF is
   null at revision 0; MOD_REV (may be null) is the head's.  */
bool plat_load_conf (struct plat *plat, struct note_conf **conf,
                     int64_t *revision, int64_t *mod_rev, struct pl_err *err);

/* An entry of the platform's list of instances.  */
struct plat_instance
{
  struct pl_addr addr; /* of a worker's upstream, or an entry's control port */
  bool worker;
  bool leaving;
};

/* Receives what the platform says; called on the feed's thread.  */
struct plat_feed_ops
{
  void (*note) (struct plat_feed_ops *ops, int64_t revision, GBytes *note);
  void (*snapshot) (struct plat_feed_ops *ops, GBytes *document);
  void (*instances) (struct plat_feed_ops *ops,
                     const struct plat_instance *list, unsigned n);
  /* REACHABLE changes are reported once each.  */
  void (*reachable) (struct plat_feed_ops *ops, bool reachable);
};

/* Threads that read notes and the instance list and hand them to OPS.  The
   feed reads once at its start; after that it waits for changes only while it
   watches, and polls the head every 10 s otherwise.  */
struct plat_feed;
struct plat_feed *plat_feed_new (const char *url, int list_poll_ms,
                                 struct plat_feed_ops *ops,
                                 struct pl_err *err);
/* Any thread.  */
void plat_feed_set_watching (struct plat_feed *feed, bool on);
/* Tells the revision in force, so that only newer notes are read; any
   thread.  */
void plat_feed_set_revision (struct plat_feed *feed, int64_t revision);
void plat_feed_free (struct plat_feed *feed);
