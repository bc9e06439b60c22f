/** @file
 * Heads that may not be passed on, and odd ones that are passed on byte for
 * byte: the check alone, and the HTTP server and client over real sockets.
 */
#include "core/hck.h"
#include "io/hcl.h"
#include "io/hsv.h"
#include "sock.h"
#include "tst.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#define TURNS_MAX 100
#define COUNT(table) (sizeof (table) / sizeof (table)[0])

/* -- the check ------------------------------------------------------------ */

static const char *const good_targets[]
    = { "/",   "/a/../b", "/./a",        "//a//",  "/a?b=c&api_key=d",
        "/a?", "/%00%0d", "/\xc3\xa9/x", "/a;b@c", "/a|b\\c" };
static const char *const bad_targets[] = {
  "",      "a",     "@host:80", "*",      "http://h/a", "/a b", "/a\rb",
  "/a\nb", "/a\tb", "/a\x01",   "/a\x7f", "/a#b",       " /a",  "/a\r\n"
};
static const char *const good_values[]
    = { "", "a", "a\tb", " a ", "\xc3\xa9", "\xff", "a: b", "\"\\" };
static const char *const bad_values[]
    = { "a\r\nb", "a\rb", "a\nb", "\n", "a\x01", "a\x1f", "a\x7f" };
static const char *const bad_names[]
    = { "",    "a b", "a ",       " a",  "a:",    "a\t",  "a\r\nb",
        "a\n", "a/b", "\xc3\xa9", "a\"", "a\x7f", "a(b)", "a;",
        "a@b", "a,b", "a=b",      "[a]", "{a}",   "a\\b", "a?b" };
static const char *const good_addresses[]
    = { "127.0.0.1:1", "a-b.example:65535", "[::1]:80" };
static const char *const bad_addresses[]
    = { "",      "127.0.0.1", ":80",    "a:0",    "a:65536",
        "a:8x",  "u@a:80",    "a/b:80", "a b:80", "a\r\n:80",
        "[]:80", "a:80/x",    "a#b:80", "a?b:80", "[::1:80" };

/* Guards against a string that ends its line, or its head, early. */
static void
test_table_of_heads (void)
{
  for (size_t i = 0; i < COUNT (good_targets); i++)
    CU_ASSERT (hck_target_is_valid (good_targets[i]));
  for (size_t i = 0; i < COUNT (bad_targets); i++)
    CU_ASSERT_FALSE (hck_target_is_valid (bad_targets[i]));
  for (size_t i = 0; i < COUNT (good_values); i++)
    CU_ASSERT (hck_value_is_valid (good_values[i]));
  for (size_t i = 0; i < COUNT (bad_values); i++)
    CU_ASSERT_FALSE (hck_value_is_valid (bad_values[i]));
  for (size_t i = 0; i < COUNT (bad_names); i++)
    CU_ASSERT_FALSE (hck_token_is_valid (bad_names[i]));
  for (size_t i = 0; i < COUNT (good_addresses); i++)
    CU_ASSERT (hck_address_is_valid (good_addresses[i]));
  for (size_t i = 0; i < COUNT (bad_addresses); i++)
    CU_ASSERT_FALSE (hck_address_is_valid (bad_addresses[i]));
  CU_ASSERT (hck_token_is_valid ("X-a_1.~!#$%&'*+^`|"));
  CU_ASSERT (hck_id_is_valid ("a b") && hck_id_is_valid ("\xc3\xa9"));
  CU_ASSERT_FALSE (hck_id_is_valid ("") || hck_id_is_valid (" a")
                   || hck_id_is_valid ("a\t") || hck_id_is_valid ("a\rb"));
}

/* The description names the header, in printable ASCII whatever it is. */
static void
test_description_names_the_header (void)
{
  void *ctx = talloc_new (NULL);
  http_header_t headers[] = { { "X-Note", "a\rb" }, { "a\xff\r\n", "" } };
  for (size_t i = 0; i < COUNT (headers); i++)
    {
      hck_fault_t fault = hck_request (
          &(hck_request_t){ .headers = { .v = &headers[i], .n = 1 } });
      TST_NEED (fault.part != NULL);
      const char *text = hck_describe (ctx, &fault);
      CU_ASSERT (g_str_is_ascii (text) && strpbrk (text, "\r\n") == NULL);
      CU_ASSERT (i > 0 || strstr (text, "\"X-Note\"") != NULL);
    }
  talloc_free (ctx);
}

/* -- the client ----------------------------------------------------------- */

