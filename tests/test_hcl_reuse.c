/** @file
 * The HTTP client over real sockets: which connection a call gets, and whose
 * bytes it reads there.  The test writes each byte that the server sends.
 */
#include "io/hcl.h"
#include "sock.h"
#include "tst.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define ID_HEADER "Request-Id"
/* Longest wait, in us. */
#define WAIT_US ((gint64)4 * G_USEC_PER_SEC)
#define TURNS_SOME 30
#define CONNS_MAX 4
/* Connections that fill the queue of a listener. */
#define FILLERS 4
/* Larger than what the sockets' buffers hold. */
#define BODY_LARGE ((size_t)16 << 20)

/* A connection that the server has accepted. */
typedef struct
{
  int fd;
  size_t received; /* bytes */
  unsigned heads;  /* requests begun */
  bool reads;
  bool closed;
} conn_t;

/* A client with its last call, and a server. */
typedef struct
{
  struct tevent_context *loop;
  hcl_t *client;
  int listener;
  char address[32];
  conn_t conns[CONNS_MAX];
  size_t conn_count;
  clk_ms_t connect_ms;
  clk_ms_t first_byte_ms;
  size_t body_max;
  bool stopped; /* the server reads from no new connection */
  uint64_t id;
  int status;
  char signature[64]; /* in the head; "": none */
  GString *body;
  bool head;
  bool ended;
  bool failed;
  ev_fail_t fail;
} fixture_t;

/* -- fixture -------------------------------------------------------------- */

static void
on_response (void *data, const hcl_event_t *e)
{
  fixture_t *f = data;
  if (e->id != f->id)
    return;
  if (e->kind == EV_UPSTREAM_HEAD)
    {
      const char *s = http_header_find (e->headers, "Response-Signature");
      f->head = true;
      f->status = e->status;
      (void)g_strlcpy (f->signature, s == NULL ? "" : s, sizeof f->signature);
    }
  else if (e->kind == EV_UPSTREAM_DATA)
    g_string_append_len (f->body, e->data.p, (gssize)e->data.n);
  f->ended = f->ended || e->kind == EV_UPSTREAM_END;
  f->failed = f->failed || e->kind == EV_UPSTREAM_FAIL;
  f->fail = e->fail;
}

static fixture_t *
fixture_open (void)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof in;
  fixture_t *f = talloc_zero (NULL, fixture_t);
  f->loop = tevent_context_init (f);
  f->body = g_string_new (NULL);
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  (void)bind (f->listener, (struct sockaddr *)&in, sizeof in);
  (void)listen (f->listener, CONNS_MAX);
  (void)getsockname (f->listener, (struct sockaddr *)&in, &size);
  (void)snprintf (f->address, sizeof f->address, "127.0.0.1:%u",
                  ntohs (in.sin_port));
  f->client = hcl_setup (
      f->loop,
      &(hcl_desc_t){ .loop = f->loop, .handler = on_response, .data = f });
  return f;
}

static void
fixture_close (fixture_t *f)
{
  TALLOC_FREE (f->client);
  for (size_t i = 0; i < f->conn_count; i++)
    close (f->conns[i].fd);
  close (f->listener);
  (void)g_string_free (f->body, TRUE);
  talloc_free (f);
}

static void
on_turn (struct tevent_context *loop, struct tevent_timer *timer,
         struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  struct tevent_timer **limit = data;
  *limit = NULL;
}

/* Reads what has arrived on C; false: nothing has. */
static bool
conn_read (conn_t *c)
{
  char bytes[65536];
  ssize_t n = recv (c->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n == 0)
    c->closed = true;
  if (n <= 0)
    return false;
  if (strncmp (bytes, "GET ", 4) == 0 || strncmp (bytes, "POST", 4) == 0
      || strncmp (bytes, "HEAD", 4) == 0)
    c->heads++;
  c->received += (size_t)n;
  return true;
}

/* One turn of the event loop, 2 ms at most, and of the server. */
static void
turn (fixture_t *f)
{
  /* Freed after each turn: expired timers go before descriptors, so that a
   * backlog of them would keep the loop from looking at any socket. */
  struct tevent_timer *limit = NULL;
  limit = tevent_add_timer (
      f->loop, f->loop, tevent_timeval_current_ofs (0, 2000), on_turn, &limit);
  (void)tevent_loop_once (f->loop);
  talloc_free (limit);
  int fd = f->conn_count < CONNS_MAX ? accept (f->listener, NULL, NULL) : -1;
  if (fd >= 0)
    {
      (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 },
                        sizeof (int));
      f->conns[f->conn_count++] = (conn_t){ .fd = fd, .reads = !f->stopped };
    }
  for (size_t i = 0; i < f->conn_count; i++)
    while (f->conns[i].reads && !f->conns[i].closed
           && conn_read (&f->conns[i]))
      continue;
}

