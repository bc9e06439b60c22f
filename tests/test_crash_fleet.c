/** @file
 * A fleet in virtual time, and a part of prompts that ends each upstream that
 * begins to answer on it.
 */
#include "crl.h"
#include "tst.h"

#define ENTRIES 6
#define UPSTREAMS 6
#define RUN_MS (20 * CLK_SECOND)
/* Requests a second. */
#define SOUND 30.0
#define BAD 4.0
/* Parts of prompts: the one that ends upstreams, and others. */
#define PART_BAD 0xbadU
#define PART_FIRST 0xf1U
#define PART_OTHER 0x07U
#define PART_RARE 0x4aU
/* Restarts of VMs, of each the same number. */
#define RESTARTS 24
/* Items of a job, which fit into the upstreams together. */
#define ITEMS 24
/* Aim of the route: time until the first event. */
#define TARGET_MS 300
/* Part of the sound requests that must be served while bad ones come.  The
 * rule asks for half of what begins otherwise. */
#define SERVED_MIN 0.9

static const crl_kind_t sound = { .id = "sound",
                                  .per_s = SOUND,
                                  .parts = { PART_FIRST, PART_OTHER },
                                  .part_count = 2 };
static const crl_kind_t bad = {
  .id = "bad", .per_s = BAD, .parts = { PART_FIRST, PART_BAD }, .part_count = 2
};

static crl_t *
setup (uint32_t seed)
{
  crl_t *t = crl_setup (&(hst_desc_t){ .entries = ENTRIES,
                                       .workers = 2,
                                       .upstreams = UPSTREAMS },
                        seed);
  hst_crash_set (t->h, (hst_crash_t){ .ids = "bad" });
  /* The list names the starts from then on. */
  hst_advance (t->h, CLK_SECOND);
  return t;
}

/* When all VMs must keep the bad part away. */
static clk_ms_t
bound (const crl_t *t)
{
  return crl_ended (t) < CRL_PART_ENDS
             ? CLK_NEVER
             : crl_ended_at (t, CRL_PART_ENDS) + CRL_CONTACT_MS;
}

/* Asserts that no more requests whose ids begin with ID than the rule allows
 * have reached upstreams. */
static void
check_stopped (const crl_t *t, const char *id)
{
  CU_ASSERT (crl_ended (t) > 0);
  CU_ASSERT (crl_sent (t, id, bound (t)) <= CRL_SENT_MAX);
}

/* Asserts that the requests of KIND sent from FROM on go on. */
static void
check_served (const crl_t *t, size_t kind, clk_ms_t from)
{
  crl_counts_t c = crl_count (t, kind, from, hst_now (t->h) - 2 * CLK_SECOND);
  CU_ASSERT (c.asked >= 20);
  CU_ASSERT (c.served >= SERVED_MIN * c.asked);
}

/* Runs sound requests beside bad ones of KIND, and checks both. */
static void
run_and_check (crl_t *t, const crl_kind_t *kind)
{
  size_t s = crl_kind_add (t, &sound);
  crl_run (t, 2 * CLK_SECOND);
  clk_ms_t from = hst_now (t->h);
  (void)crl_kind_add (t, kind);
  crl_run (t, RUN_MS);
  check_stopped (t, "bad");
  check_served (t, s, from + 2 * CRL_CONTACT_MS);
}

/* Guards against requests with a part that ends upstreams going on to the next
 * upstream, whichever VM they come to, and against all that shares its first
 * part being kept away with it. */
static void
test_bad_part_is_stopped (void)
{
  for (uint32_t seed = 1; seed <= 4; seed++)
    {
      crl_t *t = setup (seed);
      run_and_check (t, &bad);
      crl_shutdown (t);
    }
}

/* Guards against only parts behind the first being looked at. */
static void
test_bad_first_part_is_stopped (void)
{
  crl_t *t = setup (5);
  run_and_check (t, &(crl_kind_t){ .id = "bad",
                                   .per_s = BAD,
                                   .parts = { PART_BAD, PART_OTHER },
                                   .part_count = 2 });
  crl_shutdown (t);
}

/* Guards against bad requests that come seldom never being counted
 * together. */
