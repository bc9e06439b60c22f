/** @file
 * Items of jobs whose runs break off without a length or chunks, over real
 * sockets.  A worker VM runs the items.
 */
#include "drvbed.h"
#include "tst.h"

#include <string.h>

#define ITEM "j-1"
#define EVENT_1 "id: 1\ndata: " ITEM " e1\n\n"
#define EVENT_2 "id: 2\ndata: " ITEM " e2\n\n"
#define EVENT_3 "id: 3\ndata: " ITEM " e3\n\n"
/* The item's text in a result, in JSON. */
#define TEXT ITEM " e1\\n" ITEM " e2\\n" ITEM " e3"
#define LOOK_MS 50
#define LOOKS_MAX 60

/* Answers the next run of the item with BODY, without a length or chunks, and
 * closes.  AFTER: the event behind which the run is asked for; NULL: none. */
static bool
answer_run (drvbed_t *b, const char *after, const char *body)
{
  drvbed_request_t *r = drvbed_await_request (b, 0, ITEM);
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r == NULL)
    return false;
  CU_ASSERT_EQUAL (g_strcmp0 (r->after, after), 0);
  drvbed_send (r->conn, "HTTP/1.1 200 OK\r\nRequest-Id: " ITEM "\r\n"
                        "Response-Signature: signature-of-" ITEM "\r\n"
                        "Content-Type: text/event-stream\r\n\r\n");
  drvbed_send (r->conn, body);
  (void)drvbed_await_read (b, r->conn);
  drvbed_close (r->conn);
  return true;
}

/* Waits until the result of the item stands in its job; false: it does not. */
static bool
is_completed (drvbed_t *b)
{
  for (int i = 0; i < LOOKS_MAX; i++)
    {
      drvbed_answer_t *a = drvbed_results (b, "j");
      if (drvbed_await_answer (b, a)
          && strstr (a->body->str, "\"" ITEM "\"") != NULL)
        return strstr (a->body->str, "\"" TEXT "\"") != NULL;
      drvbed_pass (b, LOOK_MS);
    }
  return false;
}

/* A bed that has accepted the job; NULL: it has not. */
static drvbed_t *
setup (void)
{
  drvbed_t *b = drvbed_setup_with (
      &(drvbed_desc_t){ .upstreams = 1, .near = true, .worker = true });
  if (b == NULL)
    return NULL;
  const drvbed_answer_t *a = drvbed_submit (b, "j", 1);
  CU_ASSERT (drvbed_await_answer (b, a) && a->status == 202);
  return b;
}

/* Guards against a text of which a run that broke off has brought a part. */
static void
test_text_goes_on_after_a_cut_event (void)
{
  drvbed_t *b = setup ();
  TST_NEED (b != NULL);
  CU_ASSERT (answer_run (b, NULL, EVENT_1 "id: 2\nda"));
  CU_ASSERT (answer_run (b, "1", EVENT_2 EVENT_3));
  CU_ASSERT (is_completed (b));
  drvbed_shutdown (b);
}

/* Guards against a run that broke off behind its head as the end of the text
 * that earlier runs have brought. */
static void
test_run_without_an_event_ends_no_text (void)
{
  drvbed_t *b = setup ();
  TST_NEED (b != NULL);
  CU_ASSERT (answer_run (b, NULL, EVENT_1 "id: 2\nda"));
  CU_ASSERT (answer_run (b, "1", ""));
  CU_ASSERT (answer_run (b, "1", EVENT_2 EVENT_3));
  CU_ASSERT (is_completed (b));
  drvbed_shutdown (b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "text_goes_on_after_a_cut_event", test_text_goes_on_after_a_cut_event },
    { "run_without_an_event_ends_no_text",
      test_run_without_an_event_ends_no_text },
  };
  return tst_run ("cut_items", cases, sizeof cases / sizeof cases[0]);
}
