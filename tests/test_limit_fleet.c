/** @file
 * A fleet in virtual time, and upstreams that name how many requests a second
 * they take from all VMs together.
 */
#include "lmt.h"
#include "tst.h"

#define ENTRIES 6
#define RUN_MS (16 * CLK_SECOND)
/* Time in which all VMs have learned of a change. */
#define LEARN_MS (2 * CLK_SECOND)
/* Part of a limit that a fleet with more to do must use: most of it. */
#define USED_MIN 0.75
/* Requests a second, far above all limits here. */
#define BUSY 40.0
/* Aim of the route: time until the first event. */
#define TARGET_MS 300

static lmt_t *
setup (size_t upstreams, uint32_t seed)
{
  return lmt_setup (&(hst_desc_t){ .entries = ENTRIES,
                                   .workers = 2,
                                   .upstreams = upstreams },
                    seed);
}

/* Has all COUNT upstreams name PER_S, so that there is nothing else to use;
 * returns the time. */
static clk_ms_t
name_all (lmt_t *t, size_t count, double per_s)
{
  for (size_t i = 0; i < count; i++)
    lmt_name (t, i, per_s);
  return hst_now (t->h);
}

/* Asserts that all COUNT upstreams, which named PER_S at FROM, have got no
 * more than it allows, and at least PART of it. */
static void
check_used (const lmt_t *t, size_t count, double per_s, clk_ms_t from,
            double part)
{
  for (size_t i = 0; i < count; i++)
    {
      CU_ASSERT (lmt_excess (t, i, per_s, from + LMT_CONTACT_MS) <= 0);
      CU_ASSERT (lmt_used (t, i, per_s, from + LMT_CONTACT_MS) >= part);
    }
}

/* Asserts that UPSTREAM has got no more than the limit PER_S allows from the
 * time on at which all VMs must keep to it, when it was named at FROM. */
static void
check_kept (const lmt_t *t, size_t upstream, double per_s, clk_ms_t from)
{
  CU_ASSERT (lmt_excess (t, upstream, per_s, from + LMT_CONTACT_MS) <= 0);
}

/* Guards against each VM sending what the upstream takes from all together,
 * and against a limit that is kept by leaving most of it unused. */
static void
test_limit_holds_over_all_vms (void)
{
  static const double limits[] = { 0.4, 1.4, 3.4, 12 };
  for (size_t i = 0; i < sizeof limits / sizeof limits[0]; i++)
    {
      lmt_t *t = setup (3, 1);
      lmt_run (t, 2 * CLK_SECOND, BUSY);
      clk_ms_t named_at = name_all (t, 3, limits[i]);
      lmt_run (t, RUN_MS, BUSY);
      check_used (t, 3, limits[i], named_at, USED_MIN);
      lmt_shutdown (t);
    }
}

/* Guards against a limit that only load reports, or only answers, name. */
static void
test_either_word_is_enough (void)
{
  for (int reports = 0; reports < 2; reports++)
    {
      lmt_t *t = setup (3, 2);
      ev_limit_t limit = { .kind = EV_LIMIT_NAMED, .per_s = 2 };
      lmt_run (t, CLK_SECOND, BUSY);
      clk_ms_t named_at = hst_now (t->h);
      for (size_t i = 0; i < 3; i++)
        hst_limit_set (t->h, i, limit, reports != 0);
      lmt_run (t, RUN_MS, BUSY);
      check_used (t, 3, 2, named_at, USED_MIN);
      lmt_shutdown (t);
    }
}

/* Guards against requests that wait until they are late when all upstreams
 * name a limit, and against refused callers that come back at one moment. */
