/* Internals of lib/cell: the state of an instance and the functions that its
   files share.  */
#pragma once

#include "cell.h"
#include "cell.pb-c.h"
#include "overflow.h"

/* After this silence a peer is treated as lost: the planner drops its workers
   and jobs, and its runs on workers held here are stopped.  */
#define PEER_LOST_US 500000
/* A peer whose link was closed either reconnects within this time or is
   treated as lost.  */
#define PEER_RECONNECT_US 160000
#define HEARTBEAT_PERIOD_US 100000
/* The heartbeat that an echo is of may be a period older than the one that
   brings it, which may be a period old: the runs of a lost peer are stopped
   before the renewal of their leases is withheld.  */
G_STATIC_ASSERT (PEER_LOST_US + 2 * HEARTBEAT_PERIOD_US
                 <= LEASE_OWNER_LOST_US);
/* A peer that is neither heard nor registered for this long has been replaced
   by an instance at another address, and is removed.  */
#define PEER_FORGET_US 30000000

struct peer
{
  struct pl_addr addr;
  void *link;           /* outgoing */
  const void *link_in;  /* the latest incoming one; null: none yet */
  int64_t reconnect_us; /* when we last forced a new attempt to connect */
  uint64_t id;          /* incarnation; 0: not heard yet */
  char *name;
  uint64_t domain;
  uint32_t cpu_share; /* thousandths of a core; 0: not known */
  int64_t last_heartbeat_us;
  int64_t link_closed_us;   /* when its link to us was closed; 0: open */
  bool refuses_connections; /* at its address, when last tried */
  /* Our clock minus its clock plus the shortest delay of a frame.  */
  int64_t clock_offset_us;
  int64_t clock_offset_at_us; /* when that was measured; 0: never */
  bool two_way; /* it hears this instance, by its latest heartbeat */
  bool draining;
  bool ready;
  bool alive;             /* as acted on last; see cell_is_peer_alive */
  int64_t alive_since_us; /* while it is alive */
  bool suspected;   /* heartbeats are missing: it is not chosen as planner */
  bool registered;  /* in the registry of instances */
  bool domain_only; /* it sends heartbeats in its failure domain only */
  bool registry_stale;   /* the registry does not serve it */
  bool takes_repeats;    /* of heartbeats without their unchanged state */
  bool echoes;           /* its heartbeats tell which of ours it has heard */
  int64_t heard_sent_us; /* when it sent its latest heartbeat, on its clock */
  /* Until then its runs may have their leases renewed here; see
     cell_is_heard_by.  */
  int64_t renew_until_us;
  uint64_t state; /* hash of the state in its latest full heartbeat */
  bool reads_registry;
  int64_t registry_revision; /* up to which it knows the workers */
  int64_t config_version;
  GHashTable *held; /* workers that it holds -> token (int64_t *) */
};

/* A worker of the registry, held here or not.  */
struct known_worker
{
  struct lease_worker_info info;
  char *id;
  int64_t changed_revision; /* of the latest change that decides on starts */
  int64_t highest_token;    /* highest token that is known to be used there */
  int64_t take_after_us;    /* not taken before this time; 0: at once */
  unsigned times_fenced;    /* leases lost by fencing since one succeeded */
  int64_t reachable_us;     /* when a probe was last answered; 0: not */
  uint64_t holder;          /* that should hold it; see cell_weigh_worker */
  bool removed;             /* it is no longer in the registry */
  bool needs_report;        /* it has changed since its last report */
};

/* Counters that the log event LOAD shows, see load.c.  */
#define CELL_LOAD_COUNTERS 6

struct cell
{
  struct pl_clock *clock;
  const struct cell_ops *ops;
  void *ctx;
  uint64_t id;
  char *name;
  char *domain_name;
  uint64_t domain;
  struct pl_addr addr;
  uint32_t cpu_share;  /* thousandths of a core */
  GHashTable *fleet;   /* address -> struct fleet_member of fleet.c */
  GHashTable *domains; /* hash of the name -> struct fleet_domain of fleet.c */
  bool domain_only;    /* heartbeats go to the own failure domain only */
  GHashTable *peers;   /* address -> struct peer */
  GHashTable *workers; /* hash of its name -> struct known_worker */
  GHashTable *unsettled; /* set of keys of WORKERS, see assign.c */
  struct lease_table *leases;
  struct owner_table *jobs;
  struct evac_table *evacuations;
  struct planner_state *planner; /* in use while this instance plans */
  /* The instance that plans.  0: it was lost and the next one is not chosen
     yet.  */
  uint64_t planner_id;
  bool plan_due; /* planner_schedule must be called */
  bool ready;
  int64_t ready_us; /* when READY changed last */
  bool draining;
  bool membership_changed; /* not handled by cell_apply_membership yet */
  bool candidates_changed; /* the same: who may hold workers */
  bool reports_due;        /* some worker's report is due */
  bool registry_fresh;
  int64_t registry_revision; /* up to which the workers are known */
  bool reads_registry;       /* in the mode domain_only; see reader.c */
  int64_t reader_change_us;  /* since when that is to change; 0: it is not */
  int64_t workers_changed_revision; /* of the latest change of a worker */
  int64_t ticked_us;                /* the latest tick; 0: none yet */
  int64_t resumed_us;        /* end of the latest pause of this process */
  int64_t heartbeat_us;      /* when the last one was sent; 0: send one now */
  uint64_t heartbeat_state;  /* hash of what the latest heartbeat has told */
  int64_t heartbeat_full_us; /* when that was sent in full to all */
  int64_t all_reported_us;   /* when all workers were reported last */
  int64_t config_version;
  GBytes *config;
  GQueue inbox;         /* GBytes of messages of this instance to itself */
  GHashTable *searches; /* number -> struct search of find.c */
  uint64_t n_searches;
  GHashTable *kept;    /* job -> struct kept of kept.c */
  GQueue kept_order;   /* struct kept, oldest first */
  GHashTable *remotes; /* address -> struct remote of remote.c */
  GQueue sent_ends;    /* struct sent_end of resync.c, oldest first */
  struct overflow_lender *lender;
  struct overflow_borrower *borrower;
  struct overflow_sent_table *sent;
  struct overflow_received_table *received;
  GQueue deferred;   /* struct deferred of defer.c, oldest first */
  uint64_t n_picked; /* calls of cell_pick_instance */
  int64_t load_logged_us;
  int64_t logged_load[CELL_LOAD_COUNTERS];
};

/* The registered instances (fleet.c).  */
uint64_t cell_addr_key (struct pl_addr addr);
/* Whether heartbeats are to be exchanged with the instance at ADDR, as far as
   the registry tells.  */
bool cell_may_be_peer (const struct cell *cell, struct pl_addr addr);
/* Whether heartbeats are to be exchanged with PEER any longer.  */
bool cell_is_peer_wanted (const struct cell *cell, const struct peer *peer);
/* Whether PEER may plan for this instance, or hold workers in its place.  */
bool cell_is_candidate (const struct cell *cell, const struct peer *peer);
/* Takes over the mode of a peer of the own domain, by its heartbeat.  */
void cell_follow_mode (struct cell *cell, const struct peer *peer);
/* Notes that there are workers of DOMAIN.  */
void cell_know_domain (struct cell *cell, uint64_t domain);
/* Ends the links to instances that have left.  */
void cell_end_calls (struct cell *cell);
/* The link to an instance that has left is up, or not.  */
void cell_note_call (struct cell *cell, const void *link, bool up);
/* Adopts domains without instances, or gives them back.  */
void cell_tick_domains (struct cell *cell);
/* Whether some other domain has registered instances and is not evacuated.  */
bool cell_has_other_domain (const struct cell *cell);
/* A failure domain that has instances, or had some in the last
   PEER_FORGET_US.  */
struct cell_domain
{
  uint64_t domain;
  unsigned n_instances; /* registered; 0: it has lost them */
};

/* The other failure domains, struct cell_domain.  The caller frees the array.
 */
GArray *cell_list_other_domains (struct cell *cell);
/* Instance NUMBER of DOMAIN, counted from one that depends on this instance,
   so that instances spread over those of the domain.  Returns false if there
   are not so many.  */
bool cell_find_member (const struct cell *cell, uint64_t domain,
                       unsigned number, struct pl_addr *addr);
/* The instances that DOMAIN had last, struct pl_addr.  The caller frees the
   array.  */
GArray *cell_list_former (const struct cell *cell, uint64_t domain);
void cell_free_domain (void *domain);
/* Whether this instance's domain holds the workers of DOMAIN.  */
bool cell_serves_domain (const struct cell *cell, uint64_t domain);

/* Bound of the domains that room is asked of.  */
#define CELL_MAX_OVERFLOW_DOMAINS 64
/* Fills DOMAINS with other domains that have instances and are not evacuated;
   returns their number.
 */
unsigned
cell_list_overflow_domains (const struct cell *cell,
                            uint64_t domains[CELL_MAX_OVERFLOW_DOMAINS]);
