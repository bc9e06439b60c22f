/** @file
 * Inside of the node: its modules, shared by node.c and node_mods.c.
 *
 * Not for use outside src/core/node*.c.
 */
#ifndef RTS_NODE_INT_H
#define RTS_NODE_INT_H

#include "core/bat.h"
#include "core/cfs.h"
#include "core/cht.h"
#include "core/crd.h"
#include "core/dir.h"
#include "core/job.h"
#include "core/key.h"
#include "core/lim.h"
#include "core/mbr.h"
#include "core/node.h"
#include "core/onl.h"
#include "core/opr.h"
#include "core/ret.h"
#include "core/rte.h"
#include "core/tbl.h"

/** States of charts/node.ini, in its order. */
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
  clk_ms_t timer_at;   /**< of the last FX_TIMER */
  GHashTable *linked;  /**< names of peers with an open link */
  uint64_t generation; /**< of the membership that the modules know */
  node_source_t source;
  bool worker;
  mbr_t *mbr;
  dir_t *dir; /**< NULL unless the source is the platform */
  cfs_t *cfs;
  key_set_t *keys;
  lim_t *lim;
  rte_t *rte;
  idm_t *idm;
  crd_t *crd;
  bat_t *bat;
  onl_t *onl;
  tbl_t *relays; /**< calls that this VM makes for peers; node_relay.c */
  job_set_t *job;
  ret_t *ret; /**< NULL unless this VM is a worker */
  opr_t *opr;
};

/** Set all modules up. */
void node_mods_setup (node_t *n, const node_desc_t *desc);

/** EV_START: the modules begin. */
void node_mods_start (node_t *n);

/** EV_LEAVE: the modules hand over. */
void node_mods_leave (node_t *n);

/** Whether nothing is left that a graceful shutdown waits for. */
bool node_mods_idle (const node_t *n);

/** Hand a due timer, a finished platform call, a peer's message or an
 * upstream's progress to the module it belongs to. */
void node_mods_timer (node_t *n, const tmr_due_t *due);
void node_mods_platform (node_t *n, const plt_done_t *done,
                         const ev_platform_t *reply);
void node_mods_message (node_t *n, const char *vm, const msg_t *msg);
void node_mods_upstream (node_t *n, const ev_t *ev);

/** A link to VM has come (UP) or gone. */
void node_mods_link (node_t *n, const char *vm, bool up);

/** A caller's or operator's request (node_request.c). */
void node_mods_request (node_t *n, const ev_request_t *req);
void node_mods_caller_gone (node_t *n, uint64_t caller);

/* node_relay.c: platform calls through peers. */

/** Offer this VM's calls that the platform did not take to a peer. */
void node_relay_drain (node_t *n);
/** A peer's call, or the outcome of one of this VM's; its number is given to
 * node_relay_reply, which finishes it. */
void node_relay_message (node_t *n, const char *vm, const msg_t *msg);
/** A call that was made for a peer has ended. */
void node_relay_done (node_t *n, const plt_done_t *done,
                      const ev_platform_t *reply);
/** The time for a peer's answer about call TAG is over. */
void node_relay_timer (node_t *n, uint64_t tag);
/** Take REPLY to a call of this VM's. */
void node_platform_replied (node_t *n, const ev_platform_t *reply);

/** The document in force; NULL: none yet. */
const cfg_doc_t *node_doc (const node_t *n);

/** Pass on whatever the modules have for each other.  True when the first
 * configuration, or a new one, has come into force. */
bool node_mods_drain (node_t *n);

#endif
