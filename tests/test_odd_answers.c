/** @file
 * Answers that are none, on each road of the HTTP client, direct and through a
 * tunnel, over real sockets: early ones that are reset under an upload, odd
 * status lines, and several without end at once.
 */
#include "drvbed.h"
#include "flood.h"
#include "hclbed.h"
#include "platform/pfm.h"
#include "tst.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Larger than what the sockets' buffers hold. */
#define UPLOAD ((size_t)16 << 20)
/* Memory of the smallest VM, of which half must bear AT_ONCE answers. */
#define VM_MEMORY ((size_t)110 << 20)
#define AT_ONCE 16
#define FLOOD_MAX ((size_t)16 << 20)
#define COUNT(table) (sizeof (table) / sizeof (table)[0])

/* The sanitizer keeps 256 MB of freed memory by default, which would count as
 * growth. */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1:thread_local_quarantine_size_kb=64";
}

#define HEAD(status)                                                          \
  "HTTP/1.1 " status "\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\n"

/* Guards against a part of a body given as whole: a 200 without a length comes
 * at once, and its connection is reset while the upload is still written. */
static void
test_early_answer_that_is_reset_is_no_answer (void)
{
  char *upload = g_malloc0 (UPLOAD);
  for (int tunnel = 0; tunnel < 2; tunnel++)
    for (int end = 0; end < 3; end++)
      {
        hclbed_t *b = hclbed_open ();
        hclbed_call (b, 1, tunnel != 0, (buf_t){ .p = upload, .n = UPLOAD });
        int fd = hclbed_accepted (b);
        CU_ASSERT (fd >= 0);
        (void)send (fd, HEAD ("200 OK") "\r\npart",
                    strlen (HEAD ("200 OK") "\r\npart"), MSG_NOSIGNAL);
        hclbed_await (b, 1, true);
        CU_ASSERT_STRING_EQUAL (b->body->str, "part");
        /* A reset; a close, which resets as well as soon as there are unread
         * bytes; the end that may be seen before that. */
        struct linger reset = { .l_onoff = 1 };
        if (end == 0)
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        if (end == 2)
          (void)shutdown (fd, SHUT_WR);
        else
          close (fd);
        hclbed_await (b, 1, false);
        CU_ASSERT (b->failed == 1 && b->ended == 0);
        if (b->failed != 1 || b->ended != 0)
          (void)printf ("tunnel %d, end %d: %u failed, %u ended\n", tunnel,
                        end, b->failed, b->ended);
        if (end == 2)
          close (fd);
        hclbed_close (b);
      }
  g_free (upload);
}

/* One that ends so after the whole request is whole, whatever its size. */
static void
test_answer_after_the_upload_is_whole (void)
{
  static const size_t sizes[] = { 0, 1, 1000, 70000, 300000 };
  char *upload = g_malloc0 (300000);
  for (size_t i = 0; i < 2 * COUNT (sizes); i++)
    {
      size_t size = sizes[i / 2];
      size_t got = 0;
      char bytes[4096];
      hclbed_t *b = hclbed_open ();
      hclbed_call (b, 1, i % 2 == 1, (buf_t){ .p = upload, .n = size });
      int fd = hclbed_accepted (b);
      CU_ASSERT (fd >= 0);
      for (int turns = 0; turns < 2000 && got <= size; turns++)
        {
          hclbed_turn (b);
          ssize_t n = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
          const char *end
              = got == 0 && n > 0 ? g_strstr_len (bytes, n, "\r\n\r\n") : NULL;
          /* Of the head its last byte counts. */
          got += end != NULL ? (size_t)(bytes + n - end) - 3
                             : (size_t)MAX (n, 0);
        }
      CU_ASSERT_EQUAL (got, size + 1);
      (void)send (fd, HEAD ("200 OK") "\r\nall",
                  strlen (HEAD ("200 OK") "\r\nall"), MSG_NOSIGNAL);
      close (fd);
      hclbed_await (b, 1, false);
      CU_ASSERT (b->ended == 1 && b->failed == 0);
      CU_ASSERT_STRING_EQUAL (b->body->str, "all");
      hclbed_close (b);
    }
  g_free (upload);
}

