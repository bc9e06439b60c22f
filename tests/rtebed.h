/** @file
 * Routers on a bed (prefix rtebed_): one or two VMs with a router each, four
 * upstreams that answer load and cache queries at once, and a clock.
 *
 *   rtebed_t *f = rtebed_setup (2);
 *   rtebed_run (f, 500);
 *   rtebed_pick (f, 0, 0, &pick);
 *   talloc_free (f);
 *
 * Use it for tests of the router alone; for whole nodes see hst.h and flt.h.
 * Times are in ms.
 */
#ifndef RTS_RTEBED_H
#define RTS_RTEBED_H

#include "core/rte.h"

#define RTEBED_UPSTREAMS 4
/** Largest part of a response's body that comes at once, in bytes. */
#define RTEBED_BODY_PIECE ((size_t)15000)

/** One or two VMs, a and b, in data centre x; upstreams u0 and u1 in data
 * centre x, u2 and u3 in y, all of deployment "d". */
typedef struct
{
  void *ctx;
  env_t *env[2];
  mbr_t *members[2];
  rte_t *rte[2];
  int vms;
  clk_ms_t now;
  /** Responses to GET /load and GET /cache-events; NULL: time-out. */
  const char *load[RTEBED_UPSTREAMS];
  const char *cache[RTEBED_UPSTREAMS];
  unsigned polls[RTEBED_UPSTREAMS]; /**< polls of both kinds received */
} rtebed_t;

/** Creates a bed with VMS VMs, owned by the caller. */
rtebed_t *rtebed_setup (int vms);

/** A document with all upstreams, owned by CTX; it calls upstream LEAVING, if
 * not NULL, leaving. */
cfg_doc_t *rtebed_document (void *ctx, const char *leaving);

/** Advances the clock by MS, with all timers and effects until then. */
void rtebed_run (rtebed_t *f, clk_ms_t ms);

/** Executes the effects of VM; responses and messages arrive at once. */
void rtebed_effects_apply (rtebed_t *f, int vm);

/** Picks an upstream at VM for a request with PREFIX. */
bool rtebed_pick (rtebed_t *f, int vm, uint64_t prefix, rte_pick_t *p);

#endif
