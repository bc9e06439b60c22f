/** @file
 * Admission of an online request: checks its API key, route, customer's rate
 * and idempotency record, in this order.
 */
#include "core/inv.h"
#include "core/onl_int.h"

#include <string.h>
#include <talloc.h>

/** Largest body that is searched for a prompt, in bytes. */
#define ONL_PROMPT_MAX ((size_t)1 << 20)

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
static const rpl_error_t leaving
    = { .status = 503,
        .code = "leaving",
        .message = "this VM is leaving; ask again",
        .retry_after_ms = RPL_RETRY_ELSEWHERE_MS };
static const rpl_error_t no_idempotency_key
    = { .status = 400,
        .code = "idempotency-key-required",
        .message = "this route needs an Idempotency-Key header of 1 to 128 "
                   "printable characters, new for each request and the same "
                   "when a request is sent again" };
static const rpl_error_t too_many
    = { .status = 503,
        .code = "overloaded",
        .message = "too many requests in progress",
        .retry_after_ms = 1 * CLK_SECOND };

/** Route and keys of a request that has no handle yet. */
typedef struct
{
  const cfg_route_t *route;
  const cfg_key_t *key;        /**< NULL on open routes */
  const char *idempotency_key; /**< NULL on idempotent routes */
} _onl_lookup_t;

/** Check the request and fill in LOOKUP.  Returns the refusal, or NULL. */
static const rpl_error_t *
_onl_check (const onl_t *o, env_t *env, const ev_request_t *req,
            const char *presented, _onl_lookup_t *lookup)
{
  if (o->doc == NULL)
    return &no_config;
  lookup->route = cfg_route_find_by_host (o->doc, req->meta.host, req->method,
                                          req->path);
  if (o->leaving_since != CLK_NEVER
      && env->now >= o->leaving_since + o->desc.leave_ms)
    return &leaving;
  if (lookup->route == NULL || !lookup->route->open)
    {
      /* Callers without a known key get the same error whether or not the
       * route exists. */
      if (presented != NULL)
        lookup->key = key_check (o->desc.keys, env, o->doc, presented);
      if (lookup->key == NULL)
        return &no_key;
    }
  if (lookup->route == NULL)
    return &no_route;
  if (lookup->route->idempotent || lookup->route->unrecorded)
    return NULL;
  lookup->idempotency_key = http_header_find (req->headers, "Idempotency-Key");
  if (lookup->idempotency_key == NULL
      || !idm_key_valid (lookup->idempotency_key))
    return &no_idempotency_key;
  return NULL;
}

onl_deployment_t *
onl_deployment (onl_t *o, const char *name)
{
  onl_deployment_t *d = g_hash_table_lookup (o->deployments, name);
  if (d != NULL)
    return d;
  d = talloc_zero (o, onl_deployment_t);
  d->name = talloc_strdup (d, name);
  d->queue = fqu_setup (d, &(fqu_desc_t){ 0 });
  d->held = g_queue_new ();
  g_hash_table_insert (o->deployments, d->name, d);
  return d;
}

/** The caller's id for the request, or a new one. */
static char *
_onl_request_id (onl_t *o, const env_t *env, void *ctx,
                 const ev_request_t *req)
{
  if (req->meta.id != NULL)
    return talloc_strdup (ctx, req->meta.id);
  return talloc_asprintf (ctx, "%s-%llx-%llu", env->vm,
                          (unsigned long long)env->incarnation,
                          (unsigned long long)++o->sequence);
}

/** Path and query of the request, without the API key. */
static char *
_onl_target (void *ctx, const ev_request_t *req, const char *presented)
{
  if (req->target != NULL && !key_in_query (req->query))
    return talloc_strdup (ctx, req->target);
  void *tmp = talloc_new (NULL);
  const char *query = key_strip_query (tmp, req->query, presented);
  char *target = talloc_asprintf (ctx, "%s%s%s", req->path,
                                  query[0] != '\0' ? "?" : "", query);
  talloc_free (tmp);
  return target;
}

