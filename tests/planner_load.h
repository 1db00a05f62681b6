/* A load of three kinds of job on workers of two sizes, played on explicit
   times against the planner: what is served in time under each policy.  */
#pragma once

#include "planner_priv.h"

#include <math.h>

#define LOAD_MS ((int64_t)1000)
#define LOAD_S (1000 * LOAD_MS)
#define LOAD_WORKERS 48
#define LOAD_DOMAINS 4
#define LOAD_KINDS 3
#define LOAD_MAX_TASKS 32
#define LOAD_CPU_MEAN 14000.0
#define LOAD_CPU_MAX 20000.0
#define LOAD_STRETCH 1.6
#define LOAD_TARGET_US (60 * LOAD_MS)
#define LOAD_LATE_FACTOR 3
#define LOAD_DEADLINE_US (1500 * LOAD_MS)
/* Exponent of the declared run time in the estimate, as it is learnt for
   declared times that are off by 40%.  */
#define LOAD_TRUST 0.5
#define LOAD_LATE_CREDIT 0.2 /* of the credit in time */

/* One kind of job; the shape of the two deployments.  */
struct load_kind
{
  double per_s;
  double width;
  unsigned max_width;
  double run_ms;
  double credit; /* of a job of mean work */
  unsigned priority;
};

/* A span with more load of one kind or of all (KIND < 0).  */
struct load_burst
{
  int kind;
  double factor;
  double from_s;
  double to_s;
};

struct load_case
{
  double seconds;
  double rate; /* of the kinds' usual rates */
  const struct load_burst *bursts;
  unsigned n_bursts;
  double slow_share;  /* of the workers ... */
  double slow_factor; /* ... run so many times longer */
  bool slow_known;    /* the holders have learnt it */
  double trust;       /* exponent of the declared run time in the estimate */
  uint32_t seed;
};

struct load_tally
{
  unsigned asked;
  unsigned in_time;
  unsigned late;
  unsigned refused;
  double owed;
  double earned;
};

struct load_result
{
  struct load_tally all;
  struct load_tally kinds[LOAD_KINDS];
  struct load_tally domains[LOAD_DOMAINS];
  double late_refusals; /* share of the credit refused after a quarter of the
                           objective */
};

static const struct load_kind load_kinds[LOAD_KINDS] = {
  { 34.4, 8, 32, 60, 0.0291, 0 },
  { 6.25, 4, 16, 900, 0.16, 2 },
  { 100.0, 2, 8, 200, 0.01, 1 },
};

struct load_job
{
  uint64_t id;
  unsigned kind;
  unsigned domain;
  int64_t at_us;
  unsigned n;
  int32_t cpu;
  int64_t run_us[LOAD_MAX_TASKS]; /* on a worker of usual speed */
  double declared_ms;
  int64_t objective_us;
  double credit;
  unsigned waiting[LOAD_MAX_TASKS];
  unsigned n_waiting;
  unsigned ended;
  bool started;
  bool over;
};

struct load_end
{
  int64_t at_us;
  struct load_job *job;
  unsigned worker;
  uint64_t tag;
};

struct load_worker
{
  struct planner_worker_report room;
  double speed;
  struct planner_resources used;
};

struct load
{
  const struct load_case *c;
  GRand *rand;
  struct planner_state *plan;
  struct load_worker workers[LOAD_WORKERS];
  GPtrArray *jobs;
  GHashTable *by_id;
  GSequence *ends; /* struct load_end by time */
  int64_t now_us;
  struct load_result result;
  double late_refused_credit;
};

static double
load_normal (GRand *rand)
{
  double u = 1 - g_rand_double (rand);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

/* Log-normal with the given mean.  */
static double
load_spread (GRand *rand, double mean, double spread)
{
  double sigma = sqrt (log (1 + spread * spread));
  return mean * exp (sigma * load_normal (rand) - sigma * sigma / 2);
}

static double
load_rate (const struct load_case *c, unsigned kind, double at_s)
{
  double rate = load_kinds[kind].per_s * c->rate;
  for (unsigned i = 0; i < c->n_bursts; i++)
    {
      const struct load_burst *b = &c->bursts[i];
      if ((b->kind < 0 || b->kind == (int)kind) && at_s >= b->from_s
          && at_s < b->to_s)
        rate *= b->factor;
    }
  return rate;
}

static struct load_job *
load_draw (struct load *l, unsigned kind, double at_s)
{
  const struct load_kind *k = &load_kinds[kind];
  struct load_job *job = g_new0 (struct load_job, 1);
  job->id = l->jobs->len + 1;
  job->kind = kind;
  job->domain = g_rand_int_range (l->rand, 0, LOAD_DOMAINS);
  job->at_us = (int64_t)(at_s * LOAD_S);
  job->n = CLAMP ((unsigned)round (load_spread (l->rand, k->width, 0.4)), 1,
                  k->max_width);
  job->cpu
      = (int32_t)MIN (load_spread (l->rand, LOAD_CPU_MEAN, 0.2), LOAD_CPU_MAX);
  double run_ms = MIN (load_spread (l->rand, k->run_ms, 0.4), 4 * k->run_ms);
  job->declared_ms = load_spread (l->rand, run_ms, 0.4);
  double work = 0;
  int64_t longest = 0;
  for (unsigned i = 0; i < job->n; i++)
    {
      double ms = load_spread (l->rand, run_ms, 0.15);
      job->run_us[i] = (int64_t)(ms * (double)LOAD_MS);
      longest = MAX (longest, job->run_us[i]);
      work += ms * job->cpu;
      job->waiting[i] = i;
    }
  job->n_waiting = job->n;
  job->objective_us
      = (int64_t)((double)longest * LOAD_STRETCH) + LOAD_TARGET_US;
  double mean = k->width * k->run_ms * LOAD_CPU_MEAN;
  job->credit = k->credit * MIN (0.3 + 0.7 * work / mean, 4);
  return job;
}

static int
load_by_arrival (gconstpointer a, gconstpointer b)
{
  const struct load_job *x = *(struct load_job *const *)a;
  const struct load_job *y = *(struct load_job *const *)b;
  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static void
load_draw_all (struct load *l)
{
  for (unsigned kind = 0; kind < LOAD_KINDS; kind++)
    for (double at = 0;;)
      {
        double rate = load_rate (l->c, kind, at);
        at -= log (1 - g_rand_double (l->rand)) / rate;
        if (at >= l->c->seconds)
          break;
        g_ptr_array_add (l->jobs, load_draw (l, kind, at));
      }
  g_ptr_array_sort (l->jobs, load_by_arrival);
  for (guint i = 0; i < l->jobs->len; i++)
    {
      struct load_job *job = l->jobs->pdata[i];
      g_hash_table_insert (l->by_id, &job->id, job);
    }
}

static void
load_report (struct load *l, unsigned worker)
{
  l->workers[worker].room.used = l->workers[worker].used;
  planner_update_worker (l->plan, &l->workers[worker].room, l->now_us);
}

static void
load_ask (struct load *l, struct load_job *job)
{
  const struct load_kind *k = &load_kinds[job->kind];
  double ms = k->run_ms * pow (job->declared_ms / k->run_ms, LOAD_TRUST);
  int64_t run_us = (int64_t)(ms * (double)LOAD_MS);
  int64_t objective_us
      = (int64_t)((double)run_us * LOAD_STRETCH) + LOAD_TARGET_US;
  struct planner_request want = {
    .job = job->id,
    .owner = job->domain + 1,
    .service = 1,
    .domain = job->domain + 1,
    .size = { job->cpu, 64, 0 },
    .run_us = run_us,
    .objective_us = job->at_us + objective_us,
    .late_us = job->at_us + LOAD_LATE_FACTOR * objective_us,
    .deadline_us
    = job->at_us + MAX (LOAD_DEADLINE_US, LOAD_LATE_FACTOR * objective_us),
    .priority = k->priority,
    .started = job->started,
    .n_tasks = job->n,
    .n_waiting = job->n_waiting,
    .waiting = job->waiting,
  };
  planner_put_request (l->plan, &want, l->now_us);
}

static int
load_by_end (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct load_end *x = a;
  const struct load_end *y = b;
  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static void
load_on_grant (void *ctx, const struct planner_request *want, uint32_t index,
               const struct planner_placement *placing)
{
  struct load *l = ctx;
  struct load_job *job = g_hash_table_lookup (l->by_id, &want->job);
  unsigned worker = (unsigned)placing->report->worker - 1;
  struct load_worker *w = &l->workers[worker];
  for (unsigned i = 0; i < job->n_waiting; i++)
    if (job->waiting[i] == index)
      job->waiting[i] = job->waiting[--job->n_waiting];
  job->started = true;
  w->used = planner_resources_add (w->used, want->size);
  w->room.runs[w->room.n_runs++] = planner_task_tag (job->id, index);
  struct load_end *end = g_new (struct load_end, 1);
  *end = (struct load_end){
    .at_us = l->now_us + (int64_t)((double)job->run_us[index] * w->speed),
    .job = job,
    .worker = worker,
    .tag = planner_task_tag (job->id, index),
  };
  g_sequence_insert_sorted (l->ends, end, load_by_end, NULL);
}

static void
load_count (struct load_tally *t, const struct load_job *job, int64_t took_us,
            bool refused)
{
  t->asked++;
  t->owed += job->credit;
  if (refused)
    t->refused++;
  else if (took_us <= job->objective_us)
    {
      t->in_time++;
      t->earned += job->credit;
    }
  else
    {
      t->late++;
      if (took_us <= LOAD_LATE_FACTOR * job->objective_us)
        t->earned += LOAD_LATE_CREDIT * job->credit;
    }
}

static void
load_finish (struct load *l, struct load_job *job, bool refused)
{
  int64_t took_us = l->now_us - job->at_us;
  job->over = true;
  load_count (&l->result.all, job, took_us, refused);
  load_count (&l->result.kinds[job->kind], job, took_us, refused);
  load_count (&l->result.domains[job->domain], job, took_us, refused);
  if (refused && took_us > job->objective_us / 4)
    l->late_refused_credit += job->credit;
}

static void
load_on_refuse (void *ctx, const struct planner_request *want,
                const struct planner_refusal *refusal)
{
  (void)refusal;
  struct load *l = ctx;
  load_finish (l, g_hash_table_lookup (l->by_id, &want->job), true);
}

static void
load_end_first (struct load *l)
{
  GSequenceIter *it = g_sequence_get_begin_iter (l->ends);
  struct load_end end = *(struct load_end *)g_sequence_get (it);
  g_sequence_remove (it);
  l->now_us = end.at_us;
  struct load_worker *w = &l->workers[end.worker];
  for (unsigned i = 0; i < w->room.n_runs; i++)
    if (w->room.runs[i] == end.tag)
      w->room.runs[i] = w->room.runs[--w->room.n_runs];
  w->used.cpu -= end.job->cpu;
  w->used.mem -= 64;
  load_report (l, end.worker);
  if (++end.job->ended == end.job->n && !end.job->over)
    load_finish (l, end.job, false);
}

static void
load_set_up (struct load *l, const struct planner_policy *policy,
             const struct planner_ops *ops)
{
  static const int32_t cpu[] = { 32000, 32000, 48000 };
  static const double speeds[] = { 1.0, 1.0, 1.3 };
  l->plan = planner_new_with_policy (policy, ops, l);
  for (unsigned i = 0; i < LOAD_WORKERS; i++)
    {
      struct load_worker *w = &l->workers[i];
      unsigned place = i / LOAD_DOMAINS;
      bool slow = place < LOAD_WORKERS / LOAD_DOMAINS * l->c->slow_share;
      w->speed = speeds[(i / 3) % 3] * (slow ? l->c->slow_factor : 1);
      uint32_t slowness = (uint32_t)(speeds[(i / 3) % 3] * 100);
      if (slow && l->c->slow_known)
        slowness = (uint32_t)(w->speed * 100);
      w->room = (struct planner_worker_report){
        .worker = i + 1,
        .holder = i % LOAD_DOMAINS + 1,
        .service = 1,
        .domain = i % LOAD_DOMAINS + 1,
        .capacity = { cpu[i % 3], 131072, 0 },
        .usable = true,
        .slowness = slowness,
      };
      load_report (l, i);
    }
}

/* Holders report each second, also without a change.  */
static void
load_report_all (struct load *l)
{
  for (unsigned i = 0; i < LOAD_WORKERS; i++)
    load_report (l, i);
}

/* Plays C under POLICY.  */
static struct load_result
load_play (const struct load_case *c, const struct planner_policy *policy)
{
  static const struct planner_ops ops
      = { .grant = load_on_grant, .refuse = load_on_refuse };
  struct load l = {
    .c = c,
    .rand = g_rand_new_with_seed (c->seed),
    .jobs = g_ptr_array_new_with_free_func (g_free),
    .by_id = g_hash_table_new (g_int64_hash, g_int64_equal),
    .ends = g_sequence_new (g_free),
  };
  g_random_set_seed (c->seed); /* the baselines draw from it */
  int64_t report_us = LOAD_S;
  guint next = 0;
  load_set_up (&l, policy, &ops);
  load_draw_all (&l);
  for (;;)
    {
      GSequenceIter *it = g_sequence_get_begin_iter (l.ends);
      bool ends = !g_sequence_iter_is_end (it);
      const struct load_job *job
          = next < l.jobs->len ? l.jobs->pdata[next] : NULL;
      if (!ends && job == NULL)
        break;
      if (ends
          && (job == NULL
              || ((struct load_end *)g_sequence_get (it))->at_us < job->at_us))
        load_end_first (&l);
      else
        {
          l.now_us = job->at_us;
          load_ask (&l, l.jobs->pdata[next++]);
        }
      if (l.now_us >= report_us)
        {
          load_report_all (&l);
          report_us = l.now_us + LOAD_S;
        }
      planner_schedule (l.plan, l.now_us);
    }
  l.result.late_refusals = l.late_refused_credit / l.result.all.owed;
  planner_free (l.plan);
  g_rand_free (l.rand);
  g_hash_table_unref (l.by_id);
  g_ptr_array_unref (l.jobs);
  g_sequence_free (l.ends);
  return l.result;
}

static double
load_share (const struct load_tally *t)
{
  return t->owed > 0 ? t->earned / t->owed : 1;
}
