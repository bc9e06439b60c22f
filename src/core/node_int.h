/** @file
 * Internals of the node (prefix node_): its modules, shared by node.c (the
 * step), node_mods.c (dispatch to the modules), node_relay.c (platform calls
 * through peers) and node_request.c (dispatch of requests).
 *
 * Only these files include this header; all others include node.h.  The node
 * owns all modules.
 */
#ifndef RTS_NODE_INT_H
#define RTS_NODE_INT_H

#include "core/bat.h"
#include "core/cfs.h"
#include "core/cht.h"
#include "core/crd.h"
#include "core/crs.h"
#include "core/dir.h"
#include "core/job.h"
#include "core/key.h"
#include "core/lim.h"
#include "core/mbr.h"
#include "core/node.h"
#include "core/onl.h"
#include "core/opr.h"
#include "core/pth.h"
#include "core/ret.h"
#include "core/rte.h"
#include "core/tbl.h"

/** States of charts/node.ini, in the same order. */
typedef enum
{
  NODE_STARTING,
  NODE_SERVING,
  NODE_LEAVING,
  NODE_STOPPED,
  NODE_STATE_NUM
} node_state_t;

struct node
{
  env_t *env;
  const cht_t *chart;
  node_state_t state;
  clk_ms_t timer_at;  /**< time of the last FX_TIMER; CLK_NEVER: none is set */
  GHashTable *linked; /**< names of peers with an open link */
  uint64_t generation; /**< last mbr_generation passed to the modules */
  node_source_t source;
  bool worker;
  bool configured; /**< a document has come into force */
  /** Times at which a document and the list of VMs became known and a link
   * opened, while it starts (node_informed.c); 0: not yet. */
  clk_ms_t document_at;
  clk_ms_t vms_at;
  clk_ms_t link_at;
  mbr_t *mbr;      /**< membership */
  dir_t *dir;      /**< directory; NULL unless the source is the platform */
  cfs_t *cfs;      /**< configuration sections */
  key_set_t *keys; /**< API keys */
  lim_t *lim;      /**< rate limits */
  rte_t *rte;      /**< routing */
  idm_t *idm;      /**< records of non-idempotent requests */
  crd_t *crd;      /**< batch credits */
  bat_t *bat;      /**< batch jobs in chunks; runs with SOURCE_SECTIONS */
  crs_t *crs;      /**< what ends upstreams */
  stv_t *stv;
  pth_t *pth;     /**< paths to upstreams */
  onl_t *onl;     /**< online requests */
  tbl_t *relays;  /**< platform calls for peers, see node_relay.c */
  job_set_t *job; /**< batch jobs; runs with SOURCE_PLATFORM */
  ret_t *ret;     /**< retirement; NULL unless this VM is a worker */
  opr_t *opr;     /**< operator API */

  /** Platform calls that peers make for this VM, see node_relay.c. */
  GHashTable *asked;
  uint64_t asked_last; /**< number of the last of these calls */
};

/** Whether the node, which has a document, has heard enough to serve. */
bool node_is_informed (node_t *n);

/** Create all modules. */
void node_mods_setup (node_t *n, const node_desc_t *desc);

/** Start the modules, on EV_START. */
void node_mods_start (node_t *n);

/** Let the modules finish or hand over their work, on EV_LEAVE. */
void node_mods_leave (node_t *n);

/** Whether no work remains that a graceful shutdown waits for. */
bool node_mods_idle (const node_t *n);

/** Pass a due timer, a finished platform call, a peer's message or an event
 * of an upstream call to the module that handles it. */
void node_mods_timer (node_t *n, const tmr_due_t *due);
void node_mods_platform (node_t *n, const plt_done_t *done,
                         const ev_platform_t *reply);
void node_mods_message (node_t *n, const char *vm, const msg_t *msg);
void node_mods_upstream (node_t *n, const ev_t *received);

/** Tell the modules that a link to VM is open (UP) or closed. */
void node_mods_link (node_t *n, const char *vm, bool up);

/** Pass a request, or the end of its caller's connection, to the module that
 * handles it (node_request.c). */
void node_mods_request (node_t *n, const ev_request_t *req);
void node_mods_caller_gone (node_t *n, uint64_t caller);

/* node_relay.c: platform calls through peers. */

/** Send this VM's calls that the platform did not accept to a peer. */
void node_relay_drain (node_t *n);
/** Handle MSG from VM: a peer's call, or the outcome of a call of this VM that
 * a peer has made. */
void node_relay_message (node_t *n, const char *vm, const msg_t *msg);
/** Send the outcome of a call that was made for a peer to that peer. */
void node_relay_done (node_t *n, const plt_done_t *done,
                      const ev_platform_t *reply);
/** End the call with number TAG, because the peer has not replied in time. */
void node_relay_timer (node_t *n, uint64_t tag);
/** Pass REPLY to the module of this VM that made the call (node.c). */
void node_platform_replied (node_t *n, const ev_platform_t *reply);

/** The configuration in force; NULL: none yet. */
const cfg_doc_t *node_doc (const node_t *n);

/** Pass queued results and changes from one module to another.  Returns true
 * when a new configuration, perhaps the first, has come into force. */
bool node_mods_drain (node_t *n);

#endif
