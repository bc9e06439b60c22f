/** @file
 * Load estimates: news of several ages merged into one, and the choice by it.
 */
#include "core/lod.h"
#include "tst.h"

#include <math.h>

#define NOW ((clk_ms_t)100000)
#define BUSY_MS 800.0

static const lod_rules_t rules = { .choice = LOD_DRAIN };

/* The estimate at NOW + MS for a VM with OWN requests, where the others have
 * MEAN. */
static lod_estimate_t
estimate (const lod_t *l, clk_ms_t ms, uint32_t own, double mean)
{
  return lod_estimate (l, &(lod_query_t){ .now = NOW + ms,
                                          .own = own,
                                          .users = 1,
                                          .mean = mean,
                                          .busy_ms = BUSY_MS,
                                          .rules = &rules });
}

static lod_taken_t
state (lod_t *l, uint32_t total, uint32_t own, double pace, clk_ms_t at)
{
  return lod_stated (l,
                     &(lod_said_t){ .total = total,
                                    .own = own,
                                    .pace = pace,
                                    .at = at,
                                    .busy_ms = BUSY_MS },
                     at);
}

/* Guards against own requests that are counted twice, or not at all. */
static void
test_own_sends_since_a_statement_are_added (void)
{
  lod_t l = { .pace = 0 };
  CU_ASSERT_EQUAL (state (&l, 5, 2, 0, NOW), LOD_TAKEN);
  CU_ASSERT_DOUBLE_EQUAL (estimate (&l, 0, 2, 3).load, 5, 0.01);
  CU_ASSERT (estimate (&l, 0, 4, 3).load >= 7);
  CU_ASSERT_EQUAL (estimate (&l, 0, 2, 3).source, LOD_STATED);
}

/* Guards against news that goes back in time, from either source. */
static void
test_newest_word_holds (void)
{
  lod_t l = { .pace = 0 };
  lod_counted (&l, 6, 0, NOW);
  CU_ASSERT_EQUAL (state (&l, 4, 0, 0, NOW + 10), LOD_TAKEN);
  CU_ASSERT_EQUAL (state (&l, 7, 0, 0, NOW + 5), LOD_OLDER);
  lod_counted (&l, 1, 0, NOW - 100);
  CU_ASSERT_DOUBLE_EQUAL (estimate (&l, 10, 0, 4).load, 4, 0.01);
  lod_counted (&l, 2, 0, NOW + 20);
  CU_ASSERT_EQUAL (estimate (&l, 20, 0, 2).source, LOD_COUNTED);
  CU_ASSERT_DOUBLE_EQUAL (estimate (&l, 20, 0, 2).load, 2, 0.01);
}

/* Guards against an old word that counts like a new one, and against an
 * upstream whose poller is gone that counts as idle. */
static void
test_words_are_forgotten (void)
{
  lod_t l = { .pace = 0 };
  lod_counted (&l, 8, 0, NOW);
  lod_estimate_t young = estimate (&l, 0, 0, 2);
  lod_estimate_t old = estimate (&l, 1500, 0, 2);
  CU_ASSERT_DOUBLE_EQUAL (young.load, 8, 0.01);
  CU_ASSERT (old.load > 2 && old.load < 4);
  CU_ASSERT (old.deviation > young.deviation);
  CU_ASSERT_EQUAL (old.age, 1500);
  CU_ASSERT_EQUAL (estimate (&l, 60000, 1, 2).source, LOD_NONE);
  CU_ASSERT_DOUBLE_EQUAL (estimate (&l, 60000, 1, 2).load, 1, 0);
}

/* Guards against a moment's pace that is taken for a lasting one. */
static void
test_pace_is_forgotten_within_some_hundred_ms (void)
{
  lod_t l = { .pace = 0 };
  (void)state (&l, 1, 0, 1.7, NOW);
  CU_ASSERT_DOUBLE_EQUAL (estimate (&l, 0, 0, 1).pace, 1.7, 0.001);
  CU_ASSERT (estimate (&l, 600, 0, 1).pace < 1.05);
  (void)state (&l, 1, 0, 0, NOW + 5);
  CU_ASSERT (estimate (&l, 5, 0, 1).pace > 1.6);
}

/* Guards against an upstream that states for ever that it is idle while the
 * VMs have requests there. */
