/** @file
 * Slack: the part of a customer's limit that a VM may use without agreement.
 *
 *   lsl_t s = { 0 };
 *   double part = lsl_part (&desc, rate, burst, vms);
 *   if (lsl_take (&s, &desc, now, part)) ... admitted
 *
 * Where more than rate and burst is allowed in a window, that excess is
 * divided evenly between the VMs that take requests.  In no window does a VM
 * use more than its part, so all together stay below the bound, whatever any
 * of them believes.  For VMs that have no mint right yet, or none any more.
 *
 * Not for customers over their rate: tokens (lim_bucket.h) come first.
 */
#ifndef RTS_LIM_SLACK_H
#define RTS_LIM_SLACK_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>

/** Most requests that a VM admits so in one window. */
#define LSL_USES_MAX 64

/** What may be exceeded; zeros: nothing. */
typedef struct
{
  clk_ms_t window_ms;
  double overshoot; /**< share of what rate and burst allow in a window */
  double requests;  /**< besides, in a window */
} lsl_desc_t;

/** What one VM has used for one customer; zeroed: nothing. */
typedef struct
{
  clk_ms_t at[LSL_USES_MAX]; /**< a ring, oldest at first */
  size_t first;
  size_t count;
} lsl_t;

/** Requests in a window that each of VMS VMs may admit; 0 for no VMs. */
double lsl_part (const lsl_desc_t *desc, double rate, double burst,
                 size_t vms);

/** Use one at NOW when less than PART has been used in the window. */
bool lsl_take (lsl_t *s, const lsl_desc_t *desc, clk_ms_t now, double part);

#endif
