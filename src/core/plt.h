/** @file
 * The platform client: ids, a call budget and a breaker for platform calls.
 *
 *   plt_call (env, &(plt_req_t){ .mod = MOD_CONFIG, .tag = 1,
 *                                .op = FX_PLATFORM_GET, .name = "config" });
 *   ... on EV_PLATFORM:
 *   if (plt_reply (env, &ev->platform, &req))
 *     dispatch on req.mod with req.tag and the event's code
 *
 * A call over the budget or while the breaker is open is answered at once
 * with ST_UNAVAILABLE, through plt_refused_pop, so callers have one path.
 * Where peers help (plt_relay_enable), a call that the platform did not take
 * goes through one of them first: it may serve others while it turns this VM
 * away.
 * Does not retry: the module that asked knows whether it may.  A PUT whose
 * outcome is ST_UNKNOWN may have had its effect: re-read, and recognise the
 * own write by a token in the value.
 */
#ifndef RTS_PLT_H
#define RTS_PLT_H

#include "core/clk.h"
#include "core/ev.h"
#include "core/fx.h"
#include "core/mod.h"

struct env;

/** How to set the client up. */
typedef struct
{
  double calls_per_second; /**< budget; default 20 */
  double burst;            /**< default 200 */
  double reserve; /**< of the burst, kept from low_priority calls; default a
                       quarter */
  unsigned breaker_errors; /**< failures in a row that open it; default 5 */
  clk_ms_t breaker_ms;     /**< how long it stays open; default 1 s */
} plt_desc_t;

/** A call; strings are borrowed for plt_call. */
typedef struct
{
  mod_t mod; /**< who asks */
  uint64_t tag;
  fx_platform_op_t op;
  const char *name;
  uint64_t if_version;
  uint64_t revision;
  const char *after; /**< lists: names behind this one; NULL: all */
  bool direct;       /**< never through a peer */
  bool lagging;      /**< a read that may be seconds old will do */
  buf_t value;
  clk_ms_t timeout_ms; /**< default 2 s; a watch 30 s */
  bool low_priority;   /**< a caller's read: refused while the budget runs low,
                     so that   no caller uses up what the VM itself needs */
} plt_req_t;

/** A finished call. */
typedef struct
{
  mod_t mod;
  uint64_t tag;
  fx_platform_op_t op;
} plt_done_t;

typedef struct plt plt_t;

/** New client owned by CTX. */
plt_t *plt_setup (void *ctx, const plt_desc_t *desc);

/** Free it; replies to its calls are then unknown. */
void plt_shutdown (plt_t *p);

/** Start a call. */
void plt_call (struct env *env, const plt_req_t *req);

/** Match a reply to its call; false when the call is not known (any more), or
 * is to be made through a peer now. */
bool plt_reply (struct env *env, const ev_platform_t *reply, plt_done_t *done);

/** From now on calls about single objects that had no effect here are offered
 * to be made through a peer, once. */
void plt_relay_enable (plt_t *p);

/** A call to be made through a peer; valid until its reply. */
typedef struct
{
  uint64_t call; /**< plt_reply takes the outcome under this number */
  fx_platform_op_t op;
  const char *name;
  uint64_t if_version;
  buf_t value;
  bool lagging;
} plt_relay_t;

/** Take one of these; false: none. */
bool plt_relay_pop (struct env *env, plt_relay_t *relay);

/** Take one call that was refused on the spot; false when there is none. */
bool plt_refused_pop (struct env *env, plt_done_t *done);

/** How often the platform has said that it has lost the history that a watch
 * asked for: others may have missed changes without being told. */
uint64_t plt_stale_count (const plt_t *p);

/** Whether the last calls say that the platform answers. */
bool plt_available (const plt_t *p);

#endif
