/** @file
 * VMs that ask one mint for tokens, without a network (prefix ufl_).
 *
 *   ufl_t *f = ufl_setup (8, 1.4);
 *   (void)ufl_send (f, 0, UPL_ONLINE);
 *   ufl_step (f, 1);
 *   ufl_shutdown (f);
 *
 * Only tests use this file.  Times are in ms, rates in requests a second.
 */
#ifndef RTS_UPLFLEET_H
#define RTS_UPLFLEET_H

#include "core/upl_hold.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <talloc.h>

#define UFL_VMS_MAX 250

typedef struct
{
  void *ctx;
  size_t vms;
  upl_mint_t *mint;
  upl_hold_t *hold[UFL_VMS_MAX];
  char name[UFL_VMS_MAX][8];
  clk_ms_t now;
  GArray *sent; /* clk_ms_t: when tokens were used */
} ufl_t;

static inline ufl_t *
ufl_setup (size_t vms, double per_s)
{
  void *ctx = talloc_new (NULL);
  ufl_t *f = talloc_zero (ctx, ufl_t);
  f->ctx = ctx;
  f->vms = vms;
  f->now = 1000;
  f->mint = upl_mint_setup (ctx);
  f->sent = g_array_new (FALSE, FALSE, sizeof (clk_ms_t));
  for (size_t i = 0; i < f->vms; i++)
    {
      f->hold[i] = upl_hold_setup (ctx, 0);
      g_snprintf (f->name[i], sizeof f->name[i], "vm-%zu", i);
    }
  upl_mint_set (f->mint, f->now, per_s, 1);
  return f;
}

static inline void
ufl_shutdown (ufl_t *f)
{
  g_array_unref (f->sent);
  talloc_free (f->ctx);
}

static inline void
ufl_grants_deliver (ufl_t *f)
{
  upl_grant_t grant;
  while (upl_mint_grant_pop (f->mint, f->now, &grant))
    for (size_t i = 0; i < f->vms; i++)
      if (g_str_equal (grant.vm, f->name[i]))
        upl_hold_granted (f->hold[i], f->now, "mint", grant.class, grant.seq,
                          grant.tokens);
}

/* Lets MS pass: each VM asks and settles, and all get what is granted. */
static inline void
ufl_step (ufl_t *f, clk_ms_t ms)
{
  f->now += ms;
  for (size_t i = 0; i < f->vms; i++)
    {
      lbk_settlement_t s;
      upl_ask_t ask = { .vm = f->name[i] };
      while (upl_hold_settlement_pop (f->hold[i], f->now, &s))
        upl_mint_settle (f->mint, f->now, f->name[i], s.seq, s.spent,
                         s.returned);
      for (int c = 0; c < UPL_CLASS_NUM; c++)
        if (upl_hold_ask (f->hold[i], f->now, (upl_class_t)c, &ask))
          upl_mint_ask (f->mint, f->now, &ask);
    }
  ufl_grants_deliver (f);
}

/* VM uses a token for a request of CLASS, if it has one. */
static inline bool
ufl_send (ufl_t *f, size_t vm, upl_class_t class)
{
  upl_hold_want (f->hold[vm], f->now, class);
  if (!upl_hold_has (f->hold[vm], f->now, class))
    return false;
  CU_ASSERT (upl_hold_take (f->hold[vm], f->now, class));
  g_array_append_val (f->sent, f->now);
  return true;
}

/* Largest number of tokens used in a window of WINDOW_MS. */
static inline unsigned
ufl_worst (const ufl_t *f, clk_ms_t window_ms)
{
  unsigned worst = 0;
  for (guint i = 0, first = 0; i < f->sent->len; i++)
    {
      clk_ms_t at = g_array_index (f->sent, clk_ms_t, i);
      while (g_array_index (f->sent, clk_ms_t, first) <= at - window_ms)
        first++;
      worst = MAX (worst, i - first + 1);
    }
  return worst;
}

#endif
