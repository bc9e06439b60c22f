/** @file
 * Retirement: a worker that the operator wants emptied says when it is empty.
 *
 *   ret_t *r = ret_setup (ctx);
 *   ret_start (r, env);
 *   ... ret_timer_fired, ret_platform_replied
 *
 * A worker keeps nothing that must last: what it runs goes on at another from
 * the records in the platform.  So the answer is given as soon as the request
 * is seen.  Not for VMs that take requests: these are stopped by a signal.
 */
#ifndef RTS_RET_H
#define RTS_RET_H

#include "core/env.h"

typedef struct ret ret_t;

/** New module owned by CTX. */
ret_t *ret_setup (void *ctx);

/** Free it. */
void ret_shutdown (ret_t *r);

/** Begin to look for a request. */
void ret_start (ret_t *r, env_t *env);

void ret_timer_fired (ret_t *r, env_t *env);
void ret_platform_replied (ret_t *r, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif
