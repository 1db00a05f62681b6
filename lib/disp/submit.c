/* Submissions, lookups and cancellations of jobs by their keys, and the
   admission of new jobs.  */
#include "disp_in.h"

#include <string.h>

#define STOPPING_RETRY_MS 100 /* retry-after while the instance stops */

static void
reply_code (job_done_fn *done, void *user, struct pl_str key,
            enum pl_code code, const char *detail)
{
  struct job_reply *reply = job_reply_error (key, code, 0, detail, NULL, 0);
  done (reply, user);
  job_reply_unref (reply);
}

static void
reply_record (struct claim_record *record, struct pl_str key,
              job_done_fn *done, void *user)
{
  struct job_reply *reply = claim_record_reply (record, key);
  done (reply, user);
  job_reply_unref (reply);
}

static void
add_waiter (struct disp_job *job, job_done_fn *done, void *user)
{
  struct disp_waiter waiter = { .done = done, .user = user };
  g_array_append_val (job->waiters, waiter);
}

static struct sched_team *
get_team (struct disp *disp, const char *name)
{
  const struct note_team *team
      = disp->conf == NULL ? NULL : note_find_team (disp->conf, name);
  if (team == NULL)
    return sched_set_team (disp->sched, name, 1, 0);
  /* The quota holds for the domain; each instance that shares its workers
     applies an equal part of it.  */
  unsigned sharers = disp->view == NULL ? 1 : MAX (disp->view->n_sharers, 1);
  unsigned quota = (team->max_slots + sharers - 1) / sharers;
  return sched_set_team (disp->sched, name, team->weight, quota);
}

static void
create_tasks (struct disp *disp, struct disp_job *job,
              bool *estimates_reliable)
{
  const struct job_req *req = job->req;
  job->n_tasks = req->n_tasks;
  job->tasks = g_new0 (struct disp_task, req->n_tasks);
  *estimates_reliable = true;
  for (unsigned i = 0; i < req->n_tasks; i++)
    {
      struct disp_task *task = &job->tasks[i];
      bool reliable;
      task->index = i;
      task->queued_us = job->base.arrival_us;
      task->base.declared_us = req->tasks[i].size_ms * 1000;
      task->base.memory_mb = req->tasks[i].memory_mb;
      task->base.size_us
          = sched_sizes_get (disp->sizes, req->service, req->kind, req->team,
                             task->base.declared_us, &reliable);
      *estimates_reliable = *estimates_reliable && reliable;
      job->base.ideal_us = MAX (job->base.ideal_us, task->base.size_us);
      job->base.work_us += task->base.size_us;
    }
}

static bool
never_runnable (const struct disp *disp, const struct job_req *req)
{
  int64_t max_mb = slot_max_memory_mb (disp->slots);
  for (unsigned i = 0; i < req->n_tasks; i++)
    if (max_mb > 0 && req->tasks[i].memory_mb > max_mb)
      return true;
  return false;
}

/* Replies to a job that was not admitted, and frees it.  Its key gets the same
   reply from then on.  */
static void
refuse (struct disp *disp, struct disp_job *job, enum pl_code code,
        int64_t retry_ms, const char *detail)
{
  struct pl_str key = pl_str (job->req->key);
  struct job_reply *reply
      = job_reply_error (key, code, retry_ms, detail, NULL, 0);
  pl_log (PL_EV_REFUSE, "key=%s code=%d detail=\"%s\"", job->req->key, code,
          detail);
  pl_count (PL_CTR_JOBS_NOT_RUN_TOTAL, 1);
  disp_reply_all (disp, job, reply);
  disp_job_free (disp, job);
}

/* The slots that this instance can count on: those that it holds, or an equal
   part of the domain's if that is more, since a larger share takes effect late
   and slots can be borrowed.  */
static unsigned
expected_slots (const struct disp *disp)
{
  unsigned sharers = disp->view == NULL ? 1 : MAX (disp->view->n_sharers, 1);
  return MAX (slot_held_total (disp->slots),
              slot_domain_total (disp->slots) / sharers);
}

/* Whether JOB may be queued; refuses it otherwise.  */
static bool
admit (struct disp *disp, struct disp_job *job, bool estimates_reliable)
{
  if (disp->stopping)
    {
      refuse (disp, job, PL_STOPPING, STOPPING_RETRY_MS, "the instance stops");
      return false;
    }
  if (never_runnable (disp, job->req))
    {
      refuse (disp, job, PL_NEVER_RUNNABLE, 0,
              "a task needs more memory than any worker has");
      return false;
    }
  int64_t retry_ms;
  int64_t wait_us;
  enum pl_code code
      = sched_admit (disp->sched, &job->base, job->n_tasks, job->deadline_us,
                     expected_slots (disp), slot_domain_total (disp->slots),
                     estimates_reliable, &retry_ms, &wait_us);
  if (code == PL_OK)
    return true;
  if (code == PL_OVERLOADED || code == PL_DEADLINE_LOST)
    pl_log (PL_EV_SHED, "key=%s wait_us=%lld retry_after_ms=%lld",
            job->req->key, (long long)wait_us, (long long)retry_ms);
  refuse (disp, job, code, retry_ms, "not admitted");
  return false;
}

