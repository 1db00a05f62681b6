#include "slot_in.h"

/* A request stays open for this time, so that the lender grants slots when
   they become free and nobody has to ask again.  */
#define OPEN_US 300000
/* Time between two grants for one request.  One grant for each slot that
   becomes free would double the messages of a task.  */
#define SERVE_US 5000
/* Of what a first grant can't serve, the borrower's own slots take a part
   before slots become free here.  */
#define LATER_PART 2
#define FIRST_PAUSE_US 50000 /* after a request that moved nothing */
#define LONGEST_PAUSE_US 2000000
#define KEPT_PART 8       /* one free slot in so many is not lent */
#define SETTLE_US 1000000 /* a report may be older than a grant */
/* Longest use of a borrowed slot.  The lender's share may fall, and whoever
   gets it waits for the raise delay only.  */
#define HOLD_US 1000000
#define REPORTS 2 /* lower reports before slots are recovered */

unsigned
slot_hold_get (const GArray *holds, claim_instance_id id)
{
  for (unsigned i = 0; i < holds->len; i++)
    {
      const struct slot_hold *hold
          = &g_array_index (holds, struct slot_hold, i);
      if (hold->id == id)
        return hold->count;
    }
  return 0;
}

void
slot_hold_add (GArray *holds, unsigned *sum, claim_instance_id id, int n)
{
  unsigned i = 0;
  while (i < holds->len && g_array_index (holds, struct slot_hold, i).id != id)
    i++;
  if (i == holds->len)
    {
      struct slot_hold fresh = { .id = id };
      g_array_append_val (holds, fresh);
    }
  struct slot_hold *hold = &g_array_index (holds, struct slot_hold, i);
  int now = (int)hold->count + n;
  unsigned count = now > 0 ? (unsigned)now : 0;
  *sum += count - hold->count;
  hold->count = count;
  if (count == 0)
    g_array_remove_index_fast (holds, i);
}

struct slot_peer *
slot_peer (struct slot_table *table, claim_instance_id id)
{
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct slot_peer *peer
          = &g_array_index (table->peers, struct slot_peer, i);
      if (peer->id == id)
        return peer;
    }
  struct slot_peer fresh = { .id = id };
  g_array_append_val (table->peers, fresh);
  return &g_array_index (table->peers, struct slot_peer,
                         table->peers->len - 1);
}

static void
set_until (GArray *holds, claim_instance_id id, int64_t until_us)
{
  for (unsigned i = 0; i < holds->len; i++)
    {
      struct slot_hold *hold = &g_array_index (holds, struct slot_hold, i);
      if (hold->id == id && hold->until_us == 0)
        hold->until_us = until_us;
    }
}

void
slot_mark_expired (struct slot_table *table, struct slot_worker *worker)
{
  int64_t now = pl_now_us (table->opts.clock);
  worker->n_expired = 0;
  for (unsigned i = 0; i < worker->borrowed->len; i++)
    {
      const struct slot_hold *hold
          = &g_array_index (worker->borrowed, struct slot_hold, i);
      if (now >= hold->until_us)
        worker->n_expired += hold->count;
    }
}

/* No request for a while; each fruitless one doubles the time.  */
static void
pause_peer (struct slot_peer *peer, int64_t now)
{
  peer->pause_us = peer->pause_us == 0
                       ? FIRST_PAUSE_US
                       : MIN (peer->pause_us * 2, LONGEST_PAUSE_US);
  peer->again_us = now + peer->pause_us;
}

static bool
may_ask (struct slot_table *table, struct slot_peer *peer, int64_t now)
{
  if (peer->asked_us != 0 && now - peer->asked_us >= OPEN_US)
    {
      peer->asked_us = 0;
      if (!peer->moved)
        {
          table->lost++;
          pause_peer (peer, now);
        }
    }
  return peer->asked_us == 0 && now >= peer->again_us;
}

