/* Overflow between failure domains (lib/overflow): its messages, and what they
   do to the planner and the owner of this instance.  Runs in the mode
   domain_only; in the other one a single planner serves all domains.  */
#include "cell_priv.h"

/* Bytes of a Forward without the task's specification and the names.  */
#define FORWARD_BYTES 160

static void
send_to (struct cell *cell, struct pl_addr addr, Cellpb__Envelope *env)
{
  /* As they will be when it is sent: they are part of its length.  */
  env->sender = cell->id;
  env->sent_us = pl_now_us (cell->clock);
  pl_count (PL_CTR_OVERFLOW_BYTES_TOTAL,
            (int64_t)cellpb__envelope__get_packed_size (env));
  cell_send_remote (cell, addr, env);
}

/* Asking for room and lending it.  */

static void
send_request (struct cell *cell, uint64_t domain,
              const struct overflow_request *request)
{
  struct pl_addr addr;
  if (!overflow_find_planner (cell->borrower, domain, pl_now_us (cell->clock),
                              &addr)
      && !cell_pick_instance (cell, domain, &addr))
    return;
  Cellpb__CreditRequest msg = CELLPB__CREDIT_REQUEST__INIT;
  msg.service = request->service;
  msg.cpu = request->cpu;
  msg.ip = cell->addr.ip;
  msg.port = cell->addr.port;
  msg.asked_us = pl_now_us (cell->clock);
  Cellpb__Envelope env = CELL_ENVELOPE (credit_request, CREDIT_REQUEST, &msg);
  pl_count (PL_CTR_OVERFLOW_CREDIT_REQUESTS_TOTAL, 1);
  send_to (cell, addr, &env);
}

static void
ask_for_room (struct cell *cell)
{
  uint64_t domains[CELL_MAX_OVERFLOW_DOMAINS];
  struct overflow_request request;
  unsigned n = cell_list_overflow_domains (cell, domains);
  while (overflow_next_request (cell->borrower, domains, n,
                                pl_now_us (cell->clock), &request))
    for (unsigned i = 0; i < request.n_domains; i++)
      send_request (cell, request.domains[i], &request);
}

bool
cell_may_overflow (const struct cell *cell,
                   const struct planner_request *request)
{
  uint64_t domains[CELL_MAX_OVERFLOW_DOMAINS];
  return cell->domain_only && !request->started && !request->suspect
         && !request->lent && request->required_label == 0
         && cell_list_overflow_domains (cell, domains) > 0;
}

static int64_t
cpu_of_request (const struct planner_request *request)
{
  return (int64_t)request->n_tasks * request->size.cpu;
}

const struct overflow_credit *
cell_borrow_again (struct cell *cell, const struct planner_request *request)
{
  return overflow_borrow_again (cell->borrower, request->service,
                                cpu_of_request (request),
                                pl_now_us (cell->clock));
}

const struct overflow_credit *
cell_borrow (struct cell *cell, const struct planner_request *request)
{
  if (!cell_may_overflow (cell, request))
    return NULL;
  const struct overflow_credit *credit
      = overflow_borrow (cell->borrower, request->service,
                         cpu_of_request (request), pl_now_us (cell->clock));
  ask_for_room (cell);
  return credit;
}

static bool
may_lend (const struct cell *cell)
{
  return cell->domain_only && cell->ready && !cell->draining
         && cell->planner_id == cell->id
         && !cell_is_evacuated (cell, cell->domain);
}

static int64_t
lend (struct cell *cell, const Cellpb__CreditRequest *msg, uint64_t *number)
{
  int64_t now_us = pl_now_us (cell->clock);
  *number = 0;
  if (!may_lend (cell))
    return 0;
  struct planner_room room
      = planner_measure_room (cell->planner, msg->service, now_us);
  struct overflow_room spare
      = { room.capacity, room.free, room.waiting, room.crowded };
  return overflow_lend (cell->lender, msg->service, msg->cpu, &spare, now_us,
                        number);
}

