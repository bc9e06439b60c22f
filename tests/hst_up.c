/** @file
 * The fake upstreams of a hosted fleet: streams of events, load reports and
 * faults.
 */
#include "hst_int.h"

#include <CUnit/CUnit.h>

#include <string.h>
#include <talloc.h>

/** Time until an upstream sends the head of its response. */
#define HST_HEAD_MS 10
/** Time until an upstream's load report arrives. */
#define HST_REPORT_MS 5
/** Slots of an upstream. */
#define HST_SLOTS 8

/* Time between two events of UPSTREAM. */
static clk_ms_t
_hst_gap_ms (const hst_t *h, size_t upstream)
{
  return h->desc.gap_ms + (clk_ms_t)upstream * h->desc.gap_step_ms;
}

/* Notes that the number of requests that run at UPSTREAM changes. */
static void
_hst_running_changes (hst_t *h, size_t upstream)
{
  unsigned running = h->running[upstream];
  if (running > HST_SLOTS)
    h->waited_ms += (clk_ms_t)(running - HST_SLOTS)
                    * (h->now - h->changed_at[upstream]);
  h->changed_at[upstream] = h->now;
}

clk_ms_t
hst_waited_ms (const hst_t *h)
{
  return h->waited_ms;
}

void
hst_inflight_end (hst_t *h, hst_inflight_t *f)
{
  if (!f->cancelled)
    {
      _hst_running_changes (h, f->upstream);
      h->running[f->upstream]--;
    }
  f->cancelled = true;
}

/* What a load report without the limit of UPSTREAM says about it. */
static ev_limit_t
_hst_limit_unsaid (const hst_t *h, size_t upstream)
{
  return (ev_limit_t){ .kind = h->limit[upstream].kind == EV_LIMIT_UNKNOWN
                                   ? EV_LIMIT_UNKNOWN
                                   : EV_LIMIT_ABSENT };
}

/* What a response of UPSTREAM says about its cold time. */
static ev_cold_t
_hst_cold_said (const hst_t *h, size_t upstream)
{
  const hst_cold_t *c = &h->cold[upstream];
  if (!c->said)
    return (ev_cold_t){ .kind = EV_COLD_UNKNOWN };
  if (c->malformed)
    return (ev_cold_t){ .kind = EV_COLD_MALFORMED, .text = "-1e999" };
  return (ev_cold_t){ .kind = EV_COLD_STATED,
                      .ms = clk_max (c->until - h->now, 0) };
}

void
hst_cold_set (hst_t *h, size_t upstream, hst_cold_t cold)
{
  h->cold[upstream] = cold;
  h->born_revision = ++h->revision;
  h->beat_at = h->now + HST_BEAT_MS;
}

/* Send a load report of UPSTREAM, unless no report is set up or the upstream
 * is cut off. */
static void
_hst_load_report_send (hst_t *h, size_t vm, size_t upstream, uint64_t call)
{
  if (!h->desc.load_reports || h->faults[upstream].cut_off)
    return;
  hst_event_t *e = hst_event_push (
      h, vm, HST_REPORT_MS,
      &(ev_t){ .kind = EV_UPSTREAM_HEAD,
               .upstream
               = { .call = call,
                   .status = 200,
                   .leaving = h->faults[upstream].reports_leaving,
                   .cold = _hst_cold_said (h, upstream),
                   .limit = h->limit_reported[upstream]
                                ? h->limit[upstream]
                                : _hst_limit_unsaid (h, upstream) } });
  e->is_report = true;
  e->upstream = upstream;
}

/* Headers of the response with STATUS to the request ID, owned by CTX. */
static http_headers_t
_hst_response_headers (void *ctx, const hst_fault_t *fault, int status,
                       const char *id)
{
  http_header_t *v = talloc_zero_array (ctx, http_header_t, 2);
  size_t n = 0;
  if (status == 200)
    v[n++] = (http_header_t){ "Content-Type", "text/event-stream" };
  if (!fault->no_id)
    v[n++] = (http_header_t){ "X-Request-Id", talloc_strdup (v, id) };
  return (http_headers_t){ .v = v, .n = n };
}

/* Time limit of a new connection that a call does not limit. */
#define HST_CONNECT_MS CLK_SECOND

