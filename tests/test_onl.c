/** @file
 * Tests of online requests while upstreams, the platform and VMs fail.
 */
#include "onlnet.h"
#include "tst.h"

#include <string.h>
#include <talloc.h>

static const onn_request_t completion = { .path = "/v1/completions" };
static const onn_request_t stream
    = { .path = "/v1/completions", .stream = true };

/** Send requests of all kinds every few milliseconds until UNTIL.  Orders are
 * also sent again, to any VM. */
static void
send_load (onn_t *n, int vms, clk_ms_t until)
{
  GRand *rand = onn_rand (n);
  for (clk_ms_t t = onn_now (n); t < until; t += 1 + g_rand_int (rand) % 20)
    {
      onn_run (n, t);
      onn_request_t spec = completion;
      double kind = g_rand_double (rand);
      if (kind < 0.3)
        spec = stream;
      if (kind > 0.6)
        spec = (onn_request_t){ .path = "/orders",
                                .order = g_rand_int_range (rand, 0, 200) };
      (void)onn_request (n, g_rand_int_range (rand, 0, vms), &spec);
    }
}

/** Numbers of requests by outcome. */
typedef struct
{
  unsigned ok;
  unsigned aborted;
  unsigned not_run;
  unsigned errors;
} tally_t;

static tally_t
tally (const onn_t *n)
{
  tally_t t = { 0 };
  for (uint64_t id = 1; id <= onn_count (n); id++)
    {
      const onn_response_t *response = onn_response (n, id);
      t.ok += response->ended && response->status == 200;
      t.aborted += response->aborted;
      t.not_run += response->not_run;
      t.errors += response->ended && response->status != 200;
    }
  return t;
}

/** Run the load on three VMs once for each of COUNT seeds, with the checks of
 * onn_check.  Returns the sums. */
static tally_t
run_seeds (uint32_t first, uint32_t count, onn_faults_t faults)
{
  tally_t sum = { 0 };
  for (uint32_t seed = first; seed < first + count; seed++)
    {
      onn_t *n = onn_setup (
          &(onn_desc_t){ .seed = seed, .vms = 3, .faults = faults });
      send_load (n, 3, 4 * CLK_SECOND);
      onn_run (n, 16 * CLK_SECOND);
      onn_check (n);
      tally_t t = tally (n);
      sum.ok += t.ok;
      sum.aborted += t.aborted;
      sum.not_run += t.not_run;
      sum.errors += t.errors;
      onn_shutdown (n);
    }
  return sum;
}

static void
test_without_faults_no_response_breaks (void)
{
  tally_t t = run_seeds (1, 2, (onn_faults_t){ 0 });
  CU_ASSERT (t.ok > 500);
  CU_ASSERT_EQUAL (t.aborted, 0);
  /* The only errors are for orders that are sent again while they run. */
  CU_ASSERT (t.errors < t.ok / 20);
}

static void
test_disconnects_during_the_response (void)
{
  tally_t t = run_seeds (10, 6, (onn_faults_t){ .disconnect = 0.2 });
  CU_ASSERT (t.ok > 0 && t.aborted > 0);
}

static void
test_truncated_responses (void)
{
  tally_t t = run_seeds (20, 6, (onn_faults_t){ .truncate = 0.2 });
  CU_ASSERT (t.ok > 0 && t.aborted > 0);
}

static void
test_responses_of_other_requests (void)
{
  tally_t t = run_seeds (30, 6, (onn_faults_t){ .swap = 0.2 });
  CU_ASSERT (t.ok > 0 && t.errors > 0);
}

static void
test_duplicated_responses (void)
{
  tally_t t = run_seeds (40, 6, (onn_faults_t){ .duplicate = 0.5 });
  CU_ASSERT (t.ok > 0);
  CU_ASSERT_EQUAL (t.aborted, 0);
}

static void
test_refused_connections_are_not_run (void)
{
  tally_t t = run_seeds (50, 6, (onn_faults_t){ .refuse = 0.5 });
  CU_ASSERT (t.ok > 0 && t.not_run > 0);
}

static void
test_silent_connections (void)
{
  tally_t t = run_seeds (60, 6, (onn_faults_t){ .silent = 0.1 });
  CU_ASSERT (t.ok > 0 && t.errors > 0);
}

static void
test_upstreams_that_are_busy (void)
{
  (void)run_seeds (70, 4, (onn_faults_t){ .busy = 0.3 });
}

static void
test_platform_loses_replies_and_refuses (void)
{
  tally_t t = run_seeds (
      80, 6,
      (onn_faults_t){ .platform_reply_lost = 0.2, .platform_down = 0.1 });
  CU_ASSERT (t.ok > 0 && t.errors > 0);
}

