#include "flt_int.h"

#include "core/inv.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* -- queue ---------------------------------------------------------------- */

flt_event_t *
flt_event_push (flt_t *f, clk_ms_t delay, size_t vm, ev_kind_t kind)
{
  flt_event_t *d = talloc_zero (f, flt_event_t);
  d->vm = vm;
  d->incarnation = f->vms[vm].incarnation;
  d->from = vm;
  d->ev.kind = kind;
  tmr_arm (f->events, f->now + delay, MOD_NODE, (uint64_t)(uintptr_t)d);
  return d;
}

/* -- reachability --------------------------------------------------------- */

static bool
_flt_is_reachable (const flt_t *f, size_t a, size_t b)
{
  size_t x = f->vms[a].data_centre;
  size_t y = f->vms[b].data_centre;
  return x == y || (!f->isolated[x] && !f->isolated[y]);
}

static bool
_flt_may_link (const flt_t *f, size_t a, size_t b)
{
  return a != b && f->vms[a].node != NULL && f->vms[b].node != NULL
         && (f->vms[a].wants_link[b] || f->vms[b].wants_link[a])
         && _flt_is_reachable (f, a, b);
}

static void
_flt_link_event (flt_t *f, size_t vm, size_t peer, clk_ms_t delay,
                 ev_kind_t kind)
{
  flt_event_t *d = flt_event_push (f, delay, vm, kind);
  d->from = peer;
  d->ev.peer.vm = f->vms[peer].name;
}

/* Sends both ends EV_PEER_UP or EV_PEER_DOWN when the link between A and B
 * appears or disappears. */
static void
_flt_link_update (flt_t *f, size_t a, size_t b)
{
  bool may = _flt_may_link (f, a, b);
  for (int side = 0; side < 2; side++)
    {
      size_t vm = side == 0 ? a : b;
      size_t peer = side == 0 ? b : a;
      flt_vm_t *v = &f->vms[vm];
      if (v->node == NULL || v->linked[peer] == may)
        continue;
      v->linked[peer] = may;
      _flt_link_event (f, vm, peer, may ? FLT_LINK_UP_MS : FLT_LINK_DOWN_MS,
                       may ? EV_PEER_UP : EV_PEER_DOWN);
    }
}

static void
_flt_links_update (flt_t *f)
{
  for (size_t a = 0; a < f->vm_count; a++)
    {
      for (size_t b = a + 1; b < f->vm_count; b++)
        _flt_link_update (f, a, b);
    }
}

/* -- effects -------------------------------------------------------------- */

static flt_response_t *
_flt_response (const flt_t *f, uint64_t id)
{
  return g_ptr_array_index (f->responses, (guint)id - 1);
}

static void
_flt_reply_apply (flt_t *f, const fx_t *e)
{
  flt_response_t *response = _flt_response (f, e->reply.caller);
  INV_CHECK (!response->ended && !response->aborted, "one-answer-a-request",
             "caller %llu", (unsigned long long)e->reply.caller);
  response->last_at = f->now;
  if (e->kind == FX_REPLY_HEAD)
    response->status = e->reply.status;
  if (e->kind == FX_REPLY_DATA)
    response->body = talloc_strndup_append_buffer (
        response->body, e->reply.data.p, e->reply.data.n);
  response->run_count = flt_run_count (f, response->request_body);
  response->ended = e->kind == FX_REPLY_END;
  response->aborted = e->kind == FX_REPLY_ABORT;
}

static size_t
_flt_vm_index (const flt_t *f, const char *name)
{
  gpointer found = g_hash_table_lookup (f->index, name);
  return found == NULL ? f->vm_count : GPOINTER_TO_SIZE (found) - 1;
}

