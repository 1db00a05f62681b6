/* The table of the workers that this instance holds, and its timeouts.  */
#include "lease_priv.h"

#include <string.h>

#define STOP_RESEND_US 50000
#define CLAIM_TIMEOUT_US 250000 /* after which an unclaimed run is stopped */
/* A run counts as hanging after this many times its expected run time, plus
   this much.  The second pair, which is shorter, applies to a worker on which
   no run was done since this one started.  */
#define STRAGGLER_FACTOR 6
#define STRAGGLER_US 400000
#define STUCK_FACTOR 3
#define STUCK_US 150000
#define ANSWER_FRESH_US 500000 /* above the time that a poll waits */

static void
worker_free (void *data)
{
  struct lease_worker *w = data;
  g_ptr_array_unref (w->runs);
  g_free (w->id);
  g_free (w);
}

struct lease_table *
lease_table_new (const struct lease_ops *ops, void *ctx)
{
  struct lease_table *table = g_new0 (struct lease_table, 1);
  table->ops = ops;
  table->ctx = ctx;
  table->workers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, worker_free);
  return table;
}

void
lease_table_free (struct lease_table *table)
{
  g_hash_table_unref (table->workers);
  g_free (table);
}

struct lease_worker *
lease_find_worker (struct lease_table *table, uint64_t worker)
{
  return g_hash_table_lookup (table->workers, &worker);
}

GHashTable *
lease_workers (struct lease_table *table)
{
  return table->workers;
}

static void
copy_info (struct lease_worker *w, const struct lease_worker_info *info)
{
  int64_t answering_ms = w->answered ? w->info.incarnation_ms : 0;
  if (info->id != w->id)
    {
      g_free (w->id);
      w->id = g_strdup (info->id);
    }
  w->info = *info;
  w->info.id = w->id;
  /* The entry may be of an earlier incarnation than the one that answers, or
     of a later one, which the next answer will show.  */
  w->described_ms = info->incarnation_ms;
  if (answering_ms != 0)
    w->info.incarnation_ms = answering_ms;
}

struct lease_worker *
lease_take (struct lease_table *table, const struct lease_worker_info *info,
            int64_t token, int64_t now_us)
{
  struct lease_worker *w = g_new0 (struct lease_worker, 1);
  copy_info (w, info);
  w->runs = lease_runs_new ();
  w->token = token;
  w->answered_us = now_us;
  w->health.slowness = 100;
  g_hash_table_insert (table->workers, &w->info.worker, w);
  lease_check_ramp (table, w, now_us);
  lease_send_poll (table, w, now_us);
  return w;
}

bool
lease_decides_differently (const struct lease_worker_info *before,
                           const struct lease_worker_info *after)
{
  return before->draining != after->draining
         || before->incarnation_ms != after->incarnation_ms
         || before->service != after->service
         || memcmp (before->labels, after->labels, sizeof before->labels) != 0
         || !planner_resources_equal (before->capacity, after->capacity);
}

void
lease_update (struct lease_table *table, struct lease_worker *w,
              const struct lease_worker_info *info)
{
  bool changed = w->described_ms != info->incarnation_ms
                 || lease_decides_differently (&w->info, info);
  copy_info (w, info);
  if (changed)
    table->ops->changed (table->ctx, w);
}

void
lease_yield (struct lease_table *table, struct lease_worker *w)
{
  g_hash_table_remove (table->workers, &w->info.worker);
}

static void
drop_worker (struct lease_table *table, struct lease_worker *w,
             enum lease_reply reason, enum lease_cause cause, int64_t now_us)
{
  enum lease_end end
      = cause == LEASE_CAUSE_FENCED ? LEASE_END_UNKNOWN : LEASE_END_STOPPED;
  lease_end_all_runs (table, w, end, cause, now_us);
  table->ops->lost (table->ctx, w, reason);
  g_hash_table_remove (table->workers, &w->info.worker);
}

void
lease_drop_for_reply (struct lease_table *table, struct lease_worker *w,
                      enum lease_reply reply, int64_t now_us)
{
  /* Runs of a former incarnation have ended with it.  */
  drop_worker (table, w, reply,
               reply == LEASE_REPLY_RESTARTED ? LEASE_CAUSE_RESTARTED
                                              : LEASE_CAUSE_FENCED,
               now_us);
}

