#include "core/upl_mint.h"

#include "core/lim_bucket.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <talloc.h>

/** The users' rule: in any window an upstream gets at most UPL_FACTOR times
 * what its limit allows, and UPL_SLACK requests. */
#define UPL_WINDOW_S 4.0
#define UPL_FACTOR 1.5
#define UPL_SLACK 5.0
/** Rate of items' tokens as a part of the limit, which online requests may
 * use whole, and how many of them may be saved up. */
#define UPL_ITEM_PART 0.25
#define UPL_ITEM_BURST 1.0
/** Part of what the rule leaves in a window beside both rates that may be
 * saved up for online requests.  The rest covers two mints that both act for a
 * moment. */
#define UPL_BURST_PART 0.8
/** Time by which a loan's room is kept longer than the borrower may use it. */
#define UPL_LOAN_GRACE_MS 20
/** A mint whose share is larger sees most of the fleet. */
#define UPL_MAJORITY 0.5
/** An item gets a token of online requests only if this part of what may be
 * saved up is left. */
#define UPL_ITEM_RESERVE 0.5

/** One VM in line. */
typedef struct
{
  char vm[64];
  uint64_t seq;
  uint32_t tokens;
  clk_ms_t asked_at;
} _upl_waiter_t;

struct upl_mint
{
  lbk_t *buckets[UPL_CLASS_NUM];
  upl_plan_t plan;             /**< what it mints; per_s negative: not set */
  GQueue lines[UPL_CLASS_NUM]; /**< _upl_waiter_t, first in line first */
};

static int
_upl_mint_destroy (upl_mint_t *m)
{
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    g_queue_clear_full (&m->lines[c], g_free);
  return 0;
}

upl_mint_t *
upl_mint_setup (void *ctx)
{
  upl_mint_t *m = talloc_zero (ctx, upl_mint_t);
  m->plan.per_s = -1;
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    {
      m->buckets[c] = lbk_setup (m);
      g_queue_init (&m->lines[c]);
    }
  talloc_set_destructor (m, _upl_mint_destroy);
  return m;
}

static int64_t
_upl_millionths (double tokens)
{
  double bounded = tokens > 0 ? fmin (tokens, UPL_PER_S_MAX) : 0;
  return (int64_t)(bounded * (double)LBK_TOKEN);
}

/** Has the bucket of CLASS mint PER_S, and save up BURST tokens. */
static void
_upl_bucket_set (upl_mint_t *m, clk_ms_t now, upl_class_t class, double per_s,
                 double burst)
{
  lbk_set_rate (m->buckets[class], now, _upl_millionths (per_s),
                _upl_millionths (burst));
}

upl_plan_t
upl_plan_limit (double per_s)
{
  double limit = fmin (per_s, UPL_PER_S_MAX);
  double left = UPL_WINDOW_S * (UPL_FACTOR - 1 - UPL_ITEM_PART) * limit
                + UPL_SLACK - UPL_ITEM_BURST;
  return (upl_plan_t){ .per_s = limit,
                       .burst = UPL_BURST_PART * left,
                       .item_per_s = UPL_ITEM_PART * limit,
                       .item_burst = UPL_ITEM_BURST };
}

upl_plan_t
upl_plan_lower (const upl_plan_t *a, const upl_plan_t *b)
{
  return (upl_plan_t){ .per_s = fmin (a->per_s, b->per_s),
                       .burst = fmin (a->burst, b->burst),
                       .item_per_s = fmin (a->item_per_s, b->item_per_s),
                       .item_burst = fmin (a->item_burst, b->item_burst) };
}

/** The burst of a mint with SHARE of a plan that has BURST.  The mint that
 * sees most of the fleet, of which there is one, keeps room for a whole token.
 */
static double
_upl_burst_part (double burst, double share)
{
  double part = share * burst;
  return share > UPL_MAJORITY ? fmax (part, fmin (burst, 1)) : part;
}

