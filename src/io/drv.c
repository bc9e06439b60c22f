#include "io/drv.h"

#include "core/upc.h"
#include "io/hcl.h"
#include "io/hsv.h"
#include "io/lnk.h"
#include "io/pcl.h"
#include "io/tun.h"
#include "platform/pfm.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

/* An event that waits in the queue for node_step. */
typedef struct _drv_queued
{
  struct _drv_queued *next;
  ev_t ev;
} _drv_queued_t;

/* A platform call in progress. */
typedef struct
{
  uint64_t call;
  fx_platform_op_t op;
  const char *name;
  int status;
  http_headers_t headers;
  GByteArray *body;
} _drv_platform_t;

struct drv
{
  drv_desc_t desc;
  node_t *node;
  hsv_t *hsv;       /**< NULL: the VM takes no requests */
  hsv_t *ready_hsv; /**< for readiness checks; NULL: hsv serves them */
  hcl_t *hcl;
  lnk_t *lnk;
  tun_t *tun; /**< NULL: calls of other VMs are not passed on */
  struct tevent_timer *timer;
  clk_ms_t timer_at;     /**< time of the last FX_TIMER; CLK_NEVER: passed */
  bool behind;           /**< events of the time in which the process stood
                              still are being read; timers wait */
  clk_ms_t behind_until; /**< they wait no longer */
  bool event_seen;       /**< since the last check of BEHIND */
  struct tevent_immediate *step;
  bool step_scheduled;
  _drv_queued_t *first;
  _drv_queued_t **last;
  GHashTable *platform_calls; /**< call -> _drv_platform_t */
  GHashTable *upstream_calls; /**< caller -> upstream call, for flow control */
  clk_ms_t now;
  uint64_t logged; /**< number of time line records logged so far */
  bool exiting;
};

