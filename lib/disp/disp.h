/* The dispatch thread: jobs from submission to reply.  It owns the job queue,
   the owner's records, the slots and the workers' health.  */
#pragma once

#include "claim.h"
#include "conf.h"
#include "job.h"
#include "memb.h"
#include "run.h"

/* Slots of one worker.  */
struct disp_worker_slots
{
  struct pl_addr addr;
  unsigned count;
};

/* What dispatch asks of the control thread.  All functions only post and may
   be called from the dispatch thread at any time.  */
struct disp_peer_ops
{
  /* Asks WITNESS for a permit; answered by disp_permit_result.  */
  void (*permit) (struct disp_peer_ops *ops, claim_instance_id witness,
                  struct claim_key_hash hash, int64_t epoch);
  /* Asks PEER for up to N slots; answered by disp_slots_granted.  */
  void (*borrow) (struct disp_peer_ops *ops, claim_instance_id peer,
                  unsigned n);
  /* Answers a peer's request, and returns borrowed slots.  */
  void (*grant) (struct disp_peer_ops *ops, claim_instance_id peer,
                 const struct disp_worker_slots *lots, unsigned n);
  /* Tells the peers of the domain that a worker leaves; may be null.  */
  void (*leaving) (struct disp_peer_ops *ops, struct pl_addr addr,
                   int64_t revision);
  void (*give_back) (struct disp_peer_ops *ops, claim_instance_id peer,
                     const struct disp_worker_slots *lots, unsigned n);
};

/* Replaces lib/run in tests.  START takes over TASK until disp_run_done.  */
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
  struct pl_rcu_ptr *note_conf_ptr; /* struct note_conf */
  struct pl_rcu_ptr *memb_view_ptr; /* struct memb_view */
  struct disp_peer_ops *peers;
  struct disp_run_ops *run_ops; /* null: lib/run */
  bool manual;                  /* no thread: the test calls disp_turn */
};

struct disp_status
{
  unsigned queued_tasks;
  unsigned running_tasks;
  unsigned unfinished_jobs;
  unsigned records;
  unsigned free_slots;
  int64_t epoch;
  bool closed;
};

struct disp;
struct disp *disp_new (const struct disp_opts *opts);
/* Stops the thread; every job that is left gets a true reply first.  */
void disp_free (struct disp *disp);

/* One turn of the dispatch thread: all posted messages, then what is due. Only
   with the option MANUAL.  */
void disp_turn (struct disp *disp);
/* The end of a task; takes over both.  Any thread.  */
void disp_run_done (struct disp *disp, struct run_task *task,
                    struct run_result *result);

/* Any thread.  Takes its own reference to REQ.  DONE is called exactly once on
   the dispatch thread; it must not block.  The key's owner must be this
   instance or an inherited one.  */
void disp_submit (struct disp *disp, struct job_req *req, job_done_fn *done,
                  void *user);
/* Replies with the state of KEY, or its final reply.  */
void disp_lookup (struct disp *disp, struct pl_str key, job_done_fn *done,
                  void *user);
void disp_cancel (struct disp *disp, struct pl_str key, job_done_fn *done,
                  void *user);

/* From the control thread; each posts.  */
void disp_permit_result (struct disp *disp, struct claim_key_hash hash,
                         bool granted);
void disp_peer_lost (struct disp *disp,
                     claim_instance_id peer); /* suspect or left */
void disp_peer_dead (struct disp *disp, claim_instance_id peer);
void disp_slots_requested (struct disp *disp, claim_instance_id peer,
                           unsigned n);
void disp_slots_granted (struct disp *disp, claim_instance_id peer,
                         const struct disp_worker_slots *lots, unsigned n);
void disp_slots_returned (struct disp *disp, claim_instance_id peer,
                          const struct disp_worker_slots *lots, unsigned n);
/* A peer's heartbeat: slots that it holds of ours.  */
void disp_slots_held (struct disp *disp, claim_instance_id peer,
                      unsigned total);
void disp_worker_leaving (struct disp *disp, struct pl_addr addr,
                          bool leaving);
/* A peer's sign, seen under REVISION of the configuration.  */
void disp_peer_reports_leaving (struct disp *disp, struct pl_addr addr,
                                int64_t revision);
void disp_view_changed (struct disp *disp);

/* Ends the acceptance of keys that are not recorded, if no job is unfinished
   or FORCE is set; the status then says closed.  Any thread; posts.  A key
   that started after the export would be "never received" at the heir.  */
void disp_stop_accepting (struct disp *disp, bool force);
/* Hand-over, from the control thread.  EXPORTED gets the chunks on the
   dispatch thread, then null.  */
void disp_export (struct disp *disp, size_t max_bytes,
                  void (*exported) (GBytes *chunk, void *user), void *user);
void disp_import (struct disp *disp, GBytes *chunk);
void disp_inherit (struct disp *disp, claim_instance_id owner);

/* Any thread; values may be a tick old.  */
void disp_get_status (struct disp *disp, struct disp_status *out);
