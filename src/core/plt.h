/** @file
 * Platform client (prefix plt_): numbers the calls to the platform's object
 * store, keeps them within a budget and stops them with a circuit breaker.
 *
 *   plt_call (env, &(plt_req_t){ .mod = MOD_CONFIG, .tag = 1,
 *                                .op = FX_PLATFORM_GET, .name = "config" });
 *   ... on EV_PLATFORM:
 *   if (plt_reply (env, &ev->platform, &done))
 *     dispatch on done.mod with done.tag and the event's code
 *
 * Every module of a node makes its platform calls through this client.  A
 * call over the budget, or made while the breaker is open, fails at once with
 * ST_UNAVAILABLE and is returned by plt_refused_pop, so that callers handle
 * all failures in one place.  After plt_relay_enable, a call that the platform
 * did not accept is first relayed through a peer, because the platform may
 * serve other VMs while it refuses this one.
 *
 * The client does not retry; the calling module knows whether a retry is safe.
 * A PUT with outcome ST_UNKNOWN may have taken effect: the caller reads the
 * object again and recognises its own write by a token in the value.  Times
 * are in ms.
 */
#ifndef RTS_PLT_H
#define RTS_PLT_H

#include "core/clk.h"
#include "core/ev.h"
#include "core/fx.h"
#include "core/mod.h"

struct env;

/** Settings of the client; zeros mean the defaults. */
typedef struct
{
  /** Rate at which the budget refills, in calls per second; default 20. */
  double calls_per_second;
  /** Largest budget, in calls; default 200. */
  double burst;
  /** Part of the budget that low_priority calls leave to other calls, in
   * calls; default a quarter of burst. */
  double reserve;
  /** Consecutive failures that open the breaker; default 5.
   * plt_relay_enable sets 3. */
  unsigned breaker_errors;
  /** How long the breaker stays open; default 1 s. */
  clk_ms_t breaker_ms;
} plt_desc_t;

/** A call; its strings are borrowed until plt_call returns. */
typedef struct
{
  mod_t mod;    /**< the calling module */
  uint64_t tag; /**< chosen by the caller and returned in plt_done_t */
  fx_platform_op_t op;
  const char *name;    /**< of the object, or a prefix */
  uint64_t if_version; /**< as in fx_platform_t */
  uint64_t revision;   /**< watch for changes after this one; 0: read now */
  const char *after;   /**< lists: start after this name; NULL: all */
  bool direct;         /**< never relayed through a peer */
  bool probe;          /**< made also while the breaker is open */
  bool allow_stale;    /**< the result of the read may be seconds old */
  buf_t value;         /**< FX_PLATFORM_PUT */
  clk_ms_t timeout_ms; /**< 0: 2 s, or 600 ms once relaying is enabled, or
                            30 s for a watch */
  /** A read for an HTTP caller.  The client refuses the read while the budget
   * is down to the reserve, so that callers cannot use up the calls that the
   * VM itself needs. */
  bool low_priority;
} plt_req_t;

/** A call that has finished. */
typedef struct
{
  mod_t mod;
  uint64_t tag;
  fx_platform_op_t op;
} plt_done_t;

typedef struct plt plt_t;

/** Create a client owned by CTX. */
plt_t *plt_setup (void *ctx, const plt_desc_t *desc);

/** Free the client.  Replies to its calls no longer match any call. */
void plt_shutdown (plt_t *p);

/** Start a call.  A refused call is reported by plt_refused_pop. */
void plt_call (struct env *env, const plt_req_t *req);

/** Find the call that REPLY belongs to and end the call.  Returns false when
 * the call is unknown or has already ended, and when the call is now relayed
 * through a peer instead. */
bool plt_reply (struct env *env, const ev_platform_t *reply, plt_done_t *done);

/** Enable relaying: from now on a GET, PUT or DELETE that had no effect at the
 * platform is relayed through a peer, at most once.  Calls then time out
 * sooner, and 3 consecutive failures open the breaker. */
void plt_relay_enable (plt_t *p);

/** A call to relay through a peer; valid until the call's reply. */
typedef struct
{
  uint64_t call; /**< the number under which plt_reply expects the outcome */
  fx_platform_op_t op;
  const char *name;
  uint64_t if_version;
  buf_t value;
  bool allow_stale;
} plt_relay_t;

/** Take the next call to relay; false when there is none. */
bool plt_relay_pop (struct env *env, plt_relay_t *relay);

/** Take the next call that plt_call refused; false when there is none. */
bool plt_refused_pop (struct env *env, plt_done_t *done);

/** Number of replies with ST_STALE.  Each says that the platform has lost the
 * history that a watch needs; other watches may have missed changes without a
 * notice. */
uint64_t plt_stale_count (const plt_t *p);

/** Number of times that a call was answered after one or more that had failed.
 * A watch that began during such trouble may wait for ever. */
uint64_t plt_recovered_count (const plt_t *p);

/** Whether the last call that was not relayed ended with neither
 * ST_UNAVAILABLE nor ST_UNKNOWN; true before the first call. */
bool plt_available (const plt_t *p);

/** When the platform was last known to be away: the start of the last of
 * several calls that it did not serve, over a second or more without one that
 * it served; CLK_NEVER: it never was.  Calls that were refused here say
 * nothing of the platform.  It has not come back before that instant, neither
 * for all nor for this VM alone. */
clk_ms_t plt_away_at (const plt_t *p);

#endif
