/** @file
 * Passes an upstream's response on to the caller: checks that it is complete
 * and belongs to the request, buffers or streams it, and marks it when it is
 * broken.
 */
#include "core/onl_int.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/** End of a complete stream, from engines that mark it (CFG_STREAM_MARKED). */
#define ONL_STREAM_END "data: [DONE]"

static void
_onl_reply (const onl_request_t *r, env_t *env, fx_kind_t kind, buf_t data)
{
  if (r->caller != 0)
    fx_push (env->fx,
             &(fx_t){ .kind = kind,
                      .reply = { .caller = r->caller, .data = data } });
}

static void
_onl_buffered_free (onl_request_t *r)
{
  if (r->response.buffered != NULL)
    g_byte_array_free (r->response.buffered, TRUE);
  r->response.buffered = NULL;
}

/** The buffered body; empty if there is none. */
static buf_t
_onl_buffered (const onl_request_t *r)
{
  const GByteArray *buffered = r->response.buffered;
  if (buffered == NULL)
    return (buf_t){ 0 };
  return (buf_t){ .p = (const char *)buffered->data, .n = buffered->len };
}

/** How the upstream marks the end of RESPONSE's body, for logs. */
static const char *
_onl_framing_name (const onl_response_t *response)
{
  if (response->close_delimited)
    return "close";
  return response->length >= 0 ? "length" : "chunks";
}

/** Begin to deliver the response.  From here on only a resumable stream can be
 * sent to another upstream. */
static void
_onl_deliver_head (env_t *env, onl_request_t *r)
{
  r->delivered = true;
  r->delivered_status = r->response.status;
  r->delivered_framed = !r->response.close_delimited;
  tln_record (env->tln, env->now, MOD_ONLINE, "answering",
              "request=%s upstream=%s queued_ms=%lld first_ms=%lld tries=%zu "
              "framing=%s version=%s after=%s resumes=%s",
              r->request_id, r->pick.upstream,
              (long long)(r->sent - r->arrived),
              (long long)(env->now - r->sent), r->attempts,
              _onl_framing_name (&r->response),
              r->pick.version == NULL ? "" : r->pick.version,
              r->resume_after == NULL ? "" : r->resume_after,
              r->resumes == NULL ? "" : r->resumes);
  cnt_observe (env->cnt, "rts_online_first_byte_ms", "",
               (double)(env->now - r->arrived));
  if (r->caller != 0)
    fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_HEAD,
                               .reply = { .caller = r->caller,
                                          .status = r->response.status,
                                          .headers = r->response.headers,
                                          .close_delimited
                                          = r->response.close_delimited } });
}

/** End the current attempt and drop its response. */
static void
_onl_attempt_end (onl_t *o, env_t *env, onl_request_t *r, rte_fail_t fail)
{
  rte_failed (o->desc.routes, env, r->pick.handle, fail);
  upc_cancel (env, r->call);
  r->call = 0;
  _onl_buffered_free (r);
}

/** Send the caller of a stream an error event. */
static void
_onl_stream_error (const onl_request_t *r, env_t *env, const char *why)
{
  char *text = talloc_asprintf (
      NULL,
      "event: error\ndata: {\"error\":{\"code\":\"broken-stream\","
      "\"message\":\"%s\",\"run\":\"unknown\"}}\n\n",
      why);
  _onl_reply (r, env, FX_REPLY_DATA, buf_str (text));
  talloc_free (text);
}

void
onl_abort (onl_t *o, env_t *env, onl_request_t *r, const char *why)
{
  cnt_add (env->cnt, "rts_online_broken_total", "", 1);
  tln_record (env->tln, env->now, MOD_ONLINE, "broken", "request=%s: %s",
              r->request_id, why);
  if (r->response.stream && r->has_end_marker)
    _onl_stream_error (r, env, why);
  _onl_reply (r, env, FX_REPLY_ABORT, (buf_t){ 0 });
  onl_record_close (o, env, r);
  onl_fire (o, env, r, ONL_EV_END);
}

static void _onl_response_failed (onl_t *o, env_t *env, onl_request_t *r,
                                  rte_fail_t fail, const char *why);

