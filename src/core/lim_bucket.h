/** @file
 * One customer's token bucket at one VM: what is minted here, lent out and
 * borrowed.  All amounts are in millionths of a token.
 *
 *   lbk_set_rate (b, now, rate, burst);       what may be minted here
 *   if (lbk_take (b, now)) ...                 one token, borrowed ones first
 *   amount = lbk_lend (b, now, "vm-2", seq, want, life);
 *   lbk_borrow (b, "vm-3", seq, amount, until);
 *
 * Tokens go to another bucket for good (lbk_give, lbk_receive) when that has
 * room kept for them, else on loan.  Held tokens and tokens lent and not known
 * to be spent fill the bucket together, so that what is outstanding never
 * exceeds the burst.  The lender deducts first; the borrower counts a loan's
 * life from before its request, the lender frees the room only after its own
 * later deadline.
 */
#ifndef RTS_LIM_BUCKET_H
#define RTS_LIM_BUCKET_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One token. */
#define LBK_TOKEN ((int64_t)1000000)

/** Loans that one bucket keeps at a time, given and taken. */
#define LBK_LOANS_MAX 512

/** A bucket. */
typedef struct lbk lbk_t;

/** New empty bucket owned by CTX that mints nothing. */
lbk_t *lbk_setup (void *ctx);

/** From NOW on mint RATE a second up to BURST; what is above BURST goes. */
void lbk_set_rate (lbk_t *b, clk_ms_t now, int64_t rate, int64_t burst);

/** Mint up to NOW, and forget loans that are over. */
void lbk_advance (lbk_t *b, clk_ms_t now);

/** Whether one token could be taken. */
bool lbk_has_token (const lbk_t *b);

/** Take one token, borrowed ones first. */
bool lbk_take (lbk_t *b, clk_ms_t now);

/** Own and borrowed tokens that can be spent. */
int64_t lbk_available (const lbk_t *b);

/** Tokens minted here and still held. */
int64_t lbk_held (const lbk_t *b);

/** Tokens lent and not known to be spent. */
int64_t lbk_lent (const lbk_t *b);

/** What may be minted here: burst. */
int64_t lbk_burst (const lbk_t *b);

/** Lend up to WANT to VM under its number SEQ; returns the amount.  The room
 * stays taken for LIFE, or until lbk_settle. */
int64_t lbk_lend (lbk_t *b, clk_ms_t now, const char *vm, uint64_t seq,
                  int64_t want, clk_ms_t life);

/** Give up to WANT away for good; returns the amount. */
int64_t lbk_give (lbk_t *b, clk_ms_t now, int64_t want);

/** How much more could be held. */
int64_t lbk_room (const lbk_t *b);

/** Keep AMOUNT (at most lbk_room) of room until UNTIL for tokens that are
 * asked for under SEQ, so that what is on its way has a place in a bucket. */
void lbk_reserve (lbk_t *b, uint64_t seq, int64_t amount, clk_ms_t until);

/** AMOUNT, given away by another VM, has come in for SEQ's room; without
 * that room it is lost. */
void lbk_receive (lbk_t *b, clk_ms_t now, uint64_t seq, int64_t amount);

/** VM says of its loan SEQ that SPENT is spent and RETURNED not wanted. */
void lbk_settle (lbk_t *b, clk_ms_t now, const char *vm, uint64_t seq,
                 int64_t spent, int64_t returned);

/** Take in AMOUNT from VM, good until UNTIL; SETTLE: it wants to know. */
void lbk_borrow (lbk_t *b, const char *vm, uint64_t seq, int64_t amount,
                 clk_ms_t until, bool settle);

/** A loan that its lender should hear about. */
typedef struct
{
  char vm[64];
  uint64_t seq;
  int64_t spent;
  int64_t returned;
} lbk_settlement_t;

/** Take the next loan that is spent and wanted back word of; with KEEP less
 * than what is borrowed, also unspent loans beyond KEEP.  False: none. */
bool lbk_settlement_pop (lbk_t *b, int64_t keep, lbk_settlement_t *s);

/** Fill it; only when nothing of it can have been spent or lent before. */
void lbk_fill (lbk_t *b);

#endif
