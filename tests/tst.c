#include "tst.h"

#include <CUnit/TestRun.h>
#include <stdio.h>
#include <stdlib.h>

static unsigned _tst_failed;

static void
_tst_case_done (const CU_pTest test, const CU_pSuite suite,
                const CU_pFailureRecord failure)
{
  if (failure == NULL)
    return;
  _tst_failed++;
  printf ("FAIL %s/%s\n", suite->pName, test->pName);
  for (CU_pFailureRecord f = failure; f != NULL; f = f->pNext)
    printf ("  %s:%u: %s\n", f->strFileName, f->uiLineNumber, f->strCondition);
}

int
tst_run (const char *suite, const tst_case_t *cases, size_t count)
{
  if (CU_initialize_registry () != CUE_SUCCESS)
    return EXIT_FAILURE;
  CU_pSuite s = CU_add_suite (suite, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    CU_add_test (s, cases[i].name, cases[i].run);
  CU_set_test_complete_handler (_tst_case_done);
  CU_run_all_tests ();
  unsigned run = CU_get_number_of_tests_run ();
  printf ("%u passed, %u failed\n", run - _tst_failed, _tst_failed);
  CU_cleanup_registry ();
  return _tst_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
