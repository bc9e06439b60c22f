#include "core/ret.h"

#include <talloc.h>

/** Interval of the polls for a request. */
#define RET_POLL_MS (2 * CLK_SECOND)

struct ret
{
  bool requested; /**< the operator asked to empty this VM */
};

ret_t *
ret_setup (void *ctx)
{
  return talloc_zero (ctx, ret_t);
}

void
ret_shutdown (ret_t *r)
{
  talloc_free (r);
}

void
ret_start (ret_t *r, env_t *env)
{
  (void)r;
  tmr_arm (env->tmr, env->now + env_jitter (env, RET_POLL_MS), MOD_RETIRE, 0);
}

void
ret_timer_fired (ret_t *r, env_t *env)
{
  plt_call (env, &(plt_req_t){ .mod = MOD_RETIRE,
                               .op = r->requested ? FX_PLATFORM_RETIRED
                                                  : FX_PLATFORM_RETIREMENT,
                               .name = env->vm,
                               .allow_stale = !r->requested });
}

void
ret_platform_replied (ret_t *r, env_t *env, const plt_done_t *done,
                      const ev_platform_t *reply)
{
  clk_ms_t pause = env_jitter (env, RET_POLL_MS);
  if (done->op == FX_PLATFORM_RETIREMENT && reply->code == ST_OK)
    {
      r->requested = true;
      pause = 0;
      tln_record (env->tln, env->now, MOD_RETIRE, "asked", "vm=%s", env->vm);
    }
  if (done->op == FX_PLATFORM_RETIRED && reply->code == ST_OK)
    {
      tln_record (env->tln, env->now, MOD_RETIRE, "empty", "vm=%s", env->vm);
      return;
    }
  tmr_arm (env->tmr, env->now + pause, MOD_RETIRE, 0);
}
