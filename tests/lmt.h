/** @file
 * Limits of upstreams on the hosted fleet (prefix lmt_): a steady load of
 * callers, and a judge of what each upstream gets.
 *
 *   lmt_t *t = lmt_setup (&(hst_desc_t){ .entries = 6 }, 1);
 *   lmt_name (t, 0, 1.4);
 *   lmt_run (t, 12 * CLK_SECOND, 40);
 *   CU_ASSERT (lmt_excess (t, 0, from) <= 0);
 *   lmt_shutdown (t);
 *
 * Use it for tests of what a fleet sends to upstreams that name a limit.  All
 * requests count at the judge: of callers and items, of all VMs, whether they
 * have heard of the limit or not.  Times are in ms, rates in requests a
 * second.
 */
#ifndef RTS_LMT_H
#define RTS_LMT_H

#include "hst.h"

/** The rule of the users: in any LMT_WINDOW_MS at most LMT_FACTOR times what
 * the limit allows, and LMT_SLACK requests. */
#define LMT_WINDOW_MS (4 * CLK_SECOND)
#define LMT_FACTOR 1.5
#define LMT_SLACK 5.0
/** Time after which all VMs must keep to a limit that was named. */
#define LMT_CONTACT_MS (3 * CLK_SECOND)

/** What became of a caller's request. */
typedef struct
{
  uint64_t caller;
  clk_ms_t sent_at;
} lmt_request_t;

/** A fleet with its callers. */
typedef struct
{
  hst_t *h;
  GRand *rand;
  size_t entries;        /**< entry VMs, which get the requests */
  size_t entry_only;     /**< the only one that gets any; HST_MAX: all do */
  GArray *requests;      /**< lmt_request_t */
  unsigned sequence;     /**< of the last request's id */
  double per_s[HST_MAX]; /**< limits named; negative: none */
} lmt_t;

/** Counts of requests that were sent in a span of time. */
typedef struct
{
  unsigned asked;
  unsigned served;         /**< got their whole response */
  unsigned refused;        /**< got 503 */
  clk_ms_t refused_max_ms; /**< longest time until a refusal */
  clk_ms_t retry_max_ms;   /**< longest time after which one is to come back */
  unsigned without_retry;  /**< refusals that name no time to come back */
  unsigned retry_distinct; /**< different times at which refused callers were
                                to come back, in steps of 10 ms */
} lmt_counts_t;

/** Creates a fleet by DESC with load reports, lets it start, and seeds the
 * callers. */
lmt_t *lmt_setup (const hst_desc_t *desc, uint32_t seed);
void lmt_shutdown (lmt_t *t);

/** From now on UPSTREAM names the limit PER_S in its responses and reports;
 * negative: none. */
void lmt_name (lmt_t *t, size_t upstream, double per_s);

/** Lets MS pass while callers send PER_S requests to VMs that run. */
void lmt_run (lmt_t *t, clk_ms_t ms, double per_s);

/** Requests that UPSTREAM got from FROM until before TO. */
unsigned lmt_arrivals (const lmt_t *t, size_t upstream, clk_ms_t from,
                       clk_ms_t to);

/** By how many requests UPSTREAM got at most more than the rule allows for
 * the limit PER_S in a window that begins at FROM or later; negative: it
 * always got less. */
double lmt_excess (const lmt_t *t, size_t upstream, double per_s,
                   clk_ms_t from);

/** Largest number of requests that UPSTREAM got in a window of WINDOW_MS that
 * begins from FROM until before TO. */
unsigned lmt_most (const lmt_t *t, size_t upstream, clk_ms_t window_ms,
                   clk_ms_t from, clk_ms_t to);

/** Part of the limit PER_S that was used at UPSTREAM from FROM on. */
double lmt_used (const lmt_t *t, size_t upstream, double per_s, clk_ms_t from);

/** Counts the requests sent from FROM until before TO. */
lmt_counts_t lmt_count (const lmt_t *t, clk_ms_t from, clk_ms_t to);

#endif