/* Guards against an answer whose status is none, taken for one. */
static void
test_odd_status_is_no_success (void)
{
  static const char *const rows[] = { "HTTP/1.1 000 OK",
                                      "HTTP/1.1 0 OK",
                                      "HTTP/1.1 099 OK",
                                      "HTTP/1.1 2000 OK",
                                      "HTTP/1.1 20 OK",
                                      "HTTP/1.1 -200 OK",
                                      "HTTP/1.1 +20 OK",
                                      "HTTP/1.1 2e2 OK",
                                      "HTTP/1.1 OK",
                                      "HTTP/1.1",
                                      "HTTP/1.1 0200 OK",
                                      "HTTP/1.1 600 OK",
                                      "HTTP/1.1 999 OK",
                                      "HTTP/9.9 200 OK",
                                      "HTTP 200 OK",
                                      "ICY 200 OK",
                                      "200 OK" };
  for (size_t i = 0; i < 2 * COUNT (rows); i++)
    {
      const char *row = rows[i / 2];
      hclbed_t *b = hclbed_open ();
      hclbed_call (b, 1, i % 2 == 1, buf_str ("b"));
      int fd = hclbed_accepted (b);
      CU_ASSERT (fd >= 0);
      char *text
          = talloc_asprintf (b,
                             "%s\r\nRequest-Id: r-1\r\nResponse-Signature: "
                             "s\r\nContent-Length: 2\r\n\r\nhi",
                             row);
      (void)send (fd, text, strlen (text), MSG_NOSIGNAL);
      (void)shutdown (fd, SHUT_WR);
      hclbed_await (b, 1, false);
      bool success = b->ended > 0 && b->status >= 200 && b->status < 300;
      CU_ASSERT_FALSE (success);
      CU_ASSERT (b->ended == 0 || strstr (row, "600") != NULL
                 || strstr (row, "999") != NULL);
      if (success)
        (void)printf ("%s: status %d, ended %u\n", row, b->status, b->ended);
      close (fd);
      hclbed_close (b);
    }
}

/* Guards against a VM that runs out of memory as several upstreams send bytes
 * that are no answer, without end, at once. */
