/* Baselines that the planner is measured against.  */
#include "pack_priv.h"

static int
order_fifo (const struct job *a, const struct job *b, int64_t now_us)
{
  (void)now_us;
  return (a->seq > b->seq) - (a->seq < b->seq);
}

/* Random rooms that may take a task of JOB; returns how many, at most N.  */
static unsigned
draw (struct pack_plan *plan, const struct job *job, int64_t now_us,
      struct room **rooms, unsigned n)
{
  g_autoptr (GPtrArray) fitting = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, plan->rooms);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (pack_takes (plan, value, job, now_us))
      g_ptr_array_add (fitting, value);
  n = MIN (n, fitting->len);
  for (unsigned i = 0; i < n; i++)
    rooms[i] = fitting->pdata[g_random_int_range (0, (gint32)fitting->len)];
  return n;
}

static struct room *
choose_random (struct pack_plan *plan, const struct job *job, int64_t now_us)
{
  struct room *room;
  return draw (plan, job, now_us, &room, 1) == 1 ? room : NULL;
}

/* The one of two random rooms that has more left.  */
static struct room *
choose_two (struct pack_plan *plan, const struct job *job, int64_t now_us)
{
  struct room *rooms[2];
  unsigned n = draw (plan, job, now_us, rooms, 2);
  if (n < 2)
    return n == 0 ? NULL : rooms[0];
  int32_t left[2];
  for (unsigned i = 0; i < 2; i++)
    left[i] = rooms[i]->r.capacity.cpu - pack_room_used (rooms[i]).cpu;
  return rooms[left[1] > left[0]];
}

const struct pack_policy pack_policy_random
    = { .order = order_fifo, .choose = choose_random };
const struct pack_policy pack_policy_two
    = { .order = order_fifo, .choose = choose_two };
