/** @file
 * Routing (prefix rte_): tracks the state of upstreams and picks one for each
 * request.
 *
 *   rte_pick_t pick;
 *   if (rte_pick (r, env, &(rte_query_t){ .deployment = "snit-llm",
 *                                         .prefix = rte_prefix (prompt) },
 *                 &pick))
 *     ... send to pick.address, then
 *   rte_started (r, env, pick.handle);
 *   rte_first_byte (r, env, pick.handle);
 *   rte_finished (r, env, pick.handle);      or rte_failed
 *
 * Use this module to choose an upstream of a deployment for an online or
 * batch request.  It does not retry, queue or hold requests: see onl.h (online
 * requests), rtb.h (retry budget) and fqu.h (fair queue).  Times are in
 * milliseconds of the node's clock; a router owns all strings that it returns
 * except that of rte_format.
 *
 * The router picks the upstream whose expected time to first byte is shortest.
 * The estimate covers the in-flight requests of all VMs, the cost of a prompt
 * prefix that is not cached at the upstream, and the distance.
 *
 * One VM of an upstream's data centre polls the upstream: the poller.  Every
 * other VM that uses the upstream sends the poller its number of in-flight
 * requests and receives the sum over the other VMs, the last load report and
 * the recent cache events.  So message traffic grows with the number of
 * upstreams that a VM uses, not with the size of the fleet.
 *
 * docs/ROUTING.md compares this design with alternatives and gives figures.
 */
#ifndef RTS_RTE_H
#define RTS_RTE_H

#include "core/cfg.h"
#include "core/crs.h"
#include "core/dir.h"
#include "core/env.h"
#include "core/ev.h"
#include "core/lod.h"
#include "core/mbr.h"
#include "core/msg.h"

/** Messages between VMs; all numbers are MessagePack unsigned integers. */
typedef enum
{
  /** VM to poller: u64 count of entries, then for each: str upstream,
   * u64 in-flight requests of the VM, u64 batch requests among them, u64
   * number of cache events that the VM has received. */
  MSG_ROUTE_USAGE = MSG_ROUTE_FIRST,
  /** Poller to VM, the response to MSG_ROUTE_USAGE.  For each upstream of that
   * message: str upstream, u64 VMs that use it, u64 in-flight requests of all
   * other VMs, u64 batch requests among them, u64 state bits (the low 8) and
   * the upstream's start (above them; Unix ms, 0: not known), u64 age of the
   * last load report (ms), u64 running, u64 waiting, u64 requests that the
   * upstream reports and no VM counts, u64 slots, u64 number of the last cache
   * event, u64 count of the events that follow, then for each: u64 added, u64
   * prefix. */
  MSG_ROUTE_REPORT = MSG_ROUTE_FIRST + 1,
  /** VM to poller: an online request took the upstream's last slot.  str
   * upstream, u64 in-flight requests of the VM there, u64 batch requests among
   * them. */
  MSG_ROUTE_SLOTS_TAKEN = MSG_ROUTE_FIRST + 2,
  /** Poller to the VM with the most batch requests at the upstream: the VM
   * preempts one of them.  The same fields, with the poller's counts. */
  MSG_ROUTE_PREEMPT = MSG_ROUTE_FIRST + 3,
  /** VM to the VM with the mint of upstreams' limits.  For each upstream: str
   * upstream, u64 its start (Unix ms, 0: not known), the newest word on its
   * limit (double requests a second, negative: none; u64 age of the request,
   * u64 age of the response, in ms), u64 count of asks, then for each u64
   * class, u64 number, u64 tokens; u64 count of settlements, then for each
   * u64 number of the ask, u64 tokens used, u64 tokens returned, both in
   * millionths. */
  MSG_ROUTE_TOKENS_ASK = MSG_ROUTE_FIRST + 4,
  /** The response, and what the VM with the mint tells by itself.  For each
   * upstream: str upstream, u64 its start, the newest word as above, u64 count
   * of grants and turns, then for each u64 class, u64 number of the ask, u64
   * tokens, u64 ms until the next one and u64 ms between two. */
  MSG_ROUTE_TOKENS = MSG_ROUTE_FIRST + 5,
  /** VM to the VM with the mint, and from there to the VMs that use the
   * upstream: what the upstream has said of its cold time.  For each upstream:
   * str upstream, u64 its start, u64 remaining ms, u64 ms since it said so. */
  MSG_ROUTE_COLD = MSG_ROUTE_FIRST + 6,
  /** VM to poller: how requests of the VM to upstreams that fail a part of
   * them have ended.  u64 number of the message, which grows, then for each
   * upstream: str upstream, u64 its start (Unix ms, 0: not known), u64 weight
   * of failed responses, u64 weight of successes, both in thousandths at the
   * time of the message (flr.h), u64 age of the last response in ms, u64 count
   * of customers, then for each u64 hash of the name, u64 weight of failed
   * responses. */
  MSG_ROUTE_FAILING = MSG_ROUTE_FIRST + 7,
  /** Poller to VM: the same, of all other VMs. */
  MSG_ROUTE_FAILING_SUMS = MSG_ROUTE_FIRST + 8,
} rte_msg_t;

