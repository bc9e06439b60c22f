#include "core/rtb.h"

/** Retries added to a budget by each request. */
#define RTB_RETRIES_PER_REQUEST 0.1
/** Retries added per second, also without requests. */
#define RTB_RETRIES_PER_SECOND 1.0
/** Maximum number of retries in a budget. */
#define RTB_MAX 20.0
/** Retries in a new budget. */
#define RTB_INITIAL 3.0

static void
_rtb_add (rtb_t *b, double tokens)
{
  b->tokens += tokens;
  if (b->tokens > RTB_MAX)
    b->tokens = RTB_MAX;
}

static void
_rtb_fill (rtb_t *b, clk_ms_t now)
{
  if (!b->started)
    b->tokens = RTB_INITIAL;
  else
    _rtb_add (b, (double)(now - b->filled_at) * RTB_RETRIES_PER_SECOND
                     / (double)CLK_SECOND);
  b->started = true;
  b->filled_at = now;
}

void
rtb_request (rtb_t *b, clk_ms_t now)
{
  _rtb_fill (b, now);
  _rtb_add (b, RTB_RETRIES_PER_REQUEST);
}

bool
rtb_take (rtb_t *b, clk_ms_t now)
{
  _rtb_fill (b, now);
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}
