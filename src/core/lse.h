/** @file
 * Leases kept in the platform, with fencing numbers.
 *
 *   lse_t *l = lse_setup (ctx, &(lse_desc_t){ 0 });
 *   lse_acquire (l, env, "upstream/snit-3");
 *   while (lse_change_pop (l, env, &change)) ...          gained or lost
 *   if (lse_held (l, env, "upstream/snit-3", &fence)) act with fence
 *
 * lse_held is to be asked immediately before each act: it compares the term
 * with the time of the event at hand, so a VM that was frozen finds out.
 *
 * A VM renews one session object for all its leases, so the platform's
 * writes grow with VMs and not with leases.  The term counts from before the
 * renewal was sent.  Who wants a lease of a VM that does not renew watches
 * that session for a whole term, then revokes it by a conditional update (a
 * renewal that is still under way then conflicts), then takes the lease
 * under the next fencing number.  A write whose outcome is unknown is read
 * back and known again by its writer's VM, session and number.
 *
 * Timers and calls of this module are MOD_MEMBER's with LSE_TAG set.
 */
#ifndef RTS_LSE_H
#define RTS_LSE_H

#include "core/env.h"

/** Set in the tag of each timer and call. */
#define LSE_TAG ((uint64_t)1 << 62)

/** How to set leases up. */
typedef struct
{
  clk_ms_t term_ms;        /**< default 30 s; renewed at a third */
  clk_ms_t retry_ms;       /**< after a failed call; default 1 s */
  clk_ms_t holder_poll_ms; /**< at a lease that another holds; default 5 s */
} lse_desc_t;

/** A lease has come or gone. */
typedef struct
{
  const char *name; /**< lives until the next call into the module */
  bool held;
  uint64_t fence; /**< when held */
} lse_change_t;

typedef struct lse lse_t;

/** New module owned by CTX; holds nothing. */
lse_t *lse_setup (void *ctx, const lse_desc_t *desc);

/** Free it; its leases end by themselves. */
void lse_shutdown (lse_t *l);

/** Try to get and keep lease NAME until it is released. */
void lse_acquire (lse_t *l, env_t *env, const char *name);

/** Give lease NAME up; it does not count as held from now on. */
void lse_release (lse_t *l, env_t *env, const char *name);

/** Whether lease NAME is held at this instant; *FENCE (if not NULL) is its
 * fencing number, which grows with each change of holder. */
bool lse_held (const lse_t *l, const env_t *env, const char *name,
               uint64_t *fence);

/** Take the next lease that has come or gone; false: none. */
bool lse_change_pop (lse_t *l, env_t *env, lse_change_t *change);

void lse_timer_fired (lse_t *l, env_t *env, uint64_t tag);
void lse_platform_replied (lse_t *l, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif
