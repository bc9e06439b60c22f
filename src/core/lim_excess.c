/** @file
 * Limits: use of the slack (lim_slack.h), by which a customer may exceed its
 * rate in a window.
 *
 * In a small fleet each entry VM has a part of its own.  In a fleet so large
 * that such a part is less than one request, LIM_HOLDERS VMs of each data
 * centre hold the slack instead: the first ones for the customer by rendezvous
 * hashing.  They give from it while no VM of the customer's home answers, so
 * that a data centre that is cut off serves more than its own part of the
 * rate.  Both kinds of part add up to less than the whole slack; the rest is
 * reserved for a VM that takes the place of a holder within a window.
 */
#include "core/lim_int.h"
#include "core/mpk.h"

#include <string.h>
#include <talloc.h>

/** VMs of each data centre that hold its slack for a customer. */
#define LIM_HOLDERS 2

/* Requests in a window that each entry VM may admit by a part of its own. */
static double
_lim_vm_part (const lim_t *l, const lim_customer_t *c)
{
  const mbr_t *m = l->desc.members;
  size_t entries = 0;
  for (size_t i = 0; i < mbr_vm_count (m); i++)
    entries += !mbr_vm_get (m, i)->worker;
  return lsl_part_of (c->excess, entries);
}

bool
lim_excess_take (const lim_t *l, const env_t *env, lim_customer_t *c)
{
  if (env->now >= l->slack_until
      || mbr_list_read_at (l->desc.members) == CLK_NEVER)
    return false;
  return lsl_take (&c->slack, &l->desc.slack, env->now, _lim_vm_part (l, c));
}

/* The VMs that hold C's slack in this VM's data centre; returns their
 * number. */
static size_t
_lim_holders (const lim_t *l, const env_t *env, const lim_customer_t *c,
              const char *vms[LIM_HOLDERS])
{
  if (_lim_vm_part (l, c) >= 1)
    return 0;
  return mbr_rank (l->desc.members, env->data_centre, MOD_LIMIT, c->name, vms,
                   LIM_HOLDERS);
}

int64_t
lim_excess_give (const lim_t *l, const env_t *env, lim_customer_t *c,
                 int64_t need)
{
  const char *vms[LIM_HOLDERS];
  /* The process before may have given all of it in this window. */
  if (env->now < l->started_at + l->desc.slack.window_ms)
    return 0;
  size_t n = _lim_holders (l, env, c, vms);
  bool holds = false;
  for (size_t i = 0; i < n; i++)
    holds = holds || strcmp (vms[i], env->vm) == 0;
  if (!holds)
    return 0;
  size_t holders = LIM_HOLDERS * mbr_data_centre_count (l->desc.members);
  double part = lsl_part_of (c->excess, holders);
  int64_t given = 0;
  while (given < need && lsl_take (&c->slack, &l->desc.slack, env->now, part))
    given += LBK_TOKEN;
  return given;
}

/* Whether the customer's home is another data centre of which no VM answers.
 */
static bool
_lim_home_is_silent (const lim_t *l, const env_t *env, const lim_customer_t *c)
{
  const char *home = lsh_home (l->shares, c->name);
  if (home == NULL || strcmp (home, env->data_centre) == 0)
    return false;
  for (size_t i = 0; i < c->preferred_count; i++)
    if (!lim_source_is_skipped (l, env, c->sources[i].vm))
      return false;
  return true;
}

static void
_lim_excess_request_send (lim_t *l, env_t *env, lim_customer_t *c,
                          const char *vm, int64_t need)
{
  mpk_writer_t w;
  mpk_writer_init (&w, l);
  mpk_put_str (&w, buf_str (c->name));
  mpk_put_uint (&w, lim_loan_request_add (l, env, c, vm));
  mpk_put_int (&w, need);
  buf_t body = mpk_done (&w);
  mbr_send (l->desc.members, env, vm, MSG_LIMIT_SLACK_REQUEST, body);
  talloc_free ((void *)(uintptr_t)body.p);
}

bool
lim_excess_request (lim_t *l, env_t *env, lim_customer_t *c, int64_t need)
{
  const char *vms[LIM_HOLDERS];
  if (need <= 0 || c->token_request_count >= LIM_TOKEN_REQUESTS_MAX
      || !_lim_home_is_silent (l, env, c))
    return false;
  size_t n = _lim_holders (l, env, c, vms);
  if (c->slack_requests >= n)
    return false;
  /* The requests of a fleet's VMs spread over the holders. */
  const char *vm = vms[(env->incarnation + c->slack_requests++) % n];
  if (strcmp (vm, env->vm) != 0)
    {
      cnt_add (env->cnt, "rts_limit_slack_requests_total", "", 1);
      _lim_excess_request_send (l, env, c, vm, need);
      return true;
    }
  int64_t own = lim_excess_give (l, env, c, need);
  if (own > 0)
    lbk_borrow (c->bucket, env->vm, ++l->seq, own, env->now + l->desc.loan_ms,
                false);
  return true;
}