/* Have UPSTREAM end when it begins to answer a request that it gets now. */
static void
_hst_end_schedule (hst_t *h, size_t vm, size_t upstream, const char *id)
{
  clk_ms_t after = (clk_ms_t)h->crash.after_events * _hst_gap_ms (h, upstream);
  hst_event_t *e = hst_event_push (h, vm, HST_HEAD_MS + after, &(ev_t){ 0 });
  e->is_end = true;
  e->upstream = upstream;
  e->born = h->born[upstream];
  g_strlcpy (e->id, id, sizeof e->id);
}

/* End the call U, to an upstream that has ended. */
static void
_hst_unconnected (hst_t *h, size_t vm, const fx_upstream_t *u)
{
  clk_ms_t limit = u->connect_ms > 0 ? u->connect_ms : HST_CONNECT_MS;
  bool unsent = u->first_byte_ms == 0 || limit <= u->first_byte_ms;
  clk_ms_t wait = h->crash.refuses ? 1 : (unsent ? limit : u->first_byte_ms);
  hst_event_push (h, vm, wait,
                  &(ev_t){ .kind = EV_UPSTREAM_FAIL,
                           .upstream = { .call = u->call,
                                         .refused = h->crash.refuses,
                                         .fail = h->crash.refuses || unsent
                                                     ? EV_FAIL_NOT_SENT
                                                     : EV_FAIL_TIMEOUT } });
}

/* Index of the VM at the tunnel of U; HST_MAX: U goes directly. */
static size_t
_hst_via (const fx_upstream_t *u)
{
  /* That of VM N is at 10.1.0.N:71. */
  return u->tunnel == NULL ? HST_MAX
                           : (size_t)g_ascii_strtoull (
                               u->tunnel + strlen ("10.1.0."), NULL, 10);
}

/* Note that upstream AT has got the request ID of the call U of VM. */
static void
_hst_arrival_note (hst_t *h, size_t vm, size_t at, const fx_upstream_t *u,
                   const char *id)
{
  h->received[at]++;
  hst_arrival_t arrival = { .at = h->now,
                            .vm = vm,
                            .via = _hst_via (u),
                            .upstream = at,
                            .item = u->caller == 0 };
  g_strlcpy (arrival.id, id, sizeof arrival.id);
  g_array_append_val (h->arrivals, arrival);
}

/* Keep U for hst_last_call. */
static void
_hst_last_call_keep (hst_t *h, const fx_upstream_t *u)
{
  talloc_free (h->last_call_ctx);
  h->last_call_ctx = talloc_new (h);
  h->last_call = *u;
  h->last_call.customer = u->customer == NULL
                              ? NULL
                              : talloc_strdup (h->last_call_ctx, u->customer);
  h->last_call.upstream = u->upstream == NULL
                              ? NULL
                              : talloc_strdup (h->last_call_ctx, u->upstream);
  h->last_call.resume_after
      = u->resume_after == NULL
            ? NULL
            : talloc_strdup (h->last_call_ctx, u->resume_after);
  h->last_call.headers = (http_headers_t){ 0 };
}

/* Status of the response to the request that UPSTREAM has just received. */
static int
_hst_status (const hst_t *h, size_t upstream)
{
  const hst_fault_t *fault = &h->faults[upstream];
  /* Multiples of 3 visit all ten remainders, so that the responses with the
   * fault's status are spread over the ten. */
  bool fails = fault->status_tenths == 0
               || 3 * h->received[upstream] % 10 < fault->status_tenths;
  return fails && fault->status != 0 ? fault->status : 200;
}

/* What a response of UPSTREAM states of its load. */
static ev_load_t
_hst_load_stated (const hst_t *h, size_t upstream)
{
  if (!h->desc.states_load)
    return (ev_load_t){ .kind = EV_LOAD_UNKNOWN };
  return (ev_load_t){ .kind = EV_LOAD_STATED,
                      .running = h->running[upstream],
                      .slots = HST_SLOTS };
}

void
hst_strand (hst_t *h, size_t vm, hst_stranding_t how, size_t count)
{
  h->vm[vm].stranding = how;
  h->vm[vm].stranded_from = count;
}

static bool
_hst_is_stranded (const hst_t *h, size_t vm, size_t upstream)
{
  return h->vm[vm].stranding != HST_REACHES
         && upstream < h->vm[vm].stranded_from;
}

/* End the call U of VM, which did not leave, after MS for the reason TUNNEL.
 */
static void
_hst_unsent (hst_t *h, size_t vm, const fx_upstream_t *u, clk_ms_t ms,
             ev_tunnel_t tunnel)
{
  hst_event_push (h, vm, ms,
                  &(ev_t){ .kind = EV_UPSTREAM_FAIL,
                           .upstream = { .call = u->call,
                                         .tunnel = tunnel,
                                         .fail = EV_FAIL_NOT_SENT } });
}

