/* The jobs that a lender has received: their leases, and the answers that it
   keeps until their origin has them.  */
#include "overflow.h"

/* An origin lists a forwarding for OVERFLOW_LEASE_US after the lender last
   confirmed it, and a renewal that counts is not much older.  */
#define ANSWER_KEPT_US 3000000
/* Of an origin whose connection was closed, until it reconnects.  */
#define CLOSED_LEASE_US 160000
/* The clocks of two machines drift by little in this time.  */
#define BASELINE_US 2000000
/* An origin that has forwarded nothing for so long has no leases left.  */
#define ORIGIN_KEPT_US 60000000

/* An instance that has forwarded jobs to this one.  */
struct origin
{
  uint64_t id;
  /* Our clock minus its clock plus the delay of a forwarding.  */
  int64_t offset_us;
  int64_t offset_at_us;
  int64_t used_us;
};

struct kept_answer
{
  struct overflow_answer answer;
  int64_t at_us;
};

struct overflow_received_table
{
  GHashTable *by_number; /* struct overflow_received */
  GHashTable *by_job;
  GHashTable *answers;    /* number -> struct kept_answer */
  GQueue oldest;          /* struct kept_answer, oldest first */
  GHashTable *origins;    /* id -> struct origin */
  int64_t next_expiry_us; /* no lease expires before; see take_expired */
};

struct overflow_received_table *
overflow_received_table_new (void)
{
  struct overflow_received_table *table
      = g_new0 (struct overflow_received_table, 1);
  table->by_number
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->by_job = g_hash_table_new (g_int64_hash, g_int64_equal);
  table->answers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->origins
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&table->oldest);
  table->next_expiry_us = INT64_MAX;
  return table;
}

void
overflow_received_table_free (struct overflow_received_table *table)
{
  g_queue_clear (&table->oldest);
  g_hash_table_unref (table->by_job);
  g_hash_table_unref (table->by_number);
  g_hash_table_unref (table->answers);
  g_hash_table_unref (table->origins);
  g_free (table);
}

static void
note_origin (struct overflow_received_table *table, uint64_t id,
             int64_t sent_us, int64_t now_us)
{
  int64_t offset_us = now_us - sent_us;
  struct origin *origin = g_hash_table_lookup (table->origins, &id);
  if (origin == NULL)
    {
      origin = g_new (struct origin, 1);
      *origin = (struct origin){ id, offset_us, now_us, now_us };
      g_hash_table_insert (table->origins, &origin->id, origin);
    }
  origin->used_us = now_us;
  if (offset_us > origin->offset_us
      && now_us - origin->offset_at_us < BASELINE_US)
    return;
  origin->offset_us = offset_us;
  origin->offset_at_us = now_us;
}

bool
overflow_receive (struct overflow_received_table *table,
                  const struct overflow_received *received, int64_t sent_us,
                  int64_t now_us)
{
  if (g_hash_table_contains (table->by_number, &received->number)
      || g_hash_table_contains (table->by_job, &received->job)
      || g_hash_table_contains (table->answers, &received->number))
    return false;
  note_origin (table, received->origin, sent_us, now_us);
  struct overflow_received *added = g_memdup2 (received, sizeof *received);
  added->until_us = now_us + OVERFLOW_LEASE_US;
  table->next_expiry_us = MIN (table->next_expiry_us, added->until_us);
  g_hash_table_insert (table->by_number, &added->number, added);
  g_hash_table_insert (table->by_job, &added->job, added);
  return true;
}

const struct overflow_received *
overflow_find_received (struct overflow_received_table *table, uint64_t job)
{
  return g_hash_table_lookup (table->by_job, &job);
}

const struct overflow_received *
overflow_find_received_number (struct overflow_received_table *table,
                               uint64_t number)
{
  return g_hash_table_lookup (table->by_number, &number);
}

static void
forget_answers (struct overflow_received_table *table, int64_t now_us)
{
  struct kept_answer *kept;
  while ((kept = g_queue_peek_head (&table->oldest)) != NULL
         && now_us - kept->at_us > ANSWER_KEPT_US)
    {
      (void)g_queue_pop_head (&table->oldest);
      g_hash_table_remove (table->answers, &kept->answer.number);
    }
}

static const struct overflow_answer *
keep_answer (struct overflow_received_table *table,
             const struct overflow_answer *answer, int64_t now_us)
{
  forget_answers (table, now_us);
  struct kept_answer *kept
      = g_hash_table_lookup (table->answers, &answer->number);
  if (kept != NULL)
    return &kept->answer;
  kept = g_new (struct kept_answer, 1);
  *kept = (struct kept_answer){ *answer, now_us };
  g_hash_table_insert (table->answers, &kept->answer.number, kept);
  g_queue_push_tail (&table->oldest, kept);
  return &kept->answer;
}

void
overflow_set_answer (struct overflow_received_table *table,
                     const struct overflow_answer *answer, int64_t now_us)
{
  const struct overflow_received *received
      = g_hash_table_lookup (table->by_number, &answer->number);
  (void)keep_answer (table, answer, now_us);
  if (received == NULL)
    return;
  g_hash_table_remove (table->by_job, &received->job);
  g_hash_table_remove (table->by_number, &answer->number);
}

bool
overflow_is_fresh (struct overflow_received_table *table, uint64_t id,
                   int64_t sent_us, int64_t now_us)
{
  struct origin *origin = g_hash_table_lookup (table->origins, &id);
  if (origin == NULL)
    return true; /* it has no leases here */
  origin->used_us = now_us;
  return now_us - sent_us - origin->offset_us <= OVERFLOW_STALE_US;
}

const struct overflow_answer *
overflow_renew_received (struct overflow_received_table *table,
                         uint64_t number, int64_t now_us)
{
  struct overflow_received *received
      = g_hash_table_lookup (table->by_number, &number);
  if (received == NULL)
    {
      struct overflow_answer not_run
          = { .number = number, .code = PL_DEADLINE_LOST };
      return keep_answer (table, &not_run, now_us);
    }
  received->until_us = now_us + OVERFLOW_LEASE_US;
  return NULL;
}

void
overflow_on_origin_closed (struct overflow_received_table *table,
                           uint64_t origin, int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  table->next_expiry_us
      = MIN (table->next_expiry_us, now_us + CLOSED_LEASE_US);
  g_hash_table_iter_init (&it, table->by_number);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct overflow_received *received = value;
      if (received->origin == origin)
        received->until_us
            = MIN (received->until_us, now_us + CLOSED_LEASE_US);
    }
}

static void
forget_origins (struct overflow_received_table *table, int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->origins);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (now_us - ((struct origin *)value)->used_us > ORIGIN_KEPT_US)
      g_hash_table_iter_remove (&it);
}

struct overflow_received *
overflow_take_expired (struct overflow_received_table *table, int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  if (now_us < table->next_expiry_us)
    return NULL;
  table->next_expiry_us = INT64_MAX;
  forget_answers (table, now_us);
  forget_origins (table, now_us);
  g_hash_table_iter_init (&it, table->by_number);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct overflow_received *received = value;
      if (received->until_us > now_us)
        {
          table->next_expiry_us
              = MIN (table->next_expiry_us, received->until_us);
          continue;
        }
      table->next_expiry_us = now_us; /* there may be more */
      g_hash_table_remove (table->by_job, &received->job);
      g_hash_table_iter_steal (&it);
      return received;
    }
  return NULL;
}
