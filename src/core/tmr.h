/** @file
 * Timers (tmr_) of one node: a heap ordered by time, then by order of arming.
 *
 *   tmr_arm (t, now + 200, MOD_LIMIT, tag);
 *   while (tmr_pop (t, now, &due))
 *     ...
 *
 * Modules arm timers with env_t.tmr; the node pops the due ones and passes
 * them to their modules.  A timer cannot be disarmed: when one fires, its
 * module checks whether the timer still applies.  The tag is a handle or a
 * number that the module chooses.  Times are in milliseconds.  Nothing here
 * fails.
 */
#ifndef RTS_TMR_H
#define RTS_TMR_H

#include "core/clk.h"
#include "core/mod.h"

#include <stdbool.h>

/** One armed timer. */
typedef struct
{
  clk_ms_t at;  /**< time at which the timer fires */
  mod_t mod;    /**< module that armed the timer */
  uint64_t tag; /**< value for the module's own use */
  uint64_t seq; /**< order of arming; decides between equal times */
} tmr_due_t;

typedef struct tmr tmr_t;

/** Creates a heap owned by CTX. */
tmr_t *tmr_setup (void *ctx);

/** Frees the heap. */
void tmr_shutdown (tmr_t *t);

/** Arms a timer for MOD at time AT with TAG. */
void tmr_arm (tmr_t *t, clk_ms_t at, mod_t mod, uint64_t tag);

/** Returns the time of the earliest timer, or CLK_NEVER when none is armed. */
clk_ms_t tmr_next (const tmr_t *t);

/** Removes the earliest timer and stores it in DUE if it is due at NOW;
 * returns false otherwise. */
bool tmr_pop (tmr_t *t, clk_ms_t now, tmr_due_t *due);

#endif
