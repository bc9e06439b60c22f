/** @file
 * Test runner over CUnit: one suite a program, one line a failure.
 *
 * Use: list the cases, return tst_run (...) from main.  Prints the closing
 * line "N passed, N failed" that tools/run-tests adds up.
 * Does not isolate cases from each other: each builds its own state.
 */
#ifndef RTS_TST_H
#define RTS_TST_H

#include <CUnit/CUnit.h>
#include <stddef.h>

/** One test case. */
typedef struct
{
  const char *name;   /**< unique in its suite */
  void (*run) (void); /**< uses CUnit assertions */
} tst_case_t;

/** Assert CONDITION and leave the test when it does not hold.  CUnit's own
 * fatal assertions jump, which the static analyser cannot follow. */
#define TST_NEED(condition)                                                   \
  do                                                                          \
    {                                                                         \
      CU_ASSERT (condition);                                                  \
      if (!(condition))                                                       \
        return;                                                               \
    }                                                                         \
  while (0)

/** Run CASES (COUNT of them) as SUITE; returns the exit status of main. */
int tst_run (const char *suite, const tst_case_t *cases, size_t count);

#endif
