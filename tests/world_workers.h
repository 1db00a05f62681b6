/* Workers of the emulated deployment: their processes, what they run, and the
   checks at each start.  Calls to them are in world_calls.h.  */
#pragma once

#include "world_base.h"

static inline void world_answer_poll (struct world *world,
                                      struct world_worker *w);

/* The delay of an answer that never comes.  */
#define WORLD_NEVER_US 3600000000

/* An answer that comes after the time limit of its call is lost: the call ends
   without an answer at that limit.  */
static inline void
world_limit_answer (struct world *world, const struct world_event *call,
                    enum lease_reply *reply, int64_t *delay_us)
{
  if (*delay_us > 0)
    *delay_us += world->link_delay_us;
  if (world_now (world) + *delay_us <= call->expires_us)
    return;
  *reply = LEASE_REPLY_NO_ANSWER;
  *delay_us = MAX (call->expires_us - world_now (world), 0);
}

/* Ends the worker's runs that are due, and answers the waiting poll if any run
   has ended.  */
static inline void
world_advance_worker (struct world *world, struct world_worker *w)
{
  guint before = w->model.ended->len;
  if (model_advance (&w->model, world_now (world)) == 0)
    return;
  for (guint i = before; i < w->model.ended->len; i++)
    {
      const struct lease_end_record *end
          = &g_array_index (w->model.ended, struct lease_end_record, i);
      world_trace (world, "end %016" PRIx64 ".%u run %u on %s outcome %d",
                   end->id.job, end->id.index, end->id.run, w->id,
                   (int)end->outcome);
    }
  if (w->poll != NULL)
    world_answer_poll (world, w);
}

static inline void
world_worker_due (struct world *world, struct world_event *event)
{
  struct world_worker *w = &world->workers[event->to];
  if (!w->up)
    return;
  world_advance_worker (world, w);
}

static inline void world_boot_worker (struct world *world, int index);
static inline void world_send_poll_answer (struct world *world,
                                           const struct world_event *poll,
                                           enum lease_reply reply,
                                           int64_t delay_us);

/* Ends a worker's process.  If REFUSES, its machine goes on and refuses
   connections; otherwise calls get no answer.  */
static inline void
world_end_worker (struct world *world, struct world_worker *w, bool refuses)
{
  world_trace (world, "crash of %s", w->id);
  model_reset (&w->model);
  w->up = false;
  w->refuses = refuses;
  if (w->poll != NULL)
    world_send_poll_answer (world, w->poll, LEASE_REPLY_NO_ANSWER,
                            refuses || w->supervised ? 0 : WORLD_NEVER_US);
  g_clear_pointer (&w->poll, g_free);
}

static inline void
world_crash_worker (struct world *world, int index)
{
  world_end_worker (world, &world->workers[index], false);
}

static inline void
world_reboot_worker (struct world *world, struct world_event *event)
{
  world_boot_worker (world, event->to);
}

static inline void
world_run_crashes_worker (struct world *world, struct world_event *event)
{
  struct world_worker *w = &world->workers[event->to];
  struct world_job *job = g_hash_table_lookup (world->jobs, &event->id.job);
  if (!w->up || (uint64_t)w->incarnation_ms != event->incarnation)
    return;
  job->crashes++;
  world_end_worker (world, w, true);
  struct world_event *reboot
      = world_new_event (world, WORLD_REBOOT_US, world_reboot_worker);
  reboot->to = event->to;
  world_schedule (world, reboot);
}

/* Schedules the crash of W if the run that it has started causes one.  */
static inline void
world_schedule_crash (struct world *world, struct world_worker *w,
                      const struct lease_run_id *id)
{
  const struct world_job *job = g_hash_table_lookup (world->jobs, &id->job);
  if (job == NULL || !job->crashing || id->index != 0)
    return;
  struct world_event *event = world_new_event (world, WORLD_CRASH_DELAY_US,
                                               world_run_crashes_worker);
  event->to = w->index;
  event->id = *id;
  event->incarnation = (uint64_t)w->incarnation_ms;
  world_schedule (world, event);
}