static void
test_several_answers_without_end (void)
{
  static const struct
  {
    const char *first;
    const char *block;
  } rows[] = {
    { "", "no response " },
    { "", "no response\r\n" },
    { "HTTP/1.1 ", "2" },
    { HEAD ("200 OK"), "Note: of no use\r\n" },
    { HEAD ("200 OK") "X: ", "of-no-use" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { HEAD ("200 OK") "\r\n", "of no use " },
    { HEAD ("200 OK") "Transfer-Encoding: chunked\r\n\r\n", "00000000" },
    { HEAD ("200 OK") "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "Note: of no use\r\n" },
    { HEAD ("500 No") "Transfer-Encoding: chunked\r\n\r\n1;", "x=y" },
  };
  for (size_t i = 0; i < 2 * COUNT (rows); i++)
    {
      hclbed_t *b = hclbed_open ();
      int fds[AT_ONCE];
      flood_t *floods[AT_ONCE];
      size_t growth = 0;
      for (unsigned k = 0; k < AT_ONCE; k++)
        {
          hclbed_call (b, k + 1, i % 2 == 1, buf_str ("b"));
          fds[k] = hclbed_accepted (b);
          CU_ASSERT (fds[k] >= 0);
        }
      for (unsigned k = 0; k < AT_ONCE; k++)
        floods[k] = flood_start (b, b->loop, fds[k], rows[i / 2].first,
                                 rows[i / 2].block, FLOOD_MAX);
      hclbed_await (b, AT_ONCE, false);
      CU_ASSERT_EQUAL (b->failed, AT_ONCE);
      for (unsigned k = 0; k < AT_ONCE; k++)
        growth = MAX (growth, flood_growth (floods[k]));
      CU_ASSERT (growth < VM_MEMORY / 2);
      if (growth >= VM_MEMORY / 2 || b->failed != AT_ONCE)
        (void)printf ("row %zu: growth %zu, %u failed, %u ended\n", i, growth,
                      b->failed, b->ended);
      for (unsigned k = 0; k < AT_ONCE; k++)
        {
          TALLOC_FREE (floods[k]);
          close (fds[k]);
        }
      hclbed_close (b);
    }
}

/* The same statuses from the store. */
static void
test_odd_status_of_the_store_is_no_answer (void)
{
  static const int statuses[] = { 0, 20, 99, 100, 299, 302, 600, 999 };
  static const fx_platform_op_t ops[]
      = { FX_PLATFORM_GET, FX_PLATFORM_PUT, FX_PLATFORM_LIST,
          FX_PLATFORM_WATCH, FX_PLATFORM_VMS };
  for (size_t i = 0; i < COUNT (statuses) * COUNT (ops); i++)
    {
      void *ctx = talloc_new (NULL);
      ev_platform_t reply = { 0 };
      pfm_object_response_decode (
          ctx, ops[i % COUNT (ops)], "jobs/j", statuses[i / COUNT (ops)],
          buf_str ("{\"metadata\":{\"name\":\"j\",\"revision\":3},\"items\":[]"
                   ",\"currentRev\":3}"),
          &reply);
      CU_ASSERT (reply.code == ST_UNKNOWN || reply.code == ST_UNAVAILABLE);
      CU_ASSERT (reply.object_count == 0 && reply.revision == 0);
      talloc_free (ctx);
    }
}

#define ITEM "j-1"
#define EVENTS "id: 1\ndata: " ITEM " e1\n\nid: 2\ndata: " ITEM " e2\n\n"
#define STREAM "Content-Type: text/event-stream\r\n"

/* Items: what comes with an odd status, or is reset, completes none; the text
 * is that of the run that did. */
static void
test_odd_answers_complete_no_item (void)
{
  static const char *const heads[]
      = { "HTTP/1.1 000 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK",
          "HTTP/1.1 099 OK", NULL };
  for (size_t i = 0; i < COUNT (heads); i++)
    {
      drvbed_t *b = drvbed_setup_with (
          &(drvbed_desc_t){ .upstreams = 1, .near = true, .worker = true });
      TST_NEED (b != NULL);
      const drvbed_answer_t *a = drvbed_submit (b, "j", 1);
      CU_ASSERT (drvbed_await_answer (b, a) && a->status == 202);
      drvbed_request_t *r = drvbed_await_request (b, 0, ITEM);
      TST_NEED (r != NULL);
      char *head
          = talloc_asprintf (b,
                             "%s\r\nRequest-Id: " ITEM
                             "\r\nResponse-Signature: signature-of-" ITEM
                             "\r\n" STREAM "\r\nid: 1\ndata: odd\n\n",
                             heads[i] == NULL ? "HTTP/1.1 200 OK" : heads[i]);
      drvbed_send (r->conn, head);
      (void)drvbed_await_read (b, r->conn);
      if (heads[i] == NULL)
        drvbed_reset (r->conn);
      else
        drvbed_close (r->conn);
      r = drvbed_await_request (b, 0, ITEM);
      TST_NEED (r != NULL);
      /* Only a run of a proper head leaves an event to go on from. */
      CU_ASSERT_EQUAL (g_strcmp0 (r->after, heads[i] == NULL ? "1" : NULL), 0);
      drvbed_send (r->conn, "HTTP/1.1 200 OK\r\nRequest-Id: " ITEM
                            "\r\nResponse-Signature: signature-of-" ITEM
                            "\r\n" STREAM "\r\n");
      drvbed_send (r->conn,
                   heads[i] == NULL ? "id: 2\ndata: " ITEM " e2\n\n" : EVENTS);
      (void)drvbed_await_read (b, r->conn);
      drvbed_close (r->conn);
      bool completed = false;
      for (int looks = 0; looks < 60 && !completed; looks++)
        {
          a = drvbed_results (b, "j");
          completed = drvbed_await_answer (b, a)
                      && strstr (a->body->str, ITEM " e2\"") != NULL;
          CU_ASSERT (heads[i] == NULL || strstr (a->body->str, "odd") == NULL);
          drvbed_pass (b, 50);
        }
      CU_ASSERT (completed);
      drvbed_shutdown (b);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "early_answer_that_is_reset_is_no_answer",
      test_early_answer_that_is_reset_is_no_answer },
    { "answer_after_the_upload_is_whole",
      test_answer_after_the_upload_is_whole },
    { "odd_status_is_no_success", test_odd_status_is_no_success },
    { "several_answers_without_end", test_several_answers_without_end },
    { "odd_status_of_the_store_is_no_answer",
      test_odd_status_of_the_store_is_no_answer },
    { "odd_answers_complete_no_item", test_odd_answers_complete_no_item },
  };
  return tst_run ("odd_answers", cases, sizeof cases / sizeof cases[0]);
}
