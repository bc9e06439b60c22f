/** @file
 * Fair queue (prefix fqu_): holds waiting requests in one short queue for each
 * customer and serves the customers by weight, with deadlines and caps.
 *
 *   clk_ms_t retry = 0;
 *   switch (fqu_push (q, now, &(fqu_item_t){ .customer = "kvist-roster",
 *                                            .weight = 1,
 *                                            .leave_by = now + 800,
 *                                            .tag = id }, &retry))
 *     ...
 *   while (capacity && fqu_pop (q, now, &tag)) ... send
 *   while (fqu_late_pop (q, now, &tag, &retry)) ... refuse
 *
 * The order is start-time fair queueing: a customer that asks for less than
 * its share does not wait behind one that asks for more.  An item that cannot
 * leave in time at the rate at which the queue drains is refused as soon as
 * that is known, not at its deadline.
 *
 * Use a queue for requests that wait for the same capacity; the caller decides
 * when there is capacity, and sends or refuses.  Times are in milliseconds.
 * The queue copies customers' names and identifies items only by their tags.
 */
#ifndef RTS_FQU_H
#define RTS_FQU_H

#include "core/clk.h"
#include "core/st.h"

#include <stdbool.h>
#include <stdint.h>

/** Set-up of a queue; zeros mean the defaults. */
typedef struct
{
  uint32_t customer_max; /**< most items of one customer; default 256 */
  uint32_t total_max;    /**< most items of all customers; default 4,096 */
  double initial_rate;   /**< items a second, assumed as long as no drain rate
                            is measured; default 50 */
} fqu_desc_t;

/** An item to be queued. */
typedef struct
{
  const char *customer; /**< copied */
  double weight;        /**< share of the customer; 0 means 1 */
  clk_ms_t leave_by;    /**< time by which the item must leave the queue */
  uint64_t tag;         /**< caller's id of the item; unique in the queue */
} fqu_item_t;

typedef struct fqu fqu_t;

/** Create an empty queue, owned by CTX. */
fqu_t *fqu_setup (void *ctx, const fqu_desc_t *desc);

/** Free the queue with its items. */
void fqu_shutdown (fqu_t *q);

/** Add an item.  ST_EXHAUSTED: a cap is reached.  ST_TIMEOUT: the item would
 * not leave in time.  In both cases the item is not queued, and *RETRY_AFTER
 * is the time until there should be room. */
st_code_t fqu_push (fqu_t *q, clk_ms_t now, const fqu_item_t *item,
                    clk_ms_t *retry_after);

/** Take the next item to be served; false: empty. */
bool fqu_pop (fqu_t *q, clk_ms_t now, uint64_t *tag);

/** Put the item of the last fqu_pop back because it could not be sent.  The
 * queue is then as before that fqu_pop: the item goes first again, and its
 * customer is not charged for it. */
void fqu_unpop (fqu_t *q, uint64_t tag);

/** Take an item that can no longer leave in time; false: none.  *RETRY_AFTER
 * is as in fqu_push. */
bool fqu_late_pop (fqu_t *q, clk_ms_t now, uint64_t *tag,
                   clk_ms_t *retry_after);

/** Remove an item before it is served; false: TAG is not queued. */
bool fqu_remove (fqu_t *q, uint64_t tag);

/** Number of items. */
uint32_t fqu_count (const fqu_t *q);

/** Number of items of CUSTOMER. */
uint32_t fqu_customer_count (const fqu_t *q, const char *customer);

/** Expected wait of a new item of CUSTOMER. */
clk_ms_t fqu_expected_wait (const fqu_t *q, const char *customer,
                            double weight);

#endif
