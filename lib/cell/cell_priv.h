/* Internals of lib/cell.  */
#pragma once

#include "cell.h"
#include "cell.pb-c.h"

/* Silence after which a peer counts as lost for planning, and after which its
   runs on workers held here are stopped.  */
#define PEER_SILENT_US 500000
/* A peer whose link has ended is back within a reconnect, or it is dead.  */
#define PEER_CLOSED_US 160000
#define BEAT_US 100000
/* A peer that is neither heard nor registered has been replaced.  */
#define PEER_FORGET_US 30000000

struct peer
{
  struct pl_addr addr;
  void *link;        /* outgoing */
  int64_t redial_us; /* latest attempt that was begun anew */
  uint64_t id;       /* incarnation, 0: not heard yet */
  char *name;
  uint64_t domain;
  int64_t heard_us;     /* last beat */
  int64_t closed_us;    /* its link to us has ended; 0: open */
  bool refused;         /* its address refuses connections */
  int64_t offset_us;    /* our clock less its clock, least delay included */
  int64_t offset_at_us; /* when that was measured */
  bool hears_us;
  bool draining;
  bool ready;
  bool alive;      /* state that was acted on */
  bool quiet;      /* beats are missing; another one plans meanwhile */
  bool registered; /* in the registry of instances */
  int64_t config_version;
  GHashTable *held; /* worker -> token (int64_t *) */
};

/* A worker of the registry.  */
struct known_worker
{
  struct lease_worker_info info;
  char *id;
  int64_t token_seen;   /* highest token that is known to be used there */
  int64_t retry_us;     /* not taken before; 0: at once */
  unsigned fences;      /* in a row */
  int64_t reachable_us; /* when a probe was answered; 0: not */
  bool removed;         /* the registry names it no longer */
  bool dirty;           /* the planner has an old report */
};

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
  GHashTable *peers;   /* address -> struct peer */
  GHashTable *workers; /* key -> struct known_worker */
  struct lease_table *leases;
  struct owner_table *jobs;
  struct planner_state *plan;
  uint64_t planner;
  bool plan_dirty;
  bool ready;
  int64_t ready_us; /* since when */
  bool draining;
  bool view_dirty;
  bool rooms_dirty;
  bool registry_fresh;
  int64_t beat_us;
  int64_t rooms_us; /* last report of all rooms */
  int64_t config_version;
  GBytes *config;
  GQueue inbox; /* GBytes of messages to ourselves */
  bool in_turn;
};

/* Peers.  */
struct peer *cell_peer (struct cell *cell, uint64_t id);
bool cell_peer_alive (struct cell *cell, const struct peer *peer);
void cell_beat_arrived (struct cell *cell, uint64_t sender,
                        const Cellpb__Beat *beat);
/* Whether a frame that was sent at SENT_US on the sender's clock has been held
   up on its way, by a partition or because this process stood still.  */
bool cell_is_stale (struct cell *cell, uint64_t sender, int64_t sent_us);
void cell_tick_members (struct cell *cell);
void cell_members_changed (struct cell *cell);

/* Messages.  TO 0: all live peers and ourselves.  */
void cell_send (struct cell *cell, uint64_t to, Cellpb__Envelope *env);
void cell_send_peer (struct cell *cell, struct peer *peer,
                     Cellpb__Envelope *env);
/* To all peers, alive or not, and not to ourselves.  */
void cell_send_peers (struct cell *cell, Cellpb__Envelope *env);
/* TO null: all peers.  */
void cell_send_beat (struct cell *cell, struct peer *to);
void cell_dispatch (struct cell *cell, uint64_t sender,
                    const Cellpb__Envelope *env);

#define CELL_ENVELOPE(field, tag, message)                                    \
  {                                                                           \
    PROTOBUF_C_MESSAGE_INIT (&cellpb__envelope__descriptor),                  \
        .body_case = CELLPB__ENVELOPE__BODY_##tag, .field = (message)         \
  }

/* Division of the workers.  */
void cell_assign (struct cell *cell);
void cell_on_yield (struct cell *cell, const Cellpb__Yield *msg);

/* Reports of rooms.  */
void cell_report_rooms (struct cell *cell);
void cell_all_rooms_dirty (struct cell *cell);
/* Tells the planner that it gets no more reports from here.  */
void cell_withdraw_rooms (struct cell *cell);
void cell_mark_room (struct cell *cell, uint64_t worker);
void cell_saw_token (struct cell *cell, struct known_worker *known,
                     int64_t token);
/* Tells the planner that we don't hold WORKER any more.  */
void cell_send_room_gone (struct cell *cell, uint64_t worker);

/* Holder.  */
extern const struct lease_ops cell_lease_ops;
/* Tells owner TO (0: everybody) how a run has ended.  */
void cell_send_ended (struct cell *cell, uint64_t to, uint64_t worker,
                      const struct lease_run_id *id, enum lease_end end,
                      int64_t took_us);
void cell_on_start (struct cell *cell, uint64_t sender,
                    const Cellpb__Start *msg);
void cell_on_stop (struct cell *cell, const Cellpb__Stop *msg);
void cell_on_taken (struct cell *cell, uint64_t sender,
                    const Cellpb__Taken *msg);

/* Planner and owner.  */
extern const struct planner_ops cell_planner_ops;
extern const struct owner_ops cell_owner_ops;
void cell_on_ask (struct cell *cell, uint64_t sender, const Cellpb__Ask *msg);
void cell_on_room (struct cell *cell, uint64_t sender,
                   const Cellpb__Room *msg);
void cell_on_ended (struct cell *cell, uint64_t sender,
                    const Cellpb__Ended *msg);

struct lease_run_id cell_run_id (const Cellpb__RunId *id);
struct planner_resources cell_amount (const Cellpb__Amount *amount);
Cellpb__RunId cell_pack_run_id (const struct lease_run_id *id);
Cellpb__Amount cell_pack_amount (struct planner_resources amount);
