/* Runs the CUnit suite of a test program.  */
#pragma once

#include <CUnit/Basic.h>
#include <CUnit/TestDB.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Whether KNOWN-RED.txt, which the environment variable PAPAYALOFT_KNOWN_RED
   names, has an entry that begins with "PROGRAM: TEST |".  */
static inline bool
test_is_known_red (const char *program, const char *test)
{
  const char *path = getenv ("PAPAYALOFT_KNOWN_RED");
  FILE *file = path == NULL ? NULL : fopen (path, "r");
  char line[1024];
  char entry[256];
  bool found = false;
  int len = snprintf (entry, sizeof entry, "%s: %s |", program, test);
  while (file != NULL && !found && fgets (line, sizeof line, file) != NULL)
    found = strncmp (line, entry, (size_t)len) == 0;
  if (file != NULL)
    (void)fclose (file);
  return found;
}

static inline bool
test_has_failed (const char *test)
{
  for (CU_pFailureRecord f = CU_get_failure_list (); f != NULL; f = f->pNext)
    if (f->pTest != NULL && strcmp (f->pTest->pName, test) == 0)
      return true;
  return false;
}

/* Returns the number of failed tests that are listed as known, and names them.
   Listed tests that pass are counted in LISTED_BUT_GREEN: their entries must
   be removed.  */
static inline unsigned
test_count_known_red (const char *name, const CU_TestInfo *tests,
                      unsigned *listed_but_green)
{
  unsigned n = 0;
  for (; tests->pName != NULL; tests++)
    {
      if (!test_is_known_red (name, tests->pName))
        continue;
      bool failed = test_has_failed (tests->pName);
      printf ("%s: %s: %s\n", failed ? "known red" : "listed but green", name,
              tests->pName);
      n += failed;
      *listed_but_green += !failed;
    }
  return n;
}

/* Runs TESTS as suite NAME, prints "NAME: N passed, N failed" and returns the
   exit status.  Failures that KNOWN-RED.txt lists count as neither.  */
static inline int
test_run (const char *name, CU_TestInfo *tests)
{
  CU_SuiteInfo suites[]
      = { { .pName = name, .pTests = tests }, CU_SUITE_INFO_NULL };
  if (CU_initialize_registry () != CUE_SUCCESS
      || CU_register_suites (suites) != CUE_SUCCESS)
    return 2;
  CU_basic_set_mode (CU_BRM_SILENT);
  CU_basic_run_tests ();
  CU_basic_show_failures (CU_get_failure_list ());
  putchar ('\n');
  unsigned green = 0;
  unsigned known = test_count_known_red (name, tests, &green);
  unsigned red = CU_get_number_of_tests_failed ();
  unsigned passed = CU_get_number_of_tests_run () - red - green;
  unsigned failed = red - known + green;
  printf ("%s: %u passed, %u failed\n", name, passed, failed);
  CU_cleanup_registry ();
  return failed == 0 && passed > 0 ? 0 : 1;
}