/** Set the fields of R, with copies of the parts of REQ that are needed after
 * this event. */
static void
_onl_request_fill (onl_t *o, env_t *env, onl_request_t *r,
                   const ev_request_t *req, const char *presented,
                   const _onl_lookup_t *lookup)
{
  void *pool = talloc_new (o);
  const char *customer = lookup->key != NULL ? lookup->key->customer : "";
  const cfg_customer_t *c = cfg_customer_find (o->doc, customer);
  const cfg_route_t *route = lookup->route;
  const cfg_deployment_t *d = cfg_deployment_find (
      o->doc, cfg_route_deployment_pick (route, g_rand_double (env->rand)));
  INV_CHECK (d != NULL, "route-has-deployment", "%s",
             lookup->route->deployment);
  r->pool = pool;
  r->state = (onl_state_t)cht_initial (o->chart);
  r->caller = req->caller;
  r->request_id = _onl_request_id (o, env, pool, req);
  r->key = talloc_strdup (pool, lookup->key != NULL ? lookup->key->name : "");
  r->customer = talloc_strdup (pool, customer);
  r->weight = c != NULL ? c->weight : 1;
  r->deployment = onl_deployment (o, d->name);
  r->engine = d->kind == CFG_ENGINE;
  r->idempotent = route->idempotent;
  r->recorded = !route->idempotent && !route->unrecorded;
  r->has_end_marker = r->engine && d->stream == CFG_STREAM_MARKED;
  r->resumable = route->resumable;
  r->strict_time = route->strict_time;
  r->runs_max = route->attempts > 0 ? route->attempts : ONL_RUNS_MAX_DEFAULT;
  r->host
      = req->meta.host != NULL ? talloc_strdup (pool, req->meta.host) : NULL;
  r->resume_after = req->meta.resume_after != NULL
                        ? talloc_strdup (pool, req->meta.resume_after)
                        : NULL;
  r->resumes = req->meta.resumes != NULL
                   ? talloc_strdup (pool, req->meta.resumes)
                   : NULL;
  onl_take_up_fill (o, r, route);
  r->method = talloc_strdup (pool, req->method);
  r->target = _onl_target (pool, req, presented);
  r->headers = onl_request_headers (
      pool, key_strip_headers (pool, req->headers, presented), r->request_id);
  r->body = buf_copy (pool, req->body);
  r->arrived = env->now;
  r->deadline = env->now + route->deadline_ms;
  if (req->meta.wait_ms > 0)
    r->deadline = clk_min (r->deadline, env->now + req->meta.wait_ms);
  r->target_ms = route->target_ms;
  r->prefix = req->meta.prefix;
  onl_crash_fill (r, req);
  r->stream = req->meta.tokens_out > 0;
  if (r->prefix == 0 && r->engine && req->body.n > 0
      && req->body.n <= ONL_PROMPT_MAX)
    r->prefix = onl_prompt_prefix (req->body, &r->stream);
  if (lookup->idempotency_key != NULL)
    {
      r->idempotency_key = talloc_strdup (pool, lookup->idempotency_key);
      /* Until the record is read, an earlier request with the same key may
       * have run. */
      r->may_have_run = true;
      r->fingerprint = idm_fingerprint (r->method, r->target, r->body);
    }
}

/** Request admission by the customer's rate limit.  Open routes and customers
 * without a limit skip this step. */
static void
_onl_admit (onl_t *o, env_t *env, onl_request_t *r)
{
  clk_ms_t retry_after = 0;
  const cfg_customer_t *c = cfg_customer_find (o->doc, r->customer);
  if (r->customer[0] == '\0' || (c != NULL && c->unlimited))
    {
      onl_admitted (o, env, r);
      return;
    }
  switch (lim_admit (o->desc.limits, env, o->desc.members, r->customer,
                     r->id.id, &retry_after))
    {
    case LIM_ADMITTED:
      onl_admitted (o, env, r);
      break;
    case LIM_REFUSED:
      onl_limit_refused (o, env, r, retry_after);
      break;
    case LIM_PENDING:
      break;
    }
}

