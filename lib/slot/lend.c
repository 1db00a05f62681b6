/* Lending and borrowing of slots between the instances of a domain.

   A request stays open for REQUEST_OPEN_US, so that the lender grants slots as
   they become free and the borrower need not ask again.  The borrower of an
   open request and the lender reduce it by the same rules, see
   count_received.  */
#include "slot_in.h"

#define REQUEST_OPEN_US 300000
/* Time between two grants for one request.  One grant for each slot that
   becomes free would double the messages of a task.  */
#define GRANT_INTERVAL_US 5000
/* What a request asks for beyond its first grant is divided by this: the
   borrower's own slots serve the rest before slots become free here.  */
#define LATER_DIVISOR 2
#define FIRST_PAUSE_US 50000 /* after a request that brought no slot */
#define MAX_PAUSE_US 2000000
#define RESERVE_DIVISOR 8     /* 1/N of the free slots is not lent */
#define REPORT_LAG_US 1000000 /* a report may predate a grant */
/* Longest use of a borrowed slot.  The lender's share may fall meanwhile; the
   instance that gets the slot then waits only for share_raise_us before it
   uses the slot, too.  */
#define MAX_HOLD_US 1000000
#define MIN_LOW_REPORTS 2 /* in a row, before slots are reclaimed */

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
slot_hold_adjust (GArray *holds, unsigned *sum, claim_instance_id id, int n)
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
slot_get_peer (struct slot_table *table, claim_instance_id id)
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

/* Sets the end of use of the slots borrowed from peer ID.  A grant that is
   added to earlier ones is used as long as the latest allows.  */
static void
set_expiry (GArray *holds, claim_instance_id id, int64_t expires_us)
{
  for (unsigned i = 0; i < holds->len; i++)
    {
      struct slot_hold *hold = &g_array_index (holds, struct slot_hold, i);
      if (hold->id == id)
        hold->expires_us = MAX (hold->expires_us, expires_us);
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
      if (now >= hold->expires_us)
        worker->n_expired += hold->count;
    }
}

/* Starts a pause before the next request to PEER.  Each request in a row that
   brings no slot doubles it.  */
static void
pause_peer (struct slot_peer *peer, int64_t now)
{
  peer->pause_us = peer->pause_us == 0
                       ? FIRST_PAUSE_US
                       : MIN (peer->pause_us * 2, MAX_PAUSE_US);
  peer->next_request_us = now + peer->pause_us;
}

/* Whether a new request may be sent to PEER.  Closes the open one if it has
   expired.  */
static bool
may_request (struct slot_table *table, struct slot_peer *peer, int64_t now)
{
  if (peer->requested_us != 0 && now - peer->requested_us >= REQUEST_OPEN_US)
    {
      peer->requested_us = 0;
      if (!peer->granted_any)
        {
          table->lost_requests++;
          pause_peer (peer, now);
        }
    }
  return peer->requested_us == 0 && now >= peer->next_request_us;
}

GArray *
slot_make_requests (struct slot_table *table, unsigned wanted)
{
  int64_t now = pl_now_us (table->opts.clock);
  GArray *requests = g_array_new (FALSE, FALSE, sizeof (struct slot_hold));
  unsigned n = table->domain_peers->len;
  unsigned at = n > 0 ? g_rand_int (table->rand) % n : 0;
  for (unsigned i = 0; i < n; i++)
    {
      claim_instance_id id = g_array_index (table->domain_peers,
                                            claim_instance_id, (at + i) % n);
      struct slot_peer *peer = slot_get_peer (table, id);
      struct slot_hold request = { .id = id };
      if (may_request (table, peer, now))
        g_array_append_val (requests, request);
    }
  if (requests->len == 0)
    return requests;
  unsigned each = (wanted + requests->len - 1) / requests->len;
  for (unsigned i = 0; i < requests->len; i++)
    {
      struct slot_hold *request
          = &g_array_index (requests, struct slot_hold, i);
      request->count = MIN (each, wanted);
      wanted -= request->count;
      if (request->count == 0)
        {
          g_array_set_size (requests, i);
          break;
        }
      struct slot_peer *peer = slot_get_peer (table, request->id);
      peer->requested_us = now;
      peer->requested = request->count;
      peer->granted_any = false;
    }
  return requests;
}