static clk_ms_t
_hst_connect_ms (const fx_upstream_t *u)
{
  return u->connect_ms > 0 ? u->connect_ms : HST_CONNECT_MS;
}

static size_t
_hst_tunnels_open (const hst_t *h, size_t via)
{
  size_t n = 0;
  for (guint i = 0; i < h->in_flight->len; i++)
    {
      const hst_inflight_t *f = g_ptr_array_index (h->in_flight, i);
      n += f->via == via && !f->cancelled;
    }
  return n;
}

/* Whether the call U of VM goes through VIA; if not, it is ended. */
static bool
_hst_tunnel_opens (hst_t *h, size_t vm, size_t via, size_t at,
                   const fx_upstream_t *u)
{
  CU_ASSERT (via != vm);
  if (!hst_runs (h, via) || _hst_is_stranded (h, via, at))
    {
      _hst_unsent (h, vm, u, _hst_connect_ms (u), EV_TUNNEL_UNREACHED);
      return false;
    }
  switch (node_tunnel_admit (h->vm[via].node, h->now, u->address,
                             _hst_tunnels_open (h, via)))
    {
    case NODE_TUNNEL_OPEN:
      if (h->back_at[at] == 0 && !h->faults[at].cut_off)
        return true;
      _hst_unsent (h, vm, u, 2, EV_TUNNEL_DEAD);
      return false;
    case NODE_TUNNEL_UNKNOWN:
      _hst_unsent (h, vm, u, 2, EV_TUNNEL_UNKNOWN);
      return false;
    case NODE_TUNNEL_REFUSED:
      break;
    }
  _hst_unsent (h, vm, u, 2, EV_TUNNEL_REFUSED);
  return false;
}

/* Whether the call U of VM reaches upstream AT directly; if not, it is ended.
 */
static bool
_hst_direct_reaches (hst_t *h, size_t vm, size_t at, const fx_upstream_t *u)
{
  hst_vm_t *v = &h->vm[vm];
  if (!_hst_is_stranded (h, vm, at))
    return true;
  bool idle = !u->fresh_connection && v->idle[at] > 0;
  v->idle[at] -= idle;
  if (idle && v->stranding == HST_REFUSED)
    return true;
  if (idle)
    hst_event_push (
        h, vm, u->first_byte_ms,
        &(ev_t){ .kind = EV_UPSTREAM_FAIL,
                 .upstream = { .call = u->call, .fail = EV_FAIL_TIMEOUT } });
  else
    _hst_unsent (h, vm, u,
                 v->stranding == HST_REFUSED ? 1 : _hst_connect_ms (u),
                 EV_TUNNEL_NONE);
  return false;
}

/* The head of the response of upstream AT to the call U of VM, without its
 * headers. */
static ev_upstream_t
_hst_head (hst_t *h, size_t vm, size_t at, const fx_upstream_t *u)
{
  const hst_fault_t *fault = &h->faults[at];
  int status = _hst_status (h, at);
  bool connected = u->fresh_connection || h->vm[vm].idle[at] == 0;
  h->vm[vm].idle[at] += u->tunnel == NULL && connected;
  return (ev_upstream_t){ .call = u->call,
                          .connected = connected,
                          .status = status,
                          .load = _hst_load_stated (h, at),
                          .not_run = fault->not_run,
                          .leaving = fault->says_leaving,
                          .close_delimited = fault->unframed,
                          .limit = h->limit[at],
                          .cold = _hst_cold_said (h, at),
                          .is_signed = status == 200 && !fault->no_signature };
}

/* Begins to run the call U of VM, which goes through VIA, at upstream AT. */
static void
_hst_run_begin (hst_t *h, size_t vm, size_t via, size_t at,
                const fx_upstream_t *u)
{
  hst_inflight_t *f = talloc_zero (h, hst_inflight_t);
  *f = (hst_inflight_t){ .vm = vm,
                         .incarnation = h->vm[vm].incarnation,
                         .call = u->call,
                         .upstream = at,
                         .via = via,
                         .endless = h->faults[at].endless,
                         .last = u->caller == 0 || h->desc.online_events == 0
                                     ? h->desc.events
                                     : h->desc.online_events,
                         .next = 1 };
  if (u->resume_after != NULL)
    f->next = (unsigned)g_ascii_strtoull (u->resume_after, NULL, 10) + 1;
  f->first = f->next;
  g_ptr_array_add (h->in_flight, f);
  _hst_running_changes (h, at);
  if (++h->running[at] > h->peak[at])
    h->peak[at] = h->running[at];
}