static void
pass_request_on (struct cell *cell, const Cellpb__CreditRequest *msg)
{
  Cellpb__CreditRequest passed = *msg;
  passed.passed_on = true;
  Cellpb__Envelope env
      = CELL_ENVELOPE (credit_request, CREDIT_REQUEST, &passed);
  cell_send_to_planner (cell, &env);
}

void
cell_on_credit_request (struct cell *cell, const Cellpb__CreditRequest *msg)
{
  struct pl_addr borrower = { msg->ip, (uint16_t)msg->port };
  if (!cell_is_instance_registered (cell, borrower))
    return;
  if (cell->planner_id != cell->id)
    {
      if (!msg->passed_on)
        pass_request_on (cell, msg);
      return;
    }
  Cellpb__Credit credit = CELLPB__CREDIT__INIT;
  credit.cpu = lend (cell, msg, &credit.number);
  credit.service = msg->service;
  credit.domain = cell->domain;
  credit.asked_us = msg->asked_us;
  credit.valid_us = OVERFLOW_CREDIT_US;
  credit.ip = cell->addr.ip;
  credit.port = cell->addr.port;
  pl_count (PL_CTR_OVERFLOW_CREDITS_TOTAL, credit.cpu > 0);
  Cellpb__Envelope env = CELL_ENVELOPE (credit, CREDIT, &credit);
  send_to (cell, borrower, &env);
}

void
cell_on_credit (struct cell *cell, uint64_t sender, const Cellpb__Credit *msg)
{
  if (cell->planner_id != cell->id || msg->domain == cell->domain)
    return;
  struct overflow_credit credit = {
    .number = msg->number,
    .service = msg->service,
    .domain = msg->domain,
    .lender = sender,
    .addr = { msg->ip, (uint16_t)msg->port },
    .cpu = msg->cpu,
  };
  if (msg->cpu > 0)
    pl_log (PL_EV_OVERFLOW_CREDIT,
            "service=%016" PRIx64 " domain=%016" PRIx64 " cpu=%" PRId64
            " valid_ms=%" PRId64,
            msg->service, msg->domain, msg->cpu, msg->valid_us / 1000);
  overflow_add_credit (cell->borrower, &credit, msg->asked_us, msg->valid_us,
                       pl_now_us (cell->clock));
  cell_retry_deferred (cell);
}

/* Origin.  */

static void
send_forward (struct cell *cell, const struct owner_job *job,
              const Cellpb__Refuse *refusal, struct pl_addr lender)
{
  int64_t now_us = pl_now_us (cell->clock);
  Cellpb__Amount size = cell_encode_amount (job->size);
  Cellpb__Forward msg = CELLPB__FORWARD__INIT;
  msg.number = overflow_add_sent (cell->sent, job->id, refusal->lender, lender,
                                  now_us);
  msg.credit = refusal->credit;
  msg.to = refusal->lender;
  msg.ip = cell->addr.ip;
  msg.port = cell->addr.port;
  msg.job = job->id;
  msg.route = job->route;
  msg.service = job->service;
  msg.service_key = job->service_key;
  msg.preferred_label = job->preferred_label;
  msg.per_worker = job->per_worker;
  msg.spec = (ProtobufCBinaryData){ job->spec_len, (uint8_t *)job->spec };
  msg.n_tasks = job->n_tasks;
  msg.size = &size;
  msg.declared_us = job->declared_us;
  msg.stretch = job->stretch;
  msg.target_us = job->target_us - (now_us - job->arrival_us);
  msg.left_us = job->deadline_us - now_us;
  msg.priority = job->priority;
  msg.max_attempts = job->max_attempts;
  Cellpb__Envelope env = CELL_ENVELOPE (forward, FORWARD, &msg);
  send_to (cell, lender, &env);
  pl_count (PL_CTR_OVERFLOW_FORWARDED_TOTAL, 1);
  pl_log (PL_EV_OVERFLOW_OUT,
          "key=%016" PRIx64 " number=%016" PRIx64 " lender=%016" PRIx64
          " cpu=%" PRId64 " left_us=%" PRId64,
          job->id, msg.number, msg.to, (int64_t)job->n_tasks * job->size.cpu,
          msg.left_us);
}

