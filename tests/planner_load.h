/* A simulated load of three kinds of job on workers of two sizes, to compare
   the planner's policies by how much of it they serve in time.  */
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
/* Exponent of the declared run time in the estimate, as it is learned for
   declared times that are off by 40%.  */
#define LOAD_DECLARED_EXPONENT 0.5
#define LOAD_TAIL_FACTOR 7
#define LOAD_LARGE_CPU 17700 /* a tenth of the jobs needs more for a task */
#define LOAD_LATE_CREDIT 0.2 /* of the credit in time */

/* One kind of job.  The kinds below are those of the two deployments.  */
struct load_kind
{
  double per_s; /* jobs */
  double width; /* mean number of tasks */
  unsigned max_width;
  double run_ms; /* mean of a task */
  double credit; /* for a job of mean work that is served in time */
  unsigned priority;
};

/* A period with FACTOR times the rate of one kind, or of all (KIND < 0).  */
struct load_burst
{
  int kind;
  double factor;
  double from_s;
  double to_s;
};

struct load_scenario
{
  double seconds;
  double rate; /* factor on the rates of all kinds (load_kinds) */
  const struct load_burst *bursts;
  unsigned n_bursts;
  double slow_share;      /* share of each domain's workers that are slow */
  double slow_factor;     /* factor on the run times of these */
  bool slow_known;        /* their holders report it */
  double declared_spread; /* of the declared run times; 0: 0.4 */
  double tail_share;      /* share of jobs that run LOAD_TAIL_FACTOR as long */
  uint32_t seed;
};

/* Numbers of jobs and sums of their credit.  */
struct load_tally
{
  unsigned n_jobs;
  unsigned in_time;
  unsigned late;
  unsigned refused;
  double credit_offered;
  double credit_earned;
};

struct load_result
{
  struct load_tally all;
  struct load_tally kinds[LOAD_KINDS];
  struct load_tally domains[LOAD_DOMAINS];
  struct load_tally large; /* with tasks above LOAD_LARGE_CPU */
  double busy_share;       /* of the cores, while jobs arrived */
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
  unsigned n_tasks;
  int32_t cpu;
  int64_t run_us[LOAD_MAX_TASKS]; /* on a worker of speed 1 */
  double declared_ms;
  int64_t objective_us;
  double credit;
  unsigned waiting[LOAD_MAX_TASKS];
  unsigned n_waiting;
  unsigned ended;
  bool started;
  bool over; /* answered or refused */
};

struct load_run_end
{
  int64_t at_us;
  struct load_job *job;
  unsigned worker;
  uint64_t tag;
};

struct load_worker
{
  struct planner_worker_report report;
  double speed; /* factor on run times */
  struct planner_resources used;
  struct planner_run details[PLANNER_MAX_RUNS];
  bool report_due;
};

struct load
{
  const struct load_scenario *scenario;
  GRand *rand;
  struct planner_state *planner;
  struct load_worker workers[LOAD_WORKERS];
  GPtrArray *jobs;
  GHashTable *by_id;
  GSequence *ends; /* struct load_run_end by time */
  int64_t now_us;
  struct load_result result;
  double late_refused_credit;
  double busy_us; /* thousandths of a core x microseconds */
};

static double
load_normal (GRand *rand)
{
  double u = 1 - g_rand_double (rand);
  return sqrt (-2 * log (u)) * cos (2 * G_PI * g_rand_double (rand));
}

/* Log-normal with the given mean; SPREAD is the coefficient of variation.  */
static double
load_log_normal (GRand *rand, double mean, double spread)
{
  double sigma = sqrt (log (1 + spread * spread));
  return mean * exp (sigma * load_normal (rand) - sigma * sigma / 2);
}

static double
load_rate (const struct load_scenario *scenario, unsigned kind, double at_s)
{
  double rate = load_kinds[kind].per_s * scenario->rate;
  for (unsigned i = 0; i < scenario->n_bursts; i++)
    {
      const struct load_burst *b = &scenario->bursts[i];
      if ((b->kind < 0 || b->kind == (int)kind) && at_s >= b->from_s
          && at_s < b->to_s)
        rate *= b->factor;
    }
  return rate;
}