void
hst_upstream_call (hst_t *h, size_t vm, const fx_upstream_t *u)
{
  /* The address of upstream N is 10.0.0.N:80. */
  size_t at
      = (size_t)g_ascii_strtoull (u->address + strlen ("10.0.0."), NULL, 10);
  size_t via = _hst_via (u);
  if (via != HST_MAX ? !_hst_tunnel_opens (h, vm, via, at, u)
                     : !_hst_direct_reaches (h, vm, at, u))
    return;
  ev_t head = { .kind = EV_UPSTREAM_HEAD, .upstream = { .call = u->call } };
  if (h->back_at[at] != 0)
    {
      _hst_unconnected (h, vm, u);
      return;
    }
  if (u->load_report)
    {
      _hst_load_report_send (h, vm, at, u->call);
      return;
    }
  const char *id = http_header_find (u->headers, "X-Request-Id");
  _hst_arrival_note (h, vm, at, u, id);
  _hst_last_call_keep (h, u);
  const hst_fault_t *fault = &h->faults[at];
  if (fault->cut_off)
    {
      _hst_unsent (h, vm, u, _hst_connect_ms (u), EV_TUNNEL_NONE);
      return;
    }
  head.upstream = _hst_head (h, vm, at, u);
  for (size_t i = 0; i < u->headers.n; i++)
    CU_ASSERT_PTR_NULL (strstr (u->headers.v[i].value, "secret"));
  bool deadly = h->crash.ids != NULL && g_str_has_prefix (id, h->crash.ids);
  if (deadly)
    _hst_end_schedule (h, vm, at, id);
  hst_event_t *sent = hst_event_push (
      h, vm, HST_HEAD_MS + (deadly && h->crash.after_events == 0 ? 1 : 0),
      &head);
  sent->ev.upstream.headers
      = _hst_response_headers (sent, fault, head.upstream.status, id);
  if (!fault->not_run || fault->no_id)
    {
      g_ptr_array_add (h->runs, g_strdup (id));
      g_array_append_val (h->run_upstreams, at);
    }
  if (head.upstream.status != 200 && fault->endless == HST_ENDS)
    {
      hst_event_push (
          h, vm, HST_HEAD_MS,
          &(ev_t){ .kind = EV_UPSTREAM_END, .upstream = { .call = u->call } });
      return;
    }
  _hst_run_begin (h, vm, via, at, u);
  /* hst_stream_event_send fills in the data. */
  ev_t mark = { .kind = EV_UPSTREAM_DATA, .upstream = { .call = u->call } };
  hst_event_push (h, vm, HST_HEAD_MS + _hst_gap_ms (h, at), &mark);
}

hst_inflight_t *
hst_inflight_find (const hst_t *h, size_t vm, uint64_t incarnation,
                   uint64_t call)
{
  /* The newest are at the end. */
  for (guint i = h->in_flight->len; i-- > 0;)
    {
      hst_inflight_t *f = g_ptr_array_index (h->in_flight, i);
      if (f->vm == vm && f->call == call && f->incarnation == incarnation
          && !f->cancelled)
        return f;
    }
  return NULL;
}

/* Data of an event in a body without end, in bytes, and the time until the
 * next part. */
#define HST_ENDLESS_PART 8000
#define HST_ENDLESS_GAP_MS 1
#define HST_ENDLESS_DRIP_MS CLK_SECOND

/* Write the next part of F's body to TEXT. */
static void
_hst_endless_part (hst_inflight_t *f, GString *text)
{
  bool empty = f->endless == HST_ENDLESS_EMPTY;
  if (f->endless == HST_ENDLESS_DRIP)
    {
      g_string_append_c (text, '.');
      return;
    }
  if (!empty)
    g_string_append_printf (text, "id: %u\ndata: %0*d\n%s", f->next++,
                            HST_ENDLESS_PART, 0,
                            f->endless == HST_ENDLESS_EVENTS ? "\n" : "");
  while (empty && text->len < HST_ENDLESS_PART)
    g_string_append_printf (text, "id: %u\ndata:\n\n", f->next++);
}