/* Sets ADDR to a registered instance of DOMAIN, another one with each call.
   False if there is none.  */
bool cell_pick_instance (struct cell *cell, uint64_t domain,
                         struct pl_addr *addr);

/* Overflow between failure domains (overflow.c).  */
extern const struct overflow_sent_ops cell_sent_ops;
/* Returns the credit under which a job that can't be served here may be
   forwarded, null if there is none.  */
const struct overflow_credit *
cell_borrow (struct cell *cell, const struct planner_request *request);
/* The same for a job for which that was called before.  */
const struct overflow_credit *
cell_borrow_again (struct cell *cell, const struct planner_request *request);
/* Whether the job of the request may be served in another failure domain.  */
bool cell_may_overflow (const struct cell *cell,
                        const struct planner_request *request);
/* JOB, which may have been forwarded or received, ends here.  */
void cell_end_overflow (struct cell *cell, const struct owner_job *job,
                        const struct owner_answer *answer);
/* Ends the received jobs whose leases have expired.  */
void cell_expire_received (struct cell *cell);
void cell_tick_overflow (struct cell *cell);
void cell_on_refuse (struct cell *cell, const Cellpb__Refuse *msg);
void cell_on_credit_request (struct cell *cell,
                             const Cellpb__CreditRequest *msg);
void cell_on_credit (struct cell *cell, uint64_t sender,
                     const Cellpb__Credit *msg);
void cell_on_forward (struct cell *cell, uint64_t sender, int64_t sent_us,
                      const Cellpb__Forward *msg);
void cell_on_renew (struct cell *cell, uint64_t sender, int64_t sent_us,
                    const Cellpb__Renew *msg);
void cell_on_renewed (struct cell *cell, uint64_t sender,
                      const Cellpb__Renewed *msg);
void cell_on_result (struct cell *cell, uint64_t sender,
                     const Cellpb__Result *msg);

/* Peers: failure detection and the choice of the planner (member.c),
   heartbeats (heartbeat.c, heard.c).  */
struct peer *cell_find_peer (struct cell *cell, uint64_t id);
struct peer *cell_find_peer_at (const struct cell *cell, struct pl_addr addr);
/* Whether PEER and this instance hear each other now.  PEER->alive is the
   state that was acted on last.  */
bool cell_is_peer_alive (struct cell *cell, const struct peer *peer);
/* Acts on a peer that has become alive, or is lost for REASON.  */
void cell_set_alive (struct cell *cell, struct peer *peer, bool alive,
                     const char *reason);
/* Acts on a peer of which heartbeats are missing, or are heard again.  */
void cell_set_suspected (struct cell *cell, struct peer *peer, bool suspected);
void cell_on_heartbeat (struct cell *cell, const Cellpb__Envelope *env);
/* Whether the instance ID has heard this one within LEASE_OWNER_LOST_US, as
   its heartbeats show.  Unlike cell_is_peer_alive this does not discount a
   pause of this process, nor the time that a heartbeat was under way.  */
bool cell_is_heard_by (struct cell *cell, uint64_t id);
/* Whether some instance may have taken workers of this one since SINCE_US
   without this one having heard of it: an instance that was or may be out of
   reach, or any if this process was paused.  */
bool cell_may_be_succeeded (struct cell *cell, int64_t since_us);
/* Whether a frame that was sent at SENT_US on the sender's clock was delayed
   on its way, by a partition or because this process was stopped.  If so, the
   sender is treated as lost.  */
bool cell_detect_stale_frame (struct cell *cell, uint64_t sender,
                              int64_t sent_us);
/* Notices that this process was paused.  Call first in each tick.  */
void cell_notice_pause (struct cell *cell, int64_t now_us);
void cell_tick_members (struct cell *cell);
/* Chooses the planner and the holders of the workers anew.  */
void cell_apply_membership (struct cell *cell);

/* Messages (msg.c).  TO 0: all peers, alive or not, and this instance.  */
void cell_send (struct cell *cell, uint64_t to, Cellpb__Envelope *env);
/* Sends nothing while no planner is chosen: all requests and reports are sent
   to the next one.  */
void cell_send_to_planner (struct cell *cell, Cellpb__Envelope *env);
void cell_send_to_peer (struct cell *cell, struct peer *peer,
                        Cellpb__Envelope *env);
/* To all peers, alive or not, without this instance.  */
void cell_send_to_all_peers (struct cell *cell, Cellpb__Envelope *env);
/* To all peers; to those that know the state of this instance only that it
   has not changed.  */