clk_ms_t
drv_now (void)
{
  struct timespec t;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return (clk_ms_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* A timer that is later than this shows that the process stood still. */
#define DRV_LATE_MS ((clk_ms_t)250)
/* Timers wait for what lies in the sockets at most for the first time, and
 * until nothing has come for the second. */
#define DRV_BEHIND_MS ((clk_ms_t)100)
#define DRV_BEHIND_IDLE_MS ((clk_ms_t)10)

/* -- events --------------------------------------------------------------- */

/* Callers of ready_hsv have ids above this value, those of hsv below. */
#define DRV_READY_CALLER_BASE ((uint64_t)1 << 62)

static const char *
_drv_str_copy (void *ctx, const char *s)
{
  return s == NULL ? NULL : talloc_strdup (ctx, s);
}

static http_headers_t
_drv_headers_copy (void *ctx, http_headers_t h)
{
  http_header_t *v = talloc_array (ctx, http_header_t, h.n);
  for (size_t i = 0; i < h.n; i++)
    v[i] = (http_header_t){ .name = talloc_strdup (v, h.v[i].name),
                            .value = talloc_strdup (v, h.v[i].value) };
  return (http_headers_t){ .v = v, .n = h.n };
}

static void
_drv_request_copy (void *ctx, ev_request_t *r)
{
  r->method = talloc_strdup (ctx, r->method);
  r->path = talloc_strdup (ctx, r->path);
  r->query = talloc_strdup (ctx, r->query);
  r->target = _drv_str_copy (ctx, r->target);
  r->headers = _drv_headers_copy (ctx, r->headers);
  r->body = buf_copy (ctx, r->body);
}

static void
_drv_upstream_copy (void *ctx, ev_upstream_t *u)
{
  u->headers = _drv_headers_copy (ctx, u->headers);
  u->data = buf_copy (ctx, u->data);
  u->text = u->text == NULL ? NULL : talloc_strdup (ctx, u->text);
}

/* Replaces the data that EV borrows by copies owned by CTX.  Replies of the
 * platform and documents need no copy: their data is created in CTX. */
static void
_drv_event_copy (void *ctx, ev_t *ev)
{
  switch (ev->kind)
    {
    case EV_REQUEST:
      _drv_request_copy (ctx, &ev->request);
      break;
    case EV_UPSTREAM_HEAD:
    case EV_UPSTREAM_DATA:
    case EV_UPSTREAM_END:
    case EV_UPSTREAM_FAIL:
      _drv_upstream_copy (ctx, &ev->upstream);
      break;
    case EV_PEER_UP:
    case EV_PEER_DOWN:
    case EV_PEER_MSG:
      ev->peer.vm = talloc_strdup (ctx, ev->peer.vm);
      ev->peer.msg.body = buf_copy (ctx, ev->peer.msg.body);
      break;
    case EV_START:
    case EV_TIMER:
    case EV_CALLER_GONE:
    case EV_PLATFORM:
    case EV_DOCUMENT:
    case EV_LEAVE:
    case EV_NUM:
      break;
    }
}

static void _drv_step_schedule (drv_t *d);

static _drv_queued_t *
_drv_event_queue (drv_t *d, const ev_t *ev)
{
  _drv_queued_t *q = talloc_zero (d, _drv_queued_t);
  q->ev = *ev;
  _drv_event_copy (q, &q->ev);
  *d->last = q;
  d->last = &q->next;
  d->event_seen = true;
  _drv_step_schedule (d);
  return q;
}

static void
_drv_on_event (void *data, const ev_t *ev)
{
  drv_t *d = data;
  if (ev->kind == EV_CALLER_GONE)
    g_hash_table_remove (d->upstream_calls, &ev->caller);
  _drv_queued_t *q = _drv_event_queue (d, ev);
  if (ev->kind == EV_REQUEST && d->desc.set->hosted)
    pfm_request_decode (q, &q->ev.request);
}

static void
_drv_on_flow (void *data, uint64_t caller, bool full)
{
  drv_t *d = data;
  const uint64_t *call = g_hash_table_lookup (d->upstream_calls, &caller);
  if (call != NULL)
    hcl_pause (d->hcl, HCL_UPSTREAM, *call, full);
}

/* -- platform calls ------------------------------------------------------- */

/** Largest response of the platform, in bytes.  An object is at most 1 MiB and
 * so is a page of a list; a watch may bring several objects at once. */
#define DRV_PLATFORM_BODY_MAX ((size_t)8 << 20)

static int
_drv_platform_destroy (_drv_platform_t *p)
{
  g_byte_array_unref (p->body);
  return 0;
}

static void
_drv_platform_start (drv_t *d, const fx_platform_t *f)
{
  _drv_platform_t *p = talloc_zero (d, _drv_platform_t);
  p->call = f->call;
  p->op = f->op;
  p->name = talloc_strdup (p, f->name == NULL ? "" : f->name);
  p->body = g_byte_array_new ();
  talloc_set_destructor (p, _drv_platform_destroy);
  g_hash_table_insert (d->platform_calls, &p->call, p);
  hcl_call_t call = { .owner = HCL_PLATFORM,
                      .id = f->call,
                      .address = d->desc.set->platform,
                      /* Documents in JSON show where they end; the values
                       * of the product's own platform do not. */
                      .framing_required = !d->desc.set->hosted,
                      .body_max = DRV_PLATFORM_BODY_MAX };
  void *ctx = talloc_new (p);
  if (d->desc.set->hosted)
    pfm_object_request_encode (ctx, f, &call);
  else
    pcl_request_encode (ctx, f, &call);
  hcl_call (d->hcl, &call);
  talloc_free (ctx);
}

static void
_drv_platform_finish (drv_t *d, _drv_platform_t *p, const hcl_event_t *e)
{
  _drv_queued_t *q = _drv_event_queue (d, &(ev_t){ .kind = EV_PLATFORM });
  ev_platform_t *reply = &q->ev.platform;
  if (e->kind == EV_UPSTREAM_FAIL)
    g_byte_array_set_size (p->body, 0);
  buf_t body
      = buf_copy (q, (buf_t){ .p = (char *)p->body->data, .n = p->body->len });
  const char *name = talloc_strdup (q, p->name);
  reply->malformed = e->malformed;
  if (e->kind == EV_UPSTREAM_FAIL)
    reply->code = pcl_failure (p->op, e->fail);
  else if (d->desc.set->hosted)
    pfm_object_response_decode (q, p->op, name, p->status, body, reply);
  else
    pcl_response_decode (q, p->op, name, p->status, p->headers, body, reply);
  if (reply->code != ST_OK)
    g_debug ("platform call: %s for '%s' (status %d): %.200s",
             st_code_name (reply->code), p->name, p->status,
             body.p == NULL ? "" : body.p);
  reply->call = p->call;
  g_hash_table_remove (d->platform_calls, &p->call);
  talloc_free (p);
}

static void
_drv_on_platform (drv_t *d, const hcl_event_t *e)
{
  _drv_platform_t *p = g_hash_table_lookup (d->platform_calls, &e->id);
  if (p == NULL)
    return;
  switch (e->kind)
    {
    case EV_UPSTREAM_HEAD:
      p->status = e->status;
      p->headers = _drv_headers_copy (p, e->headers);
      break;
    case EV_UPSTREAM_DATA:
      g_byte_array_append (p->body, (const guint8 *)e->data.p,
                           (guint)e->data.n);
      break;
    default:
      _drv_platform_finish (d, p, e);
      break;
    }
}

static void
_drv_on_upstream (drv_t *d, const hcl_event_t *e)
{
  ev_t ev = { .kind = e->kind,
              .upstream = { .call = e->id,
                            .status = e->status,
                            .headers = e->headers,
                            .local_port = e->local_port,
                            .close_delimited = e->close_delimited,
                            .has_length = e->has_length,
                            .length = e->length,
                            .data = e->data,
                            .fail = e->fail,
                            .connected = e->connected,
                            .tunnel = e->tunnel,
                            .refused = e->refused,
                            .closed = e->closed,
                            .malformed = e->malformed,
                            .text = e->text } };
  _drv_queued_t *q = _drv_event_queue (d, &ev);
  if (e->kind == EV_UPSTREAM_HEAD && d->desc.set->hosted)
    pfm_response_decode (q, &q->ev.upstream);
}

static void
_drv_on_client (void *data, const hcl_event_t *e)
{
  drv_t *d = data;
  switch (e->owner)
    {
    case HCL_PLATFORM:
      _drv_on_platform (d, e);
      break;
    case HCL_UPSTREAM:
      _drv_on_upstream (d, e);
      break;
    }
}

/* -- effects -------------------------------------------------------------- */

static void _drv_on_timer (struct tevent_context *loop,
                           struct tevent_timer *timer, struct timeval now,
                           void *data);

static void
_drv_timer_start (drv_t *d, clk_ms_t ms)
{
  TALLOC_FREE (d->timer);
  d->timer = tevent_add_timer (
      d->desc.loop, d,
      tevent_timeval_current_ofs ((uint32_t)(ms / 1000),
                                  (uint32_t)(ms % 1000) * 1000),
      _drv_on_timer, d);
}

/* Notes whether the process stood still past the time of the node's timer.
 * What came meanwhile lies in the sockets, and the loop runs timers first. */
static void
_drv_behind_check (drv_t *d, clk_ms_t now)
{
  if (d->behind || d->timer_at == CLK_NEVER || now - d->timer_at < DRV_LATE_MS)
    return;
  d->behind = true;
  d->behind_until = now + DRV_BEHIND_MS;
  g_message ("stood still: the timer is %lld ms late; sockets are read first",
             (long long)(now - d->timer_at));
  d->event_seen = false;
  _drv_timer_start (d, DRV_BEHIND_IDLE_MS);
}

static void
_drv_on_timer (struct tevent_context *loop, struct tevent_timer *timer,
               struct timeval now, void *data)
{
  (void)loop;
  (void)timer;
  (void)now;
  drv_t *d = data;
  d->timer = NULL;
  clk_ms_t at = drv_now ();
  bool was_behind = d->behind;
  _drv_behind_check (d, at);
  if (!was_behind && d->behind)
    return;
  if (d->behind && d->event_seen && at < d->behind_until)
    {
      d->event_seen = false;
      _drv_timer_start (d, DRV_BEHIND_IDLE_MS);
      return;
    }
  d->behind = false;
  if (d->timer_at != CLK_NEVER && d->timer_at > at)
    _drv_timer_start (d, d->timer_at - at);
  else
    d->timer_at = CLK_NEVER;
  _drv_event_queue (d, &(ev_t){ .kind = EV_TIMER });
}

static void
_drv_set_timer (drv_t *d, clk_ms_t at)
{
  clk_ms_t now = drv_now ();
  d->timer_at = clk_max (at, now);
  if (!d->behind)
    _drv_timer_start (d, d->timer_at - now);
}

/* Returns the server that received the request of CALLER. */
static hsv_t *
_drv_server_of_caller (const drv_t *d, uint64_t caller)
{
  return d->ready_hsv != NULL && caller > DRV_READY_CALLER_BASE ? d->ready_hsv
                                                                : d->hsv;
}

/* Pauses CALL from its start if CALLER has not taken what an earlier call for
 * it has brought. */
static void
_drv_pause_if_full (drv_t *d, uint64_t caller, uint64_t call)
{
  const hsv_t *server = _drv_server_of_caller (d, caller);
  if (server != NULL && hsv_is_full (server, caller))
    hcl_pause (d->hcl, HCL_UPSTREAM, call, true);
}

static void
_drv_upstream_call (drv_t *d, const fx_upstream_t *u)
{
  if (u->caller != 0)
    g_hash_table_insert (d->upstream_calls,
                         g_memdup2 (&u->caller, sizeof u->caller),
                         g_memdup2 (&u->call, sizeof u->call));
  void *tmp = talloc_new (d);
  http_headers_t headers = u->headers;
  if (d->desc.set->hosted)
    headers = pfm_upstream_encode (tmp, u);
  const char *path = d->desc.set->hosted ? pfm_upstream_path (u) : u->path;
  const char *id_header = d->desc.set->hosted ? PFM_ID_HEADER : UPC_ID_HEADER;
  const char *const *once
      = d->desc.set->hosted ? pfm_once_headers : upc_once_headers;
  const char *proof = u->tunnel == NULL
                          ? NULL
                          : tun_proof (tmp, d->desc.set->secret, u->tunnel);
  hcl_call (d->hcl, &(hcl_call_t){ .owner = HCL_UPSTREAM,
                                   .id = u->call,
                                   .address = u->address,
                                   .tunnel = u->tunnel,
                                   .tunnel_proof = proof,
                                   .method = u->method,
                                   .path = path,
                                   .headers = headers,
                                   .body = u->body,
                                   .connect_ms = u->connect_ms,
                                   .first_byte_ms = u->first_byte_ms,
                                   .stall_ms = u->stall_ms,
                                   .total_ms = u->total_ms,
                                   .fresh_connection = u->fresh_connection,
                                   .id_header = id_header,
                                   .id_required = u->proves_origin,
                                   .known_headers = d->desc.set->hosted
                                                        ? pfm_known_headers
                                                        : upc_once_headers,
                                   .once_headers = once });
  talloc_free (tmp);
  if (u->caller != 0)
    _drv_pause_if_full (d, u->caller, u->call);
}

static void
_drv_reply_head (drv_t *d, const fx_reply_t *r)
{
  void *tmp = talloc_new (d);
  http_headers_t headers = r->headers;
  if (d->desc.set->hosted)
    headers = pfm_reply_encode (tmp, r);
  hsv_t *server = _drv_server_of_caller (d, r->caller);
  if (r->close_delimited)
    hsv_reply_close_delimited (server, r->caller);
  hsv_reply_head (server, r->caller, r->status, headers);
  talloc_free (tmp);
}

static void
_drv_reply_results (drv_t *d, const fx_job_results_t *r)
{
  static const http_header_t type
      = { .name = "Content-Type", .value = "application/json" };
  void *tmp = talloc_new (d);
  hsv_reply_head (d->hsv, r->caller, 200,
                  (http_headers_t){ .v = &type, .n = 1 });
  hsv_reply_data (d->hsv, r->caller, pfm_results_encode (tmp, r));
  hsv_reply_end (d->hsv, r->caller);
  talloc_free (tmp);
}

static void
_drv_document_decode (drv_t *d, buf_t raw)
{
  _drv_queued_t *q = _drv_event_queue (d, &(ev_t){ .kind = EV_DOCUMENT });
  q->ev.document = pfm_document_parse (q, raw);
}

static void
_drv_effect_apply (drv_t *d, const fx_t *f)
{
  switch (f->kind)
    {
    case FX_TIMER:
      _drv_set_timer (d, f->timer);
      break;
    case FX_REPLY_HEAD:
      _drv_reply_head (d, &f->reply);
      break;
    case FX_REPLY_DATA:
      hsv_reply_data (_drv_server_of_caller (d, f->reply.caller),
                      f->reply.caller, f->reply.data);
      break;
    case FX_REPLY_END:
      g_hash_table_remove (d->upstream_calls, &f->reply.caller);
      hsv_reply_end (_drv_server_of_caller (d, f->reply.caller),
                     f->reply.caller);
      break;
    case FX_REPLY_JOB_RESULTS:
      _drv_reply_results (d, &f->results);
      break;
    case FX_REPLY_ABORT:
      g_hash_table_remove (d->upstream_calls, &f->reply.caller);
      hsv_reply_abort (_drv_server_of_caller (d, f->reply.caller),
                       f->reply.caller);
      break;
    case FX_UPSTREAM_CALL:
      _drv_upstream_call (d, &f->upstream);
      break;
    case FX_UPSTREAM_CANCEL:
      hcl_cancel (d->hcl, HCL_UPSTREAM, f->upstream.call);
      break;
    case FX_PLATFORM:
      _drv_platform_start (d, &f->platform);
      break;
    case FX_DOCUMENT_DECODE:
      _drv_document_decode (d, f->document);
      break;
    case FX_PEER_SEND:
      lnk_send (d->lnk, f->peer.vm, &f->peer.msg);
      break;
    case FX_PEER_LINK:
      lnk_peer_add (d->lnk, f->peer.vm, f->peer.address);
      break;
    case FX_PEER_UNLINK:
      lnk_peer_remove (d->lnk, f->peer.vm);
      break;
    case FX_EXIT:
      d->exiting = true;
      if (d->hsv != NULL)
        hsv_quiesce (d->hsv);
      break;
    case FX_NUM:
      break;
    }
}

/* Logs the time line records that are new since the last step. */
static void
_drv_log_records (drv_t *d)
{
  const tln_t *t = node_env (d->node)->tln;
  uint64_t total = tln_total (t);
  size_t held = tln_count (t);
  if (total - d->logged > held)
    d->logged = total - held;
  for (; d->logged < total; d->logged++)
    {
      const tln_record_t *r = tln_get (t, held - (size_t)(total - d->logged));
      g_info ("%s %s: %s", mod_name (r->mod), r->event, r->detail);
    }
}

static void
_drv_step (drv_t *d, const ev_t *ev)
{
  d->now = clk_max (d->now, drv_now ());
  _drv_behind_check (d, d->now);
  ev_t event = *ev;
  event.behind = d->behind;
  const fx_list_t *fx = node_step (d->node, d->now, &event);
  for (size_t i = 0; i < fx->count; i++)
    _drv_effect_apply (d, &fx->v[i]);
  _drv_log_records (d);
}

static void
_drv_on_step (struct tevent_context *loop, struct tevent_immediate *im,
              void *data)
{
  (void)loop;
  (void)im;
  drv_t *d = data;
  d->step_scheduled = false;
  while (d->first != NULL)
    {
      _drv_queued_t *q = d->first;
      d->first = q->next;
      if (d->first == NULL)
        d->last = &d->first;
      _drv_step (d, &q->ev);
      talloc_free (q);
    }
}

static void
_drv_step_schedule (drv_t *d)
{
  if (d->step_scheduled)
    return;
  d->step_scheduled = true;
  tevent_schedule_immediate (d->step, d->desc.loop, _drv_on_step, d);
}

/* -- public --------------------------------------------------------------- */

static int
_drv_destroy (drv_t *d)
{
  TALLOC_FREE (d->hsv);
  TALLOC_FREE (d->ready_hsv);
  TALLOC_FREE (d->hcl);
  TALLOC_FREE (d->lnk);
  TALLOC_FREE (d->tun);
  g_hash_table_destroy (d->platform_calls);
  g_hash_table_destroy (d->upstream_calls);
  return 0;
}

static int
_drv_on_tunnel (void *data, const char *address, size_t open)
{
  drv_t *d = data;
  d->now = clk_max (d->now, drv_now ());
  switch (node_tunnel_admit (d->node, d->now, address, open))
    {
    case NODE_TUNNEL_OPEN:
      return TUN_OPEN;
    case NODE_TUNNEL_UNKNOWN:
      return TUN_UNKNOWN;
    case NODE_TUNNEL_REFUSED:
      break;
    }
  return TUN_REFUSED;
}

static bool
_drv_open (drv_t *d, st_t *st)
{
  const set_t *set = d->desc.set;
  d->hcl = hcl_setup (d, &(hcl_desc_t){ .loop = d->desc.loop,
                                        .handler = _drv_on_client,
                                        .data = d });
  hsv_desc_t server = { .loop = d->desc.loop,
                        .listen = set->listen,
                        .handler = _drv_on_event,
                        .flow = _drv_on_flow,
                        .data = d };
  if (set->listen != NULL && (d->hsv = hsv_setup (d, &server, st)) == NULL)
    return false;
  server.listen = set->ready_listen;
  server.caller_base = DRV_READY_CALLER_BASE;
  if (set->ready_listen != NULL
      && (d->ready_hsv = hsv_setup (d, &server, st)) == NULL)
    return false;
  if (set->tunnel_listen != NULL
      && (d->tun = tun_setup (d,
                              &(tun_desc_t){ .loop = d->desc.loop,
                                             .listen = set->tunnel_listen,
                                             .secret = set->secret,
                                             .admit = _drv_on_tunnel,
                                             .data = d },
                              st))
             == NULL)
    return false;
  d->lnk = lnk_setup (d,
                      &(lnk_desc_t){ .loop = d->desc.loop,
                                     .vm = set->name,
                                     .listen = set->peer_listen,
                                     .secret = set->secret,
                                     .handler = _drv_on_event,
                                     .data = d },
                      st);
  return d->lnk != NULL;
}

drv_t *
drv_setup (void *ctx, const drv_desc_t *desc, st_t *st)
{
  drv_t *d = talloc_zero (ctx, drv_t);
  d->desc = *desc;
  d->last = &d->first;
  d->timer_at = CLK_NEVER;
  d->step = tevent_create_immediate (d);
  d->platform_calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  d->upstream_calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  talloc_set_destructor (d, _drv_destroy);
  uint64_t started = (uint64_t)g_get_real_time ();
  const set_t *set = desc->set;
  d->node = node_setup (
      d,
      &(node_desc_t){
          .vm = set->name,
          .data_centre = set->data_centre,
          .address = set->peer_listen,
          .tunnel = set->tunnel_listen,
          .incarnation = started,
          .unix_offset_ms = (clk_ms_t)(started / 1000) - drv_now (),
          .seed = set->seed ? set->seed : (uint32_t)started,
          .operator_token_sha256 = set->operator_token_sha256,
          .source = set->hosted ? NODE_SOURCE_PLATFORM : NODE_SOURCE_SECTIONS,
          .worker = set->listen == NULL,
          .limit_slack = { .window_ms = set->limit_window_ms,
                           .overshoot = set->limit_overshoot,
                           .requests = set->limit_requests },
          .cold_overshoot = set->cold_overshoot,
          .cold_slack = set->cold_slack,
          .prompt_parts = set->hosted ? pfm_prompt_parts : NULL,
          .data_centres = set->data_centres,
          .history_ms = set->history_ms,
          .evacuate_ms = set->evacuate_ms,
          .end_ms = set->end_ms,
          .even_load = set->even_load,
          .avoid_failing = set->avoid_failing,
          .refuse_late = set->refuse_late,
          .yield_late = set->yield_late,
          .preempt_once = set->preempt_once },
      st);
  if (d->node == NULL || !_drv_open (d, st))
    {
      talloc_free (d);
      return NULL;
    }
  _drv_event_queue (d, &(ev_t){ .kind = EV_START });
  return d;
}

void
drv_shutdown (drv_t *d)
{
  talloc_free (d);
}

static void
_drv_warn_if_changed (const char *key, const char *old, const char *new)
{
  if (g_strcmp0 (old, new) != 0)
    g_warning ("settings: %s has changed from '%s' to '%s'; the change takes "
               "effect after a restart",
               key, old == NULL ? "" : old, new == NULL ? "" : new);
}

void
drv_settings_changed (drv_t *d, const set_t *set)
{
  const set_t *old = d->desc.set;
  _drv_warn_if_changed ("name", old->name, set->name);
  _drv_warn_if_changed ("data_centre", old->data_centre, set->data_centre);
  _drv_warn_if_changed ("listen", old->listen, set->listen);
  _drv_warn_if_changed ("ready_listen", old->ready_listen, set->ready_listen);
  _drv_warn_if_changed ("peer_listen", old->peer_listen, set->peer_listen);
  _drv_warn_if_changed ("tunnel_listen", old->tunnel_listen,
                        set->tunnel_listen);
  if (strcmp (old->platform, set->platform) != 0)
    g_message ("settings: the platform's address is now %s", set->platform);
  d->desc.set = set;
}

void
drv_leave (drv_t *d)
{
  _drv_event_queue (d, &(ev_t){ .kind = EV_LEAVE });
}

bool
drv_done (const drv_t *d)
{
  return d->exiting && (d->hsv == NULL || hsv_open_count (d->hsv) == 0)
         && (d->tun == NULL || tun_open_count (d->tun) == 0);
}