static void
test_vms_are_killed (void)
{
  (void)run_seeds (90, 10,
                   (onn_faults_t){ .kill = 2, .platform_reply_lost = 0.1 });
}

static void
test_all_faults_together (void)
{
  tally_t t = run_seeds (100, 20,
                         (onn_faults_t){ .refuse = 0.05,
                                         .silent = 0.03,
                                         .disconnect = 0.05,
                                         .truncate = 0.05,
                                         .swap = 0.05,
                                         .duplicate = 0.05,
                                         .busy = 0.05,
                                         .kill = 0.5,
                                         .platform_reply_lost = 0.1,
                                         .platform_down = 0.05,
                                         .caller_closes = 0.1 });
  CU_ASSERT (t.ok > 0 && t.not_run > 0 && t.aborted > 0 && t.errors > 0);
}

static void
test_silent_upstream_is_taken_out_of_use (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 5 });
  onn_upstream_faults (n, 0, &(onn_faults_t){ .silent = 1 });
  for (clk_ms_t t = 0; t < 20 * CLK_SECOND; t += 50)
    {
      onn_run (n, t);
      (void)onn_request (n, 0, &stream);
    }
  onn_run (n, CLK_MINUTE);
  onn_check (n);
  tally_t t = tally (n);
  CU_ASSERT_EQUAL (t.ok, onn_count (n));
  /* A suspected upstream occasionally gets a request that tests whether it
   * works again. */
  CU_ASSERT (onn_received (n, 0) < 20);
  onn_shutdown (n);
}

static void
test_overload_is_refused_early_and_not_run (void)
{
  /* 300 requests a second compete for 24 slots and 6 waiting places of three
   * upstreams; a request occupies its place for 1 s on average. */
  onn_t *n
      = onn_setup (&(onn_desc_t){ .seed = 6, .slots = 8, .work_ms = 1000 });
  for (clk_ms_t t = 0; t < 10 * CLK_SECOND; t += 10)
    {
      onn_run (n, t);
      (void)onn_request (n, 0, &completion);
      (void)onn_request (n, 0, &completion);
      (void)onn_request (n, 0, &completion);
    }
  onn_run (n, CLK_MINUTE);
  onn_check (n);
  tally_t t = tally (n);
  CU_ASSERT (t.ok > 200);
  CU_ASSERT (t.not_run > 1000);
  unsigned refused_at_once = 0;
  for (uint64_t id = 1; id <= onn_count (n); id++)
    {
      const onn_response_t *response = onn_response (n, id);
      /* An error says "not-run" if no upstream received the request. */
      if (response->ended && response->status != 200
          && response->received == 0)
        CU_ASSERT (response->not_run);
      refused_at_once += response->not_run
                         && response->completed_at - response->sent_at < 100;
      /* A refusal comes after the longest wait in the queue (2 s) at the
       * latest, not at the deadline. */
      CU_ASSERT (!response->not_run
                 || response->completed_at - response->sent_at <= 2020);
    }
  CU_ASSERT (refused_at_once > t.not_run * 8 / 10);
  onn_shutdown (n);
}

static void
test_leaving_vm_finishes_requests_in_progress (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 7, .work_ms = 800 });
  for (int i = 0; i < 10; i++)
    (void)onn_request (n, 0, i % 2 ? &completion : &stream);
  onn_run (n, 20);
  onl_leave (onn_onl (n, 0), onn_env (n, 0));
  CU_ASSERT_FALSE (onl_left (onn_onl (n, 0), onn_env (n, 0)));
  /* Load balancers do not know yet that the VM leaves. */
  uint64_t early = onn_request (n, 0, &completion);
  onn_run (n, 3 * CLK_SECOND);
  uint64_t late = onn_request (n, 0, &completion);
  onn_run (n, 20 * CLK_SECOND);
  onn_check (n);
  CU_ASSERT_EQUAL (onn_response (n, early)->status, 200);
  CU_ASSERT_EQUAL (onn_response (n, late)->status, 503);
  CU_ASSERT (onn_response (n, late)->not_run);
  CU_ASSERT_EQUAL (tally (n).ok, 11);
  CU_ASSERT (onl_left (onn_onl (n, 0), onn_env (n, 0)));
  onn_shutdown (n);
}

static void
test_order_resent_to_another_vm_is_replayed (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 8, .vms = 2 });
  onn_request_t order = { .path = "/orders", .order = 1 };
  uint64_t first = onn_request (n, 0, &order);
  onn_run (n, 2 * CLK_SECOND);
  uint64_t resent = onn_request (n, 1, &order);
  onn_run (n, 4 * CLK_SECOND);
  onn_check (n);
  CU_ASSERT_EQUAL (onn_response (n, first)->status, 200);
  CU_ASSERT_EQUAL (onn_response (n, resent)->status, 200);
  CU_ASSERT_EQUAL (onn_response (n, resent)->received, 0);
  CU_ASSERT_EQUAL (onn_order_runs (n, 1), 1);
  onn_shutdown (n);
}

static void
test_order_of_a_killed_vm_is_unknown_and_never_runs_again (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 9, .vms = 2, .work_ms = 2000 });
  onn_upstream_faults (n, 3, &(onn_faults_t){ .silent = 1 });
  onn_upstream_faults (n, 4, &(onn_faults_t){ .silent = 1 });
  onn_request_t order = { .path = "/orders", .order = 1 };
  (void)onn_request (n, 0, &order);
  onn_run (n, 100);
  CU_ASSERT_EQUAL (onn_order_runs (n, 1), 1);
  onn_kill (n, 0);
  for (int i = 0; i < 5; i++)
    {
      uint64_t resent = onn_request (n, i % 2, &order);
      onn_run (n, onn_now (n) + CLK_SECOND);
      CU_ASSERT_EQUAL (onn_response (n, resent)->status, 409);
      CU_ASSERT_FALSE (onn_response (n, resent)->not_run);
    }
  CU_ASSERT_EQUAL (onn_order_runs (n, 1), 1);
  onn_check (n);
  onn_shutdown (n);
}

static void
test_order_without_a_record_is_refused (void)
{
  onn_t *n = onn_setup (
      &(onn_desc_t){ .seed = 10, .faults = { .platform_down = 1 } });
  uint64_t id
      = onn_request (n, 0, &(onn_request_t){ .path = "/orders", .order = 1 });
  onn_run (n, 100);
  CU_ASSERT_EQUAL (onn_response (n, id)->status, 503);
  /* An earlier request with the same key may have run; only a record would
   * show whether it did. */
  CU_ASSERT_FALSE (onn_response (n, id)->not_run);
  CU_ASSERT_EQUAL (onn_order_runs (n, 1), 0);
  onn_check (n);
  onn_shutdown (n);
}

/* Guards against an answer that nothing proves to be whole being repeated from
 * its record as a whole one. */
static void
test_answer_ended_by_close_is_not_repeated (void)
{
  onn_t *n = onn_setup (
      &(onn_desc_t){ .seed = 13, .vms = 2, .faults = { .cut_close = 1 } });
  onn_request_t order = { .path = "/orders", .order = 4 };
  uint64_t first = onn_request (n, 0, &order);
  onn_run (n, 2 * CLK_SECOND);
  CU_ASSERT_EQUAL (onn_response (n, first)->status, 200);
  for (int vm = 0; vm < 2; vm++)
    {
      uint64_t resent = onn_request (n, vm, &order);
      onn_run (n, onn_now (n) + 2 * CLK_SECOND);
      CU_ASSERT (onn_response (n, resent)->status >= 400);
      CU_ASSERT_FALSE (onn_response (n, resent)->not_run);
    }
  CU_ASSERT_EQUAL (onn_order_runs (n, 4), 1);
  onn_shutdown (n);
}

static void
test_order_goes_on_when_its_caller_closes (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 11, .vms = 2, .work_ms = 500 });
  onn_request_t order = { .path = "/orders", .order = 3 };
  uint64_t first = onn_request (n, 0, &order);
  onn_run (n, 20);
  onl_caller_gone (onn_onl (n, 0), onn_env (n, 0), first);
  onn_run (n, 5 * CLK_SECOND);
  uint64_t resent = onn_request (n, 1, &order);
  onn_run (n, 10 * CLK_SECOND);
  CU_ASSERT_EQUAL (onn_response (n, first)->status, 0);
  CU_ASSERT_EQUAL (onn_response (n, resent)->status, 200);
  CU_ASSERT_EQUAL (onn_order_runs (n, 3), 1);
  onn_shutdown (n);
}

