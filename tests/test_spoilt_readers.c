/** @file
 * Readers of answers other than a request's own: items, resumed streams, load
 * reports, promises and the answers of tunnels.  What a spoilt head says is
 * not used by any of them.
 */
#include "drvbed.h"
#include "hclbed.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define COUNT(table) (sizeof (table) / sizeof (table)[0])

#define OWN(id)                                                               \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id                                        \
  "\r\nResponse-Signature: signature-of-" id                                  \
  "\r\nContent-Type: text/event-stream\r\n"

/* What spoils a head behind its own lines, with the empty line. */
static const char *const spoils[] = {
  "Content-Length: 17x\r\n\r\n",         "Content-Length : 60\r\n\r\n",
  "\r\nContent-Length: 60\r\n\r\n",      "Content-Encoding: gzip\r\n\r\n",
  "Response-Signature: another\r\n\r\n", "X-Note\r\n\r\n",
};

/* -- items ---------------------------------------------------------------- */

#define ITEM "j-1"
#define EVENT(n, text) "id: " n "\ndata: " ITEM " " text "\n\n"

/* Guards against an item's text from a run whose head is spoilt: it leaves no
 * event to go on from. */
static void
test_spoilt_head_completes_no_item (void)
{
  for (size_t i = 0; i < COUNT (spoils); i++)
    {
      drvbed_t *b = drvbed_setup_with (
          &(drvbed_desc_t){ .upstreams = 1, .near = true, .worker = true });
      TST_NEED (b != NULL);
      const drvbed_answer_t *a = drvbed_submit (b, "j", 1);
      CU_ASSERT (drvbed_await_answer (b, a) && a->status == 202);
      drvbed_request_t *r = drvbed_await_request (b, 0, ITEM);
      TST_NEED (r != NULL);
      drvbed_send (r->conn, OWN (ITEM));
      drvbed_send (r->conn, spoils[i]);
      drvbed_send (r->conn, EVENT ("1", "odd"));
      (void)drvbed_await_read (b, r->conn);
      drvbed_close (r->conn);
      r = drvbed_await_request (b, 0, ITEM);
      TST_NEED (r != NULL);
      CU_ASSERT_PTR_NULL (r->after);
      drvbed_send (r->conn,
                   OWN (ITEM) "\r\n" EVENT ("1", "e1") EVENT ("2", "e2"));
      (void)drvbed_await_read (b, r->conn);
      drvbed_close (r->conn);
      bool completed = false;
      for (int looks = 0; looks < 60 && !completed; looks++)
        {
          a = drvbed_results (b, "j");
          completed = drvbed_await_answer (b, a)
                      && strstr (a->body->str, ITEM " e2\"") != NULL;
          CU_ASSERT_PTR_NULL (strstr (a->body->str, "odd"));
          drvbed_pass (b, 50);
        }
      CU_ASSERT (completed);
      drvbed_shutdown (b);
    }
}

/* -- streams that are resumed --------------------------------------------- */

/* Guards against a spoilt head in the middle of an answer: a stream breaks off
 * behind event 1 and is taken up with a spoilt head. */
static void
test_stream_is_not_taken_up_with_a_spoilt_head (void)
{
  for (size_t i = 0; i < COUNT (spoils); i++)
    {
      drvbed_t *b = drvbed_setup (2);
      TST_NEED (b != NULL);
      drvbed_answer_t *a = drvbed_ask (b, "r-1");
      drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
      TST_NEED (r != NULL);
      drvbed_send (r->conn, OWN ("r-1") "Transfer-Encoding: chunked\r\n\r\n"
                                        "14\r\nid: 1\ndata: r-1 e1\n\n\r\n");
      CU_ASSERT (drvbed_await_head (b, a));
      drvbed_reset (r->conn);
      drvbed_request_t *second = drvbed_await_request (b, 1, "r-1");
      TST_NEED (second != NULL);
      CU_ASSERT (g_strcmp0 (second->after, "1") == 0);
      drvbed_send (second->conn, OWN ("r-1"));
      drvbed_send (second->conn, spoils[i]);
      drvbed_send (second->conn, "id: 2\ndata: odd\n\n");
      (void)drvbed_await_read (b, second->conn);
      drvbed_close (second->conn);
      CU_ASSERT (drvbed_await_answer (b, a));
      /* The route's attempts are used up. */
      CU_ASSERT (a->failed);
      CU_ASSERT_STRING_EQUAL (a->body->str, "id: 1\ndata: r-1 e1\n\n");
      drvbed_shutdown (b);
    }
}