static void
enqueue (struct disp *disp, struct disp_job *job)
{
  g_autofree struct sched_task **tasks
      = g_new (struct sched_task *, job->n_tasks);
  for (unsigned i = 0; i < job->n_tasks; i++)
    tasks[i] = &job->tasks[i].base;
  sched_add (disp->sched, &job->base, tasks, job->n_tasks);
  disp->unfinished++;
  if (job->witness == 0)
    {
      job->permitted = true;
      sched_mark_ready (disp->sched, &job->base);
    }
  else
    {
      job->permit_give_up_us
          = disp_now (disp) + disp->opts.conf->permit_give_up_ms * 1000;
      g_hash_table_insert (disp->permits, &job->hash, job);
      disp_request_permit (disp, job);
    }
  disp_arm_timer (disp, job);
}

static struct disp_job *
new_job (struct disp *disp, const struct disp_msg *msg,
         const struct claim_key *key, struct claim_record *record)
{
  struct disp_job *job = g_new0 (struct disp_job, 1);
  job->req = job_req_ref (msg->req);
  job->record = record;
  job->hash = claim_hash_key (pl_str (msg->req->key));
  job->witness = key->witness;
  job->epoch = key->epoch;
  job->number = disp->next_number++;
  job->base.arrival_us = msg->posted_us;
  job->waiters = g_array_new (FALSE, FALSE, sizeof (struct disp_waiter));
  add_waiter (job, msg->done, msg->user);
  return job;
}

static void
start_job (struct disp *disp, struct disp_job *job)
{
  const struct job_req *req = job->req;
  if (req->parse_err.code != PL_OK)
    {
      refuse (disp, job, req->parse_err.code, 0, req->parse_err.text);
      return;
    }
  const struct note_kind *kind
      = disp->conf == NULL
            ? NULL
            : note_find_kind (disp->conf, req->service, req->kind);
  job->repeatable = kind != NULL && kind->repeatable;
  job->kind = g_strconcat (req->service, "/", req->kind, NULL);
  job->base.team = get_team (disp, req->team);
  job->deadline_us = job->base.arrival_us + req->deadline_ms * 1000;
  bool estimates_reliable;
  create_tasks (disp, job, &estimates_reliable);
  job->latest_start_us
      = job->deadline_us - (estimates_reliable ? job->base.ideal_us : 0);
  if (!admit (disp, job, estimates_reliable))
    return;
  pl_count (PL_CTR_JOBS_SUBMITTED_TOTAL, 1);
  pl_log (PL_EV_SUBMIT, "key=%s service=%s kind=%s team=%s tasks=%u", req->key,
          req->service, req->kind, req->team, req->n_tasks);
  claim_record_set_user (job->record, job);
  enqueue (disp, job);
}

static void
join (struct disp_msg *msg, struct claim_record *record)
{
  struct disp_job *job = claim_record_user (record);
  pl_count (PL_CTR_JOBS_JOINED_TOTAL, 1);
  pl_log (PL_EV_JOIN, "key=%s state=%s", msg->req->key,
          job->running > 0 ? "running" : "queued");
  add_waiter (job, msg->done, msg->user);
}

/* Whether this instance is the authority for KEY: the key's owner or the
   owner's heir.  */
static bool
is_authority (const struct disp *disp, const struct claim_key *key)
{
  return key->owner == disp->opts.self
         || claim_inherits (disp->claims, key->owner);
}

/* Whether KEY is new although new keys are not accepted any more (see
   disp_stop_accepting).  The reply is the one that the heir will give.  */
static bool
arrived_too_late (struct disp *disp, const struct claim_key *key,
                  struct pl_str text)
{
  enum claim_key_state found = CLAIM_NEW;
  struct claim_record *record = NULL;
  return disp->closed
         && !claim_lookup (disp->claims, key, text, &found, &record)
         && found == CLAIM_NEW;
}

static void
submit (struct disp *disp, struct disp_msg *msg)
{
  struct pl_str text = pl_str (msg->req->key);
  struct claim_key key;
  struct pl_err err;
  if (!claim_key_parse (text, &key, &err))
    {
      reply_code (msg->done, msg->user, text, err.code, err.text);
      return;
    }
  if (!is_authority (disp, &key))
    {
      reply_code (msg->done, msg->user, text, PL_UNKNOWN_OWNER, NULL);
      return;
    }
  if (arrived_too_late (disp, &key, text))
    {
      reply_code (msg->done, msg->user, text, PL_HANDED_OVER_UNSEEN,
                  "the instance stops");
      return;
    }
  struct claim_record *record = NULL;
  switch (claim_begin (disp->claims, &key, text, msg->req->hash, &record))
    {
    case CLAIM_NEW:
      start_job (disp, new_job (disp, msg, &key, record));
      return;
    case CLAIM_RUNNING:
      join (msg, record);
      return;
    case CLAIM_DONE:
      pl_count (PL_CTR_JOBS_JOINED_TOTAL, 1);
      pl_log (PL_EV_JOIN, "key=%s state=done", msg->req->key);
      reply_record (record, text, msg->done, msg->user);
      return;
    case CLAIM_REUSED:
      reply_code (msg->done, msg->user, text, PL_KEY_REUSED, NULL);
      return;
    case CLAIM_NOT_ISSUED:
      reply_code (msg->done, msg->user, text, PL_KEY_NOT_ISSUED, NULL);
      return;
    default:
      pl_count (PL_CTR_JOBS_UNKNOWN_TOTAL, 1);
      reply_code (msg->done, msg->user, text, PL_UNKNOWN_FORGOTTEN, NULL);
    }
}

