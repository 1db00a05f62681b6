/* Faults of the stand-in, and its statistics.  */
#include "internal.h"

#include <string.h>

static const char *const fault_names[N_FAULTS]
    = { [FAULT_NONE] = "none",      [FAULT_DOWN] = "down",
        [FAULT_SLOW] = "slow",      [FAULT_LOSE_ANSWER] = "lose_answer",
        [FAULT_STALE] = "stale",    [FAULT_REWIND] = "rewind",
        [FAULT_GARBAGE] = "garbage" };
static const char *const call_kind_names[N_KINDS] = { [KIND_RANGE] = "range",
                                                      [KIND_TXN] = "txn",
                                                      [KIND_WATCH] = "watch",
                                                      [KIND_LEASE] = "lease",
                                                      [KIND_OTHER] = "other" };

bool
standin_set_fault (struct standin *standin, const char *mode, int ms,
                   int count)
{
  int fault = 0;
  while (fault < N_FAULTS && strcmp (mode, fault_names[fault]) != 0)
    fault++;
  if (fault == N_FAULTS || ms < 0 || count < 0)
    return false;
  g_mutex_lock (&standin->lock);
  standin->fault = (enum fault)fault;
  standin->fault_ms = ms;
  standin->fault_calls_left = count == 0 ? -1 : count;
  standin->fault_generation++;
  standin->stale_revision = MAX (1, standin->store.revision - 1);
  g_cond_broadcast (&standin->cond);
  g_mutex_unlock (&standin->lock);
  return true;
}

static bool
fault_applies_to (enum fault fault, enum call_kind call_kind)
{
  switch (fault)
    {
    case FAULT_STALE:
      return call_kind == KIND_RANGE;
    case FAULT_REWIND:
      return call_kind == KIND_WATCH;
    case FAULT_LOSE_ANSWER:
      return call_kind != KIND_RANGE && call_kind != KIND_WATCH;
    default:
      return fault != FAULT_NONE;
    }
}

enum fault
take_fault (struct standin *standin, enum call_kind call_kind)
{
  enum fault fault = standin->fault;
  if (!fault_applies_to (fault, call_kind))
    return FAULT_NONE;
  if (standin->fault_calls_left > 0 && --standin->fault_calls_left == 0)
    standin->fault = FAULT_NONE;
  return fault;
}

void
standin_compact_store (struct standin *standin)
{
  g_mutex_lock (&standin->lock);
  standin->store.compacted = standin->store.revision;
  g_mutex_unlock (&standin->lock);
}

json_t *
stats_json (struct standin *standin)
{
  json_t *calls = json_object ();
  for (int i = 0; i < N_KINDS; i++)
    json_object_set_new (calls, call_kind_names[i],
                         json_integer (standin->calls[i]));
  return json_pack ("{s:o, s:I, s:I, s:I, s:s}", "calls", calls, "watches",
                    (json_int_t)standin->watches, "writes",
                    (json_int_t)standin->store.writes, "revision",
                    (json_int_t)standin->store.revision, "fault",
                    fault_names[standin->fault]);
}

int64_t
standin_get_stat (struct standin *standin, const char *name)
{
  g_mutex_lock (&standin->lock);
  int64_t value = 0;
  for (int i = 0; i < N_KINDS; i++)
    if (strcmp (name, call_kind_names[i]) == 0)
      value = standin->calls[i];
  if (strcmp (name, "watches") == 0)
    value = standin->watches;
  if (strcmp (name, "writes") == 0)
    value = standin->store.writes;
  g_mutex_unlock (&standin->lock);
  return value;
}