static void
test_seldom_bad_part_is_stopped (void)
{
  crl_t *t = setup (6);
  size_t s = crl_kind_add (t, &sound);
  (void)crl_kind_add (t, &(crl_kind_t){ .id = "bad",
                                        .per_s = 0.5,
                                        .parts = { PART_FIRST, PART_BAD },
                                        .part_count = 2 });
  crl_run (t, 3 * RUN_MS);
  check_stopped (t, "bad");
  check_served (t, s, bound (t) + CRL_CONTACT_MS);
  crl_shutdown (t);
}

/* Guards against an upstream whose new connections are refused, or whose
 * answers have no framing, not counting as ended. */
static void
test_bad_part_is_stopped_however_upstreams_end (void)
{
  const hst_crash_t ways[] = {
    { .ids = "bad", .refuses = true },
    { .ids = "bad", .refuses = true, .unlist_ms = 1, .down_ms = 700 },
    { .ids = "bad", .unlist_ms = 1, .break_ms = 30, .down_ms = 700 },
    { .ids = "bad", .after_events = 3 },
    { .ids = "bad", .after_events = 3, .clean = true },
  };
  for (size_t i = 0; i < sizeof ways / sizeof ways[0]; i++)
    {
      crl_t *t = setup (7);
      for (size_t u = 0; ways[i].clean && u < UPSTREAMS; u++)
        hst_fault_set (t->h, u, (hst_fault_t){ .unframed = true });
      hst_crash_set (t->h, ways[i]);
      run_and_check (t, &bad);
      crl_shutdown (t);
    }
}

/* Guards against one bad part hiding another. */
static void
test_two_bad_parts_are_stopped (void)
{
  crl_t *t = setup (8);
  size_t s = crl_kind_add (t, &sound);
  (void)crl_kind_add (t, &(crl_kind_t){ .id = "bad-a",
                                        .per_s = BAD,
                                        .parts = { PART_FIRST, PART_BAD },
                                        .part_count = 2 });
  (void)crl_kind_add (t, &(crl_kind_t){ .id = "bad-b",
                                        .per_s = BAD,
                                        .parts = { PART_FIRST, PART_RARE },
                                        .part_count = 2 });
  crl_run (t, RUN_MS);
  /* The fifth end under either is not known; the tenth is not before. */
  clk_ms_t from = crl_ended (t) >= 2 * CRL_PART_ENDS
                      ? crl_ended_at (t, 2 * CRL_PART_ENDS) + CRL_CONTACT_MS
                      : CLK_NEVER;
  CU_ASSERT (crl_sent (t, "bad-a", from) <= CRL_SENT_MAX);
  CU_ASSERT (crl_sent (t, "bad-b", from) <= CRL_SENT_MAX);
  CU_ASSERT (crl_ended (t) <= 4 * CRL_PART_ENDS);
  check_served (t, s, hst_now (t->h) - RUN_MS / 2);
  crl_shutdown (t);
}

/* Guards against a sound part that was only seen together with a bad one
 * staying blamed when requests come with it alone. */
static void
test_part_seen_with_bad_one_goes_on (void)
{
  crl_t *t = setup (9);
  (void)crl_kind_add (t, &sound);
  (void)crl_kind_add (
      t, &(crl_kind_t){ .id = "bad",
                        .per_s = BAD,
                        .parts = { PART_FIRST, PART_RARE, PART_BAD },
                        .part_count = 3 });
  crl_run (t, RUN_MS / 2);
  clk_ms_t from = hst_now (t->h);
  size_t rare
      = crl_kind_add (t, &(crl_kind_t){ .id = "rare",
                                        .per_s = SOUND / 2,
                                        .parts = { PART_FIRST, PART_RARE },
                                        .part_count = 2 });
  crl_run (t, RUN_MS);
  check_stopped (t, "bad");
  check_served (t, rare, from + 2 * CLK_SECOND);
  crl_shutdown (t);
}

/* Guards against upstreams that end by themselves having sound requests
 * refused: by chance, and several at once. */
