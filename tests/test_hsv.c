/** @file
 * The HTTP server over real sockets: complete and truncated responses, bodies
 * and headers above their limits, a caller that closes.
 */
#include "io/hsv.h"
#include "sock.h"
#include "tst.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

/* Turns of the event loop in a wait; some last 200 ms, the interval of the
 * server's check for disconnected callers. */
#define LOOPS_MAX 150
#define BODY_MAX 4000
#define BODIES_MAX 6000

/* A server and the events that its handler has received. */
typedef struct
{
  struct tevent_context *loop;
  hsv_t *server;
  uint16_t port;
  uint64_t caller; /* caller of the last request */
  size_t body;     /* size of the last request's body */
  int requests;
  int callers_gone;
} fixture_t;

static void
on_event (void *data, const ev_t *ev)
{
  fixture_t *f = data;
  if (ev->kind == EV_CALLER_GONE)
    f->callers_gone++;
  if (ev->kind != EV_REQUEST)
    return;
  f->requests++;
  f->caller = ev->request.caller;
  f->body = ev->request.body.n;
}

static void
on_flow (void *data, uint64_t caller, bool full)
{
  (void)data;
  (void)caller;
  (void)full;
}

static bool
fixture_open (fixture_t *f)
{
  char address[32];
  st_t st = { 0 };
  *f = (fixture_t){ .loop = tevent_context_init (NULL),
                    .port = sock_free_port () };
  (void)snprintf (address, sizeof address, "127.0.0.1:%u", f->port);
  f->server = hsv_setup (f->loop,
                         &(hsv_desc_t){ .loop = f->loop,
                                        .listen = address,
                                        .handler = on_event,
                                        .flow = on_flow,
                                        .data = f,
                                        .body_max = BODY_MAX,
                                        .bodies_max = BODIES_MAX },
                         &st);
  return f->server != NULL;
}

/* Connects and sends TEXT followed by N bytes of body; returns the socket. */
static int
send_request (const fixture_t *f, const char *text, size_t n)
{
  static const char zeros[1 << 16];
  int fd = sock_connect (f->port);
  (void)send (fd, text, strlen (text), MSG_NOSIGNAL);
  (void)send (fd, zeros, n, MSG_NOSIGNAL);
  return fd;
}

/* Runs the event loop until WORD arrives on FD (true), or the server closes
 * or delivers a request to the handler, or LOOPS_MAX turns pass (false). */
static bool
receives (fixture_t *f, int fd, const char *word)
{
  char received[8192];
  size_t n = 0;
  int before = f->requests;
  for (int i = 0; i < LOOPS_MAX && f->requests == before; i++)
    {
      (void)tevent_loop_once (f->loop);
      ssize_t more
          = recv (fd, received + n, sizeof received - 1 - n, MSG_DONTWAIT);
      if (more == 0 || (more < 0 && errno != EAGAIN))
        break;
      n += more > 0 ? (size_t)more : 0;
      received[n] = '\0';
      if (strstr (received, word) != NULL)
        return true;
    }
  return false;
}

static bool
wait_for (fixture_t *f, const int *value)
{
  for (int i = 0; i < LOOPS_MAX && *value == 0; i++)
    (void)tevent_loop_once (f->loop);
  return *value != 0;
}

/* The empty last chunk ("0") ends a complete response.  An aborted response
 * must not have the last chunk, or its caller would take a part for all. */
static void
test_response_is_complete_or_visibly_truncated (void)
{
  fixture_t f;
  TST_NEED (fixture_open (&f));
  int fd = send_request (&f, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", 0);
  CU_ASSERT (wait_for (&f, &f.requests));
  hsv_reply_head (f.server, f.caller, 200, (http_headers_t){ 0 });
  hsv_reply_data (f.server, f.caller, buf_str ("half"));
  CU_ASSERT (receives (&f, fd, "half"));
  hsv_reply_data (f.server, f.caller, buf_str ("-whole"));
  hsv_reply_end (f.server, f.caller);
  CU_ASSERT (receives (&f, fd, "-whole\r\n0\r\n\r\n"));
  close (fd);
  f.requests = 0;
  fd = send_request (&f, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n", 0);
  CU_ASSERT (wait_for (&f, &f.requests));
  hsv_reply_head (f.server, f.caller, 200, (http_headers_t){ 0 });
  hsv_reply_data (f.server, f.caller, buf_str ("half"));
  hsv_reply_abort (f.server, f.caller);
  CU_ASSERT_FALSE (receives (&f, fd, "\r\n0\r\n\r\n"));
  close (fd);
  talloc_free (f.loop);
}

static void
test_bodies_and_headers_above_their_limits_are_refused (void)
{
  fixture_t f;
  TST_NEED (fixture_open (&f));
  int fd = send_request (
      &f, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", 5000);
  CU_ASSERT (receives (&f, fd, "413"));
  close (fd);
  char *head = talloc_strdup (f.loop, "GET / HTTP/1.1\r\nHost: x\r\nX: ");
  for (int i = 0; i < 4096; i++)
    head = talloc_strdup_append_buffer (head, "0123456789abcdef");
  fd = send_request (&f, head, 0);
  CU_ASSERT (receives (&f, fd, "431"));
  close (fd);
  CU_ASSERT_EQUAL (f.requests, 0);
  talloc_free (f.loop);
}

/* A request whose body is incomplete counts against BODIES_MAX.  When its
 * caller closes, the server must release these bytes, or the server would
 * refuse all bodies after some time. */
static void
test_all_bodies_together_stay_below_their_limit (void)
{
  static const char head[]
      = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3900\r\n\r\n";
  fixture_t f;
  TST_NEED (fixture_open (&f));
  int slow = send_request (&f, head, 3800);
  for (int i = 0; i < 20; i++)
    (void)tevent_loop_once (f.loop);
  int second = send_request (&f, head, 3900);
  CU_ASSERT (receives (&f, second, "503"));
  close (second);
  CU_ASSERT_EQUAL (f.requests, 0);
  close (slow);
  int third = -1;
  for (int attempts = 0; attempts < 20 && f.requests == 0; attempts++)
    {
      third = send_request (&f, head, 3900);
      (void)receives (&f, third, "503");
      close (third);
    }
  CU_ASSERT (f.requests > 0);
  talloc_free (f.loop);
}

static void
test_closed_caller_is_reported_once (void)
{
  fixture_t f;
  TST_NEED (fixture_open (&f));
  int fd = send_request (&f, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0);
  CU_ASSERT (wait_for (&f, &f.requests));
  CU_ASSERT_EQUAL (f.callers_gone, 0);
  close (fd);
  CU_ASSERT (wait_for (&f, &f.callers_gone));
  for (int i = 0; i < 20; i++)
    (void)tevent_loop_once (f.loop);
  CU_ASSERT_EQUAL (f.callers_gone, 1);
  CU_ASSERT_EQUAL (hsv_open_count (f.server), 0);
  talloc_free (f.loop);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "response_is_complete_or_visibly_truncated",
      test_response_is_complete_or_visibly_truncated },
    { "bodies_and_headers_above_their_limits_are_refused",
      test_bodies_and_headers_above_their_limits_are_refused },
    { "all_bodies_together_stay_below_their_limit",
      test_all_bodies_together_stay_below_their_limit },
    { "closed_caller_is_reported_once", test_closed_caller_is_reported_once },
  };
  return tst_run ("hsv", cases, sizeof cases / sizeof cases[0]);
}
