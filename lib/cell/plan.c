/* Messages of the planner and the owner: the ops of lib/planner and lib/owner
   as messages, and the handlers of messages to these roles.  */
#include "cell_priv.h"

void
cell_on_ask (struct cell *cell, uint64_t sender, const Cellpb__Ask *msg)
{
  int64_t now_us = pl_now_us (cell->clock);
  g_autoptr (GArray) placed
      = g_array_new (FALSE, FALSE, sizeof (struct planner_placed));
  for (size_t i = 0; i < msg->n_placed_task; i++)
    {
      struct planner_placed entry
          = { msg->placed_task[i], msg->placed_worker[i] };
      g_array_append_val (placed, entry);
    }
  struct planner_request request = {
    .job = msg->job,
    .owner = sender,
    .service = msg->service,
    .domain = cell->domain,
    .required_label = msg->required_label,
    .preferred_label = msg->preferred_label,
    .per_worker = msg->per_worker,
    .size = cell_decode_amount (msg->size),
    .arrival_us = now_us - msg->age_us,
    .run_us = msg->run_us,
    .objective_us = now_us + msg->objective_us,
    .late_us = now_us + msg->late_us,
    .deadline_us = now_us + msg->deadline_us,
    .priority = msg->priority,
    .started = msg->started,
    .suspect = msg->suspect,
    .n_tasks = msg->width,
    .n_waiting = (unsigned)msg->n_tasks,
    .waiting = msg->tasks,
    .n_placed = placed->len,
    .placed = (const struct planner_placed *)(void *)placed->data,
  };
  const struct peer *peer = cell_find_peer (cell, sender);
  if (peer != NULL)
    request.domain = peer->domain;
  request.lent = sender == cell->id
                 && overflow_find_received (cell->received, msg->job) != NULL;
  cell_forget_deferred (cell, msg->job, sender);
  planner_put_request (cell->planner, &request);
  cell->plan_due = true;
}

static int32_t
decode_part (uint32_t part)
{
  return (int32_t)MIN (part, PLANNER_MAX_AMOUNT);
}

/* Decodes what MSG tells of the runs; false if it tells nothing.  */
static bool
decode_runs (const Cellpb__Room *msg, int64_t now_us,
             struct planner_run runs[PLANNER_MAX_RUNS])
{
  size_t n = msg->n_runs;
  if (n > PLANNER_MAX_RUNS || msg->n_run_age_us != n
      || msg->n_run_expect_us != n || msg->n_run_cpu != n
      || msg->n_run_mem != n || (msg->n_run_gpu != n && msg->n_run_gpu != 0))
    return false;
  for (size_t i = 0; i < n; i++)
    runs[i] = (struct planner_run){
      .started_us = now_us - msg->run_age_us[i],
      .expect_us = msg->run_expect_us[i],
      .size = { decode_part (msg->run_cpu[i]), decode_part (msg->run_mem[i]),
                msg->n_run_gpu == 0 ? 0 : decode_part (msg->run_gpu[i]) },
    };
  return true;
}

void
cell_on_room (struct cell *cell, uint64_t sender, const Cellpb__Room *msg)
{
  if (msg->gone)
    {
      planner_remove_worker (cell->planner, msg->worker, sender);
      return;
    }
  struct planner_worker_report report = {
    .worker = msg->worker,
    .holder = sender,
    .token = msg->token,
    .service = msg->service,
    .domain = msg->domain,
    .capacity = cell_decode_amount (msg->capacity),
    .used = cell_decode_amount (msg->used),
    .usable = msg->usable,
    .slowness = msg->slowness,
    .n_runs = (unsigned)MIN (msg->n_runs, PLANNER_MAX_RUNS),
  };
  for (size_t i = 0; i < msg->n_labels && i < PLANNER_MAX_LABELS; i++)
    report.labels[i] = msg->labels[i];
  for (unsigned i = 0; i < report.n_runs; i++)
    report.runs[i] = msg->runs[i];
  struct planner_run runs[PLANNER_MAX_RUNS];
  int64_t now_us = pl_now_us (cell->clock);
  if (cell->domain_only && decode_runs (msg, now_us, runs))
    report.details = runs;
  planner_set_lookahead (cell->planner, cell->domain_only,
                         pl_now_us (cell->clock));
  planner_update_worker (cell->planner, &report, now_us);
  cell->plan_due = true;
}

static void
send_grant (void *ctx, const struct planner_request *request, uint32_t index,
            const struct planner_placement *placement)
{
  struct cell *cell = ctx;
  const struct planner_worker_report *report = placement->report;
  Cellpb__Grant msg = CELLPB__GRANT__INIT;
  pl_count (PL_CTR_GRANTS_TOTAL, 1);
  pl_log (PL_EV_PLACE,
          "task=%016" PRIx64 ".%u worker=%016" PRIx64 " wait_us=%" PRId64
          " used=%d capacity=%d report_age_us=%" PRId64,
          request->job, index, report->worker, placement->waited_us,
          placement->used.cpu, report->capacity.cpu, placement->report_age_us);
  msg.job = request->job;
  msg.index = index;
  msg.worker = report->worker;
  msg.holder = report->holder;
  msg.token = report->token;
  Cellpb__Envelope env = CELL_ENVELOPE (grant, GRANT, &msg);
  cell_send (cell, request->owner, &env);
}

void
cell_send_refusal (struct cell *cell, const struct planner_request *request,
                   int retry_after_ms, const struct overflow_credit *credit)
{
  Cellpb__Refuse msg = CELLPB__REFUSE__INIT;
  msg.job = request->job;
  msg.retry_after_ms = retry_after_ms;
  msg.started = request->started;
  if (credit != NULL)
    {
      msg.credit = credit->number;
      msg.lender = credit->lender;
      msg.lender_ip = credit->addr.ip;
      msg.lender_port = credit->addr.port;
    }
  Cellpb__Envelope env = CELL_ENVELOPE (refuse, REFUSE, &msg);
  cell_send (cell, request->owner, &env);
}

static void
send_refuse (void *ctx, const struct planner_request *request,
             const struct planner_refusal *refusal)
{
  struct cell *cell = ctx;
  pl_log (PL_EV_SHED,
          "key=%016" PRIx64 " reason=%s waiting=%u usable_cpu=%" PRId64
          " ahead_us=%" PRId64 " slack_us=%" PRId64 " retry_after_ms=%d",
          request->job, planner_refusal_reason_name (refusal->reason),
          refusal->waiting, refusal->usable_cpu, refusal->ahead_us,
          refusal->slack_us, refusal->retry_after_ms);
  if (refusal->reason == PLANNER_HOPELESS)
    {
      cell_send_refusal (cell, request, refusal->retry_after_ms, NULL);
      return;
    }
  const struct overflow_credit *credit = cell_borrow (cell, request);
  if (credit == NULL
      && cell_defer_refusal (cell, request, refusal->retry_after_ms))
    return;
  cell_send_refusal (cell, request, refusal->retry_after_ms, credit);
}

static bool
pass_on (void *ctx, const struct planner_request *request, bool again)
{
  const struct overflow_credit *credit
      = again ? cell_borrow_again (ctx, request) : cell_borrow (ctx, request);
  if (credit != NULL)
    cell_send_refusal (ctx, request, planner_retry_after_ms (request->job),
                       credit);
  return credit != NULL;
}

const struct planner_ops cell_planner_ops = {
  .grant = send_grant,
  .refuse = send_refuse,
  .pass_on = pass_on,
};

static void
send_ask (void *ctx, const struct planner_request *request)
{
  struct cell *cell = ctx;
  int64_t now_us = pl_now_us (cell->clock);
  Cellpb__Amount size = cell_encode_amount (request->size);
  g_autoptr (GArray) tasks = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  g_autoptr (GArray) workers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (unsigned i = 0; i < request->n_placed; i++)
    {
      g_array_append_val (tasks, request->placed[i].index);
      g_array_append_val (workers, request->placed[i].worker);
    }
  Cellpb__Ask msg = CELLPB__ASK__INIT;
  msg.job = request->job;
  msg.service = request->service;
  msg.required_label = request->required_label;
  msg.preferred_label = request->preferred_label;
  msg.per_worker = request->per_worker;
  msg.size = &size;
  msg.run_us = request->run_us;
  msg.objective_us = request->objective_us - now_us;
  msg.late_us = request->late_us - now_us;
  msg.deadline_us = request->deadline_us - now_us;
  msg.priority = request->priority;
  msg.started = request->started;
  msg.suspect = request->suspect;
  msg.width = request->n_tasks;
  msg.tasks = (uint32_t *)request->waiting;
  msg.n_tasks = request->n_waiting;
  msg.age_us = now_us - request->arrival_us;
  msg.placed_task = (uint32_t *)(void *)tasks->data;
  msg.n_placed_task = tasks->len;
  msg.placed_worker = (uint64_t *)(void *)workers->data;
  msg.n_placed_worker = workers->len;
  Cellpb__Envelope env = CELL_ENVELOPE (ask, ASK, &msg);
  cell_send_to_planner (cell, &env);
}

static void
send_drop (void *ctx, uint64_t job)
{
  struct cell *cell = ctx;
  Cellpb__Drop msg = CELLPB__DROP__INIT;
  msg.job = job;
  Cellpb__Envelope env = CELL_ENVELOPE (drop, DROP, &msg);
  cell_send_to_planner (cell, &env);
}

static void
send_release (void *ctx, uint64_t worker, int64_t token, uint64_t tag)
{
  struct cell *cell = ctx;
  Cellpb__Release msg = CELLPB__RELEASE__INIT;
  msg.worker = worker;
  msg.tag = tag;
  msg.token = token;
  Cellpb__Envelope env = CELL_ENVELOPE (release, RELEASE, &msg);
  cell_send_to_planner (cell, &env);
}