static void
test_withdrawn_key_ends_sent_queued_and_new_requests (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 12, .slots = 2 });
  for (int i = 0; i < 3; i++)
    onn_upstream_faults (n, i, &(onn_faults_t){ .silent = 1 });
  onn_run (n, 10 * CLK_SECOND);
  onn_request_t keyed = { .path = "/keyed" };
  uint64_t id[20];
  /* Each of three upstreams takes two requests in its slots and two more; the
   * others wait. */
  for (int i = 0; i < 20; i++)
    id[i] = onn_request (n, 0, &keyed);
  uint64_t open_request = onn_request (n, 0, &completion);
  onn_run (n, onn_now (n) + 50);
  CU_ASSERT_EQUAL (onn_withdraw (n, 0), ST_OK);
  onn_run (n, onn_now (n) + 50);
  unsigned sent = 0;
  for (int i = 0; i < 20; i++)
    {
      const onn_response_t *response = onn_response (n, id[i]);
      CU_ASSERT_EQUAL (response->status, 401);
      CU_ASSERT_EQUAL (response->not_run, response->received == 0);
      sent += response->received > 0;
    }
  CU_ASSERT_EQUAL (sent, 12);
  CU_ASSERT_EQUAL (onn_response (n, open_request)->status, 0);
  uint64_t next = onn_request (n, 0, &keyed);
  onn_run (n, onn_now (n) + 50);
  CU_ASSERT_EQUAL (onn_response (n, next)->status, 401);
  CU_ASSERT_EQUAL (onn_response (n, next)->received, 0);
  onn_run (n, onn_now (n) + 20 * CLK_SECOND);
  CU_ASSERT_EQUAL (onl_count (onn_onl (n, 0)), 0);
  onn_shutdown (n);
}

/* Time after the deadline in which a stream without progress must have ended,
 * and the deadline of the route. */
#define STALLED_MS (20 * CLK_SECOND)
#define STREAM_DEADLINE_MS (10 * CLK_SECOND)

/* The response to one stream with FAULTS after MS. */
static const onn_response_t *
stream_after (onn_t *n, clk_ms_t ms)
{
  uint64_t id = onn_request (
      n, 0, &(onn_request_t){ .path = "/v1/completions", .stream = true });
  onn_run (n, onn_now (n) + ms);
  return onn_response (n, id);
}

/* Guards against a stream that never ends because a byte of an event that does
 * not end comes now and then. */
static void
test_dripping_stream_ends (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 71, .faults = { .drip = 1 } });
  const onn_response_t *r = stream_after (n, STREAM_DEADLINE_MS + STALLED_MS);
  CU_ASSERT (r->ended || r->aborted);
  onn_shutdown (n);
}

/* Guards against a stream being cut that is past its deadline and slow, but
 * sends one whole event after another. */
static void
test_slow_sound_stream_is_not_cut (void)
{
  onn_t *n = onn_setup (&(onn_desc_t){ .seed = 72, .faults = { .slow = 1 } });
  const onn_response_t *r
      = stream_after (n, (ONN_SLOW_EVENTS + 2) * ONN_DRIP_MS);
  CU_ASSERT (r->ended && !r->aborted);
  CU_ASSERT_PTR_NOT_NULL (strstr (r->body->str, "[DONE]"));
  onn_shutdown (n);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "dripping_stream_ends", test_dripping_stream_ends },
    { "slow_sound_stream_is_not_cut", test_slow_sound_stream_is_not_cut },
    { "without_faults_no_response_breaks",
      test_without_faults_no_response_breaks },
    { "disconnects_during_the_response",
      test_disconnects_during_the_response },
    { "truncated_responses", test_truncated_responses },
    { "responses_of_other_requests", test_responses_of_other_requests },
    { "duplicated_responses", test_duplicated_responses },
    { "refused_connections_are_not_run",
      test_refused_connections_are_not_run },
    { "silent_connections", test_silent_connections },
    { "upstreams_that_are_busy", test_upstreams_that_are_busy },
    { "platform_loses_replies_and_refuses",
      test_platform_loses_replies_and_refuses },
    { "vms_are_killed", test_vms_are_killed },
    { "all_faults_together", test_all_faults_together },
    { "silent_upstream_is_taken_out_of_use",
      test_silent_upstream_is_taken_out_of_use },
    { "overload_is_refused_early_and_not_run",
      test_overload_is_refused_early_and_not_run },
    { "leaving_vm_finishes_requests_in_progress",
      test_leaving_vm_finishes_requests_in_progress },
    { "order_resent_to_another_vm_is_replayed",
      test_order_resent_to_another_vm_is_replayed },
    { "order_of_a_killed_vm_is_unknown_and_never_runs_again",
      test_order_of_a_killed_vm_is_unknown_and_never_runs_again },
    { "answer_ended_by_close_is_not_repeated",
      test_answer_ended_by_close_is_not_repeated },
    { "order_without_a_record_is_refused",
      test_order_without_a_record_is_refused },
    { "withdrawn_key_ends_sent_queued_and_new_requests",
      test_withdrawn_key_ends_sent_queued_and_new_requests },
    { "order_goes_on_when_its_caller_closes",
      test_order_goes_on_when_its_caller_closes },
  };
  return tst_run ("onl", cases, sizeof cases / sizeof cases[0]);
}
