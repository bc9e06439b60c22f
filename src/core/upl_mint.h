/** @file
 * Mint of an upstream's limit (prefix upl_mint_): gives out tokens, one for
 * each request to the upstream, at the rate that the upstream takes.
 *
 *   upl_mint_set (m, now, 1.4, 1);
 *   upl_mint_ask (m, now, &(upl_ask_t){ "vm-2", UPL_ONLINE, seq, 1 });
 *   while (upl_mint_grant_pop (m, now, &grant))
 *     ... tell grant.vm
 *   wake up at upl_mint_next_at (m, now)
 *
 * One VM has the mint of an upstream, all others ask it.  Whoever asks waits
 * in line by the time of its first ask.  Online requests get all that the
 * upstream names; items get a small part beside, and what online requests
 * leave, while none of these waits.  Both together stay within what the users'
 * rule allows in any window.  A plan (upl_plan_t) holds these rates; of the
 * plans of two rules, upl_plan_lower keeps both.  An ask must be repeated
 * within UPL_ASK_MS or it lapses.  Tokens are loans of UPL_LOAN_MS, counted at
 * the borrower from its ask (lim_bucket.h), so that none is used twice and
 * lost ones are minted again.
 *
 * A mint begins empty, because it does not know what was sent before.  It
 * sends nothing and reads no clock.  Times are in milliseconds, rates in
 * requests a second.  Nothing here fails; an ask that says nothing new is
 * ignored.
 */
#ifndef RTS_UPL_MINT_H
#define RTS_UPL_MINT_H

#include "core/clk.h"

#include <stdbool.h>
#include <stdint.h>

/** Time for which a token may be used, from the ask on. */
#define UPL_LOAN_MS ((clk_ms_t)500)
/** Time after which an ask that was not repeated lapses. */
#define UPL_ASK_MS ((clk_ms_t)300)
/** Largest limit that is kept to, in requests a second; a higher one is none.
 */
#define UPL_PER_S_MAX 1e6

/** Kinds of request, those that come first in line first. */
typedef enum
{
  UPL_ONLINE,
  UPL_ITEM,
  UPL_CLASS_NUM
} upl_class_t;

/** What a VM asks for. */
typedef struct
{
  const char *vm; /**< copied */
  upl_class_t class;
  uint64_t seq; /**< number of the ask, which increases at its VM */
  uint32_t tokens;
} upl_ask_t;

/** Tokens for a VM; the name is valid until the next call for the mint. */
typedef struct
{
  char vm[64];
  upl_class_t class;
  uint64_t seq; /**< of the ask that it answers */
  uint32_t tokens;
} upl_grant_t;

/** When a VM that waits gets tokens, as far as it can be told. */
typedef struct
{
  clk_ms_t wait_ms; /**< until its next one */
  clk_ms_t gap_ms;  /**< between two of its tokens; 0: not known */
} upl_turn_t;

/** What a mint gives out.  In any window of W seconds that is at most
 * (per_s + item_per_s) x W + burst + item_burst requests. */
typedef struct
{
  double per_s;      /**< tokens a second for online requests */
  double burst;      /**< of these, how many are saved up or on loan */
  double item_per_s; /**< tokens a second for items alone; 0: items get only
                          what online requests leave */
  double item_burst; /**< of these, how many are saved up or on loan */
} upl_plan_t;

/** The plan that keeps the users' rule for an upstream that names the limit
 * PER_S. */
upl_plan_t upl_plan_limit (double per_s);

/** A plan that keeps to both A and B. */
upl_plan_t upl_plan_lower (const upl_plan_t *a, const upl_plan_t *b);

typedef struct upl_mint upl_mint_t;

/** An empty mint, owned by CTX, that gives out nothing. */
upl_mint_t *upl_mint_setup (void *ctx);

/** From NOW on gives out SHARE (0 to 1) of PLAN.  A lower rate than before
 * forfeits what has not been given out. */
void upl_mint_plan_set (upl_mint_t *m, clk_ms_t now, const upl_plan_t *plan,
                        double share);

/** The same with the plan of the limit PER_S. */
void upl_mint_set (upl_mint_t *m, clk_ms_t now, double per_s, double share);

/** Puts the VM of ASK in line, or replaces its last ask of that class. */
void upl_mint_ask (upl_mint_t *m, clk_ms_t now, const upl_ask_t *ask);

/** VM has used SPENT of the tokens of its ask SEQ and returns RETURNED, in
 * millionths of a token. */
void upl_mint_settle (upl_mint_t *m, clk_ms_t now, const char *vm,
                      uint64_t seq, int64_t spent, int64_t returned);

/** Takes the next grant that can be given now; false: none. */
bool upl_mint_grant_pop (upl_mint_t *m, clk_ms_t now, upl_grant_t *grant);

/** When the next grant can be given; CLK_NEVER: nobody waits. */
clk_ms_t upl_mint_next_at (upl_mint_t *m, clk_ms_t now);

/** The turn of VM, which waits for a token of CLASS; false: it does not wait.
 */
bool upl_mint_turn (upl_mint_t *m, clk_ms_t now, const char *vm,
                    upl_class_t class, upl_turn_t *turn);

#endif
