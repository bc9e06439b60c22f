/** @file
 * Limit bucket (prefix lbk_): one customer's token bucket at one VM, with the
 * tokens minted here, lent to other VMs and borrowed from them.
 *
 *   lbk_set_rate (b, now, rate, burst);        the share that is minted here
 *   if (lbk_take (b, now)) ...                 one token, borrowed ones first
 *   amount = lbk_lend (b, now, "vm-2", seq, want, life);
 *   lbk_borrow (b, "vm-3", seq, amount, until, settle);
 *
 * Tokens move to another bucket for good (lbk_give, lbk_receive) when that
 * bucket has reserved room for them, else on loan.  Held tokens and lent
 * tokens that are not known to be spent fill the bucket together, so that the
 * tokens outstanding never exceed the burst.  The lender deducts first.  The
 * borrower counts a loan's life from the time of its request; the lender
 * counts a slightly longer life from the grant, so that the room is freed only
 * after the loan has ended at the borrower.
 *
 * lim uses one bucket per customer.  A bucket sends no messages and reads no
 * clock.  Amounts, rates and bursts are in millionths of a token, times in
 * milliseconds; a bucket belongs to the context of lbk_setup.
 */
#ifndef RTS_LIM_BUCKET_H
#define RTS_LIM_BUCKET_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One token. */
#define LBK_TOKEN ((int64_t)1000000)

/** Loans that one bucket keeps at a time, in each direction. */
#define LBK_LOANS_MAX 512

typedef struct lbk lbk_t;

/** Create an empty bucket owned by CTX that mints nothing. */
lbk_t *lbk_setup (void *ctx);

/** From NOW on mint RATE a second up to BURST; tokens above BURST are
 * dropped. */
void lbk_set_rate (lbk_t *b, clk_ms_t now, int64_t rate, int64_t burst);

/** Mint up to NOW, and drop loans and reservations that have ended. */
void lbk_advance (lbk_t *b, clk_ms_t now);

/** Whether one token could be taken. */
bool lbk_has_token (const lbk_t *b);

/** Take one token, borrowed ones first; false: there is none. */
bool lbk_take (lbk_t *b, clk_ms_t now);

/** Own and borrowed tokens that can be spent. */
int64_t lbk_available (const lbk_t *b);

/** Own tokens that are still held, without borrowed ones. */
int64_t lbk_held (const lbk_t *b);

/** Tokens lent and not known to be spent. */
int64_t lbk_lent (const lbk_t *b);

/** Burst of the share that is minted here. */
int64_t lbk_burst (const lbk_t *b);

/** Lend up to WANT to VM for VM's token request number SEQ; returns the
 * amount.  The lent tokens occupy room for LIFE, or until lbk_settle. */
int64_t lbk_lend (lbk_t *b, clk_ms_t now, const char *vm, uint64_t seq,
                  int64_t want, clk_ms_t life);

/** Give up to WANT away for good; returns the amount. */
int64_t lbk_give (lbk_t *b, clk_ms_t now, int64_t want);

/** Free room: how much more the bucket could hold. */
int64_t lbk_room (const lbk_t *b);

/** Reserve AMOUNT (at most lbk_room) of room until UNTIL for the tokens
 * requested under SEQ, so that tokens in transit have a place in a bucket. */
void lbk_reserve (lbk_t *b, uint64_t seq, int64_t amount, clk_ms_t until);

/** Add AMOUNT, given away by another VM, to the room reserved under SEQ.
 * Without the reservation the tokens are lost. */
void lbk_receive (lbk_t *b, clk_ms_t now, uint64_t seq, int64_t amount);

/** Handle VM's report on its loan SEQ: VM has spent SPENT and returns
 * RETURNED.  A report that does not match a loan is ignored. */
void lbk_settle (lbk_t *b, clk_ms_t now, const char *vm, uint64_t seq,
                 int64_t spent, int64_t returned);

/** Add a loan of AMOUNT from VM, valid until UNTIL.  SETTLE: the lender wants
 * a settlement once the loan is spent. */
void lbk_borrow (lbk_t *b, const char *vm, uint64_t seq, int64_t amount,
                 clk_ms_t until, bool settle);

/** A borrowed loan to report to its lender. */
typedef struct
{
  char vm[64];
  uint64_t seq;
  int64_t spent;
  int64_t returned;
} lbk_settlement_t;

/** Take the next spent loan whose lender wants a settlement; when more than
 * KEEP is borrowed, also unspent loans beyond KEEP.  False: there is none. */
bool lbk_settlement_pop (lbk_t *b, int64_t keep, lbk_settlement_t *s);

/** Fill the bucket; only while none of its tokens can have been spent or lent
 * before. */
void lbk_fill (lbk_t *b);

#endif
