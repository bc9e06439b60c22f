#include "core/lim_bucket.h"

#include "core/inv.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* A loan to another VM. */
typedef struct
{
  char vm[64];
  uint64_t seq;
  int64_t amount;
  clk_ms_t until;
} lbk_loan_out_t;

/* A loan from another VM. */
typedef struct
{
  char vm[64];
  uint64_t seq;
  int64_t left;
  int64_t spent;
  clk_ms_t until;
  bool settle; /* the lender wants a settlement */
} lbk_loan_in_t;

/* Room reserved for tokens requested from another VM. */
typedef struct
{
  uint64_t seq;
  int64_t amount;
  clk_ms_t until;
} lbk_reservation_t;

struct lbk
{
  int64_t rate;
  int64_t burst;
  int64_t held;
  int64_t lent;
  int64_t reserved;
  int64_t remainder;  /* of minting, in 1/1000 of a millionth; below 1000 */
  clk_ms_t minted_at; /* end of the time for which tokens are minted */
  lbk_loan_out_t *loans_out;
  size_t loan_out_count;
  lbk_loan_in_t *loans_in;
  size_t loan_in_count;
  lbk_reservation_t *reservations;
  size_t reservation_count;
};

lbk_t *
lbk_setup (void *ctx)
{
  return talloc_zero (ctx, lbk_t);
}

/* The most that may be held beside loans and reservations. */
static int64_t
_lbk_held_max (const lbk_t *b)
{
  int64_t limit = b->burst - b->lent - b->reserved;
  return limit > 0 ? limit : 0;
}

static void
_lbk_clip (lbk_t *b)
{
  int64_t room = _lbk_held_max (b);
  if (b->held >= room)
    {
      b->held = room;
      b->remainder = 0;
    }
}

static void
_lbk_mint (lbk_t *b, clk_ms_t now)
{
  if (now <= b->minted_at)
    return;
  clk_ms_t elapsed = now - b->minted_at;
  b->minted_at = now;
  if (b->rate == 0)
    return;
  /* After this many ms the bucket is full, whatever it held before. */
  clk_ms_t full = b->burst * CLK_SECOND / b->rate + 1;
  int64_t gained = b->rate * clk_min (elapsed, full) + b->remainder;
  b->held += gained / CLK_SECOND;
  b->remainder = gained % CLK_SECOND;
  _lbk_clip (b);
}

/* Drop loans to other VMs that have ended.  Nothing is minted while loans fill
 * the bucket, so minting advances to the end of each loan in turn, earliest
 * first. */
static void
_lbk_loans_out_expire (lbk_t *b, clk_ms_t now)
{
  for (;;)
    {
      size_t first = b->loan_out_count;
      for (size_t i = 0; i < b->loan_out_count; i++)
        if (b->loans_out[i].until <= now
            && (first == b->loan_out_count
                || b->loans_out[i].until < b->loans_out[first].until))
          first = i;
      if (first == b->loan_out_count)
        return;
      _lbk_mint (b, b->loans_out[first].until);
      b->lent -= b->loans_out[first].amount;
      b->loans_out[first] = b->loans_out[--b->loan_out_count];
    }
}

static void
_lbk_reservation_drop (lbk_t *b, size_t i)
{
  b->reserved -= b->reservations[i].amount;
  b->reservations[i] = b->reservations[--b->reservation_count];
}

void
lbk_advance (lbk_t *b, clk_ms_t now)
{
  _lbk_loans_out_expire (b, now);
  _lbk_mint (b, now);
  for (size_t i = b->reservation_count; i-- > 0;)
    if (now >= b->reservations[i].until)
      _lbk_reservation_drop (b, i);
  size_t kept = 0;
  for (size_t i = 0; i < b->loan_in_count; i++)
    if (now < b->loans_in[i].until)
      b->loans_in[kept++] = b->loans_in[i];
  b->loan_in_count = kept;
  INV_CHECK (b->held >= 0 && b->lent >= 0, "limit-bucket-not-negative",
             "held %ld lent %ld", (long)b->held, (long)b->lent);
}

void
lbk_set_rate (lbk_t *b, clk_ms_t now, int64_t rate, int64_t burst)
{
  lbk_advance (b, now);
  b->rate = rate;
  b->burst = burst;
  _lbk_clip (b);
}

int64_t
lbk_available (const lbk_t *b)
{
  int64_t sum = b->held;
  for (size_t i = 0; i < b->loan_in_count; i++)
    sum += b->loans_in[i].left;
  return sum;
}

bool
lbk_has_token (const lbk_t *b)
{
  return lbk_available (b) >= LBK_TOKEN;
}

int64_t
lbk_held (const lbk_t *b)
{
  return b->held;
}

int64_t
lbk_lent (const lbk_t *b)
{
  return b->lent;
}

int64_t
lbk_burst (const lbk_t *b)
{
  return b->burst;
}