/* A client, its last call, and what the server has received of it. */
typedef struct
{
  struct tevent_context *loop;
  hcl_t *client;
  int listener;
  char address[32];
  char received[8192];
  bool failed;
  ev_fail_t fail;
  char text[256];
} client_t;

static void
on_response (void *data, const hcl_event_t *e)
{
  client_t *f = data;
  f->failed = f->failed || e->kind == EV_UPSTREAM_FAIL;
  if (e->kind != EV_UPSTREAM_FAIL)
    return;
  f->fail = e->fail;
  (void)g_strlcpy (f->text, e->text, sizeof f->text);
}

static client_t *
client_open (void)
{
  uint16_t port = 0;
  client_t *f = talloc_zero (NULL, client_t);
  f->loop = tevent_context_init (f);
  f->listener = sock_listen (&port);
  (void)snprintf (f->address, sizeof f->address, "127.0.0.1:%u", port);
  f->client = hcl_setup (
      f->loop,
      &(hcl_desc_t){ .loop = f->loop, .handler = on_response, .data = f });
  return f;
}

static void
client_close (client_t *f)
{
  close (f->listener);
  TALLOC_FREE (f->client);
  talloc_free (f);
}

/* Makes CALL, whose address is the server's unless it has one, and waits until
 * the server has its head or the call has failed. */
static void
client_call (client_t *f, const hcl_call_t *call)
{
  hcl_call_t c = *call;
  int fd = -1;
  size_t n = 0;
  c.id = 1;
  c.address = call->address == NULL ? f->address : call->address;
  c.method = call->method == NULL ? "GET" : call->method;
  c.path = call->path == NULL ? "/" : call->path;
  f->failed = false;
  f->received[0] = '\0';
  hcl_call (f->client, &c);
  for (int i = 0; i < TURNS_MAX && !f->failed; i++)
    {
      (void)tevent_loop_once (f->loop);
      if (fd < 0)
        {
          struct timeval short_wait = { .tv_usec = 1000 };
          setsockopt (f->listener, SOL_SOCKET, SO_RCVTIMEO, &short_wait,
                      sizeof short_wait);
          fd = accept (f->listener, NULL, NULL);
        }
      ssize_t more = fd < 0 ? 0
                            : recv (fd, f->received + n,
                                    sizeof f->received - 1 - n, MSG_DONTWAIT);
      n += more > 0 ? (size_t)more : 0;
      f->received[n] = '\0';
      if (strstr (f->received, "\r\n\r\n") != NULL)
        break;
    }
  hcl_cancel (f->client, HCL_UPSTREAM, 1);
  if (fd >= 0)
    close (fd);
}

/* Guards against a path or a header that reaches the upstream changed: what
 * the check passes is sent byte for byte. */
static void
test_sound_heads_are_sent_as_they_are (void)
{
  client_t *f = client_open ();
  for (size_t i = 0; i < COUNT (good_targets); i++)
    {
      client_call (f, &(hcl_call_t){ .path = good_targets[i] });
      char *line = talloc_asprintf (f, "GET %s HTTP/1.1\r\n", good_targets[i]);
      CU_ASSERT (g_str_has_prefix (f->received, line));
    }
  for (size_t i = 0; i < COUNT (good_values); i++)
    {
      http_header_t header = { "X-Note", good_values[i] };
      client_call (f, &(hcl_call_t){ .headers = { &header, 1 } });
      char *value = g_strstrip (talloc_strdup (f, good_values[i]));
      const char *at = strstr (f->received, "\r\nX-Note:");
      TST_NEED (at != NULL);
      at += strlen ("\r\nX-Note:");
      char *got = talloc_strndup (f, at, strcspn (at, "\r\n"));
      CU_ASSERT_STRING_EQUAL (g_strstrip (got), value);
    }
  client_close (f);
}

static void
check_unsent (client_t *f, const hcl_call_t *call)
{
  client_call (f, call);
  CU_ASSERT (f->failed && f->fail == EV_FAIL_UNSENDABLE);
  CU_ASSERT_STRING_EQUAL (f->received, "");
}

/* Guards against a request that is smuggled inside another, whatever road
 * brings it here: no byte of such a head is sent. */
