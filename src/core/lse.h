/** @file
 * Leases (prefix lse_): exclusive, named locks with a time limit that are kept
 * in the platform and carry fencing numbers.  For work that must not be done
 * on two VMs at once; an owner by rendezvous hashing (own.h) is cheaper where
 * that does no harm.
 *
 *   lse_t *l = lse_setup (ctx, &(lse_desc_t){ 0 });
 *   lse_acquire (l, env, "upstream/snit-3");
 *   while (lse_change_pop (l, env, &change)) ...          gained or lost
 *   if (lse_held (l, env, "upstream/snit-3", &fence)) act with fence
 *
 * Call lse_held immediately before each act: it compares the term with the
 * time of the current event, so a VM that was frozen notices that its lease
 * has expired.
 *
 * A VM renews one session object for all its leases, so the number of writes
 * to the platform grows with VMs and not with leases.  The term counts from
 * before the renewal was sent.  A VM that wants the lease of a VM that no
 * longer renews polls that VM's session for a whole term.  It then revokes the
 * session by a conditional update, so that a renewal still in flight
 * conflicts, and takes the lease with the next fencing number.  A write whose
 * outcome is unknown is read back and recognised by VM, session generation and
 * number.
 *
 * Times are in milliseconds.  Failed calls are retried, so no function returns
 * an error.  Timers and platform calls of this module carry MOD_MEMBER and
 * LSE_TAG.
 */
#ifndef RTS_LSE_H
#define RTS_LSE_H

#include "core/env.h"

/** Set in the tag of each timer and platform call of this module. */
#define LSE_TAG ((uint64_t)1 << 62)

/** Settings; a zero selects the default. */
typedef struct
{
  clk_ms_t term_ms;  /**< term of a session, renewed every third of it;
                     default 30 s */
  clk_ms_t retry_ms; /**< wait after a failed platform call; default 1 s */
  clk_ms_t holder_poll_ms; /**< time between polls of another holder's
                                session; default 5 s */
} lse_desc_t;

/** A lease that this VM has gained or lost. */
typedef struct
{
  const char *name; /**< valid until the next call into the module */
  bool held;
  uint64_t fence; /**< fencing number; 0 when not held */
} lse_change_t;

typedef struct lse lse_t;

/** New module without leases, owned by CTX. */
lse_t *lse_setup (void *ctx, const lse_desc_t *desc);

/** Frees the module; its leases expire. */
void lse_shutdown (lse_t *l);

/** Starts to acquire lease NAME, and keeps trying and renewing until
 * lse_release.  The lease is held only once lse_held says so. */
void lse_acquire (lse_t *l, env_t *env, const char *name);

/** Releases lease NAME: lse_held is false from now on. */
void lse_release (lse_t *l, env_t *env, const char *name);

/** Whether this VM holds lease NAME at this instant.  *FENCE (if not NULL) is
 * then the fencing number, which grows with each change of holder. */
bool lse_held (const lse_t *l, const env_t *env, const char *name,
               uint64_t *fence);

/** Takes the next lease that was gained or lost; false: there is none. */
bool lse_change_pop (lse_t *l, env_t *env, lse_change_t *change);

/* Called by the node for tags with LSE_TAG. */
void lse_timer_fired (lse_t *l, env_t *env, uint64_t tag);
void lse_platform_replied (lse_t *l, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif
