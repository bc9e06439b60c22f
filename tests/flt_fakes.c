/** @file
 * The fakes around the nodes: platform calls, watches and upstreams.
 */
#include "flt_int.h"

#include <string.h>
#include <talloc.h>

/* -- platform ------------------------------------------------------------- */

static void
_flt_platform_vms (flt_t *f, void *ctx, ev_platform_t *reply)
{
  ev_vm_t *vms = talloc_zero_array (ctx, ev_vm_t, f->vm_count);
  for (size_t i = 0; i < f->vm_count; i++)
    {
      if (f->vms[i].node == NULL)
        continue;
      vms[reply->vm_count++] = (ev_vm_t){
        .vm = f->vms[i].name,
        .data_centre = talloc_asprintf (ctx, "dc-%zu", f->vms[i].data_centre),
        .address = f->vms[i].name,
      };
    }
  reply->vms = vms;
}

static bool
_flt_is_write (fx_platform_op_t op)
{
  return op == FX_PLATFORM_PUT || op == FX_PLATFORM_DELETE;
}

/* Carries CALL out and schedules its reply; returns false when a watch has to
 * wait. */
static bool
_flt_platform_try (flt_t *f, size_t vm, const fx_platform_t *call)
{
  flt_event_t *d = talloc_zero (f, flt_event_t);
  ev_platform_t reply = { 0 };
  if (!fpl_call (f->platform, d, call, &reply))
    {
      talloc_free (d);
      return false;
    }
  if (call->op == FX_PLATFORM_VMS)
    _flt_platform_vms (f, d, &reply);
  if (f->platform_mode == FLT_PLATFORM_LOSE_RESPONSES
      && g_rand_boolean (f->rand))
    reply
        = (ev_platform_t){ .call = call->call,
                           .code = _flt_is_write (call->op) ? ST_UNKNOWN
                                                            : ST_UNAVAILABLE };
  flt_event_t *q = flt_event_push (f, f->desc.platform_ms, vm, EV_PLATFORM);
  talloc_steal (q, d);
  q->ev.platform = reply;
  return true;
}

void
flt_platform_call (flt_t *f, size_t vm, const fx_platform_t *call)
{
  f->vms[vm].traffic.platform_calls++;
  if (f->platform_mode == FLT_PLATFORM_DOWN
      || f->isolated[f->vms[vm].data_centre])
    {
      flt_event_t *d
          = flt_event_push (f, f->desc.platform_ms, vm, EV_PLATFORM);
      d->ev.platform
          = (ev_platform_t){ .call = call->call, .code = ST_UNAVAILABLE };
      return;
    }
  if (_flt_platform_try (f, vm, call))
    return;
  flt_watch_t *w = talloc_zero (f, flt_watch_t);
  *w = (flt_watch_t){ .vm = vm,
                      .incarnation = f->vms[vm].incarnation,
                      .call = call->call,
                      .name = talloc_strdup (w, call->name),
                      .revision = call->revision,
                      .until = f->now + call->timeout_ms };
  g_ptr_array_add (f->watches, w);
}

void
flt_watches_check (flt_t *f)
{
  f->next_watch_check = f->now + FLT_WATCH_CHECK_MS;
  for (guint i = f->watches->len; i > 0; i--)
    {
      flt_watch_t *w = g_ptr_array_index (f->watches, i - 1);
      fx_platform_t call = { .call = w->call,
                             .op = FX_PLATFORM_WATCH,
                             .name = w->name,
                             .revision = w->revision };
      bool unavailable = f->platform_mode == FLT_PLATFORM_DOWN
                         || f->isolated[f->vms[w->vm].data_centre];
      bool vm_restarted = f->vms[w->vm].incarnation != w->incarnation;
      if (!vm_restarted && !unavailable && !_flt_platform_try (f, w->vm, &call)
          && f->now < w->until)
        continue;
      if (!vm_restarted && (unavailable || f->now >= w->until))
        {
          flt_event_t *d = flt_event_push (f, 0, w->vm, EV_PLATFORM);
          d->ev.platform
              = (ev_platform_t){ .call = w->call,
                                 .code = unavailable ? ST_UNAVAILABLE : ST_OK,
                                 .revision = w->revision };
        }
      g_ptr_array_remove_index (f->watches, i - 1);
      talloc_free (w);
    }
}

/* -- upstreams ------------------------------------------------------------ */