/* Send the next part of F's body, which has no end. */
static void
_hst_endless_send (hst_t *h, hst_inflight_t *f, const hst_event_t *e)
{
  ev_t ev = e->ev;
  GString *text = g_string_new (NULL);
  _hst_endless_part (f, text);
  ev.upstream.data = (buf_t){ text->str, text->len };
  f->sent += ev.upstream.data.n;
  h->endless_sent[f->upstream] = MAX (h->endless_sent[f->upstream], f->sent);
  if (f->sent < HST_ENDLESS_MAX)
    hst_event_push (h, e->vm,
                    f->endless == HST_ENDLESS_DRIP ? HST_ENDLESS_DRIP_MS
                                                   : HST_ENDLESS_GAP_MS,
                    &e->ev);
  hst_step (h, e->vm, &ev);
  (void)g_string_free (text, TRUE);
}

size_t
hst_endless_sent (const hst_t *h, size_t upstream)
{
  return h->endless_sent[upstream];
}

/* Send the next event of a stream. */
void
hst_stream_event_send (hst_t *h, const hst_event_t *e)
{
  hst_inflight_t *f
      = hst_inflight_find (h, e->vm, e->incarnation, e->ev.upstream.call);
  if (f == NULL || h->faults[f->upstream].cut_off)
    return;
  if (f->via == HST_MAX && h->vm[f->vm].stranding == HST_SILENCED
      && _hst_is_stranded (h, f->vm, f->upstream))
    return;
  if (f->via != HST_MAX && !hst_runs (h, f->via))
    {
      uint64_t broken_call = f->call;
      size_t vm = f->vm;
      hst_inflight_end (h, f);
      hst_event_push (h, vm, 1,
                      &(ev_t){ .kind = EV_UPSTREAM_FAIL,
                               .upstream = { .call = broken_call,
                                             .closed = true,
                                             .fail = EV_FAIL_UNKNOWN } });
      return;
    }
  if (f->endless != HST_ENDS)
    {
      _hst_endless_send (h, f, e);
      return;
    }
  ev_t ev = e->ev;
  hst_fault_t *fault = &h->faults[f->upstream];
  char text[64];
  bool broken = fault->break_after > 0 && f->first == 1
                && f->next > fault->break_after;
  g_snprintf (text, sizeof text, "id: %u\ndata: e%u\n%s", f->next, f->next,
              broken ? "" : "\n");
  ev.upstream.data = buf_str (text);
  f->next++;
  bool last = f->next > f->last;
  uint64_t call = f->call;
  if (broken)
    {
      fault->break_after = 0;
      hst_inflight_end (h, f);
    }
  else if (last)
    hst_inflight_end (h, f);
  else
    hst_event_push (h, e->vm, _hst_gap_ms (h, f->upstream), &e->ev);
  hst_step (h, e->vm, &ev);
  if (broken || last)
    hst_event_push (
        h, e->vm, 0,
        &(ev_t){
            .kind = broken ? EV_UPSTREAM_FAIL : EV_UPSTREAM_END,
            .upstream
            = { .call = call, .fail = EV_FAIL_UNKNOWN, .closed = true } });
}

/* Times of hst_crash_t. */
#define HST_UNLIST_MS (3 * CLK_SECOND)
#define HST_DOWN_MS (3 * CLK_SECOND)

void
hst_crash_set (hst_t *h, hst_crash_t crash)
{
  h->crash = crash;
  if (crash.unlist_ms == 0)
    h->crash.unlist_ms = HST_UNLIST_MS;
  if (crash.down_ms == 0)
    h->crash.down_ms = HST_DOWN_MS;
  for (size_t i = 0; i < h->desc.upstreams; i++)
    if (h->born[i] == 0)
      hst_born_set (h, i, h->now + (clk_ms_t)i);
}

void
hst_crash (hst_t *h, size_t upstream)
{
  hst_upstream_end (h, upstream, "");
}

void
hst_upstream_end (hst_t *h, size_t upstream, const char *id)
{
  hst_end_t end = { .at = h->now, .upstream = upstream };
  g_strlcpy (end.id, id, sizeof end.id);
  if (h->back_at[upstream] != 0)
    return;
  g_array_append_val (h->ends, end);
  h->unlist_at[upstream] = h->now + h->crash.unlist_ms;
  h->back_at[upstream] = h->now + h->crash.down_ms;
  for (guint i = 0; i < h->in_flight->len; i++)
    {
      hst_inflight_t *f = g_ptr_array_index (h->in_flight, i);
      if (f->upstream != upstream || f->cancelled)
        continue;
      hst_inflight_end (h, f);
      hst_event_t *e = hst_event_push (
          h, f->vm, h->crash.break_ms,
          &(ev_t){ .kind = h->crash.clean ? EV_UPSTREAM_END : EV_UPSTREAM_FAIL,
                   .upstream = { .call = f->call,
                                 .fail = EV_FAIL_UNKNOWN,
                                 .closed = true } });
      e->incarnation = f->incarnation;
    }
}

