#include "core/plt.h"

#include "core/env.h"
#include "core/tbl.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define PLT_CALLS_PER_SECOND_DEFAULT 20.0
#define PLT_BURST_DEFAULT 200.0
#define PLT_RESERVE_SHARE_DEFAULT 0.25
#define PLT_BREAKER_ERRORS_DEFAULT 5
#define PLT_BREAKER_MS_DEFAULT (1 * CLK_SECOND)
#define PLT_TIMEOUT_MS (2 * CLK_SECOND)
/** With relaying enabled, calls time out sooner and fewer consecutive failures
 * open the breaker, so that calls move to a peer early. */
#define PLT_RELAY_TIMEOUT_MS 600
#define PLT_RELAY_BREAKER_ERRORS 3
#define PLT_WATCH_TIMEOUT_MS (30 * CLK_SECOND)
/** The platform was away if calls this far apart were not served, and none
 * between them. */
#define PLT_AWAY_MS (1 * CLK_SECOND)

/* A call in progress. */
typedef struct
{
  plt_done_t done;
  plt_relay_t relay; /**< name NULL: not for relaying; name and value are
                          owned by the call */
  bool relayed;      /**< the call has been queued for a peer */
  clk_ms_t started_at;
} _plt_call_t;

struct plt
{
  plt_desc_t desc;
  tbl_t *calls;  /**< of _plt_call_t */
  bool relaying; /**< calls may be relayed through peers */
  GQueue relays; /**< of uint64_t: ids of calls to relay */
  double tokens; /**< remaining budget, in calls */
  clk_ms_t refilled_at;
  uint64_t stale_count;     /**< replies with ST_STALE */
  uint64_t recovered_count; /**< answered calls that followed failed ones */
  unsigned errors;          /**< consecutive failures */
  clk_ms_t failing_since;   /**< start of the first call of those failures */
  clk_ms_t away_at;         /**< plt_away_at */
  clk_ms_t breaker_open_until;
  plt_done_t *refused; /**< calls that plt_refused_pop returns */
  size_t refused_count;
};

static int
_plt_destroy (plt_t *p)
{
  g_queue_clear_full (&p->relays, g_free);
  return 0;
}

plt_t *
plt_setup (void *ctx, const plt_desc_t *desc)
{
  plt_t *p = talloc_zero (ctx, plt_t);
  p->desc = *desc;
  if (p->desc.calls_per_second <= 0)
    p->desc.calls_per_second = PLT_CALLS_PER_SECOND_DEFAULT;
  if (p->desc.burst <= 0)
    p->desc.burst = PLT_BURST_DEFAULT;
  if (p->desc.reserve <= 0)
    p->desc.reserve = PLT_RESERVE_SHARE_DEFAULT * p->desc.burst;
  if (p->desc.breaker_errors == 0)
    p->desc.breaker_errors = PLT_BREAKER_ERRORS_DEFAULT;
  if (p->desc.breaker_ms == 0)
    p->desc.breaker_ms = PLT_BREAKER_MS_DEFAULT;
  p->tokens = p->desc.burst;
  p->away_at = CLK_NEVER;
  p->calls = tbl_setup (p, &(tbl_desc_t){ .size = sizeof (_plt_call_t) });
  g_queue_init (&p->relays);
  talloc_set_destructor (p, _plt_destroy);
  return p;
}

void
plt_shutdown (plt_t *p)
{
  talloc_free (p);
}

static bool
_plt_token_take (plt_t *p, clk_ms_t now, bool low_priority)
{
  double refill
      = (double)(now - p->refilled_at) * p->desc.calls_per_second / CLK_SECOND;
  p->tokens = p->tokens + refill;
  if (p->tokens > p->desc.burst)
    p->tokens = p->desc.burst;
  p->refilled_at = now;
  if (p->tokens < (low_priority ? p->desc.reserve + 1 : 1))
    return false;
  p->tokens -= 1;
  return true;
}

static void
_plt_refuse (plt_t *p, const plt_done_t *done)
{
  p->refused
      = talloc_realloc (p, p->refused, plt_done_t, p->refused_count + 1);
  p->refused[p->refused_count++] = *done;
}

