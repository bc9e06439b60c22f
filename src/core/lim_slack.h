/** @file
 * Limit slack (prefix lsl_): the excess over a customer's limit that a VM may
 * admit without agreement with other VMs.
 *
 *   lsl_t s = { 0 };
 *   double part = lsl_part (&desc, rate, burst, vms);
 *   if (lsl_take (&s, &desc, now, part)) ... admitted
 *
 * Where the settings allow more than rate and burst in a window, that excess
 * is divided evenly between the VMs that take requests.  In no window does a
 * VM use more than its part, so all together stay below the bound, even while
 * VMs disagree about the fleet.
 *
 * Use slack at a VM that has no mint right yet or has lost it.  Do not use
 * slack for customers over their rate: tokens (lim_bucket.h) come first.
 * Times are milliseconds; nothing is allocated.
 */
#ifndef RTS_LIM_SLACK_H
#define RTS_LIM_SLACK_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>

/** Most requests that a VM admits by slack in one window. */
#define LSL_USES_MAX 64

/** Excess that all VMs together may admit in each window; zeros: none. */
typedef struct
{
  clk_ms_t window_ms; /**< length of the window */
  double overshoot;   /**< as a fraction of what rate and burst allow in a
                           window */
  double requests;    /**< number of requests, in addition to the fraction */
} lsl_desc_t;

/** Uses of slack by one VM for one customer; zeroed: none. */
typedef struct
{
  clk_ms_t at[LSL_USES_MAX]; /**< a ring, oldest at first */
  size_t first;
  size_t count;
} lsl_t;

/** The excess over RATE and BURST in a window, in requests. */
double lsl_excess (const lsl_desc_t *desc, double rate, double burst);

/** Requests in a window that each of VMS VMs may admit of EXCESS; 0 for no
 * VMs. */
double lsl_part_of (double excess, size_t vms);

/** The same of the whole excess over RATE and BURST. */
double lsl_part (const lsl_desc_t *desc, double rate, double burst,
                 size_t vms);

/** Admit one request at NOW; false when PART has been used in the window. */
bool lsl_take (lsl_t *s, const lsl_desc_t *desc, clk_ms_t now, double part);

#endif
