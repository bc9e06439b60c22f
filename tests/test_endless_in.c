/** @file
 * Bytes without end between VMs and from callers, over real sockets: the HTTP
 * server alone, and the links to peers alone.
 */
#include "flood.h"
#include "io/hsv.h"
#include "io/lnk.h"
#include "sock.h"
#include "tst.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
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
/* Interval of the bytes of a peer that sends few. */
#define DRIP_MS 100
/* Limits of the server, in bytes. */
#define BODY_MAX ((size_t)1 << 20)
#define BODIES_MAX ((size_t)2 << 20)

/* The sanitizer keeps 256 MB of freed memory by default, which would count as
 * growth. */
const char *__asan_default_options (void);

const char *
__asan_default_options (void)
{
  return "quarantine_size_mb=1:thread_local_quarantine_size_kb=64";
}

/* A server or the links of a VM, and a connection to it. */
typedef struct
{
  struct tevent_context *loop;
  uint16_t port;
  char address[32];
  hsv_t *server;
  lnk_t *links;
  uint64_t caller; /* of the last request; 0: none */
  size_t replied;  /* bytes of the response */
  bool full;       /* the response's queue */
  bool expired;
} fixture_t;

static void
on_expired (struct tevent_context *loop, struct tevent_timer *timer,
            struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  fixture_t *f = data;
  f->expired = true;
}

/* Runs the loop until DONE returns true for DATA, MS at most. */
static bool
await (fixture_t *f, clk_ms_t ms, bool (*done) (const void *data),
       const void *data)
{
  f->expired = false;
  struct tevent_timer *timer = tevent_add_timer (
      f->loop, f,
      tevent_timeval_current_ofs ((uint32_t)(ms / CLK_SECOND),
                                  (uint32_t)(ms % CLK_SECOND) * 1000),
      on_expired, f);
  while (!f->expired && !done (data))
    (void)tevent_loop_once (f->loop);
  if (!f->expired)
    talloc_free (timer);
  return done (data);
}

static bool
is_closed (const void *data)
{
  return flood_is_closed (data);
}

/* Sends FIRST and then BLOCK without end on a connection of its own: it is
 * closed in time, and the memory stays bounded. */
static void
check_closes (fixture_t *f, const char *first, const char *block)
{
  int fd = sock_connect (f->port);
  flood_t *flood = flood_start (f, f->loop, fd, first, block, FLOOD_MAX);
  CU_ASSERT (await (f, CLOSE_MS, is_closed, flood));
  CU_ASSERT (flood_growth (flood) < GROWTH_MAX);
  if (!flood_is_closed (flood) || flood_growth (flood) >= GROWTH_MAX)
    (void)printf ("sent %zu bytes, closed %d, growth %zu bytes\n",
                  flood_sent (flood), flood_is_closed (flood),
                  flood_growth (flood));
  talloc_free (flood);
  close (fd);
}

static fixture_t *
fixture_open (void)
{
  struct tevent_context *loop = tevent_context_init (NULL);
  fixture_t *f = talloc_zero (loop, fixture_t);
  f->loop = loop;
  f->port = sock_free_port ();
  (void)snprintf (f->address, sizeof f->address, "127.0.0.1:%u", f->port);
  return f;
}

/* -- callers -------------------------------------------------------------- */

/* Longest time for a response of FLOOD_MAX bytes. */
#define REPLY_MS (10 * CLK_SECOND)
#define REPLY_SIZE ((size_t)16 << 10)

/* Queues more of the response until the queue is full. */
static void
on_flow (void *data, uint64_t caller, bool full)
{
  static const char zeros[REPLY_SIZE];
  fixture_t *f = data;
  f->full = full;
  while (!f->full && f->replied < FLOOD_MAX)
    {
      f->replied += REPLY_SIZE;
      hsv_reply_data (f->server, caller, (buf_t){ zeros, REPLY_SIZE });
    }
}

static void
on_event (void *data, const ev_t *ev)
{
  fixture_t *f = data;
  if (ev->kind == EV_REQUEST)
    f->caller = ev->request.caller;
}

static bool
is_requested (const void *data)
{
  const fixture_t *f = data;
  return f->caller != 0;
}

static bool
is_replied (const void *data)
{
  const fixture_t *f = data;
  return f->replied >= FLOOD_MAX;
}

static fixture_t *
server_open (void)
{
  fixture_t *f = fixture_open ();
  st_t st = { 0 };
  f->server = hsv_setup (f,
                         &(hsv_desc_t){ .loop = f->loop,
                                        .listen = f->address,
                                        .handler = on_event,
                                        .flow = on_flow,
                                        .data = f,
                                        .body_max = BODY_MAX,
                                        .bodies_max = BODIES_MAX },
                         &st);
  return f;
}

#define GET "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
#define POST "POST /a HTTP/1.1\r\nHost: x\r\n"

