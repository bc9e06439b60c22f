/** @file
 * Bytes without end over real sockets: a whole VM on its bed, and an upstream
 * that sends bytes that are no response until the VM closes.
 */
#include "drvbed_int.h"
#include "flood.h"
#include "sock.h"
#include "tst.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

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
/* What waits for a caller before the upstream is paused, and what comes of a
 * body at once, in bytes. */
#define QUEUE_MAX ((size_t)256 << 10)
#define TURN_MAX ((size_t)64 << 10)
#define EVENT_SIZE 1000
/* Descriptors searched for the VM's end of a connection. */
#define FDS_MAX 1024
/* Bytes that a caller reads at once. */
#define READ_SIZE ((size_t)64 << 10)
#define READ_SIZE_SMALL ((size_t)4 << 10)
/* Start of a response that a caller keeps, with the whole head. */
#define HEAD_SIZE 512
/* Deadline of a request whose response the VM passes on as it comes. */
#define DEADLINE_MS 1700

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

/* Sends FIRST and then BLOCK without end on CONN until the VM closes it.
 * Returns the number of bytes sent. */
static size_t
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
  size_t sent = flood_sent (f);
  talloc_free (f);
  return sent;
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
      (void)check_closes (b, r->conn, first, block);
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

/* -- bodies --------------------------------------------------------------- */

#define OWN_STREAM_HEAD OWN_HEAD "Content-Type: text/event-stream\r\n"
#define OWN_OTHER_HEAD OWN_HEAD "Content-Type: application/json\r\n"

/* Guards against an event without end that fills the memory and keeps the
 * request from another upstream. */
static void
test_event_without_end (void)
{
  static const char *const bodies[][2] = {
    { OWN_STREAM_HEAD "\r\ndata: ", "of no use " },
    { OWN_STREAM_HEAD "\r\n", "data: of no use\n" },
    { OWN_STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n",
      "a\r\nof no use \r\n" },
  };
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    check_other_serves (bodies[i][0], bodies[i][1]);
}

/* A caller on a plain socket, which keeps nothing of the response but its
 * start and its end. */
typedef struct
{
  struct tevent_fd *event;
  int fd;
  size_t read_size; /* at once */
  bool closed;
  bool reset; /* closed, and not by an ordinary end */
  size_t received;
  char first[HEAD_SIZE];
  char last[8];
} caller_t;

static int
caller_destroy (caller_t *c)
{
  TALLOC_FREE (c->event);
  close (c->fd);
  return 0;
}

static void
on_response (struct tevent_context *loop, struct tevent_fd *event,
             uint16_t flags, void *data)
{
  (void)loop;
  (void)event;
  (void)flags;
  caller_t *c = data;
  char bytes[READ_SIZE];
  ssize_t n = recv (c->fd, bytes, c->read_size, MSG_DONTWAIT);
  c->reset = n < 0 && errno != EAGAIN;
  c->closed = n == 0 || c->reset;
  if (n <= 0)
    {
      if (c->closed)
        TALLOC_FREE (c->event);
      return;
    }
  size_t size = (size_t)n;
  if (c->received < sizeof c->first - 1)
    memcpy (c->first + c->received, bytes,
            MIN (size, sizeof c->first - 1 - c->received));
  size_t kept = MIN (size, sizeof c->last);
  memmove (c->last, c->last + kept, sizeof c->last - kept);
  memcpy (c->last + sizeof c->last - kept, bytes + size - kept, kept);
  c->received += size;
}

/* Whether C would take the response for complete: it has its last chunk or, if
 * it is not in chunks, an ordinary end. */
static bool
caller_is_content (const caller_t *c)
{
  if (strstr (c->first, "Transfer-Encoding: chunked") == NULL)
    return c->closed && !c->reset;
  return memcmp (c->last + sizeof c->last - 5, "0\r\n\r\n", 5) == 0;
}

static void
caller_read (drvbed_t *b, caller_t *c, size_t read_size)
{
  c->read_size = read_size;
  c->event = tevent_add_fd (b->loop, c, c->fd, TEVENT_FD_READ, on_response, c);
}

