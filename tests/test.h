/* Runs the CUnit suite of a test program.  */
#pragma once

#include <CUnit/Basic.h>
#include <CUnit/TestDB.h>

/* Runs TESTS as suite NAME, prints "NAME: N passed, N failed" and returns the
   exit status.  */
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
  unsigned failed = CU_get_number_of_tests_failed ();
  unsigned run = CU_get_number_of_tests_run ();
  printf ("%s: %u passed, %u failed\n", name, run - failed, failed);
  CU_cleanup_registry ();
  return failed == 0 && run > 0 ? 0 : 1;
}
