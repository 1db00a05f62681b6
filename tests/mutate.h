/* Damaged copies of valid texts, for tests of decoders.  */
#pragma once

#include <glib.h>
#include <string.h>

/* Returns TEXT with 1 to 5 of its bytes changed; the caller frees it.  */
static inline char *
mutate (const char *text, GRand *rand)
{
  static const char bytes[] = "{}[]\",:0-9e.\\u\x01\xff tfnAZ=";
  char *copy = g_strdup (text);
  gint32 len = (gint32)strlen (copy);
  for (int n = g_rand_int_range (rand, 1, 6); n > 0; n--)
    copy[g_rand_int_range (rand, 0, len)]
        = bytes[g_rand_int_range (rand, 0, sizeof bytes - 1)];
  return copy;
}
