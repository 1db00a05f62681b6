#include "claim_table.h"

/* Bytes charged for a stored reply besides its body: the structures of reply,
   GBytes and list entry.  */
#define HELD_OVERHEAD 192

void
claim_unhold (struct claim_table *table, struct claim_held *held)
{
  g_queue_unlink (&table->held, &held->link);
  table->held_bytes -= held->bytes;
  held->record->held = NULL;
  job_reply_unref (held->reply);
  g_free (held);
}

static void
evict_bytes (struct claim_table *table, size_t limit)
{
  while (table->held_bytes > limit)
    claim_unhold (table, table->held.head->data);
}

void
claim_hold (struct claim_table *table, struct claim_record *record,
            struct job_reply *reply)
{
  size_t bytes = g_bytes_get_size (reply->body) + HELD_OVERHEAD;
  if (bytes > table->opts.answer_bytes)
    return;
  evict_bytes (table, table->opts.answer_bytes - bytes);
  struct claim_held *held = g_new0 (struct claim_held, 1);
  held->link.data = held;
  held->record = record;
  held->reply = job_reply_ref (reply);
  held->at_us = pl_now_us (table->opts.clock);
  held->bytes = bytes;
  record->held = held;
  table->held_bytes += bytes;
  g_queue_push_tail_link (&table->held, &held->link);
}

void
claim_evict_answers (struct claim_table *table)
{
  int64_t limit_us = pl_now_us (table->opts.clock) - table->opts.answer_us;
  while (table->held.head != NULL)
    {
      struct claim_held *held = table->held.head->data;
      if (held->at_us > limit_us)
        return;
      claim_unhold (table, held);
    }
}
