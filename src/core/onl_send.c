/** @file
 * Queues online requests, sends them to upstreams and retries them.
 */
#include "core/inv.h"
#include "core/onl_int.h"

#include <string.h>
#include <talloc.h>

/** A request must leave the queue at least this long before its deadline, in
 * milliseconds, so that the upstream has time for it.  Short deadlines reserve
 * a quarter of their time instead. */
#define ONL_UPSTREAM_RESERVE_MS 500
/** Interval between checks of the queues while they hold requests, in
 * milliseconds. */
#define ONL_QUEUE_TIMER_MS 20
/** Shortest wait for the first byte before an attempt is given up for another
 * one, in milliseconds. */
#define ONL_ATTEMPT_MS_MIN (1 * CLK_SECOND)
/** Longest wait for a stream's first byte, as a multiple of the expected
 * wait. */
#define ONL_FIRST_BYTE_FACTOR 8

/** A new connection may take this part of the request's target time, so that
 * after a failure another upstream can still respond in that time. */
#define ONL_CONNECT_PART 3

/** A request waits this part of its target time for upstreams' limits. */
#define ONL_LIMIT_PART 6
/** Least time between two callers that are to come back, and longest time
 * after which one is. */
#define ONL_LIMIT_GAP_MS_MIN ((clk_ms_t)20)
#define ONL_LIMIT_RETRY_MS_MAX (2 * CLK_SECOND)

/** Arm the timer that checks the queues: a waiting request becomes too late
 * without any event. */
static void
_onl_queue_timer_arm (onl_t *o, env_t *env)
{
  if (o->queue_timer_armed)
    return;
  o->queue_timer_armed = true;
  tmr_arm (env->tmr, env->now + ONL_QUEUE_TIMER_MS, MOD_ONLINE,
           ONL_QUEUE_TIMER_TAG);
}

static void
_onl_refuse_overloaded (onl_t *o, env_t *env, onl_request_t *r,
                        clk_ms_t retry_after)
{
  onl_refuse (o, env, r,
              &(rpl_error_t){ .status = 503,
                              .code = "overloaded",
                              .message = "it would not be served in time",
                              .retry_after_ms = retry_after });
}

void
onl_queue (onl_t *o, env_t *env, onl_request_t *r)
{
  clk_ms_t reserve
      = clk_min ((r->deadline - r->arrived) / 4, ONL_UPSTREAM_RESERVE_MS);
  clk_ms_t retry_after = 0;
  r->leave_by = clk_min (r->deadline - reserve, env->now + o->desc.queue_ms);
  fqu_item_t item = {
    .customer = r->customer,
    .weight = r->weight,
    .leave_by = r->leave_by,
    .tag = r->id.id,
  };
  if (fqu_push (r->deployment->queue, env->now, &item, &retry_after) != ST_OK)
    _onl_refuse_overloaded (o, env, r, retry_after);
}

/** Longest wait for the first byte of this attempt: at most half of the
 * remaining time if another attempt can follow, else all remaining time. */
static clk_ms_t
_onl_first_byte_ms (const onl_request_t *r, const env_t *env)
{
  clk_ms_t left = clk_max (r->deadline - env->now, 1);
  if (!r->idempotent || r->runs >= r->runs_max)
    return left;
  clk_ms_t part = left / 2;
  if (r->stream)
    part = clk_min (part, ONL_FIRST_BYTE_FACTOR * r->pick.wait_ms);
  return clk_min (left, clk_max (part, ONL_ATTEMPT_MS_MIN));
}

void
onl_send (onl_t *o, env_t *env, onl_request_t *r)
{
  r->last_tried = talloc_strdup (r->pool, r->pick.upstream);
  r->tried[r->attempts++] = r->last_tried;
  r->runs++;
  r->sent = env->now;
  r->response = (onl_response_t){ .length = -1 };
  sse_clear (&r->events);
  r->call = upc_call (
      env, MOD_ONLINE, r->id.id,
      &(fx_upstream_t){
          .address = r->pick.address,
          .method = r->method,
          .path = r->target,
          .headers = r->headers,
          .body = r->body,
          .caller = r->caller,
          .connect_ms = r->target_ms / ONL_CONNECT_PART,
          .first_byte_ms = _onl_first_byte_ms (r, env),
          .stall_ms = ONL_STALL_MS,
          .fresh_connection = r->attempts > 1 || !r->idempotent,
          .upstream = r->pick.fixed_identity ? r->pick.upstream : NULL,
          /* Upstreams of the platform do both. */
          .proves_origin = r->pick.fixed_identity,
          .host = r->host,
          .customer = r->customer,
          .resume_after = r->resume_after,
          .deadline_ms = clk_max (r->deadline - env->now, 1),
      });
  if (r->call == 0)
    {
      rte_failed (o->desc.routes, env, r->pick.handle, RTE_FAIL_CANCELLED);
      if (r->record != 0)
        idm_unsent (o->desc.records, r->record);
      _onl_refuse_overloaded (o, env, r, CLK_SECOND);
      return;
    }
  rte_started (o->desc.routes, env, r->pick.handle);
  if (r->attempts == 1)
    rtb_request (&r->deployment->budget, env->now);
  cnt_add (env->cnt, "rts_online_tries_total", "", 1);
}