/** Handle a response that cannot become complete: retry the request, or end it
 * with an error that has WHY as its message. */
static void
_onl_response_broken (onl_t *o, env_t *env, onl_request_t *r, const char *why)
{
  _onl_response_failed (o, env, r, RTE_FAIL_TRUNCATED, why);
}

/** The same, with FAIL for the router. */
static void
_onl_response_failed (onl_t *o, env_t *env, onl_request_t *r, rte_fail_t fail,
                      const char *why)
{
  r->may_have_run = true;
  _onl_attempt_end (o, env, r, fail);
  if (onl_retry (o, env, r, true))
    return;
  onl_refuse (o, env, r,
              &(rpl_error_t){ .status = 502,
                              .code = "upstream-broken",
                              .message = why,
                              .run = RPL_UNKNOWN,
                              .retry_after_ms = CLK_SECOND });
}

/* -- events of the upstream call ------------------------------------------ */

/** Whether STATUS says that an upstream, or a proxy in front of it, could not
 * serve the request now. */
static bool
_onl_status_is_refusal (int status)
{
  return status == 502 || status == 503 || status == 504;
}

/** Note how the body behind the head UP of R's response ends. */
static void
_onl_framing_set (onl_request_t *r, const ev_upstream_t *up)
{
  r->response.length = up->has_length ? (int64_t)up->length : -1;
  r->response.close_delimited = up->close_delimited;
}

/** Handle a refusal with STATUS, with which the upstream promises that it did
 * not run the request. */
static void
_onl_not_run (onl_t *o, env_t *env, onl_request_t *r, int status)
{
  cnt_add (env->cnt, "rts_online_not_run_total", "", 1);
  tln_record (env->tln, env->now, MOD_ONLINE, "not-run",
              "request=%s upstream=%s status=%d", r->request_id,
              r->pick.upstream, status);
  _onl_attempt_end (o, env, r, rte_not_run_fail (status));
  r->runs--;
  if (onl_retry (o, env, r, false))
    return;
  onl_refuse (o, env, r,
              &(rpl_error_t){ .status = 503,
                              .code = "overloaded",
                              .message = "the upstreams are full",
                              .retry_after_ms = CLK_SECOND / 4 });
}

/** Handle the head of a resumed stream, which is not delivered because the
 * caller has the head of the first attempt. */
static void
_onl_head_resumed (onl_t *o, env_t *env, onl_request_t *r,
                   const ev_upstream_t *up)
{
  if (up->status != r->delivered_status
      || !onl_header_is (up->headers, "Content-Type", "text/event-stream"))
    {
      _onl_response_broken (o, env, r, "the stream was not resumed");
      return;
    }
  r->response.status = up->status;
  r->response.stream = true;
  _onl_framing_set (r, up);
  tln_record (env->tln, env->now, MOD_ONLINE, "resumed",
              "request=%s upstream=%s version=%s after=%s", r->request_id,
              r->pick.upstream, r->pick.version == NULL ? "" : r->pick.version,
              r->resume_after == NULL ? "" : r->resume_after);
  onl_fire (o, env, r, ONL_EV_HEAD);
}

static void
_onl_head (onl_t *o, env_t *env, onl_request_t *r, const ev_upstream_t *up)
{
  if (r->state != ONL_SENT)
    {
      _onl_response_broken (o, env, r, "a second answer began");
      return;
    }
  if (up->not_run)
    {
      _onl_not_run (o, env, r, up->status);
      return;
    }
  if (up->status >= 500)
    rte_answer_status (o->desc.routes, env, r->pick.handle, up->status,
                       r->customer);
  rte_first_byte (o->desc.routes, env, r->pick.handle);
  if (r->delivered)
    {
      _onl_head_resumed (o, env, r, up);
      return;
    }
  if (_onl_status_is_refusal (up->status) && r->idempotent)
    {
      /* Only if a retry is allowed is the call cancelled; otherwise this
       * response is passed on.  The retry may free R, so the call's ids are
       * saved first. */
      uint64_t handle = r->pick.handle;
      uint64_t call = r->call;
      r->may_have_run = true;
      r->call = 0;
      if (onl_retry (o, env, r, true))
        {
          rte_failed (o->desc.routes, env, handle, RTE_FAIL_REFUSED);
          upc_cancel (env, call);
          return;
        }
      r->call = call;
    }
  r->response.status = up->status;
  r->response.headers
      = onl_response_headers (r->pool, up->headers, r->request_id);
  r->response.stream
      = onl_header_is (up->headers, "Content-Type", "text/event-stream");
  _onl_framing_set (r, up);
  r->response.buffered = r->response.stream ? NULL : g_byte_array_new ();
  onl_fire (o, env, r, ONL_EV_HEAD);
  if (r->response.stream)
    _onl_deliver_head (env, r);
}