void
disp_submit (struct disp *disp, struct job_req *req, job_done_fn *done,
             void *user)
{
  struct disp_msg *msg = disp_msg_new (disp, submit);
  msg->req = job_req_ref (req);
  msg->done = done;
  msg->user = user;
  disp_post (disp, msg);
}

static const char *
state_name (const struct disp_job *job)
{
  if (!job->permitted)
    return "waiting";
  return disp_may_have_started (job) ? "running" : "queued";
}

static void
reply_state (const struct disp_job *job, job_done_fn *done, void *user)
{
  char *body = g_strdup_printf ("{\"key\":\"%s\",\"state\":\"%s\"}",
                                job->req->key, state_name (job));
  struct job_reply *reply
      = job_reply_wrap (PL_OK, 0, g_bytes_new_take (body, strlen (body)));
  done (reply, user);
  job_reply_unref (reply);
}

/* A cancellation that arrives before its submission is recorded as the reply
   to the key, so that the submission starts nothing when it arrives.  */
static void
cancel_unrecorded (struct disp *disp, const struct claim_key *key,
                   struct disp_msg *msg)
{
  struct pl_str text = pl_str (msg->key);
  struct job_reply *reply = job_reply_error (
      text, PL_CANCELLED, 0, "cancelled before it arrived", NULL, 0);
  pl_log (PL_EV_CANCEL, "key=%s queued=0 running=0", msg->key);
  claim_add_finished (disp->claims, key, text, reply);
  msg->done (reply, msg->user);
  job_reply_unref (reply);
}

/* Finds the unfinished job of MSG's key.  If there is none, replies to the
   caller and returns null.  The flag of MSG is set for a cancellation, not set
   for a lookup.  */
static struct disp_job *
find_job (struct disp *disp, struct disp_msg *msg)
{
  struct pl_str text = pl_str (msg->key);
  struct claim_key key;
  struct pl_err err;
  enum claim_key_state found = CLAIM_NEW;
  struct claim_record *record = NULL;
  enum pl_code code = PL_OK;
  if (!claim_key_parse (text, &key, &err))
    code = err.code;
  else if (!is_authority (disp, &key))
    code = PL_UNKNOWN_OWNER;
  else if (!claim_lookup (disp->claims, &key, text, &found, &record))
    code = found == CLAIM_FORGOTTEN ? PL_UNKNOWN_FORGOTTEN : PL_NOT_RECORDED;
  if (code == PL_NOT_RECORDED && found == CLAIM_NEW && msg->flag)
    {
      cancel_unrecorded (disp, &key, msg);
      return NULL;
    }
  if (code != PL_OK)
    {
      reply_code (msg->done, msg->user, text, code, NULL);
      return NULL;
    }
  if (found == CLAIM_RUNNING)
    return claim_record_user (record);
  reply_record (record, text, msg->done, msg->user);
  return NULL;
}

static void
lookup (struct disp *disp, struct disp_msg *msg)
{
  const struct disp_job *job = find_job (disp, msg);
  if (job != NULL)
    reply_state (job, msg->done, msg->user);
}

static void
cancel (struct disp *disp, struct disp_msg *msg)
{
  struct disp_job *job = find_job (disp, msg);
  if (job == NULL)
    return;
  unsigned queued = job->base.queued == NULL ? 0 : job->base.queued->len;
  pl_log (PL_EV_CANCEL, "key=%s queued=%u running=%u", msg->key, queued,
          job->running);
  add_waiter (job, msg->done, msg->user);
  disp_abort_job (disp, job, PL_CANCELLED, "cancelled by the caller", false);
}

static void
post_key_msg (struct disp *disp, struct pl_str key, job_done_fn *done,
              void *user,
              void (*handler) (struct disp *disp, struct disp_msg *msg),
              bool is_cancellation)
{
  struct disp_msg *msg = disp_msg_new (disp, handler);
  msg->key = g_strndup (key.data, key.len);
  msg->done = done;
  msg->user = user;
  msg->flag = is_cancellation;
  disp_post (disp, msg);
}

void
disp_lookup (struct disp *disp, struct pl_str key, job_done_fn *done,
             void *user)
{
  post_key_msg (disp, key, done, user, lookup, false);
}

void
disp_cancel (struct disp *disp, struct pl_str key, job_done_fn *done,
             void *user)
{
  post_key_msg (disp, key, done, user, cancel, true);
}
