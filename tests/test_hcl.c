/** @file
 * The HTTP client over real sockets: connections that no call uses, and calls
 * whose response is paused.
 */
#include "io/hcl.h"
#include "io/hsv.h"
#include "sock.h"
#include "tst.h"

#include <glib.h>
#include <stdio.h>
#include <talloc.h>

#define CALL 7
/* Turns of the event loop in a wait. */
#define LOOPS_MAX 400
#define FIRST "first,"
#define SECOND "second,"
#define THIRD "third"

/* A client, a server and one call between them. */
typedef struct
{
  struct tevent_context *loop;
  hsv_t *server;
  hcl_t *client;
  char address[32];
  uint64_t caller; /* of the server's last request; 0: none */
  GString *body;
  bool ended;
  bool failed;
} fixture_t;

static void
on_request (void *data, const ev_t *ev)
{
  fixture_t *f = data;
  if (ev->kind == EV_REQUEST)
    f->caller = ev->request.caller;
}

static void
on_flow (void *data, uint64_t caller, bool full)
{
  (void)data;
  (void)caller;
  (void)full;
}

static void
on_response (void *data, const hcl_event_t *e)
{
  fixture_t *f = data;
  if (e->kind == EV_UPSTREAM_DATA)
    g_string_append_len (f->body, e->data.p, (gssize)e->data.n);
  f->ended = f->ended || e->kind == EV_UPSTREAM_END;
  f->failed = f->failed || e->kind == EV_UPSTREAM_FAIL;
}

static bool
fixture_open (fixture_t *f)
{
  st_t st = { 0 };
  *f = (fixture_t){ .loop = tevent_context_init (NULL),
                    .body = g_string_new (NULL) };
  (void)snprintf (f->address, sizeof f->address, "127.0.0.1:%u",
                  sock_free_port ());
  f->server = hsv_setup (f->loop,
                         &(hsv_desc_t){ .loop = f->loop,
                                        .listen = f->address,
                                        .handler = on_request,
                                        .flow = on_flow,
                                        .data = f },
                         &st);
  f->client = hcl_setup (
      f->loop,
      &(hcl_desc_t){ .loop = f->loop, .handler = on_response, .data = f });
  return f->server != NULL;
}

static void
fixture_close (fixture_t *f)
{
  TALLOC_FREE (f->client);
  TALLOC_FREE (f->server);
  talloc_free (f->loop);
  (void)g_string_free (f->body, TRUE);
}

static void
on_turn (struct tevent_context *loop, struct tevent_timer *timer,
         struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  (void)data;
}

/* One turn of the event loop, which lasts 5 ms at most. */
static void
loop_once (fixture_t *f)
{
  struct tevent_timer *timer = tevent_add_timer (
      f->loop, f->loop, tevent_timeval_current_ofs (0, 5000), on_turn, f);
  (void)tevent_loop_once (f->loop);
  (void)timer;
}

static void
call_start (fixture_t *f)
{
  f->caller = 0;
  hcl_call (f->client, &(hcl_call_t){ .owner = HCL_UPSTREAM,
                                      .id = CALL,
                                      .address = f->address,
                                      .method = "GET",
                                      .path = "/" });
  for (int i = 0; i < LOOPS_MAX && f->caller == 0; i++)
    loop_once (f);
}

/* Guards against a response that is cut off because its caller reads slowly:
 * the connection of a paused call is in use, though nothing polls it. */
static void
test_paused_response_is_whole (void)
{
  fixture_t f;
  TST_NEED (fixture_open (&f));
  call_start (&f);
  CU_ASSERT (f.caller != 0);
  hsv_reply_head (f.server, f.caller, 200, (http_headers_t){ 0 });
  hsv_reply_data (f.server, f.caller, buf_str (FIRST));
  for (int i = 0; i < LOOPS_MAX && f.body->len == 0; i++)
    loop_once (&f);
  hcl_pause (f.client, HCL_UPSTREAM, CALL, true);
  hsv_reply_data (f.server, f.caller, buf_str (SECOND));
  for (int i = 0; i < LOOPS_MAX / 4; i++)
    loop_once (&f);
  hsv_reply_data (f.server, f.caller, buf_str (THIRD));
  for (int i = 0; i < LOOPS_MAX / 4; i++)
    loop_once (&f);
  hsv_reply_end (f.server, f.caller);
  for (int i = 0; i < LOOPS_MAX / 4; i++)
    loop_once (&f);
  CU_ASSERT_STRING_EQUAL (f.body->str, FIRST);
  CU_ASSERT (!f.ended && !f.failed);
  hcl_pause (f.client, HCL_UPSTREAM, CALL, false);
  for (int i = 0; i < LOOPS_MAX && !f.ended && !f.failed; i++)
    loop_once (&f);
  CU_ASSERT (f.ended);
  CU_ASSERT_STRING_EQUAL (f.body->str, FIRST SECOND THIRD);
  fixture_close (&f);
}

int
main (void)
{
  static const tst_case_t cases[] = {
    { "paused_response_is_whole", test_paused_response_is_whole },
  };
  return tst_run ("hcl", cases, sizeof cases / sizeof cases[0]);
}