static struct load_job *
load_new_job (struct load *load, unsigned kind, double at_s)
{
  const struct load_kind *k = &load_kinds[kind];
  struct load_job *job = g_new0 (struct load_job, 1);
  job->id = load->jobs->len + 1;
  job->kind = kind;
  job->domain = g_rand_int_range (load->rand, 0, LOAD_DOMAINS);
  job->at_us = (int64_t)(at_s * LOAD_S);
  double width = round (load_log_normal (load->rand, k->width, 0.4));
  job->n_tasks = (unsigned)CLAMP (width, 1, k->max_width);
  job->cpu = (int32_t)MIN (load_log_normal (load->rand, LOAD_CPU_MEAN, 0.2),
                           LOAD_CPU_MAX);
  double run_ms
      = MIN (load_log_normal (load->rand, k->run_ms, 0.4), 4 * k->run_ms);
  double spread = load->scenario->declared_spread;
  job->declared_ms
      = load_log_normal (load->rand, run_ms, spread > 0 ? spread : 0.4);
  if (load->scenario->tail_share > 0
      && g_rand_double (load->rand) < load->scenario->tail_share)
    run_ms *= LOAD_TAIL_FACTOR;
  double work = 0;
  int64_t longest = 0;
  for (unsigned i = 0; i < job->n_tasks; i++)
    {
      double ms = load_log_normal (load->rand, run_ms, 0.15);
      job->run_us[i] = (int64_t)(ms * (double)LOAD_MS);
      longest = MAX (longest, job->run_us[i]);
      work += ms * job->cpu;
      job->waiting[i] = i;
    }
  job->n_waiting = job->n_tasks;
  job->objective_us
      = (int64_t)((double)longest * LOAD_STRETCH) + LOAD_TARGET_US;
  double mean = k->width * k->run_ms * LOAD_CPU_MEAN;
  job->credit = k->credit * MIN (0.3 + 0.7 * work / mean, 4);
  return job;
}

