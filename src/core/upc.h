/** @file
 * Upstream calls (prefix upc_): table of the calls in progress, with the
 * module that owns each call.
 *
 *   uint64_t call = upc_call (env, MOD_ONLINE, tag, &(fx_upstream_t){ ... });
 *   upc_cancel (env, call);
 *   ... on EV_UPSTREAM_*:
 *   if (upc_event (env, &ev, &owner)) pass ev to owner.mod with owner.tag
 *
 * Use this module for every HTTP call to an upstream; it neither retries nor
 * sets time-outs.  The id of a cancelled or ended call is invalid, so its late
 * events are ignored.  Every call carries an X-Request-Id header: the one in
 * the module's headers or a generated one.  A response that returns another id
 * belongs to another request.  One from an upstream that proves the origin of
 * its responses must have the id and, if it is a success, the signature.  The
 * caller of upc_call keeps the ownership of the request, which is copied.
 */
#ifndef RTS_UPC_H
#define RTS_UPC_H

#include "core/ev.h"
#include "core/fx.h"
#include "core/mod.h"

/** Header with the id of a request. */
#define UPC_ID_HEADER "X-Request-Id"

/** Headers of a response that may not have two values, as in rhd_desc_t. */
extern const char *const upc_once_headers[];

struct env;

/** Owner of a call. */
typedef struct
{
  mod_t mod;
  uint64_t tag;
} upc_owner_t;

typedef struct upc upc_t;

/** Creates a table owned by CTX. */
upc_t *upc_setup (void *ctx);

/** Frees U; does not cancel its calls. */
void upc_shutdown (upc_t *u);

/** Starts a call for MOD with TAG.  The call field of REQ is ignored.  Returns
 * the call's id, or 0 when too many calls are in progress. */
uint64_t upc_call (struct env *env, mod_t mod, uint64_t tag,
                   const fx_upstream_t *req);

/** Cancels a call; ignores an invalid id. */
void upc_cancel (struct env *env, uint64_t call);

/** Finds the owner of the call of EV.  The head of a response that does not
 * prove to be the call's own is replaced by EV_UPSTREAM_FAIL, and the call is
 * cancelled.  After an END or FAIL event the call's id is invalid.  Returns
 * false when the call was cancelled or has ended. */
bool upc_event (struct env *env, ev_t *ev, upc_owner_t *owner);

/** Number of calls in progress. */
uint32_t upc_count (const upc_t *u);

#endif