/* -- relaying through peers -----------------------------------------------
 */

void
plt_relay_enable (plt_t *p)
{
  p->relaying = true;
  p->desc.breaker_errors = PLT_RELAY_BREAKER_ERRORS;
}

/* Copy the parameters that a peer needs, if the call may be relayed. */
static void
_plt_relay_prepare (plt_t *p, _plt_call_t *call, tbl_id_t id,
                    const plt_req_t *req)
{
  bool single = req->op == FX_PLATFORM_GET || req->op == FX_PLATFORM_PUT
                || req->op == FX_PLATFORM_DELETE;
  if (!p->relaying || !single || req->direct)
    return;
  char *name = talloc_strdup (p, req->name);
  call->relay = (plt_relay_t){ .call = id.id,
                               .op = req->op,
                               .name = name,
                               .if_version = req->if_version,
                               .value = buf_copy (name, req->value),
                               .allow_stale = req->allow_stale };
}

/* Queue the call for a peer; false when the call may not be relayed or has
 * already been queued. */
static bool
_plt_relay_queue (plt_t *p, _plt_call_t *call)
{
  if (call->relay.name == NULL || call->relayed)
    return false;
  call->relayed = true;
  g_queue_push_tail (&p->relays,
                     g_memdup2 (&call->relay.call, sizeof (uint64_t)));
  return true;
}

bool
plt_relay_pop (env_t *env, plt_relay_t *relay)
{
  plt_t *p = env->plt;
  uint64_t *id = g_queue_pop_head (&p->relays);
  if (id == NULL)
    return false;
  const _plt_call_t *call = tbl_get (p->calls, (tbl_id_t){ .id = *id });
  g_free (id);
  *relay = call->relay;
  cnt_add (env->cnt, "rts_platform_relayed_total", "", 1);
  return true;
}

static void
_plt_call_free (plt_t *p, tbl_id_t id)
{
  const _plt_call_t *call = tbl_get (p->calls, id);
  talloc_free ((void *)(uintptr_t)call->relay.name);
  tbl_free (p->calls, id);
}

/* -- calls -----------------------------------------------------------------
 */

static clk_ms_t
_plt_timeout (const plt_t *p, const plt_req_t *req)
{
  if (req->revision != 0)
    return PLT_WATCH_TIMEOUT_MS;
  return p->relaying ? PLT_RELAY_TIMEOUT_MS : PLT_TIMEOUT_MS;
}

static const char *
_plt_op_name (fx_platform_op_t op)
{
  switch (op)
    {
    case FX_PLATFORM_GET:
      return "get";
    case FX_PLATFORM_PUT:
      return "put";
    case FX_PLATFORM_DELETE:
      return "delete";
    case FX_PLATFORM_LIST:
      return "list";
    case FX_PLATFORM_WATCH:
      return "watch";
    case FX_PLATFORM_VMS:
      return "vms";
    case FX_PLATFORM_DOCUMENT:
      return "document";
    case FX_PLATFORM_UPSTREAMS:
      return "upstreams";
    case FX_PLATFORM_EVACUATIONS:
      return "evacuations";
    case FX_PLATFORM_RETIREMENT:
      return "retirement";
    case FX_PLATFORM_RETIRED:
      return "retired";
    }
  return "unlisted";
}

/** Counts the call REQ by what it does, for which module, and on objects of
 * which kind: the part of the name before the slash, which the modules
 * choose. */
static void
_plt_call_count (const env_t *env, const plt_req_t *req)
{
  char labels[128];
  const char *name = req->name == NULL ? "" : req->name;
  const char *slash = strchr (name, '/');
  int kind_size = slash == NULL ? 0 : (int)(slash - name);
  (void)snprintf (labels, sizeof labels,
                  "op=\"%s\",module=\"%s\",kind=\"%.*s\",waits=\"%s\"",
                  _plt_op_name (req->op), mod_name (req->mod), kind_size, name,
                  req->revision != 0 ? "yes" : "no");
  cnt_add (env->cnt, "rts_platform_calls_total", labels, 1);
}