void
hst_upstreams_tick (hst_t *h)
{
  if (h->beat_at != 0 && h->now >= h->beat_at)
    {
      h->beat_at = h->now + HST_BEAT_MS;
      h->born_revision = ++h->revision;
    }
  for (size_t i = 0; i < h->desc.upstreams; i++)
    {
      if (h->unlist_at[i] != 0 && h->now >= h->unlist_at[i])
        {
          h->unlist_at[i] = 0;
          hst_unlisted_set (h, i, true);
        }
      if (h->back_at[i] == 0 || h->now < h->back_at[i])
        continue;
      h->unlist_at[i] = 0;
      h->back_at[i] = 0;
      hst_unlisted_set (h, i, false);
      hst_born_set (h, i, h->now);
    }
}

const GArray *
hst_ends (const hst_t *h)
{
  return h->ends;
}

/* Deliver a load report: head, body and end. */
void
hst_load_report_deliver (hst_t *h, const hst_event_t *e)
{
  char text[128];
  char born[48] = "";
  ev_t ev = e->ev;
  if (h->back_at[e->upstream] != 0)
    {
      ev.kind = EV_UPSTREAM_FAIL;
      ev.upstream = (ev_upstream_t){ .call = e->ev.upstream.call,
                                     .fail = EV_FAIL_UNKNOWN,
                                     .closed = true };
      hst_step (h, e->vm, &ev);
      return;
    }
  if (h->born[e->upstream] != 0)
    g_snprintf (born, sizeof born, ",\"born\":%lld",
                (long long)h->born[e->upstream]);
  g_snprintf (text, sizeof text,
              "{\"running\":%u,\"waiting\":0,\"slots\":8,\"seq\":1%s}",
              h->running[e->upstream], born);
  hst_step (h, e->vm, &ev);
  ev.kind = EV_UPSTREAM_DATA;
  ev.upstream.data = buf_str (text);
  hst_step (h, e->vm, &ev);
  ev.kind = EV_UPSTREAM_END;
  hst_step (h, e->vm, &ev);
}

void
hst_fault_set (hst_t *h, size_t upstream, hst_fault_t fault)
{
  h->faults[upstream] = fault;
}

void
hst_born_set (hst_t *h, size_t upstream, clk_ms_t born)
{
  h->born[upstream] = born;
  h->born_revision = ++h->revision;
}

void
hst_version_set (hst_t *h, size_t upstream, const char *version)
{
  h->version[upstream] = version;
  h->born_revision = ++h->revision;
}

void
hst_limit_set (hst_t *h, size_t upstream, ev_limit_t limit, bool reported)
{
  h->limit[upstream] = limit;
  h->limit_reported[upstream] = reported;
}

const GArray *
hst_arrivals (const hst_t *h)
{
  return h->arrivals;
}

void
hst_unlisted_set (hst_t *h, size_t upstream, bool unlisted)
{
  h->unlisted[upstream] = unlisted;
  h->born_revision = ++h->revision;
}

void
hst_leaving_set (hst_t *h, size_t upstream, bool leaving)
{
  h->leaving[upstream] = leaving;
  h->born_revision = ++h->revision;
}

size_t
hst_run_upstream (const hst_t *h, const char *id, unsigned number)
{
  for (guint i = 0; i < h->runs->len; i++)
    if (strcmp (g_ptr_array_index (h->runs, i), id) == 0 && number-- == 0)
      return g_array_index (h->run_upstreams, size_t, i);
  return HST_MAX;
}

unsigned
hst_received_count (const hst_t *h, size_t upstream)
{
  return h->received[upstream];
}

unsigned
hst_run_count (const hst_t *h, const char *id)
{
  unsigned n = 0;
  for (guint i = 0; i < h->runs->len; i++)
    n += id[0] == '\0' || strcmp (g_ptr_array_index (h->runs, i), id) == 0;
  return n;
}

unsigned
hst_running_max (const hst_t *h, size_t upstream)
{
  return h->peak[upstream];
}

unsigned
hst_running_count (const hst_t *h, size_t upstream)
{
  return h->running[upstream];
}

const fx_upstream_t *
hst_last_call (const hst_t *h)
{
  return &h->last_call;
}
