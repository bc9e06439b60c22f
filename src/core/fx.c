#include "core/fx.h"

#include <talloc.h>

fx_list_t *
fx_setup (void *ctx)
{
  fx_list_t *fx = talloc_zero (ctx, fx_list_t);
  fx->pool = talloc_new (fx);
  return fx;
}

void
fx_shutdown (fx_list_t *fx)
{
  talloc_free (fx);
}

static const char *
_fx_str (fx_list_t *fx, const char *s)
{
  return s == NULL ? NULL : talloc_strdup (fx->pool, s);
}

static http_headers_t
_fx_headers (fx_list_t *fx, http_headers_t h)
{
  if (h.n == 0)
    return (http_headers_t){ 0 };
  http_header_t *v = talloc_array (fx->pool, http_header_t, h.n);
  for (size_t i = 0; i < h.n; i++)
    v[i] = (http_header_t){ .name = _fx_str (fx, h.v[i].name),
                            .value = _fx_str (fx, h.v[i].value) };
  return (http_headers_t){ .v = v, .n = h.n };
}

static void
_fx_copy_upstream (fx_list_t *fx, fx_upstream_t *u)
{
  u->address = _fx_str (fx, u->address);
  u->method = _fx_str (fx, u->method);
  u->path = _fx_str (fx, u->path);
  u->headers = _fx_headers (fx, u->headers);
  u->body = buf_copy (fx->pool, u->body);
  u->upstream = _fx_str (fx, u->upstream);
  u->tunnel = _fx_str (fx, u->tunnel);
  u->host = _fx_str (fx, u->host);
  u->customer = _fx_str (fx, u->customer);
  u->resume_after = _fx_str (fx, u->resume_after);
}

static void
_fx_copy_results (fx_list_t *fx, fx_job_results_t *r)
{
  fx_job_result_t *v = talloc_array (fx->pool, fx_job_result_t, r->count + 1);
  for (size_t i = 0; i < r->count; i++)
    v[i] = (fx_job_result_t){ .id = _fx_str (fx, r->v[i].id),
                              .completed = r->v[i].completed,
                              .text = buf_copy (fx->pool, r->v[i].text) };
  r->v = v;
}

static void
_fx_copy_peer (fx_list_t *fx, fx_peer_t *p)
{
  p->vm = _fx_str (fx, p->vm);
  p->address = _fx_str (fx, p->address);
  p->msg.body = buf_copy (fx->pool, p->msg.body);
}

void
fx_push (fx_list_t *fx, const fx_t *f)
{
  if (fx->count == fx->capacity)
    {
      fx->capacity = fx->capacity == 0 ? 16 : 2 * fx->capacity;
      fx->v = talloc_realloc (fx, fx->v, fx_t, fx->capacity);
    }
  fx_t *copy = &fx->v[fx->count++];
  *copy = *f;
  switch (f->kind)
    {
    case FX_REPLY_HEAD:
      copy->reply.headers = _fx_headers (fx, f->reply.headers);
      break;
    case FX_REPLY_DATA:
      copy->reply.data = buf_copy (fx->pool, f->reply.data);
      break;
    case FX_REPLY_JOB_RESULTS:
      _fx_copy_results (fx, &copy->results);
      break;
    case FX_DOCUMENT_DECODE:
      copy->document = buf_copy (fx->pool, f->document);
      break;
    case FX_UPSTREAM_CALL:
      _fx_copy_upstream (fx, &copy->upstream);
      break;
    case FX_PLATFORM:
      copy->platform.name = _fx_str (fx, f->platform.name);
      copy->platform.after = _fx_str (fx, f->platform.after);
      copy->platform.value = buf_copy (fx->pool, f->platform.value);
      break;
    case FX_PEER_SEND:
    case FX_PEER_LINK:
    case FX_PEER_UNLINK:
      _fx_copy_peer (fx, &copy->peer);
      break;
    case FX_TIMER:
    case FX_REPLY_END:
    case FX_REPLY_ABORT:
    case FX_UPSTREAM_CANCEL:
    case FX_EXIT:
    case FX_NUM:
      break;
    }
}

void
fx_clear (fx_list_t *fx)
{
  fx->count = 0;
  talloc_free_children (fx->pool);
}

void
fx_peer_send (fx_list_t *fx, const char *vm, uint16_t kind, buf_t body)
{
  fx_push (fx, &(fx_t){ .kind = FX_PEER_SEND,
                        .peer = { .vm = vm,
                                  .msg = { .kind = kind, .body = body } } });
}