/* Sends request r-1 on a connection of its own, and reads READ_SIZE bytes of
 * the response at once; 0: none. */
static caller_t *
caller_open (drvbed_t *b, size_t read_size)
{
  uint16_t port
      = (uint16_t)strtoul (strchr (b->entry.listen, ':') + 1, NULL, 10);
  caller_t *c = talloc_zero (b, caller_t);
  *c = (caller_t){ .fd = sock_connect (port), .read_size = read_size };
  talloc_set_destructor (c, caller_destroy);
  if (read_size > 0)
    caller_read (b, c, read_size);
  char *text = talloc_asprintf (c,
                                "POST /fit/stream HTTP/1.1\r\n"
                                "Host: desk.example\r\nRequest-Id: r-1\r\n"
                                "Deadline-Ms: %d\r\n"
                                "Authorization: Bearer " DRVBED_KEY "\r\n"
                                "Content-Length: 2\r\n\r\n{}",
                                DEADLINE_MS);
  (void)send (c->fd, text, strlen (text), MSG_NOSIGNAL);
  return c;
}

static bool
is_caller_closed (const void *data)
{
  const caller_t *c = data;
  return c->closed;
}

/* The only upstream answers with FIRST and BLOCK without end: the VM passes it
 * on at the caller's pace and closes after the deadline. */
static void
check_passed_on (const char *first, const char *block, size_t read_size)
{
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  caller_t *c = caller_open (b, read_size);
  const drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  if (r != NULL)
    {
      (void)check_closes (b, r->conn, first, block);
      if (read_size == 0)
        caller_read (b, c, READ_SIZE);
      CU_ASSERT (drvbed_wait (b, DRVBED_WAIT_MS, is_caller_closed, c));
      CU_ASSERT (!caller_is_content (c));
    }
  CU_ASSERT_PTR_NOT_NULL (r);
  drvbed_shutdown (b);
}

/* Guards against a body without end that fills the memory though its caller
 * reads it. */
static void
test_body_without_end_and_a_reader (void)
{
  check_passed_on (OWN_OTHER_HEAD "\r\n", "of no use ", READ_SIZE);
  check_passed_on (OWN_STREAM_HEAD "\r\n", "id: 1\n\n", READ_SIZE);
}

/* The same, where the caller reads more slowly than the body comes, so that
 * some of it always waits. */
static void
test_body_without_end_and_a_slow_reader (void)
{
  check_passed_on (OWN_OTHER_HEAD "\r\n", "of no use ", READ_SIZE_SMALL);
  check_passed_on (OWN_STREAM_HEAD "\r\n", "id: 1\n\n", READ_SIZE_SMALL);
}

/* The same, where the caller does not read. */
static void
test_body_without_end_and_no_reader (void)
{
  check_passed_on (OWN_OTHER_HEAD "\r\n", "of no use ", 0);
  check_passed_on (OWN_STREAM_HEAD "\r\n", "id: 1\n\n", 0);
}

/* The end of C's connection at the VM, which is in this process too; -1: not
 * accepted yet. */
static int
vm_end (const caller_t *c)
{
  struct sockaddr_in own = { 0 };
  socklen_t size = sizeof own;
  (void)getsockname (c->fd, (struct sockaddr *)&own, &size);
  for (int fd = 0; fd < FDS_MAX; fd++)
    {
      struct sockaddr_in peer = { 0 };
      size = sizeof peer;
      if (getpeername (fd, (struct sockaddr *)&peer, &size) == 0
          && peer.sin_family == AF_INET && peer.sin_port == own.sin_port)
        return fd;
    }
  return -1;
}

/* Sends whole events of about BYTES bytes in all, and FIRST before them. */
static void
events_send (drvbed_t *b, drvbed_conn_t *conn, const char *first, size_t bytes)
{
  char *text = talloc_strdup (b, first);
  for (size_t n = 0; n < bytes; n += EVENT_SIZE)
    text = talloc_asprintf_append_buffer (text, "id: 1\ndata: %0*d\n\n",
                                          EVENT_SIZE, 0);
  drvbed_send (conn, text);
  talloc_free (text);
}

