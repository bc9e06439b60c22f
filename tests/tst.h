/** @file
 * Test runner (tst_) over CUnit: one suite in each program.
 *
 *   static const tst_case_t cases[] = { { "name", test_name } };
 *   return tst_run ("suite", cases, sizeof cases / sizeof cases[0]);
 *
 * The runner prints each failed assertion and, at the end, the line "N passed,
 * N failed" that tools/run-tests adds up.  All cases run in one process, so
 * each must create its own state.
 */
#ifndef RTS_TST_H
#define RTS_TST_H

#include <CUnit/CUnit.h>
#include <stdbool.h>
#include <stddef.h>

/** One test case. */
typedef struct
{
  const char *name;   /**< unique in its suite */
  void (*run) (void); /**< uses CUnit assertions */
} tst_case_t;

/** Asserts CONDITION, which is evaluated once, and returns from the test
 * function if it does not hold.  CUnit's own fatal assertions use longjmp,
 * which the static analyser cannot follow. */
#define TST_NEED(condition)                                                   \
  do                                                                          \
    {                                                                         \
      bool tst_holds_ = (condition);                                          \
      CU_assertImplementation (tst_holds_, __LINE__, #condition, __FILE__,    \
                               "", CU_FALSE);                                 \
      if (!tst_holds_)                                                        \
        return;                                                               \
    }                                                                         \
  while (0)

/** Runs COUNT CASES as SUITE; returns the exit status for main. */
int tst_run (const char *suite, const tst_case_t *cases, size_t count);

#endif
