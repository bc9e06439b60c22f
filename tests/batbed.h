/** @file
 * Several bat_t with one fake platform and fake upstreams under virtual
 * time: everything that is in flight is one list ordered by time, and all
 * delays and faults are drawn from a seed.
 *
 *   batbed_t *bed = batbed_setup (&(batbed_desc_t){ .seed = 7, .vms = 3 });
 *   uint64_t caller = batbed_request (bed, 0, "acme", "POST", "/v1/batches",
 *                                     "key", body);
 *   batbed_run (bed, 10 * CLK_SECOND);
 *   const batbed_answer_t *a = batbed_answer (bed, caller);
 *
 * An item's fate is read off its body: "impossible" is answered 422,
 * "flaky" fails twice, "large" is answered with 3 KB; all else is echoed.
 */
#ifndef RTS_BATBED_H
#define RTS_BATBED_H

#include "core/bat.h"

/** How to set a bed up. */
typedef struct
{
  uint32_t seed;
  uint32_t vms;
  uint32_t upstreams;     /**< of each deployment; default 2 */
  uint32_t slots;         /**< of each upstream; default 8 */
  bat_desc_t bat;         /**< credits are filled in */
  double lose_response;   /**< chance that a write's answer is lost */
  double refuse;          /**< chance that a call is refused */
  double break_call;      /**< chance that an upstream call breaks */
  clk_ms_t platform_ms;   /**< mean latency; default 4 */
  clk_ms_t slow_ms;       /**< now and then; 0: never */
  clk_ms_t item_ms;       /**< mean run of an item; default 60 */
  double platform_budget; /**< calls a second of a VM; default 200 */
} batbed_desc_t;

/** What a caller was told. */
typedef struct
{
  bool ended;
  bool aborted;
  int status;
  GString *body;
} batbed_answer_t;

/** Totals. */
typedef struct
{
  uint64_t reads;  /**< GET and LIST */
  uint64_t writes; /**< PUT and DELETE */
  uint64_t bytes_written;
  uint64_t bytes_read;
  uint64_t messages;
  uint64_t items_started;
  uint64_t doubled;    /**< non-idempotent items that ran twice */
  uint64_t repeated;   /**< idempotent items that ran more than once */
  uint64_t after_stop; /**< items started after batbed_forbid_starts */
} batbed_totals_t;

typedef struct batbed batbed_t;

batbed_t *batbed_setup (const batbed_desc_t *desc);
void batbed_shutdown (batbed_t *bed);

clk_ms_t batbed_now (const batbed_t *bed);
GRand *batbed_rand (batbed_t *bed);
batbed_totals_t batbed_totals (const batbed_t *bed);

/** Let virtual time pass. */
void batbed_run (batbed_t *bed, clk_ms_t duration);

/** Ask the VM; the name to look the answer up by.  0 when the VM is down. */
uint64_t batbed_request (batbed_t *bed, uint32_t index, const char *customer,
                         const char *method, const char *path, const char *key,
                         const char *body);
/** The answer so far; never NULL. */
const batbed_answer_t *batbed_answer (batbed_t *bed, uint64_t caller);

/** Lose VM at once with all that it knows; callers get nothing more. */
void batbed_kill (batbed_t *bed, uint32_t vm);
/** Start it again, as a new incarnation. */
void batbed_restart (batbed_t *bed, uint32_t vm);
/** Its clock goes on, but it handles nothing for DURATION. */
void batbed_freeze (batbed_t *bed, uint32_t vm, clk_ms_t duration);
/** Cut it off from the platform, and from VMs that are not cut off too, for
 * DURATION. */
void batbed_partition (batbed_t *bed, uint32_t vm, clk_ms_t duration);
/** The platform answers nobody for DURATION. */
void batbed_outage (batbed_t *bed, clk_ms_t duration);
/** What happens at the Nth call (to the platform or an upstream) of a VM. */
typedef enum
{
  BATBED_KILL_BEFORE,   /**< the VM is lost, the call with it */
  BATBED_KILL_AFTER,    /**< the VM is lost, the call goes out */
  BATBED_FREEZE_AFTER,  /**< the call goes out, then the VM freezes */
  BATBED_FREEZE_BEFORE, /**< it freezes, the call goes out on waking */
  BATBED_LOSE_RESPONSE, /**< a write's answer is lost; else the VM is cut off
                         */
  BATBED_FAULT_NUM
} batbed_fault_t;
/** Arrange for FAULT at the NTH call of VM from now; 0: none.  It lasts
 * DURATION where it lasts. */
void batbed_fault_at (batbed_t *bed, uint32_t vm, unsigned nth,
                      batbed_fault_t fault, clk_ms_t duration);
/** Whether that call has come. */
bool batbed_fault_done (const batbed_t *bed);
/** Graceful shutdown of a VM. */
void batbed_leave (batbed_t *bed, uint32_t index);
bool batbed_is_up (const batbed_t *bed, uint32_t vm);
bat_t *batbed_bat (batbed_t *bed, uint32_t vm);
/** Stop all faults. */
void batbed_faults_end (batbed_t *bed);
/** From now on an item of JOB that a VM starts counts as after_stop. */
void batbed_forbid_starts (batbed_t *bed, const char *job);
/** Whether an object whose name begins with PREFIX is in the platform. */
bool batbed_has_object (const batbed_t *bed, const char *prefix);
/** Overwrite the object whose name begins with PREFIX. */
void batbed_corrupt (batbed_t *bed, const char *prefix);
/** Print each step on standard error. */
void batbed_trace (batbed_t *bed);

#endif
