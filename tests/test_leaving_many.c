/** @file
 * Many upstreams that leave at the same time, or the only one, over real
 * sockets.
 */
#include "lvg.h"
#include "tst.h"

#include <stdlib.h>

/* Longest time until a refusal that need not wait. */
#define AT_ONCE_MS 300
/* Upstreams of a data centre that a VM uses, rte_desc_t.subset. */
#define SUBSET 6
/* Requests at an upstream of 8 slots, one less than those with which it counts
 * as full by rte_desc_t.queue_max. */
#define IN_PROGRESS 9

/* Asserts that a new request ID gets a 503 at once that says when to come
 * back. */
static void
check_refused_at_once (drvbed_t *b, const char *id)
{
  const drvbed_answer_t *a = drvbed_ask (b, id);
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT_EQUAL (a->status, 503);
  CU_ASSERT (a->head_at - a->asked_at <= AT_ONCE_MS);
  CU_ASSERT (a->retry_after != NULL && atof (a->retry_after) > 0);
}

/* Has the only upstream say that it is leaving while a response is in
 * progress there, without TOUCH behind a platform that has fallen silent. */
static void
check_only_upstream (bool touch)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  if (!touch)
    drvbed_platform_silence (b);
  lvg_stream_t earlier = lvg_begin_stream (b, "e-1");
  drvbed_answer_t *a
      = lvg_answer_with (b, "r-1", (drvbed_reply_t){ .header = LVG_LEAVING });
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  drvbed_serve (b, 0);
  check_refused_at_once (b, "r-2");
  drvbed_pass (b, AT_ONCE_MS);
  check_refused_at_once (b, "r-3");
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, NULL), 2);
  lvg_end_stream (b, &earlier);
  drvbed_shutdown (b);
}

/* Guards against requests to the only upstream after its word, against a wait
 * before their refusal, and against a cut of the response in progress. */
static void
test_only_upstream_leaves (void)
{
  check_only_upstream (true);
}

/* Guards against the same behind a platform that has fallen silent. */
static void
test_only_upstream_leaves_out_of_touch (void)
{
  check_only_upstream (false);
}

/* Guards against a retry to an upstream that has said that it is leaving when
 * there is no other. */
static void
test_refusal_of_the_only_upstream (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = lvg_answer_with (
      b, "r-1", (drvbed_reply_t){ .status = 503, .header = LVG_LEAVING });
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT_EQUAL (a->status, 503);
  CU_ASSERT (a->head_at - a->asked_at <= AT_ONCE_MS);
  drvbed_serve (b, 0);
  check_refused_at_once (b, "r-2");
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, NULL), 1);
  drvbed_shutdown (b);
}

/* Guards against requests that wait in the VM for a free slot being sent after
 * the word, or waiting on when no upstream is left. */
static void
test_waiting_requests_are_refused_at_once (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  lvg_stream_t streams[IN_PROGRESS];
  for (size_t i = 0; i < IN_PROGRESS; i++)
    {
      char *id = g_strdup_printf ("e-%zu", i);
      streams[i] = lvg_begin_stream (b, id);
      g_free (id);
    }
  drvbed_answer_t *last = drvbed_ask (b, "last");
  drvbed_request_t *r = drvbed_await_request (b, 0, "last");
  TST_NEED (r != NULL);
  const drvbed_answer_t *waiting = drvbed_ask (b, "waiting");
  drvbed_pass (b, AT_ONCE_MS);
  CU_ASSERT_EQUAL (waiting->status, 0);
  drvbed_says (b, 0, &(drvbed_says_t){ .header = LVG_LEAVING });
  drvbed_respond (b, r);
  CU_ASSERT (drvbed_await_answer (b, last));
  clk_ms_t said_at = last->head_at;
  CU_ASSERT (drvbed_await_answer (b, waiting));
  CU_ASSERT_EQUAL (waiting->status, 503);
  CU_ASSERT (waiting->head_at - said_at <= AT_ONCE_MS);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "waiting"), 0);
  for (size_t i = 0; i < IN_PROGRESS; i++)
    lvg_end_stream (b, &streams[i]);
  drvbed_shutdown (b);
}

/* Guards against lost requests when all upstreams but one leave at the same
 * time. */