static int
load_compare_arrival (gconstpointer a, gconstpointer b)
{
  const struct load_job *x = *(struct load_job *const *)a;
  const struct load_job *y = *(struct load_job *const *)b;
  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static void
load_generate_jobs (struct load *load)
{
  for (unsigned kind = 0; kind < LOAD_KINDS; kind++)
    for (double at = 0;;)
      {
        double rate = load_rate (load->scenario, kind, at);
        at -= log (1 - g_rand_double (load->rand)) / rate;
        if (at >= load->scenario->seconds)
          break;
        g_ptr_array_add (load->jobs, load_new_job (load, kind, at));
      }
  g_ptr_array_sort (load->jobs, load_compare_arrival);
  for (guint i = 0; i < load->jobs->len; i++)
    {
      struct load_job *job = load->jobs->pdata[i];
      g_hash_table_insert (load->by_id, &job->id, job);
    }
}

static void
load_report (struct load *load, unsigned worker)
{
  load->workers[worker].report.used = load->workers[worker].used;
  load->workers[worker].report.details = load->workers[worker].details;
  planner_update_worker (load->planner, &load->workers[worker].report,
                         load->now_us);
}

static void
load_put_request (struct load *load, struct load_job *job)
{
  const struct load_kind *k = &load_kinds[job->kind];
  double ms
      = k->run_ms * pow (job->declared_ms / k->run_ms, LOAD_DECLARED_EXPONENT);
  int64_t run_us = (int64_t)(ms * (double)LOAD_MS);
  int64_t objective_us
      = (int64_t)((double)run_us * LOAD_STRETCH) + LOAD_TARGET_US;
  struct planner_request request = {
    .job = job->id,
    .owner = job->domain + 1,
    .service = 1,
    .domain = job->domain + 1,
    .size = { job->cpu, 64, 0 },
    .arrival_us = job->at_us,
    .run_us = run_us,
    .objective_us = job->at_us + objective_us,
    .late_us = job->at_us + LOAD_LATE_FACTOR * objective_us,
    .deadline_us
    = job->at_us + MAX (LOAD_DEADLINE_US, LOAD_LATE_FACTOR * objective_us),
    .priority = k->priority,
    .started = job->started,
    .n_tasks = job->n_tasks,
    .n_waiting = job->n_waiting,
    .waiting = job->waiting,
  };
  planner_put_request (load->planner, &request);
}

static int
load_compare_end (gconstpointer a, gconstpointer b, gpointer user)
{
  (void)user;
  const struct load_run_end *x = a;
  const struct load_run_end *y = b;
  return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

static void
load_on_grant (void *ctx, const struct planner_request *request,
               uint32_t index, const struct planner_placement *placement)
{
  struct load *load = ctx;
  struct load_job *job = g_hash_table_lookup (load->by_id, &request->job);
  unsigned worker = (unsigned)placement->report->worker - 1;
  struct load_worker *w = &load->workers[worker];
  for (unsigned i = 0; i < job->n_waiting; i++)
    if (job->waiting[i] == index)
      job->waiting[i] = job->waiting[--job->n_waiting];
  job->started = true;
  w->used = planner_resources_add (w->used, request->size);
  w->details[w->report.n_runs] = (struct planner_run){
    .started_us = load->now_us,
    .expect_us = request->run_us * w->report.slowness / 100,
    .size = request->size,
  };
  w->report.runs[w->report.n_runs++] = planner_task_tag (job->id, index);
  w->report_due = true;
  load->busy_us
      += (double)request->size.cpu * (double)job->run_us[index] * w->speed;
  struct load_run_end *end = g_new (struct load_run_end, 1);
  *end = (struct load_run_end){
    .at_us = load->now_us + (int64_t)((double)job->run_us[index] * w->speed),
    .job = job,
    .worker = worker,
    .tag = planner_task_tag (job->id, index),
  };
  g_sequence_insert_sorted (load->ends, end, load_compare_end, NULL);
}

static void
load_tally_add (struct load_tally *t, const struct load_job *job,
                int64_t took_us, bool refused)
{
  t->n_jobs++;
  t->credit_offered += job->credit;
  if (refused)
    t->refused++;
  else if (took_us <= job->objective_us)
    {
      t->in_time++;
      t->credit_earned += job->credit;
    }
  else
    {
      t->late++;
      if (took_us <= LOAD_LATE_FACTOR * job->objective_us)
        t->credit_earned += LOAD_LATE_CREDIT * job->credit;
    }
}

static void
load_finish (struct load *load, struct load_job *job, bool refused)
{
  int64_t took_us = load->now_us - job->at_us;
  job->over = true;
  load_tally_add (&load->result.all, job, took_us, refused);
  load_tally_add (&load->result.kinds[job->kind], job, took_us, refused);
  load_tally_add (&load->result.domains[job->domain], job, took_us, refused);
  if (job->cpu > LOAD_LARGE_CPU)
    load_tally_add (&load->result.large, job, took_us, refused);
  if (refused && took_us > job->objective_us / 4)
    load->late_refused_credit += job->credit;
}

static void
load_on_refuse (void *ctx, const struct planner_request *request,
                const struct planner_refusal *refusal)
{
  (void)refusal;
  struct load *load = ctx;
  load_finish (load, g_hash_table_lookup (load->by_id, &request->job), true);
}

static void
load_end_next_run (struct load *load)
{
  GSequenceIter *it = g_sequence_get_begin_iter (load->ends);
  struct load_run_end end = *(struct load_run_end *)g_sequence_get (it);
  g_sequence_remove (it);
  load->now_us = end.at_us;
  struct load_worker *w = &load->workers[end.worker];
  for (unsigned i = 0; i < w->report.n_runs; i++)
    if (w->report.runs[i] == end.tag)
      {
        w->details[i] = w->details[w->report.n_runs - 1];
        w->report.runs[i] = w->report.runs[--w->report.n_runs];
      }
  w->used.cpu -= end.job->cpu;
  w->used.mem -= 64;
  load_report (load, end.worker);
  if (++end.job->ended == end.job->n_tasks && !end.job->over)
    load_finish (load, end.job, false);
}

static void
load_init (struct load *load, const struct planner_policy *policy,
           const struct planner_ops *ops)
{
  static const int32_t cpu[] = { 32000, 32000, 48000 };
  static const double speeds[] = { 1.0, 1.0, 1.3 };
  load->planner = planner_new_with_policy (policy, ops, load);
  for (unsigned i = 0; i < LOAD_WORKERS; i++)
    {
      struct load_worker *w = &load->workers[i];
      unsigned index_in_domain = i / LOAD_DOMAINS;
      bool slow = index_in_domain
                  < LOAD_WORKERS / LOAD_DOMAINS * load->scenario->slow_share;
      w->speed
          = speeds[(i / 3) % 3] * (slow ? load->scenario->slow_factor : 1);
      uint32_t slowness = (uint32_t)(speeds[(i / 3) % 3] * 100);
      if (slow && load->scenario->slow_known)
        slowness = (uint32_t)(w->speed * 100);
      w->report = (struct planner_worker_report){
        .worker = i + 1,
        .holder = i % LOAD_DOMAINS + 1,
        .service = 1,
        .domain = i % LOAD_DOMAINS + 1,
        .capacity = { cpu[i % 3], 131072, 0 },
        .usable = true,
        .slowness = slowness,
      };
      load_report (load, i);
    }
}

/* Holders report each start.  */
static void
load_report_due (struct load *load)
{
  for (unsigned i = 0; i < LOAD_WORKERS; i++)
    if (load->workers[i].report_due)
      {
        load->workers[i].report_due = false;
        load_report (load, i);
      }
}

/* Holders report each second, even without a change.  */
static void
load_report_all (struct load *load)
{
  for (unsigned i = 0; i < LOAD_WORKERS; i++)
    load_report (load, i);
}

/* Simulates SCENARIO under POLICY.  */
static struct load_result
load_run_scenario (const struct load_scenario *scenario,
                   const struct planner_policy *policy)
{
  static const struct planner_ops ops
      = { .grant = load_on_grant, .refuse = load_on_refuse };
  struct load load = {
    .scenario = scenario,
    .rand = g_rand_new_with_seed (scenario->seed),
    .jobs = g_ptr_array_new_with_free_func (g_free),
    .by_id = g_hash_table_new (g_int64_hash, g_int64_equal),
    .ends = g_sequence_new (g_free),
  };
  g_random_set_seed (scenario->seed); /* the baselines draw from it */
  int64_t report_us = LOAD_S;
  guint next = 0;
  load_init (&load, policy, &ops);
  load_generate_jobs (&load);
  for (;;)
    {
      GSequenceIter *it = g_sequence_get_begin_iter (load.ends);
      bool ends = !g_sequence_iter_is_end (it);
      const struct load_job *job
          = next < load.jobs->len ? load.jobs->pdata[next] : NULL;
      if (!ends && job == NULL)
        break;
      if (ends
          && (job == NULL
              || ((struct load_run_end *)g_sequence_get (it))->at_us
                     < job->at_us))
        load_end_next_run (&load);
      else
        {
          load.now_us = job->at_us;
          load_put_request (&load, load.jobs->pdata[next++]);
        }
      if (load.now_us >= report_us)
        {
          load_report_all (&load);
          report_us = load.now_us + LOAD_S;
        }
      planner_schedule (load.planner, load.now_us);
      load_report_due (&load);
    }
  double cpu = 0;
  for (unsigned i = 0; i < LOAD_WORKERS; i++)
    cpu += load.workers[i].report.capacity.cpu;
  load.result.busy_share
      = load.busy_us / (cpu * scenario->seconds * (double)LOAD_S);
  load.result.late_refusals
      = load.late_refused_credit / load.result.all.credit_offered;
  planner_free (load.planner);
  g_rand_free (load.rand);
  g_hash_table_unref (load.by_id);
  g_ptr_array_unref (load.jobs);
  g_sequence_free (load.ends);
  return load.result;
}

static double
load_credit_share (const struct load_tally *t)
{
  return t->credit_offered > 0 ? t->credit_earned / t->credit_offered : 1;
}
