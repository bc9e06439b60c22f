/** @file
 * Hosted fleet: batch jobs on whole nodes that the platform configures, with
 * failures of VMs, upstreams and platform.
 */
#include "hst.h"
#include "tst.h"

#include <string.h>

#define KEY "key-acme"

/* Read the results of job ID at VM from the first position on; returns the
 * number of results whose text is complete. */
static unsigned
_complete_result_count (hst_t *h, size_t vm, const char *id, unsigned events)
{
  uint64_t c = hst_results_read (h, vm, id, 0);
  hst_advance (h, 1500);
  const hst_response_t *response = hst_response (h, c);
  unsigned good = 0;
  for (guint i = 0; i < response->texts->len; i++)
    {
      GString *want = g_string_new ("e1");
      for (unsigned e = 2; e <= events; e++)
        g_string_append_printf (want, "\ne%u", e);
      good += strcmp (g_ptr_array_index (response->texts, i), want->str) == 0;
      g_string_free (want, TRUE);
    }
  return good;
}

static bool
_same_order (const hst_response_t *a, const hst_response_t *b)
{
  for (guint i = 0; i < a->ids->len && i < b->ids->len; i++)
    if (strcmp (g_ptr_array_index (a->ids, i), g_ptr_array_index (b->ids, i))
        != 0)
      return false;
  return true;
}

static void
test_job_completes_and_is_read_at_any_vm (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  uint64_t c = hst_submit (h, 0, "j-1", 5);
  hst_advance (h, 100);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 202);
  uint64_t resent = hst_submit (h, 1, "j-1", 5);
  hst_advance (h, 3000);
  CU_ASSERT_EQUAL (hst_response (h, resent)->status, 202);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 20), 5);
  CU_ASSERT_EQUAL (_complete_result_count (h, 1, "j-1", 20), 5);
  CU_ASSERT_EQUAL (hst_run_count (h, ""), 5);
  uint64_t none = hst_results_read (h, 0, "j-none", 0);
  hst_advance (h, 100);
  CU_ASSERT_EQUAL (hst_response (h, none)->status, 404);
  hst_shutdown (h);
}

/* A worker is lost with items in flight.  Another worker completes the items,
 * and results that were already listed keep their positions. */
static void
test_job_survives_its_worker (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .events = 40 });
  (void)hst_submit (h, 0, "j-1", 20);
  hst_advance (h, 700);
  uint64_t before = hst_results_read (h, 0, "j-1", 0);
  hst_advance (h, 100);
  hst_kill (h, 2);
  hst_advance (h, 100);
  hst_start (h, 2);
  hst_kill (h, 3);
  hst_advance (h, 8000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 40), 20);
  uint64_t after = hst_results_read (h, 1, "j-1", 0);
  hst_advance (h, 1500);
  CU_ASSERT (_same_order (hst_response (h, before), hst_response (h, after)));
  hst_shutdown (h);
}

/* All VMs are lost right after the job is accepted; the job still completes.
 */
static void
test_job_survives_all_vms (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  uint64_t c = hst_submit (h, 0, "j-1", 5);
  while (hst_response (h, c)->status == 0)
    hst_advance (h, 1);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 202);
  for (size_t i = 0; i < 4; i++)
    hst_kill (h, i);
  hst_advance (h, 1000);
  for (size_t i = 0; i < 4; i++)
    hst_start (h, i);
  hst_advance (h, 8000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 1, "j-1", 20), 5);
  hst_shutdown (h);
}

/* Guards against an item that runs under another id, or that brings a key to
 * an upstream, because its own headers say so (hst_submit adds both). */
static void
test_item_headers_do_not_replace_its_id (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  (void)hst_submit (h, 0, "j-1", 1);
  hst_advance (h, 3000);
  CU_ASSERT_EQUAL (hst_run_count (h, "j-1-0"), 1);
  CU_ASSERT_EQUAL (hst_run_count (h, "other"), 0);
  hst_shutdown (h);
}

static void
test_item_resumes_after_its_last_event (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1 });
  hst_fault_set (h, 0, (hst_fault_t){ .break_after = 9 });
  (void)hst_submit (h, 0, "j-1", 1);
  hst_advance (h, 3000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 20), 1);
  CU_ASSERT_STRING_EQUAL (hst_last_call (h)->resume_after, "9");
  hst_shutdown (h);
}

