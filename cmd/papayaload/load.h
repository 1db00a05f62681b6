/* papayaload: the load generator.  "run" plans jobs from a seed, submits them
   open loop (each at its planned time, however long earlier answers take) and
   writes a report and a history of the answers.  "compare" shows reports side
   by side.  "check" tests histories against what the workers have logged.  An
   "entry" is an instance of papayaloftd.  */
#pragma once

#include "call.h"
#include "pl.h"

/* One kind of job in a mix.  Times are before scaling.  */
struct load_kind
{
  const char *service;
  const char *kind;
  const char *team;
  double weight;      /* relative share of the jobs */
  unsigned min_tasks; /* log-uniform between both bounds */
  unsigned max_tasks;
  double median_ms; /* log-normal run times, clamped to 20 to 4,000 ms */
  double sigma;
};

struct load_mix
{
  const char *name;
  const struct load_kind *kinds;
  unsigned n_kinds;
};

/* Sends one request to an entry instance.  KEY and BODY may be null.  On
   CALL_ANSWERED the caller frees OUT's body.  */
enum call_result load_send (ne_session *session, const char *method,
                            const char *path, const char *key,
                            const char *body, struct call_answer *out);

/* Returns null if there is no such mix.  */
const struct load_mix *load_mix_find (const char *name);
/* Returns the mean work of a job of MIX in slot milliseconds, estimated from
   jobs that are drawn with SEED.  */
double load_mix_mean_work_ms (const struct load_mix *mix, double scale,
                              guint32 seed);

/* One job of the plan and its result.  All choices come from the seed.  */
struct load_job
{
  unsigned number;
  const struct load_kind *kind;
  unsigned n_tasks;
  unsigned *run_ms;
  int64_t arrival_us; /* from the start of the run */
  unsigned domain;    /* failure domain */
  unsigned entry;     /* entry that is called */
  unsigned owner;     /* entry whose key prefix is used */
  bool fits;          /* in the free slots on arrival; estimated */
  bool impossible;    /* asks for more memory than any worker has */
  /* Set by the run.  */
  int64_t response_us; /* from the planned arrival to the last answer */
  enum pl_code code;   /* of the last answer; PL_SYSTEM: no answer came */
  unsigned attempts;   /* keys used */
  unsigned resends;    /* submissions of a key after its first */
  unsigned refused;    /* requests for which no connection was made */
  unsigned lost;       /* requests that were sent but not answered in full */
  bool wrong;          /* an answer belonged to another job or was partial */
};

struct load_opts
{
  struct pl_addr *entries;
  unsigned n_entries;
  const struct load_mix *mix;
  guint32 seed;
  double rate; /* jobs a second */
  double seconds;
  double scale; /* factor on all run times */
  unsigned threads;
  unsigned tries;    /* keys that a job may use, one after another */
  int deadline_ms;   /* 0: the default */
  bool sticky;       /* use the key prefix of the entry that is called */
  int notice_ms;     /* see struct load_balancer; -1: no balancer */
  double slots;      /* of all workers; 0: not known */
  double burst;      /* factor on the rate for one second, halfway; 0: none */
  double declared;   /* error factor of declared sizes: too large in jobs of
                        even number, too small in the others; 0: no error */
  double cancel;     /* fraction of the open jobs to cancel halfway */
  double impossible; /* fraction of the jobs that can never run */
  unsigned *domain;  /* failure domain of each entry */
  unsigned n_domains;
  unsigned first; /* number of the first job */
  const char *history;
  const char *out;
};

/* Draws all jobs of a run except for their entries.  */
struct load_job *load_plan (const struct load_opts *opts, unsigned *n);
void load_plan_free (struct load_job *jobs, unsigned n);
/* Returns the run time of the job's longest task: its response time without
   any wait or overhead.  */
int64_t load_ideal_us (const struct load_job *job);

/* Asks all entries for their failure domain and sets OPTS's domain and
   n_domains.  */
void load_find_domains (struct load_opts *opts);
/* Chooses the domain, entry and owner of each job.  */
void load_assign_entries (const struct load_opts *opts, struct load_job *jobs,
                          unsigned n);
/* Estimates from the plan which jobs fit in the free slots on arrival: each
   domain runs its jobs in order of arrival, the longest task first, without
   any overhead.  */
void load_estimate_fits (const struct load_opts *opts, struct load_job *jobs,
                         unsigned n);

/* Cancels a fraction of the open jobs halfway through the run.  Without
   opts->cancel load_cancel_start returns null, which the other functions
   accept.  Any thread.  */
struct load_cancel;
struct load_cancel *load_cancel_start (const struct load_opts *opts);
/* Marks a job as open, or as no longer open.  */
void load_cancel_add_job (struct load_cancel *cancel,
                          const struct load_job *job, const char *key);
void load_cancel_remove_job (struct load_cancel *cancel,
                             const struct load_job *job);
/* Waits until the cancellations have been sent, and frees CANCEL.  */
void load_cancel_join (struct load_cancel *cancel);

/* Runs all jobs and appends a line to the history for each attempt.  Returns
   false if the history cannot be opened.  */
bool load_run (const struct load_opts *opts, struct load_job *jobs,
               unsigned n);
/* Simulates a load balancer in front of the entries: it polls /readyz of each
   and takes an entry out of rotation once it has not been ready for
   opts->notice_ms.  */
struct load_balancer;
/* Returns null if opts->notice_ms is negative.  */
struct load_balancer *load_balancer_new (const struct load_opts *opts);
void load_balancer_free (struct load_balancer *balancer);
/* Whether ENTRY is in rotation; always true if BALANCER is null.  */
bool load_balancer_in_rotation (struct load_balancer *balancer,
                                unsigned entry);
/* Sums the metrics of all entries by name, without the prefix; the values are
   int64_t.  An entry that does not answer is left out.  Free with
   g_hash_table_unref.  */
GHashTable *load_sum_metrics (const struct load_opts *opts);

/* Writes the report to standard output and as JSON to opts->out.  BEFORE and
   AFTER are the metrics around the run.  Returns the number of jobs with a
   wrong answer.  */
unsigned load_report (const struct load_opts *opts,
                      const struct load_job *jobs, unsigned n,
                      GHashTable *before, GHashTable *after);
/* Compares reports written by load_report in a table and, unless SVG is null,
   in a plot.  Returns the exit status.  */
int load_compare (char *const *files, int n, const char *svg);
/* Checks histories against the logs of upstreams.  Returns the exit status: 1
   if a rule is broken.  */
int load_check (char *const *files, int n);
