/** @file
 * Answers of upstreams with neither a length nor chunks, which end with their
 * connection, over real sockets: one that broke off must not look complete to
 * its caller.
 */
#include "drvbed.h"
#include "io/hcl.h"
#include "sock.h"
#include "tst.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define UPSTREAMS 2
/* Steps of STEP_MS in which a plain caller waits for its connection's end. */
#define STEPS_MAX 200
#define STEP_MS 20

/* What an upstream does after its bytes. */
typedef enum
{
  END_CLOSE,
  END_RESET,
  END_SILENCE,
} end_t;

/* First bytes of a body, cut from a stream of events. */
#define EVENT_1 "id: 1\ndata: r-1 e1\n\n"
#define EVENT_2 "id: 2\ndata: r-1 e2\n\n"
#define EVENT_3 "id: 3\ndata: r-1 e3\n\n"
#define WHOLE EVENT_1 EVENT_2 EVENT_3

static const char *
head_with (const char *type, const char *framing)
{
  static char head[256];
  (void)snprintf (head, sizeof head,
                  "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n"
                  "Response-Signature: signature-of-r-1\r\n"
                  "Content-Type: %s\r\n%s\r\n",
                  type, framing);
  return head;
}

/* Sends BODY without framing as the answer to R, and ends as END says. */
static void
send_answer (drvbed_t *b, const drvbed_request_t *r, const char *type,
             const char *body, end_t end)
{
  drvbed_send (r->conn, head_with (type, ""));
  drvbed_send (r->conn, body);
  (void)drvbed_await_read (b, r->conn);
  if (end == END_CLOSE)
    drvbed_close (r->conn);
  else if (end == END_RESET)
    drvbed_reset (r->conn);
}

/* An answer of upstream 0. */
typedef struct
{
  const char *path;
  const char *type; /* NULL: a stream of events */
  const char *body;
  end_t end;
} answer_t;

/* Asks on A's route and has upstream 0 answer with A; upstream 1 answers
 * properly if it is asked.  The caller's answer, ended; NULL: none. */
static drvbed_answer_t *
ask (drvbed_t *b, const answer_t *answer)
{
  drvbed_serve (b, 1);
  drvbed_answer_t *a = drvbed_ask_at (b, "r-1", answer->path);
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  if (r == NULL)
    return NULL;
  send_answer (b, r, answer->type == NULL ? "text/event-stream" : answer->type,
               answer->body, answer->end);
  return drvbed_await_answer (b, a) ? a : NULL;
}

/* The caller must see that its answer broke off, and the request ran once. */
static void
check_broken (const answer_t *answer)
{
  drvbed_t *b = drvbed_setup (UPSTREAMS);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = ask (b, answer);
  CU_ASSERT_PTR_NOT_NULL (a);
  CU_ASSERT (a != NULL && a->failed);
  CU_ASSERT_EQUAL (drvbed_request_count (b, 1, "r-1"), 0);
  drvbed_shutdown (b);
}

/* The caller must get BODY, as complete as the upstream said: up to the end of
 * the connection. */
static void
check_passed_on (const answer_t *answer)
{
  drvbed_t *b = drvbed_setup (UPSTREAMS);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = ask (b, answer);
  CU_ASSERT_PTR_NOT_NULL (a);
  if (a != NULL)
    {
      CU_ASSERT (!a->failed);
      CU_ASSERT (a->close_delimited);
      CU_ASSERT_EQUAL (a->status, 200);
      CU_ASSERT_STRING_EQUAL (a->body->str, answer->body);
    }
  CU_ASSERT_EQUAL (drvbed_request_count (b, 1, "r-1"), 0);
  drvbed_shutdown (b);
}

/* The caller must get the whole stream, with upstream 1's help. */
static void
check_repaired (const answer_t *answer)
{
  drvbed_t *b = drvbed_setup (UPSTREAMS);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = ask (b, answer);
  CU_ASSERT (a != NULL && drvbed_is_own (a));
  CU_ASSERT_EQUAL (drvbed_request_count (b, 1, "r-1"), 1);
  drvbed_shutdown (b);
}

