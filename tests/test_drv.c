/** @file
 * The driver over real sockets: what an upstream's bytes on a kept connection
 * do to the requests after them.
 */
#include "drvbed.h"
#include "tst.h"

#include <string.h>

/* Time in which the VM closes a connection that is out of step. */
#define CLOSE_MS CLK_SECOND
/* Load queries that may come on another connection than the one wanted. */
#define LOADS_MAX 4

/* Has r-1 served by upstream 0.  Returns its connection; NULL: not served. */
static drvbed_conn_t *
serve_first (drvbed_t *b)
{
  drvbed_answer_t *a = drvbed_ask (b, "r-1");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  if (r == NULL)
    return NULL;
  drvbed_respond (b, r);
  return drvbed_await_answer (b, a) && drvbed_is_own (a) ? r->conn : NULL;
}

/* Waits for a load query on CONN, and leaves it without a response.  Other
 * connections that get one are closed, so that the next comes on CONN. */
static bool
hold_load_query (drvbed_t *b, const drvbed_conn_t *conn)
{
  drvbed_hold_loads (b, true);
  for (int i = 0; i < LOADS_MAX; i++)
    {
      drvbed_request_t *load = drvbed_await_request (b, 0, DRVBED_LOAD);
      if (load == NULL || load->conn == conn)
        return load != NULL;
      drvbed_send (load->conn, drvbed_load_report (b));
      (void)drvbed_await_read (b, load->conn);
      drvbed_close (load->conn);
    }
  return false;
}

/* Guards against a bed, or a driver, that serves nothing at all. */
static void
test_stream_is_served_over_sockets (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  CU_ASSERT_PTR_NOT_NULL (serve_first (b));
  drvbed_serve (b, 0);
  drvbed_answer_t *a = drvbed_ask (b, "r-2");
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-1"), 1);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
  drvbed_shutdown (b);
}

/* The late response of r-1 on CONN, where a load query waits, and r-2 after
 * it. */
static void
cross_load_query (drvbed_t *b, drvbed_conn_t *conn)
{
  drvbed_send (conn, drvbed_response (b, DRVBED_LENGTH, "r-1"));
  CU_ASSERT (drvbed_await_read (b, conn));
  drvbed_hold_loads (b, false);
  drvbed_answer_t *a = drvbed_ask (b, "r-2");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-2");
  TST_NEED (r != NULL);
  drvbed_serve (b, 0);
  if (r->conn == conn)
    {
      drvbed_send (conn, drvbed_load_report (b));
      CU_ASSERT (drvbed_await_read (b, conn));
    }
  drvbed_respond (b, r);
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
}

/* Guards against a request that gets the response of a load query, as another
 * request's response has put their connection out of step. */
static void
test_own_response_after_a_crossed_load_query (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_conn_t *conn = serve_first (b);
  bool held = conn != NULL && hold_load_query (b, conn);
  CU_ASSERT (held);
  if (held)
    {
      unsigned before = drvbed_conn_count (b, conn);
      cross_load_query (b, conn);
      CU_ASSERT (drvbed_await_close (b, conn, CLOSE_MS));
      CU_ASSERT_EQUAL (drvbed_conn_count (b, conn), before);
    }
  drvbed_shutdown (b);
}

/* Guards against the second break of incident inc1: the load query of a
 * crossed connection is answered and the upstream closes, so that r-2 gets the
 * load report without reaching an upstream. */
static void
test_own_response_after_a_report_that_closes (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_conn_t *conn = serve_first (b);
  bool held = conn != NULL && hold_load_query (b, conn);
  CU_ASSERT (held);
  if (held)
    {
      drvbed_serve (b, 0);
      drvbed_send (conn, drvbed_response (b, DRVBED_LENGTH, "r-1"));
      CU_ASSERT (drvbed_await_read (b, conn));
      drvbed_hold_loads (b, false);
      drvbed_send (conn, drvbed_load_report (b));
      drvbed_close (conn);
      drvbed_answer_t *a = drvbed_ask (b, "r-2");
      CU_ASSERT (drvbed_await_answer (b, a));
      CU_ASSERT (drvbed_is_own (a));
      CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
    }
  drvbed_shutdown (b);
}

/* Guards against a second load report, which has no id, as the response to
 * r-2, where no call was dropped before. */
