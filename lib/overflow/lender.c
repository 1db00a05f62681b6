/* What a planner lends to the planners of other failure domains.  */
#include "overflow.h"

#include <xxhash.h>

/* Kept for own jobs that arrive while a credit is open.  */
#define RESERVE_PERCENT 10
/* The rest is for the next request, so that one borrower can't take all.  */
#define LEND_DIVISOR 2
/* Bound of the credits that are open at a time.  */
#define MAX_OPEN 256

struct overflow_lender
{
  uint64_t id;
  uint64_t n_granted;
  GArray *open; /* struct overflow_credit */
};

struct overflow_lender *
overflow_lender_new (uint64_t id)
{
  struct overflow_lender *lender = g_new (struct overflow_lender, 1);
  *lender = (struct overflow_lender){
    .id = id,
    .open = g_array_new (FALSE, FALSE, sizeof (struct overflow_credit)),
  };
  return lender;
}

void
overflow_lender_free (struct overflow_lender *lender)
{
  g_array_unref (lender->open);
  g_free (lender);
}

static struct overflow_credit *
credit_at (const struct overflow_lender *lender, guint i)
{
  return &g_array_index (lender->open, struct overflow_credit, i);
}

static void
drop_expired (struct overflow_lender *lender, int64_t now_us)
{
  for (guint i = lender->open->len; i-- > 0;)
    if (credit_at (lender, i)->until_us <= now_us)
      g_array_remove_index_fast (lender->open, i);
}

static int64_t
sum_open (const struct overflow_lender *lender, uint64_t service)
{
  int64_t cpu = 0;
  for (guint i = 0; i < lender->open->len; i++)
    if (credit_at (lender, i)->service == service)
      cpu += credit_at (lender, i)->cpu;
  return cpu;
}

int64_t
overflow_lend (struct overflow_lender *lender, uint64_t service,
               int64_t wanted, const struct overflow_room *room,
               int64_t now_us, uint64_t *number)
{
  drop_expired (lender, now_us);
  *number = 0;
  if (room->crowded || lender->open->len >= MAX_OPEN)
    return 0;
  int64_t spare = room->free - room->waiting
                  - room->capacity * RESERVE_PERCENT / 100
                  - sum_open (lender, service);
  int64_t cpu = MIN (wanted, spare / LEND_DIVISOR);
  if (cpu <= 0)
    return 0;
  uint64_t serial = ++lender->n_granted;
  struct overflow_credit credit = {
    .number = XXH64 (&serial, sizeof serial, lender->id) | 1,
    .service = service,
    .cpu = cpu,
    .until_us = now_us + OVERFLOW_CREDIT_US,
  };
  g_array_append_val (lender->open, credit);
  *number = credit.number;
  return cpu;
}

bool
overflow_admit (struct overflow_lender *lender, uint64_t number, int64_t cpu,
                int64_t now_us)
{
  drop_expired (lender, now_us);
  for (guint i = 0; i < lender->open->len; i++)
    {
      struct overflow_credit *credit = credit_at (lender, i);
      if (credit->number != number)
        continue;
      if (credit->cpu < cpu)
        return false;
      credit->cpu -= cpu;
      return true;
    }
  return false;
}
