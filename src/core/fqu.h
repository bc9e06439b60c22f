/** @file
 * Fair queue: short queues of waiting requests, one a customer, served by
 * weight, with deadlines and caps.
 *
 *   clk_ms_t retry = 0;
 *   switch (fqu_push (q, now, &(fqu_item_t){ .customer = "kvist-roster",
 *                                            .weight = 1,
 *                                            .latest = now + 800,
 *                                            .tag = id }, &retry))
 *     ...
 *   while (capacity && fqu_pop (q, now, &tag)) ... send
 *   while (fqu_late_pop (q, now, &tag, &retry)) ... refuse
 *
 * Start-time fair queueing: a customer that asks for less than its share
 * does not wait behind one that asks for more.  An item that cannot leave in
 * time at the rate at which the queue drains is refused as soon as that is
 * known, not at its deadline.
 *
 * Does not know what an item is, and does not decide when there is capacity.
 */
#ifndef RTS_FQU_H
#define RTS_FQU_H

#include "core/clk.h"
#include "core/st.h"

#include <stdbool.h>
#include <stdint.h>

/** How to set a queue up; zeros mean the defaults. */
typedef struct
{
  uint32_t customer_max; /**< most items of one customer; default 256 */
  uint32_t total_max;    /**< most items in all; default 4,096 */
  double initial_rate;   /**< items a second assumed before any was served
                            from a full queue; default 50 */
} fqu_desc_t;

/** An item. */
typedef struct
{
  const char *customer; /**< copied */
  double weight;        /**< share; 0 means 1 */
  clk_ms_t leave_by;    /**< when it must have left the queue */
  uint64_t tag;         /**< caller's name for it; unique in the queue */
} fqu_item_t;

typedef struct fqu fqu_t;

/** New empty queue owned by CTX. */
fqu_t *fqu_setup (void *ctx, const fqu_desc_t *desc);

/** Free it; items are forgotten. */
void fqu_shutdown (fqu_t *q);

/** Add an item.  EXHAUSTED: a cap is reached; TIMEOUT: it would not leave in
 * time.  Either way it is not queued and *RETRY_AFTER says when there should
 * be room. */
st_code_t fqu_push (fqu_t *q, clk_ms_t now, const fqu_item_t *item,
                    clk_ms_t *retry_after);

/** Take the next item to be served; false: empty. */
bool fqu_pop (fqu_t *q, clk_ms_t now, uint64_t *tag);

/** Put an item back that fqu_pop has just given and that could not be sent:
 * it goes first again and no service is charged for it. */
void fqu_unpop (fqu_t *q, uint64_t tag);

/** Take an item that can no longer leave in time; false: none. */
bool fqu_late_pop (fqu_t *q, clk_ms_t now, uint64_t *tag,
                   clk_ms_t *retry_after);

/** Take out an item whose caller is gone; false: it is not queued. */
bool fqu_remove (fqu_t *q, uint64_t tag);

/** Items waiting. */
uint32_t fqu_count (const fqu_t *q);

/** Items of CUSTOMER waiting. */
uint32_t fqu_customer_count (const fqu_t *q, const char *customer);

/** How long a new item of CUSTOMER would wait. */
clk_ms_t fqu_expected_wait (const fqu_t *q, const char *customer,
                            double weight);

#endif