/** When requests are spread by what upstreams state of their load; see
 * docs/design/even-load.md. */
typedef enum
{
  RTE_EVEN_AUTO, /**< for deployments whose upstreams state their load in
                      responses, in fleets with RTE_EVEN_VMS_MIN or more VMs */
  RTE_EVEN_ON,   /**< for all deployments */
  RTE_EVEN_OFF,  /**< never */
} rte_even_t;

/** Number of VMs from which RTE_EVEN_AUTO can apply: below, a VM's own
 * requests tell it enough. */
#define RTE_EVEN_VMS_MIN 17

/** Parameters of rte_setup; a zero selects the default. */
typedef struct
{
  mbr_t *members;          /**< required; the pollers are among these VMs */
  crs_t *crashes;          /**< is told of requests and their ends; NULL: no
                                one is */
  clk_ms_t report_ms;      /**< period of load polls; default 200 */
  clk_ms_t exchange_ms;    /**< period of usage messages to a poller; default
                                100, longer with many pollers */
  uint32_t queue_max;      /**< requests beyond its slots at which an upstream
                                counts as full; default 2 */
  clk_ms_t distance_ms;    /**< added cost, for an online request, of an
                                upstream in another data centre; default 40:
                                the data centre's own slots are taken first */
  uint32_t subset;         /**< maximum number of upstreams of a deployment
                                that this VM uses in each data centre;
                                default 6 */
  uint32_t prefixes;       /**< maximum number of prompt prefixes whose
                                upstreams are remembered; default 4,096 */
  clk_ms_t suspect_ms;     /**< time that an upstream is avoided after its
                                first failure; doubles with each further
                                failure; default 500 */
  clk_ms_t suspect_max_ms; /**< upper limit of that time; default 15 s */
  bool no_cache_events;    /**< do not poll upstreams for cache events */
  double cold_overshoot;   /**< factor of the rate of a cold upstream that it
                                may get in any second; 0: no upstream is
                                treated as cold */
  double cold_slack;       /**< requests that it may get in addition */
  rte_even_t even_load;
  lod_rules_t even_rules; /**< for measurements; zeros select the defaults */
  bool avoid_failing;     /**< upstreams that fail a part of their requests
                               get fewer (rte_answer_status) */
} rte_desc_t;

/** Requirements of one request. */
typedef struct
{
  const char *deployment;
  uint64_t prefix;          /**< rte_prefix of the prompt; 0: none */
  const char *version;      /**< the only version of upstreams' software to
                                 consider, with all upstreams of it; NULL:
                                 any */
  const char *only;         /**< the only upstream to consider; NULL: all */
  const char *const *avoid; /**< upstreams to exclude */
  size_t avoid_count;
  bool batch;      /**< a batch request, counted apart from online */
  bool repeatable; /**< it may be sent again when its response is a failure */
  uint32_t reserved_slots; /**< slots that must remain free at the upstream; if
                                not 0, skip_full has no effect */
  bool yields; /**< a batch request that leaves free slots to other VMs that
                    want them (rte_batch_wants) */
  const crs_query_t *crash; /**< what may end the upstream, borrowed until
                                 rte_started; NULL: nothing */
  bool skip_full; /**< exclude upstreams with rte_desc_t.queue_max or more
                       requests beyond their slots */
} rte_query_t;

/** The picked upstream.  The strings are valid until the next
 * rte_config_changed. */
