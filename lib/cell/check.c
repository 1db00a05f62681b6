/* Checks of messages before they are handled.  A message of another build, or
   of a process that is no instance, must neither stop this one nor make it
   compute with values out of range.  */
#include "cell_priv.h"

/* Longest time in a message: more than a caller's longest deadline, 2^31 ms,
   and than the objective of a task that is declared to run for a day.  */
#define MAX_TIME_US ((int64_t)1000 * 24 * 3600 * 1000000)
/* With it, a run time of MAX_TIME_US times the slowness does not overflow.  */
#define MAX_SLOWNESS 100000 /* percent */
/* No caller allows more than this many times the run time.  */
#define MAX_STRETCH 1000000
/* Bound of clocks and fencing tokens: sums of a few of them don't overflow. */
#define MAX_MAGNITUDE ((int64_t)1 << 60)

static bool
is_time (int64_t us)
{
  return us >= -MAX_TIME_US && us <= MAX_TIME_US;
}

static bool
is_duration (int64_t us)
{
  return us >= 0 && us <= MAX_TIME_US;
}

static bool
is_token (int64_t token)
{
  return token >= 0 && token <= MAX_MAGNITUDE;
}

/* Null stands for nothing.  Sums of a few amounts don't overflow.  */
static bool
is_amount (const Cellpb__Amount *amount)
{
  return amount == NULL
         || (amount->cpu >= 0 && amount->cpu <= PLANNER_MAX_AMOUNT
             && amount->mem >= 0 && amount->mem <= PLANNER_MAX_AMOUNT
             && amount->gpu >= 0 && amount->gpu <= PLANNER_MAX_AMOUNT);
}

static bool
are_tasks (const uint32_t *tasks, size_t n, uint32_t width)
{
  for (size_t i = 0; i < n; i++)
    if (tasks[i] >= width)
      return false;
  return n <= width;
}

static bool
is_ask (const Cellpb__Ask *ask)
{
  return ask->width <= OWNER_MAX_TASKS
         && are_tasks (ask->tasks, ask->n_tasks, ask->width)
         && are_tasks (ask->placed_task, ask->n_placed_task, ask->width)
         && ask->n_placed_task == ask->n_placed_worker && is_amount (ask->size)
         && is_duration (ask->run_us) && is_duration (ask->age_us)
         && is_time (ask->objective_us) && is_time (ask->late_us)
         && is_time (ask->deadline_us);
}

static bool
is_ended (const Cellpb__Ended *ended)
{
  return ended->id != NULL && ended->end >= LEASE_END_DONE
         && ended->end <= LEASE_END_UNKNOWN
         && ended->blame <= LEASE_BLAME_LIKELY && is_duration (ended->took_us)
         && is_token (ended->token);
}

static bool
is_start (const Cellpb__Start *start)
{
  return start->id != NULL && is_amount (start->size)
         && is_duration (start->expect_us) && is_token (start->token);
}

static bool
are_evacuations (const Cellpb__Heartbeat *msg)
{
  for (size_t i = 0; i < msg->n_evacuations; i++)
    if (msg->evacuations[i]->revision <= 0
        || !is_token (msg->evacuations[i]->revision)
        || msg->evacuations[i]->domain == 0)
      return false;
  return msg->n_evacuations <= EVAC_MAX_DOMAINS;
}

static bool
is_heartbeat (const Cellpb__Heartbeat *msg)
{
  for (size_t i = 0; i < msg->n_held; i++)
    if (!is_token (msg->held[i]->token))
      return false;
  return msg->port != 0 && msg->port <= UINT16_MAX && is_token (msg->echo_us)
         && are_evacuations (msg);
}

static bool
are_crashes (const Cellpb__Crashes *msg)
{
  for (size_t i = 0; i < msg->n_crashes; i++)
    if (!is_duration (msg->crashes[i]->age_us))
      return false;
  return true;
}

static bool
are_cancels (const Cellpb__Cancels *msg)
{
  if (msg->n_jobs != msg->n_age_us)
    return false;
  for (size_t i = 0; i < msg->n_age_us; i++)
    if (!is_duration (msg->age_us[i]))
      return false;
  return true;
}

static bool
is_cold_time (int64_t ms)
{
  return ms >= 0 && ms <= MAX_TIME_US / 1000;
}

static bool
is_port (uint32_t port)
{
  return port != 0 && port <= UINT16_MAX;
}

static bool
is_worker (const Cellpb__Worker *worker)
{
  return worker->id[0] != '\0' && is_port (worker->port)
         && worker->capacity != NULL && is_amount (worker->capacity)
         && worker->capacity->cpu > 0 && is_token (worker->revision)
         && is_token (worker->incarnation_ms)
         && is_cold_time (worker->warmup_left_ms);
}

