/** @file
 * Several VMs, and upstreams that say that they are leaving: what VMs learn
 * from each other, in virtual time.
 *
 * Upstream 0 is in the VMs' data centre and upstream 1 in the other one, so
 * that upstream 0 gets every request that may go there.
 */
#include "hst.h"
#include "tst.h"

/* Time until all VMs know the list, each other and the load. */
#define SETTLE_MS (5 * CLK_SECOND)
/* Time in which a VM has read several load reports and has had several
 * messages of the poller. */
#define LEARN_MS (4 * CLK_SECOND)
/* Time until a VM has read a change of the list. */
#define LISTED_MS (2 * CLK_SECOND)
/* Time in which a request is served. */
#define SERVED_MS 500
/* Requests that a check sends to a VM. */
#define REQUESTS 6
#define ENTRIES 3
/* Start of the upstreams on the fleet's clock. */
#define BORN 500

/* A fleet that has settled, with FAR of its two upstreams in the other data
 * centre. */
static hst_t *
setup_far (size_t far)
{
  hst_t *h = hst_setup (&(hst_desc_t){ .entries = ENTRIES,
                                       .workers = 1,
                                       .upstreams = 2,
                                       .far_upstreams = far,
                                       .resumable = true,
                                       .load_reports = true });
  hst_born_set (h, 0, BORN);
  hst_born_set (h, 1, BORN);
  hst_advance (h, SETTLE_MS);
  return h;
}

static hst_t *
setup (void)
{
  return setup_far (1);
}

/* Sends COUNT requests to VM, one after the other.  Returns how many got their
 * whole response. */
static unsigned
served_count (hst_t *h, size_t vm, unsigned count)
{
  unsigned served = 0;
  for (unsigned i = 0; i < count; i++)
    {
      char *id = g_strdup_printf ("r-%zu-%lld", vm, (long long)hst_now (h));
      uint64_t caller = hst_stream (h, vm, "key-acme", id);
      hst_advance (h, SERVED_MS);
      const hst_response_t *r = hst_response (h, caller);
      served += r->status == 200 && r->ended && !r->aborted;
      g_free (id);
    }
  return served;
}

/* Asserts that VM serves requests and sends none to upstream 0. */
static void
check_avoided (hst_t *h, size_t vm)
{
  unsigned before = hst_received_count (h, 0);
  CU_ASSERT_EQUAL (served_count (h, vm, REQUESTS), REQUESTS);
  CU_ASSERT_EQUAL (hst_received_count (h, 0), before);
}

/* Asserts that VM sends its requests to upstream 0. */
static void
check_used (hst_t *h, size_t vm)
{
  unsigned before = hst_received_count (h, 0);
  CU_ASSERT_EQUAL (served_count (h, vm, REQUESTS), REQUESTS);
  CU_ASSERT_EQUAL (hst_received_count (h, 0), before + REQUESTS);
}

/* Has upstream 0 say that it is leaving in its response to one request of VM.
 */
static void
say_to (hst_t *h, size_t vm)
{
  unsigned before = hst_received_count (h, 0);
  hst_fault_set (h, 0, (hst_fault_t){ .says_leaving = true });
  CU_ASSERT_EQUAL (served_count (h, vm, 1), 1);
  CU_ASSERT_EQUAL (hst_received_count (h, 0), before + 1);
  hst_fault_set (h, 0, (hst_fault_t){ 0 });
}

/* Guards against a fleet in which upstream 0 gets no requests at all. */
static void
test_near_upstream_is_used (void)
{
  hst_t *h = setup ();
  for (size_t vm = 0; vm < ENTRIES; vm++)
    check_used (h, vm);
  hst_shutdown (h);
}

/* Guards against requests of VMs that have the word of an upstream's load
 * report from the VM that polls it. */
static void
test_peers_learn_of_a_report (void)
{
  hst_t *h = setup ();
  hst_fault_set (h, 0, (hst_fault_t){ .reports_leaving = true });
  hst_advance (h, LEARN_MS);
  for (size_t vm = 0; vm < ENTRIES; vm++)
    check_avoided (h, vm);
  hst_shutdown (h);
}

/* Guards against a load report of an unknown start withholding requests for
 * longer than reports say so, at any VM. */
static void
test_peers_learn_that_a_report_ends (void)
{
  hst_t *h = setup ();
  hst_born_set (h, 0, 0);
  hst_fault_set (h, 0, (hst_fault_t){ .reports_leaving = true });
  hst_advance (h, LEARN_MS);
  for (size_t vm = 0; vm < ENTRIES; vm++)
    check_avoided (h, vm);
  hst_fault_set (h, 0, (hst_fault_t){ 0 });
  hst_advance (h, LEARN_MS);
  for (size_t vm = 0; vm < ENTRIES; vm++)
    check_used (h, vm);
  hst_shutdown (h);
}

/* Guards against a peer's report, or an own load report, that knows nothing of
 * it undoing the word that a VM has in a response. */
static void
test_peers_report_does_not_undo (void)
{
  for (size_t vm = 0; vm < ENTRIES; vm++)
    {
      hst_t *h = setup ();
      say_to (h, vm);
      hst_advance (h, LEARN_MS);
      check_avoided (h, vm);
      hst_shutdown (h);
    }
}

/* Guards against requests of a VM without links to the platform and to peers,
 * and against a list or a report undoing the word when the links are back. */
static void
test_cut_off_vm_keeps_to_the_word (void)
{
  hst_t *h = setup ();
  hst_isolate (h, 0, true);
  hst_advance (h, LEARN_MS);
  say_to (h, 0);
  check_avoided (h, 0);
  hst_isolate (h, 0, false);
  hst_advance (h, SETTLE_MS);
  check_avoided (h, 0);
  hst_shutdown (h);
}

/* Guards against the word being undone when another VM begins to poll the
 * upstream, or this one does. */
static void
test_new_poller_does_not_undo (void)
{
  for (size_t killed = 1; killed < ENTRIES; killed++)
    {
      hst_t *h = setup ();
      say_to (h, 0);
      hst_kill (h, killed);
      hst_advance (h, 2 * SETTLE_MS);
      check_avoided (h, 0);
      hst_start (h, killed);
      hst_advance (h, 2 * SETTLE_MS);
      check_avoided (h, 0);
      hst_shutdown (h);
    }
}

/* Guards against a new start of the upstream getting no requests, and against
 * the word of its predecessor coming back by way of peers. */
static void
test_new_start_is_used_by_all (void)
{
  hst_t *h = setup ();
  hst_fault_set (h, 0, (hst_fault_t){ .reports_leaving = true });
  hst_advance (h, LEARN_MS);
  for (size_t vm = 0; vm < ENTRIES; vm++)
    check_avoided (h, vm);
  hst_fault_set (h, 0, (hst_fault_t){ 0 });
  hst_born_set (h, 0, hst_now (h));
  hst_advance (h, LISTED_MS);
  for (size_t vm = 0; vm < ENTRIES; vm++)
    check_used (h, vm);
  hst_advance (h, LEARN_MS);
  for (size_t vm = 0; vm < ENTRIES; vm++)
    check_used (h, vm);
  hst_shutdown (h);
}

/* Guards against a VM that starts anew sending more than one request to an
 * upstream that has said that it is leaving. */
static void
test_new_process_learns_at_once (void)
{
  hst_t *h = setup ();
  say_to (h, 0);
  hst_fault_set (h, 0, (hst_fault_t){ .says_leaving = true });
  hst_kill (h, 0);
  hst_start (h, 0);
  hst_advance (h, SETTLE_MS);
  unsigned before = hst_received_count (h, 0);
  CU_ASSERT_EQUAL (served_count (h, 0, 1), 1);
  CU_ASSERT (hst_received_count (h, 0) <= before + 1);
  check_avoided (h, 0);
  hst_shutdown (h);
}

/* Guards against items to an upstream whose load reports say that it is
 * leaving.  No VM knows the load of upstreams in the other data centre, so
 * both are near. */
static void
test_workers_learn_of_a_report (void)
{
  hst_t *h = setup_far (0);
  hst_fault_set (h, 0, (hst_fault_t){ .reports_leaving = true });
  hst_advance (h, LEARN_MS);
  unsigned before = hst_received_count (h, 0);
  unsigned other = hst_received_count (h, 1);
  (void)hst_submit (h, 0, "j", REQUESTS);
  hst_advance (h, SETTLE_MS);
  CU_ASSERT_EQUAL (hst_received_count (h, 0), before);
  CU_ASSERT_EQUAL (hst_received_count (h, 1), other + REQUESTS);
  hst_shutdown (h);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "near_upstream_is_used", test_near_upstream_is_used },
    { "peers_learn_of_a_report", test_peers_learn_of_a_report },
    { "peers_learn_that_a_report_ends", test_peers_learn_that_a_report_ends },
    { "peers_report_does_not_undo", test_peers_report_does_not_undo },
    { "cut_off_vm_keeps_to_the_word", test_cut_off_vm_keeps_to_the_word },
    { "new_poller_does_not_undo", test_new_poller_does_not_undo },
    { "new_start_is_used_by_all", test_new_start_is_used_by_all },
    { "new_process_learns_at_once", test_new_process_learns_at_once },
    { "workers_learn_of_a_report", test_workers_learn_of_a_report },
  };
  return tst_run ("leaving_fleet", cases, sizeof cases / sizeof cases[0]);
}