typedef struct
{
  bool full;    /**< rte_pick returned false, and a usable upstream was
                     excluded as full */
  bool yielded; /**< rte_pick returned false, and a usable upstream had room
                     that was left to other VMs, as query.yields says */
  bool limited; /**< rte_pick returned false, and a usable upstream was
                     excluded because of the limit that it names */
  clk_ms_t limit_wait_ms; /**< limited: expected time until this VM may send
                               a request to one of these; 0: not known */
  double limit_per_s;     /**< limited: requests a second that this VM can
                               expect to send there; 0: not known */
  uint64_t handle; /**< identifies the request in rte_started and the other
                        calls that report progress */
  const char *upstream;
  const char *address;
  bool fixed_identity; /**< as in cfg_upstream_t */
  const char *version; /**< as in cfg_upstream_t */
  clk_ms_t wait_ms;    /**< expected time to first byte */
} rte_pick_t;

/** Why a request failed. */
typedef enum
{
  RTE_FAIL_REFUSED,     /**< connection refused, or an error status */
  RTE_FAIL_TIMEOUT,     /**< no data arrived in the allowed time */
  RTE_FAIL_TRUNCATED,   /**< the response ended early */
  RTE_FAIL_CLOSED,      /**< the upstream closed or reset the connection before
                             the response was complete */
  RTE_FAIL_UNSENT,      /**< no connection could be made */
  RTE_FAIL_MISDIRECTED, /**< it was not run: another upstream answered at the
                             address, or a condition of the caller's own did
                             not hold; the upstream is not at fault */
  RTE_FAIL_CANCELLED,   /**< this VM cancelled the request; the upstream is not
                             at fault */
} rte_fail_t;

typedef struct rte rte_t;

/** Creates a router owned by CTX.  The router has no upstreams until
 * rte_config_changed. */
rte_t *rte_setup (void *ctx, const rte_desc_t *desc);

/** Frees R; all its handles become invalid. */
void rte_shutdown (rte_t *r);

/** Hash of a prompt's prefix, as engines name prefixes in their cache events:
 * the first 64 bits of the SHA-256 of the prompt's first 256 bytes; a zero
 * becomes 1, so the hash is never 0. */
uint64_t rte_prefix (buf_t prompt);

/** Picks an upstream and counts one in-flight request there.  Returns false
 * when no upstream can be used now. */
bool rte_pick (rte_t *r, env_t *env, const rte_query_t *query,
               rte_pick_t *pick);

/** Whether the list has ever named a version of the software of DEPLOYMENT's
 * upstreams, or has not named any of these yet. */
bool rte_may_have_versions (const rte_t *r, const char *deployment);

/** Whether an upstream of DEPLOYMENT whose software has VERSION may get
 * requests, now or when it has room and is no longer suspected. */
bool rte_version_serves (const rte_t *r, const env_t *env,
                         const char *deployment, const char *version);

/** The version of the software of all upstreams of DEPLOYMENT that the list
 * has named in the last MS; NULL: there were others, or upstreams without a
 * version, or the list is not known for so long. */
const char *rte_sole_version (const rte_t *r, const env_t *env,
                              const char *deployment, clk_ms_t ms);

/** The request has left this VM: the time to first byte counts from this call,
 * not from the pick.  This and the next six functions ignore an invalid
 * handle. */
void rte_started (rte_t *r, env_t *env, uint64_t handle);

/** The first byte of the response has arrived. */
void rte_first_byte (rte_t *r, env_t *env, uint64_t handle);

/** The head of the response says that the upstream is leaving. */
void rte_said_leaving (rte_t *r, env_t *env, uint64_t handle);

/** What the head of the response, which came just now, says about a limit of
 * the upstream. */
void rte_said_limit (rte_t *r, env_t *env, uint64_t handle,
                     const ev_limit_t *limit);

/** What the head of the response, which came just now, says about the cold
 * time of the upstream. */
void rte_said_cold (rte_t *r, env_t *env, uint64_t handle,
                    const ev_cold_t *cold);

/** What the platform's list says about it. */
void rte_listed_cold (rte_t *r, env_t *env, const dir_cold_t *cold);

/** What the head of the response, which came just now, says about the load of
 * the upstream. */
void rte_said_load (rte_t *r, env_t *env, uint64_t handle,
                    const ev_load_t *load);

/** An upstream has responded with STATUS to a request of CUSTOMER, "" if it
 * has none.  For 500 to 599 without the promise that the request has not run
 * (a failure): when the head comes, before rte_first_byte.  For 200 to 299 (a
 * success): when the response is complete.  Others are ignored, and all unless
 * rte_desc_t.avoid_failing is set. */
void rte_answer_status (rte_t *r, env_t *env, uint64_t handle, int status,
                        const char *customer);

/** A part of the body of a success has come. */
void rte_progress (rte_t *r, env_t *env, uint64_t handle);

