/* Calls of instances to the workers of the emulated deployment.  A call is an
   event that reaches the worker; its answer is an event that arrives at the
   instance.  */
#pragma once

#include "world_workers.h"

/* The cell of an instance; null if that incarnation has ended or is frozen. */
static inline struct cell *
world_cell (struct world *world, int instance, uint64_t incarnation)
{
  struct world_instance *in = &world->instances[instance];
  return in->cell != NULL && in->incarnation == incarnation && !in->frozen
             ? in->cell
             : NULL;
}

static inline void
world_process_queued (struct world *world, int instance)
{
  struct world_instance *in = &world->instances[instance];
  if (in->cell != NULL && !in->frozen)
    cell_process_queued (in->cell);
}

struct world_poll_answer
{
  struct world_event base; /* first member */
  struct lease_poll_result result;
  struct lease_running running[64];
  struct lease_end_record ended[256];
};

/* Keeps the answer to a call of a frozen instance for when it goes on.  */
static inline bool
world_is_missed (struct world *world, const struct world_event *event,
                 size_t size)
{
  struct world_instance *in = &world->instances[event->from];
  if (in->cell == NULL || in->incarnation != event->incarnation || !in->frozen)
    return false;
  g_ptr_array_add (in->missed, g_memdup2 (event, size));
  return true;
}

static inline void
world_poll_answer_arrives (struct world *world, struct world_event *event)
{
  struct world_poll_answer *answer = (struct world_poll_answer *)event;
  if (world_is_missed (world, event, sizeof *answer))
    return;
  answer->result.running = answer->running;
  answer->result.ended = answer->ended;
  if (event->reply == LEASE_REPLY_NO_ANSWER)
    answer->result
        = (struct lease_poll_result){ .reply = LEASE_REPLY_NO_ANSWER };
  struct cell *cell = world_cell (world, event->from, event->incarnation);
  if (cell == NULL)
    return;
  if (world->cut_worker[event->from][event->to])
    answer->result
        = (struct lease_poll_result){ .reply = LEASE_REPLY_NO_ANSWER };
  lease_poll_done (cell_leases (cell), world->workers[event->to].key,
                   event->token, &answer->result, world_now (world));
  world_process_queued (world, event->from);
}

static inline void
world_send_poll_answer (struct world *world, const struct world_event *poll,
                        enum lease_reply reply, int64_t delay_us)
{
  struct world_worker *w = &world->workers[poll->to];
  if (reply != LEASE_REPLY_NO_ANSWER
      && world_random_chance (world, world->lost_answer_share))
    {
      reply = LEASE_REPLY_NO_ANSWER;
      delay_us = WORLD_NEVER_US;
    }
  world_limit_answer (world, poll, &reply, &delay_us);
  struct world_poll_answer *answer = g_new0 (struct world_poll_answer, 1);
  answer->base = *poll;
  answer->base.at_us = world_now (world) + delay_us;
  answer->base.seq = world->seq++;
  answer->base.handler = world_poll_answer_arrives;
  answer->result.reply = reply;
  answer->result.clock_ms = (world_now (world) - w->booted_us) / 1000;
  answer->result.incarnation_ms = w->incarnation_ms;
  for (guint i = 0; reply == LEASE_REPLY_OK && i < w->model.runs->len; i++)
    answer->running[answer->result.n_running++].id
        = g_array_index (w->model.runs, struct model_run, i).id;
  for (guint i = 0;
       reply == LEASE_REPLY_OK && i < w->model.ended->len && i < 256; i++)
    answer->ended[answer->result.n_ended++]
        = g_array_index (w->model.ended, struct lease_end_record, i);
  world_schedule (world, &answer->base);
}

static inline void
world_answer_poll (struct world *world, struct world_worker *w)
{
  struct world_event *poll = w->poll;
  w->poll = NULL;
  world_send_poll_answer (world, poll, LEASE_REPLY_OK,
                          world_random_delay (world));
  g_free (poll);
}

static inline void
world_poll_wait_ends (struct world *world, struct world_event *event)
{
  struct world_worker *w = &world->workers[event->to];
  if (w->poll != NULL && w->poll->seq == event->seq && w->up)
    world_answer_poll (world, w);
}

/* Keeps a call for the next process of W.  Its caller gets no answer: it waits
   for less than a process takes to start.  */
