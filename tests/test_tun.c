/** @file
 * Tunnels over real sockets: how bytes, ends and refusals pass, and what a
 * call through a tunnel that was not opened says.
 */
#include "io/hcl.h"
#include "io/tun.h"
#include "sock.h"
#include "tst.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define SECRET "a secret of the fleet"
/* Longest wait, in ms. */
#define WAIT_MS 3000
/* The users' bound from a caller's close to the upstream. */
#define GONE_MS 500

typedef struct
{
  void *ctx;
  struct tevent_context *loop;
  tun_t *tun;
  char listen[32];  /* of the tunnels */
  char address[32]; /* of the upstream */
  uint16_t port;    /* of the tunnels */
  int listener;     /* of the upstream */
  int verdict;      /* of admit */
  hcl_event_t last; /* of the client */
  unsigned events;
} bed_t;

static int
admit (void *data, const char *address, size_t open)
{
  (void)address;
  (void)open;
  return ((bed_t *)data)->verdict;
}

static bed_t
setup (void)
{
  bed_t b = { .ctx = talloc_new (NULL), .verdict = TUN_OPEN };
  uint16_t port = 0;
  b.loop = tevent_context_init (b.ctx);
  b.listener = sock_listen (&port);
  g_snprintf (b.address, sizeof b.address, "127.0.0.1:%u", port);
  b.port = sock_free_port ();
  g_snprintf (b.listen, sizeof b.listen, "127.0.0.1:%u", b.port);
  return b;
}

/* Listens; B must not move any more. */
static void
listen_on (bed_t *b)
{
  st_t st = { 0 };
  b->tun = tun_setup (b->ctx,
                      &(tun_desc_t){ .loop = b->loop,
                                     .listen = b->listen,
                                     .secret = SECRET,
                                     .admit = admit,
                                     .data = b },
                      &st);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b->tun);
}

static void
teardown (bed_t *b)
{
  close (b->listener);
  talloc_free (b->ctx);
}

static void
on_nothing (struct tevent_context *loop, struct tevent_timer *timer,
            struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  *(bool *)data = true;
}

/* Runs the loop for MS. */
static void
pass (bed_t *b, unsigned ms)
{
  bool over = false;
  tevent_add_timer (b->loop, b->ctx,
                    tevent_timeval_current_ofs (ms / 1000, ms % 1000 * 1000),
                    on_nothing, &over);
  while (!over)
    tevent_loop_once (b->loop);
}

