/** @file
 * The driver over real sockets: what an upstream's bytes on a kept connection
 * do to the requests after them.
 */
#include "drvbed.h"
#include "tst.h"

#include <string.h>

/* Guards against a bed, or a driver, that serves nothing at all. */
static void
test_stream_is_served_over_sockets (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_answer_t *first = drvbed_ask (b, "r-1");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  CU_ASSERT (r != NULL);
  if (r != NULL)
    drvbed_respond (b, r);
  CU_ASSERT (drvbed_await_answer (b, first));
  CU_ASSERT (drvbed_is_own (first));
  drvbed_serve (b, 0);
  drvbed_answer_t *second = drvbed_ask (b, "r-2");
  CU_ASSERT (drvbed_await_answer (b, second));
  CU_ASSERT (drvbed_is_own (second));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-1"), 1);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 0, "r-2"), 1);
  drvbed_shutdown (b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "stream_is_served_over_sockets", test_stream_is_served_over_sockets },
  };
  return tst_run ("drv", cases, sizeof cases / sizeof cases[0]);
}
