/* Internals of lib/own.  */
#pragma once

#include "own.h"

struct own_table
{
  struct pl_clock *clock;
  const struct own_ops *ops;
  void *ctx;
  GHashTable *jobs; /* id -> struct own_job */
  struct sched_sizes *sizes;
  bool dirty;
};

/* Whether the task may be on a worker.  */
static inline bool
own_is_out (const struct own_task *task)
{
  return task->state == OWN_PLACED || task->state == OWN_UNSURE;
}

void own_task_again (struct own_table *table, struct own_job *job,
                     struct own_task *task);
void own_finish (struct own_table *table, struct own_job *job,
                 enum pl_code code, int retry_after_ms);
struct lease_order own_order_of (const struct own_job *job, uint32_t index);