/* -- promises ------------------------------------------------------------- */

/* Guards against a promise that a spoilt head makes: the request may have run,
 * so that its caller gets 502, on a route of requests that run once. */
static void
test_spoilt_promise_is_none (void)
{
  static const char *const statuses[]
      = { "503 Service Unavailable", "429 Too Many Requests",
          "421 Misdirected Request", "400 Bad Request" };
  for (size_t i = 0; i < COUNT (statuses) * COUNT (spoils); i++)
    {
      drvbed_t *b = drvbed_setup (2);
      TST_NEED (b != NULL);
      drvbed_serve (b, 1);
      drvbed_answer_t *a = drvbed_ask_at (b, "r-1", DRVBED_STREAM);
      drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
      TST_NEED (r != NULL);
      char *head = talloc_asprintf (
          b,
          "HTTP/1.1 %s\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\n"
          "Not-Executed: 1\r\nRetry-After: 0.1\r\n%s",
          statuses[i % COUNT (statuses)], spoils[i / COUNT (statuses)]);
      drvbed_send (r->conn, head);
      (void)drvbed_await_read (b, r->conn);
      drvbed_close (r->conn);
      CU_ASSERT (drvbed_await_answer (b, a));
      CU_ASSERT_EQUAL (a->status, 502);
      CU_ASSERT_EQUAL (drvbed_request_count (b, 1, "r-1"), 0);
      if (a->status != 502)
        (void)printf ("%s: status %d\n", head, a->status);
      drvbed_shutdown (b);
    }
}

/* Guards against a promise of our own where all attempts of a request got
 * spoilt heads. */
static void
test_spoilt_heads_everywhere_are_no_promise (void)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = drvbed_ask_at (b, "r-1", DRVBED_PLAIN);
  for (size_t i = 0; i < 2; i++)
    {
      drvbed_request_t *r = drvbed_await_request (b, i, "r-1");
      TST_NEED (r != NULL);
      drvbed_send (r->conn, OWN ("r-1") "Content-Length: 17x\r\n\r\n"
                                        "the answer to r-1");
      (void)drvbed_await_read (b, r->conn);
      drvbed_close (r->conn);
    }
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT_EQUAL (a->status, 502);
  drvbed_shutdown (b);
}

/* -- load reports --------------------------------------------------------- */

/* Where request ID goes: upstream 0 or 1. */
static size_t
place_of (drvbed_t *b, const char *id)
{
  const drvbed_answer_t *a = drvbed_ask (b, id);
  CU_ASSERT (drvbed_await_answer (b, a));
  return drvbed_request_count (b, 0, id) > 0 ? 0 : 1;
}

/* Guards against a report whose head is spoilt: what it says of its upstream,
 * that it is leaving, is not used. */
static void
test_spoilt_report_is_none (void)
{
  static const struct
  {
    const char *header;
    size_t place;
  } rows[] = {
    { "Server-Leaving: 1", 1 },
    { "Server-Leaving: 1\r\nX-Note", 0 },
    { "Server-Leaving: 1\r\nX Note: a", 0 },
    { "Server-Leaving: 1\r\nContent-Encoding: gzip", 0 },
    { "Server-Leaving: 1\r\nContent-Length: 17x", 0 },
  };
  for (size_t i = 0; i < COUNT (rows); i++)
    {
      drvbed_t *b = drvbed_setup_with (
          &(drvbed_desc_t){ .upstreams = 2, .born = 1000 });
      TST_NEED (b != NULL);
      drvbed_serve (b, 0);
      drvbed_serve (b, 1);
      CU_ASSERT_EQUAL (place_of (b, "r-1"), 0);
      drvbed_says (
          b, 0,
          &(drvbed_says_t){ .report_header = rows[i].header, .born = 1000 });
      CU_ASSERT (drvbed_await_reports (b, 0, 1));
      size_t place = place_of (b, "r-2");
      CU_ASSERT_EQUAL (place, rows[i].place);
      if (place != rows[i].place)
        (void)printf ("%s: at %zu\n", rows[i].header, place);
      drvbed_shutdown (b);
    }
}