static inline void
world_keep_call (struct world_worker *w, const struct world_event *call)
{
  struct world_event *waiting = g_memdup2 (call, sizeof *call);
  waiting->no_answer = true;
  g_ptr_array_add (w->waiting, waiting);
}

/* Has the process of W, which has just started, carry out the calls that have
   waited for it, in their order.  */
static inline void
world_deliver_waiting_calls (struct world *world, struct world_worker *w)
{
  for (guint i = 0; i < w->waiting->len; i++)
    {
      struct world_event *call = g_ptr_array_index (w->waiting, i);
      call->at_us = world_now (world) + 100 + i;
      call->seq = world->seq++;
      world_schedule (world, call);
    }
  g_ptr_array_set_size (w->waiting, 0);
}

static inline void
world_poll_reaches_worker (struct world *world, struct world_event *event)
{
  struct world_worker *w = &world->workers[event->to];
  bool cut = world->cut_worker[event->from][event->to];
  if (w->replaced && !cut)
    {
      world_send_poll_answer (world, event, LEASE_REPLY_RESTARTED,
                              world_random_delay (world));
      return;
    }
  if (!w->up && !cut && w->refuses)
    {
      world_send_poll_answer (world, event, LEASE_REPLY_CONN_REFUSED,
                              world_random_delay (world));
      return;
    }
  if (!w->up && !cut && w->supervised)
    world_keep_call (w, event);
  if (!w->up || cut)
    {
      world_send_poll_answer (world, event, LEASE_REPLY_NO_ANSWER,
                              WORLD_NEVER_US);
      return;
    }
  world_advance_worker (world, w);
  if (!model_accept_token (&w->model, event->token))
    {
      if (!event->no_answer)
        world_send_poll_answer (world, event, LEASE_REPLY_FENCED,
                                world_random_delay (world));
      return;
    }
  if (event->deadline_ms != 0)
    model_renew (&w->model, world_time_of_worker (w, event->deadline_ms),
                 world_now (world));
  world_schedule_worker (world, w);
  model_acknowledge (&w->model, event->last_end);
  if (event->no_answer)
    return;
  if (w->model.ended->len > 0 || event->wait_ms == 0)
    {
      world_send_poll_answer (world, event, LEASE_REPLY_OK,
                              world_random_delay (world));
      return;
    }
  if (w->poll != NULL)
    world_answer_poll (world, w);
  w->poll = g_memdup2 (event, sizeof *event);
  struct world_event *timeout
      = world_new_event (world, event->wait_ms * 1000, world_poll_wait_ends);
  timeout->to = event->to;
  timeout->seq = w->poll->seq;
  world_schedule (world, timeout);
}

static inline void
world_start_answer_arrives (struct world *world, struct world_event *event)
{
  if (world_is_missed (world, event, sizeof *event))
    return;
  struct cell *cell = world_cell (world, event->from, event->incarnation);
  if (cell == NULL)
    return;
  lease_start_done (cell_leases (cell), world->workers[event->to].key,
                    event->token, &event->id, event->reply, world_now (world));
  world_process_queued (world, event->from);
}

static inline void
world_stop_answer_arrives (struct world *world, struct world_event *event)
{
  if (world_is_missed (world, event, sizeof *event))
    return;
  struct cell *cell = world_cell (world, event->from, event->incarnation);
  if (cell == NULL)
    return;
  lease_stop_done (cell_leases (cell), world->workers[event->to].key,
                   event->token, &event->id, event->reply, world_now (world));
  world_process_queued (world, event->from);
}

static inline void
world_schedule_reply (struct world *world, const struct world_event *event,
                      enum lease_reply reply, int64_t delay_us,
                      void (*handler) (struct world *, struct world_event *))
{
  world_limit_answer (world, event, &reply, &delay_us);
  struct world_event *answer = g_memdup2 (event, sizeof *event);
  answer->at_us = world_now (world) + delay_us;
  answer->seq = world->seq++;
  answer->handler = handler;
  answer->reply = reply;
  world_schedule (world, answer);
}