/** Keep the last ONL_TAIL_SIZE bytes of a stream. */
static void
_onl_tail_append (onl_response_t *response, buf_t data)
{
  char all[2 * ONL_TAIL_SIZE];
  size_t n = data.n < ONL_TAIL_SIZE ? data.n : ONL_TAIL_SIZE;
  size_t kept = response->tail_size + n <= ONL_TAIL_SIZE ? response->tail_size
                                                         : ONL_TAIL_SIZE - n;
  if (n == 0)
    return;
  memcpy (all, response->tail + response->tail_size - kept, kept);
  memcpy (all + kept, data.p + data.n - n, n);
  response->tail_size = kept + n;
  memcpy (response->tail, all, response->tail_size);
}

/** Whether the stream ends with the end marker and line ends. */
static bool
_onl_stream_is_complete (const onl_response_t *response)
{
  size_t n = response->tail_size;
  while (n > 0
         && (response->tail[n - 1] == '\n' || response->tail[n - 1] == '\r'))
    n--;
  size_t marker_size = strlen (ONL_STREAM_END);
  return n >= marker_size
         && memcmp (response->tail + n - marker_size, ONL_STREAM_END,
                    marker_size)
                == 0;
}

/** Remember the id of the last event delivered. */
static void
_onl_resume_after_set (onl_request_t *r, buf_t id)
{
  talloc_free ((void *)(uintptr_t)r->resume_after);
  r->resume_after = buf_to_str (r->pool, id);
}

/** Pass on complete events only.  A resumed stream repeats an event that was
 * cut off, so the caller would get its first part twice.  Returns false when
 * the incomplete event is too large. */
static bool
_onl_events_forward (onl_request_t *r, env_t *env, buf_t data)
{
  sse_event_t event;
  sse_push (&r->events, data);
  while (sse_pop (&r->events, &event))
    {
      _onl_reply (r, env, FX_REPLY_DATA, event.raw);
      if (event.id.n > 0)
        _onl_resume_after_set (r, event.id);
    }
  return !sse_is_too_large (&r->events);
}

/** Moves the place of R's stream behind DATA; returns false when the stream
 * has stalled past the deadline: bytes come, but no whole event. */
static bool
_onl_stream_advance (onl_t *o, env_t *env, onl_request_t *r, buf_t data)
{
  onl_response_t *response = &r->response;
  uint64_t before = response->place.events;
  sse_place_advance (&response->place, data);
  if (response->place.events > before)
    {
      response->event_at = env->now;
      rte_progress (o->desc.routes, env, r->pick.handle);
    }
  return env->now < r->deadline
         || env->now - clk_max (response->event_at, r->sent) <= ONL_STALL_MS;
}

