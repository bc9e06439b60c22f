/** @file
 * Bytes without end over real sockets: a whole VM on its bed, and an upstream
 * that sends bytes that are no response until the VM closes.
 */
#include "drvbed_int.h"
#include "flood.h"
#include "tst.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Memory of the smallest VM, in bytes. */
#define VM_MEMORY ((size_t)110 << 20)
/* Connections with endless bytes that half of that memory must bear. */
#define BORNE_AT_ONCE 16
/* Largest growth of the resident memory by one connection, in bytes. */
#define GROWTH_MAX (VM_MEMORY / 2 / BORNE_AT_ONCE)
/* Bytes sent at most. */
#define FLOOD_MAX ((size_t)64 << 20)
/* Longest time until the VM closes. */
#define CLOSE_MS (2 * CLK_SECOND)

/* The sanitizer keeps 256 MB of freed memory by default, which would count as
 * growth. */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1:thread_local_quarantine_size_kb=64";
}

#define OWN_HEAD                                                              \
  "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"                                    \
  "Response-Signature: signature-of-r-1\r\n"

static bool
is_flood_closed (const void *data)
{
  return flood_is_closed (data);
}

/* Sends FIRST and then BLOCK without end on CONN until the VM closes it. */
static void
check_closes (drvbed_t *b, drvbed_conn_t *conn, const char *first,
              const char *block)
{
  TALLOC_FREE (conn->event);
  flood_t *f = flood_start (b, b->loop, conn->fd, first, block, FLOOD_MAX);
  CU_ASSERT (drvbed_wait (b, CLOSE_MS, is_flood_closed, f));
  CU_ASSERT (flood_growth (f) < GROWTH_MAX);
  if (!flood_is_closed (f) || flood_growth (f) >= GROWTH_MAX)
    (void)printf ("sent %zu bytes, closed %d, growth %zu bytes\n",
                  flood_sent (f), flood_is_closed (f), flood_growth (f));
  talloc_free (f);
}

/* Upstream 0 answers a request with FIRST and BLOCK without end: the VM
 * closes, and the caller gets the whole response of upstream 1. */
static void
check_other_serves (const char *first, const char *block)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  drvbed_serve (b, 1);
  const drvbed_answer_t *a = drvbed_ask (b, "r-1");
  const drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  if (r != NULL)
    {
      check_closes (b, r->conn, first, block);
      CU_ASSERT (drvbed_await_answer (b, a));
      CU_ASSERT (drvbed_is_own (a));
    }
  CU_ASSERT_PTR_NOT_NULL (r);
  drvbed_shutdown (b);
}

/* -- heads ---------------------------------------------------------------- */

/* Guards against a head without end that fills the memory: lines, one line,
 * interim responses, status lines. */
static void
test_head_without_end (void)
{
  static const char *const heads[][2] = {
    { OWN_HEAD, "Note: of no use\r\n" },
    { OWN_HEAD "Note: ", "of no use " },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", "HTTP/1.1 102 Processing\r\nNote: of no use\r\n\r\n" },
    { "", "HTTP/1.1 200 OK\r\nNote: of no use\r\n" },
    { "", "HTTP/1.1 200 OK\r\n" },
    { "", "no response " },
    { "", "no response\r\n" },
  };
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    check_other_serves (heads[i][0], heads[i][1]);
}

/* Guards against a trailer without end that fills the memory. */
static void
test_trailer_without_end (void)
{
  check_other_serves (OWN_HEAD "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "6\r\nid: 1\n\r\n0\r\n",
                      "Note: of no use\r\n");
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "head_without_end", test_head_without_end },
    { "trailer_without_end", test_trailer_without_end },
  };
  return tst_run ("endless", cases, sizeof cases / sizeof cases[0]);
}