/* Counts N slots, granted or returned by PEER, against the open request to it.
   Reduces the rest as slot_defer_peer_requests does at the lender.  */
static void
count_received (struct slot_peer *peer, unsigned n, int64_t now)
{
  if (n == 0 || peer->requested_us == 0)
    return;
  bool late = now - peer->requested_us > GRANT_INTERVAL_US;
  if (!peer->granted_any && late)
    peer->requested /= LATER_DIVISOR;
  peer->requested -= MIN (peer->requested, n);
  if (!peer->granted_any && !late)
    peer->requested /= LATER_DIVISOR;
  peer->granted_any = true;
  peer->pause_us = 0;
  if (peer->requested == 0)
    peer->requested_us = 0;
}

static bool
is_live (const struct slot_table *table, claim_instance_id id)
{
  for (unsigned i = 0; i < table->domain_peers->len; i++)
    if (g_array_index (table->domain_peers, claim_instance_id, i) == id)
      return true;
  return false;
}

unsigned
slot_accept_grant (struct slot_table *table, claim_instance_id id,
                   const struct slot_worker_slots *list, unsigned n,
                   GArray *refused)
{
  unsigned taken = 0;
  /* The slots of a dead peer have been shared out already.  */
  bool usable = is_live (table, id);
  for (unsigned i = 0; i < n; i++)
    {
      struct slot_worker *worker = slot_find_worker (table, list[i].addr);
      if (!usable || worker == NULL || list[i].count > worker->slots)
        {
          g_array_append_val (refused, list[i]);
          continue;
        }
      slot_hold_adjust (worker->borrowed, &worker->n_borrowed, id,
                        (int)list[i].count);
      set_expiry (worker->borrowed, id,
                  pl_now_us (table->opts.clock) + MAX_HOLD_US);
      taken += list[i].count;
      slot_mark_idle (table, worker);
    }
  struct slot_peer *peer = slot_get_peer (table, id);
  count_received (peer, taken, pl_now_us (table->opts.clock));
  if (taken > 0)
    return taken;
  peer->requested_us = 0;
  pause_peer (peer, pl_now_us (table->opts.clock));
  return 0;
}

/* Free slots of WORKER that belong to this instance's share.  */
static unsigned
lendable (const struct slot_worker *worker)
{
  if (worker->health != SLOT_GOOD)
    return 0;
  unsigned unavailable = worker->n_lent + worker->in_use;
  unsigned own = worker->current_share > unavailable
                     ? worker->current_share - unavailable
                     : 0;
  return MIN (own, slot_free_count (worker));
}

GArray *
slot_lend (struct slot_table *table, claim_instance_id id, unsigned wanted)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct slot_worker_slots));
  unsigned all = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    all += lendable (slot_worker_at (table, i));
  unsigned left = MIN (wanted, all - all / RESERVE_DIVISOR);
  if (left == 0)
    return list;
  unsigned n = table->workers->len;
  unsigned at = (unsigned)g_rand_int_range (table->rand, 0, (gint32)n);
  for (unsigned i = 0; i < n && left > 0; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, (at + i) % n);
      unsigned count = MIN (lendable (worker), left);
      if (count == 0)
        continue;
      struct slot_worker_slots item = { .addr = worker->addr, .count = count };
      g_array_append_val (list, item);
      slot_hold_adjust (worker->lent, &worker->n_lent, id, (int)count);
      left -= count;
    }
  slot_get_peer (table, id)->lent_changed_us = pl_now_us (table->opts.clock);
  return list;
}