void
lease_worker_fenced (struct lease_table *table, struct lease_worker *w,
                     int64_t now_us)
{
  lease_drop_for_reply (table, w, LEASE_REPLY_FENCED, now_us);
}

void
lease_worker_ended (struct lease_table *table, struct lease_worker *w)
{
  drop_worker (table, w, LEASE_REPLY_NO_ANSWER, LEASE_CAUSE_REMOVED,
               MAX (w->answered_us, w->renewed_us));
}

static bool
is_straggler (const struct lease_worker *w, const struct lease_run *run,
              int64_t now_us)
{
  if (run->state != LEASE_RUN_RUNNING || run->expect_us == 0
      || run->started_us == 0)
    return false;
  /* The run may have ended, and the answer that lists its end was lost.  */
  if (now_us - w->answered_us > ANSWER_FRESH_US)
    return false;
  /* That a cold worker takes longer is known.  */
  bool stuck = !w->ramp.active && w->health.last_success_us < run->started_us;
  /* A task that is started again because its run took too long may simply be
     a long one: each further run gets more time.  */
  int64_t expect_us = run->expect_us * run->id.run;
  int64_t limit_us = stuck ? expect_us * STUCK_FACTOR + STUCK_US
                           : expect_us * STRAGGLER_FACTOR + STRAGGLER_US;
  return now_us - run->started_us > limit_us;
}

/* Whether a stop may still be of use: a worker that is silent has ended all
   runs when its lease has expired, and starts that wait for its next process
   are settled when that answers.  */
static bool
may_take_stops (const struct lease_worker *w, int64_t now_us)
{
  return w->state != LEASE_WORKER_SILENT
         || now_us - w->renewed_us <= LEASE_EXPIRY_US;
}

static void
tick_run (struct lease_table *table, struct lease_worker *w,
          struct lease_run *run, int64_t now_us)
{
  if (run->state == LEASE_RUN_STOPPING)
    {
      if (run->stop_acked_us == 0
          && now_us - run->stop_sent_us > STOP_RESEND_US
          && may_take_stops (w, now_us))
        lease_order_stop (table, w, run, now_us);
      return;
    }
  if (run->unclaimed_us != 0 && now_us - run->unclaimed_us > CLAIM_TIMEOUT_US)
    lease_order_stop (table, w, run, now_us);
  else if (is_straggler (w, run, now_us))
    {
      lease_order_stop (table, w, run, now_us);
      lease_record_straggler (table, w, run, now_us);
    }
}

static void
tick_worker (struct lease_table *table, struct lease_worker *w, int64_t now_us)
{
  for (guint i = 0; i < w->runs->len; i++)
    tick_run (table, w, g_ptr_array_index (w->runs, i), now_us);
  lease_check_ramp (table, w, now_us);
  if (w->health.ejected_until_us != 0 && w->health.ejected_until_us <= now_us)
    {
      w->health.ejected_until_us = 0;
      table->ops->changed (table->ctx, w);
    }
  if (w->next_poll_us != 0 && w->next_poll_us <= now_us)
    lease_poll_again (table, w, now_us);
}

void
lease_tick (struct lease_table *table, int64_t now_us)
{
  g_autoptr (GList) workers = g_hash_table_get_values (table->workers);
  for (GList *l = workers; l != NULL; l = l->next)
    tick_worker (table, l->data, now_us);
}

void
lease_fill_report (const struct lease_worker *w, uint64_t holder,
                   int64_t now_us, struct planner_worker_report *out)
{
  *out = (struct planner_worker_report){
    .worker = w->info.worker,
    .holder = holder,
    .token = w->token,
    .service = w->info.service,
    .domain = w->info.domain,
    .capacity = lease_offered_capacity (w),
    .used = lease_used_resources (w),
    .usable = lease_is_usable (w, now_us),
    .slowness = w->health.slowness,
  };
  memcpy (out->labels, w->info.labels, sizeof out->labels);
  for (guint i = 0; i < w->runs->len && out->n_runs < PLANNER_MAX_RUNS; i++)
    {
      const struct lease_run *run = g_ptr_array_index (w->runs, i);
      out->runs[out->n_runs++] = planner_task_tag (run->id.job, run->id.index);
    }
}