static void
test_ends_by_chance_blame_nobody (void)
{
  for (size_t at_once = 1; at_once <= 4; at_once += 3)
    {
      crl_t *t = setup (10);
      size_t s = crl_kind_add (t, &sound);
      size_t rare
          = crl_kind_add (t, &(crl_kind_t){ .id = "rare",
                                            .per_s = 4,
                                            .parts = { PART_FIRST, PART_RARE },
                                            .part_count = 2 });
      clk_ms_t from = hst_now (t->h);
      hst_crash_set (t->h, (hst_crash_t){ .down_ms = 700 });
      for (size_t i = 0; i < 24; i++)
        {
          for (size_t k = 0; k < at_once; k++)
            hst_crash (t->h, (i + k) % UPSTREAMS);
          crl_run (t, 480 * (clk_ms_t)at_once);
        }
      crl_run (t, 4 * CLK_SECOND);
      check_served (t, s, from);
      check_served (t, rare, from);
      crl_shutdown (t);
    }
}

/* Guards against a connection that breaks, while its upstream lives on, being
 * taken for the upstream's end. */
static void
test_broken_connections_blame_nobody (void)
{
  crl_t *t = setup (11);
  size_t rare
      = crl_kind_add (t, &(crl_kind_t){ .id = "rare",
                                        .per_s = 20,
                                        .parts = { PART_FIRST, PART_RARE },
                                        .part_count = 2 });
  clk_ms_t from = hst_now (t->h);
  for (size_t i = 0; i < 40; i++)
    {
      hst_fault_set (t->h, i % UPSTREAMS, (hst_fault_t){ .break_after = 3 });
      crl_run (t, CLK_SECOND / 4);
    }
  crl_run (t, 3 * CLK_SECOND);
  crl_counts_t c = crl_count (t, rare, from, hst_now (t->h) - CLK_SECOND);
  CU_ASSERT_EQUAL (c.refused, 0);
  CU_ASSERT (c.served >= SERVED_MIN * c.asked);
  crl_shutdown (t);
}

/* Guards against an upstream that leaves as planned being taken for one that a
 * request has ended. */
static void
test_planned_leaves_blame_nobody (void)
{
  crl_t *t = setup (12);
  size_t rare
      = crl_kind_add (t, &(crl_kind_t){ .id = "rare",
                                        .per_s = 20,
                                        .parts = { PART_FIRST, PART_RARE },
                                        .part_count = 2 });
  clk_ms_t from = hst_now (t->h);
  hst_crash_set (t->h, (hst_crash_t){ .refuses = true });
  for (size_t i = 0; i < 12; i++)
    {
      hst_leaving_set (t->h, i % UPSTREAMS, true);
      crl_run (t, 100);
      hst_crash (t->h, i % UPSTREAMS);
      crl_run (t, 900);
      hst_leaving_set (t->h, i % UPSTREAMS, false);
    }
  crl_run (t, 3 * CLK_SECOND);
  crl_counts_t c = crl_count (t, rare, from, hst_now (t->h) - CLK_SECOND);
  CU_ASSERT_EQUAL (c.refused, 0);
  CU_ASSERT (c.served >= SERVED_MIN * c.asked);
  crl_shutdown (t);
}

/* Guards against a request that has just ended an upstream being sent to the
 * next one at once. */
static void
test_request_is_not_handed_on (void)
{
  crl_t *t = setup (13);
  (void)hst_prompt (t->h, 0, "bad-1", "b", bad.parts, bad.part_count);
  hst_advance (t->h, 100);
  CU_ASSERT_EQUAL (crl_ended (t), 1);
  hst_advance (t->h, 5 * CLK_SECOND);
  CU_ASSERT (crl_ended (t) <= 2);
  crl_shutdown (t);
}

/* Guards against refused callers that wait, that hear a common moment to come
 * back or none, or get a status that says that they are wrong. */
static void
test_refused_at_once_and_not_run (void)
{
  crl_t *t = setup (14);
  (void)crl_kind_add (t, &sound);
  size_t b = crl_kind_add (t, &bad);
  crl_run (t, RUN_MS);
  clk_ms_t from = hst_now (t->h);
  crl_run (t, RUN_MS / 2);
  crl_counts_t c = crl_count (t, b, from, hst_now (t->h) - CLK_SECOND);
  CU_ASSERT (c.refused + CRL_SENT_MAX >= c.asked);
  CU_ASSERT (c.refused_max_ms <= TARGET_MS / 4);
  CU_ASSERT_EQUAL (c.without_retry, 0);
  CU_ASSERT_EQUAL (c.denied, 0);
  CU_ASSERT (c.retry_distinct >= c.refused / 2);
  crl_shutdown (t);
}

/* Guards against a VM that has just started sending what all others keep
 * away, whichever VM it is. */
static void
test_restarted_vm_knows (void)
{
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      crl_t *t = setup (15);
      size_t s = crl_kind_add (t, &sound);
      (void)crl_kind_add (t, &bad);
      crl_run (t, RUN_MS / 2);
      for (int i = 0; i < 3; i++)
        {
          hst_kill (t->h, vm);
          crl_run (t, CLK_SECOND);
          hst_start (t->h, vm);
          crl_run (t, 4 * CLK_SECOND);
        }
      check_stopped (t, "bad");
      check_served (t, s, hst_now (t->h) - 8 * CLK_SECOND);
      crl_shutdown (t);
    }
}

/* Guards against a VM that has just started sending, until it has heard from
 * others, what these keep away: while the platform is away and comes back, so
 * that the document, the list of VMs and links come at different times. */
static void
test_vm_restarted_in_an_outage_knows (void)
{
  crl_t *t = setup (25);
  size_t s = crl_kind_add (t, &sound);
  (void)crl_kind_add (t, &bad);
  crl_run (t, RUN_MS / 2);
  for (size_t i = 0; i < RESTARTS; i++)
    {
      size_t vm = i % ENTRIES;
      hst_platform_down (t->h, HST_MAX, true);
      hst_kill (t->h, vm);
      crl_run (t, 200);
      hst_start (t->h, vm);
      t->entry_only = vm;
      crl_run (t, 700 + 50 * (clk_ms_t)i);
      hst_platform_down (t->h, HST_MAX, false);
      crl_run (t, 2 * CLK_SECOND);
      t->entry_only = HST_MAX;
      crl_run (t, CLK_SECOND);
    }
  check_stopped (t, "bad");
  clk_ms_t from = hst_now (t->h);
  crl_run (t, RUN_MS / 2);
  check_served (t, s, from);
  crl_shutdown (t);
}

/* Guards against a VM that was cut off, or stood still, while the others
 * learned. */
static void
test_cut_off_or_frozen_vm_learns (void)
{
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      crl_t *t = setup (16);
      (void)crl_kind_add (t, &sound);
      crl_run (t, CLK_SECOND);
      hst_isolate (t->h, vm, vm % 2 == 0);
      if (vm % 2 == 1)
        hst_freeze (t->h, vm, RUN_MS / 2);
      /* Nothing comes to it meanwhile. */
      (void)crl_kind_add (t, &bad);
      t->entry_only = (vm + 1) % ENTRIES;
      crl_run (t, RUN_MS / 2);
      hst_isolate (t->h, vm, false);
      crl_run (t, CRL_CONTACT_MS);
      clk_ms_t from = hst_now (t->h);
      t->entry_only = vm;
      crl_run (t, RUN_MS / 2);
      CU_ASSERT (crl_sent (t, "bad", from) <= CRL_SENT_MAX);
      crl_shutdown (t);
    }
}

/* Guards against a VM that is cut off from the others sending on what it has
 * seen itself. */
static void
test_cut_off_vm_stops_by_itself (void)
{
  crl_t *t = setup (17);
  size_t s = crl_kind_add (t, &sound);
  crl_run (t, CLK_SECOND);
  hst_isolate (t->h, 0, true);
  t->entry_only = 0;
  (void)crl_kind_add (t, &bad);
  crl_run (t, RUN_MS);
  check_stopped (t, "bad");
  check_served (t, s, bound (t) + CRL_CONTACT_MS);
  crl_shutdown (t);
}

/* Guards against what is known hanging on the platform's store. */
static void
test_platform_down (void)
{
  crl_t *t = setup (18);
  size_t s = crl_kind_add (t, &sound);
  crl_run (t, CLK_SECOND);
  hst_platform_down (t->h, HST_MAX, true);
  hst_crash_set (t->h, (hst_crash_t){ .ids = "bad", .down_ms = 700 });
  (void)crl_kind_add (t, &bad);
  crl_run (t, RUN_MS);
  check_stopped (t, "bad");
  check_served (t, s, bound (t) + CRL_CONTACT_MS);
  crl_shutdown (t);
}

/* Guards against a part that was blamed staying so when upstreams bear it, and
 * against trials of it all at once. */
static void
test_part_becomes_free_again (void)
{
  crl_t *t = setup (19);
  (void)crl_kind_add (t, &sound);
  size_t b = crl_kind_add (t, &bad);
  crl_run (t, 3 * CLK_SECOND);
  CU_ASSERT (crl_ended (t) > 0);
  hst_crash_set (t->h, (hst_crash_t){ .ids = NULL });
  crl_run (t, RUN_MS);
  clk_ms_t from = hst_now (t->h);
  crl_run (t, RUN_MS / 2);
  check_served (t, b, from);
  crl_shutdown (t);
}

/* Guards against parts being looked at in callers' requests only: items that
 * end upstreams. */
static void
test_items_are_stopped (void)
{
  static const uint64_t parts[] = { PART_FIRST, PART_BAD };
  crl_t *t = setup (20);
  size_t s = crl_kind_add (t, &sound);
  crl_run (t, CLK_SECOND);
  hst_item_parts_set (t->h, parts, 2);
  (void)hst_submit (t->h, 0, "bad", 20);
  crl_run (t, RUN_MS);
  check_stopped (t, "bad");
  check_served (t, s, bound (t) + CRL_CONTACT_MS);
  /* Not given up before their time. */
  uint64_t read = hst_results_read (t->h, 0, "bad", 0);
  hst_advance (t->h, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (hst_response (t->h, read)->ids->len, 0);
  crl_shutdown (t);
}

/* Guards against items that are kept away because upstreams end by
 * themselves: long items, of which none is whole between two ends. */
static void
test_items_outlive_ends_by_chance (void)
{
  static const uint64_t parts[] = { PART_FIRST, PART_RARE };
  for (uint32_t seed = 21; seed <= 24; seed++)
    {
      crl_t *t = crl_setup (&(hst_desc_t){ .entries = ENTRIES,
                                           .workers = 2,
                                           .upstreams = UPSTREAMS,
                                           .events = 150,
                                           .gap_ms = 40 },
                            seed);
      hst_crash_set (t->h, (hst_crash_t){ .down_ms = 700 });
      hst_item_parts_set (t->h, parts, 2);
      (void)hst_submit (t->h, 0, "long", ITEMS);
      for (size_t i = 0; i < 10; i++)
        {
          hst_advance (t->h, 3 * CLK_SECOND / 2);
          for (size_t k = 0; k < UPSTREAMS - 1; k++)
            hst_crash (t->h, (i + k) % UPSTREAMS);
        }
      hst_advance (t->h, RUN_MS);
      uint64_t read = hst_results_read (t->h, 0, "long", 0);
      hst_advance (t->h, 2 * CLK_SECOND);
      CU_ASSERT_EQUAL (hst_response (t->h, read)->ids->len, ITEMS);
      crl_shutdown (t);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "bad_part_is_stopped", test_bad_part_is_stopped },
    { "bad_first_part_is_stopped", test_bad_first_part_is_stopped },
    { "seldom_bad_part_is_stopped", test_seldom_bad_part_is_stopped },
    { "bad_part_is_stopped_however_upstreams_end",
      test_bad_part_is_stopped_however_upstreams_end },
    { "two_bad_parts_are_stopped", test_two_bad_parts_are_stopped },
    { "part_seen_with_bad_one_goes_on", test_part_seen_with_bad_one_goes_on },
    { "ends_by_chance_blame_nobody", test_ends_by_chance_blame_nobody },
    { "broken_connections_blame_nobody",
      test_broken_connections_blame_nobody },
    { "planned_leaves_blame_nobody", test_planned_leaves_blame_nobody },
    { "request_is_not_handed_on", test_request_is_not_handed_on },
    { "refused_at_once_and_not_run", test_refused_at_once_and_not_run },
    { "restarted_vm_knows", test_restarted_vm_knows },
    { "vm_restarted_in_an_outage_knows",
      test_vm_restarted_in_an_outage_knows },
    { "cut_off_or_frozen_vm_learns", test_cut_off_or_frozen_vm_learns },
    { "cut_off_vm_stops_by_itself", test_cut_off_vm_stops_by_itself },
    { "platform_down", test_platform_down },
    { "part_becomes_free_again", test_part_becomes_free_again },
    { "items_are_stopped", test_items_are_stopped },
    { "items_outlive_ends_by_chance", test_items_outlive_ends_by_chance },
  };
  return tst_run ("crash_fleet", cases, sizeof cases / sizeof cases[0]);
}
