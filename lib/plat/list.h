/* The platform's list of instances; private to lib/plat.  A value is JSON:
   "address" ("ip:port"), "state" ("live" or "leaving") and "role" ("worker",
   else an entry).  */
#pragma once

#include "plat.h"

/* A list of struct plat_instance; null on failure.  */
GArray *plat_list_read (struct plat *plat, struct pl_err *err);