static void
_onl_data (onl_t *o, env_t *env, onl_request_t *r, buf_t data)
{
  onl_response_t *response = &r->response;
  if (r->state != ONL_ANSWERING)
    {
      _onl_response_broken (o, env, r, "data came before the head");
      return;
    }
  response->received += data.n;
  if (response->length >= 0 && response->received > (uint64_t)response->length)
    {
      _onl_response_broken (o, env, r, "more came than was announced");
      return;
    }
  if (response->stream && !_onl_stream_advance (o, env, r, data))
    {
      _onl_response_broken (o, env, r, "no whole event has come for long");
      return;
    }
  if (response->place.events > 0 && !r->bound)
    onl_stream_began (o, env, r);
  if (response->buffered != NULL
      && response->buffered->len + data.n <= ONL_BUFFERED_MAX)
    {
      g_byte_array_append (response->buffered, (const guint8 *)data.p,
                           (guint)data.n);
      return;
    }
  if (response->buffered != NULL)
    {
      _onl_deliver_head (env, r);
      _onl_reply (r, env, FX_REPLY_DATA, _onl_buffered (r));
      _onl_buffered_free (r);
    }
  if (response->stream && r->resumable)
    {
      if (!_onl_events_forward (r, env, data))
        _onl_response_broken (o, env, r, "an event is too large");
      return;
    }
  _onl_tail_append (response, data);
  _onl_reply (r, env, FX_REPLY_DATA, data);
}

static void
_onl_response_complete (onl_t *o, env_t *env, onl_request_t *r)
{
  if (r->response.status >= 200 && r->response.status < 300)
    {
      rte_answer_status (o->desc.routes, env, r->pick.handle,
                         r->response.status, r->customer);
      rte_answered (o->desc.routes, env, r->pick.handle,
                    !r->response.close_delimited || r->has_end_marker);
    }
  rte_finished (o->desc.routes, env, r->pick.handle);
  r->call = 0;
  buf_t body = _onl_buffered (r);
  bool complete = r->response.buffered != NULL;
  if (!r->delivered)
    {
      _onl_deliver_head (env, r);
      if (body.n > 0)
        _onl_reply (r, env, FX_REPLY_DATA, body);
    }
  if (r->record != 0)
    {
      /* A response that is not buffered was a stream or too large; one that is
       * not proved to be complete must not be repeated as such.  A size over
       * the maximum has it recorded without its body. */
      bool proved = complete && !r->response.close_delimited;
      buf_t recorded
          = proved ? body : (buf_t){ .p = "", .n = IDM_BODY_MAX + 1 };
      idm_done (o->desc.records, env, r->record, r->response.status,
                http_header_find (r->response.headers, "Content-Type"),
                recorded);
      r->record = 0;
    }
  _onl_reply (r, env, FX_REPLY_END, (buf_t){ 0 });
  cnt_add (env->cnt, "rts_online_answered_total", "", 1);
  onl_fire (o, env, r, ONL_EV_END);
}

/** Log the end of a response that only the end of its connection marks. */
static void
_onl_close_log (env_t *env, const onl_request_t *r)
{
  const onl_response_t *response = &r->response;
  cnt_add (env->cnt, "rts_online_ended_by_close_total", "", 1);
  tln_record (env->tln, env->now, MOD_ONLINE, "ended-by-close",
              "request=%s upstream=%s age_ms=%lld bytes=%llu stream=%d "
              "within_event=%d",
              r->request_id, r->pick.upstream,
              (long long)(env->now - r->arrived),
              (unsigned long long)response->received, response->stream,
              sse_place_is_inside (&response->place));
}

/** Whether the stream of R ended within an event, or ended by a close before
 * any.  An end marker says more than this (_onl_stream_is_complete). */
static bool
_onl_stream_is_cut (const onl_request_t *r)
{
  const onl_response_t *response = &r->response;
  if (!response->stream || r->has_end_marker)
    return false;
  return sse_place_is_inside (&response->place)
         || (response->close_delimited && response->place.events == 0);
}

/** Whether the end of R's response would claim more than its upstream has: the
 * caller's response has framing, and only a close ended the upstream's. */
static bool
_onl_end_is_unproved (const onl_request_t *r)
{
  return r->delivered && r->delivered_framed && r->response.close_delimited
         && !r->has_end_marker;
}