/** Pick an upstream that was not tried yet.  Returns false when there is none;
 * R->pick.full then says whether the only reason is that all are full. */
static bool
_onl_pick (onl_t *o, env_t *env, onl_request_t *r)
{
  rte_query_t query = { .deployment = r->deployment->name,
                        .version = onl_version_wanted (o, env, r),
                        .prefix = r->prefix,
                        .crash = &r->crash,
                        .avoid = r->tried,
                        .avoid_count = r->attempts,
                        .repeatable = (r->idempotent || r->resumable)
                                      && r->runs + 1 < r->runs_max,
                        .skip_full = true };
  return rte_pick (o->desc.routes, env, &query, &r->pick);
}

/** Until when R waits for a token of upstreams that name limits: a refusal
 * must leave the caller the time to be served elsewhere. */
static clk_ms_t
_onl_limit_patience_end (const onl_request_t *r)
{
  if (r->target_ms == 0 || r->delivered)
    return r->leave_by;
  return clk_min (r->leave_by, r->arrived + r->target_ms / ONL_LIMIT_PART);
}

/** Refuse R, as upstreams' limits leave it no room.  Each caller refused so is
 * told a time of its own, at the pace at which this VM gets tokens. */
static void
_onl_refuse_limited (onl_t *o, env_t *env, onl_request_t *r)
{
  onl_deployment_t *d = r->deployment;
  double per_s = r->pick.limit_per_s;
  clk_ms_t gap = per_s > 0 ? clk_from_double ((double)CLK_SECOND / per_s,
                                              ONL_LIMIT_RETRY_MS_MAX)
                           : 0;
  d->turn_at = clk_max (d->turn_at, env->now + r->pick.limit_wait_ms)
               + env_jitter (env, clk_max (gap, ONL_LIMIT_GAP_MS_MIN));
  d->turn_at = clk_min (d->turn_at,
                        env->now + env_jitter (env, ONL_LIMIT_RETRY_MS_MAX));
  tln_record (env->tln, env->now, MOD_ONLINE, "limited",
              "request=%s deployment=%s age_ms=%lld wait_ms=%lld per_s=%g "
              "retry_ms=%lld",
              r->request_id, d->name, (long long)(env->now - r->arrived),
              (long long)r->pick.limit_wait_ms, per_s,
              (long long)(d->turn_at - env->now));
  onl_refuse (o, env, r,
              &(rpl_error_t){ .status = r->runs > 0 ? 502 : 503,
                              .code = "upstreams-limited",
                              .message = "the upstreams take no more now",
                              .retry_after_ms = d->turn_at - env->now });
}

static void
_onl_refuse_no_upstream (onl_t *o, env_t *env, onl_request_t *r)
{
  if (r->runs == 0 && rte_all_evacuated (o->desc.routes, r->deployment->name))
    {
      onl_refuse (
          o, env, r,
          &(rpl_error_t){ .status = 503,
                          .code = "evacuated",
                          .message = "all data centres are evacuated",
                          .retry_after_ms = env_jitter (env, CLK_SECOND) });
      return;
    }
  onl_refuse (
      o, env, r,
      &(rpl_error_t){ .status = r->runs > 0 ? 502 : 503,
                      .code = r->runs > 0 ? "upstream-failed" : "no-upstream",
                      .message = "no upstream takes work now",
                      .retry_after_ms = CLK_SECOND });
}

/** What became of a request taken from its queue. */
typedef enum
{
  _ONL_GONE, /**< sent or refused */
  _ONL_FULL, /**< upstreams are full, or will soon have room by their limits:
                  it must go back into the queue */
  _ONL_HELD, /**< it waits for something that others do not */
} _onl_dispatched_t;