/* Whether the refused job may go to the lender that the refusal names.  */
static bool
may_forward (struct cell *cell, const struct owner_job *job,
             const Cellpb__Refuse *refusal)
{
  int64_t now_us = pl_now_us (cell->clock);
  if (refusal->credit == 0 || !cell->domain_only || job == NULL
      || !owner_may_forward (cell->jobs, job) || job->deadline_us <= now_us
      || overflow_find_received (cell->received, job->id) != NULL)
    return false;
  return overflow_take_bytes (cell->sent,
                              FORWARD_BYTES + (int64_t)job->spec_len, now_us);
}

void
cell_on_refuse (struct cell *cell, const Cellpb__Refuse *msg)
{
  struct owner_job *job = owner_find_job (cell->jobs, msg->job);
  if (job != NULL && msg->started)
    owner_set_started (job);
  if (!may_forward (cell, job, msg))
    {
      owner_on_refusal (cell->jobs, msg->job, msg->retry_after_ms);
      return;
    }
  owner_set_forwarded (job);
  send_forward (
      cell, job, msg,
      (struct pl_addr){ msg->lender_ip, (uint16_t)msg->lender_port });
}

static void
send_renew (void *ctx, const struct overflow_renewal *renewal)
{
  struct cell *cell = ctx;
  Cellpb__Renew msg = CELLPB__RENEW__INIT;
  msg.to = renewal->lender;
  msg.ip = cell->addr.ip;
  msg.port = cell->addr.port;
  if (renewal->numbers != NULL)
    {
      msg.numbers = (uint64_t *)(void *)renewal->numbers->data;
      msg.n_numbers = renewal->numbers->len;
    }
  if (renewal->withdrawn != NULL)
    {
      msg.withdrawn = (uint64_t *)(void *)renewal->withdrawn->data;
      msg.n_withdrawn = renewal->withdrawn->len;
    }
  Cellpb__Envelope env = CELL_ENVELOPE (renew, RENEW, &msg);
  send_to (cell, renewal->addr, &env);
}

static void
on_lost (void *ctx, const struct overflow_sent *sent)
{
  struct cell *cell = ctx;
  struct owner_job *job = owner_find_job (cell->jobs, sent->job);
  pl_count (PL_CTR_OVERFLOW_LOST_TOTAL, 1);
  pl_log (PL_EV_OVERFLOW_LOST,
          "key=%016" PRIx64 " number=%016" PRIx64 " silence_ms=%" PRId64,
          sent->job, sent->number,
          (pl_now_us (cell->clock) - sent->listed_us) / 1000);
  if (job != NULL)
    owner_abort_job (cell->jobs, job, PL_UNKNOWN_LOST, true);
}

const struct overflow_sent_ops cell_sent_ops = {
  .renew = send_renew,
  .lost = on_lost,
};

void
cell_on_renewed (struct cell *cell, uint64_t sender,
                 const Cellpb__Renewed *msg)
{
  overflow_on_renewed (cell->sent, sender, msg->sent_us);
}

