/* Types, event queue, randomness and trace of the emulated deployment; see
   cell_world.h.  */
#pragma once

#include "cell.h"
#include "worker_model.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORLD_MAX_INSTANCES 304
#define WORLD_MAX_WORKERS 1104
#define WORLD_MAX_STOP_US 50000 /* until a stop takes effect */
/* Least time limit of a call to a worker; the wait of a poll is added.  */
#define WORLD_CALL_TIMEOUT_US 200000
#define WORLD_RECONNECT_US 100000
/* Timeout of an attempt to connect over a link that is cut.  */
#define WORLD_CONNECT_TIMEOUT_US 150000
/* After this time callers submit the jobs of an ended instance again.  */
#define WORLD_RESEND_US 1300000
#define WORLD_FRAME_DELAY_US 500 /* between instances */
#define WORLD_JOB_DEADLINE_US 4000000
/* A crashing task ends its worker after this time; the worker is back after
   WORLD_REBOOT_US.  */
#define WORLD_CRASH_DELAY_US 5000
#define WORLD_REBOOT_US 3000000
#define WORLD_UNKNOWN_RUN_US 100000 /* of a job that no caller submitted */
#define WORLD_MAX_DOMAINS 13
#define WORLD_CODE_LIMIT 700 /* above every result code */

struct world;

struct world_event
{
  int64_t at_us;
  uint64_t seq;
  void (*handler) (struct world *world, struct world_event *event);
  int from;             /* instance */
  int to;               /* instance or worker */
  uint64_t incarnation; /* of TO for a frame, else of FROM */
  GBytes *frame;
  int64_t token;
  int64_t deadline_ms;
  int64_t last_end;
  int wait_ms;      /* of a poll; in world_try_link the index of the link */
  unsigned attempt; /* number of the attempt to connect a link */
  bool no_answer;   /* of a call: it ends without one */
  struct lease_run_id id;
  struct planner_resources size;
  int64_t run_us;
  int64_t expires_us; /* of a call: when its timer runs out */
  enum lease_reply reply;
};

struct world_worker
{
  int index;
  uint64_t key;
  char id[16];
  int domain;
  int64_t incarnation_ms;
  int64_t revision; /* of its entry in the registry */
  bool up;
  bool refuses; /* while it is down, connections are refused */
  /* While it is down, a supervisor keeps its listening socket open: calls wait
     and are carried out by the next process.  */
  bool supervised;
  GPtrArray *waiting; /* struct world_event: calls that wait so */
  int64_t booted_us; /* when its process started; its clock counts from then */
  bool draining;
  uint64_t label; /* its kind; 0: none */
  bool replaced;  /* a worker with another id answers at its address */
  struct model_worker model;
  struct world_event *poll; /* waits for the end of a run; may be null */
  double failure_share;     /* of its runs that fail */
  bool hangs;               /* its runs take 60 s */
  int64_t warmup_left_ms;   /* as its entry says */
};

struct world_link
{
  struct world *world;
  int from;
  struct pl_addr addr;
  bool up;
  unsigned attempt; /* number of the latest attempt to connect */
};

struct world_instance
{
  struct world *world;
  int index;
  int domain;
  struct cell *cell; /* null while it is down */
  uint64_t incarnation;
  uint32_t cpu_share; /* thousandths of a core */
  bool frozen;
  bool reads_registry;
  bool orders_late;  /* all its orders are carried out late, see world */
  GPtrArray *missed; /* struct world_event: answers that came while frozen */
  /* Ids of the peers of incoming links; each connection has one of its own. */
  uint64_t *link_peers[WORLD_MAX_INSTANCES];
  GPtrArray *links;
};

struct world_job
{
  uint64_t id;
  unsigned n_tasks;
  uint32_t per_worker; /* tasks on one worker; 0: no bound */
  uint64_t label;      /* that its workers must have; 0: any */
  struct planner_resources size;
  int64_t run_us;
  bool crashing;    /* its first task crashes the worker that starts it */
  unsigned crashes; /* of workers, by it */
  int instance;     /* that it was submitted to last */
  uint64_t incarnation;
  int64_t lost_us;   /* when the end of its instance was noticed; 0: not */
  unsigned attempts; /* submissions */
  bool ran;          /* a worker has carried out a start */
  bool answered;
  int64_t answered_us;
  enum pl_code code;
};

