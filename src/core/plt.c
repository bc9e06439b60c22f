#include "core/plt.h"

#include "core/env.h"
#include "core/tbl.h"

#include <talloc.h>

#define PLT_CALLS_PER_SECOND_DEFAULT 20.0
#define PLT_BURST_DEFAULT 200.0
#define PLT_RESERVE_SHARE_DEFAULT 0.25
#define PLT_BREAKER_ERRORS_DEFAULT 5
#define PLT_BREAKER_MS_DEFAULT (1 * CLK_SECOND)
#define PLT_TIMEOUT_MS (2 * CLK_SECOND)
#define PLT_WATCH_TIMEOUT_MS (30 * CLK_SECOND)

struct plt
{
  plt_desc_t desc;
  tbl_t *calls; /**< of plt_done_t */
  double tokens;
  clk_ms_t filled_at;
  uint64_t stale;  /**< replies with ST_STALE */
  unsigned errors; /**< in a row */
  clk_ms_t open_until;
  plt_done_t *refused;
  size_t refused_count;
};

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
  p->calls = tbl_setup (p, &(tbl_desc_t){ .size = sizeof (plt_done_t) });
  return p;
}

void
plt_shutdown (plt_t *p)
{
  talloc_free (p);
}

static bool
_plt_take_token (plt_t *p, clk_ms_t now, bool spare)
{
  double gained
      = (double)(now - p->filled_at) * p->desc.calls_per_second / CLK_SECOND;
  p->tokens = p->tokens + gained;
  if (p->tokens > p->desc.burst)
    p->tokens = p->desc.burst;
  p->filled_at = now;
  if (p->tokens < (spare ? p->desc.reserve + 1 : 1))
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

void
plt_call (env_t *env, const plt_req_t *req)
{
  plt_t *p = env->plt;
  plt_done_t done = { .mod = req->mod, .tag = req->tag, .op = req->op };
  if (env->now < p->open_until || !_plt_take_token (p, env->now, req->spare))
    {
      cnt_add (env->cnt, "rts_platform_refused_total", "", 1);
      _plt_refuse (p, &done);
      return;
    }
  tbl_id_t id = tbl_alloc (p->calls);
  *(plt_done_t *)tbl_get (p->calls, id) = done;
  clk_ms_t timeout = req->timeout_ms;
  if (timeout == 0)
    timeout = req->revision != 0 ? PLT_WATCH_TIMEOUT_MS : PLT_TIMEOUT_MS;
  cnt_add (env->cnt, "rts_platform_calls_total", "", 1);
  fx_push (env->fx, &(fx_t){ .kind = FX_PLATFORM,
                             .platform = { .call = id.id,
                                           .op = req->op,
                                           .name = req->name,
                                           .if_version = req->if_version,
                                           .revision = req->revision,
                                           .after = req->after,
                                           .lagging = req->lagging,
                                           .value = req->value,
                                           .timeout_ms = timeout } });
}

static void
_plt_note_outcome (env_t *env, st_code_t code)
{
  plt_t *p = env->plt;
  p->stale += code == ST_STALE;
  if (code != ST_UNAVAILABLE && code != ST_UNKNOWN)
    {
      p->errors = 0;
      p->open_until = 0;
      return;
    }
  p->errors++;
  cnt_add (env->cnt, "rts_platform_errors_total", "", 1);
  if (p->errors >= p->desc.breaker_errors)
    p->open_until = env->now + env_jitter (env, p->desc.breaker_ms);
}

bool
plt_reply (env_t *env, const ev_platform_t *reply, plt_done_t *done)
{
  plt_t *p = env->plt;
  tbl_id_t id = { .id = reply->call };
  const plt_done_t *call = tbl_get (p->calls, id);
  if (call == NULL)
    return false;
  *done = *call;
  tbl_free (p->calls, id);
  _plt_note_outcome (env, reply->code);
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
  return p->stale;
}

bool
plt_available (const plt_t *p)
{
  return p->errors == 0;
}