/* -- streams that may not be resumed -------------------------------------- */

/* Guards against the fault of incident inc3: a stream that broke off within an
 * event reached its caller in chunks with a proper end. */
static void
test_stream_cut_within_an_event_is_broken (void)
{
  check_broken (
      &(answer_t){ .path = DRVBED_STREAM, .body = EVENT_1 "id: 2\ndata" });
}

/* The same where no event is whole. */
static void
test_stream_cut_within_its_first_event_is_broken (void)
{
  check_broken (&(answer_t){ .path = DRVBED_STREAM, .body = "id: 1\nda" });
}

/* The same where the blank line is missing that ends the last event. */
static void
test_stream_cut_before_a_blank_line_is_broken (void)
{
  check_broken (&(answer_t){ .path = DRVBED_STREAM,
                             .body = EVENT_1 "id: 2\ndata: r-1 e2\n" });
}

/* The same for a type with parameters, in other letters. */
static void
test_cut_stream_with_a_parameter_in_its_type_is_broken (void)
{
  check_broken (&(answer_t){ .path = DRVBED_STREAM,
                             .type = "Text/Event-Stream; charset=utf-8",
                             .body = EVENT_1 "id: 2\ndata" });
}

/* Guards against a stream without any event, whose upstream broke off behind
 * the head, as a complete one. */
static void
test_stream_that_ends_behind_its_head_is_broken (void)
{
  check_broken (&(answer_t){ .path = DRVBED_STREAM, .body = "" });
}

/* Guards against a reset as the end of an answer. */
static void
test_stream_reset_between_events_is_broken (void)
{
  check_broken (&(answer_t){
      .path = DRVBED_STREAM, .body = EVENT_1 EVENT_2, .end = END_RESET });
}

/* Guards against the request's time limit as the end of an answer. */
static void
test_stream_out_of_time_between_events_is_broken (void)
{
  check_broken (&(answer_t){
      .path = DRVBED_STREAM, .body = EVENT_1 EVENT_2, .end = END_SILENCE });
}

/* Guards against framing of ours that claims what nobody has said: a stream
 * that ends between two events may be whole or not. */
static void
test_end_between_events_is_passed_on_as_it_came (void)
{
  check_passed_on (
      &(answer_t){ .path = DRVBED_STREAM, .body = EVENT_1 EVENT_2 });
}

/* Guards against a whole stream that is taken for a broken one. */
static void
test_whole_stream_arrives (void)
{
  check_passed_on (&(answer_t){ .path = DRVBED_STREAM, .body = WHOLE });
}

/* -- streams that may be resumed ------------------------------------------ */

/* Guards against a cut stream that is not gone on with. */
static void
test_resumable_stream_cut_within_an_event_goes_on (void)
{
  check_repaired (
      &(answer_t){ .path = DRVBED_RESUMABLE, .body = EVENT_1 "id: 2\ndata" });
}

/* The same for one that was reset between two events. */
static void
test_resumable_stream_reset_between_events_goes_on (void)
{
  check_repaired (&(answer_t){
      .path = DRVBED_RESUMABLE, .body = EVENT_1, .end = END_RESET });
}

/* The same for one that ended behind its head. */
static void
test_resumable_stream_that_ends_behind_its_head_goes_on (void)
{
  check_repaired (&(answer_t){ .path = DRVBED_RESUMABLE, .body = "" });
}

/* Guards against a whole stream that is asked for once more. */
static void
test_whole_resumable_stream_arrives (void)
{
  check_passed_on (&(answer_t){ .path = DRVBED_RESUMABLE, .body = WHOLE });
}

/* Has upstream 0 break off in chunks behind event 1, and upstream 1 go on with
 * BODY, without framing.  The caller, whose answer is in chunks, must see that
 * it broke off. */
