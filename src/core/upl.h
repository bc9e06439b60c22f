/** @file
 * Upstream's limit (prefix upl_): what an upstream has said of the requests a
 * second that it takes from all VMs together.
 *
 *   upl_word_t state = UPL_WORD_NONE;
 *   if (upl_word_merge (&state, &heard, 0) == UPL_CHANGED)
 *     ... state.per_s is in force from now on
 *
 * Use it to merge what several VMs have heard, in any order.  It sends
 * nothing and reads no clock.  Times are in milliseconds of the caller's
 * clock, rates in requests a second; nothing here fails.
 */
#ifndef RTS_UPL_H
#define RTS_UPL_H

#include "core/clk.h"

#include <math.h>
#include <stdbool.h>

/** What one response has said, or the newest of several. */
typedef struct
{
  double per_s;     /**< INFINITY: there is no limit */
  clk_ms_t sent_at; /**< when the request was sent: the upstream said it
                         later */
  clk_ms_t said_at; /**< when the response's head came: it said it before */
} upl_word_t;

/** Nothing has been said yet. */
#define UPL_WORD_NONE                                                         \
  ((upl_word_t){ .per_s = INFINITY, .sent_at = -1, .said_at = -1 })

/** What a merge has done to a state. */
typedef enum
{
  UPL_OLDER,     /**< nothing: the state was said later */
  UPL_CONFIRMED, /**< the rate is the same */
  UPL_CHANGED,   /**< the state has another rate */
} upl_merge_t;

/** Takes WORD into STATE.  Of two words of which it is not certain which was
 * said first, the lower one holds.  Their times may be wrong by DOUBT against
 * each other; 0 for words of the same clock. */
upl_merge_t upl_word_merge (upl_word_t *state, const upl_word_t *word,
                            clk_ms_t doubt);

/** Whether WORD names a limit. */
bool upl_word_is_limit (const upl_word_t *word);

#endif
