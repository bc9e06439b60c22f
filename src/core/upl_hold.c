#include "core/upl_hold.h"

#include <glib.h>
#include <talloc.h>

/** Time for which the mint's word on this VM's turn counts. */
#define UPL_TURN_MS CLK_SECOND
/** Time after which an ask that was not granted is repeated. */
#define UPL_REPEAT_MS ((clk_ms_t)100)
/** Largest number of tokens in an ask. */
#define UPL_ASK_TOKENS_MAX 32U
/** Asks whose grants are accepted. */
#define UPL_ASKS_KEPT 8

/** An ask that was sent. */
typedef struct
{
  uint64_t seq;
  clk_ms_t at;
} _upl_sent_t;

/** State of one class. */
typedef struct
{
  lbk_t *loans;
  clk_ms_t wanted_at; /**< when a request could last use a token */
  uint32_t taken;     /**< tokens used since the last ask */
  bool waits;         /**< the last ask was not granted yet */
  _upl_sent_t asks[UPL_ASKS_KEPT]; /**< by seq modulo their number */
  clk_ms_t asked_at;
  upl_turn_t turn;
  clk_ms_t turn_at; /**< when the mint said it */
} _upl_class_state_t;

struct upl_hold
{
  uint64_t seq;       /**< of the last ask */
  clk_ms_t demand_ms; /**< see upl_hold_demand_set */
  _upl_class_state_t classes[UPL_CLASS_NUM];
};

upl_hold_t *
upl_hold_setup (void *ctx, uint64_t base)
{
  upl_hold_t *h = talloc_zero (ctx, upl_hold_t);
  h->seq = base;
  h->demand_ms = UPL_DEMAND_MS;
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    {
      _upl_class_state_t *s = &h->classes[c];
      s->loans = lbk_setup (h);
      s->wanted_at = -CLK_MINUTE;
      s->turn_at = -CLK_MINUTE;
    }
  return h;
}

void
upl_hold_demand_set (upl_hold_t *h, clk_ms_t ms)
{
  h->demand_ms = ms;
}

void
upl_hold_want (upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  h->classes[class].wanted_at = now;
}

uint32_t
upl_hold_tokens (upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  lbk_t *loans = h->classes[class].loans;
  lbk_advance (loans, now);
  return (uint32_t)(lbk_available (loans) / LBK_TOKEN);
}

bool
upl_hold_has (upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  return upl_hold_tokens (h, now, class) > 0
         || (class == UPL_ONLINE && upl_hold_tokens (h, now, UPL_ITEM) > 0);
}

bool
upl_hold_take (upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  h->classes[class].taken++;
  if (lbk_take (h->classes[class].loans, now))
    return true;
  return class == UPL_ONLINE && lbk_take (h->classes[UPL_ITEM].loans, now);
}

/** Tokens that requests of CLASS need beside those that are there. */
static uint32_t
_upl_missing (upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  const _upl_class_state_t *s = &h->classes[class];
  uint32_t have = upl_hold_tokens (h, now, class);
  uint32_t need = MIN (1 + s->taken, UPL_ASK_TOKENS_MAX);
  if (now - s->wanted_at >= h->demand_ms)
    return 0;
  return need > have ? need - have : 0;
}

/** When the next ask of CLASS is due; CLK_NEVER: no token is missing. */
static clk_ms_t
_upl_ask_at (upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  const _upl_class_state_t *s = &h->classes[class];
  if (_upl_missing (h, now, class) == 0)
    return CLK_NEVER;
  return s->waits ? s->asked_at + UPL_REPEAT_MS : now;
}

bool
upl_hold_ask (upl_hold_t *h, clk_ms_t now, upl_class_t class, upl_ask_t *ask)
{
  _upl_class_state_t *s = &h->classes[class];
  if (_upl_ask_at (h, now, class) > now)
    return false;
  ask->class = class;
  ask->seq = ++h->seq;
  ask->tokens = _upl_missing (h, now, class);
  s->asks[ask->seq % UPL_ASKS_KEPT]
      = (_upl_sent_t){ .seq = ask->seq, .at = now };
  s->asked_at = now;
  s->waits = true;
  s->taken = 0;
  return true;
}

/** When tokens of CLASS that nobody has wanted go back; CLK_NEVER: there are
 * none. */
static clk_ms_t
_upl_return_at (upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  if (upl_hold_tokens (h, now, class) == 0)
    return CLK_NEVER;
  return h->classes[class].wanted_at + h->demand_ms;
}

clk_ms_t
upl_hold_due_at (upl_hold_t *h, clk_ms_t now)
{
  clk_ms_t at = CLK_NEVER;
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    {
      at = clk_min (at, _upl_ask_at (h, now, (upl_class_t)c));
      at = clk_min (at, _upl_return_at (h, now, (upl_class_t)c));
    }
  return at;
}

void
upl_hold_granted (upl_hold_t *h, clk_ms_t now, const char *vm,
                  upl_class_t class, uint64_t seq, uint32_t tokens)
{
  _upl_class_state_t *s = &h->classes[class];
  _upl_sent_t *sent = &s->asks[seq % UPL_ASKS_KEPT];
  clk_ms_t until = sent->at + UPL_LOAN_MS;
  if (tokens == 0 || sent->seq != seq || now >= until)
    return;
  s->waits = false;
  *sent = (_upl_sent_t){ .seq = 0 };
  lbk_borrow (s->loans, vm, seq, (int64_t)tokens * LBK_TOKEN, until, true);
}

void
upl_hold_turn_set (upl_hold_t *h, clk_ms_t now, upl_class_t class,
                   const upl_turn_t *turn)
{
  h->classes[class].turn = *turn;
  h->classes[class].turn_at = now;
}

upl_turn_t
upl_hold_turn (const upl_hold_t *h, clk_ms_t now, upl_class_t class)
{
  const _upl_class_state_t *s = &h->classes[class];
  upl_turn_t turn = s->turn;
  if (now - s->turn_at > UPL_TURN_MS)
    return (upl_turn_t){ 0 };
  turn.wait_ms = clk_max (turn.wait_ms - (now - s->turn_at), 0);
  return turn;
}

void
upl_hold_mint_changed (upl_hold_t *h)
{
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    h->classes[c].waits = false;
}

bool
upl_hold_settlement_pop (upl_hold_t *h, clk_ms_t now, lbk_settlement_t *s)
{
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    {
      bool idle = _upl_return_at (h, now, (upl_class_t)c) <= now;
      int64_t keep = idle ? 0 : INT64_MAX / 2;
      lbk_advance (h->classes[c].loans, now);
      if (lbk_settlement_pop (h->classes[c].loans, keep, s))
        return true;
    }
  return false;
}