static void
test_the_last_one_gets_the_requests (void)
{
  drvbed_t *b
      = drvbed_setup_with (&(drvbed_desc_t){ .upstreams = 4, .near = true });
  TST_NEED (b != NULL);
  for (size_t i = 0; i < 4; i++)
    drvbed_serve (b, i);
  for (size_t i = 0; i < 3; i++)
    drvbed_says (b, i, &(drvbed_says_t){ .header = LVG_LEAVING });
  CU_ASSERT_EQUAL (lvg_served_count (b, "r", 5 * LVG_REQUESTS),
                   5 * LVG_REQUESTS);
  for (size_t i = 0; i < 3; i++)
    CU_ASSERT (drvbed_request_count (b, i, NULL) <= 1);
  CU_ASSERT (drvbed_request_count (b, 3, NULL) >= 5 * LVG_REQUESTS - 3);
  drvbed_shutdown (b);
}

/* Guards against refusals while upstreams of the data centre stay that the VM
 * has not used so far. */
static void
test_others_take_over_from_the_subset (void)
{
  drvbed_t *b = drvbed_setup_with (
      &(drvbed_desc_t){ .upstreams = SUBSET + 2, .near = true });
  TST_NEED (b != NULL);
  for (size_t i = 0; i < SUBSET + 2; i++)
    {
      drvbed_serve (b, i);
      drvbed_says (b, i, &(drvbed_says_t){ .header = LVG_LEAVING });
    }
  CU_ASSERT_EQUAL (lvg_served_count (b, "r", SUBSET + 2), SUBSET + 2);
  for (size_t i = 0; i < SUBSET + 2; i++)
    CU_ASSERT_EQUAL (drvbed_request_count (b, i, NULL), 1);
  check_refused_at_once (b, "last");
  drvbed_shutdown (b);
}

/* Sends COUNT requests that stay without a response.  Returns the number of
 * upstreams that got any. */
static size_t
hold_requests (drvbed_t *b, unsigned count)
{
  size_t used = 0;
  for (unsigned i = 0; i < count; i++)
    {
      char *id = g_strdup_printf ("held-%u", i);
      (void)drvbed_ask (b, id);
      g_free (id);
    }
  drvbed_pass (b, AT_ONCE_MS);
  for (size_t i = 0; i < SUBSET + 2; i++)
    used += drvbed_request_count (b, i, NULL) > 0;
  return used;
}

/* Guards against refusals when the list calls all upstreams draining that the
 * VM uses, and others of the data centre stay. */
static void
test_others_take_over_from_a_draining_subset (void)
{
  drvbed_t *b = drvbed_setup_with (
      &(drvbed_desc_t){ .upstreams = SUBSET + 2, .near = true });
  TST_NEED (b != NULL);
  CU_ASSERT (drvbed_await_listed (b));
  CU_ASSERT_EQUAL (hold_requests (b, 4 * SUBSET), SUBSET);
  bool used[SUBSET + 2];
  for (size_t i = 0; i < SUBSET + 2; i++)
    {
      char *name = g_strdup_printf ("up-%zu", i);
      used[i] = drvbed_request_count (b, i, NULL) > 0;
      drvbed_serve (b, i);
      if (used[i])
        drvbed_list (b, &(drvbed_entry_t){ .name = name,
                                           .upstream = i,
                                           .state = "draining" });
      g_free (name);
    }
  CU_ASSERT (drvbed_await_listed (b));
  unsigned before = 0;
  for (size_t i = 0; i < SUBSET + 2; i++)
    before += used[i] ? drvbed_request_count (b, i, NULL) : 0;
  CU_ASSERT_EQUAL (lvg_served_count (b, "next", LVG_REQUESTS), LVG_REQUESTS);
  unsigned after = 0;
  for (size_t i = 0; i < SUBSET + 2; i++)
    after += used[i] ? drvbed_request_count (b, i, NULL) : 0;
  CU_ASSERT_EQUAL (after, before);
  drvbed_shutdown (b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "only_upstream_leaves", test_only_upstream_leaves },
    { "only_upstream_leaves_out_of_touch",
      test_only_upstream_leaves_out_of_touch },
    { "refusal_of_the_only_upstream", test_refusal_of_the_only_upstream },
    { "waiting_requests_are_refused_at_once",
      test_waiting_requests_are_refused_at_once },
    { "the_last_one_gets_the_requests", test_the_last_one_gets_the_requests },
    { "others_take_over_from_the_subset",
      test_others_take_over_from_the_subset },
    { "others_take_over_from_a_draining_subset",
      test_others_take_over_from_a_draining_subset },
  };
  return tst_run ("leaving_many", cases, sizeof cases / sizeof cases[0]);
}