/** Whether an earlier request with the same idempotency key may have run, as
 * long as no record has been read. */
static bool
_onl_may_have_run_before (const ev_request_t *req, const _onl_lookup_t *lookup)
{
  const char *key = http_header_find (req->headers, "Idempotency-Key");
  return key != NULL
         && (lookup->route == NULL
             || (!lookup->route->idempotent && !lookup->route->unrecorded));
}

void
onl_request (onl_t *o, env_t *env, const ev_request_t *req)
{
  void *tmp = talloc_new (NULL);
  const char *presented = key_extract (tmp, req->headers, req->query);
  _onl_lookup_t lookup = { 0 };
  const rpl_error_t *refusal = _onl_check (o, env, req, presented, &lookup);
  tbl_id_t id = { 0 };
  if (refusal == NULL)
    id = tbl_alloc (o->requests);
  if (refusal == NULL && id.id == 0)
    refusal = &too_many;
  if (refusal != NULL)
    {
      char labels[64];
      g_snprintf (labels, sizeof labels, "code=\"%s\"", refusal->code);
      cnt_add (env->cnt, "rts_online_refused_total", labels, 1);
      tln_record (env->tln, env->now, MOD_ONLINE, "refused",
                  "request=%s code=%s at=admission",
                  req->meta.id != NULL ? req->meta.id : "", refusal->code);
      rpl_error_t error = *refusal;
      if (_onl_may_have_run_before (req, &lookup))
        error.run = RPL_UNKNOWN;
      rpl_error (env, req->caller, &error);
      talloc_free (tmp);
      return;
    }
  onl_request_t *r = tbl_get (o->requests, id);
  r->id = id;
  _onl_request_fill (o, env, r, req, presented, &lookup);
  talloc_free (tmp);
  g_hash_table_insert (o->by_caller, g_memdup2 (&r->caller, 8),
                       g_memdup2 (&id.id, 8));
  cnt_add (env->cnt, "rts_online_requests_total", "", 1);
  tmr_arm (env->tmr, r->deadline, MOD_ONLINE, id.id);
  _onl_admit (o, env, r);
  onl_pump (o, env);
}

void
onl_admitted (onl_t *o, env_t *env, onl_request_t *r)
{
  onl_fire (o, env, r, ONL_EV_ADMITTED);
}

static void
_onl_refuse_limited (onl_t *o, env_t *env, onl_request_t *r)
{
  onl_refuse (o, env, r,
              &(rpl_error_t){ .status = 429,
                              .code = "rate-limited",
                              .message = "over the customer's rate",
                              .retry_after_ms = clk_max (r->retry_after, 1) });
}

void
onl_limit_refused (onl_t *o, env_t *env, onl_request_t *r,
                   clk_ms_t retry_after)
{
  r->retry_after = retry_after;
  if (r->idempotency_key == NULL)
    _onl_refuse_limited (o, env, r);
  else
    onl_fire (o, env, r, ONL_EV_LIMITED);
}

void
onl_record_look_up (onl_t *o, env_t *env, onl_request_t *r)
{
  /* The refusal may say "not-run" only if no earlier request with the same
   * idempotency key ran either. */
  st_code_t code = idm_lookup (o->desc.records, env,
                               &(idm_request_t){ .customer = r->customer,
                                                 .key = r->idempotency_key,
                                                 .fingerprint = r->fingerprint,
                                                 .tag = r->id.id });
  if (code != ST_OK)
    _onl_refuse_limited (o, env, r);
}

