/** @file
 * Routing: the state of upstreams and the choice among them.
 *
 *   rte_pick_t pick;
 *   if (rte_pick (r, env, &(rte_query_t){ .deployment = "snit-llm",
 *                                       .prefix = rte_prefix (prompt) },
 *                 &pick))
 *     ... send to pick.address, then
 *   rte_first_byte (r, env, pick.handle);
 *   rte_finished (r, env, pick.handle);      or rte_failed
 *
 * The choice is the least expected time to first byte: requests in the
 * upstream as told by all VMs that use it, the own part kept up to date,
 * the cost of a prompt prefix that is not cached there, and the distance.
 * Each upstream has one poller, a VM of its data centre; a VM tells the
 * poller how many requests it has there and gets the sum, the last load
 * report and cache events in return, so that messages grow with what a VM
 * uses and not with the fleet.
 *
 * Does not retry, queue or hold requests: see onl.h, rtb.h and fqu.h.
 * docs/ROUTING.md gives the ways weighed and the figures.
 */
#ifndef RTS_RTE_H
#define RTS_RTE_H

#include "core/cfg.h"
#include "core/env.h"
#include "core/mbr.h"
#include "core/msg.h"

/** Messages between VMs. */
typedef enum
{
  /** VM to poller: u64 count of entries, then for each: str upstream,
   * u64 requests in flight, u64 batch ones among them, u64 cache events
   * seen. */
  MSG_ROUTE_USAGE = MSG_ROUTE_FIRST,
  /** Poller to VM, the answer: for each upstream of the use message: str
   * upstream, u64 VMs that use it, u64 in flight of the others, u64 batch ones
   * among them, u64 state bits, u64 report's age (ms), u64 running, u64
   * waiting, u64 hidden, u64 slots, u64 cache events up to here, u64 count of
   * events, then for each: u64 added, u64 prefix. */
  MSG_ROUTE_REPORT = MSG_ROUTE_FIRST + 1,
  /** VM to poller: str upstream, u64 in flight there, u64 batch ones among
   * them; an online request took its last slot. */
  MSG_ROUTE_SLOTS_TAKEN = MSG_ROUTE_FIRST + 2,
  /** Poller to the VM with most batch requests there: the same of the poller;
   * one is to give way. */
  MSG_ROUTE_PREEMPT = MSG_ROUTE_FIRST + 3,
} rte_msg_t;

/** How to set routing up; zeros mean the defaults. */
typedef struct
{
  mbr_t *members;          /**< required; the pollers are among them */
  clk_ms_t report_ms;      /**< between load reports; default 200 */
  clk_ms_t exchange_ms;    /**< between messages to a poller; default 100, more
                                when there are many pollers */
  uint32_t queue_max;      /**< requests beyond its slots that an upstream may
                            get in spite of rte_query_t.skip_full; default 2 */
  clk_ms_t distance_ms;    /**< price of another data centre; default 4 */
  uint32_t subset;         /**< most upstreams of a deployment that this VM
                                uses, in each data centre; default 6 */
  uint32_t prefixes;       /**< prefixes remembered; default 4,096 */
  clk_ms_t suspect_ms;     /**< first time out of use after a failure;
                                doubles; default 500 */
  clk_ms_t suspect_max_ms; /**< default 15 s */
  bool no_cache_events;    /**< upstreams are not asked for these */
} rte_desc_t;

/** What is asked for. */
typedef struct
{
  const char *deployment;
  uint64_t prefix;          /**< rte_prefix of the prompt; 0: none */
  const char *only;         /**< this upstream and no other; NULL: any */
  const char *const *avoid; /**< upstreams not to choose */
  size_t avoid_count;
  bool batch;              /**< counted apart from online requests */
  uint32_t reserved_slots; /**< slots of an upstream to be left free */
  bool skip_full; /**< choose none whose slots, and a few places more, are
                     taken */
} rte_query_t;

/** What was chosen; the strings live until the next configuration. */
typedef struct
{
  bool full; /**< rte_pick gave false only because of rte_query_t.skip_full */
  uint64_t handle; /**< for rte_started and what follows */
  const char *upstream;
  const char *address;
  bool fixed_identity; /**< as in cfg_upstream_t */
  clk_ms_t wait_ms;    /**< expected time to first byte */
} rte_pick_t;

