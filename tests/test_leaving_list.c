/** @file
 * Upstreams that have said that they are leaving, over real sockets: what the
 * platform's list and load reports say of them afterwards, and new starts.
 */
#include "lvg.h"
#include "tst.h"

#include <string.h>

/* Load reports that come after what a test changes. */
#define REPORTS 2
/* How long before a test's bed its upstreams have started. */
#define AGE_MS (60 * CLK_SECOND)

/* How far the clock of an upstream may be ahead. */
#define SKEW_MS (5 * CLK_SECOND)
/* Time in which a change of the list reaches a VM that watches it. */
#define CHANGE_MS 200
/* Time between a response and a new start of its upstream. */
#define START_MS 50

/* Unix time in ms. */
static uint64_t
unix_now (void)
{
  return (uint64_t)(g_get_real_time () / 1000);
}

/* Lets an upstream of B start anew.  Returns when, as Unix time in ms. */
static uint64_t
start_anew (drvbed_t *b)
{
  drvbed_pass (b, START_MS);
  return unix_now ();
}

/* A bed whose upstreams have started at *BORN, and all serve. */
static drvbed_t *
setup_born (size_t upstreams, uint64_t *born)
{
  *born = unix_now () - AGE_MS;
  drvbed_t *b = drvbed_setup_with (
      &(drvbed_desc_t){ .upstreams = upstreams, .born = *born });
  CU_ASSERT_PTR_NOT_NULL (b);
  return b;
}

/* The same, and upstream 0 has said that it is leaving. */
static drvbed_t *
setup_left (size_t upstreams, uint64_t *born)
{
  drvbed_t *b = setup_born (upstreams, born);
  if (b == NULL)
    return NULL;
  CU_ASSERT (drvbed_await_listed (b));
  drvbed_answer_t *a
      = lvg_answer_with (b, "r-1", (drvbed_reply_t){ .header = LVG_LEAVING });
  CU_ASSERT (drvbed_await_answer (b, a));
  for (size_t i = 0; i < upstreams; i++)
    drvbed_serve (b, i);
  return b;
}

/* Puts entry E into the list, and waits until the VM has read it. */
static void
list_and_wait (drvbed_t *b, const drvbed_entry_t *e)
{
  drvbed_list (b, e);
  CU_ASSERT (drvbed_await_listed (b));
}

/* -- nothing undoes the word -----------------------------------------------
 */

/* Guards against a list that still calls the upstream ready undoing its
 * word. */
static void
test_ready_entry_does_not_undo (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born, .seq = 7 });
  lvg_check_avoided (b, 0, "next");
  drvbed_shutdown (b);
}

/* Guards against a list that is read anew undoing the word. */
static void
test_list_read_anew_does_not_undo (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  drvbed_history_lose (b);
  CU_ASSERT (drvbed_await_listed (b));
  lvg_check_avoided (b, 0, "next");
  drvbed_shutdown (b);
}

/* Guards against an older entry that comes after a newer one undoing the
 * word. */
static void
test_draining_and_ready_does_not_undo (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  list_and_wait (
      b, &(drvbed_entry_t){ "up-0", .born = born, .state = "draining" });
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born });
  lvg_check_avoided (b, 0, "next");
  drvbed_shutdown (b);
}

/* Removes the entry of upstream 0, and adds it again with BORN. */
static void
check_named_again (uint64_t (*new_born) (uint64_t born))
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  drvbed_unlist (b, "up-0");
  CU_ASSERT (drvbed_await_listed (b));
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = new_born (born) });
  lvg_check_avoided (b, 0, "next");
  drvbed_shutdown (b);
}

static uint64_t
same (uint64_t born)
{
  return born;
}

static uint64_t
none (uint64_t born)
{
  (void)born;
  return 0;
}

/* Guards against the word being forgotten with an entry that expires and comes
 * back. */
static void
test_entry_named_again_does_not_undo (void)
{
  check_named_again (same);
}

/* The same, for an entry that comes back without its start. */
static void
test_entry_without_born_does_not_undo (void)
{
  check_named_again (none);
}

/* Guards against a change of the address counting as a new start. */
static void
test_new_address_does_not_undo (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (3, &born);
  TST_NEED (b != NULL);
  drvbed_unlist (b, "up-2");
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .upstream = 2, .born = born,
                                       .zone = "north" });
  unsigned before = drvbed_request_count (b, 2, NULL);
  lvg_check_avoided (b, 0, "next");
  CU_ASSERT_EQUAL (drvbed_request_count (b, 2, NULL), before);
  drvbed_shutdown (b);
}

