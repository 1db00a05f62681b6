/* Links to the other entry instances (the peers) over ZeroMQ.  The control
   thread exchanges membership, permits, revocations, release notes and lent
   slots; the relay thread forwards requests of callers to the instance that
   owns their key.  */
#pragma once

#include "claim.h"
#include "conf.h"
#include "disp.h"
#include "job.h"
#include "memb.h"
#include "note.h"

/* Callbacks into the rest of the instance.  */
struct peer_ops
{
  /* Handles a submission, lookup or cancellation forwarded by a peer; METHOD
     is "POST", "GET" or "DELETE".  Called on the relay thread.  DONE must be
     called once, on any thread.  */
  void (*handle_forward) (struct peer_ops *ops, const char *method,
                          struct pl_str path, struct pl_str key,
                          struct pl_str body, job_done_fn *done, void *user);
  /* The configuration in force has changed to REVISION.  Called on the control
     thread.  */
  void (*revision) (struct peer_ops *ops, int64_t revision);
  /* Starts or stops watching the store.  Called on the control thread.  */
  void (*set_watching) (struct peer_ops *ops, bool on);
};

struct peer_opts
{
  const struct conf *conf;
  struct pl_clock *clock;
  claim_instance_id self;
  struct pl_rcu_ptr *note_conf_ptr; /* published by the control thread */
  struct pl_rcu_ptr *memb_view_ptr; /* likewise */
  struct peer_ops *ops;
};

/* This instance's side of all links to its peers.  */
struct peer;
/* Binds the sockets; null with ERR set on failure.  */
struct peer *peer_new (const struct peer_opts *opts, struct pl_err *err);
/* Starts the threads.  DISP gets the events from the peers; it must live until
   peer_stop has returned.  */
void peer_start (struct peer *peer, struct disp *disp);
/* Ends the threads; a draining instance tells its peers that it stops.
   Pending forwards end with a null reply, pending revocations with
   CLAIM_UNKNOWN.  All functions may still be called and then only end what
   they are given in the same way, so that DISP can be freed before
   peer_free.  */
void peer_stop (struct peer *peer);
/* Calls peer_stop first if that has not been done.  */
void peer_free (struct peer *peer);
/* The functions that the dispatch thread calls; valid before peer_start.  */
struct disp_peer_ops *peer_disp_ops (struct peer *peer);

/* Any thread.  Forwards a request to OWNER.  DONE gets null if no reply came
   within TIMEOUT_MS or OWNER is not reachable; OWNER may have received the
   request all the same.  */
void peer_forward (struct peer *peer, claim_instance_id owner,
                   const char *method, struct pl_str path, struct pl_str key,
                   struct pl_str body, int64_t timeout_ms, job_done_fn *done,
                   void *user);

/* RESULT is CLAIM_UNKNOWN if the witness can't be reached.  */
typedef void peer_revoked_fn (enum claim_revoke_result result, void *user);
/* Any thread.  Asks the witness that KEY names to revoke KEY; if this instance
   is the witness, it does so in its own table.  DONE is called once, on the
   control thread.  */
void peer_revoke (struct peer *peer, struct pl_str key, peer_revoked_fn *done,
                  void *user);

/* Any thread.  A release note, or a whole configuration, read from the
   store.  */
void peer_offer_note (struct peer *peer, int64_t revision, GBytes *note);
void peer_offer_snapshot (struct peer *peer, GBytes *snapshot);
/* Any thread.  The control address of another instance, as the platform lists
   it.  */
void peer_add_seed (struct peer *peer, struct pl_addr control);

/* Any thread.  Announces to the peers that this instance is about to stop.  */
void peer_set_draining (struct peer *peer);
/* Transfers the owner's records to another instance, the heir, and announces
   the heir to the peers.  Blocks for at most LIMIT_MS; false if no heir
   confirmed that it has all records.  */
bool peer_hand_over (struct peer *peer, int limit_ms);
