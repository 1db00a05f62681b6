/* Private to lib/peer.  Only the control thread may use what is declared here,
   except where a comment says otherwise.  */
#pragma once

#include "link.h"
#include "peer.h"

#define HEX64 "%016" G_GINT64_MODIFIER "x"

struct relay;
struct hand_over;

/* State that the control thread keeps for one peer, besides the peer's entry
   in the membership table.  */
struct remote
{
  claim_instance_id id;
  uint32_t held;        /* slots borrowed from the peer */
  uint32_t grants_seen; /* number of the last grant received from the peer */
  uint32_t grants_sent; /* number of the last grant sent to the peer */
  int64_t granted_us;   /* time of the last grant sent */
  claim_instance_id transfer;   /* id of the hand-over from the peer */
  uint32_t transfer_next_chunk; /* index of the chunk expected next in it */
  int64_t probed_us;          /* time of the last probe, while unresponsive */
  GPtrArray *permit_requests; /* struct permit to send in this loop turn */
};

/* A release note or a configuration snapshot that is being received in
   chunks.  */
struct assembly
{
  claim_instance_id from;
  bool is_snapshot; /* otherwise a release note */
  int64_t revision;
  uint64_t checksum; /* XXH3 of the complete text */
  uint32_t total;    /* bytes of the complete text */
  uint32_t next;     /* index of the chunk expected next */
  GByteArray *data;  /* null: no transfer is in progress */
};

/* This instance's side of all links to its peers.  */
struct peer
{
  struct disp_peer_ops disp_ops; /* first, so that it casts to struct peer */
  struct peer_opts opts;
  struct disp *disp;
  struct pl_addr listen;
  struct pl_addr control; /* advertised; not LISTEN behind a forwarder */
  uint32_t source;        /* address of outgoing connections; 0: any */
  void *ctx;              /* ZeroMQ context, also of the relay */
  void *router;           /* receives the control messages */
  struct pl_mbox *mbox;
  GThread *thread;
  gint stop; /* atomic */
  struct memb_table *memb;
  struct claim_witness_table *witness_table;
  struct note_history *history;
  GPtrArray *links;        /* struct link */
  GHashTable *remotes;     /* claim_instance_id to struct remote */
  GHashTable *permits;     /* struct permit, not yet answered */
  bool permits_unsent;     /* a remote has permit_requests to send */
  GHashTable *revocations; /* struct revocation, not yet answered */
  uint64_t next_revocation_id;
  int64_t next_retry_us;     /* next check for messages to resend */
  int64_t next_tick_us;      /* next membership tick */
  int64_t next_second_us;    /* next tick of the witness table */
  unsigned next_known;       /* index of the next peer named in heartbeats */
  GPtrArray *domains;        /* struct digest_domain, the own one first */
  bool is_digest_relay;      /* sends the digests of the own domain */
  int64_t next_digest_us;    /* next check for digests to send */
  int64_t next_pass_us;      /* next digest of another domain to pass on */
  unsigned next_pass_domain; /* the domain of that digest */
  bool draining;
  int watching; /* last value given to set_watching; -1: none yet */
  bool stopped; /* peer_stop was called */
  struct assembly assembly;
  int64_t requested_us; /* time of the last NoteRequest or chunk of notes */
  GBytes *snapshot;     /* configuration at snapshot_revision, for peers */
  int64_t snapshot_revision;
  GArray *leaving_workers; /* struct leaving_worker seen by this instance */
  int64_t leaving_sent_us; /* time of the last repeated message */
  struct hand_over *hand_over; /* in progress; null: none */
  struct relay *relay;
};

/* A call to be run by the control thread, which frees the item after FN.  If
   the thread has ended, FN gets a null PEER and must only release what the
   item holds.  */
struct ctl_item
{
  struct pl_mbox_item base;
  void (*fn) (struct peer *peer, struct ctl_item *item);
};

/* ctl.c: the loop of the control thread */
/* Any thread.  */
void ctl_post (struct peer *peer, struct ctl_item *item,
               void (*fn) (struct peer *peer, struct ctl_item *item));
/* The main function of the thread.  */
gpointer ctl_run (gpointer user);
/* Any thread.  */
int64_t ctl_now_us (const struct peer *peer);
/* The state of peer ID, created on first use.  */
struct remote *ctl_get_remote (struct peer *peer, claim_instance_id id);
/* Sends to a peer in the membership table; false if the message was not
   queued.  */
