/* The jobs that an origin has forwarded: their renewal, and how the loss of a
   lender is noticed.  */
#include "overflow.h"

#include <xxhash.h>

/* Links to other failure domains are paid for.  */
#define BYTES_PER_S 128000
/* So much may be sent at once, after a pause.  */
#define BYTES_AT_ONCE (BYTES_PER_S / 4)

/* An instance that has jobs of this one.  */
struct lender
{
  uint64_t id;
  struct pl_addr addr;
  int64_t renewed_us;    /* when the latest renewal was sent */
  int64_t heard_sent_us; /* when the latest one that it has handled was */
  unsigned n_jobs;
};

struct overflow_sent_table
{
  uint64_t id;
  const struct overflow_sent_ops *ops;
  void *ctx;
  uint64_t n_forwarded;
  int64_t bytes; /* that may be sent now */
  int64_t bytes_us;
  GHashTable *by_number; /* struct overflow_sent */
  GHashTable *by_job;
  GHashTable *lenders; /* id -> struct lender */
};

struct overflow_sent_table *
overflow_sent_table_new (uint64_t id, const struct overflow_sent_ops *ops,
                         void *ctx)
{
  struct overflow_sent_table *table = g_new (struct overflow_sent_table, 1);
  *table = (struct overflow_sent_table){
    .id = id,
    .ops = ops,
    .ctx = ctx,
    .bytes = BYTES_AT_ONCE,
    .by_number
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free),
    .by_job = g_hash_table_new (g_int64_hash, g_int64_equal),
    .lenders
    = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free),
  };
  return table;
}

void
overflow_sent_table_free (struct overflow_sent_table *table)
{
  g_hash_table_unref (table->by_job);
  g_hash_table_unref (table->by_number);
  g_hash_table_unref (table->lenders);
  g_free (table);
}

unsigned
overflow_count_sent (const struct overflow_sent_table *table)
{
  return g_hash_table_size (table->by_number);
}

bool
overflow_take_bytes (struct overflow_sent_table *table, int64_t bytes,
                     int64_t now_us)
{
  int64_t since_us = MIN (now_us - table->bytes_us, 1000000);
  int64_t gained = since_us * BYTES_PER_S / 1000000;
  table->bytes = MIN (table->bytes + gained, BYTES_AT_ONCE);
  table->bytes_us = now_us;
  if (bytes > table->bytes)
    return false;
  table->bytes -= bytes;
  return true;
}

static struct lender *
find_or_add_lender (struct overflow_sent_table *table, uint64_t id,
                    struct pl_addr addr, int64_t now_us)
{
  struct lender *lender = g_hash_table_lookup (table->lenders, &id);
  if (lender != NULL)
    return lender;
  lender = g_new (struct lender, 1);
  *lender = (struct lender){
    .id = id,
    .addr = addr,
    .renewed_us = now_us,
  };
  g_hash_table_insert (table->lenders, &lender->id, lender);
  return lender;
}

uint64_t
overflow_add_sent (struct overflow_sent_table *table, uint64_t job,
                   uint64_t lender_id, struct pl_addr addr, int64_t now_us)
{
  uint64_t serial = ++table->n_forwarded;
  struct lender *lender = find_or_add_lender (table, lender_id, addr, now_us);
  struct overflow_sent *sent = g_new (struct overflow_sent, 1);
  *sent = (struct overflow_sent){
    .number = XXH64 (&serial, sizeof serial, table->id) | 1,
    .job = job,
    .lender = lender_id,
    .addr = addr,
    .sent_us = now_us,
    .listed_us = now_us,
  };
  lender->n_jobs++;
  g_hash_table_insert (table->by_number, &sent->number, sent);
  g_hash_table_insert (table->by_job, &sent->job, sent);
  return sent->number;
}

const struct overflow_sent *
overflow_find_sent (struct overflow_sent_table *table, uint64_t number,
                    uint64_t lender)
{
  const struct overflow_sent *sent
      = g_hash_table_lookup (table->by_number, &number);
  return sent != NULL && sent->lender == lender ? sent : NULL;
}

