/** @file
 * Retry budget: retries are at most a part of the requests, plus a small
 * floor, so that they never become the load that keeps an upstream down.
 *
 *   rtb_t budget = { 0 };
 *   rtb_request (&budget, now);                     for each first try
 *   if (rtb_take (&budget, now)) ... try again
 *
 * Says only whether there is budget; whether a request may be sent again at
 * all is for its owner to decide (onl.h).
 */
#ifndef RTS_RTB_H
#define RTS_RTB_H

#include "core/clk.h"

#include <stdbool.h>

/** A budget; all zeros is a new one. */
typedef struct
{
  double tokens;
  clk_ms_t filled_at;
  bool started;
} rtb_t;

/** Count a first try. */
void rtb_request (rtb_t *b, clk_ms_t now);

/** Take one retry; false: the budget is spent. */
bool rtb_take (rtb_t *b, clk_ms_t now);

#endif