bool ctl_send (struct peer *peer, claim_instance_id to,
               Msg__Envelope *envelope);
/* Calls the handler of a message that has passed all checks.  */
void ctl_dispatch (struct peer *peer, Msg__Envelope *e);

/* heartbeat.c: the links and the heartbeats sent over them */
/* The link to ADDR, created on first use; null if there are too many.  It is
   closed at EXPIRES_US (0: never) unless a known peer at ADDR gets
   heartbeats.  */
struct link *heartbeat_get_link (struct peer *peer, struct pl_addr addr,
                                 int64_t expires_us);
/* The time at which a link used now may be closed.  */
int64_t heartbeat_link_expiry (const struct peer *peer);
/* Opens links to the peers named in the settings.  */
void heartbeat_add_seeds (struct peer *peer);
void heartbeat_tick (struct peer *peer);
/* False if the heartbeat is stale.  */
bool heartbeat_on_message (struct peer *peer, const Msg__Envelope *e);
/* Tells the peers that this instance stops now.  */
void heartbeat_send_leave (struct peer *peer);
/* Sends to all peers that have a link.  */
void heartbeat_broadcast (struct peer *peer, Msg__Envelope *envelope);

/* digest.c: membership across failure domains */
void digest_init (struct peer *peer);
void digest_on_change (struct peer *peer, const struct memb_peer *known,
                       enum memb_change change);
void digest_tick (struct peer *peer);
void digest_on_message (struct peer *peer, claim_instance_id from,
                        const Msg__Digest *m);

/* permit.c: permits, both asked for and given */
void permit_init (struct peer *peer);
void permit_free (struct peer *peer);
/* Sends the requests queued in remote.permit_requests.  */
void permit_flush (struct peer *peer);
/* Resends unanswered requests and gives up old ones.  */
void permit_retry (struct peer *peer);
/* Probes witnesses that are marked as unresponsive.  */
void permit_probe (struct peer *peer);
/* Refuses the permits that WITNESS has not answered.  */
void permit_on_peer_lost (struct peer *peer, claim_instance_id witness);
void permit_on_request (struct peer *peer, claim_instance_id from,
                        const Msg__PermitRequest *m);
void permit_on_reply (struct peer *peer, claim_instance_id from,
                      const Msg__PermitReply *m);

/* revoke.c: revocations of keys, both asked for and carried out */
void revoke_init (struct peer *peer);
/* Ends all pending revocations with CLAIM_UNKNOWN.  */
void revoke_abort_all (struct peer *peer);
/* Resends unanswered requests and gives up old ones.  */
void revoke_retry (struct peer *peer);
void revoke_on_request (struct peer *peer, claim_instance_id from,
                        const Msg__RevokeRequest *m);
void revoke_on_reply (struct peer *peer, claim_instance_id from,
                      const Msg__RevokeReply *m);

/* lend.c: messages that lend and return worker slots */
void lend_init (struct peer *peer);
void lend_on_message (struct peer *peer, const Msg__Envelope *e);

/* leaving.c: announcements of workers that leave */
void leaving_init (struct peer *peer);
void leaving_tick (struct peer *peer);
void leaving_on_message (struct peer *peer, const Msg__Leaving *m);

/* notes.c: distribution of release notes */
void notes_free (struct peer *peer);
/* FROM has reported its revision; asks FROM for the notes up to it if this
   instance is behind.  */
void notes_on_revision (struct peer *peer, claim_instance_id from,
                        int64_t revision);
void notes_on_request (struct peer *peer, claim_instance_id from,
                       const Msg__NoteRequest *m);
void notes_on_reply (struct peer *peer, claim_instance_id from,
                     const Msg__NoteReply *m);

/* hand_over.c: moves the owner's records to an heir at a planned stop */
void hand_over_tick (struct peer *peer);
void hand_over_on_peer_lost (struct peer *peer, claim_instance_id id);
void hand_over_on_message (struct peer *peer, const Msg__Envelope *e);
void hand_over_abort (struct peer *peer);

/* relay.c: forwards requests of callers to the owner of their key.  It has its
   own thread; these functions may be called from any thread.  */
struct relay *relay_new (struct peer *peer, struct pl_err *err);
void relay_start (struct relay *relay);
/* Joins the thread and ends all pending forwards without a reply.  */
void relay_stop (struct relay *relay);
void relay_free (struct relay *relay);
/* Tells the relay thread that a new membership view is published.  */
void relay_view_changed (struct relay *relay);