/* Runs turns until DONE returns true, at most WAIT_US. */
static bool
await (fixture_t *f, bool (*done) (const fixture_t *f))
{
  gint64 until = g_get_monotonic_time () + WAIT_US;
  while (!done (f) && g_get_monotonic_time () < until)
    turn (f);
  return done (f);
}

static void
turns (fixture_t *f, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    turn (f);
}

/* Starts the next call, with an id of its own. */
static void
call_start (fixture_t *f, const char *method, const char *id, buf_t body)
{
  const http_header_t header = { ID_HEADER, id };
  f->id++;
  f->head = f->ended = f->failed = false;
  f->status = 0;
  (void)g_string_truncate (f->body, 0);
  hcl_call (f->client, &(hcl_call_t){ .owner = HCL_UPSTREAM,
                                      .id = f->id,
                                      .address = f->address,
                                      .method = method,
                                      .path = "/",
                                      .headers = { &header, 1 },
                                      .body = body,
                                      .connect_ms = f->connect_ms,
                                      .first_byte_ms = f->first_byte_ms,
                                      .total_ms = 3000,
                                      .body_max = f->body_max,
                                      .id_header = ID_HEADER,
                                      .id_required = true });
}

static bool
is_received (const fixture_t *f)
{
  unsigned n = 0;
  for (size_t i = 0; i < f->conn_count; i++)
    n += f->conns[i].heads;
  return n >= f->id || f->ended || f->failed;
}

static bool
is_over (const fixture_t *f)
{
  return f->ended || f->failed;
}

static bool
has_data (const fixture_t *f)
{
  return f->body->len > 0;
}

static bool
is_first_closed (const fixture_t *f)
{
  return f->conns[0].closed;
}

/* Starts a call and waits until the server has its head, or it is over. */
static void
call_await (fixture_t *f, const char *method, const char *id, buf_t body)
{
  call_start (f, method, id, body);
  (void)await (f, is_received);
}

static void
answer (const fixture_t *f, size_t conn, const char *text)
{
  (void)send (f->conns[conn].fd, text, strlen (text),
              MSG_NOSIGNAL | MSG_DONTWAIT);
}

static bool
await_end (fixture_t *f)
{
  return await (f, is_over) && f->ended;
}

#define OWN(id, text)                                                         \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id                                        \
  "\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\n" text

/* Has call r-2 answered on whichever connection it came. */
static void
second_call (fixture_t *f)
{
  call_await (f, "GET", "r-2", (buf_t){ 0 });
  if (!f->ended && !f->failed)
    answer (f, f->conn_count - 1, OWN ("r-2", "two"));
  (void)await_end (f);
}

/* Serves r-1 on connection 0. */
static bool
first_call (fixture_t *f)
{
  call_await (f, "GET", "r-1", (buf_t){ 0 });
  answer (f, 0, OWN ("r-1", "one"));
  bool served = await_end (f) && strcmp (f->body->str, "one") == 0;
  turns (f, TURNS_SOME);
  return served && f->conn_count == 1;
}

/* -- bytes on an idle connection ------------------------------------------ */

static void
check_own_response (fixture_t *f)
{
  second_call (f);
  CU_ASSERT (f->ended);
  CU_ASSERT_STRING_EQUAL (f->body->str, "two");
  CU_ASSERT_EQUAL (f->conn_count, 2);
}

/* Guards against late bytes as the next call's response, after they were
 * noticed while no call waited. */
static void
test_bytes_noticed_before_the_call (void)
{
  fixture_t *f = fixture_open ();
  bool served = first_call (f);
  TST_NEED (served);
  answer (f, 0, OWN ("r-1", "old"));
  turns (f, TURNS_SOME);
  check_own_response (f);
  fixture_close (f);
}

/* The same, where the call comes before the loop has looked at the socket. */
static void
test_bytes_unnoticed_before_the_call (void)
{
  fixture_t *f = fixture_open ();
  bool served = first_call (f);
  TST_NEED (served);
  answer (f, 0, OWN ("r-1", "old"));
  check_own_response (f);
  fixture_close (f);
}

#define CHUNKED(id, text)                                                     \
  "HTTP/1.1 200 OK\r\nRequest-Id: " id                                        \
  "\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n" text \
  "\r\n"