/* -- tunnels -------------------------------------------------------------- */

/* Guards against the word of a tunnel whose answer is spoilt: the request has
 * not left, and nothing is known of the upstream. */
static void
test_spoilt_answer_of_a_tunnel_is_none (void)
{
  static const struct
  {
    const char *answer;
    ev_tunnel_t tunnel;
  } rows[] = {
    { "HTTP/1.1 200 OK\r\nX-Note\r\n\r\n", EV_TUNNEL_UNREACHED },
    { "HTTP/1.1 200 OK\r\nX Note: a\r\n\r\n", EV_TUNNEL_UNREACHED },
    { "HTTP/1.1 200 OK\r\n", EV_TUNNEL_UNREACHED },
    { "HTTP/1.1 404 Refused\r\nX Note: a\r\n\r\n", EV_TUNNEL_UNREACHED },
    { "HTTP/1.1 502 Refused\r\nContent-Length: 0x\r\n\r\n",
      EV_TUNNEL_UNREACHED },
    { "HTTP/1.1 404 Refused\r\n", EV_TUNNEL_UNREACHED },
    { "HTTP/1.1 404 Refused\r\nContent-Length: 0\r\n\r\n", EV_TUNNEL_UNKNOWN },
    { "HTTP/1.1 502 Refused\r\nContent-Length: 0\r\n\r\n", EV_TUNNEL_DEAD },
    { "HTTP/1.1 503 Refused\r\nContent-Length: 0\r\n\r\n", EV_TUNNEL_REFUSED },
  };
  for (size_t i = 0; i < COUNT (rows); i++)
    {
      char bytes[4096];
      hclbed_t *b = hclbed_open ();
      (void)snprintf (b->listen, sizeof b->listen, "%s", b->address);
      hclbed_call (b, 1, true, buf_str ("b"));
      int fd = hclbed_accepted (b);
      CU_ASSERT (fd >= 0);
      (void)send (fd, rows[i].answer, strlen (rows[i].answer), MSG_NOSIGNAL);
      (void)shutdown (fd, SHUT_WR);
      hclbed_await (b, 1, false);
      CU_ASSERT (b->failed == 1 && b->status == -1 && !b->malformed);
      CU_ASSERT_EQUAL (b->fail, EV_FAIL_NOT_SENT);
      CU_ASSERT_EQUAL (b->tunnel, rows[i].tunnel);
      if (b->tunnel != rows[i].tunnel || b->fail != EV_FAIL_NOT_SENT)
        (void)printf ("row %zu: fail %d, tunnel %d\n", i, b->fail, b->tunnel);
      ssize_t n = recv (fd, bytes, sizeof bytes, 0);
      CU_ASSERT (n > 0 && g_strstr_len (bytes, n, "POST ") == NULL);
      close (fd);
      hclbed_close (b);
    }
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "spoilt_head_completes_no_item", test_spoilt_head_completes_no_item },
    { "stream_is_not_taken_up_with_a_spoilt_head",
      test_stream_is_not_taken_up_with_a_spoilt_head },
    { "spoilt_promise_is_none", test_spoilt_promise_is_none },
    { "spoilt_heads_everywhere_are_no_promise",
      test_spoilt_heads_everywhere_are_no_promise },
    { "spoilt_report_is_none", test_spoilt_report_is_none },
    { "spoilt_answer_of_a_tunnel_is_none",
      test_spoilt_answer_of_a_tunnel_is_none },
  };
  return tst_run ("spoilt_readers", cases, sizeof cases / sizeof cases[0]);
}