/** What a failure says about the upstream. */
typedef enum
{
  RTE_FAIL_REFUSED,   /**< connection refused, or an error status */
  RTE_FAIL_TIMEOUT,   /**< nothing came in the time allowed */
  RTE_FAIL_TRUNCATED, /**< the answer broke off */
  RTE_FAIL_CANCELLED, /**< this side gave up; says nothing about it */
} rte_fail_t;

typedef struct rte rte_t;

/** New router owned by CTX; has no upstreams until rte_config_changed. */
rte_t *rte_setup (void *ctx, const rte_desc_t *desc);

/** Free it; handles are stale then. */
void rte_shutdown (rte_t *r);

/** What engines call a prompt's prefix in their cache events: the first 64
 * bits of the SHA-256 of its first 256 bytes; never 0. */
uint64_t rte_prefix (buf_t prompt);

/** Choose an upstream and count a request there.  False: none can be used
 * now. */
bool rte_pick (rte_t *r, env_t *env, const rte_query_t *query,
               rte_pick_t *pick);

/** The request left this VM (its time counts from here, not from the pick).
 * Stale handles are ignored, here and below. */
void rte_started (rte_t *r, env_t *env, uint64_t handle);

/** The first byte of the answer came. */
void rte_first_byte (rte_t *r, env_t *env, uint64_t handle);

/** The answer is whole; the handle is stale from here. */
void rte_finished (rte_t *r, env_t *env, uint64_t handle);

/** The request ended without a whole answer; the handle is stale. */
void rte_failed (rte_t *r, env_t *env, uint64_t handle, rte_fail_t fail);

/** Slots of UPSTREAM that nobody uses, as far as is known; 0 when it is
 * unknown, leaving, suspected or has not reported. */
uint32_t rte_idle_slots (const rte_t *r, const env_t *env,
                         const char *upstream);

/** Who uses UPSTREAM, as far as is known; zeros when it is unknown. */
typedef struct
{
  uint32_t slots;
  uint32_t load;         /**< requests of all VMs */
  uint32_t batch;        /**< batch ones among them */
  uint32_t own_batch;    /**< and of these this VM's */
  uint64_t update_count; /**< grows when others' figures have come */
} rte_occupancy_t;
rte_occupancy_t rte_occupancy (const rte_t *r, const env_t *env,
                               const char *upstream);

/** Whether UPSTREAM must get nothing new. */
bool rte_leaving (const rte_t *r, const char *upstream);

/** Requests of this VM in flight at UPSTREAM. */
uint32_t rte_in_flight (const rte_t *r, const char *upstream);

/** Whether this VM polls UPSTREAM. */
bool rte_polls (const rte_t *r, const env_t *env, const char *upstream);

/** What other modules need to know of an upstream's load. */
typedef struct
{
  const char *upstream;
  uint32_t online;  /**< requests of this VM in flight */
  uint32_t waiting; /**< of these, without a first byte and sent when no slot
                         was free */
  bool reported;    /**< the upstream reports its load, and does so now */
  uint32_t running; /**< by its last report, of all VMs, waiting ones too */
} rte_load_t;

/** Take one upstream at which a batch request of this VM is to give way; the
 * name lives until the next configuration.  False: none. */
bool rte_preempt_pop (rte_t *r, const char **upstream);

/** Take one upstream whose load has changed; false: none. */
bool rte_load_pop (rte_t *r, const env_t *env, rte_load_t *load);

/** State of all upstreams in use as a JSON array, owned by CTX. */
char *rte_format (void *ctx, const rte_t *r, const env_t *env);

/* Hooks of the node. */
void rte_config_changed (rte_t *r, env_t *env, const cfg_doc_t *doc);
void rte_timer_fired (rte_t *r, env_t *env, uint64_t tag);
void rte_message_received (rte_t *r, env_t *env, const char *vm,
                           const msg_t *msg);
void rte_upstream_event (rte_t *r, env_t *env, uint64_t tag, const ev_t *ev);

#endif