/* Appends the numbers of the jobs at LENDER that are still wanted.  */
static void
list_wanted (struct overflow_sent_table *table, const struct lender *lender,
             GArray *numbers, int64_t now_us)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->by_number);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct overflow_sent *sent = value;
      if (sent->lender != lender->id || sent->lost)
        continue;
      sent->listed_us = now_us;
      g_array_append_val (numbers, sent->number);
    }
}

static void
send_renewal (struct overflow_sent_table *table, struct lender *lender,
              int64_t now_us)
{
  g_autoptr (GArray) numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  list_wanted (table, lender, numbers, now_us);
  lender->renewed_us = now_us;
  if (numbers->len == 0)
    return;
  struct overflow_renewal renewal
      = { .lender = lender->id, .addr = lender->addr, .numbers = numbers };
  table->ops->renew (table->ctx, &renewal);
}

static void
send_withdrawal (struct overflow_sent_table *table,
                 const struct lender *lender, uint64_t number)
{
  g_autoptr (GArray) numbers = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_val (numbers, number);
  struct overflow_renewal renewal
      = { .lender = lender->id, .addr = lender->addr, .withdrawn = numbers };
  table->ops->renew (table->ctx, &renewal);
}

/* Frees SENT.  */
static void
remove_sent (struct overflow_sent_table *table, struct overflow_sent *sent)
{
  struct lender *lender = g_hash_table_lookup (table->lenders, &sent->lender);
  lender->n_jobs--;
  g_hash_table_remove (table->by_job, &sent->job);
  g_hash_table_remove (table->by_number, &sent->number);
}

void
overflow_end_sent (struct overflow_sent_table *table, uint64_t job, bool tell)
{
  struct overflow_sent *sent = g_hash_table_lookup (table->by_job, &job);
  if (sent == NULL)
    return;
  struct lender *lender = g_hash_table_lookup (table->lenders, &sent->lender);
  uint64_t number = sent->number;
  bool lost = sent->lost;
  remove_sent (table, sent);
  if (!tell || lost)
    return;
  send_withdrawal (table, lender, number);
}

void
overflow_on_renewed (struct overflow_sent_table *table, uint64_t id,
                     int64_t sent_us)
{
  struct lender *lender = g_hash_table_lookup (table->lenders, &id);
  if (lender != NULL)
    lender->heard_sent_us
        = MAX (lender->heard_sent_us, MIN (sent_us, lender->renewed_us));
}

/* Whether the lender has not confirmed SENT for as long as a lease lasts: it
   may have ended the job by now, and is not to be told otherwise.  */
static bool
is_lender_silent (const struct lender *lender,
                  const struct overflow_sent *sent, int64_t now_us)
{
  int64_t confirmed_us = MAX (lender->heard_sent_us, sent->sent_us);
  return now_us - confirmed_us > OVERFLOW_LEASE_US;
}

static void
notice_lost_jobs (struct overflow_sent_table *table, int64_t now_us)
{
  g_autoptr (GList) all = g_hash_table_get_values (table->by_number);
  for (GList *l = all; l != NULL; l = l->next)
    {
      struct overflow_sent *sent = l->data;
      const struct lender *lender
          = g_hash_table_lookup (table->lenders, &sent->lender);
      sent->lost = sent->lost || is_lender_silent (lender, sent, now_us);
      if (!sent->lost || now_us - sent->listed_us < OVERFLOW_END_US)
        continue;
      struct overflow_sent ended = *sent;
      remove_sent (table, sent);
      table->ops->lost (table->ctx, &ended);
    }
}

void
overflow_tick_sent (struct overflow_sent_table *table, int64_t now_us)
{
  if (g_hash_table_size (table->lenders) == 0)
    return;
  /* First, so that after a pause nothing is renewed that may have ended.  */
  notice_lost_jobs (table, now_us);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->lenders);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct lender *lender = value;
      if (lender->n_jobs == 0 && now_us - lender->renewed_us > OVERFLOW_END_US)
        g_hash_table_iter_remove (&it);
      else if (lender->n_jobs > 0
               && now_us - lender->renewed_us >= OVERFLOW_RENEW_US)
        send_renewal (table, lender, now_us);
    }
}