/* A status 422 ends an item at once; after a status 500 the item runs again,
 * up to the route's three attempts.  A failed item is still listed in the
 * results. */
static void
test_failing_item_is_dead_lettered (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1 });
  hst_fault_set (h, 0, (hst_fault_t){ .status = 422 });
  (void)hst_submit (h, 0, "j-1", 1);
  hst_advance (h, 2000);
  CU_ASSERT_EQUAL (hst_run_count (h, "j-1-0"), 1);
  hst_fault_set (h, 0, (hst_fault_t){ .status = 500 });
  (void)hst_submit (h, 0, "j-2", 1);
  hst_advance (h, 4000);
  CU_ASSERT_EQUAL (hst_run_count (h, "j-2-0"), 3);
  uint64_t c = hst_results_read (h, 0, "j-2", 0);
  hst_advance (h, 1500);
  CU_ASSERT_EQUAL (hst_response (h, c)->ids->len, 1);
  hst_shutdown (h);
}

/* Guards against sound items that are given up because one upstream, which
 * answers 500 at once and so looks idle, gets all of their attempts. */
static void
test_items_leave_a_failing_upstream (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 2, .load_reports = true });
  hst_fault_set (h, 0, (hst_fault_t){ .status = 500 });
  (void)hst_submit (h, 0, "j-1", 20);
  hst_advance (h, 8000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 20), 20);
  CU_ASSERT (hst_received_count (h, 0) <= 20);
  hst_shutdown (h);
}

/* Guards against an item that never runs because it avoids an upstream that
 * has failed it once, while the only other one takes no requests. */
static void
test_item_returns_to_an_upstream_that_failed_it (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 2, .load_reports = true });
  hst_limit_set (h, 1, (ev_limit_t){ .kind = EV_LIMIT_NAMED, .per_s = 0 },
                 true);
  hst_advance (h, 3000);
  hst_fault_set (h, 0, (hst_fault_t){ .status = 500 });
  (void)hst_submit (h, 0, "j-1", 1);
  hst_advance (h, 400);
  CU_ASSERT_EQUAL (hst_run_count (h, "j-1-0"), 1);
  hst_fault_set (h, 0, (hst_fault_t){ .status = 0 });
  hst_advance (h, 10000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 20), 1);
  hst_shutdown (h);
}

/* Largest object of the store, in bytes: an item's text is one. */
#define OBJECT_MAX ((size_t)1 << 20)
/* Bytes of an event with one byte of a text: "id: 100000", "data: x". */
#define EVENT_BYTES 16

/* The only upstream answers each run of an item as FAULT says for 3 s: no more
 * than MAX bytes are read of an answer, and the item completes afterwards. */
static void
_check_item_outlasts (hst_fault_t fault, size_t max)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1 });
  hst_fault_set (h, 0, fault);
  (void)hst_submit (h, 0, "j-1", 1);
  hst_advance (h, 3000);
  CU_ASSERT (hst_endless_sent (h, 0) > 0);
  CU_ASSERT (hst_endless_sent (h, 0) <= max);
  hst_fault_set (h, 0, (hst_fault_t){ 0 });
  hst_advance (h, 20000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 20), 1);
  hst_shutdown (h);
}

/* Guards against an item's event without end that fills the memory. */
static void
test_item_event_without_end (void)
{
  _check_item_outlasts ((hst_fault_t){ .endless = HST_ENDLESS_EVENT },
                        OBJECT_MAX);
}

/* Guards against an item's text without end, which cannot be stored. */
static void
test_item_text_without_end (void)
{
  _check_item_outlasts ((hst_fault_t){ .endless = HST_ENDLESS_EVENTS },
                        OBJECT_MAX);
}

/* Guards against events without end that add nothing to an item's text. */
static void
test_item_empty_events_without_end (void)
{
  _check_item_outlasts ((hst_fault_t){ .endless = HST_ENDLESS_EMPTY },
                        EVENT_BYTES * OBJECT_MAX);
}

/* Guards against an item's answer, other than 200, that is read for ever. */
static void
test_item_refusal_without_end (void)
{
  _check_item_outlasts (
      (hst_fault_t){ .status = 500, .endless = HST_ENDLESS_EVENT },
      OBJECT_MAX);
  _check_item_outlasts (
      (hst_fault_t){ .status = 404, .endless = HST_ENDLESS_EVENTS },
      OBJECT_MAX);
}

/* Guards against an item's answer that lasts as long as some bytes of it come,
 * too few to reach a limit of their number. */
