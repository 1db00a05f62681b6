/* Faults of a worker's tasks, set by a test with POST /standin/fault.  */
#include "standin.h"

#include <string.h>

static const char *const fault_names[N_FAULTS] = {
  [FAULT_NONE] = "none",
  [FAULT_FAIL] = "fail",
  [FAULT_REFUSE] = "refuse",
  [FAULT_STALL] = "stall",
  [FAULT_CUT_BEFORE] = "cut_before",
  [FAULT_CUT_AFTER] = "cut_after",
  [FAULT_CROSS] = "cross",
  [FAULT_SHORT] = "short",
  [FAULT_DOUBLE] = "double",
  [FAULT_OVERSIZE] = "oversize",
  [FAULT_DRIBBLE] = "dribble",
  [FAULT_LEAVING] = "leaving",
  [FAULT_SLOW] = "slow",
  [FAULT_REFUSE_LIE] = "refuse_lie",
};

const char *
fault_name (enum fault_mode mode)
{
  return fault_names[mode];
}

/* Member NAME of OBJECT, or DEFAULT_VALUE if it is not a number.  */
static double
number_member (const json_t *object, const char *name, double default_value)
{
  const json_t *value = json_object_get (object, name);
  return json_is_number (value) ? json_number_value (value) : default_value;
}

bool
fault_parse (const char *text, size_t len, int64_t now_us, struct fault *out)
{
  json_t *request = json_loadb (text, len, 0, NULL);
  const char *name = json_string_value (json_object_get (request, "mode"));
  bool known = false;
  for (int i = 0; i < N_FAULTS && name != NULL; i++)
    if (strcmp (name, fault_names[i]) == 0)
      {
        known = true;
        out->mode = (enum fault_mode)i;
      }
  out->factor = number_member (request, "factor", 10);
  out->probability = number_member (request, "probability", 1);
  int64_t for_us = (int64_t)(number_member (request, "for_ms", 0) * 1000);
  out->until_us = for_us > 0 ? now_us + for_us : 0;
  json_decref (request);
  return known;
}

enum fault_mode
fault_draw (struct worker *worker)
{
  struct fault *fault = &worker->fault;
  if (fault->until_us != 0 && g_get_monotonic_time () > fault->until_us)
    *fault = (struct fault){ .mode = FAULT_NONE };
  if (fault->mode == FAULT_NONE)
    return FAULT_NONE;
  if (fault->probability < 1
      && g_rand_double (worker->standin->rand) >= fault->probability)
    return FAULT_NONE;
  return fault->mode;
}