static void
test_unsound_heads_are_not_sent (void)
{
  static const char *const framing[]
      = { "Content-Length", "transfer-encoding" };
  client_t *f = client_open ();
  for (size_t i = 0; i < COUNT (bad_targets); i++)
    check_unsent (f, &(hcl_call_t){ .path = bad_targets[i] });
  for (size_t i = 0; i < COUNT (bad_values); i++)
    {
      http_header_t header = { "X-Note", bad_values[i] };
      check_unsent (f, &(hcl_call_t){ .headers = { &header, 1 } });
      CU_ASSERT (strstr (f->text, "\"X-Note\"") != NULL);
    }
  for (size_t i = 0; i < COUNT (bad_names); i++)
    {
      http_header_t header = { bad_names[i], "a" };
      check_unsent (f, &(hcl_call_t){ .headers = { &header, 1 } });
    }
  for (size_t i = 0; i < COUNT (framing); i++)
    {
      http_header_t header = { framing[i], "3" };
      check_unsent (f, &(hcl_call_t){ .headers = { &header, 1 } });
    }
  for (size_t i = 0; i < COUNT (bad_addresses); i++)
    {
      check_unsent (f, &(hcl_call_t){ .address = bad_addresses[i] });
      check_unsent (
          f, &(hcl_call_t){ .tunnel = bad_addresses[i], .tunnel_proof = "p" });
    }
  check_unsent (f, &(hcl_call_t){ .method = "GET /a HTTP/1.1\r\n\r\nPOST" });
  client_close (f);
}

/* -- the server ----------------------------------------------------------- */

typedef struct
{
  struct tevent_context *loop;
  hsv_t *server;
  uint16_t port;
  unsigned requests;
  uint64_t
      caller; /* of the last request, which has no response yet; 0: none */
  char target[256]; /* of the last one */
  char note[256];   /* its X-Note; "": none */
  char body[64];
} server_t;

static void
on_event (void *data, const ev_t *ev)
{
  server_t *f = data;
  if (ev->kind != EV_REQUEST)
    return;
  const ev_request_t *r = &ev->request;
  const char *note = http_header_find (r->headers, "X-Note");
  f->requests++;
  (void)g_strlcpy (f->target, r->target, sizeof f->target);
  (void)g_strlcpy (f->note, note == NULL ? "none" : note, sizeof f->note);
  (void)snprintf (f->body, sizeof f->body, "%.*s", (int)r->body.n, r->body.p);
  f->caller = r->caller;
}

static void
on_flow (void *data, uint64_t caller, bool full)
{
  (void)data;
  (void)caller;
  (void)full;
}

static server_t *
server_open (void)
{
  char address[32];
  st_t st = { 0 };
  server_t *f = talloc_zero (NULL, server_t);
  f->loop = tevent_context_init (f);
  f->port = sock_free_port ();
  (void)snprintf (address, sizeof address, "127.0.0.1:%u", f->port);
  f->server = hsv_setup (f->loop,
                         &(hsv_desc_t){ .loop = f->loop,
                                        .listen = address,
                                        .handler = on_event,
                                        .flow = on_flow,
                                        .data = f },
                         &st);
  return f;
}

/* Sends TEXT on a connection of its own; returns the status of the response,
 * and whether the server CLOSED after it; 0: there is none. */
static int
server_ask (server_t *f, const char *text, bool *closed)
{
  char received[4096] = "";
  size_t n = 0;
  int fd = sock_connect (f->port);
  (void)send (fd, text, strlen (text), MSG_NOSIGNAL);
  *closed = false;
  for (int i = 0; i < TURNS_MAX && !*closed; i++)
    {
      /* A response without "close" is not followed by a close. */
      if (strstr (received, "\r\n\r\n") != NULL
          && strstr (received, "close") == NULL)
        break;
      (void)tevent_loop_once (f->loop);
      if (f->caller != 0)
        {
          hsv_reply_head (f->server, f->caller, 200, (http_headers_t){ 0 });
          hsv_reply_end (f->server, f->caller);
          f->caller = 0;
        }
      ssize_t more
          = recv (fd, received + n, sizeof received - 1 - n, MSG_DONTWAIT);
      *closed = more == 0 || (more < 0 && errno != EAGAIN);
      n += more > 0 ? (size_t)more : 0;
      received[n] = '\0';
    }
  close (fd);
  return strncmp (received, "HTTP/1.1 ", 9) == 0 ? atoi (received + 9) : 0;
}

#define HEAD "POST /a HTTP/1.1\r\nHost: x\r\n"
#define SMUGGLED "POST /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"

/* Guards against a caller's head that others would read in another way, and
 * against one that gets no answer. */
