#include "drvbed_int.h"

#include "sock.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define DRVBED_DEADLINE_MS "3000"

/* -- waiting -------------------------------------------------------------- */

static void
_drvbed_expire (struct tevent_context *loop, struct tevent_timer *timer,
                struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  bool *expired = data;
  *expired = true;
}

bool
drvbed_wait (drvbed_t *b, clk_ms_t ms, bool (*done) (const void *data),
             const void *data)
{
  bool expired = false;
  struct timeval at = tevent_timeval_current_ofs (
      (uint32_t)(ms / 1000), (uint32_t)(ms % 1000) * 1000);
  struct tevent_timer *timer
      = tevent_add_timer (b->loop, b, at, _drvbed_expire, &expired);
  while (!expired && !done (data))
    (void)tevent_loop_once (b->loop);
  if (!expired)
    talloc_free (timer);
  return done (data);
}

/* -- callers -------------------------------------------------------------- */

static void
_drvbed_answer_head (drvbed_answer_t *a, const hcl_event_t *e)
{
  const char *id = http_header_find (e->headers, "Request-Id");
  const char *signature = http_header_find (e->headers, "Response-Signature");
  a->status = e->status;
  a->response_id = id == NULL ? NULL : talloc_strdup (a, id);
  a->signature = signature == NULL ? NULL : talloc_strdup (a, signature);
}

static void
_drvbed_on_answer (void *data, const hcl_event_t *e)
{
  drvbed_t *b = data;
  drvbed_answer_t *a = g_ptr_array_index (b->answers, e->id);
  if (e->kind == EV_UPSTREAM_HEAD)
    _drvbed_answer_head (a, e);
  else if (e->kind == EV_UPSTREAM_DATA)
    g_string_append_len (a->body, e->data.p, (gssize)e->data.n);
  else
    a->ended = true;
  a->failed = e->kind == EV_UPSTREAM_FAIL;
}

static int
_drvbed_answer_destroy (drvbed_answer_t *a)
{
  (void)g_string_free (a->body, TRUE);
  return 0;
}

drvbed_answer_t *
drvbed_ask (drvbed_t *b, const char *id)
{
  http_header_t headers[] = {
    { "Host", "desk.example" },
    { "Request-Id", id },
    { "Deadline-Ms", DRVBED_DEADLINE_MS },
    { "Authorization", "Bearer " DRVBED_KEY },
    { "Content-Type", "application/json" },
  };
  drvbed_answer_t *a = talloc_zero (b, drvbed_answer_t);
  a->id = talloc_strdup (a, id);
  a->body = g_string_new (NULL);
  talloc_set_destructor (a, _drvbed_answer_destroy);
  hcl_call (b->callers,
            &(hcl_call_t){ .owner = HCL_PLATFORM,
                           .id = b->answers->len,
                           .address = b->listen,
                           .method = "POST",
                           .path = "/fit/stream",
                           .headers
                           = { headers, sizeof headers / sizeof headers[0] },
                           .body = buf_str ("{\"prompt\":\"p\"}"),
                           .total_ms = DRVBED_WAIT_MS,
                           .fresh_connection = true });
  g_ptr_array_add (b->answers, a);
  return a;
}

static bool
_drvbed_is_answered (const void *data)
{
  const drvbed_answer_t *a = data;
  return a->ended;
}

bool
drvbed_await_answer (drvbed_t *b, const drvbed_answer_t *a)
{
  return drvbed_wait (b, DRVBED_WAIT_MS + CLK_SECOND, _drvbed_is_answered, a);
}

bool
drvbed_is_own (const drvbed_answer_t *a)
{
  char *body = drvbed_body (NULL, a->id);
  bool own = a->ended && !a->failed && a->status == 200
             && g_strcmp0 (a->response_id, a->id) == 0
             && g_strcmp0 (a->signature, drvbed_signature (body, a->id)) == 0
             && strcmp (a->body->str, body) == 0;
  talloc_free (body);
  return own;
}

/* -- set up --------------------------------------------------------------- */

void
drvbed_address (char address[DRVBED_ADDRESS_SIZE])
{
  (void)snprintf (address, DRVBED_ADDRESS_SIZE, "127.0.0.1:%u",
                  sock_free_port ());
}

static bool
_drvbed_driver_open (drvbed_t *b)
{
  static const char *const data_centres[] = { "north", "south", NULL };
  st_t st = { 0 };
  drvbed_address (b->listen);
  drvbed_address (b->peer_listen);
  b->set = (set_t){ .name = "n-1",
                    .data_centre = "north",
                    .data_centres = data_centres,
                    .listen = b->listen,
                    .peer_listen = b->peer_listen,
                    .secret = "secret of the bed",
                    .platform = b->platform_listen,
                    .hosted = true,
                    .log_level = "warning",
                    .seed = 1 };
  b->driver
      = drv_setup (b, &(drv_desc_t){ .loop = b->loop, .set = &b->set }, &st);
  return b->driver != NULL;
}

static bool
_drvbed_open (drvbed_t *b)
{
  for (size_t i = 0; i < b->upstream_count; i++)
    if (!drvbed_upstream_open (b, &b->upstreams[i]))
      return false;
  if (!drvbed_platform_open (b))
    return false;
  for (int i = 0; i < DRVBED_ATTEMPTS && b->driver == NULL; i++)
    (void)_drvbed_driver_open (b);
  return b->driver != NULL;
}

static bool
_drvbed_is_polled (const void *data)
{
  const drvbed_t *b = data;
  return drvbed_request_count (b, 0, DRVBED_LOAD) > 0;
}

drvbed_t *
drvbed_setup (size_t upstreams)
{
  drvbed_t *b = talloc_zero (NULL, drvbed_t);
  b->loop = tevent_context_init (NULL);
  b->upstream_count = upstreams;
  b->objects = json_object ();
  b->requests = g_ptr_array_new ();
  b->answers = g_ptr_array_new ();
  b->callers = hcl_setup (b, &(hcl_desc_t){ .loop = b->loop,
                                            .handler = _drvbed_on_answer,
                                            .data = b });
  if (_drvbed_open (b)
      && drvbed_wait (b, DRVBED_WAIT_MS, _drvbed_is_polled, b))
    {
      const drvbed_request_t *first = g_ptr_array_index (b->requests, 0);
      if (drvbed_await_read (b, first->conn))
        return b;
    }
  drvbed_shutdown (b);
  return NULL;
}

void
drvbed_shutdown (drvbed_t *b)
{
  struct tevent_context *loop = b->loop;
  TALLOC_FREE (b->driver);
  TALLOC_FREE (b->callers);
  TALLOC_FREE (b->platform);
  for (size_t i = 0; i < b->upstream_count; i++)
    drvbed_upstream_close (&b->upstreams[i]);
  json_decref (b->objects);
  g_ptr_array_free (b->requests, TRUE);
  g_ptr_array_free (b->answers, TRUE);
  talloc_free (b);
  talloc_free (loop);
}
