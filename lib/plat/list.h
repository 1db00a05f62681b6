/* Private to lib/plat: the platform's list of instances.  Each has a key whose
   value is a JSON object: "address" ("ip:port"), "state" ("live" or "leaving")
   and "role" ("worker"; anything else is an entry instance).  */
#pragma once

#include "plat.h"

/* Returns an array of struct plat_instance; null on failure.  */
GArray *plat_read_instances (struct plat *plat, struct pl_err *err);
