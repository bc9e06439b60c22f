#include "core/onl.h"

#include "core/inv.h"
#include "core/onl_int.h"

#include <string.h>
#include <talloc.h>

/** Defaults of onl_desc_t, in milliseconds. */
#define ONL_QUEUE_MS_DEFAULT (2 * CLK_SECOND)
#define ONL_LEAVE_MS_DEFAULT (2 * CLK_SECOND)
/** Most requests in progress. */
#define ONL_REQUESTS_MAX 20000

/** Actions of charts/request.ini. */
typedef enum
{
  _ONL_DO_RECORD,
  _ONL_DO_LOOK,
  _ONL_DO_BIND,
  _ONL_DO_QUEUE,
  _ONL_DO_SEND,
  _ONL_DO_CLOSE,
  _ONL_DO_NUM
} _onl_action_t;

/* -- set up --------------------------------------------------------------- */

static cht_t *
_onl_chart (void *ctx)
{
  static const char *const states[ONL_STATE_NUM]
      = { "admitting", "looking", "recording", "binding",
          "queued",    "sent",    "answering", "ended" };
  static const char *const events[ONL_EV_NUM]
      = { "admitted", "limited", "granted", "bound",
          "picked",   "head",    "retry",   "end" };
  static const char *const guards[] = { "needs-record", "takes-up" };
  static const char *const actions[_ONL_DO_NUM]
      = { "record", "look", "bind", "queue", "send", "close" };
  st_t st = { 0 };
  cht_t *c = cht_setup (
      ctx,
      &(cht_desc_t){ .text = cht_text ("request"),
                     .states = states,
                     .state_count = ONL_STATE_NUM,
                     .events = events,
                     .event_count = ONL_EV_NUM,
                     .guards = guards,
                     .guard_count = sizeof guards / sizeof guards[0],
                     .actions = actions,
                     .action_count = _ONL_DO_NUM },
      &st);
  INV_CHECK (c != NULL, "chart-is-good", "request: %s", st.message);
  return c;
}

static int
_onl_destroy (onl_t *o)
{
  for (tbl_id_t id = tbl_next (o->requests, (tbl_id_t){ 0 }); id.id != 0;
       id = tbl_next (o->requests, id))
    {
      const onl_request_t *r = tbl_get (o->requests, id);
      if (r->response.buffered != NULL)
        g_byte_array_free (r->response.buffered, TRUE);
      sse_clear (&((onl_request_t *)tbl_get (o->requests, id))->events);
    }
  onl_list_clear (&o->list);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, o->deployments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_queue_free_full (((onl_deployment_t *)value)->held, g_free);
  g_hash_table_destroy (o->by_caller);
  g_hash_table_destroy (o->deployments);
  return 0;
}

onl_t *
onl_setup (void *ctx, const onl_desc_t *desc)
{
  onl_t *o = talloc_zero (ctx, onl_t);
  o->desc = *desc;
  if (o->desc.queue_ms == 0)
    o->desc.queue_ms = ONL_QUEUE_MS_DEFAULT;
  if (o->desc.leave_ms == 0)
    o->desc.leave_ms = ONL_LEAVE_MS_DEFAULT;
  o->chart = _onl_chart (o);
  o->requests = tbl_setup (o, &(tbl_desc_t){ .size = sizeof (onl_request_t),
                                             .max = ONL_REQUESTS_MAX });
  o->by_caller
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  o->deployments = g_hash_table_new (g_str_hash, g_str_equal);
  o->leaving_since = CLK_NEVER;
  onl_list_setup (&o->list);
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
}

uint32_t
onl_count (const onl_t *o)
{
  return tbl_count (o->requests);
}

onl_request_t *
onl_request_get (const onl_t *o, uint64_t handle)
{
  return tbl_get (o->requests, (tbl_id_t){ .id = handle });
}

/* -- state machine -------------------------------------------------------- */

static void
_onl_close (onl_t *o, env_t *env, onl_request_t *r)
{
  INV_CHECK (r->record == 0, "record-has-outcome", "request %s",
             r->request_id);
  if (r->caller != 0)
    g_hash_table_remove (o->by_caller, &r->caller);
  if (o->desc.crashes != NULL)
    crs_drop (o->desc.crashes, env, MOD_ONLINE, r->id.id);
  if (r->response.buffered != NULL)
    g_byte_array_free (r->response.buffered, TRUE);
  r->response.buffered = NULL;
  sse_clear (&r->events);
  talloc_free (r->pool);
  tbl_free (o->requests, r->id);
}

static void
_onl_action_run (onl_t *o, env_t *env, onl_request_t *r, _onl_action_t action)
{
  switch (action)
    {
    case _ONL_DO_RECORD:
      onl_record_begin (o, env, r);
      break;
    case _ONL_DO_LOOK:
      onl_record_look_up (o, env, r);
      break;
    case _ONL_DO_BIND:
      onl_bind (o, env, r);
      break;
    case _ONL_DO_QUEUE:
      onl_queue (o, env, r);
      break;
    case _ONL_DO_SEND:
      onl_send (o, env, r);
      break;
    case _ONL_DO_CLOSE:
      _onl_close (o, env, r);
      break;
    case _ONL_DO_NUM:
      break;
    }
}

void
onl_fire (onl_t *o, env_t *env, onl_request_t *r, onl_event_t event)
{
  uint32_t guards = (r->recorded ? 1U : 0U) | (r->takes_up ? 2U : 0U);
  cht_step_t step = cht_fire (o->chart, (int)r->state, (int)event, guards);
  r->state = (onl_state_t)step.next;
  /* An action may free R, so a transition has at most one. */
  if (step.action_count > 0)
    _onl_action_run (o, env, r, (_onl_action_t)step.actions[0]);
}

/* -- end of a request ----------------------------------------------------- */

/** Take the request out of its queue, or cancel its upstream call. */
static void
_onl_attempt_cancel (onl_t *o, env_t *env, onl_request_t *r, rte_fail_t fail)
{
  if (r->state == ONL_QUEUED)
    (void)fqu_remove (r->deployment->queue, r->id.id);
  if (r->call == 0)
    return;
  upc_cancel (env, r->call);
  r->call = 0;
  r->may_have_run = true;
  rte_failed (o->desc.routes, env, r->pick.handle, fail);
}

void
onl_record_close (onl_t *o, env_t *env, onl_request_t *r)
{
  if (r->record == 0)
    return;
  if (r->may_have_run)
    idm_unknown (o->desc.records, env, r->record);
  else
    idm_not_run (o->desc.records, env, r->record);
  r->record = 0;
}

void
onl_refuse (onl_t *o, env_t *env, onl_request_t *r, const rpl_error_t *e)
{
  if (r->delivered)
    {
      onl_abort (o, env, r, e->message);
      return;
    }
  rpl_error_t error = *e;
  char labels[64];
  error.run = r->may_have_run ? RPL_UNKNOWN : RPL_NOT_RUN;
  /* Without a record, callers take 429 and 503 as a promise that the request
   * did not run. */
  if (r->may_have_run && !r->recorded
      && (error.status == 429 || error.status == 503))
    error.status = 502;
  g_snprintf (labels, sizeof labels, "code=\"%s\"", e->code);
  cnt_add (env->cnt, "rts_online_refused_total", labels, 1);
  tln_record (env->tln, env->now, MOD_ONLINE, "refused",
              "request=%s code=%s run=%s", r->request_id, e->code,
              rpl_run_name (error.run));
  if (r->caller != 0)
    rpl_error (env, r->caller, &error);
  onl_record_close (o, env, r);
  onl_fire (o, env, r, ONL_EV_END);
}

void
onl_caller_gone (onl_t *o, env_t *env, uint64_t caller)
{
  const uint64_t *found = g_hash_table_lookup (o->by_caller, &caller);
  if (found == NULL)
    return;
  onl_request_t *r = onl_request_get (o, *found);
  g_hash_table_remove (o->by_caller, &caller);
  r->caller = 0;
  cnt_add (env->cnt, "rts_online_caller_gone_total", "", 1);
  /* The call continues, because the record needs its outcome. */
  if (r->record != 0 && r->call != 0)
    return;
  _onl_attempt_cancel (o, env, r, RTE_FAIL_CANCELLED);
  onl_record_close (o, env, r);
  onl_fire (o, env, r, ONL_EV_END);
  onl_pump (o, env);
}

/** End a request for a reason that does not come from the upstream: its
 * deadline or a withdrawn key. */
