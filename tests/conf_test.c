/* Tests of lib/conf: defaults are valid, and errors name the flag or variable
   and the range.  */
#include "conf.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

static unsigned
find_index (const char *flag)
{
  for (unsigned i = 0; i < conf_count; i++)
    if (strcmp (conf_table[i].flag, flag) == 0)
      return i;
  CU_FAIL_FATAL ("no such flag");
  return 0;
}

static void
test_defaults_are_valid (void)
{
  struct conf conf;
  struct pl_err err = { 0 };
  CU_ASSERT_FATAL (conf_init (&conf, &err));
  CU_ASSERT (conf_check (&conf, &err));
  CU_ASSERT_EQUAL (conf.job_tasks, 390);
  conf_clear (&conf);
}

static void
test_environment_sets_value (void)
{
  struct conf conf;
  struct pl_err err = { 0 };
  setenv ("PAPAYALOFT_QUEUE_TASKS", "77", 1);
  CU_ASSERT (conf_init (&conf, &err));
  CU_ASSERT_EQUAL (conf.queue_tasks, 77);
  conf_clear (&conf);
  setenv ("PAPAYALOFT_QUEUE_TASKS", "0", 1);
  CU_ASSERT_FALSE (conf_init (&conf, &err));
  CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "PAPAYALOFT_QUEUE_TASKS"));
  CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "1 to 1000000"));
  conf_clear (&conf);
  unsetenv ("PAPAYALOFT_QUEUE_TASKS");
}

/* Guards against a daemon that starts with an invalid setting.  */
static void
test_bad_values_are_named (void)
{
  struct conf conf;
  struct pl_err err = { 0 };
  CU_ASSERT_FATAL (conf_init (&conf, &err));
  CU_ASSERT_FALSE (
      conf_set (&conf, find_index ("epoch-s"), "--epoch-s", "x", &err));
  CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "--epoch-s"));
  CU_ASSERT (
      conf_set (&conf, find_index ("listen"), "--listen", "nowhere", &err));
  CU_ASSERT_FALSE (conf_check (&conf, &err));
  CU_ASSERT_PTR_NOT_NULL (strstr (err.text, "--listen"));
  conf_clear (&conf);
}

/* Guards against connections to other machines with the source address
   127.0.0.1.  */
static void
test_source_address (void)
{
  struct conf conf;
  struct pl_err err = { 0 };
  unsigned listen = find_index ("peer-listen");
  unsigned advertise = find_index ("advertise");
  CU_ASSERT_FATAL (conf_init (&conf, &err));
  CU_ASSERT_EQUAL (conf_source_ip (&conf), 0);
  CU_ASSERT (conf_set (&conf, listen, "--x", "127.9.8.7:70", &err));
  CU_ASSERT_EQUAL (conf_source_ip (&conf), 0x7f090807);
  CU_ASSERT (conf_set (&conf, advertise, "--x", "10.0.0.1:70", &err));
  CU_ASSERT (conf_check (&conf, &err));
  CU_ASSERT (conf_set (&conf, advertise, "--x", "nowhere", &err));
  CU_ASSERT_FALSE (conf_check (&conf, &err));
  conf_clear (&conf);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "defaults are valid", test_defaults_are_valid },
    { "environment sets value", test_environment_sets_value },
    { "bad values are named", test_bad_values_are_named },
    { "source address", test_source_address },
    CU_TEST_INFO_NULL,
  };
  return test_run ("conf", tests);
}