/* Guards against an entry with another start that lies before the request
 * undoing the word: it may be of an older process. */
static void
check_older_start (clk_ms_t later_ms)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  list_and_wait (
      b, &(drvbed_entry_t){ "up-0", .born = born + (uint64_t)later_ms });
  lvg_check_avoided (b, 0, "next");
  drvbed_shutdown (b);
}

/* Guards against an older entry of an earlier process undoing the word. */
static void
test_earlier_start_does_not_undo (void)
{
  check_older_start (-AGE_MS);
}

/* Guards against any other start undoing the word, also one before the
 * request. */
static void
test_start_before_the_request_does_not_undo (void)
{
  check_older_start (AGE_MS / 2);
}

/* Guards against a start that lies in the future, as the upstream's clock is
 * ahead, counting as a new one whenever its entry changes. */
static void
test_same_start_of_a_fast_clock_does_not_undo (void)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  uint64_t born = unix_now () + SKEW_MS;
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born });
  drvbed_serve (b, 1);
  CU_ASSERT (drvbed_await_listed (b));
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born });
  drvbed_answer_t *a
      = lvg_answer_with (b, "r-1", (drvbed_reply_t){ .header = LVG_LEAVING });
  CU_ASSERT (drvbed_await_answer (b, a));
  drvbed_serve (b, 0);
  lvg_check_avoided (b, 0, "said");
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born, .seq = 7 });
  lvg_check_avoided (b, 0, "changed");
  drvbed_unlist (b, "up-0");
  CU_ASSERT (drvbed_await_listed (b));
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born });
  lvg_check_avoided (b, 0, "again");
  drvbed_shutdown (b);
}

/* Guards against load reports without the header, which may be older, undoing
 * the word. */
static void
test_report_does_not_undo (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  CU_ASSERT (drvbed_await_reports (b, 0, REPORTS));
  lvg_check_avoided (b, 0, "next");
  drvbed_shutdown (b);
}

/* -- a new start -----------------------------------------------------------
 */

/* Guards against an upstream that has started anew getting no requests for
 * what its predecessor said, and against its own word being lost. */
static void
test_new_start_gets_requests (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  lvg_check_avoided (b, 0, "old");
  born = start_anew (b);
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born });
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born });
  lvg_check_used (b, 0, "new");
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born, .header = LVG_LEAVING });
  CU_ASSERT_EQUAL (lvg_served_count (b, "last", 1), 1);
  lvg_check_avoided (b, 0, "left");
  drvbed_shutdown (b);
}

/* Guards against the word of the process before, whose response comes when the
 * list has the new start, counting as that of the new one. */
static void
test_late_word_of_the_process_before (void)
{
  uint64_t born;
  drvbed_t *b = setup_born (2, &born);
  TST_NEED (b != NULL);
  drvbed_serve (b, 1);
  CU_ASSERT (drvbed_await_listed (b));
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born, .header = LVG_LEAVING });
  drvbed_answer_t *a = drvbed_ask (b, "r-1");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  TST_NEED (r != NULL);
  born = start_anew (b);
  drvbed_list (b, &(drvbed_entry_t){ "up-0", .born = born });
  drvbed_pass (b, CHANGE_MS);
  drvbed_respond (b, r);
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 1, "r-1"), 0);
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born });
  drvbed_serve (b, 0);
  lvg_check_used (b, 0, "new");
  drvbed_shutdown (b);
}

/* Guards against an upstream whose entry had no start before getting no
 * requests after a new one. */
static void
test_first_known_start_gets_requests (void)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  CU_ASSERT (drvbed_await_listed (b));
  (void)drvbed_await_answer (
      b,
      lvg_answer_with (b, "r-1", (drvbed_reply_t){ .header = LVG_LEAVING }));
  drvbed_serve (b, 0);
  drvbed_serve (b, 1);
  lvg_check_avoided (b, 0, "old");
  uint64_t born = start_anew (b);
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born });
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born });
  lvg_check_used (b, 0, "new");
  drvbed_shutdown (b);
}

/* Guards against the word of an upstream being taken for that of another one
 * that has its address now. */
static void
test_other_upstream_at_the_address_gets_requests (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  lvg_check_avoided (b, 0, "old");
  drvbed_unlist (b, "up-0");
  list_and_wait (b, &(drvbed_entry_t){ "up-9", .born = born });
  drvbed_answer_t *a = drvbed_ask (b, "r-2");
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
  drvbed_shutdown (b);
}

