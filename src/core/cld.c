#include "core/cld.h"

#include <math.h>

/** The rate grows in steps of this length, and doubles in CLD_DOUBLING_MS. */
#define CLD_STEP_MS ((clk_ms_t)250)
#define CLD_DOUBLING_MS CLK_SECOND
/** Part of what the bound leaves beside the rate that may be saved up or on
 * loan.  The rest covers requests that arrive closer together than they were
 * sent, and two mints that both act for a moment. */
#define CLD_BURST_PART 0.8

bool
cld_word_take (cld_t *c, cld_source_t source, clk_ms_t ms, clk_ms_t at)
{
  cld_word_t *w = &c->words[source];
  clk_ms_t bounded = clk_min (ms, CLD_MS_MAX);
  if (ms < 0 || at < w->at)
    return false;
  if (source == CLD_LIST && w->at >= 0 && bounded == w->ms && bounded > 0)
    return false;
  w->ms = bounded;
  w->at = at;
  /* The end of an earlier cold time is kept, as the ramp follows it. */
  if (bounded > 0 || at < w->until)
    w->until = at + bounded;
  return true;
}

cld_source_t
cld_source (const cld_t *c)
{
  cld_source_t longest = CLD_LIST;
  for (int s = 0; s < CLD_SOURCE_NUM; s++)
    if (c->words[s].until > c->words[longest].until)
      longest = (cld_source_t)s;
  return longest;
}

clk_ms_t
cld_until (const cld_t *c)
{
  return c->words[cld_source (c)].until;
}

const char *
cld_source_name (cld_source_t source)
{
  static const char *const names[] = {
    [CLD_LIST] = "list", [CLD_SAID] = "upstream", [CLD_START] = "start"
  };
  return names[source];
}

cld_phase_t
cld_phase (const cld_t *c, clk_ms_t now)
{
  clk_ms_t until = cld_until (c);
  if (now < until)
    return CLD_COLD;
  return until > 0 && now < until + CLD_RAMP_MS ? CLD_RAMP : CLD_WARM;
}

/** The plan that keeps RULE.  Items have no part of their own: the bound
 * counts them together with online requests. */
static upl_plan_t
_cld_cold_plan (const cld_rule_t *rule)
{
  double bound = rule->per_s * rule->overshoot + rule->slack;
  /* A whole token must fit into the burst. */
  double per_s = fmin (rule->per_s, fmax (bound - 1, 0));
  double burst = fmax (CLD_BURST_PART * (bound - per_s), 1);
  return (upl_plan_t){ .per_s = per_s, .burst = bound >= 1 ? burst : 0 };
}

bool
cld_plan (const cld_t *c, const cld_rule_t *rule, clk_ms_t now,
          upl_plan_t *plan)
{
  cld_phase_t phase = cld_phase (c, now);
  if (phase == CLD_WARM)
    return false;
  *plan = _cld_cold_plan (rule);
  if (phase == CLD_COLD)
    return true;
  clk_ms_t steps = (now - cld_until (c)) / CLD_STEP_MS + 1;
  double factor = exp2 ((double)(steps * CLD_STEP_MS) / CLD_DOUBLING_MS);
  plan->per_s *= factor;
  plan->burst *= factor;
  return true;
}

clk_ms_t
cld_next_at (const cld_t *c, clk_ms_t now)
{
  clk_ms_t until = cld_until (c);
  switch (cld_phase (c, now))
    {
    case CLD_COLD:
      return until;
    case CLD_RAMP:
      return until + ((now - until) / CLD_STEP_MS + 1) * CLD_STEP_MS;
    case CLD_WARM:
      break;
    }
  return CLK_NEVER;
}