static void
send_start_message (struct cell *cell, uint64_t holder, uint64_t worker,
                    const struct lease_order *order, bool claim)
{
  Cellpb__RunId id = cell_encode_run_id (&order->id);
  Cellpb__Amount size = cell_encode_amount (order->size);
  Cellpb__Start msg = CELLPB__START__INIT;
  msg.worker = worker;
  msg.id = &id;
  msg.size = &size;
  msg.expect_us = order->expect_us;
  msg.claim = claim;
  msg.token = order->token;
  if (!claim)
    msg.spec = (ProtobufCBinaryData){ order->spec.len,
                                      (uint8_t *)order->spec.data };
  Cellpb__Envelope env = CELL_ENVELOPE (start, START, &msg);
  cell_send (cell, holder, &env);
}

static void
send_start (void *ctx, uint64_t holder, uint64_t worker,
            const struct lease_order *order)
{
  send_start_message (ctx, holder, worker, order, false);
}

static void
send_claim (void *ctx, uint64_t holder, uint64_t worker,
            const struct lease_order *order)
{
  send_start_message (ctx, holder, worker, order, true);
}

static void
send_stop (void *ctx, uint64_t holder, uint64_t worker, int64_t token,
           const struct lease_run_id *id)
{
  struct cell *cell = ctx;
  Cellpb__RunId run = cell_encode_run_id (id);
  Cellpb__Stop msg = CELLPB__STOP__INIT;
  msg.worker = worker;
  msg.id = &run;
  msg.token = token;
  Cellpb__Envelope env = CELL_ENVELOPE (stop, STOP, &msg);
  cell_send (cell, holder, &env);
}

static void
pass_answer (void *ctx, struct owner_job *job,
             const struct owner_answer *answer)
{
  struct cell *cell = ctx;
  cell_end_overflow (cell, job, answer);
  cell->ops->answer (cell->ctx, job, answer);
}

static void
on_abandoned (void *ctx, struct owner_job *job)
{
  struct owner_answer answer = { .code = PL_CANCELLED_RAN };
  cell_end_overflow (ctx, job, &answer);
}

const struct owner_ops cell_owner_ops = {
  .ask = send_ask,
  .drop = send_drop,
  .release = send_release,
  .start = send_start,
  .claim = send_claim,
  .stop = send_stop,
  .answer = pass_answer,
  .abandon = on_abandoned,
};

void
cell_on_ended (struct cell *cell, uint64_t sender, const Cellpb__Ended *msg)
{
  struct owner_run_end end = {
    .worker = msg->worker,
    .holder = sender,
    .id = cell_decode_run_id (msg->id),
    .end = (enum lease_end)msg->end,
    .blame = (enum lease_blame)msg->blame,
    .took_us = msg->took_us,
    .token = msg->token,
  };
  owner_on_run_end (cell->jobs, &end);
}

static Cellpb__Crash
encode_crash (const struct owner_crash *crash)
{
  Cellpb__Crash msg = CELLPB__CRASH__INIT;
  msg.task = crash->task;
  msg.count = crash->count;
  msg.worker = crash->worker;
  msg.run = crash->run;
  msg.age_us = crash->age_us;
  return msg;
}

void
cell_send_crashes (struct cell *cell, struct peer *peer)
{
  g_autoptr (GArray) list = owner_list_crashes (cell->jobs);
  if (list->len == 0)
    return;
  g_autoptr (GArray) crashes
      = g_array_new (FALSE, FALSE, sizeof (Cellpb__Crash));
  g_autoptr (GPtrArray) pointers = g_ptr_array_new ();
  for (guint i = 0; i < list->len; i++)
    {
      Cellpb__Crash crash
          = encode_crash (&g_array_index (list, struct owner_crash, i));
      g_array_append_val (crashes, crash);
    }
  for (guint i = 0; i < crashes->len; i++)
    g_ptr_array_add (pointers, &g_array_index (crashes, Cellpb__Crash, i));
  Cellpb__Crashes msg = CELLPB__CRASHES__INIT;
  msg.crashes = (Cellpb__Crash **)pointers->pdata;
  msg.n_crashes = pointers->len;
  Cellpb__Envelope env = CELL_ENVELOPE (crashes, CRASHES, &msg);
  cell_send_to_peer (cell, peer, &env);
}

void
cell_on_crashes (struct cell *cell, const Cellpb__Crashes *msg)
{
  for (size_t i = 0; i < msg->n_crashes; i++)
    {
      const Cellpb__Crash *crash = msg->crashes[i];
      struct owner_crash known = {
        .task = crash->task,
        .count = crash->count,
        .worker = crash->worker,
        .run = crash->run,
        .age_us = crash->age_us,
      };
      owner_add_crash (cell->jobs, &known);
    }
}