/* Guards against a response that is cut off because its caller reads slowly:
 * the connection of a paused call is in use, though nothing polls it. */
static void
test_paused_response_is_whole (void)
{
  fixture_t *f = fixture_open ();
  call_await (f, "GET", "r-1", (buf_t){ 0 });
  answer (f, 0, CHUNKED ("r-1", "one"));
  (void)await (f, has_data);
  hcl_pause (f->client, HCL_UPSTREAM, f->id, true);
  answer (f, 0, "3\r\ntwo\r\n");
  turns (f, TURNS_SOME);
  answer (f, 0, "3\r\nend\r\n");
  turns (f, TURNS_SOME);
  answer (f, 0, "0\r\n\r\n");
  turns (f, TURNS_SOME);
  CU_ASSERT_STRING_EQUAL (f->body->str, "one");
  CU_ASSERT (!f->ended && !f->failed);
  hcl_pause (f->client, HCL_UPSTREAM, f->id, false);
  CU_ASSERT (await_end (f));
  CU_ASSERT_STRING_EQUAL (f->body->str, "onetwoend");
  fixture_close (f);
}

/* Guards against a first byte that counts as late because its call was paused
 * from the start. */
static void
test_first_byte_of_a_paused_call (void)
{
  fixture_t *f = fixture_open ();
  f->first_byte_ms = 50;
  call_start (f, "GET", "r-1", (buf_t){ 0 });
  hcl_pause (f->client, HCL_UPSTREAM, f->id, true);
  (void)await (f, is_received);
  answer (f, 0, OWN ("r-1", "one"));
  turns (f, 2 * TURNS_SOME);
  CU_ASSERT (f->head && !f->failed);
  CU_ASSERT_STRING_EQUAL (f->body->str, "");
  hcl_pause (f->client, HCL_UPSTREAM, f->id, false);
  CU_ASSERT (await_end (f));
  CU_ASSERT_STRING_EQUAL (f->body->str, "one");
  fixture_close (f);
}

/* Guards against late bytes as the next call's response, where the whole rest
 * of the first response had come while it was paused. */
static void
test_bytes_after_a_response_resumed_at_its_end (void)
{
  fixture_t *f = fixture_open ();
  call_await (f, "GET", "r-1", (buf_t){ 0 });
  answer (f, 0, CHUNKED ("r-1", "one"));
  (void)await (f, has_data);
  hcl_pause (f->client, HCL_UPSTREAM, f->id, true);
  answer (f, 0, "3\r\nend\r\n0\r\n\r\n");
  turns (f, TURNS_SOME);
  CU_ASSERT (!f->ended);
  hcl_pause (f->client, HCL_UPSTREAM, f->id, false);
  bool ended = await_end (f);
  TST_NEED (ended);
  CU_ASSERT_STRING_EQUAL (f->body->str, "oneend");
  turns (f, TURNS_SOME);
  answer (f, 0, OWN ("r-1", "old"));
  turns (f, TURNS_SOME);
  check_own_response (f);
  fixture_close (f);
}

/* The same, where the first response ended, without further data, while it was
 * paused. */
static void
test_bytes_after_a_response_that_ends_paused (void)
{
  fixture_t *f = fixture_open ();
  call_await (f, "GET", "r-1", (buf_t){ 0 });
  answer (f, 0, CHUNKED ("r-1", "one"));
  (void)await (f, has_data);
  hcl_pause (f->client, HCL_UPSTREAM, f->id, true);
  answer (f, 0, "0\r\n\r\n");
  bool ended = await_end (f);
  TST_NEED (ended);
  turns (f, TURNS_SOME);
  answer (f, 0, OWN ("r-1", "old"));
  turns (f, TURNS_SOME);
  check_own_response (f);
  fixture_close (f);
}

/* -- connections of foreign responses ------------------------------------- */

/* A foreign response to r-1 in each framing: its connection is closed. */
static void
check_foreign_closes (const char *method, const char *response, buf_t body)
{
  fixture_t *f = fixture_open ();
  call_await (f, method, "r-1", body);
  answer (f, 0, response);
  CU_ASSERT (await_end (f));
  turns (f, TURNS_SOME);
  CU_ASSERT (f->conns[0].closed);
  check_own_response (f);
  fixture_close (f);
}

