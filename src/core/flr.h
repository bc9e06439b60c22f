/** @file
 * Failure rates (prefix flr_): which part of an upstream's responses are
 * failures, by counts that lose their weight within seconds.
 *
 *   flr_add (&counts, customer, failed, now);
 *   flr_merge (&total, &counts_of_another_vm, now);
 *   flr_estimate_t e = flr_estimate (&total, now);
 *   flr_compare (candidates, n, now);  which of several are worse than usual
 *
 * A customer whose requests fail wherever they are sent must not have
 * upstreams avoided: the failures of one customer count up to
 * FLR_CUSTOMER_MAX, and an estimate is supported only by failures of
 * FLR_CUSTOMERS_MIN customers.
 *
 * Counts are values of a fixed size; all zeros are empty counts.  They belong
 * to one start of an upstream: whoever keeps them clears them when the
 * upstream starts anew.  The module sends nothing and reads no clock.  Times
 * are in milliseconds; one that goes back counts as the last one.  Nothing
 * here fails.
 */
#ifndef RTS_FLR_H
#define RTS_FLR_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Customers whose failures are counted apart, those with the most. */
#define FLR_CUSTOMERS 8
/** Time in which a response loses 63 % of its weight.  An upstream that gets
 * five requests a second has ten responses in it; 3.8 s after its last failure
 * no failure counts (FLR_FAILED_MIN). */
#define FLR_DECAY_MS ((clk_ms_t)2500)
/** Largest weight of one customer's failures in an estimate. */
#define FLR_CUSTOMER_MAX 2.0
/** Least weight of failures that counts as any. */
#define FLR_FAILED_MIN 0.25
/** Customers whose requests must have failed before a failed share may count
 * against an upstream. */
#define FLR_CUSTOMERS_MIN 2
/** Successes that are assumed besides the observed responses, so that a few
 * responses do not give an extreme share. */
#define FLR_PRIOR 2.0
/** Part of the upstreams that may be avoided at a time: one in so many. */
#define FLR_AVOIDED_PART 4
/** Multiple of the mean share of the others up to which a share is usual. When
 * all fail alike, the shares of few responses differ by this much. */
#define FLR_USUAL_FACTOR 3.0
/** Largest count that is taken from a peer. */
#define FLR_COUNT_MAX 1e6

/** Weight of the failed responses to one customer. */
typedef struct
{
  uint64_t customer; /**< hash of the customer's name */
  double failed;
} flr_customer_t;

/** Weights of the responses of one upstream. */
typedef struct
{
  double failed;      /**< of all customers, also those without an entry */
  double good;        /**< successful responses */
  clk_ms_t at;        /**< time for which the weights are */
  clk_ms_t newest_at; /**< time of the last response */
  size_t customer_count;
  flr_customer_t customers[FLR_CUSTOMERS]; /**< in no order */
} flr_counts_t;

/** What counts say of an upstream. */
typedef struct
{
  double share;       /**< expected fraction of failed responses, 0 to 1 */
  double weight;      /**< responses behind it */
  unsigned customers; /**< customers among the failures */
  bool supported;     /**< by failures of enough customers */
  clk_ms_t age_ms;    /**< of the last response */
} flr_estimate_t;

/** One of several upstreams that serve the same requests. */
typedef struct
{
  flr_counts_t counts;
  uint64_t order;          /**< decides between equal shares */
  flr_estimate_t estimate; /**< result, without the customers that fail at
                                more upstreams than may be avoided */
  double excess; /**< result: by how much the share exceeds the usual one; 0
                      unless the upstream is to be avoided */
} flr_candidate_t;

/** Counts a response to CUSTOMER. */
void flr_add (flr_counts_t *c, uint64_t customer, bool failed, clk_ms_t now);

/** Moves C to NOW and adds OTHER, which stays as it is. */
void flr_merge (flr_counts_t *c, const flr_counts_t *other, clk_ms_t now);

/** Whether C has failures that still count. */
bool flr_has_failures (const flr_counts_t *c, clk_ms_t now);

/** Whether C, which a peer has sent, can be the counts of an upstream: no
 * number is negative, huge or not a number, and the parts fit the sum. */
bool flr_is_sound (const flr_counts_t *c);

flr_estimate_t flr_estimate (const flr_counts_t *c, clk_ms_t now);

/** Fills in the results of the N candidates of V.  At most one in
 * FLR_AVOIDED_PART gets an excess, those with the largest shares, and none
 * when the shares are alike or more than half of the candidates fail. */
void flr_compare (flr_candidate_t *v, size_t n, clk_ms_t now);

#endif