/* Guards against a request's head without end that fills the memory. */
static void
test_request_head_without_end (void)
{
  static const char *const heads[][2] = {
    { "", "GET / HTTP/1.1" },        { "GET /", "of-no-use" },
    { POST "Note: ", "of no use " }, { POST, "Note: of no use\r\n" },
    { "", "no request\r\n" },
  };
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      fixture_t *f = server_open ();
      CU_ASSERT_PTR_NOT_NULL (f->server);
      check_closes (f, heads[i][0], heads[i][1]);
      talloc_free (f->loop);
    }
}

/* Guards against a request's body without end that holds its connection for
 * as long as it comes. */
static void
test_request_body_without_end (void)
{
  static const char *const bodies[][2] = {
    { POST "Transfer-Encoding: chunked\r\n\r\n", "a\r\nof no use \r\n" },
    { POST "Transfer-Encoding: chunked\r\n\r\na;", "of no use" },
    { POST "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Note: of no use\r\n" },
    { POST "Content-Length: 99999999999\r\n\r\n", "of no use " },
  };
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      fixture_t *f = server_open ();
      CU_ASSERT_PTR_NOT_NULL (f->server);
      check_closes (f, bodies[i][0], bodies[i][1]);
      CU_ASSERT_EQUAL (f->caller, 0);
      talloc_free (f->loop);
    }
}

/* Guards against the queue of a long response, which keeps all its bytes if it
 * is never empty. */
static void
test_response_queue_that_is_never_empty (void)
{
  fixture_t *f = server_open ();
  TST_NEED (f->server != NULL);
  int fd = sock_connect (f->port);
  flood_t *flood = flood_start (f, f->loop, fd, GET, "-", strlen (GET));
  (void)await (f, CLOSE_MS, is_requested, f);
  hsv_reply_head (f->server, f->caller, 200, (http_headers_t){ 0 });
  on_flow (f, f->caller, false);
  CU_ASSERT (await (f, REPLY_MS, is_replied, f));
  CU_ASSERT (flood_growth (flood) < GROWTH_MAX);
  if (flood_growth (flood) >= GROWTH_MAX)
    (void)printf ("replied %zu bytes, growth %zu bytes\n", f->replied,
                  flood_growth (flood));
  close (fd);
  talloc_free (f->loop);
}

/* -- peers ---------------------------------------------------------------- */

static void
on_peer_event (void *data, const ev_t *ev)
{
  (void)data;
  (void)ev;
}

static fixture_t *
links_open (void)
{
  fixture_t *f = fixture_open ();
  st_t st = { 0 };
  f->links = lnk_setup (f,
                        &(lnk_desc_t){ .loop = f->loop,
                                       .vm = "vm-a",
                                       .listen = f->address,
                                       .secret = "secret of sixteen",
                                       .handler = on_peer_event,
                                       .data = f },
                        &st);
  return f;
}

/* Length fields of a frame of 1 MiB, and of one of 512 bytes. */
#define FRAME_LARGE "\x00\x10\x00\x00"
#define FRAME_SMALL "\x00\x00\x02\x00"
#define FRAME_HEAD_SIZE 4

/* Sends the length field HEAD on a connection of its own; returns whether it
 * is closed within MS, while a byte more comes every DRIP_MS. */
static bool
closes_after_head (fixture_t *f, const char *head, clk_ms_t ms)
{
  int fd = sock_connect (f->port);
  bool closed = false;
  (void)send (fd, head, FRAME_HEAD_SIZE, MSG_NOSIGNAL);
  for (clk_ms_t t = 0; t < ms && !closed; t += DRIP_MS)
    {
      flood_t *drip = flood_start (f, f->loop, fd, "", "x", 1);
      closed = await (f, DRIP_MS, is_closed, drip);
      talloc_free (drip);
    }
  close (fd);
  return closed;
}

/* Guards against memory that any peer can have filled before it proves that it
 * knows the secret. */
static void
test_large_frame_before_the_proof (void)
{
  fixture_t *f = links_open ();
  TST_NEED (f->links != NULL);
  CU_ASSERT (closes_after_head (f, FRAME_LARGE, LNK_SILENCE_TIMEOUT_MS / 2));
  talloc_free (f->loop);
}

/* Guards against a handshake that lasts as long as bytes of it come. */
static void
test_handshake_without_end (void)
{
  fixture_t *f = links_open ();
  TST_NEED (f->links != NULL);
  CU_ASSERT (closes_after_head (
      f, FRAME_SMALL, LNK_SILENCE_TIMEOUT_MS + 2 * LNK_HEARTBEAT_MS));
  talloc_free (f->loop);
}

/* Guards against bytes without end that are no frames. */
static void
test_peer_bytes_without_end (void)
{
  fixture_t *f = links_open ();
  TST_NEED (f->links != NULL);
  check_closes (f, "", "of no use ");
  talloc_free (f->loop);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "request_head_without_end", test_request_head_without_end },
    { "request_body_without_end", test_request_body_without_end },
    { "response_queue_that_is_never_empty",
      test_response_queue_that_is_never_empty },
    { "large_frame_before_the_proof", test_large_frame_before_the_proof },
    { "handshake_without_end", test_handshake_without_end },
    { "peer_bytes_without_end", test_peer_bytes_without_end },
  };
  return tst_run ("endless_in", cases, sizeof cases / sizeof cases[0]);
}