GArray *
slot_ask (struct slot_table *table, unsigned wanted)
{
  int64_t now = pl_now_us (table->opts.clock);
  GArray *asks = g_array_new (FALSE, FALSE, sizeof (struct slot_hold));
  unsigned n = table->domain_peers->len;
  unsigned at = n > 0 ? g_rand_int (table->rand) % n : 0;
  for (unsigned i = 0; i < n; i++)
    {
      claim_instance_id id = g_array_index (table->domain_peers,
                                            claim_instance_id, (at + i) % n);
      struct slot_peer *peer = slot_peer (table, id);
      struct slot_hold ask = { .id = id };
      if (may_ask (table, peer, now))
        g_array_append_val (asks, ask);
    }
  if (asks->len == 0)
    return asks;
  unsigned each = (wanted + asks->len - 1) / asks->len;
  for (unsigned i = 0; i < asks->len; i++)
    {
      struct slot_hold *ask = &g_array_index (asks, struct slot_hold, i);
      ask->count = MIN (each, wanted);
      wanted -= ask->count;
      if (ask->count == 0)
        {
          g_array_set_size (asks, i);
          break;
        }
      struct slot_peer *peer = slot_peer (table, ask->id);
      peer->asked_us = now;
      peer->asked = ask->count;
      peer->moved = false;
    }
  return asks;
}

/* N slots have come from PEER, which reduces the rest as SLOT_SERVE does.  */
static void
answered (struct slot_peer *peer, unsigned n, int64_t now)
{
  if (n == 0 || peer->asked_us == 0)
    return;
  bool late = now - peer->asked_us > SERVE_US;
  if (!peer->moved && late)
    peer->asked /= LATER_PART;
  peer->asked -= MIN (peer->asked, n);
  if (!peer->moved && !late)
    peer->asked /= LATER_PART;
  peer->moved = true;
  peer->pause_us = 0;
  if (peer->asked == 0)
    peer->asked_us = 0;
}

static bool
live (const struct slot_table *table, claim_instance_id id)
{
  for (unsigned i = 0; i < table->domain_peers->len; i++)
    if (g_array_index (table->domain_peers, claim_instance_id, i) == id)
      return true;
  return false;
}

unsigned
slot_granted (struct slot_table *table, claim_instance_id id,
              const struct slot_lot *lots, unsigned n, GArray *refused)
{
  unsigned taken = 0;
  /* The slots of a dead peer are shared already.  */
  bool usable = live (table, id);
  for (unsigned i = 0; i < n; i++)
    {
      struct slot_worker *worker = slot_find (table, lots[i].addr);
      if (!usable || worker == NULL || lots[i].count > worker->slots)
        {
          g_array_append_val (refused, lots[i]);
          continue;
        }
      slot_hold_add (worker->borrowed, &worker->n_borrowed, id,
                     (int)lots[i].count);
      set_until (worker->borrowed, id,
                 pl_now_us (table->opts.clock) + HOLD_US);
      taken += lots[i].count;
      slot_mark_idle (table, worker);
    }
  struct slot_peer *peer = slot_peer (table, id);
  answered (peer, taken, pl_now_us (table->opts.clock));
  if (taken > 0)
    return taken;
  peer->asked_us = 0;
  pause_peer (peer, pl_now_us (table->opts.clock));
  return 0;
}

/* Own slots of WORKER that nobody uses.  */
static unsigned
spare (const struct slot_worker *worker)
{
  if (worker->health != SLOT_GOOD)
    return 0;
  unsigned out = worker->n_lent + worker->in_use;
  unsigned own = worker->own > out ? worker->own - out : 0;
  return MIN (own, slot_free (worker));
}

