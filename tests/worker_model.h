/* A worker as the platform's pages describe it: it obeys the highest fencing
   token, runs tasks under one lease, lists ends by number and refuses run
   numbers that have ended there.  Time is passed in; used by the emulated
   deployment and by the stand-in of the platform.  */
#pragma once

#include "lease.h"

#define MODEL_MAX_LEASE_US 1000000

struct model_run
{
  struct lease_run_id id;
  struct planner_resources size;
  int64_t end_us; /* of its work, or of its stop */
  enum lease_outcome outcome;
};

struct model_worker
{
  struct planner_resources capacity;
  int64_t token;
  int64_t lease_us; /* when everything lapses */
  int64_t next_end;
  GArray *runs;  /* struct model_run */
  GArray *ended; /* struct lease_end_record */
  GArray *gone;  /* struct lease_run_id: runs that ended or were stopped */
};

struct model_start
{
  int64_t token;
  int64_t deadline_us; /* of the lease */
  struct lease_run_id id;
  struct planner_resources size;
  int64_t run_us;
  enum lease_outcome outcome; /* how it will end */
};

static inline void
model_init (struct model_worker *w, struct planner_resources capacity)
{
  *w = (struct model_worker){
    .capacity = capacity,
    .runs = g_array_new (FALSE, FALSE, sizeof (struct model_run)),
    .ended = g_array_new (FALSE, FALSE, sizeof (struct lease_end_record)),
    .gone = g_array_new (FALSE, FALSE, sizeof (struct lease_run_id)),
  };
}

static inline void
model_clear (struct model_worker *w)
{
  g_array_unref (w->runs);
  g_array_unref (w->ended);
  g_array_unref (w->gone);
}

/* A crash: the next incarnation knows nothing.  */
static inline void
model_reset (struct model_worker *w)
{
  g_array_set_size (w->runs, 0);
  g_array_set_size (w->ended, 0);
  g_array_set_size (w->gone, 0);
  w->token = 0;
  w->lease_us = 0;
  w->next_end = 0;
}

static inline struct planner_resources
model_used (const struct model_worker *w)
{
  struct planner_resources used = { 0 };
  for (guint i = 0; i < w->runs->len; i++)
    used = planner_resources_add (
        used, g_array_index (w->runs, struct model_run, i).size);
  return used;
}

/* Ends what is due; returns the number of ends.  */
static inline unsigned
model_advance (struct model_worker *w, int64_t now_us)
{
  unsigned n = 0;
  for (guint i = w->runs->len; i-- > 0;)
    {
      struct model_run run = g_array_index (w->runs, struct model_run, i);
      if (w->lease_us <= now_us)
        run.outcome = LEASE_OUTCOME_EXPIRED;
      else if (run.end_us > now_us)
        continue;
      struct lease_end_record end
          = { .number = ++w->next_end, .id = run.id, .outcome = run.outcome };
      g_array_remove_index_fast (w->runs, i);
      g_array_append_val (w->ended, end);
      g_array_append_val (w->gone, run.id);
      n++;
    }
  return n;
}

/* When model_advance has to run again; INT64_MAX: not needed.  */
static inline int64_t
model_due_us (const struct model_worker *w)
{
  int64_t due_us = w->runs->len == 0 ? INT64_MAX : w->lease_us;
  for (guint i = 0; i < w->runs->len; i++)
    due_us = MIN (due_us, g_array_index (w->runs, struct model_run, i).end_us);
  return due_us;
}

/* False if another holder has used a higher token.  */
static inline bool
model_accept_token (struct model_worker *w, int64_t token)
{
  if (token < w->token)
    return false;
  w->token = token;
  return true;
}

/* The lease never shortens and is at most MODEL_MAX_LEASE_US.  */
static inline void
model_renew (struct model_worker *w, int64_t deadline_us, int64_t now_us)
{
  int64_t until_us = MIN (deadline_us, now_us + MODEL_MAX_LEASE_US);
  w->lease_us = MAX (w->lease_us, until_us);
}

static inline bool
model_has_ended (const struct model_worker *w, const struct lease_run_id *id)
{
  for (guint i = 0; i < w->gone->len; i++)
    {
      const struct lease_run_id *other
          = &g_array_index (w->gone, struct lease_run_id, i);
      if (lease_same_task (other, id) && other->run >= id->run)
        return true;
    }
  return false;
}

static inline struct model_run *
model_find (const struct model_worker *w, const struct lease_run_id *id)
{
  for (guint i = 0; i < w->runs->len; i++)
    {
      struct model_run *run = &g_array_index (w->runs, struct model_run, i);
      if (lease_same_run (&run->id, id))
        return run;
    }
  return NULL;
}

/* BEGUN tells whether a run has begun by this call.  */
static inline enum lease_reply
model_start (struct model_worker *w, const struct model_start *start,
             int64_t now_us, bool *begun)
{
  *begun = false;
  (void)model_advance (w, now_us);
  if (!model_accept_token (w, start->token))
    return LEASE_REPLY_FENCED;
  if (start->deadline_us <= now_us)
    return LEASE_REPLY_EXPIRED;
  if (model_find (w, &start->id) != NULL)
    return LEASE_REPLY_OK;
  model_renew (w, start->deadline_us, now_us);
  if (model_has_ended (w, &start->id))
    return LEASE_REPLY_OLD_RUN;
  struct model_run run = {
    .id = start->id,
    .size = start->size,
    .end_us = now_us + start->run_us,
    .outcome = start->outcome,
  };
  g_array_append_val (w->runs, run);
  *begun = true;
  return LEASE_REPLY_OK;
}

static inline enum lease_reply
model_stop (struct model_worker *w, int64_t token,
            const struct lease_run_id *id, int64_t now_us, int64_t stop_us)
{
  (void)model_advance (w, now_us);
  if (!model_accept_token (w, token))
    return LEASE_REPLY_FENCED;
  struct model_run *run = model_find (w, id);
  g_array_append_val (w->gone, *id);
  if (run != NULL && run->outcome != LEASE_OUTCOME_STOPPED)
    {
      run->outcome = LEASE_OUTCOME_STOPPED;
      run->end_us = now_us + stop_us;
    }
  return LEASE_REPLY_OK;
}

/* Forgets the ends up to LAST_END.  */
static inline void
model_acknowledge (struct model_worker *w, int64_t last_end)
{
  for (guint i = w->ended->len; i-- > 0;)
    if (g_array_index (w->ended, struct lease_end_record, i).number
        <= last_end)
      g_array_remove_index (w->ended, i);
}
