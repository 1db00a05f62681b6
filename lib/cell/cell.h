/* The cluster logic of one instance (struct cell): membership, the assignment
   of workers to instances, and the messages between the three roles that every
   instance has.

   Owner: accepts jobs from its callers and answers each of them once.
   Holder: has the lease of some workers, starts and stops runs on them.
   Planner: decides which task goes to which worker.  One of the instances that
   hear each other plans for all of them; the planners of the others are idle.

   Each side of a partition chooses its own planner and continues with the
   workers that its instances hold.  What keeps a worker from obeying two
   holders is the fencing token (lease.h), not the membership: a peer that is
   taken for lost may still be running.

   Input and output go through a vtable; time comes from the clock.  All calls
   must come from one thread.  */
#pragma once

#include "evac.h"
#include "lease.h"
#include "owner.h"

#define CELL_TICK_US LEASE_TICK_US

struct cell;

/* What a search for the job of a caller has found.  */
enum cell_search_result
{
  CELL_SEARCH_PENDING,      /* the op found tells the result */
  CELL_SEARCH_FOUND,        /* another instance has the job, or cancelled it */
  CELL_SEARCH_NONE,         /* no instance has it */
  CELL_SEARCH_OUT_OF_REACH, /* an instance that may have it doesn't answer */
  CELL_SEARCH_KEPT, /* the same; the job is cancelled when that is heard */
};

struct cell_ops
{
  /* Opens a link to a peer; it reconnects by itself until DISCONNECT.  */
  void *(*connect) (void *ctx, struct pl_addr addr);
  void (*disconnect) (void *ctx, void *link);
  /* Abandons a pending attempt to connect LINK and starts a new one, because
     the peer is known to be up.  */
  void (*reconnect) (void *ctx, void *link);
  void (*send) (void *ctx, void *link, struct pl_str frame);
  /* Requests a call of cell_process_queued soon.  */
  void (*wake) (void *ctx);
  /* Unix time in ms.  Used only to make each fencing token higher than those
     of earlier holders.  */
  int64_t (*wall_ms) (void *ctx);
  /* Calls to workers, as in struct lease_ops.  */
  void (*poll) (void *ctx, struct lease_worker *w, int64_t deadline_ms,
                int wait_ms);
  void (*start) (void *ctx, struct lease_worker *w,
                 const struct lease_run *run, int64_t deadline_ms);
  void (*stop) (void *ctx, struct lease_worker *w,
                const struct lease_run_id *id);
  /* The worker is no longer held: its connections can be closed.  */
  void (*close_worker) (void *ctx, struct lease_worker *w);
  /* The final answer to the caller of JOB.  */
  void (*answer) (void *ctx, struct owner_job *job,
                  const struct owner_answer *answer);
  /* The result of the search USER, see cell_search_job.  */
  void (*found) (void *ctx, void *user, bool cancel,
                 enum cell_search_result result);
  /* A peer has a newer configuration.  */
  void (*config) (void *ctx, int64_t version, struct pl_str text);
};

struct cell_config
{
  struct pl_clock *clock;
  uint64_t id; /* incarnation: unique for each start of the process */
  const char *name;
  const char *domain;
  struct pl_addr addr; /* where peers connect */
  /* Processor time that this machine has, in thousandths of a core.  The
     planner is one of the instances with the most.  */
  uint32_t cpu_share;
};

struct cell *cell_new (const struct cell_config *config,
                       const struct cell_ops *ops, void *ctx);
void cell_free (struct cell *cell);
struct lease_table *cell_leases (struct cell *cell);
struct owner_table *cell_jobs (struct cell *cell);

/* Hash that stands for the name of a service, domain, label or worker in
   messages and tables; never 0.  */
uint64_t cell_name_hash (struct pl_str text);

/* Changes of the registry of workers and instances.  */
void cell_set_worker (struct cell *cell, const struct lease_worker_info *info);
void cell_remove_worker (struct cell *cell, uint64_t worker);
/* Sets whether an instance of DOMAIN is registered at ADDR.  DOMAIN empty: not
   known.  */
void cell_set_instance_registered (struct cell *cell, struct pl_addr addr,
                                   struct pl_str domain, bool registered);
/* Whether this instance is to read the entries of workers; if not, peers that
   do tell it of them.  Changes with the membership.  */
bool cell_reads_registry (const struct cell *cell);
/* Sets the revision up to which the registry has been read.  */
void cell_set_registry_revision (struct cell *cell, int64_t revision);
bool cell_is_worker_registered (const struct cell *cell, uint64_t worker);
bool cell_is_instance_registered (const struct cell *cell,
                                  struct pl_addr addr);
/* Sets whether what is known here of the registry is complete and up to date.
   If not, a silent peer's registration does not show that it is running.  */
void cell_set_registry_fresh (struct cell *cell, bool fresh);
/* Takes over what the store tells of the evacuation of a failure domain.
   False if it is no valid entry, or there are too many of them.  */
bool cell_set_evacuation (struct cell *cell, const struct evac_entry *entry);
/* A complete listing of the store as of REVISION names just the N domains at
   LISTED as evacuated.  */
void cell_end_unlisted_evacuations (struct cell *cell, const uint64_t *listed,
                                    unsigned n, int64_t revision);
unsigned cell_count_evacuated_domains (const struct cell *cell);
/* Whether callers are better served by another failure domain: this one is
   evacuated, each domain plans for itself, and some other one has instances
   and is not evacuated.  */
bool cell_prefers_other_domains (const struct cell *cell);
/* Adds ADDR as the address of a possible peer and connects to it.  */
void cell_add_peer (struct cell *cell, struct pl_addr addr);

/* Sets the configuration in force here; it is sent to peers that have an older
   one.  */
void cell_set_config (struct cell *cell, int64_t version, struct pl_str text);
void cell_set_ready (struct cell *cell, bool ready);
/* Begins a planned stop: hands the workers over to peers.  Jobs are finished
   or answered by END_US, when the process ends; those that can't be done by
   then are refused.  */
void cell_drain (struct cell *cell, int64_t end_us);

/* Searches for a job that this instance does not have, and cancels it if
   CANCEL.  The load balancer sends each new connection of a caller to any
   instance of the failure domain where the caller is now: these are asked
   first, and the planner, which knows the owners of all jobs that wait for
   workers; then all others.  USER names the search.  */
enum cell_search_result cell_search_job (struct cell *cell, uint64_t job,
                                         bool cancel, void *user);
/* Nobody waits for the result of the search USER any more.  */
void cell_forget_search (struct cell *cell, const void *user);

/* Events of links.  Each instance sends on the links that it opened and
   receives on those that its peers opened.  *LINK_PEER belongs to an incoming
   link: 0 at first, then the id of the peer that sends on it.  */
void cell_receive_frame (struct cell *cell, uint64_t *link_peer,
                         struct pl_str frame);
void cell_incoming_link_closed (struct cell *cell, uint64_t link_peer);
void cell_outgoing_link_up (struct cell *cell, void *link);
void cell_outgoing_link_down (struct cell *cell, void *link, bool refused);

/* Processes messages to this instance itself and pending decisions.  Call once
   after each batch of events.  */
void cell_process_queued (struct cell *cell);
/* Call every CELL_TICK_US.  */
void cell_tick (struct cell *cell);

/* Workers that this instance holds and that take starts now.  */
unsigned cell_count_usable_workers (struct cell *cell);
unsigned cell_count_held_workers (struct cell *cell);
unsigned cell_count_live_peers (struct cell *cell);
unsigned cell_count_known_peers (const struct cell *cell);