static void
test_all_limited_refuses_at_once (void)
{
  lmt_t *t = setup (3, 3);
  lmt_run (t, CLK_SECOND, BUSY);
  for (size_t i = 0; i < 3; i++)
    lmt_name (t, i, 3);
  clk_ms_t named_at = hst_now (t->h);
  lmt_run (t, RUN_MS, BUSY);
  clk_ms_t end = hst_now (t->h);
  lmt_run (t, CLK_SECOND, 0);
  for (size_t i = 0; i < 3; i++)
    check_kept (t, i, 3, named_at);
  lmt_counts_t c = lmt_count (t, named_at + LMT_CONTACT_MS, end);
  double seconds = (double)(end - named_at - LMT_CONTACT_MS) / CLK_SECOND;
  CU_ASSERT (c.served >= USED_MIN * 3 * 3 * seconds);
  CU_ASSERT_EQUAL (c.served + c.refused, c.asked);
  CU_ASSERT (c.refused_max_ms <= TARGET_MS / 2);
  CU_ASSERT_EQUAL (c.without_retry, 0);
  CU_ASSERT (c.retry_distinct >= c.refused / 4);
  lmt_shutdown (t);
}

/* Guards against other upstreams with room being left out when some name a
 * limit. */
static void
test_others_take_what_is_left (void)
{
  lmt_t *t = setup (4, 4);
  lmt_run (t, CLK_SECOND, BUSY);
  for (size_t i = 0; i < 3; i++)
    lmt_name (t, i, 1);
  clk_ms_t named_at = hst_now (t->h);
  lmt_run (t, RUN_MS, 20);
  clk_ms_t end = hst_now (t->h);
  lmt_run (t, 2 * CLK_SECOND, 0);
  lmt_counts_t c = lmt_count (t, named_at + LEARN_MS, end);
  CU_ASSERT_EQUAL (c.served, c.asked);
  lmt_shutdown (t);
}

/* Guards against a VM that has just started sending as if there were no limit,
 * whichever VM it is, and against its start costing the others theirs. */
static void
test_restarted_vm_keeps_to_it (void)
{
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      lmt_t *t = setup (3, 5);
      lmt_run (t, CLK_SECOND, BUSY);
      clk_ms_t named_at = name_all (t, 3, 1.4);
      lmt_run (t, 5 * CLK_SECOND, BUSY);
      for (int i = 0; i < 3; i++)
        {
          hst_kill (t->h, vm);
          lmt_run (t, CLK_SECOND, BUSY);
          hst_start (t->h, vm);
          lmt_run (t, 3 * CLK_SECOND, BUSY);
        }
      check_used (t, 3, 1.4, named_at, 0.5);
      lmt_shutdown (t);
    }
}

/* Guards against a VM that is cut off, and the others without it, sending
 * together more than the upstream takes. */
static void
test_cut_off_vm_keeps_to_it (void)
{
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      lmt_t *t = setup (3, 6);
      lmt_run (t, CLK_SECOND, BUSY);
      clk_ms_t named_at = hst_now (t->h);
      lmt_name (t, 0, 1.4);
      lmt_run (t, 5 * CLK_SECOND, BUSY);
      hst_isolate (t->h, vm, true);
      lmt_run (t, 8 * CLK_SECOND, BUSY);
      hst_isolate (t->h, vm, false);
      lmt_run (t, 5 * CLK_SECOND, BUSY);
      check_kept (t, 0, 1.4, named_at);
      lmt_shutdown (t);
    }
}

/* Guards against a VM that stood still using afterwards what it was given
 * before. */
static void
test_frozen_vm_keeps_to_it (void)
{
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      lmt_t *t = setup (3, 7);
      lmt_run (t, CLK_SECOND, BUSY);
      clk_ms_t named_at = name_all (t, 3, 1.4);
      lmt_run (t, 5 * CLK_SECOND, BUSY);
      hst_freeze (t->h, vm, 2500);
      lmt_run (t, 8 * CLK_SECOND, BUSY);
      check_used (t, 3, 1.4, named_at, 0.5);
      lmt_shutdown (t);
    }
}

/* Guards against a limit that outlives its end, at any VM, and against all
 * VMs running to the upstream at once when it ends. */
