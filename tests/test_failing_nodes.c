/** @file
 * Whole nodes with an upstream that answers a part of its requests immediately
 * with 500: online requests and items report the status of responses to the
 * router, which sends the upstream fewer requests until it has recovered.
 */
#include "hst.h"
#include "tst.h"

#include <stdio.h>

#define UPSTREAMS 6
/** Time between two online requests, and between two jobs. */
#define ONLINE_GAP_MS 20
#define JOB_GAP_MS 100
/** Items of each job. */
#define ITEMS 4

static const char *const keys[] = { "key-acme", "key-beta" };

/* Sends the load of this moment, a job or an online request; returns the time
 * to the next one. */
static clk_ms_t
load_send (hst_t *h, bool items)
{
  clk_ms_t gap = items ? JOB_GAP_MS : ONLINE_GAP_MS;
  unsigned round = (unsigned)(hst_now (h) / gap);
  /* Each customer sends at each entry VM. */
  const char *key = keys[round / 2 % 2];
  char id[16];
  g_snprintf (id, sizeof id, "r-%u", round);
  if (items)
    (void)hst_submit_as (h, round % 2, key, id, ITEMS);
  else
    (void)hst_stream (h, round % 2, key, id);
  return gap;
}

/* Sends load for MS; sets OUT to the part of all requests that each
 * upstream gets, as a multiple of an equal part. */
static void
shares (hst_t *h, clk_ms_t ms, bool items, double out[UPSTREAMS])
{
  unsigned before[UPSTREAMS];
  guint all_before = hst_arrivals (h)->len;
  for (size_t i = 0; i < UPSTREAMS; i++)
    before[i] = hst_received_count (h, i);
  for (clk_ms_t end = hst_now (h) + ms; hst_now (h) < end;)
    hst_advance (h, load_send (h, items));
  guint all = hst_arrivals (h)->len - all_before;
  CU_ASSERT (all > 50);
  for (size_t i = 0; i < UPSTREAMS; i++)
    out[i] = (double)(hst_received_count (h, i) - before[i]) * UPSTREAMS
             / (double)MAX (all, 1);
}

/* Checks that the busiest upstream gets fewer requests while TENTHS of ten
 * fail there, and is used as others are a few seconds after it has
 * recovered. */
static void
failing_check (bool items, unsigned tenths)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = UPSTREAMS,
                                       .second_customer = true,
                                       .avoid_failing = true });
  double usual[UPSTREAMS];
  double failing[UPSTREAMS];
  double soon[UPSTREAMS];
  double later[UPSTREAMS];
  size_t at = 0;
  shares (h, 3000, items, usual);
  for (size_t i = 1; i < UPSTREAMS; i++)
    at = usual[i] > usual[at] ? i : at;
  hst_fault_set (h, at,
                 (hst_fault_t){ .status = 500, .status_tenths = tenths });
  shares (h, 6000, items, failing);
  hst_fault_set (h, at, (hst_fault_t){ 0 });
  shares (h, 4000, items, soon);
  shares (h, 4000, items, later);
  CU_ASSERT (failing[at] < 0.5);
  CU_ASSERT (later[at] > 0.5);
  const char *name = "rts_route_answers_total";
  double failed = hst_counter_sum (h, name, "outcome=\"failed\"");
  double good = hst_counter_sum (h, name, "outcome=\"good\"");
  CU_ASSERT (failed >= 2 && good > 100);
  printf ("%s, %u of 10 fail: share %.2f, failing %.2f, recovered %.2f and "
          "%.2f; %.0f failed\n",
          items ? "items" : "online", tenths, usual[at], failing[at], soon[at],
          later[at], failed);
  hst_shutdown (h);
}

/* Guards against online responses whose status does not reach the router. */
static void
test_online_requests_avoid_a_failing_upstream (void)
{
  failing_check (false, 4);
  failing_check (false, 10);
}

/* Guards against responses to items whose status does not reach the router. */
static void
test_items_avoid_a_failing_upstream (void)
{
  failing_check (true, 4);
  failing_check (true, 10);
}

/* Guards against an item that is given up because it was preferred as a probe
 * of a failing upstream, although it had only one attempt left. */
static void
test_the_last_attempt_of_an_item_is_no_preferred_probe (void)
{
  const char *name = "rts_route_failing_picks_total";
  double again[3] = { 0 };
  for (uint32_t attempts = 1; attempts <= 2; attempts++)
    {
      hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = UPSTREAMS,
                                           .second_customer = true,
                                           .avoid_failing = true,
                                           .item_attempts = attempts });
      double unused[UPSTREAMS];
      hst_fault_set (h, 0, (hst_fault_t){ .status = 500 });
      shares (h, 10000, true, unused);
      again[attempts] = hst_counter_sum (h, name, "kind=\"probe\"");
      CU_ASSERT (again[attempts]
                     + hst_counter_sum (h, name, "kind=\"probe-once\"")
                 > 0);
      hst_shutdown (h);
    }
  CU_ASSERT_EQUAL (again[1], 0);
  CU_ASSERT (again[2] > 0);
}

/* Guards against a load stated in a response to an item that does not reach
 * the router of the worker. */
static void
test_load_in_a_response_to_an_item_is_learned (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .states_load = true });
  (void)hst_submit (h, 0, "j-1", 3);
  hst_advance (h, 3000);
  CU_ASSERT_EQUAL (hst_counter_sum (h, "rts_route_load_stated_total", ""), 3);
  hst_shutdown (h);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "online_requests_avoid_a_failing_upstream",
      test_online_requests_avoid_a_failing_upstream },
    { "items_avoid_a_failing_upstream", test_items_avoid_a_failing_upstream },
    { "the_last_attempt_of_an_item_is_no_preferred_probe",
      test_the_last_attempt_of_an_item_is_no_preferred_probe },
    { "load_in_a_response_to_an_item_is_learned",
      test_load_in_a_response_to_an_item_is_learned },
  };
  return tst_run ("failing_nodes", cases, sizeof cases / sizeof cases[0]);
}
