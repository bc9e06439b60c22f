/** @file
 * State charts: errors in a chart and their line numbers, choice among
 * alternatives.
 */
#include "core/cht.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static const char *const states[] = { "waiting", "leased", "done" };
static const char *const events[] = { "lease", "store" };
static const char *const guards[] = { "fenced" };
static const char *const actions[] = { "count", "publish" };

#define HEAD "[chart]\nname = c\ninitial = waiting\nfinal = done\n"
#define WAITING "[waiting]\nlease = leased do count\n"

static cht_t *
load (const char *text, st_t *st)
{
  return cht_setup (NULL,
                    &(cht_desc_t){ .text = text,
                                   .states = states,
                                   .state_count = 3,
                                   .events = events,
                                   .event_count = 2,
                                   .guards = guards,
                                   .guard_count = 1,
                                   .actions = actions,
                                   .action_count = 2 },
                    st);
}

static void
test_first_alternative_whose_guard_holds (void)
{
  st_t st = { 0 };
  cht_t *c = load (HEAD WAITING
                   "[leased]\nstore = done if fenced do publish; waiting\n",
                   &st);
  TST_NEED (c != NULL);
  CU_ASSERT_EQUAL (cht_initial (c), 0);
  cht_step_t step = cht_fire (c, 1, 1, 1);
  CU_ASSERT_EQUAL (step.next, 2);
  CU_ASSERT_EQUAL (step.action_count, 1);
  CU_ASSERT_EQUAL (step.actions[0], 1);
  CU_ASSERT_EQUAL (cht_fire (c, 1, 1, 0).next, 0);
  CU_ASSERT (cht_is_final (c, 2));
  CU_ASSERT_FALSE (cht_has_event (c, 0, 1));
  cht_shutdown (c);
}

static void
expect_refused (const char *text, const char *line, const char *fault)
{
  st_t st = { 0 };
  CU_ASSERT_PTR_NULL (load (text, &st));
  CU_ASSERT_PTR_NOT_NULL (strstr (st.message, line));
  CU_ASSERT_PTR_NOT_NULL (strstr (st.message, fault));
}

static void
test_faults_are_refused_with_their_line (void)
{
  expect_refused (HEAD WAITING "[leased]\nstore = done if fresh\n", "line 8",
                  "unknown guard 'fresh'");
  expect_refused (HEAD "[waiting]\nlease = waiting\nstore = done\n"
                       "[leased]\nstore = done\n",
                  "line 8", "unreachable state 'leased'");
  expect_refused (HEAD WAITING "[leased]\nstore = gone\n", "line 8",
                  "unknown state 'gone'");
  expect_refused (HEAD WAITING "[leased]\nstore = done do sing\n", "line 8",
                  "unknown action 'sing'");
  expect_refused (HEAD WAITING "[leased]\nlease = done\n", "", "'store'");
  expect_refused (HEAD "[waiting]\nlease = leased\nstore = done\n", "",
                  "no transition leaves state 'leased'");
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "first_alternative_whose_guard_holds",
      test_first_alternative_whose_guard_holds },
    { "faults_are_refused_with_their_line",
      test_faults_are_refused_with_their_line },
  };
  return tst_run ("cht", cases, sizeof cases / sizeof cases[0]);
}
