/** @file
 * What operators of like systems have reported: an error's text in the middle
 * of a stream, a success without its body, requests that a planned stop cuts.
 */
#include "drvbed.h"
#include "hst.h"
#include "tst.h"

#include <string.h>

/* -- a stream goes on at an upstream that fails ----------------------------
 */

/* Text that only errors have. */
#define ERROR_TEXT "out of luck"

/* Answers with which an upstream declines to go on with a stream. */
static const char *const declines[] = {
  "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r-1\r\n"
  "Content-Type: text/plain\r\nContent-Length: 11\r\n\r\n" ERROR_TEXT,
  "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: r-1\r\n"
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
  "b\r\n" ERROR_TEXT "\r\n0\r\n\r\n",
  "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-1\r\n"
  "Not-Executed: 1\r\nContent-Length: 11\r\n\r\n" ERROR_TEXT,
  "HTTP/1.1 404 Not Found\r\nRequest-Id: r-1\r\nContent-Length: "
  "11\r\n\r\n" ERROR_TEXT,
  "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: s-r-1\r\n"
  "Content-Type: application/json\r\nContent-Length: 11\r\n\r\n" ERROR_TEXT,
  "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"
  "Content-Type: text/event-stream\r\nContent-Length: 11\r\n\r\n" ERROR_TEXT,
  "HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\n\r\n",
};

/* A stream breaks off after its first bytes at upstream 0; upstream 1 declines
 * with TEXT.  The caller sees no byte of it, and no end. */
static void
check_declined (const char *text)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = drvbed_ask (b, "r-1");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  TST_NEED (r != NULL);
  char *whole = g_strdup (drvbed_response (b, DRVBED_CHUNKED, "r-1"));
  char *event = strstr (strstr (whole, "\r\n\r\n") + 4, "\n\n");
  TST_NEED (event != NULL);
  event[2] = '\0';
  drvbed_send (r->conn, whole);
  CU_ASSERT (drvbed_await_head (b, a));
  drvbed_reset (r->conn);
  for (size_t i = 0; i < 3; i++)
    {
      drvbed_request_t *again
          = drvbed_await_request (b, i == 0 ? 1 : i % 2, "r-1");
      if (again == NULL)
        break;
      drvbed_send (again->conn, text);
    }
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (a->failed);
  CU_ASSERT_EQUAL (a->status, 200);
  CU_ASSERT_PTR_NULL (strstr (a->body->str, ERROR_TEXT));
  CU_ASSERT_PTR_NULL (strstr (a->body->str, "HTTP/"));
  g_free (whole);
  drvbed_shutdown (b);
}

/* Guards against the text or the head of an error in the middle of a stream,
 * and against a stream that ends as if it were complete. */
static void
test_declined_resumption_shows_nothing (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (declines); i++)
    check_declined (declines[i]);
}

/* -- an answer that ends within its head ----------------------------------
 */

/* An upstream sends the first bytes of an answer, up to a place in its head,
 * and closes or resets.  The caller gets no success. */
static void
check_head (const char *path, size_t bytes, bool reset)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = drvbed_ask_at (b, "r-1", path);
  char *text = g_strdup (drvbed_response (b, DRVBED_LENGTH, "r-1"));
  text[bytes] = '\0';
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  for (unsigned i = 0; r != NULL && i < 3 && !a->ended; i++)
    {
      drvbed_send (r->conn, text);
      drvbed_pass (b, 20);
      if (reset)
        drvbed_reset (r->conn);
      else
        drvbed_close (r->conn);
      drvbed_pass (b, 100);
      r = a->ended ? NULL : drvbed_await_request (b, 0, "r-1");
    }
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (a->status < 200 || a->status >= 300);
  g_free (text);
  drvbed_shutdown (b);
}

/* Guards against a success with an empty or short body, as an upstream stopped
 * in the middle of its answer's head. */
static void
test_answer_that_ends_within_its_head (void)
{
  static const char *const paths[]
      = { DRVBED_RESUMABLE, DRVBED_STREAM, DRVBED_PLAIN };
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  const char *whole = drvbed_response (b, DRVBED_LENGTH, "r-1");
  size_t head = (size_t)(strstr (whole, "\r\n\r\n") - whole) + 4;
  size_t status_line = strcspn (whole, "\r");
  drvbed_shutdown (b);
  size_t places[] = { status_line, status_line + 2, head / 2, head - 2 };
  for (size_t p = 0; p < G_N_ELEMENTS (paths); p++)
    for (size_t i = 0; i < G_N_ELEMENTS (places); i++)
      check_head (paths[p], places[i], i % 2 == 1);
}

/* -- a planned stop -------------------------------------------------------
 */

/* From SIGTERM to the end of the process, and the last sixth of that. */
#define GRACE_MS (8 * CLK_SECOND)
/* Time for which a request runs: the route allows 5 s. */
#define RUN_MS 4500
#define EVENT_MS 100

/* Guards against requests that a VM takes late in a planned stop and cuts at
 * its end. */
static void
test_requests_late_in_a_planned_stop (void)
{
  hst_t *h = hst_setup (&(hst_desc_t){
      .gap_ms = EVENT_MS, .events = RUN_MS / EVENT_MS, .upstreams = 8 });
  hst_advance (h, 6 * CLK_SECOND);
  clk_ms_t stop_at = hst_now (h);
  uint64_t callers[40];
  hst_leave (h, 0);
  for (size_t i = 0; i < 40; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "s-%zu.", i);
      callers[i] = hst_stream (h, 0, "key-acme", id);
      hst_advance (h, GRACE_MS / 40);
    }
  unsigned served = 0;
  for (size_t i = 0; i < 40; i++)
    {
      char id[16];
      const hst_response_t *r = hst_response (h, callers[i]);
      g_snprintf (id, sizeof id, "s-%zu.", i);
      bool whole = r->status == 200 && r->ended && !r->aborted;
      served += whole;
      /* A request to a process that has ended gets nothing here; the sockets
       * would refuse it. */
      if (r->status == 0 && i > 0)
        CU_ASSERT_EQUAL (hst_run_count (h, id), 0);
      if (r->status == 503)
        CU_ASSERT_EQUAL (hst_run_count (h, id), 0);
      CU_ASSERT (whole || hst_run_count (h, id) == 0);
      CU_ASSERT (!whole || r->ended_at <= stop_at + GRACE_MS);
    }
  CU_ASSERT (served > 0 && served < 40);
  hst_shutdown (h);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "declined_resumption_shows_nothing",
      test_declined_resumption_shows_nothing },
    { "answer_that_ends_within_its_head",
      test_answer_that_ends_within_its_head },
    { "requests_late_in_a_planned_stop",
      test_requests_late_in_a_planned_stop },
  };
  return tst_run ("reports", cases, sizeof cases / sizeof cases[0]);
}
