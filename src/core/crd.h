/** @file
 * Batch credits: which slots of which upstream batch items may use now.
 *
 *   crd_t *c = crd_setup (ctx, &(crd_desc_t){ 0 });
 *   crd_load_changed (c, env, &(crd_load_t){ ... });    online load, at once
 *   crd_credit_t credit;
 *   if (crd_credit_take (c, env, &(crd_request_t){ ... }, &credit)) ... send
 *   crd_credit_release (c, env, item, true);                  when it has
 * ended while (crd_preempt_pop (c, &item)) ... stop it, run it again later
 *
 * Each upstream has an owner among the VMs of its data centre (rendezvous
 * hashing: a hint).  VMs report their online load to the one owner that they
 * believe in, and it hands out what online work leaves idle, less a reserve
 * of the size of the bursts it has seen.  A credit ends CRD_CREDIT_TTL_MS
 * after the report that it answers was sent.  Without an owner there are none.
 *
 * Of a data centre's VMs only the first CRD_USERS_MAX by rendezvous hashing
 * use an upstream for batch items, so that reports grow with upstreams, not
 * with upstreams times VMs.
 *
 * Two owners stay harmless: a VM uses credits of one owner at a time and
 * lets them lapse before it turns to another; an owner takes what the
 * upstream itself reports above the load it knows as foreign, and of a
 * decrease of that it hands out half at a time; and a VM whose own online
 * requests wait stops its batch items there by itself.
 *
 * After crd_timer_fired, crd_message_received and crd_load_changed the items
 * of crd_preempt_pop are to be stopped (bat_pump does).
 */
#ifndef RTS_CRD_H
#define RTS_CRD_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/ev.h"

/** Life of a credit, in milliseconds. */
#define CRD_CREDIT_TTL_MS (1 * CLK_SECOND)

/** How to set credits up. */
typedef struct
{
  clk_ms_t report_ms; /**< between load reports; default 200 ms */
  clk_ms_t burst_ms;  /**< a burst is a rise within this; default 20 ms */
  clk_ms_t
      burst_memory_ms;    /**< how long a burst is remembered; default 30 s */
  bool reserve_minus_one; /**< one slot less in reserve: a request may then
                          wait until a batch item is cancelled */
  uint32_t default_slots; /**< of an upstream without a figure; default 8 */
} crd_desc_t;

/** This VM's online load on one upstream, and what the upstream says. */
typedef struct
{
  const char *upstream;
  uint32_t in_flight; /**< online requests sent and not ended */
  uint32_t waiting;   /**< of these, or held back: without a slot */
  bool running_known; /**< the upstream has said what it runs */
  uint32_t running;   /**< and queued there, of everybody, by its report */
} crd_load_t;

/** Request for a credit. */
typedef struct
{
  const char *deployment;
  uint64_t item;    /**< caller's name for the item */
  bool preemptible; /**< may be asked back by crd_preempt_pop */
  uint32_t waiting; /**< items that wait for this deployment */
} crd_request_t;

/** Permission for one item. */
typedef struct
{
  const char *upstream; /**< valid until the next configuration */
  const char *address;
} crd_credit_t;

/** Figures of one upstream as this VM sees it. */
typedef struct
{
  uint32_t granted; /**< credits valid now */
  uint32_t used;
  uint32_t reserve; /**< when this VM owns it */
  bool owner;       /**< this VM believes that it is the owner */
} crd_stat_t;

typedef struct crd crd_t;

/** New module owned by CTX. */
crd_t *crd_setup (void *ctx, const crd_desc_t *desc);

/** Free it. */
void crd_shutdown (crd_t *c);

/** Begin to report and to hand out credits. */
void crd_start (crd_t *c, env_t *env);

/** The VMs that may own upstreams. */
void crd_members_changed (crd_t *c, env_t *env, const ev_vm_t *vms,
                          size_t count);

void crd_config_changed (crd_t *c, env_t *env, const cfg_doc_t *doc);
void crd_timer_fired (crd_t *c, env_t *env, uint64_t tag);
void crd_message_received (crd_t *c, env_t *env, const char *vm,
                           const msg_t *msg);

/** Note this VM's online load on an upstream. */
void crd_load_changed (crd_t *c, env_t *env, const crd_load_t *load);

/** Take a credit; false: none now, and the wish is noted. */
bool crd_credit_take (crd_t *c, env_t *env, const crd_request_t *request,
                      crd_credit_t *credit);

/** WHO has ended; REACHED false: no connection to its upstream opened. */
void crd_credit_release (crd_t *c, env_t *env, uint64_t item, bool reached);

/** Whose item is to be stopped at once; false when nobody's is. */
bool crd_preempt_pop (crd_t *c, uint64_t *item);

/** Whether a message of KIND is crd's (bat and crd share a block). */
bool crd_owns_message (uint16_t kind);

/** Figures of UPSTREAM; zeros when it is unknown. */
crd_stat_t crd_stat (const crd_t *c, clk_ms_t now, const char *upstream);

#endif