static void
_flt_peer_effect_apply (flt_t *f, size_t vm, const fx_t *e)
{
  size_t peer = _flt_vm_index (f, e->peer.vm);
  if (peer == f->vm_count)
    return;
  if (e->kind == FX_PEER_LINK || e->kind == FX_PEER_UNLINK)
    {
      f->vms[vm].wants_link[peer] = e->kind == FX_PEER_LINK;
      _flt_link_update (f, vm, peer);
      return;
    }
  if (!f->vms[vm].linked[peer] || !_flt_is_reachable (f, vm, peer)
      || f->vms[peer].node == NULL)
    return;
  f->vms[vm].traffic.messages++;
  size_t bytes = e->peer.msg.body.n + FLT_FRAME_BYTES;
  f->vms[vm].traffic.bytes += bytes;
  f->vms[vm].traffic.kind_bytes[e->peer.msg.kind % MSG_END] += bytes;
  flt_event_t *d = flt_event_push (f, f->desc.peer_ms, peer, EV_PEER_MSG);
  d->from = vm;
  d->ev.peer.vm = f->vms[vm].name;
  d->ev.peer.msg = e->peer.msg;
  d->ev.peer.msg.body = buf_copy (d, e->peer.msg.body);
}

static void
_flt_effect_apply (flt_t *f, size_t vm, const fx_t *e)
{
  switch (e->kind)
    {
    case FX_TIMER:
      flt_event_push (f, clk_max (0, e->timer - f->now), vm, EV_TIMER);
      break;
    case FX_REPLY_HEAD:
    case FX_REPLY_DATA:
    case FX_REPLY_END:
    case FX_REPLY_ABORT:
      _flt_reply_apply (f, e);
      break;
    case FX_REPLY_JOB_RESULTS:
    case FX_DOCUMENT_DECODE:
      break; /* only nodes that the platform configures have these effects */
    case FX_UPSTREAM_CALL:
      flt_upstream_call (f, vm, &e->upstream);
      break;
    case FX_UPSTREAM_CANCEL:
      g_hash_table_add (f->cancelled,
                        flt_call_name (f, f, vm, e->upstream.call));
      break;
    case FX_PLATFORM:
      flt_platform_call (f, vm, &e->platform);
      break;
    case FX_PEER_SEND:
    case FX_PEER_LINK:
    case FX_PEER_UNLINK:
      _flt_peer_effect_apply (f, vm, e);
      break;
    case FX_EXIT:
      f->vms[vm].exited = true;
      break;
    case FX_NUM:
      break;
    }
}

static bool
_flt_is_cancelled (flt_t *f, const flt_event_t *d)
{
  if (d->cancel == 0)
    return false;
  char *name = flt_call_name (f, f, d->vm, d->cancel);
  bool found = g_hash_table_contains (f->cancelled, name);
  talloc_free (name);
  return found;
}

static void
_flt_event_deliver (flt_t *f, const flt_event_t *d)
{
  flt_vm_t *vm = &f->vms[d->vm];
  if (vm->node == NULL || vm->incarnation != d->incarnation)
    return;
  if (d->ev.kind == EV_PEER_MSG && !_flt_is_reachable (f, d->vm, d->from))
    return;
  if (_flt_is_cancelled (f, d))
    return;
  const fx_list_t *fx = node_step (vm->node, f->now, &d->ev);
  for (size_t i = 0; i < fx->count; i++)
    _flt_effect_apply (f, d->vm, &fx->v[i]);
}

/* -- public --------------------------------------------------------------- */

static int
_flt_destroy (flt_t *f)
{
  g_rand_free (f->rand);
  g_hash_table_destroy (f->index);
  g_ptr_array_unref (f->watches);
  g_ptr_array_unref (f->responses);
  g_hash_table_destroy (f->upstream_modes);
  g_hash_table_destroy (f->runs);
  g_hash_table_destroy (f->cancelled);
  g_string_free (f->received, TRUE);
  return 0;
}

static void
_flt_fill_defaults (flt_desc_t *d)
{
  if (d->peer_ms == 0)
    d->peer_ms = FLT_PEER_MS;
  if (d->platform_ms == 0)
    d->platform_ms = FLT_PLATFORM_MS;
  if (d->upstream_ms == 0)
    d->upstream_ms = FLT_UPSTREAM_MS;
}

/* Applies the document as an operator until the status of a response is
 * 200. */
static void
_flt_first_document_apply (flt_t *f)
{
  const flt_response_t *response = NULL;
  while (f->now < FLT_FIRST_DOCUMENT_MS
         && (response == NULL || response->status != 200))
    {
      uint64_t id = flt_apply (f, 0, f->desc.document);
      flt_run (f, f->now + FLT_FIRST_DOCUMENT_MS / 10);
      response = flt_response (f, id);
    }
  INV_CHECK (response != NULL && response->status == 200, "first-document",
             "status %d: %s", response == NULL ? 0 : response->status,
             response == NULL ? "" : response->body);
}

