/** @file
 * Upstream calls in progress: whose they are, and their ids.
 *
 *   uint64_t call = upc_call (env, MOD_ONLINE, tag, &(fx_upstream_t){ ... });
 *   upc_cancel (env, call);
 *   ... on EV_UPSTREAM_*:
 *   if (upc_event (env, ev, &owner)) dispatch on owner.mod with owner.tag
 *
 * A cancelled or ended call's id is stale, so a late answer finds nobody.
 * Every call carries an X-Request-Id, the module's or one made here; an
 * upstream that repeats another one answers somebody else.
 */
#ifndef RTS_UPC_H
#define RTS_UPC_H

#include "core/ev.h"
#include "core/fx.h"
#include "core/mod.h"

struct env;

/** Whose a call is. */
typedef struct
{
  mod_t mod;
  uint64_t tag;
  bool id_differs; /**< the answer names another request: the call is cancelled
                     and its module is to take it as broken */
} upc_owner_t;

typedef struct upc upc_t;

/** New table owned by CTX. */
upc_t *upc_setup (void *ctx);

/** Free it. */
void upc_shutdown (upc_t *u);

/** Start a call for MOD with TAG; REQ's call field is set here.  Returns the
 * call's id; 0 when too many calls are in progress. */
uint64_t upc_call (struct env *env, mod_t mod, uint64_t tag,
                   const fx_upstream_t *req);

/** Stop a call; a stale id is ignored. */
void upc_cancel (struct env *env, uint64_t call);

/** Whose EV's call is; after its END or FAIL the id is stale.  False when
 * the call was cancelled or has ended. */
bool upc_event (struct env *env, const ev_t *ev, upc_owner_t *owner);

/** Calls in progress. */
uint32_t upc_count (const upc_t *u);

#endif