static bool
is_worker_state (const Cellpb__WorkerState *state)
{
  const Cellpb__Worker *entry = state->entry;
  return is_token (state->revision) && is_token (state->incarnation_ms)
         && state->capacity != NULL && is_amount (state->capacity)
         && state->capacity->cpu > 0
         && (entry == NULL
             || (is_worker (entry)
                 && cell_name_hash (pl_str (entry->id)) == state->worker));
}

static bool
is_registry (const Cellpb__Registry *registry)
{
  for (size_t i = 0; i < registry->n_changed; i++)
    if (!is_worker (registry->changed[i]))
      return false;
  return is_token (registry->revision);
}

/* Of the tasks of some jobs, thousandths of a core.  */
static bool
is_cpu_sum (int64_t cpu)
{
  return cpu >= 0 && cpu <= MAX_MAGNITUDE;
}

static bool
is_credit (const Cellpb__Credit *credit)
{
  return is_cpu_sum (credit->cpu) && is_token (credit->asked_us)
         && is_duration (credit->valid_us) && is_port (credit->port);
}

/* The objective of a job: STRETCH times a run time, plus TARGET_US.  */
static bool
is_objective (double stretch, int64_t target_us)
{
  return stretch >= 0 && stretch <= MAX_STRETCH && is_time (target_us);
}

static bool
is_forward (const Cellpb__Forward *msg)
{
  return msg->number != 0 && msg->n_tasks > 0
         && msg->n_tasks <= OWNER_MAX_TASKS && is_amount (msg->size)
         && is_duration (msg->declared_us) && is_duration (msg->left_us)
         && is_objective (msg->stretch, msg->target_us) && is_port (msg->port);
}

/* What a job can end with, by its owner.  */
static bool
is_result (const Cellpb__Result *result)
{
  switch (result->code)
    {
    case PL_OK:
    case PL_DEADLINE_LOST:
    case PL_CANCELLED:
    case PL_STOPPING:
    case PL_FAILED_RAN:
    case PL_CANCELLED_RAN:
    case PL_DEADLINE_RAN:
    case PL_UNKNOWN_LOST:
      return result->retry_after_ms >= 0;
    default:
      return false;
    }
}

bool
cell_is_valid (const Cellpb__Envelope *env)
{
  if (env->sender == 0 || env->sent_us < -MAX_MAGNITUDE
      || env->sent_us > MAX_MAGNITUDE)
    return false;
  switch (env->body_case)
    {
    case CELLPB__ENVELOPE__BODY_HEARTBEAT:
      return is_heartbeat (env->heartbeat);
    case CELLPB__ENVELOPE__BODY_ASK:
      return is_ask (env->ask);
    case CELLPB__ENVELOPE__BODY_GRANT:
      return is_token (env->grant->token);
    case CELLPB__ENVELOPE__BODY_REFUSE:
      return env->refuse->retry_after_ms >= 0
             && (env->refuse->credit == 0
                 || is_port (env->refuse->lender_port));
    case CELLPB__ENVELOPE__BODY_CREDIT_REQUEST:
      return is_cpu_sum (env->credit_request->cpu)
             && is_token (env->credit_request->asked_us)
             && is_port (env->credit_request->port);
    case CELLPB__ENVELOPE__BODY_CREDIT:
      return is_credit (env->credit);
    case CELLPB__ENVELOPE__BODY_FORWARD:
      return is_forward (env->forward);
    case CELLPB__ENVELOPE__BODY_RENEW:
      return is_port (env->renew->port);
    case CELLPB__ENVELOPE__BODY_RENEWED:
      return is_token (env->renewed->sent_us);
    case CELLPB__ENVELOPE__BODY_RESULT:
      return is_result (env->result);
    case CELLPB__ENVELOPE__BODY_START:
      return is_start (env->start);
    case CELLPB__ENVELOPE__BODY_STOP:
      return env->stop->id != NULL && is_token (env->stop->token);
    case CELLPB__ENVELOPE__BODY_RELEASE:
      return is_token (env->release->token);
    case CELLPB__ENVELOPE__BODY_ENDED:
      return is_ended (env->ended);
    case CELLPB__ENVELOPE__BODY_ROOM:
      return is_amount (env->room->capacity) && is_amount (env->room->used)
             && is_token (env->room->token)
             && env->room->slowness <= MAX_SLOWNESS;
    case CELLPB__ENVELOPE__BODY_WORKER_STATE:
      return is_worker_state (env->worker_state);
    case CELLPB__ENVELOPE__BODY_REGISTRY:
      return is_registry (env->registry);
    case CELLPB__ENVELOPE__BODY_CRASHES:
      return are_crashes (env->crashes);
    case CELLPB__ENVELOPE__BODY_FIND:
      return env->find->asker != 0 && env->find->asker_port <= UINT16_MAX;
    case CELLPB__ENVELOPE__BODY_CANCELS:
      return are_cancels (env->cancels);
    case CELLPB__ENVELOPE__BODY_TAKEN:
      return is_token (env->taken->token);
    case CELLPB__ENVELOPE__BODY_YIELD:
      return is_token (env->yield->token);
    default:
      return true;
    }
}