flt_t *
flt_setup (void *ctx, const flt_desc_t *desc)
{
  flt_t *f = talloc_zero (ctx, flt_t);
  f->desc = *desc;
  _flt_fill_defaults (&f->desc);
  f->rand = g_rand_new_with_seed (desc->seed);
  f->events = tmr_setup (f);
  f->index = g_hash_table_new (g_str_hash, g_str_equal);
  f->watches = g_ptr_array_new ();
  f->responses = g_ptr_array_new ();
  f->upstream_modes = g_hash_table_new (g_str_hash, g_str_equal);
  f->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  f->cancelled = g_hash_table_new (g_str_hash, g_str_equal);
  f->received = g_string_new ("");
  f->platform = fpl_setup (f);
  char *sha256 = g_compute_checksum_for_string (G_CHECKSUM_SHA256,
                                                FLT_OPERATOR_TOKEN, -1);
  f->token_sha256 = talloc_strdup (f, sha256);
  g_free (sha256);
  f->isolated = talloc_zero_array (f, bool, desc->data_centres);
  f->vm_count = desc->data_centres * desc->vms;
  f->vms = talloc_zero_array (f, flt_vm_t, f->vm_count);
  talloc_set_destructor (f, _flt_destroy);
  for (size_t i = 0; i < f->vm_count; i++)
    {
      flt_vm_t *vm = &f->vms[i];
      vm->data_centre = i / desc->vms;
      vm->name = talloc_asprintf (f, "dc-%zu-vm-%zu", vm->data_centre,
                                  i % desc->vms);
      g_hash_table_insert (f->index, vm->name, GSIZE_TO_POINTER (i + 1));
      vm->wants_link = talloc_zero_array (f, bool, f->vm_count);
      vm->linked = talloc_zero_array (f, bool, f->vm_count);
      flt_start (f, i);
    }
  if (desc->document != NULL)
    _flt_first_document_apply (f);
  return f;
}

void
flt_run (flt_t *f, clk_ms_t until)
{
  tmr_due_t due;
  while (tmr_pop (f->events, until, &due))
    {
      flt_event_t *d = (flt_event_t *)(uintptr_t)due.tag;
      clk_ms_t thaw = f->vms[d->vm].frozen_until;
      f->now = clk_max (f->now, due.at);
      if (thaw > f->now)
        {
          tmr_arm (f->events, thaw, MOD_NODE, due.tag);
          continue;
        }
      _flt_event_deliver (f, d);
      talloc_free (d);
      if (f->now >= f->next_watch_check)
        flt_watches_check (f);
    }
  f->now = until;
}

clk_ms_t
flt_now (const flt_t *f)
{
  return f->now;
}

size_t
flt_vm_count (const flt_t *f)
{
  return f->vm_count;
}

GRand *
flt_rand (flt_t *f)
{
  return f->rand;
}

uint64_t
flt_request (flt_t *f, size_t vm, const flt_request_t *req)
{
  flt_response_t *response = talloc_zero (f, flt_response_t);
  response->body = talloc_strdup (response, "");
  response->sent_at = f->now;
  g_ptr_array_add (f->responses, response);
  uint64_t id = f->responses->len;
  flt_event_t *d = flt_event_push (f, 1, vm, EV_REQUEST);
  http_header_t *h = talloc_zero_array (d, http_header_t, 3);
  size_t n = 0;
  h[n++] = (http_header_t){ "Content-Type", "application/json" };
  if (req->key != NULL)
    h[n++] = (http_header_t){ "Authorization",
                              talloc_asprintf (d, "Bearer %s", req->key) };
  if (req->idempotency_key != NULL)
    h[n++] = (http_header_t){ "Idempotency-Key",
                              talloc_strdup (d, req->idempotency_key) };
  d->ev.request = (ev_request_t){
    .caller = id,
    .method = req->method,
    .path = talloc_strdup (d, req->path),
    .query = talloc_strdup (d, req->query == NULL ? "" : req->query),
    .headers = { .v = h, .n = n },
    .body = buf_copy (d, buf_str (req->body)),
  };
  response->vm = vm;
  response->request_body = talloc_strdup (response, req->body);
  response->vm_failed
      = f->vms[vm].node == NULL || f->vms[vm].frozen_until > f->now;
  return id;
}