static void
nonblocking (int fd)
{
  (void)fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

/* Reads from FD to OUT until TEXT has come, FD ends, or WAIT_MS are over.
 * Returns what read(2) returned last. */
static ssize_t
read_until (bed_t *b, int fd, GString *out, const char *text)
{
  char buffer[4096];
  for (unsigned ms = 0; ms < WAIT_MS; ms += 5)
    {
      ssize_t n = read (fd, buffer, sizeof buffer);
      if (n > 0)
        g_string_append_len (out, buffer, n);
      if (n == 0 || (n < 0 && errno != EAGAIN)
          || (text != NULL && strstr (out->str, text) != NULL))
        return n;
      pass (b, 5);
    }
  return -1;
}

/* Asks for a tunnel with the request TEXT; *FD is set to the connection.
 * Returns the status; 0: none came. */
static int
ask (bed_t *b, const char *text, int *fd)
{
  GString *out = g_string_new ("");
  *fd = sock_connect (b->port);
  nonblocking (*fd);
  CU_ASSERT (write (*fd, text, strlen (text)) == (ssize_t)strlen (text));
  (void)read_until (b, *fd, out, "\r\n\r\n");
  int status = out->len > 12 ? (int)strtol (out->str + 9, NULL, 10) : 0;
  g_string_free (out, TRUE);
  return status;
}

/* The proper request for a tunnel. */
static char *
request (const bed_t *b)
{
  char *proof = tun_proof (b->ctx, SECRET, b->listen);
  return talloc_asprintf (
      b->ctx,
      "CONNECT %s HTTP/1.1\r\nHost: %s\r\n" TUN_PROOF_HEADER
      ": %s\r\nProxy-Connection: Keep-Alive\r\n\r\n",
      b->address, b->address, proof);
}

/* Opens a tunnel; sets the ends of the asking VM and of the upstream. */
static void
open_tunnel (bed_t *b, int *vm, int *upstream)
{
  CU_ASSERT_EQUAL (ask (b, request (b), vm), TUN_OPEN);
  *upstream = accept (b->listener, NULL, NULL);
  CU_ASSERT (*upstream >= 0);
  nonblocking (*upstream);
}

/* Guards against bytes that are lost, changed or held back. */
static void
test_bytes_pass_both_ways (void)
{
  bed_t b = setup ();
  int vm, upstream;
  listen_on (&b);
  open_tunnel (&b, &vm, &upstream);
  GString *out = g_string_new ("");
  CU_ASSERT_EQUAL (write (vm, "question", 8), 8);
  (void)read_until (&b, upstream, out, "question");
  CU_ASSERT_STRING_EQUAL (out->str, "question");
  g_string_truncate (out, 0);
  CU_ASSERT_EQUAL (write (upstream, "event 1\n\n", 9), 9);
  (void)read_until (&b, vm, out, "event 1\n\n");
  CU_ASSERT_EQUAL (write (upstream, "event 2\n\n", 9), 9);
  (void)read_until (&b, vm, out, "event 2\n\n");
  CU_ASSERT_STRING_EQUAL (out->str, "event 1\n\nevent 2\n\n");
  CU_ASSERT_EQUAL (tun_open_count (b.tun), 1);
  g_string_free (out, TRUE);
  close (vm);
  close (upstream);
  teardown (&b);
}

/* Guards against an upstream that works on after the caller has left. */
static void
test_the_upstream_hears_that_the_caller_left (void)
{
  bed_t b = setup ();
  int vm, upstream;
  char byte;
  listen_on (&b);
  open_tunnel (&b, &vm, &upstream);
  CU_ASSERT_EQUAL (write (upstream, "event", 5), 5);
  pass (&b, 50);
  close (vm);
  pass (&b, GONE_MS / 2);
  ssize_t n = read (upstream, &byte, 1);
  CU_ASSERT (n == 0 || (n < 0 && errno == ECONNRESET));
  CU_ASSERT_EQUAL (tun_open_count (b.tun), 0);
  close (upstream);
  teardown (&b);
}

/* How an upstream, or the VM that passes bytes on, ends. */
typedef enum
{
  ENDS_CLOSES,
  ENDS_RESETS,
  ENDS_HELPER,
} ending_t;

/* Sends the begin of an answer and ends so.  Returns what the asking VM reads
 * last: 0 is an end that looks whole. */
static ssize_t
last_read (ending_t ending)
{
  bed_t b = setup ();
  int vm, upstream;
  GString *out = g_string_new ("");
  listen_on (&b);
  open_tunnel (&b, &vm, &upstream);
  CU_ASSERT_EQUAL (write (upstream, "part", 4), 4);
  (void)read_until (&b, vm, out, "part");
  if (ending == ENDS_RESETS)
    {
      struct linger now = { .l_onoff = 1 };
      setsockopt (upstream, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
  if (ending == ENDS_HELPER)
    TALLOC_FREE (b.tun);
  else
    close (upstream);
  ssize_t n = read_until (&b, vm, out, NULL);
  g_string_free (out, TRUE);
  close (vm);
  if (ending == ENDS_HELPER)
    close (upstream);
  teardown (&b);
  return n;
}

/* Guards against an answer that broke and ends as if it were whole. */
static void
test_ends_pass_as_they_are (void)
{
  CU_ASSERT_EQUAL (last_read (ENDS_CLOSES), 0);
  CU_ASSERT (last_read (ENDS_RESETS) < 0);
  CU_ASSERT (last_read (ENDS_HELPER) < 0);
}

/* Guards against memory that grows with what a slow caller does not take. */
static void
test_a_slow_reader_holds_the_upstream_up (void)
{
  bed_t b = setup ();
  int vm, upstream;
  static char block[65536];
  size_t sent = 0;
  listen_on (&b);
  open_tunnel (&b, &vm, &upstream);
  for (unsigned i = 0; i < 400; i++)
    {
      ssize_t n = write (upstream, block, sizeof block);
      sent += n > 0 ? (size_t)n : 0;
      pass (&b, 2);
    }
  size_t held = sent;
  printf ("%zu bytes before the upstream was held up\n", held);
  CU_ASSERT (held < 400 * sizeof block / 2);
  /* All of them come, once they are read. */
  size_t got = 0;
  for (unsigned ms = 0; ms < WAIT_MS && got < held; ms += 2)
    {
      ssize_t n = read (vm, block, sizeof block);
      got += n > 0 ? (size_t)n : 0;
      if (n <= 0)
        pass (&b, 2);
    }
  CU_ASSERT_EQUAL (got, held);
  close (vm);
  close (upstream);
  teardown (&b);
}

/* Guards against tunnels for others than VMs of the fleet, and against
 * requests that are malformed, too long, or early. */
static void
test_bad_requests_are_refused (void)
{
  bed_t b = setup ();
  int fd;
  listen_on (&b);
  char *good = request (&b);
  char *wrong = talloc_strdup (b.ctx, good);
  char *proof = strstr (wrong, TUN_PROOF_HEADER ": ");
  proof[strlen (TUN_PROOF_HEADER ": ")] ^= 1;
  char *huge = talloc_size (b.ctx, 4097);
  memset (huge, 'a', 4096);
  huge[4096] = '\0';
  const char *bad[] = {
    wrong,
    "CONNECT 127.0.0.1:1 HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.1\r\n\r\n",
    talloc_asprintf (b.ctx, "%sGET / HTTP/1.1\r\n", good),
    huge,
  };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      int status = ask (&b, bad[i], &fd);
      CU_ASSERT (status == TUN_MALFORMED || status == 0);
      close (fd);
    }
  pass (&b, 20);
  CU_ASSERT_EQUAL (tun_open_count (b.tun), 0);
  static const int verdicts[] = { TUN_UNKNOWN, TUN_REFUSED };
  for (size_t i = 0; i < G_N_ELEMENTS (verdicts); i++)
    {
      b.verdict = verdicts[i];
      CU_ASSERT_EQUAL (ask (&b, good, &fd), verdicts[i]);
      close (fd);
    }
  b.verdict = TUN_OPEN;
  close (b.listener);
  b.listener = -1;
  CU_ASSERT_EQUAL (ask (&b, good, &fd), TUN_DEAD);
  close (fd);
  teardown (&b);
}

static void
on_client (void *data, const hcl_event_t *event)
{
  bed_t *b = data;
  b->last = *event;
  b->events++;
}

/* Makes a call through the tunnel and waits for its first event. */
static void
call (bed_t *b, hcl_t *c, const char *tunnel)
{
  b->events = 0;
  hcl_call (
      c, &(hcl_call_t){ .owner = HCL_UPSTREAM,
                        .id = 1,
                        .address = b->address,
                        .tunnel = tunnel,
                        .tunnel_proof = tun_proof (b->ctx, SECRET, b->listen),
                        .method = "POST",
                        .path = "/x",
                        .connect_ms = 500,
                        .total_ms = WAIT_MS });
  for (unsigned ms = 0; ms < WAIT_MS && b->events == 0; ms += 5)
    pass (b, 5);
  CU_ASSERT (b->events > 0);
}

/* Guards against a call that was not passed on and counts as one that may have
 * run, and against the other way round. */
static void
test_what_a_failed_tunnel_says (void)
{
  static const struct
  {
    int verdict;
    ev_tunnel_t says;
  } cases[] = { { TUN_UNKNOWN, EV_TUNNEL_UNKNOWN },
                { TUN_REFUSED, EV_TUNNEL_REFUSED } };
  bed_t b = setup ();
  listen_on (&b);
  hcl_t *c = hcl_setup (
      b.ctx,
      &(hcl_desc_t){ .loop = b.loop, .handler = on_client, .data = &b });
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      b.verdict = cases[i].verdict;
      call (&b, c, b.listen);
      CU_ASSERT_EQUAL (b.last.kind, EV_UPSTREAM_FAIL);
      CU_ASSERT_EQUAL (b.last.fail, EV_FAIL_NOT_SENT);
      CU_ASSERT_EQUAL (b.last.tunnel, cases[i].says);
    }
  char nobody[32];
  g_snprintf (nobody, sizeof nobody, "127.0.0.1:%u", sock_free_port ());
  call (&b, c, nobody);
  CU_ASSERT_EQUAL (b.last.fail, EV_FAIL_NOT_SENT);
  CU_ASSERT_EQUAL (b.last.tunnel, EV_TUNNEL_UNREACHED);
  /* An upstream that closes once it has the request: that may have run. */
  b.verdict = TUN_OPEN;
  nonblocking (b.listener);
  b.events = 0;
  hcl_call (c,
            &(hcl_call_t){ .owner = HCL_UPSTREAM,
                           .id = 2,
                           .address = b.address,
                           .tunnel = b.listen,
                           .tunnel_proof = tun_proof (b.ctx, SECRET, b.listen),
                           .method = "POST",
                           .path = "/x",
                           .total_ms = WAIT_MS });
  GString *out = g_string_new ("");
  int upstream = -1;
  for (unsigned ms = 0; ms < WAIT_MS && upstream < 0; ms += 5)
    {
      pass (&b, 5);
      upstream = accept (b.listener, NULL, NULL);
    }
  nonblocking (upstream);
  (void)read_until (&b, upstream, out, "\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "POST /x HTTP/1.1"));
  CU_ASSERT_PTR_NULL (strstr (out->str, TUN_PROOF_HEADER));
  close (upstream);
  for (unsigned ms = 0; ms < WAIT_MS && b.events == 0; ms += 5)
    pass (&b, 5);
  CU_ASSERT_EQUAL (b.last.kind, EV_UPSTREAM_FAIL);
  CU_ASSERT_EQUAL (b.last.fail, EV_FAIL_UNKNOWN);
  g_string_free (out, TRUE);
  teardown (&b);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "bytes_pass_both_ways", test_bytes_pass_both_ways },
    { "the_upstream_hears_that_the_caller_left",
      test_the_upstream_hears_that_the_caller_left },
    { "ends_pass_as_they_are", test_ends_pass_as_they_are },
    { "a_slow_reader_holds_the_upstream_up",
      test_a_slow_reader_holds_the_upstream_up },
    { "bad_requests_are_refused", test_bad_requests_are_refused },
    { "what_a_failed_tunnel_says", test_what_a_failed_tunnel_says },
  };
  return tst_run ("tun", cases, sizeof cases / sizeof cases[0]);
}
