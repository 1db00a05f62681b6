/* Internals of lib/lease: the table of held workers and what the module's
   files call of each other.  */
#pragma once

#include "lease.h"

/* How long calls to workers take (call_time.c).  */
struct lease_call_time
{
  int64_t smoothed_us; /* 0: none was answered yet */
  int64_t variation_us;
  int lost;           /* smoothed share of lost calls, thousandths */
  unsigned doublings; /* of the time limit, since a call was answered */
};

/* The largest run that was started of late (ramp.c), thousandths of a core. */
struct lease_largest
{
  int32_t cpu;        /* in the present period; 0: none */
  int32_t former_cpu; /* in the former one */
  int64_t since_us;   /* when the present one began */
};

struct lease_table
{
  const struct lease_ops *ops;
  void *ctx;
  GHashTable *workers; /* hash of the worker's id -> struct lease_worker */
  struct lease_call_time call_time;
  struct lease_largest largest;
};

/* A call was answered after TOOK_US, or got no answer within its limit.  */
void lease_call_answered (struct lease_call_time *time, int64_t took_us);
void lease_call_lost (struct lease_call_time *time);
/* Whether calls take so long that a lost one says nothing of its worker.  */
bool lease_calls_are_slow (const struct lease_table *table);

/* An empty list of runs that frees its entries.  */
GPtrArray *lease_runs_new (void);
struct lease_run *lease_find_run (const struct lease_worker *w,
                                  const struct lease_run_id *id);
struct lease_run *lease_add_run (struct lease_worker *w,
                                 const struct lease_run_id *id);
/* Whether the worker has shown that RUN had started.  */
bool lease_is_acknowledged (const struct lease_run *run);
/* Time since RUN has started; 0 if that is not known.  */
int64_t lease_run_time_us (const struct lease_run *run, int64_t now_us);
/* Removes RUN and tells its owner.  */
void lease_end_run (struct lease_table *table, struct lease_worker *w,
                    struct lease_run *run, enum lease_end end,
                    enum lease_cause cause, int64_t now_us);
/* Ends all runs of W, which is lost, the same way.  */
void lease_end_all_runs (struct lease_table *table, struct lease_worker *w,
                         enum lease_end end, enum lease_cause cause,
                         int64_t now_us);
/* Sets which runs of W, which is lost because of CAUSE, may have ended it.  */
void lease_blame_runs (const struct lease_table *table, struct lease_worker *w,
                       enum lease_cause cause);
/* Orders RUN to stop.  The run is removed when a later poll shows that it has
   ended.  */
void lease_order_stop (struct lease_table *table, struct lease_worker *w,
                       struct lease_run *run, int64_t now_us);
/* Reports all runs of W as ended and W as lost, and removes W, because of
   REPLY, LEASE_REPLY_FENCED or LEASE_REPLY_RESTARTED.  */
void lease_drop_for_reply (struct lease_table *table, struct lease_worker *w,
                           enum lease_reply reply, int64_t now_us);

/* Sends the first poll, or the next one after a failure: without a lease, and
   answered at once.  */
void lease_send_poll (struct lease_table *table, struct lease_worker *w,
                      int64_t now_us);

/* Counts a run that is done and updates the worker's slowness.  */
void lease_record_success (struct lease_health *health, int64_t took_us,
                           int64_t expect_us, int64_t now_us);
/* Counts a failure of the worker and ejects it after enough of them.  */
void lease_record_failure (struct lease_table *table, struct lease_worker *w,
                           int64_t now_us);
/* Counts a run that takes far longer than expected as failures.  */
void lease_record_straggler (struct lease_table *table, struct lease_worker *w,
                             const struct lease_run *run, int64_t now_us);
/* Records the size of a run that is started now.  */
void lease_record_size (struct lease_largest *largest, int32_t cpu,
                        int64_t now_us);
/* Begins the slow start of W if its entry says that it is cold, and ends it
   after its time.  */
void lease_check_ramp (struct lease_table *table, struct lease_worker *w,
                       int64_t now_us);
/* Counts RUN, which is done, for the slow start of W.  */
void lease_measure_ramp (struct lease_table *table, struct lease_worker *w,
                         const struct lease_run *run, int64_t now_us);
/* What W takes of its capacity now.  */
struct planner_resources lease_offered_capacity (const struct lease_worker *w);
/* Whether the worker takes starts.  */
bool lease_is_usable (const struct lease_worker *w, int64_t now_us);
struct planner_resources lease_used_resources (const struct lease_worker *w);

/* Applies the lists of a poll's answer.  */
void lease_apply_lists (struct lease_table *table, struct lease_worker *w,
                        const struct lease_poll_result *result,
                        int64_t now_us);
/* Another incarnation of the worker has answered than before.  Raises the
   token.  */
void lease_apply_restart (struct lease_table *table, struct lease_worker *w,
                          int64_t now_us);
/* The worker has answered a poll with a new token, with the lists of RESULT,
   and refuses calls with an older one from now on.  */
void lease_apply_fence (struct lease_table *table, struct lease_worker *w,
                        const struct lease_poll_result *result,
                        int64_t now_us);

/* Whether the lease of W, which is one for all runs there, may be renewed.  */
bool lease_may_renew (const struct lease_table *table,
                      const struct lease_worker *w);
/* End of a lease that is granted now, on the worker's clock; 0 if that is not
   known well enough, or if the lease may not be renewed.  */
int64_t lease_deadline_ms (const struct lease_table *table,
                           const struct lease_worker *w, int64_t now_us);
/* Sends the poll that waits for its time, with a lease if that was withheld
   and may be granted now.  */
void lease_poll_again (struct lease_table *table, struct lease_worker *w,
                       int64_t now_us);
