/* One instance among its peers: membership, the division of workers among
   holders, the planner, and the messages between owner, planner and holder.
   Input and output go through a vtable; time comes from the clock.  One owning
   thread.

   Every instance owns the jobs of its callers and holds a share of the workers
   of its failure domain.  One of the instances that hear each other plans for
   all of them.  Each side of a partition has its own planner and goes on with
   the workers that its instances hold.  */
#pragma once

#include "lease.h"
#include "owner.h"

#define CELL_TICK_US LEASE_TICK_US

struct cell;

struct cell_ops
{
  /* Opens a link to a peer that is kept open until it is closed.  */
  void *(*connect) (void *ctx, struct pl_addr addr);
  void (*disconnect) (void *ctx, void *link);
  /* The peer can be reached: an attempt to connect LINK begins anew.  */
  void (*reconnect) (void *ctx, void *link);
  void (*send) (void *ctx, void *link, struct pl_str frame);
  /* Asks for a call of cell_process_queued soon.  */
  void (*wake) (void *ctx);
  /* Unix time in ms; only makes fencing tokens rise.  */
  int64_t (*wall_ms) (void *ctx);
  /* Calls to workers, as in struct lease_ops.  */
  void (*poll) (void *ctx, struct lease_worker *w, int64_t deadline_ms,
                int wait_ms);
  void (*start) (void *ctx, struct lease_worker *w,
                 const struct lease_run *run, int64_t deadline_ms);
  void (*stop) (void *ctx, struct lease_worker *w,
                const struct lease_run_id *id);
  /* The worker is held no longer: its connections can be closed.  */
  void (*close_worker) (void *ctx, struct lease_worker *w);
  void (*answer) (void *ctx, struct owner_job *job,
                  const struct owner_answer *answer);
  /* A peer has a newer configuration.  */
  void (*config) (void *ctx, int64_t version, struct pl_str text);
};

struct cell_config
{
  struct pl_clock *clock;
  uint64_t id; /* incarnation */
  const char *name;
  const char *domain;
  struct pl_addr addr; /* for peers */
};

struct cell *cell_new (const struct cell_config *config,
                       const struct cell_ops *ops, void *ctx);
void cell_free (struct cell *cell);
struct lease_table *cell_leases (struct cell *cell);
struct owner_table *cell_jobs (struct cell *cell);

/* Hash by which services, domains, labels and workers are known.  */
uint64_t cell_name_hash (struct pl_str text);

/* What the registry says.  */
void cell_set_worker (struct cell *cell, const struct lease_worker_info *info);
void cell_remove_worker (struct cell *cell, uint64_t worker);
/* An instance is registered at ADDR, or no longer.  */
void cell_set_instance_registered (struct cell *cell, struct pl_addr addr,
                                   bool registered);
/* Whether the registry is up to date.  */
void cell_set_registry_fresh (struct cell *cell, bool fresh);
/* Learns the address of a possible peer.  */
void cell_add_peer (struct cell *cell, struct pl_addr addr);

/* Configuration in force here; peers with an older one get it.  */
void cell_set_config (struct cell *cell, int64_t version, struct pl_str text);
void cell_set_ready (struct cell *cell, bool ready);
/* A planned stop: workers go to the peers, jobs are finished.  */
void cell_drain (struct cell *cell);

/* Events of links.  LINK_PEER stores the peer's identity of an incoming link,
   0 at first.  */
void cell_receive_frame (struct cell *cell, uint64_t *link_peer,
                         struct pl_str frame);
void cell_incoming_link_closed (struct cell *cell, uint64_t link_peer);
void cell_outgoing_link_up (struct cell *cell, void *link);
void cell_outgoing_link_down (struct cell *cell, void *link, bool refused);

/* Handles what has been queued; call once after each batch of events.  */
void cell_process_queued (struct cell *cell);
/* Call every CELL_TICK_US.  */
void cell_tick (struct cell *cell);

/* Workers that this instance holds and can use now.  */
unsigned cell_usable_workers (struct cell *cell);
unsigned cell_held_workers (struct cell *cell);
unsigned cell_peers_alive (struct cell *cell);
unsigned cell_known_peers (const struct cell *cell);