void cell_send_heartbeats (struct cell *cell);
/* In full, to one peer, which is to do the same if ASKS_STATE.  */
void cell_send_heartbeat (struct cell *cell, struct peer *to, bool asks_state);
/* Returns the frame of a message.  The caller frees it.  */
GBytes *cell_pack (struct cell *cell, Cellpb__Envelope *env);
void cell_dispatch (struct cell *cell, uint64_t sender,
                    const Cellpb__Envelope *env);

/* A message as sent to several peers.  The caller frees it.  */
GBytes *cell_pack (struct cell *cell, Cellpb__Envelope *env);

/* Instances with which no heartbeats are exchanged (remote.c).  */
void cell_send_remote (struct cell *cell, struct pl_addr addr,
                       Cellpb__Envelope *env);
void cell_remote_link_up (struct cell *cell, const void *link);
void cell_remote_link_down (struct cell *cell, const void *link, bool refused);
void cell_tick_remotes (struct cell *cell);
void cell_close_remotes (struct cell *cell);
void cell_free_remote (void *remote);

/* Whether a message has the parts that its handler needs, with values that it
   can compute with (check.c).  */
bool cell_is_valid (const Cellpb__Envelope *env);

#define CELL_ENVELOPE(field, tag, message)                                    \
  {                                                                           \
    PROTOBUF_C_MESSAGE_INIT (&cellpb__envelope__descriptor),                  \
        .body_case = CELLPB__ENVELOPE__BODY_##tag, .field = (message)         \
  }

/* Whether the process of a peer has certainly ended: its link is closed, and
   its address refuses connections.  */
static inline bool
cell_has_peer_ended (const struct peer *peer)
{
  return peer->link_closed_us != 0 && peer->refuses_connections;
}

/* Assignment of the workers to instances (assign.c).  */
/* Chooses the holder of a worker, or of all workers, anew.  */
void cell_weigh_worker (struct cell *cell, struct known_worker *known);
void cell_weigh_workers (struct cell *cell);
/* Has the next cell_assign_workers look at the worker.  */
void cell_unsettle_worker (struct cell *cell, struct known_worker *known);
/* Takes, yields and probes workers that are not settled.  */
void cell_assign_workers (struct cell *cell);
/* Returns a token above every one that is known to be used on the worker, and
   records it as used.  */
int64_t cell_use_next_token (struct cell *cell, struct known_worker *known);
void cell_on_yield (struct cell *cell, const Cellpb__Yield *msg);

/* The registry (registry.c).  The entry of a worker in a message; CAPACITY
   holds a part of it.  What is decoded points to the id in MSG.  */
Cellpb__Worker cell_encode_worker (const struct known_worker *known,
                                   int64_t now_us, Cellpb__Amount *capacity);
struct lease_worker_info cell_decode_worker (const Cellpb__Worker *msg);
/* Tells PEER, which the registry does not serve, of a later change of a worker
   that it holds.  */
void cell_relay_changes (struct cell *cell, struct peer *peer,
                         const Cellpb__Held *held);
void cell_on_worker_state (struct cell *cell, const Cellpb__WorkerState *msg);

/* Reading the registry for the domain (reader.c).  Tells PEER of the workers
   that it does not know yet by its heartbeat.  */
void cell_tell_workers (struct cell *cell, struct peer *peer);
/* Has this instance begin or end to read the registry.  */
void cell_tick_reader (struct cell *cell);
/* Has each peer told the names of all workers, and what it does not know.  */
void cell_tell_all_anew (struct cell *cell);
/* Has the readers tell this instance all workers, if it does not read them. */
void cell_ask_for_workers (struct cell *cell);
void cell_on_registry (struct cell *cell, const Cellpb__Registry *msg);

/* Evacuations of failure domains (evacuate.c).  */
/* Whether no task may start on the workers of DOMAIN.  */
bool cell_is_evacuated (const struct cell *cell, uint64_t domain);
/* Takes over what a peer tells.  */
void cell_read_evacuations (struct cell *cell, const Cellpb__Heartbeat *msg);

/* Reports of held workers to the planner (report.c, message Room).  */
void cell_send_due_reports (struct cell *cell);
void cell_mark_all_reports_due (struct cell *cell);
/* Tells the planner that this instance reports no workers to it any more.  */
void cell_withdraw_reports (struct cell *cell);
void cell_mark_report_due (struct cell *cell, uint64_t worker);
/* Records that a live peer uses TOKEN on a worker.  */
void cell_record_token (struct cell *cell, struct known_worker *known,
                        int64_t token);