static inline void
world_order_reaches_worker (
    struct world *world, struct world_event *event,
    enum lease_reply (*apply) (struct world *, struct world_worker *,
                               const struct world_event *),
    void (*arrives) (struct world *, struct world_event *))
{
  struct world_worker *w = &world->workers[event->to];
  bool cut = world->cut_worker[event->from][event->to];
  enum lease_reply reply = LEASE_REPLY_NO_ANSWER;
  if (w->up && !cut)
    reply = apply (world, w, event);
  else if (!cut && w->refuses)
    reply = LEASE_REPLY_CONN_REFUSED;
  else if (!cut && w->supervised)
    world_keep_call (w, event);
  if (event->no_answer)
    return;
  if (world_random_chance (world, world->lost_answer_share))
    reply = LEASE_REPLY_NO_ANSWER;
  world_schedule_reply (world, event, reply,
                        reply == LEASE_REPLY_NO_ANSWER
                            ? WORLD_NEVER_US
                            : world_random_delay (world),
                        arrives);
}

static inline void
world_start_reaches_worker (struct world *world, struct world_event *event)
{
  world_order_reaches_worker (world, event, world_apply_start,
                              world_start_answer_arrives);
}

static inline void
world_stop_reaches_worker (struct world *world, struct world_event *event)
{
  world_order_reaches_worker (world, event, world_apply_stop,
                              world_stop_answer_arrives);
}

/* Ops of lib/cell by which an instance calls a worker.  */

static inline int
world_worker_of (struct world *world, uint64_t key)
{
  for (int i = 0; i < world->n_workers; i++)
    if (world->workers[i].key == key)
      return i;
  return -1;
}

static inline struct world_event *
world_new_call (struct world_instance *in, struct lease_worker *w,
                void (*handler) (struct world *, struct world_event *))
{
  struct world_event *event = world_new_event (
      in->world, world_random_delay (in->world) + in->world->link_delay_us,
      handler);
  event->from = in->index;
  event->to = world_worker_of (in->world, w->info.worker);
  event->incarnation = in->incarnation;
  event->token = w->token;
  int64_t timeout_us = lease_order_timeout_us (cell_leases (in->cell));
  event->expires_us
      = world_now (in->world) + MAX (timeout_us, in->world->call_timeout_us);
  return event;
}

static void
world_on_poll (void *ctx, struct lease_worker *w, int64_t deadline_ms,
               int wait_ms)
{
  struct world_instance *in = ctx;
  struct world_event *event
      = world_new_call (in, w, world_poll_reaches_worker);
  event->deadline_ms = deadline_ms;
  event->wait_ms = wait_ms;
  event->expires_us
      = world_now (in->world)
        + MAX (lease_poll_timeout_us (cell_leases (in->cell), wait_ms),
               in->world->call_timeout_us + (int64_t)wait_ms * 1000);
  event->last_end = w->acked_end;
  world_schedule (in->world, event);
}

/* Sends an order.  A share of them gets no answer and is carried out seconds
   later.  */
static inline void
world_send_order (struct world *world, struct world_event *event,
                  void (*arrives) (struct world *, struct world_event *))
{
  if (world->instances[event->from].orders_late
      || world_random_chance (world, world->late_order_share))
    {
      world_schedule_reply (world, event, LEASE_REPLY_NO_ANSWER,
                            WORLD_NEVER_US, arrives);
      event->no_answer = true;
      event->at_us += world_random_between (world, 2000000, 12000000);
    }
  world_schedule (world, event);
}

static void
world_on_start (void *ctx, struct lease_worker *w, const struct lease_run *run,
                int64_t deadline_ms)
{
  struct world_instance *in = ctx;
  struct world_event *event
      = world_new_call (in, w, world_start_reaches_worker);
  struct world_job *job = g_hash_table_lookup (in->world->jobs, &run->id.job);
  event->deadline_ms = deadline_ms;
  event->id = run->id;
  event->size = run->size;
  event->run_us = (job == NULL ? WORLD_UNKNOWN_RUN_US : job->run_us)
                  * world_random_between (in->world, 80, 120) / 100;
  world_send_order (in->world, event, world_start_answer_arrives);
}

static void
world_on_stop (void *ctx, struct lease_worker *w,
               const struct lease_run_id *id)
{
  struct world_instance *in = ctx;
  struct world_event *event
      = world_new_call (in, w, world_stop_reaches_worker);
  event->id = *id;
  world_send_order (in->world, event, world_stop_answer_arrives);
}

static void
world_on_close_worker (void *ctx, struct lease_worker *w)
{
  (void)ctx;
  (void)w;
}