/* Guards against an attempt that is not paused though its caller, who does not
 * read, has been sent too much by the attempt before it, which broke off. */
static void
test_stream_without_end_after_a_broken_one (void)
{
  drvbed_t *b = drvbed_setup (2);
  TST_NEED (b != NULL);
  caller_t *c = caller_open (b, 0);
  const drvbed_request_t *r = drvbed_await_request (b, 0, "r-1");
  TST_NEED (r != NULL);
  (void)setsockopt (c->fd, SOL_SOCKET, SO_RCVBUF, &(int){ 1 }, sizeof (int));
  (void)setsockopt (vm_end (c), SOL_SOCKET, SO_SNDBUF, &(int){ 1 },
                    sizeof (int));
  /* The queue is almost full before the last part, which comes at once with
   * the end: nothing is paused until then. */
  events_send (b, r->conn, OWN_STREAM_HEAD "\r\n",
               QUEUE_MAX - (size_t)8 * EVENT_SIZE);
  (void)drvbed_await_read (b, r->conn);
  events_send (b, r->conn, "", TURN_MAX - (size_t)2 * EVENT_SIZE);
  drvbed_send (r->conn, "id: 2\n");
  drvbed_close (r->conn);
  r = drvbed_await_request (b, 1, "r-1");
  CU_ASSERT_PTR_NOT_NULL (r);
  if (r != NULL)
    (void)check_closes (b, r->conn, OWN_STREAM_HEAD "\r\n", "id: 1\n\n");
  drvbed_shutdown (b);
}

/* -- load queries --------------------------------------------------------- */

/* Largest load report, and what the sockets' buffers hold besides, in bytes.
 */
#define REPORT_MAX ((size_t)64 << 10)
#define SOCKETS_MAX ((size_t)10 << 20)

/* Guards against the answer to a load query that is read for as long as the
 * query may last. */
static void
test_load_report_without_end (void)
{
  static const char *const reports[][2] = {
    { "HTTP/1.1 200 OK\r\n\r\n{\"running\":", "1" },
    { "HTTP/1.1 404 Not Found\r\n\r\n", "of no use " },
  };
  drvbed_t *b = drvbed_setup (1);
  TST_NEED (b != NULL);
  drvbed_hold_loads (b, true);
  for (size_t i = 0; i < sizeof reports / sizeof reports[0]; i++)
    {
      const drvbed_request_t *r = drvbed_await_request (b, 0, DRVBED_LOAD);
      CU_ASSERT_PTR_NOT_NULL (r);
      if (r != NULL)
        CU_ASSERT (check_closes (b, r->conn, reports[i][0], reports[i][1])
                   < REPORT_MAX + SOCKETS_MAX);
    }
  drvbed_hold_loads (b, false);
  drvbed_serve (b, 0);
  const drvbed_answer_t *a = drvbed_ask (b, "r-1");
  CU_ASSERT (drvbed_await_answer (b, a));
  CU_ASSERT (drvbed_is_own (a));
  drvbed_shutdown (b);
}

/* -- the platform --------------------------------------------------------- */

/* A VM whose platform answers each call with bytes without end. */
typedef struct
{
  drvbed_t bed; /* only what drvbed_wait needs */
  int listener;
  char platform[DRVBED_ADDRESS_SIZE];
  char peer_listen[DRVBED_ADDRESS_SIZE];
  set_t set;
  const char *first;
  const char *block;
  GPtrArray *floods;
  GArray *fds; /* of the floods */
} alone_t;

static void
on_platform_call (struct tevent_context *loop, struct tevent_fd *event,
                  uint16_t flags, void *data)
{
  (void)event;
  (void)flags;
  alone_t *v = data;
  int fd = accept (v->listener, NULL, NULL);
  if (fd < 0)
    return;
  g_array_append_val (v->fds, fd);
  g_ptr_array_add (v->floods,
                   flood_start (v, loop, fd, v->first, v->block, FLOOD_MAX));
}

