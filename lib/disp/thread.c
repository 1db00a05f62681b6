#include "disp_in.h"

#include <string.h>

#define BATCH 512 /* messages between two rounds of placement */

static void
drain (struct disp *disp, int64_t wait_us, unsigned most)
{
  struct pl_mbox_item *item = pl_mbox_take (disp->mbox, wait_us);
  for (unsigned n = 0; item != NULL; n++)
    {
      item->run (item, disp);
      item = n < most ? pl_mbox_take (disp->mbox, 0) : NULL;
    }
}

static void
work (struct disp *disp)
{
  disp_tick (disp);
  if (disp->stopping)
    return;
  disp_place (disp);
  disp_lend_turn (disp);
}

void
disp_turn (struct disp *disp)
{
  drain (disp, 0, UINT_MAX);
  work (disp);
}

/* Ends all jobs; those with running tasks are answered after a grace.  */
static void
stop_jobs (struct disp *disp, bool now)
{
  disp->stopping = true;
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  GSequenceIter *it = g_sequence_get_begin_iter (disp->timers);
  for (; !g_sequence_iter_is_end (it); it = g_sequence_iter_next (it))
    g_ptr_array_add (jobs, g_sequence_get (it));
  for (unsigned i = 0; i < jobs->len; i++)
    disp_end (disp, jobs->pdata[i], PL_STOPPING, "the instance stops", now);
}

static void *
thread_main (void *data)
{
  struct disp *disp = data;
  while (!g_atomic_int_get (&disp->stop))
    {
      drain (disp, disp_wait_us (disp), BATCH);
      work (disp);
    }
  stop_jobs (disp, false);
  while (disp->unfinished > 0)
    {
      drain (disp, DISP_TICK_US, BATCH);
      disp_tick (disp);
    }
  return NULL;
}

static void
run_done (struct run_task *task, struct run_result *result, void *user)
{
  disp_run_done (user, task, result);
}

void
disp_run_done (struct disp *disp, struct run_task *task,
               struct run_result *result)
{
  struct disp_msg *msg = disp_msg_new (disp, disp_result);
  msg->task = task;
  msg->result = result;
  disp_post (disp, msg);
}

static guint
hash_hash (gconstpointer key)
{
  return (guint)((const struct claim_key_hash *)key)->lo;
}

static gboolean
hash_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct claim_key_hash)) == 0;
}

static struct claim_table *
new_claims (const struct disp_opts *opts)
{
  const struct conf *conf = opts->conf;
  struct claim_opts claim = {
    .clock = opts->clock,
    .self = opts->self,
    .epoch_us = conf->epoch_s * G_USEC_PER_SEC,
    .keep_us = conf->keep_s * G_USEC_PER_SEC,
    .keep_records = (unsigned)conf->keep_records,
    .answer_us = conf->answer_s * G_USEC_PER_SEC,
    .answer_bytes = (size_t)conf->answer_bytes,
  };
  return claim_table_new (&claim);
}

static struct sched *
new_sched (const struct disp_opts *opts)
{
  const struct conf *conf = opts->conf;
  struct sched_opts sched = {
    .clock = opts->clock,
    .policy = conf->policy,
    .queue_tasks = (unsigned)conf->queue_tasks,
    .max_wait_us = DISP_MAX_WAIT_US,
    .retry_percent = (unsigned)conf->retry_percent,
    .retry_min_per_s = (unsigned)conf->retry_min_per_s,
  };
  return sched_new (&sched);
}

static struct slot_table *
new_slots (const struct disp_opts *opts)
{
  const struct conf *conf = opts->conf;
  enum slot_choice choice = SLOT_FASTEST;
  if (strcmp (conf->policy, "fifo") == 0)
    choice = SLOT_RANDOM;
  else if (strcmp (conf->policy, "p2c") == 0)
    choice = SLOT_TWO;
  struct slot_opts slot = {
    .clock = opts->clock,
    .self = opts->self,
    .domain = conf->domain,
    .choice = choice,
    .seed = (uint64_t)conf->seed,
    .share_raise_us = conf->share_raise_ms * 1000,
    .lend_idle_us = conf->lend_idle_ms * 1000,
    .connections = (unsigned)conf->worker_connections,
    .spare = RUN_CANCEL_THREADS,
  };
  return slot_table_new (&slot);
}

static struct run *
new_run (struct disp *disp)
{
  const struct conf *conf = disp->opts.conf;
  struct run_opts run = {
    .clock = disp->opts.clock,
    .source_ip = conf_source_ip (conf),
    .threads = (unsigned)conf->runner_threads,
    .connections = (unsigned)conf->worker_connections,
    .idle_ms = (int)conf->upstream_idle_ms,
    .connect_ms = (int)conf->upstream_connect_ms,
    .silence_ms = (int)conf->upstream_silence_ms,
    .answer_bytes = (size_t)conf->task_answer_bytes,
    .done = run_done,
    .user = disp,
  };
  return run_new (&run);
}

struct disp *
disp_new (const struct disp_opts *opts)
{
  struct disp *disp = g_new0 (struct disp, 1);
  disp->opts = *opts;
  disp->mbox = pl_mbox_new ();
  disp->claims = new_claims (opts);
  disp->sched = new_sched (opts);
  disp->sizes = sched_sizes_new (opts->clock);
  disp->slots = new_slots (opts);
  disp->permits = g_hash_table_new (hash_hash, hash_equal);
  disp->timers = g_sequence_new (NULL);
  disp->delayed = g_ptr_array_new ();
  g_mutex_init (&disp->lock);
  disp_tick (disp);
  if (opts->run_ops == NULL)
    disp->run = new_run (disp);
  if (!opts->manual)
    disp->thread = g_thread_new ("dispatch", thread_main, disp);
  return disp;
}

static void
wake (struct disp *disp, struct disp_msg *msg)
{
  (void)disp;
  (void)msg;
}

void
disp_free (struct disp *disp)
{
  if (disp == NULL)
    return;
  g_atomic_int_set (&disp->stop, 1);
  if (disp->thread != NULL)
    {
      disp_post (disp, disp_msg_new (disp, wake));
      g_thread_join (disp->thread);
    }
  stop_jobs (disp, true);
  if (disp->run != NULL)
    run_free (disp->run);
  drain (disp, 0, UINT_MAX);
  stop_jobs (disp, true);
  pl_mbox_free (disp->mbox);
  claim_table_free (disp->claims);
  sched_free (disp->sched);
  sched_sizes_free (disp->sizes);
  slot_table_free (disp->slots);
  g_hash_table_unref (disp->permits);
  g_sequence_free (disp->timers);
  g_ptr_array_unref (disp->delayed);
  pl_shared_unref ((struct pl_shared *)disp->conf);
  pl_shared_unref ((struct pl_shared *)disp->view);
  g_mutex_clear (&disp->lock);
  g_free (disp);
}

void
disp_get_status (struct disp *disp, struct disp_status *out)
{
  g_mutex_lock (&disp->lock);
  *out = disp->status;
  g_mutex_unlock (&disp->lock);
}
