#include "disp_in.h"

#include <string.h>

#define REFUSED_RETRY_MS 100 /* when nothing better is known */

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
find_team (struct disp *disp, const char *name)
{
  const struct note_team *team
      = disp->conf == NULL ? NULL : note_find_team (disp->conf, name);
  if (team == NULL)
    return sched_team (disp->sched, name, 1, 0);
  /* The quota holds for the domain; each sharing instance takes its part.  */
  unsigned sharers = disp->view == NULL ? 1 : MAX (disp->view->n_sharers, 1);
  unsigned quota = (team->max_slots + sharers - 1) / sharers;
  return sched_team (disp->sched, name, team->weight, quota);
}

static void
make_tasks (struct disp *disp, struct disp_job *job, bool *sized)
{
  const struct job_req *req = job->req;
  job->n_tasks = req->n_tasks;
  job->tasks = g_new0 (struct disp_task, req->n_tasks);
  *sized = true;
  for (unsigned i = 0; i < req->n_tasks; i++)
    {
      struct disp_task *task = &job->tasks[i];
      bool fresh;
      task->index = i;
      task->queued_us = job->base.arrival_us;
      task->base.declared_us = req->tasks[i].size_ms * 1000;
      task->base.memory_mb = req->tasks[i].memory_mb;
      task->base.size_us
          = sched_sizes_get (disp->sizes, req->service, req->kind, req->team,
                             task->base.declared_us, &fresh);
      *sized = *sized && fresh;
      job->base.ideal_us = MAX (job->base.ideal_us, task->base.size_us);
      job->base.work_us += task->base.size_us;
    }
}

static bool
never_runnable (const struct disp *disp, const struct job_req *req)
{
  int64_t most = slot_memory (disp->slots);
  for (unsigned i = 0; i < req->n_tasks; i++)
    if (most > 0 && req->tasks[i].memory_mb > most)
      return true;
  return false;
}

/* Closes the key of a job of which nothing was started.  */
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

/* Slots to count on: shares that rise soon and slots that can be borrowed are
   not held yet.  */
static unsigned
expected_slots (const struct disp *disp)
{
  unsigned sharers = disp->view == NULL ? 1 : MAX (disp->view->n_sharers, 1);
  return MAX (slot_mine (disp->slots), slot_domain (disp->slots) / sharers);
}

/* Whether JOB may be queued; refuses it otherwise.  */
static bool
admit (struct disp *disp, struct disp_job *job, bool sized)
{
  if (disp->stopping)
    {
      refuse (disp, job, PL_STOPPING, REFUSED_RETRY_MS, "the instance stops");
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
                     expected_slots (disp), slot_domain (disp->slots), sized,
                     &retry_ms, &wait_us);
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
      sched_ready (disp->sched, &job->base);
    }
  else
    {
      job->give_up_us
          = disp_now (disp) + disp->opts.conf->permit_give_up_ms * 1000;
      g_hash_table_insert (disp->permits, &job->hash, job);
      disp_permit_ask (disp, job);
    }
  disp_arm (disp, job);
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
  job->base.arrival_us = msg->at_us;
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
  job->base.team = find_team (disp, req->team);
  job->deadline_us = job->base.arrival_us + req->deadline_ms * 1000;
  bool sized;
  make_tasks (disp, job, &sized);
  job->latest_us = job->deadline_us - (sized ? job->base.ideal_us : 0);
  if (!admit (disp, job, sized))
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

/* Whether this instance may speak for KEY.  */
static bool
authority (const struct disp *disp, const struct claim_key *key)
{
  return key->owner == disp->opts.self
         || claim_inherits (disp->claims, key->owner);
}

/* Whether KEY came after the records were closed for the hand-over.  The heir
   gives the same reply from then on.  */
static bool
too_late (struct disp *disp, const struct claim_key *key, struct pl_str text)
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
  if (!authority (disp, &key))
    {
      reply_code (msg->done, msg->user, text, PL_UNKNOWN_OWNER, NULL);
      return;
    }
  if (too_late (disp, &key, text))
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
  return disp_started (job) ? "running" : "queued";
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

/* A cancellation that overtakes its submission closes the key, so that the
   submission is not run when it arrives.  */
static void
close_unrecorded (struct disp *disp, const struct claim_key *key,
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

/* Finds the unfinished job of MSG's key; null if the reply was given.  The
   flag of MSG tells a cancellation from a lookup.  */
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
  else if (!authority (disp, &key))
    code = PL_UNKNOWN_OWNER;
  else if (!claim_lookup (disp->claims, &key, text, &found, &record))
    code = found == CLAIM_FORGOTTEN ? PL_UNKNOWN_FORGOTTEN : PL_NOT_RECORDED;
  if (code == PL_NOT_RECORDED && found == CLAIM_NEW && msg->flag)
    {
      close_unrecorded (disp, &key, msg);
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
  disp_end (disp, job, PL_CANCELLED, "cancelled by the caller", false);
}

static void
post_key (struct disp *disp, struct pl_str key, job_done_fn *done, void *user,
          void (*run) (struct disp *disp, struct disp_msg *msg), bool cancels)
{
  struct disp_msg *msg = disp_msg_new (disp, run);
  msg->key = g_strndup (key.data, key.len);
  msg->done = done;
  msg->user = user;
  msg->flag = cancels;
  disp_post (disp, msg);
}

void
disp_lookup (struct disp *disp, struct pl_str key, job_done_fn *done,
             void *user)
{
  post_key (disp, key, done, user, lookup, false);
}

void
disp_cancel (struct disp *disp, struct pl_str key, job_done_fn *done,
             void *user)
{
  post_key (disp, key, done, user, cancel, true);
}