static void
test_limit_ends (void)
{
  lmt_t *t = setup (2, 8);
  lmt_run (t, CLK_SECOND, BUSY);
  lmt_name (t, 0, 1);
  lmt_run (t, 6 * CLK_SECOND, BUSY);
  lmt_name (t, 0, -1);
  clk_ms_t ended_at = hst_now (t->h);
  lmt_run (t, LEARN_MS, BUSY);
  clk_ms_t learned_at = hst_now (t->h);
  lmt_run (t, 4 * CLK_SECOND, BUSY);
  clk_ms_t now = hst_now (t->h);
  unsigned first = lmt_arrivals (t, 0, learned_at, now);
  unsigned second = lmt_arrivals (t, 1, learned_at, now);
  CU_ASSERT (first >= (first + second) / 3);
  CU_ASSERT (hst_running_max (t->h, 0) <= 8 + 2);
  lmt_counts_t c = lmt_count (t, ended_at + LEARN_MS, now - CLK_SECOND);
  CU_ASSERT_EQUAL (c.served, c.asked);
  lmt_shutdown (t);
}

/* Guards against a value that was given out before a lower one was named being
 * used beside it, and against a higher one not being used. */
static void
test_value_changes (void)
{
  lmt_t *t = setup (3, 9);
  lmt_run (t, CLK_SECOND, BUSY);
  (void)name_all (t, 3, 10);
  lmt_run (t, 6 * CLK_SECOND, BUSY);
  clk_ms_t lower_at = name_all (t, 3, 1);
  lmt_run (t, 10 * CLK_SECOND, BUSY);
  for (size_t i = 0; i < 3; i++)
    check_kept (t, i, 1, lower_at);
  clk_ms_t higher_at = name_all (t, 3, 6);
  lmt_run (t, 10 * CLK_SECOND, BUSY);
  check_used (t, 3, 6, higher_at, USED_MIN);
  lmt_shutdown (t);
}

/* Guards against a new start of an upstream being held to the limit of the one
 * before. */
static void
test_new_start_is_free (void)
{
  lmt_t *t = setup (2, 10);
  hst_born_set (t->h, 0, 500);
  lmt_run (t, 2 * CLK_SECOND, BUSY);
  lmt_name (t, 0, 1);
  lmt_run (t, 6 * CLK_SECOND, BUSY);
  lmt_name (t, 0, -1);
  hst_born_set (t->h, 0, hst_now (t->h));
  lmt_run (t, LEARN_MS, BUSY);
  clk_ms_t from = hst_now (t->h);
  lmt_run (t, 4 * CLK_SECOND, BUSY);
  clk_ms_t now = hst_now (t->h);
  CU_ASSERT (lmt_arrivals (t, 0, from, now)
             >= lmt_arrivals (t, 1, from, now) / 2);
  lmt_shutdown (t);
}

/* Guards against a limit that is forgotten while the list does not name the
 * upstream for a moment. */
static void
test_relisted_upstream_keeps_its_limit (void)
{
  lmt_t *t = setup (3, 11);
  lmt_run (t, CLK_SECOND, BUSY);
  clk_ms_t named_at = hst_now (t->h);
  lmt_name (t, 0, 1.4);
  lmt_run (t, 5 * CLK_SECOND, BUSY);
  for (int i = 0; i < 4; i++)
    {
      hst_unlisted_set (t->h, 0, true);
      lmt_run (t, CLK_SECOND, BUSY);
      hst_unlisted_set (t->h, 0, false);
      lmt_run (t, CLK_SECOND, BUSY);
    }
  check_kept (t, 0, 1.4, named_at);
  lmt_shutdown (t);
}

/* Guards against a value without a meaning being taken for a limit, or for the
 * end of one. */
static void
test_malformed_value_changes_nothing (void)
{
  ev_limit_t malformed = { .kind = EV_LIMIT_MALFORMED, .text = "-1" };
  lmt_t *t = setup (2, 12);
  hst_limit_set (t->h, 0, malformed, true);
  clk_ms_t from = hst_now (t->h);
  lmt_run (t, 4 * CLK_SECOND, BUSY);
  CU_ASSERT (lmt_arrivals (t, 0, from, hst_now (t->h))
             >= lmt_arrivals (t, 1, from, hst_now (t->h)) / 2);
  clk_ms_t named_at = hst_now (t->h);
  lmt_name (t, 0, 1);
  lmt_run (t, CLK_SECOND, BUSY);
  hst_limit_set (t->h, 0, malformed, true);
  lmt_run (t, RUN_MS, BUSY);
  check_kept (t, 0, 1, named_at);
  lmt_shutdown (t);
}

