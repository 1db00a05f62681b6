/* The dispatcher (prefix disp_): one thread that takes each job from its
   submission to its reply.  It alone uses the job queue, the records of
   received keys, the slot table and the workers' health.  Other threads reach
   it through the functions below, which post a message and return.  */
#pragma once

#include "claim.h"
#include "conf.h"
#include "job.h"
#include "memb.h"
#include "run.h"

/* A number of slots of one worker.  */
struct disp_worker_slots
{
  struct pl_addr addr;
  unsigned count;
};

/* What the dispatcher asks of the control thread, which talks to the other
   instances (peers).  All functions only post a message.  */
struct disp_peer_ops
{
  /* Asks WITNESS for a permit; answered by disp_permit_result.  */
  void (*permit) (struct disp_peer_ops *ops, claim_instance_id witness,
                  struct claim_key_hash hash, int64_t epoch);
  /* Asks PEER for up to N slots; answered by disp_slots_granted.  */
  void (*borrow) (struct disp_peer_ops *ops, claim_instance_id peer,
                  unsigned n);
  /* Lends slots to PEER, which has asked for them.  */
  void (*grant) (struct disp_peer_ops *ops, claim_instance_id peer,
                 const struct disp_worker_slots *list, unsigned n);
  /* Tells the peers of the domain that the worker ADDR leaves, as seen under
     REVISION of the configuration; may be null.  */
  void (*leaving) (struct disp_peer_ops *ops, struct pl_addr addr,
                   int64_t revision);
  /* Returns borrowed slots to PEER.  */
  void (*give_back) (struct disp_peer_ops *ops, claim_instance_id peer,
                     const struct disp_worker_slots *list, unsigned n);
};

/* Replaces lib/run in tests.  START owns TASK until it passes it to
   disp_run_done.  */
struct disp_run_ops
{
  void (*start) (struct disp_run_ops *ops, struct run_task *task);
  void (*cancel) (struct disp_run_ops *ops, struct pl_addr addr,
                  const char *id);
};

struct disp_opts
{
  const struct conf *conf;
  struct pl_clock *clock;
  claim_instance_id self;
  struct pl_rcu_ptr *note_conf_ptr; /* configuration: struct note_conf */
  struct pl_rcu_ptr *memb_view_ptr; /* membership: struct memb_view */
  struct disp_peer_ops *peers;
  struct disp_run_ops *run_ops; /* null: lib/run */
  bool manual;                  /* no thread: the test calls disp_run_once */
};

struct disp_status
{
  unsigned queued_tasks;
  unsigned running_tasks;
  unsigned unfinished_jobs;
  unsigned records; /* of received keys */
  unsigned free_slots;
  int64_t epoch; /* current epoch of the keys that this instance issues */
  bool closed;   /* no new key is accepted */
};

struct disp;
struct disp *disp_new (const struct disp_opts *opts);
/* Stops the thread.  Every unfinished job is answered first, with what is
   known of its tasks.  */
void disp_free (struct disp *disp);

/* Handles all posted messages, then does the work that is due.  Only with the
   option MANUAL.  */
void disp_run_once (struct disp *disp);
/* Reports the result of a task.  Takes ownership of TASK and RESULT.  Any
   thread.  */
void disp_run_done (struct disp *disp, struct run_task *task,
                    struct run_result *result);

/* Submits a job, or joins the one that has the same key.  The key's owner must
   be this instance or an inherited one.  The job takes its own reference to
   REQ.  DONE, here and below, is called exactly once on the dispatch thread;
   it must not block.  These three may be called on any thread.  */
void disp_submit (struct disp *disp, struct job_req *req, job_done_fn *done,
                  void *user);
/* Replies with the final reply to KEY, or with the state of its job.  */
void disp_lookup (struct disp *disp, struct pl_str key, job_done_fn *done,
                  void *user);
/* Cancels the job of KEY; DONE gets its final reply.  */
void disp_cancel (struct disp *disp, struct pl_str key, job_done_fn *done,
                  void *user);

/* Events that the control thread reports.  Each function only posts.  */
void disp_permit_result (struct disp *disp, struct claim_key_hash hash,
                         bool granted);
/* PEER is suspect or has left.  Ends the jobs that wait for its permit.  */
void disp_peer_lost (struct disp *disp, claim_instance_id peer);
/* PEER is dead; its slots are shared out, and all lending with it ends.  */
void disp_peer_dead (struct disp *disp, claim_instance_id peer);
/* PEER asks for N slots.  */
void disp_slots_requested (struct disp *disp, claim_instance_id peer,
                           unsigned n);
/* PEER lends this instance slots; N may be 0.  */
void disp_slots_granted (struct disp *disp, claim_instance_id peer,
                         const struct disp_worker_slots *list, unsigned n);
/* PEER returns slots that it has borrowed.  */
void disp_slots_returned (struct disp *disp, claim_instance_id peer,
                          const struct disp_worker_slots *list, unsigned n);
/* PEER's heartbeat says that it holds TOTAL slots borrowed from here.  */
void disp_slots_held (struct disp *disp, claim_instance_id peer,
                      unsigned total);
/* The platform's list has the worker ADDR, as leaving if LEAVING is set.  Only
   a newer configuration makes a leaving worker usable again.  */
void disp_worker_leaving (struct disp *disp, struct pl_addr addr,
                          bool leaving);
/* A peer has learnt under REVISION of the configuration that the worker ADDR
   leaves.  */
void disp_peer_reports_leaving (struct disp *disp, struct pl_addr addr,
                                int64_t revision);
/* The membership or the configuration has changed.  */
void disp_view_changed (struct disp *disp);

/* Refuses keys that are not recorded from now on, if no job is unfinished or
   FORCE is set; the status then says closed.  Any thread; posts.  The heir,
   the instance that answers for the keys of this one when it has stopped, says
   "never received" of a key that is not in the exported records, so none may
   be started after the export.  */
void disp_stop_accepting (struct disp *disp, bool force);
/* Exports the records for the hand-over to the heir.  EXPORTED is called on
   the dispatch thread with each chunk of at most MAX_BYTES, then with null.
   This and the next two are called by the control thread.  */
void disp_export (struct disp *disp, size_t max_bytes,
                  void (*exported) (GBytes *chunk, void *user), void *user);
/* Adds the records of a chunk that a stopping instance has exported.  */
void disp_import (struct disp *disp, GBytes *chunk);
/* This instance answers for the keys of the stopped OWNER from now on.  */
void disp_inherit (struct disp *disp, claim_instance_id owner);

/* Any thread.  The values may be as old as the latest tick.  */
void disp_get_status (struct disp *disp, struct disp_status *out);