void
upl_mint_plan_set (upl_mint_t *m, clk_ms_t now, const upl_plan_t *plan,
                   double share)
{
  upl_plan_t part = { .per_s = share * plan->per_s,
                      .burst = _upl_burst_part (plan->burst, share),
                      .item_per_s = share * plan->item_per_s,
                      .item_burst = plan->item_burst };
  if (part.per_s == m->plan.per_s && part.burst == m->plan.burst
      && part.item_per_s == m->plan.item_per_s
      && part.item_burst == m->plan.item_burst)
    return;
  for (int c = 0; c < UPL_CLASS_NUM && part.per_s < m->plan.per_s; c++)
    _upl_bucket_set (m, now, (upl_class_t)c, 0, 0);
  _upl_bucket_set (m, now, UPL_ONLINE, part.per_s, part.burst);
  _upl_bucket_set (m, now, UPL_ITEM, part.item_per_s, part.item_burst);
  m->plan = part;
}

void
upl_mint_set (upl_mint_t *m, clk_ms_t now, double per_s, double share)
{
  upl_plan_t plan = upl_plan_limit (per_s);
  upl_mint_plan_set (m, now, &plan, share);
}

static GList *
_upl_waiter_find (const upl_mint_t *m, const char *vm, upl_class_t class)
{
  for (GList *l = m->lines[class].head; l != NULL; l = l->next)
    if (strcmp (((const _upl_waiter_t *)l->data)->vm, vm) == 0)
      return l;
  return NULL;
}

static void
_upl_waiter_drop (upl_mint_t *m, upl_class_t class, GList *link)
{
  g_free (link->data);
  g_queue_delete_link (&m->lines[class], link);
}

void
upl_mint_ask (upl_mint_t *m, clk_ms_t now, const upl_ask_t *ask)
{
  GList *link = _upl_waiter_find (m, ask->vm, ask->class);
  if (ask->tokens == 0)
    return;
  if (link == NULL)
    {
      _upl_waiter_t *new = g_new0 (_upl_waiter_t, 1);
      g_strlcpy (new->vm, ask->vm, sizeof new->vm);
      g_queue_push_tail (&m->lines[ask->class], new);
      link = m->lines[ask->class].tail;
    }
  _upl_waiter_t *w = link->data;
  if (ask->seq < w->seq)
    return;
  w->seq = ask->seq;
  w->tokens = ask->tokens;
  w->asked_at = now;
}

void
upl_mint_settle (upl_mint_t *m, clk_ms_t now, const char *vm, uint64_t seq,
                 int64_t spent, int64_t returned)
{
  /* The bucket that has not lent them ignores it. */
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    lbk_settle (m->buckets[c], now, vm, seq, spent, returned);
}

static void
_upl_lapse (upl_mint_t *m, clk_ms_t now)
{
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    for (GList *l = m->lines[c].head, *next; l != NULL; l = next)
      {
        next = l->next;
        if (now - ((const _upl_waiter_t *)l->data)->asked_at > UPL_ASK_MS)
          _upl_waiter_drop (m, (upl_class_t)c, l);
      }
}

/** Whether items get only tokens that online requests leave. */
static bool
_upl_items_get_rest (const upl_mint_t *m)
{
  return m->plan.item_per_s <= 0;
}

/** The tokens that must be in the bucket of online requests for an item to
 * get one of them. */
static int64_t
_upl_item_needs (const upl_mint_t *m)
{
  int64_t burst = lbk_burst (m->buckets[UPL_ONLINE]);
  int64_t needs = (int64_t)(UPL_ITEM_RESERVE * (double)burst) + LBK_TOKEN;
  /* A burst below two tokens has no room for a reserve. */
  return _upl_items_get_rest (m) ? MAX (MIN (needs, burst), LBK_TOKEN) : needs;
}

/** The bucket that has a token for the first in line of CLASS; NULL: none.
 * Items give way while online requests wait. */
static lbk_t *
_upl_bucket_for (const upl_mint_t *m, upl_class_t class)
{
  lbk_t *online = m->buckets[UPL_ONLINE];
  bool online_waits = !g_queue_is_empty ((GQueue *)&m->lines[UPL_ONLINE]);
  if (g_queue_is_empty ((GQueue *)&m->lines[class])
      || (class == UPL_ITEM && online_waits))
    return NULL;
  if (lbk_held (m->buckets[class]) >= LBK_TOKEN)
    return m->buckets[class];
  if (class == UPL_ITEM && lbk_held (online) >= _upl_item_needs (m))
    return online;
  return NULL;
}

