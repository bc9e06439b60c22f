/** @file
 * Cold upstream (prefix cld_): for how much longer an upstream is cold, and
 * how many requests a second it may get meanwhile.
 *
 *   cld_t c = CLD_NONE;
 *   cld_word_take (&c, CLD_LIST, 20000, now);
 *   if (cld_plan (&c, &rule, now, &plan))
 *     ... at most plan (upl_mint.h) may be sent, until cld_next_at (&c, now)
 *
 * Each source has its own newest word, and the upstream is cold as long as any
 * of them says so: a list that is late, or a start that the list does not know
 * yet, cannot end what the upstream says of itself.  After the cold time the
 * rate grows for CLD_RAMP_MS before it is free, so that load shifts gradually
 * to upstreams that become warm together.
 *
 * It sends nothing and reads no clock.  Times are in milliseconds of the
 * caller's clock, rates in requests a second; nothing here fails.
 */
#ifndef RTS_CLD_H
#define RTS_CLD_H

#include "core/clk.h"
#include "core/upl_mint.h"

#include <stdbool.h>

/** Longest time for which an upstream counts as cold on one word. */
#define CLD_MS_MAX (10 * CLK_MINUTE)
/** Time after the cold time in which the rate grows. */
#define CLD_RAMP_MS (3 * CLK_SECOND)

/** Who says that an upstream is cold. */
typedef enum
{
  CLD_LIST,  /**< its entry in the platform's list */
  CLD_SAID,  /**< the upstream, in a response to this or another VM */
  CLD_START, /**< the time of its start and the deployment's cold time */
  CLD_SOURCE_NUM
} cld_source_t;

/** What an upstream may be sent. */
typedef enum
{
  CLD_WARM, /**< no bound */
  CLD_RAMP, /**< a growing rate, as it was cold until a moment ago */
  CLD_COLD, /**< the rate of a cold upstream */
} cld_phase_t;

/** The newest word of one source. */
typedef struct
{
  clk_ms_t ms;    /**< remaining time that it gave */
  clk_ms_t at;    /**< when it was said; negative: never */
  clk_ms_t until; /**< end of the cold time; 0: it has never been cold */
} cld_word_t;

/** State of one start of an upstream. */
typedef struct
{
  cld_word_t words[CLD_SOURCE_NUM];
} cld_t;

/** No word yet. */
#define CLD_NONE                                                              \
  ((cld_t){ .words = { { .at = -1 }, { .at = -1 }, { .at = -1 } } })

/** The bound on requests to a cold upstream: in any second at most
 * per_s x overshoot + slack. */
typedef struct
{
  double per_s;
  double overshoot;
  double slack;
} cld_rule_t;

/** Takes SOURCE's word, said at AT, that the upstream is cold for MS more;
 * more than CLD_MS_MAX counts as that.  Returns whether the word counts: a
 * negative time has no meaning, a word that is older than the last one of its
 * source is late, and an entry of the list with an unchanged time is the last
 * one, received again. */
bool cld_word_take (cld_t *c, cld_source_t source, clk_ms_t ms, clk_ms_t at);

/** When the cold time ends or has ended; 0: it has never been cold. */
clk_ms_t cld_until (const cld_t *c);

/** The source by which it is cold the longest. */
cld_source_t cld_source (const cld_t *c);

/** Name of SOURCE for logs. */
const char *cld_source_name (cld_source_t source);

cld_phase_t cld_phase (const cld_t *c, clk_ms_t now);

/** Sets *PLAN to what may be sent NOW under RULE; false: there is no bound. */
bool cld_plan (const cld_t *c, const cld_rule_t *rule, clk_ms_t now,
               upl_plan_t *plan);

/** When the plan changes next, without a new word; CLK_NEVER: it does not. */
clk_ms_t cld_next_at (const cld_t *c, clk_ms_t now);

/** Time for which a VM goes on to ask after a request could use a token of a
 * cold upstream (upl_hold_demand_set): as long as a caller's request waits.
 * With 300 ms up to half of the tokens lay idle at 250 VMs. */
#define CLD_DEMAND_MS ((clk_ms_t)60)

#endif
