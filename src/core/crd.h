/** @file
 * Batch credits (prefix crd_): permissions to run a batch item in a slot of an
 * upstream that online work leaves idle.  Every batch item takes a credit
 * before it is sent; online requests take none.
 *
 *   crd_t *c = crd_setup (ctx, &(crd_desc_t){ 0 });
 *   crd_load_changed (c, env, &(crd_load_t){ ... });   at each change
 *   crd_credit_t credit;
 *   if (crd_credit_take (c, env, &(crd_request_t){ ... }, &credit)) ... send
 *   crd_credit_release (c, env, item, true);           when the item has ended
 *   while (crd_preempt_pop (c, &item)) ... stop the item, run it again later
 *
 * Each upstream has an owner among the VMs of its data centre, chosen by
 * rendezvous hashing, which is only a hint.  Each VM reports its online load
 * to the VM that it takes for the owner.  The owner grants the slots that
 * online work leaves idle, less a reserve of the size of recent bursts.
 * Credits expire CRD_CREDIT_TTL_MS after the report that they answer was sent.
 * Without an owner there are no credits.
 *
 * In a data centre, only the first CRD_USERS_MAX VMs by rendezvous hashing use
 * an upstream for batch items, so the number of reports grows with the number
 * of upstreams, not with upstreams times VMs.
 *
 * Two VMs may both take themselves for the owner.  Three rules keep slots from
 * being granted twice for long: a VM uses credits of one owner at a time and
 * lets them expire before it turns to another; an owner treats as foreign all
 * load that the upstream reports beyond the load known to the owner, and
 * grants only half of each decrease of foreign load; and a VM whose own online
 * requests wait at an upstream preempts its batch items there by itself.
 *
 * After crd_timer_fired, crd_message_received and crd_load_changed the caller
 * stops the items from crd_preempt_pop (bat_pump does).  Times are in
 * milliseconds; no call fails.
 */
#ifndef RTS_CRD_H
#define RTS_CRD_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/ev.h"

/** Time from a report to the expiry of the credits that answer it, in ms. */
#define CRD_CREDIT_TTL_MS (1 * CLK_SECOND)

/** Settings; a zero selects the default. */
typedef struct
{
  /** Time between load reports; default 200 ms. */
  clk_ms_t report_ms;
  /** Window in which a rise of online load counts as a burst; default 20 ms.
   */
  clk_ms_t burst_ms;
  /** Time for which a burst is remembered; default 30 s. */
  clk_ms_t burst_memory_ms;
  /** Keep one slot less in reserve: an online request may then wait until a
   * batch item is cancelled. */
  bool reserve_minus_one;
  /** Slots of an upstream whose deployment states none; default 8. */
  uint32_t default_slots;
} crd_desc_t;

/** This VM's online load on one upstream, and the load the upstream reports.
 */
typedef struct
{
  const char *upstream;
  uint32_t in_flight; /**< online requests sent and not ended */
  uint32_t waiting;   /**< online requests without a slot: queued at the
                           upstream or held back on this VM */
  bool running_known; /**< the upstream has reported its load */
  uint32_t running;   /**< running and queued requests of all VMs, as
                           the upstream reports them */
} crd_load_t;

/** Request for a credit. */
typedef struct
{
  const char *deployment;
  uint64_t item;    /**< chosen by the caller; names the item below */
  bool preemptible; /**< crd_preempt_pop may return the item */
  uint32_t waiting; /**< items that wait for this deployment */
} crd_request_t;

/** Permission to send one item. */
typedef struct
{
  const char *upstream; /**< valid until the next configuration */
  const char *address;
} crd_credit_t;

/** Figures of one upstream as this VM sees it. */
typedef struct
{
  uint32_t granted; /**< credits valid now */
  uint32_t used;    /**< credits in use */
  uint32_t reserve; /**< slots kept free, if this VM is the owner */
  bool owner;       /**< this VM acts as the owner */
} crd_stat_t;

typedef struct crd crd_t;

/** New module, owned by CTX. */
crd_t *crd_setup (void *ctx, const crd_desc_t *desc);

/** Frees the module. */
void crd_shutdown (crd_t *c);

/** Starts to report load and to grant credits. */
void crd_start (crd_t *c, env_t *env);

/** Sets the VMs that may own upstreams; VMS is copied. */
void crd_members_changed (crd_t *c, env_t *env, const ev_vm_t *vms,
                          size_t count);

void crd_config_changed (crd_t *c, env_t *env, const cfg_doc_t *doc);
void crd_timer_fired (crd_t *c, env_t *env, uint64_t tag);
void crd_message_received (crd_t *c, env_t *env, const char *vm,
                           const msg_t *msg);

/** Sets this VM's online load on an upstream. */
void crd_load_changed (crd_t *c, env_t *env, const crd_load_t *load);

/** Takes a credit.  False: none is available now; the demand is reported to
 * the owners of the deployment's upstreams. */
bool crd_credit_take (crd_t *c, env_t *env, const crd_request_t *request,
                      crd_credit_t *credit);

/** Gives the credit of an ended ITEM back.  REACHED is false when no
 * connection to the upstream was established. */
void crd_credit_release (crd_t *c, env_t *env, uint64_t item, bool reached);

/** Takes the next item that must be stopped at once; false: there is none. */
bool crd_preempt_pop (crd_t *c, uint64_t *item);

/** Whether a message of KIND is for this module: bat and crd share a block of
 * message kinds. */
bool crd_owns_message (uint16_t kind);

/** Figures of UPSTREAM; zeros when the upstream is unknown. */
crd_stat_t crd_stat (const crd_t *c, clk_ms_t now, const char *upstream);

#endif