GArray *
slot_lend (struct slot_table *table, claim_instance_id id, unsigned wanted)
{
  GArray *lots = g_array_new (FALSE, FALSE, sizeof (struct slot_lot));
  unsigned all = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    all += spare (slot_at (table, i));
  unsigned left = MIN (wanted, all - all / KEPT_PART);
  if (left == 0)
    return lots;
  unsigned n = table->workers->len;
  unsigned at = (unsigned)g_rand_int_range (table->rand, 0, (gint32)n);
  for (unsigned i = 0; i < n && left > 0; i++)
    {
      struct slot_worker *worker = slot_at (table, (at + i) % n);
      unsigned count = MIN (spare (worker), left);
      if (count == 0)
        continue;
      struct slot_lot lot = { .addr = worker->addr, .count = count };
      g_array_append_val (lots, lot);
      slot_hold_add (worker->lent, &worker->n_lent, id, (int)count);
      left -= count;
    }
  slot_peer (table, id)->lent_us = pl_now_us (table->opts.clock);
  return lots;
}

/* Ends the use of up to N slots of peer ID as their tasks end.  */
static void
recall (struct slot_table *table, claim_instance_id id, unsigned n)
{
  int64_t now = pl_now_us (table->opts.clock);
  for (unsigned i = 0; i < table->workers->len && n > 0; i++)
    {
      struct slot_worker *worker = slot_at (table, i);
      for (unsigned h = 0; h < worker->borrowed->len; h++)
        {
          struct slot_hold *hold
              = &g_array_index (worker->borrowed, struct slot_hold, h);
          if (hold->id != id)
            continue;
          hold->until_us = MIN (hold->until_us, now);
          n -= MIN (n, hold->count);
        }
      slot_mark_expired (table, worker);
    }
}

void
slot_want (struct slot_table *table, claim_instance_id id, unsigned n)
{
  struct slot_peer *peer = slot_peer (table, id);
  peer->wants = n;
  peer->fresh = true;
  peer->wants_until_us = pl_now_us (table->opts.clock) + OPEN_US;
  recall (table, id, n);
}

bool
slot_wanted (const struct slot_table *table)
{
  int64_t now = pl_now_us (table->opts.clock);
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      const struct slot_peer *peer
          = &g_array_index (table->peers, struct slot_peer, i);
      if (peer->wants > 0 && now < peer->wants_until_us)
        return true;
    }
  return false;
}

void
slot_ask_over (struct slot_table *table, claim_instance_id id)
{
  slot_peer (table, id)->asked_us = 0;
}

void
slot_wants_wait (struct slot_table *table)
{
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct slot_peer *peer
          = &g_array_index (table->peers, struct slot_peer, i);
      if (peer->fresh)
        peer->wants /= LATER_PART;
      peer->fresh = false;
    }
}

claim_instance_id
slot_serve (struct slot_table *table, GArray **lots)
{
  int64_t now = pl_now_us (table->opts.clock);
  *lots = NULL;
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct slot_peer *peer
          = &g_array_index (table->peers, struct slot_peer, i);
      bool due = peer->served_us == 0 || now - peer->served_us >= SERVE_US;
      if (peer->wants == 0 || now >= peer->wants_until_us || !due)
        continue;
      GArray *found = slot_lend (table, peer->id, peer->wants);
      if (found->len == 0)
        {
          g_array_unref (found);
          continue;
        }
      for (unsigned k = 0; k < found->len; k++)
        peer->wants -= g_array_index (found, struct slot_lot, k).count;
      peer->served_us = now;
      *lots = found;
      return peer->id;
    }
  return 0;
}

void
slot_returned (struct slot_table *table, claim_instance_id id,
               const struct slot_lot *lots, unsigned n)
{
  unsigned back = 0;
  for (unsigned i = 0; i < n; i++)
    {
      struct slot_worker *worker = slot_find (table, lots[i].addr);
      if (worker == NULL)
        continue;
      unsigned had = slot_hold_get (worker->lent, id);
      slot_hold_add (worker->lent, &worker->n_lent, id,
                     -(int)MIN (had, lots[i].count));
      back += MIN (had, lots[i].count);
    }
  struct slot_peer *peer = slot_peer (table, id);
  peer->lent_us = pl_now_us (table->opts.clock);
  /* A peer that returns slots unasked has no use for more.  */
  if (peer->asked_us == 0)
    peer->wants = 0;
  answered (peer, back, peer->lent_us);
}

