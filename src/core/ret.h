/** @file
 * Retirement (prefix ret_): a worker polls the platform for the operator's
 * request to empty it, and reports to the platform when it is empty.
 *
 *   ret_t *r = ret_setup (ctx);
 *   ret_start (r, env);
 *   ... ret_timer_fired, ret_platform_replied
 *
 * A worker holds no state that must last: another worker resumes its work from
 * the records in the platform.  So it reports itself empty as soon as it sees
 * the request.  Entry VMs do not use this module: a signal stops them.  Failed
 * calls are repeated at the next poll.
 */
#ifndef RTS_RET_H
#define RTS_RET_H

#include "core/env.h"

typedef struct ret ret_t;

/** Creates a module owned by CTX. */
ret_t *ret_setup (void *ctx);

void ret_shutdown (ret_t *r);

/** Starts to poll for a request. */
void ret_start (ret_t *r, env_t *env);

void ret_timer_fired (ret_t *r, env_t *env);
void ret_platform_replied (ret_t *r, env_t *env, const plt_done_t *done,
                           const ev_platform_t *reply);

#endif