/* Guards against failures of the process before keeping requests from an
 * upstream that has started anew. */
static void
test_new_start_is_not_suspected (void)
{
  uint64_t born;
  drvbed_t *b = setup_born (2, &born);
  TST_NEED (b != NULL);
  drvbed_serve (b, 1);
  CU_ASSERT (drvbed_await_listed (b));
  /* Each failure doubles the time for which the upstream is avoided. */
  for (unsigned i = 0; i < 3; i++)
    {
      char *id = g_strdup_printf ("fail-%u", i);
      drvbed_answer_t *a = drvbed_ask (b, id);
      drvbed_request_t *r = drvbed_await_request (b, 0, id);
      g_free (id);
      TST_NEED (r != NULL);
      drvbed_close (r->conn);
      CU_ASSERT (drvbed_await_answer (b, a));
      if (i < 2)
        drvbed_pass (b, (CLK_SECOND * 3 / 4) << i);
    }
  drvbed_serve (b, 0);
  born = start_anew (b);
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born });
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born });
  lvg_check_used (b, 0, "new");
  drvbed_shutdown (b);
}

/* Guards against load reports of a new start being taken for older ones, as
 * their sequence begins again. */
static void
test_reports_of_a_new_start_count (void)
{
  uint64_t born;
  drvbed_t *b = setup_born (2, &born);
  TST_NEED (b != NULL);
  drvbed_serve (b, 0);
  drvbed_serve (b, 1);
  CU_ASSERT (drvbed_await_listed (b));
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born, .seq = 50 });
  CU_ASSERT (drvbed_await_reports (b, 0, REPORTS));
  born = start_anew (b);
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born, .seq = 1 });
  list_and_wait (b, &(drvbed_entry_t){ "up-0", .born = born });
  lvg_check_used (b, 0, "new");
  drvbed_says (b, 0,
               &(drvbed_says_t){
                   .born = born, .seq = 2, .report_header = LVG_LEAVING });
  CU_ASSERT (drvbed_await_reports (b, 0, REPORTS));
  lvg_check_avoided (b, 0, "left");
  drvbed_shutdown (b);
}

/* Guards against a VM that starts anew sending more than one request to an
 * upstream that has said that it is leaving. */
static void
test_new_vm_learns_at_once (void)
{
  uint64_t born;
  drvbed_t *b = setup_left (2, &born);
  TST_NEED (b != NULL);
  drvbed_says (b, 0, &(drvbed_says_t){ .born = born, .header = LVG_LEAVING });
  TST_NEED (drvbed_restart (b));
  unsigned before = drvbed_request_count (b, 0, NULL);
  CU_ASSERT_EQUAL (lvg_served_count (b, "first", 1), 1);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, NULL), before + 1);
  lvg_check_avoided (b, 0, "next");
  drvbed_shutdown (b);
}

/* -- load reports ----------------------------------------------------------
 */

/* Has load reports of upstream 0 say that it is leaving, with the start
 * REPORTED, and no longer.  STANDS: the upstream stays avoided. */
static void
check_report (uint64_t (*reported) (uint64_t born), bool touch, bool stands)
{
  uint64_t born;
  drvbed_t *b = setup_born (2, &born);
  TST_NEED (b != NULL);
  drvbed_serve (b, 0);
  drvbed_serve (b, 1);
  CU_ASSERT (drvbed_await_listed (b));
  if (!touch)
    drvbed_platform_silence (b);
  lvg_check_used (b, 0, "ready");
  drvbed_says (b, 0,
               &(drvbed_says_t){ .born = reported (born),
                                 .report_header = LVG_LEAVING });
  CU_ASSERT (drvbed_await_reports (b, 0, REPORTS));
  lvg_check_avoided (b, 0, "said");
  drvbed_says (b, 0, &(drvbed_says_t){ .born = reported (born) });
  CU_ASSERT (drvbed_await_reports (b, 0, REPORTS));
  if (stands)
    lvg_check_avoided (b, 0, "after");
  else
    lvg_check_used (b, 0, "after");
  drvbed_shutdown (b);
}

static uint64_t
other (uint64_t born)
{
  return born + 1;
}

/* Guards against requests to an upstream whose load reports say that it is
 * leaving. */
static void
test_word_in_a_report (void)
{
  check_report (same, true, true);
}

/* The same, behind a platform that has fallen silent. */
static void
test_word_in_a_report_out_of_touch (void)
{
  check_report (same, false, true);
}

