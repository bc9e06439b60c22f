/** @file
 * Tokens of one VM for an upstream that names a limit (prefix upl_hold_): what
 * the VM may send there, and what it asks the mint for (upl_mint.h).
 *
 *   upl_hold_want (h, now, UPL_ONLINE);
 *   if (upl_hold_has (h, now, UPL_ONLINE)) ... upl_hold_take
 *   if (upl_hold_ask (h, now, UPL_ONLINE, &ask)) ... send ask to the mint
 *   upl_hold_granted (h, now, "vm-1", UPL_ONLINE, seq, tokens);
 *
 * A VM asks while it has requests that could use a token, for one more than
 * it has used since its last ask, and repeats an ask until it is granted.
 * Online requests may use the tokens of items.  Tokens that are not needed go
 * back before they lapse.
 *
 * It sends nothing and reads no clock.  Times are in milliseconds.  Nothing
 * here fails; a grant that answers no ask of the last UPL_LOAN_MS, or one that
 * was granted before, is ignored.
 */
#ifndef RTS_UPL_HOLD_H
#define RTS_UPL_HOLD_H

#include "core/lim_bucket.h"
#include "core/upl_mint.h"

typedef struct upl_hold upl_hold_t;

/** No tokens, owned by CTX.  Asks are numbered from above BASE on
 * (env_number_base). */
upl_hold_t *upl_hold_setup (void *ctx, uint64_t base);

/** Time for which a VM goes on to ask after a request could use a token. */
#define UPL_DEMAND_MS ((clk_ms_t)300)

/** From now on the VM goes on to ask for MS after a request could use a token,
 * and tokens that nobody has wanted for so long go back; UPL_DEMAND_MS at
 * first. */
void upl_hold_demand_set (upl_hold_t *h, clk_ms_t ms);

/** A request of CLASS could use a token NOW. */
void upl_hold_want (upl_hold_t *h, clk_ms_t now, upl_class_t class);

/** Whether a request of CLASS may be sent now. */
bool upl_hold_has (upl_hold_t *h, clk_ms_t now, upl_class_t class);

/** Uses a token for a request of CLASS; false: there is none. */
bool upl_hold_take (upl_hold_t *h, clk_ms_t now, upl_class_t class);

/** Whole tokens that are there for requests of CLASS. */
uint32_t upl_hold_tokens (upl_hold_t *h, clk_ms_t now, upl_class_t class);

/** Fills in the class, number and tokens of the next ask if one is due. */
bool upl_hold_ask (upl_hold_t *h, clk_ms_t now, upl_class_t class,
                   upl_ask_t *ask);

/** When the next ask is due, or tokens go back; CLK_NEVER: at no time. */
clk_ms_t upl_hold_due_at (upl_hold_t *h, clk_ms_t now);

/** The mint at VM grants TOKENS for ask SEQ. */
void upl_hold_granted (upl_hold_t *h, clk_ms_t now, const char *vm,
                       upl_class_t class, uint64_t seq, uint32_t tokens);

/** The mint has said when it is this VM's turn. */
void upl_hold_turn_set (upl_hold_t *h, clk_ms_t now, upl_class_t class,
                        const upl_turn_t *turn);

/** The turn as the mint said last; zeros: it has not said so lately. */
upl_turn_t upl_hold_turn (const upl_hold_t *h, clk_ms_t now,
                          upl_class_t class);

/** Another VM has the mint now: what was asked of the last one is asked
 * again. */
void upl_hold_mint_changed (upl_hold_t *h);

/** Takes what the mint at S->vm is to be told of its tokens; false: nothing.
 */
bool upl_hold_settlement_pop (upl_hold_t *h, clk_ms_t now,
                              lbk_settlement_t *s);

#endif
