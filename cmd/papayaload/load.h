/* papayaload: open-loop load, reports, comparisons and history checks.  */
#pragma once

#include "call.h"
#include "pl.h"

/* One kind of job in a mix.  Times in ms before scaling.  */
struct load_kind
{
  const char *service;
  const char *kind;
  const char *team;
  double weight;      /* share of the jobs */
  unsigned min_tasks; /* geometric between both bounds */
  unsigned max_tasks;
  double median_ms; /* log-normal run times, cut at 20 and 4,000 ms */
  double sigma;
};

struct load_mix
{
  const char *name;
  const struct load_kind *kinds;
  unsigned n_kinds;
};

/* One request to an entry instance.  KEY and BODY may be null.  The caller
   frees OUT's body.  */
enum call_result load_send (ne_session *session, const char *method,
                            const char *path, const char *key,
                            const char *body, struct call_answer *out);

/* Null if there is no such mix.  */
const struct load_mix *load_mix_find (const char *name);
/* Mean work of a job of MIX in slot milliseconds, by sampling with SEED.  */
double load_mix_work_ms (const struct load_mix *mix, double scale,
                         guint32 seed);

/* One job as planned; all choices come from the seed.  */
struct load_job
{
  unsigned number;
  const struct load_kind *kind;
  unsigned n_tasks;
  unsigned *run_ms;
  int64_t arrival_us; /* from the start of the run */
  unsigned domain;    /* failure domain */
  unsigned entry;     /* that is called */
  unsigned owner;     /* whose key prefix is used */
  bool fits;          /* in the free slots on arrival, by the plan */
  bool impossible;    /* asks for more memory than any worker has */
  /* Filled by the run.  */
  int64_t response_us; /* from the arrival to the last answer */
  enum pl_code code;   /* of the last answer; PL_SYSTEM: none came */
  unsigned attempts;   /* keys used */
  unsigned resends;    /* repeated submissions of a key */
  unsigned refused;    /* requests for which no connection was made */
  unsigned lost;       /* requests sent without a whole answer */
  bool wrong;          /* an answer that is not the job's own or not whole */
};

struct load_opts
{
  struct pl_addr *entries;
  unsigned n_entries;
  const struct load_mix *mix;
  guint32 seed;
  double rate; /* jobs a second */
  double seconds;
  double scale; /* of all run times */
  unsigned threads;
  unsigned tries;  /* keys a job may use */
  int deadline_ms; /* 0: by the kind */
  bool sticky;     /* use the prefix of the entry that is called */
  int notice_ms;   /* -1: no balancer */
  double slots;    /* of all workers; 0: not known */
  double burst; /* factor on the rate for one second at half time; 0: none */
  double declared;   /* factor, or its inverse in turn, on declared sizes */
  double cancel;     /* part of the open jobs cancelled at half time */
  double impossible; /* part of the jobs that can never run */
  unsigned *domain;  /* of each entry */
  unsigned n_domains;
  unsigned first; /* number of the first job */
  const char *history;
  const char *out;
};

struct load_job *load_plan (const struct load_opts *opts, unsigned *n);
void load_plan_free (struct load_job *jobs, unsigned n);
int64_t load_ideal_us (const struct load_job *job);

/* Groups the entries by failure domain.  */
void load_domains (struct load_opts *opts);
/* Chooses the entries of all jobs.  */
void load_spread (const struct load_opts *opts, struct load_job *jobs,
                  unsigned n);
/* Estimates from the plan which jobs fit in the free slots on arrival: each
   domain runs its jobs in order of arrival, the longest task first, without
   any overhead.  */
void load_fits (const struct load_opts *opts, struct load_job *jobs,
                unsigned n);

/* A wave of cancellations; all functions accept null.  Any thread.  */
struct load_cancel;
struct load_cancel *load_cancel_start (const struct load_opts *opts);
void load_cancel_open (struct load_cancel *cancel, const struct load_job *job,
                       const char *key);
void load_cancel_close (struct load_cancel *cancel,
                        const struct load_job *job);
void load_cancel_end (struct load_cancel *cancel);

/* Runs all jobs and appends a line an attempt to the history.  */
bool load_run (const struct load_opts *opts, struct load_job *jobs,
               unsigned n);
/* A balancer in front of the entries: it asks each for /readyz and goes on
   sending to one that is not ready for opts->notice_ms.  */
struct load_balancer;
/* Null without a balancer.  */
struct load_balancer *load_balancer_new (const struct load_opts *opts);
void load_balancer_free (struct load_balancer *balancer);
bool load_balancer_uses (struct load_balancer *balancer, unsigned entry);
/* Sum of the counters of all entries, by metric name without prefix; an entry
   that does not answer is left out.  Free with g_hash_table_unref.  */
GHashTable *load_metrics (const struct load_opts *opts);

/* Writes the report to standard output and to opts->out.  Returns the number
   of wrong answers.  */
unsigned load_report (const struct load_opts *opts,
                      const struct load_job *jobs, unsigned n,
                      GHashTable *before, GHashTable *after);
/* Compares reports written by load_report; SVG may be null.  */
int load_compare (char *const *files, int n, const char *svg);
/* Checks histories against upstreams' logs.  */
int load_check (char *const *files, int n);
