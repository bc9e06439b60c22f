#include "core/onl.h"

#include "core/rpl.h"
#include "core/tbl.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define ONL_STALL_MS (10 * CLK_SECOND)

typedef struct
{
  uint64_t caller;
  uint64_t call;
  clk_ms_t deadline;
  clk_ms_t started;
  size_t upstream; /**< index in the document */
  bool idempotent;
  bool headed; /**< the answer's head was passed on */
} _onl_request_t;

struct onl
{
  const cfg_doc_t *doc;
  tbl_t *requests;
  GHashTable *by_caller; /**< caller -> handle */
  uint32_t *in_flight;   /**< per upstream of the document */
  uint64_t sequence;
};

static int
_onl_destroy (onl_t *o)
{
  g_hash_table_destroy (o->by_caller);
  return 0;
}

onl_t *
onl_setup (void *ctx)
{
  onl_t *o = talloc_zero (ctx, onl_t);
  o->requests = tbl_setup (
      o, &(tbl_desc_t){ .size = sizeof (_onl_request_t), .max = 20000 });
  o->by_caller
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  talloc_set_destructor (o, _onl_destroy);
  return o;
}

void
onl_shutdown (onl_t *o)
{
  talloc_free (o);
}

void
onl_config_changed (onl_t *o, env_t *env, const cfg_doc_t *doc)
{
  (void)env;
  o->doc = doc;
  talloc_free (o->in_flight);
  o->in_flight = talloc_zero_array (o, uint32_t, doc->upstream_count);
}

uint32_t
onl_count (const onl_t *o)
{
  return tbl_count (o->requests);
}

/* -- admission ------------------------------------------------------------ */

static const cfg_key_t *
_onl_key (const onl_t *o, const ev_request_t *req)
{
  const char *value = http_header_find (req->headers, "Authorization");
  if (value == NULL || strncmp (value, "Bearer ", 7) != 0)
    return NULL;
  char *hash
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, value + 7, -1);
  const cfg_key_t *key = cfg_key_find (o->doc, hash);
  g_free (hash);
  return key;
}

/* Fill in the refusal for REQ; NULL when it is admitted to *ROUTE. */
static const rpl_error_t *
_onl_refusal (const onl_t *o, const ev_request_t *req,
              const cfg_route_t **route)
{
  static const rpl_error_t no_config
      = { .status = 503,
          .code = "no-configuration",
          .message = "no configuration is in force yet",
          .retry_after_ms = 1 * CLK_SECOND };
  static const rpl_error_t no_route
      = { .status = 404, .code = "no-route", .message = "no such route" };
  static const rpl_error_t no_key
      = { .status = 401,
          .code = "unauthorized",
          .message = "expected 'Authorization: Bearer KEY' with a known key" };
  static const rpl_error_t not_built
      = { .status = 501,
          .code = "not-built",
          .message = "non-idempotent routes are not built yet" };
  if (o->doc == NULL)
    return &no_config;
  *route = cfg_route_find (o->doc, req->method, req->path);
  if (*route == NULL)
    return &no_route;
  if (!(*route)->open && _onl_key (o, req) == NULL)
    return &no_key;
  if (!(*route)->idempotent)
    return &not_built;
  return NULL;
}

/* Least own requests in progress; the own data centre's first. */
static bool
_onl_pick (const onl_t *o, const env_t *env, const char *deployment,
           size_t *upstream)
{
  bool found = false;
  uint64_t best = UINT64_MAX;
  for (size_t i = 0; i < o->doc->upstream_count; i++)
    {
      const cfg_upstream_t *u = &o->doc->upstreams[i];
      if (u->leaving || strcmp (u->deployment, deployment) != 0)
        continue;
      bool away = strcmp (u->data_centre, env->data_centre) != 0;
      uint64_t cost = o->in_flight[i] + (away ? 1U << 16 : 0);
      if (cost >= best)
        continue;
      best = cost;
      *upstream = i;
      found = true;
    }
  return found;
}

static void
_onl_send (onl_t *o, env_t *env, tbl_id_t id, const cfg_route_t *route,
           const ev_request_t *req)
{
  _onl_request_t *r = tbl_get (o->requests, id);
  char request_id[64];
  (void)snprintf (request_id, sizeof request_id, "%s-%llx-%llu", env->vm,
                  (unsigned long long)env->incarnation,
                  (unsigned long long)++o->sequence);
  const char *type = http_header_find (req->headers, "Content-Type");
  http_header_t headers[] = {
    { .name = "X-Request-Id", .value = request_id },
    { .name = "Content-Type", .value = type ? type : "application/json" },
  };
  o->in_flight[r->upstream]++;
  r->call = upc_call (env, MOD_ONLINE, id.id,
                      &(fx_upstream_t){
                          .address = o->doc->upstreams[r->upstream].address,
                          .method = req->method,
                          .path = req->path,
                          .headers = { .v = headers, .n = 2 },
                          .body = req->body,
                          .caller = req->caller,
                          .first_byte_ms = route->deadline_ms,
                          .stall_ms = ONL_STALL_MS,
                      });
}