/* Guards against a limit of 0 being taken for none, and against an upstream
 * that takes nothing now never being heard again. */
static void
test_limit_of_zero (void)
{
  for (int reports = 0; reports < 2; reports++)
    {
      lmt_t *t = setup (2, 13);
      ev_limit_t zero = { .kind = EV_LIMIT_NAMED, .per_s = 0 };
      ev_limit_t none = { .kind = EV_LIMIT_ABSENT };
      lmt_run (t, CLK_SECOND, BUSY);
      clk_ms_t named_at = hst_now (t->h);
      hst_limit_set (t->h, 0, zero, reports != 0);
      lmt_run (t, RUN_MS, BUSY);
      check_kept (t, 0, 0, named_at);
      hst_limit_set (t->h, 0, none, reports != 0);
      lmt_run (t, 20 * CLK_SECOND, BUSY);
      clk_ms_t from = hst_now (t->h);
      lmt_run (t, 4 * CLK_SECOND, BUSY);
      CU_ASSERT (lmt_arrivals (t, 0, from, hst_now (t->h))
                 >= lmt_arrivals (t, 1, from, hst_now (t->h)) / 2);
      lmt_shutdown (t);
    }
}

/* Guards against items that are sent beyond the limit, and against items that
 * take what callers' requests need. */
static void
test_items_give_way (void)
{
  lmt_t *t = setup (2, 14);
  lmt_run (t, CLK_SECOND, BUSY);
  lmt_name (t, 0, 3);
  lmt_name (t, 1, 3);
  clk_ms_t named_at = hst_now (t->h);
  lmt_run (t, CLK_SECOND, BUSY);
  for (size_t i = 0; i < 4; i++)
    (void)hst_submit (t->h, i, (const char *[]){ "a", "b", "c", "d" }[i], 20);
  lmt_run (t, RUN_MS, BUSY);
  clk_ms_t end = hst_now (t->h);
  lmt_run (t, CLK_SECOND, 0);
  for (size_t i = 0; i < 2; i++)
    check_kept (t, i, 3, named_at);
  lmt_counts_t c = lmt_count (t, named_at + LMT_CONTACT_MS, end);
  double seconds = (double)(end - named_at - LMT_CONTACT_MS) / CLK_SECOND;
  CU_ASSERT (c.served >= USED_MIN * 2 * 3 * seconds);
  lmt_shutdown (t);
}

/* Guards against items that never run while limits leave room for them. */
static void
test_items_use_what_is_left (void)
{
  lmt_t *t = setup (2, 15);
  lmt_name (t, 0, 3);
  lmt_name (t, 1, 3);
  clk_ms_t named_at = hst_now (t->h);
  lmt_run (t, LEARN_MS, 2);
  (void)hst_submit (t->h, 0, "a", 20);
  lmt_run (t, RUN_MS, 2);
  for (size_t i = 0; i < 2; i++)
    check_kept (t, i, 3, named_at);
  CU_ASSERT (hst_run_count (t->h, "a-0") > 0);
  CU_ASSERT (hst_run_count (t->h, "a-19") > 0);
  lmt_shutdown (t);
}

/* Guards against retries of requests that the upstream refuses unrun being
 * sent beyond the limit. */
static void
test_refused_requests_count (void)
{
  lmt_t *t = setup (2, 16);
  lmt_run (t, CLK_SECOND, BUSY);
  lmt_name (t, 0, 2);
  hst_fault_set (t->h, 0, (hst_fault_t){ .status = 503, .not_run = true });
  clk_ms_t named_at = hst_now (t->h);
  lmt_run (t, RUN_MS, BUSY);
  check_kept (t, 0, 2, named_at);
  lmt_shutdown (t);
}