/** Send a request just taken from its queue, or refuse the request. */
static _onl_dispatched_t
_onl_dispatch_request (onl_t *o, env_t *env, onl_request_t *r)
{
  switch (onl_crash_gate (o, env, r))
    {
    case ONL_GATE_OPEN:
      break;
    case ONL_GATE_WAIT:
      return _ONL_HELD;
    case ONL_GATE_CLOSED:
      return _ONL_GONE;
    }
  if (!_onl_pick (o, env, r))
    {
      bool full = r->pick.full;
      bool limited = r->pick.limited;
      clk_ms_t room_at = env->now + (full ? 0 : r->pick.limit_wait_ms);
      if (limited ? room_at < _onl_limit_patience_end (r) : full)
        return _ONL_FULL;
      if (limited)
        _onl_refuse_limited (o, env, r);
      else
        _onl_refuse_no_upstream (o, env, r);
      return _ONL_GONE;
    }
  if (r->record != 0 && !idm_may_send (o->desc.records, env, r->record))
    {
      rte_failed (o->desc.routes, env, r->pick.handle, RTE_FAIL_CANCELLED);
      onl_refuse (o, env, r,
                  &(rpl_error_t){ .status = 504,
                                  .code = "deadline",
                                  .message = "the deadline passed" });
      return _ONL_GONE;
    }
  onl_fire (o, env, r, ONL_EV_PICKED);
  return _ONL_GONE;
}

/** Keep request TAG, for whose version no upstream has room or which may not
 * be sent yet, outside of the queue of D, where it would hold up the others.
 */
static void
_onl_hold (onl_deployment_t *d, uint64_t tag)
{
  g_queue_push_tail (d->held, g_memdup2 (&tag, sizeof tag));
}

/** Send the requests of D that are held as far as they may be and upstreams
 * have room, and refuse those that have waited too long.  The first one that
 * finds a version full stands for those behind it. */
static void
_onl_held_dispatch (onl_t *o, env_t *env, onl_deployment_t *d)
{
  const char *full = NULL;
  for (guint n = g_queue_get_length (d->held); n > 0; n--)
    {
      uint64_t *held = g_queue_pop_head (d->held);
      uint64_t tag = *held;
      g_free (held);
      onl_request_t *r = onl_request_get (o, tag);
      if (r == NULL || r->state != ONL_QUEUED)
        continue;
      if (env->now >= r->leave_by)
        _onl_refuse_overloaded (o, env, r, CLK_SECOND / 4);
      else if (full != NULL && g_strcmp0 (full, r->version) == 0)
        _onl_hold (d, tag);
      else
        {
          _onl_dispatched_t dispatched = _onl_dispatch_request (o, env, r);
          if (dispatched == _ONL_GONE)
            continue;
          if (dispatched == _ONL_FULL)
            full = r->version;
          _onl_hold (d, tag);
        }
    }
}

/** Send the queued requests of one deployment until its upstreams are full,
 * and refuse those that can no longer be served in time. */
static void
_onl_dispatch_deployment (onl_t *o, env_t *env, onl_deployment_t *d)
{
  uint64_t tag = 0;
  clk_ms_t retry_after = 0;
  _onl_held_dispatch (o, env, d);
  while (fqu_pop (d->queue, env->now, &tag))
    {
      onl_request_t *r = onl_request_get (o, tag);
      INV_CHECK (r != NULL && r->state == ONL_QUEUED,
                 "queued-request-is-waiting", "deployment %s", d->name);
      _onl_dispatched_t dispatched = _onl_dispatch_request (o, env, r);
      if (dispatched == _ONL_GONE)
        continue;
      if (dispatched == _ONL_HELD || onl_version_wanted (o, env, r) != NULL)
        {
          _onl_hold (d, tag);
          continue;
        }
      fqu_unpop (d->queue, tag);
      break;
    }
  while (fqu_late_pop (d->queue, env->now, &tag, &retry_after))
    _onl_refuse_overloaded (o, env, onl_request_get (o, tag), retry_after);
  if (fqu_count (d->queue) > 0 || !g_queue_is_empty (d->held))
    _onl_queue_timer_arm (o, env);
}

void
onl_dispatch (onl_t *o, env_t *env)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, o->deployments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      onl_deployment_t *d = value;
      if (fqu_count (d->queue) > 0 || !g_queue_is_empty (d->held))
        _onl_dispatch_deployment (o, env, d);
    }
}

bool
onl_retry (onl_t *o, env_t *env, onl_request_t *r, bool may_have_run)
{
  if ((r->delivered && !r->resumable) || r->attempts >= ONL_ATTEMPTS_MAX
      || r->runs >= r->runs_max || env->now >= r->deadline)
    return false;
  if (may_have_run && !r->idempotent)
    return false;
  if (may_have_run && !rtb_take (&r->deployment->budget, env->now))
    {
      cnt_add (env->cnt, "rts_online_retries_refused_total", "", 1);
      return false;
    }
  cnt_add (env->cnt, "rts_online_retries_total", "", 1);
  tln_record (env->tln, env->now, MOD_ONLINE, "retry",
              "request=%s after=%s run=%s", r->request_id, r->last_tried,
              may_have_run ? "unknown" : "not-run");
  onl_fire (o, env, r, ONL_EV_RETRY);
  return true;
}
