/** @file
 * Retry budget (prefix rtb_): limits retries to a share of the requests plus a
 * small constant rate, so that retries cannot keep an upstream overloaded.
 *
 *   rtb_t budget = { 0 };
 *   rtb_request (&budget, now);                     for each first attempt
 *   if (rtb_take (&budget, now)) ... retry
 *
 * Use one budget for each group of requests whose retries share a limit.  The
 * budget does not decide whether a request may be sent again at all: its owner
 * does (onl.h).  Times are in milliseconds of the node's clock.  The caller
 * owns the budget, which holds no other memory.
 */
#ifndef RTS_RTB_H
#define RTS_RTB_H

#include "core/clk.h"

#include <stdbool.h>

/** A retry budget (token bucket); all zeros is a new one. */
typedef struct
{
  double tokens; /**< retries available */
  clk_ms_t filled_at;
  bool started;
} rtb_t;

/** Counts a first attempt, which adds to the budget. */
void rtb_request (rtb_t *b, clk_ms_t now);

/** Takes one retry from the budget.  Returns false when the budget is empty.
 */
bool rtb_take (rtb_t *b, clk_ms_t now);

#endif