/* Guards against an upstream without a VM in its data centre getting more than
 * it takes, or nothing. */
static void
test_upstream_without_a_vm_nearby (void)
{
  lmt_t *t = lmt_setup (&(hst_desc_t){ .entries = ENTRIES,
                                       .workers = 2,
                                       .upstreams = 2,
                                       .far_upstreams = 2 },
                        17);
  lmt_run (t, CLK_SECOND, BUSY);
  clk_ms_t named_at = name_all (t, 2, 2);
  lmt_run (t, RUN_MS, BUSY);
  check_used (t, 2, 2, named_at, USED_MIN);
  lmt_shutdown (t);
}

/* Guards against a limit far above what is sent slowing anything down. */
static void
test_high_limit_costs_nothing (void)
{
  lmt_t *t = setup (2, 18);
  lmt_run (t, CLK_SECOND, BUSY);
  lmt_name (t, 0, 1e6);
  lmt_name (t, 1, 1e300);
  clk_ms_t from = hst_now (t->h);
  lmt_run (t, 6 * CLK_SECOND, BUSY);
  clk_ms_t end = hst_now (t->h);
  lmt_run (t, CLK_SECOND, 0);
  lmt_counts_t c = lmt_count (t, from, end);
  CU_ASSERT_EQUAL (c.served, c.asked);
  lmt_shutdown (t);
}

/* Guards against requests that a version binds to a limited upstream holding
 * up those that may go elsewhere. */
static void
test_bound_streams_hold_up_nobody (void)
{
  lmt_t *t = setup (2, 19);
  hst_version_set (t->h, 0, "v1");
  hst_version_set (t->h, 1, "v2");
  lmt_run (t, LEARN_MS, BUSY);
  lmt_name (t, 0, 0.5);
  lmt_run (t, LEARN_MS, BUSY);
  /* Streams that v1 began and v1 must go on with. */
  for (int i = 0; i < 30; i++)
    {
      char id[24];
      g_snprintf (id, sizeof id, "t-%d", i);
      (void)hst_take_up (t->h, (size_t)i % ENTRIES, id, "q-1", "1");
    }
  clk_ms_t from = hst_now (t->h);
  lmt_run (t, 4 * CLK_SECOND, 20);
  clk_ms_t end = hst_now (t->h);
  lmt_run (t, 2 * CLK_SECOND, 0);
  lmt_counts_t c = lmt_count (t, from, end);
  CU_ASSERT_EQUAL (c.served, c.asked);
  lmt_shutdown (t);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "limit_holds_over_all_vms", test_limit_holds_over_all_vms },
    { "either_word_is_enough", test_either_word_is_enough },
    { "all_limited_refuses_at_once", test_all_limited_refuses_at_once },
    { "others_take_what_is_left", test_others_take_what_is_left },
    { "restarted_vm_keeps_to_it", test_restarted_vm_keeps_to_it },
    { "cut_off_vm_keeps_to_it", test_cut_off_vm_keeps_to_it },
    { "frozen_vm_keeps_to_it", test_frozen_vm_keeps_to_it },
    { "limit_ends", test_limit_ends },
    { "value_changes", test_value_changes },
    { "new_start_is_free", test_new_start_is_free },
    { "relisted_upstream_keeps_its_limit",
      test_relisted_upstream_keeps_its_limit },
    { "malformed_value_changes_nothing",
      test_malformed_value_changes_nothing },
    { "limit_of_zero", test_limit_of_zero },
    { "items_give_way", test_items_give_way },
    { "items_use_what_is_left", test_items_use_what_is_left },
    { "refused_requests_count", test_refused_requests_count },
    { "upstream_without_a_vm_nearby", test_upstream_without_a_vm_nearby },
    { "high_limit_costs_nothing", test_high_limit_costs_nothing },
    { "bound_streams_hold_up_nobody", test_bound_streams_hold_up_nobody },
  };
  return tst_run ("limit_fleet", cases, sizeof cases / sizeof cases[0]);
}