static void
test_own_response_after_a_second_report (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_conn_t *conn = serve_first (b);
  bool held = conn != NULL && hold_load_query (b, conn);
  CU_ASSERT (held);
  if (held)
    {
      drvbed_serve (b, 0);
      drvbed_send (conn, drvbed_load_report (b));
      CU_ASSERT (drvbed_await_read (b, conn));
      drvbed_send (conn, drvbed_load_report (b));
      drvbed_answer_t *a = drvbed_ask (b, "r-2");
      CU_ASSERT (drvbed_await_answer (b, a));
      CU_ASSERT (drvbed_is_own (a));
      CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
    }
  drvbed_shutdown (b);
}

/* Has upstream 0 respond to r-2 with FOREIGN alone.  The VM must close the
 * connection, and the caller must get the response of upstream 1. */
static void
check_foreign_response (drvbed_t *b, const char *foreign)
{
  TST_NEED (serve_first (b) != NULL);
  drvbed_serve (b, 1);
  drvbed_answer_t *a = drvbed_ask (b, "r-2");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-2");
  TST_NEED (r != NULL);
  drvbed_send (r->conn, foreign);
  CU_ASSERT (drvbed_await_close (b, r->conn, CLOSE_MS));
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 1, "r-2"), 1);
}

/* Guards against an upstream that cannot see that a run was given up: its
 * response was another's and complete, so nothing was left to cancel. */
static void
test_connection_closes_after_a_crossed_response (void)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  check_foreign_response (b, drvbed_response (b, DRVBED_LENGTH, "r-1"));
  drvbed_shutdown (b);
}

/* Guards against a load report, which has no id, as a request's response. */
static void
test_response_without_an_id_is_not_passed_on (void)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  check_foreign_response (b, drvbed_load_report (b));
  drvbed_shutdown (b);
}

/* Guards against a late response that came while its connection was idle as
 * the next request's response: the request goes out on another connection, and
 * is not lost to a retry. */
static void
test_request_avoids_a_connection_with_bytes (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_conn_t *conn = serve_first (b);
  TST_NEED (conn != NULL);
  drvbed_serve (b, 0);
  drvbed_send (conn, drvbed_response (b, DRVBED_LENGTH, "r-1"));
  unsigned before = drvbed_conn_count (b, conn);
  drvbed_answer_t *a = drvbed_ask (b, "r-2");
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
  CU_ASSERT (drvbed_await_close (b, conn, CLOSE_MS));
  CU_ASSERT_EQUAL (drvbed_conn_count (b, conn), before);
  drvbed_shutdown (b);
}

/* Sends the response to R and, in the same write, the first N bytes of
 * EXTRA. */
static void
respond_with_extra (drvbed_t *b, const drvbed_request_t *r,
                    drvbed_framing_t framing, const char *extra, size_t n)
{
  char *head = g_strndup (extra, n);
  char *both = g_strconcat (drvbed_response (b, framing, r->id), head, NULL);
  drvbed_send (r->conn, both);
  g_free (both);
  g_free (head);
}

/* Has r-1 answered with bytes of r-0's response behind its own: all of them
 * or, with HALF, the first half, and the rest when r-2 has arrived.  The
 * caller of r-2 must get its own whole response or an error. */
static void
check_extra_bytes (drvbed_t *b, drvbed_framing_t framing, bool half)
{
  const char *extra = drvbed_response (b, framing, "r-0");
  size_t n = half ? strlen (extra) / 2 : strlen (extra);
  drvbed_answer_t *first = drvbed_ask (b, "r-1");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  TST_NEED (r != NULL);
  drvbed_conn_t *conn = r->conn;
  respond_with_extra (b, r, framing, extra, n);
  CU_ASSERT (drvbed_await_answer (b, first));
  CU_ASSERT (drvbed_is_own (first));
  drvbed_answer_t *second = drvbed_ask (b, "r-2");
  r = drvbed_await_request (b, 0, "r-2");
  TST_NEED (r != NULL);
  drvbed_serve (b, 0);
  drvbed_send (conn, extra + n);
  CU_ASSERT (drvbed_await_read (b, conn));
  drvbed_respond (b, r);
  CU_ASSERT (drvbed_await_answer (b, second));
  CU_ASSERT (drvbed_is_own (second) || second->status >= 500);
  CU_ASSERT_PTR_NULL (strstr (second->body->str, "r-0"));
}

static void
test_extra_bytes (drvbed_framing_t framing, bool half)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  check_extra_bytes (b, framing, half);
  drvbed_shutdown (b);
}

/* Guards against a whole response behind another one as the next request's
 * response. */