static void
test_item_answer_that_drips (void)
{
  _check_item_outlasts ((hst_fault_t){ .endless = HST_ENDLESS_DRIP },
                        OBJECT_MAX);
  _check_item_outlasts (
      (hst_fault_t){ .status = 500, .endless = HST_ENDLESS_DRIP }, OBJECT_MAX);
}

static void
test_cancelled_job_stops_running (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1, .events = 200 });
  http_header_t key = { "Authorization", "Bearer " KEY };
  (void)hst_submit (h, 0, "j-1", 40);
  hst_advance (h, 1000);
  uint64_t end = hst_request (
      h, 1,
      &(ev_request_t){ .method = "DELETE",
                       .path = "/v1/jobs/j-1",
                       .headers = { &key, 1 },
                       .job = { .op = EV_JOB_CANCEL, .id = "j-1" } });
  hst_advance (h, 300);
  CU_ASSERT_EQUAL (hst_response (h, end)->status, 200);
  unsigned runs = hst_run_count (h, "");
  hst_advance (h, 5000);
  CU_ASSERT_EQUAL (hst_run_count (h, ""), runs);
  hst_shutdown (h);
}

/* The route allows 1000 tokens of unfinished items and each item has 10, so
 * that 90 items fit and 20 more do not. */
static void
test_job_over_queue_limit_is_refused (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .events = 2000 });
  uint64_t fits = hst_submit (h, 0, "j-1", 90);
  hst_advance (h, 200);
  uint64_t more = hst_submit (h, 1, "j-2", 20);
  hst_advance (h, 200);
  CU_ASSERT_EQUAL (hst_response (h, fits)->status, 202);
  CU_ASSERT_EQUAL (hst_response (h, more)->status, 429);
  hst_shutdown (h);
}

/* While the platform is unavailable, a job is refused with 503 and none of its
 * items runs later. */
static void
test_job_is_refused_without_the_platform (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  hst_platform_down (h, HST_MAX, true);
  uint64_t c = hst_submit (h, 0, "j-1", 3);
  hst_advance (h, 4000);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 503);
  hst_platform_down (h, HST_MAX, false);
  hst_advance (h, 5000);
  CU_ASSERT_EQUAL (hst_run_count (h, ""), 0);
  hst_shutdown (h);
}

/* Whether C was refused with a promise that nothing runs. */
static bool
_is_refused (hst_t *h, uint64_t c)
{
  int status = hst_response (h, c)->status;
  return status == 429 || status == 503;
}

/* Guards against "not run" for a job whose record is being written: the VM
 * stands still meanwhile, past its time limit for a submission, and the answer
 * to the write waits when it goes on. */
static void
test_job_in_flight_is_not_refused (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  uint64_t c = hst_submit (h, 0, "j-1", 3);
  hst_advance (h, 1);
  hst_freeze (h, 0, 2300);
  hst_advance (h, 5000);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 202);
  CU_ASSERT_EQUAL (hst_run_count (h, ""), 3);
  hst_shutdown (h);
}

/* The same where the answer to the write comes after the time limit: a write
 * that the platform refuses is repeated, and the last one is slow. */
static void
test_job_with_a_slow_write_is_not_refused (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  hst_platform_refuse (h, "jobs/");
  uint64_t c = hst_submit (h, 0, "j-1", 3);
  hst_advance (h, 1500);
  hst_platform_slow (h, 550);
  hst_advance (h, 300);
  hst_platform_refuse (h, NULL);
  hst_advance (h, 1500);
  hst_platform_slow (h, 0);
  hst_advance (h, 3000);
  CU_ASSERT (hst_response (h, c)->ended);
  if (hst_run_count (h, "") > 0)
    CU_ASSERT_FALSE (_is_refused (h, c));
  hst_shutdown (h);
}

/* Guards against 429 for a job whose first submission is still in progress at
 * the same VM: the caller of that one has gone, and meanwhile the customer's
 * limit is reached. */
static void
test_repeat_of_a_job_in_flight_is_not_refused (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .events = 2000 });
  hst_platform_slow (h, 400);
  (void)hst_submit (h, 0, "j-1", 20);
  hst_advance (h, 10);
  hst_platform_slow (h, 0);
  uint64_t other = hst_submit (h, 0, "j-2", 90);
  hst_advance (h, 100);
  CU_ASSERT_EQUAL (hst_response (h, other)->status, 202);
  uint64_t repeat = hst_submit (h, 0, "j-1", 20);
  hst_advance (h, 3000);
  CU_ASSERT (hst_run_count (h, "j-1-0") > 0);
  CU_ASSERT_FALSE (_is_refused (h, repeat));
  hst_shutdown (h);
}

