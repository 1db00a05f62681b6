/* Internals of lib/lease.  */
#pragma once

#include "lease.h"

struct lease_table
{
  const struct lease_ops *ops;
  void *ctx;
  GHashTable *workers; /* key -> struct lease_worker */
};

/* An empty list of runs that frees its entries.  */
GPtrArray *lease_runs_new (void);
struct lease_run *lease_run_find (const struct lease_worker *w,
                                  const struct lease_run_id *id);
struct lease_run *lease_run_add (struct lease_worker *w,
                                 const struct lease_run_id *id);
/* Time since RUN has started; 0 if that is not known.  */
int64_t lease_took_us (const struct lease_run *run, int64_t now_us);
/* Removes RUN and tells its owner.  */
void lease_run_end (struct lease_table *table, struct lease_worker *w,
                    struct lease_run *run, enum lease_end end, int64_t now_us);
/* Ends all runs of W the same way.  */
void lease_end_all (struct lease_table *table, struct lease_worker *w,
                    enum lease_end end, int64_t now_us);
/* Orders RUN to stop and waits until that is certain.  */
void lease_run_stop (struct lease_table *table, struct lease_worker *w,
                     struct lease_run *run, int64_t now_us);
/* Removes W after its runs were reported as END.  */
void lease_lose (struct lease_table *table, struct lease_worker *w,
                 enum lease_reply why, enum lease_end end, int64_t now_us);

/* Removes W because of REPLY, fenced or reborn.  */
void lease_lose_by (struct lease_table *table, struct lease_worker *w,
                    enum lease_reply reply, int64_t now_us);

/* Sends the next look; with a lease if RENEW.  */
void lease_look (struct lease_table *table, struct lease_worker *w, bool renew,
                 int64_t now_us);

void lease_health_good (struct lease_health *health, int64_t took_us,
                        int64_t expect_us, int64_t now_us);
/* Counts a failure of the worker and ejects it if there were enough.  */
void lease_strike (struct lease_table *table, struct lease_worker *w,
                   int64_t now_us);
/* Counts a run that takes far too long.  */
void lease_straggler (struct lease_table *table, struct lease_worker *w,
                      const struct lease_run *run, int64_t now_us);
bool lease_usable (const struct lease_worker *w, int64_t now_us);
struct planner_resources lease_used (const struct lease_worker *w);

/* Deadline on the worker's clock of a lease granted now, 0: unknown clock. */
int64_t lease_deadline_ms (const struct lease_worker *w, int64_t now_us);