char *
flt_call_name (void *ctx, const flt_t *f, size_t vm, uint64_t call)
{
  return talloc_asprintf (ctx, "%zu/%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT,
                          vm, f->vms[vm].incarnation, call);
}

static void
_flt_run_count_add (flt_t *f, const char *marker)
{
  if (marker == NULL || marker[0] == '\0')
    return;
  gpointer old = g_hash_table_lookup (f->runs, marker);
  g_hash_table_replace (f->runs, g_strdup (marker),
                        GUINT_TO_POINTER (GPOINTER_TO_UINT (old) + 1));
}

static void
_flt_received_append (flt_t *f, const fx_upstream_t *u)
{
  g_string_append_printf (f->received, "%s %s\n", u->method, u->path);
  for (size_t i = 0; i < u->headers.n; i++)
    g_string_append_printf (f->received, "%s: %s\n", u->headers.v[i].name,
                            u->headers.v[i].value);
  g_string_append_len (f->received, u->body.p, (gssize)u->body.n);
  g_string_append_c (f->received, '\n');
}

static flt_event_t *
_flt_upstream_event (flt_t *f, size_t vm, uint64_t call, clk_ms_t delay,
                     ev_kind_t kind)
{
  flt_event_t *d = flt_event_push (f, delay, vm, kind);
  d->ev.upstream.call = call;
  d->cancel = call;
  return d;
}

static const char *
_flt_upstream_body (void *ctx, const fx_upstream_t *u)
{
  if (g_str_has_prefix (u->path, "/load"))
    return "{\"running\":0,\"waiting\":0,\"slots\":4,\"seq\":1,"
           "\"leaving\":false}";
  if (g_str_has_prefix (u->path, "/cache-events"))
    return "{\"seq\":0,\"events\":[]}";
  return talloc_asprintf (ctx, "{\"echo\":\"%s\"}", buf_to_str (ctx, u->body));
}

static void
_flt_upstream_respond (flt_t *f, size_t vm, const fx_upstream_t *u, int status)
{
  static const http_header_t json
      = { .name = "Content-Type", .value = "application/json" };
  clk_ms_t ms = f->desc.upstream_ms;
  flt_event_t *head
      = _flt_upstream_event (f, vm, u->call, ms, EV_UPSTREAM_HEAD);
  head->ev.upstream.status = status;
  head->ev.upstream.headers = (http_headers_t){ .v = &json, .n = 1 };
  flt_event_t *data
      = _flt_upstream_event (f, vm, u->call, ms, EV_UPSTREAM_DATA);
  data->ev.upstream.data
      = buf_copy (data, buf_str (_flt_upstream_body (data, u)));
}

void
flt_upstream_call (flt_t *f, size_t vm, const fx_upstream_t *u)
{
  flt_upstream_mode_t mode
      = GPOINTER_TO_INT (g_hash_table_lookup (f->upstream_modes, u->address));
  _flt_received_append (f, u);
  if (mode != FLT_UPSTREAM_REFUSE && mode != FLT_UPSTREAM_SILENT)
    {
      _flt_run_count_add (f, http_header_find (u->headers, "Idempotency-Key"));
      char *body = buf_to_str (f, u->body);
      _flt_run_count_add (f, body);
      talloc_free (body);
    }
  clk_ms_t ms = f->desc.upstream_ms;
  flt_event_t *end = NULL;
  switch (mode)
    {
    case FLT_UPSTREAM_OK:
      _flt_upstream_respond (f, vm, u, 200);
      _flt_upstream_event (f, vm, u->call, ms + 1, EV_UPSTREAM_END);
      break;
    case FLT_UPSTREAM_TRUNCATE:
      _flt_upstream_respond (f, vm, u, 200);
      end = _flt_upstream_event (f, vm, u->call, ms + 1, EV_UPSTREAM_FAIL);
      end->ev.upstream.fail = EV_FAIL_UNKNOWN;
      break;
    case FLT_UPSTREAM_REFUSE:
      end = _flt_upstream_event (f, vm, u->call, 1, EV_UPSTREAM_FAIL);
      end->ev.upstream.fail = EV_FAIL_NOT_SENT;
      break;
    case FLT_UPSTREAM_SILENT:
      if (u->first_byte_ms == 0)
        break;
      end = _flt_upstream_event (f, vm, u->call, u->first_byte_ms,
                                 EV_UPSTREAM_FAIL);
      end->ev.upstream.fail = EV_FAIL_TIMEOUT;
      break;
    }
}
