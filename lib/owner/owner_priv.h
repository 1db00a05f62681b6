/* Private declarations of lib/owner.  */
#pragma once

#include "owner.h"

struct owner_table
{
  struct pl_clock *clock;
  const struct owner_ops *ops;
  void *ctx;
  GHashTable *jobs;          /* id -> struct owner_job */
  struct sched_sizes *sizes; /* learned run times */
  bool dirty;                /* some job is dirty */
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
/* Answers JOB with CODE, stops its runs unless it is complete and frees it. */
void owner_finish_job (struct owner_table *table, struct owner_job *job,
                       enum pl_code code, int retry_after_ms);
/* The order for a start or a claim of task INDEX.  */
struct lease_order owner_start_order (const struct owner_job *job,
                                      uint32_t index);