static void
_onl_cancel_and_refuse (onl_t *o, env_t *env, onl_request_t *r,
                        rte_fail_t fail, const rpl_error_t *e)
{
  _onl_attempt_cancel (o, env, r, fail);
  onl_refuse (o, env, r, e);
}

static void
_onl_deadline (onl_t *o, env_t *env, onl_request_t *r)
{
  /* A response that is being delivered may pass the deadline, unless the
   * route is strict; the stall timeout bounds it. */
  if ((r->delivered && !r->strict_time) || env->now < r->deadline)
    return;
  _onl_cancel_and_refuse (
      o, env, r, r->state == ONL_SENT ? RTE_FAIL_TIMEOUT : RTE_FAIL_CANCELLED,
      &(rpl_error_t){ .status = 504,
                      .code = "deadline",
                      .message = "no answer within the deadline",
                      .retry_after_ms = CLK_SECOND });
}

/** Send the caller error E as the response and let the upstream call continue,
 * because the request's record needs its outcome. */
static void
_onl_detach (onl_t *o, env_t *env, onl_request_t *r, const rpl_error_t *e)
{
  rpl_error_t error = *e;
  error.run = RPL_UNKNOWN;
  if (r->caller == 0)
    return;
  if (r->delivered)
    fx_push (env->fx, &(fx_t){ .kind = FX_REPLY_ABORT,
                               .reply = { .caller = r->caller } });
  else
    rpl_error (env, r->caller, &error);
  g_hash_table_remove (o->by_caller, &r->caller);
  r->caller = 0;
}

static void
_onl_key_withdrawn (onl_t *o, env_t *env, const char *key)
{
  static const rpl_error_t withdrawn = { .status = 401,
                                         .code = "key-withdrawn",
                                         .message = "the key was withdrawn" };
  tbl_id_t id = tbl_next (o->requests, (tbl_id_t){ 0 });
  while (id.id != 0)
    {
      onl_request_t *r = tbl_get (o->requests, id);
      bool matches = r->key[0] != '\0' && strcmp (r->key, key) == 0;
      if (matches && r->record != 0 && r->call != 0)
        _onl_detach (o, env, r, &withdrawn);
      else if (matches)
        _onl_cancel_and_refuse (o, env, r, RTE_FAIL_CANCELLED, &withdrawn);
      id = tbl_next (o->requests, id);
    }
}

/* -- events of the node --------------------------------------------------- */

void
onl_timer_fired (onl_t *o, env_t *env, uint64_t tag)
{
  if (tag == ONL_QUEUE_TIMER_TAG)
    o->queue_timer_armed = false;
  if (tag == ONL_LEAVE_TIMER_TAG)
    lim_leave (o->desc.limits, env);
  onl_request_t *r
      = tag < ONL_LEAVE_TIMER_TAG ? onl_request_get (o, tag) : NULL;
  if (r != NULL)
    _onl_deadline (o, env, r);
  onl_pump (o, env);
}

void
onl_pump (onl_t *o, env_t *env)
{
  lim_result_t limit;
  while (lim_result_pop (o->desc.limits, &limit))
    {
      onl_request_t *r = onl_request_get (o, limit.tag);
      if (r == NULL || r->state != ONL_ADMITTING)
        continue;
      if (limit.verdict == LIM_ADMITTED)
        onl_admitted (o, env, r);
      else
        onl_limit_refused (o, env, r, limit.retry_after);
    }
  idm_result_t record;
  while (idm_result_pop (o->desc.records, &record))
    onl_record_verdict (o, env, &record);
  onl_binds_finish (o, env);
  const char *key;
  while (key_withdrawn_pop (o->desc.keys, &key))
    _onl_key_withdrawn (o, env, key);
  onl_dispatch (o, env);
}

void
onl_leave (onl_t *o, env_t *env)
{
  if (o->leaving_since != CLK_NEVER)
    return;
  o->leaving_since = env->now;
  /* Requests are admitted until the timer fires, so the limits are handed
   * over only then. */
  tmr_arm (env->tmr, env->now + o->desc.leave_ms, MOD_ONLINE,
           ONL_LEAVE_TIMER_TAG);
}

bool
onl_left (const onl_t *o, const env_t *env)
{
  return o->leaving_since != CLK_NEVER
         && env->now >= o->leaving_since + o->desc.leave_ms
         && onl_count (o) == 0 && idm_pending_outcomes (o->desc.records) == 0;
}