static inline void
world_schedule_worker (struct world *world, struct world_worker *w)
{
  int64_t due_us = model_due_us (&w->model);
  if (due_us == INT64_MAX)
    return;
  struct world_event *event = world_new_event (
      world, MAX (due_us - world_now (world), 0), world_worker_due);
  event->to = w->index;
  world_schedule (world, event);
}

/* Whether the task runs on another worker than HERE.  */
static inline bool
world_task_runs_elsewhere (struct world *world,
                           const struct world_worker *here,
                           const struct lease_run_id *id)
{
  for (int i = 0; i < world->n_workers; i++)
    {
      struct world_worker *w = &world->workers[i];
      if (!w->up || w == here)
        continue;
      world_advance_worker (world, w);
      for (guint k = 0; k < w->model.runs->len; k++)
        if (lease_same_task (
                &g_array_index (w->model.runs, struct model_run, k).id, id))
          return true;
    }
  return false;
}

/* Whether more tasks of the job run on the worker than the job allows.  */
static inline bool
world_exceeds_bound (struct world *world, const struct world_worker *w,
                     uint64_t id)
{
  const struct world_job *job = g_hash_table_lookup (world->jobs, &id);
  unsigned n = 0;
  for (guint i = 0; i < w->model.runs->len; i++)
    n += g_array_index (w->model.runs, struct model_run, i).id.job == id;
  return job != NULL && job->per_worker != 0 && n > job->per_worker;
}

static inline void
world_check_start (struct world *world, struct world_worker *w,
                   const struct world_event *event)
{
  struct planner_resources none = { 0 };
  struct world_job *job = g_hash_table_lookup (world->jobs, &event->id.job);
  world->starts++;
  if (job != NULL)
    job->ran = true;
  world->draining_starts += w->draining;
  world->evacuated_starts += world->evacuated[w->domain];
  world_trace (world, "start %016" PRIx64 ".%u run %u on %s by i%d",
               event->id.job, event->id.index, event->id.run, w->id,
               event->from);
  if (world_task_runs_elsewhere (world, w, &event->id))
    {
      world->double_starts++;
      world_record_violation (world, "TWICE", event->id.job, event->id.index);
    }
  if (!planner_resources_fit (w->model.capacity, model_used (&w->model), none))
    {
      world->overfull_starts++;
      world_record_violation (world, "LIMIT", event->id.job, event->id.index);
    }
  if (job != NULL && job->label != 0 && job->label != w->label)
    {
      world->wrong_starts++;
      world_record_violation (world, "ROUTE", event->id.job, event->id.index);
    }
  if (world_exceeds_bound (world, w, event->id.job))
    {
      world->crowded_starts++;
      world_record_violation (world, "BOUND", event->id.job, event->id.index);
    }
}

/* The time of the world at which the clock of W shows CLOCK_MS.  */
static inline int64_t
world_time_of_worker (const struct world_worker *w, int64_t clock_ms)
{
  return w->booted_us + clock_ms * 1000;
}

static inline enum lease_reply
world_apply_start (struct world *world, struct world_worker *w,
                   const struct world_event *event)
{
  bool begun;
  struct model_start start = {
    .token = event->token,
    .deadline_us = world_time_of_worker (w, event->deadline_ms),
    .id = event->id,
    .size = event->size,
    .run_us = w->hangs ? 60000000 : event->run_us,
    .outcome = world_random_chance (world, w->failure_share)
                   ? LEASE_OUTCOME_FAILED
                   : LEASE_OUTCOME_DONE,
  };
  world_advance_worker (world, w);
  enum lease_reply reply
      = model_start (&w->model, &start, world_now (world), &begun);
  if (begun)
    {
      world_check_start (world, w, event);
      world_schedule_crash (world, w, &event->id);
    }
  world_schedule_worker (world, w);
  return reply;
}

static inline enum lease_reply
world_apply_stop (struct world *world, struct world_worker *w,
                  const struct world_event *event)
{
  world_advance_worker (world, w);
  enum lease_reply reply
      = model_stop (&w->model, event->token, &event->id, world_now (world),
                    world_random_between (world, 1000, WORLD_MAX_STOP_US));
  world_schedule_worker (world, w);
  return reply;
}
