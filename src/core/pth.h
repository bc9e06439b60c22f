/** @file
 * Paths (prefix pth_) from this VM to the upstreams: directly, or, while this
 * VM is cut off from them, through a VM that reaches them.
 *
 *   env->pth = pth_setup (ctx, &(pth_desc_t){ .members = m, ... });
 *   via = pth_via (env->pth, env, FX_WAY_ANY, &tunnel);
 *   ... upc_call and upc_event tell it of each call and its events
 *   if (pth_cut_began (p, &since))
 *     rte_forgive (rte, env, since);
 *
 * A VM helps by a *tunnel*: it connects to the upstream and passes the bytes
 * of one HTTP call on, as they come, both ways.  Everything that is decided
 * about the call is decided where the caller's request was taken; the helper
 * decides only whether it helps, and by its own list whether the upstream may
 * get new calls.  A tunnel always connects directly, so that no call passes
 * through more than one other VM.
 *
 * A VM takes itself for *cut off* when a few upstreams, drawn at random, can
 * be reached through another VM and not directly.  It looks when connections
 * to several upstreams fail, or when nothing comes from any while calls wait.
 * Upstreams that are gone for all, a cut from some of them, and one that is
 * silent do not pass that test.  While a VM is cut off it goes on to try the
 * direct path, and takes it up again after PTH_GOOD_PROBES successes in a row;
 * calls in progress stay where they are.
 *
 * In calm no call and no message is made, but for one message on each new link
 * with the address of the VM's tunnels.  A VM that has not sent that message
 * is not asked.  Use this module for paths; it does not judge upstreams
 * (rte.h) and does not choose them.  Times are in milliseconds.  Nothing here
 * fails.
 */
#ifndef RTS_PTH_H
#define RTS_PTH_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/mbr.h"
#include "core/msg.h"

/** Largest number of tunnels for other VMs at the same time. */
#define PTH_TUNNELS_MAX 96
/** Direct probes in a row that must succeed before the path is used again. */
#define PTH_GOOD_PROBES 4

/** Messages between VMs. */
typedef enum
{
  /** On each new link, and when it changes: str address of the sender's
   * tunnels, "": it has none; u64 whether it is cut off. */
  MSG_PATH_STATE = MSG_PATH_FIRST,
} pth_msg_t;

/** Settings. */
typedef struct
{
  mbr_t *members;     /**< required; borrowed */
  const char *tunnel; /**< "IP:PORT" at which this VM passes calls on; NULL: it
                           does not */
} pth_desc_t;

typedef struct pth pth_t;

/** New paths owned by CTX, all direct. */
pth_t *pth_setup (void *ctx, const pth_desc_t *desc);

/** Free them. */
void pth_shutdown (pth_t *p);

/** The upstreams are those of DOC from now on; DOC must stay valid until the
 * next call. */
void pth_config_changed (pth_t *p, const cfg_doc_t *doc);

/** This VM helps no more from now on. */
void pth_leave (pth_t *p, env_t *env);

/** A link to VM has opened, or closed. */
void pth_peer_up (pth_t *p, env_t *env, const char *vm);
void pth_peer_down (pth_t *p, const char *vm);

void pth_message_received (pth_t *p, env_t *env, const char *vm,
                           const msg_t *msg);
void pth_timer_fired (pth_t *p, env_t *env);

/** Handle an event of a probe. */
void pth_upstream_event (pth_t *p, env_t *env, uint64_t tag, const ev_t *ev);

/** The VM through which a call is to go; NULL: directly.  *TUNNEL is set to
 * the address of its tunnels; both are valid until the next event. */
const char *pth_via (pth_t *p, env_t *env, fx_way_t way, const char **tunnel);

/** A call through VIA, NULL: directly, has begun, or ended. */
void pth_call_begun (pth_t *p, env_t *env, const char *via);
void pth_call_ended (pth_t *p, const char *via);

/** EV of a call to ADDRESS through VIA has come.  Returns whether it is a
 * failure of the path, so that it says nothing of the upstream. */
bool pth_call_event (pth_t *p, env_t *env, const char *address,
                     const char *via, const ev_t *ev);

/** Whether this VM takes itself for cut off from the upstreams. */
bool pth_is_cut_off (const pth_t *p);

/** Whether it has begun to, since the last call.  Failures from *SINCE on were
 * the path's. */
bool pth_cut_began (pth_t *p, clk_ms_t *since);

/** Whether this VM helps another one now, with OPEN tunnels. */
bool pth_admit (pth_t *p, env_t *env, size_t open);

#endif