struct world
{
  struct pl_manual_clock clock;
  uint64_t rng;
  uint64_t seq;
  GSequence *events;
  struct world_instance instances[WORLD_MAX_INSTANCES];
  int n_instances;
  int n_domains;
  struct world_worker workers[WORLD_MAX_WORKERS];
  int n_workers;
  /* Cut links: from the first instance to the second; instance and worker.  */
  bool cut[WORLD_MAX_INSTANCES][WORLD_MAX_INSTANCES];
  bool cut_worker[WORLD_MAX_INSTANCES][WORLD_MAX_WORKERS];
  bool delay_cut_frames;     /* frames of a cut link arrive when it heals */
  bool cut_refuses;          /* connections over a cut link are refused */
  GPtrArray *delayed_frames; /* struct world_event */
  GPtrArray *link_peers;     /* uint64_t: those of all connections */
  int64_t call_timeout_us;   /* least time limit of a call to a worker */
  int64_t job_deadline_us;   /* of jobs, from their submission */
  int64_t link_delay_us; /* one way, added to what instances send and get */
  bool registry_down;
  int64_t registry_revision;
  double late_order_share;  /* of orders carried out 2 to 12 s later */
  double lost_answer_share; /* of calls carried out without an answer */
  uint32_t per_worker;      /* bound of the jobs submitted next; 0: none */
  uint64_t required_label;  /* of the jobs submitted next; 0: none */
  GHashTable *jobs;         /* id -> struct world_job */
  unsigned starts;
  unsigned answers[WORLD_CODE_LIMIT];
  unsigned complete;
  unsigned double_starts;   /* of a task that runs on another worker */
  unsigned overfull_starts; /* above the capacity of the worker */
  unsigned false_refusals;  /* DEADLINE_LOST of jobs that had started */
  unsigned draining_starts; /* on a worker that is leaving */
  /* Domains on whose workers no task may start any more.  */
  bool evacuated[WORLD_MAX_DOMAINS];
  unsigned evacuated_starts;
  unsigned crowded_starts; /* above a job's bound of tasks per worker */
  unsigned wrong_starts;   /* on a worker without the job's label */
  unsigned frames;         /* sent between instances */
  /* Results of searches for jobs, by enum cell_search_result.  */
  unsigned searches[CELL_SEARCH_KEPT + 1];
  /* Receives a copy of each frame that is sent; may be null.  */
  void (*on_frame) (struct world *world, GBytes *frame);
  void *user; /* of ON_FRAME */
  char first_violation[256];
};

static inline int64_t
world_now (struct world *world)
{
  return world->clock.now_us;
}

static inline uint64_t
world_random (struct world *world)
{
  world->rng ^= world->rng << 13;
  world->rng ^= world->rng >> 7;
  world->rng ^= world->rng << 17;
  return world->rng;
}

static inline int64_t
world_random_between (struct world *world, int64_t low, int64_t high)
{
  return low + (int64_t)(world_random (world) % (uint64_t)(high - low + 1));
}

static inline bool
world_random_chance (struct world *world, double share)
{
  return (double)(world_random (world) % 1000000) < share * 1000000;
}

static gint
world_compare_events (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct world_event *x = a;
  const struct world_event *y = b;
  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static inline struct world_event *
world_new_event (struct world *world, int64_t delay_us,
                 void (*handler) (struct world *, struct world_event *))
{
  struct world_event *event = g_new0 (struct world_event, 1);
  event->at_us = world_now (world) + delay_us;
  event->seq = world->seq++;
  event->handler = handler;
  return event;
}

static inline void
world_schedule (struct world *world, struct world_event *event)
{
  g_sequence_insert_sorted (world->events, event, world_compare_events, NULL);
}

static inline int64_t
world_random_delay (struct world *world)
{
  return world_random_between (world, 300, 1500);
}

static inline void
world_record_violation (struct world *world, const char *text, uint64_t job,
                        uint32_t index)
{
  if (world->first_violation[0] == '\0')
    g_snprintf (world->first_violation, sizeof world->first_violation,
                "%s at %.3f s: %016" PRIx64 ".%u", text,
                (double)world_now (world) / 1e6, job, index);
}

/* Prints a line of the trace to stderr if PAPAYALOFT_TRACE is set, to find the
   cause of a violation.  */
static inline void G_GNUC_PRINTF (2, 3)
    world_trace (struct world *world, const char *fmt, ...)
{
  if (getenv ("PAPAYALOFT_TRACE") == NULL)
    return;
  va_list args;
  va_start (args, fmt);
  fprintf (stderr, "%9.4f ", (double)world_now (world) / 1e6);
  vfprintf (stderr, fmt, args);
  fputc ('\n', stderr);
  va_end (args);
}