static void
_upl_advance (upl_mint_t *m, clk_ms_t now)
{
  _upl_lapse (m, now);
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    lbk_advance (m->buckets[c], now);
}

/** Lends tokens of BUCKET to the first in line of CLASS. */
static bool
_upl_lend (upl_mint_t *m, clk_ms_t now, upl_class_t class, lbk_t *bucket,
           upl_grant_t *grant)
{
  GList *first = m->lines[class].head;
  const _upl_waiter_t *w = first->data;
  /* Each VM in line gets an even part of what is there. */
  int64_t part
      = lbk_held (bucket) / LBK_TOKEN / (int64_t)m->lines[class].length;
  int64_t tokens = MIN ((int64_t)w->tokens, MAX (part, 1));
  if (bucket != m->buckets[class])
    tokens = 1;
  int64_t lent = lbk_lend (bucket, now, w->vm, w->seq, tokens * LBK_TOKEN,
                           UPL_LOAN_MS + UPL_LOAN_GRACE_MS);
  *grant = (upl_grant_t){ .class = class,
                          .seq = w->seq,
                          .tokens = (uint32_t)(lent / LBK_TOKEN) };
  g_strlcpy (grant->vm, w->vm, sizeof grant->vm);
  if (lent > 0)
    _upl_waiter_drop (m, class, first);
  return lent > 0;
}

bool
upl_mint_grant_pop (upl_mint_t *m, clk_ms_t now, upl_grant_t *grant)
{
  _upl_advance (m, now);
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    {
      lbk_t *bucket = _upl_bucket_for (m, (upl_class_t)c);
      if (bucket != NULL)
        return _upl_lend (m, now, (upl_class_t)c, bucket, grant);
    }
  return false;
}

/** Time until BUCKET, which mints PER_S, holds TOKENS (millionths). */
static clk_ms_t
_upl_until (const lbk_t *bucket, double per_s, int64_t tokens)
{
  double missing = (double)(tokens - lbk_held (bucket)) / (double)LBK_TOKEN;
  if (missing <= 0)
    return 0;
  if (per_s <= 0)
    return CLK_MINUTE;
  return (clk_ms_t)fmin (ceil (missing / per_s * CLK_SECOND), CLK_MINUTE);
}

/** Tokens a second of CLASS, at most. */
static double
_upl_per_s (const upl_mint_t *m, upl_class_t class)
{
  return class == UPL_ITEM && !_upl_items_get_rest (m) ? m->plan.item_per_s
                                                       : m->plan.per_s;
}

/** Time until the first N in line of CLASS have been served. */
static clk_ms_t
_upl_wait (const upl_mint_t *m, upl_class_t class, int64_t n)
{
  if (class == UPL_ITEM && _upl_items_get_rest (m))
    return _upl_until (m->buckets[UPL_ONLINE], m->plan.per_s,
                       _upl_item_needs (m) + (n - 1) * LBK_TOKEN);
  return _upl_until (m->buckets[class], _upl_per_s (m, class), n * LBK_TOKEN);
}

clk_ms_t
upl_mint_next_at (upl_mint_t *m, clk_ms_t now)
{
  clk_ms_t wait = CLK_NEVER;
  _upl_advance (m, now);
  for (int c = 0; c < UPL_CLASS_NUM; c++)
    if (!g_queue_is_empty (&m->lines[c]))
      wait = clk_min (wait, _upl_wait (m, (upl_class_t)c, 1));
  return wait == CLK_NEVER ? CLK_NEVER : now + clk_max (wait, 1);
}

bool
upl_mint_turn (upl_mint_t *m, clk_ms_t now, const char *vm, upl_class_t class,
               upl_turn_t *turn)
{
  GList *link = _upl_waiter_find (m, vm, class);
  if (link == NULL)
    return false;
  int64_t place = g_queue_link_index (&m->lines[class], link) + 1;
  double waiting = m->lines[class].length;
  double per_s = _upl_per_s (m, class);
  lbk_advance (m->buckets[class], now);
  *turn = (upl_turn_t){ .wait_ms = _upl_wait (m, class, place),
                        .gap_ms = CLK_MINUTE };
  if (per_s > 0)
    turn->gap_ms
        = (clk_ms_t)fmin (ceil (waiting / per_s * CLK_SECOND), CLK_MINUTE);
  return true;
}