static void
test_bytes_after_a_response_whole_length (void)
{
  test_extra_bytes (DRVBED_LENGTH, false);
}

/* The same, after a response in chunks. */
static void
test_bytes_after_a_response_whole_chunked (void)
{
  test_extra_bytes (DRVBED_CHUNKED, false);
}

/* Guards against a response behind another one that is complete only when the
 * next request waits. */
static void
test_bytes_after_a_response_half_length (void)
{
  test_extra_bytes (DRVBED_LENGTH, true);
}

/* The same, after a response in chunks. */
static void
test_bytes_after_a_response_half_chunked (void)
{
  test_extra_bytes (DRVBED_CHUNKED, true);
}

/* Guards against a response whose head breaks off before its end, as that of
 * an upstream that crashes, being passed on as a whole one without a body. */
static void
test_head_that_breaks_off_is_no_response (void)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  drvbed_serve (b, 1);
  drvbed_answer_t *a = drvbed_ask (b, "r-1");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r != NULL)
    {
      drvbed_send (r->conn, "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"
                            "Response-Signature: signature-of-r-1\r\n"
                            "Content-Type: text/event-stream\r\n");
      CU_ASSERT (drvbed_await_read (b, r->conn));
      drvbed_close (r->conn);
      CU_ASSERT (drvbed_await_answer (b, a));
      CU_ASSERT (drvbed_is_own (a));
    }
  drvbed_shutdown (b);
}

/* Guards against one odd entry, of another writer, that takes the list of
 * upstreams away: from a VM that runs, which stops following the list, and
 * from one that starts, which is ready and serves nothing. */
static void
test_odd_entry_costs_itself_alone (void)
{
  static const char *const odd[]
      = { "1e999", "12345678901234567890123456", "\"\\ud800\"" };
  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    {
      drvbed_t *b = drvbed_setup_with (
          &(drvbed_desc_t){ .upstreams = 2, .near = true });
      TST_NEED (b != NULL);
      drvbed_serve (b, 0);
      drvbed_serve (b, 1);
      drvbed_list_odd (b, "odd", odd[i]);
      drvbed_list (b, &(drvbed_entry_t){ .name = "up-0",
                                         .upstream = 0,
                                         .state = "draining" });
      drvbed_pass (b, CLK_SECOND);
      unsigned before = drvbed_request_count (b, 0, NULL);
      for (unsigned k = 0; k < 10; k++)
        {
          drvbed_answer_t *a = drvbed_ask (b, k % 2 ? "r-odd" : "r-even");
          CU_ASSERT (drvbed_await_answer (b, a) && drvbed_is_own (a));
        }
      CU_ASSERT_EQUAL (drvbed_request_count (b, 0, NULL), before);
      drvbed_list (b, &(drvbed_entry_t){ .name = "up-0", .upstream = 0 });
      CU_ASSERT (drvbed_restart (b));
      for (unsigned k = 0; k < 20; k++)
        {
          drvbed_answer_t *a = drvbed_ask (b, "r-again");
          CU_ASSERT (drvbed_await_answer (b, a) && drvbed_is_own (a));
        }
      drvbed_shutdown (b);
    }
}

/* When a faulty upstream writes an earlier refusal once more. */
typedef enum
{
  WITH_THE_FIRST, /* in the same write */
  WHILE_IDLE,     /* on the kept connection, before the next request */
  TO_THE_NEXT,    /* as the answer to the next request */
} again_t;

/* Upstream 0 refuses r-1, which upstream 1 serves, and writes the refusal once
 * more as AGAIN says; WITH_ID: the refusal has r-1's id.  Then r-2, to PATH,
 * must neither be refused as not run nor run twice at the word of it. */
