/** @file
 * The fake platform: objects with versions, a change log, a VM list.
 */
#ifndef RTS_FLT_PLATFORM_H
#define RTS_FLT_PLATFORM_H

#include "core/ev.h"
#include "core/fx.h"

typedef struct fpl fpl_t;

fpl_t *fpl_setup (void *ctx);

/** Carry out P into REPLY (owned by CTX).  False: a watch without news. */
bool fpl_call (fpl_t *p, void *ctx, const fx_platform_t *call,
               ev_platform_t *reply);

/** Write without a condition. */
void fpl_put (fpl_t *p, const char *name, buf_t value);

#endif