/* Guards against 503, which says that nothing is done, for the end of a job
 * that is ended all the same once the platform answers again. */
static void
test_end_of_a_job_is_not_refused (void)
{
  http_header_t key = { "Authorization", "Bearer " KEY };
  hst_t *h = hst_fleet (&(hst_desc_t){ .events = 2000 });
  (void)hst_submit (h, 0, "j-1", 5);
  hst_advance (h, 500);
  hst_platform_down (h, HST_MAX, true);
  uint64_t end = hst_request (
      h, 0,
      &(ev_request_t){ .method = "DELETE",
                       .path = "/v1/jobs/j-1",
                       .headers = { &key, 1 },
                       .job = { .op = EV_JOB_CANCEL, .id = "j-1" } });
  hst_advance (h, 4000);
  CU_ASSERT_EQUAL (hst_response (h, end)->status, 504);
  hst_platform_down (h, HST_MAX, false);
  hst_shutdown (h);
}

/* A VM that the platform does not serve accepts a job through a peer and reads
 * the job's results through a peer. */
static void
test_job_through_a_peer (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ 0 });
  hst_platform_down (h, 0, true);
  hst_advance (h, 50);
  uint64_t c = hst_submit (h, 0, "j-1", 3);
  hst_advance (h, 300);
  CU_ASSERT_EQUAL (hst_response (h, c)->status, 202);
  hst_advance (h, 3000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 20), 3);
  hst_shutdown (h);
}

/* Guards against items of a service without upstreams that hold up those of
 * another, sound one at their worker, before they are late and after. */
static void
test_items_pass_those_of_a_lost_service (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){
      .upstreams = 3, .second_upstreams = 2, .waiting_tokens = 100000 });
  hst_unlisted_set (h, 0, true);
  hst_born_set (h, 0, hst_now (h));
  hst_advance (h, 1000);
  (void)hst_submit (h, 0, "j-lost-0", 50);
  (void)hst_submit (h, 1, "j-lost-1", 50);
  hst_advance (h, 1000);
  (void)hst_submit_second (h, 0, "j-sound-0", 30);
  (void)hst_submit_second (h, 1, "j-sound-1", 30);
  hst_advance (h, 6000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-sound-0", 20), 30);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-sound-1", 20), 30);
  /* Those of the first service are late now. */
  hst_advance (h, 12000);
  (void)hst_submit_second (h, 0, "j-sound-2", 30);
  hst_advance (h, 6000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-sound-2", 20), 30);
  CU_ASSERT_EQUAL (hst_run_count (h, "j-lost-0-0"), 0);
  hst_unlisted_set (h, 0, false);
  hst_born_set (h, 0, hst_now (h));
  hst_advance (h, 12000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-lost-0", 20), 50);
  hst_shutdown (h);
}

/* Guards against items of a service whose slots are all taken that hold up
 * those of another one. */
static void
test_items_pass_those_of_a_full_service (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 2,
                                       .second_upstreams = 1,
                                       .waiting_tokens = 100000,
                                       .events = 100,
                                       .gap_ms = 50 });
  /* Some of each for both workers. */
  static const char *const full[] = { "f-0", "f-1", "f-2", "f-3" };
  static const char *const sound[] = { "s-0", "s-1", "s-2", "s-3" };
  for (size_t i = 0; i < 4; i++)
    (void)hst_submit (h, 0, full[i], 50);
  hst_advance (h, 500);
  for (size_t i = 0; i < 4; i++)
    (void)hst_submit_second (h, 0, sound[i], 1);
  hst_advance (h, 8000);
  for (size_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (_complete_result_count (h, 0, sound[i], 100), 1);
  hst_shutdown (h);
}

/* A worker that is asked to retire reports that it has retired, and its jobs
 * continue at another worker. */
static void
test_worker_retires (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .events = 40 });
  (void)hst_submit (h, 0, "j-1", 10);
  hst_advance (h, 300);
  hst_retire (h, 2);
  hst_advance (h, 4000);
  CU_ASSERT (hst_retired (h, 2));
  CU_ASSERT_FALSE (hst_retired (h, 3));
  hst_kill (h, 2);
  hst_advance (h, 8000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 40), 10);
  hst_shutdown (h);
}