uint64_t
flt_apply (flt_t *f, size_t vm, const char *document)
{
  char query[64];
  (void)snprintf (query, sizeof query, "whole=yes&base=%.0f",
                  flt_counter (f, vm, "rts_config_version", ""));
  return flt_request (f, vm,
                      &(flt_request_t){ .method = "POST",
                                        .path = "/v1/operator/config",
                                        .query = query,
                                        .key = FLT_OPERATOR_TOKEN,
                                        .body = document });
}

void
flt_caller_gone (flt_t *f, uint64_t id)
{
  for (size_t i = 0; i < f->vm_count; i++)
    flt_event_push (f, 0, i, EV_CALLER_GONE)->ev.caller = id;
}

const flt_response_t *
flt_response (const flt_t *f, uint64_t id)
{
  return _flt_response (f, id);
}

unsigned
flt_run_count (const flt_t *f, const char *marker)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (f->runs, marker));
}

bool
flt_upstream_received (const flt_t *f, const char *bytes)
{
  return strstr (f->received->str, bytes) != NULL;
}

/* Marks the open responses of VM, which may now be late or missing. */
static void
_flt_vm_failed_mark (flt_t *f, size_t vm)
{
  for (guint i = 0; i < f->responses->len; i++)
    {
      flt_response_t *response = g_ptr_array_index (f->responses, i);
      if (response->vm == vm && !response->ended && !response->aborted)
        response->vm_failed = true;
    }
}

void
flt_kill (flt_t *f, size_t vm)
{
  _flt_vm_failed_mark (f, vm);
  TALLOC_FREE (f->vms[vm].node);
  for (size_t i = 0; i < f->vm_count; i++)
    {
      f->vms[vm].wants_link[i] = false;
      f->vms[vm].linked[i] = false;
    }
  _flt_links_update (f);
}

void
flt_start (flt_t *f, size_t vm)
{
  flt_vm_t *v = &f->vms[vm];
  st_t st = { 0 };
  char dc[32];
  (void)snprintf (dc, sizeof dc, "dc-%zu", v->data_centre);
  v->incarnation = ++f->seq;
  v->frozen_until = 0;
  v->exited = false;
  v->node
      = node_setup (f,
                    &(node_desc_t){ .vm = v->name,
                                    .data_centre = dc,
                                    .address = v->name,
                                    .incarnation = v->incarnation,
                                    .seed = g_rand_int (f->rand),
                                    .operator_token_sha256 = f->token_sha256 },
                    &st);
  INV_CHECK (v->node != NULL, "node-starts", "%s", st.message);
  flt_event_push (f, 0, vm, EV_START);
  _flt_links_update (f);
}

bool
flt_alive (const flt_t *f, size_t vm)
{
  return f->vms[vm].node != NULL;
}

void
flt_freeze (flt_t *f, size_t vm, clk_ms_t until)
{
  _flt_vm_failed_mark (f, vm);
  f->vms[vm].frozen_until = until;
}

void
flt_leave (flt_t *f, size_t vm)
{
  flt_event_push (f, 0, vm, EV_LEAVE);
}

bool
flt_exited (const flt_t *f, size_t vm)
{
  return f->vms[vm].exited;
}

void
flt_isolate (flt_t *f, size_t data_centre, bool isolated)
{
  f->isolated[data_centre] = isolated;
  _flt_links_update (f);
}

void
flt_platform_set (flt_t *f, flt_platform_mode_t mode)
{
  f->platform_mode = mode;
}

void
flt_upstream_set (flt_t *f, const char *address, flt_upstream_mode_t mode)
{
  g_hash_table_replace (f->upstream_modes, talloc_strdup (f, address),
                        GINT_TO_POINTER (mode));
}

void
flt_object_put (flt_t *f, const char *name, const char *value)
{
  fpl_put (f->platform, name, buf_str (value));
}

flt_traffic_t
flt_traffic (const flt_t *f, size_t vm)
{
  return f->vms[vm].traffic;
}

const node_t *
flt_node (const flt_t *f, size_t vm)
{
  return f->vms[vm].node;
}

double
flt_counter (const flt_t *f, size_t vm, const char *name, const char *labels)
{
  return cnt_value (node_env (f->vms[vm].node)->cnt, name, labels);
}
