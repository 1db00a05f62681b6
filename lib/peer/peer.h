/* The control and relay threads: ZeroMQ links to the other entry instances. */
#pragma once

#include "claim.h"
#include "conf.h"
#include "disp.h"
#include "job.h"
#include "memb.h"
#include "note.h"

/* What the links need of the rest of the instance.  */
struct peer_ops
{
  /* A submission, lookup or cancellation forwarded by a peer; METHOD is
     "POST", "GET" or "DELETE".  Called on the relay thread; DONE once, on any
     thread.  */
  void (*handle_forward) (struct peer_ops *ops, const char *method,
                          struct pl_str path, struct pl_str key,
                          struct pl_str body, job_done_fn *done, void *user);
  /* The configuration in force has changed to REVISION.  */
  void (*revision) (struct peer_ops *ops, int64_t revision);
  /* This instance should start or stop watching the store.  */
  void (*set_watching) (struct peer_ops *ops, bool on);
};

struct peer_opts
{
  const struct conf *conf;
  struct pl_clock *clock;
  claim_instance_id self;
  struct pl_rcu_ptr *note_conf_ptr; /* the control thread publishes both */
  struct pl_rcu_ptr *memb_view_ptr;
  struct peer_ops *ops;
};

struct peer;
/* Binds the sockets; null with ERR set on failure.  */
struct peer *peer_new (const struct peer_opts *opts, struct pl_err *err);
/* Starts the threads.  DISP gets the control events; it must live
   until peer_stop has returned.  */
void peer_start (struct peer *peer, struct disp *disp);
/* Ends the threads, a planned stop with a message to the peers; forwards and
   revocations that are left get null and CLAIM_UNKNOWN.  All functions may
   still be called and then do nothing but that, so that DISP can be freed
   before peer_free.  */
void peer_stop (struct peer *peer);
/* Calls peer_stop if need be.  */
void peer_free (struct peer *peer);
/* The vtable that dispatch calls; valid before peer_start.  */
struct disp_peer_ops *peer_disp_ops (struct peer *peer);

/* Any thread.  Forwards to OWNER over the relay.  DONE gets null if no reply
   came before TIMEOUT_MS or the owner is not reachable; the submission may
   then have arrived there.  */
void peer_forward (struct peer *peer, claim_instance_id owner,
                   const char *method, struct pl_str path, struct pl_str key,
                   struct pl_str body, int64_t timeout_ms, job_done_fn *done,
                   void *user);

/* RESULT is CLAIM_UNKNOWN if the witness can't be reached.  */
typedef void peer_revoked_fn (enum claim_revoke_result result, void *user);
/* Any thread.  Asks the witness named by KEY (the own table if that is this
   instance) to revoke it.  DONE is called once, on the control thread.  */
void peer_revoke (struct peer *peer, struct pl_str key, peer_revoked_fn *done,
                  void *user);

/* Any thread: what the platform says.  */
void peer_offer_note (struct peer *peer, int64_t revision, GBytes *note);
void peer_offer_snapshot (struct peer *peer, GBytes *document);
void peer_add_seed (struct peer *peer, struct pl_addr control);

/* Planned stop.  */
void peer_set_draining (struct peer *peer);
/* Hands the owner's records to an heir and announces it; waits at most
   LIMIT_MS.  False if no heir confirmed.  */
bool peer_hand_over (struct peer *peer, int limit_ms);