void
plt_call (env_t *env, const plt_req_t *req)
{
  plt_t *p = env->plt;
  plt_done_t done = { .mod = req->mod, .tag = req->tag, .op = req->op };
  bool breaker_open = env->now < p->breaker_open_until && !req->probe;
  tbl_id_t id = tbl_alloc (p->calls);
  _plt_call_t *call = tbl_get (p->calls, id);
  call->done = done;
  call->started_at = env->now;
  _plt_relay_prepare (p, call, id, req);
  if (breaker_open && _plt_relay_queue (p, call))
    return;
  if (breaker_open || !_plt_token_take (p, env->now, req->low_priority))
    {
      cnt_add (env->cnt, "rts_platform_refused_total", "", 1);
      _plt_refuse (p, &done);
      _plt_call_free (p, id);
      return;
    }
  clk_ms_t timeout = req->timeout_ms;
  if (timeout == 0)
    timeout = _plt_timeout (p, req);
  _plt_call_count (env, req);
  fx_push (env->fx, &(fx_t){ .kind = FX_PLATFORM,
                             .platform = { .call = id.id,
                                           .op = req->op,
                                           .name = req->name,
                                           .if_version = req->if_version,
                                           .revision = req->revision,
                                           .after = req->after,
                                           .allow_stale = req->allow_stale,
                                           .value = req->value,
                                           .timeout_ms = timeout } });
}

/** Notes that the call that began at STARTED_AT was not served. */
static void
_plt_failure_note (plt_t *p, clk_ms_t started_at)
{
  if (p->errors == 0)
    p->failing_since = started_at;
  p->errors++;
  p->failing_since = clk_min (p->failing_since, started_at);
  bool later = p->away_at == CLK_NEVER || started_at > p->away_at;
  if (later && started_at - p->failing_since >= PLT_AWAY_MS)
    p->away_at = started_at;
}

static void
_plt_outcome_record (env_t *env, const _plt_call_t *call, st_code_t code)
{
  plt_t *p = env->plt;
  p->stale_count += code == ST_STALE;
  if (code != ST_UNAVAILABLE && code != ST_UNKNOWN)
    {
      p->recovered_count += p->errors > 0;
      p->errors = 0;
      p->breaker_open_until = 0;
      return;
    }
  _plt_failure_note (p, call->started_at);
  cnt_add (env->cnt, "rts_platform_errors_total", "", 1);
  /* A call from before the breaker has opened says nothing of now. */
  if (p->errors >= p->desc.breaker_errors
      && call->started_at >= p->breaker_open_until)
    p->breaker_open_until = env->now + env_jitter (env, p->desc.breaker_ms);
}

bool
plt_reply (env_t *env, const ev_platform_t *reply, plt_done_t *done)
{
  plt_t *p = env->plt;
  tbl_id_t id = { .id = reply->call };
  _plt_call_t *call = tbl_get (p->calls, id);
  if (call == NULL)
    return false;
  if (reply->malformed)
    cnt_add (env->cnt, "rts_platform_malformed_total", "", 1);
  /* The outcome of a relayed call says nothing about this VM's own connection
   * to the platform. */
  if (!call->relayed)
    _plt_outcome_record (env, call, reply->code);
  if (reply->code == ST_UNAVAILABLE && _plt_relay_queue (p, call))
    return false;
  *done = call->done;
  _plt_call_free (p, id);
  return true;
}

bool
plt_refused_pop (env_t *env, plt_done_t *done)
{
  plt_t *p = env->plt;
  if (p->refused_count == 0)
    return false;
  *done = p->refused[0];
  p->refused_count--;
  for (size_t i = 0; i < p->refused_count; i++)
    p->refused[i] = p->refused[i + 1];
  return true;
}

uint64_t
plt_stale_count (const plt_t *p)
{
  return p->stale_count;
}

uint64_t
plt_recovered_count (const plt_t *p)
{
  return p->recovered_count;
}

bool
plt_available (const plt_t *p)
{
  return p->errors == 0;
}

clk_ms_t
plt_away_at (const plt_t *p)
{
  return p->away_at;
}
