/* The stored answers (final replies) of the owner's records.  */
#include "claim_table.h"

/* Bytes counted for a stored reply besides its body: the structures of the
   reply, its GBytes and its list entry.  */
#define ANSWER_OVERHEAD_BYTES 192

void
claim_drop_answer (struct claim_table *table, struct claim_answer *stored)
{
  g_queue_unlink (&table->stored, &stored->link);
  table->stored_bytes -= stored->bytes;
  stored->record->stored = NULL;
  job_reply_unref (stored->reply);
  g_free (stored);
}

static void
evict_down_to (struct claim_table *table, size_t limit)
{
  while (table->stored_bytes > limit)
    claim_drop_answer (table, table->stored.head->data);
}

void
claim_store_answer (struct claim_table *table, struct claim_record *record,
                    struct job_reply *reply)
{
  size_t bytes = g_bytes_get_size (reply->body) + ANSWER_OVERHEAD_BYTES;
  if (bytes > table->opts.answer_bytes)
    return;
  evict_down_to (table, table->opts.answer_bytes - bytes);
  struct claim_answer *stored = g_new0 (struct claim_answer, 1);
  stored->link.data = stored;
  stored->record = record;
  stored->reply = job_reply_ref (reply);
  stored->at_us = pl_now_us (table->opts.clock);
  stored->bytes = bytes;
  record->stored = stored;
  table->stored_bytes += bytes;
  g_queue_push_tail_link (&table->stored, &stored->link);
}

void
claim_evict_answers (struct claim_table *table)
{
  int64_t limit_us = pl_now_us (table->opts.clock) - table->opts.answer_us;
  while (table->stored.head != NULL)
    {
      struct claim_answer *stored = table->stored.head->data;
      if (stored->at_us > limit_us)
        return;
      claim_drop_answer (table, stored);
    }
}
