/* What the tests of lib/lease share: a holder whose calls to workers are
   counted in a struct sink, with answers and times passed in by the test.  */
#pragma once

#include "lease.h"
#include "test.h"

#include <string.h>

#define MS ((int64_t)1000)
#define TOKEN 100

struct sink
{
  unsigned polls;
  int64_t poll_deadline_ms;
  int64_t poll_last_end;
  int poll_wait_ms;
  int64_t took_us;
  unsigned starts;
  unsigned stops;
  unsigned taken;
  unsigned lost;
  enum lease_reply lost_reason;
  unsigned ends;
  enum lease_end end;
  enum lease_cause cause;
  enum lease_blame blames[4]; /* by index of the task */
  enum lease_reply silent_reply;
  struct lease_run_id ended;
  int64_t exposed_us;  /* another instance may have taken the worker then */
  uint64_t lost_owner; /* does not hear this holder */
};

static void
on_poll (void *ctx, struct lease_worker *w, int64_t deadline_ms, int wait_ms)
{
  struct sink *sink = ctx;
  sink->poll_wait_ms = wait_ms;
  sink->polls++;
  sink->poll_deadline_ms = deadline_ms;
  sink->poll_last_end = w->acked_end;
}

static void
on_start (void *ctx, struct lease_worker *w, const struct lease_run *run,
          int64_t deadline_ms)
{
  (void)w;
  (void)run;
  (void)deadline_ms;
  ((struct sink *)ctx)->starts++;
}

static void
on_stop (void *ctx, struct lease_worker *w, const struct lease_run_id *id)
{
  (void)w;
  (void)id;
  ((struct sink *)ctx)->stops++;
}

static void
on_ended (void *ctx, struct lease_worker *w, const struct lease_run_end *end)
{
  struct sink *sink = ctx;
  (void)w;
  sink->took_us = end->took_us;
  sink->ends++;
  sink->end = end->end;
  sink->cause = end->cause;
  sink->blames[end->id.index % 4] = end->blame;
  sink->ended = end->id;
}

static void
on_silent (void *ctx, struct lease_worker *w, enum lease_reply reply,
           int64_t silence_us)
{
  (void)w;
  (void)silence_us;
  ((struct sink *)ctx)->silent_reply = reply;
}

static void
on_taken (void *ctx, struct lease_worker *w)
{
  (void)w;
  ((struct sink *)ctx)->taken++;
}

static void
on_lost (void *ctx, struct lease_worker *w, enum lease_reply lost_reason)
{
  struct sink *sink = ctx;
  (void)w;
  sink->lost++;
  sink->lost_reason = lost_reason;
}

static void
on_changed (void *ctx, struct lease_worker *w)
{
  (void)ctx;
  (void)w;
}

static bool
may_be_taken (void *ctx, const struct lease_worker *w, int64_t since_us)
{
  const struct sink *sink = ctx;
  (void)w;
  return sink->exposed_us > since_us;
}

static bool
is_heard_by (void *ctx, uint64_t owner)
{
  const struct sink *sink = ctx;
  return owner != sink->lost_owner;
}

static int64_t
raise_token (void *ctx, const struct lease_worker *w)
{
  (void)ctx;
  return w->token + 1;
}

static const struct lease_ops ops = {
  .poll = on_poll,
  .start = on_start,
  .stop = on_stop,
  .ended = on_ended,
  .silent = on_silent,
  .taken = on_taken,
  .raise_token = raise_token,
  .lost = on_lost,
  .changed = on_changed,
  .may_be_taken = may_be_taken,
  .is_heard_by = is_heard_by,
};

static const struct lease_worker_info info = {
  .worker = 1,
  .id = "w1",
  .service = 1,
  .capacity = { 32000, 1024, 0 },
  .incarnation_ms = 5,
};

/* The token of the worker's present lease.  */
static inline int64_t
present_token (struct lease_table *table)
{
  const struct lease_worker *w = lease_find_worker (table, 1);
  return w == NULL ? TOKEN : w->token;
}

/* Passes the answer of a poll with the given lists.  */
static inline void
answer_poll (struct lease_table *table, const struct lease_running *running,
             unsigned n_running, const struct lease_end_record *ended,
             unsigned n_ended, int64_t now_us)
{
  struct lease_poll_result result = {
    .reply = LEASE_REPLY_OK,
    .clock_ms = 500000 + now_us / 1000,
    .incarnation_ms = 5,
    .running = running,
    .n_running = n_running,
    .ended = ended,
    .n_ended = n_ended,
  };
  lease_poll_done (table, 1, present_token (table), &result, now_us);
}

static inline void
fail_poll (struct lease_table *table, enum lease_reply reply, int64_t now_us)
{
  struct lease_poll_result result = { .reply = reply };
  lease_poll_done (table, 1, present_token (table), &result, now_us);
}

static inline struct lease_order
make_order (uint64_t job, uint32_t run)
{
  return (struct lease_order){
    .id = { job, 0, run },
    .owner = 9,
    .size = { 14000, 64, 0 },
    .spec = pl_str ("spec"),
    .expect_us = 100 * MS,
    .token = TOKEN,
  };
}

/* Takes the worker and answers the first poll, so that it is held.  */
static inline struct lease_worker *
take_and_answer (struct lease_table *table, int64_t now_us)
{
  struct lease_worker *w = lease_take (table, &info, TOKEN, now_us);
  answer_poll (table, NULL, 0, NULL, 0, now_us);
  return w;
}

/* Takes the worker and sends it one start at 1 ms.  */
static inline struct lease_order
take_and_send_start (struct lease_table *table)
{
  struct lease_worker *w = take_and_answer (table, 0);
  struct lease_order order = make_order (1, 1);
  CU_ASSERT_TRUE (lease_start (table, w, &order, MS));
  return order;
}

/* The same, and the start is answered at 2 ms.  */
static inline struct lease_order
take_and_start (struct lease_table *table)
{
  struct lease_order order = take_and_send_start (table);
  lease_start_done (table, 1, TOKEN, &order.id, LEASE_REPLY_OK, 2 * MS);
  return order;
}