static void
test_contradicted_statements_are_not_used (void)
{
  lod_t l = { .pace = 0 };
  lod_counted (&l, 9, 0, NOW);
  CU_ASSERT_EQUAL (state (&l, 0, 1, 0.7, NOW + 50), LOD_CONTRADICTED);
  CU_ASSERT_EQUAL (state (&l, 0, 1, 0.7, NOW + 60), LOD_CONTRADICTED);
  CU_ASSERT (estimate (&l, 60, 1, 9).load > 8);
  CU_ASSERT_EQUAL (state (&l, 0, 1, 0.7, NOW + 70), LOD_DISTRUSTED);
  (void)state (&l, 8, 1, 0.7, NOW + 80);
  CU_ASSERT_EQUAL (estimate (&l, 80, 1, 9).source, LOD_COUNTED);
  /* It is used again later, if it is not contradicted then. */
  CU_ASSERT_EQUAL (state (&l, 3, 1, 1, NOW + 20000), LOD_TAKEN);
  CU_ASSERT_EQUAL (estimate (&l, 20000, 1, 2).source, LOD_STATED);
}

/* Guards against a sudden step in cost where the load is not certain. */
static void
test_expected_queue (void)
{
  CU_ASSERT_DOUBLE_EQUAL (lod_queued (7, 0, 8), 0, 0);
  CU_ASSERT_DOUBLE_EQUAL (lod_queued (10, 0, 8), 3, 0);
  CU_ASSERT (lod_queued (6, 1.5, 8) > 0.05);
  CU_ASSERT (lod_queued (2, 1.5, 8) < 0.001);
  CU_ASSERT_DOUBLE_EQUAL (lod_queued (40, 1.5, 8), 33, 0.001);
}

/* Guards against many VMs that choose alike, and against a candidate that is
 * chosen although it costs far more. */
static void
test_choice_in_proportion_to_the_drain (void)
{
  lod_candidate_t v[3] = { { .cost_ms = 50, .drain = lod_drain (2, 8, 1) },
                           { .cost_ms = 50, .drain = lod_drain (2, 8, 2) },
                           { .cost_ms = 500, .drain = lod_drain (0, 8, 1) } };
  unsigned chosen[3] = { 0 };
  GRand *rand = g_rand_new_with_seed (1);
  for (int i = 0; i < 3000; i++)
    chosen[lod_choose (v, 3, &rules, rand)]++;
  g_rand_free (rand);
  CU_ASSERT (chosen[0] > 1900 && chosen[0] < 2100);
  CU_ASSERT (chosen[1] > 900 && chosen[1] < 1100);
  CU_ASSERT_EQUAL (chosen[2], 0);
}

/* Guards against an index outside of the candidates, and against one that
 * costs far more, where the weights of all are 0 or have no value. */
static void
test_choice_with_extreme_costs (void)
{
  const double costs[][3] = { { 0, 1e300, 1e300 },
                              { -500, 6000, 1e9 },
                              { -1e300, 0, 1e300 },
                              { 10, INFINITY, INFINITY } };
  GRand *rand = g_rand_new_with_seed (1);
  for (size_t i = 0; i < sizeof costs / sizeof costs[0]; i++)
    for (int k = 0; k < 100; k++)
      {
        lod_candidate_t v[3];
        for (size_t c = 0; c < 3; c++)
          v[c] = (lod_candidate_t){ .cost_ms = costs[i][c],
                                    .drain = lod_drain (1e9, 8, 50) };
        CU_ASSERT_EQUAL (lod_choose (v, 3, &rules, rand), 0);
        for (size_t c = 0; c < 3; c++)
          v[c].cost_ms = k % 2 == 0 ? INFINITY : NAN;
        CU_ASSERT (lod_choose (v, 3, &rules, rand) < 3);
      }
  g_rand_free (rand);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "own_sends_since_a_statement_are_added",
      test_own_sends_since_a_statement_are_added },
    { "newest_word_holds", test_newest_word_holds },
    { "words_are_forgotten", test_words_are_forgotten },
    { "pace_is_forgotten_within_some_hundred_ms",
      test_pace_is_forgotten_within_some_hundred_ms },
    { "contradicted_statements_are_not_used",
      test_contradicted_statements_are_not_used },
    { "expected_queue", test_expected_queue },
    { "choice_in_proportion_to_the_drain",
      test_choice_in_proportion_to_the_drain },
    { "choice_with_extreme_costs", test_choice_with_extreme_costs },
  };
  return tst_run ("lod", cases, sizeof cases / sizeof cases[0]);
}