/* Tells the planner that this instance does not hold WORKER any more.  */
void cell_withdraw_report (struct cell *cell, uint64_t worker);

/* Jobs of other instances, for their callers (find.c).  */
void cell_on_find (struct cell *cell, uint64_t sender,
                   const Cellpb__Find *msg);
void cell_on_found (struct cell *cell, uint64_t sender,
                    const Cellpb__Found *msg);
void cell_free_search (void *search);
/* The process of the instance at ADDR has ended.  */
void cell_on_remote_refused (struct cell *cell, struct pl_addr addr);
void cell_tick_searches (struct cell *cell);
/* Ends the job for its caller, who has cancelled it at another instance.  */
void cell_cancel_job (struct cell *cell, struct owner_job *job);

/* Cancellations for instances that are silent (kept.c).  */
bool cell_can_keep_cancellation (const struct cell *cell);
/* Has all instances keep the cancellation of JOB at the time AT_US.  */
void cell_keep_cancellation (struct cell *cell, uint64_t job, int64_t at_us);
/* Tells PEER, which was silent or may have lost messages, what is kept.  */
void cell_send_cancellations (struct cell *cell, struct peer *peer);
void cell_on_cancels (struct cell *cell, const Cellpb__Cancels *msg);
void cell_tick_kept (struct cell *cell);

/* What is repeated after a connection was lost (resync.c).  Our link to PEER
   is up again, or the peer's link to us.  */
void cell_on_link_replaced (struct cell *cell, struct peer *peer);
void cell_on_peer_link_replaced (struct cell *cell, struct peer *peer);
/* Keeps an end that was sent, to repeat it.  */
void cell_remember_end (struct cell *cell, uint64_t worker,
                        const struct lease_run_end *end);

/* The holder (hold.c).  */
extern const struct lease_ops cell_lease_ops;
/* Tells an instance, 0 for all, how a run on WORKER has ended.  */
void cell_send_ended_to (struct cell *cell, uint64_t to, uint64_t worker,
                         const struct lease_run_end *end);
/* Tells an instance, 0 for all, that W is held here, and what runs there.  */
void cell_send_taken (struct cell *cell, uint64_t to,
                      const struct lease_worker *w);
/* Tells the owner of a run on WORKER, or all instances, how it has ended.  */
void cell_send_ended (struct cell *cell, uint64_t worker,
                      const struct lease_run_end *end);
void cell_on_start (struct cell *cell, uint64_t sender,
                    const Cellpb__Start *msg);
void cell_on_stop (struct cell *cell, uint64_t sender,
                   const Cellpb__Stop *msg);
void cell_on_taken (struct cell *cell, uint64_t sender,
                    const Cellpb__Taken *msg);

/* Refusals that wait for room of another domain (defer.c).  False if there is
   none to wait for.  */
bool cell_defer_refusal (struct cell *cell,
                         const struct planner_request *request,
                         int retry_after_ms);
/* The job is requested anew, or not wanted any more.  */
void cell_forget_deferred (struct cell *cell, uint64_t job, uint64_t owner);
/* Sends the refusals for which there is credit now, or that have waited long
   enough.  */
void cell_retry_deferred (struct cell *cell);

/* The planner and the owner (plan.c).  */
/* Refuses a job to its owner.  CREDIT, under which it may be forwarded, may be
   null.  */
void cell_send_refusal (struct cell *cell,
                        const struct planner_request *request,
                        int retry_after_ms,
                        const struct overflow_credit *credit);
extern const struct planner_ops cell_planner_ops;
extern const struct owner_ops cell_owner_ops;
void cell_on_ask (struct cell *cell, uint64_t sender, const Cellpb__Ask *msg);
void cell_on_room (struct cell *cell, uint64_t sender,
                   const Cellpb__Room *msg);
void cell_on_ended (struct cell *cell, uint64_t sender,
                    const Cellpb__Ended *msg);
/* Tells PEER, which may have started just now, which tasks have crashed
   workers.  */
void cell_send_crashes (struct cell *cell, struct peer *peer);
void cell_on_crashes (struct cell *cell, const Cellpb__Crashes *msg);

/* Logs the event LOAD if it is due (load.c).  */
void cell_log_load (struct cell *cell);

/* Conversion of parts of messages.  */
struct lease_run_id cell_decode_run_id (const Cellpb__RunId *id);
struct planner_resources cell_decode_amount (const Cellpb__Amount *amount);
Cellpb__RunId cell_encode_run_id (const struct lease_run_id *id);
Cellpb__Amount cell_encode_amount (struct planner_resources amount);