/** Why a request has failed to which an upstream responded with STATUS and
 * promised that it has not run: 421 is Misdirected Request. */
rte_fail_t rte_not_run_fail (int status);

/** The response, a success, is complete; PROVED: it has a length or chunks, or
 * an end marker, so that it cannot have been cut.  Comes before rte_finished.
 */
void rte_answered (rte_t *r, env_t *env, uint64_t handle, bool proved);

/** The response is complete; HANDLE becomes invalid. */
void rte_finished (rte_t *r, env_t *env, uint64_t handle);

/** The request has ended without a complete response; HANDLE becomes
 * invalid. */
void rte_failed (rte_t *r, env_t *env, uint64_t handle, rte_fail_t fail);

/** Estimated number of free slots of UPSTREAM; 0 when UPSTREAM is unknown,
 * leaving, suspected or has not reported its load. */
uint32_t rte_idle_slots (const rte_t *r, const env_t *env,
                         const char *upstream);

/** Whether this VM has batch requests for DEPLOYMENT that have to start soon
 * and find no slot; NULL: it has none.  Other VMs are told with the next usage
 * messages, through the pollers. */
void rte_batch_wants (rte_t *r, const char *deployment);

/** How many slots an upstream has and how many requests occupy them. */
typedef struct
{
  uint32_t slots;
  uint32_t load;         /**< known requests of all VMs */
  uint32_t batch;        /**< batch requests among them */
  uint32_t own_batch;    /**< batch requests of this VM */
  uint64_t update_count; /**< number of updates received on other VMs'
                              requests */
} rte_occupancy_t;

/** Occupancy of UPSTREAM as known here; zeros when UPSTREAM is unknown. */
rte_occupancy_t rte_occupancy (const rte_t *r, const env_t *env,
                               const char *upstream);

/** Whether the document names an upstream at ADDRESS that gets new calls. */
bool rte_address_takes_calls (const rte_t *r, const env_t *env,
                              const char *address);

/** The failures of this VM's calls from SINCE on were those of its own path:
 * no upstream is avoided or called silent for them. */
void rte_forgive (rte_t *r, env_t *env, clk_ms_t since);

/** Whether UPSTREAM must get no new requests; true when UPSTREAM is unknown.
 */
bool rte_leaving (const rte_t *r, const env_t *env, const char *upstream);

/** Number of in-flight requests of this VM at UPSTREAM. */
uint32_t rte_in_flight (const rte_t *r, const char *upstream);

/** Whether this VM polls UPSTREAM. */
bool rte_polls (const rte_t *r, const env_t *env, const char *upstream);

/** Load of one upstream, for other modules. */
typedef struct
{
  const char *upstream;
  uint32_t online;  /**< in-flight online requests of this VM */
  uint32_t waiting; /**< in-flight requests of this VM that were sent when no
                         slot was free and have no first byte yet */
  bool reported;    /**< the upstream reports its load and the last report is
                         recent */
  uint32_t running; /**< requests of all VMs by the last report, including
                         those that wait for a slot */
} rte_load_t;

/** Removes one entry from the queue of requested preemptions: this VM preempts
 * one of its batch requests at *UPSTREAM.  The name is valid until the next
 * rte_config_changed.  Returns false when the queue is empty. */
bool rte_preempt_pop (rte_t *r, const char **upstream);

/** Removes one upstream from the queue of changed loads.  Returns false when
 * the queue is empty. */
bool rte_load_pop (rte_t *r, const env_t *env, rte_load_t *load);

/** State of all configured upstreams as a JSON array, owned by CTX. */
char *rte_format (void *ctx, const rte_t *r, const env_t *env);

/** From now on the upstreams of the data centres NAMES, ending with NULL, and
 * of no others, get nothing new because of an evacuation.  They keep their
 * places in the subset that this VM uses. */
void rte_evacuated_set (rte_t *r, env_t *env, const char *const *names);

/** Whether DEPLOYMENT has upstreams and all of them are in evacuated data
 * centres. */
bool rte_all_evacuated (const rte_t *r, const char *deployment);

/* The node calls these functions when an event concerns routing. */
void rte_config_changed (rte_t *r, env_t *env, const cfg_doc_t *doc);
void rte_timer_fired (rte_t *r, env_t *env, uint64_t tag);
void rte_message_received (rte_t *r, env_t *env, const char *vm,
                           const msg_t *msg);
void rte_upstream_event (rte_t *r, env_t *env, uint64_t tag, const ev_t *ev);

#endif