static bool
alone_listen (alone_t *v)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof in;
  v->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (bind (v->listener, (struct sockaddr *)&in, sizeof in) != 0
      || listen (v->listener, BORNE_AT_ONCE) != 0
      || getsockname (v->listener, (struct sockaddr *)&in, &size) != 0)
    return false;
  (void)snprintf (v->platform, sizeof v->platform, "127.0.0.1:%u",
                  ntohs (in.sin_port));
  tevent_add_fd (v->bed.loop, v, v->listener, TEVENT_FD_READ, on_platform_call,
                 v);
  return true;
}

static alone_t *
alone_open (const char *first, const char *block)
{
  static const char *const data_centres[] = { "north", NULL };
  st_t st = { 0 };
  alone_t *v = talloc_zero (NULL, alone_t);
  *v = (alone_t){ .bed.loop = tevent_context_init (NULL),
                  .first = first,
                  .block = block,
                  .floods = g_ptr_array_new (),
                  .fds = g_array_new (FALSE, FALSE, sizeof (int)) };
  drvbed_address (v->peer_listen);
  if (alone_listen (v))
    {
      v->set = (set_t){ .name = "n-1",
                        .data_centre = "north",
                        .data_centres = data_centres,
                        .peer_listen = v->peer_listen,
                        .secret = "secret of the bed",
                        .platform = v->platform,
                        .hosted = true,
                        .log_level = "warning",
                        .seed = 1 };
      v->bed.entry.driver = drv_setup (
          v, &(drv_desc_t){ .loop = v->bed.loop, .set = &v->set }, &st);
    }
  return v;
}

static void
alone_close (alone_t *v)
{
  struct tevent_context *loop = v->bed.loop;
  TALLOC_FREE (v->bed.entry.driver);
  for (guint i = 0; i < v->fds->len; i++)
    close (g_array_index (v->fds, int, i));
  g_array_free (v->fds, TRUE);
  g_ptr_array_free (v->floods, TRUE);
  close (v->listener);
  talloc_free (v);
  talloc_free (loop);
}

static bool
never (const void *data)
{
  (void)data;
  return false;
}

/* Guards against a platform's answer without end that fills the memory. */
static void
test_platform_answer_without_end (void)
{
  alone_t *v = alone_open ("HTTP/1.1 200 OK\r\n\r\n{\"items\":[1", ",1");
  size_t closed = 0;
  size_t growth = 0;
  CU_ASSERT_PTR_NOT_NULL (v->bed.entry.driver);
  (void)drvbed_wait (&v->bed, CLOSE_MS, never, NULL);
  for (guint i = 0; i < v->floods->len; i++)
    {
      const flood_t *f = g_ptr_array_index (v->floods, i);
      closed += flood_is_closed (f);
      growth = MAX (growth, flood_growth (f));
    }
  CU_ASSERT (v->floods->len > 0);
  CU_ASSERT (closed > 0);
  CU_ASSERT (growth < VM_MEMORY / 2);
  if (closed == 0 || growth >= VM_MEMORY / 2)
    (void)printf ("%u calls, %zu closed, growth %zu bytes\n", v->floods->len,
                  closed, growth);
  alone_close (v);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "head_without_end", test_head_without_end },
    { "trailer_without_end", test_trailer_without_end },
    { "event_without_end", test_event_without_end },
    { "body_without_end_and_a_reader", test_body_without_end_and_a_reader },
    { "body_without_end_and_a_slow_reader",
      test_body_without_end_and_a_slow_reader },
    { "stream_without_end_after_a_broken_one",
      test_stream_without_end_after_a_broken_one },
    { "load_report_without_end", test_load_report_without_end },
    { "platform_answer_without_end", test_platform_answer_without_end },
    { "body_without_end_and_no_reader", test_body_without_end_and_no_reader },
  };
  return tst_run ("endless", cases, sizeof cases / sizeof cases[0]);
}
