/* Internals of lib/owner.  */
#pragma once

#include "owner.h"

struct owner_table
{
  struct pl_clock *clock;
  const struct owner_ops *ops;
  void *ctx;
  GHashTable *jobs; /* id -> struct owner_job */
  struct sched_sizes *sizes;
  bool dirty;
};

/* Whether the task may be on a worker.  */
static inline bool
owner_task_is_assigned (const struct owner_task *task)
{
  return task->state == OWNER_TASK_PLACED || task->state == OWNER_TASK_UNKNOWN;
}

void owner_requeue_task (struct owner_table *table, struct owner_job *job,
                         struct owner_task *task);
void owner_finish_job (struct owner_table *table, struct owner_job *job,
                       enum pl_code code, int retry_after_ms);
struct lease_order owner_start_order (const struct owner_job *job,
                                      uint32_t index);
