#include "core/lim_slack.h"

/* Fraction of the excess that VMs use.  A VM that restarts within a window has
 * lost its count; the rest of the excess is reserved for that case. */
#define LSL_USED_FRACTION 0.85

double
lsl_excess (const lsl_desc_t *desc, double rate, double burst)
{
  if (desc->window_ms == 0)
    return 0;
  double allowed = rate * (double)desc->window_ms / CLK_SECOND + burst;
  return desc->overshoot * allowed + desc->requests;
}

double
lsl_part_of (double excess, size_t vms)
{
  return vms == 0 ? 0 : LSL_USED_FRACTION * excess / (double)vms;
}

double
lsl_part (const lsl_desc_t *desc, double rate, double burst, size_t vms)
{
  return lsl_part_of (lsl_excess (desc, rate, burst), vms);
}

bool
lsl_take (lsl_t *s, const lsl_desc_t *desc, clk_ms_t now, double part)
{
  while (s->count > 0 && now - s->at[s->first] >= desc->window_ms)
    {
      s->first = (s->first + 1) % LSL_USES_MAX;
      s->count--;
    }
  if ((double)(s->count + 1) > part || s->count == LSL_USES_MAX)
    return false;
  s->at[(s->first + s->count) % LSL_USES_MAX] = now;
  s->count++;
  return true;
}