static void
repeat_refusal (const char *path, again_t again, bool with_id)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  drvbed_serve (b, 1);
  const char *refusal = drvbed_reply (
      b, &(drvbed_reply_t){ .id = with_id ? "r-1" : NULL, .status = 503 });
  drvbed_answer_t *first = drvbed_ask_at (b, "r-1", path);
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  TST_NEED (r != NULL);
  char *twice = g_strconcat (
      drvbed_reply (b, &(drvbed_reply_t){ .id = "r-1", .status = 503 }),
      again == WITH_THE_FIRST ? refusal : "", NULL);
  drvbed_send (r->conn, twice);
  g_free (twice);
  CU_ASSERT (drvbed_await_answer (b, first) && drvbed_is_own (first));
  if (again == WHILE_IDLE)
    drvbed_send (r->conn, refusal);
  drvbed_pass (b, CLK_SECOND);
  drvbed_answer_t *next = drvbed_ask_at (b, "r-2", path);
  drvbed_pass (b, 200);
  bool at_0 = drvbed_request_count (b, 0, "r-2") > 0;
  drvbed_request_t *r2 = at_0 ? drvbed_await_request (b, 0, "r-2") : NULL;
  CU_ASSERT (again != TO_THE_NEXT || r2 != NULL);
  if (r2 != NULL && again == TO_THE_NEXT)
    drvbed_send (r2->conn, refusal);
  drvbed_pass (b, 300);
  unsigned runs = drvbed_request_count (b, 0, "r-2")
                  + drvbed_request_count (b, 1, "r-2");
  if (r2 != NULL)
    drvbed_respond (b, r2);
  CU_ASSERT (drvbed_await_answer (b, next));
  CU_ASSERT (next->status != 429 && next->status != 503);
  /* Only a stream that may be resumed, or an idempotent request, runs at
   * another upstream. */
  if (strcmp (path, DRVBED_STREAM) == 0)
    CU_ASSERT_EQUAL (runs, 1);
  drvbed_shutdown (b);
}

/* Guards against an earlier refusal that a faulty upstream writes once more on
 * a kept connection and that passes for the next request's: its caller is told
 * that it has not run, or it runs at a second upstream. */
static void
test_refusal_written_again_refuses_nothing (void)
{
  static const char *const paths[]
      = { DRVBED_STREAM, DRVBED_RESUMABLE, DRVBED_PLAIN };
  for (size_t i = 0; i < sizeof paths / sizeof paths[0]; i++)
    for (again_t again = WITH_THE_FIRST; again <= TO_THE_NEXT; again++)
      {
        repeat_refusal (paths[i], again, true);
        repeat_refusal (paths[i], again, false);
      }
}

/* Time for which the process stands still: longer than requests may take, but
 * not than their callers wait. */
#define PAUSE_MS (3 * CLK_SECOND + CLK_SECOND / 2)

/* A response on UPSTREAM's connection comes while the process stands still,
 * past the limits of its request to PATH. */
static void
response_during_a_pause (const char *path)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = drvbed_ask_at (b, "r-1", path);
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  TST_NEED (r != NULL);
  drvbed_serve (b, 0);
  drvbed_respond (b, r);
  g_usleep (PAUSE_MS * 1000);
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-1"), 1);
  drvbed_shutdown (b);
}

/* Guards against time limits that are due after a pause of the process and end
 * a call whose response already lies in the socket: its caller got 504, or the
 * request ran again. */
static void
test_response_in_the_socket_beats_the_time_limit (void)
{
  response_during_a_pause (DRVBED_STREAM);
  response_during_a_pause (DRVBED_RESUMABLE);
  response_during_a_pause (DRVBED_PLAIN);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "stream_is_served_over_sockets", test_stream_is_served_over_sockets },
    { "own_response_after_a_crossed_load_query",
      test_own_response_after_a_crossed_load_query },
    { "own_response_after_a_report_that_closes",
      test_own_response_after_a_report_that_closes },
    { "own_response_after_a_second_report",
      test_own_response_after_a_second_report },
    { "connection_closes_after_a_crossed_response",
      test_connection_closes_after_a_crossed_response },
    { "response_without_an_id_is_not_passed_on",
      test_response_without_an_id_is_not_passed_on },
    { "request_avoids_a_connection_with_bytes",
      test_request_avoids_a_connection_with_bytes },
    { "bytes_after_a_response_whole_length",
      test_bytes_after_a_response_whole_length },
    { "bytes_after_a_response_whole_chunked",
      test_bytes_after_a_response_whole_chunked },
    { "bytes_after_a_response_half_length",
      test_bytes_after_a_response_half_length },
    { "bytes_after_a_response_half_chunked",
      test_bytes_after_a_response_half_chunked },
    { "head_that_breaks_off_is_no_response",
      test_head_that_breaks_off_is_no_response },
    { "refusal_written_again_refuses_nothing",
      test_refusal_written_again_refuses_nothing },
    { "odd_entry_costs_itself_alone", test_odd_entry_costs_itself_alone },
    { "response_in_the_socket_beats_the_time_limit",
      test_response_in_the_socket_beats_the_time_limit },
  };
  return tst_run ("drv", cases, sizeof cases / sizeof cases[0]);
}
