/** @file
 * Fake upstreams of the test net (onlnet.h).
 */
#include "onlnet_int.h"
#include "tst.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static int
header_number (http_headers_t headers, const char *name)
{
  const char *value = http_header_find (headers, name);
  return value != NULL ? atoi (value) : 0;
}

static event_t *
upstream_event (onn_t *n, clk_ms_t delay, int vm, uint64_t call,
                ev_kind_t kind)
{
  event_t *e = onn_event_schedule (n, delay, EVENT_UPSTREAM, vm);
  e->ev.kind = kind;
  e->ev.upstream.call = call;
  return e;
}

static void
upstream_data (onn_t *n, clk_ms_t delay, int vm, uint64_t call, buf_t data)
{
  event_t *e = upstream_event (n, delay, vm, call, EV_UPSTREAM_DATA);
  e->ev.upstream.data = buf_copy (e, data);
}

char *
onn_expected_body (void *ctx, const onn_t *n, uint64_t id)
{
  const onn_request_t *spec = &n->request[id].spec;
  if (strcmp (spec->path, "/orders") == 0)
    return talloc_asprintf (ctx, "cut order %d", spec->order);
  if (spec->stream)
    return talloc_asprintf (
        ctx, "data: answer to %llu\n\ndata: more\n\ndata: [DONE]\n\n",
        (unsigned long long)id);
  return talloc_asprintf (ctx, "answer to %llu", (unsigned long long)id);
}

/** Schedule a response to request ID as the response to CALL: PART (0 to 1) of
 * its body, then an event of kind END.  Returns the delay after the last
 * event. */
static clk_ms_t
upstream_respond (onn_t *n, clk_ms_t delay, int vm, uint64_t call, uint64_t id,
                  const char *request_id, double part, ev_kind_t end)
{
  char *body = onn_expected_body (n, n, id);
  size_t size = strlen (body);
  size_t sent = (size_t)(part * (double)size);
  event_t *head = upstream_event (n, delay, vm, call, EV_UPSTREAM_HEAD);
  bool stream = n->request[id].spec.stream;
  head->headers[0]
      = (http_header_t){ "Content-Type",
                         stream ? "text/event-stream" : "text/plain" };
  head->headers[1]
      = (http_header_t){ "X-Request-Id", talloc_strdup (head, request_id) };
  head->headers[2] = (http_header_t){ "Content-Length",
                                      talloc_asprintf (head, "%zu", size) };
  head->ev.upstream.status = 200;
  head->ev.upstream.has_length = !stream;
  head->ev.upstream.length = size;
  head->ev.upstream.headers
      = (http_headers_t){ .v = head->headers, .n = stream ? 2 : 3 };
  upstream_data (n, delay + 2, vm, call, (buf_t){ .p = body, .n = sent / 2 });
  upstream_data (n, delay + 4, vm, call,
                 (buf_t){ .p = body + sent / 2, .n = sent - sent / 2 });
  event_t *last = upstream_event (n, delay + 6, vm, call, end);
  last->ev.upstream.fail = EV_FAIL_UNKNOWN;
  last->ev.upstream.text = "cut";
  return delay + 7;
}

/** The same without a length, and with half of the body. */
static void
upstream_respond_by_close (onn_t *n, clk_ms_t delay, int vm, uint64_t call,
                           uint64_t id, const char *request_id)
{
  char *body = onn_expected_body (n, n, id);
  event_t *head = upstream_event (n, delay, vm, call, EV_UPSTREAM_HEAD);
  head->headers[0] = (http_header_t){ "Content-Type", "text/plain" };
  head->headers[1]
      = (http_header_t){ "X-Request-Id", talloc_strdup (head, request_id) };
  head->ev.upstream.status = 200;
  head->ev.upstream.close_delimited = true;
  head->ev.upstream.headers = (http_headers_t){ .v = head->headers, .n = 2 };
  upstream_data (n, delay + 2, vm, call,
                 (buf_t){ .p = body, .n = strlen (body) / 2 });
  (void)upstream_event (n, delay + 4, vm, call, EV_UPSTREAM_END);
}

/** Schedule the head of a stream as the response to CALL. */
static void
upstream_stream_begin (onn_t *n, clk_ms_t delay, int vm, uint64_t call,
                       const char *request_id)
{
  event_t *head = upstream_event (n, delay, vm, call, EV_UPSTREAM_HEAD);
  head->headers[0] = (http_header_t){ "Content-Type", "text/event-stream" };
  head->headers[1]
      = (http_header_t){ "X-Request-Id", talloc_strdup (head, request_id) };
  head->ev.upstream.status = 200;
  head->ev.upstream.headers = (http_headers_t){ .v = head->headers, .n = 2 };
}

/* Parts of a stream that drips. */
#define DRIPS 60