static void
check_resumed_part (const char *body)
{
  drvbed_t *b = drvbed_setup (UPSTREAMS);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = drvbed_ask (b, "r-1");
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r != NULL)
    {
      drvbed_send (r->conn, head_with ("text/event-stream",
                                       "Transfer-Encoding: chunked\r\n"));
      drvbed_send (r->conn, "14\r\n" EVENT_1 "\r\n");
      (void)drvbed_await_read (b, r->conn);
      drvbed_close (r->conn);
    }
  r = drvbed_await_request (b, 1, "r-1");
  CU_ASSERT (r != NULL && g_strcmp0 (r->after, "1") == 0);
  if (r != NULL)
    send_answer (b, r, "text/event-stream", body, END_CLOSE);
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (a->failed);
  CU_ASSERT (!a->close_delimited);
  drvbed_shutdown (b);
}

/* Guards against a resumed part that ends between two events as the proven end
 * of an answer in chunks. */
static void
test_resumed_part_that_ends_by_close_proves_no_end (void)
{
  check_resumed_part (EVENT_2);
}

/* The same within an event. */
static void
test_resumed_part_cut_within_an_event_is_broken (void)
{
  check_resumed_part (EVENT_2 "id: 3");
}

/* -- answers that are no streams ------------------------------------------ */

/* Guards against a length of ours for a body whose end nobody has said. */
static void
test_plain_body_is_passed_on_as_it_came (void)
{
  check_passed_on (&(answer_t){ .path = DRVBED_PLAIN,
                                .type = "application/json",
                                .body = "{\"answer\":" });
}

/* Guards against a body that was reset as an answer: another upstream gives
 * it. */
static void
test_plain_body_that_is_reset_is_no_answer (void)
{
  check_repaired (&(answer_t){ .path = DRVBED_PLAIN,
                               .type = "application/json",
                               .body = "{\"answer\":",
                               .end = END_RESET });
}

/* Guards against a known length that is lost on the way. */
static void
test_framed_answer_stays_framed (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_serve (b, 0);
  drvbed_answer_t *plain = drvbed_ask_at (b, "r-1", DRVBED_PLAIN);
  drvbed_answer_t *stream = drvbed_ask_at (b, "r-2", DRVBED_STREAM);
  CU_ASSERT (drvbed_await_answer (b, plain));
  CU_ASSERT (drvbed_await_answer (b, stream));
  CU_ASSERT (drvbed_is_own (plain) && !plain->close_delimited);
  CU_ASSERT (drvbed_is_own (stream) && !stream->close_delimited);
  drvbed_shutdown (b);
}

/* -- callers' own connections --------------------------------------------- */

/* What a plain caller has received. */
typedef struct
{
  char bytes[4096];
  size_t n;
  bool closed;
  bool reset;
} received_t;

/* Reads FD to its end. */
static void
read_to_end (drvbed_t *b, int fd, received_t *got)
{
  *got = (received_t){ .n = 0 };
  for (int i = 0; i < STEPS_MAX && !got->closed && !got->reset; i++)
    {
      drvbed_pass (b, STEP_MS);
      ssize_t n = recv (fd, got->bytes + got->n,
                        sizeof got->bytes - 1 - got->n, MSG_DONTWAIT);
      got->closed = n == 0;
      got->reset = n < 0 && errno == ECONNRESET;
      if (n > 0)
        got->n += (size_t)n;
    }
  got->bytes[got->n] = '\0';
}

/* Asks as a caller of HTTP VERSION with HEADERS; upstream 0 answers in chunks
 * with event 1, and then ends the answer properly if WHOLE, else breaks off.
 */
static void
ask_plainly (const char *version, const char *headers, bool whole,
             received_t *got)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  const char *text
      = drvbed_request_text (b, "r-1", DRVBED_STREAM, version, headers);
  int fd = sock_connect (drvbed_port (b));
  (void)send (fd, text, strlen (text), MSG_NOSIGNAL);
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r != NULL)
    {
      drvbed_send (r->conn, head_with ("text/event-stream",
                                       "Transfer-Encoding: chunked\r\n"));
      drvbed_send (r->conn, "14\r\n" EVENT_1 "\r\n");
      (void)drvbed_await_read (b, r->conn);
      if (whole)
        drvbed_send (r->conn, "0\r\n\r\n");
      else
        drvbed_close (r->conn);
    }
  read_to_end (b, fd, got);
  (void)close (fd);
  drvbed_shutdown (b);
}

