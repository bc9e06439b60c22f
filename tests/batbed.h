/** @file
 * Test bed for batch jobs (prefix batbed_): several VMs with a bat_t each, one
 * simulated platform and simulated upstreams, under virtual time.  All calls
 * and messages in flight are events in one list ordered by time, and all
 * delays and random faults come from a seed, so that a run can be repeated.
 *
 *   batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 7, .vms = 3 });
 *   uint64_t caller = batbed_request (bed, 0, "acme", "POST", "/v1/batches",
 *                                     "key", body);
 *   batbed_run (bed, 10 * CLK_SECOND);
 *   const batbed_response_t *response = batbed_response (bed, caller);
 *
 * The body of an item selects its response: "impossible" gets status 422,
 * "flaky" gets 500 in the first two runs, "large" gets a body of 3 KB,
 * "endless" gets a body of BATBED_ENDLESS_MAX bytes that does not end in the
 * first run; other bodies are echoed.  The route POST /v1/completions is
 * idempotent, POST /orders is not.
 *
 * Use it in tests and measurements of bat and crd only.  Times are in
 * milliseconds.  The bed owns all that it returns; it aborts the process when
 * a module breaks the rules of the platform or responds twice to a caller.
 */
#ifndef RTS_BATBED_H
#define RTS_BATBED_H

#include "core/bat.h"

/** Bytes of a body without end after which it falls silent. */
#define BATBED_ENDLESS_MAX ((size_t)16 << 20)

/** Set-up of a bed; a zero selects the default.  Means are nominal: a delay is
 * on average 1 ms plus 0.7 of its mean (bed_delay). */
typedef struct
{
  uint32_t seed;
  uint32_t vms;
  uint32_t upstreams;     /**< of each deployment; default 2 */
  uint32_t slots;         /**< of each upstream; default 8 */
  bat_desc_t bat;         /**< the bed sets credits and unix_offset_ms */
  double lose_response;   /**< chance that the reply to a write is lost */
  double refuse;          /**< chance that a platform call is refused */
  double break_call;      /**< chance that an upstream call breaks */
  clk_ms_t platform_ms;   /**< mean latency each way; default 4 */
  clk_ms_t slow_ms;       /**< mean extra latency of a few calls; 0: none */
  clk_ms_t item_ms;       /**< mean duration of an item; default 60 */
  double platform_budget; /**< calls per second of a VM; default 200 */
} batbed_desc_t;

/** Response that a caller has got so far. */
typedef struct
{
  bool ended;
  bool aborted;
  int status;
  GString *body;
} batbed_response_t;

/** Totals since the set-up. */
typedef struct
{
  uint64_t reads;  /**< GET and LIST */
  uint64_t writes; /**< PUT and DELETE */
  uint64_t bytes_written;
  uint64_t bytes_read;
  uint64_t messages;
  uint64_t items_started;
  uint64_t doubled;     /**< non-idempotent items that ran twice */
  uint64_t repeated;    /**< idempotent items that ran more than once */
  size_t endless_taken; /**< bytes of a body without end, at most, before
                             the part that ended its call */
  uint64_t after_stop;  /**< items started after batbed_forbid_starts */
} batbed_totals_t;

typedef struct batbed batbed_t;

batbed_t *batbed_setup (const batbed_desc_t *desc);
void batbed_shutdown (batbed_t *bed);

clk_ms_t batbed_now (const batbed_t *bed);
GRand *batbed_rand (batbed_t *bed);
batbed_totals_t batbed_totals (const batbed_t *bed);

/** Runs the bed for DURATION of virtual time. */
void batbed_run (batbed_t *bed, clk_ms_t duration);

/** Sends a request with the idempotency KEY (NULL: none) to the VM with INDEX.
 * Returns the caller's id for batbed_response; 0 when the VM is down or
 * frozen.
 */
uint64_t batbed_request (batbed_t *bed, uint32_t index, const char *customer,
                         const char *method, const char *path, const char *key,
                         const char *body);
/** Response so far; never NULL. */
const batbed_response_t *batbed_response (batbed_t *bed, uint64_t caller);

/** Stops VM at once; its state is lost and its callers get nothing more. */
void batbed_kill (batbed_t *bed, uint32_t vm);
/** Starts VM again, as a new incarnation. */
void batbed_restart (batbed_t *bed, uint32_t vm);
/** Freezes VM for DURATION: its clock continues, but it handles no events. */
void batbed_freeze (batbed_t *bed, uint32_t vm, clk_ms_t duration);
/** Partitions VM for DURATION from the platform and from the VMs that are not
 * partitioned. */
void batbed_partition (batbed_t *bed, uint32_t vm, clk_ms_t duration);
/** Makes the platform unavailable to all VMs for DURATION. */
void batbed_outage (batbed_t *bed, clk_ms_t duration);

/** A fault at one call of a VM to the platform or to an upstream. */
typedef enum
{
  BATBED_KILL_BEFORE,   /**< the VM is killed; the call is not sent */
  BATBED_KILL_AFTER,    /**< the VM is killed; the call is sent */
  BATBED_FREEZE_AFTER,  /**< the call is sent; then the VM freezes */
  BATBED_FREEZE_BEFORE, /**< the VM freezes; the call is sent afterwards */
  /** The reply to a platform call is lost if the call is a write; at an
   * upstream call, the VM is partitioned instead. */
  BATBED_LOSE_RESPONSE,
  BATBED_FAULT_NUM
} batbed_fault_t;

/** Sets FAULT for the NTH call of VM from now; 0: none.  A freeze or partition
 * lasts DURATION. */
void batbed_fault_at (batbed_t *bed, uint32_t vm, unsigned nth,
                      batbed_fault_t fault, clk_ms_t duration);
/** Whether the fault of batbed_fault_at has occurred. */
bool batbed_fault_done (const batbed_t *bed);
/** Begins the graceful shutdown of a VM. */
void batbed_leave (batbed_t *bed, uint32_t index);
bool batbed_is_up (const batbed_t *bed, uint32_t vm);
bat_t *batbed_bat (batbed_t *bed, uint32_t vm);
/** Ends all faults, a freeze within 1 s, and starts the VMs that are down. */
void batbed_faults_end (batbed_t *bed);
/** From now on, items of JOB that a VM starts count as after_stop. */
void batbed_forbid_starts (batbed_t *bed, const char *job);
/** Whether the platform has an object whose name begins with PREFIX. */
bool batbed_has_object (const batbed_t *bed, const char *prefix);
/** Overwrites the objects whose names begin with PREFIX by invalid values. */
void batbed_corrupt (batbed_t *bed, const char *prefix);
/** Prints each platform call and violation to standard error. */
void batbed_trace (batbed_t *bed);

#endif