bool
lbk_take (lbk_t *b, clk_ms_t now)
{
  lbk_advance (b, now);
  if (!lbk_has_token (b))
    return false;
  int64_t need = LBK_TOKEN;
  for (size_t i = 0; i < b->loan_in_count && need > 0; i++)
    {
      lbk_loan_in_t *loan = &b->loans_in[i];
      int64_t part = loan->left < need ? loan->left : need;
      loan->left -= part;
      loan->spent += part;
      need -= part;
    }
  b->held -= need;
  return true;
}

int64_t
lbk_lend (lbk_t *b, clk_ms_t now, const char *vm, uint64_t seq, int64_t want,
          clk_ms_t life)
{
  lbk_advance (b, now);
  int64_t amount = want < b->held ? want : b->held;
  if (amount <= 0 || b->loan_out_count == LBK_LOANS_MAX)
    return 0;
  b->loans_out = talloc_realloc (b, b->loans_out, lbk_loan_out_t,
                                 b->loan_out_count + 1);
  lbk_loan_out_t *loan = &b->loans_out[b->loan_out_count++];
  *loan
      = (lbk_loan_out_t){ .seq = seq, .amount = amount, .until = now + life };
  snprintf (loan->vm, sizeof loan->vm, "%s", vm);
  b->held -= amount;
  b->lent += amount;
  return amount;
}

int64_t
lbk_give (lbk_t *b, clk_ms_t now, int64_t want)
{
  lbk_advance (b, now);
  int64_t amount = want < b->held ? want : b->held;
  if (amount <= 0)
    return 0;
  b->held -= amount;
  return amount;
}

int64_t
lbk_room (const lbk_t *b)
{
  return _lbk_held_max (b) - b->held;
}

void
lbk_reserve (lbk_t *b, uint64_t seq, int64_t amount, clk_ms_t until)
{
  INV_CHECK (amount <= lbk_room (b), "limit-reserve-within-room",
             "amount %ld room %ld", (long)amount, (long)lbk_room (b));
  b->reservations = talloc_realloc (b, b->reservations, lbk_reservation_t,
                                    b->reservation_count + 1);
  b->reservations[b->reservation_count++]
      = (lbk_reservation_t){ .seq = seq, .amount = amount, .until = until };
  b->reserved += amount;
}

void
lbk_receive (lbk_t *b, clk_ms_t now, uint64_t seq, int64_t amount)
{
  lbk_advance (b, now);
  for (size_t i = 0; i < b->reservation_count; i++)
    {
      if (b->reservations[i].seq != seq)
        continue;
      int64_t room = b->reservations[i].amount;
      _lbk_reservation_drop (b, i);
      b->held += amount < room ? amount : room;
      _lbk_clip (b);
      return;
    }
}

void
lbk_settle (lbk_t *b, clk_ms_t now, const char *vm, uint64_t seq,
            int64_t spent, int64_t returned)
{
  lbk_advance (b, now);
  for (size_t i = 0; i < b->loan_out_count; i++)
    {
      lbk_loan_out_t *loan = &b->loans_out[i];
      if (loan->seq != seq || strcmp (loan->vm, vm) != 0)
        continue;
      if (spent < 0 || returned < 0 || spent > loan->amount
          || returned > loan->amount - spent)
        return;
      loan->amount -= spent + returned;
      b->lent -= spent + returned;
      b->held += returned;
      _lbk_clip (b);
      if (loan->amount == 0)
        *loan = b->loans_out[--b->loan_out_count];
      return;
    }
}

void
lbk_borrow (lbk_t *b, const char *vm, uint64_t seq, int64_t amount,
            clk_ms_t until, bool settle)
{
  if (amount <= 0 || b->loan_in_count == LBK_LOANS_MAX)
    return;
  b->loans_in
      = talloc_realloc (b, b->loans_in, lbk_loan_in_t, b->loan_in_count + 1);
  lbk_loan_in_t *loan = &b->loans_in[b->loan_in_count++];
  *loan = (lbk_loan_in_t){
    .seq = seq, .left = amount, .until = until, .settle = settle
  };
  snprintf (loan->vm, sizeof loan->vm, "%s", vm);
}

bool
lbk_settlement_pop (lbk_t *b, int64_t keep, lbk_settlement_t *s)
{
  int64_t borrowed = lbk_available (b) - b->held;
  for (size_t i = b->loan_in_count; i-- > 0;)
    {
      lbk_loan_in_t *loan = &b->loans_in[i];
      bool surplus = loan->left > 0 && borrowed - loan->left >= keep;
      if (loan->left > 0 && !surplus)
        continue;
      lbk_loan_in_t settled = *loan;
      *loan = b->loans_in[--b->loan_in_count];
      if (!settled.settle && settled.left == 0)
        continue;
      *s = (lbk_settlement_t){ .seq = settled.seq,
                               .spent = settled.spent,
                               .returned = settled.left };
      memcpy (s->vm, settled.vm, sizeof s->vm);
      return true;
    }
  return false;
}

void
lbk_fill (lbk_t *b)
{
  b->held = _lbk_held_max (b);
}
