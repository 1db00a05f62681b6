/* Inner parts of the links.  Everything here belongs to the control thread
   unless it says otherwise.  */
#pragma once

#include "link.h"
#include "peer.h"

#define HEX64 "%016" G_GINT64_MODIFIER "x"

struct relay;
struct hand_over;

/* What the control thread keeps of one peer besides its membership.  */
struct remote
{
  claim_instance_id id;
  uint32_t held;        /* slots of the peer that this instance holds */
  uint32_t grants_seen; /* number of the peer's last grant */
  uint32_t grants_sent;
  int64_t granted_us;         /* time of the last grant sent */
  claim_instance_id transfer; /* hand-over that arrives from the peer */
  uint32_t transfer_next;     /* next index of it */
  int64_t probed_us;          /* time of the last probe of a mute witness */
  GPtrArray *permit_requests; /* struct permit to send in this turn */
};

/* A document or note that arrives in chunks.  */
struct assembly
{
  claim_instance_id from;
  bool whole;
  int64_t revision;
  uint64_t checksum;
  uint32_t total;
  uint32_t next;
  GByteArray *data; /* null: nothing arrives */
};

struct peer
{
  struct disp_peer_ops disp_ops; /* first: peer_disp_ops */
  struct peer_opts opts;
  struct disp *disp;
  struct pl_addr listen;
  struct pl_addr control; /* told to peers; differs behind a forwarder */
  uint32_t source;        /* of outgoing connections; 0: any */
  void *ctx;
  void *router;
  struct pl_mbox *mbox;
  GThread *thread;
  gint stop; /* atomic */
  struct memb_table *memb;
  struct claim_witness *witness;
  struct note_history *history;
  GPtrArray *links;    /* struct link */
  GHashTable *remotes; /* claim_instance_id to struct remote */
  GHashTable *permits;
  bool permits_unsent;
  GHashTable *revokes;
  uint64_t next_revoke;
  int64_t retry_us;    /* next look for resends */
  int64_t tick_us;     /* next membership tick */
  int64_t second_us;   /* next tick of the witness table */
  unsigned known_next; /* rotates the addresses in heartbeats */
  GPtrArray *domains;  /* struct digest_domain, the own one first */
  bool is_relay;       /* of the own domain's digests */
  int64_t digest_us;   /* next look for digests to send */
  int64_t pass_us;     /* next digest for the own domain */
  unsigned pass_next;  /* rotates the domains in these */
  bool draining;
  int watching; /* -1: not told yet */
  bool stopped;
  struct assembly assembly;
  int64_t asked_us; /* time of the last NoteRequest or chunk */
  GBytes *document; /* the whole configuration at document_revision */
  int64_t document_revision;
  GArray *signs;    /* of leaving workers, seen by this instance */
  int64_t signs_us; /* time of the last repetition */
  struct hand_over *hand_over;
  struct relay *relay;
};

/* An item for the control thread, which frees it after FN.  FN gets a null
   PEER if the thread has ended and then only releases what the item holds.  */
struct ctl_item
{
  struct pl_mbox_item base;
  void (*fn) (struct peer *peer, struct ctl_item *item);
};

void ctl_post (struct peer *peer, struct ctl_item *item,
               void (*fn) (struct peer *peer, struct ctl_item *item));
gpointer ctl_run (gpointer user);
int64_t ctl_now (const struct peer *peer);
struct remote *
ctl_remote (struct peer *peer,
            claim_instance_id id); /* made if it does not exist */
/* Sends to a known peer that has not left; false if it was not queued.  */
bool ctl_send (struct peer *peer, claim_instance_id to,
               Msg__Envelope *envelope);
void ctl_message (struct peer *peer, Msg__Envelope *e);

/* beat.c: links and heartbeats */
/* The link to ADDR, made if it does not exist; null if there are too many.
   It is closed at EXPIRES_US (0: never) unless a known peer has the address.
 */
struct link *beat_link (struct peer *peer, struct pl_addr addr,
                        int64_t expires_us);
/* The time at which a link made or used now may be closed.  */
int64_t beat_expiry (const struct peer *peer);
void beat_seeds (struct peer *peer);
void beat_tick (struct peer *peer);
bool beat_heard (struct peer *peer, const Msg__Envelope *e);
void beat_leave (struct peer *peer);
void beat_broadcast (struct peer *peer, Msg__Envelope *envelope);

/* digest.c */
void digest_init (struct peer *peer);
void digest_changed (struct peer *peer, const struct memb_peer *known,
                     enum memb_change change);
void digest_tick (struct peer *peer);
void digest_heard (struct peer *peer, claim_instance_id from,
                   const Msg__Digest *m);

/* permit.c and revoke.c */
void permit_init (struct peer *peer);
void permit_free (struct peer *peer);
void permit_flush (struct peer *peer);
void permit_retry (struct peer *peer);
void permit_probe (struct peer *peer);
void permit_lost (struct peer *peer, claim_instance_id witness);
void permit_request (struct peer *peer, claim_instance_id from,
                     const Msg__PermitRequest *m);
void permit_reply (struct peer *peer, claim_instance_id from,
                   const Msg__PermitReply *m);
void revoke_init (struct peer *peer);
void revoke_end (struct peer *peer);
void revoke_retry (struct peer *peer);
void revoke_request (struct peer *peer, claim_instance_id from,
                     const Msg__RevokeRequest *m);
void revoke_reply (struct peer *peer, claim_instance_id from,
                   const Msg__RevokeReply *m);

/* lend.c */
void lend_init (struct peer *peer);
void lend_message (struct peer *peer, const Msg__Envelope *e);

/* signs.c */
void signs_init (struct peer *peer);
void signs_tick (struct peer *peer);
void signs_message (struct peer *peer, const Msg__Leaving *m);

/* notes.c */
void notes_free (struct peer *peer);
void notes_heard (struct peer *peer, claim_instance_id from, int64_t revision);
void notes_request (struct peer *peer, claim_instance_id from,
                    const Msg__NoteRequest *m);
void notes_reply (struct peer *peer, claim_instance_id from,
                  const Msg__NoteReply *m);

/* heir.c */
void heir_tick (struct peer *peer);
void heir_lost (struct peer *peer, claim_instance_id id);
void heir_message (struct peer *peer, const Msg__Envelope *e);
void heir_end (struct peer *peer);

/* relay.c: runs on its own thread; these may be called from any.  */
struct relay *relay_new (struct peer *peer, struct pl_err *err);
void relay_start (struct relay *relay);
/* Joins the thread and ends all forwards.  */
void relay_stop (struct relay *relay);
void relay_free (struct relay *relay);
void relay_view_changed (struct relay *relay);