/* Guards against a broken answer that looks complete to a caller that knows no
 * chunks: its end must be a reset. */
static void
test_broken_answer_to_an_old_caller_is_reset (void)
{
  received_t got = { .n = 0 };
  ask_plainly ("1.0", "", false, &got);
  CU_ASSERT (got.reset);
  CU_ASSERT (!got.closed);
}

/* Guards against a whole answer that looks broken to it. */
static void
test_whole_answer_to_an_old_caller_is_closed (void)
{
  received_t got = { .n = 0 };
  ask_plainly ("1.0", "", true, &got);
  CU_ASSERT (got.closed);
  CU_ASSERT_PTR_NOT_NULL (strstr (got.bytes, "\r\n\r\n" EVENT_1));
}

/* Guards against a broken answer with a proper last chunk for a caller that
 * wants its connection closed. */
static void
test_broken_answer_before_a_close_has_no_last_chunk (void)
{
  received_t got = { .n = 0 };
  ask_plainly ("1.1", "Connection: close\r\n", false, &got);
  CU_ASSERT (got.closed || got.reset);
  CU_ASSERT_PTR_NULL (strstr (got.bytes, "\r\n0\r\n"));
  ask_plainly ("1.1", "Connection: close\r\n", true, &got);
  CU_ASSERT (got.closed);
  CU_ASSERT_PTR_NOT_NULL (strstr (got.bytes, "\r\n0\r\n"));
}

/* Guards against the end of a VM's process as the end of an answer that ends
 * with its connection. */
static void
test_end_of_the_vm_ends_no_answer (void)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_answer_t *a = drvbed_ask_at (b, "r-1", DRVBED_STREAM);
  drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r != NULL)
    {
      send_answer (b, r, "text/event-stream", EVENT_1, END_SILENCE);
      CU_ASSERT (drvbed_await_head (b, a));
      drvbed_pass (b, STEP_MS);
      CU_ASSERT (drvbed_restart (b));
      CU_ASSERT (drvbed_await_answer (b, a));
      CU_ASSERT (a->failed);
    }
  drvbed_shutdown (b);
}

/* -- calls whose answers must have framing -------------------------------- */

/* The outcome of a call of the HTTP client. */
typedef struct
{
  bool ended;
  bool failed;
  ev_fail_t fail;
} outcome_t;

static void
on_call (void *data, const hcl_event_t *e)
{
  outcome_t *o = data;
  o->failed = o->failed || e->kind == EV_UPSTREAM_FAIL;
  o->ended = o->failed || e->kind == EV_UPSTREAM_END;
  o->fail = e->fail;
}

static void
on_step (struct tevent_context *loop, struct tevent_timer *timer,
         struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  bool *stepped = data;
  *stepped = true;
}

/* Runs LOOP for STEP_MS. */
static void
step (struct tevent_context *loop)
{
  bool stepped = false;
  tevent_add_timer (loop, loop, tevent_timeval_current_ofs (0, STEP_MS * 1000),
                    on_step, &stepped);
  while (!stepped)
    (void)tevent_loop_once (loop);
}