static void
_onl_close (onl_t *o, tbl_id_t id)
{
  _onl_request_t *r = tbl_get (o->requests, id);
  o->in_flight[r->upstream]--;
  g_hash_table_remove (o->by_caller, &r->caller);
  tbl_free (o->requests, id);
}

void
onl_request (onl_t *o, env_t *env, const ev_request_t *req)
{
  const cfg_route_t *route = NULL;
  const rpl_error_t *refusal = _onl_refusal (o, req, &route);
  static const rpl_error_t no_upstream = { .status = 503,
                                           .code = "no-upstream",
                                           .message = "no upstream takes work",
                                           .retry_after_ms = CLK_SECOND };
  size_t upstream = 0;
  if (refusal == NULL && !_onl_pick (o, env, route->deployment, &upstream))
    refusal = &no_upstream;
  tbl_id_t id = { 0 };
  if (refusal == NULL)
    id = tbl_alloc (o->requests);
  if (refusal == NULL && id.id == 0)
    refusal = &no_upstream;
  if (refusal != NULL)
    {
      cnt_add (env->cnt, "rts_online_refused_total", "", 1);
      rpl_error (env, req->caller, refusal);
      return;
    }
  *(_onl_request_t *)tbl_get (o->requests, id)
      = (_onl_request_t){ .caller = req->caller,
                          .started = env->now,
                          .deadline = env->now + route->deadline_ms,
                          .upstream = upstream,
                          .idempotent = route->idempotent };
  g_hash_table_insert (o->by_caller, g_memdup2 (&req->caller, 8),
                       g_memdup2 (&id.id, 8));
  cnt_add (env->cnt, "rts_online_requests_total", "", 1);
  tmr_arm (env->tmr, env->now + route->deadline_ms, MOD_ONLINE, id.id);
  _onl_send (o, env, id, route, req);
}

/* -- progress ------------------------------------------------------------- */

static void
_onl_fail (onl_t *o, env_t *env, tbl_id_t id, const rpl_error_t *error)
{
  const _onl_request_t *r = tbl_get (o->requests, id);
  tln_record (env->tln, env->now, MOD_ONLINE, "failed", "%s", error->code);
  if (r->headed)
    fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_ABORT,
                               .reply = { .caller = r->caller } });
  else
    rpl_error (env, r->caller, error);
  _onl_close (o, id);
}

static void
_onl_head (env_t *env, _onl_request_t *r, const ev_upstream_t *up)
{
  const char *type = http_header_find (up->headers, "Content-Type");
  http_header_t header = { .name = "Content-Type",
                           .value = type ? type : "application/octet-stream" };
  r->headed = true;
  cnt_observe (env->cnt, "rts_online_first_byte_ms", "",
               (double)(env->now - r->started));
  fx_push (env->fx,
           &(fx_t){ .kind = FX_REPLY_HEAD,
                    .reply = { .caller = r->caller,
                               .status = up->status,
                               .headers = { .v = &header, .n = 1 } } });
}

void
onl_upstream_event (onl_t *o, env_t *env, uint64_t tag, const ev_t *ev)
{
  tbl_id_t id = { .id = tag };
  _onl_request_t *r = tbl_get (o->requests, id);
  if (r == NULL)
    return;
  switch (ev->kind)
    {
    case EV_UPSTREAM_HEAD:
      _onl_head (env, r, &ev->upstream);
      break;
    case EV_UPSTREAM_DATA:
      fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_DATA,
                                 .reply = { .caller = r->caller,
                                            .data = ev->upstream.data } });
      break;
    case EV_UPSTREAM_END:
      fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_END,
                                 .reply = { .caller = r->caller } });
      _onl_close (o, id);
      break;
    case EV_UPSTREAM_FAIL:
      _onl_fail (o, env, id,
                 &(rpl_error_t){ .status = 502,
                                 .code = "upstream-failed",
                                 .message = "the upstream did not answer",
                                 .run = ev->upstream.fail == EV_FAIL_NOT_SENT
                                            ? RPL_NOT_RUN
                                            : RPL_UNKNOWN,
                                 .retry_after_ms = CLK_SECOND });
      break;
    default:
      break;
    }
}

void
onl_caller_gone (onl_t *o, env_t *env, uint64_t caller)
{
  const uint64_t *found = g_hash_table_lookup (o->by_caller, &caller);
  if (found == NULL)
    return;
  tbl_id_t id = { .id = *found };
  const _onl_request_t *r = tbl_get (o->requests, id);
  upc_cancel (env, r->call);
  _onl_close (o, id);
}

void
onl_timer_fired (onl_t *o, env_t *env, uint64_t tag)
{
  tbl_id_t id = { .id = tag };
  const _onl_request_t *r = tbl_get (o->requests, id);
  if (r == NULL || r->headed || env->now < r->deadline)
    return;
  upc_cancel (env, r->call);
  _onl_fail (o, env, id,
             &(rpl_error_t){ .status = 504,
                             .code = "deadline",
                             .message = "no answer within the deadline",
                             .run = RPL_UNKNOWN,
                             .retry_after_ms = CLK_SECOND });
}
