/** @file
 * Upstreams that say that they are leaving in responses to items of jobs, over
 * real sockets.  A worker VM runs the items.
 */
#include "lvg.h"
#include "tst.h"

#include <string.h>

/* Items of the job that shows where items go. */
#define ITEMS 8
/* Time between two looks at what upstreams have received. */
#define LOOK_MS 20
/* Time in which an item that failed is run again, a few times over. */
#define AGAIN_MS CLK_SECOND

/* Number of requests ID that any upstream of two has received. */
static unsigned
received (const drvbed_t *b, const char *id)
{
  return drvbed_request_count (b, 0, id) + drvbed_request_count (b, 1, id);
}

/* Waits until each item of job ID has reached an upstream. */
static bool
await_items (drvbed_t *b, const char *id, size_t count)
{
  size_t seen = 0;
  for (clk_ms_t ms = 0; ms < DRVBED_WAIT_MS && seen < count; ms += LOOK_MS)
    {
      seen = 0;
      for (size_t i = 1; i <= count; i++)
        {
          char item[32];
          g_snprintf (item, sizeof item, "%s-%zu", id, i);
          seen += received (b, item) > 0;
        }
      drvbed_pass (b, LOOK_MS);
    }
  return seen == count;
}

/* Submits job ID, and waits until it has been accepted. */
static bool
submit (drvbed_t *b, const char *id, size_t count)
{
  const drvbed_answer_t *a = drvbed_submit (b, id, count);
  return drvbed_await_answer (b, a) && a->status == 202;
}

/* A bed with a worker VM and two upstreams that have responded to no item. */
static drvbed_t *
setup (void)
{
  drvbed_t *b = drvbed_setup_with (
      &(drvbed_desc_t){ .upstreams = 2, .near = true, .worker = true });
  CU_ASSERT_PTR_NOT_NULL (b);
  return b;
}

/* Submits job j with one item and has its upstream respond to it with STATUS
 * and the word; from then on both upstreams serve.  Returns the number of that
 * upstream. */
static size_t
answer_item (drvbed_t *b, int status)
{
  drvbed_says_t says = { .status = status, .header = LVG_LEAVING };
  CU_ASSERT (submit (b, "j", 1));
  CU_ASSERT (await_items (b, "j", 1));
  size_t at = drvbed_request_count (b, 1, "j-1") > 0;
  drvbed_request_t *r = drvbed_await_request (b, at, "j-1");
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r == NULL)
    return at;
  drvbed_says (b, at, &says);
  drvbed_respond (b, r);
  CU_ASSERT (drvbed_await_read (b, r->conn));
  drvbed_serve (b, 0);
  drvbed_serve (b, 1);
  return at;
}

/* Has an upstream respond to an item with STATUS and the word.  RETRIED: the
 * item is run again, elsewhere. */
static void
check_status (int status, bool retried)
{
  drvbed_t *b = setup ();
  TST_NEED (b != NULL);
  size_t at = answer_item (b, status);
  drvbed_pass (b, AGAIN_MS);
  CU_ASSERT_EQUAL (drvbed_request_count (b, at, "j-1"), 1);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 1 - at, "j-1"), retried);
  CU_ASSERT (submit (b, "k", ITEMS));
  CU_ASSERT (await_items (b, "k", ITEMS));
  CU_ASSERT_EQUAL (drvbed_request_count (b, at, NULL), 1);
  drvbed_shutdown (b);
}

/* Guards against items to an upstream that said in a success that it is
 * leaving. */
static void
test_word_in_a_success (void)
{
  check_status (200, false);
}

/* Guards against an item that failed being run again where it failed, and
 * against further items there. */
static void
test_word_in_status_500 (void)
{
  check_status (500, true);
}

/* Guards against the word being lost in a refusal. */
static void
test_word_in_status_503 (void)
{
  check_status (503, true);
}

/* Guards against the word being lost in status 422, which ends the item. */
static void
test_word_in_status_422 (void)
{
  check_status (422, false);
}

/* Guards against an item's 421 counting as the word of the upstream that was
 * meant. */
static void
test_status_421_says_nothing (void)
{
  drvbed_t *b = setup ();
  TST_NEED (b != NULL);
  size_t at = answer_item (b, 421);
  drvbed_says (b, at, &(drvbed_says_t){ .status = 200 });
  CU_ASSERT (submit (b, "k", ITEMS));
  CU_ASSERT (await_items (b, "k", ITEMS));
  CU_ASSERT (drvbed_request_count (b, at, NULL) > 1);
  drvbed_shutdown (b);
}

/* Guards against items in progress at an upstream being cut or run again after
 * its word. */
static void
test_earlier_items_end_whole (void)
{
  drvbed_t *b
      = drvbed_setup_with (&(drvbed_desc_t){ .upstreams = 1, .worker = true });
  TST_NEED (b != NULL);
  CU_ASSERT (submit (b, "j", 1));
  drvbed_request_t *earlier = drvbed_await_request (b, 0, "j-1");
  TST_NEED (earlier != NULL);
  const char *rest = lvg_begin (b, earlier);
  drvbed_says (b, 0, &(drvbed_says_t){ .header = LVG_LEAVING });
  drvbed_serve (b, 0);
  CU_ASSERT (submit (b, "k", 1));
  CU_ASSERT (await_items (b, "k", 1));
  drvbed_pass (b, LOOK_MS);
  drvbed_send (earlier->conn, rest);
  drvbed_pass (b, AGAIN_MS);
  CU_ASSERT_EQUAL (received (b, "j-1"), 1);
  drvbed_answer_t *results = drvbed_results (b, "j");
  CU_ASSERT (drvbed_await_answer (b, results));
  CU_ASSERT_PTR_NOT_NULL (strstr (results->body->str, "completed"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (results->body->str, "j-1 e1\\nj-1 e2\\nj-1 e3"));
  drvbed_shutdown (b);
}

/* Guards against items to the only upstream after its word. */
static void
test_only_upstream_leaves (void)
{
  drvbed_t *b
      = drvbed_setup_with (&(drvbed_desc_t){ .upstreams = 1, .worker = true });
  TST_NEED (b != NULL);
  drvbed_serve (b, 0);
  drvbed_says (b, 0, &(drvbed_says_t){ .header = LVG_LEAVING });
  CU_ASSERT (submit (b, "j", 1));
  CU_ASSERT (await_items (b, "j", 1));
  CU_ASSERT (submit (b, "k", ITEMS));
  drvbed_pass (b, AGAIN_MS);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, NULL), 1);
  drvbed_shutdown (b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "word_in_a_success", test_word_in_a_success },
    { "word_in_status_500", test_word_in_status_500 },
    { "word_in_status_503", test_word_in_status_503 },
    { "word_in_status_422", test_word_in_status_422 },
    { "status_421_says_nothing", test_status_421_says_nothing },
    { "earlier_items_end_whole", test_earlier_items_end_whole },
    { "only_upstream_leaves", test_only_upstream_leaves },
  };
  return tst_run ("leaving_items", cases, sizeof cases / sizeof cases[0]);
}