/** Schedule a stream whose first event never ends. */
static void
upstream_drip (onn_t *n, clk_ms_t delay, int vm, uint64_t call,
               const char *request_id)
{
  upstream_stream_begin (n, delay, vm, call, request_id);
  upstream_data (n, delay, vm, call, buf_str ("data: "));
  for (int i = 1; i <= DRIPS; i++)
    upstream_data (n, delay + i * ONN_DRIP_MS, vm, call, buf_str ("."));
}

/** Schedule a whole stream whose events are far apart. */
static void
upstream_respond_slowly (onn_t *n, clk_ms_t delay, int vm, uint64_t call,
                         const char *request_id)
{
  upstream_stream_begin (n, delay, vm, call, request_id);
  for (int i = 0; i < ONN_SLOW_EVENTS; i++)
    upstream_data (n, delay + i * ONN_DRIP_MS, vm, call,
                   buf_str ("data: more\n\n"));
  upstream_data (n, delay + ONN_SLOW_EVENTS * ONN_DRIP_MS, vm, call,
                 buf_str ("data: [DONE]\n\n"));
  (void)upstream_event (n, delay + ONN_SLOW_EVENTS * ONN_DRIP_MS + 1, vm, call,
                        EV_UPSTREAM_END);
}

/** Receive the request of CALL and respond to it, with injected faults. */
static void
upstream_run (onn_t *n, int vm, const fx_upstream_t *call, int upstream)
{
  const onn_faults_t *f
      = n->has_faults[upstream] ? &n->faults[upstream] : &n->desc.faults;
  uint64_t id = (uint64_t)header_number (call->headers, "X-Attempt");
  const char *request_id = http_header_find (call->headers, "X-Request-Id");
  request_t *r = &n->request[id];
  for (size_t i = 0; i < call->headers.n; i++)
    CU_ASSERT_PTR_NULL (strstr (call->headers.v[i].value, ONN_KEY));
  n->received[upstream]++;
  r->response.received++;
  if (strcmp (call->path, "/orders") == 0)
    n->order_runs[r->spec.order]++;
  clk_ms_t work = 5
                  + (clk_ms_t)(-log (1 - g_rand_double (n->rand))
                               * (double)n->desc.work_ms);
  uint64_t other = 1 + g_rand_int (n->rand) % n->requests;
  if (onn_chance (n, f->silent) || work > call->first_byte_ms)
    upstream_event (n, call->first_byte_ms, vm, call->call, EV_UPSTREAM_FAIL)
        ->ev.upstream.fail
        = EV_FAIL_TIMEOUT;
  else if (onn_chance (n, f->disconnect))
    (void)upstream_respond (n, work, vm, call->call, id, request_id, 0.5,
                            EV_UPSTREAM_FAIL);
  else if (onn_chance (n, f->truncate))
    (void)upstream_respond (n, work, vm, call->call, id, request_id, 0.5,
                            EV_UPSTREAM_END);
  else if (onn_chance (n, f->drip))
    upstream_drip (n, work, vm, call->call, request_id);
  else if (onn_chance (n, f->slow))
    upstream_respond_slowly (n, work, vm, call->call, request_id);
  else if (onn_chance (n, f->cut_close))
    upstream_respond_by_close (n, work, vm, call->call, id, request_id);
  else if (onn_chance (n, f->swap) && other != id)
    (void)upstream_respond (n, work, vm, call->call, other, "another-1", 1,
                            EV_UPSTREAM_END);
  else if (onn_chance (n, f->busy))
    {
      upstream_event (n, work, vm, call->call, EV_UPSTREAM_HEAD)
          ->ev.upstream.status
          = 503;
      (void)upstream_event (n, work, vm, call->call, EV_UPSTREAM_END);
    }
  else
    {
      work = upstream_respond (n, work, vm, call->call, id, request_id, 1,
                               EV_UPSTREAM_END);
      if (onn_chance (n, f->duplicate))
        (void)upstream_respond (n, work, vm, call->call, id, request_id, 1,
                                EV_UPSTREAM_END);
    }
}

void
onn_upstream_call (onn_t *n, int vm, const fx_upstream_t *call)
{
  int upstream = atoi (call->address + strlen ("10.0.0."));
  const onn_faults_t *f
      = n->has_faults[upstream] ? &n->faults[upstream] : &n->desc.faults;
  if (strcmp (call->method, "GET") == 0)
    {
      upstream_event (n, 2, vm, call->call, EV_UPSTREAM_HEAD)
          ->ev.upstream.status
          = 404;
      return;
    }
  if (onn_chance (n, f->refuse))
    upstream_event (n, 1, vm, call->call, EV_UPSTREAM_FAIL)->ev.upstream.fail
        = EV_FAIL_NOT_SENT;
  else
    upstream_run (n, vm, call, upstream);
}