/* Recalls up to N slots borrowed from peer ID: they take no new task and are
   returned when their tasks have ended.  */
static void
recall (struct slot_table *table, claim_instance_id id, unsigned n)
{
  int64_t now = pl_now_us (table->opts.clock);
  for (unsigned i = 0; i < table->workers->len && n > 0; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, i);
      for (unsigned h = 0; h < worker->borrowed->len; h++)
        {
          struct slot_hold *hold
              = &g_array_index (worker->borrowed, struct slot_hold, h);
          if (hold->id != id)
            continue;
          hold->expires_us = MIN (hold->expires_us, now);
          n -= MIN (n, hold->count);
        }
      slot_mark_expired (table, worker);
    }
}

void
slot_open_peer_request (struct slot_table *table, claim_instance_id id,
                        unsigned n)
{
  struct slot_peer *peer = slot_get_peer (table, id);
  peer->wanted_slots = n;
  peer->is_new = true;
  peer->wanted_until_us = pl_now_us (table->opts.clock) + REQUEST_OPEN_US;
  recall (table, id, n);
}

bool
slot_has_peer_request (const struct slot_table *table)
{
  int64_t now = pl_now_us (table->opts.clock);
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      const struct slot_peer *peer
          = &g_array_index (table->peers, struct slot_peer, i);
      if (peer->wanted_slots > 0 && now < peer->wanted_until_us)
        return true;
    }
  return false;
}

void
slot_withdraw_request (struct slot_table *table, claim_instance_id id)
{
  slot_get_peer (table, id)->requested_us = 0;
}

void
slot_defer_peer_requests (struct slot_table *table)
{
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct slot_peer *peer
          = &g_array_index (table->peers, struct slot_peer, i);
      if (peer->is_new)
        peer->wanted_slots /= LATER_DIVISOR;
      peer->is_new = false;
    }
}

claim_instance_id
slot_serve_peer_request (struct slot_table *table, GArray **list)
{
  int64_t now = pl_now_us (table->opts.clock);
  *list = NULL;
  for (unsigned i = 0; i < table->peers->len; i++)
    {
      struct slot_peer *peer
          = &g_array_index (table->peers, struct slot_peer, i);
      bool interval_over
          = peer->served_us == 0 || now - peer->served_us >= GRANT_INTERVAL_US;
      if (peer->wanted_slots == 0 || now >= peer->wanted_until_us
          || !interval_over)
        continue;
      GArray *found = slot_lend (table, peer->id, peer->wanted_slots);
      if (found->len == 0)
        {
          g_array_unref (found);
          continue;
        }
      for (unsigned k = 0; k < found->len; k++)
        peer->wanted_slots
            -= g_array_index (found, struct slot_worker_slots, k).count;
      peer->served_us = now;
      *list = found;
      return peer->id;
    }
  return 0;
}

void
slot_take_back (struct slot_table *table, claim_instance_id id,
                const struct slot_worker_slots *list, unsigned n)
{
  unsigned returned = 0;
  for (unsigned i = 0; i < n; i++)
    {
      struct slot_worker *worker = slot_find_worker (table, list[i].addr);
      if (worker == NULL)
        continue;
      unsigned had = slot_hold_get (worker->lent, id);
      slot_hold_adjust (worker->lent, &worker->n_lent, id,
                        -(int)MIN (had, list[i].count));
      returned += MIN (had, list[i].count);
    }
  struct slot_peer *peer = slot_get_peer (table, id);
  peer->lent_changed_us = pl_now_us (table->opts.clock);
  /* A peer that returns slots although nothing was requested from it has no
     use for more.  */
  if (peer->requested_us == 0)
    peer->wanted_slots = 0;
  count_received (peer, returned, peer->lent_changed_us);
}