static void
test_unsound_requests_are_refused (void)
{
  static const struct
  {
    int status; /* 0: 400 or, from the library, any other refusal */
    const char *text;
  } rows[] = {
    { 0, HEAD "Tenant : rival\r\nContent-Length: 0\r\n\r\n" },
    { 0, HEAD "Tenant\t: rival\r\nContent-Length: 0\r\n\r\n" },
    { 0, HEAD "X-Note: a\rTenant: rival\r\nContent-Length: 0\r\n\r\n" },
    { 0, HEAD "X-Note: a\rb\r\nContent-Length: 0\r\n\r\n" },
    { 400, HEAD "X-Note: a\x01\r\nContent-Length: 0\r\n\r\n" },
    { 400, HEAD "X(Note): a\r\nContent-Length: 0\r\n\r\n" },
    { 0, HEAD "Content-Length: 0\r\nContent-Length: 38\r\n\r\n" SMUGGLED },
    { 0, HEAD "Content-Length: 38\r\nContent-Length: 0\r\n\r\n" SMUGGLED },
    { 0, HEAD "Content-Length: 0, 38\r\n\r\n" SMUGGLED },
    { 0, HEAD "Content-Length: +0\r\n\r\n" SMUGGLED },
    { 400, HEAD "Content-Length: 38\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n" SMUGGLED },
    { 501, HEAD "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" },
    { 501, HEAD "Transfer-Encoding: identity\r\n\r\n" },
    { 501, HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" },
    { 501, HEAD "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"
                "\r\n0\r\n\r\n" },
    { 0, "POST /a b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" },
    { 400, "POST /a#b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" },
    { 400, "POST a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" },
    { 400, "PO(ST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n" },
  };
  server_t *f = server_open ();
  TST_NEED (f->server != NULL);
  for (size_t i = 0; i < COUNT (rows); i++)
    {
      bool closed = false;
      f->requests = 0;
      int status = server_ask (f, rows[i].text, &closed);
      bool refused = rows[i].status == 0 ? status >= 400 && status < 600
                                         : status == rows[i].status;
      CU_ASSERT (refused && closed);
      CU_ASSERT_EQUAL (f->requests, 0);
      if (!refused || !closed || f->requests > 0)
        (void)printf ("status %d, closed %d, %u requests: %s\n", status,
                      closed, f->requests, rows[i].text);
    }
  talloc_free (f);
}

/* Odd heads that are sound are passed on as they came. */
static void
test_sound_requests_are_passed_on (void)
{
  server_t *f = server_open ();
  TST_NEED (f->server != NULL);
  bool closed = false;
  for (size_t i = 0; i < COUNT (good_targets); i++)
    {
      char *text = talloc_asprintf (
          f, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi",
          good_targets[i]);
      CU_ASSERT_EQUAL (server_ask (f, text, &closed), 200);
      CU_ASSERT_STRING_EQUAL (f->target, good_targets[i]);
      CU_ASSERT_STRING_EQUAL (f->body, "hi");
    }
  for (size_t i = 0; i < COUNT (good_values); i++)
    {
      char *text = talloc_asprintf (
          f, HEAD "X-Note: %s\r\nContent-Length: 2\r\n\r\nhi", good_values[i]);
      CU_ASSERT_EQUAL (server_ask (f, text, &closed), 200);
      CU_ASSERT_STRING_EQUAL (g_strchomp (f->note),
                              g_strstrip (talloc_strdup (f, good_values[i])));
    }
  CU_ASSERT_EQUAL (server_ask (f,
                               HEAD "Content-Length: 2\r\nContent-Length: 2\r"
                                    "\n\r\nhi",
                               &closed),
                   200);
  CU_ASSERT_EQUAL (server_ask (f,
                               HEAD "Transfer-Encoding: Chunked\r\n\r\n2\r\n"
                                    "hi\r\n0\r\n\r\n",
                               &closed),
                   200);
  CU_ASSERT_STRING_EQUAL (f->body, "hi");
  talloc_free (f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "table_of_heads", test_table_of_heads },
    { "description_names_the_header", test_description_names_the_header },
    { "sound_heads_are_sent_as_they_are",
      test_sound_heads_are_sent_as_they_are },
    { "unsound_heads_are_not_sent", test_unsound_heads_are_not_sent },
    { "unsound_requests_are_refused", test_unsound_requests_are_refused },
    { "sound_requests_are_passed_on", test_sound_requests_are_passed_on },
  };
  return tst_run ("hck", cases, sizeof cases / sizeof cases[0]);
}