/* Calls a server that answers with BYTES and closes. */
static outcome_t
call (bool framing_required, const char *bytes)
{
  char address[32];
  outcome_t o = { .ended = false };
  struct tevent_context *loop = tevent_context_init (NULL);
  uint16_t port = 0;
  int listener = sock_listen (&port);
  (void)snprintf (address, sizeof address, "127.0.0.1:%u", port);
  hcl_t *client = hcl_setup (
      loop, &(hcl_desc_t){ .loop = loop, .handler = on_call, .data = &o });
  hcl_call (client, &(hcl_call_t){ .owner = HCL_PLATFORM,
                                   .id = 1,
                                   .address = address,
                                   .method = "GET",
                                   .path = "/",
                                   .framing_required = framing_required });
  step (loop);
  int fd = accept (listener, NULL, NULL);
  (void)send (fd, bytes, strlen (bytes), MSG_NOSIGNAL);
  (void)shutdown (fd, SHUT_WR);
  for (int i = 0; i < STEPS_MAX && !o.ended; i++)
    step (loop);
  (void)close (fd);
  (void)close (listener);
  talloc_free (loop);
  return o;
}

/* Guards against a value of the platform that broke off as a whole one. */
static void
test_value_ended_by_close_is_no_value (void)
{
  static const char unframed[] = "HTTP/1.1 200 OK\r\nX-Version: 3\r\n\r\nval";
  outcome_t o = call (true, unframed);
  CU_ASSERT (o.failed);
  CU_ASSERT_EQUAL (o.fail, EV_FAIL_UNKNOWN);
  o = call (false, unframed);
  CU_ASSERT (o.ended && !o.failed);
  o = call (true, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nval");
  CU_ASSERT (o.ended && !o.failed);
  o = call (true, "HTTP/1.1 204 No Content\r\n\r\n");
  CU_ASSERT (o.ended && !o.failed);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "stream_cut_within_an_event_is_broken",
      test_stream_cut_within_an_event_is_broken },
    { "stream_cut_within_its_first_event_is_broken",
      test_stream_cut_within_its_first_event_is_broken },
    { "stream_cut_before_a_blank_line_is_broken",
      test_stream_cut_before_a_blank_line_is_broken },
    { "cut_stream_with_a_parameter_in_its_type_is_broken",
      test_cut_stream_with_a_parameter_in_its_type_is_broken },
    { "stream_that_ends_behind_its_head_is_broken",
      test_stream_that_ends_behind_its_head_is_broken },
    { "stream_reset_between_events_is_broken",
      test_stream_reset_between_events_is_broken },
    { "stream_out_of_time_between_events_is_broken",
      test_stream_out_of_time_between_events_is_broken },
    { "end_between_events_is_passed_on_as_it_came",
      test_end_between_events_is_passed_on_as_it_came },
    { "whole_stream_arrives", test_whole_stream_arrives },
    { "resumable_stream_cut_within_an_event_goes_on",
      test_resumable_stream_cut_within_an_event_goes_on },
    { "resumable_stream_reset_between_events_goes_on",
      test_resumable_stream_reset_between_events_goes_on },
    { "resumable_stream_that_ends_behind_its_head_goes_on",
      test_resumable_stream_that_ends_behind_its_head_goes_on },
    { "whole_resumable_stream_arrives", test_whole_resumable_stream_arrives },
    { "resumed_part_that_ends_by_close_proves_no_end",
      test_resumed_part_that_ends_by_close_proves_no_end },
    { "resumed_part_cut_within_an_event_is_broken",
      test_resumed_part_cut_within_an_event_is_broken },
    { "plain_body_is_passed_on_as_it_came",
      test_plain_body_is_passed_on_as_it_came },
    { "plain_body_that_is_reset_is_no_answer",
      test_plain_body_that_is_reset_is_no_answer },
    { "framed_answer_stays_framed", test_framed_answer_stays_framed },
    { "broken_answer_to_an_old_caller_is_reset",
      test_broken_answer_to_an_old_caller_is_reset },
    { "whole_answer_to_an_old_caller_is_closed",
      test_whole_answer_to_an_old_caller_is_closed },
    { "broken_answer_before_a_close_has_no_last_chunk",
      test_broken_answer_before_a_close_has_no_last_chunk },
    { "end_of_the_vm_ends_no_answer", test_end_of_the_vm_ends_no_answer },
    { "value_ended_by_close_is_no_value",
      test_value_ended_by_close_is_no_value },
  };
  return tst_run ("close_delimited", cases, sizeof cases / sizeof cases[0]);
}