static void
test_foreign_response_closes_in_each_framing (void)
{
  static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 3\r\n\r\nold",
    "HTTP/1.1 204 No Content\r\nRequest-Id: r-0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nRequest-Id: r-0\r\n\r\n",
    CHUNKED ("r-0", "old") "0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\n\r\n",
    CHUNKED ("r-0", "old") "0\r\nRequest-Id: r-1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\nRequest-Id: r-1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nRequest-Id: r-1\r\n\r\n"
    "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 0\r\n\r\n",
  };
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    check_foreign_closes ("GET", responses[i], (buf_t){ 0 });
  check_foreign_closes (
      "HEAD",
      "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 9\r\n\r\n",
      (buf_t){ 0 });
}

/* An own response keeps its connection, also behind a 100 without an id. */
static void
test_own_response_keeps_its_connection (void)
{
  static const char *const responses[] = {
    "HTTP/1.1 100 Continue\r\n\r\n" OWN ("r-1", "one"),
    "HTTP/1.1 204 No Content\r\nRequest-Id: r-1\r\n\r\n",
    CHUNKED ("r-1", "one") "0\r\nRequest-Id: r-0\r\n\r\n",
  };
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    {
      fixture_t *f = fixture_open ();
      call_await (f, "GET", "r-1", (buf_t){ 0 });
      answer (f, 0, responses[i]);
      CU_ASSERT (await_end (f));
      turns (f, TURNS_SOME);
      second_call (f);
      CU_ASSERT (f->ended);
      CU_ASSERT_STRING_EQUAL (f->body->str, "two");
      CU_ASSERT_EQUAL (f->conn_count, 1);
      fixture_close (f);
    }
}

/* Fields of a trailer are no part of the head: they may come from a response
 * that had no body, id or signature. */
static void
test_trailer_is_no_part_of_the_head (void)
{
  fixture_t *f = fixture_open ();
  call_await (f, "GET", "r-1", (buf_t){ 0 });
  answer (f, 0,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "0\r\nRequest-Id: r-1\r\nResponse-Signature: s\r\n\r\n");
  CU_ASSERT (await_end (f));
  CU_ASSERT_EQUAL (f->status, 200);
  CU_ASSERT_STRING_EQUAL (f->signature, "");
  fixture_close (f);
}

/* Guards against a part of a body that is taken for all of it: a body above
 * its bound fails the call, as one whose effect is unknown, and closes. */
static void
test_body_above_its_bound_fails (void)
{
  static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 4\r\n\r\nfour",
    CHUNKED ("r-1", "one") "1\r\n.\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\n\r\nfour",
  };
  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    {
      fixture_t *f = fixture_open ();
      f->body_max = 3;
      call_await (f, "GET", "r-1", (buf_t){ 0 });
      answer (f, 0, responses[i]);
      CU_ASSERT (!await_end (f) && f->failed);
      CU_ASSERT_EQUAL (f->fail, EV_FAIL_UNKNOWN);
      CU_ASSERT (await (f, is_first_closed));
      check_own_response (f);
      fixture_close (f);
    }
}

/* -- uploads -------------------------------------------------------------- */

/* Starts r-1 with a large body on a connection that the server does not read.
 */
static void
upload_start (fixture_t *f, const char *body)
{
  f->stopped = true;
  call_start (f, "POST", "r-1", (buf_t){ .p = body, .n = BODY_LARGE });
  turns (f, TURNS_SOME);
}

/* Guards against a connection in use that is taken for an idle one: the server
 * answers before it has read the body, and reads on later. */
static void
test_early_response_leaves_the_upload_whole (void)
{
  fixture_t *f = fixture_open ();
  char *body = g_malloc0 (BODY_LARGE);
  upload_start (f, body);
  answer (f, 0, OWN ("r-1", "one"));
  turns (f, TURNS_SOME);
  answer (f, 0, OWN ("r-1", "old"));
  turns (f, TURNS_SOME);
  f->conns[0].reads = true;
  CU_ASSERT (await_end (f));
  turns (f, TURNS_SOME);
  CU_ASSERT (f->conns[0].received > BODY_LARGE);
  CU_ASSERT_STRING_EQUAL (f->body->str, "one");
  f->stopped = false;
  check_own_response (f);
  g_free (body);
  fixture_close (f);
}

/* A foreign response that comes while the body is sent: nothing else uses the
 * connection, and it is closed. */
static void
test_early_foreign_response_closes (void)
{
  fixture_t *f = fixture_open ();
  char *body = g_malloc0 (BODY_LARGE);
  upload_start (f, body);
  answer (f, 0, OWN ("r-0", "old"));
  turns (f, TURNS_SOME);
  CU_ASSERT (f->head);
  f->conns[0].reads = true;
  (void)await_end (f);
  CU_ASSERT (await (f, is_first_closed));
  f->stopped = false;
  check_own_response (f);
  g_free (body);
  fixture_close (f);
}