/* Guards against a load report of no known start withholding requests for
 * longer than reports say so. */
static void
test_word_in_a_report_without_born (void)
{
  check_report (none, true, false);
}

/* Guards against a load report of another start withholding requests for
 * longer than reports say so. */
static void
test_word_in_a_report_of_another_start (void)
{
  check_report (other, true, false);
}

/* Guards against requests to an upstream that answers load queries with status
 * STATUS and says in these answers that it is leaving. */
static void
check_refused_report (int status)
{
  uint64_t born;
  drvbed_t *b = setup_born (2, &born);
  TST_NEED (b != NULL);
  drvbed_serve (b, 0);
  drvbed_serve (b, 1);
  CU_ASSERT (drvbed_await_listed (b));
  lvg_check_used (b, 0, "ready");
  drvbed_says (b, 0,
               &(drvbed_says_t){ .report_status = status,
                                 .report_header = LVG_LEAVING });
  CU_ASSERT (drvbed_await_reports (b, 0, REPORTS));
  lvg_check_avoided (b, 0, "said");
  drvbed_shutdown (b);
}

/* Guards against the word being lost in an upstream's answer that it reports
 * no load. */
static void
test_word_in_a_report_with_status_404 (void)
{
  check_refused_report (404);
}

/* Guards against the word being lost in an upstream's refusal to report its
 * load. */
static void
test_word_in_a_report_with_status_503 (void)
{
  check_refused_report (503);
}

/* Guards against a response that is no load report, as one that was left on
 * the connection, counting as the upstream's word. */
static void
test_word_in_no_report_says_nothing (void)
{
  uint64_t born;
  drvbed_t *b = setup_born (2, &born);
  TST_NEED (b != NULL);
  drvbed_serve (b, 0);
  drvbed_serve (b, 1);
  drvbed_hold_loads (b, true);
  drvbed_request_t *load = drvbed_await_request (b, 0, DRVBED_LOAD);
  TST_NEED (load != NULL);
  drvbed_hold_loads (b, false);
  drvbed_send (load->conn,
               drvbed_reply (b, &(drvbed_reply_t){ .header = LVG_LEAVING }));
  CU_ASSERT (drvbed_await_read (b, load->conn));
  lvg_check_used (b, 0, "next");
  drvbed_shutdown (b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "ready_entry_does_not_undo", test_ready_entry_does_not_undo },
    { "list_read_anew_does_not_undo", test_list_read_anew_does_not_undo },
    { "draining_and_ready_does_not_undo",
      test_draining_and_ready_does_not_undo },
    { "entry_named_again_does_not_undo",
      test_entry_named_again_does_not_undo },
    { "entry_without_born_does_not_undo",
      test_entry_without_born_does_not_undo },
    { "new_address_does_not_undo", test_new_address_does_not_undo },
    { "earlier_start_does_not_undo", test_earlier_start_does_not_undo },
    { "start_before_the_request_does_not_undo",
      test_start_before_the_request_does_not_undo },
    { "same_start_of_a_fast_clock_does_not_undo",
      test_same_start_of_a_fast_clock_does_not_undo },
    { "report_does_not_undo", test_report_does_not_undo },
    { "new_start_gets_requests", test_new_start_gets_requests },
    { "late_word_of_the_process_before",
      test_late_word_of_the_process_before },
    { "first_known_start_gets_requests",
      test_first_known_start_gets_requests },
    { "other_upstream_at_the_address_gets_requests",
      test_other_upstream_at_the_address_gets_requests },
    { "new_start_is_not_suspected", test_new_start_is_not_suspected },
    { "reports_of_a_new_start_count", test_reports_of_a_new_start_count },
    { "new_vm_learns_at_once", test_new_vm_learns_at_once },
    { "word_in_a_report", test_word_in_a_report },
    { "word_in_a_report_out_of_touch", test_word_in_a_report_out_of_touch },
    { "word_in_a_report_without_born", test_word_in_a_report_without_born },
    { "word_in_a_report_of_another_start",
      test_word_in_a_report_of_another_start },
    { "word_in_a_report_with_status_404",
      test_word_in_a_report_with_status_404 },
    { "word_in_a_report_with_status_503",
      test_word_in_a_report_with_status_503 },
    { "word_in_no_report_says_nothing", test_word_in_no_report_says_nothing },
  };
  return tst_run ("leaving_list", cases, sizeof cases / sizeof cases[0]);
}
