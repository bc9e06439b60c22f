/** @file
 * Scheduling order (prefix sch_): which batch job's chunk or item comes next.
 *
 *   sch_t *s = sch_setup (ctx, &(sch_desc_t){ 0 });
 *   int i = sch_pick (s, now, jobs, count);       -1: none is ready
 *   sch_service_add (s, jobs[i].customer, jobs[i].weight, 1);
 *
 * The slack of a job is the time until it is due, less the time that it and
 * all jobs due before it need (need_ms), one after another.  While the slack
 * of some job is nearly used up, the job that is due earliest comes first, so
 * that due times are met when any order can meet them.  Otherwise the customer
 * with the least service per weight comes first, and of its jobs the one that
 * is due earliest.
 *
 * A job that cannot be on time any more does not count as urgent.  While there
 * is such a job, the work exceeds the capacity: then due times give priority
 * only to customers whose service is at most max_service_gap above the least.
 *
 * Use this module where items or chunks are started one by one.  It does not
 * know upstreams or free slots.  Times are in ms, service in items per weight;
 * the job list is borrowed for the call.
 */
#ifndef RTS_SCH_H
#define RTS_SCH_H

#include "core/clk.h"

#include <stdbool.h>
#include <stddef.h>

/** Scheduling policies; all but the first are for comparisons. */
typedef enum
{
  SCH_SLACK_FAIR,   /**< as described above */
  SCH_FIRST_COME,   /**< in the order of the list */
  SCH_EARLIEST_DUE, /**< earliest due time */
} sch_policy_t;

/** Settings; a zero selects the default. */
typedef struct
{
  sch_policy_t policy;
  clk_ms_t margin_ms; /**< slack below which a job is urgent; default 10 s */
  /** Items per weight by which a customer's service may be above or below the
   * least service; default 64. */
  double max_service_gap;
} sch_desc_t;

/** A job to choose from. */
typedef struct
{
  const char *customer;
  double weight;  /**< 0 counts as 1 */
  clk_ms_t due;   /**< on the clock of sch_pick's NOW; 0: none */
  double need_ms; /**< time for its remaining items if all the capacity that
                       batch work has now runs them */
  bool ready;     /**< has an item or chunk to start */
} sch_job_t;

typedef struct sch sch_t;

/** Creates an order owned by CTX, without any service recorded. */
sch_t *sch_setup (void *ctx, const sch_desc_t *desc);

void sch_shutdown (sch_t *s);

/** Returns the index of the job that comes next; -1 when none is ready. */
int sch_pick (sch_t *s, clk_ms_t now, const sch_job_t *jobs, size_t count);

/** Adds ITEMS to the service of CUSTOMER, who has WEIGHT. */
void sch_service_add (sch_t *s, const char *customer, double weight,
                      double items);

/** Service of CUSTOMER, in items per weight. */
double sch_service (const sch_t *s, const char *customer);

#endif
