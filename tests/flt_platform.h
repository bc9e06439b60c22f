/** @file
 * fpl ("fake platform"): the object store of the fleet harness, with versions
 * and a change log.  Calls act at once; the harness adds latency, faults and
 * the VM list.
 */
#ifndef RTS_FLT_PLATFORM_H
#define RTS_FLT_PLATFORM_H

#include "core/ev.h"
#include "core/fx.h"

typedef struct fpl fpl_t;

/** Creates an empty store owned by CTX. */
fpl_t *fpl_setup (void *ctx);

/** Carries out CALL and fills REPLY, whose data CTX owns.  Returns false for a
 * watch when nothing has changed yet. */
bool fpl_call (fpl_t *p, void *ctx, const fx_platform_t *call,
               ev_platform_t *reply);

/** Writes an object, whatever its version is. */
void fpl_put (fpl_t *p, const char *name, buf_t value);

#endif