/* Items leave a slot free and are preempted when online requests fill the
 * slots. */
static void
test_items_are_preempted (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1, .events = 100 });
  uint64_t callers[8];
  (void)hst_submit (h, 0, "j-1", 30);
  hst_advance (h, 500);
  CU_ASSERT (hst_running_max (h, 0) <= 7);
  for (size_t i = 0; i < 8; i++)
    {
      char *id = g_strdup_printf ("r-%zu", i);
      callers[i] = hst_stream (h, i % 2, KEY, id);
      hst_advance (h, 60);
      g_free (id);
    }
  hst_advance (h, 2500);
  for (size_t i = 0; i < 8; i++)
    CU_ASSERT (hst_response (h, callers[i])->ended);
  hst_advance (h, 20000);
  CU_ASSERT_EQUAL (_complete_result_count (h, 0, "j-1", 100), 30);
  hst_shutdown (h);
}

/* Online requests arrive faster than VMs exchange their loads.  Each request
 * that takes the last free slot preempts an item at once. */
static void
test_burst_preempts_items_at_once (void)
{
  hst_t *h = hst_fleet (&(hst_desc_t){ .upstreams = 1, .events = 200 });
  (void)hst_submit (h, 0, "j-1", 30);
  hst_advance (h, 1000);
  uint64_t callers[7];
  unsigned before = hst_running_max (h, 0);
  CU_ASSERT (before >= 5);
  for (size_t i = 0; i < 7; i++)
    {
      char *id = g_strdup_printf ("r-%zu", i);
      callers[i] = hst_stream (h, i % 2, KEY, id);
      hst_advance (h, 6);
      g_free (id);
    }
  hst_advance (h, 30);
  for (size_t i = 0; i < 7; i++)
    CU_ASSERT_EQUAL (hst_response (h, callers[i])->status, 200);
  /* Enough items have been preempted for the upstream's 8 slots. */
  hst_advance (h, 50);
  CU_ASSERT (hst_running_count (h, 0) <= 8);
  hst_shutdown (h);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "job_completes_and_is_read_at_any_vm",
      test_job_completes_and_is_read_at_any_vm },
    { "job_survives_its_worker", test_job_survives_its_worker },
    { "job_survives_all_vms", test_job_survives_all_vms },
    { "item_headers_do_not_replace_its_id",
      test_item_headers_do_not_replace_its_id },
    { "item_resumes_after_its_last_event",
      test_item_resumes_after_its_last_event },
    { "failing_item_is_dead_lettered", test_failing_item_is_dead_lettered },
    { "items_leave_a_failing_upstream", test_items_leave_a_failing_upstream },
    { "item_returns_to_an_upstream_that_failed_it",
      test_item_returns_to_an_upstream_that_failed_it },
    { "item_event_without_end", test_item_event_without_end },
    { "item_text_without_end", test_item_text_without_end },
    { "item_empty_events_without_end", test_item_empty_events_without_end },
    { "item_refusal_without_end", test_item_refusal_without_end },
    { "item_answer_that_drips", test_item_answer_that_drips },
    { "cancelled_job_stops_running", test_cancelled_job_stops_running },
    { "job_over_queue_limit_is_refused",
      test_job_over_queue_limit_is_refused },
    { "job_is_refused_without_the_platform",
      test_job_is_refused_without_the_platform },
    { "job_in_flight_is_not_refused", test_job_in_flight_is_not_refused },
    { "job_with_a_slow_write_is_not_refused",
      test_job_with_a_slow_write_is_not_refused },
    { "repeat_of_a_job_in_flight_is_not_refused",
      test_repeat_of_a_job_in_flight_is_not_refused },
    { "end_of_a_job_is_not_refused", test_end_of_a_job_is_not_refused },
    { "job_through_a_peer", test_job_through_a_peer },
    { "items_pass_those_of_a_lost_service",
      test_items_pass_those_of_a_lost_service },
    { "items_pass_those_of_a_full_service",
      test_items_pass_those_of_a_full_service },
    { "worker_retires", test_worker_retires },
    { "items_are_preempted", test_items_are_preempted },
    { "burst_preempts_items_at_once", test_burst_preempts_items_at_once },
  };
  return tst_run ("hosted_jobs", cases, sizeof cases / sizeof cases[0]);
}