static void
recover (struct slot_table *table, claim_instance_id id, unsigned excess)
{
  for (unsigned i = 0; i < table->workers->len && excess > 0; i++)
    {
      struct slot_worker *worker = slot_at (table, i);
      unsigned count = MIN (slot_hold_get (worker->lent, id), excess);
      if (count == 0)
        continue;
      slot_hold_add (worker->lent, &worker->n_lent, id, -(int)count);
      excess -= count;
    }
}

void
slot_holds (struct slot_table *table, claim_instance_id id, unsigned total)
{
  unsigned lent = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    lent += slot_hold_get (slot_at (table, i)->lent, id);
  struct slot_peer *peer = slot_peer (table, id);
  int64_t now = pl_now_us (table->opts.clock);
  bool lower = total < lent && now - peer->lent_us >= SETTLE_US;
  peer->excess = lower ? peer->excess + 1 : 0;
  if (peer->excess < REPORTS)
    return;
  peer->excess = 0;
  recover (table, id, lent - total);
}

/* Borrowed slots of WORKER that have been free for long enough.  */
static unsigned
due_back (const struct slot_table *table, const struct slot_worker *worker)
{
  if (worker->n_borrowed == 0)
    return 0;
  unsigned own
      = worker->own > worker->n_lent ? worker->own - worker->n_lent : 0;
  unsigned used = worker->in_use > own ? worker->in_use - own : 0;
  unsigned idle = worker->n_borrowed > used ? worker->n_borrowed - used : 0;
  if (!slot_usable (worker))
    return idle;
  int64_t now = pl_now_us (table->opts.clock);
  bool due = worker->idle_us != 0
             && now - worker->idle_us >= table->opts.lend_idle_us;
  return due ? idle : MIN (idle, worker->n_expired);
}

claim_instance_id
slot_give_back (struct slot_table *table, GArray **lots)
{
  claim_instance_id to = 0;
  *lots = NULL;
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      struct slot_worker *worker = slot_at (table, i);
      unsigned due = due_back (table, worker);
      if (due == 0)
        continue;
      if (to == 0)
        {
          to = g_array_index (worker->borrowed, struct slot_hold, 0).id;
          *lots = g_array_new (FALSE, FALSE, sizeof (struct slot_lot));
        }
      unsigned count = MIN (due, slot_hold_get (worker->borrowed, to));
      if (count == 0)
        continue;
      struct slot_lot lot = { .addr = worker->addr, .count = count };
      g_array_append_val (*lots, lot);
      slot_hold_add (worker->borrowed, &worker->n_borrowed, to, -(int)count);
      slot_mark_expired (table, worker);
    }
  return to;
}

void
slot_peer_dead (struct slot_table *table, claim_instance_id id)
{
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      struct slot_worker *worker = slot_at (table, i);
      int lent = (int)slot_hold_get (worker->lent, id);
      int held = (int)slot_hold_get (worker->borrowed, id);
      if (lent > 0)
        slot_hold_add (worker->lent, &worker->n_lent, id, -lent);
      if (held > 0)
        slot_hold_add (worker->borrowed, &worker->n_borrowed, id, -held);
      slot_mark_expired (table, worker);
      slot_mark_idle (table, worker);
    }
  struct slot_peer *peer = slot_peer (table, id);
  peer->asked_us = 0;
  peer->again_us = 0;
  peer->wants = 0;
}

unsigned
slot_lost_requests (struct slot_table *table)
{
  unsigned lost = table->lost;
  table->lost = 0;
  return lost;
}