/* -- connects that come to nothing ----------------------------------------
 */

/* Has r-1 served, on whichever connection. */
static void
check_is_served (fixture_t *f)
{
  gint64 start = g_get_monotonic_time ();
  call_await (f, "GET", "r-1", (buf_t){ 0 });
  if (f->conn_count > 0)
    answer (f, f->conn_count - 1, OWN ("r-1", "one"));
  CU_ASSERT (await_end (f));
  CU_ASSERT_STRING_EQUAL (f->body->str, "one");
  CU_ASSERT (g_get_monotonic_time () - start < G_USEC_PER_SEC / 2);
}

/* Guards against a socket that is never polled, as an earlier one with its
 * number could not be connected. */
static void
test_call_after_a_refused_connect (void)
{
  fixture_t *f = fixture_open ();
  char live[sizeof f->address];
  memcpy (live, f->address, sizeof live);
  (void)snprintf (f->address, sizeof f->address, "127.0.0.1:%u",
                  sock_free_port ());
  call_start (f, "GET", "r-0", (buf_t){ 0 });
  bool ended = await_end (f);
  CU_ASSERT (!ended && f->failed);
  memcpy (f->address, live, sizeof live);
  f->id = 0;
  check_is_served (f);
  fixture_close (f);
}

/* A listener whose queue is full, so that a further connect gets no reply. */
static int
full_listener (char *address, size_t size, int fillers[FILLERS])
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t in_size = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  (void)bind (fd, (struct sockaddr *)&in, sizeof in);
  (void)listen (fd, 0);
  (void)getsockname (fd, (struct sockaddr *)&in, &in_size);
  for (int i = 0; i < FILLERS; i++)
    {
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (fillers[i], (struct sockaddr *)&in, sizeof in);
    }
  (void)snprintf (address, size, "127.0.0.1:%u", ntohs (in.sin_port));
  return fd;
}

/* The same, where the connect timed out. */
static void
test_call_after_a_connect_without_reply (void)
{
  fixture_t *f = fixture_open ();
  int fillers[FILLERS];
  char live[sizeof f->address];
  memcpy (live, f->address, sizeof live);
  int full = full_listener (f->address, sizeof f->address, fillers);
  f->connect_ms = 50;
  call_start (f, "GET", "r-0", (buf_t){ 0 });
  bool ended = await_end (f);
  CU_ASSERT (!ended && f->failed);
  memcpy (f->address, live, sizeof live);
  f->connect_ms = 0;
  f->id = 0;
  check_is_served (f);
  for (int i = 0; i < FILLERS; i++)
    close (fillers[i]);
  close (full);
  fixture_close (f);
}

/* The same, where the call was cancelled before it was connected. */
static void
test_call_after_a_cancelled_connect (void)
{
  fixture_t *f = fixture_open ();
  call_start (f, "GET", "r-0", (buf_t){ 0 });
  (void)tevent_loop_once (f->loop);
  hcl_cancel (f->client, HCL_UPSTREAM, f->id);
  f->id = 0;
  check_is_served (f);
  fixture_close (f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "bytes_noticed_before_the_call", test_bytes_noticed_before_the_call },
    { "bytes_unnoticed_before_the_call",
      test_bytes_unnoticed_before_the_call },
    { "paused_response_is_whole", test_paused_response_is_whole },
    { "first_byte_of_a_paused_call", test_first_byte_of_a_paused_call },
    { "bytes_after_a_response_resumed_at_its_end",
      test_bytes_after_a_response_resumed_at_its_end },
    { "bytes_after_a_response_that_ends_paused",
      test_bytes_after_a_response_that_ends_paused },
    { "foreign_response_closes_in_each_framing",
      test_foreign_response_closes_in_each_framing },
    { "own_response_keeps_its_connection",
      test_own_response_keeps_its_connection },
    { "trailer_is_no_part_of_the_head", test_trailer_is_no_part_of_the_head },
    { "body_above_its_bound_fails", test_body_above_its_bound_fails },
    { "early_response_leaves_the_upload_whole",
      test_early_response_leaves_the_upload_whole },
    { "call_after_a_refused_connect", test_call_after_a_refused_connect },
    { "call_after_a_connect_without_reply",
      test_call_after_a_connect_without_reply },
    { "call_after_a_cancelled_connect", test_call_after_a_cancelled_connect },
    { "early_foreign_response_closes", test_early_foreign_response_closes },
  };
  return tst_run ("hcl_reuse", cases, sizeof cases / sizeof cases[0]);
}