/* Takes EXCESS slots back that are recorded as lent to peer ID.  */
static void
reclaim (struct slot_table *table, claim_instance_id id, unsigned excess)
{
  for (unsigned i = 0; i < table->workers->len && excess > 0; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, i);
      unsigned count = MIN (slot_hold_get (worker->lent, id), excess);
      if (count == 0)
        continue;
      slot_hold_adjust (worker->lent, &worker->n_lent, id, -(int)count);
      excess -= count;
    }
}

void
slot_reconcile_lent (struct slot_table *table, claim_instance_id id,
                     unsigned total)
{
  unsigned lent = 0;
  for (unsigned i = 0; i < table->workers->len; i++)
    lent += slot_hold_get (slot_worker_at (table, i)->lent, id);
  struct slot_peer *peer = slot_get_peer (table, id);
  int64_t now = pl_now_us (table->opts.clock);
  bool lower = total < lent && now - peer->lent_changed_us >= REPORT_LAG_US;
  peer->low_report_streak = lower ? peer->low_report_streak + 1 : 0;
  if (peer->low_report_streak < MIN_LOW_REPORTS)
    return;
  peer->low_report_streak = 0;
  reclaim (table, id, lent - total);
}

/* Borrowed slots of WORKER that are to be returned: those that have been free
   for lend_idle_us, free ones that take no new task, and all free ones if the
   worker is not usable.  */
static unsigned
count_slots_to_return (const struct slot_table *table,
                       const struct slot_worker *worker)
{
  if (worker->n_borrowed == 0)
    return 0;
  unsigned own = worker->current_share > worker->n_lent
                     ? worker->current_share - worker->n_lent
                     : 0;
  unsigned used = worker->in_use > own ? worker->in_use - own : 0;
  unsigned idle = worker->n_borrowed > used ? worker->n_borrowed - used : 0;
  if (!slot_usable (worker))
    return idle;
  int64_t now = pl_now_us (table->opts.clock);
  bool idle_too_long
      = worker->idle_since_us != 0
        && now - worker->idle_since_us >= table->opts.lend_idle_us;
  return idle_too_long ? idle : MIN (idle, worker->n_expired);
}

claim_instance_id
slot_return_idle (struct slot_table *table, GArray **list)
{
  claim_instance_id to = 0;
  *list = NULL;
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, i);
      unsigned to_return = count_slots_to_return (table, worker);
      if (to_return == 0)
        continue;
      if (to == 0)
        {
          to = g_array_index (worker->borrowed, struct slot_hold, 0).id;
          *list
              = g_array_new (FALSE, FALSE, sizeof (struct slot_worker_slots));
        }
      unsigned count = MIN (to_return, slot_hold_get (worker->borrowed, to));
      if (count == 0)
        continue;
      struct slot_worker_slots item = { .addr = worker->addr, .count = count };
      g_array_append_val (*list, item);
      slot_hold_adjust (worker->borrowed, &worker->n_borrowed, to,
                        -(int)count);
      slot_mark_expired (table, worker);
    }
  return to;
}

void
slot_end_lending (struct slot_table *table, claim_instance_id id)
{
  for (unsigned i = 0; i < table->workers->len; i++)
    {
      struct slot_worker *worker = slot_worker_at (table, i);
      int lent = (int)slot_hold_get (worker->lent, id);
      int held = (int)slot_hold_get (worker->borrowed, id);
      if (lent > 0)
        slot_hold_adjust (worker->lent, &worker->n_lent, id, -lent);
      if (held > 0)
        slot_hold_adjust (worker->borrowed, &worker->n_borrowed, id, -held);
      slot_mark_expired (table, worker);
      slot_mark_idle (table, worker);
    }
  struct slot_peer *peer = slot_get_peer (table, id);
  peer->requested_us = 0;
  peer->next_request_us = 0;
  peer->wanted_slots = 0;
}

unsigned
slot_lost_requests (struct slot_table *table)
{
  unsigned lost_requests = table->lost_requests;
  table->lost_requests = 0;
  return lost_requests;
}
