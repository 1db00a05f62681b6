/* Private declarations of lib/owner.  */
#pragma once

#include "owner.h"

struct owner_table
{
  struct pl_clock *clock;
  const struct owner_ops *ops;
  void *ctx;
  GHashTable *jobs;           /* id -> struct owner_job */
  struct sched_sizes *sizes;  /* learned run times */
  GHashTable *crashes;        /* of workers, by task; see crash.c */
  int64_t latest_deadline_us; /* of all jobs; see owner_limit_deadlines */
  bool dirty;                 /* some job is dirty */
};

/* Whether the task runs on a worker or may run there.  */
static inline bool
owner_task_is_assigned (const struct owner_task *task)
{
  return task->state == OWNER_TASK_PLACED || task->state == OWNER_TASK_UNKNOWN;
}

/* Sends the request of JOB anew with the next flush.  */
void owner_request_again (struct owner_table *table, struct owner_job *job);
/* Requests a worker for TASK again.  */
void owner_requeue_task (struct owner_table *table, struct owner_job *job,
                         struct owner_task *task);
/* Task INDEX was lost with its worker or holder: requests a worker for it
   again, or gives the job up.  Returns false if JOB has ended.  */
bool owner_on_run_lost (struct owner_table *table, struct owner_job *job,
                        uint32_t index);
/* Answers JOB with CODE, stops its runs unless it is complete and frees it. */
void owner_finish_job (struct owner_table *table, struct owner_job *job,
                       enum pl_code code, int retry_after_ms);

/* Tasks that crash workers (crash.c).  */
GHashTable *owner_crashes_new (void);
/* Records that the run that END names has probably crashed its worker.  */
void owner_record_crash (struct owner_table *table,
                         const struct owner_run_end *end);
/* Whether some task of JOB must not be started again, because it has crashed
   too many workers.  */
bool owner_has_reached_crash_limit (const struct owner_table *table,
                                    const struct owner_job *job);
/* Whether some task of JOB that is to be started has crashed a worker.  */
bool owner_has_suspect_task (const struct owner_table *table,
                             const struct owner_job *job);
/* If task INDEX has crashed too many workers, or too many of its runs were
   lost, answers JOB as failed, frees it and returns true.  */
bool owner_give_up_at_crash_limit (struct owner_table *table,
                                   struct owner_job *job, uint32_t index);

/* The order for a start or a claim of task INDEX.  */
struct lease_order owner_start_order (const struct owner_job *job,
                                      uint32_t index);
