/** @file
 * Failure rates: what a caller, a customer or a fault of all upstreams must
 * not bring about, and how soon an estimate forms and ends.
 */
#include "core/flr.h"
#include "tst.h"

#include <math.h>
#include <string.h>

/* Guards against a failing upstream that goes unnoticed, and against one that
 * stays avoided after it has recovered. */
static void
test_share_forms_and_ends (void)
{
  flr_counts_t c = { 0 };
  flr_add (&c, 1, true, 1000);
  flr_add (&c, 2, false, 1100);
  flr_add (&c, 2, true, 1200);
  flr_estimate_t e = flr_estimate (&c, 1300);
  CU_ASSERT (e.supported && e.customers == 2 && e.age_ms == 100);
  CU_ASSERT (e.share > 0.3 && e.share < 0.5 && e.weight > 2.5);
  CU_ASSERT (!flr_estimate (&c, 1300 + 5 * CLK_SECOND).supported);
  CU_ASSERT (!flr_has_failures (&c, 1300 + 6 * CLK_SECOND));
  for (int i = 0; i < 20; i++)
    flr_add (&c, 3, false, 1300);
  CU_ASSERT (flr_estimate (&c, 1300).share < 0.1);
}

/* Guards against a caller whose requests always fail. */
static void
test_one_customer_is_not_enough (void)
{
  flr_counts_t c = { 0 };
  for (int i = 0; i < 1000; i++)
    flr_add (&c, 1, true, i);
  CU_ASSERT (!flr_estimate (&c, 1000).supported);
  for (int i = 0; i < 20; i++)
    flr_add (&c, 2, false, 1000);
  flr_add (&c, 3, true, 1000);
  CU_ASSERT (flr_estimate (&c, 1000).share < 0.2);
}

/* Guards against memory that grows with the number of customers, and against a
 * time that goes back. */
static void
test_customers_are_bounded (void)
{
  flr_counts_t c = { 0 };
  for (uint64_t i = 0; i < 10000; i++)
    flr_add (&c, i, true, (clk_ms_t)i / 10);
  CU_ASSERT_EQUAL (c.customer_count, FLR_CUSTOMERS);
  double failed = c.failed;
  flr_add (&c, 1, true, -5);
  CU_ASSERT (c.failed <= failed + 1 && c.at == 999);
  CU_ASSERT (flr_is_sound (&c));
}

/* Guards against counts of a peer that are garbled. */
static void
test_unsound_counts (void)
{
  flr_counts_t c = { .failed = 3, .good = 1, .customer_count = 1 };
  c.customers[0].failed = 3;
  CU_ASSERT (flr_is_sound (&c));
  c.customers[0].failed = 4;
  CU_ASSERT (!flr_is_sound (&c));
  c = (flr_counts_t){ .failed = (double)NAN };
  CU_ASSERT (!flr_is_sound (&c));
  c = (flr_counts_t){ .good = -1 };
  CU_ASSERT (!flr_is_sound (&c));
  c = (flr_counts_t){ .failed = 1e9 };
  CU_ASSERT (!flr_is_sound (&c));
}

/* Guards against a sum that depends on the order in which VMs report. */
static void
test_counts_of_several_vms (void)
{
  flr_counts_t a = { 0 };
  flr_counts_t b = { 0 };
  flr_counts_t sum = { 0 };
  flr_add (&a, 1, true, 1000);
  flr_add (&b, 2, true, 1500);
  flr_add (&b, 2, false, 3000);
  CU_ASSERT (!flr_estimate (&a, 3000).supported);
  flr_merge (&sum, &b, 3000);
  flr_merge (&sum, &a, 3000);
  flr_merge (&a, &b, 3000);
  CU_ASSERT (flr_estimate (&a, 3000).supported);
  CU_ASSERT (fabs (a.failed - sum.failed) < 1e-9);
  CU_ASSERT_EQUAL (sum.newest_at, 3000);
}

/* Candidate I of a comparison with N failures, each of a customer of its
 * own. */
static flr_candidate_t
candidate (uint64_t i, int n)
{
  flr_candidate_t v = { .order = i };
  for (int k = 0; k < n; k++)
    flr_add (&v.counts, 100 * i + (uint64_t)k, true, 1000);
  for (int k = 0; k < 5; k++)
    flr_add (&v.counts, 1, false, 1000);
  return v;
}

/* Guards against avoiding more than a quarter, and against avoiding any when
 * all fail alike. */
static void
test_comparison (void)
{
  flr_candidate_t v[8];
  for (size_t failing = 0; failing <= 8; failing++)
    {
      size_t avoided = 0;
      for (size_t i = 0; i < 8; i++)
        v[i] = candidate (i, i < failing ? 4 : 0);
      flr_compare (v, 8, 1000);
      for (size_t i = 0; i < 8; i++)
        avoided += v[i].excess > 0.2;
      CU_ASSERT_EQUAL (avoided, failing >= 4 ? 0 : failing < 2 ? failing : 2);
    }
  flr_compare (v, 0, 1000);
  v[0] = candidate (0, 4);
  flr_compare (v, 1, 1000);
  CU_ASSERT (v[0].excess == 0);
}

/* Guards against callers whose requests fail wherever they are sent: two of
 * them are not enough either, nor one beside a single other failure. */
static void
test_customers_that_fail_everywhere (void)
{
  flr_candidate_t v[8];
  for (size_t i = 0; i < 8; i++)
    {
      v[i] = candidate (i, 0);
      for (int k = 0; k < 6 && i < 3; k++)
        flr_add (&v[i].counts, 7 + (uint64_t)k % 2, true, 1000);
    }
  flr_add (&v[0].counts, 9, true, 1000);
  flr_compare (v, 8, 1000);
  for (size_t i = 0; i < 8; i++)
    CU_ASSERT (v[i].excess == 0);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "share_forms_and_ends", test_share_forms_and_ends },
    { "one_customer_is_not_enough", test_one_customer_is_not_enough },
    { "customers_are_bounded", test_customers_are_bounded },
    { "unsound_counts", test_unsound_counts },
    { "counts_of_several_vms", test_counts_of_several_vms },
    { "comparison", test_comparison },
    { "customers_that_fail_everywhere", test_customers_that_fail_everywhere },
  };
  return tst_run ("flr", cases, sizeof cases / sizeof cases[0]);
}