static void
_onl_end (onl_t *o, env_t *env, onl_request_t *r)
{
  const onl_response_t *response = &r->response;
  if (response->close_delimited)
    _onl_close_log (env, r);
  if (r->state != ONL_ANSWERING)
    _onl_response_broken (o, env, r, "it ended before the head");
  else if (response->length >= 0
           && response->received != (uint64_t)response->length)
    _onl_response_broken (o, env, r, "less came than was announced");
  else if (response->stream && r->has_end_marker
           && !_onl_stream_is_complete (response))
    _onl_response_broken (o, env, r, "the stream ended before its last event");
  else if (_onl_stream_is_cut (r))
    _onl_response_failed (o, env, r,
                          onl_crash_fail (r, response->close_delimited),
                          "the stream ended within an event");
  else if (_onl_end_is_unproved (r))
    _onl_response_failed (o, env, r, onl_crash_fail (r, true),
                          "nothing says that the answer is whole");
  else
    _onl_response_complete (o, env, r);
}

/** What the failure UP of R's call, before any response, is for the router. */
static rte_fail_t
_onl_fail_kind (onl_request_t *r, const ev_upstream_t *up)
{
  if (up->path_failed)
    return RTE_FAIL_CANCELLED;
  switch (up->fail)
    {
    case EV_FAIL_UNSENDABLE:
      return RTE_FAIL_CANCELLED;
    case EV_FAIL_TIMEOUT:
      return RTE_FAIL_TIMEOUT;
    case EV_FAIL_NOT_SENT:
      return RTE_FAIL_UNSENT;
    default:
      return up->closed ? onl_crash_fail (r, true) : RTE_FAIL_REFUSED;
    }
}

/** The last attempt of R has failed as UP says, by this VM's path alone: its
 * upstream may be tried again, unless another VM says that it gets nothing. */
static void
_onl_path_failed (onl_request_t *r, const ev_upstream_t *up)
{
  if (!up->path_failed || up->tunnel == EV_TUNNEL_UNKNOWN
      || r->path_failures == ONL_PATH_FAILURES_MAX)
    return;
  r->path_failures++;
  r->attempts--;
}

static void
_onl_fail (onl_t *o, env_t *env, onl_request_t *r, const ev_upstream_t *up)
{
  bool may_have_run = !ev_fail_is_unsent (up->fail) || r->state != ONL_SENT;
  if (r->state == ONL_ANSWERING)
    {
      _onl_response_failed (o, env, r, onl_crash_fail (r, up->closed),
                            "the upstream's answer broke off");
      return;
    }
  r->may_have_run = r->may_have_run || may_have_run;
  _onl_attempt_end (o, env, r, _onl_fail_kind (r, up));
  if (!may_have_run)
    r->runs--;
  if (!may_have_run && r->record != 0)
    idm_unsent (o->desc.records, r->record);
  _onl_path_failed (r, up);
  if (onl_retry (o, env, r, may_have_run))
    return;
  bool timeout = up->fail == EV_FAIL_TIMEOUT;
  onl_refuse (
      o, env, r,
      &(rpl_error_t){ .status = timeout ? 504 : 502,
                      .code = timeout ? "upstream-silent" : "upstream-failed",
                      .message = "the upstream did not answer",
                      .retry_after_ms = CLK_SECOND });
}

void
onl_upstream_event (onl_t *o, env_t *env, uint64_t tag, const ev_t *ev)
{
  onl_request_t *r = onl_request_get (o, tag);
  /* A request has one call at a time; events of earlier calls are ignored. */
  if (r == NULL || r->call != ev->upstream.call)
    return;
  switch (ev->kind)
    {
    case EV_UPSTREAM_HEAD:
      if (ev->upstream.leaving)
        rte_said_leaving (o->desc.routes, env, r->pick.handle);
      rte_said_limit (o->desc.routes, env, r->pick.handle,
                      &ev->upstream.limit);
      rte_said_cold (o->desc.routes, env, r->pick.handle, &ev->upstream.cold);
      rte_said_load (o->desc.routes, env, r->pick.handle, &ev->upstream.load);
      _onl_head (o, env, r, &ev->upstream);
      break;
    case EV_UPSTREAM_DATA:
      _onl_data (o, env, r, ev->upstream.data);
      break;
    case EV_UPSTREAM_END:
      _onl_end (o, env, r);
      break;
    case EV_UPSTREAM_FAIL:
      _onl_fail (o, env, r, &ev->upstream);
      break;
    default:
      break;
    }
  onl_pump (o, env);
}