void
cell_on_result (struct cell *cell, uint64_t sender, const Cellpb__Result *msg)
{
  const struct overflow_sent *sent
      = overflow_find_sent (cell->sent, msg->number, sender);
  if (sent == NULL)
    return;
  struct owner_job *job = owner_find_job (cell->jobs, sent->job);
  struct owner_answer answer
      = { (enum pl_code)msg->code, msg->retry_after_ms };
  /* A lender that has not run the job need not say when to come back.  */
  if (answer.retry_after_ms == 0)
    answer.retry_after_ms = planner_retry_after_ms (sent->job);
  overflow_end_sent (cell->sent, sent->job, false);
  if (job == NULL)
    return;
  if (pl_code_info (answer.code)->outcome == PL_OUTCOME_NOT_RUN)
    pl_count (PL_CTR_OVERFLOW_RETURNED_TOTAL, 1);
  owner_on_forwarded_end (cell->jobs, job, &answer);
}

/* Lender.  */

static void
send_result (struct cell *cell, struct pl_addr origin,
             const struct overflow_answer *answer)
{
  Cellpb__Result msg = CELLPB__RESULT__INIT;
  msg.number = answer->number;
  msg.code = answer->code;
  msg.retry_after_ms = answer->retry_after_ms;
  Cellpb__Envelope env = CELL_ENVELOPE (result, RESULT, &msg);
  send_to (cell, origin, &env);
}

static void
answer_origin (struct cell *cell, struct pl_addr origin,
               const struct overflow_answer *answer)
{
  overflow_set_answer (cell->received, answer, pl_now_us (cell->clock));
  send_result (cell, origin, answer);
}

static void
submit (struct cell *cell, const Cellpb__Forward *msg)
{
  struct owner_submission submission = {
    .job = msg->job,
    .route = msg->route,
    .service = msg->service,
    .service_key = msg->service_key,
    .preferred_label = msg->preferred_label,
    .per_worker = msg->per_worker,
    .spec = { (const char *)msg->spec.data, msg->spec.len },
    .n_tasks = msg->n_tasks,
    .size = cell_decode_amount (msg->size),
    .declared_us = msg->declared_us,
    .stretch = msg->stretch,
    .target_us = msg->target_us,
    .deadline_us = pl_now_us (cell->clock) + msg->left_us,
    .priority = msg->priority,
    .max_attempts = msg->max_attempts,
  };
  (void)owner_submit_job (cell->jobs, &submission, NULL);
}

static void
log_received (const Cellpb__Forward *msg, uint64_t origin, const char *result)
{
  pl_log (PL_EV_OVERFLOW_IN,
          "key=%016" PRIx64 " number=%016" PRIx64 " origin=%016" PRIx64
          " result=%s",
          msg->job, msg->number, origin, result);
}

/* Whether the job is admitted; if not, fills ANSWER.  */
static bool
admit (struct cell *cell, const Cellpb__Forward *msg,
       struct overflow_answer *answer)
{
  int64_t cpu = (int64_t)msg->n_tasks * cell_decode_amount (msg->size).cpu;
  *answer = (struct overflow_answer){ .number = msg->number };
  if (owner_find_job (cell->jobs, msg->job) != NULL)
    {
      /* Another attempt at the job may have started it.  */
      answer->code = PL_UNKNOWN_LOST;
      return false;
    }
  answer->code = PL_DEADLINE_LOST;
  return may_lend (cell)
         && overflow_admit (cell->lender, msg->credit, cpu,
                            pl_now_us (cell->clock));
}

void
cell_on_forward (struct cell *cell, uint64_t sender, int64_t sent_us,
                 const Cellpb__Forward *msg)
{
  struct overflow_received received = {
    .number = msg->number,
    .job = msg->job,
    .origin = sender,
    .addr = { msg->ip, (uint16_t)msg->port },
  };
  struct overflow_answer answer;
  if (msg->to != cell->id || !cell_is_instance_registered (cell, received.addr)
      || overflow_find_received_number (cell->received, msg->number) != NULL)
    return;
  if (!admit (cell, msg, &answer))
    {
      pl_count (PL_CTR_OVERFLOW_NOT_ADMITTED_TOTAL, 1);
      log_received (msg, sender, "refused");
      answer_origin (cell, received.addr, &answer);
      return;
    }
  /* The origin has withdrawn a number that is known.  */
  if (!overflow_receive (cell->received, &received, sent_us,
                         pl_now_us (cell->clock)))
    return;
  pl_count (PL_CTR_OVERFLOW_RECEIVED_TOTAL, 1);
  log_received (msg, sender, "admitted");
  submit (cell, msg);
}