void
onl_record_begin (onl_t *o, env_t *env, onl_request_t *r)
{
  st_code_t code = idm_begin (o->desc.records, env,
                              &(idm_request_t){ .customer = r->customer,
                                                .key = r->idempotency_key,
                                                .fingerprint = r->fingerprint,
                                                .deadline = r->deadline,
                                                .tag = r->id.id });
  if (code != ST_OK)
    onl_refuse (o, env, r, &too_many);
}

/** Give the caller the recorded response and end the request. */
static void
_onl_replay (onl_t *o, env_t *env, onl_request_t *r,
             const idm_result_t *result)
{
  http_header_t headers[] = {
    { .name = "Content-Type",
      .value = result->type ? result->type : "application/octet-stream" },
    { .name = UPC_ID_HEADER, .value = r->request_id },
    { .name = "Idempotent-Replay", .value = "true" },
  };
  cnt_add (env->cnt, "rts_online_replayed_total", "", 1);
  if (r->caller != 0)
    {
      fx_push (env->fx,
               &(fx_t){ .kind = FX_REPLY_HEAD,
                        .reply = { .caller = r->caller,
                                   .status = result->status,
                                   .headers = { .v = headers, .n = 3 } } });
      fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_DATA,
                                 .reply = { .caller = r->caller,
                                            .data = result->body } });
      fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_END,
                                 .reply = { .caller = r->caller } });
    }
  onl_fire (o, env, r, ONL_EV_END);
}

/** The refusal for a verdict other than IDM_RUN and IDM_REPLAY. */
static rpl_error_t
_onl_record_refusal (idm_verdict_t verdict)
{
  switch (verdict)
    {
    case IDM_TOO_LARGE:
      return (rpl_error_t){ .status = 409,
                            .code = "answer-not-kept",
                            .message = "it ran before; its answer was too "
                                       "large to be kept",
                            .run = RPL_UNKNOWN };
    case IDM_REUSED:
      return (rpl_error_t){ .status = 422,
                            .code = "idempotency-key-reused",
                            .message = "this Idempotency-Key was used for "
                                       "another request" };
    case IDM_REFUSED:
      return (rpl_error_t){ .status = 503,
                            .code = "no-record",
                            .message = "no record can be made or read now; "
                                       "this request does not run, an "
                                       "earlier one with its key may have",
                            .run = RPL_UNKNOWN,
                            .retry_after_ms = CLK_SECOND };
    default:
      return (rpl_error_t){ .status = 409,
                            .code = "outcome-unknown",
                            .message = "it began before and has no outcome "
                                       "yet; it is not run again",
                            .run = RPL_UNKNOWN,
                            .retry_after_ms = CLK_SECOND };
    }
}

void
onl_record_verdict (onl_t *o, env_t *env, const idm_result_t *result)
{
  onl_request_t *r = onl_request_get (o, result->tag);
  if (r != NULL && r->state == ONL_LOOKING
      && (result->verdict == IDM_ABSENT || result->verdict == IDM_REFUSED))
    {
      r->may_have_run = result->verdict != IDM_ABSENT;
      _onl_refuse_limited (o, env, r);
      return;
    }
  if (r == NULL || (r->state != ONL_RECORDING && r->state != ONL_LOOKING))
    {
      /* The request ended while its record was made and will not be sent. */
      if (result->verdict == IDM_RUN)
        idm_not_run (o->desc.records, env, result->handle);
      return;
    }
  if (result->verdict == IDM_RUN)
    {
      r->record = result->handle;
      r->may_have_run = false;
      onl_fire (o, env, r, ONL_EV_GRANTED);
      return;
    }
  if (result->verdict == IDM_REPLAY)
    {
      _onl_replay (o, env, r, result);
      return;
    }
  rpl_error_t e = _onl_record_refusal (result->verdict);
  /* Only the verdict tells whether an earlier request with this key may have
   * run. */
  r->may_have_run = e.run == RPL_UNKNOWN;
  onl_refuse (o, env, r, &e);
}
