/** @file
 * Streams and versions over real sockets: the version in the platform's list
 * and what a caller says in Resumes reach the choice of the upstream.
 * Upstreams 0 and 1 are of version v1, 2 and 3 of v2.
 */
#include "drvbed.h"
#include "tst.h"

#include <stdio.h>
#include <string.h>

#define UPSTREAMS 4
#define TRIES 8
#define LOOK_MS 10
#define LOOKS_MAX 300
#define EVENT_1 "id: 1\ndata: x\n\n"

/* A bed whose list names the versions. */
static drvbed_t *
setup (void)
{
  char name[16];
  drvbed_t *b = drvbed_setup_with (
      &(drvbed_desc_t){ .upstreams = UPSTREAMS, .near = true });
  for (size_t u = 0; b != NULL && u < UPSTREAMS; u++)
    {
      (void)snprintf (name, sizeof name, "up-%zu", u);
      drvbed_list (b, &(drvbed_entry_t){ .name = name,
                                         .upstream = u,
                                         .version = u < 2 ? "v1" : "v2" });
    }
  CU_ASSERT (b != NULL && drvbed_await_listed (b));
  return b;
}

/* Waits for request ID at an upstream other than NOT; UPSTREAMS: it reaches
 * none. */
static size_t
await_upstream (drvbed_t *b, const char *id, size_t not )
{
  for (int i = 0; i < LOOKS_MAX; i++)
    {
      for (size_t u = 0; u < UPSTREAMS; u++)
        if (u != not &&drvbed_request_count (b, u, id) > 0)
          return u;
      drvbed_pass (b, LOOK_MS);
    }
  return UPSTREAMS;
}

/* Answers request ID at upstream U with event 1, in chunks, and breaks off. */
static void
answer_and_break (drvbed_t *b, size_t u, const char *id)
{
  char head[256];
  drvbed_request_t *r = drvbed_await_request (b, u, id);
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r == NULL)
    return;
  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
                  "Response-Signature: signature\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n",
                  id);
  drvbed_send (r->conn, head);
  drvbed_send (r->conn, "10\r\n" EVENT_1 "\r\n");
  (void)drvbed_await_read (b, r->conn);
  drvbed_close (r->conn);
}

/* Guards against a list's version that is not read: within one answer the VM
 * goes on at another one. */
static void
test_answer_goes_on_at_its_version (void)
{
  drvbed_t *b = setup ();
  TST_NEED (b != NULL);
  for (unsigned i = 0; i < TRIES; i++)
    {
      char id[16];
      (void)snprintf (id, sizeof id, "r-%u", i);
      (void)drvbed_ask (b, id);
      size_t first = await_upstream (b, id, UPSTREAMS);
      CU_ASSERT (first < UPSTREAMS);
      if (first == UPSTREAMS)
        break;
      answer_and_break (b, first, id);
      size_t next = await_upstream (b, id, first);
      CU_ASSERT (next < UPSTREAMS && next / 2 == first / 2);
      if (next < UPSTREAMS)
        drvbed_respond (b, drvbed_await_request (b, next, id));
      /* Both are tried again: a suspicion ends after 500 ms. */
      drvbed_pass (b, 600);
    }
  drvbed_shutdown (b);
}

/* Guards against Resumes that is not read: a caller's next try goes to any
 * version. */
static void
test_take_up_goes_to_its_version (void)
{
  drvbed_t *b = setup ();
  TST_NEED (b != NULL);
  for (size_t u = 0; u < UPSTREAMS; u++)
    drvbed_serve (b, u);
  for (unsigned i = 0; i < TRIES; i++)
    {
      char first[16];
      char next[16];
      (void)snprintf (first, sizeof first, "r-%u", i);
      (void)snprintf (next, sizeof next, "t-%u", i);
      CU_ASSERT (drvbed_await_answer (b, drvbed_ask (b, first)));
      drvbed_answer_t *a = drvbed_take_up (b, next, first, "1");
      CU_ASSERT (drvbed_await_answer (b, a));
      CU_ASSERT_EQUAL (a->status, 200);
      CU_ASSERT_EQUAL (await_upstream (b, first, UPSTREAMS) / 2,
                       await_upstream (b, next, UPSTREAMS) / 2);
    }
  drvbed_shutdown (b);
}

/* Guards against a stream of unknown beginning that goes on at any version. */
static void
test_unknown_stream_is_refused_at_once (void)
{
  drvbed_t *b = setup ();
  TST_NEED (b != NULL);
  drvbed_answer_t *a = drvbed_take_up (b, "t-1", "no-such", "1");
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT_EQUAL (a->status, 503);
  CU_ASSERT_PTR_NOT_NULL (a->retry_after);
  CU_ASSERT (a->head_at - a->asked_at < CLK_SECOND);
  for (size_t u = 0; u < UPSTREAMS; u++)
    CU_ASSERT_EQUAL (drvbed_request_count (b, u, "t-1"), 0);
  drvbed_shutdown (b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "answer_goes_on_at_its_version", test_answer_goes_on_at_its_version },
    { "take_up_goes_to_its_version", test_take_up_goes_to_its_version },
    { "unknown_stream_is_refused_at_once",
      test_unknown_stream_is_refused_at_once },
  };
  return tst_run ("versions_sockets", cases, sizeof cases / sizeof cases[0]);
}