/* Ends a received job that its origin does not want, or may have given up. Its
   runs may have started.  */
static void
end_received (struct cell *cell, uint64_t number, uint64_t id)
{
  struct overflow_answer answer
      = { .number = number, .code = PL_UNKNOWN_LOST };
  overflow_set_answer (cell->received, &answer, pl_now_us (cell->clock));
  struct owner_job *job = owner_find_job (cell->jobs, id);
  /* A caller may have submitted it here since.  */
  if (job != NULL && job->user == NULL)
    owner_abort_job (cell->jobs, job, PL_CANCELLED_RAN, false);
}

static void
withdraw (struct cell *cell, uint64_t number)
{
  const struct overflow_received *received
      = overflow_find_received_number (cell->received, number);
  if (received != NULL)
    {
      end_received (cell, number, received->job);
      return;
    }
  /* A Forward that is still under way is not to be taken.  */
  struct overflow_answer answer
      = { .number = number, .code = PL_DEADLINE_LOST };
  overflow_set_answer (cell->received, &answer, pl_now_us (cell->clock));
}

void
cell_on_renew (struct cell *cell, uint64_t sender, int64_t sent_us,
               const Cellpb__Renew *msg)
{
  int64_t now_us = pl_now_us (cell->clock);
  struct pl_addr origin = { msg->ip, (uint16_t)msg->port };
  if (msg->to != cell->id)
    return;
  for (size_t i = 0; i < msg->n_withdrawn; i++)
    withdraw (cell, msg->withdrawn[i]);
  if (msg->n_numbers == 0
      || !overflow_is_fresh (cell->received, sender, sent_us, now_us))
    return;
  cell_expire_received (cell);
  for (size_t i = 0; i < msg->n_numbers; i++)
    {
      const struct overflow_answer *answer
          = overflow_renew_received (cell->received, msg->numbers[i], now_us);
      if (answer != NULL)
        send_result (cell, origin, answer);
    }
  Cellpb__Renewed renewed = CELLPB__RENEWED__INIT;
  renewed.sent_us = sent_us;
  Cellpb__Envelope env = CELL_ENVELOPE (renewed, RENEWED, &renewed);
  send_to (cell, origin, &env);
}

void
cell_expire_received (struct cell *cell)
{
  struct overflow_received *received;
  while ((received
          = overflow_take_expired (cell->received, pl_now_us (cell->clock)))
         != NULL)
    {
      pl_count (PL_CTR_OVERFLOW_EXPIRED_TOTAL, 1);
      pl_log (PL_EV_OVERFLOW_EXPIRED,
              "key=%016" PRIx64 " number=%016" PRIx64 " origin=%016" PRIx64,
              received->job, received->number, received->origin);
      end_received (cell, received->number, received->job);
      g_free (received);
    }
}

/* Both.  */

void
cell_end_overflow (struct cell *cell, const struct owner_job *job,
                   const struct owner_answer *answer)
{
  overflow_end_sent (cell->sent, job->id, true);
  const struct overflow_received *received
      = overflow_find_received (cell->received, job->id);
  if (received == NULL)
    return;
  struct overflow_answer told
      = { received->number, answer->code, answer->retry_after_ms };
  answer_origin (cell, received->addr, &told);
}

void
cell_tick_overflow (struct cell *cell)
{
  cell_expire_received (cell);
  overflow_tick_sent (cell->sent, pl_now_us (cell->clock));
  if (cell->planner_id != cell->id)
    overflow_drop_credits (cell->borrower);
  else if (cell->domain_only)
    ask_for_room (cell);
  cell_retry_deferred (cell);
}
